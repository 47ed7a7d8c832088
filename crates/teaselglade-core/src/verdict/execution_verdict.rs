//! Verdict on whether a request ran.

use super::SendProgress;

crate::value_type! {
    /// Verdict on whether a request ran.
    ///
    /// No other type may report that a request did not run. The variants are ordered from the
    /// weakest to the strongest.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};
    ///
    /// let unsent = ExecutionVerdict::after_attempt(SendProgress::NotSent);
    /// let interrupted = ExecutionVerdict::after_attempt(SendProgress::MaybeSent);
    /// assert_eq!(unsent, ExecutionVerdict::NotRun);
    /// assert_eq!(unsent.and(interrupted), ExecutionVerdict::MayHaveRun);
    /// ```
    pub enum ExecutionVerdict {
        /// No server has run any part of the request, and none will.
        NotRun,
        /// A server may have run the request; whether it did cannot be determined.
        MayHaveRun,
        /// A server ran the request.
        Ran,
    }
}

impl ExecutionVerdict {
    /// Returns the verdict on a single failed attempt.
    #[must_use]
    pub const fn after_attempt(progress: SendProgress) -> Self {
        match progress {
            SendProgress::NotSent | SendProgress::RefusedBeforeRunning => Self::NotRun,
            SendProgress::MaybeSent => Self::MayHaveRun,
        }
    }

    /// Returns the stronger of the verdicts on two attempts of one request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }
}
