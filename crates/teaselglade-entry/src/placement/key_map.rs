//! Keys of names and servers in the placement.

use std::collections::HashMap;

use teaselglade_core::id::{ClassKey, NameArena, OrganisationKey, ServerKey, ServiceKey, ZoneKey};
use teaselglade_core::table::ServiceRow;
use teaselglade_placement::policy::HardwareConstraints;
use teaselglade_placement::server::ServerAttributes;

use crate::directory::ServerEntry;

/// Keys of names and servers in the placement.
///
/// The placement knows only this host's subset, so its server keys are its own.
#[derive(Debug, Default)]
pub(super) struct KeyMap {
    classes: NameArena,
    zones: NameArena,
    services: NameArena,
    organisations: NameArena,
    placed: HashMap<ServerKey, ServerKey>,
    listed: HashMap<ServerKey, ServerKey>,
}

impl KeyMap {
    pub(super) fn facts(&mut self, server: &ServerEntry) -> ServerAttributes {
        ServerAttributes {
            service: self.service(&server.service),
            class: ClassKey::new(self.classes.intern(&server.class) as u16),
            zone: ZoneKey::new(self.zones.intern(&server.zone) as u16),
            cents_per_hour: server.cents_per_hour,
            reclaimable: server.reclaimable,
        }
    }

    pub(super) fn service(&mut self, name: &str) -> ServiceKey {
        ServiceKey::new(self.services.intern(name) as u16)
    }

    pub(super) fn organisation(&mut self, name: &str) -> OrganisationKey {
        OrganisationKey::new(self.organisations.intern(name) as u16)
    }

    pub(super) fn permit(&mut self, row: &ServiceRow) -> HardwareConstraints {
        let classes = row.classes.iter();
        let classes = classes.map(|name| ClassKey::new(self.classes.intern(name) as u16));
        let classes = classes.collect();
        let zones = row.zones.iter();
        let zones = zones.map(|name| ZoneKey::new(self.zones.intern(name) as u16));
        HardwareConstraints {
            classes,
            zones: zones.collect(),
            max_cents_per_hour: row.max_cents_per_hour,
        }
    }

    /// Links a listed server with its key in the placement.
    pub(super) fn link(&mut self, listed: ServerKey, placed: ServerKey) {
        self.placed.insert(listed, placed);
        self.listed.insert(placed, listed);
    }

    /// Removes the link of a listed server and returns its key in the placement.
    pub(super) fn unlink(&mut self, listed: ServerKey) -> Option<ServerKey> {
        let placed = self.placed.remove(&listed)?;
        self.listed.remove(&placed);
        Some(placed)
    }

    pub(super) fn placed(&self, listed: ServerKey) -> Option<ServerKey> {
        self.placed.get(&listed).copied()
    }

    pub(super) fn listed(&self, placed: ServerKey) -> Option<ServerKey> {
        self.listed.get(&placed).copied()
    }

    /// Returns the listed servers that the placement knows.
    pub(super) fn linked(&self) -> Vec<ServerKey> {
        let mut linked = self.placed.keys().copied().collect::<Vec<_>>();
        linked.sort_unstable();
        linked
    }
}
