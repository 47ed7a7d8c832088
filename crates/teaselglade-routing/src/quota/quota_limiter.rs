//! Holds all hosts together to each organisation's quota.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use crate::table::{OrganisationSpec, QuotaSpec, QuotaUnit};

/// Age from which a peer's last report no longer tells what it spends.
///
/// Four intervals of the exchange, so that three reports in a row may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(800);
/// Part of a burst that is saved up.
///
/// Two groups of hosts that are cut off from each other both use it; the rest covers that, and what
/// is spent before peers hear of it.
const BURST_SHARE: f64 = 0.5;
/// Most quotas' worth of debt, in seconds of the rate, so that a wrong report wears off.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Debt, in seconds of the rate, up to which requests without tokens are let in.
///
/// All plain calls of an organisation together ask for about a hundredth of its tokens, so one large
/// prompt that used up the bucket must not turn bookings away.
const PLAIN_DEBT_SECONDS: f64 = 0.25;
/// Longest time for which a peer's spending is reckoned on at the rate that it reported; then the
/// peer counts as silent, and its part of the rate is left to it.
const EXTRAPOLATED_SPAN: Duration = SILENT_AFTER;
/// Longest time to come back that a refusal names.
const MAX_RETRY: Duration = Duration::from_secs(4);
/// Age from which what a collecting host told no longer counts; three of its intervals.
const FOLLOW_SPAN: Duration = Duration::from_millis(1_200);
/// Part of the hosts that another collecting host hears below which one is passed over.
const WORSE_SHARE: f64 = 0.8;
/// Time that a host's spending takes to reach a collecting host and come back.
const FOLLOW_LAG: Duration = Duration::from_millis(400);
/// Time from the first table in which no request may use more than there is, as a host that starts
/// does not know yet what others spend; then it hears them, or a collecting host.
const SETTLE_SPAN: Duration = FOLLOW_SPAN;
/// Time constant of the smoothed spending rate.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Shortest time to come back that a refusal names.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// What one host spent of a quota since its start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpendReport {
    /// Units admitted since the host's start.
    pub total: f64,
    /// Units admitted a second, smoothed.
    pub rate: f64,
}

/// What all hosts together may still use of a quota, as a collecting host tells it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FleetSpend {
    /// Units that may be used now.
    pub level: f64,
    /// Units admitted a second by all hosts.
    pub rate: f64,
}

/// What a peer reported, by organisation.
pub type PeerSpend = HashMap<String, SpendReport>;

#[derive(Debug, Clone)]
struct PeerRecord {
    start: u64,
    heard: Timestamp,
    spend: PeerSpend,
    /// Whether what it spent before is off this host's buckets.
    is_counted: bool,
}

/// What a collecting host told last.
#[derive(Debug, Clone)]
struct FollowedFleet {
    told: Timestamp,
    /// Part of the known hosts that the collecting host hears.
    seen_share: f64,
    spend: HashMap<String, FleetSpend>,
}

impl FollowedFleet {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.told) < FOLLOW_SPAN
    }

    /// Returns what the hosts beside one that spends `own_rate` spend a second.
    fn others_rate(&self, organisation: &str, own_rate: f64) -> f64 {
        let told = self.spend.get(organisation);
        told.map_or(0.0, |told| (told.rate - own_rate).max(0.0))
    }
}

#[derive(Debug, Clone)]
struct QuotaState {
    quota: QuotaSpec,
    /// Units that all hosts together may still use now, as far as this host knows.
    level: f64,
    updated: Timestamp,
    own_total: f64,
    own_rate: f64,
    /// Until when what was turned away and told to come back uses the quota.
    promised_until: Timestamp,
}

/// Holds all hosts together to each organisation's quota.
///
/// Every host keeps the fleet's whole bucket: it takes off what it admits at once and what peers
/// admit when they report it. So one large request finds room although the host's own share would
/// not carry it, and what is spent twice at the edge of a quota is taken off the bucket later. While
/// peers are silent, each group of hosts that hear one another keeps to its part of the rate, so
/// that the sum stays in bounds. Answers one organisation sending many times its usual load.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::quota::QuotaLimiter;
/// use teaselglade_routing::table::{OrganisationSpec, QuotaSpec, QuotaUnit};
///
/// let organisation = OrganisationSpec {
///     name: "halloran".to_owned(),
///     keys: Vec::new(),
///     priority: None,
///     quota: Some(QuotaSpec {
///         unit: QuotaUnit::Tokens,
///         rate: 1_000.0,
///         burst: 1_000.0,
///         default_units: 200.0,
///     }),
/// };
/// let mut board = QuotaLimiter::new(1);
/// let now = Timestamp::from_millis(1_000);
/// board.set_quotas(now, &[organisation]);
/// assert!(board.admit(now, "halloran", Some(900)).is_ok());
/// let refusal = board.admit(now, "halloran", Some(900)).unwrap_err();
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug, Clone)]
pub struct QuotaLimiter {
    quotas: HashMap<String, QuotaState>,
    peers: HashMap<String, PeerRecord>,
    /// What a collecting host told last, in a large fleet.
    followed: Option<FollowedFleet>,
    /// When a collecting host told something last before this one began to collect.
    told_before: Option<Timestamp>,
    /// Hosts that are reckoned with where fewer were heard of.
    fleet_size: u32,
    /// When the first table came into force.
    first_table: Option<Timestamp>,
}

impl QuotaLimiter {
    /// Makes a board; `assumed_hosts` are reckoned with until peers are heard.
    #[must_use]
    pub fn new(assumed_hosts: u32) -> Self {
        Self {
            quotas: HashMap::new(),
            peers: HashMap::new(),
            followed: None,
            told_before: None,
            fleet_size: assumed_hosts.max(1),
            first_table: None,
        }
    }

    /// Notes how many hosts there are, this one included, whether they were heard of or not.
    pub const fn set_fleet_size(&mut self, hosts: u32) {
        self.fleet_size = hosts;
    }

    /// Puts the quotas of a table in force; what was spent keeps counting.
    pub fn set_quotas(&mut self, now: Timestamp, organisations: &[OrganisationSpec]) {
        self.first_table.get_or_insert(now);
        let mut old = std::mem::take(&mut self.quotas);
        for organisation in organisations {
            let Some(quota) = organisation.quota.clone() else {
                continue;
            };
            let state = match old.remove(&organisation.name) {
                Some(known) => QuotaState { quota, ..known },
                None => QuotaState {
                    level: capacity(&quota),
                    quota,
                    updated: now,
                    own_total: 0.0,
                    own_rate: 0.0,
                    promised_until: now,
                },
            };
            self.quotas.insert(organisation.name.clone(), state);
        }
    }

    /// Takes in what a peer reported; `start` tells its incarnations apart.
    pub fn receive_spend(&mut self, now: Timestamp, peer: &str, start: u64, spend: PeerSpend) {
        let is_followed = self.followed(now).is_some();
        let known = self.peers.get(peer).filter(|known| known.is_counted);
        let untold = self.told_before.map(|told| now.since(told));
        let untold = untold.filter(|span| *span < FOLLOW_SPAN * 2);
        for (name, report) in &spend {
            let gained = match known {
                Some(known) if known.start == start => {
                    let before = known.spend.get(name).map_or(0.0, |before| before.total);
                    report.total - before
                }
                Some(_restarted) => report.total,
                // Most of what an unknown peer spent is long past.
                None => report.rate * untold.unwrap_or_default().as_secs_f64(),
            };
            if !is_followed && let Some(state) = self.quotas.get_mut(name) {
                // A refund makes the total of a peer smaller.
                state.level -= gained;
            }
        }
        let record = PeerRecord {
            start,
            heard: now,
            spend,
            is_counted: !is_followed,
        };
        self.peers.insert(peer.to_owned(), record);
    }

    /// Takes in what a collecting host tells of all hosts together.
    ///
    /// It does not know what this host admitted since its last report, which is taken off here. One
    /// that hears far fewer hosts than another is passed over; returns whether it was taken in.
    pub fn apply_aggregate(
        &mut self,
        now: Timestamp,
        spend: HashMap<String, FleetSpend>,
        seen_share: f64,
    ) -> bool {
        let known = self.followed(now).map(|followed| followed.seen_share);
        if known.is_some_and(|known| seen_share < known * WORSE_SHARE) {
            return false;
        }
        for (name, told) in &spend {
            if let Some(state) = self.quotas.get_mut(name) {
                let unheard = state.own_rate * FOLLOW_LAG.as_secs_f64();
                state.level = told.level - unheard;
                state.updated = now;
            }
        }
        self.followed = Some(FollowedFleet {
            told: now,
            seen_share,
            spend,
        });
        true
    }

    /// Stops following, as this host collects itself now; does nothing where it did not follow.
    ///
    /// What the others spent since this host was told is reckoned from their rates as they report.
    pub fn start_aggregating(&mut self) {
        if let Some(followed) = self.followed.take() {
            self.told_before = Some(followed.told);
            for peer in self.peers.values_mut() {
                peer.is_counted = false;
            }
        }
    }

    /// Returns what all hosts together may still use, for the hosts of a large fleet.
    pub fn fleet_spend(&mut self, now: Timestamp) -> HashMap<String, FleetSpend> {
        let share = self.group_share(now);
        let peers = &self.peers;
        let spend = self.quotas.iter_mut().map(|(name, state)| {
            state.refill(now, share, 0.0);
            let reports = peers.values().filter_map(|peer| peer.spend.get(name));
            let rate: f64 = reports.map(|report| report.rate).sum();
            let spend = FleetSpend {
                level: state.level,
                rate: rate + state.own_rate,
            };
            (name.clone(), spend)
        });
        spend.collect()
    }

    /// Returns what other hosts spend a second, as a collecting host told.
    fn others_rate(&self, now: Timestamp, organisation: &str) -> f64 {
        let own = self.quotas.get(organisation);
        let own_rate = own.map_or(0.0, |state| state.own_rate);
        self.followed(now)
            .map_or(0.0, |fleet| fleet.others_rate(organisation, own_rate))
    }

    /// Returns whether a collecting host tells this one what all hosts spend.
    #[must_use]
    pub fn has_fresh_aggregate(&self, now: Timestamp) -> bool {
        self.followed(now).is_some()
    }

    /// Returns when a collecting host told last what all hosts spend.
    #[must_use]
    pub fn last_aggregate_at(&self) -> Option<Timestamp> {
        self.followed.as_ref().map(|followed| followed.told)
    }

    fn followed(&self, now: Timestamp) -> Option<&FollowedFleet> {
        self.followed.as_ref().filter(|fleet| fleet.is_fresh(now))
    }

    /// Frees the part of a peer that is gone for good.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Admits a request, or refuses it as "not run" with a time to come back.
    ///
    /// # Errors
    ///
    /// Refuses where the organisation's quota is used up.
    pub fn admit(
        &mut self,
        now: Timestamp,
        organisation: &str,
        tokens: Option<u32>,
    ) -> Result<(), RequestRefusal> {
        let share = self.group_share(now);
        let coming = self.coming(now, organisation);
        let others_rate = self.others_rate(now, organisation);
        let is_settled = self.is_settled(now);
        let Some(state) = self.quotas.get_mut(organisation) else {
            return Ok(());
        };
        state.refill(now, share, others_rate);
        let units = state.units(tokens);
        let least = if is_settled { 0.0 } else { units };
        if state.has_room(tokens, coming, least) {
            state.spend(units);
            return Ok(());
        }
        let wait = state.promise(now, units, coming, share);
        let detail = format!(
            "quota of {organisation} is used up: {:.0} units left of {:.0} a second, {:.2} of the \
             hosts heard",
            state.level - coming,
            state.quota.rate,
            share,
        );
        let refusal = RequestRefusal::not_run(RefusalReason::OverLimit, detail);
        Err(refusal.retry_after(wait))
    }

    /// Gives back what a request took that was admitted and did not run.
    pub fn refund(&mut self, organisation: &str, tokens: Option<u32>) {
        if let Some(state) = self.quotas.get_mut(organisation) {
            let units = state.units(tokens);
            state.spend(-units);
        }
    }

    /// Returns what peers are reckoned to have admitted since they reported.
    fn coming(&self, now: Timestamp, organisation: &str) -> f64 {
        if self.followed(now).is_some() {
            // Taken off while the bucket fills.
            return 0.0;
        }
        let spending = self.peers.values().filter_map(|peer| {
            let age = now.since(peer.heard).min(EXTRAPOLATED_SPAN);
            let report = peer.spend.get(organisation)?;
            Some(report.rate * age.as_secs_f64())
        });
        spending.sum()
    }

    /// Returns what this host spent, for its peers.
    pub fn report(&mut self, now: Timestamp) -> PeerSpend {
        let share = self.group_share(now);
        let followed = self.followed.as_ref().filter(|fleet| fleet.is_fresh(now));
        let reports = self.quotas.iter_mut().map(|(name, state)| {
            let others = followed.map_or(0.0, |fleet| fleet.others_rate(name, state.own_rate));
            state.refill(now, share, others);
            let report = SpendReport {
                total: state.own_total,
                rate: state.own_rate,
            };
            (name.clone(), report)
        });
        reports.collect()
    }

    /// Returns what all hosts may still use of a quota now, as far as this host knows.
    #[must_use]
    pub fn level(&self, organisation: &str) -> Option<f64> {
        self.quotas.get(organisation).map(|state| state.level)
    }

    /// Returns the part of each rate that this host and the peers that it hears may use.
    fn group_share(&self, now: Timestamp) -> f64 {
        if let Some(followed) = self.followed(now) {
            return followed.seen_share;
        }
        let heard = self
            .peers
            .values()
            .filter(|peer| now.since(peer.heard) < SILENT_AFTER)
            .count();
        let hosts = (self.peers.len() + 1).max(self.fleet_size as usize);
        (heard + 1) as f64 / hosts as f64
    }

    /// Returns whether this host has had the time to learn what others spend.
    fn is_settled(&self, now: Timestamp) -> bool {
        let is_new = self
            .first_table
            .is_some_and(|first| now.since(first) < SETTLE_SPAN);
        !is_new || self.has_fresh_aggregate(now) || self.group_share(now) >= 1.0
    }
}

impl QuotaState {
    fn units(&self, tokens: Option<u32>) -> f64 {
        match self.quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens => tokens.map_or(self.quota.default_units, f64::from),
        }
    }

    fn has_room(&self, tokens: Option<u32>, coming: f64, least: f64) -> bool {
        let is_plain = self.quota.unit == QuotaUnit::Tokens && tokens.is_none();
        let debt = if is_plain {
            self.quota.rate * PLAIN_DEBT_SECONDS
        } else {
            0.0
        };
        self.level - coming + debt > least
    }

    fn spend(&mut self, units: f64) {
        self.level -= units;
        self.own_total += units;
        self.own_rate = (self.own_rate + units / RATE_SPAN.as_secs_f64()).max(0.0);
    }

    /// Returns when a request that is turned away finds room.
    ///
    /// Each one is told a time behind those that were told before, so that they do not all come
    /// back at once for the same room.
    fn promise(&mut self, now: Timestamp, units: f64, coming: f64, share: f64) -> Duration {
        let rate = (self.quota.rate * share).max(f64::MIN_POSITIVE);
        let span = |units: f64| Duration::try_from_secs_f64(units.max(0.0) / rate);
        let debt = span(coming - self.level)
            .unwrap_or(MAX_RETRY)
            .min(MAX_RETRY);
        let own = span(units).unwrap_or(MAX_RETRY).min(MAX_RETRY);
        let room_at = self.promised_until.max(now + debt);
        self.promised_until = room_at + own;
        room_at.since(now).clamp(MIN_RETRY, MAX_RETRY)
    }

    /// Fills the bucket for the time since, less what others are told to spend a second.
    fn refill(&mut self, now: Timestamp, share: f64, others_rate: f64) {
        let seconds = now.since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let rate = self.quota.rate * share;
        let least = -self.quota.rate * MAX_DEBT_SECONDS - self.quota.burst;
        let most = capacity(&self.quota) * share;
        let gained = (rate - others_rate) * seconds;
        self.level = (self.level + gained).clamp(least, most);
        self.own_rate *= (-seconds / RATE_SPAN.as_secs_f64()).exp();
    }
}

/// Returns the most units that are saved up; a second of the rate where no burst is named.
fn capacity(quota: &QuotaSpec) -> f64 {
    let burst = if quota.burst > 0.0 {
        quota.burst
    } else {
        quota.rate
    };
    burst * BURST_SHARE
}
