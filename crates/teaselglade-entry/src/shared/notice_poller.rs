//! Polls the cloud API for reclaim notices.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::ReclaimNotice;
use teaselglade_state::membership::{LeavingNotice, MembershipEvent};
use tokio::time::sleep;

use super::apply_membership_event;
use crate::host::EntryHost;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls for notices and gossips them to peers.
///
/// Only the platform readers of each data centre poll.
pub(crate) async fn poll_notices(host: Arc<EntryHost>) {
    let Some(cloud) = host.ports.cloud.clone() else {
        return;
    };
    let mut last_number = 0;
    loop {
        sleep(POLL_INTERVAL).await;
        if !host.shared.membership().is_platform_reader() {
            continue;
        }
        for notice in cloud.notices(last_number).await.unwrap_or_default() {
            last_number = last_number.max(notice.number);
            submit_notice(&host, notice);
        }
    }
}

fn submit_notice(host: &Arc<EntryHost>, notice: ReclaimNotice) {
    let is_entry = host.shared.membership().member(&notice.host).is_some();
    let notice = LeavingNotice {
        host: notice.host,
        incarnation: notice.incarnation,
        is_entry,
        issued: host.now(),
        deadline: notice.deadline,
    };
    apply_membership_event(host, MembershipEvent::NoticeReceived(notice));
}
