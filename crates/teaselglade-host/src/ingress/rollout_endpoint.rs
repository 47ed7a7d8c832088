//! Endpoint at which operators ask how roll-outs stand.

use std::sync::{Arc, Mutex, PoisonError};

use viz::{Request, Response, Router};

use super::placement_endpoint::respond;
use crate::explain::{ExplainError, QueryLimiter, ROLLOUTS_PATH, explain_rollouts};
use crate::state::HostState;

/// Adds the endpoint that tells how roll-outs stand, at most once in an interval.
pub(super) fn add_rollout_endpoint(router: Router, host: &Arc<HostState>) -> Router {
    let host = Arc::clone(host);
    let limiter = Arc::new(Mutex::new(QueryLimiter::default()));
    router.get(ROLLOUTS_PATH, move |_request: Request| {
        let (host, limiter) = (Arc::clone(&host), Arc::clone(&limiter));
        async move {
            let may_start = {
                let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
                limiter.try_start(host.now())
            };
            let list = if may_start {
                Ok(explain_rollouts(&host))
            } else {
                Err(ExplainError::TooOften)
            };
            Ok::<Response, viz::Error>(respond(list))
        }
    })
}
