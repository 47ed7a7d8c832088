//! Placement, attempts and frames of a world's engines.

use rand::Rng;
use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent, GenerateCall};
use teaselglade_core::verdict::{RefusalReason, RequestRefusal, SendProgress};
use teaselglade_request::stream::StreamEvent;

use super::engine::{ROOT_HASH, extend_hash};
use super::{EngineRun, Fault};

use super::World;
use super::world::{HEAD_TIMEOUT, HOST_LIST_LAG, PROMPT_TOKENS, TOKEN_GAP, WorldEvent};

impl World {
    pub(super) fn place(
        &mut self,
        host: usize,
        caller: usize,
        operation_id: u32,
        exclude: &[ServerKey],
    ) {
        let is_known_to_leave = |server: &ServerKey| {
            let since = self.engines[server.index()].leaving_since;
            since.is_some_and(|since| self.now - since >= HOST_LIST_LAG)
        };
        let servers = (0..self.engines.len() as u32).map(ServerKey::new);
        let free = servers.filter(|server| !exclude.contains(server) && !is_known_to_leave(server));
        let free = free.collect::<Vec<_>>();
        let event = if free.is_empty() {
            let refusal = RequestRefusal::not_run(RefusalReason::NoServer, "none");
            StreamEvent::NotPlaced {
                operation_id,
                refusal,
            }
        } else {
            let server = free[self.random.random_range(0..free.len())];
            StreamEvent::Placed {
                operation_id,
                server,
            }
        };
        self.tell(host, caller, event);
    }

    pub(super) fn dispatch(
        &mut self,
        host: usize,
        caller: usize,
        server: ServerKey,
        call: &GenerateCall,
    ) {
        self.dispatches += 1;
        let now = self.now;
        let attempt = call.attempt;
        let engine = &mut self.engines[server.index()];
        let fail = |progress| StreamEvent::AttemptFailed {
            attempt,
            error: AttemptError::new(progress, "stand-in"),
        };
        if engine.is_dead {
            self.tell(host, caller, fail(SendProgress::NotSent));
            return;
        }
        if engine.is_frozen {
            let event = fail(SendProgress::MaybeSent);
            self.schedule(
                HEAD_TIMEOUT,
                WorldEvent::Machine {
                    host,
                    caller,
                    event,
                },
            );
            return;
        }
        if let Some(since) = engine.leaving_since {
            engine.late_work.push(now - since);
        }
        self.executions[caller] += 1;
        let hash = call
            .delivered
            .iter()
            .fold(ROOT_HASH, |hash, text| extend_hash(hash, text));
        let next = call.delivered.len() as u32;
        let computed_tokens = if call.kv_handle.is_some() {
            0
        } else {
            PROMPT_TOKENS + next
        };
        let cached_tokens = PROMPT_TOKENS + next - computed_tokens;
        self.runs.push(EngineRun {
            engine: server.index(),
            host,
            caller,
            attempt,
            next,
            hash,
            is_silent: false,
            is_stalled: false,
            is_over: false,
        });
        let run = self.runs.len() - 1;
        self.send_frame(
            run,
            EngineEvent::Started {
                attempt,
                computed_tokens,
                cached_tokens,
            },
        );
        self.schedule(TOKEN_GAP, WorldEvent::RunStep { run });
    }

    pub(super) fn step_run(&mut self, run: usize) {
        let engine = self.runs[run].engine;
        if self.runs[run].is_over || self.engines[engine].is_dead {
            return;
        }
        if self.engines[engine].is_frozen {
            self.runs[run].is_stalled = true;
            return;
        }
        let attempt = self.runs[run].attempt;
        if self.runs[run].next == self.setup.answer_tokens {
            self.runs[run].is_over = true;
            let total = self.setup.answer_tokens;
            self.send_frame(run, EngineEvent::End { attempt, total });
            return;
        }
        let index = self.runs[run].next;
        let text = self.runs[run].sample();
        self.send_frame(
            run,
            EngineEvent::Token {
                attempt,
                index,
                text,
            },
        );
        self.schedule(TOKEN_GAP, WorldEvent::RunStep { run });
    }

    pub(super) fn send_frame(&mut self, run: usize, frame: EngineEvent) {
        let EngineRun {
            engine,
            host,
            caller,
            is_silent,
            ..
        } = self.runs[run];
        if is_silent {
            return;
        }
        let event = StreamEvent::Frame(frame);
        match self.engines[engine].mangle.pop() {
            Some(Fault::Lose { .. }) => return,
            Some(Fault::Delay { .. }) => {
                self.schedule(
                    TOKEN_GAP * 3,
                    WorldEvent::Machine {
                        host,
                        caller,
                        event,
                    },
                );
                return;
            }
            Some(Fault::Duplicate { .. }) => self.tell(host, caller, event.clone()),
            Some(Fault::Misroute { .. }) => {
                let other = (caller + 1) % self.callers.len();
                self.tell(host, other, event.clone());
            }
            _ => {}
        }
        self.tell(host, caller, event);
    }

    /// Ends a run without an end frame, as an export of its cache does.
    pub(super) fn end_run(&mut self, attempt: AttemptId) {
        let mut runs = self.runs.iter_mut();
        let run = runs.find(|run| run.attempt == attempt && !run.is_over);
        let Some(run) = run else {
            return;
        };
        run.is_over = true;
        let (host, caller, is_silent) = (run.host, run.caller, run.is_silent);
        if !is_silent {
            self.tell(host, caller, StreamEvent::AttemptClosed { attempt });
        }
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        let runs = self.runs.iter_mut();
        let cancelled = runs.filter(|run| run.attempt == attempt && !run.is_silent);
        cancelled.for_each(|run| run.is_over = true);
    }
}
