//! Task that drives the state machine of one stream.

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

/// Tokens between two reports of a stream's progress to the retry budget.
const TOKENS_PER_PROGRESS: u32 = 32;
/// Longest sleep between two reads of the clock.
const MAX_SLEEP: Duration = Duration::from_mins(1);

/// Starts a stream in its own task and returns the reader of its caller.
pub(crate) fn start_stream(
    host: &Arc<EntryHost>,
    model_request: ModelRequest,
    admission_permit: AdmissionPermit,
) -> StreamReader {
    let request = StreamRequest {
        id: host.new_request(),
        organisation: model_request.organisation,
        service: model_request.row.name.clone(),
        prompt: model_request.prompt,
        max_tokens: model_request.max_tokens,
        adapter: model_request.adapter,
        priority: 0,
        deadline: model_request.deadline,
    };
    let buffer = Arc::new(StreamBuffer::new(request.id, 0, 0, Vec::new()));
    let machine = StreamMachine::new(request, StreamLimits::default());
    let mut task = create_task(host, model_request.row, machine, &buffer);
    task.admission_permit = Some(admission_permit);
    let commands = task.commands.clone();
    task.spawn(StreamEvent::Admitted { prefer: None });
    StreamReader::started(buffer, commands)
}

/// Resumes a stream whose record was received from a peer.
pub(crate) fn resume_stream(host: &Arc<EntryHost>, row: ServiceRow, record: StreamRecord) {
    let buffer = StreamBuffer::new(
        record.request.id,
        record.generation,
        0,
        record.delivered.clone(),
    );
    // The server of the last attempt probably still caches the prefix.
    let server = record.server.as_deref();
    let prefer = server.and_then(|server| host.directory().find_by_host(server));
    let machine = StreamMachine::resume(record, StreamLimits::default(), host.now());
    let task = create_task(host, row, machine, &Arc::new(buffer));
    task.spawn(StreamEvent::Admitted { prefer });
}

fn create_task(
    host: &Arc<EntryHost>,
    row: ServiceRow,
    machine: StreamMachine,
    buffer: &Arc<StreamBuffer>,
) -> StreamTask {
    let (commands, command_receiver) = mpsc::unbounded_channel();
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
        command_receiver,
        session: CallerSession::default(),
        pending_events: VecDeque::new(),
        resume_refusal: None,
        timer: None,
        reported_counters: StreamCounters::default(),
        is_open: true,
        admission_permit: None,
    }
}

#[derive(Debug)]
struct StreamTask {
    host: Arc<EntryHost>,
    row: ServiceRow,
    machine: StreamMachine,
    buffer: Arc<StreamBuffer>,
    commands: CommandSender,
    command_receiver: mpsc::UnboundedReceiver<StreamCommand>,
    attempts: RunningAttempts,
    session: CallerSession,
    pending_events: VecDeque<StreamEvent>,
    resume_refusal: Option<RequestRefusal>,
    timer: Option<Timestamp>,
    reported_counters: StreamCounters,
    is_open: bool,
    admission_permit: Option<AdmissionPermit>,
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
            let delay = self.timer.map_or(MAX_SLEEP, |at| at - now);
            tokio::select! {
                biased;
                command = self.command_receiver.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                () = sleep(delay) => {
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

    fn handle_command(&mut self, command: StreamCommand) {
        match command {
            StreamCommand::Event(event) => {
                if let StreamEvent::Frame(frame) = &event {
                    self.attempts.observe_frame(frame);
                    self.record_progress(frame);
                }
                if let StreamEvent::AttemptFailed { attempt, .. }
                | StreamEvent::AttemptClosed { attempt } = &event
                {
                    self.attempts.finish(*attempt);
                }
                self.apply(event);
            }
            StreamCommand::Attach {
                from,
                copy_id,
                reply,
            } => self.attach(from, copy_id, reply),
        }
    }

    /// Reports to the retry budget, every few tokens, that a server makes progress.
    fn record_progress(&self, frame: &EngineEvent) {
        let is_due = match frame {
            EngineEvent::Token { index, .. } => index % TOKENS_PER_PROGRESS == 0,
            EngineEvent::Started { .. } | EngineEvent::End { .. } => true,
        };
        let Some(server) = self.machine.server().filter(|_| is_due) else {
            return;
        };
        let now = self.host.now();
        let budgets = &self.host.retry_budgets;
        budgets.with_budget(&self.row.name, |budget| budget.record_progress(now, server));
    }

    fn attach(
        &mut self,
        from: u32,
        copy_id: Option<u16>,
        reply: oneshot::Sender<Result<CallerSession, RequestRefusal>>,
    ) {
        self.session = self.session.next();
        let session = self.session;
        // The buffer already holds every token that was delivered.
        let from = from.max(self.buffer.end() as u32);
        self.apply(StreamEvent::CallerResumed {
            session,
            from,
            copy_id,
        });
        let outcome = self.resume_refusal.take().map_or(Ok(session), Err);
        if reply.send(outcome).is_err() {
            self.apply(StreamEvent::CallerDisconnected { session });
        }
    }

    fn apply(&mut self, event: StreamEvent) {
        self.pending_events.push_back(event);
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.host.now();
            let actions = self.machine.on_event(now, event);
            for action in actions {
                self.perform_action(now, action);
            }
        }
        self.update_metrics();
    }

    fn perform_action(&mut self, now: Timestamp, action: StreamAction) {
        match action {
            StreamAction::Place {
                operation_id,
                exclude,
                prefer,
                ..
            } => {
                let request = self.placement_request(&exclude);
                let event = self.attempts.place(operation_id, request, prefer);
                self.pending_events.push_back(event);
            }
            StreamAction::RequestRetry {
                operation_id,
                retry,
                lost,
            } => {
                let deadline = self.machine.request().deadline;
                let budgets = &self.host.retry_budgets;
                let decision = budgets.with_budget(&self.row.name, |budget| {
                    budget.request_retry_after_loss(now, deadline, retry, lost)
                });
                let event = StreamEvent::RetryDecided {
                    operation_id,
                    decision,
                };
                self.pending_events.push_back(event);
            }
            StreamAction::Dispatch {
                server,
                call,
                cause,
                fresh_connection,
            } => {
                if cause == AttemptCause::First {
                    let budgets = &self.host.retry_budgets;
                    budgets.with_budget(&self.row.name, RetryBudget::record_first_attempt);
                }
                self.attempts.start(server, call, fresh_connection);
            }
            StreamAction::MoveKv {
                operation_id,
                attempt,
                from,
                to,
            } => self.attempts.move_kv(operation_id, attempt, from, to),
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
            StreamAction::RejectResume { refusal, .. } => self.resume_refusal = Some(refusal),
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

    fn update_metrics(&mut self) {
        let counters = *self.machine.counters();
        let metrics = &self.host.metrics;
        let recomputed = counters.recomputed_tokens() - self.reported_counters.recomputed_tokens();
        metrics.recomputed_tokens.inc_by(u64::from(recomputed));
        let dropped = counters.dropped_frames() - self.reported_counters.dropped_frames();
        metrics.dropped_frames.inc_by(u64::from(dropped));
        let retried = counters.retried_attempts() - self.reported_counters.retried_attempts();
        metrics.failed_attempts.inc_by(u64::from(retried));
        self.reported_counters = counters;
        if self.is_open && !self.machine.is_open() {
            self.is_open = false;
            self.admission_permit = None;
            metrics.open_streams.dec();
            let organisation = self.machine.request().organisation.as_str();
            let labels = [organisation, self.machine.outcome_name()];
            metrics.requests.with_label_values(&labels).inc();
        }
    }
}
