//! Table row of one organisation.

crate::value_type! {
    /// Weight and fleet-wide limits of one organisation.
    pub struct OrganisationRow {
        /// Name that callers send with their requests.
        pub name: String,
        /// Relative share of a contended service, compared with other organisations.
        pub weight: f64,
        /// Maximum requests per second; `None` for no limit.
        pub max_requests_per_second: Option<f64>,
        /// Maximum generated tokens per second; `None` for no limit.
        pub max_tokens_per_second: Option<f64>,
        /// Maximum requests in progress at a time; `None` for no limit.
        pub max_concurrency: Option<u32>,
        /// Weight of cost against recomputed tokens in the objective, from 0 to 1.
        pub cost_weight: f64,
    }
}
