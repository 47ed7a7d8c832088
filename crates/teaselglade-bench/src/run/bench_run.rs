//! One run of one policy with one seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselglade_core::id::{OrganisationKey, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_placement::admission::{AdmissionGate, GateRequest, GateVerdict};
use teaselglade_placement::policy::{
    PREFIX_BLOCK_TOKENS, Placement, PlacementEvent, PlacementOutlook, PlacementQuery,
};

use super::bench_event::{BenchEvent, ServerFeedback};
use super::entry_state::EntryState;
use super::event_queue::EventQueue;
use super::request_state::{AttemptState, RequestState};
use super::server_state::{SERVICE, ServerState};
use crate::engine::{EngineWork, TokenMark};
use crate::plan::{BenchPlan, FleetPlan, PolicyChoice};
use crate::report::{PolicyTally, RequestOutcome};

const START: Timestamp = Timestamp::from_millis(1_000);
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_LAG_SECONDS: (f64, f64) = (0.3, 1.2);
const LOST_NOTES: f64 = 0.05;
const LEARN_DELAY: Duration = Duration::from_millis(150);
const LOSS_DETECTION: Duration = Duration::from_millis(100);
const NOTICE_SECONDS: (f64, f64) = (5.0, 20.0);
const REPLACE_DELAY: Duration = Duration::from_secs(90);
const REPLACE_REFUSED: f64 = 0.5;
const ZONE_RECLAIM_AT: f64 = 0.6;
const SPEED_SPREAD: (f64, f64) = (0.95, 1.1);
/// Part of the first-token target for which a request may wait at the gate.
const WAIT_SHARE: f64 = 0.25;
const PUMP_INTERVAL: Duration = Duration::from_millis(10);
const DRAIN: Duration = Duration::from_mins(3);
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// One run of one policy with one seed.
#[derive(Debug)]
pub(super) struct BenchRun {
    fleet: FleetPlan,
    random: Pcg64,
    queue: EventQueue,
    entries: Vec<EntryState>,
    servers: Vec<ServerState>,
    requests: Vec<RequestState>,
    attempts: Vec<AttemptState>,
    end: Timestamp,
    has_reclaims: bool,
    open_requests: usize,
    tally: PolicyTally,
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

    fn add_server(&mut self, now: Timestamp, plan: crate::plan::ServerPlan) {
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
                self.tell_all(now, &PlacementEvent::Noticed { server, deadline });
            }
            BenchEvent::Stop { server } => self.stop(now, server),
            BenchEvent::Replace { server } => self.replace(now, server),
        }
    }

    fn arrive(&mut self, now: Timestamp, request: usize) {
        let state = &self.requests[request];
        let entry = request % self.entries.len();
        let is_first = state.attempt.number == 1;
        let Some(gate) = self.entries[entry].gate.as_mut().filter(|_| is_first) else {
            self.place(now, request);
            return;
        };
        let target = self.fleet.first_token_target;
        let offer = GateRequest {
            request: state.attempt.request,
            organisation: OrganisationKey::new(state.plan.organisation),
            weight: 1.0,
            tokens: f64::from(state.plan.max_tokens),
            latest_start: now + target.mul_f64(WAIT_SHARE),
        };
        match gate.offer(now, offer) {
            GateVerdict::Waits => self.pump(now, entry),
            GateVerdict::Refused(_) => self.end_request(request, RequestOutcome::Refused),
        }
    }

    fn pump(&mut self, now: Timestamp, entry: usize) {
        self.expire(now, entry);
        while let Some(head) = self.entries[entry]
            .gate
            .as_ref()
            .and_then(AdmissionGate::head)
        {
            let request = head.request.to_bits() as usize;
            let query = self.query(now, request);
            let placement = self.entries[entry].placement.place(now, &query).ok();
            let is_late = placement
                .as_ref()
                .is_some_and(|placement| placement.outlook == PlacementOutlook::LateByLoad);
            let state = &mut self.entries[entry];
            let Some(gate) = &mut state.gate else {
                return;
            };
            if is_late {
                gate.hold_head(now);
                if !state.has_pump {
                    state.has_pump = true;
                    self.queue
                        .push(now + PUMP_INTERVAL, BenchEvent::Pump { entry });
                }
                return;
            }
            gate.dispatch_head(now);
            self.dispatch(now, request, query, placement);
        }
    }

    fn expire(&mut self, now: Timestamp, entry: usize) {
        let gate = self.entries[entry].gate.as_mut();
        let given_up = gate.map_or_else(Vec::new, |gate| gate.expire(now));
        for refusal in given_up {
            let request = refusal.request.to_bits() as usize;
            self.end_request(request, RequestOutcome::Refused);
        }
    }

    fn query(&self, now: Timestamp, request: usize) -> PlacementQuery {
        let state = &self.requests[request];
        let prompt_tokens = state.prompt_tokens();
        let blocks = (prompt_tokens / PREFIX_BLOCK_TOKENS) as usize;
        let organisation = OrganisationKey::new(state.plan.organisation);
        let left = (self.fleet.first_token_target).saturating_sub(now - state.arrived);
        let answer_tokens = state.plan.max_tokens.saturating_sub(state.delivered);
        PlacementQuery::new(SERVICE, organisation)
            .prompt(prompt_tokens, &state.plan.prefix[..blocks])
            .answer_tokens(answer_tokens.max(1))
            .targets(left, Some(self.fleet.token_gap_target))
            .cost_weight(self.fleet.cost_weight)
    }

    fn place(&mut self, now: Timestamp, request: usize) {
        let entry = request % self.entries.len();
        let query = self.query(now, request);
        let placement = self.entries[entry].placement.place(now, &query).ok();
        self.dispatch(now, request, query, placement);
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        request: usize,
        query: PlacementQuery,
        placement: Option<Placement>,
    ) {
        let Some(placement) = placement else {
            self.end_request(request, RequestOutcome::Refused);
            return;
        };
        let ticket = self.attempts.len();
        let attempt = self.requests[request].attempt;
        self.attempts.push(AttemptState {
            request,
            attempt,
            server: placement.server.index(),
            is_open: true,
        });
        let dispatched = PlacementEvent::Dispatched {
            attempt,
            server: placement.server,
            prefix: query.prefix,
            prompt_tokens: query.prompt_tokens,
        };
        self.tell(now, request, &dispatched);
        self.queue
            .push(now + NETWORK_DELAY, BenchEvent::Submit { ticket });
    }

    fn submit(&mut self, now: Timestamp, ticket: usize) {
        let attempt = self.attempts[ticket];
        let server = &mut self.servers[attempt.server];
        if !server.is_up {
            self.lose(now, ticket, 0);
            return;
        }
        if server.meter.start(now) {
            server.engine.clear_cache();
        }
        let state = &self.requests[attempt.request];
        server.engine.submit(EngineWork {
            ticket,
            prompt_tokens: state.prompt_tokens(),
            answer_tokens: state.plan.answer_tokens - state.delivered,
            prefix: Arc::clone(&state.plan.prefix),
        });
        if !server.is_stepping {
            self.start_step(now, attempt.server);
        }
    }

    fn start_step(&mut self, now: Timestamp, index: usize) {
        let server = &mut self.servers[index];
        let step = server.engine.start_step();
        server.is_stepping = step.is_some();
        match step {
            Some(seconds) => {
                let at = now + Duration::from_secs_f64(seconds);
                self.queue.push(at, BenchEvent::Step { server: index });
            }
            None => server.meter.stop(now),
        }
    }

    fn step(&mut self, now: Timestamp, index: usize) {
        if !self.servers[index].is_up {
            return;
        }
        let result = self.servers[index].engine.end_step();
        for token in result.tokens {
            self.deliver(now, token);
        }
        self.start_step(now, index);
    }

    fn deliver(&mut self, now: Timestamp, token: TokenMark) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[token.ticket];
        let entry = request % self.entries.len();
        let state = &mut self.requests[request];
        if let Some(computed_tokens) = token.computed {
            let cached_tokens = state.prompt_tokens() - computed_tokens;
            self.tally.computed_tokens += u64::from(computed_tokens);
            self.tally.recomputed_tokens += u64::from(computed_tokens.min(state.lost_tokens));
            let started = PlacementEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            };
            let entry = &mut self.entries[entry].placement;
            entry.observe(now, &started);
            entry.observe(now, &PlacementEvent::FirstToken { attempt });
        }
        if state.first.is_none() {
            state.first = Some(now);
            self.tally.add_first_token(now - state.arrived);
        } else {
            let gap = now - state.last;
            state.late_gaps += u32::from(gap > self.fleet.token_gap_target);
            self.tally.add_gap(gap);
        }
        state.last = now;
        state.delivered += 1;
        if token.last {
            self.attempts[token.ticket].is_open = false;
            self.tell(now, request, &PlacementEvent::Ended { attempt });
            let on_target = self.is_on_target(request);
            self.end_request(request, RequestOutcome::Whole { on_target });
        }
    }

    fn is_on_target(&self, request: usize) -> bool {
        let state = &self.requests[request];
        let first = state.first_token();
        let first_on_target = first.is_some_and(|first| first <= self.fleet.first_token_target);
        first_on_target && state.gaps_on_target()
    }

    fn end_request(&mut self, request: usize, outcome: RequestOutcome) {
        let state = &mut self.requests[request];
        state.is_over = true;
        self.open_requests -= 1;
        self.tally.add_outcome(state.plan.at, outcome);
    }

    fn sample(&mut self, now: Timestamp, server: usize) {
        let state = &mut self.servers[server];
        if !state.is_up {
            return;
        }
        let feedback = ServerFeedback {
            server,
            report: state.engine.report(),
            notes: state.engine.take_notes(),
        };
        let lag = self
            .random
            .random_range(REPORT_LAG_SECONDS.0..REPORT_LAG_SECONDS.1);
        let read = now + Duration::from_secs_f64(lag);
        self.queue.push(read, BenchEvent::Feedback(feedback));
        self.queue
            .push(now + SAMPLE_INTERVAL, BenchEvent::Sample { server });
    }

    fn read_feedback(&mut self, now: Timestamp, feedback: &ServerFeedback) {
        if !self.servers[feedback.server].is_up {
            return;
        }
        let server = ServerKey::new(feedback.server as u32);
        let reported = PlacementEvent::Reported {
            server,
            report: feedback.report.clone(),
        };
        self.tell_all(now, &reported);
        for note in &feedback.notes {
            if self.random.random::<f64>() < LOST_NOTES {
                continue;
            }
            let changed = PlacementEvent::CacheChanged {
                server,
                sequence: note.sequence,
                change: note.change,
                prefix: note.prefix,
            };
            self.tell_all(now, &changed);
        }
    }

    fn notice(&mut self, now: Timestamp, server: usize) {
        if !self.servers[server].is_up || now > self.end {
            return;
        }
        let seconds = self.random.random_range(NOTICE_SECONDS.0..NOTICE_SECONDS.1);
        let deadline = now + Duration::from_secs_f64(seconds);
        let learn = BenchEvent::Learn { server, deadline };
        self.queue.push(now + LEARN_DELAY, learn);
        self.queue.push(deadline, BenchEvent::Stop { server });
    }

    fn stop(&mut self, now: Timestamp, index: usize) {
        let server = &mut self.servers[index];
        if !server.is_up {
            return;
        }
        server.is_up = false;
        server.meter.stop(now);
        let cut = server.engine.cut();
        for (ticket, computed) in cut {
            self.lose(now, ticket, computed);
        }
        let gone = PlacementEvent::Gone {
            server: ServerKey::new(index as u32),
        };
        self.tell_all(now, &gone);
        self.queue
            .push(now + REPLACE_DELAY, BenchEvent::Replace { server: index });
    }

    fn lose(&mut self, now: Timestamp, ticket: usize, computed: u32) {
        let AttemptState {
            request, attempt, ..
        } = self.attempts[ticket];
        self.attempts[ticket].is_open = false;
        self.tell(now, request, &PlacementEvent::Ended { attempt });
        let state = &mut self.requests[request];
        state.lost_tokens = computed;
        state.attempt = attempt.next();
        self.tally.lost_attempts += 1;
        self.queue
            .push(now + LOSS_DETECTION, BenchEvent::Place { request });
    }

    fn replace(&mut self, now: Timestamp, server: usize) {
        if self.random.random::<f64>() < REPLACE_REFUSED {
            self.queue
                .push(now + REPLACE_DELAY, BenchEvent::Replace { server });
            return;
        }
        let plan = self.servers[server].plan.clone();
        self.add_server(now, plan);
    }

    fn tell(&mut self, now: Timestamp, request: usize, event: &PlacementEvent) {
        let entry = request % self.entries.len();
        self.entries[entry].placement.observe(now, event);
    }

    fn tell_all(&mut self, now: Timestamp, event: &PlacementEvent) {
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
