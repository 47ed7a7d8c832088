//! How fast the engines of a service read prompts.

use std::time::Duration;

/// Tokens that an engine reads in a millisecond, until the first answers tell.
///
/// The slower of the first two deployments reads 54.6 when it does nothing else.
const FIRST_RATE: f64 = 45.0;
/// Range in which a rate is believed, from old cards to far newer ones.
const RATE_RANGE: (f64, f64) = (2.0, 1_000.0);
/// Weight of one answer; about the last thirty count.
const SAMPLE_WEIGHT: f64 = 0.03;
/// Most by which one answer may differ from the rate, as a factor.
const SAMPLE_RANGE: (f64, f64) = (0.5, 2.0);
/// Fewest tokens that tell the rate; for fewer, steps and the network take the time.
const MIN_SAMPLE_TOKENS: f64 = 2_000.0;
/// Time to the first event beside reading the prompt: one step and the way there and back.
const BASE_SPAN: Duration = Duration::from_millis(15);

/// How fast the engines of a service read prompts, learned from first events.
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
            tokens_per_ms: FIRST_RATE,
        }
    }
}

impl EngineSpeed {
    /// Learns from a first event that came `elapsed` after `tokens` had to be read.
    pub fn observe(&mut self, tokens: f64, elapsed: Duration) {
        if tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let reading = elapsed.saturating_sub(BASE_SPAN).as_secs_f64() * 1_000.0;
        let ratio = tokens / reading.max(1.0) / self.tokens_per_ms;
        let ratio = ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        let rate = self.tokens_per_ms * ratio.powf(SAMPLE_WEIGHT);
        self.tokens_per_ms = rate.clamp(RATE_RANGE.0, RATE_RANGE.1);
    }

    /// Returns the time until the first event where `tokens` have to be read.
    #[must_use]
    pub fn prefill_time(self, tokens: f64) -> Duration {
        BASE_SPAN + Duration::from_secs_f64(tokens.max(0.0) / self.tokens_per_ms / 1_000.0)
    }

    /// Returns the tokens that one engine reads in a second.
    #[must_use]
    pub fn tokens_per_second(self) -> f64 {
        self.tokens_per_ms * 1_000.0
    }
}
