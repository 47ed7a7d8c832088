//! Follows the servers' entries.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::registry::{ServerRegistration, ServerRegistry};
use tokio::time::sleep;
use tracing::{debug, info};

use super::FAILURE_PAUSE;
use crate::port::{Feed, FeedItem, FeedPage, StoreError};
use crate::state::HostState;

/// Time between two reads of servers' entries.
///
/// A leaving server has to be known well within the 2 s for which it still takes requests.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Reads a second of all hosts together whose peers read for them and pass changes on.
const IDLE_POLLS_PER_SECOND: u32 = 3;
/// Time after which all entries are read again, should changes have been missed.
const WHOLE_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the servers' entries for the life of the host.
pub async fn follow_servers(host: Arc<HostState>) {
    loop {
        match host.ports.feeds.latest(Feed::Servers).await {
            Ok(page) => {
                host.record_call("read_servers", None);
                note_answer(&host);
                let next = page.next_offset;
                take_listing(&host, page);
                follow_from(&host, next).await;
            }
            Err(error) => {
                note_failure(&host, "read_servers", &error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn follow_from(host: &HostState, mut next: u64) {
    let begun = host.now();
    let mut polled_at = begun;
    while host.now().since(begun) < WHOLE_READ_INTERVAL {
        sleep(POLL_INTERVAL).await;
        if !host.is_store_reader() && host.now().since(polled_at) < idle_interval(host) {
            host.lock_decisions().registry.remove_expired(host.now());
            continue;
        }
        polled_at = host.now();
        let polled = host
            .ports
            .feeds
            .changes(Feed::Servers, next, Duration::ZERO);
        match polled.await {
            Ok(page) => {
                host.record_call("poll_servers", None);
                note_answer(host);
                next = page.next_offset;
                take_changes(host, page);
            }
            Err(StoreError::HistoryLost) => {
                info!(event = "history_lost", feed = "servers", next);
                return;
            }
            Err(error) => {
                note_failure(host, "poll_servers", &error);
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Returns the time between two reads of a host whose peers read for it.
fn idle_interval(host: &HostState) -> Duration {
    let hosts = host.lock_decisions().membership.peer_count() as u32 + 1;
    Duration::from_secs(1) * hosts / IDLE_POLLS_PER_SECOND
}

fn note_answer(host: &HostState) {
    let now = host.now();
    host.lock_decisions().record_store_response(now);
}

fn note_failure(host: &HostState, call: &'static str, error: &StoreError) {
    host.record_call(call, Some(error));
    let now = host.now();
    host.lock_decisions().record_store_failure(now);
}

fn take_listing(host: &HostState, page: FeedPage) {
    let now = host.now();
    let mut sheets = Vec::new();
    for item in page.items {
        match item {
            FeedItem::Server(sheet) => sheets.push(sheet),
            FeedItem::Unreadable { key, detail } => pass_over(host, &key, &detail),
            FeedItem::ServerRemoved(_) | FeedItem::Table(_) | FeedItem::Host(_) => {}
        }
    }
    let count = sheets.len();
    host.lock_decisions().registry.apply_snapshot(now, sheets);
    info!(event = "servers_listed", count);
}

fn take_changes(host: &HostState, page: FeedPage) {
    for item in page.items {
        match item {
            FeedItem::Server(sheet) => take_sheet(host, sheet),
            FeedItem::ServerRemoved(id) => take_removal(host, &id),
            FeedItem::Unreadable { key, detail } => pass_over(host, &key, &detail),
            FeedItem::Table(_) | FeedItem::Host(_) => {}
        }
    }
    host.lock_decisions().registry.remove_expired(host.now());
}

fn take_sheet(host: &HostState, sheet: ServerRegistration) {
    let now = host.now();
    let id = sheet.id.clone();
    let mut decisions = host.lock_decisions();
    let before = phase_name(&decisions.registry, &id);
    decisions.registry.apply_registration(now, sheet);
    let after = phase_name(&decisions.registry, &id);
    drop(decisions);
    if before != after {
        info!(event = "server", id, before, after, source = "entry");
    }
}

fn take_removal(host: &HostState, id: &str) {
    let now = host.now();
    let mut decisions = host.lock_decisions();
    let before = phase_name(&decisions.registry, id);
    let removed = decisions.registry.apply_removal(now, id);
    let after = phase_name(&decisions.registry, id);
    if let Some(server) = removed.filter(|server| !decisions.registry.takes_work(*server)) {
        decisions.forget_server(server);
    }
    drop(decisions);
    info!(event = "server", id, before, after, source = "removal");
}

fn phase_name(fleet: &ServerRegistry, id: &str) -> &'static str {
    use teaselglade_routing::registry::ServerPhase;
    match fleet.find(id).map(|key| fleet.server(key).phase) {
        Some(ServerPhase::Ready) => "ready",
        Some(ServerPhase::Expired { .. }) => "lapsed",
        Some(ServerPhase::Leaving) => "leaving",
        None => "unknown",
    }
}

fn pass_over(host: &HostState, key: &str, detail: &str) {
    host.metrics.unreadable_records.inc();
    debug!(event = "record_passed_over", feed = "servers", key, detail);
}
