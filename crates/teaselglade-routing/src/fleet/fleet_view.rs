//! The backend servers that a host knows, by incarnation.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{ServerSheet, SheetState};
use crate::exchange::name_hash;

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
pub enum NewsScope {
    /// All news, whoever told them.
    All,
    /// What this host learned without its peers.
    Own,
}

/// Whether an incarnation of a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerPhase {
    /// It takes new work.
    Ready,
    /// Its entry went while the store was away; it takes work unless the entry stays missing.
    Lapsed {
        /// When it counts as gone.
        until: Timestamp,
    },
    /// It leaves, or is gone; this is never undone.
    Leaving,
}

/// One incarnation of a server.
#[derive(Debug, Clone)]
pub struct KnownServer {
    /// What it says of itself.
    pub sheet: ServerSheet,
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

impl KnownServer {
    const fn is_told(&self, scope: NewsScope) -> bool {
        matches!(scope, NewsScope::All) || !self.is_heard
    }
}

/// Last entry of an incarnation that was removed.
#[derive(Debug, Clone, Copy)]
struct RetiredEntry {
    born: u64,
    beat: u64,
    was_draining: bool,
}

/// The leaving of one incarnation, as peers pass it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Server.
    pub id: String,
    /// Its incarnation.
    pub born: u64,
    /// Number of the last heartbeat that was seen of it.
    pub beat: u64,
    /// Whether its entry is gone too.
    pub is_removed: bool,
}

/// The backend servers that a host knows, by incarnation.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::fleet::FleetView;
///
/// let fleet = FleetView::default();
/// assert_eq!(fleet.of_service("draft-fleet").count(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    servers: Vec<KnownServer>,
    by_id: HashMap<String, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    /// Last entry of each incarnation that was removed, by server.
    retired: HashMap<String, RetiredEntry>,
    /// Last time at which the store answered after it had been away.
    store_back: Option<Timestamp>,
}

impl FleetView {
    /// Takes in a server's entry and returns its key where the entry is current.
    ///
    /// An older incarnation is passed over, and a leaving one stays so whatever it says later.
    pub fn note_sheet(&mut self, now: Timestamp, sheet: ServerSheet) -> Option<ServerKey> {
        let known = self.by_id.get(&sheet.id).copied();
        match known {
            Some(key) if self.server(key).sheet.born > sheet.born => None,
            Some(key) if self.server(key).sheet.born == sheet.born => {
                if self.server(key).sheet.beat <= sheet.beat {
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
    pub fn hear_sheet(&mut self, now: Timestamp, sheet: ServerSheet) -> Option<ServerKey> {
        let key = self.note_sheet(now, sheet)?;
        self.mark_heard(now, key);
        Some(key)
    }

    /// Takes in that a server's entry was removed.
    pub fn note_removed(&mut self, now: Timestamp, id: &str) -> Option<ServerKey> {
        let key = self.by_id.get(id).copied()?;
        let grace_end = self.store_back.map(|back| back + LAPSE_GRACE);
        let lapse = grace_end.filter(|until| now < *until);
        let server = &mut self.servers[key.index()];
        match (lapse, server.phase) {
            (Some(until), ServerPhase::Ready) => server.phase = ServerPhase::Lapsed { until },
            (Some(_), ServerPhase::Lapsed { .. }) => {}
            _ => self.retire(now, key),
        }
        Some(key)
    }

    /// Takes in that a peer knows an incarnation to leave.
    pub fn note_departure(&mut self, now: Timestamp, departure: &Departure) {
        let known = self.by_id.get(&departure.id).copied();
        let sheet = known.map(|key| &self.server(key).sheet);
        let is_newer = sheet.is_some_and(|sheet| {
            let came_back = departure.is_removed && sheet.beat > departure.beat;
            sheet.born > departure.born || (sheet.born == departure.born && came_back)
        });
        if is_newer {
            return;
        }
        if let Some(key) = known.filter(|key| self.server(*key).sheet.born == departure.born) {
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
    fn note_retired(&mut self, departure: &Departure) {
        let entry = RetiredEntry {
            born: departure.born,
            beat: departure.beat,
            was_draining: !departure.is_removed,
        };
        let known = self.retired.get(&departure.id).copied();
        let merged = match known {
            Some(known) if known.born > entry.born => known,
            Some(known) if known.born == entry.born => RetiredEntry {
                born: entry.born,
                beat: known.beat.max(entry.beat),
                was_draining: known.was_draining || entry.was_draining,
            },
            _ => entry,
        };
        self.retired.insert(departure.id.clone(), merged);
    }

    /// Takes in that another server answers at this one's address.
    pub fn note_replaced(&mut self, now: Timestamp, key: ServerKey) {
        self.leave(now, key);
    }

    /// Takes in that the store answers again after it had been away.
    pub fn note_store_back(&mut self, now: Timestamp) {
        self.store_back = Some(now);
    }

    /// Takes in all entries at once; a server without one was removed.
    pub fn note_all(&mut self, now: Timestamp, sheets: Vec<ServerSheet>) {
        let listed: Vec<ServerKey> = sheets
            .into_iter()
            .filter_map(|sheet| self.note_sheet(now, sheet))
            .collect();
        let missing: Vec<String> = self
            .by_id
            .iter()
            .filter(|(_, key)| !listed.contains(key))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.note_removed(now, &id);
        }
    }

    /// Counts lapsed servers as gone whose entries did not come back in time.
    pub fn expire(&mut self, now: Timestamp) {
        let expired: Vec<ServerKey> = self
            .by_id
            .values()
            .copied()
            .filter(|key| match self.server(*key).phase {
                ServerPhase::Lapsed { until } => until <= now,
                ServerPhase::Ready | ServerPhase::Leaving => false,
            })
            .collect();
        for key in expired {
            self.retire(now, key);
        }
    }

    /// Returns a server by its key.
    #[must_use]
    pub fn server(&self, key: ServerKey) -> &KnownServer {
        &self.servers[key.index()]
    }

    /// Returns the current incarnation of a server.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the current incarnation of the server whose name has this hash.
    #[must_use]
    pub fn find_hash(&self, hash: u64) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the servers of a service that take new work.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = (ServerKey, &KnownServer)> {
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
    pub fn sheets(&self) -> Vec<ServerSheet> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let working = servers.filter(|server| server.phase != ServerPhase::Leaving);
        working.map(|server| server.sheet.clone()).collect()
    }

    /// Returns the entries of servers that changed lately, which peers may not know yet.
    #[must_use]
    pub fn news(&self, now: Timestamp, scope: NewsScope) -> Vec<ServerSheet> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let told = servers.filter(|server| server.is_told(scope));
        let changed = told.filter(|server| now.since(server.changed_at) < CHANGE_NEWS);
        changed.map(|server| server.sheet.clone()).collect()
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
        scope: NewsScope,
        turn: Option<u64>,
    ) -> Vec<Departure> {
        let is_turn = |server: &KnownServer| {
            turn.is_none_or(|turn| {
                server
                    .hash
                    .wrapping_add(turn)
                    .is_multiple_of(DEPARTURE_TURNS)
            })
        };
        let is_news = |server: &&KnownServer| {
            let age = server.left_at.map(|left| now.since(left));
            let is_due = age
                .is_some_and(|age| age < CHANGE_NEWS || (age < DEPARTURE_NEWS && is_turn(server)));
            is_due && server.is_told(scope)
        };
        let recent = self.servers.iter().filter(is_news);
        let departures = recent.map(|server| Departure {
            id: server.sheet.id.clone(),
            born: server.sheet.born,
            beat: server.sheet.beat,
            is_removed: server.is_removed && !server.has_drained,
        });
        departures.collect()
    }

    /// Returns whether an entry was written before its incarnation was removed.
    ///
    /// Delayed heartbeats may be stored after the removal; only a newer heartbeat of a server that
    /// was not draining tells that it is still there.
    fn was_retired(&self, sheet: &ServerSheet) -> bool {
        self.retired.get(&sheet.id).is_some_and(|retired| {
            let is_delayed = retired.was_draining || sheet.beat <= retired.beat;
            sheet.born < retired.born || (sheet.born == retired.born && is_delayed)
        })
    }

    fn add(&mut self, now: Timestamp, sheet: ServerSheet) -> ServerKey {
        let key = ServerKey::new(self.servers.len() as u32);
        let leaves = sheet.state == SheetState::Draining;
        self.by_id.insert(sheet.id.clone(), key);
        let hash = name_hash(&sheet.id);
        self.by_hash.insert(hash, key);
        let of_service = self.by_service.entry(sheet.service.clone()).or_default();
        of_service.push(key);
        self.servers.push(KnownServer {
            phase: ServerPhase::Ready,
            left_at: None,
            has_drained: sheet.state == SheetState::Draining,
            is_removed: false,
            changed_at: now,
            is_heard: false,
            hash,
            sheet,
        });
        if leaves {
            self.leave(now, key);
        }
        key
    }

    fn update(&mut self, now: Timestamp, key: ServerKey, sheet: ServerSheet) {
        let leaves = sheet.state == SheetState::Draining;
        let server = &mut self.servers[key.index()];
        server.has_drained |= leaves;
        let is_changed = server.sheet.state != sheet.state
            || server.sheet.address != sheet.address
            || server.sheet.service != sheet.service;
        if is_changed {
            server.changed_at = now;
            server.is_heard = false;
        }
        if matches!(server.phase, ServerPhase::Lapsed { .. }) {
            server.phase = ServerPhase::Ready;
        }
        let moved = server.sheet.service != sheet.service;
        let old_service = std::mem::replace(&mut server.sheet, sheet).service;
        if moved {
            let service = self.servers[key.index()].sheet.service.clone();
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
        let (id, service) = (server.sheet.id.clone(), server.sheet.service.clone());
        let departure = Departure {
            id: id.clone(),
            born: server.sheet.born,
            beat: server.sheet.beat,
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
