//! Limits organisations to their shares of services whose room is scarce.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

use super::service_share::{FlowGrant, GroupSum};
use super::{FlowDemand, FlowKey, Result, ServiceShare, ShareReport};
use crate::capacity::RequestRank;
use crate::gossip::name_hash;
use crate::table::TableSpec;

/// Age from which a peer's report is ignored; three reports may be lost.
const REPORT_TTL: Duration = Duration::from_millis(900);
/// Age from which a sum is ignored; three aggregator intervals.
const SUM_TTL: Duration = Duration::from_millis(1_200);

/// Request that asks for a part of a service's room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the organisation; empty for callers without one.
    pub organisation: &'a str,
    /// Rank of the request within its organisation: the priority of its route.
    pub rank: RequestRank,
    /// Work that the request asks for; the unit is the same on all hosts.
    pub work: f64,
}

/// Servers of a service, as a host knows them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServiceRoom<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Servers that take work.
    pub servers: f64,
    /// Least work per second that one of them is known to do.
    pub least_per_server: f64,
}

/// What one organisation asks for, is granted and uses at one rank, in work per second.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareState {
    /// Name of the service.
    pub service: String,
    /// Name of the organisation; "other" for one that the table does not name.
    pub organisation: String,
    /// Rank of the requests.
    pub rank: RequestRank,
    /// Work that callers ask for.
    pub asked: f64,
    /// Work that is granted.
    pub granted: f64,
    /// Work that servers accepted.
    pub used: f64,
}

#[derive(Debug, Clone)]
struct KnownOrganisation {
    name: String,
    priority: Option<u8>,
}

#[derive(Debug, Clone)]
struct ReceivedReport {
    received_at: Timestamp,
    report: ShareReport,
}

impl ReceivedReport {
    fn age(&self, now: Timestamp) -> Duration {
        now.since(self.received_at) + Duration::from_millis(self.report.age_ms.into())
    }
}

/// Limits organisations to their shares of services whose room is scarce.
///
/// Hosts exchange what their callers ask for. From the sums each host derives the same fraction of
/// an organisation's requests to admit, so the fleet's work follows the room however callers are
/// spread over hosts. A host without fresh sums keeps to the part of the room that it had last.
/// This answers bursts in which few organisations ask for most of a service.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::capacity::RequestRank;
/// use teaselglade_routing::share::{ShareLimiter, ShareRequest};
///
/// let mut limiter = ShareLimiter::new(1);
/// let request = ShareRequest {
///     service: "draft-fleet", organisation: "halloran", rank: RequestRank::new(0), work: 900.0,
/// };
/// assert!(limiter.admit(Timestamp::ZERO, &request).is_ok(), "room is not scarce");
/// ```
#[derive(Debug, Clone)]
pub struct ShareLimiter {
    services: HashMap<String, ServiceShare>,
    organisations: HashMap<u64, KnownOrganisation>,
    peers: HashMap<String, ReceivedReport>,
    sum: Option<ReceivedReport>,
    fleet_size: u32,
    /// Age of the figures behind the grants.
    figures_age: Duration,
    rng: Pcg32,
}

impl ShareLimiter {
    /// Creates a limiter without shared services; `seed` feeds the choice of admitted requests.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            services: HashMap::new(),
            organisations: HashMap::new(),
            peers: HashMap::new(),
            sum: None,
            fleet_size: 1,
            figures_age: Duration::ZERO,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// Sets the number of known hosts, including this one.
    pub const fn set_fleet_size(&mut self, hosts: u32) {
        self.fleet_size = hosts;
    }

    /// Applies the services, ranks, targets and organisations of a table.
    pub fn set_table(&mut self, table: &TableSpec) {
        let organisations = table.organisations.iter();
        self.organisations = organisations
            .map(|organisation| {
                let known = KnownOrganisation {
                    name: organisation.name.clone(),
                    priority: organisation.priority,
                };
                (name_hash(&organisation.name), known)
            })
            .collect();
        let priorities = self.organisations.iter();
        let priorities: HashMap<u64, u8> = priorities
            .filter_map(|(hash, known)| Some((*hash, known.priority?)))
            .collect();
        let mut services = HashMap::new();
        for service in &table.services {
            let mut share = self.services.remove(&service.name).unwrap_or_default();
            let routes = table.routes.iter();
            let routes = routes.filter(|route| {
                let mut shares = route.services.iter();
                shares.any(|share| share.service == service.name)
            });
            let mut targets: BTreeMap<RequestRank, Duration> = BTreeMap::new();
            for route in routes {
                let rank = RequestRank::new(route.priority);
                let target = targets.entry(rank).or_insert(route.target);
                *target = route.target.min(*target);
            }
            share.set_targets(targets, table.organisations.len());
            share.set_priorities(priorities.clone());
            services.insert(service.name.clone(), share);
        }
        self.services = services;
    }

    /// Admits a request, or refuses it as "not run" with a retry delay.
    ///
    /// # Errors
    ///
    /// Returns a refusal if room is scarce and the organisation asks for more than its share.
    pub fn admit(&mut self, now: Timestamp, request: &ShareRequest<'_>) -> Result<()> {
        let Some(share) = self.shared(request.service) else {
            return Ok(());
        };
        let key = FlowKey::of(request.organisation, request.rank);
        share.record_asked(now, key, request.work);
        let grant = share.grant(key);
        let room = share.room.scarce_room().unwrap_or(f64::INFINITY);
        let fraction = grant.fraction();
        if fraction >= 1.0 || self.rng.random_bool(fraction.max(0.0)) {
            return Ok(());
        }
        let jitter = self.rng.random_range(0.0..1.0);
        let detail = format!(
            "{} asks for {:.0} a second of rank {}, its share is {:.0} of a room of {room:.0}, \
             known {} ms ago",
            request.organisation,
            grant.asked,
            request.rank.get(),
            grant.granted,
            self.figures_age.as_millis(),
        );
        let refusal = RequestRefusal::not_run(RefusalReason::OverShare, detail);
        let delay = self
            .shared(request.service)
            .map(|share| share.reserve_return(now, key, request.work, jitter));
        Err(refusal.retry_after(delay.unwrap_or_default()))
    }

    /// Records that a server accepted an admitted request.
    pub fn record_used(&mut self, now: Timestamp, request: &ShareRequest<'_>) {
        if let Some(share) = self.shared(request.service) {
            let key = FlowKey::of(request.organisation, request.rank);
            share.record_used(now, key, request.work);
        }
    }

    /// Records why servers refused an admitted request.
    ///
    /// Only a refusal for lateness or want of a server says that the servers are full.
    pub fn record_refusal(
        &mut self,
        now: Timestamp,
        request: &ShareRequest<'_>,
        reason: RefusalReason,
    ) {
        let is_full = matches!(
            reason,
            RefusalReason::PredictedLate | RefusalReason::NoServer
        );
        if is_full && let Some(share) = self.shared(request.service) {
            share.record_late(now, request.work);
        }
    }

    /// Returns how far a request may fill a server's queue; `None` leaves it to its target.
    ///
    /// It is limited while room is scarce and a rank is more urgent, or the organisation asks for
    /// more than its share.
    #[must_use]
    pub fn queue_limit(&self, request: &ShareRequest<'_>) -> Option<Duration> {
        let share = self.services.get(request.service)?;
        share.queue_limit(FlowKey::of(request.organisation, request.rank))
    }

    /// Returns the work per second of a service's servers, if more is asked for.
    #[must_use]
    pub fn scarce_room(&self, service: &str) -> Option<f64> {
        self.services.get(service)?.room.scarce_room()
    }

    /// Returns this host's demand, for its peers.
    pub fn report(&mut self, now: Timestamp, host: &str) -> ShareReport {
        let shared = self
            .services
            .iter_mut()
            .filter(|(_, share)| share.is_shared);
        let services = shared.map(|(name, share)| share.own_flows(now, name_hash(name)));
        ShareReport {
            host: host.to_owned(),
            hosts: 1,
            age_ms: 0,
            services: services
                .filter(|service| !service.flows.is_empty())
                .collect(),
        }
    }

    /// Returns the sum of the demand that this aggregator knows, for the hosts that it serves.
    pub fn fleet_report(&mut self, now: Timestamp) -> ShareReport {
        let own = self.report(now, "");
        let fresh: Vec<&ReceivedReport> = self.fresh_peers(now).collect();
        let hosts = fresh.len() as u32 + 1;
        let ages: Duration = fresh.iter().map(|peer| peer.age(now)).sum();
        let shared = self.services.iter().filter(|(_, share)| share.is_shared);
        let services = shared.map(|(name, share)| {
            let service = name_hash(name);
            let reports = fresh.iter().map(|peer| &peer.report).chain([&own]);
            let group = sum_reports(reports, service);
            let flows: Vec<FlowDemand> = group.flows.into_values().collect();
            share.flows_message(service, flows, group.late)
        });
        ShareReport {
            host: String::new(),
            hosts,
            age_ms: (ages / hosts).as_millis() as u32,
            services: services
                .filter(|service| !service.flows.is_empty())
                .collect(),
        }
    }

    /// Receives the demand of a peer, or a sum from an aggregator.
    ///
    /// A sum over fewer hosts does not replace a fresh one over more.
    pub fn receive(&mut self, now: Timestamp, report: ShareReport) {
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        if !received.report.host.is_empty() {
            self.peers.insert(received.report.host.clone(), received);
            return;
        }
        let known = self.sum.as_ref().filter(|sum| sum.age(now) < SUM_TTL);
        if known.is_none_or(|known| received.report.hosts * 5 >= known.report.hosts * 4) {
            self.sum = Some(received);
        }
    }

    /// Removes a peer that is gone for good.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Grants shares anew, from the newest sums; to be called at each gossip interval.
    pub fn rebalance(&mut self, now: Timestamp, rooms: &[ServiceRoom<'_>]) {
        let own = self.report(now, "");
        let fresh: Vec<&ReceivedReport> = self.fresh_peers(now).collect();
        let sum = self.sum.as_ref().filter(|sum| sum.age(now) < SUM_TTL);
        let peer_hosts = fresh.len() as u32 + 1;
        let sum = sum.filter(|sum| sum.report.hosts >= peer_hosts);
        let hosts = sum.map_or(peer_hosts, |sum| sum.report.hosts);
        let is_alone = hosts <= 1 && self.fleet_size > 1;
        let seen_share = (f64::from(hosts) / f64::from(self.fleet_size.max(1))).min(1.0);
        let ages = sum.map_or_else(
            || fresh.iter().map(|peer| peer.age(now)).sum::<Duration>() / peer_hosts,
            |sum| sum.age(now),
        );
        let groups: Vec<GroupSum> = rooms
            .iter()
            .map(|room| {
                let service = name_hash(room.service);
                if let Some(sum) = sum {
                    let mut flows = sum.report.services.iter();
                    let flows = flows.find(|flows| flows.service == service);
                    return GroupSum {
                        found: flows.map(|flows| (f64::from(flows.per_server), flows.is_scarce)),
                        ..sum_reports([&sum.report], service)
                    };
                }
                let reports = fresh.iter().map(|peer| &peer.report).chain([&own]);
                sum_reports(reports, service)
            })
            .collect();
        if !is_alone {
            self.figures_age = ages;
        }
        for (room, group) in rooms.iter().zip(groups) {
            let Some(share) = self.services.get_mut(room.service) else {
                continue;
            };
            if is_alone {
                share.keep_grants(now, room.servers);
            } else {
                let least = room.least_per_server;
                share.rebalance(now, &group, room.servers, least, seen_share);
            }
        }
    }

    /// Returns what organisations ask for, are granted and use, for services whose room is scarce.
    #[must_use]
    pub fn states(&self) -> Vec<ShareState> {
        let scarce = self.services.iter();
        let scarce = scarce.filter(|(_, share)| share.room.scarce_room().is_some());
        let states = scarce.flat_map(|(service, share)| {
            let grants = share.grants.iter();
            grants.map(|(key, grant)| self.state(service, *key, *grant))
        });
        states.collect()
    }

    fn state(&self, service: &str, key: FlowKey, grant: FlowGrant) -> ShareState {
        let organisation = self.organisations.get(&key.organisation);
        ShareState {
            service: service.to_owned(),
            organisation: organisation.map_or("other", |known| &known.name).to_owned(),
            rank: key.rank,
            asked: grant.asked,
            granted: grant.granted,
            used: grant.used,
        }
    }

    fn fresh_peers(&self, now: Timestamp) -> impl Iterator<Item = &ReceivedReport> {
        let peers = self.peers.values();
        peers.filter(move |peer| peer.age(now) < REPORT_TTL)
    }

    /// Returns the share of a service for which the table lets several claimants compete.
    fn shared(&mut self, service: &str) -> Option<&mut ServiceShare> {
        let share = self.services.get_mut(service)?;
        share.is_shared.then_some(share)
    }

    /// Returns what [`ShareLimiter::admit`] would decide, without counting the request.
    ///
    /// Only the state of the request's service is copied.
    ///
    /// # Errors
    ///
    /// Returns a refusal like [`ShareLimiter::admit`].
    pub fn preview(&self, now: Timestamp, request: &ShareRequest<'_>) -> Result<()> {
        let share = self.services.get(request.service);
        let Some(share) = share.filter(|share| share.is_shared) else {
            return Ok(());
        };
        let mut copy = Self {
            services: HashMap::from([(request.service.to_owned(), share.clone())]),
            organisations: HashMap::new(),
            peers: HashMap::new(),
            sum: None,
            fleet_size: self.fleet_size,
            figures_age: self.figures_age,
            rng: self.rng.clone(),
        };
        copy.admit(now, request)
    }
}

/// Sums up the demand for one service.
fn sum_reports<'a>(reports: impl IntoIterator<Item = &'a ShareReport>, service: u64) -> GroupSum {
    let mut group = GroupSum::default();
    let flows = reports.into_iter().flat_map(|report| &report.services);
    for flows in flows.filter(|flows| flows.service == service) {
        group.add(flows);
    }
    group
}
