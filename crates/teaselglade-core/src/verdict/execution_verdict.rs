//! The verdict on one request.

use super::SendProgress;

crate::value_type! {
    /// Whether a request ran. This type is the only source of "not run".
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};
    ///
    /// let unsent = ExecutionVerdict::after_attempt(SendProgress::NotSent);
    /// let cut = ExecutionVerdict::after_attempt(SendProgress::MaybeSent);
    /// assert_eq!(unsent, ExecutionVerdict::NotRun);
    /// assert_eq!(unsent.and(cut), ExecutionVerdict::MayHaveRun);
    /// ```
    pub enum ExecutionVerdict {
        /// No server ran any part of the request, and none ever will.
        NotRun,
        /// A server may have run the request; nobody can know.
        MayHaveRun,
        /// A server ran the request.
        Ran,
    }
}

impl ExecutionVerdict {
    /// Returns the verdict of a single failed attempt.
    #[must_use]
    pub const fn after_attempt(progress: SendProgress) -> Self {
        match progress {
            SendProgress::NotSent | SendProgress::RefusedBeforeRunning => Self::NotRun,
            SendProgress::MaybeSent => Self::MayHaveRun,
        }
    }

    /// Combines the verdicts of two attempts of one request; the stronger one stays.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }
}
