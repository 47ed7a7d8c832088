//! Send progress of a failed attempt.

crate::value_type! {
    /// How far a request was sent to a server before its attempt failed.
    pub enum SendProgress {
        /// No byte of the request was handed to a connection.
        NotSent,
        /// The server responded that it refused the request before running it.
        RefusedBeforeRunning,
        /// At least one byte may have left this host.
        MaybeSent,
    }
}
