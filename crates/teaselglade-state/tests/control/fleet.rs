//! Simulates control planners of several zones and one platform in virtual time.

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

const STEP_INTERVAL: Duration = Duration::from_millis(250);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const LEASE_TERM: Duration = Duration::from_secs(12);
/// Simulation steps between two ticks of a planner.
const TICK_STEPS: u64 = 4;
/// Simulation steps after which the weight store grants one more fetch.
const FETCH_STEPS: u64 = 8;

/// Faults of calls; each rate is the fraction of calls affected, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallFaults {
    /// Calls that take effect but get no response.
    pub lost_responses: f64,
    /// Calls that take no effect and get no response.
    pub dropped: f64,
    /// Calls that take effect up to `max_delay` later and get no response.
    pub delayed: f64,
    pub max_delay: Duration,
}

#[derive(Debug)]
struct FleetNode {
    planner: ControlPlanner,
    zone: String,
    number: u64,
    has_lease: bool,
    paused_until: Timestamp,
    /// Number of restarts; responses to an earlier process are lost.
    epoch: u64,
}

#[derive(Debug)]
enum QueuedEvent {
    Execute {
        node: usize,
        epoch: u64,
        requested_at: Timestamp,
        action: ControlAction,
        responds: bool,
    },
    Respond {
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
    /// Number of reads of the cloud API's hosts.
    pub list_reads: u64,
    nodes: Vec<FleetNode>,
    queued: BTreeMap<(Timestamp, u64), QueuedEvent>,
    random: Pcg64Mcg,
    sequence: u64,
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
            queued: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            sequence: 0,
            steps: 0,
        }
    }

    /// Starts a process in `zone` that holds the lease with fencing number `number`.
    pub fn start_holder(&mut self, zone: &str, number: u64) -> usize {
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

    /// Revokes the lease; the process is not notified and stops acting when its term ends.
    pub fn revoke_lease(&mut self, node: usize) {
        self.nodes[node].has_lease = false;
    }

    pub fn pause(&mut self, node: usize, duration: Duration) {
        self.nodes[node].paused_until = self.platform.now + duration;
    }

    /// Kills a process; its pending responses are lost and another process takes over.
    pub fn replace(&mut self, node: usize, number: u64) -> usize {
        self.nodes[node].has_lease = false;
        self.nodes[node].epoch += 1;
        self.nodes[node].paused_until = Timestamp::from_micros(u64::MAX);
        let zone = self.nodes[node].zone.clone();
        self.start_holder(&zone, number)
    }

    pub fn publish(&mut self) {
        let table = self.platform.table.clone();
        for node in 0..self.nodes.len() {
            self.deliver(node, ControlEvent::TableChanged(table.clone()));
        }
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.platform.now + duration;
        while self.platform.now < end {
            self.platform.now = self.platform.now + STEP_INTERVAL;
            self.step();
        }
    }

    fn step(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(FETCH_STEPS) {
            self.platform.available_fetches = (self.platform.available_fetches + 1).min(2);
        }
        self.run_queued();
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
                valid_until: now + LEASE_TERM,
            };
            self.deliver(node, ControlEvent::LeaseChanged(Some(term)));
        }
    }

    fn run_queued(&mut self) {
        while let Some(entry) = self.queued.first_entry() {
            if entry.key().0 > self.platform.now {
                return;
            }
            match entry.remove() {
                QueuedEvent::Respond { node, epoch, event } => self.respond(node, epoch, event),
                QueuedEvent::Execute {
                    node,
                    epoch,
                    requested_at,
                    action,
                    responds,
                } => {
                    let event = self.execute(requested_at, action);
                    if let Some(event) = event.filter(|_| responds) {
                        self.respond(node, epoch, event);
                    }
                }
            }
        }
    }

    fn respond(&mut self, node: usize, epoch: u64, event: ControlEvent) {
        let state = &self.nodes[node];
        if state.epoch != epoch {
            return;
        }
        if self.platform.now < state.paused_until {
            let at = state.paused_until;
            self.push(at, QueuedEvent::Respond { node, epoch, event });
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
        let lost = !dropped && draw < faults.dropped + faults.lost_responses;
        let delayed =
            !dropped && !lost && draw < faults.dropped + faults.lost_responses + faults.delayed;
        if (dropped || lost || delayed)
            && let Some(event) = timeout_event(&action)
        {
            self.push(
                now + CALL_TIMEOUT,
                QueuedEvent::Respond { node, epoch, event },
            );
        }
        if dropped {
            return;
        }
        let delay = if delayed {
            let max_micros = faults.max_delay.as_micros() as u64;
            Duration::from_micros(self.random.random_range(0..=max_micros))
        } else {
            Duration::from_millis(self.random.random_range(20..500))
        };
        let responds = !lost && !delayed;
        self.push(
            now + delay,
            QueuedEvent::Execute {
                node,
                epoch,
                requested_at: now,
                action,
                responds,
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

    fn push(&mut self, at: Timestamp, queued: QueuedEvent) {
        self.sequence += 1;
        self.queued.insert((at, self.sequence), queued);
    }
}

/// Returns the event that a process receives for a call without a response.
fn timeout_event(action: &ControlAction) -> Option<ControlEvent> {
    let detail = "no response".to_owned();
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
            result: Err(CALL_TIMEOUT),
        },
        _ => return None,
    })
}
