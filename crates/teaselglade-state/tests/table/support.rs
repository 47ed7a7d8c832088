//! Test records, and an independent replay that replicas are compared with.

use bytes::Bytes;
use teaselglade_core::port::LogRecord;
use teaselglade_core::table::parse_table;
use teaselglade_state::table::{TableReplica, decode_record, encode_record};
use teaselglade_wire::{TablePublication, TableRecord};

use super::fake_log::FakeLog;

pub const CLUSTER: &str = "halloran";

pub fn publication(id: &str, base: u64, csv: &str) -> TablePublication {
    TablePublication {
        cluster: CLUSTER.to_owned(),
        id: id.to_owned(),
        base,
        author: format!("author of {id}"),
        csv: csv.to_owned(),
        published_ms: 0,
    }
}

pub fn valid_csv(weight: u64) -> String {
    format!("kind,name,weight\norganisation,halloran,{}\n", weight + 1)
}

pub fn body(publication: TablePublication) -> Bytes {
    encode_record(&TableRecord::Publication(publication)).expect("encodable")
}

/// Expected heads by offset: entry `n` is the version and id after the first `n` records.
#[derive(Debug)]
pub struct ReferenceReplay {
    heads: Vec<(u64, String)>,
}

impl ReferenceReplay {
    pub fn new() -> Self {
        Self {
            heads: vec![(0, String::new())],
        }
    }

    pub fn of(records: &[LogRecord]) -> Self {
        let mut replay = Self::new();
        replay.extend(records);
        replay
    }

    pub fn extend(&mut self, records: &[LogRecord]) {
        let known = self.heads.len() - 1;
        for record in &records[known..] {
            let (version, id) = self.head().clone();
            let next = match decode_record(&record.body) {
                Ok(TableRecord::Publication(publication))
                    if publication.cluster == CLUSTER
                        && publication.base == version
                        && parse_table(&publication.csv).is_ok() =>
                {
                    (version + 1, publication.id)
                }
                _ => (version, id),
            };
            self.heads.push(next);
        }
    }

    pub fn head(&self) -> &(u64, String) {
        self.heads.last().expect("one entry")
    }

    pub fn heads(&self) -> &[(u64, String)] {
        &self.heads
    }
}

pub fn read_to_end(replica: &mut TableReplica, log: &FakeLog) {
    for _ in 0..10_000 {
        let Some(page) = log.read(replica.next_offset(), 16) else {
            return;
        };
        let is_done = page.records.is_empty();
        replica.on_page(&page);
        if replica.is_caught_up() || is_done {
            return;
        }
    }
    panic!("the replica does not reach the end of the log");
}
