//! Row of one organisation.

crate::value_type! {
    /// Weight and limits of one organisation, fleet-wide.
    pub struct OrganisationRow {
        /// Name that callers send.
        pub name: String,
        /// Share of a contended service relative to other organisations.
        pub weight: f64,
        /// Most requests a second; none for no limit.
        pub max_requests_per_second: Option<f64>,
        /// Most generated tokens a second; none for no limit.
        pub max_tokens_per_second: Option<f64>,
        /// Most requests in progress at a time; none for no limit.
        pub max_concurrency: Option<u32>,
        /// Part of the objective that cost has, from 0 to 1; the rest weighs recomputed tokens.
        pub cost_weight: f64,
    }
}
