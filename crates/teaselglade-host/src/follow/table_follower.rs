//! Follows the table.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::{info, warn};

use super::FAILURE_PAUSE;
use crate::port::{Feed, FeedItem, FeedPage, StoreError};
use crate::state::HostState;

/// Longest wait of one call of the hosts that read for all.
///
/// A connection that went silent is found out within the 2 s in which a version has to apply.
const READER_WAIT: Duration = Duration::from_millis(1_200);
/// Longest wait of one call of the other hosts; peers tell them of new versions as well.
const TABLE_WAIT: Duration = Duration::from_secs(20);
/// Time after which a wait begins again from the newest record, should changes have been missed.
const WHOLE_READ_INTERVAL: Duration = Duration::from_secs(40);

/// Follows the table for the life of the host.
pub async fn follow_table(host: Arc<HostState>) {
    loop {
        match host.ports.feeds.latest(Feed::Table).await {
            Ok(page) => {
                host.record_call("read_table", None);
                let next = page.next_offset;
                take_page(&host, page);
                follow_from(&host, next).await;
            }
            Err(error) => {
                host.record_call("read_table", Some(&error));
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Reads changes until they have to be read anew from the newest record.
async fn follow_from(host: &HostState, mut next: u64) {
    let begun = host.now();
    while host.now().since(begun) < WHOLE_READ_INTERVAL {
        let wait = if host.is_store_reader() {
            READER_WAIT
        } else {
            TABLE_WAIT
        };
        match host.ports.feeds.changes(Feed::Table, next, wait).await {
            Ok(page) => {
                host.record_call("follow_table", None);
                next = page.next_offset;
                take_page(host, page);
            }
            Err(StoreError::HistoryLost) => {
                info!(event = "history_lost", feed = "table", next);
                return;
            }
            Err(error) => {
                host.record_call("follow_table", Some(&error));
                sleep(FAILURE_PAUSE).await;
                return;
            }
        }
    }
}

fn take_page(host: &HostState, page: FeedPage) {
    for item in page.items {
        match item {
            FeedItem::Table(published) => {
                host.activate_table(published, "store");
            }
            FeedItem::Unreadable { key, detail } => {
                host.metrics.unreadable_records.inc();
                warn!(event = "record_passed_over", feed = "table", key, detail);
            }
            FeedItem::Server(_) | FeedItem::ServerRemoved(_) | FeedItem::Host(_) => {}
        }
    }
}
