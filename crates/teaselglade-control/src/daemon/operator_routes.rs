//! HTTP routes for operators.

use std::sync::Arc;

use teaselglade_net::server::{text_response, with_state};
use viz::{Response, Router};

use crate::metrics::ControlMetrics;

/// Builds the health, readiness and metrics routes.
pub(super) fn operator_router(metrics: &Arc<ControlMetrics>) -> Router {
    Router::new()
        .get(
            "/healthz",
            with_state(metrics, |_metrics, _request| health()),
        )
        .get(
            "/readyz",
            with_state(metrics, |metrics, _request| readiness(metrics)),
        )
        .get(
            "/metrics",
            with_state(metrics, |metrics, _request| render(metrics)),
        )
}

async fn health() -> Response {
    text_response(200, "ok\n")
}

async fn readiness(metrics: Arc<ControlMetrics>) -> Response {
    if metrics.table_version.get() > 0 {
        return text_response(200, "ready\n");
    }
    text_response(503, "no table yet\n")
}

async fn render(metrics: Arc<ControlMetrics>) -> Response {
    text_response(200, metrics.render())
}
