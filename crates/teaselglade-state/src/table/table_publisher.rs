//! Publication of a table, confirmed by reading it back from the log.

use std::time::Duration;

use teaselglade_core::port::{LogError, LogPage};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::{TablePublication, TableRecord};

use super::table_replica::table_faults;
use super::{
    PublicationOutcome, PublicationRejection, PublishOutcome, PublisherAction, PublisherEvent,
    TableReplica, encode_record,
};

const PUBLISH_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time for an append whose response was lost to reach the log before it is retried.
const APPEND_SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Progress of a publication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PublishStage {
    CatchingUp,
    AwaitingAppend,
    ReadingBack { retry_append_at: Option<Timestamp> },
    Finished,
}

/// State machine that publishes one table.
///
/// It reports the publication as accepted only after reading it back from the log, which also
/// resolves an append whose response was lost. It appends again only after reading to the end of
/// the log without finding the first record. The second record has the same id and base, so that
/// at most one of them is accepted even if the first one arrives late.
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
    /// Creates a publisher that replays the log into `replica`.
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

    /// Returns the replica with the pages replayed so far.
    #[must_use]
    pub const fn replica(&self) -> &TableReplica {
        &self.replica
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// Returns no actions once the publication has ended.
    pub fn on_event(&mut self, now: Timestamp, event: PublisherEvent) -> Vec<PublisherAction> {
        if self.stage == PublishStage::Finished {
            return Vec::new();
        }
        let deadline = *self.deadline.get_or_insert(now + PUBLISH_TIMEOUT);
        let action = match event {
            PublisherEvent::Start | PublisherEvent::Wake => self.read(),
            PublisherEvent::PageRead(page) => self.on_page(now, &page),
            PublisherEvent::ReadFailed => PublisherAction::WakeAt(now + RETRY_INTERVAL),
            PublisherEvent::Appended(result) => self.on_appended(now, &result),
        };
        let is_waiting = !matches!(action, PublisherAction::Finish(_));
        if is_waiting && now >= deadline && self.stage != PublishStage::AwaitingAppend {
            return vec![self.give_up()];
        }
        vec![action]
    }

    fn on_page(&mut self, now: Timestamp, page: &LogPage) -> PublisherAction {
        self.replica.on_page(page);
        let outcome = self.decided_outcome();
        let is_accepted = matches!(outcome, Some(PublishOutcome::Accepted { .. }));
        if self.is_record_lost() && !is_accepted {
            return self.finish(PublishOutcome::Unresolved);
        }
        if let Some(outcome) = outcome {
            return self.finish(outcome);
        }
        if !self.replica.is_caught_up() {
            return self.continue_reading(now, page);
        }
        match self.stage {
            PublishStage::CatchingUp => self.check_and_append(),
            PublishStage::ReadingBack {
                retry_append_at: Some(at),
            } if now >= at => self.check_and_append(),
            _ => PublisherAction::WakeAt(now + POLL_INTERVAL),
        }
    }

    fn on_appended(&mut self, now: Timestamp, result: &Result<u64, LogError>) -> PublisherAction {
        match result {
            Ok(_) => {
                self.may_be_appended = true;
                self.stage = PublishStage::ReadingBack {
                    retry_append_at: None,
                };
                self.read()
            }
            Err(LogError::Unknown { .. }) => {
                self.may_be_appended = true;
                self.stage = PublishStage::ReadingBack {
                    retry_append_at: Some(now + APPEND_SETTLE_TIMEOUT),
                };
                self.read()
            }
            Err(LogError::Refused { .. }) => {
                self.stage = self.stage_after_refusal(now);
                PublisherAction::WakeAt(now + RETRY_INTERVAL)
            }
        }
    }

    /// Returns the stage that follows a refused append.
    ///
    /// An earlier append may still have reached the log, so the log is read before a retry.
    fn stage_after_refusal(&self, now: Timestamp) -> PublishStage {
        if !self.may_be_appended {
            return PublishStage::CatchingUp;
        }
        PublishStage::ReadingBack {
            retry_append_at: Some(now + RETRY_INTERVAL),
        }
    }

    /// Appends the publication; rejects it without an append if the log would reject it.
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

    /// Returns why the publication would be rejected at the current head, if it would.
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

    /// Returns the outcome of the publication if the replica has read its record.
    fn decided_outcome(&self) -> Option<PublishOutcome> {
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

    /// Returns whether retention may have dropped the record before it was read.
    const fn is_record_lost(&self) -> bool {
        self.may_be_appended && self.replica.counts().gaps > self.gaps_before_append
    }

    /// Reads the next page at once, or after an interval if the last one was empty.
    fn continue_reading(&self, now: Timestamp, page: &LogPage) -> PublisherAction {
        if page.records.is_empty() {
            return PublisherAction::WakeAt(now + POLL_INTERVAL);
        }
        self.read()
    }

    const fn read(&self) -> PublisherAction {
        PublisherAction::Read {
            from: self.replica.next_offset(),
        }
    }

    /// Ends the publication at its deadline.
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
