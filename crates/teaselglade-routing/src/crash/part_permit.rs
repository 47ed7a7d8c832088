//! Decision whether a prompt may be placed, by the standing of its parts.

use std::time::Duration;

use crate::engine::PromptShape;

/// Attempt about to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PartQuery<'a> {
    /// Name of the caller's organisation; empty if there is none.
    pub organisation: &'a str,
    /// Prompt of the request.
    pub prompt: &'a PromptShape,
    /// Whether the request was sent to a server before.
    pub is_repeat: bool,
    /// Whether this host may try a quarantined part again, as one host of the fleet does.
    pub may_try: bool,
}

/// Decision whether a prompt may be placed, by the standing of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartPermit {
    /// Nothing speaks against the parts.
    Unrestricted,
    /// The attempt may run, on the server that the named part selects.
    Contained {
        /// Id of the part.
        part: u64,
        /// Number of such attempts that run without an event; selects another server for each.
        rank: u32,
    },
    /// The attempt must not be sent.
    Refused {
        /// Id of the part.
        part: u64,
        /// Time after which a request with the part may be accepted.
        retry_after: Duration,
    },
}
