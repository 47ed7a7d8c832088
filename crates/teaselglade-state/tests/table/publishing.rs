//! A publisher's report matches the decision in the log.

use proptest::prelude::*;
use std::time::Duration;
use teaselglade_core::time::Timestamp;
use teaselglade_state::table::{
    PublicationRejection, PublishOutcome, PublisherAction, PublisherEvent, TablePublisher,
    TableReplica, encode_record, table_changes,
};

use teaselglade_wire::TableRecord;

use super::fake_log::{AppendFault, FakeLog};
use super::support::{CLUSTER, ReferenceReplay, body, publication, read_to_end, valid_csv};

#[derive(Debug, Clone)]
enum Step {
    Advance {
        publisher: usize,
        fault: AppendFault,
    },
    AppendDelayed,
    Outage {
        is_unavailable: bool,
    },
    DropRecords {
        count: u64,
    },
    Wait {
        millis: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let fault = prop_oneof![
        3 => Just(AppendFault::None),
        2 => Just(AppendFault::LostAfterEffect),
        2 => Just(AppendFault::LostBeforeEffect),
        2 => Just(AppendFault::LostAndDelayed),
        1 => Just(AppendFault::Refused),
    ];
    let step = prop_oneof![
        12 => (0_usize..4, fault)
            .prop_map(|(publisher, fault)| Step::Advance { publisher, fault }),
        2 => Just(Step::AppendDelayed),
        1 => any::<bool>().prop_map(|is_unavailable| Step::Outage { is_unavailable }),
        1 => (1_u64..3).prop_map(|count| Step::DropRecords { count }),
        3 => (100_u64..4_000).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 1..160)
}

#[derive(Debug)]
struct Operator {
    id: String,
    publisher: TablePublisher,
    action: Option<PublisherAction>,
    outcome: Option<PublishOutcome>,
}

impl Operator {
    fn new(number: usize) -> Self {
        let id = format!("p{number}");
        let base = number as u64 / 3;
        let change = publication(&id, base, &valid_csv(number as u64));
        let mut publisher = TablePublisher::new(TableReplica::new(CLUSTER), change);
        let actions = publisher.on_event(Timestamp::ZERO, PublisherEvent::Start);
        Self {
            id,
            publisher,
            action: actions.into_iter().next(),
            outcome: None,
        }
    }

    /// Performs the outstanding action and passes its result to the publisher.
    fn advance(&mut self, now: Timestamp, log: &mut FakeLog, fault: AppendFault) {
        let event = match self.action.clone() {
            Some(PublisherAction::Read { from }) => log
                .read(from, 3)
                .map_or(PublisherEvent::ReadFailed, PublisherEvent::PageRead),
            Some(PublisherAction::Append { body }) => {
                PublisherEvent::Appended(log.append(now, body, fault))
            }
            Some(PublisherAction::WakeAt(at)) if now >= at => PublisherEvent::Wake,
            _ => return,
        };
        let actions = self.publisher.on_event(now, event);
        self.action = actions.into_iter().next();
        if let Some(PublisherAction::Finish(outcome)) = &self.action {
            self.outcome = Some(outcome.clone());
        }
    }
}

fn check(operator: &Operator, log: &FakeLog) -> Result<(), TestCaseError> {
    let replay = ReferenceReplay::of(&log.all);
    let version = replay.heads().iter().find(|(_, id)| *id == operator.id);
    let version = version.map(|(version, _)| *version);
    match operator.outcome.as_ref().expect("every publisher ends") {
        PublishOutcome::Accepted { version: reported } => prop_assert_eq!(Some(*reported), version),
        PublishOutcome::Rejected(_) => prop_assert_eq!(None, version),
        PublishOutcome::NotAppended => {
            let needle = format!("\"{}\"", operator.id);
            let has_id = |record: &teaselglade_core::port::LogRecord| {
                String::from_utf8_lossy(&record.body).contains(&needle)
            };
            prop_assert!(!log.all.iter().any(has_id));
        }
        PublishOutcome::Unresolved => {}
    }
    Ok(())
}

proptest! {
    #[test]
    fn publisher_reports_the_outcome_in_the_log(steps in steps()) {
        let mut now = Timestamp::ZERO;
        let mut log = FakeLog::default();
        let mut operators = (0..4).map(Operator::new).collect::<Vec<_>>();
        for step in steps {
            match step {
                Step::Advance { publisher, fault } => {
                    operators[publisher].advance(now, &mut log, fault);
                }
                Step::AppendDelayed => log.append_delayed(now),
                Step::Outage { is_unavailable } => log.is_unavailable = is_unavailable,
                Step::DropRecords { count } => log.drop_records(count),
                Step::Wait { millis } => now = now + Duration::from_millis(millis),
            }
        }
        log.is_unavailable = false;
        while operators.iter().any(|operator| operator.outcome.is_none()) {
            now = now + Duration::from_millis(100);
            for operator in &mut operators {
                operator.advance(now, &mut log, AppendFault::None);
            }
        }
        log.append_delayed(now);
        for operator in &operators {
            check(operator, &log)?;
        }
    }
}

fn publish(log: &mut FakeLog, id: &str, base: u64, csv: &str) -> (PublishOutcome, Duration) {
    let change = publication(id, base, csv);
    let publisher = TablePublisher::new(TableReplica::new(CLUSTER), change);
    let mut operator = Operator {
        id: id.to_owned(),
        publisher,
        action: None,
        outcome: None,
    };
    let start = operator
        .publisher
        .on_event(Timestamp::ZERO, PublisherEvent::Start);
    operator.action = start.into_iter().next();
    let mut now = Timestamp::ZERO;
    while operator.outcome.is_none() {
        operator.advance(now, log, AppendFault::None);
        now = now + Duration::from_millis(50);
    }
    (operator.outcome.expect("ended"), now - Timestamp::ZERO)
}

#[test]
fn rejected_publisher_sees_the_accepted_change() {
    let mut log = FakeLog::default();
    log.push(Timestamp::ZERO, body(publication("p1", 0, &valid_csv(1))));
    log.push(Timestamp::ZERO, body(publication("p2", 1, &valid_csv(2))));
    let (outcome, _) = publish(&mut log, "p3", 1, &valid_csv(3));
    let PublishOutcome::Rejected(PublicationRejection::StaleBase {
        winner: Some(winner),
        head,
    }) = outcome
    else {
        panic!("unexpected outcome {outcome:?}");
    };
    assert_eq!((winner.version, head), (2, 2));
    let changes = table_changes(&valid_csv(1), &winner.csv);
    insta::assert_snapshot!(changes[0].to_string(), @r"
    - organisation,halloran,2
    + organisation,halloran,3
    ");
    assert_eq!(
        log.all.len(),
        2,
        "a stale base is rejected without an append"
    );
}

#[test]
fn faulty_table_is_rejected_before_the_append() {
    let mut log = FakeLog::default();
    let (outcome, _) = publish(&mut log, "p1", 0, "kind,name\nnonsense,x\n");
    let is_invalid = matches!(
        outcome,
        PublishOutcome::Rejected(PublicationRejection::InvalidTable { .. })
    );
    assert!(is_invalid);
    assert!(log.all.is_empty());
}

#[test]
fn publication_during_an_outage_is_not_appended() {
    let mut log = FakeLog {
        is_unavailable: true,
        ..FakeLog::default()
    };
    let (outcome, _) = publish(&mut log, "p1", 0, &valid_csv(1));
    assert_eq!(outcome, PublishOutcome::NotAppended);
}

/// The append took effect but its response was lost, and retention dropped the record before the
/// publisher read it.
#[test]
fn record_dropped_before_it_is_read_back_is_unresolved() {
    let mut log = FakeLog::default();
    let mut operator = Operator::new(0);
    let mut now = Timestamp::ZERO;
    operator.advance(now, &mut log, AppendFault::None);
    operator.advance(now, &mut log, AppendFault::LostAfterEffect);
    let mut reader = TableReplica::new(CLUSTER);
    read_to_end(&mut reader, &log);
    log.push(now, body(publication("p9", 1, &valid_csv(9))));
    read_to_end(&mut reader, &log);
    log.drop_records(2);
    let snapshot = TableRecord::Snapshot(reader.to_snapshot());
    log.push(now, encode_record(&snapshot).expect("encodable"));
    while operator.outcome.is_none() {
        operator.advance(now, &mut log, AppendFault::None);
        now = now + Duration::from_millis(100);
    }
    assert_eq!(operator.outcome, Some(PublishOutcome::Unresolved));
}
