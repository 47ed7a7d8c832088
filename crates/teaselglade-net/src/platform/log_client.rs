//! Adapter to the platform's log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use teaselglade_core::port::{LogError, LogPage, LogPort, LogRecord, PortFuture, StreamName};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_wire::codec::from_json;
use teaselglade_wire::{LogAppended, LogEntries, LogEntry};

use crate::client::{CallError, HttpClient, HttpRequest, HttpResponse};

const APPEND_TIMEOUT: Duration = Duration::from_millis(1_500);
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Client of the platform's log.
#[derive(Debug)]
pub struct LogClient {
    client: Arc<HttpClient>,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client of the log at `address`.
    #[must_use]
    pub const fn new(client: Arc<HttpClient>, address: SocketAddr) -> Self {
        Self { client, address }
    }

    async fn append_record(&self, stream: &StreamName, body: Bytes) -> Result<u64, LogError> {
        let path = format!("/streams/{}/records", stream.as_str());
        let request = HttpRequest::post(self.address, path, body).head_timeout(APPEND_TIMEOUT);
        let response = self
            .client
            .call(request)
            .await
            .map_err(|error| self.handle_failure(error))?;
        check_status(&response)?;
        Ok(decode::<LogAppended>(&response)?.offset)
    }

    async fn read_page(
        &self,
        stream: &StreamName,
        from: u64,
        max_records: u32,
        wait: Duration,
    ) -> Result<LogPage, LogError> {
        let path = format!(
            "/streams/{}/records?from={from}&most={max_records}&wait_ms={}",
            stream.as_str(),
            wait.as_millis()
        );
        let request = HttpRequest::get(self.address, path)
            .head_timeout(wait + READ_TIMEOUT)
            .stall_timeout(READ_TIMEOUT);
        let response = self
            .client
            .call(request)
            .await
            .map_err(|error| self.handle_failure(error))?;
        check_status(&response)?;
        log_page(&decode(&response)?)
    }

    /// Converts a failed call and drops the pooled connections, which may be broken too.
    fn handle_failure(&self, error: CallError) -> LogError {
        self.client.reset_connections();
        match ExecutionVerdict::after_attempt(error.progress) {
            ExecutionVerdict::NotRun => LogError::Refused {
                detail: error.detail,
            },
            _ => LogError::Unknown {
                detail: error.detail,
            },
        }
    }
}

impl LogPort for LogClient {
    fn append<'a>(
        &'a self,
        stream: &'a StreamName,
        body: Bytes,
    ) -> PortFuture<'a, Result<u64, LogError>> {
        Box::pin(self.append_record(stream, body))
    }

    fn read<'a>(
        &'a self,
        stream: &'a StreamName,
        from: u64,
        max_records: u32,
        wait: Duration,
    ) -> PortFuture<'a, Result<LogPage, LogError>> {
        Box::pin(self.read_page(stream, from, max_records, wait))
    }
}

fn check_status(response: &HttpResponse) -> Result<(), LogError> {
    let detail = format!("status {}", response.status);
    match response.status {
        200..300 => Ok(()),
        400..500 | 503 => Err(LogError::Refused { detail }),
        _ => Err(LogError::Unknown { detail }),
    }
}

fn decode<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> Result<T, LogError> {
    from_json(&response.body).map_err(|error| LogError::Unknown {
        detail: error.to_string(),
    })
}

fn log_page(entries: &LogEntries) -> Result<LogPage, LogError> {
    let records = entries
        .records
        .iter()
        .map(log_record)
        .collect::<Result<_, _>>()?;
    Ok(LogPage {
        first: entries.first,
        end: entries.end,
        records,
    })
}

fn log_record(entry: &LogEntry) -> Result<LogRecord, LogError> {
    let decoded = STANDARD.decode(&entry.body);
    let body = decoded.map_err(|error| LogError::Unknown {
        detail: error.to_string(),
    })?;
    let appended = Timestamp::from_millis(entry.appended_ms);
    Ok(LogRecord {
        offset: entry.offset,
        appended,
        body: body.into(),
    })
}
