//! Properties of a request that decide its placement.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::{OrganisationKey, ServerKey, ServiceKey};

use super::HardwareConstraints;
use crate::server::ServerEntry;

/// Properties of a request that decide its placement.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::id::{OrganisationKey, ServiceKey};
/// use teaselglade_placement::policy::PlacementQuery;
///
/// let query = PlacementQuery::new(ServiceKey::new(0), OrganisationKey::new(0))
///     .prompt(900, vec![1, 2])
///     .answer_tokens(200)
///     .targets(Duration::from_millis(360), Some(Duration::from_millis(47)))
///     .cost_weight(0.8);
/// assert_eq!(query.prompt_tokens, 900);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementQuery {
    /// Service that runs the request.
    pub service: ServiceKey,
    /// Organisation that sent the request.
    pub organisation: OrganisationKey,
    /// Hashes of the prompt's prefix blocks, see [`super::prefix_block_hashes`].
    pub prefix: Arc<[u64]>,
    /// Tokens to process before the first new token, including tokens already delivered.
    pub prompt_tokens: u32,
    /// Expected number of tokens still to be generated.
    pub answer_tokens: u32,
    /// Target time from now to the first token.
    pub first_token_target: Duration,
    /// Target time between two tokens; `None` for calls to plain services.
    pub token_gap_target: Option<Duration>,
    /// Servers that must not be used, such as one where the request failed.
    pub excluded: Vec<ServerKey>,
    /// Hardware constraints of the table row.
    pub hardware_constraints: HardwareConstraints,
    /// Weight of cost in the objective, from 0 to 1.
    pub cost_weight: f64,
}

impl PlacementQuery {
    /// Creates the query of an empty request whose targets are always met.
    #[must_use]
    pub fn new(service: ServiceKey, organisation: OrganisationKey) -> Self {
        Self {
            service,
            organisation,
            prefix: Arc::default(),
            prompt_tokens: 0,
            answer_tokens: 0,
            first_token_target: Duration::MAX,
            token_gap_target: None,
            excluded: Vec::new(),
            hardware_constraints: HardwareConstraints::default(),
            cost_weight: 0.5,
        }
    }

    /// Sets the prompt's length in tokens and the hashes of its prefix blocks.
    #[must_use]
    pub fn prompt(mut self, tokens: u32, prefix: impl Into<Arc<[u64]>>) -> Self {
        self.prompt_tokens = tokens;
        self.prefix = prefix.into();
        self
    }

    /// Sets the expected number of tokens still to be generated.
    #[must_use]
    pub const fn answer_tokens(mut self, tokens: u32) -> Self {
        self.answer_tokens = tokens;
        self
    }

    /// Sets the latency targets.
    #[must_use]
    pub const fn targets(mut self, first_token: Duration, token_gap: Option<Duration>) -> Self {
        self.first_token_target = first_token;
        self.token_gap_target = token_gap;
        self
    }

    /// Sets the servers that must not be used.
    #[must_use]
    pub fn excluding(mut self, servers: impl Into<Vec<ServerKey>>) -> Self {
        self.excluded = servers.into();
        self
    }

    /// Sets the hardware constraints.
    #[must_use]
    pub fn hardware_constraints(mut self, constraints: HardwareConstraints) -> Self {
        self.hardware_constraints = constraints;
        self
    }

    /// Sets the weight of cost in the objective, from 0 to 1.
    #[must_use]
    pub const fn cost_weight(mut self, weight: f64) -> Self {
        self.cost_weight = weight;
        self
    }

    pub(crate) fn allows(&self, server: ServerKey, entry: &ServerEntry) -> bool {
        !self.excluded.contains(&server) && self.hardware_constraints.allows(&entry.attributes)
    }
}
