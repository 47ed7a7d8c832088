//! Simulates the continuous batching of one engine.

use std::collections::VecDeque;
use std::sync::Arc;

use teaselglade_core::port::ServerReport;

use super::{CacheEvent, EngineClass, PrefixCache};
use teaselglade_placement::policy::PREFIX_BLOCK_TOKENS;

const MICROS_PER_SECOND: f64 = 1e6;

/// Attempt submitted to an engine.
#[derive(Debug, Clone)]
pub struct EngineAttempt {
    /// Index that the caller identifies the attempt by.
    pub attempt_index: usize,
    /// Prompt length in tokens, including output tokens that were already delivered.
    pub prompt_tokens: u32,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Prefix block hashes of the prompt and the output.
    pub prefix: Arc<[u64]>,
}

#[derive(Debug, Clone)]
struct BatchEntry {
    attempt: EngineAttempt,
    cached_tokens: u32,
    remaining_prefill: u32,
    generated_tokens: u32,
}

/// Token that a step generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GeneratedToken {
    /// Index that the caller identifies the attempt by.
    pub attempt_index: usize,
    /// Prompt tokens that were computed, if this is the attempt's first token.
    pub computed_tokens: Option<u32>,
    /// Whether this is the last token of the output.
    pub is_last: bool,
}

/// Output of one step.
#[derive(Debug, Clone, Default)]
pub struct StepResult {
    /// One token for each stream in the batch.
    pub tokens: Vec<GeneratedToken>,
}

/// Simulates the continuous batching of one engine.
///
/// Each step generates one token for each stream and computes one chunk of one prompt.
#[derive(Debug, Clone)]
pub struct EngineModel {
    class: EngineClass,
    batch: Vec<BatchEntry>,
    waiting: VecDeque<EngineAttempt>,
    cache: PrefixCache,
    chunk_tokens: u32,
    step_seconds: f64,
    step_count: f64,
    total_step_seconds: f64,
    prefilled_tokens: f64,
    prefill_seconds: f64,
    output_tokens: f64,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(class: EngineClass) -> Self {
        let cache = PrefixCache::new(class.cache_blocks);
        Self {
            class,
            batch: Vec::new(),
            waiting: VecDeque::new(),
            cache,
            chunk_tokens: 0,
            step_seconds: 0.0,
            step_count: 0.0,
            total_step_seconds: 0.0,
            prefilled_tokens: 0.0,
            prefill_seconds: 0.0,
            output_tokens: 0.0,
        }
    }

    /// Adds an attempt to the waiting queue.
    pub fn submit(&mut self, attempt: EngineAttempt) {
        self.waiting.push_back(attempt);
    }

    /// Returns whether no attempt is running or waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Starts a step and returns its duration in seconds, or `None` if the engine is idle.
    pub fn start_step(&mut self) -> Option<f64> {
        self.fill_batch();
        if self.batch.is_empty() {
            return None;
        }
        let streams = self
            .batch
            .iter()
            .filter(|entry| entry.remaining_prefill == 0);
        let streams = streams.count() as f64;
        let prefilling_entry = self.batch.iter().find(|entry| entry.remaining_prefill > 0);
        self.chunk_tokens = prefilling_entry.map_or(0, |entry| {
            entry.remaining_prefill.min(self.class.prefill_chunk)
        });
        let chunk_seconds = f64::from(self.chunk_tokens) / self.class.prefill_rate;
        self.step_seconds =
            self.class.step_seconds + self.class.stream_seconds * streams + chunk_seconds;
        Some(self.step_seconds)
    }

    /// Ends the running step and returns its tokens.
    pub fn end_step(&mut self) -> StepResult {
        self.step_count += 1.0;
        self.total_step_seconds += self.step_seconds;
        if self.chunk_tokens > 0 {
            self.prefilled_tokens += f64::from(self.chunk_tokens);
            self.prefill_seconds += self.step_seconds;
        }
        let mut chunk_tokens = self.chunk_tokens;
        let mut result = StepResult::default();
        for entry in &mut self.batch {
            let is_prefilling = entry.remaining_prefill > 0;
            let computed = entry.remaining_prefill.min(chunk_tokens);
            entry.remaining_prefill -= computed;
            chunk_tokens -= computed;
            if entry.remaining_prefill > 0 {
                continue;
            }
            if is_prefilling {
                let blocks = entry.attempt.prompt_tokens / PREFIX_BLOCK_TOKENS;
                self.cache.store(&entry.attempt.prefix[..blocks as usize]);
            }
            entry.generated_tokens += 1;
            let is_first = entry.generated_tokens == 1;
            result.tokens.push(GeneratedToken {
                attempt_index: entry.attempt.attempt_index,
                computed_tokens: is_first
                    .then(|| entry.attempt.prompt_tokens - entry.cached_tokens),
                is_last: entry.generated_tokens >= entry.attempt.output_tokens,
            });
        }
        self.output_tokens += result.tokens.len() as f64;
        self.remove_completed();
        result
    }

    /// Removes all attempts and returns their indexes and numbers of computed tokens.
    pub fn abort_all(&mut self) -> Vec<(usize, u32)> {
        let running = self.batch.drain(..).map(|entry| {
            let computed =
                entry.attempt.prompt_tokens - entry.remaining_prefill + entry.generated_tokens;
            (entry.attempt.attempt_index, computed)
        });
        let waiting = self
            .waiting
            .drain(..)
            .map(|attempt| (attempt.attempt_index, 0));
        running.chain(waiting).collect()
    }

    /// Returns the load since the last report and resets the counters.
    pub fn report(&mut self) -> ServerReport {
        let mean_step_seconds = self.total_step_seconds / self.step_count.max(1.0);
        let prefill_rate = self.prefilled_tokens / self.prefill_seconds.max(f64::MIN_POSITIVE);
        let report = ServerReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            tokens_per_second: self.output_tokens,
            token_gap_micros: (mean_step_seconds * MICROS_PER_SECOND) as u64,
            prefill_tokens_per_second: if self.prefilled_tokens > 0.0 {
                prefill_rate
            } else {
                0.0
            },
            kv_free: 1.0,
        };
        self.step_count = 0.0;
        self.total_step_seconds = 0.0;
        self.prefilled_tokens = 0.0;
        self.prefill_seconds = 0.0;
        self.output_tokens = 0.0;
        report
    }

    /// Returns the cache events since the last call and clears them.
    pub fn take_cache_events(&mut self) -> Vec<CacheEvent> {
        self.cache.take_cache_events()
    }

    /// Clears the prefix cache, as when the host was released and acquired again.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < self.class.max_batch {
            let Some(attempt) = self.waiting.pop_front() else {
                return;
            };
            let blocks = (attempt.prompt_tokens / PREFIX_BLOCK_TOKENS) as usize;
            let cached_tokens = self.cache.cached_tokens(&attempt.prefix[..blocks]);
            // The last prompt token is always computed: its step generates the first output token.
            let cached_tokens = cached_tokens.min(attempt.prompt_tokens.saturating_sub(1));
            self.batch.push(BatchEntry {
                cached_tokens,
                remaining_prefill: attempt.prompt_tokens - cached_tokens,
                generated_tokens: 0,
                attempt,
            });
        }
    }

    fn remove_completed(&mut self) {
        let is_completed =
            |entry: &BatchEntry| entry.generated_tokens >= entry.attempt.output_tokens;
        let completed = self.batch.extract_if(.., |entry| is_completed(entry));
        for entry in completed {
            self.cache.store(&entry.attempt.prefix);
        }
    }
}
