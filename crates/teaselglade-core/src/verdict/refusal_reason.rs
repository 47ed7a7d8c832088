//! Reasons why a request gets no result.

use std::fmt;

crate::value_type! {
    /// Reason why a request was refused or abandoned.
    pub enum RefusalReason {
        /// The request is malformed.
        BadRequest,
        /// The request body exceeds the size limit.
        TooLarge,
        /// The organisation is not in the table.
        UnknownOrganisation,
        /// The service is not in the table.
        UnknownService,
        /// No request with this id is known.
        UnknownRequest,
        /// The organisation or service exceeds a limit in its table row.
        OverLimit,
        /// Room is scarce and the organisation asks for more than its share of it.
        OverShare,
        /// The request is predicted to miss its latency target.
        PredictedLate,
        /// A part of the prompt ends the servers that begin to write on it.
        Quarantined,
        /// The limits that the backend servers name are reached.
        ServerLimit,
        /// No permitted backend server is available.
        NoServer,
        /// A non-idempotent call lacks the idempotency key that its table row requires.
        KeyMissing,
        /// The idempotency key is older than the window that the log retains.
        KeyExpired,
        /// The idempotency key was used before with a different request.
        KeyReused,
        /// The log is unreachable, and the call needs a claim.
        LogUnavailable,
        /// The attempt failed and the retry budget is exhausted.
        AttemptFailed,
        /// The deadline passed.
        DeadlineExceeded,
        /// This host is leaving or has no table yet.
        NotReady,
        /// An unexpected internal error occurred.
        Internal,
    }
}

impl RefusalReason {
    /// Returns the HTTP status that reports the reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::KeyMissing => 400,
            Self::TooLarge => 413,
            Self::UnknownOrganisation => 403,
            Self::UnknownService | Self::UnknownRequest => 404,
            Self::OverLimit => 429,
            Self::KeyExpired => 410,
            Self::KeyReused => 422,
            Self::AttemptFailed => 502,
            Self::DeadlineExceeded => 504,
            Self::OverShare
            | Self::PredictedLate
            | Self::Quarantined
            | Self::ServerLimit
            | Self::NoServer
            | Self::LogUnavailable
            | Self::NotReady => 503,
            Self::Internal => 500,
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::BadRequest => "the request is malformed",
            Self::TooLarge => "the body is too large",
            Self::UnknownOrganisation => "the organisation is not in the table",
            Self::UnknownService => "the service is not in the table",
            Self::UnknownRequest => "no request with this id is known",
            Self::OverLimit => "a limit of the table is reached",
            Self::OverShare => "the organisation's share of scarce room is used up",
            Self::PredictedLate => "the latency target cannot be met now",
            Self::Quarantined => "a part of the prompt ends servers",
            Self::ServerLimit => "the limits of the backend servers are reached",
            Self::NoServer => "no permitted backend server is available",
            Self::KeyMissing => "the call needs an idempotency key",
            Self::KeyExpired => "the idempotency key is too old",
            Self::KeyReused => "the idempotency key belongs to another request",
            Self::LogUnavailable => "the log is unavailable",
            Self::AttemptFailed => "the backend server failed",
            Self::DeadlineExceeded => "the deadline passed",
            Self::NotReady => "this host is not ready",
            Self::Internal => "internal error",
        })
    }
}
