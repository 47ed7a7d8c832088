//! The fleet and its virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::time::Duration;

use rand::{Rng as _, SeedableRng as _};
use rand_pcg::Pcg64;
use teaselglade_claims::booking::{BookedCall, BookingKey, BookingResult};
use teaselglade_claims::key::{IdempotencyKey, RequestDigest, ScopedKey};
use teaselglade_claims::shard::{ClaimOptions, ShardAction, ShardEvent, ShardMachine};
use teaselglade_core::port::{AttemptError, LogError, PlainAnswer};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{ExecutionVerdict, SendProgress};

use super::log_model::LogModel;
use super::task::{HostRun, LogQuery};
use super::{AppendFate, AttemptFate, CallPlan, FaultChances, Task};

pub const START: Timestamp = Timestamp::from_millis(1_700_000_000_000);
const HOP: Duration = Duration::from_millis(1);
const LOG_TIMEOUT: Duration = Duration::from_millis(1_500);
const CALLER_PATIENCE: Duration = Duration::from_secs(6);
const DEADLINE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Host {
    run: u32,
    paused: bool,
    suspended: Option<Timestamp>,
    /// How far the host's clock is ahead, in milliseconds.
    skew: i64,
    machine: ShardMachine,
    backlog: Vec<Task>,
}

/// One call of one caller, as the caller saw it.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub plan: CallPlan,
    pub sent: Timestamp,
    pub answered: Option<(Timestamp, BookingResult)>,
    pub executed: Vec<Timestamp>,
    timed_out: bool,
}

#[derive(Debug)]
pub struct Fleet {
    pub now: Timestamp,
    pub calls: Vec<CallRecord>,
    pub trace: Vec<String>,
    pub forced_appends: VecDeque<AppendFate>,
    pub forced_attempts: VecDeque<AttemptFate>,
    options: ClaimOptions,
    chances: FaultChances,
    hosts: Vec<Host>,
    log: LogModel,
    queue: BTreeMap<(Timestamp, u64), Task>,
    tasks: u64,
    key_times: BTreeMap<u32, Timestamp>,
    random: Pcg64,
}

impl Fleet {
    pub fn new(hosts: usize, options: ClaimOptions, chances: FaultChances, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let hosts = (0..hosts).map(|_| Host {
            run: 0,
            paused: false,
            suspended: None,
            skew: 0,
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
            chances,
            log: LogModel::new(options.window.min_retention()),
            queue: BTreeMap::new(),
            tasks: 0,
            key_times: BTreeMap::new(),
            random,
        }
    }

    pub fn with_retention(mut self, retention: Duration) -> Self {
        self.log.retention = retention;
        self
    }

    pub fn set_skew(&mut self, host: usize, millis: i64) {
        self.hosts[host].skew = millis;
    }

    pub fn at(&mut self, at: Timestamp, task: Task) {
        self.tasks += 1;
        self.queue.insert((at.max(self.now), self.tasks), task);
    }

    /// Runs everything that is due up to `until`.
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
            Task::Append(run, body, fate) => self.append(run, body, fate),
            Task::Land(body) => self.land(body),
            Task::Read(run, query) => self.read(run, query),
            Task::EndPoll(run) => self.end_poll(run),
            Task::Execute(call) => self.execute(call),
            Task::Crash(host) => self.crash(host),
            Task::Pause(host) => self.hosts[host].paused = true,
            Task::Suspend(host) => self.suspend(host),
            Task::Resume(host) => self.resume(host),
            Task::LogOut(out) => self.set_log_out(out),
        }
    }

    fn send(&mut self, plan: CallPlan) {
        let id = self.calls.len() as u64;
        let key = ScopedKey::new("corrib", "ticket-desk", self.key(plan.key));
        let call = BookedCall {
            key,
            digest: RequestDigest::of("POST", "/tickets", &plan.body.to_le_bytes()),
            repeated: self.is_unresolved(plan.key),
            deadline: self.host_time(plan.host) + DEADLINE,
        };
        self.note(format!("call {id} key={} host={}", plan.key, plan.host));
        self.calls.push(CallRecord {
            plan,
            sent: self.now,
            answered: None,
            executed: Vec::new(),
            timed_out: false,
        });
        let booking = BookingKey::new(id);
        let run = self.present_run(plan.host);
        self.at(
            self.now + HOP,
            Task::Deliver(run, ShardEvent::Booked { booking, call }),
        );
        self.at(self.now + CALLER_PATIENCE, Task::CallerTimeout(id));
        if plan.calls > 1 && self.random.random_bool(self.chances.hedge) {
            let second = self.next_plan(plan);
            self.at(
                self.now + HOP * 5,
                Task::Send(CallPlan { calls: 1, ..second }),
            );
        }
    }

    fn time_out(&mut self, call: u64) {
        let record = &mut self.calls[call as usize];
        if record.answered.is_some() {
            return;
        }
        record.timed_out = true;
        let plan = record.plan;
        self.note(format!("call {call} got no answer"));
        self.call_again(plan);
    }

    fn call_again(&mut self, plan: CallPlan) {
        if plan.calls <= 1 {
            return;
        }
        let plan = self.next_plan(plan);
        let longest = if self.random.random_bool(0.1) {
            400_000
        } else {
            3_000
        };
        let pause = Duration::from_millis(self.random.random_range(0..longest));
        self.at(self.now + pause, Task::Send(plan));
    }

    fn next_plan(&self, plan: CallPlan) -> CallPlan {
        CallPlan {
            host: (plan.host + 1) % self.hosts.len(),
            calls: plan.calls - 1,
            ..plan
        }
    }

    /// Whether the caller has sent this key without being told "not run".
    fn is_unresolved(&self, key: u32) -> bool {
        let earlier = self.calls.iter().filter(|call| call.plan.key == key);
        let is_not_run = |call: &CallRecord| {
            let told = call
                .answered
                .as_ref()
                .and_then(|(_, result)| result.as_ref().err());
            told.is_some_and(|refusal| refusal.verdict == ExecutionVerdict::NotRun)
        };
        earlier.into_iter().any(|call| !is_not_run(call))
    }

    fn deliver(&mut self, run: HostRun, event: ShardEvent) {
        let now = self.host_time(run.host);
        let actions = self.hosts[run.host].machine.on_event(now, event);
        for action in actions {
            let at = match action {
                ShardAction::WakeAt(at) => self.now + at.since(now),
                _ => self.now + self.jitter(),
            };
            self.at(at, Task::Perform(run, action));
        }
    }

    fn perform(&mut self, run: HostRun, action: ShardAction) {
        match action {
            ShardAction::WakeAt(_) => self.deliver(run, ShardEvent::Woken),
            ShardAction::Read { from, most, wait } => {
                let query = LogQuery { from, most, wait };
                self.at(self.now + HOP, Task::Read(run, query));
            }
            ShardAction::Append { body } => {
                let fate = self.append_fate();
                self.at(self.now + HOP, Task::Append(run, body, fate));
            }
            ShardAction::Dispatch { booking, attempt } => self.attempt(run, booking, attempt),
            ShardAction::Answer { booking, result } => self.answer(booking, result),
        }
    }

    fn append(&mut self, run: HostRun, body: bytes::Bytes, fate: AppendFate) {
        let unknown = || {
            Err(LogError::Unknown {
                detail: "answer lost".to_owned(),
            })
        };
        let refused = Err(LogError::Refused {
            detail: "out".to_owned(),
        });
        let fate = if self.log.out {
            AppendFate::Refused
        } else {
            fate
        };
        let mut after = HOP;
        let result = match fate {
            AppendFate::Refused => refused,
            AppendFate::Lands => Ok(self.land_now(body)),
            AppendFate::LandsAnswerLost => {
                self.land_now(body);
                unknown()
            }
            AppendFate::LandsLate(late) => {
                self.at(self.now + late, Task::Land(body));
                after = late.min(LOG_TIMEOUT);
                unknown()
            }
            AppendFate::NeverLandsAnswerLost => {
                after = LOG_TIMEOUT;
                unknown()
            }
        };
        self.at(
            self.now + after,
            Task::Deliver(run, ShardEvent::Appended(result)),
        );
    }

    fn land(&mut self, body: bytes::Bytes) {
        self.land_now(body);
    }

    fn land_now(&mut self, body: bytes::Bytes) -> u64 {
        let offset = self.log.append(self.now, body);
        for (run, query) in std::mem::take(&mut self.log.polls) {
            self.serve(run, query);
        }
        offset
    }

    fn set_log_out(&mut self, out: bool) {
        self.log.out = out;
        if !out {
            return;
        }
        for (run, _) in std::mem::take(&mut self.log.polls) {
            self.fail_read(run);
        }
    }

    fn fail_read(&mut self, run: HostRun) {
        let error = LogError::Refused {
            detail: "out".to_owned(),
        };
        let after = self.now + HOP;
        self.at(after, Task::Deliver(run, ShardEvent::Read(Err(error))));
    }

    fn read(&mut self, run: HostRun, query: LogQuery) {
        if self.log.out || self.random.random_bool(self.chances.read) {
            self.fail_read(run);
        } else if query.from < self.log.end() || query.wait.is_zero() {
            self.serve(run, query);
        } else {
            self.log.polls.push((run, query));
            self.at(self.now + query.wait, Task::EndPoll(run));
        }
    }

    fn end_poll(&mut self, run: HostRun) {
        let polls = std::mem::take(&mut self.log.polls);
        let (ended, kept) = polls.into_iter().partition(|(poll, _)| *poll == run);
        self.log.polls = kept;
        for (run, query) in Vec::<(HostRun, LogQuery)>::into_iter(ended) {
            self.serve(run, query);
        }
    }

    fn serve(&mut self, run: HostRun, query: LogQuery) {
        let page = self.log.page(self.now, query);
        self.at(
            self.now + HOP,
            Task::Deliver(run, ShardEvent::Read(Ok(page))),
        );
    }

    fn attempt(&mut self, run: HostRun, booking: BookingKey, number: u32) {
        let call = booking.index() as u64;
        let fate = self.attempt_fate();
        self.note(format!("call {call} attempt {number} {fate:?}"));
        let key = self.calls[booking.index()].plan.key;
        let failed = |progress| Err(AttemptError::new(progress, format!("{fate:?}")));
        let ran = PlainAnswer {
            status: 201,
            headers: Vec::new(),
            body: format!("ticket for key {key}").into(),
        };
        let (runs, after, result) = match fate {
            AttemptFate::Runs(span) => (true, span, Ok(ran)),
            AttemptFate::RunsAnswerLost => (true, LOG_TIMEOUT, failed(SendProgress::MaybeSent)),
            AttemptFate::LostBeforeServer => (false, HOP, failed(SendProgress::MaybeSent)),
            AttemptFate::NotSent => (false, HOP, failed(SendProgress::NotSent)),
            AttemptFate::RefusedByServer => {
                (false, HOP, failed(SendProgress::RefusedBeforeRunning))
            }
        };
        if runs {
            self.at(self.now + HOP, Task::Execute(call));
        }
        let event = ShardEvent::Attempted {
            booking,
            result,
            may_retry: true,
        };
        self.at(self.now + after, Task::Deliver(run, event));
    }

    fn execute(&mut self, call: u64) {
        self.note(format!("server runs call {call}"));
        self.calls[call as usize].executed.push(self.now);
    }

    fn answer(&mut self, booking: BookingKey, result: BookingResult) {
        let record = &mut self.calls[booking.index()];
        if record.timed_out {
            return;
        }
        let text = match &result {
            Ok(answer) => format!("{} replayed={}", answer.status, answer.replayed),
            Err(refusal) => format!("{:?} {:?}", refusal.verdict, refusal.reason),
        };
        let plan = result.is_err().then_some(record.plan);
        record.answered = Some((self.now, result));
        self.note(format!("call {} answered: {text}", booking.index()));
        if let Some(plan) = plan {
            self.call_again(plan);
        }
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
            self.hosts[host].skew -= (self.now - since).as_millis() as i64;
        }
        for task in std::mem::take(&mut self.hosts[host].backlog) {
            self.at(self.now, task);
        }
    }

    fn append_fate(&mut self) -> AppendFate {
        if let Some(fate) = self.forced_appends.pop_front() {
            return fate;
        }
        if !self.random.random_bool(self.chances.append) {
            return AppendFate::Lands;
        }
        let late = Duration::from_millis(self.random.random_range(1..8_000));
        match self.random.random_range(0..4) {
            0 => AppendFate::LandsAnswerLost,
            1 => AppendFate::NeverLandsAnswerLost,
            2 => AppendFate::Refused,
            _ => AppendFate::LandsLate(late),
        }
    }

    fn attempt_fate(&mut self) -> AttemptFate {
        if let Some(fate) = self.forced_attempts.pop_front() {
            return fate;
        }
        let span = Duration::from_millis(self.random.random_range(2..60));
        if !self.random.random_bool(self.chances.attempt) {
            return AttemptFate::Runs(span);
        }
        match self.random.random_range(0..4) {
            0 => AttemptFate::RunsAnswerLost,
            1 => AttemptFate::LostBeforeServer,
            2 => AttemptFate::NotSent,
            _ => AttemptFate::RefusedByServer,
        }
    }

    fn present_run(&self, host: usize) -> HostRun {
        let run = self.hosts[host].run;
        HostRun { host, run }
    }

    fn host_time(&self, host: usize) -> Timestamp {
        let millis = self
            .now
            .as_millis()
            .saturating_add_signed(self.hosts[host].skew);
        Timestamp::from_micros(millis * 1_000 + self.now.as_micros() % 1_000)
    }

    fn jitter(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(0..500))
    }

    fn note(&mut self, text: impl Display) {
        let at = (self.now - START).as_millis();
        self.trace.push(format!("{at:>6}ms {text}"));
    }
}
