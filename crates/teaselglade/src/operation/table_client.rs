//! Reads and publishes the table.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, eyre};
use teaselglade_core::port::{ClockPort, LogPort, StreamName};
use teaselglade_core::time::Timestamp;
use teaselglade_net::client::HttpClient;
use teaselglade_net::clock::SystemClock;
use teaselglade_net::platform::LogClient;
use teaselglade_state::table::{
    PublishOutcome, PublisherAction, PublisherEvent, TablePublisher, TableReplica,
};
use teaselglade_wire::TablePublication;
use tokio::time::sleep;
use uuid::Uuid;

const PAGE_RECORDS: u32 = 500;

/// What an operator wants published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableOrder {
    /// Version that the table was made from; none takes the version in force.
    pub base: Option<u64>,
    /// Who publishes.
    pub author: String,
    /// The table as comma-separated values.
    pub csv: String,
}

/// Reads and publishes the table of one cluster.
#[derive(Debug)]
pub struct TableClient {
    log: Arc<dyn LogPort>,
    clock: SystemClock,
    cluster: String,
}

impl TableClient {
    /// Makes a client of the log at `address`.
    pub fn new(address: std::net::SocketAddr, cluster: impl Into<String>) -> Self {
        let log = LogClient::new(Arc::new(HttpClient::default()), address);
        Self {
            log: Arc::new(log),
            clock: SystemClock::start(),
            cluster: cluster.into(),
        }
    }

    /// Reads the table's stream to its end.
    ///
    /// # Errors
    ///
    /// Fails where the log cannot be read or no longer holds a usable start.
    pub async fn read(&self) -> Result<TableReplica> {
        let stream = StreamName::table();
        let mut replica = TableReplica::new(self.cluster.as_str());
        loop {
            let next = replica.next_offset();
            let page = self
                .log
                .read(&stream, next, PAGE_RECORDS, Duration::ZERO)
                .await?;
            let is_last = page.records.is_empty();
            replica.on_page(&page);
            if replica.is_caught_up() {
                return Ok(replica);
            }
            if is_last {
                return Err(eyre!(
                    "the log no longer holds the table's start or a snapshot"
                ));
            }
        }
    }

    /// Publishes a table and reads back what the log decided.
    ///
    /// # Errors
    ///
    /// Fails where the version in force cannot be read first.
    pub async fn publish(&self, order: TableOrder) -> Result<PublishOutcome> {
        let base = match order.base {
            Some(base) => base,
            None => self.read().await?.head().version,
        };
        let publication = TablePublication {
            cluster: self.cluster.clone(),
            id: Uuid::now_v7().to_string(),
            base,
            author: order.author,
            csv: order.csv,
            published_ms: self.clock.now().as_millis(),
        };
        let replica = TableReplica::new(self.cluster.as_str());
        Ok(self.drive(TablePublisher::new(replica, publication)).await)
    }

    async fn drive(&self, mut publisher: TablePublisher) -> PublishOutcome {
        let mut event = PublisherEvent::Start;
        loop {
            let actions = publisher.on_event(self.clock.now(), event);
            let Some(action) = actions.into_iter().next() else {
                return PublishOutcome::Unresolved;
            };
            event = match action {
                PublisherAction::Finish(outcome) => return outcome,
                action => self.perform(action).await,
            };
        }
    }

    async fn perform(&self, action: PublisherAction) -> PublisherEvent {
        let stream = StreamName::table();
        match action {
            PublisherAction::Read { from } => {
                match self
                    .log
                    .read(&stream, from, PAGE_RECORDS, Duration::ZERO)
                    .await
                {
                    Ok(page) => PublisherEvent::PageRead(page),
                    Err(_error) => PublisherEvent::ReadFailed,
                }
            }
            PublisherAction::Append { body } => {
                PublisherEvent::Appended(self.log.append(&stream, body).await)
            }
            PublisherAction::WakeAt(due) => {
                self.sleep_until(due).await;
                PublisherEvent::Wake
            }
            PublisherAction::Finish(_) => PublisherEvent::Wake,
        }
    }

    async fn sleep_until(&self, due: Timestamp) {
        sleep(due.since(self.clock.now())).await;
    }
}
