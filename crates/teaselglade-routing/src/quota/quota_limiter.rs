//! Limiter of each organisation's quota across all hosts.

use std::collections::HashMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::RankOrder;
use crate::capacity::RequestRank;
use crate::table::{OrganisationSpec, QuotaSpec, QuotaUnit};

/// Age from which a peer's last report is stale.
///
/// It is four gossip intervals, so that three consecutive reports may be lost.
const REPORT_TTL: Duration = Duration::from_millis(800);
/// Fraction of a burst that the bucket holds.
///
/// Two groups of hosts that are partitioned from each other may both spend it. The remainder
/// covers that, and spending that peers have not reported yet.
const BURST_SHARE: f64 = 0.5;
/// Largest debt of a bucket beyond its burst, in seconds of the rate.
///
/// The limit lets the effect of a wrong report wear off.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Debt, in seconds of the rate, up to which requests without tokens are admitted.
///
/// All plain calls of an organisation together use about a hundredth of its tokens. They must not
/// be refused because one large prompt used up the bucket.
const PLAIN_DEBT_SECONDS: f64 = 0.25;
/// Debt, in seconds of the rate, up to which the most urgent requests are admitted.
///
/// At the start of a rush hosts overspend before they hear of one another; less urgent requests pay
/// that back. Only a host that hears of all others allows it, as groups that do not hear of one
/// another would each owe it.
const URGENT_DEBT_SECONDS: f64 = 0.75;
/// Level, in seconds of the rate, that less urgent requests leave to more urgent ones.
const URGENT_RESERVE_SECONDS: f64 = 0.1;
/// Largest part of the bucket that less urgent requests leave to more urgent ones.
const MAX_RESERVE_PART: f64 = 0.2;
/// Longest time for which a peer's spending is extrapolated from the rate that it reported.
///
/// After that the peer counts as silent, and its share of the rate stays reserved for it.
const EXTRAPOLATION_WINDOW: Duration = REPORT_TTL;
/// Longest retry delay in a refusal.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);
/// Fraction of the longest retry delay over which callers are spread that no earlier time is left for.
const LATE_SPREAD: f64 = 0.5;
/// Age from which an aggregate is stale; three aggregator intervals.
const AGGREGATE_TTL: Duration = Duration::from_millis(1_200);
/// Ratio of an aggregate's seen share to the previous one's below which it is rejected.
const MIN_SEEN_SHARE_RATIO: f64 = 0.8;
/// Time that a host's spending takes to reach an aggregator and return in an aggregate.
const AGGREGATION_LAG: Duration = Duration::from_millis(400);
/// Time after the first table in which no request may exceed what is left in the bucket.
///
/// A host that starts does not know what others spend until it receives their reports or an
/// aggregate.
const SETTLING_TIME: Duration = AGGREGATE_TTL;
/// Time until what a host admits is known to all hosts that receive its reports.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// [`REPORT_LAG`] in a large fleet, where aggregates forward the reports.
const AGGREGATE_REPORT_LAG: Duration = Duration::from_millis(800);
/// Smallest part of an organisation's demand that a host assumes to have; 1,000 hosts.
const MIN_DEMAND_PART: f64 = 0.001;
/// Time constant of the smoothed spending rate.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Shortest retry delay in a refusal.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Spending of one host on one quota since the host's start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpendReport {
    /// Units admitted since the host's start.
    pub total: f64,
    /// Units admitted per second, smoothed.
    pub rate: f64,
    /// Units requested per second, including those refused, smoothed.
    #[serde(default)]
    pub demand: f64,
}

/// Fleet-wide remaining units and spending rate of one quota, from an aggregator.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct FleetSpend {
    /// Units that may be spent now.
    pub level: f64,
    /// Units admitted per second by all hosts.
    pub rate: f64,
    /// Units requested per second at all hosts, including those refused.
    #[serde(default)]
    pub demand: f64,
}

/// Spending that a host reports, by organisation.
pub type PeerSpend = HashMap<String, SpendReport>;

#[derive(Debug, Clone)]
struct PeerRecord {
    started_at_us: u64,
    received_at: Timestamp,
    spend: PeerSpend,
    /// Whether this host's buckets already account for the reported spending.
    is_counted: bool,
}

impl PeerRecord {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < REPORT_TTL
    }
}

/// Last aggregate that this host applied.
#[derive(Debug, Clone)]
struct AppliedAggregate {
    received_at: Timestamp,
    /// Fraction of the known hosts that the aggregator sees.
    seen_share: f64,
    spend: HashMap<String, FleetSpend>,
}

impl AppliedAggregate {
    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.received_at) < AGGREGATE_TTL
    }

    /// Returns the units per second requested at all hosts but one where `own_demand` is requested.
    fn others_demand(&self, organisation: &str, own_demand: f64) -> f64 {
        let spend = self.spend.get(organisation);
        spend.map_or(0.0, |spend| (spend.demand - own_demand).max(0.0))
    }

    /// Returns the units per second spent by all hosts but one that spends `own_rate`.
    fn others_rate(&self, organisation: &str, own_rate: f64) -> f64 {
        let spend = self.spend.get(organisation);
        spend.map_or(0.0, |spend| (spend.rate - own_rate).max(0.0))
    }
}

#[derive(Debug, Clone)]
struct QuotaState {
    quota: QuotaSpec,
    /// Units that all hosts together may still spend, as known to this host; negative for a debt.
    level: f64,
    updated_at: Timestamp,
    own_total: f64,
    own_rate: f64,
    /// Units requested per second at this host, smoothed.
    own_demand: f64,
    /// Demand and promised returns by rank.
    ranks: RankOrder,
}

/// Limits each organisation to its quota across all hosts.
///
/// Every host keeps a token bucket for the whole fleet. It subtracts what it admits at once, and
/// what peers admit when they report it. Thus a large request is admitted even if the host's own
/// share of the quota would not cover it, and units that are spent twice are subtracted later.
/// In a rush each host admits only a share of the requests, so that the fleet spends what is left
/// before its hosts hear of one another. While peers are silent, each group of hosts that receive one another's reports is limited to its
/// share of the rate, so that the sum stays within the quota. This bounds the load of one
/// organisation that sends many times its usual traffic.
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
/// let mut limiter = QuotaLimiter::new(1);
/// let now = Timestamp::from_millis(1_000);
/// limiter.set_quotas(now, &[organisation]);
/// assert!(limiter.admit(now, "halloran", Some(900)).is_ok());
/// let refusal = limiter.admit(now, "halloran", Some(900)).unwrap_err();
/// assert!(refusal.retry_after.is_some());
/// ```
#[derive(Debug, Clone)]
pub struct QuotaLimiter {
    quotas: HashMap<String, QuotaState>,
    peers: HashMap<String, PeerRecord>,
    /// Last applied aggregate, in a large fleet.
    aggregate: Option<AppliedAggregate>,
    /// Time of the last aggregate that was applied before this host became an aggregator.
    previous_aggregate_at: Option<Timestamp>,
    /// Number of hosts that is assumed while fewer are known from reports.
    fleet_size: u32,
    /// Time at which the first table became active.
    first_table_at: Option<Timestamp>,
    random: Pcg32,
}

impl QuotaLimiter {
    /// Creates a limiter that assumes `assumed_hosts` until the fleet's size is set.
    #[must_use]
    pub fn new(assumed_hosts: u32) -> Self {
        Self {
            quotas: HashMap::new(),
            peers: HashMap::new(),
            aggregate: None,
            previous_aggregate_at: None,
            fleet_size: assumed_hosts.max(1),
            first_table_at: None,
            random: Pcg32::seed_from_u64(0),
        }
    }

    /// Sets the seed of the random choice of requests in a rush; it differs from host to host.
    #[must_use]
    pub fn random_seed(mut self, seed: u64) -> Self {
        self.random = Pcg32::seed_from_u64(seed);
        self
    }

    /// Sets the number of known hosts, including this one and those without a report.
    pub const fn set_fleet_size(&mut self, hosts: u32) {
        self.fleet_size = hosts;
    }

    /// Applies the quotas of a table; spending under earlier quotas still counts.
    pub fn set_quotas(&mut self, now: Timestamp, organisations: &[OrganisationSpec]) {
        self.first_table_at.get_or_insert(now);
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
                    updated_at: now,
                    own_total: 0.0,
                    own_rate: 0.0,
                    own_demand: 0.0,
                    ranks: RankOrder::default(),
                },
            };
            self.quotas.insert(organisation.name.clone(), state);
        }
    }

    /// Receives a peer's report; `started_at_us` identifies the peer's incarnation.
    pub fn receive_spend(
        &mut self,
        now: Timestamp,
        peer: &str,
        started_at_us: u64,
        spend: PeerSpend,
    ) {
        let has_aggregate = self.fresh_aggregate(now).is_some();
        let known = self.peers.get(peer).filter(|known| known.is_counted);
        let uncounted = self
            .previous_aggregate_at
            .map(|received_at| now.since(received_at));
        let uncounted = uncounted.filter(|uncounted| *uncounted < AGGREGATE_TTL * 2);
        for (name, report) in &spend {
            let newly_spent = match known {
                Some(known) if known.started_at_us == started_at_us => {
                    let before = known.spend.get(name).map_or(0.0, |before| before.total);
                    report.total - before
                }
                Some(_restarted) => report.total,
                // Most of an unknown peer's total was spent too long ago to count.
                None => report.rate * uncounted.unwrap_or_default().as_secs_f64(),
            };
            if !has_aggregate && let Some(state) = self.quotas.get_mut(name) {
                // Negative after a refund, which lowers the peer's total.
                state.level -= newly_spent;
            }
        }
        let record = PeerRecord {
            started_at_us,
            received_at: now,
            spend,
            is_counted: !has_aggregate,
        };
        self.peers.insert(peer.to_owned(), record);
    }

    /// Applies an aggregate and returns whether it was accepted.
    ///
    /// The aggregator does not know what this host has admitted since its last report, so that is
    /// subtracted here. An aggregate is rejected if its sender sees far fewer hosts than the sender
    /// of the current one.
    pub fn apply_aggregate(
        &mut self,
        now: Timestamp,
        spend: HashMap<String, FleetSpend>,
        seen_share: f64,
    ) -> bool {
        let known = self
            .fresh_aggregate(now)
            .map(|aggregate| aggregate.seen_share);
        if known.is_some_and(|known| seen_share < known * MIN_SEEN_SHARE_RATIO) {
            return false;
        }
        for (name, fleet_spend) in &spend {
            if let Some(state) = self.quotas.get_mut(name) {
                let unreported = state.own_rate * AGGREGATION_LAG.as_secs_f64();
                state.level = fleet_spend.level - unreported;
                state.updated_at = now;
            }
        }
        self.aggregate = Some(AppliedAggregate {
            received_at: now,
            seen_share,
            spend,
        });
        true
    }

    /// Discards the applied aggregate, if any, because this host is now an aggregator.
    ///
    /// The peers' spending since that aggregate is estimated from their rates as they report.
    pub fn start_aggregating(&mut self) {
        if let Some(aggregate) = self.aggregate.take() {
            self.previous_aggregate_at = Some(aggregate.received_at);
            for peer in self.peers.values_mut() {
                peer.is_counted = false;
            }
        }
    }

    /// Returns the remaining units and spending rates of the fleet, for an aggregate digest.
    pub fn fleet_spend(&mut self, now: Timestamp) -> HashMap<String, FleetSpend> {
        let share = self.group_share(now);
        let peers = &self.peers;
        let spend = self.quotas.iter_mut().map(|(name, state)| {
            state.refill(now, share, 0.0);
            let reports = peers.values().filter_map(|peer| peer.spend.get(name));
            let sum = |sum: (f64, f64), report: &SpendReport| {
                (sum.0 + report.rate, sum.1 + report.demand)
            };
            let (rate, demand) = reports.fold((0.0, 0.0), sum);
            let spend = FleetSpend {
                level: state.level,
                rate: rate + state.own_rate,
                demand: demand + state.own_demand,
            };
            (name.clone(), spend)
        });
        spend.collect()
    }

    /// Returns the units per second that other hosts spend, from a fresh aggregate.
    fn others_rate(&self, now: Timestamp, organisation: &str) -> f64 {
        let own = self.quotas.get(organisation);
        let own_rate = own.map_or(0.0, |state| state.own_rate);
        self.fresh_aggregate(now).map_or(0.0, |aggregate| {
            aggregate.others_rate(organisation, own_rate)
        })
    }

    /// Returns the units per second requested at other hosts, as they reported them.
    fn others_demand(&self, now: Timestamp, organisation: &str) -> f64 {
        if let Some(aggregate) = self.fresh_aggregate(now) {
            let own = self.quotas.get(organisation);
            let own_demand = own.map_or(0.0, |state| state.own_demand);
            return aggregate.others_demand(organisation, own_demand);
        }
        let fresh_peers = self.peers.values().filter(|peer| peer.is_fresh(now));
        let reports = fresh_peers.filter_map(|peer| peer.spend.get(organisation));
        reports.map(|report| report.demand).sum()
    }

    /// Returns the time until what this host admits is known to the others.
    fn report_lag(&self, now: Timestamp) -> Duration {
        if self.has_fresh_aggregate(now) || self.previous_aggregate_at.is_some() {
            AGGREGATE_REPORT_LAG
        } else {
            REPORT_LAG
        }
    }

    /// Returns whether the last applied aggregate is still fresh.
    #[must_use]
    pub fn has_fresh_aggregate(&self, now: Timestamp) -> bool {
        self.fresh_aggregate(now).is_some()
    }

    /// Returns the time at which the last aggregate was applied.
    #[must_use]
    pub fn last_aggregate_at(&self) -> Option<Timestamp> {
        self.aggregate
            .as_ref()
            .map(|aggregate| aggregate.received_at)
    }

    fn fresh_aggregate(&self, now: Timestamp) -> Option<&AppliedAggregate> {
        self.aggregate
            .as_ref()
            .filter(|aggregate| aggregate.is_fresh(now))
    }

    /// Removes a peer that is gone for good and releases its quota share.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Admits a request, or refuses it as "not run" with a retry delay.
    ///
    /// Without `tokens` the request counts as a plain call. Organisations without a quota are not
    /// limited.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation's quota is used up.
    pub fn admit(
        &mut self,
        now: Timestamp,
        organisation: &str,
        tokens: Option<u32>,
    ) -> Result<(), RequestRefusal> {
        self.admit_ranked(now, organisation, tokens, RequestRank::default())
    }

    /// Admits a request like [`QuotaLimiter::admit`], the more urgent ranks first.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the organisation's quota is used up.
    pub fn admit_ranked(
        &mut self,
        now: Timestamp,
        organisation: &str,
        tokens: Option<u32>,
        rank: RequestRank,
    ) -> Result<(), RequestRefusal> {
        let share = self.group_share(now);
        let unreported = self.unreported_spend(now, organisation);
        let others_rate = self.others_rate(now, organisation);
        let others_demand = self.others_demand(now, organisation);
        let lag = self.report_lag(now);
        let is_settled = self.is_settled(now);
        let is_new = self.is_new(now);
        let Some(state) = self.quotas.get_mut(organisation) else {
            return Ok(());
        };
        state.refill(now, share, others_rate);
        let units = state.units(tokens);
        state.own_demand += units / RATE_TIME_CONSTANT.as_secs_f64();
        let min_level = if is_settled { 0.0 } else { units };
        let min_level = min_level.max(state.reserve(now, rank, tokens, share));
        let is_plain = state.is_plain(tokens);
        if !is_plain {
            state.ranks.record(now, rank, units);
        }
        let admitted_share = state.admitted_share(now, unreported, share, others_demand, lag);
        let admitted_share = state.ranks.fraction(now, rank, admitted_share);
        let is_chosen =
            is_plain || admitted_share >= 1.0 || self.random.random_bool(admitted_share);
        let debt_seconds = if is_plain {
            PLAIN_DEBT_SECONDS
        } else if share >= 1.0 && !is_new && state.ranks.may_owe(now, rank) {
            URGENT_DEBT_SECONDS
        } else {
            0.0
        };
        let debt = state.quota.rate * debt_seconds;
        if is_chosen && state.level - unreported + debt > min_level {
            state.spend(units);
            return Ok(());
        }
        let delay = state.reserve_retry(now, (units, rank), unreported, share, others_demand);
        let delay = if delay >= MAX_RETRY_DELAY {
            delay.mul_f64(1.0 - LATE_SPREAD * self.random.random_range(0.0..1.0))
        } else {
            delay
        };
        let detail = format!(
            "quota of {organisation} is used up: {:.0} units left of {:.0} a second, {:.2} of the \
             hosts heard",
            state.level - unreported,
            state.quota.rate,
            share,
        );
        let refusal = RequestRefusal::not_run(RefusalReason::OverLimit, detail);
        Err(refusal.retry_after(delay))
    }

    /// Refunds the units of a request that was admitted but did not run.
    pub fn refund(&mut self, organisation: &str, tokens: Option<u32>) {
        if let Some(state) = self.quotas.get_mut(organisation) {
            let units = state.units(tokens);
            state.spend(-units);
        }
    }

    /// Returns an estimate of what peers have admitted since their last reports.
    fn unreported_spend(&self, now: Timestamp, organisation: &str) -> f64 {
        if self.fresh_aggregate(now).is_some() {
            // The refill already subtracts the spending rate of other hosts.
            return 0.0;
        }
        let spending = self.peers.values().filter_map(|peer| {
            let age = now.since(peer.received_at).min(EXTRAPOLATION_WINDOW);
            let report = peer.spend.get(organisation)?;
            Some(report.rate * age.as_secs_f64())
        });
        spending.sum()
    }

    /// Returns this host's own spending, for its peers.
    pub fn report(&mut self, now: Timestamp) -> PeerSpend {
        let share = self.group_share(now);
        let aggregate = self
            .aggregate
            .as_ref()
            .filter(|aggregate| aggregate.is_fresh(now));
        let reports = self.quotas.iter_mut().map(|(name, state)| {
            let others_rate =
                aggregate.map_or(0.0, |aggregate| aggregate.others_rate(name, state.own_rate));
            state.refill(now, share, others_rate);
            let report = SpendReport {
                total: state.own_total,
                rate: state.own_rate,
                demand: state.own_demand,
            };
            (name.clone(), report)
        });
        reports.collect()
    }

    /// Returns the quota units that all hosts may still spend, as known here.
    #[must_use]
    pub fn level(&self, organisation: &str) -> Option<f64> {
        self.quotas.get(organisation).map(|state| state.level)
    }

    /// Returns the fraction of each rate that this host and the peers that it sees may spend.
    fn group_share(&self, now: Timestamp) -> f64 {
        if let Some(aggregate) = self.fresh_aggregate(now) {
            return aggregate.seen_share;
        }
        let seen = self
            .peers
            .values()
            .filter(|peer| peer.is_fresh(now))
            .count();
        let hosts = (self.peers.len() + 1).max(self.fleet_size as usize);
        (seen + 1) as f64 / hosts as f64
    }

    fn is_new(&self, now: Timestamp) -> bool {
        let first_table_at = self.first_table_at;
        first_table_at.is_some_and(|at| now.since(at) < SETTLING_TIME)
    }

    /// Returns whether this host has had enough time to receive what others spend.
    fn is_settled(&self, now: Timestamp) -> bool {
        !self.is_new(now) || self.has_fresh_aggregate(now) || self.group_share(now) >= 1.0
    }
}

impl QuotaState {
    fn units(&self, tokens: Option<u32>) -> f64 {
        match self.quota.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens => tokens.map_or(self.quota.default_units, f64::from),
        }
    }

    /// Returns whether a request without tokens is limited by a quota in tokens.
    fn is_plain(&self, tokens: Option<u32>) -> bool {
        self.quota.unit == QuotaUnit::Tokens && tokens.is_none()
    }

    /// Returns the units that requests of a rank leave to more urgent ones.
    fn reserve(&self, now: Timestamp, rank: RequestRank, tokens: Option<u32>, share: f64) -> f64 {
        if self.is_plain(tokens) || !self.ranks.is_outranked(now, rank) {
            return 0.0;
        }
        let most = capacity(&self.quota) * MAX_RESERVE_PART;
        // The refill caps the level by the share, too.
        (self.quota.rate * URGENT_RESERVE_SECONDS).min(most) * share
    }

    /// Returns the share of requests to admit so that all hosts together do not overspend.
    ///
    /// Until the hosts hear of one another's spending, each sees the same remaining units. It
    /// admits such a share of its requests that all of them together spend what is left and what
    /// is refilled meanwhile. A host that knows of no demand elsewhere needs no such reserve, unless
    /// ranks compete: then less urgent ones get their part only by it.
    fn admitted_share(
        &self,
        now: Timestamp,
        unreported: f64,
        share: f64,
        others_demand: f64,
        lag: Duration,
    ) -> f64 {
        if others_demand <= 0.0 && !self.ranks.do_compete(now) {
            return 1.0;
        }
        let lag = lag.as_secs_f64();
        let available = (self.level - unreported).max(0.0) + self.quota.rate * share * lag;
        (available / ((others_demand + self.own_demand) * lag)).clamp(0.0, 1.0)
    }

    fn spend(&mut self, units: f64) {
        self.level -= units;
        self.own_total += units;
        self.own_rate = (self.own_rate + units / RATE_TIME_CONSTANT.as_secs_f64()).max(0.0);
    }

    /// Returns the delay after which the bucket has capacity for a refused request.
    ///
    /// Each refused request gets a delay behind those of earlier ones, so that they do not all
    /// retry at once for the same capacity. Of the refill this host gives out only its part of the
    /// demand, as the others promise the rest to their callers.
    fn reserve_retry(
        &mut self,
        now: Timestamp,
        (units, rank): (f64, RequestRank),
        unreported: f64,
        share: f64,
        others_demand: f64,
    ) -> Duration {
        let rate = (self.quota.rate * share).max(f64::MIN_POSITIVE);
        let own_part = self.own_demand / (self.own_demand + others_demand).max(f64::MIN_POSITIVE);
        let refill_time = |units: f64| Duration::try_from_secs_f64(units.max(0.0) / rate);
        let debt_time = refill_time(unreported - self.level)
            .unwrap_or(MAX_RETRY_DELAY)
            .min(MAX_RETRY_DELAY);
        let own_time = refill_time(units / own_part.max(MIN_DEMAND_PART))
            .unwrap_or(MAX_RETRY_DELAY)
            .min(MAX_RETRY_DELAY);
        let available_at = self.ranks.reserved_until(rank).max(now + debt_time);
        let until = (available_at + own_time).min(now + MAX_RETRY_DELAY);
        self.ranks.reserve(rank, until);
        available_at
            .since(now)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Refills the bucket for the elapsed time, minus what other hosts spend per second.
    fn refill(&mut self, now: Timestamp, share: f64, others_rate: f64) {
        let seconds = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let rate = self.quota.rate * share;
        let min_level = -self.quota.rate * MAX_DEBT_SECONDS - self.quota.burst;
        let max_level = capacity(&self.quota) * share;
        let gained = (rate - others_rate) * seconds;
        self.level = (self.level + gained).clamp(min_level, max_level);
        let decay = (-seconds / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        self.own_rate *= decay;
        self.own_demand *= decay;
    }
}

/// Returns the capacity of a quota's bucket; without a burst, one second of the rate replaces it.
fn capacity(quota: &QuotaSpec) -> f64 {
    let burst = if quota.burst > 0.0 {
        quota.burst
    } else {
        quota.rate
    };
    burst * BURST_SHARE
}
