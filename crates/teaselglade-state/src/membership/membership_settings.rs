//! Settings of the gossip between entry hosts.

use std::net::SocketAddr;

use teaselglade_core::id::{HostIncarnation, HostName};

use super::{MemberEntry, MemberLiveness};

/// Settings of the gossip at one host.
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
    /// Seed of the peer selection and the jitter.
    pub seed: u64,
    /// Whether updates are also pushed between the regular gossip rounds.
    pub pushes_updates: bool,
}

impl MembershipSettings {
    /// Creates the settings of a host, with incarnation and seed 0 and no data centre.
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

    /// Sets the seed of the peer selection and the jitter.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets whether updates are also pushed between the regular gossip rounds.
    #[must_use]
    pub const fn pushes_updates(mut self, pushes_updates: bool) -> Self {
        self.pushes_updates = pushes_updates;
        self
    }

    /// Returns the initial entry of this host.
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
