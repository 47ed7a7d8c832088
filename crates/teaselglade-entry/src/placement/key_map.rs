//! Keys of names and servers in the placement.

use std::collections::HashMap;

use teaselglade_core::id::{ClassKey, NameArena, OrganisationKey, ServerKey, ServiceKey, ZoneKey};
use teaselglade_core::table::ServiceRow;
use teaselglade_placement::policy::HardwareConstraints;
use teaselglade_placement::server::ServerAttributes;

use crate::directory::ServerEntry;

/// Maps names and directory servers to their keys in the placement.
///
/// The placement holds only this host's subset of servers, so its server keys differ from those
/// of the directory.
#[derive(Debug, Default)]
pub(super) struct KeyMap {
    classes: NameArena,
    zones: NameArena,
    services: NameArena,
    organisations: NameArena,
    placement_keys: HashMap<ServerKey, ServerKey>,
    directory_keys: HashMap<ServerKey, ServerKey>,
}

impl KeyMap {
    pub(super) fn attributes(&mut self, server: &ServerEntry) -> ServerAttributes {
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

    pub(super) fn hardware_constraints(&mut self, row: &ServiceRow) -> HardwareConstraints {
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

    /// Links a directory key to a placement key.
    pub(super) fn link(&mut self, directory_key: ServerKey, placement_key: ServerKey) {
        self.placement_keys.insert(directory_key, placement_key);
        self.directory_keys.insert(placement_key, directory_key);
    }

    /// Removes the link of a directory key and returns its placement key.
    pub(super) fn unlink(&mut self, directory_key: ServerKey) -> Option<ServerKey> {
        let placement_key = self.placement_keys.remove(&directory_key)?;
        self.directory_keys.remove(&placement_key);
        Some(placement_key)
    }

    pub(super) fn placement_key(&self, directory_key: ServerKey) -> Option<ServerKey> {
        self.placement_keys.get(&directory_key).copied()
    }

    pub(super) fn directory_key(&self, placement_key: ServerKey) -> Option<ServerKey> {
        self.directory_keys.get(&placement_key).copied()
    }

    /// Returns the directory keys of the servers in the placement, sorted.
    pub(super) fn linked_servers(&self) -> Vec<ServerKey> {
        let mut linked_servers = self.placement_keys.keys().copied().collect::<Vec<_>>();
        linked_servers.sort_unstable();
        linked_servers
    }
}
