//! One run of one policy with one seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::BenchEvent;
use super::entry_state::EntryState;
use super::event_queue::EventQueue;
use super::request_state::{AttemptState, RequestState};
use super::server_state::ServerState;
use crate::plan::{BenchPlan, FleetPlan, PolicyChoice};
use crate::report::PolicyTally;

const START: Timestamp = Timestamp::from_millis(1_000);
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(3);
const ZONE_RECLAIM_AT: f64 = 0.6;
const SPEED_SPREAD: (f64, f64) = (0.95, 1.1);
const DRAIN: Duration = Duration::from_mins(3);
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// One run of one policy with one seed.
#[derive(Debug)]
pub(super) struct BenchRun {
    pub(super) fleet: FleetPlan,
    pub(super) random: Pcg64,
    pub(super) queue: EventQueue,
    pub(super) entries: Vec<EntryState>,
    pub(super) servers: Vec<ServerState>,
    pub(super) requests: Vec<RequestState>,
    pub(super) attempts: Vec<AttemptState>,
    pub(super) end: Timestamp,
    pub(super) has_reclaims: bool,
    pub(super) open_requests: usize,
    pub(super) tally: PolicyTally,
}

impl BenchRun {
    pub(super) fn new(plan: &BenchPlan, policy: PolicyChoice, seed: u64) -> Self {
        let fleet = plan.fleet_plan();
        let mut random = Pcg64::seed_from_u64(seed);
        let traffic = fleet
            .traffic
            .requests(plan.duration, plan.load, &mut random);
        let requests = traffic.into_iter().enumerate();
        let requests = requests
            .map(|(index, plan)| RequestState::new(index, plan, START))
            .collect::<Vec<_>>();
        let entries = 0..fleet.entry_hosts;
        let entries = entries.map(|_| EntryState::new(policy, fleet.entry_hosts));
        let mut run = Self {
            entries: entries.collect(),
            open_requests: requests.len(),
            requests,
            random,
            queue: EventQueue::default(),
            servers: Vec::new(),
            attempts: Vec::new(),
            end: START + plan.duration,
            has_reclaims: plan.reclaims,
            tally: PolicyTally::default(),
            fleet,
        };
        run.schedule(plan.duration);
        run
    }

    pub(super) fn run(mut self) -> PolicyTally {
        let mut now = START;
        while let Some((at, event)) = self.queue.pop() {
            now = at;
            if self.open_requests == 0 || now > self.end + DRAIN {
                break;
            }
            self.on_event(now, event);
        }
        self.finish(now)
    }

    fn schedule(&mut self, duration: Duration) {
        for plan in self.fleet.servers() {
            self.add_server(START, plan);
        }
        for request in 0..self.requests.len() {
            let arrived = self.requests[request].arrived;
            self.queue.push(arrived, BenchEvent::Place { request });
        }
        if self.has_reclaims {
            self.schedule_zone_reclaim(duration);
        }
    }

    fn schedule_zone_reclaim(&mut self, duration: Duration) {
        let zones = self.fleet.zones.iter().enumerate();
        let risks = zones.map(|(zone, plan)| (zone, plan.reclaims_per_hour));
        let total = risks.clone().map(|(_, risk)| risk).sum::<f64>();
        let mut rest = self.random.random::<f64>() * total;
        let hit = risks.into_iter().find(|(_, risk)| {
            rest -= risk;
            rest < 0.0
        });
        let zone = hit.map_or(0, |(zone, _)| zone);
        let at = START + duration.mul_f64(ZONE_RECLAIM_AT);
        let servers = self.servers.iter().enumerate();
        let hit = servers.filter(|(_, server)| server.plan.reclaimable && server.plan.zone == zone);
        let hit = hit.map(|(index, _)| index).collect::<Vec<_>>();
        for server in hit {
            self.queue.push(at, BenchEvent::Notice { server });
        }
    }

    pub(super) fn add_server(&mut self, now: Timestamp, plan: crate::plan::ServerPlan) {
        let slowness = self.random.random_range(SPEED_SPREAD.0..SPEED_SPREAD.1);
        let server = self.servers.len();
        if plan.reclaimable && self.has_reclaims {
            let hourly = self.fleet.zones[plan.zone].reclaims_per_hour;
            let hours = -(1.0 - self.random.random::<f64>()).ln() / hourly;
            let at = now + Duration::from_secs_f64(hours * SECONDS_PER_HOUR);
            self.queue.push(at, BenchEvent::Notice { server });
        }
        let state = ServerState::new(&self.fleet, plan, slowness);
        for entry in &mut self.entries {
            entry.placement.add(state.facts());
        }
        self.servers.push(state);
        self.queue
            .push(now + SAMPLE_INTERVAL, BenchEvent::Sample { server });
    }

    fn on_event(&mut self, now: Timestamp, event: BenchEvent) {
        match event {
            BenchEvent::Place { request } => self.arrive(now, request),
            BenchEvent::Pump { entry } => {
                self.entries[entry].has_pump = false;
                self.pump(now, entry);
            }
            BenchEvent::Submit { ticket } => self.submit(now, ticket),
            BenchEvent::Step { server } => self.step(now, server),
            BenchEvent::Sample { server } => self.sample(now, server),
            BenchEvent::Feedback(feedback) => self.read_feedback(now, &feedback),
            BenchEvent::Notice { server } => self.notice(now, server),
            BenchEvent::Learn { server, deadline } => {
                let server = ServerKey::new(server as u32);
                self.tell_all(now, &PlacementEvent::ReclaimNoticed { server, deadline });
            }
            BenchEvent::Stop { server } => self.stop(now, server),
            BenchEvent::Replace { server } => self.replace(now, server),
        }
    }

    pub(super) fn tell(&mut self, now: Timestamp, request: usize, event: &PlacementEvent) {
        let entry = request % self.entries.len();
        self.entries[entry].placement.observe(now, event);
    }

    pub(super) fn tell_all(&mut self, now: Timestamp, event: &PlacementEvent) {
        for entry in &mut self.entries {
            entry.placement.observe(now, event);
        }
    }

    fn finish(mut self, now: Timestamp) -> PolicyTally {
        self.tally.unfinished = self.open_requests as u64;
        for server in &self.servers {
            let cents_per_second = server.plan.cents_per_hour / SECONDS_PER_HOUR;
            self.tally.held_cents += server.meter.held(now).as_secs_f64() * cents_per_second;
            self.tally.busy_cents += server.meter.busy(now).as_secs_f64() * cents_per_second;
        }
        let hours = (now - START).as_secs_f64() / SECONDS_PER_HOUR;
        let fleet = self.fleet.servers();
        let hourly = fleet.iter().map(|plan| plan.cents_per_hour).sum::<f64>();
        self.tally.whole_fleet_cents = hourly * hours;
        self.tally
    }
}
