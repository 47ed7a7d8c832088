//! Generates conversations with shared prefixes and a rush of arrivals.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use teaselglade_placement::policy::PREFIX_BLOCK_TOKENS;
use teaselglade_placement::subset::rendezvous_weight;

use super::RequestPlan;

/// Shares of the five organisations in the conversations; two are large.
const ORGANISATION_WEIGHTS: [f64; 5] = [0.4, 0.3, 0.12, 0.1, 0.08];
/// Start and end of the rush, as fractions of the run.
pub(crate) const RUSH_WINDOW: (f64, f64) = (0.35, 0.55);
const TOKEN_FACTOR_RANGE: (f64, f64) = (0.6, 1.4);
const THINK_TIME_FACTOR_RANGE: (f64, f64) = (0.5, 1.5);

/// Kind of request, with its mean lengths.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Fraction of the conversations that are of this kind.
    pub share: f64,
    /// Mean number of tokens that each request adds to the prompt of its conversation.
    pub prompt_tokens: u32,
    /// Mean length of the output, in tokens.
    pub output_tokens: u32,
}

impl RequestKind {
    /// Creates a kind of request.
    #[must_use]
    pub const fn new(share: f64, prompt_tokens: u32, output_tokens: u32) -> Self {
        Self {
            share,
            prompt_tokens,
            output_tokens,
        }
    }
}

/// Generates conversations with shared prefixes and a rush of arrivals.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficPlan {
    /// New conversations per second outside the rush.
    pub conversations_per_second: f64,
    /// Factor applied to the arrival rate during the rush.
    pub rush_factor: f64,
    /// Requests per conversation.
    pub turns: u32,
    /// Mean time between two requests of a conversation.
    pub think_time: Duration,
    /// Length of the prompt prefix shared by all requests of an organisation, in tokens.
    pub shared_tokens: u32,
    /// Kinds of requests, chosen in proportion to their shares.
    pub kinds: Vec<RequestKind>,
}

impl TrafficPlan {
    /// Generates all requests of a run, ordered by arrival.
    #[must_use]
    pub fn requests(&self, duration: Duration, load: f64, random: &mut Pcg64) -> Vec<RequestPlan> {
        let total_seconds = duration.as_secs_f64();
        let mut requests = Vec::new();
        let mut arrival_seconds = 0.0;
        let mut conversation = 0;
        while arrival_seconds < total_seconds {
            let run_fraction = arrival_seconds / total_seconds;
            let is_rush = (RUSH_WINDOW.0..RUSH_WINDOW.1).contains(&run_fraction);
            let factor = if is_rush { self.rush_factor } else { 1.0 };
            let arrival_rate = self.conversations_per_second * factor * load;
            arrival_seconds += -(1.0 - random.random::<f64>()).ln() / arrival_rate;
            self.add_conversation(arrival_seconds, conversation, random, &mut requests);
            conversation += 1;
        }
        requests.retain(|request| request.arrival < duration);
        requests.sort_by_key(|request| request.arrival);
        requests
    }

    fn add_conversation(
        &self,
        start_seconds: f64,
        conversation: u32,
        random: &mut Pcg64,
        requests: &mut Vec<RequestPlan>,
    ) {
        let organisation = weighted_index(random, ORGANISATION_WEIGHTS.iter().copied()) as u16;
        let kind = self.kinds[weighted_index(random, self.kinds.iter().map(|kind| kind.share))];
        let prefix_owner = format!("conversation {conversation}");
        let mut arrival_seconds = start_seconds;
        let mut history_tokens = self.shared_tokens;
        for _ in 0..self.turns {
            let prompt_tokens = history_tokens + randomize_length(random, kind.prompt_tokens);
            let output_tokens = randomize_length(random, kind.output_tokens);
            history_tokens = prompt_tokens + output_tokens;
            requests.push(RequestPlan {
                arrival: Duration::from_secs_f64(arrival_seconds),
                organisation,
                prompt_tokens,
                output_tokens,
                max_tokens: (f64::from(kind.output_tokens) * TOKEN_FACTOR_RANGE.1) as u32,
                prefix: self
                    .prefix_hashes(organisation, &prefix_owner, history_tokens)
                    .into(),
            });
            let think_factor =
                random.random_range(THINK_TIME_FACTOR_RANGE.0..THINK_TIME_FACTOR_RANGE.1);
            arrival_seconds += self.think_time.as_secs_f64() * think_factor;
        }
    }

    fn prefix_hashes(&self, organisation: u16, prefix_owner: &str, tokens: u32) -> Vec<u64> {
        let shared_blocks = self.shared_tokens / PREFIX_BLOCK_TOKENS;
        let organisation_owner = format!("organisation {organisation}");
        let blocks = 0..tokens / PREFIX_BLOCK_TOKENS;
        blocks
            .map(|block| {
                let prefix_owner = if block < shared_blocks {
                    &organisation_owner
                } else {
                    prefix_owner
                };
                rendezvous_weight(prefix_owner, &block.to_string())
            })
            .collect()
    }
}

fn randomize_length(random: &mut Pcg64, mean: u32) -> u32 {
    let factor = random.random_range(TOKEN_FACTOR_RANGE.0..TOKEN_FACTOR_RANGE.1);
    ((f64::from(mean) * factor) as u32).max(1)
}

fn weighted_index(random: &mut Pcg64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total_weight = weights.clone().sum::<f64>();
    let mut remaining = random.random::<f64>() * total_weight;
    for (index, weight) in weights.enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    0
}
