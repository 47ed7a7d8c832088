//! Performs the actions of the membership machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::port::PeerError;
use teaselglade_state::membership::{LeavingNotice, MembershipAction, MembershipEvent};
use teaselglade_wire::TableSnapshot;
use teaselglade_wire::codec::from_msgpack;
use tokio::time::sleep;

use super::peer_handlers::{GOSSIP_PATH, TABLE_PATH};
use super::table_follower::activate_table;
use crate::directory::ASSUMED_NOTICE_TIME;
use crate::handover::leave_on_notice;
use crate::host::EntryHost;

const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
const MAX_SLEEP: Duration = Duration::from_millis(200);

/// Gossips with the other entry hosts.
pub(crate) async fn run_gossip(host: Arc<EntryHost>) {
    let mut next_demand_at = host.now();
    loop {
        if host.now() >= next_demand_at {
            next_demand_at = host.now() + DEMAND_INTERVAL;
            let demand = host.placement().encode_demand(host.now());
            apply_membership_event(&host, MembershipEvent::DemandChanged { demand });
        }
        let wake_at = host.shared.membership().next_wake();
        let delay = (wake_at - host.now()).min(MAX_SLEEP);
        tokio::select! {
            () = sleep(delay) => {}
            () = host.shared.gossip_wake.notified() => {}
        }
        apply_membership_event(&host, MembershipEvent::Wake);
    }
}

/// Applies an event to the membership machine and performs the resulting actions.
pub(crate) fn apply_membership_event(host: &Arc<EntryHost>, event: MembershipEvent) {
    let is_wake = matches!(event, MembershipEvent::Wake);
    let now = host.now();
    let actions = host.shared.membership().on_event(now, event);
    for action in actions {
        perform_action(host, action);
    }
    if !is_wake {
        host.shared.gossip_wake.notify_one();
    }
}

/// Performs one action; responses to peers are sent by the route handler instead.
pub(super) fn perform_action(host: &Arc<EntryHost>, action: MembershipAction) {
    match action {
        MembershipAction::Send {
            peer,
            address,
            body,
        } => {
            tokio::spawn(send_gossip(Arc::clone(host), peer, address, body));
        }
        MembershipAction::PullTable { address, .. } => {
            tokio::spawn(pull_table(Arc::clone(host), address));
        }
        MembershipAction::HostLeaving(notice) => handle_departure(host, &notice),
        MembershipAction::MemberChanged(entry) => {
            log::info!("entry host {} is {:?}", entry.name, entry.liveness);
        }
        MembershipAction::DemandReceived { peer, demand } => {
            host.placement().receive_demand(host.now(), &peer, &demand);
        }
        MembershipAction::Answer { .. } | MembershipAction::Refuse { .. } => {}
    }
}

fn handle_departure(host: &EntryHost, notice: &LeavingNotice) {
    log::info!("host {} is leaving", notice.host);
    let has_deadline = notice.deadline > notice.issued;
    let deadline = if has_deadline {
        notice.deadline
    } else {
        host.now() + ASSUMED_NOTICE_TIME
    };
    if notice.host.as_str() == host.settings.host {
        leave_on_notice(host, notice.incarnation, deadline);
    }
    let newly_leaving = host
        .directory()
        .mark_leaving(&notice.host, notice.incarnation);
    let Some(server) = newly_leaving else {
        return;
    };
    host.sync_placement();
    host.announce_server_departure([server], deadline);
}

async fn send_gossip(host: Arc<EntryHost>, peer: HostName, address: SocketAddr, body: Bytes) {
    let event = match host.ports.peer.send(address, GOSSIP_PATH, body).await {
        Ok(body) => MembershipEvent::AnswerReceived { peer, body },
        Err(_error) => {
            host.metrics.peer_failures.inc();
            MembershipEvent::CallFailed { peer }
        }
    };
    apply_membership_event(&host, event);
}

async fn pull_table(host: Arc<EntryHost>, address: SocketAddr) {
    if fetch_table(&host, address).await.is_err() {
        host.metrics.peer_failures.inc();
    }
}

/// Fetches a peer's table and activates it if it is newer.
pub(super) async fn fetch_table(
    host: &Arc<EntryHost>,
    address: SocketAddr,
) -> Result<(), PeerError> {
    let response = host.ports.peer.send(address, TABLE_PATH, Bytes::new());
    let snapshot = from_msgpack::<TableSnapshot>(&response.await?).map_err(|error| PeerError {
        detail: error.to_string(),
    })?;
    host.shared.replica().on_peer_head(snapshot);
    if host.shared.is_head_known() {
        activate_table(host);
    }
    Ok(())
}
