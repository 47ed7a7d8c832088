//! Prefill speed of the engines of a service.

use std::time::Duration;

/// Prompt tokens that an engine prefills in a millisecond, before any first event was observed.
///
/// The slower engine of the first two deployments prefills 54.6 when it does nothing else.
const INITIAL_TOKENS_PER_MS: f64 = 45.0;
/// Lowest and highest plausible tokens per millisecond, from old cards to far newer ones.
const TOKENS_PER_MS_RANGE: (f64, f64) = (2.0, 1_000.0);
/// Weight of one sample in the moving average; about the last thirty samples count.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Bounds on the ratio of one sample to the current rate.
const SAMPLE_RATIO_RANGE: (f64, f64) = (0.5, 2.0);
/// Fewest tokens of a usable sample; below, batch steps and the network dominate the time.
const MIN_SAMPLE_TOKENS: f64 = 2_000.0;
/// Time to the first event besides prefill: one batch step and a network round trip.
const BASE_LATENCY: Duration = Duration::from_millis(15);

/// Prefill speed of the engines of a service, estimated from first events.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::engine::EngineSpeed;
///
/// let speed = EngineSpeed::default();
/// assert!(speed.prefill_time(10_000.0) > speed.prefill_time(1_000.0));
/// ```
#[derive(Debug, Clone, Copy)]
pub struct EngineSpeed {
    tokens_per_ms: f64,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl EngineSpeed {
    /// Updates the estimate: a prefill of `tokens` took `elapsed` to the first event.
    pub fn observe(&mut self, tokens: f64, elapsed: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let prefill_ms = elapsed.saturating_sub(BASE_LATENCY).as_secs_f64() * 1_000.0;
        let ratio = tokens / prefill_ms.max(1.0) / self.tokens_per_ms;
        let ratio = ratio.clamp(SAMPLE_RATIO_RANGE.0, SAMPLE_RATIO_RANGE.1);
        let rate = self.tokens_per_ms * ratio.powf(SAMPLE_WEIGHT);
        self.tokens_per_ms = rate.clamp(TOKENS_PER_MS_RANGE.0, TOKENS_PER_MS_RANGE.1);
    }

    /// Returns the time of a prefill relative to the estimate; `None` for one too short to tell.
    #[must_use]
    pub fn time_ratio(self, tokens: f64, elapsed: Duration) -> Option<f64> {
        if tokens < MIN_SAMPLE_TOKENS {
            return None;
        }
        let prefill_ms = elapsed.saturating_sub(BASE_LATENCY).as_secs_f64() * 1_000.0;
        Some(prefill_ms.max(1.0) * self.tokens_per_ms / tokens)
    }

    /// Returns the time to the first event after a prefill of `tokens`.
    #[must_use]
    pub fn prefill_time(self, tokens: f64) -> Duration {
        BASE_LATENCY + Duration::from_secs_f64(tokens.max(0.0) / self.tokens_per_ms / 1_000.0)
    }

    /// Returns the prompt tokens that one engine prefills in a second.
    #[must_use]
    pub fn tokens_per_second(self) -> f64 {
        self.tokens_per_ms * 1_000.0
    }
}
