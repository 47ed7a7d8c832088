//! Fault injection into the simulated fleet.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::port::AttemptError;
use teaselglade_core::verdict::SendProgress;
use teaselglade_request::stream::StreamEvent;

use super::fleet::{FleetEvent, HOST_LIST_DELAY};
use super::{Fault, SimulatedFleet};

impl SimulatedFleet {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Leave { engine, notice_ms } => self.announce_engine_departure(engine, notice_ms),
            Fault::Kill { engine } => self.kill_engine(engine),
            Fault::Replace { engine } => {
                // A replacement after a departure notice would have another key.
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
            Fault::Cut { engine } => self.close_runs(engine),
            Fault::RefuseKv { engine } => self.engines[engine].refuses_kv = true,
            Fault::Duplicate { engine }
            | Fault::Lose { engine }
            | Fault::Delay { engine }
            | Fault::Misroute { engine } => self.engines[engine].frame_faults.push(fault),
            Fault::HostLeave { host, notice_ms } => self.announce_host_departure(host, notice_ms),
            Fault::HostCrash { host } => self.crash_host(host),
            Fault::HostPause { host, pause_ms } => {
                // A second pause would reorder the events that the first one delays.
                let entry_host = &mut self.hosts[host];
                if entry_host.paused_until <= self.now {
                    entry_host.paused_until = self.now + Duration::from_millis(pause_ms);
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
        let streams = std::mem::take(&mut self.hosts[host].streams);
        for (caller, stream) in streams {
            let open = stream
                .pending_connections
                .into_values()
                .chain(stream.connection);
            for connection in open.collect::<Vec<_>>() {
                self.close_connection(caller, Some(connection));
            }
        }
    }

    fn announce_engine_departure(&mut self, engine: usize, notice_ms: u64) {
        if self.engines[engine].is_dead || self.engines[engine].leaving_since.is_some() {
            return;
        }
        let since = self.now;
        self.engines[engine].leaving_since = Some(since);
        let notice = Duration::from_millis(notice_ms);
        self.schedule(notice, FleetEvent::EngineStopped { engine, since });
        let server = ServerKey::new(engine as u32);
        let deadline = since + notice;
        for host in 0..self.hosts.len() {
            for caller in 0..self.callers.len() {
                let event = StreamEvent::ServerLeaving { server, deadline };
                self.schedule(
                    HOST_LIST_DELAY,
                    FleetEvent::Machine {
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
                self.schedule(Duration::ZERO, FleetEvent::AdvanceRun { run });
            }
        }
    }

    fn close_runs(&mut self, engine: usize) {
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
            .filter(|run| run.engine == engine && !run.is_finished);
        let open = open.map(|run| {
            run.is_finished = true;
            run.clone()
        });
        for run in open.collect::<Vec<_>>() {
            if !run.is_silent {
                self.send_event(run.host, run.caller, event(run.attempt));
            }
        }
    }

    fn announce_host_departure(&mut self, host: usize, notice_ms: u64) {
        if self.hosts[host].is_leaving || !self.hosts[host].is_up {
            return;
        }
        self.hosts[host].is_leaving = true;
        let notice = Duration::from_millis(notice_ms);
        let deadline = Some(self.now + notice);
        let callers = self.hosts[host].streams.keys().copied().collect::<Vec<_>>();
        for caller in callers {
            self.apply_event(host, caller, StreamEvent::HostStopping { deadline });
        }
        self.schedule(notice, FleetEvent::HostStopped { host });
    }

    fn drop_caller(&mut self, caller: usize) {
        let connection = self.callers[caller].connection;
        for host in 0..self.hosts.len() {
            let Some(stream) = self.hosts[host].streams.get_mut(&caller) else {
                continue;
            };
            if stream.connection == Some(connection) {
                stream.connection = None;
                let session = stream.session;
                self.send_event(host, caller, StreamEvent::CallerDisconnected { session });
            }
        }
        self.close_connection(caller, Some(connection));
    }
}
