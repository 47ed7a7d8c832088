//! What a request would meet on one server.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::CostOptions;
use crate::policy::{Placement, PlacementQuery};

/// What a request would meet on one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerForecast {
    pub(super) server: ServerKey,
    pub(super) cached_tokens: f64,
    pub(super) first_token_seconds: f64,
    pub(super) gap_seconds: f64,
    /// Price of the request's share of the server.
    pub(super) cents: f64,
    /// Tokens that a reclaim is expected to lose.
    pub(super) lost_tokens: f64,
}

impl ServerForecast {
    /// Returns the largest part of an allowance that the forecast uses; above 1 is late.
    pub(super) fn target_use(&self, query: &PlacementQuery, options: &CostOptions) -> f64 {
        let first = query.first_token_target.as_secs_f64() * options.first_token_margin;
        let gap = query.token_gap_target.map_or(0.0, |target| {
            self.gap_seconds / (target.as_secs_f64() * options.token_gap_margin)
        });
        gap.max(self.first_token_seconds / first)
    }

    pub(super) fn placement(&self, on_target: bool) -> Placement {
        Placement {
            server: self.server,
            cached_tokens: self.cached_tokens as u32,
            first_token: Duration::from_secs_f64(self.first_token_seconds),
            token_gap: Duration::from_secs_f64(self.gap_seconds),
            on_target,
        }
    }
}
