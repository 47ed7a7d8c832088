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
    ///
    /// Returns the servers that are leaving since now.
    pub(crate) fn apply(&mut self, hosts: Vec<ListedHost>) -> Vec<ServerKey> {
        let known = self.leaving_servers();
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
        let mut leaving = self.leaving_servers();
        leaving.retain(|server| !known.contains(server));
        leaving
    }

    /// Marks an incarnation of a host as leaving and returns its server, where that is news.
    pub(crate) fn mark_leaving(
        &mut self,
        host: &HostName,
        incarnation: HostIncarnation,
    ) -> Option<ServerKey> {
        let key = *self.keys.get(&(host.clone(), incarnation))?;
        let server = self.servers.get_mut(key.index())?;
        let is_news = !server.leaving;
        server.leaving = true;
        is_news.then_some(key)
    }

    /// Returns a server.
    pub(crate) fn server(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key.index())
    }

    /// Returns the server on a host, where it takes new work.
    pub(crate) fn find_by_host(&self, host: &str) -> Option<ServerKey> {
        let mut open = self.open();
        let server = open.find(|server| server.host.as_str() == host);
        server.map(|server| server.key)
    }

    /// Returns the servers that take new work.
    pub(crate) fn open(&self) -> impl Iterator<Item = &ServerEntry> {
        self.servers.iter().filter(|server| server.is_open())
    }

    /// Returns how many servers take new work.
    pub(crate) fn available_count(&self) -> usize {
        self.servers
            .iter()
            .filter(|server| server.is_open())
            .count()
    }

    /// Returns the entry hosts that the host list shows.
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
            server.gone = false;
            return *key;
        }
        let key = ServerKey::new(self.servers.len() as u32);
        self.servers.push(ServerEntry::new(key, host));
        self.keys.insert(identity, key);
        key
    }
}
