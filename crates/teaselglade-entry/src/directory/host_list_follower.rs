//! Follows the host list.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

use crate::host::EntryHost;

/// Time that a server has left when the host list first shows it as leaving.
const ASSUMED_NOTICE: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Takes in the host list again and again.
pub(crate) async fn follow_host_list(host: Arc<EntryHost>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match host.ports.host_list.hosts().await {
            Ok(hosts) => {
                let leaving = host.directory().apply(hosts);
                host.sync_placement();
                let deadline = host.now() + ASSUMED_NOTICE;
                for server in leaving {
                    host.streams.announce_leaving(server, deadline);
                }
            }
            Err(_error) => host.metrics.host_list_failures.inc(),
        }
    }
}
