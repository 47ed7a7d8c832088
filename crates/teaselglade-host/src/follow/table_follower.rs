//! Follows the published route table in the store.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::rollout::RolloutOrder;
use tokio::join;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use super::{FULL_READ_INTERVAL, STORE_RETRY_DELAY};
use crate::peer::pull_before_store;
use crate::port::{Feed, FeedItem, FeedPage, PublishedRollout, StoreError};
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

/// Reads of the verdicts on the orders that a starting host finds, and the maximum wait of each.
const VERDICT_READS: usize = 3;
const VERDICT_WAIT: Duration = Duration::from_secs(1);

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
                let is_listing_orders = is_start && listed_orders(&page).next().is_some();
                let states = if is_listing_orders {
                    read_states(&host).await
                } else {
                    None
                };
                let held = apply_page(&host, page, is_start, states.as_deref());
                is_start = false;
                join!(poll_changes(&host), decide_held_orders(&host, held));
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
                apply_page(host, page, false, None);
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

/// Returns the orders of a page.
fn listed_orders(page: &FeedPage) -> impl Iterator<Item = &RolloutOrder> {
    page.items.iter().filter_map(|item| match item {
        FeedItem::Rollout(order) => Some(order),
        _ => None,
    })
}

/// Reads the states of all roll-outs; `None` if the store does not tell them in time.
async fn read_states(host: &HostState) -> Option<Vec<PublishedRollout>> {
    let read = timeout(VERDICT_WAIT, host.ports.feeds.rollouts()).await;
    let read = read.unwrap_or_else(|_| Err(StoreError::unreadable("no answer in time")));
    host.record_result("read_rollouts", &read);
    read.ok()
}

/// Records an order that a starting host finds, with its verdict if the states show one.
fn record_listed_order(host: &HostState, order: &RolloutOrder, states: &[PublishedRollout]) {
    let mut verdicts = states.iter().filter(|shown| {
        shown.service == order.service && shown.target == order.target && shown.stage.is_final()
    });
    host.record_order(order, true, verdicts.next().map(|shown| shown.stage));
}

/// Records the orders that were held back, with the verdicts that the store shows.
///
/// The store is asked a few times; then the orders are taken as without a verdict.
async fn decide_held_orders(host: &HostState, held: Vec<RolloutOrder>) {
    if held.is_empty() {
        return;
    }
    let mut states = None;
    for _ in 1..VERDICT_READS {
        sleep(STORE_RETRY_DELAY).await;
        states = read_states(host).await;
        if states.is_some() {
            break;
        }
    }
    for order in held {
        if states.is_none() {
            let (service, target) = (&order.service, &order.target);
            warn!(event = "rollout_verdict_unread", service, target);
        }
        record_listed_order(host, &order, states.as_deref().unwrap_or_default());
    }
}

/// Applies a page; `is_start` marks the first one that this host reads.
///
/// The orders of the first page are recorded with the verdicts in `states`, before the table lets
/// requests in. Without states they are held back and returned: otherwise a version that was rolled
/// back would be used until the leader reads its verdict.
fn apply_page(
    host: &HostState,
    page: FeedPage,
    is_start: bool,
    states: Option<&[PublishedRollout]>,
) -> Vec<RolloutOrder> {
    let next_offset = page.next_offset;
    let listed: Vec<RolloutOrder> = listed_orders(&page)
        .filter(|_| is_start)
        .filter(|order| host.lock_decisions().rollouts.hold_order((*order).clone()))
        .cloned()
        .collect();
    if let Some(states) = states {
        for order in &listed {
            record_listed_order(host, order, states);
        }
    }
    for item in page.items {
        match item {
            FeedItem::Table(published) => {
                host.activate_table(published, "store");
            }
            FeedItem::Unreadable { key, detail } => {
                host.metrics.unreadable_records.inc();
                warn!(event = "record_passed_over", feed = "table", key, detail);
            }
            FeedItem::Rollout(order) if listed.contains(&order) => {}
            FeedItem::Rollout(order) => host.record_order(&order, is_start, None),
            FeedItem::Server(_)
            | FeedItem::ServerRemoved(_)
            | FeedItem::Host(_)
            | FeedItem::Quarantine(_) => {}
        }
    }
    host.set_table_position(next_offset);
    if states.is_some() { Vec::new() } else { listed }
}
