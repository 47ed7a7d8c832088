//! Every recorded entry is read once and in order, whatever happens to the appends.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use teaselglade_core::port::{LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_state::audit::{
    AuditCommand, AuditEvent, AuditFilter, AuditLimits, AuditReader, AuditWriter,
};
use teaselglade_wire::{AuditAction, AuditEntry};

/// What the log does with one append.
#[derive(Debug, Clone, Copy)]
enum AppendFate {
    Answered,
    AnswerLost,
    Refused,
    LandsLate,
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
    // A page that is read again brings nothing.
    assert!(reader.on_page(&page).is_empty());
    let numbers = lines.iter().filter_map(|line| line.entry.number);
    (numbers.collect(), reader.malformed())
}

fn fate() -> impl Strategy<Value = AppendFate> {
    prop_oneof![
        3 => Just(AppendFate::Answered),
        2 => Just(AppendFate::AnswerLost),
        1 => Just(AppendFate::Refused),
        1 => Just(AppendFate::LandsLate),
    ]
}

proptest! {
    #[test]
    fn every_entry_is_read_once_in_order(
        fates in prop::collection::vec(fate(), 1..40),
        entries in 1_u64..200,
    ) {
        let limits = AuditLimits { max_batch_entries: 16, ..AuditLimits::default() };
        let mut writer = AuditWriter::new("w/1", limits);
        let mut log = Vec::new();
        let mut late = Vec::new();
        let mut now = Timestamp::ZERO;
        let mut fates = fates.into_iter();
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
                let answer = match fates.next().unwrap_or(AppendFate::Answered) {
                    AppendFate::Answered => { log.push(body); AuditEvent::Appended }
                    AppendFate::AnswerLost => { log.push(body); AuditEvent::AppendFailed }
                    AppendFate::Refused => AuditEvent::AppendFailed,
                    AppendFate::LandsLate => { late.push(body); AuditEvent::AppendFailed }
                };
                writer.on_event(now, answer);
            }
            now = now + Duration::from_millis(300);
        }
        // Appends that landed long after their answer was given up come last.
        log.extend(late);
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
    // One append a second over 60 s.
    assert!(appends <= 60, "{appends} appends");
}

#[test]
fn full_queue_drops_and_counts() {
    let limits = AuditLimits {
        max_queue_entries: 10,
        ..AuditLimits::default()
    };
    let mut writer = AuditWriter::new("w/1", limits);
    for number in 0..30 {
        writer.on_event(Timestamp::ZERO, AuditEvent::Recorded(entry(number)));
    }
    // The first entry is in the open batch, ten wait.
    assert_eq!(writer.dropped(), 19);
}

#[test]
fn foreign_record_is_counted_and_passed_over() {
    let (numbers, malformed) = read_all(&[Bytes::from_static(b"{}")], AuditFilter::default());
    assert_eq!((numbers.len(), malformed), (0, 1));
}
