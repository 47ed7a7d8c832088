//! Predicted latency and cost of a request on one server.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::CostOptions;
use crate::policy::{LatencyForecast, Placement, PlacementQuery};

/// Latency limits derived from the targets.
///
/// Each limit is stored as its reciprocal, so that its product with a late value exceeds 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct LatencyLimits {
    first_token_factor: f64,
    gap_factor: f64,
}

impl LatencyLimits {
    pub(super) fn new(query: &PlacementQuery, options: &CostOptions) -> Self {
        let first_token = query.first_token_target.as_secs_f64() * options.first_token_margin;
        let gap = query.token_gap_target.map_or(f64::INFINITY, |target| {
            target.as_secs_f64() * options.token_gap_margin
        });
        Self {
            first_token_factor: 1.0 / first_token,
            gap_factor: 1.0 / gap,
        }
    }

    /// Returns whether the first token would exceed its limit.
    pub(super) fn is_first_token_late(self, first_token_seconds: f64) -> bool {
        first_token_seconds * self.first_token_factor > 1.0
    }

    /// Returns whether the token gap would exceed its limit.
    pub(super) fn is_gap_late(self, gap_seconds: f64) -> bool {
        gap_seconds * self.gap_factor > 1.0
    }

    /// Returns the larger used fraction of the two limits; above 1 is late.
    pub(super) fn used_fraction(self, first_token_seconds: f64, gap_seconds: f64) -> f64 {
        (first_token_seconds * self.first_token_factor).max(gap_seconds * self.gap_factor)
    }
}

/// Predicted latency and cost of a request on one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerForecast {
    pub(super) server: ServerKey,
    pub(super) cached_tokens: f64,
    pub(super) first_token_seconds: f64,
    pub(super) gap_seconds: f64,
    /// Larger used fraction of the latency limits; above 1 is late.
    pub(super) used_fraction: f64,
    /// Cost of the request's share of the server, in euro cents.
    pub(super) cents: f64,
    /// Expected number of tokens lost by a reclaim.
    pub(super) lost_tokens: f64,
}

impl ServerForecast {
    pub(super) fn placement(&self, latency_forecast: LatencyForecast) -> Placement {
        Placement {
            server: self.server,
            cached_tokens: self.cached_tokens as u32,
            first_token: Duration::from_secs_f64(self.first_token_seconds),
            token_gap: Duration::from_secs_f64(self.gap_seconds),
            latency_forecast,
        }
    }
}
