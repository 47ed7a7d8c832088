//! Task that drives one stream's machine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::port::EngineEvent;
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::retry::RetryBudget;
use teaselglade_request::stream::{
    AttemptCause, CallerSession, StreamAction, StreamCounters, StreamEvent, StreamLimits,
    StreamMachine, StreamRecord, StreamRequest,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use super::running_attempts::RunningAttempts;
use super::stream_registry::RegisteredStream;
use super::{CommandSender, ModelRequest, StreamBuffer, StreamCommand, StreamEnd, StreamReader};
use crate::host::EntryHost;
use crate::placement::{AdmissionPermit, PlacementRequest};

/// Tokens between two notes of a stream's progress.
const TOKENS_PER_PROGRESS: u32 = 32;
/// Longest sleep between two looks at the clock.
const MAX_SLEEP: Duration = Duration::from_mins(1);

/// Starts a stream on a task of its own and returns its caller's seat.
pub(crate) fn start_stream(
    host: &Arc<EntryHost>,
    order: ModelRequest,
    pass: AdmissionPermit,
) -> StreamReader {
    let request = StreamRequest {
        id: host.new_request(),
        organisation: order.organisation,
        service: order.row.name.clone(),
        prompt: order.prompt,
        max_tokens: order.max_tokens,
        adapter: order.adapter,
        priority: 0,
        deadline: order.deadline,
    };
    let buffer = Arc::new(StreamBuffer::new(request.id, 0, 0, Vec::new()));
    let machine = StreamMachine::new(request, StreamLimits::default());
    let mut task = new_task(host, order.row, machine, &buffer);
    task.pass = Some(pass);
    let commands = task.commands.clone();
    task.spawn(StreamEvent::Admitted { prefer: None });
    StreamReader::first(buffer, commands)
}

/// Goes on with a stream whose record came from a peer.
pub(crate) fn resume_stream(host: &Arc<EntryHost>, row: ServiceRow, record: StreamRecord) {
    let buffer = StreamBuffer::new(
        record.request.id,
        record.generation,
        0,
        record.delivered.clone(),
    );
    // The server of the last attempt probably caches the prefix.
    let server = record.server.as_deref();
    let prefer = server.and_then(|server| host.directory().find_by_host(server));
    let machine = StreamMachine::resume(record, StreamLimits::default(), host.now());
    let task = new_task(host, row, machine, &Arc::new(buffer));
    task.spawn(StreamEvent::Admitted { prefer });
}

fn new_task(
    host: &Arc<EntryHost>,
    row: ServiceRow,
    machine: StreamMachine,
    buffer: &Arc<StreamBuffer>,
) -> StreamTask {
    let (commands, received) = mpsc::unbounded_channel();
    host.streams.insert(RegisteredStream {
        buffer: Arc::clone(buffer),
        generation: machine.generation(),
        commands: commands.clone(),
    });
    host.metrics.open_streams.inc();
    StreamTask {
        host: Arc::clone(host),
        attempts: RunningAttempts::new(Arc::clone(host), commands.clone()),
        row,
        machine,
        buffer: Arc::clone(buffer),
        commands,
        received,
        session: CallerSession::default(),
        pending: VecDeque::new(),
        rejected: None,
        timer: None,
        counted: StreamCounters::default(),
        is_open: true,
        pass: None,
    }
}

#[derive(Debug)]
struct StreamTask {
    host: Arc<EntryHost>,
    row: ServiceRow,
    machine: StreamMachine,
    buffer: Arc<StreamBuffer>,
    commands: CommandSender,
    received: mpsc::UnboundedReceiver<StreamCommand>,
    attempts: RunningAttempts,
    session: CallerSession,
    pending: VecDeque<StreamEvent>,
    rejected: Option<RequestRefusal>,
    timer: Option<Timestamp>,
    counted: StreamCounters,
    is_open: bool,
    pass: Option<AdmissionPermit>,
}

impl StreamTask {
    /// Starts the task with its first event.
    fn spawn(self, first: StreamEvent) {
        tokio::spawn(self.run(first));
    }

    async fn run(mut self, first: StreamEvent) {
        self.apply(first);
        while !self.machine.is_finished() {
            let now = self.host.now();
            let span = self.timer.map_or(MAX_SLEEP, |at| at - now);
            tokio::select! {
                biased;
                command = self.received.recv() => match command {
                    Some(command) => self.take(command),
                    None => break,
                },
                () = sleep(span) => {
                    if self.timer.is_some_and(|at| at <= self.host.now()) {
                        self.timer = None;
                        self.apply(StreamEvent::TimerFired);
                    }
                }
            }
        }
        self.attempts.release_all();
        self.host.streams.remove(&self.buffer);
        self.buffer.close();
    }

    fn take(&mut self, command: StreamCommand) {
        match command {
            StreamCommand::Event(event) => {
                if let StreamEvent::Frame(frame) = &event {
                    self.attempts.observe_frame(frame);
                    self.note_progress(frame);
                }
                if let StreamEvent::AttemptFailed { attempt, .. }
                | StreamEvent::AttemptClosed { attempt } = &event
                {
                    self.attempts.finish(*attempt);
                }
                self.apply(event);
            }
            StreamCommand::Attach { from, line, reply } => self.attach(from, line, reply),
        }
    }

    /// Tells the retry budget now and then that a server makes progress.
    fn note_progress(&self, frame: &EngineEvent) {
        let is_due = match frame {
            EngineEvent::Token { index, .. } => index % TOKENS_PER_PROGRESS == 0,
            EngineEvent::Started { .. } | EngineEvent::End { .. } => true,
        };
        let Some(server) = self.machine.server().filter(|_| is_due) else {
            return;
        };
        let now = self.host.now();
        let budgets = &self.host.budgets;
        budgets.with_budget(&self.row.name, |budget| budget.record_progress(now, server));
    }

    fn attach(
        &mut self,
        from: u32,
        line: Option<u16>,
        reply: oneshot::Sender<Result<CallerSession, RequestRefusal>>,
    ) {
        self.session = self.session.next();
        let session = self.session;
        // The buffer already has every token that was delivered.
        let from = from.max(self.buffer.end() as u32);
        self.apply(StreamEvent::CallerResumed {
            session,
            from,
            copy_id: line,
        });
        let answer = self.rejected.take().map_or(Ok(session), Err);
        if reply.send(answer).is_err() {
            self.apply(StreamEvent::CallerDisconnected { session });
        }
    }

    fn apply(&mut self, event: StreamEvent) {
        self.pending.push_back(event);
        while let Some(event) = self.pending.pop_front() {
            let now = self.host.now();
            let actions = self.machine.on_event(now, event);
            for action in actions {
                self.carry_out(now, action);
            }
        }
        self.count();
    }

    fn carry_out(&mut self, now: Timestamp, action: StreamAction) {
        match action {
            StreamAction::Place {
                operation_id: ticket,
                exclude,
                prefer,
                ..
            } => {
                let order = self.placement_request(&exclude);
                let event = self.attempts.place(ticket, order, prefer);
                self.pending.push_back(event);
            }
            StreamAction::RequestRetry {
                operation_id: ticket,
                retry,
                lost,
            } => {
                let deadline = self.machine.request().deadline;
                let budgets = &self.host.budgets;
                let decision = budgets.with_budget(&self.row.name, |budget| {
                    budget.request_retry_after_loss(now, deadline, retry, lost)
                });
                let event = StreamEvent::RetryDecided {
                    operation_id: ticket,
                    decision,
                };
                self.pending.push_back(event);
            }
            StreamAction::Dispatch {
                server,
                call,
                cause,
                fresh_connection,
            } => {
                if cause == AttemptCause::First {
                    let budgets = &self.host.budgets;
                    budgets.with_budget(&self.row.name, RetryBudget::record_first_attempt);
                }
                self.attempts.start(server, call, fresh_connection);
            }
            StreamAction::MoveKv {
                operation_id: ticket,
                attempt,
                from,
                to,
            } => self.attempts.move_kv(ticket, attempt, from, to),
            StreamAction::Cancel { server, attempt } => self.attempts.cancel(server, attempt),
            StreamAction::Deliver { index, text } => {
                self.host.metrics.tokens.inc();
                self.buffer.push(index as usize, text);
            }
            StreamAction::Finish { total, recomputed } => self.buffer.finish(Ok(StreamEnd {
                tokens: total,
                recomputed_tokens: recomputed,
            })),
            StreamAction::Refuse { refusal } => self.buffer.finish(Err(refusal)),
            StreamAction::RejectResume { refusal, .. } => self.rejected = Some(refusal),
            StreamAction::HandOver { mut record } => {
                record.server = self.attempts.host_name(self.machine.server());
                let commands = self.commands.clone();
                self.host.handovers.offer(&self.host, *record, commands);
            }
            StreamAction::CloseCallerConnection => self.buffer.close(),
            StreamAction::SetTimer { at } => self.timer = Some(at),
            StreamAction::Discard => {}
        }
    }

    fn placement_request(&self, exclude: &[ServerKey]) -> PlacementRequest {
        let request = self.machine.request();
        PlacementRequest::model(
            &request.organisation,
            &self.row,
            &request.prompt,
            &self.buffer.tokens(),
            request.max_tokens,
        )
        .excluding(exclude)
    }

    fn count(&mut self) {
        let present = *self.machine.counters();
        let metrics = &self.host.metrics;
        let recomputed = present.recomputed_tokens() - self.counted.recomputed_tokens();
        metrics.recomputed_tokens.inc_by(u64::from(recomputed));
        let dropped = present.dropped_frames() - self.counted.dropped_frames();
        metrics.dropped_frames.inc_by(u64::from(dropped));
        let retried = present.retried_attempts() - self.counted.retried_attempts();
        metrics.failed_attempts.inc_by(u64::from(retried));
        self.counted = present;
        if self.is_open && !self.machine.is_open() {
            self.is_open = false;
            self.pass = None;
            metrics.open_streams.dec();
            let organisation = self.machine.request().organisation.as_str();
            let labels = [organisation, self.machine.outcome_name()];
            metrics.requests.with_label_values(&labels).inc();
        }
    }
}
