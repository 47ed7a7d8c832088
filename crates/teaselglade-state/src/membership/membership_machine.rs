//! State machine of the gossip between entry hosts.

use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::id::{HostIncarnation, HostKey, HostName};
use teaselglade_core::time::Timestamp;

use super::gossip_queue::{GossipQueue, GossipTopic};
use super::member_arena::MemberArena;
use super::message_check::MAX_DEMAND_BYTES;
use super::notice_set::NoticeSet;
use super::send_budget::SendBudget;
use super::slice_digest::name_hash;
use super::{
    MemberEntry, MemberLiveness, MembershipAction, MembershipCounts, MembershipEvent,
    MembershipSettings, MessageRefusal,
};

const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
const PUSH_FAN_OUT: usize = 3;
const FAILED_PROBE_INTERVAL: Duration = Duration::from_secs(10);
const EXPIRY_INTERVAL: Duration = Duration::from_mins(1);
const PLATFORM_READERS_PER_ZONE: usize = 2;
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Pull of the table from a peer that is in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct TablePull {
    pub(super) version: u64,
    pub(super) expires_at: Timestamp,
}

/// State machine of the gossip on membership, leaving notices, table versions and demand shares.
///
/// About once a second it sends digests to one peer, which answers with the entries that differ;
/// this call also serves as the heartbeat. Updates are additionally pushed to a few random peers
/// at a shorter interval, each update a bounded number of times. The machine does no I/O: the
/// caller passes events in and carries out the returned actions.
///
/// # Examples
///
/// ```
/// use teaselglade_core::id::HostName;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::membership::{MembershipEvent, MembershipMachine, MembershipSettings};
///
/// let host = HostName::new("galway-e1");
/// let settings = MembershipSettings::new("halloran", host, "127.0.0.1:8081".parse()?);
/// let mut machine = MembershipMachine::new(Timestamp::ZERO, settings);
/// let actions = machine.on_event(machine.next_wake(), MembershipEvent::Wake);
/// assert!(actions.is_empty(), "no peer is known yet");
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[derive(Debug, Clone)]
pub struct MembershipMachine {
    pub(super) settings: MembershipSettings,
    pub(super) random: Pcg64Mcg,
    pub(super) own: MemberEntry,
    pub(super) members: MemberArena,
    pub(super) notices: NoticeSet,
    pub(super) gossip: GossipQueue,
    pub(super) budget: SendBudget,
    pub(super) counts: MembershipCounts,
    pub(super) table_version: u64,
    pub(super) pull: Option<TablePull>,
    pub(super) demand: String,
    pub(super) next_slice: u16,
    pub(super) heartbeat_order: Vec<HostKey>,
    next_gossip: Timestamp,
    next_push: Timestamp,
    next_failed_probe: Timestamp,
    next_expiry: Timestamp,
}

impl MembershipMachine {
    /// Creates the state machine of a host that starts now.
    #[must_use]
    pub fn new(now: Timestamp, settings: MembershipSettings) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
        let offset = GOSSIP_INTERVAL.mul_f64(random.random::<f64>());
        Self {
            own: settings.to_member(),
            settings,
            random,
            members: MemberArena::default(),
            notices: NoticeSet::default(),
            gossip: GossipQueue::default(),
            budget: SendBudget::new(now),
            counts: MembershipCounts::default(),
            table_version: 0,
            pull: None,
            demand: String::new(),
            next_slice: 0,
            heartbeat_order: Vec::new(),
            next_gossip: now + offset,
            next_push: now,
            next_failed_probe: now + FAILED_PROBE_INTERVAL,
            next_expiry: now + EXPIRY_INTERVAL,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Timestamp, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Wake => self.on_wake(now, &mut actions),
            MembershipEvent::HostList(hosts) => self.on_host_list(now, hosts, &mut actions),
            MembershipEvent::Request { token, body } => {
                self.on_request(now, token, &body, &mut actions);
            }
            MembershipEvent::AnswerReceived { peer, body } => {
                self.on_answer(now, &peer, &body, &mut actions);
            }
            MembershipEvent::CallFailed { peer } => self.on_call_failed(now, &peer, &mut actions),
            MembershipEvent::NoticeReceived(notice) => self.merge_notice(now, notice, &mut actions),
            MembershipEvent::TableActivated { version } => self.on_table_activated(version),
            MembershipEvent::DemandChanged { demand } => self.set_demand(demand),
        }
        actions
    }

    /// Returns when the next [`MembershipEvent::Wake`] is due.
    #[must_use]
    pub fn next_wake(&self) -> Timestamp {
        if self.has_updates_to_push() {
            return self.next_gossip.min(self.next_push);
        }
        self.next_gossip
    }

    /// Returns the entry of another entry host, if it is known.
    #[must_use]
    pub fn member(&self, name: &HostName) -> Option<&MemberEntry> {
        self.members.entry(name)
    }

    /// Returns the other known entry hosts, failed ones included.
    pub fn members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.slots().map(|slot| &slot.entry)
    }

    /// Returns the other entry hosts that are alive, without suspects.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members()
            .filter(|entry| entry.liveness == MemberLiveness::Alive)
    }

    /// Returns whether this incarnation of a host is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, host: &HostName, incarnation: HostIncarnation) -> bool {
        self.notices.is_leaving(host, incarnation)
    }

    /// Returns whether this host reads the platform's slow sources for its data centre.
    ///
    /// Of the live hosts of a data centre that are not leaving, the `PLATFORM_READERS_PER_ZONE`
    /// with the lowest name hashes are readers; the others receive the data from peers. While
    /// hosts disagree on which are alive, there may be more or fewer readers, which is harmless.
    #[must_use]
    pub fn is_platform_reader(&self) -> bool {
        let own_hash = name_hash(&self.own.name);
        let ranked_before = self.live_members().filter(|entry| {
            let is_staying = !self.is_leaving(&entry.name, entry.incarnation);
            is_staying && entry.zone == self.own.zone && name_hash(&entry.name) < own_hash
        });
        ranked_before.count() < PLATFORM_READERS_PER_ZONE
    }

    /// Returns the gossip counters.
    #[must_use]
    pub const fn counts(&self) -> MembershipCounts {
        self.counts
    }

    /// Runs the periodic tasks that are due.
    fn on_wake(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if now >= self.next_gossip {
            self.next_gossip = now + self.jittered(GOSSIP_INTERVAL);
            self.fail_suspects(now, actions);
            if let Some(peer) = self.next_heartbeat_peer() {
                self.send_gossip(peer, true, actions);
            }
        }
        if self.has_updates_to_push() && now >= self.next_push {
            self.next_push = now + PUSH_INTERVAL;
            self.push_updates(now, actions);
        }
        if now >= self.next_failed_probe {
            self.next_failed_probe = now + self.jittered(FAILED_PROBE_INTERVAL);
            if let Some(peer) = self.random_failed_peer() {
                self.send_gossip(peer, true, actions);
            }
        }
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.remove_expired(now);
        }
    }

    fn has_updates_to_push(&self) -> bool {
        self.settings.pushes_updates && !self.gossip.is_empty()
    }

    fn jittered(&mut self, interval: Duration) -> Duration {
        interval.mul_f64(self.random.random_range(0.9..1.1))
    }

    /// Sends queued updates to random peers, unless the send budget is used up.
    fn push_updates(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        if !self.budget.has_bytes(now) {
            self.counts.deferred_rounds += 1;
            return;
        }
        let mut peers = Vec::with_capacity(PUSH_FAN_OUT);
        for _ in 0..PUSH_FAN_OUT {
            let peer = self.random_peer();
            peers.extend(peer.filter(|peer| !peers.contains(peer)));
        }
        for peer in peers {
            self.send_gossip(peer, false, actions);
        }
    }

    /// Adds the action that sends a gossip request to a peer.
    pub(super) fn send_gossip(
        &mut self,
        key: HostKey,
        with_digests: bool,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(slot) = self.members.get(key) else {
            return;
        };
        let (peer, address) = (slot.entry.name.clone(), slot.entry.address);
        let Some(body) = self.compose_request(&peer, with_digests) else {
            return;
        };
        actions.push(MembershipAction::Send {
            peer,
            address,
            body,
        });
    }

    fn on_request(
        &mut self,
        now: Timestamp,
        token: u64,
        body: &Bytes,
        actions: &mut Vec<MembershipAction>,
    ) {
        let message = match self.accept_message(body) {
            Ok(message) => message,
            Err(refusal) => {
                actions.push(MembershipAction::Refuse { token, refusal });
                return;
            }
        };
        self.merge_message(now, &message, actions);
        match self.compose_answer(now, &message) {
            Some(body) => actions.push(MembershipAction::Answer { token, body }),
            None => actions.push(MembershipAction::Refuse {
                token,
                refusal: MessageRefusal::Malformed,
            }),
        }
    }

    fn on_answer(
        &mut self,
        now: Timestamp,
        peer: &HostName,
        body: &Bytes,
        actions: &mut Vec<MembershipAction>,
    ) {
        match self.accept_message(body) {
            Ok(message) if message.from.name == peer.as_str() => {
                self.merge_message(now, &message, actions);
            }
            // Another process may now listen at the peer's address.
            Ok(_) | Err(_) => self.on_call_failed(now, peer, actions),
        }
    }

    fn on_table_activated(&mut self, version: u64) {
        if version > self.table_version {
            self.table_version = version;
            self.pull = self.pull.filter(|pull| pull.version > version);
            self.gossip.enqueue(GossipTopic::Table);
        }
    }

    /// Sets the demand shares to gossip.
    ///
    /// Shares that are too long clear the previous ones, so that no stale shares are sent.
    fn set_demand(&mut self, demand: String) {
        let is_oversized = demand.len() > MAX_DEMAND_BYTES;
        if is_oversized {
            self.counts.oversized += 1;
            self.demand.clear();
            return;
        }
        self.demand = demand;
    }

    /// Records a pull of the version and returns whether the caller may start it.
    ///
    /// Returns `false` while a pull of this or a higher version is in progress.
    pub(super) fn start_pull(&mut self, now: Timestamp, version: u64) -> bool {
        let is_running = self
            .pull
            .is_some_and(|pull| pull.version >= version && now < pull.expires_at);
        if is_running || version <= self.table_version {
            return false;
        }
        self.pull = Some(TablePull {
            version,
            expires_at: now + PULL_TIMEOUT,
        });
        true
    }
}
