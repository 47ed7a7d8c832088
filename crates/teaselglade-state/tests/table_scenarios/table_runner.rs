//! Runner of the table scenarios.
//!
//! `publish ID base=N author=NAME weight=N fault=lost|late|dropped|refused` appends a publication;
//! `late` appends the delayed ones; `read HOST most=N` replays a page; `keep HOST` appends a
//! snapshot, and `keep HOST late=ID` takes one that `land ID` appends later; `drop N` drops the
//! oldest records; `outage on|off` makes the log unavailable; `peer FROM TO` passes a head to a
//! peer; `show HOST` and `history HOST` write to the trace.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use bytes::Bytes;
use teaselglade_core::time::Timestamp;
use teaselglade_scenario::{Result, ScenarioStep};
use teaselglade_state::table::{PublicationEntry, PublicationOutcome, TableReplica, encode_record};
use teaselglade_wire::{TablePublication, TableRecord};

use super::fake_log::{AppendFault, FakeLog};

const CLUSTER: &str = "halloran";

#[derive(Debug, Default)]
pub struct TableRunner {
    log: FakeLog,
    hosts: BTreeMap<String, TableReplica>,
    pending_snapshots: BTreeMap<String, Bytes>,
    trace: String,
}

impl TableRunner {
    pub fn trace(&self) -> &str {
        &self.trace
    }

    pub fn perform(&mut self, step: &ScenarioStep) -> Result<()> {
        let now = Timestamp::ZERO + step.at;
        match step.verb.as_str() {
            "publish" => self.publish(now, step),
            "late" => {
                self.log.append_delayed(now);
                Ok(())
            }
            "read" => self.read(step),
            "keep" => self.keep(now, step),
            "land" => self.land(now, step),
            "drop" => {
                let count = step.word(0)?.parse();
                self.log
                    .drop_records(count.map_err(|_error| step.fault("expected a count"))?);
                Ok(())
            }
            "outage" => {
                self.log.is_unavailable = step.word(0)? == "on";
                Ok(())
            }
            "peer" => self.peer(step),
            "show" => self.show(step),
            "history" => self.history(step),
            other => Err(step.fault(format!("unknown verb `{other}`"))),
        }
    }

    fn publish(&mut self, now: Timestamp, step: &ScenarioStep) -> Result<()> {
        let id = step.word(0)?.to_owned();
        let weight = step.value::<String>("weight")?;
        let publication = TablePublication {
            cluster: step.opt_value("cluster")?.unwrap_or(CLUSTER.to_owned()),
            base: step.value("base")?,
            author: step.value("author")?,
            csv: format!("kind,name,weight\norganisation,halloran,{weight}\n"),
            published_ms: now.as_millis(),
            id: id.clone(),
        };
        let fault = match step.opt_value::<String>("fault")?.as_deref() {
            None => AppendFault::None,
            Some("lost") => AppendFault::LostAfterEffect,
            Some("late") => AppendFault::LostAndDelayed,
            Some("dropped") => AppendFault::LostBeforeEffect,
            Some("refused") => AppendFault::Refused,
            Some(other) => return Err(step.fault(format!("unknown fault `{other}`"))),
        };
        let record = TableRecord::Publication(publication);
        let body = encode_record(&record).map_err(|error| step.fault(error.to_string()))?;
        let result = match self.log.append(now, body, fault) {
            Ok(offset) => format!("offset {offset}"),
            Err(error) => error.to_string(),
        };
        self.write_line(step, &format!("{id}: {result}"));
        Ok(())
    }

    fn read(&mut self, step: &ScenarioStep) -> Result<()> {
        let max_records = step.opt_value("most")?.unwrap_or(100);
        let log = &self.log;
        let host = step.word(0)?.to_owned();
        let replica = self
            .hosts
            .entry(host.clone())
            .or_insert_with(|| TableReplica::new(CLUSTER));
        let Some(page) = log.read(replica.next_offset(), max_records) else {
            self.write_line(step, &format!("{host}: the log is unavailable"));
            return Ok(());
        };
        let outcomes = replica.on_page(&page);
        let line = format!("{host}: {outcomes:?}");
        self.write_line(step, &line);
        Ok(())
    }

    fn keep(&mut self, now: Timestamp, step: &ScenarioStep) -> Result<()> {
        let record = TableRecord::Snapshot(self.host(step, 0)?.to_snapshot());
        let body = encode_record(&record).map_err(|error| step.fault(error.to_string()))?;
        match step.opt_value::<String>("late")? {
            Some(id) => {
                self.pending_snapshots.insert(id, body);
            }
            None => {
                self.log.push(now, body);
            }
        }
        Ok(())
    }

    fn land(&mut self, now: Timestamp, step: &ScenarioStep) -> Result<()> {
        let body = self.pending_snapshots.remove(step.word(0)?);
        let body = body.ok_or_else(|| step.fault("no such snapshot"))?;
        self.log.push(now, body);
        Ok(())
    }

    fn peer(&mut self, step: &ScenarioStep) -> Result<()> {
        let snapshot = self.host(step, 0)?.to_snapshot();
        let replica = self
            .hosts
            .entry(step.word(1)?.to_owned())
            .or_insert_with(|| TableReplica::new(CLUSTER));
        let is_advanced = replica.on_peer_head(snapshot);
        self.write_line(step, &format!("advanced: {is_advanced}"));
        Ok(())
    }

    fn show(&mut self, step: &ScenarioStep) -> Result<()> {
        let replica = self.host(step, 0)?;
        let head = replica.head();
        let line = format!(
            "{}: version {} by `{}`, caught up: {}, contiguous: {}",
            step.word(0)?,
            head.version,
            head.author,
            replica.is_caught_up(),
            replica.is_contiguous(),
        );
        self.write_line(step, &line);
        Ok(())
    }

    fn history(&mut self, step: &ScenarioStep) -> Result<()> {
        let lines = self.host(step, 0)?.history().map(entry_line);
        let lines = lines.collect::<Vec<_>>();
        for line in lines {
            self.write_line(step, &line);
        }
        Ok(())
    }

    fn host(&self, step: &ScenarioStep, word: usize) -> Result<&TableReplica> {
        let host = self.hosts.get(step.word(word)?);
        host.ok_or_else(|| step.fault("the host has read nothing"))
    }

    fn write_line(&mut self, step: &ScenarioStep, line: &str) {
        writeln!(self.trace, "{:>6}ms {line}", step.at.as_millis())
            .expect("writing to a string succeeds");
    }
}

fn entry_line(entry: &PublicationEntry) -> String {
    let outcome = match &entry.outcome {
        PublicationOutcome::Accepted { version } => format!("accepted as version {version}"),
        PublicationOutcome::Rejected(rejection) => format!("rejected: {rejection}"),
    };
    format!(
        "{} by `{}` on base {} at {}ms: {outcome}",
        entry.id,
        entry.author,
        entry.base,
        entry.published.as_millis()
    )
}
