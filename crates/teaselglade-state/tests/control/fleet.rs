//! Control planners of several zones around one platform, on virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::{CloudError, EngineError};
use teaselglade_core::time::Timestamp;
use teaselglade_state::control::{
    ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlPlanner, ControlTerm,
    EngineProfile,
};
use teaselglade_state::lease::LeaseNumber;

use crate::platform::Platform;

const STEP: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(2);
const TERM: Duration = Duration::from_secs(12);
/// Steps between two ticks of a planner.
const TICK_STEPS: u64 = 4;
/// Steps in which the weight store grants one more fetch.
const FETCH_STEPS: u64 = 8;

/// What happens to calls, each as a part of all calls from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallFaults {
    pub lost_answers: f64,
    pub dropped: f64,
    pub late: f64,
    pub longest_delay: Duration,
}

#[derive(Debug)]
struct FleetNode {
    planner: ControlPlanner,
    zone: String,
    number: u64,
    has_lease: bool,
    paused_until: Timestamp,
    /// Start of the process; answers to an earlier one are lost.
    epoch: u64,
}

#[derive(Debug)]
enum Due {
    Effect {
        node: usize,
        epoch: u64,
        requested_at: Timestamp,
        action: ControlAction,
        answers: bool,
    },
    Answer {
        node: usize,
        epoch: u64,
        event: ControlEvent,
    },
}

#[derive(Debug)]
pub struct Fleet {
    pub platform: Platform,
    pub faults: CallFaults,
    pub profiles: Vec<EngineProfile>,
    pub trace: Vec<String>,
    pub orders_sent: u64,
    /// Reads of the cloud API's hosts.
    pub list_reads: u64,
    nodes: Vec<FleetNode>,
    due: BTreeMap<(Timestamp, u64), Due>,
    random: Pcg64Mcg,
    ticket: u64,
    steps: u64,
}

impl Fleet {
    pub fn new(platform: Platform, seed: u64) -> Self {
        Self {
            platform,
            faults: CallFaults::default(),
            profiles: Vec::new(),
            trace: Vec::new(),
            orders_sent: 0,
            list_reads: 0,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            ticket: 0,
            steps: 0,
        }
    }

    /// Starts a process in `zone` that holds the lease under `number`.
    pub fn gain(&mut self, zone: &str, number: u64) -> usize {
        let planner = ControlPlanner::new(ControlOptions {
            host: format!("{zone}-e{number}"),
            zone: zone.to_owned(),
            offers: self.platform.offers.clone(),
            profiles: self.profiles.clone(),
            limits: ControlLimits::default(),
            seed: self.random.random(),
        });
        self.nodes.push(FleetNode {
            planner,
            zone: zone.to_owned(),
            number,
            has_lease: true,
            paused_until: Timestamp::ZERO,
            epoch: 0,
        });
        let node = self.nodes.len() - 1;
        let table = self.platform.table.clone();
        self.deliver(node, ControlEvent::TableChanged(table));
        node
    }

    /// Takes the lease away; the process is not told and stops at the end of its term.
    pub fn lose(&mut self, node: usize) {
        self.nodes[node].has_lease = false;
    }

    pub fn pause(&mut self, node: usize, span: Duration) {
        self.nodes[node].paused_until = self.platform.now + span;
    }

    /// Kills a process; answers to it are lost, and another one takes over.
    pub fn replace(&mut self, node: usize, number: u64) -> usize {
        self.nodes[node].has_lease = false;
        self.nodes[node].epoch += 1;
        self.nodes[node].paused_until = Timestamp::from_micros(u64::MAX);
        let zone = self.nodes[node].zone.clone();
        self.gain(&zone, number)
    }

    pub fn publish(&mut self) {
        let table = self.platform.table.clone();
        for node in 0..self.nodes.len() {
            self.deliver(node, ControlEvent::TableChanged(table.clone()));
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.platform.now + span;
        while self.platform.now < end {
            self.platform.now = self.platform.now + STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(FETCH_STEPS) {
            self.platform.fetches = (self.platform.fetches + 1).min(2);
        }
        self.run_due();
        if !self.steps.is_multiple_of(TICK_STEPS) {
            return;
        }
        for node in 0..self.nodes.len() {
            self.renew(node);
            self.deliver(node, ControlEvent::Tick);
        }
    }

    fn renew(&mut self, node: usize) {
        let now = self.platform.now;
        let state = &self.nodes[node];
        if state.has_lease {
            let term = ControlTerm {
                number: LeaseNumber(state.number),
                valid_until: now + TERM,
            };
            self.deliver(node, ControlEvent::LeaseChanged(Some(term)));
        }
    }

    fn run_due(&mut self) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > self.platform.now {
                return;
            }
            match entry.remove() {
                Due::Answer { node, epoch, event } => self.answer(node, epoch, event),
                Due::Effect {
                    node,
                    epoch,
                    requested_at,
                    action,
                    answers,
                } => {
                    let event = self.execute(requested_at, action);
                    if let Some(event) = event.filter(|_| answers) {
                        self.answer(node, epoch, event);
                    }
                }
            }
        }
    }

    fn answer(&mut self, node: usize, epoch: u64, event: ControlEvent) {
        let state = &self.nodes[node];
        if state.epoch != epoch {
            return;
        }
        if self.platform.now < state.paused_until {
            let at = state.paused_until;
            self.push(at, Due::Answer { node, epoch, event });
            return;
        }
        self.deliver(node, event);
    }

    fn deliver(&mut self, node: usize, event: ControlEvent) {
        let now = self.platform.now;
        let state = &mut self.nodes[node];
        if now < state.paused_until {
            return;
        }
        for action in state.planner.on_event(now, event) {
            self.call(node, action);
        }
    }

    fn call(&mut self, node: usize, action: ControlAction) {
        if let ControlAction::Record(entry) = action {
            let seconds = self.platform.now.as_millis() as f64 / 1_000.0;
            let to = entry.to.unwrap_or_default();
            let line = format!(
                "{seconds:.1}s {} {} {} {to}",
                entry.actor, entry.action, entry.subject
            );
            self.trace.push(line.trim_end().to_owned());
            return;
        }
        self.orders_sent += u64::from(matches!(action, ControlAction::OrderHost(_)));
        self.list_reads += u64::from(matches!(action, ControlAction::ReadCloud));
        let now = self.platform.now;
        let epoch = self.nodes[node].epoch;
        let draw = self.random.random_range(0.0..1.0);
        let faults = self.faults;
        let dropped = draw < faults.dropped;
        let lost = !dropped && draw < faults.dropped + faults.lost_answers;
        let late = !dropped && !lost && draw < faults.dropped + faults.lost_answers + faults.late;
        if (dropped || lost || late)
            && let Some(event) = unknown_answer(&action)
        {
            self.push(now + TIMEOUT, Due::Answer { node, epoch, event });
        }
        if dropped {
            return;
        }
        let delay = if late {
            let longest = faults.longest_delay.as_micros() as u64;
            Duration::from_micros(self.random.random_range(0..=longest))
        } else {
            Duration::from_millis(self.random.random_range(20..500))
        };
        let answers = !lost && !late;
        self.push(
            now + delay,
            Due::Effect {
                node,
                epoch,
                requested_at: now,
                action,
                answers,
            },
        );
    }

    fn execute(&mut self, requested_at: Timestamp, action: ControlAction) -> Option<ControlEvent> {
        let platform = &mut self.platform;
        Some(match action {
            ControlAction::ReadHosts => ControlEvent::HostsRead {
                requested_at,
                hosts: platform.listed_hosts(),
            },
            ControlAction::ReadCloud => ControlEvent::CloudRead {
                requested_at,
                hosts: platform.cloud_hosts(),
            },
            ControlAction::ReadNotices { after } => {
                let notices = platform.notices.iter().filter(|n| n.number > after);
                ControlEvent::NoticesRead(notices.cloned().collect())
            }
            ControlAction::OrderHost(order) => ControlEvent::HostOrdered {
                result: platform.order(&order),
                token: order.token,
            },
            ControlAction::ReleaseHost(host) => {
                platform.release(&host);
                ControlEvent::HostReleased {
                    host,
                    result: Ok(()),
                }
            }
            ControlAction::ReadEngine { host, .. } => ControlEvent::EngineRead {
                result: platform.read_engine(&host),
                host,
            },
            ControlAction::OrderEngine { host, order, .. } => ControlEvent::EngineOrdered {
                result: platform.order_engine(&host, order),
                host,
            },
            ControlAction::ReadReport { host, .. } => ControlEvent::ReportRead {
                report: platform.report(&host)?,
                host,
                requested_at,
            },
            ControlAction::Reserve { item } => ControlEvent::Reserved {
                item,
                result: platform.reserve(),
            },
            ControlAction::Record(_) => return None,
        })
    }

    fn push(&mut self, at: Timestamp, due: Due) {
        self.ticket += 1;
        self.due.insert((at, self.ticket), due);
    }
}

/// Returns what a process learns of a call that got no answer.
fn unknown_answer(action: &ControlAction) -> Option<ControlEvent> {
    let detail = "no answer".to_owned();
    Some(match action {
        ControlAction::OrderHost(order) => ControlEvent::HostOrdered {
            token: order.token.clone(),
            result: Err(CloudError::Unknown { detail }),
        },
        ControlAction::ReleaseHost(host) => ControlEvent::HostReleased {
            host: host.clone(),
            result: Err(CloudError::Unknown { detail }),
        },
        ControlAction::ReadEngine { host, .. } => ControlEvent::EngineRead {
            host: host.clone(),
            result: Err(EngineError::Unknown { detail }),
        },
        ControlAction::OrderEngine { host, .. } => ControlEvent::EngineOrdered {
            host: host.clone(),
            result: Err(EngineError::Unknown { detail }),
        },
        ControlAction::Reserve { item } => ControlEvent::Reserved {
            item: item.clone(),
            result: Err(TIMEOUT),
        },
        _ => return None,
    })
}
