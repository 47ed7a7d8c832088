//! Metrics of a serving host.

mod advice_metrics;
mod crash_metrics;
mod end_metrics;
mod host_metrics;
mod rollout_metrics;
mod share_metrics;
mod zone_metrics;

pub use advice_metrics::AdviceMetrics;
pub use crash_metrics::CrashMetrics;
pub use end_metrics::EndMetrics;
pub use host_metrics::HostMetrics;
pub use rollout_metrics::RolloutMetrics;
pub use share_metrics::ShareMetrics;
pub use zone_metrics::ZoneMetrics;
