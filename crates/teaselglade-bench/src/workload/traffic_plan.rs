//! Arrivals of conversations with shared prefixes and a rush.

use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use teaselglade_placement::policy::PREFIX_BLOCK_TOKENS;
use teaselglade_placement::subset::rendezvous_weight;

use super::RequestPlan;

/// Weights of the five organisations: two large ones.
const ORGANISATION_WEIGHTS: [f64; 5] = [0.4, 0.3, 0.12, 0.1, 0.08];
/// Part of a run in which the rush is on.
pub(crate) const RUSH: (f64, f64) = (0.35, 0.55);
const TOKEN_SPREAD: (f64, f64) = (0.6, 1.4);
const THINK_SPREAD: (f64, f64) = (0.5, 1.5);

/// One kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestKind {
    /// Part of the conversations that are of this kind.
    pub share: f64,
    /// Tokens that each turn adds to the prompt.
    pub prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub answer_tokens: u32,
}

impl RequestKind {
    /// Makes a kind of request.
    #[must_use]
    pub const fn new(share: f64, prompt_tokens: u32, answer_tokens: u32) -> Self {
        Self {
            share,
            prompt_tokens,
            answer_tokens,
        }
    }
}

/// Arrivals of conversations with shared prefixes and a rush.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficPlan {
    /// New conversations a second outside the rush.
    pub conversations_per_second: f64,
    /// Factor on the arrivals during the rush.
    pub rush_factor: f64,
    /// Turns of a conversation.
    pub turns: u32,
    /// Mean time between two turns.
    pub think_time: Duration,
    /// Prompt tokens that all requests of an organisation share.
    pub shared_tokens: u32,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
}

impl TrafficPlan {
    /// Returns all requests of a run, in the order of their arrival.
    #[must_use]
    pub fn requests(&self, duration: Duration, load: f64, random: &mut Pcg64) -> Vec<RequestPlan> {
        let total = duration.as_secs_f64();
        let mut requests = Vec::new();
        let mut at = 0.0;
        let mut conversation = 0;
        while at < total {
            let part = at / total;
            let is_rush = (RUSH.0..RUSH.1).contains(&part);
            let factor = if is_rush { self.rush_factor } else { 1.0 };
            let rate = self.conversations_per_second * factor * load;
            at += -(1.0 - random.random::<f64>()).ln() / rate;
            self.converse(at, conversation, random, &mut requests);
            conversation += 1;
        }
        requests.retain(|request| request.at < duration);
        requests.sort_by_key(|request| request.at);
        requests
    }

    fn converse(
        &self,
        start: f64,
        conversation: u32,
        random: &mut Pcg64,
        requests: &mut Vec<RequestPlan>,
    ) {
        let organisation = draw(random, ORGANISATION_WEIGHTS.iter().copied()) as u16;
        let kind = self.kinds[draw(random, self.kinds.iter().map(|kind| kind.share))];
        let owner = format!("conversation {conversation}");
        let mut at = start;
        let mut history = self.shared_tokens;
        for _ in 0..self.turns {
            let prompt_tokens = history + spread(random, kind.prompt_tokens);
            let answer_tokens = spread(random, kind.answer_tokens);
            history = prompt_tokens + answer_tokens;
            requests.push(RequestPlan {
                at: Duration::from_secs_f64(at),
                organisation,
                prompt_tokens,
                answer_tokens,
                max_tokens: (f64::from(kind.answer_tokens) * TOKEN_SPREAD.1) as u32,
                prefix: self.prefix(organisation, &owner, history).into(),
            });
            let think = random.random_range(THINK_SPREAD.0..THINK_SPREAD.1);
            at += self.think_time.as_secs_f64() * think;
        }
    }

    fn prefix(&self, organisation: u16, owner: &str, tokens: u32) -> Vec<u64> {
        let shared = self.shared_tokens / PREFIX_BLOCK_TOKENS;
        let common = format!("organisation {organisation}");
        let blocks = 0..tokens / PREFIX_BLOCK_TOKENS;
        blocks
            .map(|block| {
                let owner = if block < shared { &common } else { owner };
                rendezvous_weight(owner, &block.to_string())
            })
            .collect()
    }
}

fn spread(random: &mut Pcg64, mean: u32) -> u32 {
    let factor = random.random_range(TOKEN_SPREAD.0..TOKEN_SPREAD.1);
    ((f64::from(mean) * factor) as u32).max(1)
}

fn draw(random: &mut Pcg64, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total = weights.clone().sum::<f64>();
    let mut rest = random.random::<f64>() * total;
    for (index, weight) in weights.enumerate() {
        rest -= weight;
        if rest < 0.0 {
            return index;
        }
    }
    0
}
