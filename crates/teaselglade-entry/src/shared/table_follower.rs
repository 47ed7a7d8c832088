//! Follows the table's stream in the log.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{LogRecord, StreamName};
use teaselglade_core::table::parse_table;
use tokio::time::sleep;

use super::TableInForce;
use crate::host::EntryHost;

const READ_WAIT: Duration = Duration::from_secs(2);
const RETRY_WAIT: Duration = Duration::from_millis(200);
const MOST_RECORDS: u32 = 100;

/// Applies the records of the table's stream as they come.
pub(crate) async fn follow_table(host: Arc<EntryHost>) {
    let stream = StreamName::table();
    let mut next = 0;
    loop {
        match host
            .ports
            .log
            .read(&stream, next, MOST_RECORDS, READ_WAIT)
            .await
        {
            Ok(page) => {
                page.records.iter().for_each(|record| apply(&host, record));
                next = page.records.last().map_or(next, |record| record.offset + 1);
            }
            Err(_error) => {
                host.metrics.log_failures.inc();
                sleep(RETRY_WAIT).await;
            }
        }
    }
}

fn apply(host: &EntryHost, record: &LogRecord) {
    let text = String::from_utf8_lossy(&record.body);
    let Ok(rows) = parse_table(&text) else {
        return;
    };
    let version = record.offset + 1;
    host.set_table(TableInForce { version, rows });
    log::info!("table version {version} is in force");
}
