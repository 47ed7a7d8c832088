//! Follows the table's stream in the log.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::StreamName;
use teaselglade_core::table::parse_table;
use teaselglade_state::table::TableReplica;
use tokio::time::sleep;

use super::TableInForce;
use crate::host::EntryHost;

const READ_WAIT: Duration = Duration::from_secs(2);
const RETRY_WAIT: Duration = Duration::from_millis(200);
const MOST_RECORDS: u32 = 100;

/// Replays the table's stream as its records come.
pub(crate) async fn follow_table(host: Arc<EntryHost>) {
    let stream = StreamName::table();
    let mut replica = TableReplica::new(host.settings.cluster.as_str());
    loop {
        let next = replica.next_offset();
        match host
            .ports
            .log
            .read(&stream, next, MOST_RECORDS, READ_WAIT)
            .await
        {
            Ok(page) => {
                replica.on_page(&page);
                put_in_force(&host, &replica);
            }
            Err(_error) => {
                host.metrics.log_failures.inc();
                sleep(RETRY_WAIT).await;
            }
        }
    }
}

fn put_in_force(host: &EntryHost, replica: &TableReplica) {
    let head = replica.head();
    if !replica.is_caught_up() || head.version <= host.table().version {
        return;
    }
    // A replica accepts no version whose table is faulty.
    let Ok(rows) = parse_table(&head.csv) else {
        return;
    };
    host.set_table(TableInForce {
        version: head.version,
        rows,
    });
    log::info!("table version {} is in force", head.version);
}
