//! Part of a zone's demand that leaves it.

use serde::{Deserialize, Serialize};

/// Zone that receives a part of another zone's demand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OutflowTarget {
    /// Name of the receiving zone.
    pub zone: String,
    /// Part of the demand that it receives, between 0 and 1.
    pub share: f32,
}

/// Part of one zone's demand for a service that other zones serve.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneOutflow {
    /// Name of the service.
    pub service: String,
    /// Zone whose callers are served elsewhere.
    pub from: String,
    /// Receiving zones; the shares add up to at most 1.
    pub targets: Vec<OutflowTarget>,
}

impl ZoneOutflow {
    /// Returns the part of the zone's demand that leaves it.
    #[must_use]
    pub fn share(&self) -> f64 {
        let shares = self.targets.iter().map(|target| f64::from(target.share));
        shares.sum::<f64>().min(1.0)
    }
}

/// Outflows of all services, sent by an aggregator beside its digest.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ZoneReport {
    /// Outflows; zones that keep all of their demand are left out.
    pub outflows: Vec<ZoneOutflow>,
}
