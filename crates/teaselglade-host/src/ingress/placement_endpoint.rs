//! Endpoint at which operators ask where a request would go.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use teaselglade_core::time::Timestamp;
use viz::{IntoResponse, Request, Response, Router, StatusCode};

use crate::explain::{
    ExplainError, PLACEMENT_PATH, PlacementQuery, PlacementReport, explain_placement,
};
use crate::state::HostState;

/// Shortest interval between two explanations, each of which looks at all servers.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
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
    let next_at = Arc::new(Mutex::new(Timestamp::ZERO));
    router.post(PLACEMENT_PATH, move |request: Request| {
        let (host, next_at) = (Arc::clone(&host), Arc::clone(&next_at));
        async move {
            let explained = explain(&host, &next_at, request).await;
            Ok::<Response, viz::Error>(respond(explained))
        }
    })
}

/// Reads a query and explains the placement, at most once in an interval.
async fn explain(
    host: &HostState,
    next_at: &Mutex<Timestamp>,
    request: Request,
) -> Result<PlacementReport, ExplainError> {
    let invalid = |error: String| ExplainError::InvalidQuery(format!("invalid query: {error}"));
    let body = Limited::new(request.into_body(), MAX_QUERY_BYTES).collect();
    let body = body.await.map_err(|error| invalid(error.to_string()))?;
    let query: PlacementQuery =
        serde_json::from_slice(&body.to_bytes()).map_err(|error| invalid(error.to_string()))?;
    let now = host.now();
    {
        let mut next_at = next_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now < *next_at {
            return Err(ExplainError::TooOften);
        }
        *next_at = now + MIN_INTERVAL;
    }
    explain_placement(host, &query)
}

fn respond(explained: Result<PlacementReport, ExplainError>) -> Response {
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
