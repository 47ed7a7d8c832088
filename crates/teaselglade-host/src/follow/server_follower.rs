//! Follows server registrations in the store.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::registry::{
    ServerListing, ServerRegistration, ServerRegistry, ServerRemoval,
};
use tokio::time::sleep;
use tracing::{debug, info};

use super::{FULL_READ_INTERVAL, STORE_RETRY_DELAY};
use crate::port::{Feed, FeedItem, FeedPage, StoreError};
use crate::state::HostState;

/// Interval between reads of changed registrations.
///
/// A host must learn that a server leaves well within the 2 s for which that server still accepts
/// requests.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Time without a read after which a host reads the newest registrations instead of the changes.
///
/// The changes contain each heartbeat of each server. After a longer time they are larger than the
/// newest registrations, and a host with a narrow link would not reach their end in time.
const MAX_CHANGES_AGE: Duration = Duration::from_secs(2);

/// Delay after a failed read of a host that usually gets the changes from peers.
///
/// During an outage of the store, all hosts read it themselves.
const IDLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Follows server registrations until the task is aborted.
pub async fn follow_servers(host: Arc<HostState>) {
    let generations = host.ports.feeds.history_generation();
    let mut listed_generation = 0;
    let mut has_listed = false;
    loop {
        let requested_at = host.now();
        match host.ports.feeds.latest(Feed::Servers).await {
            Ok(page) => {
                host.record_call("read_servers", None);
                record_response(&host);
                let generation = *generations.borrow();
                if generation > listed_generation {
                    expect_missing_servers(&host);
                }
                listed_generation = generation;
                has_listed = true;
                let next = page.next_offset;
                apply_listing(&host, requested_at, page);
                poll_changes(&host, next).await;
            }
            Err(error) => {
                record_failure(&host, "read_servers", &error);
                let delay = if has_listed {
                    retry_delay(&host)
                } else {
                    STORE_RETRY_DELAY
                };
                sleep(delay).await;
            }
        }
    }
}

/// Reads changes until the next full read is due or the store lost its history.
async fn poll_changes(host: &HostState, mut next: u64) {
    let started_at = host.now();
    let mut polled_at = started_at;
    while host.now().since(started_at) < FULL_READ_INTERVAL {
        sleep(POLL_INTERVAL).await;
        if !host.is_store_reader() && host.now().since(polled_at) < host.idle_read_interval() {
            host.lock_decisions().registry.remove_expired(host.now());
            continue;
        }
        if host.now().since(polled_at) >= MAX_CHANGES_AGE {
            return;
        }
        polled_at = host.now();
        let polled = host
            .ports
            .feeds
            .changes(Feed::Servers, next, Duration::ZERO);
        match polled.await {
            Ok(page) => {
                host.record_call("poll_servers", None);
                record_response(host);
                next = page.next_offset;
                apply_changes(host, page);
            }
            Err(error @ (StoreError::HistoryLost { .. } | StoreError::HistoryReplaced { .. })) => {
                info!(event = "history_lost", feed = "servers", next, error = %error);
                return;
            }
            Err(error) => {
                record_failure(host, "poll_servers", &error);
                sleep(retry_delay(host)).await;
            }
        }
    }
}

/// Returns the delay after a failed read.
fn retry_delay(host: &HostState) -> Duration {
    let now = host.now();
    if host.lock_decisions().membership.is_store_reader(now) {
        STORE_RETRY_DELAY
    } else {
        IDLE_RETRY_DELAY
    }
}

fn record_response(host: &HostState) {
    let now = host.now();
    host.lock_decisions().record_store_response(now);
}

/// Gives servers time to register again after the store returned from an older copy.
///
/// Their registrations may be newer than the copy.
fn expect_missing_servers(host: &HostState) {
    let now = host.now();
    host.lock_decisions().registry.record_store_recovery(now);
}

fn record_failure(host: &HostState, call: &'static str, error: &StoreError) {
    host.record_call(call, Some(error));
    let now = host.now();
    host.lock_decisions().record_store_failure(now);
}

fn apply_listing(host: &HostState, requested_at: Timestamp, page: FeedPage) {
    let now = host.now();
    let mut listing = ServerListing {
        requested_at,
        end: page.end,
        registrations: Vec::new(),
        unreadable: Vec::new(),
    };
    for item in page.items {
        match item {
            FeedItem::Server(registration) => listing.registrations.push(registration),
            FeedItem::Unreadable { key, detail } => {
                skip_unreadable(host, &key, &detail);
                listing.unreadable.push(key);
            }
            FeedItem::ServerRemoved(_)
            | FeedItem::Table(_)
            | FeedItem::Rollout(_)
            | FeedItem::Host(_)
            | FeedItem::Quarantine(_) => {}
        }
    }
    let count = listing.registrations.len();
    host.lock_decisions().registry.apply_listing(now, listing);
    info!(event = "servers_listed", count);
}

fn apply_changes(host: &HostState, page: FeedPage) {
    for item in page.items {
        match item {
            FeedItem::Server(registration) => apply_update(host, registration),
            FeedItem::ServerRemoved(removal) => apply_removal(host, &removal),
            FeedItem::Unreadable { key, detail } => skip_unreadable(host, &key, &detail),
            FeedItem::Table(_)
            | FeedItem::Rollout(_)
            | FeedItem::Host(_)
            | FeedItem::Quarantine(_) => {}
        }
    }
    host.lock_decisions().registry.remove_expired(host.now());
}

fn apply_update(host: &HostState, registration: ServerRegistration) {
    let now = host.now();
    let id = registration.id.clone();
    let mut decisions = host.lock_decisions();
    let before = phase_name(&decisions.registry, &id);
    decisions.registry.apply_registration(now, registration);
    let after = phase_name(&decisions.registry, &id);
    drop(decisions);
    if before != after {
        info!(event = "server", id, before, after, source = "entry");
    }
}

fn apply_removal(host: &HostState, removal: &ServerRemoval) {
    let now = host.now();
    let id = removal.id.as_str();
    let mut decisions = host.lock_decisions();
    let before = phase_name(&decisions.registry, id);
    let removed = decisions.registry.remove(now, removal);
    let after = phase_name(&decisions.registry, id);
    if let Some(server) = removed.filter(|server| !decisions.registry.takes_work(*server)) {
        decisions.forget_server(server);
    }
    drop(decisions);
    info!(event = "server", id, before, after, source = "removal");
}

fn phase_name(registry: &ServerRegistry, id: &str) -> &'static str {
    use teaselglade_routing::registry::ServerPhase;
    match registry.find(id).map(|key| registry.server(key).phase) {
        Some(ServerPhase::Ready) => "ready",
        Some(ServerPhase::Expired { .. }) => "lapsed",
        Some(ServerPhase::Leaving) => "leaving",
        None => "unknown",
    }
}

fn skip_unreadable(host: &HostState, key: &str, detail: &str) {
    host.metrics.unreadable_records.inc();
    debug!(event = "record_passed_over", feed = "servers", key, detail);
}
