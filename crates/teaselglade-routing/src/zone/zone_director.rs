//! Decides for each request of a host whether it leaves the host's zone.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::{
    CrossingLedger, OutflowDraw, ServiceLoad, ZoneOutflow, ZonePlanner, ZonePrices, ZoneReport,
    ZoneTerms,
};

/// Age from which a received plan is no longer followed.
const PLAN_TTL: Duration = Duration::from_secs(2);
/// Time for which an aggregator keeps sending an empty plan, as messages get lost.
const EMPTY_REPORT_TIME: Duration = Duration::from_secs(3);
/// Silence after which a zone that was heard before counts as cut off.
const ZONE_SILENCE: Duration = Duration::from_millis(1_500);
/// Weight of one request in the moving averages of size and work.
const REQUEST_WEIGHT: f64 = 0.02;

/// Request for which a zone is chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Work of the request, in units of the service's demand.
    pub work: f64,
    /// Bytes of the request and of its expected answer.
    pub bytes: f64,
    /// Time within which the answer, or its first event, is on time.
    pub target: Duration,
    /// Prompt part that the request shares with others, if any.
    pub shared_part: Option<u64>,
    /// Share of the work that is saved in the own zone more than in others, from caches.
    pub saved_at_home: f64,
}

/// Zone that was chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneChoice {
    /// Cost of a server outside the wanted zone; zero disregards zones.
    pub crossing: Duration,
    /// Zone in which the request shall run instead of its own, if any.
    pub leaves_to: Option<String>,
}

impl ZoneChoice {
    /// Returns the choice as terms for a placer.
    #[must_use]
    pub fn terms(&self) -> ZoneTerms<'_> {
        ZoneTerms {
            crossing: self.crossing,
            leaves_to: self.leaves_to.as_deref(),
        }
    }
}

/// Moving averages over the requests of a service.
#[derive(Debug, Clone, Copy, Default)]
struct RequestProfile {
    work: f64,
    bytes: f64,
}

/// Decides for each request of a host whether it leaves the host's zone.
///
/// Where the host knows the demand of all zones, it plans the outflows itself. In a large fleet
/// aggregators plan, and the host follows the last plan that it received. Without a recent plan
/// requests are kept, and leave only where the placer predicts that it pays.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::zone::{ZoneDirector, ZonePrices, ZoneRequest};
///
/// let prices = ZonePrices { trip: Duration::from_millis(2), byte_cost_ms_per_kb: 0.0 };
/// let mut director = ZoneDirector::new("galway", prices);
/// let request = ZoneRequest {
///     service: "draft-fleet",
///     work: 900.0,
///     bytes: 4_000.0,
///     target: Duration::from_millis(500),
///     shared_part: None,
///     saved_at_home: 0.0,
/// };
/// let choice = director.choose(Timestamp::ZERO, &request);
/// assert_eq!(choice.leaves_to, None);
/// assert_eq!(choice.crossing, Duration::from_millis(2));
/// ```
#[derive(Debug)]
pub struct ZoneDirector {
    home: String,
    prices: ZonePrices,
    planner: ZonePlanner,
    /// Plan of an aggregator, with the time at which it was received.
    received: Option<(Timestamp, ZoneReport)>,
    /// Time at which the own plan last had outflows.
    planned_at: Option<Timestamp>,
    draws: HashMap<String, OutflowDraw>,
    profiles: HashMap<String, RequestProfile>,
    crossings: CrossingLedger,
    heard_zones: HashMap<String, Timestamp>,
}

impl ZoneDirector {
    /// Creates the director of a host in zone `home`; default prices switch it off.
    #[must_use]
    pub fn new(home: &str, prices: ZonePrices) -> Self {
        Self {
            home: home.to_owned(),
            prices,
            planner: ZonePlanner::default(),
            received: None,
            planned_at: None,
            draws: HashMap::new(),
            profiles: HashMap::new(),
            crossings: CrossingLedger::default(),
            heard_zones: HashMap::new(),
        }
    }

    /// Returns whether zones differ for callers or operators.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.prices.is_active()
    }

    /// Returns the zone of the host.
    #[must_use]
    pub fn home(&self) -> &str {
        &self.home
    }

    /// Chooses the zone of a request, and counts it towards the planned share.
    pub fn choose(&mut self, now: Timestamp, request: &ZoneRequest<'_>) -> ZoneChoice {
        if !self.is_active() {
            return ZoneChoice::default();
        }
        let profiles = &mut self.profiles;
        let profile = profiles
            .entry(request.service.to_owned())
            .or_insert(RequestProfile {
                work: request.work,
                bytes: request.bytes,
            });
        profile.work += (request.work - profile.work) * REQUEST_WEIGHT;
        profile.bytes += (request.bytes - profile.bytes) * REQUEST_WEIGHT;
        let mean_bytes = profile.bytes;
        let mut draws = std::mem::take(&mut self.draws);
        let draw = draws.entry(request.service.to_owned()).or_default();
        let choice = self.choose_with(now, request, mean_bytes, draw);
        self.draws = draws;
        choice
    }

    /// Returns what [`ZoneDirector::choose`] would return, without counting the request.
    #[must_use]
    pub fn preview(&self, now: Timestamp, request: &ZoneRequest<'_>) -> ZoneChoice {
        if !self.is_active() {
            return ZoneChoice::default();
        }
        let profile = self.profiles.get(request.service);
        let mean_bytes = profile.map_or(request.bytes, |profile| profile.bytes);
        let mut draw = self.draws.get(request.service).cloned().unwrap_or_default();
        self.choose_with(now, request, mean_bytes, &mut draw)
    }

    fn choose_with(
        &self,
        now: Timestamp,
        request: &ZoneRequest<'_>,
        mean_bytes: f64,
        draw: &mut OutflowDraw,
    ) -> ZoneChoice {
        let crossing = self.prices.crossing(request.bytes);
        let leaves_to = self.outflow(now, request.service).and_then(|outflow| {
            let size = request.bytes / (request.bytes + mean_bytes).max(1.0);
            let trip_share =
                self.prices.trip.as_secs_f64() / request.target.as_secs_f64().max(0.001);
            let reluctance = f64::midpoint(size, trip_share.min(1.0)) + request.saved_at_home;
            draw.draw(outflow, request.work, reluctance)
        });
        // Once a stream is drawn, servers at home have the charge, which the part must not add to.
        let charged_part = request.shared_part.filter(|_| leaves_to.is_none());
        let paid = charged_part.map_or(Duration::ZERO, |part| self.crossings.paid(part));
        ZoneChoice {
            // The charge never exceeds the target, beyond which an answer is late anyway.
            crossing: (crossing + paid).min(request.target.max(crossing)),
            leaves_to: leaves_to.map(str::to_owned),
        }
    }

    /// Records in which zone a request was placed.
    pub fn record_placement(&mut self, now: Timestamp, request: &ZoneRequest<'_>, zone: &str) {
        let Some(part) = request.shared_part.filter(|_| self.is_active()) else {
            return;
        };
        if zone == self.home {
            self.crossings.record_home(part);
        } else {
            let cost = self.prices.crossing(request.bytes);
            self.crossings.record_crossing(now, part, cost);
        }
    }

    /// Returns the outflow of the own zone for a service, from a recent plan.
    #[must_use]
    pub fn outflow(&self, now: Timestamp, service: &str) -> Option<&ZoneOutflow> {
        let is_own =
            |outflow: &&ZoneOutflow| outflow.service == service && outflow.from == self.home;
        let received = self.received.as_ref();
        let received = received.filter(|(at, _)| now.since(*at) < PLAN_TTL);
        match received {
            Some((_, report)) => report.outflows.iter().find(is_own),
            None => self.planner.outflows(now).find(is_own),
        }
    }

    /// Returns the age of the plan that this host follows, if it follows one of an aggregator.
    #[must_use]
    pub fn plan_age(&self, now: Timestamp) -> Option<Duration> {
        let age = self.received.as_ref().map(|(at, _)| now.since(*at));
        age.filter(|age| *age < PLAN_TTL)
    }

    /// Records that a host of a zone was heard.
    pub fn record_zone(&mut self, now: Timestamp, zone: &str) {
        if !self.is_active() {
            return;
        }
        match self.heard_zones.get_mut(zone) {
            Some(heard_at) => *heard_at = now,
            None => {
                self.heard_zones.insert(zone.to_owned(), now);
            }
        }
    }

    /// Returns whether a zone seems cut off: its hosts were heard before, and are silent now.
    #[must_use]
    pub fn is_cut_off(&self, now: Timestamp, zone: &str) -> bool {
        let heard_at = self.heard_zones.get(zone);
        zone != self.home && heard_at.is_some_and(|at| now.since(*at) > ZONE_SILENCE)
    }

    /// Returns the work of a typical request of a service, in units of its demand.
    #[must_use]
    pub fn typical_work(&self, service: &str) -> f64 {
        self.profiles
            .get(service)
            .map_or(0.0, |profile| profile.work)
    }

    /// Returns the cost of serving a typical request of a service in another zone.
    #[must_use]
    pub fn typical_crossing(&self, service: &str) -> Duration {
        let bytes = self
            .profiles
            .get(service)
            .map_or(0.0, |profile| profile.bytes);
        self.prices.crossing(bytes)
    }

    /// Updates the own plan of a service.
    pub fn plan(&mut self, now: Timestamp, service: &str, load: &ServiceLoad) {
        self.planner.update(now, service, load);
        if self.planner.outflows(now).next().is_some() {
            self.planned_at = Some(now);
        }
    }

    /// Discards what is too old.
    pub fn prune(&mut self, now: Timestamp) {
        self.crossings.prune(now);
        let received = self.received.take();
        self.received = received.filter(|(at, _)| now.since(*at) < PLAN_TTL);
    }

    /// Returns the own plan for the hosts that an aggregator serves; `None` if there is no news.
    #[must_use]
    pub fn report(&self, now: Timestamp) -> Option<ZoneReport> {
        let planned_at = self.planned_at?;
        (now.since(planned_at) < EMPTY_REPORT_TIME).then(|| ZoneReport {
            outflows: self.planner.outflows(now).cloned().collect(),
        })
    }

    /// Follows the plan of an aggregator.
    pub fn apply_report(&mut self, now: Timestamp, report: ZoneReport) {
        self.received = Some((now, report));
    }
}
