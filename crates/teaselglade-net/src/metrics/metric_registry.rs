//! Registry of a daemon's counters and gauges.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use super::Result;

/// Registry of a daemon's counters and gauges.
///
/// # Examples
///
/// ```
/// use teaselglade_net::metrics::MetricRegistry;
///
/// let registry = MetricRegistry::default();
/// let tokens = registry.counter("tokens_total", "Tokens passed to callers.")?;
/// tokens.inc_by(3);
/// assert!(registry.render().contains("tokens_total 3"));
/// # Ok::<(), prometheus::Error>(())
/// ```
#[derive(Debug, Default)]
pub struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    /// Makes and registers a counter.
    ///
    /// # Errors
    ///
    /// Fails where the name is malformed or taken.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Makes and registers counters that labels tell apart.
    ///
    /// # Errors
    ///
    /// Fails where a name is malformed or taken.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Makes and registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails where the name is malformed or taken.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Makes and registers gauges that labels tell apart.
    ///
    /// # Errors
    ///
    /// Fails where a name is malformed or taken.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Makes and registers histograms that labels tell apart.
    ///
    /// # Errors
    ///
    /// Fails where a name is malformed or taken, or the bounds do not grow.
    pub fn histogram(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        bounds: &[f64],
    ) -> Result<HistogramVec> {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        let histogram = HistogramVec::new(options, labels)?;
        self.registry.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    /// Returns all counters and gauges in the text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        if let Err(error) = encoded {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
