//! Request of a caller to a plain service.

use teaselglade_claims::key::{IdempotencyKey, KeyError, RequestDigest, ScopedKey};
use teaselglade_claims::plain::RetrySafety;
use teaselglade_core::id::AttemptId;
use teaselglade_core::port::PlainCall;
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Holds a caller's request to a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainRequest {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Call to the server: attempt, method, path, headers and body.
    pub(crate) call: PlainCall,
    /// Whether the caller may have sent the idempotency key before.
    pub(crate) is_retry: bool,
    /// Time by which the caller needs a response.
    pub(crate) deadline: Timestamp,
}

impl PlainRequest {
    /// Returns the claim key, or `None` if the request needs no claim.
    ///
    /// A request without an idempotency key needs none, nor does one to an idempotent service.
    ///
    /// # Errors
    ///
    /// Returns an error if the idempotency key is malformed.
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

    /// Returns the digest of method, path and body.
    pub(crate) fn digest(&self) -> RequestDigest {
        RequestDigest::of(&self.call.method, &self.call.path, &self.call.body)
    }

    /// Returns whether a request without a claim can safely be retried.
    pub(crate) fn retry_safety(&self) -> RetrySafety {
        if self.row.idempotent || SAFE_METHODS.contains(&self.call.method.as_str()) {
            RetrySafety::Idempotent
        } else {
            RetrySafety::AtMostOnce
        }
    }

    /// Returns the call for the attempt with the given number, which starts now.
    pub(crate) fn attempt(&self, now: Timestamp, number: u32) -> PlainCall {
        let attempt = AttemptId {
            number,
            ..self.call.attempt
        };
        PlainCall {
            attempt,
            time_left: Some(self.deadline.since(now)),
            ..self.call.clone()
        }
    }
}
