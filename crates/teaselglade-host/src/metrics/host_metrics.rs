//! Metrics of a serving host.

use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};
use teaselglade_net::metrics::{MetricRegistry, Result};

use super::{AdviceMetrics, CrashMetrics, EndMetrics, RolloutMetrics, ShareMetrics, ZoneMetrics};

/// Upper bounds of latency buckets in seconds.
///
/// They range from a plain call within the zone of the host to a long stream.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0, 10.0,
];

/// Counters, gauges and histograms of a serving host.
#[derive(Debug)]
pub struct HostMetrics {
    registry: MetricRegistry,
    /// Final responses by service, organisation and outcome.
    pub answers: IntCounterVec,
    /// Ends of requests by cause.
    pub ends: EndMetrics,
    /// Refused requests by reason.
    pub refusals: IntCounterVec,
    /// Attempts at servers by service and outcome.
    pub attempts: IntCounterVec,
    /// Seconds from a request's arrival to its response or first event, by service.
    pub first_seconds: HistogramVec,
    /// Seconds from a request's arrival to the end of its response, by service.
    pub whole_seconds: HistogramVec,
    /// Requests in progress.
    pub in_progress: IntGauge,
    /// Connections opened to backend servers.
    pub connections: IntCounter,
    /// Calls to the store and the platform's API by name and outcome.
    pub platform_calls: IntCounterVec,
    /// Gossip digests by direction.
    pub digests: IntCounterVec,
    /// Bytes of gossip digests by direction.
    pub digest_bytes: IntCounterVec,
    /// Unreadable store records that were skipped.
    pub unreadable_records: IntCounter,
    /// Generation of the store's history; it rises when the store returns from an older copy.
    pub store_generation: IntGauge,
    /// Returns of the store from an older copy that this host saw.
    pub store_returns: IntCounter,
    /// Version of the active table.
    pub table_version: IntGauge,
    /// What servers said of themselves in responses.
    pub advice: AdviceMetrics,
    /// Shares of services whose room is scarce.
    pub shares: ShareMetrics,
    /// Evidence on requests and prompt parts that end servers.
    pub crashes: CrashMetrics,
    /// Roll-outs of services' versions.
    pub rollouts: RolloutMetrics,
    /// Requests between data centres.
    pub zones: ZoneMetrics,
    /// Age of the newest registration data in milliseconds.
    pub update_age: IntGauge,
    /// Fetches of state from peers by outcome.
    pub peer_fetches: IntCounterVec,
    /// Bytes of state that peers returned.
    pub peer_fetch_bytes: IntCounter,
    /// Servers that accept new work, by service.
    pub servers: IntGaugeVec,
    /// 1 while this host is the leader, else 0.
    pub is_leader: IntGauge,
    /// Dropped log lines by cause.
    pub dropped_lines: IntCounterVec,
}

impl HostMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name, which would be a bug in this function.
    pub fn new() -> Result<Self> {
        let registry = MetricRegistry::default();
        let r = &registry;
        Ok(Self {
            answers: r.counters(
                "teaselglade_answers_total",
                "Final answers.",
                &["service", "organisation", "outcome"],
            )?,
            ends: EndMetrics::new(r)?,
            refusals: r.counters("teaselglade_refusals_total", "Refusals.", &["reason"])?,
            attempts: r.counters(
                "teaselglade_attempts_total",
                "Attempts at servers.",
                &["service", "outcome"],
            )?,
            first_seconds: r.histogram(
                "teaselglade_first_seconds",
                "Time to the answer or its first event.",
                &["service"],
                &LATENCY_BUCKETS,
            )?,
            whole_seconds: r.histogram(
                "teaselglade_whole_seconds",
                "Time to the end of the answer.",
                &["service"],
                &LATENCY_BUCKETS,
            )?,
            in_progress: r.gauge("teaselglade_requests_in_progress", "Requests in progress.")?,
            connections: r.counter(
                "teaselglade_server_connections_total",
                "Connections opened to servers.",
            )?,
            platform_calls: r.counters(
                "teaselglade_platform_calls_total",
                "Calls to the store and the platform's API.",
                &["call", "outcome"],
            )?,
            digests: r.counters(
                "teaselglade_digests_total",
                "Digests of hosts.",
                &["direction"],
            )?,
            digest_bytes: r.counters(
                "teaselglade_digest_bytes_total",
                "Bytes of digests.",
                &["direction"],
            )?,
            unreadable_records: r.counter(
                "teaselglade_unreadable_records_total",
                "Records of the store that were passed over.",
            )?,
            store_generation: r.gauge(
                "teaselglade_store_generation",
                "Generation of the store's history.",
            )?,
            store_returns: r.counter(
                "teaselglade_store_returns_total",
                "Returns of the store from an older copy of its records.",
            )?,
            table_version: r.gauge(
                "teaselglade_table_version",
                "Version of the table in force.",
            )?,
            advice: AdviceMetrics::new(r)?,
            shares: ShareMetrics::new(r)?,
            crashes: CrashMetrics::new(r)?,
            rollouts: RolloutMetrics::new(r)?,
            zones: ZoneMetrics::new(r)?,
            update_age: r.gauge(
                "teaselglade_update_age_ms",
                "Age of the newest data on servers.",
            )?,
            peer_fetches: r.counters(
                "teaselglade_peer_fetches_total",
                "Fetches of the table and servers from peers.",
                &["outcome"],
            )?,
            peer_fetch_bytes: r.counter(
                "teaselglade_peer_fetch_bytes_total",
                "Bytes of tables and servers that peers returned.",
            )?,
            servers: r.gauges(
                "teaselglade_servers",
                "Servers that take work.",
                &["service"],
            )?,
            is_leader: r.gauge(
                "teaselglade_holds_duties",
                "1 where this host holds the duties.",
            )?,
            dropped_lines: r.counters(
                "teaselglade_log_lines_dropped_total",
                "Log lines that were not written.",
                &["cause"],
            )?,
            registry,
        })
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.registry.render()
    }
}
