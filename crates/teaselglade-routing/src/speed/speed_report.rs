//! What hosts tell one another about lasting speeds.

use serde::{Deserialize, Serialize};

/// What a host knows of the lasting speed of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedNotice {
    /// Hash of the server's incarnation.
    pub server: u64,
    /// Logarithm of its time relative to the service: samples in 1/32, estimates in coarse steps.
    pub step: i8,
    /// Weight of the samples behind it; in quarters for samples.
    pub weight: u8,
}

/// Lasting speeds that a host sends beside its digest, or an aggregator beside its aggregate.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Means of the samples since the last report. A lost report costs accuracy only.
    pub samples: Vec<SpeedNotice>,
    /// Estimates of some servers in turn.
    pub estimates: Vec<SpeedNotice>,
}

impl SpeedReport {
    /// Returns whether there is nothing to send.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::speed::SpeedReport;
    ///
    /// assert!(SpeedReport::default().is_empty());
    /// ```
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.samples.is_empty() && self.estimates.is_empty()
    }
}
