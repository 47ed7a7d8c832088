//! How far a failed attempt got.

crate::value_type! {
    /// How far a request got towards a server before its attempt failed.
    pub enum SendProgress {
        /// No byte of the request was handed to a connection.
        NotSent,
        /// The server answered that it refused the request before running it.
        RefusedBeforeRunning,
        /// At least one byte may have left this host.
        MaybeSent,
    }
}
