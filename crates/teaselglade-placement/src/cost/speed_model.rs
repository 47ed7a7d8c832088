//! Speeds of servers, estimated from their reports.

use teaselglade_core::id::{ClassKey, ServerKey};

use super::LinearFit;

const INITIAL_GAP_SECONDS: f64 = 0.020;
const INITIAL_GAP_SECONDS_PER_REQUEST: f64 = 0.001;
const INITIAL_PREFILL_SECONDS: f64 = 0.000_3;
const INITIAL_PREFILL_SECONDS_PER_REQUEST: f64 = 0.000_02;
const FACTOR_SMOOTHING: f64 = 0.1;
/// Fraction of a factor's excess over 1 that remains after an idle report.
const IDLE_DECAY: f64 = 0.8;
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);

/// Speed of a server in one report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Number of running requests.
    pub running: f64,
    /// Seconds between two tokens of one stream; `None` if no request ran.
    pub gap_seconds: Option<f64>,
    /// Seconds to compute one prompt token; `None` if no prompt was computed.
    pub prefill_seconds: Option<f64>,
}

#[derive(Debug, Clone)]
struct ClassSpeed {
    gap: LinearFit,
    prefill: LinearFit,
}

impl Default for ClassSpeed {
    fn default() -> Self {
        Self {
            gap: LinearFit::with_prior(INITIAL_GAP_SECONDS, INITIAL_GAP_SECONDS_PER_REQUEST),
            prefill: LinearFit::with_prior(
                INITIAL_PREFILL_SECONDS,
                INITIAL_PREFILL_SECONDS_PER_REQUEST,
            ),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct SpeedFactors {
    gap: f64,
    prefill: f64,
}

impl Default for SpeedFactors {
    fn default() -> Self {
        Self {
            gap: 1.0,
            prefill: 1.0,
        }
    }
}

/// Estimates server speeds by a line per hardware class and a factor per server.
///
/// The line gives the time per token as a function of the number of running requests.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, ServerKey};
/// use teaselglade_placement::cost::{SpeedModel, SpeedSample};
///
/// let mut model = SpeedModel::default();
/// let (server, class) = (ServerKey::new(0), ClassKey::new(0));
/// let sample = SpeedSample { running: 4.0, gap_seconds: Some(0.05), prefill_seconds: None };
/// for _ in 0..100 {
///     model.observe(server, class, sample);
/// }
/// assert!((model.gap_seconds(server, class, 4.0) - 0.05).abs() < 0.01);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SpeedModel {
    classes: Vec<ClassSpeed>,
    factors: Vec<SpeedFactors>,
}

impl SpeedModel {
    /// Updates the estimates with a report.
    pub fn observe(&mut self, server: ServerKey, class: ClassKey, sample: SpeedSample) {
        self.ensure_entries(server, class);
        let speed = &mut self.classes[class.index()];
        let factors = &mut self.factors[server.index()];
        if let Some(seconds) = sample.gap_seconds {
            update_factor(
                &mut factors.gap,
                seconds,
                speed.gap.value_at(sample.running),
            );
            speed.gap.add(sample.running, seconds / factors.gap);
        }
        if let Some(seconds) = sample.prefill_seconds {
            let expected = speed.prefill.value_at(sample.running);
            update_factor(&mut factors.prefill, seconds, expected);
            speed.prefill.add(sample.running, seconds / factors.prefill);
        }
    }

    /// Moves slow estimates of an idle server and its class towards the initial speed.
    ///
    /// A server that is estimated to be too slow receives no work, so it would never be measured
    /// again. The decay brings it back into use.
    pub fn decay_idle(&mut self, server: ServerKey, class: ClassKey) {
        self.ensure_entries(server, class);
        let factors = &mut self.factors[server.index()];
        factors.gap = factors.gap.min(1.0 + (factors.gap - 1.0) * IDLE_DECAY);
        factors.prefill = factors
            .prefill
            .min(1.0 + (factors.prefill - 1.0) * IDLE_DECAY);
        let speed = &mut self.classes[class.index()];
        if speed.gap.value_at(0.0) > INITIAL_GAP_SECONDS {
            speed.gap.add(0.0, INITIAL_GAP_SECONDS);
        }
        if speed.prefill.value_at(0.0) > INITIAL_PREFILL_SECONDS {
            speed.prefill.add(0.0, INITIAL_PREFILL_SECONDS);
        }
    }

    /// Returns the seconds between two tokens while `running` requests run.
    #[must_use]
    pub fn gap_seconds(&self, server: ServerKey, class: ClassKey, running: f64) -> f64 {
        let base = self.classes.get(class.index()).map_or(
            INITIAL_GAP_SECONDS + INITIAL_GAP_SECONDS_PER_REQUEST * running,
            |speed| speed.gap.value_at(running),
        );
        base * self.server_factors(server).gap
    }

    /// Returns the seconds to compute one prompt token while `running` requests run.
    #[must_use]
    pub fn prefill_seconds(&self, server: ServerKey, class: ClassKey, running: f64) -> f64 {
        let base = self.classes.get(class.index()).map_or(
            INITIAL_PREFILL_SECONDS + INITIAL_PREFILL_SECONDS_PER_REQUEST * running,
            |speed| speed.prefill.value_at(running),
        );
        base * self.server_factors(server).prefill
    }

    fn server_factors(&self, server: ServerKey) -> SpeedFactors {
        self.factors
            .get(server.index())
            .copied()
            .unwrap_or_default()
    }

    fn ensure_entries(&mut self, server: ServerKey, class: ClassKey) {
        if self.classes.len() <= class.index() {
            self.classes
                .resize_with(class.index() + 1, ClassSpeed::default);
        }
        if self.factors.len() <= server.index() {
            self.factors
                .resize_with(server.index() + 1, SpeedFactors::default);
        }
    }
}

fn update_factor(factor: &mut f64, seconds: f64, expected: f64) {
    if expected <= 0.0 {
        return;
    }
    let ratio = (seconds / expected).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
    *factor += FACTOR_SMOOTHING * (ratio - *factor);
}
