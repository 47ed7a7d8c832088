//! Line through samples, where old samples fade.

const DECAY: f64 = 0.995;
const MIN_SPREAD: f64 = 1e-6;

/// Line through samples `(x, y)`, where old samples fade.
///
/// # Examples
///
/// ```
/// use teaselglade_placement::cost::LinearFit;
///
/// let mut fit = LinearFit::around(0.02, 0.001);
/// for x in 0..500 {
///     let x = f64::from(x % 10);
///     fit.add(x, 0.010 + 0.002 * x);
/// }
/// assert!((fit.at(5.0) - 0.020).abs() < 0.001);
/// ```
#[derive(Debug, Clone)]
pub struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    intercept: f64,
    slope: f64,
}

impl LinearFit {
    /// Makes a fit that starts on the line `intercept + slope * x`.
    #[must_use]
    pub fn around(intercept: f64, slope: f64) -> Self {
        let mut fit = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
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
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.weight += 1.0;
        self.x += x;
        self.y += y;
        self.xx += x * x;
        self.xy += x * y;
        self.solve();
    }

    /// Returns the value of the line at `x`; the line never falls below zero.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        (self.intercept + self.slope * x).max(0.0)
    }

    fn solve(&mut self) {
        let spread = self.weight * self.xx - self.x * self.x;
        if spread < MIN_SPREAD {
            return;
        }
        let slope = (self.weight * self.xy - self.x * self.y) / spread;
        self.slope = slope.max(0.0);
        self.intercept = ((self.y - self.slope * self.x) / self.weight).max(0.0);
    }
}
