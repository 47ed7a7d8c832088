//! Linear regression with exponential decay of old samples.

const SAMPLE_DECAY: f64 = 0.995;
const MIN_DETERMINANT: f64 = 1e-6;

/// Fits a line to samples `(x, y)`; the weight of old samples decays exponentially.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::cost::LinearFit;
///
/// let mut fit = LinearFit::with_prior(0.02, 0.001);
/// for x in 0..500 {
///     let x = f64::from(x % 10);
///     fit.add(x, 0.010 + 0.002 * x);
/// }
/// assert!((fit.value_at(5.0) - 0.020).abs() < 0.001);
/// ```
#[derive(Debug, Clone)]
pub struct LinearFit {
    weight_sum: f64,
    x_sum: f64,
    y_sum: f64,
    xx_sum: f64,
    xy_sum: f64,
    intercept: f64,
    slope: f64,
}

impl LinearFit {
    /// Creates a fit whose initial samples lie on the line `intercept + slope * x`.
    #[must_use]
    pub fn with_prior(intercept: f64, slope: f64) -> Self {
        let mut fit = Self {
            weight_sum: 0.0,
            x_sum: 0.0,
            y_sum: 0.0,
            xx_sum: 0.0,
            xy_sum: 0.0,
            intercept,
            slope,
        };
        for x in [0.0, 8.0, 16.0] {
            fit.add(x, intercept + slope * x);
        }
        fit
    }

    /// Adds a sample.
    pub fn add(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight_sum,
            &mut self.x_sum,
            &mut self.y_sum,
            &mut self.xx_sum,
            &mut self.xy_sum,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.weight_sum += 1.0;
        self.x_sum += x;
        self.y_sum += y;
        self.xx_sum += x * x;
        self.xy_sum += x * y;
        self.solve();
    }

    /// Returns the value of the line at `x`, at least zero.
    #[must_use]
    pub fn value_at(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x).max(0.0)
    }

    fn solve(&mut self) {
        let determinant = self.weight_sum * self.xx_sum - self.x_sum * self.x_sum;
        if determinant < MIN_DETERMINANT {
            return;
        }
        let slope = (self.weight_sum * self.xy_sum - self.x_sum * self.y_sum) / determinant;
        self.slope = slope.max(0.0);
        self.intercept = ((self.y_sum - self.slope * self.x_sum) / self.weight_sum).max(0.0);
    }
}
