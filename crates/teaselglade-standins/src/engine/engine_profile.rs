//! Speed and memory of one hardware class.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Speed and memory of one hardware class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Duration of one step with a single stream, in microseconds.
    pub step_micros: u64,
    /// Number of additional streams that doubles the duration of a step.
    pub batch_knee: f64,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_second: f64,
    /// Maximum number of concurrent streams.
    pub max_batch: usize,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Age from which a read refreshes the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Drops one cache event out of this many; 0 drops none.
    pub event_gap_every: u64,
    /// Whether orders with a stale fencing number are rejected.
    pub fenced: bool,
}

impl EngineProfile {
    /// Returns the profile of a hardware class; an unknown class is treated as `old`.
    #[must_use]
    pub fn for_class(class: &str) -> Self {
        let old = Self {
            step_micros: 28_000,
            batch_knee: 16.0,
            prefill_tokens_per_second: 3_000.0,
            max_batch: 24,
            cache_tokens: 20_000,
            report_lag_ms: 500,
            event_lag_ms: 300,
            event_gap_every: 20,
            fenced: false,
        };
        match class {
            "new" => Self {
                step_micros: 12_000,
                batch_knee: 48.0,
                prefill_tokens_per_second: 12_000.0,
                max_batch: 64,
                cache_tokens: 80_000,
                fenced: true,
                ..old
            },
            "mid" => Self {
                step_micros: 18_000,
                batch_knee: 32.0,
                prefill_tokens_per_second: 6_000.0,
                max_batch: 48,
                cache_tokens: 40_000,
                ..old
            },
            _ => old,
        }
    }

    /// Returns the duration of one step with `streams` concurrent streams.
    #[must_use]
    pub fn step_time(&self, streams: usize) -> Duration {
        let factor = 1.0 + streams.saturating_sub(1) as f64 / self.batch_knee;
        Duration::from_micros((self.step_micros as f64 * factor) as u64)
    }

    /// Returns the time to compute `tokens` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_second)
    }
}
