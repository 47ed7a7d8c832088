//! Placer of one entry host: its server directory and its policy.

use std::collections::HashMap;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;

use super::{Placement, PlacementEvent, PlacementPolicy, PlacementQuery, Result};
use crate::server::{ServerAttributes, ServerDirectory, ServerState};

/// Places the requests of one entry host on its servers by a policy.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::{ClassKey, OrganisationKey, ServiceKey, ZoneKey};
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_placement::baseline::LeastLoad;
/// use teaselglade_placement::policy::{PlacementEvent, PlacementQuery, ServerPlacer};
/// use teaselglade_placement::server::ServerAttributes;
///
/// let mut placer = ServerPlacer::new(Box::new(LeastLoad::default()));
/// let service = ServiceKey::new(0);
/// let server = placer.add(ServerAttributes {
///     service,
///     class: ClassKey::new(0),
///     zone: ZoneKey::new(0),
///     cents_per_hour: 40.0,
///     reclaimable: true,
/// });
/// let query = PlacementQuery::new(service, OrganisationKey::new(0));
/// let now = Timestamp::from_millis(5);
/// assert_eq!(placer.place(now, &query).map(|placement| placement.server), Ok(server));
///
/// let notice = PlacementEvent::ReclaimNoticed { server, deadline: Timestamp::from_millis(9) };
/// placer.observe(now, &notice);
/// assert!(placer.place(now, &query).is_err());
/// ```
#[derive(Debug)]
pub struct ServerPlacer {
    directory: ServerDirectory,
    policy: Box<dyn PlacementPolicy>,
    attempts: HashMap<AttemptId, ServerKey>,
}

impl ServerPlacer {
    /// Creates a placer without servers.
    #[must_use]
    pub fn new(policy: Box<dyn PlacementPolicy>) -> Self {
        Self {
            directory: ServerDirectory::default(),
            policy,
            attempts: HashMap::new(),
        }
    }

    /// Adds a live server and returns its key.
    pub fn add(&mut self, attributes: ServerAttributes) -> ServerKey {
        self.directory.add(attributes)
    }

    /// Replaces the attributes of a server, such as its price.
    pub fn update(&mut self, server: ServerKey, attributes: ServerAttributes) {
        self.directory.update(server, attributes);
    }

    /// Marks a server as leaving, for instance because of the host list.
    pub fn mark_leaving(&mut self, server: ServerKey) {
        self.directory.advance(server, ServerState::Leaving);
    }

    /// Returns the directory of servers.
    #[must_use]
    pub const fn directory(&self) -> &ServerDirectory {
        &self.directory
    }

    /// Returns the placement of a request.
    ///
    /// # Errors
    ///
    /// Refuses with "not run" if no allowed server accepts new work.
    pub fn place(&mut self, now: Timestamp, query: &PlacementQuery) -> Result<Placement> {
        self.policy.place(now, &self.directory, query)
    }

    /// Applies an event to the directory, then passes it to the policy.
    pub fn observe(&mut self, now: Timestamp, event: &PlacementEvent) {
        match event {
            PlacementEvent::Dispatched {
                attempt, server, ..
            } => {
                self.attempts.insert(*attempt, *server);
                self.directory.start(now, *server);
            }
            PlacementEvent::Ended { attempt } => {
                if let Some(server) = self.attempts.remove(attempt) {
                    self.directory.end(now, server);
                }
            }
            PlacementEvent::Reported { server, report } => {
                self.directory.report(now, *server, report);
            }
            PlacementEvent::ReclaimNoticed { server, .. } => {
                self.directory.advance(*server, ServerState::Leaving);
            }
            PlacementEvent::Gone { server } => self.directory.advance(*server, ServerState::Gone),
            PlacementEvent::Started { .. }
            | PlacementEvent::FirstToken { .. }
            | PlacementEvent::EntryHostsChanged { .. }
            | PlacementEvent::CacheChanged { .. } => {}
        }
        self.policy.observe(now, &self.directory, event);
    }
}
