//! Shares of organisations in one service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::rate_meter::warm_up_factor;
use super::{
    FlowDemand, FlowKey, RateMeter, ReturnSchedule, RoomEstimate, RoomSample, ServiceFlows,
    ShareClaim, max_min_shares,
};
use crate::capacity::RequestRank;

/// Largest number of flows in a message.
const MAX_FLOWS: usize = 32;
/// Weight of a rank relative to the next more urgent one.
const RANK_WEIGHT_STEP: f64 = 0.5;
/// Part of its organisation's mean fraction that every rank is granted, so that none starves.
const MIN_RANK_PART: f64 = 0.5;
/// Excess over its share, as a factor, up to which an organisation is not limited.
///
/// Measured demand is noisy; a request within its organisation's share must not be refused for it.
const EXCESS_TOLERANCE: f64 = 1.3;
/// Fraction of a rank's latency target that less urgent requests may fill with a queue.
const QUEUE_TARGET_SHARE: f64 = 0.9;
/// Fraction of a latency target that organisations above their share may fill with a queue.
const LIMITED_QUEUE_SHARE: f64 = 0.5;
/// Time constant by which a host without fresh sums forgets its largest demand.
///
/// The demand of one host is noisy; a short lull must not raise what it admits.
const PEAK_MEMORY: Duration = Duration::from_secs(3);
/// Rate below which a flow is idle, in work per second.
const IDLE_RATE: f64 = 1.0;

/// Work that one flow asks for and gets at this host.
#[derive(Debug, Clone, Copy, Default)]
struct FlowMeter {
    asked: RateMeter,
    used: RateMeter,
}

/// Demand and grant of a flow over all hosts of the group.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct FlowGrant {
    /// Work per second that callers ask for.
    pub(super) asked: f64,
    /// Work per second that servers accepted.
    pub(super) used: f64,
    /// Work per second that is granted.
    pub(super) granted: f64,
}

impl FlowGrant {
    /// Returns the fraction of the requests that is admitted.
    pub(super) fn fraction(self) -> f64 {
        if self.granted >= self.asked {
            return 1.0;
        }
        self.granted / self.asked
    }
}

/// Sums over the hosts of a group, for one service.
#[derive(Debug, Clone, Default)]
pub(super) struct GroupSum {
    pub(super) flows: BTreeMap<FlowKey, FlowDemand>,
    pub(super) late: f64,
    /// Work per second of a server and whether room is scarce, as an aggregator found it.
    pub(super) found: Option<(f64, bool)>,
}

impl GroupSum {
    /// Adds the demand that a host or an aggregator reported.
    pub(super) fn add(&mut self, report: &ServiceFlows) {
        self.late += f64::from(report.late);
        for flow in &report.flows {
            let key = FlowKey {
                organisation: flow.organisation,
                rank: RequestRank::new(flow.rank),
            };
            let sum = self.flows.entry(key).or_insert(FlowDemand {
                asked: 0.0,
                used: 0.0,
                ..*flow
            });
            sum.asked += flow.asked;
            sum.used += flow.used;
        }
    }
}

/// Shares of organisations in one service.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceShare {
    meters: HashMap<FlowKey, FlowMeter>,
    late: RateMeter,
    /// Time of the first request since this host's start.
    metered_from: Option<Timestamp>,
    pub(super) room: RoomEstimate,
    pub(super) grants: BTreeMap<FlowKey, FlowGrant>,
    /// Fraction of the group's demand that this host's callers ask for.
    own_part: f64,
    /// Work per second that this host's callers asked for when the last sums were applied.
    summed_own_asked: f64,
    /// Recent peak of that demand since then, and its time.
    peak_asked: (f64, Timestamp),
    /// Servers that took work when the last sums were applied.
    summed_servers: f64,
    /// Factor of all grants while this host has no fresh sums.
    scale: Option<f64>,
    /// Least latency target by rank, from the table.
    targets: BTreeMap<RequestRank, Duration>,
    /// Priorities of organisations that have one, by the hashes of their names.
    priorities: HashMap<u64, u8>,
    /// Whether the table lets several organisations or ranks compete for the service.
    pub(super) is_shared: bool,
    returns: ReturnSchedule,
}

impl ServiceShare {
    /// Applies the ranks and targets of a table.
    pub(super) fn set_targets(
        &mut self,
        targets: BTreeMap<RequestRank, Duration>,
        organisations: usize,
    ) {
        self.is_shared = targets.len() > 1 || organisations > 1;
        self.targets = targets;
    }

    /// Applies the priorities of organisations, by the hashes of their names.
    pub(super) fn set_priorities(&mut self, priorities: HashMap<u64, u8>) {
        self.priorities = priorities;
    }

    /// Meters a request that a caller asks for.
    pub(super) fn record_asked(&mut self, now: Timestamp, key: FlowKey, work: f64) {
        self.metered_from.get_or_insert(now);
        self.meters.entry(key).or_default().asked.add(now, work);
    }

    /// Meters a request that a server accepted.
    pub(super) fn record_used(&mut self, now: Timestamp, key: FlowKey, work: f64) {
        self.meters.entry(key).or_default().used.add(now, work);
    }

    /// Meters a request that no server could start in time.
    pub(super) fn record_late(&mut self, now: Timestamp, work: f64) {
        self.late.add(now, work);
    }

    /// Returns how far requests of a flow may fill a server's queue while room is scarce.
    ///
    /// Less urgent ranks leave the queue that more urgent ones can wait for. Organisations above their
    /// share leave a part of it to the others, which are therefore not refused because of them.
    pub(super) fn queue_limit(&self, key: FlowKey) -> Option<Duration> {
        self.room.scarce_room()?;
        let rank = self.rank(key);
        let target = |least: Option<&Duration>, share: f64| least.map(|least| least.mul_f64(share));
        let more_urgent = self.targets.range(..rank).map(|(_, target)| target);
        let by_rank = target(more_urgent.min(), QUEUE_TARGET_SHARE);
        if self.grant(key).fraction() >= 1.0 {
            return by_rank;
        }
        let upto = self.targets.range(..=rank).map(|(_, target)| target);
        target(upto.min(), LIMITED_QUEUE_SHARE)
    }

    /// Returns the demand and grant of a flow, scaled to this host's part if sums are missing.
    pub(super) fn grant(&self, key: FlowKey) -> FlowGrant {
        let grant = self.grants.get(&key).copied().unwrap_or_default();
        let Some(scale) = self.scale else {
            return grant;
        };
        FlowGrant {
            granted: grant.granted.min(grant.asked) * scale,
            ..grant
        }
    }

    /// Returns the rank of a flow among all: that of its organisation, or else of its route.
    fn rank(&self, key: FlowKey) -> RequestRank {
        let priority = self.priorities.get(&key.organisation).copied();
        RequestRank::of(priority, key.rank.get())
    }

    /// Reserves the return of a refused caller and returns the delay until then.
    pub(super) fn reserve_return(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        work: f64,
        jitter: f64,
    ) -> Duration {
        let rate = self.room.scarce_room().unwrap_or_default() * self.own_part;
        let rank = self.rank(key);
        self.returns.reserve(now, rank, work, rate, jitter)
    }

    /// Returns this host's demand, the largest flows first and the others as one.
    pub(super) fn own_flows(&mut self, now: Timestamp, service: u64) -> ServiceFlows {
        self.meters
            .retain(|_, meter| meter.asked.rate(now) + meter.used.rate(now) > IDLE_RATE);
        let factor = self.warm_up_factor(now);
        let flows = self.meters.iter().map(|(key, meter)| FlowDemand {
            organisation: key.organisation,
            rank: key.rank.get(),
            asked: (meter.asked.rate(now) * factor) as f32,
            used: (meter.used.rate(now) * factor) as f32,
        });
        let late = self.late.rate(now) * factor;
        self.flows_message(service, flows.collect(), late)
    }

    /// Returns a message with the largest of some flows, and the sum of the others.
    pub(super) fn flows_message(
        &self,
        service: u64,
        mut flows: Vec<FlowDemand>,
        late: f64,
    ) -> ServiceFlows {
        flows.sort_unstable_by(|a, b| b.asked.total_cmp(&a.asked));
        if flows.len() > MAX_FLOWS {
            let rest = flows.split_off(MAX_FLOWS - 1);
            let least_urgent = rest.iter().map(|flow| flow.rank).max().unwrap_or_default();
            flows.push(FlowDemand {
                organisation: 0,
                rank: least_urgent,
                asked: rest.iter().map(|flow| flow.asked).sum(),
                used: rest.iter().map(|flow| flow.used).sum(),
            });
        }
        ServiceFlows {
            service,
            late: late as f32,
            per_server: self.room.per_server() as f32,
            is_scarce: self.room.scarce_room().is_some(),
            flows,
        }
    }

    /// Grants each organisation its share of the room by the sums of the group.
    ///
    /// `seen_share` is the fraction of the known hosts that the sums cover.
    pub(super) fn rebalance(
        &mut self,
        now: Timestamp,
        group: &GroupSum,
        servers: f64,
        least_per_server: f64,
        seen_share: f64,
    ) {
        let flows = group.flows.values();
        let asked: f64 = flows.clone().map(|flow| f64::from(flow.asked)).sum();
        let used = flows.map(|flow| f64::from(flow.used)).sum();
        let sample = RoomSample {
            asked,
            used,
            late: group.late,
            servers: servers * seen_share,
            least_per_server,
        };
        match group.found {
            Some((per_server, is_scarce)) => {
                self.room.follow(per_server, is_scarce, sample.servers);
            }
            None => self.room.update(now, &sample),
        }
        let own_asked = self.own_asked(now);
        self.own_part = (own_asked / asked.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        (self.summed_own_asked, self.summed_servers, self.scale) = (own_asked, servers, None);
        self.peak_asked = (own_asked, now);
        let room = self.room.scarce_room().unwrap_or(f64::INFINITY);
        self.grants = grant_flows(room, group, &self.priorities);
    }

    /// Keeps to the last grants, as this host has no fresh sums.
    ///
    /// The host admits no more than it did with the last sums, in proportion to the servers that are
    /// left. So the work of all hosts stays within the room, whichever of them lost touch.
    pub(super) fn keep_grants(&mut self, now: Timestamp, servers: f64) {
        if self.room.scarce_room().is_none() {
            return;
        }
        let (peak, peak_at) = self.peak_asked;
        let kept = (-now.since(peak_at).as_secs_f64() / PEAK_MEMORY.as_secs_f64()).exp();
        self.peak_asked = (self.own_asked(now).max(peak * kept), now);
        let by_demand = self.summed_own_asked / self.peak_asked.0.max(f64::MIN_POSITIVE);
        let by_servers = servers / self.summed_servers.max(f64::MIN_POSITIVE);
        // Noise and returns that are still due must not raise the work admitted.
        let by_demand = by_demand.min((by_demand / EXCESS_TOLERANCE).max(1.0));
        self.scale = Some(by_demand * by_servers.min(1.0));
    }

    fn own_asked(&self, now: Timestamp) -> f64 {
        let rates = self.meters.values().map(|meter| meter.asked.rate(now));
        rates.sum::<f64>() * self.warm_up_factor(now)
    }

    fn warm_up_factor(&self, now: Timestamp) -> f64 {
        let age = self.metered_from.map_or(Duration::ZERO, |at| now.since(at));
        warm_up_factor(age)
    }
}

/// Returns what each flow of a group is granted of the room.
///
/// Organisations get max-min shares, weighted by their priority, or by that of their routes if they
/// have none; within an organisation, more urgent ranks come first.
fn grant_flows(
    room: f64,
    group: &GroupSum,
    priorities: &HashMap<u64, u8>,
) -> BTreeMap<FlowKey, FlowGrant> {
    let names: BTreeSet<u64> = group.flows.keys().map(|key| key.organisation).collect();
    let organisations: Vec<Vec<(FlowKey, FlowDemand)>> = names
        .into_iter()
        .map(|name| {
            let flows = group.flows.iter();
            let own = flows.filter(|(key, _)| key.organisation == name);
            own.map(|(key, flow)| (*key, *flow)).collect()
        })
        .collect();
    let claims: Vec<ShareClaim> = organisations
        .iter()
        .map(|flows| {
            let demand: f64 = flows.iter().map(|(_, flow)| f64::from(flow.asked)).sum();
            let weighted = flows.iter().map(|(key, flow)| {
                let priority = priorities.get(&key.organisation).copied();
                let rank = RequestRank::of(priority, key.rank.get());
                f64::from(flow.asked) * RANK_WEIGHT_STEP.powi(i32::from(rank.get()))
            });
            let weight = weighted.sum::<f64>() / demand.max(f64::MIN_POSITIVE);
            ShareClaim {
                demand,
                weight: weight.max(f64::MIN_POSITIVE),
            }
        })
        .collect();
    let shares = max_min_shares(room, &claims);
    let granted = organisations.iter().zip(claims).zip(shares);
    granted
        .flat_map(|((flows, claim), share)| grant_ranks(flows, claim.demand, share))
        .collect()
}

/// Divides an organisation's share among its ranks, the more urgent first.
fn grant_ranks(
    flows: &[(FlowKey, FlowDemand)],
    demand: f64,
    share: f64,
) -> Vec<(FlowKey, FlowGrant)> {
    let is_limited = demand > share * EXCESS_TOLERANCE;
    let fraction = if is_limited { share / demand } else { 1.0 };
    let mut left = share * (1.0 - MIN_RANK_PART);
    // The map that `flows` comes from orders them by rank.
    let grants = flows.iter().map(|(key, flow)| {
        let asked = f64::from(flow.asked);
        let least = asked * fraction * MIN_RANK_PART;
        let more = (asked - least).min(left);
        left -= more;
        let grant = FlowGrant {
            asked,
            used: f64::from(flow.used),
            granted: if is_limited { least + more } else { asked },
        };
        (*key, grant)
    });
    grants.collect()
}
