//! Events that update the placement state.

use std::sync::Arc;

use teaselglade_core::id::{AttemptId, ServerKey};
use teaselglade_core::port::ServerReport;
use teaselglade_core::time::Timestamp;

teaselglade_core::value_type! {
    /// Change of one cached prefix.
    pub enum PrefixChange {
        /// The prefix was stored in the cache.
        Stored,
        /// The prefix was evicted from the cache.
        Evicted,
    }
}

/// Event that updates the server directory and the placement policy.
#[derive(Debug, Clone, PartialEq)]
pub enum PlacementEvent {
    /// This host dispatched an attempt.
    Dispatched {
        /// The attempt.
        attempt: AttemptId,
        /// Server that the attempt was sent to.
        server: ServerKey,
        /// Hashes of the prompt's prefix blocks, see [`super::prefix_block_hashes`].
        prefix: Arc<[u64]>,
        /// Length of the prompt, in tokens.
        prompt_tokens: u32,
    },
    /// The server started an attempt of this host.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Prompt tokens that were not cached and had to be computed.
        computed_tokens: u32,
        /// Prompt tokens that were cached.
        cached_tokens: u32,
    },
    /// An attempt of this host returned its first token.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt of this host ended, whatever its outcome.
    Ended {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A server reported its load; reports arrive with a delay.
    Reported {
        /// The server.
        server: ServerKey,
        /// The report.
        report: ServerReport,
    },
    /// A server published a cache event; events are delayed and some are lost.
    CacheChanged {
        /// The server.
        server: ServerKey,
        /// Sequence number of the event; a gap means that events were lost.
        sequence: u64,
        /// Whether the prefix was stored or evicted.
        change: PrefixChange,
        /// Hash of the prefix.
        prefix: u64,
    },
    /// The platform announced that it will reclaim a server's host.
    ReclaimNoticed {
        /// The server.
        server: ServerKey,
        /// Time at which the host is stopped.
        deadline: Timestamp,
    },
    /// The number of entry hosts that dispatch to the same servers changed.
    EntryHostsChanged {
        /// Number of entry hosts, including this one.
        count: u32,
    },
    /// A server has stopped and will not return under this key.
    Gone {
        /// The server.
        server: ServerKey,
    },
}
