//! Owns the machines of the daemon and carries out what they ask for.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::StreamName;
use teaselglade_core::time::Timestamp;
use teaselglade_state::audit::{AuditCommand, AuditEvent, AuditWriter};
use teaselglade_state::control::{ControlAction, ControlEvent, ControlPlanner, ControlTerm};
use teaselglade_state::lease::{LeaseAction, LeaseEvent, LeaseHolder, LeaseNumber};
use teaselglade_wire::{AuditAction, AuditEntry};
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::audit_writing::append_audit;
use super::control_calls::CallContext;
use super::lease_calls::{append_lease, read_leases};
use super::{ControlPorts, TermCell, WorkEvent};
use crate::metrics::ControlMetrics;

const LEASE_TICK: Duration = Duration::from_millis(200);
const PLAN_TICKS: u32 = 5;
const STOP_TIME: Duration = Duration::from_secs(5);

/// Owns the machines of the daemon and carries out what they ask for.
#[derive(Debug)]
pub(crate) struct ControlWork {
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) holder: LeaseHolder,
    pub(crate) planner: ControlPlanner,
    pub(crate) writer: AuditWriter,
    pub(crate) ports: Arc<ControlPorts>,
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) term: Arc<TermCell>,
    pub(crate) events: mpsc::Sender<WorkEvent>,
    pub(crate) open_calls: u32,
    pub(crate) open_appends: u32,
    pub(crate) is_stopping: bool,
}

impl ControlWork {
    /// Works until `stop` says so, then gives up the lease.
    pub(crate) async fn run(
        mut self,
        mut received: mpsc::Receiver<WorkEvent>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut ticks = interval(LEASE_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0_u32;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    count = count.wrapping_add(1);
                    self.tick(count.is_multiple_of(PLAN_TICKS));
                }
                Some(event) = received.recv() => self.take(event),
                _changed = stop.wait_for(|stop| *stop) => break,
            }
        }
        let finished = timeout(STOP_TIME, self.finish(&mut received)).await;
        if finished.is_err() {
            log::warn!("the lease or the audit trail could not be written in time");
        }
    }

    /// Lets calls in progress end, gives up the lease and writes the audit trail.
    async fn finish(&mut self, received: &mut mpsc::Receiver<WorkEvent>) {
        self.is_stopping = true;
        while self.open_calls > 0 {
            self.take_next(received).await;
        }
        self.take(WorkEvent::Lease(LeaseEvent::Stop));
        while !self.holder.is_released() || !self.writer.is_drained() || self.open_appends > 0 {
            self.take_next(received).await;
        }
    }

    async fn take_next(&mut self, received: &mut mpsc::Receiver<WorkEvent>) {
        if let Ok(Some(event)) = timeout(LEASE_TICK, received.recv()).await {
            self.take(event);
        } else {
            self.tick(false);
        }
    }

    fn tick(&mut self, plans: bool) {
        self.take(WorkEvent::Lease(LeaseEvent::Tick));
        self.take(WorkEvent::Audit(AuditEvent::Tick));
        if plans {
            self.take(WorkEvent::Control(ControlEvent::Tick));
        }
    }

    fn take(&mut self, event: WorkEvent) {
        let now = self.ports.clock.now();
        match event {
            WorkEvent::Lease(event) => self.take_lease(now, event),
            WorkEvent::Control(event) => {
                self.end_call(&event);
                self.take_control(now, event);
            }
            WorkEvent::Audit(event) => self.take_audit(now, event),
            WorkEvent::Table(table) => self.take_control(now, ControlEvent::TableChanged(table)),
            WorkEvent::Ended => self.open_calls = self.open_calls.saturating_sub(1),
        }
    }

    fn end_call(&mut self, event: &ControlEvent) {
        if *event != ControlEvent::Tick {
            self.open_calls = self.open_calls.saturating_sub(1);
        }
    }

    fn take_lease(&mut self, now: Timestamp, event: LeaseEvent) {
        if matches!(event, LeaseEvent::Appended | LeaseEvent::AppendFailed) {
            self.open_appends = self.open_appends.saturating_sub(1);
        }
        let actions = self.holder.on_event(now, event);
        let held = self.holder.active_number(now);
        let term = held.map(|number| ControlTerm {
            number,
            valid_until: self.holder.valid_until(),
        });
        self.term.set(term);
        self.metrics.lease_held.set(i64::from(term.is_some()));
        for action in actions {
            self.act_on_lease(now, action);
        }
        self.take_control(now, ControlEvent::LeaseChanged(term));
    }

    fn act_on_lease(&mut self, now: Timestamp, action: LeaseAction) {
        let log = Arc::clone(&self.ports.log);
        let metrics = Arc::clone(&self.metrics);
        let stream = StreamName::leases(&self.zone);
        match action {
            LeaseAction::Read { from, max_records } => {
                let call = read_leases(log, metrics, stream, from, max_records);
                self.spawn(async move { WorkEvent::Lease(call.await) });
            }
            LeaseAction::Append(body) => {
                self.open_appends += 1;
                let call = append_lease(log, metrics, stream, body);
                self.spawn(async move { WorkEvent::Lease(call.await) });
            }
            LeaseAction::Gained(number) => self.note_lease(now, AuditAction::LeaseGained, number),
            LeaseAction::Lost(number) => self.note_lease(now, AuditAction::LeaseLost, number),
        }
    }

    fn note_lease(&mut self, now: Timestamp, action: AuditAction, number: LeaseNumber) {
        log::info!("{action} {number} in {}", self.zone);
        self.metrics
            .lease_number
            .set(i64::try_from(number.0).unwrap_or(i64::MAX));
        let entry = AuditEntry {
            actor: self.host.clone(),
            action,
            subject: StreamName::leases(&self.zone).as_str().to_owned(),
            from: None,
            to: None,
            at_ms: now.as_millis(),
            number: Some(number.0),
        };
        self.take_audit(now, AuditEvent::Recorded(entry));
    }

    fn take_control(&mut self, now: Timestamp, event: ControlEvent) {
        for action in self.planner.on_event(now, event) {
            match action {
                ControlAction::Record(entry) => self.take_audit(now, AuditEvent::Recorded(entry)),
                call => self.start_call(call),
            }
        }
    }

    fn start_call(&mut self, action: ControlAction) {
        if self.is_stopping {
            return;
        }
        self.open_calls += 1;
        let context = CallContext {
            ports: Arc::clone(&self.ports),
            metrics: Arc::clone(&self.metrics),
            term: Arc::clone(&self.term),
        };
        self.spawn(async move {
            let answer = context.call(action).await;
            answer.map_or(WorkEvent::Ended, WorkEvent::Control)
        });
    }

    fn take_audit(&mut self, now: Timestamp, event: AuditEvent) {
        if matches!(event, AuditEvent::Appended | AuditEvent::AppendFailed) {
            self.open_appends = self.open_appends.saturating_sub(1);
        }
        for AuditCommand::Append(body) in self.writer.on_event(now, event) {
            self.open_appends += 1;
            let log = Arc::clone(&self.ports.log);
            let call = append_audit(log, Arc::clone(&self.metrics), body);
            self.spawn(async move { WorkEvent::Audit(call.await) });
        }
        let dropped = i64::try_from(self.writer.dropped()).unwrap_or(i64::MAX);
        self.metrics.dropped_entries.set(dropped);
    }

    fn spawn(&self, call: impl Future<Output = WorkEvent> + Send + 'static) {
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = call.await;
            // The receiver only goes when the daemon stops.
            let _stopping = events.send(event).await;
        });
    }
}
