//! A new replica always finds a snapshot in the log to start from.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_core::port::LogRecord;
use teaselglade_core::time::Timestamp;
use teaselglade_state::table::{SnapshotDecision, SnapshotScheduler, TableReplica};

use super::fake_log::{AppendFault, FakeLog};
use super::support::{CLUSTER, ReferenceReplay, body, publication, read_to_end, valid_csv};

const RETENTION: Duration = Duration::from_hours(2);
const OUTAGE_DURATION: Duration = Duration::from_hours(1);
const STEP_DURATION: Duration = Duration::from_mins(1);
const NEW_REPLICA_STEPS: u64 = 7;
const RUN_DURATION: Duration = Duration::from_hours(8);

#[derive(Debug)]
struct SchedulerHost {
    replica: TableReplica,
    scheduler: SnapshotScheduler,
}

impl SchedulerHost {
    fn new(seed: u64) -> Self {
        Self {
            replica: TableReplica::new(CLUSTER),
            scheduler: SnapshotScheduler::new(RETENTION, seed),
        }
    }

    fn step(&mut self, now: Timestamp, log: &mut FakeLog, fault: AppendFault) {
        read_to_end(&mut self.replica, log);
        if let SnapshotDecision::Append { body } = self.scheduler.decide(now, &self.replica) {
            let result = log.append(now, body, fault);
            drop(result);
        }
    }
}

fn drop_old_records(log: &mut FakeLog, now: Timestamp) {
    let is_old = |record: &&LogRecord| now - record.appended > RETENTION;
    let dropped = log.all.iter().take_while(is_old).count() as u64;
    log.first = log.first.max(dropped);
}

fn run(outage_start: u64, publish_every: u64, losses: &[bool], with_schedulers: bool) -> u64 {
    let mut log = FakeLog::default();
    let mut hosts = (0..3).map(SchedulerHost::new).collect::<Vec<_>>();
    let mut now = Timestamp::ZERO;
    let mut published = 0;
    let mut reference = ReferenceReplay::new();
    for step in 0..RUN_DURATION.as_secs() / STEP_DURATION.as_secs() {
        now = now + STEP_DURATION;
        let outage = Timestamp::ZERO + Duration::from_secs(outage_start);
        log.is_unavailable = now >= outage && now < outage + OUTAGE_DURATION;
        drop_old_records(&mut log, now);
        if !log.is_unavailable && step % publish_every == 0 && step < 400 {
            reference.extend(&log.all);
            let base = reference.head().0;
            let change = publication(&format!("p{step}"), base, &valid_csv(step));
            log.push(now, body(change));
            published += 1;
        }
        let is_lost = losses[step as usize % losses.len()];
        let fault = if is_lost {
            AppendFault::LostBeforeEffect
        } else {
            AppendFault::None
        };
        if with_schedulers {
            for host in &mut hosts {
                host.step(now, &mut log, fault);
            }
        }
        if step % 100 == 99 {
            hosts[(step / 100) as usize % 3] = SchedulerHost::new(step);
        }
        if !log.is_unavailable && step % NEW_REPLICA_STEPS == 0 {
            let mut new_replica = TableReplica::new(CLUSTER);
            read_to_end(&mut new_replica, &log);
            assert!(new_replica.is_caught_up(), "no base snapshot at {now:?}");
            reference.extend(&log.all);
            assert_eq!(new_replica.head().version, reference.head().0);
        }
    }
    log.all.len() as u64 - published
}

proptest! {
    #[test]
    fn new_replica_finds_the_head_despite_outages_and_losses(
        outage_start in 0_u64..24_000,
        publish_every in 1_u64..200,
        mut losses in prop::collection::vec(prop::bool::weighted(0.3), 1..20),
    ) {
        losses.push(false);
        run(outage_start, publish_every, &losses, true);
    }
}

#[test]
fn idle_log_receives_few_snapshots() {
    let snapshots = run(20_000, 250, &[false], true);
    let quarters = RUN_DURATION.as_secs() / (RETENTION.as_secs() / 4) + 10;
    assert!(
        snapshots <= quarters * 2,
        "{snapshots} snapshots in 8 hours"
    );
}

#[test]
#[should_panic(expected = "no base snapshot")]
fn new_replica_finds_no_head_without_schedulers() {
    run(20_000, 250, &[false], false);
}
