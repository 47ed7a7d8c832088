//! Metrics of the entry daemon.

use prometheus::{IntCounter, IntCounterVec, IntGauge};
use teaselglade_net::metrics::{MetricRegistry, Result};

/// Holds the metrics of the entry daemon.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: MetricRegistry,
    /// Requests by organisation and outcome.
    pub(crate) requests: IntCounterVec,
    /// Tokens delivered to callers.
    pub(crate) tokens: IntCounter,
    /// Tokens that an engine computed again after an attempt was lost.
    pub(crate) recomputed_tokens: IntCounter,
    /// Frames of no running attempt, duplicate frames and frames out of order, all dropped.
    pub(crate) dropped_frames: IntCounter,
    /// Attempts that failed.
    pub(crate) failed_attempts: IntCounter,
    /// Failed reads of the host list.
    pub(crate) host_list_failures: IntCounter,
    /// Failed calls to the log.
    pub(crate) log_failures: IntCounter,
    /// Failed calls to peers.
    pub(crate) peer_failures: IntCounter,
    /// Messages of peers that were rejected.
    pub(crate) peer_refusals: IntCounter,
    /// Streams whose response is not complete yet.
    pub(crate) open_streams: IntGauge,
    /// Version of the active table.
    pub(crate) table_version: IntGauge,
}

impl EntryMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub(crate) fn new() -> Result<Self> {
        let registry = MetricRegistry::default();
        Ok(Self {
            requests: registry.counters(
                "teaselglade_requests_total",
                "Requests by organisation and outcome.",
                &["organisation", "outcome"],
            )?,
            tokens: registry.counter("teaselglade_tokens_total", "Tokens passed to callers.")?,
            recomputed_tokens: registry.counter(
                "teaselglade_recomputed_tokens_total",
                "Tokens computed again after a loss.",
            )?,
            dropped_frames: registry.counter(
                "teaselglade_dropped_frames_total",
                "Frames that belonged to no open attempt.",
            )?,
            failed_attempts: registry
                .counter("teaselglade_failed_attempts_total", "Attempts that failed.")?,
            host_list_failures: registry.counter(
                "teaselglade_host_list_failures_total",
                "Failed reads of the host list.",
            )?,
            log_failures: registry
                .counter("teaselglade_log_failures_total", "Failed calls to the log.")?,
            peer_failures: registry
                .counter("teaselglade_peer_failures_total", "Failed calls to peers.")?,
            peer_refusals: registry.counter(
                "teaselglade_peer_refusals_total",
                "Refused messages of peers.",
            )?,
            open_streams: registry.gauge("teaselglade_open_streams", "Streams in progress.")?,
            table_version: registry.gauge(
                "teaselglade_table_version",
                "Version of the table in force.",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        self.registry.render()
    }
}
