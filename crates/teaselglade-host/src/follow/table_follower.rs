//! Follows the published route table in the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::rollout::RolloutStage;
use tokio::time::sleep;
use tracing::{info, warn};

use super::{FULL_READ_INTERVAL, STORE_RETRY_DELAY};
use crate::peer::pull_before_store;
use crate::port::{Feed, FeedItem, FeedPage, StoreError};
use crate::state::HostState;

/// Maximum wait of one call of a store reader.
///
/// A silent connection is detected within the 2 s in which a new version must become active.
const STORE_READER_WAIT: Duration = Duration::from_millis(1_200);
/// Maximum wait of one call of other hosts, which learn of new versions from digests too.
const DEFAULT_WAIT: Duration = Duration::from_secs(20);
/// Shortest time after which a host that does not follow the table by its rank reads all of it.
///
/// The table is large, and hosts that start together would read it at the same time, so each adds
/// its own part of as much again.
const IDLE_FULL_READ_INTERVAL: Duration = Duration::from_mins(2);
/// Interval between checks whether a host that does not follow the store has to read it.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Follows the published table until the task is aborted.
///
/// Peers are asked first: the store may have returned from a copy that is older than the table
/// that they enforce, and a host that starts must not serve with a removed key.
pub async fn follow_table(host: Arc<HostState>) {
    pull_before_store(&host).await;
    let mut is_start = true;
    loop {
        match host.ports.feeds.latest(Feed::Table).await {
            Ok(page) => {
                host.record_call("read_table", None);
                let Some(verdicts) = read_verdicts(&host, &page, is_start).await else {
                    sleep(STORE_RETRY_DELAY).await;
                    continue;
                };
                apply_page(&host, page, is_start, &verdicts);
                is_start = false;
                poll_changes(&host).await;
            }
            Err(error) => {
                host.record_call("read_table", Some(&error));
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads changes until the newest record must be read again.
async fn poll_changes(host: &HostState) {
    let started_at = host.now();
    let mut polled_at = started_at;
    while host.now().since(started_at) < full_read_interval(host) {
        let is_idle = host.now().since(polled_at) < host.idle_read_interval();
        if is_idle && !host.is_table_follower() {
            sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        polled_at = host.now();
        let (next, wait) = (host.table_position(), read_wait(host));
        match host.ports.feeds.changes(Feed::Table, next, wait).await {
            Ok(page) => {
                host.record_call("follow_table", None);
                apply_page(host, page, false, &HashMap::new());
            }
            Err(error @ (StoreError::HistoryLost { .. } | StoreError::HistoryReplaced { .. })) => {
                info!(event = "history_lost", feed = "table", next, error = %error);
                return;
            }
            Err(error) => {
                host.record_call("follow_table", Some(&error));
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the time after which a host reads the newest record again.
///
/// A host that only lost its aggregator keeps the interval of the others: the reads of all hosts
/// that lose one at the same time would fill their links.
fn full_read_interval(host: &HostState) -> Duration {
    let now = host.now();
    if host.lock_decisions().membership.is_table_follower(now) {
        return FULL_READ_INTERVAL;
    }
    let own_part = name_hash(&host.settings.name) as f64 / u64::MAX as f64;
    IDLE_FULL_READ_INTERVAL.mul_f64(1.0 + own_part)
}

/// Returns how long a read waits for a newer version.
fn read_wait(host: &HostState) -> Duration {
    if host.is_store_reader() {
        STORE_READER_WAIT
    } else if host.is_table_follower() {
        DEFAULT_WAIT
    } else {
        Duration::ZERO
    }
}

/// Reads the verdicts on the orders that this host finds at its start; `None` if the store refuses.
///
/// Without them a version that was rolled back, or left, would be used until the leader reads them.
async fn read_verdicts(
    host: &HostState,
    page: &FeedPage,
    is_start: bool,
) -> Option<HashMap<u64, RolloutStage>> {
    let mut verdicts = HashMap::new();
    let orders = page.items.iter().filter_map(|item| match item {
        FeedItem::Rollout(order) if is_start => Some(order),
        _ => None,
    });
    for order in orders {
        let read = host.ports.feeds.rollout(&order.service).await;
        host.record_result("read_rollout", &read);
        let shown = read.ok()?.published;
        let shown = shown.filter(|shown| shown.target == order.target && shown.stage.is_final());
        verdicts.extend(shown.map(|shown| (order.number, shown.stage)));
    }
    Some(verdicts)
}

/// Applies a page; `is_start` marks the first one that this host reads.
///
/// `verdicts` has what the store shows of orders, by their numbers.
fn apply_page(
    host: &HostState,
    page: FeedPage,
    is_start: bool,
    verdicts: &HashMap<u64, RolloutStage>,
) {
    let next_offset = page.next_offset;
    for item in page.items {
        match item {
            FeedItem::Table(published) => {
                host.activate_table(published, "store");
            }
            FeedItem::Unreadable { key, detail } => {
                host.metrics.unreadable_records.inc();
                warn!(event = "record_passed_over", feed = "table", key, detail);
            }
            FeedItem::Rollout(order) => {
                host.record_order(&order, is_start, verdicts.get(&order.number).copied());
            }
            FeedItem::Server(_)
            | FeedItem::ServerRemoved(_)
            | FeedItem::Host(_)
            | FeedItem::Quarantine(_) => {}
        }
    }
    host.set_table_position(next_offset);
}
