//! Simulated fleet of entry hosts on virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64;
use teaselglade_claims::call::{CallId, CallResult};
use teaselglade_claims::key::IdempotencyKey;
use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
use teaselglade_core::port::{AttemptError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::SendProgress;

use super::log_model::LogModel;
use super::task::{HostRun, LogQuery};
use super::{AppendOutcome, AttemptOutcome, CallPlan, FaultProbabilities, Task};

pub const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);
pub(super) const NETWORK_DELAY: Duration = Duration::from_millis(1);
const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
pub(super) struct Host {
    run: u32,
    paused: bool,
    suspended: Option<Timestamp>,
    /// Offset of the host's clock from virtual time, in milliseconds.
    skew_ms: i64,
    machine: ShardMachine,
    backlog: Vec<Task>,
}

/// One call, as its caller observed it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub plan: CallPlan,
    pub sent: Timestamp,
    pub answered: Option<(Timestamp, CallResult)>,
    pub executed: Vec<Timestamp>,
    pub(super) timed_out: bool,
}

#[derive(Debug)]
pub struct Fleet {
    pub now: Timestamp,
    pub calls: Vec<CallRecord>,
    pub trace: Vec<String>,
    pub forced_appends: VecDeque<AppendOutcome>,
    pub forced_attempts: VecDeque<AttemptOutcome>,
    pub(super) options: ClaimOptions,
    pub(super) probabilities: FaultProbabilities,
    pub(super) hosts: Vec<Host>,
    pub(super) log: LogModel,
    pub(super) queue: BTreeMap<(Timestamp, u64), Task>,
    pub(super) last_task: u64,
    pub(super) key_times: BTreeMap<u32, Timestamp>,
    pub(super) random: Pcg64,
}

impl Fleet {
    pub fn new(
        hosts: usize,
        options: ClaimOptions,
        probabilities: FaultProbabilities,
        seed: u64,
    ) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let hosts = (0..hosts).map(|_| Host {
            run: 0,
            paused: false,
            suspended: None,
            skew_ms: 0,
            machine: ShardMachine::new(options, random.random()),
            backlog: Vec::new(),
        });
        Self {
            hosts: hosts.collect(),
            now: START,
            calls: Vec::new(),
            trace: Vec::new(),
            forced_appends: VecDeque::new(),
            forced_attempts: VecDeque::new(),
            options,
            probabilities,
            log: LogModel::new(options.window.min_retention()),
            queue: BTreeMap::new(),
            last_task: 0,
            key_times: BTreeMap::new(),
            random,
        }
    }

    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.log.retention = retention;
        self
    }

    pub fn set_skew(&mut self, host: usize, millis: i64) {
        self.hosts[host].skew_ms = millis;
    }

    pub fn schedule(&mut self, at: Timestamp, task: Task) {
        self.last_task += 1;
        self.queue.insert((at.max(self.now), self.last_task), task);
    }

    /// Runs all tasks that are scheduled up to `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            self.now = entry.key().0;
            let task = entry.remove();
            self.run_task(task);
        }
        self.now = until;
    }

    pub fn appends(&self) -> u64 {
        self.log.end()
    }

    pub fn key(&mut self, number: u32) -> IdempotencyKey {
        let created = *self.key_times.entry(number).or_insert(self.now);
        let bits = (u128::from(created.as_millis()) << 80) | (0x7000_8000 << 48);
        let uuid = uuid::Uuid::from_u128(bits | u128::from(number));
        uuid.to_string().parse().expect("version 7")
    }

    fn run_task(&mut self, task: Task) {
        let target = match &task {
            Task::Deliver(run, _) | Task::Perform(run, _) => Some(*run),
            _ => None,
        };
        if let Some(run) = target {
            let host = &mut self.hosts[run.host];
            if host.run != run.run {
                return;
            }
            if host.paused {
                host.backlog.push(task);
                return;
            }
        }
        match task {
            Task::Send(plan) => self.send(plan),
            Task::CallerTimeout(call) => self.time_out(call),
            Task::Deliver(run, event) => self.deliver(run, event),
            Task::Perform(run, action) => self.perform(run, action),
            Task::Append(run, body, outcome) => self.append(run, body, outcome),
            Task::Write(body) => self.write(body),
            Task::Read(run, query) => self.read(run, query),
            Task::EndPoll(run) => self.end_poll(run),
            Task::Execute(call) => self.execute(call),
            Task::Crash(host) => self.crash(host),
            Task::Pause(host) => self.hosts[host].paused = true,
            Task::Suspend(host) => self.suspend(host),
            Task::Resume(host) => self.resume(host),
            Task::LogOutage(is_down) => self.set_log_outage(is_down),
        }
    }

    fn deliver(&mut self, run: HostRun, event: ShardEvent) {
        let now = self.host_time(run.host);
        let actions = self.hosts[run.host].machine.on_event(now, event);
        for action in actions {
            let at = match action {
                ShardAction::WakeAt(at) => self.now + at.since(now),
                _ => self.now + self.jitter(),
            };
            self.schedule(at, Task::Perform(run, action));
        }
    }

    fn perform(&mut self, run: HostRun, action: ShardAction) {
        match action {
            ShardAction::WakeAt(_) => self.deliver(run, ShardEvent::Woken),
            ShardAction::Read {
                from,
                max_records,
                wait,
            } => {
                let query = LogQuery {
                    from,
                    max_records,
                    wait,
                };
                self.schedule(self.now + NETWORK_DELAY, Task::Read(run, query));
            }
            ShardAction::Append { body } => {
                let outcome = self.next_append_outcome();
                self.schedule(self.now + NETWORK_DELAY, Task::Append(run, body, outcome));
            }
            ShardAction::Dispatch { call_id, attempt } => self.attempt(run, call_id, attempt),
            ShardAction::Answer { call_id, result } => self.answer(call_id, result),
        }
    }

    fn attempt(&mut self, run: HostRun, call_id: CallId, number: u32) {
        let call = call_id.index() as u64;
        let outcome = self.next_attempt_outcome();
        self.record_trace(format!("call {call} attempt {number} {outcome:?}"));
        let key = self.calls[call_id.index()].plan.key;
        let failed = |progress| Err(AttemptError::new(progress, format!("{outcome:?}")));
        let answer = PlainAnswer {
            status: 201,
            headers: Vec::new(),
            body: format!("ticket for key {key}").into(),
        };
        let (runs, delay, result) = match outcome {
            AttemptOutcome::Runs(duration) => (true, duration, Ok(answer)),
            AttemptOutcome::RunsResponseLost => {
                (true, LOG_TIMEOUT, failed(SendProgress::MaybeSent))
            }
            AttemptOutcome::LostBeforeServer => {
                (false, NETWORK_DELAY, failed(SendProgress::MaybeSent))
            }
            AttemptOutcome::NotSent => (false, NETWORK_DELAY, failed(SendProgress::NotSent)),
            AttemptOutcome::RefusedByServer => (
                false,
                NETWORK_DELAY,
                failed(SendProgress::RefusedBeforeRunning),
            ),
        };
        if runs {
            self.schedule(self.now + NETWORK_DELAY, Task::Execute(call));
        }
        let event = ShardEvent::Attempted {
            call_id,
            result,
            may_retry: true,
        };
        self.schedule(self.now + delay, Task::Deliver(run, event));
    }

    fn execute(&mut self, call: u64) {
        self.record_trace(format!("server runs call {call}"));
        self.calls[call as usize].executed.push(self.now);
    }

    fn crash(&mut self, host: usize) {
        let seed = self.random.random();
        let host = &mut self.hosts[host];
        host.run += 1;
        host.paused = false;
        host.suspended = None;
        host.backlog.clear();
        host.machine = ShardMachine::new(self.options, seed);
    }

    fn suspend(&mut self, host: usize) {
        self.hosts[host].paused = true;
        self.hosts[host].suspended = Some(self.now);
    }

    fn resume(&mut self, host: usize) {
        self.hosts[host].paused = false;
        if let Some(since) = self.hosts[host].suspended.take() {
            self.hosts[host].skew_ms -= (self.now - since).as_millis() as i64;
        }
        for task in std::mem::take(&mut self.hosts[host].backlog) {
            self.schedule(self.now, task);
        }
    }

    fn next_attempt_outcome(&mut self) -> AttemptOutcome {
        if let Some(outcome) = self.forced_attempts.pop_front() {
            return outcome;
        }
        let duration = Duration::from_millis(self.random.random_range(2..60));
        if !self.random.random_bool(self.probabilities.attempt) {
            return AttemptOutcome::Runs(duration);
        }
        match self.random.random_range(0..4) {
            0 => AttemptOutcome::RunsResponseLost,
            1 => AttemptOutcome::LostBeforeServer,
            2 => AttemptOutcome::NotSent,
            _ => AttemptOutcome::RefusedByServer,
        }
    }

    pub(super) fn current_run(&self, host: usize) -> HostRun {
        let run = self.hosts[host].run;
        HostRun { host, run }
    }

    pub(super) fn host_time(&self, host: usize) -> Timestamp {
        let millis = self
            .now
            .as_millis()
            .saturating_add_signed(self.hosts[host].skew_ms);
        Timestamp::from_micros(millis * 1_000 + self.now.as_micros() % 1_000)
    }

    pub(super) fn jitter(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(0..500))
    }

    pub(super) fn record_trace(&mut self, text: impl Display) {
        let at = (self.now - START).as_millis();
        self.trace.push(format!("{at:>6}ms {text}"));
    }
}
