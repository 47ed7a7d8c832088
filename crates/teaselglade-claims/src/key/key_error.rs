//! Reason why a call is refused for its idempotency key.

use std::fmt;

use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

/// Reason why a call is refused for its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyError {
    /// The call has no key, though it must run at most once.
    Missing,
    /// The key is not a version 7 UUID.
    Malformed {
        /// Text that the caller sent.
        text: String,
    },
    /// The key is older than the window that the log retains.
    Expired,
    /// The key's timestamp is too far in the future.
    TooFarAhead,
}

impl KeyError {
    /// Returns the refusal to send to the caller.
    ///
    /// An expired key may have been used before, so its verdict is `MayHaveRun`.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_claims::key::KeyError;
    /// use teaselglade_core::verdict::ExecutionVerdict;
    ///
    /// assert_eq!(KeyError::Missing.refusal().verdict, ExecutionVerdict::NotRun);
    /// assert_eq!(KeyError::Expired.refusal().verdict, ExecutionVerdict::MayHaveRun);
    /// ```
    #[must_use]
    pub fn refusal(&self) -> RequestRefusal {
        let verdict = match self {
            Self::Expired => ExecutionVerdict::MayHaveRun,
            Self::Missing | Self::Malformed { .. } | Self::TooFarAhead => ExecutionVerdict::NotRun,
        };
        let reason = match self {
            Self::Missing => RefusalReason::KeyMissing,
            Self::Malformed { .. } | Self::TooFarAhead => RefusalReason::BadRequest,
            Self::Expired => RefusalReason::KeyExpired,
        };
        RequestRefusal::with_verdict(verdict, reason, self.to_string())
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("the call needs the header `idempotency-key`"),
            Self::Malformed { text } => {
                write!(f, "`{text}` is not a UUID of version 7")
            }
            Self::Expired => f.write_str("the key is older than the log's window of keys"),
            Self::TooFarAhead => f.write_str("the key's time lies too far ahead; check the clock"),
        }
    }
}

impl std::error::Error for KeyError {}
