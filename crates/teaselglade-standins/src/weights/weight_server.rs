//! Serves the weight store by HTTP.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use teaselglade_net::server::{json_response, read_body, text_response};
use teaselglade_wire::WeightReserve;
use teaselglade_wire::codec::from_json;
use tokio::time::Instant;
use viz::header::HeaderValue;
use viz::{Request, Response, Router};

use crate::fault::{FaultSwitch, add_fault_routes, with_faults};

const MAX_BODY_BYTES: usize = 4_096;

#[derive(Debug)]
struct WeightServer {
    spacing: Duration,
    next: Mutex<Instant>,
}

/// Makes the routes of a weight store that starts one fetch every `spacing`.
#[must_use]
pub fn weight_router(spacing: Duration) -> Router {
    let switch = Arc::new(FaultSwitch::default());
    let server = Arc::new(WeightServer {
        spacing,
        next: Mutex::new(Instant::now()),
    });
    let reserve = with_faults(&switch, &server, |server, request, _pass| {
        reserve(server, request)
    });
    add_fault_routes(Router::new().post("/reserve", reserve), &switch)
}

async fn reserve(server: Arc<WeightServer>, request: Request) -> Response {
    let body = match read_body(request, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(error) => return text_response(400, error.to_string()),
    };
    let order = match from_json::<WeightReserve>(&body) {
        Ok(order) => order,
        Err(error) => return text_response(400, error.to_string()),
    };
    let now = Instant::now();
    let mut next = server.next.lock().unwrap_or_else(PoisonError::into_inner);
    if now >= *next {
        *next = now + server.spacing;
        return json_response(200, &order);
    }
    let wait = next.duration_since(now).as_millis() as u64 + 1;
    let mut answer = text_response(429, "too many fetches");
    answer
        .headers_mut()
        .insert("retry-after-ms", HeaderValue::from(wait));
    answer
}
