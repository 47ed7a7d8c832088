//! Event loop of the control daemon.

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

use super::audit_calls::append_audit;
use super::call_context::CallContext;
use super::lease_calls::{append_lease, read_leases};
use super::{ControlPorts, SharedTerm, WorkEvent};
use crate::metrics::ControlMetrics;

/// Interval between timer events of the lease holder and the audit writer.
const TIMER_INTERVAL: Duration = Duration::from_millis(200);
/// Number of timer intervals between timer events of the planner.
const INTERVALS_PER_PLAN: u32 = 5;
/// Time limit on shutdown for calls in flight, the release of the lease and the audit trail.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// Event loop that drives the lease holder, the planner and the audit writer.
///
/// Passes them their events and carries out the actions that they return, each call in a task of
/// its own.
#[derive(Debug)]
pub(crate) struct ControlWork {
    pub(crate) host: String,
    pub(crate) zone: String,
    pub(crate) holder: LeaseHolder,
    pub(crate) planner: ControlPlanner,
    pub(crate) writer: AuditWriter,
    pub(crate) ports: Arc<ControlPorts>,
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) term: Arc<SharedTerm>,
    pub(crate) events: mpsc::Sender<WorkEvent>,
    pub(crate) calls_in_flight: u32,
    pub(crate) appends_in_flight: u32,
    pub(crate) is_stopping: bool,
}

impl ControlWork {
    /// Runs until `stop` is set, then shuts down gracefully.
    pub(crate) async fn run(
        mut self,
        mut queue: mpsc::Receiver<WorkEvent>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut timer = interval(TIMER_INTERVAL);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut interval_count = 0_u32;
        loop {
            tokio::select! {
                _ = timer.tick() => {
                    interval_count = interval_count.wrapping_add(1);
                    self.on_timer(interval_count.is_multiple_of(INTERVALS_PER_PLAN));
                }
                Some(event) = queue.recv() => self.handle(event),
                _changed = stop.wait_for(|stop| *stop) => break,
            }
        }
        let shutdown = timeout(SHUTDOWN_TIMEOUT, self.shut_down(&mut queue)).await;
        if shutdown.is_err() {
            log::warn!(
                "shutdown timed out before the lease was released and the audit trail was written"
            );
        }
    }

    /// Waits for calls in flight, releases the lease and writes the rest of the audit trail.
    async fn shut_down(&mut self, queue: &mut mpsc::Receiver<WorkEvent>) {
        self.is_stopping = true;
        while self.calls_in_flight > 0 {
            self.handle_next(queue).await;
        }
        self.handle(WorkEvent::Lease(LeaseEvent::Stop));
        while !self.holder.is_released() || !self.writer.is_drained() || self.appends_in_flight > 0
        {
            self.handle_next(queue).await;
        }
    }

    async fn handle_next(&mut self, queue: &mut mpsc::Receiver<WorkEvent>) {
        if let Ok(Some(event)) = timeout(TIMER_INTERVAL, queue.recv()).await {
            self.handle(event);
        } else {
            self.on_timer(false);
        }
    }

    fn on_timer(&mut self, includes_planner: bool) {
        self.handle(WorkEvent::Lease(LeaseEvent::Tick));
        self.handle(WorkEvent::Audit(AuditEvent::Tick));
        if includes_planner {
            self.handle(WorkEvent::Control(ControlEvent::Tick));
        }
    }

    fn handle(&mut self, event: WorkEvent) {
        let now = self.ports.clock.now();
        match event {
            WorkEvent::Lease(event) => self.handle_lease(now, event),
            WorkEvent::Control(event) => {
                self.end_call(&event);
                self.handle_control(now, event);
            }
            WorkEvent::Audit(event) => self.handle_audit(now, event),
            WorkEvent::Table(table) => self.handle_control(now, ControlEvent::TableChanged(table)),
            WorkEvent::CallEnded => self.calls_in_flight = self.calls_in_flight.saturating_sub(1),
        }
    }

    fn end_call(&mut self, event: &ControlEvent) {
        if *event != ControlEvent::Tick {
            self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        }
    }

    fn handle_lease(&mut self, now: Timestamp, event: LeaseEvent) {
        if matches!(event, LeaseEvent::Appended | LeaseEvent::AppendFailed) {
            self.appends_in_flight = self.appends_in_flight.saturating_sub(1);
        }
        let actions = self.holder.on_event(now, event);
        let active_number = self.holder.active_number(now);
        let term = active_number.map(|number| ControlTerm {
            number,
            valid_until: self.holder.valid_until(),
        });
        self.term.set(term);
        self.metrics.lease_held.set(i64::from(term.is_some()));
        for action in actions {
            self.run_lease_action(now, action);
        }
        self.handle_control(now, ControlEvent::LeaseChanged(term));
    }

    fn run_lease_action(&mut self, now: Timestamp, action: LeaseAction) {
        let log = Arc::clone(&self.ports.log);
        let metrics = Arc::clone(&self.metrics);
        let stream = StreamName::leases(&self.zone);
        match action {
            LeaseAction::Read { from, max_records } => {
                let call = read_leases(log, metrics, stream, from, max_records);
                self.spawn(async move { WorkEvent::Lease(call.await) });
            }
            LeaseAction::Append(body) => {
                self.appends_in_flight += 1;
                let call = append_lease(log, metrics, stream, body);
                self.spawn(async move { WorkEvent::Lease(call.await) });
            }
            LeaseAction::Gained(number) => self.audit_lease(now, AuditAction::LeaseGained, number),
            LeaseAction::Lost(number) => self.audit_lease(now, AuditAction::LeaseLost, number),
        }
    }

    fn audit_lease(&mut self, now: Timestamp, action: AuditAction, number: LeaseNumber) {
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
        self.handle_audit(now, AuditEvent::Recorded(entry));
    }

    fn handle_control(&mut self, now: Timestamp, event: ControlEvent) {
        for action in self.planner.on_event(now, event) {
            match action {
                ControlAction::Record(entry) => self.handle_audit(now, AuditEvent::Recorded(entry)),
                call => self.start_call(call),
            }
        }
    }

    fn start_call(&mut self, action: ControlAction) {
        if self.is_stopping {
            return;
        }
        self.calls_in_flight += 1;
        let context = CallContext {
            ports: Arc::clone(&self.ports),
            metrics: Arc::clone(&self.metrics),
            term: Arc::clone(&self.term),
        };
        self.spawn(async move {
            let result = context.call(action).await;
            result.map_or(WorkEvent::CallEnded, WorkEvent::Control)
        });
    }

    fn handle_audit(&mut self, now: Timestamp, event: AuditEvent) {
        if matches!(event, AuditEvent::Appended | AuditEvent::AppendFailed) {
            self.appends_in_flight = self.appends_in_flight.saturating_sub(1);
        }
        for AuditCommand::Append(body) in self.writer.on_event(now, event) {
            self.appends_in_flight += 1;
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
            // The receiver is dropped only when the daemon stops.
            let _result = events.send(event).await;
        });
    }
}
