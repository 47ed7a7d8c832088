//! Simulated fleet: event queue, callers and adapters of the state machines.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;
use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_request::handover::{HandoverEvent, HandoverLimits, HandoverMachine};
use teaselglade_request::retry::{BudgetLimits, RetryBudget};
use teaselglade_request::stream::{
    CallerSession, StreamAction, StreamEvent, StreamLimits, StreamMachine, StreamRecord,
    StreamRequest,
};

use super::fleet_handover::request_id;
use super::{Caller, Engine, EngineRun, Fault, Outcome};

pub(super) const NETWORK_DELAY: Duration = Duration::from_millis(2);
pub(super) const TOKEN_GAP: Duration = Duration::from_millis(20);
pub(super) const HOST_LIST_DELAY: Duration = Duration::from_millis(5);
pub(super) const KV_MOVE_TIME: Duration = Duration::from_millis(120);
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
pub(super) const RECONNECT_DELAY: Duration = Duration::from_millis(40);
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
pub(super) const PROMPT_TOKENS: u32 = 50;

/// Size and limits of a simulated fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetSetup {
    pub hosts: usize,
    pub engines: usize,
    pub callers: usize,
    pub response_tokens: u32,
    pub seed: u64,
    pub limits: StreamLimits,
    pub budget: BudgetLimits,
}

impl Default for FleetSetup {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 4,
            callers: 3,
            response_tokens: 60,
            seed: 20_261_203,
            limits: StreamLimits::default(),
            budget: BudgetLimits {
                reserve: 1_000.0,
                ..BudgetLimits::default()
            },
        }
    }
}

#[derive(Debug, Clone)]
pub(super) enum FleetEvent {
    StartRequest {
        caller: usize,
    },
    Machine {
        host: usize,
        caller: usize,
        event: StreamEvent,
    },
    AdvanceRun {
        run: usize,
    },
    Record {
        from: usize,
        to: usize,
        record: Box<StreamRecord>,
    },
    Reply {
        host: usize,
        event: HandoverEvent,
    },
    Token {
        caller: usize,
        connection: u32,
        index: u32,
        copy_id: u16,
        text: String,
    },
    Finish {
        caller: usize,
        connection: u32,
        total: u32,
        recomputed: u32,
    },
    Refuse {
        caller: usize,
        connection: u32,
        refusal: RequestRefusal,
    },
    Reconnect {
        caller: usize,
        connection: u32,
    },
    Fault(Fault),
    EngineStopped {
        engine: usize,
        since: Timestamp,
    },
    HostStopped {
        host: usize,
    },
}

#[derive(Debug)]
pub(super) struct HostedStream {
    pub(super) machine: StreamMachine,
    pub(super) session: CallerSession,
    pub(super) connection: Option<u32>,
    /// Connections of sessions whose `CallerResumed` is not applied yet.
    pub(super) pending_connections: BTreeMap<CallerSession, u32>,
}

#[derive(Debug)]
pub(super) struct Host {
    pub(super) is_up: bool,
    pub(super) is_leaving: bool,
    pub(super) paused_until: Timestamp,
    pub(super) lost_replies: u32,
    pub(super) streams: BTreeMap<usize, HostedStream>,
    pub(super) records: BTreeMap<usize, StreamRecord>,
    pub(super) handover: HandoverMachine,
    pub(super) budget: RetryBudget,
}

/// Simulates entry hosts, engines and callers on virtual time.
#[derive(Debug)]
pub struct SimulatedFleet {
    pub setup: FleetSetup,
    pub now: Timestamp,
    pub engines: Vec<Engine>,
    pub callers: Vec<Caller>,
    /// Number of engine runs of each caller's request.
    pub executions: Vec<u32>,
    /// Number of attempts that were started.
    pub dispatches: u32,
    pub dropped_frames: u32,
    pub moved_caches: u32,
    /// When the latest final response arrived.
    pub last_response_at: Timestamp,
    pub(super) hosts: Vec<Host>,
    pub(super) runs: Vec<EngineRun>,
    queue: BTreeMap<(Timestamp, u64), FleetEvent>,
    last_event: u64,
    pub(super) random: Pcg32,
}

impl SimulatedFleet {
    /// Creates a fleet whose callers send their requests 10 ms apart.
    pub fn new(setup: &FleetSetup) -> Self {
        let setup = *setup;
        let host = |seed| Host {
            is_up: true,
            is_leaving: false,
            paused_until: Timestamp::ZERO,
            lost_replies: 0,
            streams: BTreeMap::new(),
            records: BTreeMap::new(),
            handover: HandoverMachine::new(HandoverLimits::default(), Vec::new()),
            budget: RetryBudget::new(setup.budget, seed),
        };
        let mut fleet = Self {
            setup,
            now: Timestamp::ZERO,
            engines: vec![Engine::default(); setup.engines],
            callers: vec![Caller::default(); setup.callers],
            executions: vec![0; setup.callers],
            dispatches: 0,
            dropped_frames: 0,
            moved_caches: 0,
            last_response_at: Timestamp::ZERO,
            hosts: (0..setup.hosts as u64).map(host).collect(),
            runs: Vec::new(),
            queue: BTreeMap::new(),
            last_event: 0,
            random: Pcg32::seed_from_u64(setup.seed),
        };
        for caller in 0..setup.callers {
            let delay = Duration::from_millis(10 * caller as u64);
            fleet.schedule(delay, FleetEvent::StartRequest { caller });
        }
        fleet
    }

    /// Returns whether any entry host is left.
    pub fn has_entry_host(&self) -> bool {
        self.hosts.iter().any(|host| host.is_up)
    }

    /// Schedules a fault at a time since the start.
    pub fn schedule_fault(&mut self, at: Duration, fault: Fault) {
        self.schedule(at, FleetEvent::Fault(fault));
    }

    /// Runs until no events are left.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.last_event += 1;
        self.queue
            .insert((self.now + delay, self.last_event), event);
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::StartRequest { caller } => self.start_request(caller),
            FleetEvent::Machine {
                host,
                caller,
                event,
            } => self.apply_event(host, caller, event),
            FleetEvent::AdvanceRun { run } => self.advance_run(run),
            FleetEvent::Record { from, to, record } => self.receive_record(from, to, *record),
            FleetEvent::Reply { host, event } => self.apply_handover_event(host, event),
            FleetEvent::Token {
                caller,
                connection,
                index,
                copy_id,
                text,
            } => {
                if self.callers[caller].connection == connection {
                    self.callers[caller].receive_token(index, copy_id, &text);
                }
            }
            FleetEvent::Finish {
                caller,
                connection,
                total,
                recomputed,
            } => {
                self.finish(caller, connection, total, recomputed);
            }
            FleetEvent::Refuse {
                caller,
                connection,
                refusal,
            } => {
                if self.callers[caller].connection == connection {
                    self.last_response_at = self.now;
                    let outcome = Outcome::Refused(refusal.reason, refusal.verdict);
                    self.callers[caller].record_outcome(outcome);
                }
            }
            FleetEvent::Reconnect { caller, connection } => self.reconnect(caller, connection),
            FleetEvent::Fault(fault) => self.inject_fault(fault),
            FleetEvent::EngineStopped { engine, since } => {
                if self.engines[engine].leaving_since == Some(since) {
                    self.kill_engine(engine);
                }
            }
            FleetEvent::HostStopped { host } => self.crash_host(host),
        }
    }

    fn finish(&mut self, caller: usize, connection: u32, total: u32, recomputed: u32) {
        let caller = &mut self.callers[caller];
        if caller.connection != connection {
            return;
        }
        if caller.tokens.len() != total as usize || total != self.setup.response_tokens {
            caller
                .violations
                .push(format!("end after {} tokens", caller.tokens.len()));
        }
        self.last_response_at = self.now;
        caller.recomputed = recomputed;
        caller.record_outcome(Outcome::Complete);
    }

    fn start_request(&mut self, caller: usize) {
        let is_available = |host: &usize| self.hosts[*host].is_up && !self.hosts[*host].is_leaving;
        let Some(host) = (0..self.hosts.len()).find(is_available) else {
            let outcome = Outcome::Refused(
                RefusalReason::NotReady,
                teaselglade_core::verdict::ExecutionVerdict::NotRun,
            );
            self.callers[caller].record_outcome(outcome);
            return;
        };
        let request = StreamRequest {
            id: request_id(caller),
            organisation: "corrib".to_owned(),
            service: "draft-fleet".to_owned(),
            prompt: "Summarize the report.".to_owned(),
            max_tokens: self.setup.response_tokens,
            adapter: None,
            priority: 0,
            deadline: self.now + REQUEST_TIMEOUT,
        };
        let stream = HostedStream {
            machine: StreamMachine::new(request, self.setup.limits),
            session: CallerSession::default(),
            connection: Some(1),
            pending_connections: BTreeMap::new(),
        };
        self.hosts[host].streams.insert(caller, stream);
        self.apply_event(host, caller, StreamEvent::Admitted { prefer: None });
    }

    pub(super) fn apply_event(&mut self, host: usize, caller: usize, event: StreamEvent) {
        let now = self.now;
        let entry_host = &mut self.hosts[host];
        if !entry_host.is_up {
            return;
        }
        if entry_host.paused_until > now {
            let delay = entry_host.paused_until - now;
            self.schedule(
                delay,
                FleetEvent::Machine {
                    host,
                    caller,
                    event,
                },
            );
            return;
        }
        let Some(stream) = entry_host.streams.get_mut(&caller) else {
            return;
        };
        if let StreamEvent::CallerResumed { session, .. } = &event {
            stream.connection = stream.pending_connections.remove(session);
        }
        let before = stream.machine.counters().dropped_frames();
        let actions = stream.machine.on_event(now, event);
        self.dropped_frames += stream.machine.counters().dropped_frames() - before;
        for action in actions {
            self.perform(host, caller, action);
        }
    }

    fn perform(&mut self, host: usize, caller: usize, action: StreamAction) {
        let stream = self.hosts[host].streams.get(&caller);
        let copy_id = stream.map_or(0, |stream| stream.machine.copy_id());
        let connection = stream.and_then(|stream| stream.connection);
        match action {
            StreamAction::Place {
                operation_id,
                exclude,
                ..
            } => {
                self.place(host, caller, operation_id, &exclude);
            }
            StreamAction::RequestRetry {
                operation_id,
                retry,
                ..
            } => {
                let deadline = self.now + REQUEST_TIMEOUT;
                let decision = self.hosts[host]
                    .budget
                    .request_retry(self.now, deadline, retry);
                self.send_event(
                    host,
                    caller,
                    StreamEvent::RetryDecided {
                        operation_id,
                        decision,
                    },
                );
            }
            StreamAction::Dispatch { server, call, .. } => {
                self.dispatch(host, caller, server, &call);
            }
            StreamAction::MoveKv {
                operation_id,
                attempt,
                from,
                to,
            } => {
                self.move_kv(host, caller, operation_id, attempt, [from, to]);
            }
            // Frames that are in flight when an attempt is cancelled still arrive.
            StreamAction::Cancel { attempt, .. } => self.cancel(attempt),
            StreamAction::Deliver { index, text } => {
                if let Some(connection) = connection {
                    let event = FleetEvent::Token {
                        caller,
                        connection,
                        index,
                        copy_id,
                        text,
                    };
                    self.schedule(NETWORK_DELAY, event);
                }
            }
            StreamAction::Finish { total, recomputed } => {
                if let Some(connection) = connection {
                    let event = FleetEvent::Finish {
                        caller,
                        connection,
                        total,
                        recomputed,
                    };
                    self.schedule(NETWORK_DELAY, event);
                }
            }
            StreamAction::Refuse { refusal } | StreamAction::RejectResume { refusal, .. } => {
                if let Some(connection) = connection {
                    self.schedule(
                        NETWORK_DELAY,
                        FleetEvent::Refuse {
                            caller,
                            connection,
                            refusal,
                        },
                    );
                }
            }
            StreamAction::HandOver { record } => self.offer(host, caller, *record),
            StreamAction::CloseCallerConnection => self.close_connection(caller, connection),
            StreamAction::SetTimer { at } => {
                let event = StreamEvent::TimerFired;
                let delay = at - self.now;
                self.schedule(
                    delay,
                    FleetEvent::Machine {
                        host,
                        caller,
                        event,
                    },
                );
            }
            StreamAction::Discard => {
                self.hosts[host].streams.remove(&caller);
            }
        }
    }

    fn move_kv(
        &mut self,
        host: usize,
        caller: usize,
        operation_id: u32,
        attempt: AttemptId,
        [from, to]: [ServerKey; 2],
    ) {
        let can_move = |server: ServerKey| {
            let engine = &self.engines[server.index()];
            !engine.is_dead && !engine.is_frozen && !engine.refuses_kv
        };
        let is_moved = can_move(from) && can_move(to);
        if can_move(from) {
            self.end_run(attempt);
        }
        let event = if is_moved {
            self.moved_caches += 1;
            let handle = "kv".to_owned();
            StreamEvent::KvMoved {
                operation_id,
                handle,
            }
        } else {
            StreamEvent::KvFailed { operation_id }
        };
        self.schedule(
            KV_MOVE_TIME,
            FleetEvent::Machine {
                host,
                caller,
                event,
            },
        );
    }

    pub(super) fn send_event(&mut self, host: usize, caller: usize, event: StreamEvent) {
        self.schedule(
            NETWORK_DELAY,
            FleetEvent::Machine {
                host,
                caller,
                event,
            },
        );
    }
}
