//! Counts of the exchange.

teaselglade_core::value_type! {
    /// Counts of the exchange.
    #[derive(Copy, Eq, Default)]
    pub struct MembershipCounts {
        /// Messages of another cluster.
        pub foreign: u64,
        /// Messages of a protocol that is too old or too new.
        pub incompatible: u64,
        /// Messages or entries that could not be read.
        pub malformed: u64,
        /// Messages above the bound.
        pub oversized: u64,
        /// Messages of another process that uses this host's name.
        pub duplicate_names: u64,
        /// Messages sent.
        pub sent_messages: u64,
        /// Bytes of the messages sent.
        pub sent_bytes: u64,
        /// Suspicions that this host refuted.
        pub refutations: u64,
        /// Rumour rounds put off for want of budget.
        pub deferred_rounds: u64,
    }
}
