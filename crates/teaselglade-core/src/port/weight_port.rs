//! Port to the weight store.

use std::fmt::Debug;
use std::time::Duration;

use super::PortFuture;

/// The weight store; it is rate-limited.
pub trait WeightPort: Debug + Send + Sync {
    /// Asks to start one fetch of a model's weights; the error says when to ask again.
    fn reserve<'a>(&'a self, model: &'a str) -> PortFuture<'a, Result<(), Duration>>;
}
