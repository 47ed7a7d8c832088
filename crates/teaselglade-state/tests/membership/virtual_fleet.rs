//! Simulated fleet of membership state machines in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{ListedHost, ListedRole};
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{
    LeavingNotice, MembershipAction, MembershipEvent, MembershipMachine, MembershipSettings,
};

pub const CLUSTER: &str = "halloran";
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Clone, Copy)]
pub struct NetworkFaults {
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Duration,
}

impl Default for NetworkFaults {
    fn default() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(5),
        }
    }
}

#[derive(Debug)]
pub struct FleetNode {
    pub machine: MembershipMachine,
    pub name: HostName,
    pub incarnation: HostIncarnation,
    pub address: SocketAddr,
    pub is_down: bool,
    pub partition: u8,
    pub table_version: u64,
    pub pulls: u64,
    pub leaving_hosts: BTreeMap<HostName, Timestamp>,
    pub received_bytes: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Wake {
        node: usize,
    },
    Request {
        from: usize,
        to: usize,
        call: u64,
        body: Bytes,
    },
    Answer {
        from: usize,
        to: usize,
        call: u64,
        body: Bytes,
    },
    Timeout {
        node: usize,
        peer: usize,
        call: u64,
    },
    Pull {
        node: usize,
        from: usize,
    },
}

#[derive(Debug)]
pub struct VirtualFleet {
    pub now: Timestamp,
    pub nodes: Vec<FleetNode>,
    pub faults: NetworkFaults,
    pushes_updates: bool,
    queue: BinaryHeap<Reverse<(Timestamp, u64, FleetEvent)>>,
    open_calls: BTreeMap<u64, usize>,
    next_number: u64,
    random: Pcg64Mcg,
}

impl VirtualFleet {
    pub fn new(size: usize, seed: u64, pushes_updates: bool) -> Self {
        let mut fleet = Self {
            now: Timestamp::from_millis(1_000_000),
            nodes: Vec::new(),
            faults: NetworkFaults::default(),
            pushes_updates,
            queue: BinaryHeap::new(),
            open_calls: BTreeMap::new(),
            next_number: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        };
        for index in 0..size {
            let node = fleet.make_node(index, HostIncarnation(1));
            fleet.nodes.push(node);
        }
        let list = fleet.host_list();
        for index in 0..size {
            fleet.handle(index, MembershipEvent::HostList(list.clone()));
            fleet.schedule_wake(index);
        }
        fleet
    }

    pub fn host_list(&self) -> Vec<ListedHost> {
        self.nodes.iter().map(listed_host).collect()
    }

    /// Replaces a node by a new incarnation of the same name that has read the host list.
    pub fn replace(&mut self, index: usize) {
        let incarnation = HostIncarnation(self.nodes[index].incarnation.0 + 1);
        self.nodes[index] = self.make_node(index, incarnation);
        let list = self.host_list();
        self.handle(index, MembershipEvent::HostList(list));
        self.schedule_wake(index);
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until the condition holds or `end` is reached, and returns whether it holds.
    pub fn run_until(&mut self, end: Timestamp, is_done: impl Fn(&Self) -> bool) -> bool {
        loop {
            if is_done(self) {
                return true;
            }
            match self.queue.peek() {
                Some(Reverse((at, _, _))) if *at <= end => {}
                _ => break,
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = at;
            self.process(event);
        }
        self.now = end;
        is_done(self)
    }

    pub fn notice(&mut self, origin: usize, host: &str) {
        let notice = LeavingNotice {
            host: HostName::new(host),
            incarnation: HostIncarnation(1),
            is_entry: false,
            issued: self.now,
            deadline: self.now + Duration::from_secs(30),
        };
        self.handle(origin, MembershipEvent::NoticeReceived(notice));
        self.schedule_wake(origin);
    }

    pub fn activate_table(&mut self, at: usize, version: u64) {
        if version > self.nodes[at].table_version {
            self.nodes[at].table_version = version;
            self.handle(at, MembershipEvent::TableActivated { version });
            self.schedule_wake(at);
        }
    }

    pub fn handle(&mut self, index: usize, event: MembershipEvent) -> Vec<MembershipAction> {
        let actions = self.nodes[index].machine.on_event(self.now, event);
        for action in &actions {
            self.perform(index, action);
        }
        actions
    }

    fn make_node(&self, index: usize, incarnation: HostIncarnation) -> FleetNode {
        let name = HostName::new(format!("zone{}-e{index}", index % 16));
        let port = 10_000 + index as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let settings = MembershipSettings::new(CLUSTER, name.clone(), address)
            .incarnation(incarnation)
            .zone(format!("zone{}", index % 16))
            .seed(index as u64 * 7_919 + incarnation.0)
            .pushes_updates(self.pushes_updates);
        FleetNode {
            machine: MembershipMachine::new(self.now, settings),
            name,
            incarnation,
            address,
            is_down: false,
            partition: 0,
            table_version: 0,
            pulls: 0,
            leaving_hosts: BTreeMap::new(),
            received_bytes: 0,
        }
    }

    fn perform(&mut self, index: usize, action: &MembershipAction) {
        match action {
            MembershipAction::Send { address, body, .. } => {
                self.send(index, address.port() as usize - 10_000, body);
            }
            MembershipAction::PullTable { address, .. } => {
                let from = address.port() as usize - 10_000;
                self.nodes[index].pulls += 1;
                let delay = self.delay() + self.delay();
                self.push(delay, FleetEvent::Pull { node: index, from });
            }
            MembershipAction::HostLeaving(notice) => {
                let now = self.now;
                let seen = &mut self.nodes[index].leaving_hosts;
                seen.entry(notice.host.clone()).or_insert(now);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, body: &Bytes) {
        let call = self.next_number;
        self.open_calls.insert(call, from);
        let timeout = FleetEvent::Timeout {
            node: from,
            peer: to,
            call,
        };
        self.push(CALL_TIMEOUT, timeout);
        let request = FleetEvent::Request {
            from,
            to,
            call,
            body: body.clone(),
        };
        self.transmit(from, to, &request);
    }

    fn transmit(&mut self, from: usize, to: usize, event: &FleetEvent) {
        let is_partitioned = self.nodes[from].partition != self.nodes[to].partition;
        if is_partitioned || self.random.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let delay = self.delay();
            self.push(delay, event.clone());
        }
    }

    fn delay(&mut self) -> Duration {
        self.faults.max_delay.mul_f64(self.random.random::<f64>())
    }

    fn push(&mut self, delay: Duration, event: FleetEvent) {
        self.next_number += 1;
        let entry = (self.now + delay, self.next_number, event);
        self.queue.push(Reverse(entry));
    }

    fn schedule_wake(&mut self, node: usize) {
        let wake = self.nodes[node].machine.next_wake();
        self.push(wake - self.now, FleetEvent::Wake { node });
    }

    fn process(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Wake { node } => self.wake(node),
            FleetEvent::Request {
                from,
                to,
                call,
                body,
            } => self.request(from, to, call, body),
            FleetEvent::Answer {
                from,
                to,
                call,
                body,
            } => {
                if self.open_calls.remove(&call).is_some() && !self.nodes[to].is_down {
                    self.nodes[to].received_bytes += body.len() as u64;
                    let peer = self.nodes[from].name.clone();
                    self.handle(to, MembershipEvent::AnswerReceived { peer, body });
                    self.schedule_wake(to);
                }
            }
            FleetEvent::Timeout { node, peer, call } => {
                if self.open_calls.remove(&call).is_some() && !self.nodes[node].is_down {
                    let peer = self.nodes[peer].name.clone();
                    self.handle(node, MembershipEvent::CallFailed { peer });
                    self.schedule_wake(node);
                }
            }
            FleetEvent::Pull { node, from } => {
                let is_partitioned = self.nodes[node].partition != self.nodes[from].partition;
                if !is_partitioned && !self.nodes[from].is_down && !self.nodes[node].is_down {
                    self.activate_table(node, self.nodes[from].table_version);
                }
            }
        }
    }

    fn wake(&mut self, node: usize) {
        let is_due = self.now >= self.nodes[node].machine.next_wake();
        if self.nodes[node].is_down || !is_due {
            return;
        }
        self.handle(node, MembershipEvent::Wake);
        self.schedule_wake(node);
    }

    fn request(&mut self, from: usize, to: usize, call: u64, body: Bytes) {
        if self.nodes[to].is_down {
            return;
        }
        self.nodes[to].received_bytes += body.len() as u64;
        let actions = self.handle(to, MembershipEvent::Request { token: call, body });
        for action in actions {
            if let MembershipAction::Answer { body, .. } = action {
                let answer = FleetEvent::Answer {
                    from: to,
                    to: from,
                    call,
                    body,
                };
                self.transmit(to, from, &answer);
            }
        }
        self.schedule_wake(to);
    }
}

pub fn listed_host(node: &FleetNode) -> ListedHost {
    ListedHost {
        name: node.name.clone(),
        incarnation: node.incarnation,
        role: ListedRole::Entry,
        address: node.address,
        zone: "zone".to_owned(),
        class: String::new(),
        service: String::new(),
        cents_per_hour: 0.0,
        reclaimable: true,
        leaving: false,
    }
}
