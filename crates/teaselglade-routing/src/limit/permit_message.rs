//! Messages by which hosts ask for permits to send to limited servers.

use serde::{Deserialize, Serialize};

use super::LimitNotice;

/// Request for one permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name hash of the asking host.
    pub asker: u64,
    /// Number of the request, unique at the asking host; a repeat has the same one.
    pub number: u64,
    /// Limit as the asking host knows it.
    pub notice: LimitNotice,
    /// Longest time in milliseconds that the asking host's caller can wait for its turn.
    pub max_wait_ms: u64,
}

/// Decision on one request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitAnswer {
    /// One request may be sent after a wait, in milliseconds.
    Granted {
        /// Time until the request may be sent.
        wait_ms: u64,
    },
    /// No request may be sent.
    Denied {
        /// Time in milliseconds until it is worth asking again.
        wait_ms: u64,
    },
}

/// Message between the host that asks for a permit and the one that issues it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitMessage {
    /// Asks for a permit.
    Ask(PermitRequest),
    /// Answers the request with this number.
    Answer {
        /// Number of the request.
        number: u64,
        /// Incarnation hash of the server.
        server: u64,
        /// Decision of the issuer.
        answer: PermitAnswer,
    },
    /// Gives back a permit whose request was not sent.
    GiveBack {
        /// Incarnation hash of the server.
        server: u64,
    },
}
