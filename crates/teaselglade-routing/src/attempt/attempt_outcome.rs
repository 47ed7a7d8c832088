//! How an attempt at a server ended.

teaselglade_core::value_type! {
    /// How an attempt at a server ended without an answer to pass on.
    pub enum AttemptOutcome {
        /// No connection was made; nothing was sent.
        Unreachable,
        /// The server said that it did not run the request.
        Rejected,
        /// Another server has the address and did not run the request.
        Misdirected,
        /// The connection broke, or what came was no answer to this request.
        Broken,
        /// The server answered that it failed, having run the request.
        Failed,
        /// Nothing came in time.
        #[serde(rename = "silent")]
        TimedOut,
    }
}

impl AttemptOutcome {
    /// Returns whether the server may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Broken | Self::Failed | Self::TimedOut)
    }

    /// Returns whether the request reached the server.
    #[must_use]
    pub const fn has_arrived(self) -> bool {
        !matches!(self, Self::Unreachable)
    }
}
