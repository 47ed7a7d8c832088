//! Follows the table's stream and keeps its snapshot in the log.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::StreamName;
use teaselglade_core::table::parse_table;
use teaselglade_state::table::{SnapshotDecision, SnapshotScheduler, TableReplica};
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::{ControlPorts, TermCell, WorkEvent};
use crate::metrics::ControlMetrics;

const READ_WAIT: Duration = Duration::from_secs(2);
const RETRY_WAIT: Duration = Duration::from_millis(500);
/// Polls of the lease between two reads of a daemon without it.
const IDLE_POLLS: u32 = 20;
const MOST_RECORDS: u32 = 100;

/// What following the table needs.
#[derive(Debug)]
pub(crate) struct TableFollower {
    pub(crate) cluster: String,
    pub(crate) keeper: SnapshotScheduler,
    pub(crate) ports: Arc<ControlPorts>,
    pub(crate) metrics: Arc<ControlMetrics>,
    pub(crate) term: Arc<TermCell>,
    pub(crate) events: mpsc::Sender<WorkEvent>,
}

/// Replays the table's stream as its records come.
pub(crate) async fn follow_table(mut follower: TableFollower) {
    let stream = StreamName::table();
    let mut replica = TableReplica::new(follower.cluster.as_str());
    let mut version = 0;
    loop {
        let next = replica.next_offset();
        let log = &follower.ports.log;
        match log.read(&stream, next, MOST_RECORDS, READ_WAIT).await {
            Ok(page) => {
                replica.on_page(&page);
                follower.put_in_force(&replica, &mut version).await;
                follower.keep_snapshot(&stream, &replica).await;
                if replica.is_caught_up() {
                    follower.wait_without_lease().await;
                }
            }
            Err(_error) => {
                follower.metrics.log_failures.inc();
                sleep(RETRY_WAIT).await;
            }
        }
    }
}

impl TableFollower {
    /// Waits while this daemon has no lease, so that few daemons read the log all the time.
    async fn wait_without_lease(&self) {
        for _poll in 0..IDLE_POLLS {
            if self.term.in_force(self.ports.clock.now()).is_some() {
                return;
            }
            sleep(RETRY_WAIT).await;
        }
    }

    async fn put_in_force(&self, replica: &TableReplica, version: &mut u64) {
        let head = replica.head();
        if !replica.is_caught_up() || head.version <= *version {
            return;
        }
        // A replica accepts no version whose table is faulty.
        let Ok(table) = parse_table(&head.csv) else {
            return;
        };
        *version = head.version;
        let shown = i64::try_from(head.version).unwrap_or(i64::MAX);
        self.metrics.table_version.set(shown);
        log::info!("table version {} is in force", head.version);
        // The receiver only goes when the daemon stops.
        let _stopping = self.events.send(WorkEvent::Table(table)).await;
    }

    async fn keep_snapshot(&mut self, stream: &StreamName, replica: &TableReplica) {
        let now = self.ports.clock.now();
        if self.term.in_force(now).is_none() {
            return;
        }
        let SnapshotDecision::Append { body } = self.keeper.decide(now, replica) else {
            return;
        };
        self.metrics.log_appends.inc();
        if self.ports.log.append(stream, body).await.is_err() {
            self.metrics.log_failures.inc();
        }
    }
}
