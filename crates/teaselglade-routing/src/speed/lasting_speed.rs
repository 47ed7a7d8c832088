//! Lasting speed of one server relative to its service.

/// Weight that the service's prior has against samples of the server.
const PRIOR_WEIGHT: f64 = 4.0;
/// Weight of samples that are remembered; older ones are forgotten.
const MAX_WEIGHT: f64 = 20.0;
/// Bound on the logarithm of a server's time relative to its service; a factor of 4.
const MAX_LOG_TIME: f64 = 1.386;
/// Largest logarithm by which one sample may differ from the estimate; a factor of 4.
const MAX_DEVIATION: f64 = 1.386;
/// Width of one step of the estimate, as a logarithm; a factor of about 1.2.
const STEP_LOG: f64 = 0.18;
/// Number of steps within which a server counts as being like its service.
const ALIKE_STEPS: i8 = 1;
/// Weight of one sample in the mean square errors.
const ERROR_WEIGHT: f64 = 0.1;

/// Mean of the logarithm of the relative time of a server.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    value: f64,
    weight: f64,
    square_error: f64,
}

impl LogMean {
    fn observe(&mut self, sample: f64, weight: f64) {
        let deviation = (sample - self.value).clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.square_error += (deviation * deviation - self.square_error) * ERROR_WEIGHT;
        self.weight = (self.weight + weight).min(MAX_WEIGHT);
        let value = self.value + deviation * (weight / self.weight).min(1.0);
        self.value = value.clamp(-MAX_LOG_TIME, MAX_LOG_TIME);
    }
}

/// Lasting time of work on a server, relative to the servers of its service.
///
/// The estimate is a mean of logarithms, drawn towards 1 while samples are few and bounded to a
/// factor of 4 either way. A sample is divided by the server's own word on its pace where times prove
/// to vary less with that word than without it. Servers within about a quarter of their
/// service count as alike.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::speed::LastingSpeed;
///
/// let mut speed = LastingSpeed::default();
/// assert_eq!(speed.time_ratio(), 1.0);
/// for _ in 0..30 {
///     speed.observe(2.0, None, 1.0);
/// }
/// assert!((1.7..2.2).contains(&speed.time_ratio()));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct LastingSpeed {
    plain: LogMean,
    normalised: LogMean,
}

impl LastingSpeed {
    /// Records that work took `ratio` times what it takes on the service's servers.
    ///
    /// `pace` is the server's own word at that time, relative to its mean. Ratios that are no positive number are ignored.
    pub fn observe(&mut self, ratio: f64, pace: Option<f64>, weight: f64) {
        if !(ratio.is_finite() && ratio > 0.0 && weight > 0.0) {
            return;
        }
        let sample = ratio.ln();
        self.plain.observe(sample, weight);
        self.normalised
            .observe(sample - pace.unwrap_or(1.0).ln(), weight);
    }

    /// Replaces the estimate by one of another host, unless this one rests on far more samples.
    pub fn adopt(&mut self, step: i8, weight: u8) {
        let weight = f64::from(weight).min(MAX_WEIGHT);
        if weight * 2.0 < self.plain.weight {
            return;
        }
        let value = (f64::from(step) * STEP_LOG).clamp(-MAX_LOG_TIME, MAX_LOG_TIME);
        for mean in [&mut self.plain, &mut self.normalised] {
            // Within the step the own estimate is the finer one.
            if (mean.value - value).abs() > STEP_LOG / 2.0 {
                mean.value = value;
            }
            mean.weight = mean.weight.max(weight);
        }
    }

    /// Returns whether the server's word on its pace explains its times.
    #[must_use]
    pub fn trusts_pace(&self) -> bool {
        self.normalised.square_error < self.plain.square_error
    }

    /// Returns the time of work, relative to the service, as a factor in coarse steps.
    ///
    /// Coarse steps let all hosts rank servers alike although their estimates differ a little.
    #[must_use]
    pub fn time_ratio(&self) -> f64 {
        if self.is_alike() {
            return 1.0;
        }
        (self.shrunk_steps() * STEP_LOG).exp()
    }

    /// Returns whether the server counts as being like its service.
    #[must_use]
    pub fn is_alike(&self) -> bool {
        self.shrunk_steps().abs() <= f64::from(ALIKE_STEPS)
    }

    fn shrunk_steps(&self) -> f64 {
        let mean = self.mean();
        let shrunk = mean.value * mean.weight / (mean.weight + PRIOR_WEIGHT);
        (shrunk / STEP_LOG).round()
    }

    /// Returns the estimate in steps, for messages to other hosts.
    #[must_use]
    pub fn step(&self) -> i8 {
        (self.mean().value / STEP_LOG).round() as i8
    }

    /// Returns the weight of the samples behind the estimate.
    #[must_use]
    pub fn weight(&self) -> u8 {
        self.mean().weight as u8
    }

    fn mean(&self) -> &LogMean {
        if self.trusts_pace() {
            &self.normalised
        } else {
            &self.plain
        }
    }
}
