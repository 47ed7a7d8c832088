//! Reads and writes the audit trail.

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

const PAGE_RECORDS: u32 = 500;

/// Reads and writes the audit trail.
#[derive(Debug)]
pub struct AuditFeed {
    log: Arc<dyn LogPort>,
    clock: SystemClock,
    reader: AuditReader,
}

impl AuditFeed {
    /// Makes a feed of what `filter` passes from the log at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, filter: AuditFilter) -> Self {
        let log = LogClient::new(Arc::new(HttpClient::default()), address);
        Self {
            log: Arc::new(log),
            clock: SystemClock::start(),
            reader: AuditReader::new(filter),
        }
    }

    /// Returns the next entries, after a wait of at most `wait` where there is none.
    ///
    /// The feed is at its end where the second value is true.
    ///
    /// # Errors
    ///
    /// Fails where the log cannot be read.
    pub async fn next_lines(&mut self, wait: Duration) -> Result<(Vec<AuditLine>, bool)> {
        let next = self.reader.next_offset();
        let page = self
            .log
            .read(&StreamName::audit(), next, PAGE_RECORDS, wait)
            .await?;
        let lines = self.reader.on_page(&page);
        Ok((lines, self.reader.next_offset() >= page.end))
    }

    /// Appends one entry.
    ///
    /// # Errors
    ///
    /// Fails where the log does not say that it took the entry.
    pub async fn record(&self, entry: AuditEntry) -> Result<()> {
        let mut writer = AuditWriter::new(Uuid::now_v7().to_string(), AuditLimits::default());
        let commands = writer.on_event(self.clock.now(), AuditEvent::Recorded(entry));
        for AuditCommand::Append(body) in commands {
            self.log.append(&StreamName::audit(), body).await?;
        }
        Ok(())
    }
}
