//! Why a request got no answer.

use std::fmt;

crate::value_type! {
    /// Why a request was refused or given up.
    pub enum RefusalReason {
        /// The request is malformed.
        BadRequest,
        /// The body is larger than the limit.
        TooLarge,
        /// The organisation is not in the table.
        UnknownOrganisation,
        /// The service is not in the table.
        UnknownService,
        /// No request with this id is known.
        UnknownRequest,
        /// The organisation or service is over a limit of its row.
        OverLimit,
        /// The latency target could not be met.
        PredictedLate,
        /// No permitted backend server is available.
        NoServer,
        /// A non-idempotent call has no key, though its row demands one.
        KeyMissing,
        /// The key is older than the window that the log keeps.
        KeyExpired,
        /// The key was used before with another request.
        KeyReused,
        /// The log cannot be reached, and the call needs a claim.
        LogUnavailable,
        /// The attempt failed and the retry budget is spent.
        AttemptFailed,
        /// The deadline passed.
        DeadlineExceeded,
        /// This host is leaving or has no table yet.
        NotReady,
        /// The system failed in a way that it does not expect.
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
            Self::PredictedLate | Self::NoServer | Self::LogUnavailable | Self::NotReady => 503,
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
            Self::PredictedLate => "the latency target cannot be met now",
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
