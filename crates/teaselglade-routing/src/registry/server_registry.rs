//! Registry of the backend servers that a host knows, by incarnation.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::registered_server::{ChangeOrigin, UPDATE_GOSSIP_TTL};
use super::server_tombstones::{ServerTombstones, TombstoneVerdict};
use super::{
    RegisteredServer, RegistrationState, ServerDeparture, ServerListing, ServerPhase,
    ServerRegistration, ServerRemoval, StorePosition,
};
use crate::gossip::name_hash;

/// Time after the store's recovery in which an expired registration may return.
const EXPIRY_GRACE: Duration = Duration::from_secs(2);
/// Time for which a departure is gossiped: twice what any host needs to receive it.
const DEPARTURE_GOSSIP_TTL: Duration = Duration::from_secs(10);

/// Number of digests of which one names a departure that is no longer recent.
///
/// Every digest names the recent departures. Older ones are repeated for hosts that were
/// partitioned, which receive several digests.
const DEPARTURE_REPEAT_DIGESTS: u64 = 5;

/// Scope of the server updates that a message carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateScope {
    /// All updates, including those from peers.
    All,
    /// Only updates that this host did not receive from its peers.
    Local,
}

/// Registry of the backend servers that a host knows, by incarnation.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::registry::ServerRegistry;
///
/// let registry = ServerRegistry::default();
/// assert_eq!(registry.of_service("draft-fleet").count(), 0);
/// ```
#[derive(Debug, Clone, Default)]
pub struct ServerRegistry {
    servers: Vec<RegisteredServer>,
    by_id: HashMap<String, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
    by_incarnation: HashMap<u64, ServerKey>,
    by_service: HashMap<String, Vec<ServerKey>>,
    /// Tombstones of departed incarnations.
    tombstones: ServerTombstones,
    /// Times until which incarnations want no requests from this host.
    rests: HashMap<u64, Timestamp>,
    /// Time of the store's latest recovery from an outage.
    store_recovered_at: Option<Timestamp>,
    /// Time of the first listing of all servers, from the store or a peer.
    first_listed_at: Option<Timestamp>,
    /// Addresses at which no server can listen, as this host does.
    own_addresses: Vec<SocketAddr>,
}

impl ServerRegistry {
    /// Sets the addresses of this host; registrations that name them are ignored.
    ///
    /// The host would pass requests on to itself.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::registry::ServerRegistry;
    ///
    /// let own = "10.3.0.36:8120".parse()?;
    /// let registry = ServerRegistry::default().own_addresses([own]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn own_addresses(mut self, addresses: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.own_addresses = addresses.into_iter().collect();
        self
    }

    /// Applies a registration and returns the server's key if its incarnation is current.
    ///
    /// Registrations of older incarnations, and those that name an address of this host, are ignored.
    /// A leaving incarnation stays leaving,
    /// whatever it registers later.
    pub fn apply_registration(
        &mut self,
        now: Timestamp,
        registration: ServerRegistration,
    ) -> Option<ServerKey> {
        if self.own_addresses.contains(&registration.address) {
            return None;
        }
        let verdict = self.tombstones.judge(now, &registration);
        if verdict == TombstoneVerdict::Outdated {
            self.tombstones.record_outdated(now, &registration);
            self.apply_tombstone(now, &registration.id);
            return None;
        }
        let known = self.by_id.get(&registration.id).copied();
        let started_at_ms = registration.started_at_ms;
        let known_start = known.map(|key| self.server(key).registration.started_at_ms);
        match known {
            Some(_) if known_start > Some(started_at_ms) => None,
            Some(key) if known_start == Some(started_at_ms) => {
                self.update(now, key, registration);
                Some(key)
            }
            _ if verdict == TombstoneVerdict::Draining => None,
            _ => {
                if let Some(old) = known {
                    self.retire(now, old, StorePosition::default());
                }
                Some(self.add(now, registration))
            }
        }
    }

    /// Applies a registration that a peer sent, like [`ServerRegistry::apply_registration`].
    pub fn merge_registration(
        &mut self,
        now: Timestamp,
        registration: ServerRegistration,
    ) -> Option<ServerKey> {
        let key = self.apply_registration(now, registration)?;
        self.mark_from_peer(now, key);
        Some(key)
    }

    /// Applies all registrations that a peer knows, like [`ServerRegistry::merge_registration`].
    pub fn merge_listing(&mut self, now: Timestamp, registrations: Vec<ServerRegistration>) {
        let first_new = self.servers.len();
        for registration in registrations {
            self.merge_registration(now, registration);
        }
        self.mark_first_listed(now, first_new);
    }

    /// Applies a removal whose position in the store is unknown, like [`ServerRegistry::remove`].
    pub fn apply_removal(&mut self, now: Timestamp, id: &str) -> Option<ServerKey> {
        let removal = ServerRemoval {
            id: id.to_owned(),
            position: StorePosition::default(),
        };
        self.remove(now, &removal)
    }

    /// Applies the removal of a server's registration from the store.
    ///
    /// Returns the server's key unless a newer registration is known. Shortly after the store's
    /// recovery, a ready server becomes expired instead of leaving, because its registration may
    /// return.
    pub fn remove(&mut self, now: Timestamp, removal: &ServerRemoval) -> Option<ServerKey> {
        let position = removal.position;
        let key = self.by_id.get(&removal.id).copied().filter(|key| {
            let known = self.server(*key).registration.position;
            !position.is_known() || known <= position
        });
        let Some(key) = key else {
            if position.is_known() {
                self.tombstones.record_removal(now, &removal.id, position);
            }
            return None;
        };
        let grace_end = self
            .store_recovered_at
            .map(|recovered_at| recovered_at + EXPIRY_GRACE);
        let expiry = grace_end.filter(|remove_at| now < *remove_at);
        let server = &mut self.servers[key.index()];
        match (expiry, server.phase) {
            (Some(remove_at), ServerPhase::Ready) => {
                server.phase = ServerPhase::Expired {
                    remove_at,
                    position,
                };
            }
            (
                Some(_),
                ServerPhase::Expired {
                    remove_at,
                    position: known,
                },
            ) => {
                server.phase = ServerPhase::Expired {
                    remove_at,
                    position: position.max(known),
                };
            }
            _ => self.retire(now, key, position),
        }
        Some(key)
    }

    /// Applies a departure that a peer sent.
    ///
    /// A departure is ignored if a newer registration is known, which peers are then told again.
    pub fn apply_departure(&mut self, now: Timestamp, departure: &ServerDeparture) {
        self.tombstones.record_departure(now, departure);
        let Some(key) = self.by_id.get(&departure.id).copied() else {
            return;
        };
        let verdict = self.apply_tombstone(now, &departure.id);
        if verdict == TombstoneVerdict::Newer
            && departure.removed_at.is_known()
            && self.takes_work(key)
            && now.since(self.server(key).changed_at) >= UPDATE_GOSSIP_TTL
        {
            // The sender may be an aggregator, to which this host sends only its own news.
            let server = &mut self.servers[key.index()];
            server.changed_at = now;
            server.origin = ChangeOrigin::Local;
            return;
        }
        self.mark_from_peer(now, key);
    }

    /// Applies what is known of a server's departures to its current incarnation.
    fn apply_tombstone(&mut self, now: Timestamp, id: &str) -> TombstoneVerdict {
        let Some(key) = self.by_id.get(id).copied() else {
            return TombstoneVerdict::Newer;
        };
        let verdict = self.tombstones.judge(now, &self.server(key).registration);
        match verdict {
            TombstoneVerdict::Newer => {}
            TombstoneVerdict::Draining => {
                self.mark_leaving(now, key);
                self.servers[key.index()].has_drained = true;
            }
            TombstoneVerdict::Outdated => self.retire(now, key, StorePosition::default()),
        }
        verdict
    }

    /// Marks a server as leaving because another server responds at its address.
    pub fn mark_replaced(&mut self, now: Timestamp, key: ServerKey) {
        self.mark_leaving(now, key);
    }

    /// Records that a server said in a response that it leaves; returns whether that is news.
    ///
    /// Like a draining registration, it is final for the incarnation: the server may say so before
    /// the store or peers do, and a registration that says otherwise is older.
    pub fn record_own_departure(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let is_new = self.takes_work(key);
        self.mark_leaving(now, key);
        self.servers[key.index()].has_drained = true;
        is_new
    }

    /// Records until when a server wants no requests from this host.
    ///
    /// It holds for the incarnation, also while its registration is removed and after its return.
    pub fn record_rest(&mut self, key: ServerKey, until: Timestamp) {
        let incarnation = self.server(key).incarnation_hash;
        let rest = self.rests.entry(incarnation).or_default();
        *rest = until.max(*rest);
        let current = self.by_incarnation.get(&incarnation).copied();
        for server in [Some(key), current].into_iter().flatten() {
            self.servers[server.index()].resting_until = *rest;
        }
    }

    /// Records until when this host gets no permit to send to a server.
    ///
    /// A time in the past lets requests through at once.
    pub fn record_permit_denial(&mut self, key: ServerKey, until: Timestamp) {
        self.servers[key.index()].permit_denied_until = until;
    }

    /// Returns whether a server of the service takes work and only its limit stands against it.
    #[must_use]
    pub fn awaits_permit(&self, now: Timestamp, service: &str) -> bool {
        let mut servers = self.of_service(service);
        servers.any(|(_, server)| server.permit_denied_until > now && server.resting_until <= now)
    }

    /// Returns the current incarnation of a server with this incarnation hash.
    #[must_use]
    pub fn find_incarnation(&self, incarnation: u64) -> Option<ServerKey> {
        self.by_incarnation.get(&incarnation).copied()
    }

    /// Records that the store is reachable again after an outage.
    pub fn record_store_recovery(&mut self, now: Timestamp) {
        self.store_recovered_at = Some(now);
    }

    /// Applies a listing of all registrations; those missing from it count as removed.
    ///
    /// It may lack servers that registered after it was requested, of which peers have told this host
    /// in the meantime.
    pub fn apply_listing(&mut self, now: Timestamp, listing: ServerListing) {
        let ServerListing {
            requested_at,
            end,
            registrations,
            unreadable,
        } = listing;
        // An outdated entry proves too that the store has no removal behind it.
        let own_addresses = &self.own_addresses;
        let listed: HashSet<String> = registrations
            .iter()
            .filter(|registration| !own_addresses.contains(&registration.address))
            .map(|registration| registration.id.clone())
            .collect();
        let first_new = self.servers.len();
        for registration in registrations {
            self.apply_registration(now, registration);
        }
        self.mark_first_listed(now, first_new);
        let missing: Vec<String> = self
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains(*id) && !unreadable.contains(id))
            .filter(|(_, key)| {
                let server = self.server(**key);
                let position = server.registration.position;
                if position.is_known() && end.is_known() {
                    position <= end
                } else {
                    server.changed_at < requested_at
                }
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            let position = end;
            self.remove(now, &ServerRemoval { id, position });
        }
    }

    /// Removes the expired servers whose registrations did not return in time.
    ///
    /// Tombstones and rests whose time is over are dropped as well.
    pub fn remove_expired(&mut self, now: Timestamp) {
        let expired: Vec<(ServerKey, StorePosition)> = self
            .by_id
            .values()
            .filter_map(|key| match self.server(*key).phase {
                ServerPhase::Expired {
                    remove_at,
                    position,
                } => (remove_at <= now).then_some((*key, position)),
                ServerPhase::Ready | ServerPhase::Leaving => None,
            })
            .collect();
        for (key, position) in expired {
            self.retire(now, key, position);
        }
        self.tombstones.prune(now);
        self.rests.retain(|_, until| *until > now);
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

    /// Returns the current incarnation of the server with this name hash.
    #[must_use]
    pub fn find_by_hash(&self, hash: u64) -> Option<ServerKey> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns whether this registry saw the incarnation of a server leave.
    #[must_use]
    pub fn has_left(&self, key: ServerKey, incarnation: u64) -> bool {
        let known = self.servers.get(key.index());
        let known = known.filter(|server| server.incarnation_hash == incarnation);
        known.is_some_and(|server| server.phase == ServerPhase::Leaving)
    }

    /// Returns the servers of a service that accept new work.
    pub fn of_service(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &RegisteredServer)> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let servers = keys.map(|key| (*key, self.server(*key)));
        servers.filter(|(_, server)| server.phase != ServerPhase::Leaving)
    }

    /// Returns the servers of a service to which this host may send now.
    ///
    /// They accept new work, do not rest, and gave no reason to expect that a permit is denied.
    pub fn available(
        &self,
        now: Timestamp,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &RegisteredServer)> {
        let servers = self.of_service(service);
        servers.filter(move |(_, server)| server.available_from() <= now)
    }

    /// Returns when this host may send to the first server of a service, if to none now.
    #[must_use]
    pub fn next_return(&self, now: Timestamp, service: &str) -> Option<Timestamp> {
        let returns = self.of_service(service);
        let first = returns.map(|(_, server)| server.available_from()).min()?;
        (first > now).then_some(first)
    }

    /// Returns whether a server accepts new work.
    #[must_use]
    pub fn takes_work(&self, key: ServerKey) -> bool {
        self.server(key).phase != ServerPhase::Leaving
    }

    /// Returns the registrations of all servers that accept new work.
    #[must_use]
    pub fn registrations(&self) -> Vec<ServerRegistration> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let working = servers.filter(|server| server.phase != ServerPhase::Leaving);
        working.map(|server| server.registration.clone()).collect()
    }

    /// Returns the recently changed registrations, which peers may not have received yet.
    #[must_use]
    pub fn updates(&self, now: Timestamp, scope: UpdateScope) -> Vec<ServerRegistration> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let in_scope = servers.filter(|server| server.is_in_scope(scope));
        let changed = in_scope.filter(|server| server.is_update(now));
        changed.map(|server| server.registration.clone()).collect()
    }

    /// Returns the recently changed registrations without those of the first listing.
    ///
    /// Peers list the servers themselves; who listed before this host may lack some that it knows, see
    /// [`ServerRegistry::first_listed_since`].
    #[must_use]
    pub fn changes(&self, now: Timestamp, scope: UpdateScope) -> Vec<ServerRegistration> {
        let servers = self.by_id.values().map(|key| self.server(*key));
        let is_told = |server: &&RegisteredServer| {
            server.origin != ChangeOrigin::FirstListing && server.is_in_scope(scope)
        };
        let told = servers.filter(is_told);
        let changed = told.filter(|server| server.is_update(now));
        changed.map(|server| server.registration.clone()).collect()
    }

    /// Returns the time since the first listing of all servers, if there was one.
    ///
    /// A host that does not tell its peers what it listed claims nothing of their data until theirs is
    /// younger than its listing.
    #[must_use]
    pub fn first_listed_since(&self, now: Timestamp) -> Option<Duration> {
        self.first_listed_at.map(|listed_at| now.since(listed_at))
    }

    /// Returns the time for which every digest names a departure.
    ///
    /// A host that hears no digest for longer may miss it. `has_numbers` tells whether digests are
    /// numbered, see [`ServerRegistry::departures`].
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_routing::registry::ServerRegistry;
    ///
    /// assert!(ServerRegistry::departure_repeat(true) < ServerRegistry::departure_repeat(false));
    /// ```
    #[must_use]
    pub const fn departure_repeat(has_numbers: bool) -> Duration {
        if has_numbers {
            UPDATE_GOSSIP_TTL
        } else {
            DEPARTURE_GOSSIP_TTL
        }
    }

    /// Returns the departures that peers may not have received yet.
    ///
    /// `digest_number` counts the digests of a host; every fifth one names a given older departure.
    /// Without a number, all departures are returned. When dozens of servers of a large fleet were
    /// reclaimed at once, naming all of them in every digest filled the aggregators' links.
    #[must_use]
    pub fn departures(
        &self,
        now: Timestamp,
        scope: UpdateScope,
        digest_number: Option<u64>,
    ) -> Vec<ServerDeparture> {
        let is_repeated = |server: &RegisteredServer| {
            digest_number.is_none_or(|digest_number| {
                server
                    .hash
                    .wrapping_add(digest_number)
                    .is_multiple_of(DEPARTURE_REPEAT_DIGESTS)
            })
        };
        let is_gossiped = |server: &&RegisteredServer| {
            let age = server
                .leaving_since
                .map(|leaving_since| now.since(leaving_since));
            let is_due = age.is_some_and(|age| {
                age < UPDATE_GOSSIP_TTL || (age < DEPARTURE_GOSSIP_TTL && is_repeated(server))
            });
            is_due && server.is_in_scope(scope)
        };
        let recent = self.servers.iter().filter(is_gossiped);
        let departed = recent.filter(|server| !self.is_back(server));
        departed
            .map(|server| {
                let departure = server.departure(StorePosition::default());
                self.tombstones.complete(departure)
            })
            .collect()
    }

    /// Returns whether a removed incarnation is registered again.
    fn is_back(&self, server: &RegisteredServer) -> bool {
        let current = self.by_incarnation.get(&server.incarnation_hash);
        server.is_removed && current.is_some_and(|key| self.takes_work(*key))
    }

    fn add(&mut self, now: Timestamp, registration: ServerRegistration) -> ServerKey {
        let key = ServerKey::new(self.servers.len() as u32);
        let is_draining = registration.state == RegistrationState::Draining;
        self.by_id.insert(registration.id.clone(), key);
        let hash = name_hash(&registration.id);
        self.by_hash.insert(hash, key);
        let started_at_ms = registration.started_at_ms;
        let incarnation_hash = name_hash(&format!("{}/{started_at_ms}", registration.id));
        self.by_incarnation.insert(incarnation_hash, key);
        let rest = self.rests.get(&incarnation_hash).copied();
        let resting_until = rest.unwrap_or(Timestamp::ZERO);
        let of_service = self
            .by_service
            .entry(registration.service.clone())
            .or_default();
        of_service.push(key);
        self.servers.push(RegisteredServer {
            phase: ServerPhase::Ready,
            leaving_since: None,
            has_drained: registration.state == RegistrationState::Draining,
            is_removed: false,
            changed_at: now,
            origin: ChangeOrigin::Local,
            resting_until,
            permit_denied_until: Timestamp::ZERO,
            incarnation_hash,
            version_hash: name_hash(&registration.version),
            hash,
            registration,
        });
        if is_draining {
            self.mark_leaving(now, key);
        }
        key
    }

    /// Applies another registration of a known incarnation.
    ///
    /// The later heartbeat counts, of two records with the same one the later record. That the server
    /// drains counts in any order.
    fn update(&mut self, now: Timestamp, key: ServerKey, mut registration: ServerRegistration) {
        let is_draining = registration.state == RegistrationState::Draining;
        let server = &mut self.servers[key.index()];
        server.has_drained |= is_draining;
        let known = &server.registration;
        let is_newer =
            (known.heartbeat, known.position) <= (registration.heartbeat, registration.position);
        if !is_newer {
            if is_draining {
                self.mark_leaving(now, key);
            }
            return;
        }
        let is_changed = server.registration.state != registration.state
            || server.registration.address != registration.address
            || server.registration.service != registration.service;
        if is_changed {
            server.changed_at = now;
            server.origin = ChangeOrigin::Local;
        }
        if let ServerPhase::Expired { position, .. } = server.phase
            && (!registration.position.is_known() || registration.position > position)
        {
            server.phase = ServerPhase::Ready;
        }
        // Hosts of earlier builds send no position; the known one still bounds it.
        if !registration.position.is_known() {
            registration.position = server.registration.position;
        }
        let moved = server.registration.service != registration.service;
        server.version_hash = name_hash(&registration.version);
        let old_service = std::mem::replace(&mut server.registration, registration).service;
        if moved {
            let service = self.servers[key.index()].registration.service.clone();
            if let Some(keys) = self.by_service.get_mut(&old_service) {
                keys.retain(|known| *known != key);
            }
            self.by_service.entry(service).or_default().push(key);
        }
        if is_draining {
            self.mark_leaving(now, key);
        }
    }

    fn mark_leaving(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key.index()];
        if server.phase != ServerPhase::Leaving {
            server.phase = ServerPhase::Leaving;
            server.leaving_since = Some(now);
            server.origin = ChangeOrigin::Local;
        }
    }

    /// Marks the servers from this number on as those of the first listing, unless there was one.
    fn mark_first_listed(&mut self, now: Timestamp, first_new: usize) {
        if self.first_listed_at.is_none() {
            self.first_listed_at = Some(now);
            let new = self.servers[first_new..].iter_mut();
            for server in new.filter(|server| server.leaving_since.is_none()) {
                server.origin = ChangeOrigin::FirstListing;
            }
        }
    }

    /// Marks the change that was made at `now`, if any, as reported by a peer.
    fn mark_from_peer(&mut self, now: Timestamp, key: ServerKey) {
        let server = &mut self.servers[key.index()];
        let is_change = server.changed_at == now && server.origin == ChangeOrigin::Local;
        if is_change || server.leaving_since == Some(now) {
            server.origin = ChangeOrigin::Peer;
        }
    }

    /// Removes an incarnation; its entry in `servers` stays for requests in progress.
    fn retire(&mut self, now: Timestamp, key: ServerKey, removed_at: StorePosition) {
        self.mark_leaving(now, key);
        let server = &mut self.servers[key.index()];
        server.is_removed = true;
        let departure = server.departure(removed_at);
        self.tombstones.record_departure(now, &departure);
        let service = server.registration.service.clone();
        let (hash, incarnation_hash) = (server.hash, server.incarnation_hash);
        if self.by_id.get(&departure.id) == Some(&key) {
            self.by_id.remove(&departure.id);
            self.by_hash.remove(&hash);
            self.by_incarnation.remove(&incarnation_hash);
        }
        if let Some(keys) = self.by_service.get_mut(&service) {
            keys.retain(|known| *known != key);
        }
    }
}
