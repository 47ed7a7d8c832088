//! Registry of a daemon's counters, gauges and histograms.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use super::Result;

/// Registry of a daemon's counters, gauges and histograms.
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
    /// Creates and registers a counter.
    ///
    /// # Errors
    ///
    /// Fails if the name is malformed or taken.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        let counter = IntCounter::new(name, help)?;
        self.registry.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    /// Creates and registers a family of counters with labels.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(counters.clone()))?;
        Ok(counters)
    }

    /// Creates and registers a gauge.
    ///
    /// # Errors
    ///
    /// Fails if the name is malformed or taken.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        let gauge = IntGauge::new(name, help)?;
        self.registry.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    /// Creates and registers a family of gauges with labels.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.registry.register(Box::new(gauges.clone()))?;
        Ok(gauges)
    }

    /// Creates and registers a family of histograms with labels.
    ///
    /// # Errors
    ///
    /// Fails if a name is malformed or taken, or if the bounds do not increase.
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

    /// Returns all metrics in the Prometheus text format.
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
