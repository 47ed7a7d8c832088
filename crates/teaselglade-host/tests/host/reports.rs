//! Usage reports: the first record of a window is authoritative for every leader.

use std::collections::BTreeMap;

use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_host::duty::{ReportLog, ReportRecord};
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

fn report(window: u64, count: u64) -> WindowCounts {
    WindowCounts {
        window,
        counts: BTreeMap::from([("halloran".to_owned(), count)]),
    }
}

fn written(offset: u64, report: &ReportRecord) -> LogRecord {
    LogRecord {
        offset,
        appended: Timestamp::ZERO,
        body: rmp_serde::to_vec(report).expect("a record").into(),
    }
}

/// Distance between the offsets of successive histories, as the store's adapter packs them.
const HISTORY_SPAN: u64 = 1 << 40;

#[test]
fn a_decision_that_the_log_lost_is_remembered_and_its_window_is_not_decided_again() {
    let mut log = ReportLog::default();
    let opening = written(0, &ReportRecord::opening(7, 0));
    let first = written(1, &ReportRecord::decision(&report(7, 10), 1));
    let second = written(2, &ReportRecord::decision(&report(8, 11), 2));
    assert!(log.apply_page(&page(0, 3, vec![opening.clone(), first.clone(), second])));
    assert!(log.is_open(9));
    // The copy lacks the decision of window 8, and its records have new offsets.
    let again = |record: &LogRecord| LogRecord {
        offset: HISTORY_SPAN + record.offset,
        ..record.clone()
    };
    let copy = vec![again(&opening), again(&first)];
    assert!(log.apply_page(&page(HISTORY_SPAN, HISTORY_SPAN + 2, copy.clone())));
    assert_eq!(
        log.first_open(),
        None,
        "no record of this history opens a window"
    );
    assert_eq!(log.unlogged_since(7).collect::<Vec<_>>(), [&report(8, 11)]);
    assert_eq!(log.decided(8), Some(&report(8, 11)));
    // A host that never knew of window 8 does not decide it either.
    let mut successor = ReportLog::default();
    let mut records = copy;
    let offset = HISTORY_SPAN + 2;
    records.push(written(offset, &ReportRecord::opening(9, offset)));
    assert!(successor.apply_page(&page(HISTORY_SPAN, offset + 1, records)));
    assert_eq!(successor.decided(8), None);
    assert!(!successor.is_open(8));
    assert!(successor.is_open(9));
}

#[test]
fn a_decision_written_again_opens_no_window() {
    let mut log = ReportLog::default();
    let repeated = written(0, &ReportRecord::repetition(&report(7, 10)));
    assert!(log.apply_page(&page(0, 1, vec![repeated])));
    assert_eq!(log.decided(7), Some(&report(7, 10)));
    assert_eq!(log.first_open(), None);
    let late = written(1, &ReportRecord::opening(3, 5));
    assert!(log.apply_page(&page(0, 2, vec![late])));
    assert_eq!(
        log.first_open(),
        None,
        "the record did not get the offset that it names"
    );
}

#[test]
fn a_decision_that_a_peer_remembers_differs_from_none_in_the_log() {
    let mut log = ReportLog::default();
    log.remember(report(7, 10));
    assert!(log.apply_page(&page(0, 1, vec![record(0, 7, 12)])));
    assert_eq!(
        log.decided(7),
        Some(&report(7, 10)),
        "the remembered one may have been sent"
    );
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
