//! Replays the table's stream of the log.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogPage, StreamName};
use teaselglade_core::table::parse_table;
use teaselglade_state::membership::MembershipEvent;
use teaselglade_state::table::TableVersion;
use tokio::time::sleep;

use super::{ActiveTable, apply_membership_event};
use crate::host::EntryHost;

const POLL_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(200);
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of log reads at a host that is not a platform reader.
///
/// Such a host receives new versions from peers in between.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(20);
const MAX_PAGE_RECORDS: u32 = 100;

/// Replays the records of the table's stream as they are appended.
pub(crate) async fn replay_table(host: Arc<EntryHost>) {
    let stream = StreamName::table();
    loop {
        let next = host.shared.replica().next_offset();
        let read = host
            .ports
            .log
            .read(&stream, next, MAX_PAGE_RECORDS, POLL_TIMEOUT);
        match read.await {
            Ok(page) => apply_page(&host, &page).await,
            Err(_error) => {
                host.metrics.log_failures.inc();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn apply_page(host: &Arc<EntryHost>, page: &LogPage) {
    let is_caught_up = {
        let mut replica = host.shared.replica();
        replica.on_page(page);
        replica.is_caught_up()
    };
    if !is_caught_up {
        wait_for_snapshot(page).await;
        return;
    }
    host.shared.set_head_known();
    activate_table(host);
    wait_unless_platform_reader(host).await;
}

/// Waits before the next read if the page is empty.
///
/// The log may not hold a snapshot yet from which the replica can start.
async fn wait_for_snapshot(page: &LogPage) {
    if page.records.is_empty() {
        sleep(RETRY_DELAY).await;
    }
}

/// Waits until this host is a platform reader or the fallback interval has passed.
async fn wait_unless_platform_reader(host: &EntryHost) {
    let mut waited = Duration::ZERO;
    while waited < FALLBACK_READ_INTERVAL && !host.shared.membership().is_platform_reader() {
        sleep(ROLE_CHECK_INTERVAL).await;
        waited += ROLE_CHECK_INTERVAL;
    }
}

/// Activates the replica's head and announces it to peers, if it is newer.
pub(super) fn activate_table(host: &Arc<EntryHost>) {
    let head = host.shared.replica().head().clone();
    if head.version <= host.table().version {
        return;
    }
    // A replica accepts no version whose table is invalid.
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
