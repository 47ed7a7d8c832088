//! Encoding of the entries in one log record.

use std::fmt::Display;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use teaselglade_wire::codec::{from_msgpack, to_msgpack};
use teaselglade_wire::{AnswerHeader, BookingOutcome, ShardBatch, ShardEntry};

use super::{
    ClaimOutcome, ClaimRecord, RecordError, Result, SettleRecord, ShardRecord, StoredAnswer,
};
use crate::key::ScopedKey;

/// Encodes entries as one log record.
///
/// # Errors
///
/// Fails if the entries cannot be encoded.
///
/// # Examples
///
/// ```
/// use teaselglade_claims::key::{RequestDigest, ScopedKey};
/// use teaselglade_claims::record::{ClaimId, ClaimRecord, ShardRecord, decode_batch, encode_batch};
///
/// let key = "0193a1b2-0000-7000-8000-000000000001".parse()?;
/// let entries = [ShardRecord::Claim(ClaimRecord {
///     key: ScopedKey::new("corrib", "ticket-desk", key),
///     claim: ClaimId::from_bits(7),
///     digest: RequestDigest::of("POST", "/tickets", b"ring"),
/// })];
/// assert_eq!(decode_batch(&encode_batch(&entries)?)?, entries);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
pub fn encode_batch(entries: &[ShardRecord]) -> Result<Bytes> {
    let entries = entries.iter().map(to_wire).collect();
    Ok(to_msgpack(&ShardBatch { entries })?)
}

/// Decodes the entries of one log record.
///
/// # Errors
///
/// Fails if the bytes are not a batch, or if a key, claim id or digest in it is malformed.
pub fn decode_batch(bytes: &[u8]) -> Result<Vec<ShardRecord>> {
    let batch = from_msgpack::<ShardBatch>(bytes)?;
    batch.entries.into_iter().map(from_wire).collect()
}

fn to_wire(entry: &ShardRecord) -> ShardEntry {
    match entry {
        ShardRecord::Claim(record) => ShardEntry::Claim {
            organisation: record.key.organisation.clone(),
            service: record.key.service.clone(),
            key: record.key.key.to_string(),
            claim: record.claim.to_string(),
            digest: record.digest.to_string(),
        },
        ShardRecord::Settle(record) => ShardEntry::Settle {
            organisation: record.key.organisation.clone(),
            service: record.key.service.clone(),
            key: record.key.key.to_string(),
            claim: record.claim.to_string(),
            digest: record.digest.to_string(),
            outcome: outcome_to_wire(&record.outcome),
        },
    }
}

fn from_wire(entry: ShardEntry) -> Result<ShardRecord> {
    match entry {
        ShardEntry::Claim {
            organisation,
            service,
            key,
            claim,
            digest,
        } => Ok(ShardRecord::Claim(ClaimRecord {
            key: ScopedKey::new(organisation, service, parse(&key)?),
            claim: parse(&claim)?,
            digest: parse(&digest)?,
        })),
        ShardEntry::Settle {
            organisation,
            service,
            key,
            claim,
            digest,
            outcome,
        } => Ok(ShardRecord::Settle(SettleRecord {
            key: ScopedKey::new(organisation, service, parse(&key)?),
            claim: parse(&claim)?,
            digest: parse(&digest)?,
            outcome: outcome_from_wire(outcome),
        })),
    }
}

fn outcome_to_wire(outcome: &ClaimOutcome) -> BookingOutcome {
    match outcome {
        ClaimOutcome::Answered(answer) => BookingOutcome::Answered {
            status: answer.status,
            headers: answer.headers.iter().map(header_to_wire).collect(),
            body: answer.body.to_vec(),
        },
        ClaimOutcome::Ran { status } => BookingOutcome::Ran { status: *status },
        ClaimOutcome::MayHaveRun => BookingOutcome::MayHaveRun,
        ClaimOutcome::NotRun => BookingOutcome::NotRun,
    }
}

fn outcome_from_wire(outcome: BookingOutcome) -> ClaimOutcome {
    match outcome {
        BookingOutcome::Answered {
            status,
            headers,
            body,
        } => ClaimOutcome::Answered(Arc::new(StoredAnswer {
            status,
            headers: headers.into_iter().map(|h| (h.name, h.value)).collect(),
            body: body.into(),
        })),
        BookingOutcome::Ran { status } => ClaimOutcome::Ran { status },
        BookingOutcome::MayHaveRun => ClaimOutcome::MayHaveRun,
        BookingOutcome::NotRun => ClaimOutcome::NotRun,
    }
}

fn header_to_wire((name, value): &(String, String)) -> AnswerHeader {
    AnswerHeader {
        name: name.clone(),
        value: value.clone(),
    }
}

fn parse<T: FromStr<Err: Display>>(text: &str) -> Result<T> {
    text.parse().map_err(|error| RecordError::new(&error))
}
