//! Polls the host list.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::ListedHost;
use teaselglade_state::membership::{MembershipEvent, list_poll_interval};
use tokio::time::sleep;

use crate::handover::leave_on_host_list;
use crate::host::EntryHost;
use crate::shared::apply_membership_event;

/// Time until a host stops if its deadline is unknown.
pub(crate) const ASSUMED_NOTICE_TIME: Duration = Duration::from_secs(2);

/// Polls the host list; the interval grows with the length of the list.
pub(crate) async fn poll_host_list(host: Arc<EntryHost>) {
    let mut interval = list_poll_interval(0);
    loop {
        match host.ports.host_list.hosts().await {
            Ok(hosts) => {
                interval = list_poll_interval(hosts.len());
                apply_host_list(&host, hosts);
            }
            Err(_error) => host.metrics.host_list_failures.inc(),
        }
        sleep(interval).await;
    }
}

/// Applies the host list.
///
/// Hosts that peers reported as leaving stay so, even if the list lags.
fn apply_host_list(host: &Arc<EntryHost>, mut hosts: Vec<ListedHost>) {
    apply_membership_event(host, MembershipEvent::HostList(hosts.clone()));
    host.shared.mark_leaving(&mut hosts);
    let leaving = host.directory().apply(hosts);
    host.sync_placement();
    let deadline = host.now() + ASSUMED_NOTICE_TIME;
    host.announce_server_departure(leaving, deadline);
    leave_on_host_list(host, deadline);
}
