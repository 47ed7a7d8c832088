//! What a policy learns from.

use std::sync::Arc;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

teaselglade_core::value_type! {
    /// What happened to a cached prefix.
    pub enum PrefixChange {
        /// The prefix is cached now.
        Stored,
        /// The prefix is cached no more.
        Evicted,
    }
}

/// What a policy learns from.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEvent {
    /// This host dispatched an attempt.
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
        /// Server that it went to.
        server: ServerKey,
        /// Hashes of the prompt's prefixes.
        prefix: Arc<[u64]>,
        /// Tokens of the prompt.
        prompt_tokens: u32,
    },
    /// The server started an attempt of this host.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that were computed.
        computed_tokens: u32,
        /// Prompt tokens that were found in the cache.
        cached_tokens: u32,
    },
    /// An attempt of this host brought its first token.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt of this host ended, in whatever way.
    Ended {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A server reported its load; the report is late.
    Reported {
        /// The server.
        server: ServerKey,
        /// The report.
        report: ServerReport,
    },
    /// A server published a cache event; events are late, and some are lost.
    CacheChanged {
        /// The server.
        server: ServerKey,
        /// Number of the event; a gap means lost events.
        sequence: u64,
        /// What happened.
        change: PrefixChange,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// The platform announced that it takes a server's host back.
    ReclaimNoticed {
        /// The server.
        server: ServerKey,
        /// When the host stops.
        deadline: Timestamp,
    },
    /// The number of entry hosts that dispatch to the same servers changed.
    EntryHostsChanged {
        /// The entry hosts, this one included.
        count: u32,
    },
    /// A server is gone.
    Gone {
        /// The server.
        server: ServerKey,
    },
}
