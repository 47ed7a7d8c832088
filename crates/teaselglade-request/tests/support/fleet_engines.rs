//! Placement, attempts and frames of the simulated engines.

use rand::Rng;
use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::{AttemptError, EngineEvent, GenerateCall};
use teaselglade_core::verdict::{RefusalReason, RequestRefusal, SendProgress};
use teaselglade_request::stream::StreamEvent;

use super::engine::{EMPTY_HASH, extend_hash};
use super::{EngineRun, Fault};

use super::SimulatedFleet;
use super::fleet::{FleetEvent, HEAD_TIMEOUT, HOST_LIST_DELAY, PROMPT_TOKENS, TOKEN_GAP};

impl SimulatedFleet {
    pub(super) fn place(
        &mut self,
        host: usize,
        caller: usize,
        operation_id: u32,
        exclude: &[ServerKey],
    ) {
        let is_listed_as_leaving = |server: &ServerKey| {
            let since = self.engines[server.index()].leaving_since;
            since.is_some_and(|since| self.now - since >= HOST_LIST_DELAY)
        };
        let servers = (0..self.engines.len() as u32).map(ServerKey::new);
        let candidates =
            servers.filter(|server| !exclude.contains(server) && !is_listed_as_leaving(server));
        let candidates = candidates.collect::<Vec<_>>();
        let event = if candidates.is_empty() {
            let refusal = RequestRefusal::not_run(RefusalReason::NoServer, "none");
            StreamEvent::NotPlaced {
                operation_id,
                refusal,
            }
        } else {
            let server = candidates[self.random.random_range(0..candidates.len())];
            StreamEvent::Placed {
                operation_id,
                server,
            }
        };
        self.send_event(host, caller, event);
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
            error: AttemptError::new(progress, "engine is unavailable"),
        };
        if engine.is_dead {
            self.send_event(host, caller, fail(SendProgress::NotSent));
            return;
        }
        if engine.is_frozen {
            let event = fail(SendProgress::MaybeSent);
            self.schedule(
                HEAD_TIMEOUT,
                FleetEvent::Machine {
                    host,
                    caller,
                    event,
                },
            );
            return;
        }
        if let Some(since) = engine.leaving_since {
            engine.work_after_notice.push(now - since);
        }
        self.executions[caller] += 1;
        let prefix_hash = call
            .delivered
            .iter()
            .fold(EMPTY_HASH, |prefix, text| extend_hash(prefix, text));
        let next_index = call.delivered.len() as u32;
        let computed_tokens = if call.kv_handle.is_some() {
            0
        } else {
            PROMPT_TOKENS + next_index
        };
        let cached_tokens = PROMPT_TOKENS + next_index - computed_tokens;
        self.runs.push(EngineRun {
            engine: server.index(),
            host,
            caller,
            attempt,
            next_index,
            prefix_hash,
            is_silent: false,
            is_stalled: false,
            is_finished: false,
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
        self.schedule(TOKEN_GAP, FleetEvent::AdvanceRun { run });
    }

    pub(super) fn advance_run(&mut self, run: usize) {
        let engine = self.runs[run].engine;
        if self.runs[run].is_finished || self.engines[engine].is_dead {
            return;
        }
        if self.engines[engine].is_frozen {
            self.runs[run].is_stalled = true;
            return;
        }
        let attempt = self.runs[run].attempt;
        if self.runs[run].next_index == self.setup.response_tokens {
            self.runs[run].is_finished = true;
            let total = self.setup.response_tokens;
            self.send_frame(run, EngineEvent::End { attempt, total });
            return;
        }
        let index = self.runs[run].next_index;
        let text = self.runs[run].sample();
        self.send_frame(
            run,
            EngineEvent::Token {
                attempt,
                index,
                text,
            },
        );
        self.schedule(TOKEN_GAP, FleetEvent::AdvanceRun { run });
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
        match self.engines[engine].frame_faults.pop() {
            Some(Fault::Lose { .. }) => return,
            Some(Fault::Delay { .. }) => {
                self.schedule(
                    TOKEN_GAP * 3,
                    FleetEvent::Machine {
                        host,
                        caller,
                        event,
                    },
                );
                return;
            }
            Some(Fault::Duplicate { .. }) => self.send_event(host, caller, event.clone()),
            Some(Fault::Misroute { .. }) => {
                let other = (caller + 1) % self.callers.len();
                self.send_event(host, other, event.clone());
            }
            _ => {}
        }
        self.send_event(host, caller, event);
    }

    /// Ends a run without an end frame, as an export of its KV cache does.
    pub(super) fn end_run(&mut self, attempt: AttemptId) {
        let mut runs = self.runs.iter_mut();
        let run = runs.find(|run| run.attempt == attempt && !run.is_finished);
        let Some(run) = run else {
            return;
        };
        run.is_finished = true;
        let (host, caller, is_silent) = (run.host, run.caller, run.is_silent);
        if !is_silent {
            self.send_event(host, caller, StreamEvent::AttemptClosed { attempt });
        }
    }

    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        let runs = self.runs.iter_mut();
        let cancelled = runs.filter(|run| run.attempt == attempt && !run.is_silent);
        cancelled.for_each(|run| run.is_finished = true);
    }
}
