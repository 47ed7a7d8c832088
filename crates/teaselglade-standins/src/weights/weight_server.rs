//! HTTP routes of the weight store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use teaselglade_net::server::{json_response, read_body, text_response};
use teaselglade_wire::WeightReserve;
use teaselglade_wire::codec::from_json;
use tokio::time::Instant;
use viz::header::HeaderValue;
use viz::{Request, Response, Router};

use crate::fault::{FaultInjector, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 4_096;

#[derive(Debug)]
struct WeightServer {
    fetch_interval: Duration,
    next_fetch_at: Mutex<Instant>,
}

/// Builds the routes of a weight store that admits one fetch per `fetch_interval`.
///
/// An earlier reservation gets status 429 with the header `retry-after-ms`.
#[must_use]
pub fn weight_router(fetch_interval: Duration) -> Router {
    let injector = Arc::new(FaultInjector::default());
    let server = Arc::new(WeightServer {
        fetch_interval,
        next_fetch_at: Mutex::new(Instant::now()),
    });
    let reserve = with_faults(&injector, &server, |server, request, _faults| {
        reserve(server, request)
    });
    add_fault_routes(Router::new().post("/reserve", reserve), &injector)
}

async fn reserve(server: Arc<WeightServer>, request: Request) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    let reservation = match from_json::<WeightReserve>(&body) {
        Ok(reservation) => reservation,
        Err(error) => return text_response(400, error.to_string()),
    };
    let now = Instant::now();
    let mut next_fetch_at = server
        .next_fetch_at
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if now >= *next_fetch_at {
        *next_fetch_at = now + server.fetch_interval;
        return json_response(200, &reservation);
    }
    let wait_ms = next_fetch_at.duration_since(now).as_millis() as u64 + 1;
    let mut response = text_response(429, "too many fetches");
    response
        .headers_mut()
        .insert("retry-after-ms", HeaderValue::from(wait_ms));
    response
}
