//! The fleet: events in order of time, and the adapters of the machines.

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

use super::world_handover::request_id;
use super::{Caller, Engine, EngineRun, Fault, Outcome};

pub(super) const HOP: Duration = Duration::from_millis(2);
pub(super) const TOKEN_GAP: Duration = Duration::from_millis(20);
pub(super) const HOST_LIST_LAG: Duration = Duration::from_millis(5);
pub(super) const KV_MOVE: Duration = Duration::from_millis(120);
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
pub(super) const COME_BACK: Duration = Duration::from_millis(40);
pub(super) const REQUEST_SPAN: Duration = Duration::from_mins(1);
pub(super) const PROMPT_TOKENS: u32 = 50;

/// Size and limits of a world.
#[derive(Debug, Clone, Copy)]
pub struct WorldSetup {
    pub hosts: usize,
    pub engines: usize,
    pub callers: usize,
    pub answer_tokens: u32,
    pub seed: u64,
    pub limits: StreamLimits,
    pub budget: BudgetLimits,
}

impl Default for WorldSetup {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: 4,
            callers: 3,
            answer_tokens: 60,
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
pub(super) enum WorldEvent {
    Arrive {
        caller: usize,
    },
    Machine {
        host: usize,
        caller: usize,
        event: StreamEvent,
    },
    RunStep {
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
    EngineGone {
        engine: usize,
        since: Timestamp,
    },
    HostGone {
        host: usize,
    },
}

#[derive(Debug)]
pub(super) struct Slot {
    pub(super) machine: StreamMachine,
    pub(super) session: CallerSession,
    pub(super) connection: Option<u32>,
    /// Connections of sessions whose `CallerResumed` is under way.
    pub(super) opening: BTreeMap<CallerSession, u32>,
}

#[derive(Debug)]
pub(super) struct Host {
    pub(super) is_up: bool,
    pub(super) is_leaving: bool,
    pub(super) paused_until: Timestamp,
    pub(super) lost_replies: u32,
    pub(super) slots: BTreeMap<usize, Slot>,
    pub(super) records: BTreeMap<usize, StreamRecord>,
    pub(super) handover: HandoverMachine,
    pub(super) budget: RetryBudget,
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    pub setup: WorldSetup,
    pub now: Timestamp,
    pub engines: Vec<Engine>,
    pub callers: Vec<Caller>,
    /// Times that an engine started to run each caller's request.
    pub executions: Vec<u32>,
    /// Attempts that were started.
    pub dispatches: u32,
    pub dropped_frames: u32,
    pub moves: u32,
    /// When the last caller got its final answer.
    pub last_answer: Timestamp,
    pub(super) hosts: Vec<Host>,
    pub(super) runs: Vec<EngineRun>,
    queue: BTreeMap<(Timestamp, u64), WorldEvent>,
    last_event: u64,
    pub(super) random: Pcg32,
}

impl World {
    /// Makes a world whose callers arrive 10 ms apart.
    pub fn new(setup: &WorldSetup) -> Self {
        let setup = *setup;
        let host = |seed| Host {
            is_up: true,
            is_leaving: false,
            paused_until: Timestamp::ZERO,
            lost_replies: 0,
            slots: BTreeMap::new(),
            records: BTreeMap::new(),
            handover: HandoverMachine::new(HandoverLimits::default(), Vec::new()),
            budget: RetryBudget::new(setup.budget, seed),
        };
        let mut world = Self {
            setup,
            now: Timestamp::ZERO,
            engines: vec![Engine::default(); setup.engines],
            callers: vec![Caller::default(); setup.callers],
            executions: vec![0; setup.callers],
            dispatches: 0,
            dropped_frames: 0,
            moves: 0,
            last_answer: Timestamp::ZERO,
            hosts: (0..setup.hosts as u64).map(host).collect(),
            runs: Vec::new(),
            queue: BTreeMap::new(),
            last_event: 0,
            random: Pcg32::seed_from_u64(setup.seed),
        };
        for caller in 0..setup.callers {
            let delay = Duration::from_millis(10 * caller as u64);
            world.schedule(delay, WorldEvent::Arrive { caller });
        }
        world
    }

    /// Returns whether any entry host is left.
    pub fn has_entry_host(&self) -> bool {
        self.hosts.iter().any(|host| host.is_up)
    }

    /// Brings a failure about at a time counted from the start.
    pub fn plan_fault(&mut self, at: Duration, fault: Fault) {
        self.schedule(at, WorldEvent::Fault(fault));
    }

    /// Runs until nothing happens any more.
    pub fn run(&mut self) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = self.now.max(at);
            self.step(event);
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: WorldEvent) {
        self.last_event += 1;
        self.queue
            .insert((self.now + delay, self.last_event), event);
    }

    fn step(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrive { caller } => self.arrive(caller),
            WorldEvent::Machine {
                host,
                caller,
                event,
            } => self.drive(host, caller, event),
            WorldEvent::RunStep { run } => self.step_run(run),
            WorldEvent::Record { from, to, record } => self.take_record(from, to, *record),
            WorldEvent::Reply { host, event } => self.drive_handover(host, event),
            WorldEvent::Token {
                caller,
                connection,
                index,
                copy_id,
                text,
            } => {
                if self.callers[caller].connection == connection {
                    self.callers[caller].take_token(index, copy_id, &text);
                }
            }
            WorldEvent::Finish {
                caller,
                connection,
                total,
                recomputed,
            } => {
                self.finish(caller, connection, total, recomputed);
            }
            WorldEvent::Refuse {
                caller,
                connection,
                refusal,
            } => {
                if self.callers[caller].connection == connection {
                    self.last_answer = self.now;
                    let outcome = Outcome::Refused(refusal.reason, refusal.verdict);
                    self.callers[caller].take_outcome(outcome);
                }
            }
            WorldEvent::Reconnect { caller, connection } => self.reconnect(caller, connection),
            WorldEvent::Fault(fault) => self.bring_about(fault),
            WorldEvent::EngineGone { engine, since } => {
                if self.engines[engine].leaving_since == Some(since) {
                    self.kill_engine(engine);
                }
            }
            WorldEvent::HostGone { host } => self.crash_host(host),
        }
    }

    fn finish(&mut self, caller: usize, connection: u32, total: u32, recomputed: u32) {
        let caller = &mut self.callers[caller];
        if caller.connection != connection {
            return;
        }
        if caller.tokens.len() != total as usize || total != self.setup.answer_tokens {
            caller
                .complaints
                .push(format!("end after {} tokens", caller.tokens.len()));
        }
        self.last_answer = self.now;
        caller.recomputed = recomputed;
        caller.take_outcome(Outcome::Whole);
    }

    fn arrive(&mut self, caller: usize) {
        let up = |host: &usize| self.hosts[*host].is_up && !self.hosts[*host].is_leaving;
        let Some(host) = (0..self.hosts.len()).find(up) else {
            let outcome = Outcome::Refused(
                RefusalReason::NotReady,
                teaselglade_core::verdict::ExecutionVerdict::NotRun,
            );
            self.callers[caller].take_outcome(outcome);
            return;
        };
        let request = StreamRequest {
            id: request_id(caller),
            organisation: "corrib".to_owned(),
            service: "draft-fleet".to_owned(),
            prompt: "Assess the ring.".to_owned(),
            max_tokens: self.setup.answer_tokens,
            adapter: None,
            priority: 0,
            deadline: self.now + REQUEST_SPAN,
        };
        let slot = Slot {
            machine: StreamMachine::new(request, self.setup.limits),
            session: CallerSession::default(),
            connection: Some(1),
            opening: BTreeMap::new(),
        };
        self.hosts[host].slots.insert(caller, slot);
        self.drive(host, caller, StreamEvent::Admitted { prefer: None });
    }

    pub(super) fn drive(&mut self, host: usize, caller: usize, event: StreamEvent) {
        let now = self.now;
        let node = &mut self.hosts[host];
        if !node.is_up {
            return;
        }
        if node.paused_until > now {
            let delay = node.paused_until - now;
            self.schedule(
                delay,
                WorldEvent::Machine {
                    host,
                    caller,
                    event,
                },
            );
            return;
        }
        let Some(slot) = node.slots.get_mut(&caller) else {
            return;
        };
        if let StreamEvent::CallerResumed { session, .. } = &event {
            slot.connection = slot.opening.remove(session);
        }
        let before = slot.machine.counters().dropped_frames();
        let actions = slot.machine.on_event(now, event);
        self.dropped_frames += slot.machine.counters().dropped_frames() - before;
        for action in actions {
            self.carry_out(host, caller, action);
        }
    }

    fn carry_out(&mut self, host: usize, caller: usize, action: StreamAction) {
        let slot = self.hosts[host].slots.get(&caller);
        let copy_id = slot.map_or(0, |slot| slot.machine.copy_id());
        let connection = slot.and_then(|slot| slot.connection);
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
                let deadline = self.now + REQUEST_SPAN;
                let decision = self.hosts[host]
                    .budget
                    .request_retry(self.now, deadline, retry);
                self.tell(
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
            // Frames that are under way when an attempt is cancelled still arrive.
            StreamAction::Cancel { attempt, .. } => self.cancel(attempt),
            StreamAction::Deliver { index, text } => {
                if let Some(connection) = connection {
                    let event = WorldEvent::Token {
                        caller,
                        connection,
                        index,
                        copy_id,
                        text,
                    };
                    self.schedule(HOP, event);
                }
            }
            StreamAction::Finish { total, recomputed } => {
                if let Some(connection) = connection {
                    let event = WorldEvent::Finish {
                        caller,
                        connection,
                        total,
                        recomputed,
                    };
                    self.schedule(HOP, event);
                }
            }
            StreamAction::Refuse { refusal } | StreamAction::RejectResume { refusal, .. } => {
                if let Some(connection) = connection {
                    self.schedule(
                        HOP,
                        WorldEvent::Refuse {
                            caller,
                            connection,
                            refusal,
                        },
                    );
                }
            }
            StreamAction::HandOver { record } => self.offer(host, caller, *record),
            StreamAction::CloseCallerConnection => self.cut_caller(caller, connection),
            StreamAction::SetTimer { at } => {
                let event = StreamEvent::TimerFired;
                let delay = at - self.now;
                self.schedule(
                    delay,
                    WorldEvent::Machine {
                        host,
                        caller,
                        event,
                    },
                );
            }
            StreamAction::Discard => {
                self.hosts[host].slots.remove(&caller);
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
            self.moves += 1;
            let handle = "kv".to_owned();
            StreamEvent::KvMoved {
                operation_id,
                handle,
            }
        } else {
            StreamEvent::KvFailed { operation_id }
        };
        self.schedule(
            KV_MOVE,
            WorldEvent::Machine {
                host,
                caller,
                event,
            },
        );
    }

    pub(super) fn tell(&mut self, host: usize, caller: usize, event: StreamEvent) {
        self.schedule(
            HOP,
            WorldEvent::Machine {
                host,
                caller,
                event,
            },
        );
    }
}
