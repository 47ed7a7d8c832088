//! How a world brings failures about.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::port::AttemptError;
use teaselglade_core::verdict::SendProgress;
use teaselglade_request::stream::StreamEvent;

use super::world::{HOST_LIST_LAG, WorldEvent};
use super::{Fault, World};

impl World {
    pub(super) fn bring_about(&mut self, fault: Fault) {
        match fault {
            Fault::Leave { engine, notice_ms } => self.leave_engine(engine, notice_ms),
            Fault::Kill { engine } => self.kill_engine(engine),
            Fault::Back { engine } => {
                // A replacement under the same name would get another key.
                if self.engines[engine].leaving_since.is_none() {
                    self.engines[engine].is_dead = false;
                }
            }
            Fault::Freeze { engine } => self.engines[engine].is_frozen = true,
            Fault::Thaw { engine } => self.thaw_engine(engine),
            Fault::Silence { engine } => {
                let runs = self.runs.iter_mut();
                let open = runs.filter(|run| run.engine == engine);
                open.for_each(|run| run.is_silent = true);
            }
            Fault::Cut { engine } => self.cut_runs(engine),
            Fault::RefuseKv { engine } => self.engines[engine].refuses_kv = true,
            Fault::Duplicate { engine }
            | Fault::Lose { engine }
            | Fault::Delay { engine }
            | Fault::Misroute { engine } => self.engines[engine].mangle.push(fault),
            Fault::HostLeave { host, notice_ms } => self.leave_host(host, notice_ms),
            Fault::HostCrash { host } => self.crash_host(host),
            Fault::HostPause { host, pause_ms } => {
                // A host that is paused is not paused anew: it would lose the order of its events.
                let node = &mut self.hosts[host];
                if node.paused_until <= self.now {
                    node.paused_until = self.now + Duration::from_millis(pause_ms);
                }
            }
            Fault::LoseReplies { host, count } => self.hosts[host].lost_replies = count,
            Fault::DropCaller { caller } => self.drop_caller(caller),
        }
    }

    pub(super) fn kill_engine(&mut self, engine: usize) {
        self.engines[engine].is_dead = true;
        self.fail_runs(engine, |attempt| StreamEvent::AttemptFailed {
            attempt,
            error: AttemptError::new(SendProgress::MaybeSent, "connection reset"),
        });
    }

    pub(super) fn crash_host(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        let slots = std::mem::take(&mut self.hosts[host].slots);
        for (caller, slot) in slots {
            let open = slot.opening.into_values().chain(slot.connection);
            for connection in open.collect::<Vec<_>>() {
                self.cut_caller(caller, Some(connection));
            }
        }
    }

    fn leave_engine(&mut self, engine: usize, notice_ms: u64) {
        if self.engines[engine].is_dead || self.engines[engine].leaving_since.is_some() {
            return;
        }
        let since = self.now;
        self.engines[engine].leaving_since = Some(since);
        let notice = Duration::from_millis(notice_ms);
        self.schedule(notice, WorldEvent::EngineGone { engine, since });
        let server = ServerKey::new(engine as u32);
        let deadline = since + notice;
        for host in 0..self.hosts.len() {
            for caller in 0..self.callers.len() {
                let event = StreamEvent::ServerLeaving { server, deadline };
                self.schedule(
                    HOST_LIST_LAG,
                    WorldEvent::Machine {
                        host,
                        caller,
                        event,
                    },
                );
            }
        }
    }

    fn thaw_engine(&mut self, engine: usize) {
        self.engines[engine].is_frozen = false;
        for run in 0..self.runs.len() {
            if self.runs[run].engine == engine && self.runs[run].is_stalled {
                self.runs[run].is_stalled = false;
                self.schedule(Duration::ZERO, WorldEvent::RunStep { run });
            }
        }
    }

    fn cut_runs(&mut self, engine: usize) {
        self.fail_runs(engine, |attempt| StreamEvent::AttemptClosed { attempt });
    }

    fn fail_runs(
        &mut self,
        engine: usize,
        event: impl Fn(teaselglade_core::id::AttemptId) -> StreamEvent,
    ) {
        let open = self
            .runs
            .iter_mut()
            .filter(|run| run.engine == engine && !run.is_over);
        let open = open.map(|run| {
            run.is_over = true;
            run.clone()
        });
        for run in open.collect::<Vec<_>>() {
            if !run.is_silent {
                self.tell(run.host, run.caller, event(run.attempt));
            }
        }
    }

    fn leave_host(&mut self, host: usize, notice_ms: u64) {
        if self.hosts[host].is_leaving || !self.hosts[host].is_up {
            return;
        }
        self.hosts[host].is_leaving = true;
        let notice = Duration::from_millis(notice_ms);
        let deadline = Some(self.now + notice);
        let callers = self.hosts[host].slots.keys().copied().collect::<Vec<_>>();
        for caller in callers {
            self.drive(host, caller, StreamEvent::HostStopping { deadline });
        }
        self.schedule(notice, WorldEvent::HostGone { host });
    }

    fn drop_caller(&mut self, caller: usize) {
        let connection = self.callers[caller].connection;
        for host in 0..self.hosts.len() {
            let Some(slot) = self.hosts[host].slots.get_mut(&caller) else {
                continue;
            };
            if slot.connection == Some(connection) {
                slot.connection = None;
                let session = slot.session;
                self.tell(host, caller, StreamEvent::CallerDisconnected { session });
            }
        }
        self.cut_caller(caller, Some(connection));
    }
}
