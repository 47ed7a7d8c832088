//! Lease holders of one data centre around a log with faults, on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_state::lease::{
    LeaseAction, LeaseEvent, LeaseHolder, LeaseIdentity, LeaseNumber, LeaseTimings,
};

const TICK: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Faults of the log, each as a part of its calls from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    pub down: bool,
    pub lost_answers: f64,
    pub refused: f64,
    pub late_landings: f64,
    pub longest_delay: Duration,
}

/// One process.
#[derive(Debug)]
pub struct ClusterNode {
    pub holder: LeaseHolder,
    pub name: String,
    /// Speed of its clock; 1 is true.
    rate: f64,
    offset: Duration,
    paused_until: Timestamp,
    alive: bool,
}

impl ClusterNode {
    fn local(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + self.offset + now.since(Timestamp::ZERO).mul_f64(self.rate)
    }

    fn runs(&self, now: Timestamp) -> bool {
        self.alive && now >= self.paused_until
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Tick(usize),
    Land(Vec<u8>),
    Deliver(usize, u64),
}

#[derive(Debug)]
pub struct LeaseCluster {
    pub nodes: Vec<ClusterNode>,
    pub faults: LogFaults,
    pub appends: u64,
    pub reads: u64,
    /// Lines of changes, for snapshots.
    pub trace: Vec<String>,
    /// Grants in force in the order in which they were first acted under, with the node.
    pub terms_held: Vec<(LeaseNumber, usize)>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, Due)>>,
    answers: BTreeMap<u64, LeaseEvent>,
    log: Vec<Bytes>,
    first: u64,
    random: Pcg64Mcg,
    ticket: u64,
    terms: LeaseTimings,
}

impl LeaseCluster {
    pub fn new(terms: LeaseTimings, seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            faults: LogFaults::default(),
            appends: 0,
            reads: 0,
            trace: Vec::new(),
            terms_held: Vec::new(),
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            answers: BTreeMap::new(),
            log: Vec::new(),
            first: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            ticket: 0,
            terms,
        }
    }

    pub fn start(&mut self, name: &str, rate: f64, offset: Duration) -> usize {
        let index = self.nodes.len();
        let identity = LeaseIdentity {
            host: name.to_owned(),
            start: index as u64 + 1,
        };
        let seed = self.random.random();
        self.nodes.push(ClusterNode {
            holder: LeaseHolder::new(identity, self.terms, seed),
            name: name.to_owned(),
            rate,
            offset,
            paused_until: Timestamp::ZERO,
            alive: true,
        });
        self.push(Duration::ZERO, Due::Tick(index));
        index
    }

    pub fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused_until = self.now + span;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
    }

    pub fn stop(&mut self, node: usize) {
        self.deliver(node, LeaseEvent::Stop);
    }

    /// Drops all but the last `keep` records.
    pub fn drop_old(&mut self, keep: u64) {
        self.first = (self.log.len() as u64).saturating_sub(keep);
    }

    /// Returns the nodes that would act now, with their numbers.
    pub fn active(&self) -> Vec<(usize, LeaseNumber)> {
        let number = |node: &ClusterNode| node.holder.active_number(node.local(self.now));
        let running = self.nodes.iter().enumerate();
        let running = running.filter(|(_, node)| node.runs(self.now));
        running
            .filter_map(|(index, node)| Some((index, number(node)?)))
            .collect()
    }

    /// Runs for `span` and panics where two nodes would act at a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, due))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.step(due);
            self.check();
        }
        self.now = end;
    }

    fn step(&mut self, due: Due) {
        match due {
            Due::Tick(node) => {
                self.deliver(node, LeaseEvent::Tick);
                self.push(TICK, Due::Tick(node));
            }
            Due::Land(body) => self.log.push(body.into()),
            Due::Deliver(node, ticket) => self.deliver_answer(node, ticket),
        }
    }

    fn deliver_answer(&mut self, node: usize, ticket: u64) {
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            let wait = paused_until - self.now;
            self.push(wait, Due::Deliver(node, ticket));
            return;
        }
        if let Some(event) = self.answers.remove(&ticket) {
            self.deliver(node, event);
        }
    }

    fn deliver(&mut self, index: usize, event: LeaseEvent) {
        let node = &mut self.nodes[index];
        if !node.runs(self.now) {
            return;
        }
        let local = node.local(self.now);
        for action in node.holder.on_event(local, event) {
            self.act(index, action);
        }
    }

    fn act(&mut self, node: usize, action: LeaseAction) {
        match action {
            LeaseAction::Read { from, max_records } => self.read(node, from, max_records),
            LeaseAction::Append(body) => self.append(node, &body),
            LeaseAction::Gained(number) => self.note(node, "gained", number),
            LeaseAction::Lost(number) => self.note(node, "lost", number),
        }
    }

    fn note(&mut self, node: usize, change: &str, number: LeaseNumber) {
        let seconds = self.now.as_millis() as f64 / 1_000.0;
        let name = &self.nodes[node].name;
        self.trace
            .push(format!("{seconds:.1}s {name} {change} {number}"));
    }

    fn read(&mut self, node: usize, from: u64, max_records: u32) {
        self.reads += 1;
        if self.faults.down {
            self.answer(node, CALL_TIMEOUT, LeaseEvent::ReadFailed);
            return;
        }
        let start = from.max(self.first);
        let end = self.log.len() as u64;
        let record = |offset: u64| LogRecord {
            offset,
            appended: self.now,
            body: self.log[offset as usize].clone(),
        };
        let page = LogPage {
            first: self.first,
            end,
            records: (start..end.min(start + u64::from(max_records)))
                .map(record)
                .collect(),
        };
        let delay = self.latency();
        self.answer(node, delay, LeaseEvent::Read(page));
    }

    fn append(&mut self, node: usize, body: &Bytes) {
        self.appends += 1;
        if self.faults.down || self.chance(self.faults.refused) {
            self.answer(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
            return;
        }
        let latency = self.latency();
        if self.chance(self.faults.late_landings) {
            let longest = self.faults.longest_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.random.random_range(0..=longest));
            self.push(delay, Due::Land(body.to_vec()));
            self.answer(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
            return;
        }
        self.push(latency, Due::Land(body.to_vec()));
        if self.chance(self.faults.lost_answers) {
            self.answer(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
        } else {
            self.answer(node, latency * 2, LeaseEvent::Appended);
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(1_000..=40_000))
    }

    fn chance(&mut self, part: f64) -> bool {
        part > 0.0 && self.random.random_bool(part.min(1.0))
    }

    fn answer(&mut self, node: usize, delay: Duration, event: LeaseEvent) {
        self.ticket += 1;
        self.answers.insert(self.ticket, event);
        self.push(delay, Due::Deliver(node, self.ticket));
    }

    fn push(&mut self, delay: Duration, due: Due) {
        self.ticket += 1;
        self.queue
            .push(Reverse((self.now + delay, self.ticket, due)));
    }

    fn check(&mut self) {
        let active = self.active();
        assert!(
            active.len() <= 1,
            "two nodes would act at {:?}: {active:?}",
            self.now
        );
        let Some((node, number)) = active.first().copied() else {
            return;
        };
        let last = self.terms_held.last();
        if last == Some(&(number, node)) {
            return;
        }
        assert!(
            last.is_none_or(|(held, _)| *held < number),
            "number {number} follows {last:?}"
        );
        self.terms_held.push((number, node));
    }
}
