//! Scripted lease scenarios; the trace of each is compared with a snapshot.

mod cluster;

use std::path::Path;
use std::time::Duration;

use teaselglade_scenario::{ScenarioStep, parse_scenario};
use teaselglade_state::lease::LeaseTimings;

use crate::cluster::LeaseCluster;

const SEED: u64 = 11;

type Outcome<T = ()> = Result<T, Box<dyn std::error::Error>>;

fn run_scenario(path: &Path) -> datatest_stable::Result<()> {
    let steps = parse_scenario(&std::fs::read_to_string(path)?)?;
    let mut cluster = LeaseCluster::new(LeaseTimings::default(), SEED);
    let mut now = Duration::ZERO;
    for step in &steps {
        cluster.run(step.at.saturating_sub(now));
        now = step.at;
        apply(&mut cluster, step)?;
    }
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut settings = insta::Settings::clone_current();
    settings.set_snapshot_path("../scenarios/lease/snapshots");
    settings.set_prepend_module_to_snapshot(false);
    settings.bind(|| insta::assert_snapshot!(name.as_ref(), cluster.trace.join("\n")));
    Ok(())
}

fn apply(cluster: &mut LeaseCluster, step: &ScenarioStep) -> Outcome {
    match step.verb.as_str() {
        "start" => {
            let rate = step.opt_value("rate")?.unwrap_or(1.0);
            let offset = step.opt_duration("clock")?.unwrap_or_default();
            cluster.start(step.word(0)?, rate, offset);
        }
        "pause" => {
            let duration = step.opt_duration("for")?.unwrap_or_default();
            let node = node(cluster, step)?;
            cluster.pause(node, duration);
        }
        "kill" => {
            let node = node(cluster, step)?;
            cluster.kill(node);
        }
        "stop" => {
            let node = node(cluster, step)?;
            cluster.stop(node);
        }
        "log" => apply_fault(cluster, step)?,
        "end" => {}
        other => return Err(step.fault(format!("unknown verb `{other}`")).into()),
    }
    Ok(())
}

fn node(cluster: &LeaseCluster, step: &ScenarioStep) -> Outcome<usize> {
    let name = step.word(0)?;
    let found = cluster.nodes.iter().rposition(|node| node.name == name);
    Ok(found.ok_or_else(|| step.fault("no node of this name was started"))?)
}

fn apply_fault(cluster: &mut LeaseCluster, step: &ScenarioStep) -> Outcome {
    match step.word(0)? {
        "down" => cluster.faults.is_down = true,
        "up" => cluster.faults = cluster::LogFaults::default(),
        "lose-answers" => cluster.faults.lost_responses = 1.0,
        "land-late" => {
            cluster.faults.delayed_writes = 1.0;
            cluster.faults.max_delay = step.opt_duration("by")?.unwrap_or_default();
        }
        "keep" => cluster.drop_old(step.value("records")?),
        "restore" => cluster.restore_log(step.value("lost")?),
        other => return Err(step.fault(format!("unknown fault `{other}`")).into()),
    }
    Ok(())
}

datatest_stable::harness! {
    { test = run_scenario, root = "tests/scenarios/lease", pattern = r".*\.scenario$" },
}
