//! Scripted scenarios of the control role; the audit trail of each is compared with a snapshot.

mod fleet;
mod platform;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use teaselglade_core::port::HostPurchase;
use teaselglade_core::table::parse_table;
use teaselglade_scenario::{ScenarioStep, parse_scenario};
use teaselglade_state::control::HostOffer;

use crate::fleet::Fleet;
use crate::platform::Platform;

const SEED: u64 = 11;
const HEADER: &str = "kind,name,first_token_ms,token_gap_ms,min_servers,fenced\n";

type Outcome<T = ()> = Result<T, Box<dyn std::error::Error>>;

/// Simulated fleet that the steps of a scenario change.
#[derive(Debug)]
struct ScenarioFleet {
    fleet: Fleet,
    rows: BTreeMap<String, String>,
    holders: BTreeMap<String, usize>,
}

fn run_scenario(path: &Path) -> datatest_stable::Result<()> {
    let steps = parse_scenario(&std::fs::read_to_string(path)?)?;
    let mut scenario = ScenarioFleet {
        fleet: Fleet::new(Platform::default(), SEED),
        rows: BTreeMap::new(),
        holders: BTreeMap::new(),
    };
    let mut now = Duration::ZERO;
    for step in &steps {
        scenario.fleet.run(step.at.saturating_sub(now));
        now = step.at;
        scenario.apply(step)?;
    }
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../scenarios/control/snapshots");
    settings.set_prepend_module_to_snapshot(false);
    let trace = scenario.fleet.trace.join("\n");
    settings.bind(|| insta::assert_snapshot!(name.as_ref(), trace));
    Ok(())
}

impl ScenarioFleet {
    fn apply(&mut self, step: &ScenarioStep) -> Outcome {
        match step.verb.as_str() {
            "offer" => self.offer(step)?,
            "service" => self.service(step)?,
            "gain" => {
                let zone = step.word(0)?.to_owned();
                let node = self.fleet.start_holder(&zone, step.value("number")?);
                self.holders.insert(zone, node);
            }
            "lose" => self.fleet.revoke_lease(self.holder(step)?),
            "kill" => {
                let number = step.value("number")?;
                let node = self.fleet.replace(self.holder(step)?, number);
                self.holders.insert(step.word(0)?.to_owned(), node);
            }
            "pause" => {
                let duration = step.opt_duration("for")?.unwrap_or_default();
                self.fleet.pause(self.holder(step)?, duration);
            }
            "refuse" => {
                let kind = kind(step)?;
                self.fleet.platform.rejected_offers.insert(kind);
            }
            "allow" => {
                let kind = kind(step)?;
                self.fleet.platform.rejected_offers.remove(&kind);
            }
            "notice" => self.notice(step)?,
            "lose-answers" => self.fleet.faults.lost_responses = step.value("part")?,
            "end" => self.count_hosts(),
            other => return Err(step.fault(format!("unknown verb `{other}`")).into()),
        }
        Ok(())
    }

    fn offer(&mut self, step: &ScenarioStep) -> Outcome {
        let (zone, class, purchase) = kind(step)?;
        self.fleet.platform.entry_zones.insert(zone.clone());
        self.fleet.platform.offers.push(HostOffer {
            zone,
            class,
            purchase,
            cents_per_hour: step.value("cents")?,
        });
        Ok(())
    }

    fn service(&mut self, step: &ScenarioStep) -> Outcome {
        let name = step.word(0)?.to_owned();
        let fenced = step.opt_value::<String>("fenced")?;
        let fenced = fenced.unwrap_or_else(|| "yes".to_owned());
        let row = format!(
            "model,{name},360,47,{},{fenced}\n",
            step.value::<u32>("min")?
        );
        self.rows.insert(name, row);
        let rows = self.rows.values().map(String::as_str).collect::<String>();
        self.fleet.platform.table = parse_table(&format!("{HEADER}{rows}"))?;
        self.fleet.publish();
        Ok(())
    }

    fn notice(&mut self, step: &ScenarioStep) -> Outcome {
        let duration = step.opt_duration("in")?.unwrap_or_default();
        let zone = step.opt_value::<String>("zone")?;
        let name = step.words.first();
        for index in 0..self.fleet.platform.hosts.len() {
            let host = &self.fleet.platform.hosts[index];
            let is_named = name.is_some_and(|name| host.name.as_str() == name);
            if is_named || zone.as_ref() == Some(&host.order.zone) {
                self.fleet.platform.send_notice(index, duration);
            }
        }
        Ok(())
    }

    fn count_hosts(&mut self) {
        for service in self.rows.keys() {
            let staying = self.fleet.platform.staying(service).len();
            let ordered = self.fleet.platform.hosts.len();
            let line = format!("end: {staying} hosts of {service} stay, {ordered} were started");
            self.fleet.trace.push(line);
        }
    }

    fn holder(&self, step: &ScenarioStep) -> Outcome<usize> {
        let holder = self.holders.get(step.word(0)?).copied();
        Ok(holder.ok_or_else(|| step.fault("no holder in this zone"))?)
    }
}

fn kind(step: &ScenarioStep) -> Outcome<(String, String, HostPurchase)> {
    let purchase = match step.word(2)? {
        "reclaimable" => HostPurchase::Reclaimable,
        "on-demand" => HostPurchase::OnDemand,
        other => return Err(step.fault(format!("unknown purchase `{other}`")).into()),
    };
    Ok((step.word(0)?.to_owned(), step.word(1)?.to_owned(), purchase))
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios/control", pattern = r".*\.scenario$" },
}
