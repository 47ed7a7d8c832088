//! Simulates the lease holders of one data centre and a faulty log in virtual time.

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

const TICK_INTERVAL: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Distance between the offsets of successive histories of the log, as the store's adapter packs
/// them.
const HISTORY_SPAN: u64 = 1 << 40;

/// Faults of the log; each rate is the fraction of calls affected, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    /// Whether every call fails.
    pub is_down: bool,
    /// Appends that are written but get no response.
    pub lost_responses: f64,
    /// Appends that fail without being written.
    pub rejected: f64,
    /// Appends that fail but are written up to `max_delay` later.
    pub delayed_writes: f64,
    pub max_delay: Duration,
}

/// One simulated process.
#[derive(Debug)]
pub struct ClusterNode {
    pub holder: LeaseHolder,
    pub name: String,
    /// Rate of its clock relative to real time.
    clock_rate: f64,
    clock_offset: Duration,
    paused_until: Timestamp,
    is_alive: bool,
}

impl ClusterNode {
    fn local_time(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + self.clock_offset + now.since(Timestamp::ZERO).mul_f64(self.clock_rate)
    }

    fn is_running(&self, now: Timestamp) -> bool {
        self.is_alive && now >= self.paused_until
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum QueuedEvent {
    Tick(usize),
    Write(Vec<u8>),
    Deliver(usize, u64),
}

#[derive(Debug)]
pub struct LeaseCluster {
    pub nodes: Vec<ClusterNode>,
    pub faults: LogFaults,
    pub appends: u64,
    pub reads: u64,
    /// One line for each lease that was gained or lost, for snapshots.
    pub trace: Vec<String>,
    /// Leases with their node, in the order in which the nodes started to act under them.
    pub held_leases: Vec<(LeaseNumber, usize)>,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64, QueuedEvent)>>,
    responses: BTreeMap<u64, LeaseEvent>,
    log: Vec<Bytes>,
    first: u64,
    /// Lowest offset of the log's current history.
    base: u64,
    random: Pcg64Mcg,
    sequence: u64,
    timings: LeaseTimings,
}

impl LeaseCluster {
    pub fn new(timings: LeaseTimings, seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            faults: LogFaults::default(),
            appends: 0,
            reads: 0,
            trace: Vec::new(),
            held_leases: Vec::new(),
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            responses: BTreeMap::new(),
            log: Vec::new(),
            first: 0,
            base: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            sequence: 0,
            timings,
        }
    }

    pub fn start(&mut self, name: &str, clock_rate: f64, clock_offset: Duration) -> usize {
        let index = self.nodes.len();
        let identity = LeaseIdentity {
            host: name.to_owned(),
            start: index as u64 + 1,
        };
        let seed = self.random.random();
        self.nodes.push(ClusterNode {
            holder: LeaseHolder::new(identity, self.timings, seed),
            name: name.to_owned(),
            clock_rate,
            clock_offset,
            paused_until: Timestamp::ZERO,
            is_alive: true,
        });
        self.push(Duration::ZERO, QueuedEvent::Tick(index));
        index
    }

    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.nodes[node].paused_until = self.now + duration;
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_alive = false;
    }

    pub fn stop(&mut self, node: usize) {
        self.deliver(node, LeaseEvent::Stop);
    }

    /// Drops all records of the log but the last `keep`.
    pub fn drop_old(&mut self, keep: u64) {
        self.first = (self.log.len() as u64).saturating_sub(keep);
    }

    /// Returns the log from a copy that lacks the last `lost` records; offsets are given out again.
    pub fn restore_log(&mut self, lost: u64) {
        let kept = (self.log.len() as u64).saturating_sub(lost);
        self.log.truncate(kept as usize);
        self.first = self.first.min(kept);
        self.base += HISTORY_SPAN;
    }

    /// Returns the nodes that may act now, with their fencing numbers.
    pub fn active(&self) -> Vec<(usize, LeaseNumber)> {
        let number = |node: &ClusterNode| node.holder.active_number(node.local_time(self.now));
        let running = self.nodes.iter().enumerate();
        let running = running.filter(|(_, node)| node.is_running(self.now));
        running
            .filter_map(|(index, node)| Some((index, number(node)?)))
            .collect()
    }

    /// Runs for `duration`; panics if two nodes may act at the same time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, _))) = self.queue.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, queued))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.step(queued);
            self.check_exclusive();
        }
        self.now = end;
    }

    fn step(&mut self, queued: QueuedEvent) {
        match queued {
            QueuedEvent::Tick(node) => {
                self.deliver(node, LeaseEvent::Tick);
                self.push(TICK_INTERVAL, QueuedEvent::Tick(node));
            }
            QueuedEvent::Write(body) => self.log.push(body.into()),
            QueuedEvent::Deliver(node, sequence) => self.deliver_response(node, sequence),
        }
    }

    fn deliver_response(&mut self, node: usize, sequence: u64) {
        let paused_until = self.nodes[node].paused_until;
        if self.now < paused_until {
            let wait = paused_until - self.now;
            self.push(wait, QueuedEvent::Deliver(node, sequence));
            return;
        }
        if let Some(event) = self.responses.remove(&sequence) {
            self.deliver(node, event);
        }
    }

    fn deliver(&mut self, index: usize, event: LeaseEvent) {
        let node = &mut self.nodes[index];
        if !node.is_running(self.now) {
            return;
        }
        let local_time = node.local_time(self.now);
        for action in node.holder.on_event(local_time, event) {
            self.act(index, action);
        }
    }

    fn act(&mut self, node: usize, action: LeaseAction) {
        match action {
            LeaseAction::Read { from, max_records } => self.read(node, from, max_records),
            LeaseAction::Append(body) => self.append(node, &body),
            LeaseAction::Gained(number) => self.record_change(node, "gained", number),
            LeaseAction::Lost(number) => self.record_change(node, "lost", number),
        }
    }

    fn record_change(&mut self, node: usize, change: &str, number: LeaseNumber) {
        let seconds = self.now.as_millis() as f64 / 1_000.0;
        let name = &self.nodes[node].name;
        self.trace
            .push(format!("{seconds:.1}s {name} {change} {number}"));
    }

    fn read(&mut self, node: usize, from: u64, max_records: u32) {
        self.reads += 1;
        if self.faults.is_down {
            self.respond(node, CALL_TIMEOUT, LeaseEvent::ReadFailed);
            return;
        }
        let start = from.saturating_sub(self.base).max(self.first);
        let end = self.log.len() as u64;
        let record = |offset: u64| LogRecord {
            offset: self.base + offset,
            appended: self.now,
            body: self.log[offset as usize].clone(),
        };
        let page = LogPage {
            first: self.base + self.first,
            end: self.base + end,
            records: (start..end.min(start + u64::from(max_records)))
                .map(record)
                .collect(),
        };
        let delay = self.latency();
        self.respond(node, delay, LeaseEvent::Read(page));
    }

    fn append(&mut self, node: usize, body: &Bytes) {
        self.appends += 1;
        if self.faults.is_down || self.chance(self.faults.rejected) {
            self.respond(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
            return;
        }
        let latency = self.latency();
        if self.chance(self.faults.delayed_writes) {
            let max_micros = self.faults.max_delay.as_micros() as u64;
            let delay = Duration::from_micros(self.random.random_range(0..=max_micros));
            self.push(delay, QueuedEvent::Write(body.to_vec()));
            self.respond(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
            return;
        }
        self.push(latency, QueuedEvent::Write(body.to_vec()));
        if self.chance(self.faults.lost_responses) {
            self.respond(node, CALL_TIMEOUT, LeaseEvent::AppendFailed);
        } else {
            self.respond(node, latency * 2, LeaseEvent::Appended);
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(1_000..=40_000))
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.random.random_bool(probability.min(1.0))
    }

    fn respond(&mut self, node: usize, delay: Duration, event: LeaseEvent) {
        self.sequence += 1;
        self.responses.insert(self.sequence, event);
        self.push(delay, QueuedEvent::Deliver(node, self.sequence));
    }

    fn push(&mut self, delay: Duration, queued: QueuedEvent) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, queued)));
    }

    fn check_exclusive(&mut self) {
        let active = self.active();
        assert!(
            active.len() <= 1,
            "two nodes may act at {:?}: {active:?}",
            self.now
        );
        let Some((node, number)) = active.first().copied() else {
            return;
        };
        let last = self.held_leases.last();
        if last == Some(&(number, node)) {
            return;
        }
        assert!(
            last.is_none_or(|(held, _)| *held < number),
            "fencing number {number} follows {last:?}"
        );
        self.held_leases.push((number, node));
    }
}
