//! The backend servers that a host knows, by incarnation.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{RegistrationState, ServerRegistration};
use crate::gossip::name_hash;

/// Time after the store's return in which lapsed entries come back.
const LAPSE_GRACE: Duration = Duration::from_secs(2);
/// Time for which departures are passed on to peers; twice what any host needs to hear one.
const DEPARTURE_NEWS: Duration = Duration::from_secs(10);

/// Time for which changed entries are passed on to peers; a few digests, as some get lost.
const CHANGE_NEWS: Duration = Duration::from_millis(1_500);

/// Digests among which one names a departure that is no longer fresh.
///
/// Fresh ones stand in all; older ones are for hosts that were cut off, which hear several digests.
const DEPARTURE_TURNS: u64 = 5;

/// Whose news of servers a message carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateScope {
    /// All news, whoever told them.
    All,
    /// What this host learned without its peers.
    Local,
}

/// Whether an incarnation of a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// It takes new work.
    Ready,
    /// Its entry went while the store was away; it takes work unless the entry stays missing.
    Expired {
        /// When it counts as gone.
        until: Timestamp,
    },
    /// It leaves, or is gone; this is never undone.
    Leaving,
}

/// One incarnation of a server.
#[derive(Debug, Clone)]
pub struct RegisteredServer {
    /// What it says of itself.
    pub registration: ServerRegistration,
    /// Hash of its name, by which peers call it.
    pub hash: u64,
    /// Whether it takes new work.
    pub phase: ServerPhase,
    /// When its leaving was learned.
    left_at: Option<Timestamp>,
    /// Whether the server itself said that it drains.
    has_drained: bool,
    /// Whether its entry is gone too.
    pub is_removed: bool,
    /// When more than the heartbeat's number changed last.
    changed_at: Timestamp,
    /// Whether a peer told the latest change.
    is_heard: bool,
}

impl RegisteredServer {
    const fn is_told(&self, scope: UpdateScope) -> bool {
        matches!(scope, UpdateScope::All) || !self.is_heard
    }
}

/// Last entry of an incarnation that was removed.
#[derive(Debug, Clone, Copy)]
struct RetiredEntry {
    started_at_ms: u64,
    heartbeat: u64,
    was_draining: bool,
}

/// The leaving of one incarnation, as peers pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerDeparture {
    /// Server.
    pub id: String,
    /// Its incarnation.
    #[serde(rename = "born")]
    pub started_at_ms: u64,
    /// Number of the last heartbeat that was seen of it.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether its entry is gone too.
    pub is_removed: bool,
}

/// The backend servers that a host knows, by incarnation.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::registry::ServerRegistry;
///
/// let fleet = ServerRegistry::default();
/// assert_eq!(fleet.of_service("draft-fleet").count(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ServerRegistry {
    servers: Vec<RegisteredServer>,
    by_id: HashMap<String, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    /// Last entry of each incarnation that was removed, by server.
    retired: HashMap<String, RetiredEntry>,
    /// Last time at which the store answered after it had been away.
    store_back: Option<Timestamp>,
}

impl ServerRegistry {
    /// Takes in a server's entry and returns its key where the entry is current.
    ///
    /// An older incarnation is passed over, and a leaving one stays so whatever it says later.
    pub fn apply_registration(
        &mut self,
        now: Timestamp,
        sheet: ServerRegistration,
    ) -> Option<ServerKey> {
        let known = self.by_id.get(&sheet.id).copied();
        match known {
            Some(key) if self.server(key).registration.started_at_ms > sheet.started_at_ms => None,
            Some(key) if self.server(key).registration.started_at_ms == sheet.started_at_ms => {
                if self.server(key).registration.heartbeat <= sheet.heartbeat {
                    self.update(now, key, sheet);
                }
                Some(key)
            }
            _ if self.was_retired(&sheet) => None,
            _ => {
                if let Some(old) = known {
                    self.retire(now, old);
                }
                Some(self.add(now, sheet))
            }
        }
    }

    /// Takes in a server's entry that a peer passed on.
    pub fn merge_registration(
        &mut self,
        now: Timestamp,
        sheet: ServerRegistration,
    ) -> Option<ServerKey> {
        let key = self.apply_registration(now, sheet)?;
        self.mark_heard(now, key);
        Some(key)
    }

    /// Takes in that a server's entry was removed.
    pub fn apply_removal(&mut self, now: Timestamp, id: &str) -> Option<ServerKey> {
        let key = self.by_id.get(id).copied()?;
        let grace_end = self.store_back.map(|back| back + LAPSE_GRACE);
        let lapse = grace_end.filter(|until| now < *until);
        let server = &mut self.servers[key.index()];
        match (lapse, server.phase) {
            (Some(until), ServerPhase::Ready) => server.phase = ServerPhase::Expired { until },
            (Some(_), ServerPhase::Expired { .. }) => {}
            _ => self.retire(now, key),
        }
        Some(key)
    }

    /// Takes in that a peer knows an incarnation to leave.
    pub fn apply_departure(&mut self, now: Timestamp, departure: &ServerDeparture) {
        let known = self.by_id.get(&departure.id).copied();
        let sheet = known.map(|key| &self.server(key).registration);
        let is_newer = sheet.is_some_and(|sheet| {
            let came_back = departure.is_removed && sheet.heartbeat > departure.heartbeat;
            sheet.started_at_ms > departure.started_at_ms
                || (sheet.started_at_ms == departure.started_at_ms && came_back)
        });
        if is_newer {
            return;
        }
        if let Some(key) = known
            .filter(|key| self.server(*key).registration.started_at_ms == departure.started_at_ms)
        {
            if departure.is_removed {
                self.retire(now, key);
            } else {
                self.leave(now, key);
                self.servers[key.index()].has_drained = true;
            }
            self.mark_heard(now, key);
        }
        self.note_retired(departure);
    }

    /// Remembers a departure, so that older entries of the incarnation bring nothing back.
    fn note_retired(&mut self, departure: &ServerDeparture) {
        let entry = RetiredEntry {
            started_at_ms: departure.started_at_ms,
            heartbeat: departure.heartbeat,
            was_draining: !departure.is_removed,
        };
        let known = self.retired.get(&departure.id).copied();
        let merged = match known {
            Some(known) if known.started_at_ms > entry.started_at_ms => known,
            Some(known) if known.started_at_ms == entry.started_at_ms => RetiredEntry {
                started_at_ms: entry.started_at_ms,
                heartbeat: known.heartbeat.max(entry.heartbeat),
                was_draining: known.was_draining || entry.was_draining,
            },
            _ => entry,
        };
        self.retired.insert(departure.id.clone(), merged);
    }

    /// Takes in that another server answers at this one's address.
    pub fn mark_replaced(&mut self, now: Timestamp, key: ServerKey) {
        self.leave(now, key);
    }

    /// Takes in that the store answers again after it had been away.
    pub fn record_store_recovery(&mut self, now: Timestamp) {
        self.store_back = Some(now);
    }

    /// Takes in all entries at once; a server without one was removed.
    pub fn apply_snapshot(&mut self, now: Timestamp, sheets: Vec<ServerRegistration>) {
        let listed: Vec<ServerKey> = sheets
            .into_iter()
            .filter_map(|sheet| self.apply_registration(now, sheet))
            .collect();
        let missing: Vec<String> = self
            .by_id
            .iter()
            .filter(|(_, key)| !listed.contains(key))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.apply_removal(now, &id);
        }
    }

    /// Counts lapsed servers as gone whose entries did not come back in time.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let expired: Vec<ServerKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| match self.server(*key).phase {
                ServerPhase::Expired { until } => until <= now,
                ServerPhase::Ready | ServerPhase::Leaving => false,
            })
            .collect();
        for key in expired {
            self.retire(now, key);
        }
    }

    /// Returns a server by its key.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> &RegisteredServer {
        &self.servers[key.index()]
    }

    /// Returns the current incarnation of a server.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the current incarnation of the server whose name has this hash.
    #[must_use]
    pub fn find_by_hash(&self, hash: u64) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the servers of a service that take new work.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &RegisteredServer)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let servers = keys.map(|key| (*key, self.server(*key)));
        servers.filter(|(_, server)| server.phase != ServerPhase::Leaving)
    }

    /// Returns whether a server takes new work.
    #[must_use]
    pub fn takes_work(&self, key: ServerKey) -> bool {
        self.server(key).phase != ServerPhase::Leaving
    }

    /// Returns the entries of all servers that take new work.
    #[must_use]
    pub fn registrations(&self) -> Vec<ServerRegistration> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let working = servers.filter(|server| server.phase != ServerPhase::Leaving);
        working.map(|server| server.registration.clone()).collect()
    }

    /// Returns the entries of servers that changed lately, which peers may not know yet.
    #[must_use]
    pub fn updates(&self, now: Timestamp, scope: UpdateScope) -> Vec<ServerRegistration> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let told = servers.filter(|server| server.is_told(scope));
        let changed = told.filter(|server| now.since(server.changed_at) < CHANGE_NEWS);
        changed.map(|server| server.registration.clone()).collect()
    }

    /// Returns the departures that peers may not know yet.
    ///
    /// `turn` numbers the digests of a host: an older departure is named in every fifth. Without a
    /// turn all are named. Answers dozens of servers that are taken back at once in a large fleet,
    /// where naming all for their whole time filled the links of the collecting hosts.
    #[must_use]
    pub fn departures(
        &self,
        now: Timestamp,
        scope: UpdateScope,
        turn: Option<u64>,
    ) -> Vec<ServerDeparture> {
        let is_turn = |server: &RegisteredServer| {
            turn.is_none_or(|turn| {
                server
                    .hash
                    .wrapping_add(turn)
                    .is_multiple_of(DEPARTURE_TURNS)
            })
        };
        let is_news = |server: &&RegisteredServer| {
            let age = server.left_at.map(|left| now.since(left));
            let is_due = age
                .is_some_and(|age| age < CHANGE_NEWS || (age < DEPARTURE_NEWS && is_turn(server)));
            is_due && server.is_told(scope)
        };
        let recent = self.servers.iter().filter(is_news);
        let departures = recent.map(|server| ServerDeparture {
            id: server.registration.id.clone(),
            started_at_ms: server.registration.started_at_ms,
            heartbeat: server.registration.heartbeat,
            is_removed: server.is_removed && !server.has_drained,
        });
        departures.collect()
    }

    /// Returns whether an entry was written before its incarnation was removed.
    ///
    /// Delayed heartbeats may be stored after the removal; only a newer heartbeat of a server that
    /// was not draining tells that it is still there.
    fn was_retired(&self, sheet: &ServerRegistration) -> bool {
        self.retired.get(&sheet.id).is_some_and(|retired| {
            let is_delayed = retired.was_draining || sheet.heartbeat <= retired.heartbeat;
            sheet.started_at_ms < retired.started_at_ms
                || (sheet.started_at_ms == retired.started_at_ms && is_delayed)
        })
    }

    fn add(&mut self, now: Timestamp, sheet: ServerRegistration) -> ServerKey {
        let key = ServerKey::new(self.servers.len() as u32);
        let leaves = sheet.state == RegistrationState::Draining;
        self.by_id.insert(sheet.id.clone(), key);
        let hash = name_hash(&sheet.id);
        self.by_hash.insert(hash, key);
        let of_service = self.by_service.entry(sheet.service.clone()).or_default();
        of_service.push(key);
        self.servers.push(RegisteredServer {
            phase: ServerPhase::Ready,
            left_at: None,
            has_drained: sheet.state == RegistrationState::Draining,
            is_removed: false,
            changed_at: now,
            is_heard: false,
            hash,
            registration: sheet,
        });
        if leaves {
            self.leave(now, key);
        }
        key
    }

    fn update(&mut self, now: Timestamp, key: ServerKey, sheet: ServerRegistration) {
        let leaves = sheet.state == RegistrationState::Draining;
        let server = &mut self.servers[key.index()];
        server.has_drained |= leaves;
        let is_changed = server.registration.state != sheet.state
            || server.registration.address != sheet.address
            || server.registration.service != sheet.service;
        if is_changed {
            server.changed_at = now;
            server.is_heard = false;
        }
        if matches!(server.phase, ServerPhase::Expired { .. }) {
            server.phase = ServerPhase::Ready;
        }
        let moved = server.registration.service != sheet.service;
        let old_service = std::mem::replace(&mut server.registration, sheet).service;
        if moved {
            let service = self.servers[key.index()].registration.service.clone();
            if let Some(keys) = self.by_service.get_mut(&old_service) {
                keys.retain(|known| *known != key);
            }
            self.by_service.entry(service).or_default().push(key);
        }
        if leaves {
            self.leave(now, key);
        }
    }

    fn leave(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key.index()];
        if server.phase != ServerPhase::Leaving {
            server.phase = ServerPhase::Leaving;
            server.left_at = Some(now);
            server.is_heard = false;
        }
    }

    /// Marks the change of this moment, if there was one, as told by a peer.
    fn mark_heard(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key.index()];
        server.is_heard |= server.changed_at == now || server.left_at == Some(now);
    }

    /// Marks an incarnation as gone for good; its arena entry stays for requests in progress.
    fn retire(&mut self, now: Timestamp, key: ServerKey) {
        self.leave(now, key);
        let server = &mut self.servers[key.index()];
        server.is_removed = true;
        let (id, service) = (
            server.registration.id.clone(),
            server.registration.service.clone(),
        );
        let departure = ServerDeparture {
            id: id.clone(),
            started_at_ms: server.registration.started_at_ms,
            heartbeat: server.registration.heartbeat,
            is_removed: !server.has_drained,
        };
        self.note_retired(&departure);
        if self.by_id.get(&id) == Some(&key) {
            self.by_id.remove(&id);
            let hash = self.server(key).hash;
            self.by_hash.remove(&hash);
        }
        if let Some(keys) = self.by_service.get_mut(&service) {
            keys.retain(|known| *known != key);
        }
    }
}
