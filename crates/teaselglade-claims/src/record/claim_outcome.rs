//! Outcome of a claimed call.

use std::sync::Arc;

use bytes::Bytes;
use teaselglade_core::port::PlainAnswer;
use teaselglade_core::verdict::ExecutionVerdict;

const MAX_STORED_BODY_BYTES: usize = 4 * 1024;
const STORED_HEADERS: [&str; 3] = ["content-type", "content-language", "location"];

/// Response to a call, as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that describe the body.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Outcome of a claimed call, as its settle record states it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The call ran, and its response is stored.
    Answered(Arc<StoredAnswer>),
    /// The call ran; its response was too large to store.
    Ran {
        /// HTTP status.
        status: u16,
    },
    /// The call may have run.
    MayHaveRun,
    /// The call did not run and never will under this claim.
    NotRun,
}

impl ClaimOutcome {
    /// Returns the outcome of a call that a server responded to.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_claims::record::ClaimOutcome;
    /// use teaselglade_core::port::PlainAnswer;
    ///
    /// let answer = PlainAnswer { status: 201, headers: Vec::new(), body: vec![0; 9_000].into() };
    /// assert_eq!(ClaimOutcome::from_answer(&answer), ClaimOutcome::Ran { status: 201 });
    /// ```
    #[must_use]
    pub fn from_answer(answer: &PlainAnswer) -> Self {
        let status = answer.status;
        if answer.body.len() > MAX_STORED_BODY_BYTES {
            return Self::Ran { status };
        }
        let headers = answer.headers.iter();
        let headers = headers.filter(|(name, _)| STORED_HEADERS.contains(&name.as_str()));
        Self::Answered(Arc::new(StoredAnswer {
            status,
            headers: headers.cloned().collect(),
            body: answer.body.clone(),
        }))
    }

    /// Returns the execution verdict of the outcome.
    #[must_use]
    pub const fn verdict(&self) -> ExecutionVerdict {
        match self {
            Self::Answered(_) | Self::Ran { .. } => ExecutionVerdict::Ran,
            Self::MayHaveRun => ExecutionVerdict::MayHaveRun,
            Self::NotRun => ExecutionVerdict::NotRun,
        }
    }
}
