//! Client that reads and publishes the routing table.

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

const MAX_PAGE_RECORDS: u32 = 500;

/// Table that an operator wants to publish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Version that the table is based on; `None` selects the active version.
    pub base: Option<u64>,
    /// Name of the publishing operator.
    pub author: String,
    /// Table as comma-separated values.
    pub csv: String,
}

/// Client that reads and publishes the routing table of one cluster.
#[derive(Debug)]
pub struct TableClient {
    log: Arc<dyn LogPort>,
    clock: SystemClock,
    cluster: String,
}

impl TableClient {
    /// Creates a client of the log at `address`.
    pub fn new(address: std::net::SocketAddr, cluster: impl Into<String>) -> Self {
        let log = LogClient::new(Arc::new(HttpClient::default()), address);
        Self {
            log: Arc::new(log),
            clock: SystemClock::start(),
            cluster: cluster.into(),
        }
    }

    /// Reads the log stream of the table to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read, or if it no longer holds the table's first
    /// record or a snapshot to start from.
    pub async fn read(&self) -> Result<TableReplica> {
        let stream = StreamName::table();
        let mut replica = TableReplica::new(self.cluster.as_str());
        loop {
            let next_offset = replica.next_offset();
            let page = self
                .log
                .read(&stream, next_offset, MAX_PAGE_RECORDS, Duration::ZERO)
                .await?;
            let is_last = page.records.is_empty();
            replica.on_page(&page);
            if replica.is_caught_up() {
                return Ok(replica);
            }
            if is_last {
                return Err(eyre!(
                    "the log no longer holds the table's first record or a snapshot"
                ));
            }
        }
    }

    /// Publishes a table and reads the log to find out whether it was accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has no base and the active version cannot be read.
    pub async fn publish(&self, request: PublishRequest) -> Result<PublishOutcome> {
        let base = match request.base {
            Some(base) => base,
            None => self.read().await?.head().version,
        };
        let publication = TablePublication {
            cluster: self.cluster.clone(),
            id: Uuid::now_v7().to_string(),
            base,
            author: request.author,
            csv: request.csv,
            published_ms: self.clock.now().as_millis(),
        };
        let replica = TableReplica::new(self.cluster.as_str());
        Ok(self
            .run_publisher(TablePublisher::new(replica, publication))
            .await)
    }

    async fn run_publisher(&self, mut publisher: TablePublisher) -> PublishOutcome {
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
                    .read(&stream, from, MAX_PAGE_RECORDS, Duration::ZERO)
                    .await
                {
                    Ok(page) => PublisherEvent::PageRead(page),
                    Err(_error) => PublisherEvent::ReadFailed,
                }
            }
            PublisherAction::Append { body } => {
                PublisherEvent::Appended(self.log.append(&stream, body).await)
            }
            PublisherAction::WakeAt(wake_at) => {
                self.sleep_until(wake_at).await;
                PublisherEvent::Wake
            }
            PublisherAction::Finish(_) => PublisherEvent::Wake,
        }
    }

    async fn sleep_until(&self, wake_at: Timestamp) {
        sleep(wake_at.since(self.clock.now())).await;
    }
}
