//! All replicas derive the same versions, whatever they read and whenever they start.

use bytes::Bytes;
use proptest::prelude::*;
use teaselglade_core::time::Timestamp;
use teaselglade_state::table::{TableReplica, encode_record};
use teaselglade_wire::TableRecord;

use super::fake_log::FakeLog;
use super::support::{CLUSTER, ReferenceReplay, body, publication, read_to_end, valid_csv};

#[derive(Debug, Clone)]
enum Step {
    Publish { behind: u64, valid: bool },
    PublishTwice,
    PublishOnFutureBase,
    Malformed,
    Foreign,
    Read { reader: usize, max_records: usize },
    DropRecords { count: u64 },
    StartReader,
    TakeSnapshot { reader: usize },
    AppendSnapshots,
    PeerHead { from: usize, to: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u64..2, prop::bool::weighted(0.8))
            .prop_map(|(behind, valid)| Step::Publish { behind, valid }),
        1 => Just(Step::PublishTwice),
        1 => Just(Step::PublishOnFutureBase),
        1 => Just(Step::Malformed),
        1 => Just(Step::Foreign),
        6 => (0_usize..6, 1_usize..5)
            .prop_map(|(reader, max_records)| Step::Read { reader, max_records }),
        2 => (1_u64..4).prop_map(|count| Step::DropRecords { count }),
        2 => Just(Step::StartReader),
        3 => (0_usize..6).prop_map(|reader| Step::TakeSnapshot { reader }),
        2 => Just(Step::AppendSnapshots),
        2 => (0_usize..6, 0_usize..6).prop_map(|(from, to)| Step::PeerHead { from, to }),
    ];
    prop::collection::vec(step, 1..120)
}

#[derive(Debug)]
struct Simulation {
    log: FakeLog,
    reference: ReferenceReplay,
    readers: Vec<TableReplica>,
    pending_snapshots: Vec<Bytes>,
    published: u64,
}

impl Simulation {
    fn new() -> Self {
        Self {
            log: FakeLog::default(),
            reference: ReferenceReplay::new(),
            readers: vec![TableReplica::new(CLUSTER); 3],
            pending_snapshots: Vec::new(),
            published: 0,
        }
    }

    fn push(&mut self, body: Bytes) {
        self.log.push(Timestamp::ZERO, body);
        self.reference.extend(&self.log.all);
    }

    fn head(&self) -> u64 {
        self.reference.head().0
    }

    fn publish(&mut self, base: u64, valid: bool) -> Bytes {
        self.published += 1;
        let csv = if valid {
            valid_csv(self.published)
        } else {
            "kind,name\nnonsense,x\n".to_owned()
        };
        let body = body(publication(&format!("p{}", self.published), base, &csv));
        self.push(body.clone());
        body
    }

    fn apply(&mut self, step: &Step) {
        let count = self.readers.len();
        match *step {
            Step::Publish { behind, valid } => {
                self.publish(self.head().saturating_sub(behind), valid);
            }
            Step::PublishTwice => {
                let body = self.publish(self.head(), true);
                self.push(body);
            }
            Step::PublishOnFutureBase => {
                self.publish(self.head() + 1, true);
            }
            Step::Malformed => self.push(Bytes::from_static(b"\x00nonsense")),
            Step::Foreign => {
                let mut foreign = publication("foreign", self.head(), &valid_csv(1));
                "dragons-sleeve".clone_into(&mut foreign.cluster);
                self.push(body(foreign));
            }
            Step::Read {
                reader,
                max_records,
            } => {
                let reader = &mut self.readers[reader % count];
                let page = self
                    .log
                    .read(reader.next_offset(), max_records)
                    .expect("log is up");
                reader.on_page(&page);
            }
            Step::DropRecords { count } => self.log.drop_records(count),
            Step::StartReader => self.readers.push(TableReplica::new(CLUSTER)),
            Step::TakeSnapshot { reader } => {
                let reader = &self.readers[reader % count];
                if reader.is_caught_up() {
                    let record = TableRecord::Snapshot(reader.to_snapshot());
                    self.pending_snapshots
                        .push(encode_record(&record).expect("encodable"));
                }
            }
            Step::AppendSnapshots => {
                for body in std::mem::take(&mut self.pending_snapshots) {
                    self.push(body);
                }
            }
            Step::PeerHead { from, to } => {
                let snapshot = self.readers[from % count].to_snapshot();
                self.readers[to % count].on_peer_head(snapshot);
            }
        }
    }

    fn check(&self, before: &[u64]) -> Result<(), TestCaseError> {
        let heads = self.reference.heads();
        for (index, reader) in self.readers.iter().enumerate() {
            let (version, id) = &heads[reader.applied_offset() as usize];
            prop_assert_eq!(reader.head().version, *version, "reader {}", index);
            prop_assert_eq!(&reader.head().id, id, "reader {}", index);
            prop_assert!(reader.head().version >= before.get(index).copied().unwrap_or(0));
            prop_assert_eq!(reader.counts().conflicts, 0);
        }
        Ok(())
    }
}

proptest! {
    #[test]
    fn replicas_agree_and_versions_never_decrease(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in &steps {
            let before = simulation.readers.iter().map(|r| r.head().version).collect::<Vec<_>>();
            simulation.apply(step);
            simulation.check(&before)?;
        }
        simulation.apply(&Step::AppendSnapshots);
        for reader in &mut simulation.readers {
            read_to_end(reader, &simulation.log);
        }
        simulation.check(&[])?;
        let head = simulation.head();
        let caught_up = simulation.readers.iter().filter(|reader| reader.is_caught_up());
        for reader in caught_up {
            prop_assert_eq!(reader.head().version, head);
        }
    }
}

#[test]
fn conflicting_snapshot_is_counted_and_ignored() {
    let mut log = FakeLog::default();
    log.push(Timestamp::ZERO, body(publication("p1", 0, &valid_csv(1))));
    let mut replica = TableReplica::new(CLUSTER);
    read_to_end(&mut replica, &log);
    let mut snapshot = replica.to_snapshot();
    snapshot.version = 9;
    let record = TableRecord::Snapshot(snapshot);
    log.push(Timestamp::ZERO, encode_record(&record).expect("encodable"));
    read_to_end(&mut replica, &log);
    assert_eq!(replica.head().version, 1);
    assert_eq!(replica.counts().conflicts, 1);
}
