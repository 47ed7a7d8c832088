//! What a claim's own record came to.

teaselglade_core::value_type! {
    /// What a claim's own record came to, by its place in the log.
    pub enum ClaimResolution {
        /// It is the first of its key and owns the call.
        Owner,
        /// Another claim of its key stands before it; it will never own the call.
        #[serde(rename = "behind")]
        Conflict,
        /// It was settled before its record arrived; it will never own the call.
        Settled,
        /// Its key was too old by the log's clock; it will never own the call.
        TooOld,
        /// Its key was too far ahead of the log's clock; it will never own the call.
        TooEarly,
    }
}
