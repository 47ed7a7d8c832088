//! Id of one limit, equal in every process.

use serde::{Deserialize, Serialize};

use crate::subset::rendezvous_weight;

teaselglade_core::value_type! {
    /// Quantity that a limit restricts.
    pub enum LimitMeasure {
        /// Requests per second.
        Requests,
        /// Generated tokens per second.
        Tokens,
        /// Requests in progress.
        Concurrency,
    }
}

impl LimitMeasure {
    const fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Tokens => "tokens",
            Self::Concurrency => "concurrency",
        }
    }
}

/// Id of one limit, equal in every process.
///
/// It is a hash of the row's name and the measure.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::limit::{LimitId, LimitMeasure};
///
/// let requests = LimitId::new("organisation/halloran", LimitMeasure::Requests);
/// let tokens = LimitId::new("organisation/halloran", LimitMeasure::Tokens);
/// assert_ne!(requests, tokens);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LimitId(u32);

impl LimitId {
    /// Returns the id of a row's limit.
    ///
    /// `row` is the row's kind and name, such as `service/till-desk`.
    #[must_use]
    pub fn new(row: &str, measure: LimitMeasure) -> Self {
        Self(rendezvous_weight(row, measure.name()) as u32)
    }
}
