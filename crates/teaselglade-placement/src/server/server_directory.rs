//! Arena of the servers known to one entry host.

use teaselglade_core::id::{ServerKey, ServiceKey};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

use super::{LoadEstimate, ServerAttributes, ServerEntry, ServerState};

/// Arena of the servers known to one entry host; keys are never reused.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, ServiceKey, ZoneKey};
/// use teaselglade_placement::server::{ServerDirectory, ServerAttributes, ServerState};
///
/// let mut directory = ServerDirectory::default();
/// let attributes = ServerAttributes {
///     service: ServiceKey::new(0),
///     class: ClassKey::new(0),
///     zone: ZoneKey::new(0),
///     cents_per_hour: 40.0,
///     reclaimable: true,
/// };
/// let server = directory.add(attributes);
/// directory.advance(server, ServerState::Leaving);
/// directory.advance(server, ServerState::Live);
/// assert_eq!(directory.entry(server).state, ServerState::Leaving);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ServerDirectory {
    entries: Vec<ServerEntry>,
    live: Vec<Vec<ServerKey>>,
}

impl ServerDirectory {
    /// Adds a live server and returns its key.
    pub fn add(&mut self, attributes: ServerAttributes) -> ServerKey {
        let key = ServerKey::new(self.entries.len() as u32);
        self.entries.push(ServerEntry {
            attributes,
            state: ServerState::Live,
            load: LoadEstimate::default(),
        });
        let service = attributes.service.index();
        if self.live.len() <= service {
            self.live.resize_with(service + 1, Vec::new);
        }
        self.live[service].push(key);
        key
    }

    /// Replaces the attributes of a server, such as its price; its service is unchanged.
    pub fn update(&mut self, server: ServerKey, attributes: ServerAttributes) {
        let entry = &mut self.entries[server.index()];
        let service = entry.attributes.service;
        entry.attributes = ServerAttributes {
            service,
            ..attributes
        };
    }

    /// Advances the state of a server; earlier states than the current one are ignored.
    pub fn advance(&mut self, server: ServerKey, state: ServerState) {
        let entry = &mut self.entries[server.index()];
        if state <= entry.state {
            return;
        }
        entry.state = state;
        self.live[entry.attributes.service.index()].retain(|key| *key != server);
    }

    /// Returns the server with the given key.
    ///
    /// # Panics
    ///
    /// Panics if the key belongs to another directory.
    #[must_use]
    pub fn entry(&self, key: ServerKey) -> &ServerEntry {
        &self.entries[key.index()]
    }

    /// Returns the servers of a service that accept new work.
    #[must_use]
    pub fn live(&self, service: ServiceKey) -> &[ServerKey] {
        self.live.get(service.index()).map_or(&[], Vec::as_slice)
    }

    /// Returns all servers ever added, including those that are gone.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.iter()
    }

    /// Returns the number of servers ever added, including those that are gone.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no server was ever added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn start(&mut self, now: Timestamp, server: ServerKey) {
        self.entries[server.index()].load.start(now);
    }

    pub(crate) fn end(&mut self, now: Timestamp, server: ServerKey) {
        self.entries[server.index()].load.end(now);
    }

    pub(crate) fn report(&mut self, now: Timestamp, server: ServerKey, report: &ServerReport) {
        self.entries[server.index()].load.report(now, report);
    }
}
