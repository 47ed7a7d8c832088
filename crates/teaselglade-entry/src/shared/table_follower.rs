//! Follows the table's stream in the log.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogPage, StreamName};
use teaselglade_core::table::parse_table;
use teaselglade_state::membership::MembershipEvent;
use teaselglade_state::table::TableVersion;
use tokio::time::sleep;

use super::{ActiveTable, apply_membership_event};
use crate::host::EntryHost;

const READ_WAIT: Duration = Duration::from_secs(2);
const RETRY_WAIT: Duration = Duration::from_millis(200);
const IDLE_POLL: Duration = Duration::from_millis(200);
/// How often a host reads the log that otherwise hears from peers.
const SELDOM_READ_INTERVAL: Duration = Duration::from_secs(20);
const MOST_RECORDS: u32 = 100;

/// Replays the table's stream as its records come.
pub(crate) async fn replay_table(host: Arc<EntryHost>) {
    let stream = StreamName::table();
    loop {
        let next = host.shared.replica().next_offset();
        let read = host.ports.log.read(&stream, next, MOST_RECORDS, READ_WAIT);
        match read.await {
            Ok(page) => on_page(&host, &page).await,
            Err(_error) => {
                host.metrics.log_failures.inc();
                sleep(RETRY_WAIT).await;
            }
        }
    }
}

async fn on_page(host: &Arc<EntryHost>, page: &LogPage) {
    let is_caught_up = {
        let mut replica = host.shared.replica();
        replica.on_page(page);
        replica.is_caught_up()
    };
    if !is_caught_up {
        wait_for_anchor(page).await;
        return;
    }
    host.shared.set_head_known();
    activate_table(host);
    rest_unless_reader(host).await;
}

/// Waits where the log holds no snapshot to start from yet.
async fn wait_for_anchor(page: &LogPage) {
    if page.records.is_empty() {
        sleep(RETRY_WAIT).await;
    }
}

/// Lets the readers of the data centre read; peers tell the others of new versions.
async fn rest_unless_reader(host: &EntryHost) {
    let mut rested = Duration::ZERO;
    while rested < SELDOM_READ_INTERVAL && !host.shared.membership().is_platform_reader() {
        sleep(IDLE_POLL).await;
        rested += IDLE_POLL;
    }
}

/// Puts the replica's head in force and tells peers, where it is newer.
pub(super) fn activate_table(host: &Arc<EntryHost>) {
    let head = host.shared.replica().head().clone();
    if head.version <= host.table().version {
        return;
    }
    // A replica accepts no version whose table is faulty.
    let Ok(rows) = parse_table(&head.csv) else {
        return;
    };
    let TableVersion {
        version, author, ..
    } = head;
    host.set_table(ActiveTable { version, rows });
    log::info!("table version {version} by {author} is in force");
    apply_membership_event(host, MembershipEvent::TableActivated { version });
}
