//! What a request would meet on one server.

use std::time::Duration;

use teaselglade_core::id::ServerKey;

use super::CostOptions;
use crate::policy::{LatencyForecast, Placement, PlacementQuery};

/// What a forecast may use of the targets, as factors that bring a late value above 1.
#[derive(Debug, Clone, Copy)]
pub(super) struct TargetAllowance {
    first_token: f64,
    gap: f64,
}

impl TargetAllowance {
    pub(super) fn new(query: &PlacementQuery, options: &CostOptions) -> Self {
        let first_token = query.first_token_target.as_secs_f64() * options.first_token_margin;
        let gap = query.token_gap_target.map_or(f64::INFINITY, |target| {
            target.as_secs_f64() * options.token_gap_margin
        });
        Self {
            first_token: 1.0 / first_token,
            gap: 1.0 / gap,
        }
    }

    /// Returns whether the first token alone would be late.
    pub(super) fn is_first_late(self, first_token_seconds: f64) -> bool {
        first_token_seconds * self.first_token > 1.0
    }

    /// Returns whether the token gap alone would be late.
    pub(super) fn is_gap_late(self, gap_seconds: f64) -> bool {
        gap_seconds * self.gap > 1.0
    }

    /// Returns the largest part of an allowance that is used; above 1 is late.
    pub(super) fn used(self, first_token_seconds: f64, gap_seconds: f64) -> f64 {
        (first_token_seconds * self.first_token).max(gap_seconds * self.gap)
    }
}

/// What a request would meet on one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerForecast {
    pub(super) server: ServerKey,
    pub(super) cached_tokens: f64,
    pub(super) first_token_seconds: f64,
    pub(super) gap_seconds: f64,
    /// Largest part of an allowance that is used; above 1 is late.
    pub(super) target_use: f64,
    /// Price of the request's share of the server.
    pub(super) cents: f64,
    /// Tokens that a reclaim is expected to lose.
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
