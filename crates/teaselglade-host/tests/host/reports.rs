//! Usage reports: the first record of a window is authoritative for every leader.

use std::collections::BTreeMap;

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_host::duty::ReportLog;
use teaselglade_routing::usage::WindowCounts;

fn record(offset: u64, window: u64, count: u64) -> LogRecord {
    let counts = WindowCounts {
        window,
        counts: BTreeMap::from([("halloran".to_owned(), count)]),
    };
    LogRecord {
        offset,
        appended: Timestamp::ZERO,
        body: rmp_serde::to_vec(&counts).expect("a record").into(),
    }
}

fn page(first: u64, end: u64, records: Vec<LogRecord>) -> LogPage {
    LogPage {
        first,
        end,
        records,
    }
}

#[test]
fn the_first_record_of_a_window_is_authoritative() {
    let mut log = ReportLog::default();
    assert!(!log.apply_page(&page(0, 3, vec![record(0, 7, 10), record(1, 7, 12)])));
    assert!(log.apply_page(&page(0, 3, vec![record(1, 7, 12), record(2, 8, 3)])));
    assert_eq!(
        log.decided(7).map(|counts| counts.counts["halloran"]),
        Some(10)
    );
    assert_eq!(log.since(8).count(), 1);
    assert_eq!(log.next_offset(), 3);
}

#[test]
fn an_unreadable_record_decides_nothing() {
    let mut log = ReportLog::default();
    let mut unreadable = record(0, 7, 10);
    unreadable.body = vec![0xc1].into();
    assert!(log.apply_page(&page(0, 2, vec![unreadable, record(1, 7, 12)])));
    assert_eq!(
        log.decided(7).map(|counts| counts.counts["halloran"]),
        Some(12)
    );
}

#[test]
fn records_truncated_from_the_log_are_skipped() {
    let mut log = ReportLog::default();
    assert!(log.apply_page(&page(5, 6, vec![record(5, 9, 1)])));
    assert_eq!(log.next_offset(), 6);
}
