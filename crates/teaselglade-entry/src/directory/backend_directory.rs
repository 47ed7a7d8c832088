//! Directory of backend servers and entry hosts.

use std::collections::{HashMap, HashSet};

use teaselglade_core::id::{HostIncarnation, HostName, ServerKey};
use teaselglade_core::port::{ListedHost, ListedRole};

use super::ServerEntry;

/// Holds the backend servers and entry hosts of the host list.
///
/// A server is never removed, so its key stays valid.
#[derive(Debug, Default)]
pub(crate) struct BackendDirectory {
    servers: Vec<ServerEntry>,
    keys: HashMap<(HostName, HostIncarnation), ServerKey>,
    entry_hosts: Vec<ListedHost>,
}

impl BackendDirectory {
    /// Applies the host list; a server marked as leaving stays so.
    ///
    /// Returns the servers that were not marked as leaving before.
    pub(crate) fn apply(&mut self, hosts: Vec<ListedHost>) -> Vec<ServerKey> {
        let previously_leaving = self.leaving_servers();
        let (entries, backends): (Vec<_>, Vec<_>) = hosts
            .into_iter()
            .partition(|host| host.role == ListedRole::Entry);
        self.entry_hosts = entries;
        let mut listed = HashSet::new();
        for host in backends {
            listed.insert(self.apply_backend(host));
        }
        let unlisted = self
            .servers
            .iter_mut()
            .filter(|server| !listed.contains(&server.key));
        unlisted.for_each(|server| server.is_unlisted = true);
        let mut leaving = self.leaving_servers();
        leaving.retain(|server| !previously_leaving.contains(server));
        leaving
    }

    /// Marks an incarnation of a host as leaving and returns its server.
    ///
    /// Returns `None` if the server is unknown or was marked before.
    pub(crate) fn mark_leaving(
        &mut self,
        host: &HostName,
        incarnation: HostIncarnation,
    ) -> Option<ServerKey> {
        let key = *self.keys.get(&(host.clone(), incarnation))?;
        let server = self.servers.get_mut(key.index())?;
        let is_new = !server.leaving;
        server.leaving = true;
        is_new.then_some(key)
    }

    /// Returns the server with a key.
    pub(crate) fn server(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key.index())
    }

    /// Returns the available server on a host.
    pub(crate) fn find_by_host(&self, host: &str) -> Option<ServerKey> {
        let mut available = self.available();
        let server = available.find(|server| server.host.as_str() == host);
        server.map(|server| server.key)
    }

    /// Returns the servers that accept new requests.
    pub(crate) fn available(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.iter().filter(|server| server.is_available())
    }

    /// Returns the number of servers that accept new requests.
    pub(crate) fn available_count(&self) -> usize {
        self.servers
            .iter()
            .filter(|server| server.is_available())
            .count()
    }

    /// Returns the entry hosts in the host list, including this one.
    pub(crate) fn entry_hosts(&self) -> &[ListedHost] {
        &self.entry_hosts
    }

    fn leaving_servers(&self) -> Vec<ServerKey> {
        let leaving = self.servers.iter().filter(|server| server.leaving);
        leaving.map(|server| server.key).collect()
    }

    fn apply_backend(&mut self, host: ListedHost) -> ServerKey {
        let identity = (host.name.clone(), host.incarnation);
        if let Some(key) = self.keys.get(&identity) {
            let server = &mut self.servers[key.index()];
            server.leaving |= host.leaving;
            server.is_unlisted = false;
            return *key;
        }
        let key = ServerKey::new(self.servers.len() as u32);
        self.servers.push(ServerEntry::new(key, host));
        self.keys.insert(identity, key);
        key
    }
}
