//! Simulated run of one policy with one seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::policy::PlacementEvent;

use super::bench_event::BenchEvent;
use super::entry_host_state::EntryHostState;
use super::event_queue::EventQueue;
use super::request_state::{AttemptState, RequestState};
use super::server_state::ServerState;
use crate::plan::{BenchPlan, FleetPlan, PolicyChoice};
use crate::report::PolicyStats;

const START: Timestamp = Timestamp::from_millis(1_000);
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_secs(3);
/// Time at which one data centre loses its reclaimable hosts, as a fraction of the run.
const ZONE_RECLAIM_FRACTION: f64 = 0.6;
/// Range of the slowdown factor of a host relative to its hardware class.
const SLOWDOWN_RANGE: (f64, f64) = (0.95, 1.1);
/// Maximum time for requests to end after the arrivals stop.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(3);
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Simulated run of one policy with one seed.
#[derive(Debug)]
pub(super) struct BenchRun {
    pub(super) fleet: FleetPlan,
    pub(super) random: Pcg64,
    pub(super) queue: EventQueue,
    pub(super) entry_hosts: Vec<EntryHostState>,
    pub(super) servers: Vec<ServerState>,
    pub(super) requests: Vec<RequestState>,
    pub(super) attempts: Vec<AttemptState>,
    pub(super) end: Timestamp,
    pub(super) has_reclaims: bool,
    pub(super) unfinished_requests: usize,
    pub(super) stats: PolicyStats,
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
        let entry_hosts = 0..fleet.entry_hosts;
        let entry_hosts = entry_hosts.map(|_| EntryHostState::new(policy, fleet.entry_hosts));
        let mut run = Self {
            entry_hosts: entry_hosts.collect(),
            unfinished_requests: requests.len(),
            requests,
            random,
            queue: EventQueue::default(),
            servers: Vec::new(),
            attempts: Vec::new(),
            end: START + plan.duration,
            has_reclaims: plan.reclaims,
            stats: PolicyStats::default(),
            fleet,
        };
        run.schedule(plan.duration);
        run
    }

    pub(super) fn run(mut self) -> PolicyStats {
        let mut now = START;
        while let Some((at, event)) = self.queue.pop() {
            now = at;
            if self.unfinished_requests == 0 || now > self.end + DRAIN_TIMEOUT {
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
            let arrived_at = self.requests[request].arrived_at;
            self.queue.push(arrived_at, BenchEvent::Place { request });
        }
        if self.has_reclaims {
            self.schedule_zone_reclaim(duration);
        }
    }

    fn schedule_zone_reclaim(&mut self, duration: Duration) {
        let zones = self.fleet.zones.iter().enumerate();
        let reclaim_rates = zones.map(|(zone, plan)| (zone, plan.reclaims_per_hour));
        let total_rate = reclaim_rates.clone().map(|(_, rate)| rate).sum::<f64>();
        let mut remaining = self.random.random::<f64>() * total_rate;
        let chosen = reclaim_rates.into_iter().find(|(_, rate)| {
            remaining -= rate;
            remaining < 0.0
        });
        let zone = chosen.map_or(0, |(zone, _)| zone);
        let at = START + duration.mul_f64(ZONE_RECLAIM_FRACTION);
        let servers = self.servers.iter().enumerate();
        let affected =
            servers.filter(|(_, server)| server.plan.reclaimable && server.plan.zone == zone);
        let affected = affected.map(|(index, _)| index).collect::<Vec<_>>();
        for server in affected {
            self.queue.push(at, BenchEvent::ReclaimAnnounced { server });
        }
    }

    pub(super) fn add_server(&mut self, now: Timestamp, plan: crate::plan::ServerPlan) {
        let slowdown = self.random.random_range(SLOWDOWN_RANGE.0..SLOWDOWN_RANGE.1);
        let server = self.servers.len();
        if plan.reclaimable && self.has_reclaims {
            let reclaims_per_hour = self.fleet.zones[plan.zone].reclaims_per_hour;
            let hours = -(1.0 - self.random.random::<f64>()).ln() / reclaims_per_hour;
            let at = now + Duration::from_secs_f64(hours * SECONDS_PER_HOUR);
            self.queue.push(at, BenchEvent::ReclaimAnnounced { server });
        }
        let state = ServerState::new(&self.fleet, plan, slowdown);
        for entry_host in &mut self.entry_hosts {
            entry_host.placer.add(state.attributes());
        }
        self.servers.push(state);
        self.queue
            .push(now + SAMPLE_INTERVAL, BenchEvent::Sample { server });
    }

    fn on_event(&mut self, now: Timestamp, event: BenchEvent) {
        match event {
            BenchEvent::Place { request } => self.admit(now, request),
            BenchEvent::DispatchQueued { entry_host } => {
                self.entry_hosts[entry_host].has_scheduled_dispatch = false;
                self.dispatch_queued(now, entry_host);
            }
            BenchEvent::Submit { attempt_index } => self.submit_attempt(now, attempt_index),
            BenchEvent::Step { server } => self.finish_step(now, server),
            BenchEvent::Sample { server } => self.sample_server(now, server),
            BenchEvent::SampleReceived(sample) => self.receive_sample(now, &sample),
            BenchEvent::ReclaimAnnounced { server } => self.announce_reclaim(now, server),
            BenchEvent::NoticeReceived { server, deadline } => {
                let server = ServerKey::new(server as u32);
                self.notify_all(now, &PlacementEvent::ReclaimNoticed { server, deadline });
            }
            BenchEvent::Stop { server } => self.stop_server(now, server),
            BenchEvent::Replace { server } => self.replace_server(now, server),
        }
    }

    pub(super) fn notify_entry_host(
        &mut self,
        now: Timestamp,
        request: usize,
        event: &PlacementEvent,
    ) {
        let entry_host = request % self.entry_hosts.len();
        self.entry_hosts[entry_host].placer.observe(now, event);
    }

    pub(super) fn notify_all(&mut self, now: Timestamp, event: &PlacementEvent) {
        for entry_host in &mut self.entry_hosts {
            entry_host.placer.observe(now, event);
        }
    }

    fn finish(mut self, now: Timestamp) -> PolicyStats {
        self.stats.unfinished = self.unfinished_requests as u64;
        for server in &self.servers {
            let cents_per_second = server.plan.cents_per_hour / SECONDS_PER_HOUR;
            self.stats.billed_cents +=
                server.meter.billed_time(now).as_secs_f64() * cents_per_second;
            self.stats.busy_cents += server.meter.busy_time(now).as_secs_f64() * cents_per_second;
        }
        let hours = (now - START).as_secs_f64() / SECONDS_PER_HOUR;
        let fleet = self.fleet.servers();
        let cents_per_hour = fleet.iter().map(|plan| plan.cents_per_hour).sum::<f64>();
        self.stats.whole_fleet_cents = cents_per_hour * hours;
        self.stats
    }
}
