//! Organisation and its quota in the routing table.

teaselglade_core::value_type! {
    /// Unit that a quota counts.
    pub enum QuotaUnit {
        /// Requests.
        Requests,
        /// Prompt tokens plus the maximum number of output tokens.
        Tokens,
    }
}

teaselglade_core::value_type! {
    /// Quota of an organisation over all hosts together.
    pub struct QuotaSpec {
        /// Unit that is counted.
        pub unit: QuotaUnit,
        /// Refill rate in units per second.
        pub rate: f64,
        /// Units that may be used at once above the rate.
        pub burst: f64,
        /// Units charged for a request without token counts.
        #[serde(rename = "plain_units")]
        pub default_units: f64,
    }
}

teaselglade_core::value_type! {
    /// Organisation in the routing table.
    pub struct OrganisationSpec {
        /// Name that is passed to servers.
        pub name: String,
        /// API keys of its callers.
        pub keys: Vec<String>,
        /// Priority of its requests, 0 first; takes precedence over that of the route.
        pub priority: Option<u8>,
        /// Quota, or `None` for no limit.
        pub quota: Option<QuotaSpec>,
    }
}
