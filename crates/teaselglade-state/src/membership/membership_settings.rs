//! Settings of the exchange.

use std::net::SocketAddr;

use teaselglade_core::id::{HostIncarnation, HostName};

use super::{MemberEntry, MemberLiveness};

/// Settings of the exchange at one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of this host.
    pub host: HostName,
    /// Incarnation of this host.
    pub incarnation: HostIncarnation,
    /// Address at which peers reach this host.
    pub address: SocketAddr,
    /// Data centre of this host.
    pub zone: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Whether news is pushed in rounds of its own, beside the regular exchange.
    pub pushes_updates: bool,
}

impl MembershipSettings {
    /// Makes the settings of a host.
    #[must_use]
    pub fn new(cluster: impl Into<String>, host: HostName, address: SocketAddr) -> Self {
        Self {
            cluster: cluster.into(),
            host,
            incarnation: HostIncarnation::default(),
            address,
            zone: String::new(),
            seed: 0,
            pushes_updates: true,
        }
    }

    /// Sets the incarnation.
    #[must_use]
    pub const fn incarnation(mut self, incarnation: HostIncarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the data centre.
    #[must_use]
    pub fn zone(mut self, zone: impl Into<String>) -> Self {
        self.zone = zone.into();
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets whether news is pushed in rounds of its own.
    #[must_use]
    pub const fn pushes_updates(mut self, pushes_updates: bool) -> Self {
        self.pushes_updates = pushes_updates;
        self
    }

    pub(super) fn to_member(&self) -> MemberEntry {
        MemberEntry {
            name: self.host.clone(),
            incarnation: self.incarnation,
            sequence: 0,
            liveness: MemberLiveness::Alive,
            address: self.address,
            zone: self.zone.clone(),
        }
    }
}
