//! Every recorded entry is read exactly once and in order, whatever the outcome of the appends.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_state::audit::{
    AuditCommand, AuditEvent, AuditFilter, AuditLimits, AuditReader, AuditWriter,
};
use teaselglade_wire::{AuditAction, AuditEntry};

/// Outcome of one append to the log.
#[derive(Debug, Clone, Copy)]
enum AppendOutcome {
    Acknowledged,
    ResponseLost,
    Rejected,
    WrittenLate,
}

fn entry(number: u64) -> AuditEntry {
    AuditEntry {
        actor: "galway-e1".to_owned(),
        action: AuditAction::HostOrdered,
        subject: format!("host/{number}"),
        from: None,
        to: None,
        at_ms: number,
        number: Some(number),
    }
}

fn read_all(bodies: &[Bytes], filter: AuditFilter) -> (Vec<u64>, u64) {
    let record = |(offset, body): (usize, &Bytes)| LogRecord {
        offset: offset as u64,
        appended: Timestamp::ZERO,
        body: body.clone(),
    };
    let records = bodies.iter().enumerate().map(record).collect::<Vec<_>>();
    let page = LogPage {
        first: 0,
        end: records.len() as u64,
        records,
    };
    let mut reader = AuditReader::new(filter);
    let lines = reader.on_page(&page);
    // A page that is read again returns no entries.
    assert!(reader.on_page(&page).is_empty());
    let numbers = lines.iter().filter_map(|line| line.entry.number);
    (numbers.collect(), reader.malformed())
}

fn outcome() -> impl Strategy<Value = AppendOutcome> {
    prop_oneof![
        3 => Just(AppendOutcome::Acknowledged),
        2 => Just(AppendOutcome::ResponseLost),
        1 => Just(AppendOutcome::Rejected),
        1 => Just(AppendOutcome::WrittenLate),
    ]
}

proptest! {
    #[test]
    fn every_entry_is_read_once_in_order(
        outcomes in prop::collection::vec(outcome(), 1..40),
        entries in 1_u64..200,
    ) {
        let limits = AuditLimits { max_batch_entries: 16, ..AuditLimits::default() };
        let mut writer = AuditWriter::new("w/1", limits);
        let mut log = Vec::new();
        let mut delayed = Vec::new();
        let mut now = Timestamp::ZERO;
        let mut outcomes = outcomes.into_iter();
        let mut recorded = 0;
        while recorded < entries || !writer.is_drained() {
            let event = if recorded < entries {
                recorded += 1;
                AuditEvent::Recorded(entry(recorded))
            } else {
                AuditEvent::Tick
            };
            let commands = writer.on_event(now, event);
            for AuditCommand::Append(body) in commands {
                let response = match outcomes.next().unwrap_or(AppendOutcome::Acknowledged) {
                    AppendOutcome::Acknowledged => { log.push(body); AuditEvent::Appended }
                    AppendOutcome::ResponseLost => { log.push(body); AuditEvent::AppendFailed }
                    AppendOutcome::Rejected => AuditEvent::AppendFailed,
                    AppendOutcome::WrittenLate => { delayed.push(body); AuditEvent::AppendFailed }
                };
                writer.on_event(now, response);
            }
            now = now + Duration::from_millis(300);
        }
        // Appends written long after their caller timed out come last.
        log.extend(delayed);
        let (numbers, malformed) = read_all(&log, AuditFilter::default());
        prop_assert_eq!(numbers, (1..=entries).collect::<Vec<_>>());
        prop_assert_eq!(malformed, 0);
    }
}

#[test]
fn appends_stay_within_the_rate() {
    let mut writer = AuditWriter::new("w/1", AuditLimits::default());
    let mut appends = 0;
    for step in 0..600_u64 {
        let now = Timestamp::from_millis(step * 100);
        let commands = writer.on_event(now, AuditEvent::Recorded(entry(step)));
        for _append in commands {
            appends += 1;
            writer.on_event(now, AuditEvent::Appended);
        }
    }
    // One append per second for 60 s.
    assert!(appends <= 60, "{appends} appends");
}

#[test]
fn full_queue_drops_and_counts_entries() {
    let limits = AuditLimits {
        max_queue_entries: 10,
        ..AuditLimits::default()
    };
    let mut writer = AuditWriter::new("w/1", limits);
    for number in 0..30 {
        writer.on_event(Timestamp::ZERO, AuditEvent::Recorded(entry(number)));
    }
    // The first entry is in the open batch and ten are queued.
    assert_eq!(writer.dropped(), 19);
}

#[test]
fn malformed_record_is_counted_and_skipped() {
    let (numbers, malformed) = read_all(&[Bytes::from_static(b"{}")], AuditFilter::default());
    assert_eq!((numbers.len(), malformed), (0, 1));
}
