//! Reads the routing table from the log and appends snapshots of it.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::StreamName;
use teaselglade_core::table::parse_table;
use teaselglade_state::table::{SnapshotDecision, SnapshotScheduler, TableReplica};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{ControlPorts, SharedTerm, WorkEvent};
use crate::metrics::ControlMetrics;

/// Time for which a read waits for a new record.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed read, and between checks of the lease while it is not held.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of lease checks between two reads of the table while the lease is not held.
const IDLE_LEASE_CHECKS: u32 = 20;
const MAX_PAGE_RECORDS: u32 = 100;

/// Ports and state of the task that follows the routing table.
#[derive(Debug)]
pub(crate) struct TableFollower {
    pub(crate) cluster: String,
    pub(crate) scheduler: SnapshotScheduler,
    pub(crate) ports: Arc<ControlPorts>,
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) term: Arc<SharedTerm>,
    pub(crate) events: mpsc::Sender<WorkEvent>,
}

/// Follows the routing table until the task is aborted.
///
/// Reports each new version to the event loop, and appends snapshots while the lease is held.
pub(crate) async fn follow_table(mut follower: TableFollower) {
    let stream = StreamName::table();
    let mut replica = TableReplica::new(follower.cluster.as_str());
    let mut version = 0;
    loop {
        let next = replica.next_offset();
        let log = &follower.ports.log;
        match log
            .read(&stream, next, MAX_PAGE_RECORDS, POLL_TIMEOUT)
            .await
        {
            Ok(page) => {
                replica.on_page(&page);
                follower.activate_table(&replica, &mut version).await;
                follower.append_due_snapshot(&stream, &replica).await;
                if replica.is_caught_up() {
                    follower.wait_without_lease().await;
                }
            }
            Err(_error) => {
                follower.metrics.log_failures.inc();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

impl TableFollower {
    /// Delays the next read while the lease is not held, so that few daemons poll the log.
    async fn wait_without_lease(&self) {
        for _check in 0..IDLE_LEASE_CHECKS {
            if self.term.active(self.ports.clock.now()).is_some() {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    async fn activate_table(&self, replica: &TableReplica, version: &mut u64) {
        let head = replica.head();
        if !replica.is_caught_up() || head.version <= *version {
            return;
        }
        // The replica only accepts versions whose table parses.
        let Ok(table) = parse_table(&head.csv) else {
            return;
        };
        *version = head.version;
        let gauge_value = i64::try_from(head.version).unwrap_or(i64::MAX);
        self.metrics.table_version.set(gauge_value);
        log::info!("table version {} is in force", head.version);
        // The receiver is dropped only when the daemon stops.
        let _result = self.events.send(WorkEvent::Table(table)).await;
    }

    async fn append_due_snapshot(&mut self, stream: &StreamName, replica: &TableReplica) {
        let now = self.ports.clock.now();
        if self.term.active(now).is_none() {
            return;
        }
        let SnapshotDecision::Append { body } = self.scheduler.decide(now, replica) else {
            return;
        };
        self.metrics.log_appends.inc();
        if self.ports.log.append(stream, body).await.is_err() {
            self.metrics.log_failures.inc();
        }
    }
}
