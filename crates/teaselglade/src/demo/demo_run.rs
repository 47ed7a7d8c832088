//! Runs the demo and collects its summary.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{Result, eyre};
use teaselglade_core::table::parse_table;
use teaselglade_standins::cloud::CloudRegistry;
use teaselglade_wire::CloudState;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use super::demo_callers::{DemoCallers, update_tally};
use super::demo_fleet::DemoFleet;
use super::demo_tally::DemoTally;
use super::{DemoPlan, DemoSummary};

const RECLAIM_NOTICE: Duration = Duration::from_secs(2);
const COST_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const SAMPLES_PER_PROGRESS_LINE: u64 = 10;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Runs a fleet under load, reclaims one data centre midway and returns the totals.
///
/// # Errors
///
/// Returns an error if the fleet does not start, the table lacks a model or a plain service, or
/// the cost measurement ends early.
pub async fn run_demo(plan: DemoPlan) -> Result<DemoSummary> {
    let fleet = DemoFleet::start(&plan.fleet, plan.entries).await?;
    let tally = Arc::new(Mutex::new(DemoTally::new(&plan.fleet.name)));
    let table = parse_table(&plan.fleet.table)?;
    let callers = DemoCallers::new(fleet.callers(), table, Arc::clone(&tally), plan.seed);
    let callers = callers.ok_or_else(|| eyre!("the table lacks a model or a plain service"))?;
    let cloud = &fleet.standins.cloud;
    let reclaim_task = reclaim_zone(
        Arc::clone(cloud),
        plan.fleet.zones[0].clone(),
        plan.duration / 2,
    );
    let load = async { tokio::join!(callers.run(plan.rate, plan.duration), reclaim_task) };
    let mut cost_cents = 0.0;
    let ((), reclaimed_hosts) = tokio::select! {
        done = load => done,
        () = measure_cost(cloud, &tally, &mut cost_cents, plan.show_progress) => {
            return Err(eyre!("the cost measurement ended early"));
        }
    };
    let replacement_hosts = cloud.hosts().len() - plan.fleet.servers.len();
    let executions = fleet.standins.pool.executions();
    fleet.stop().await;
    let duplicated = executions
        .keyed
        .values()
        .map(|count| u64::from(count.saturating_sub(1)));
    let tally = Arc::into_inner(tally).ok_or_else(|| eyre!("a caller is still running"))?;
    let tally = tally.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut summary = tally.finish(|key| executions.keyed.get(key).copied().unwrap_or(0));
    summary.duplicated_executions = duplicated.sum();
    summary.reclaimed_hosts = reclaimed_hosts as u64;
    summary.replacement_hosts = replacement_hosts as u64;
    summary.cost_cents = cost_cents;
    Ok(summary)
}

async fn reclaim_zone(cloud: Arc<CloudRegistry>, zone: String, after: Duration) -> usize {
    sleep(after).await;
    cloud.reclaim_zone(&zone, RECLAIM_NOTICE)
}

/// Adds up the cost of all hosts and prints the progress; never returns.
async fn measure_cost(
    cloud: &CloudRegistry,
    tally: &Mutex<DemoTally>,
    cost_cents: &mut f64,
    show_progress: bool,
) {
    let started = Instant::now();
    let mut last_sample = started;
    let mut sample_interval = interval(COST_SAMPLE_INTERVAL);
    sample_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sample_count = 0;
    loop {
        let now = sample_interval.tick().await;
        let hosts = cloud.hosts();
        let billed = hosts.iter().filter(|host| host.state != CloudState::Gone);
        let cents_per_hour = billed.clone().map(|host| host.cents_per_hour).sum::<f64>();
        *cost_cents += cents_per_hour * (now - last_sample).as_secs_f64() / SECONDS_PER_HOUR;
        last_sample = now;
        if show_progress && sample_count % SAMPLES_PER_PROGRESS_LINE == 0 {
            let leaving = hosts
                .iter()
                .filter(|host| host.state == CloudState::Leaving)
                .count();
            let second = started.elapsed().as_secs();
            update_tally(tally, |tally| {
                print_progress(second, billed.count(), leaving, tally.summary());
            });
        }
        sample_count += 1;
    }
}

fn print_progress(second: u64, hosts: usize, leaving: usize, summary: &DemoSummary) {
    println!(
        "{second:>3} s  hosts {hosts:>3} (leaving {leaving:>2})  sent {:>5}  whole {:>5}  \
         refused {:>3}  lost {}",
        summary.sent, summary.whole, summary.refused_not_run, summary.lost
    );
}
