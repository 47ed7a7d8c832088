//! Percentiles of a latency.

use hdrhistogram::Histogram;

const MICROS_PER_MILLI: f64 = 1_000.0;

teaselglade_core::value_type! {
    /// Percentiles of a latency, in milliseconds.
    #[derive(Copy)]
    pub struct LatencyReport {
        /// Median.
        pub p50: f64,
        /// 95th percentile.
        pub p95: f64,
        /// 99th percentile.
        pub p99: f64,
    }
}

impl LatencyReport {
    /// Computes the percentiles of a histogram of microseconds.
    #[must_use]
    pub fn new(micros: &Histogram<u64>) -> Self {
        let millis = |quantile| micros.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            p50: millis(0.5),
            p95: millis(0.95),
            p99: millis(0.99),
        }
    }
}
