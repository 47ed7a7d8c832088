//! Client that reads and writes the audit trail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use teaselglade_core::port::{ClockPort, LogPort, StreamName};
use teaselglade_net::client::HttpClient;
use teaselglade_net::clock::SystemClock;
use teaselglade_net::platform::LogClient;
use teaselglade_state::audit::{
    AuditCommand, AuditEvent, AuditFilter, AuditLimits, AuditLine, AuditReader, AuditWriter,
};
use teaselglade_wire::AuditEntry;
use uuid::Uuid;

const MAX_PAGE_RECORDS: u32 = 500;

/// Client that reads and writes the audit trail in the platform's log.
#[derive(Debug)]
pub struct AuditClient {
    log: Arc<dyn LogPort>,
    clock: SystemClock,
    reader: AuditReader,
}

impl AuditClient {
    /// Creates a client of the log at `address` that returns the entries matching `filter`.
    #[must_use]
    pub fn new(address: SocketAddr, filter: AuditFilter) -> Self {
        let log = LogClient::new(Arc::new(HttpClient::default()), address);
        Self {
            log: Arc::new(log),
            clock: SystemClock::start(),
            reader: AuditReader::new(filter),
        }
    }

    /// Returns the next matching entries, and whether they reach the end of the trail.
    ///
    /// If no record is available, waits for one for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub async fn next_lines(&mut self, timeout: Duration) -> Result<(Vec<AuditLine>, bool)> {
        let next_offset = self.reader.next_offset();
        let page = self
            .log
            .read(&StreamName::audit(), next_offset, MAX_PAGE_RECORDS, timeout)
            .await?;
        let lines = self.reader.on_page(&page);
        Ok((lines, self.reader.next_offset() >= page.end))
    }

    /// Appends one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not confirm the append.
    pub async fn record(&self, entry: AuditEntry) -> Result<()> {
        let mut writer = AuditWriter::new(Uuid::now_v7().to_string(), AuditLimits::default());
        let commands = writer.on_event(self.clock.now(), AuditEvent::Recorded(entry));
        for AuditCommand::Append(body) in commands {
            self.log.append(&StreamName::audit(), body).await?;
        }
        Ok(())
    }
}
