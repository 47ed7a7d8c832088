//! Continuous batching of one engine.

use std::collections::VecDeque;
use std::sync::Arc;

use teaselglade_core::port::ServerReport;

use super::{CacheNote, EngineClass, PrefixCache};
use teaselglade_placement::policy::PREFIX_BLOCK_TOKENS;

const MICROS_PER_SECOND: f64 = 1e6;

/// One attempt as an engine gets it.
#[derive(Debug, Clone)]
pub struct EngineWork {
    /// Number that the caller knows the attempt by.
    pub ticket: usize,
    /// Prompt tokens, delivered ones included.
    pub prompt_tokens: u32,
    /// Tokens to generate.
    pub answer_tokens: u32,
    /// Hashes of the prefixes of prompt and answer.
    pub prefix: Arc<[u64]>,
}

#[derive(Debug, Clone)]
struct BatchEntry {
    work: EngineWork,
    cached: u32,
    prefill_left: u32,
    generated: u32,
}

/// One token that a step brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenMark {
    /// Number that the caller knows the attempt by.
    pub ticket: usize,
    /// Prompt tokens computed, where this is the first token.
    pub computed: Option<u32>,
    /// Whether the answer is whole.
    pub last: bool,
}

/// What a step brought.
#[derive(Debug, Clone, Default)]
pub struct StepResult {
    /// One token for each stream.
    pub tokens: Vec<TokenMark>,
}

/// Continuous batching of one engine: each step brings one token to each stream and computes one
/// chunk of one prompt.
#[derive(Debug, Clone)]
pub struct EngineModel {
    class: EngineClass,
    batch: Vec<BatchEntry>,
    waiting: VecDeque<EngineWork>,
    cache: PrefixCache,
    chunk: u32,
    step_seconds: f64,
    steps: f64,
    stepped_seconds: f64,
    prefilled: f64,
    prefill_seconds: f64,
    tokens: f64,
}

impl EngineModel {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(class: EngineClass) -> Self {
        let cache = PrefixCache::new(class.cache_blocks);
        Self {
            class,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache,
            chunk: 0,
            step_seconds: 0.0,
            steps: 0.0,
            stepped_seconds: 0.0,
            prefilled: 0.0,
            prefill_seconds: 0.0,
            tokens: 0.0,
        }
    }

    /// Takes in an attempt.
    pub fn submit(&mut self, work: EngineWork) {
        self.waiting.push_back(work);
    }

    /// Returns whether the engine has nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Starts a step and returns its seconds; none where there is nothing to do.
    pub fn start_step(&mut self) -> Option<f64> {
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let streams = self.batch.iter().filter(|entry| entry.prefill_left == 0);
        let streams = streams.count() as f64;
        let prefilling = self.batch.iter().find(|entry| entry.prefill_left > 0);
        self.chunk = prefilling.map_or(0, |entry| entry.prefill_left.min(self.class.prefill_chunk));
        let chunk_seconds = f64::from(self.chunk) / self.class.prefill_rate;
        self.step_seconds =
            self.class.step_seconds + self.class.stream_seconds * streams + chunk_seconds;
        Some(self.step_seconds)
    }

    /// Ends the step that was started and returns its tokens.
    pub fn end_step(&mut self) -> StepResult {
        self.steps += 1.0;
        self.stepped_seconds += self.step_seconds;
        if self.chunk > 0 {
            self.prefilled += f64::from(self.chunk);
            self.prefill_seconds += self.step_seconds;
        }
        let mut chunk = self.chunk;
        let mut result = StepResult::default();
        for entry in &mut self.batch {
            let is_prefilling = entry.prefill_left > 0;
            let computed = entry.prefill_left.min(chunk);
            entry.prefill_left -= computed;
            chunk -= computed;
            if entry.prefill_left > 0 {
                continue;
            }
            if is_prefilling {
                let blocks = entry.work.prompt_tokens / PREFIX_BLOCK_TOKENS;
                self.cache.store(&entry.work.prefix[..blocks as usize]);
            }
            entry.generated += 1;
            let is_first = entry.generated == 1;
            result.tokens.push(TokenMark {
                ticket: entry.work.ticket,
                computed: is_first.then(|| entry.work.prompt_tokens - entry.cached),
                last: entry.generated >= entry.work.answer_tokens,
            });
        }
        self.tokens += result.tokens.len() as f64;
        self.retire();
        result
    }

    /// Returns the attempts that a stop of the engine cuts, with their computed tokens.
    pub fn cut(&mut self) -> Vec<(usize, u32)> {
        let started = self.batch.drain(..).map(|entry| {
            let computed = entry.work.prompt_tokens - entry.prefill_left + entry.generated;
            (entry.work.ticket, computed)
        });
        let waiting = self.waiting.drain(..).map(|work| (work.ticket, 0));
        started.chain(waiting).collect()
    }

    /// Returns the load since the last report.
    pub fn report(&mut self) -> ServerReport {
        let gap = self.stepped_seconds / self.steps.max(1.0);
        let prefill = self.prefilled / self.prefill_seconds.max(f64::MIN_POSITIVE);
        let report = ServerReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            tokens_per_second: self.tokens,
            token_gap_micros: (gap * MICROS_PER_SECOND) as u64,
            prefill_tokens_per_second: if self.prefilled > 0.0 { prefill } else { 0.0 },
            kv_free: 1.0,
        };
        self.steps = 0.0;
        self.stepped_seconds = 0.0;
        self.prefilled = 0.0;
        self.prefill_seconds = 0.0;
        self.tokens = 0.0;
        report
    }

    /// Returns the cache events since the last call.
    pub fn take_notes(&mut self) -> Vec<CacheNote> {
        self.cache.take_notes()
    }

    /// Forgets the prefix cache, as a host does that was given back.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < self.class.max_batch {
            let Some(work) = self.waiting.pop_front() else {
                return;
            };
            let blocks = (work.prompt_tokens / PREFIX_BLOCK_TOKENS) as usize;
            let cached = self.cache.cached_tokens(&work.prefix[..blocks]);
            // The last prompt token is always computed, as it brings the first new one.
            let cached = cached.min(work.prompt_tokens.saturating_sub(1));
            self.batch.push(BatchEntry {
                cached,
                prefill_left: work.prompt_tokens - cached,
                generated: 0,
                work,
            });
        }
    }

    fn retire(&mut self) {
        let ended = |entry: &BatchEntry| entry.generated >= entry.work.answer_tokens;
        let whole = self.batch.extract_if(.., |entry| ended(entry));
        for entry in whole {
            self.cache.store(&entry.work.prefix);
        }
    }
}
