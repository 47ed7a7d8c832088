//! Handlers that share a state.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use viz::{Request, Response};

/// Makes a handler out of a function on a shared state.
pub fn with_state<S, F, Fut>(
    state: &Arc<S>,
    handle: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let state = Arc::clone(state);
    move |request| handle(Arc::clone(&state), request).map(Ok).boxed()
}
