//! Speeds of servers, learned from reports.

use teaselglade_core::id::{ClassKey, ServerKey};

use super::LinearFit;

const FIRST_GAP_SECONDS: f64 = 0.020;
const FIRST_GAP_SECONDS_EACH: f64 = 0.001;
const FIRST_PREFILL_SECONDS: f64 = 0.000_3;
const FIRST_PREFILL_SECONDS_EACH: f64 = 0.000_02;
const FACTOR_STEP: f64 = 0.1;
/// Part of a factor above 1 that an idle report leaves.
const EASED_PART: f64 = 0.8;
const FACTOR_RANGE: (f64, f64) = (0.25, 8.0);

/// One report of a server's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedSample {
    /// Requests that ran.
    pub running: f64,
    /// Seconds between two tokens of one stream; none where nothing ran.
    pub gap_seconds: Option<f64>,
    /// Seconds to compute one prompt token; none where no prompt was computed.
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
            gap: LinearFit::around(FIRST_GAP_SECONDS, FIRST_GAP_SECONDS_EACH),
            prefill: LinearFit::around(FIRST_PREFILL_SECONDS, FIRST_PREFILL_SECONDS_EACH),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct ServerFactor {
    gap: f64,
    prefill: f64,
}

impl Default for ServerFactor {
    fn default() -> Self {
        Self {
            gap: 1.0,
            prefill: 1.0,
        }
    }
}

/// Speeds of servers: a line for each class, and a factor for each server.
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
///     model.learn(server, class, sample);
/// }
/// assert!((model.gap_seconds(server, class, 4.0) - 0.05).abs() < 0.01);
/// ```
#[derive(Debug, Clone, Default)]
pub struct SpeedModel {
    classes: Vec<ClassSpeed>,
    factors: Vec<ServerFactor>,
}

impl SpeedModel {
    /// Learns from a report.
    pub fn learn(&mut self, server: ServerKey, class: ClassKey, sample: SpeedSample) {
        self.reserve(server, class);
        let speed = &mut self.classes[class.index()];
        let factor = &mut self.factors[server.index()];
        if let Some(seconds) = sample.gap_seconds {
            adapt(&mut factor.gap, seconds, speed.gap.at(sample.running));
            speed.gap.add(sample.running, seconds / factor.gap);
        }
        if let Some(seconds) = sample.prefill_seconds {
            let expected = speed.prefill.at(sample.running);
            adapt(&mut factor.prefill, seconds, expected);
            speed.prefill.add(sample.running, seconds / factor.prefill);
        }
    }

    /// Eases what is known of a server that runs nothing.
    ///
    /// A server that was learned to be too slow gets no work, so it would never be measured
    /// again; easing brings it back into use.
    pub fn ease(&mut self, server: ServerKey, class: ClassKey) {
        self.reserve(server, class);
        let factor = &mut self.factors[server.index()];
        factor.gap = factor.gap.min(1.0 + (factor.gap - 1.0) * EASED_PART);
        factor.prefill = factor
            .prefill
            .min(1.0 + (factor.prefill - 1.0) * EASED_PART);
        let speed = &mut self.classes[class.index()];
        if speed.gap.at(0.0) > FIRST_GAP_SECONDS {
            speed.gap.add(0.0, FIRST_GAP_SECONDS);
        }
        if speed.prefill.at(0.0) > FIRST_PREFILL_SECONDS {
            speed.prefill.add(0.0, FIRST_PREFILL_SECONDS);
        }
    }

    /// Returns the seconds between two tokens while `running` requests run.
    #[must_use]
    pub fn gap_seconds(&self, server: ServerKey, class: ClassKey, running: f64) -> f64 {
        let base = self.classes.get(class.index()).map_or(
            FIRST_GAP_SECONDS + FIRST_GAP_SECONDS_EACH * running,
            |speed| speed.gap.at(running),
        );
        base * self.factor(server).gap
    }

    /// Returns the seconds to compute one prompt token while `running` requests run.
    #[must_use]
    pub fn prefill_seconds(&self, server: ServerKey, class: ClassKey, running: f64) -> f64 {
        let base = self.classes.get(class.index()).map_or(
            FIRST_PREFILL_SECONDS + FIRST_PREFILL_SECONDS_EACH * running,
            |speed| speed.prefill.at(running),
        );
        base * self.factor(server).prefill
    }

    fn factor(&self, server: ServerKey) -> ServerFactor {
        self.factors
            .get(server.index())
            .copied()
            .unwrap_or_default()
    }

    fn reserve(&mut self, server: ServerKey, class: ClassKey) {
        if self.classes.len() <= class.index() {
            self.classes
                .resize_with(class.index() + 1, ClassSpeed::default);
        }
        if self.factors.len() <= server.index() {
            self.factors
                .resize_with(server.index() + 1, ServerFactor::default);
        }
    }
}

fn adapt(factor: &mut f64, seconds: f64, expected: f64) {
    if expected <= 0.0 {
        return;
    }
    let ratio = (seconds / expected).clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
    *factor += FACTOR_STEP * (ratio - *factor);
}
