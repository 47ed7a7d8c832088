//! Endpoint at which operators ask where a request would go.

use std::sync::{Arc, Mutex, PoisonError};

use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use viz::{IntoResponse, Request, Response, Router, StatusCode};

use crate::explain::{
    ExplainError, PLACEMENT_PATH, PlacementQuery, PlacementReport, QueryLimiter, explain_placement,
};
use crate::state::HostState;

/// Maximum size of a query.
const MAX_QUERY_BYTES: usize = 16 * 1024;

/// Error as operators' tools read it.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

/// Adds the endpoint that explains placements.
pub(super) fn add_placement_endpoint(router: Router, host: &Arc<HostState>) -> Router {
    let host = Arc::clone(host);
    let limiter = Arc::new(Mutex::new(QueryLimiter::default()));
    router.post(PLACEMENT_PATH, move |request: Request| {
        let (host, limiter) = (Arc::clone(&host), Arc::clone(&limiter));
        async move {
            let explained = explain(&host, &limiter, request).await;
            Ok::<Response, viz::Error>(respond(explained))
        }
    })
}

/// Reads a query and explains the placement, at most once in an interval.
async fn explain(
    host: &HostState,
    limiter: &Mutex<QueryLimiter>,
    request: Request,
) -> Result<PlacementReport, ExplainError> {
    let invalid = |error: String| ExplainError::InvalidQuery(format!("invalid query: {error}"));
    let body = Limited::new(request.into_body(), MAX_QUERY_BYTES).collect();
    let body = body.await.map_err(|error| invalid(error.to_string()))?;
    let query: PlacementQuery =
        serde_json::from_slice(&body.to_bytes()).map_err(|error| invalid(error.to_string()))?;
    let may_start = {
        let mut limiter = limiter.lock().unwrap_or_else(PoisonError::into_inner);
        limiter.try_start(host.now())
    };
    if !may_start {
        return Err(ExplainError::TooOften);
    }
    explain_placement(host, &query)
}

/// Returns an explanation as JSON, or the status and the text of its error.
pub(super) fn respond(explained: Result<impl Serialize, ExplainError>) -> Response {
    let error = match explained {
        // The report holds only numbers and names, so no error is expected.
        Ok(report) => {
            return serde_json::to_vec(&report)
                .unwrap_or_default()
                .into_response();
        }
        Err(error) => error,
    };
    let status = match error {
        ExplainError::InvalidQuery(_) => StatusCode::BAD_REQUEST,
        ExplainError::NoTable => StatusCode::SERVICE_UNAVAILABLE,
        ExplainError::TooOften => StatusCode::TOO_MANY_REQUESTS,
    };
    let body = ErrorBody {
        error: error.to_string(),
    };
    let mut response = serde_json::to_vec(&body)
        .unwrap_or_default()
        .into_response();
    *response.status_mut() = status;
    response
}
