//! Effect of a claim record, by its log offset.

teaselglade_core::value_type! {
    /// Effect of a claim record, by its log offset.
    pub enum ClaimResolution {
        /// It is the first valid claim of its key and owns the call.
        Owner,
        /// Another claim of its key precedes it; it never owns the call.
        #[serde(rename = "behind")]
        Conflict,
        /// It was withdrawn by an earlier record; it never owns the call.
        Settled,
        /// Its key was too old by the log's clock; it never owns the call.
        TooOld,
        /// Its key was too far ahead of the log's clock; it never owns the call.
        TooEarly,
    }
}
