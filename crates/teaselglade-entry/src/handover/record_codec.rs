//! Conversion between stream records and peer messages.

use std::time::Duration;

use teaselglade_core::id::RequestIdError;
use teaselglade_core::time::Timestamp;
use teaselglade_request::stream::{StreamRecord, StreamRequest};
use teaselglade_wire::PeerStreamRecord;

/// Encodes a record for a peer.
///
/// The deadline is sent as the time left, since clocks differ between hosts.
pub(super) fn encode_record(record: &StreamRecord, now: Timestamp) -> PeerStreamRecord {
    let request = &record.request;
    PeerStreamRecord {
        request: request.id.to_string(),
        organisation: request.organisation.clone(),
        service: request.service.clone(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        adapter: request.adapter.clone(),
        priority: request.priority,
        left_ms: (request.deadline - now).as_millis() as u64,
        delivered: record.delivered.clone(),
        total: record.total,
        generation: record.generation,
        retries: record.retries,
        server: record.server.clone(),
    }
}

/// Decodes a record; its deadline is counted from `now`.
///
/// # Errors
///
/// Returns an error if the request id is malformed.
pub(super) fn decode_record(
    message: PeerStreamRecord,
    now: Timestamp,
) -> Result<StreamRecord, RequestIdError> {
    let request = StreamRequest {
        id: message.request.parse()?,
        organisation: message.organisation,
        service: message.service,
        prompt: message.prompt,
        max_tokens: message.max_tokens,
        adapter: message.adapter,
        priority: message.priority,
        deadline: now + Duration::from_millis(message.left_ms),
    };
    Ok(StreamRecord {
        request,
        delivered: message.delivered,
        total: message.total,
        generation: message.generation,
        retries: message.retries,
        server: message.server,
    })
}
