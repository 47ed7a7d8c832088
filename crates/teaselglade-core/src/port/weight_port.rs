//! Port to the weight store.

use std::fmt::Debug;
use std::time::Duration;

use super::PortFuture;

/// Client of the weight store, which limits the rate of fetches.
pub trait WeightPort: Debug + Send + Sync {
    /// Reserves one fetch of a model's weights; the error is the retry delay.
    fn reserve<'a>(&'a self, model: &'a str) -> PortFuture<'a, Result<(), Duration>>;
}
