//! Publishes a table and reads back what the log decided.

use std::time::Duration;

use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::{TablePublication, TableRecord};

use super::table_replica::table_faults;
use super::{
    PublicationOutcome, PublicationRejection, PublishOutcome, PublisherAction, PublisherEvent,
    TableReplica, encode_record,
};

const PUBLISH_DEADLINE: Duration = Duration::from_secs(30);
const READ_INTERVAL: Duration = Duration::from_millis(200);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time in which an append whose answer was lost reaches the log, if it ever does.
const APPEND_SETTLE_TIME: Duration = Duration::from_secs(3);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PublishStage {
    CatchingUp,
    AwaitingAppend,
    ReadingBack { append_again_at: Option<Timestamp> },
    Finished,
}

/// Publishes one table; says "accepted" only after reading it back from the log.
///
/// A lost answer is resolved by reading. A second append happens only after the log was read to
/// its end without the first one, and it carries the same id and base: should the first arrive
/// late, at most one of them is accepted.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_state::table::{
///     PublisherAction, PublisherEvent, TablePublisher, TableReplica,
/// };
/// use teaselglade_wire::TablePublication;
///
/// let publication = TablePublication {
///     cluster: "halloran".to_owned(),
///     id: "p1".to_owned(),
///     base: 0,
///     author: "aoife".to_owned(),
///     csv: "kind,name\norganisation,halloran\n".to_owned(),
///     published_ms: 0,
/// };
/// let mut publisher = TablePublisher::new(TableReplica::new("halloran"), publication);
/// let actions = publisher.on_event(Timestamp::ZERO, PublisherEvent::Start);
/// assert_eq!(actions, [PublisherAction::Read { from: 0 }]);
/// ```
#[derive(Debug, Clone)]
pub struct TablePublisher {
    replica: TableReplica,
    publication: TablePublication,
    stage: PublishStage,
    deadline: Option<Timestamp>,
    may_be_appended: bool,
    gaps_before_append: u64,
}

impl TablePublisher {
    /// Makes a publisher that reads the log into `replica`.
    #[must_use]
    pub const fn new(replica: TableReplica, publication: TablePublication) -> Self {
        Self {
            replica,
            publication,
            stage: PublishStage::CatchingUp,
            deadline: None,
            may_be_appended: false,
            gaps_before_append: 0,
        }
    }

    /// Returns the replica as read so far.
    #[must_use]
    pub const fn replica(&self) -> &TableReplica {
        &self.replica
    }

    /// Handles an event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: PublisherEvent) -> Vec<PublisherAction> {
        if self.stage == PublishStage::Finished {
            return Vec::new();
        }
        let deadline = *self.deadline.get_or_insert(now + PUBLISH_DEADLINE);
        let action = match event {
            PublisherEvent::Start | PublisherEvent::Wake => self.read(),
            PublisherEvent::PageRead(page) => self.on_page(now, &page),
            PublisherEvent::ReadFailed => PublisherAction::WakeAt(now + RETRY_INTERVAL),
            PublisherEvent::Appended(answer) => self.on_appended(now, &answer),
        };
        let is_waiting = !matches!(action, PublisherAction::Finish(_));
        if is_waiting && now >= deadline && self.stage != PublishStage::AwaitingAppend {
            return vec![self.give_up()];
        }
        vec![action]
    }

    fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PublisherAction {
        self.replica.on_page(page);
        let outcome = self.decided();
        let is_accepted = matches!(outcome, Some(PublishOutcome::Accepted { .. }));
        if self.is_record_lost() && !is_accepted {
            return self.finish(PublishOutcome::Unresolved);
        }
        if let Some(outcome) = outcome {
            return self.finish(outcome);
        }
        if !self.replica.is_caught_up() {
            return self.read_on(now, page);
        }
        match self.stage {
            PublishStage::CatchingUp => self.check_and_append(),
            PublishStage::ReadingBack {
                append_again_at: Some(at),
            } if now >= at => self.check_and_append(),
            _ => PublisherAction::WakeAt(now + READ_INTERVAL),
        }
    }

    fn on_appended(&mut self, now: Timestamp, answer: &Result<u64, LogError>) -> PublisherAction {
        match answer {
            Ok(_) => {
                self.may_be_appended = true;
                self.stage = PublishStage::ReadingBack {
                    append_again_at: None,
                };
                self.read()
            }
            Err(LogError::Unknown { .. }) => {
                self.may_be_appended = true;
                self.stage = PublishStage::ReadingBack {
                    append_again_at: Some(now + APPEND_SETTLE_TIME),
                };
                self.read()
            }
            Err(LogError::Refused { .. }) => {
                self.stage = self.stage_after_refusal(now);
                PublisherAction::WakeAt(now + RETRY_INTERVAL)
            }
        }
    }

    fn stage_after_refusal(&self, now: Timestamp) -> PublishStage {
        if !self.may_be_appended {
            return PublishStage::CatchingUp;
        }
        PublishStage::ReadingBack {
            append_again_at: Some(now + RETRY_INTERVAL),
        }
    }

    /// Rejects what the log would reject, so that no append is spent on it.
    fn check_and_append(&mut self) -> PublisherAction {
        let rejection = (!self.may_be_appended).then(|| self.early_rejection());
        if let Some(rejection) = rejection.flatten() {
            return self.finish(PublishOutcome::Rejected(rejection));
        }
        let record = TableRecord::Publication(self.publication.clone());
        let Ok(body) = encode_record(&record) else {
            return self.finish(PublishOutcome::NotAppended);
        };
        if !self.may_be_appended {
            self.gaps_before_append = self.replica.counts().gaps;
        }
        self.stage = PublishStage::AwaitingAppend;
        PublisherAction::Append { body }
    }

    fn early_rejection(&self) -> Option<PublicationRejection> {
        let head = self.replica.head().version;
        let base = self.publication.base;
        if base > head {
            return Some(PublicationRejection::UnknownBase { head });
        }
        if base < head {
            let winner = self.replica.version(base + 1).cloned().map(Box::new);
            return Some(PublicationRejection::StaleBase { winner, head });
        }
        let faults = table_faults(&self.publication.csv)?;
        Some(PublicationRejection::InvalidTable { faults })
    }

    fn decided(&self) -> Option<PublishOutcome> {
        let head = self.replica.head();
        if head.version > 0 && head.id == self.publication.id {
            return Some(PublishOutcome::Accepted {
                version: head.version,
            });
        }
        match self.replica.publication(&self.publication.id)? {
            PublicationOutcome::Accepted { version } => {
                Some(PublishOutcome::Accepted { version: *version })
            }
            PublicationOutcome::Rejected(rejection) => {
                Some(PublishOutcome::Rejected(rejection.clone()))
            }
        }
    }

    /// Returns whether the log may have dropped the decisive record before it was read.
    const fn is_record_lost(&self) -> bool {
        self.may_be_appended && self.replica.counts().gaps > self.gaps_before_append
    }

    /// Reads on at once, or later where the log has nothing new for this replica.
    fn read_on(&self, now: Timestamp, page: &LogPage) -> PublisherAction {
        if page.records.is_empty() {
            return PublisherAction::WakeAt(now + READ_INTERVAL);
        }
        self.read()
    }

    const fn read(&self) -> PublisherAction {
        PublisherAction::Read {
            from: self.replica.next_offset(),
        }
    }

    fn give_up(&mut self) -> PublisherAction {
        let outcome = if self.may_be_appended {
            PublishOutcome::Unresolved
        } else {
            PublishOutcome::NotAppended
        };
        self.finish(outcome)
    }

    const fn finish(&mut self, outcome: PublishOutcome) -> PublisherAction {
        self.stage = PublishStage::Finished;
        PublisherAction::Finish(outcome)
    }
}
