//! Arena of backend servers.

use std::collections::{HashMap, HashSet};

use teaselglade_core::id::{HostIncarnation, HostName, ServerKey};
use teaselglade_core::port::{ListedHost, ListedRole};

use super::ServerEntry;

/// Backend servers and entry hosts that this host knows.
#[derive(Debug, Default)]
pub(crate) struct BackendDirectory {
    servers: Vec<ServerEntry>,
    keys: HashMap<(HostName, HostIncarnation), ServerKey>,
    entry_hosts: Vec<ListedHost>,
}

impl BackendDirectory {
    /// Takes in what the host list shows; "leaving" is never taken back.
    pub(crate) fn apply(&mut self, hosts: Vec<ListedHost>) {
        let (entries, backends): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|host| host.role == ListedRole::Entry);
        self.entry_hosts = entries;
        let mut listed = HashSet::new();
        for host in backends {
            listed.insert(self.apply_backend(host));
        }
        let dropped = self
            .servers
            .iter_mut()
            .filter(|server| !listed.contains(&server.key));
        dropped.for_each(|server| server.gone = true);
    }

    /// Marks an incarnation of a host as leaving.
    pub(crate) fn mark_leaving(&mut self, host: &HostName, incarnation: HostIncarnation) {
        let key = self.keys.get(&(host.clone(), incarnation));
        if let Some(server) = key.and_then(|key| self.servers.get_mut(key.index())) {
            server.leaving = true;
        }
    }

    /// Returns a server.
    pub(crate) fn server(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key.index())
    }

    /// Returns the servers of a service that take new work.
    pub(crate) fn open_servers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        self.servers
            .iter()
            .filter(move |server| server.is_open() && server.service == service)
    }

    /// Returns how many servers take new work.
    pub(crate) fn open_count(&self) -> usize {
        self.servers
            .iter()
            .filter(|server| server.is_open())
            .count()
    }

    /// Returns the entry hosts that the host list shows.
    pub(crate) fn entry_hosts(&self) -> &[ListedHost] {
        &self.entry_hosts
    }

    fn apply_backend(&mut self, host: ListedHost) -> ServerKey {
        let identity = (host.name.clone(), host.incarnation);
        if let Some(key) = self.keys.get(&identity) {
            let server = &mut self.servers[key.index()];
            server.leaving |= host.leaving;
            server.gone = false;
            return *key;
        }
        let key = ServerKey::new(self.servers.len() as u32);
        self.servers.push(ServerEntry::new(key, host));
        self.keys.insert(identity, key);
        key
    }
}
