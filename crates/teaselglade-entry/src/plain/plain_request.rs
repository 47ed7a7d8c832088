//! One call to a plain server, as its caller sent it.

use teaselglade_claims::key::{IdempotencyKey, KeyError, RequestDigest, ScopedKey};
use teaselglade_claims::plain::RetrySafety;
use teaselglade_core::id::AttemptId;
use teaselglade_core::port::PlainCall;
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// One call to a plain server.
#[derive(Debug, Clone)]
pub(crate) struct PlainRequest {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Attempt, method, path, headers and body.
    pub(crate) call: PlainCall,
    /// Whether the caller says that it sent the key before without learning the outcome.
    pub(crate) repeated: bool,
    /// Time by which the caller wants an answer.
    pub(crate) deadline: Timestamp,
}

impl PlainRequest {
    /// Returns the key of a call that needs a claim.
    ///
    /// # Errors
    ///
    /// Fails where the caller's key is malformed.
    pub(crate) fn claim_key(&self) -> Result<Option<ScopedKey>, KeyError> {
        let Some(text) = self.call.key.as_deref().filter(|_| !self.row.idempotent) else {
            return Ok(None);
        };
        let key = text.parse::<IdempotencyKey>()?;
        Ok(Some(ScopedKey::new(
            self.organisation.as_str(),
            self.row.name.as_str(),
            key,
        )))
    }

    /// Returns the digest of the request.
    pub(crate) fn digest(&self) -> RequestDigest {
        RequestDigest::of(&self.call.method, &self.call.path, &self.call.body)
    }

    /// Returns whether a call without a claim may be repeated.
    pub(crate) fn repeat(&self) -> RetrySafety {
        if self.row.idempotent || SAFE_METHODS.contains(&self.call.method.as_str()) {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        }
    }

    /// Returns the call of the attempt with the given number.
    pub(crate) fn attempt(&self, number: u32) -> PlainCall {
        let attempt = AttemptId {
            number,
            ..self.call.attempt
        };
        PlainCall {
            attempt,
            ..self.call.clone()
        }
    }
}
