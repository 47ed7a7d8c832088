//! Counters of the gossip between entry hosts.

teaselglade_core::value_type! {
    /// Counters of the gossip between entry hosts.
    #[derive(Copy, Eq, Default)]
    pub struct MembershipCounts {
        /// Received messages that name another cluster.
        pub foreign: u64,
        /// Received messages whose protocol version is too old or too new.
        pub incompatible: u64,
        /// Received messages or member entries that could not be decoded.
        pub malformed: u64,
        /// Received messages, and demand shares of any host, above their size limit.
        pub oversized: u64,
        /// Received messages of another process that uses this host's name.
        pub duplicate_names: u64,
        /// Messages sent, requests and answers.
        pub sent_messages: u64,
        /// Encoded bytes of the messages sent.
        pub sent_bytes: u64,
        /// Suspicions that this host refuted.
        pub refutations: u64,
        /// Push rounds deferred because the send budget was used up.
        pub deferred_rounds: u64,
    }
}
