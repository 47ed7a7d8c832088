//! Keeps roll-outs going and their states in the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use teaselglade_routing::gossip::PeerMembership;
use teaselglade_routing::rollout::{RolloutChange, RolloutStage, RolloutStatus};
use tokio::time::sleep;
use tracing::info;

use crate::port::PublishedRollout;
use crate::state::HostState;

/// Interval between reads of the evidence.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a verdict is checked in the store once more.
///
/// A write whose answer was lost may take effect seconds later.
const VERDICT_CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// Time after a verdict for which it is checked.
const VERDICT_CHECK_TIME: Duration = Duration::from_secs(13);

/// What is known to be in the store for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WrittenState {
    number: u64,
    /// `None` for an order that runs.
    verdict: Option<RolloutStage>,
    generation: u64,
}

/// Reads the evidence of roll-outs, and moves them on and reports them while this host leads.
///
/// Runs until the task is aborted.
pub async fn keep_rollouts(host: Arc<HostState>) {
    let generations = host.ports.feeds.history_generation();
    let mut written: HashMap<String, WrittenState> = HashMap::new();
    let mut checked_at = host.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let statuses = update(&host);
        let now = host.now();
        let is_check = now.since(checked_at) >= VERDICT_CHECK_INTERVAL;
        if is_check {
            checked_at = now;
        }
        // A host that does not lead does not see what the leader writes.
        if statuses.is_empty() {
            written.clear();
        }
        for status in statuses {
            let is_recent = status.stage_age < VERDICT_CHECK_TIME;
            if is_check && status.stage.is_final() && is_recent {
                written.remove(&status.order.service);
            }
            let wanted = WrittenState {
                number: status.order.number,
                verdict: Some(status.stage).filter(|stage| stage.is_final()),
                generation: *generations.borrow(),
            };
            let service = status.order.service.clone();
            if written.get(&service) != Some(&wanted) && report(&host, &status).await {
                written.insert(service, wanted);
            }
        }
    }
}

/// Returns whether this host moves the orders on.
pub(crate) fn leads_rollouts(host: &HostState, membership: &PeerMembership) -> bool {
    // Without leader duties no host holds the lease.
    membership.is_leader()
        || (host.ports.duties.is_none() && membership.store_reader_rank(host.now()) == 0)
}

/// Reads the evidence; returns what the store is to show, if this host leads.
fn update(host: &HostState) -> Vec<RolloutStatus> {
    let now = host.now();
    let table = host.table();
    let services = table
        .iter()
        .flat_map(|active| &active.table.spec().services);
    let services: Vec<&str> = services.map(|service| service.name.as_str()).collect();
    let mut guard = host.lock_decisions();
    let decisions = &mut *guard;
    let (rollouts, registry) = (&mut decisions.rollouts, &decisions.registry);
    if rollouts.has_running() {
        let loads = decisions.engine_placer.total_loads(registry);
        rollouts.record_loads(now, registry, &loads);
    }
    let mut changes = rollouts.update(now, registry, &services);
    let membership = &decisions.membership;
    let peers = membership.peer_count();
    let statuses = if leads_rollouts(host, membership) {
        rollouts.lead(now, peers)
    } else {
        Vec::new()
    };
    changes.extend(rollouts.update(now, registry, &services));
    for (service, stage, suspicion, exposure) in rollouts.suspicions() {
        let metrics = &host.metrics.rollouts;
        metrics.set(service, stage, suspicion, exposure);
    }
    drop(guard);
    for change in changes {
        log_change(&change);
    }
    statuses
}

fn log_change(change: &RolloutChange) {
    let finding = change.finding;
    info!(
        event = "rollout_stage",
        service = change.order.service,
        target = change.order.target,
        before = change.before.name(),
        after = change.after.name(),
        age_ms = change.age.as_millis() as u64,
        new_answers = change.new.0,
        new_failures = change.new.1,
        cause = finding.map(|finding| finding.statistic),
        new_tested = finding.map(|finding| finding.new.0),
        new_bad = finding.map(|finding| finding.new.1),
        old_tested = finding.map(|finding| finding.old.0),
        old_bad = finding.map(|finding| finding.old.1),
        score = finding.map(|finding| finding.score),
    );
}

/// Brings the state of an order into the store; returns whether the store has it.
async fn report(host: &HostState, status: &RolloutStatus) -> bool {
    let feeds = &host.ports.feeds;
    let order = &status.order;
    let read = feeds.rollout(&order.service).await;
    host.record_result("read_rollout", &read);
    let Ok(read) = read else {
        return false;
    };
    let shown = read.published;
    let shown = shown.filter(|shown| shown.target == order.target);
    if let Some(shown) = &shown {
        if status.is_provisional && !shown.stage.is_final() {
            let now = host.now();
            let mut decisions = host.lock_decisions();
            decisions.rollouts.drop_listed_verdict(now, &order.service);
            return false;
        }
        let is_verdict = shown.stage.is_final() && status.may_adopt;
        if is_verdict && shown.stage != status.stage {
            adopt_verdict(host, status, shown.stage);
            return false;
        }
        if is_same(shown.stage, status.stage) {
            adopt_verdict(host, status, status.stage);
            return true;
        }
    }
    // The evidence is read while the store is.
    let current = host.lock_decisions().rollouts.stage(&order.service);
    if current.is_some_and(|current| current.is_final() && current != status.stage) {
        return false;
    }
    let rollout = PublishedRollout {
        service: order.service.clone(),
        target: order.target.clone(),
        stage: status.stage,
    };
    let published = feeds.publish_rollout(&rollout, read.position).await;
    host.record_result("publish_rollout", &published);
    if published.is_ok() {
        adopt_verdict(host, status, status.stage);
        info!(
            event = "rollout_reported",
            service = order.service,
            target = order.target,
            stage = status.stage.name(),
        );
    }
    published.is_ok()
}

/// Returns whether operators see both stages alike.
fn is_same(shown: RolloutStage, wanted: RolloutStage) -> bool {
    shown == wanted || !(shown.is_final() || wanted.is_final())
}

/// Makes a verdict that the store shows this host's own.
fn adopt_verdict(host: &HostState, status: &RolloutStatus, stage: RolloutStage) {
    if stage.is_final() {
        let order = &status.order;
        let now = host.now();
        let mut decisions = host.lock_decisions();
        let rollouts = &mut decisions.rollouts;
        rollouts.record_verdict(now, &order.service, order.number, stage);
    }
}
