//! Outcome of a failed attempt at a server.

teaselglade_core::value_type! {
    /// Outcome of an attempt at a server that gave no response to forward.
    pub enum AttemptOutcome {
        /// No connection was made, so nothing was sent.
        Unreachable,
        /// Nothing was sent, as a subject of the request became quarantined.
        Withheld,
        /// The server rejected the request without running it.
        Rejected,
        /// Another server runs at the address and did not run the request.
        Misdirected,
        /// The connection broke, or the response was malformed or to another request.
        Broken,
        /// The server ran the request and responded with a failure.
        Failed,
        /// No response arrived in time.
        #[serde(rename = "silent")]
        TimedOut,
        /// Another attempt brought the next event first, so that this one was dropped.
        Superseded,
    }
}

impl AttemptOutcome {
    /// Returns whether the server may have run the request.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::Broken | Self::Failed | Self::TimedOut | Self::Superseded
        )
    }

    /// Returns whether the request reached the server.
    #[must_use]
    pub const fn has_arrived(self) -> bool {
        !matches!(self, Self::Unreachable | Self::Withheld)
    }
}
