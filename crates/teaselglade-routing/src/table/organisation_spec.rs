//! One organisation of the table.

teaselglade_core::value_type! {
    /// What a quota counts.
    pub enum QuotaUnit {
        /// Requests.
        Requests,
        /// Prompt tokens plus the most output tokens.
        Tokens,
    }
}

teaselglade_core::value_type! {
    /// Quota of an organisation over all hosts together.
    pub struct QuotaSpec {
        /// What is counted.
        pub unit: QuotaUnit,
        /// Units a second.
        pub rate: f64,
        /// Units above the rate that may be used at once.
        pub burst: f64,
        /// Units of a request that names no tokens.
        #[serde(rename = "plain_units")]
        pub default_units: f64,
    }
}

teaselglade_core::value_type! {
    /// One organisation of the table.
    pub struct OrganisationSpec {
        /// Name that servers are told.
        pub name: String,
        /// Keys that its callers send.
        pub keys: Vec<String>,
        /// Rank of its requests, 0 first; it goes before that of the route.
        pub priority: Option<u8>,
        /// Quota; none for no limit.
        pub quota: Option<QuotaSpec>,
    }
}
