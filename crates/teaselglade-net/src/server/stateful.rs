//! Request handlers with shared state.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use viz::{Request, Response};

/// Creates a request handler from a function that takes shared state.
pub fn with_state<S, F, Fut>(
    state: &Arc<S>,
    handler: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let state = Arc::clone(state);
    move |request| handler(Arc::clone(&state), request).map(Ok).boxed()
}
