//! Runner of the membership scenarios, on a fleet of nine entry hosts.
//!
//! `notice HOST at=N` and `table V at=N` deliver a leaving notice or a table version to node N;
//! `down N`, `up N` and `replace N` stop, resume and replace a node; `part N...` partitions nodes
//! from the rest and `heal` ends the partition; `list` gives every node a stale host list that
//! shows no host as leaving; `loss P` sets the probability of message loss; `show HOST` writes how
//! many running nodes know that the host is leaving, and their live peers and table versions.

use std::fmt::Write as _;

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::time::Timestamp;
use teaselglade_scenario::{Result, ScenarioStep};
use teaselglade_state::membership::MembershipEvent;

use super::virtual_fleet::{NetworkFaults, VirtualFleet};

const NODES: usize = 9;
const SEED: u64 = 11;

#[derive(Debug)]
pub struct MembershipRunner {
    fleet: VirtualFleet,
    start: Timestamp,
    trace: String,
}

impl MembershipRunner {
    pub fn new() -> Self {
        let fleet = VirtualFleet::new(NODES, SEED, true);
        Self {
            start: fleet.now,
            fleet,
            trace: String::new(),
        }
    }

    pub fn trace(&self) -> &str {
        &self.trace
    }

    pub fn perform(&mut self, step: &ScenarioStep) -> Result<()> {
        let end = self.start + step.at;
        self.fleet.run_for(end - self.fleet.now);
        match step.verb.as_str() {
            "notice" => self.fleet.notice(step.value("at")?, step.word(0)?),
            "table" => {
                let version = number(step, 0)? as u64;
                self.fleet.activate_table(step.value("at")?, version);
            }
            "down" => self.fleet.nodes[number(step, 0)?].is_down = true,
            "up" => {
                let index = number(step, 0)?;
                self.fleet.nodes[index].is_down = false;
                self.fleet.handle(index, MembershipEvent::Wake);
            }
            "replace" => self.fleet.replace(number(step, 0)?),
            "part" => {
                for word in 0..step.words.len() {
                    self.fleet.nodes[number(step, word)?].partition = 1;
                }
            }
            "heal" => self
                .fleet
                .nodes
                .iter_mut()
                .for_each(|node| node.partition = 0),
            "list" => self.deliver_stale_list(),
            "loss" => {
                let loss = step.word(0)?.parse();
                let loss = loss.map_err(|_error| step.fault("expected a probability"))?;
                self.fleet.faults = NetworkFaults {
                    loss,
                    ..NetworkFaults::default()
                };
            }
            "show" => self.show(step)?,
            other => return Err(step.fault(format!("unknown verb `{other}`"))),
        }
        Ok(())
    }

    fn deliver_stale_list(&mut self) {
        let list = self.fleet.host_list();
        for index in 0..NODES {
            let event = MembershipEvent::HostList(list.clone());
            self.fleet.handle(index, event);
        }
    }

    fn show(&mut self, step: &ScenarioStep) -> Result<()> {
        let host = HostName::new(step.word(0)?);
        let nodes = || self.fleet.nodes.iter().filter(|node| !node.is_down);
        let informed = nodes().filter(|node| node.machine.is_leaving(&host, HostIncarnation(1)));
        let informed = informed.count();
        let live = nodes().map(|node| node.machine.live_members().count());
        let live = live.collect::<Vec<_>>();
        let tables = nodes().map(|node| node.table_version).collect::<Vec<_>>();
        let text = format!("{informed} know {host}; live peers {live:?}; tables {tables:?}");
        writeln!(self.trace, "{:>8}ms {text}", step.at.as_millis())
            .expect("writing to a string succeeds");
        Ok(())
    }
}

fn number(step: &ScenarioStep, word: usize) -> Result<usize> {
    let number = step.word(word)?.parse();
    number.map_err(|_error| step.fault("expected the number of a node"))
}
