//! Continuous batching: which streams run and what each step brings.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_wire::{EngineFrame, EngineGenerate, EngineImport, EngineLoad};
use tokio::sync::mpsc::UnboundedSender;

use super::EngineProfile;
use super::cache_feed::CacheFeed;
use super::prefix_cache::PrefixCache;
use super::token_text::token_text;

/// Name of one attempt.
pub(super) type AttemptName = (String, u32);

#[derive(Debug)]
struct BatchStream {
    call: EngineGenerate,
    next: u32,
    frames: UnboundedSender<EngineFrame>,
}

/// Streams that run and wait at one engine.
#[derive(Debug)]
pub(super) struct EngineBatch {
    profile: EngineProfile,
    running: Vec<BatchStream>,
    waiting: Vec<BatchStream>,
    cache: PrefixCache,
    pub(super) feed: CacheFeed,
    imported: HashMap<String, EngineImport>,
    imports: u64,
    pub(super) computed_tokens: u64,
}

impl EngineBatch {
    pub(super) fn new(profile: EngineProfile) -> Self {
        let lag = Duration::from_millis(profile.event_lag_ms);
        Self {
            profile,
            running: Vec::new(),
            waiting: Vec::new(),
            cache: PrefixCache::new(profile.cache_tokens),
            feed: CacheFeed::new(lag, profile.event_gap_every),
            imported: HashMap::new(),
            imports: 0,
            computed_tokens: 0,
        }
    }

    pub(super) fn enqueue(&mut self, call: EngineGenerate, frames: UnboundedSender<EngineFrame>) {
        let next = call.delivered.len() as u32;
        let behind = |queued: &BatchStream| queued.call.priority >= call.priority;
        let place = self
            .waiting
            .iter()
            .take_while(|queued| behind(queued))
            .count();
        self.waiting
            .insert(place, BatchStream { call, next, frames });
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Starts waiting streams and returns how long the next step takes.
    pub(super) fn begin_step(&mut self) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.running.len() < self.profile.max_batch && !self.waiting.is_empty() {
            let stream = self.waiting.remove(0);
            prefill += self.start(stream);
        }
        prefill + self.profile.step(self.running.len())
    }

    /// Brings every running stream its next token.
    pub(super) fn end_step(&mut self) {
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().filter_map(advance).collect();
    }

    pub(super) fn cancel(&mut self, name: &AttemptName) {
        self.running.retain(|stream| !is_named(stream, name));
        self.waiting.retain(|stream| !is_named(stream, name));
    }

    /// Ends a running attempt and returns its KV cache.
    pub(super) fn export(&mut self, name: &AttemptName) -> Option<EngineImport> {
        let place = self
            .running
            .iter()
            .position(|stream| is_named(stream, name))?;
        let stream = self.running.remove(place);
        let delivered = (0..stream.next).map(|index| token_text(&stream.call.prompt, index));
        Some(EngineImport {
            request: stream.call.request,
            attempt: stream.call.attempt,
            delivered: delivered.collect(),
            prompt: stream.call.prompt,
        })
    }

    /// Keeps an imported KV cache and returns its handle.
    pub(super) fn import(&mut self, kv: EngineImport) -> String {
        self.imports += 1;
        let handle = format!("kv-{}", self.imports);
        self.imported.insert(handle.clone(), kv);
        handle
    }

    pub(super) fn load(&self) -> EngineLoad {
        let step = self.profile.step(self.running.len());
        let running = self.running.len();
        EngineLoad {
            running: running as u32,
            waiting: self.waiting.len() as u32,
            tokens_per_second: running as f64 / step.as_secs_f64(),
            token_gap_micros: step.as_micros() as u64,
            prefill_tokens_per_second: self.profile.prefill_tokens_per_second,
            kv_free: 1.0 - running as f64 / self.profile.max_batch as f64,
        }
    }

    fn start(&mut self, stream: BatchStream) -> Duration {
        let call = &stream.call;
        let prompt = call.prompt.split_whitespace();
        let words = prompt.chain(call.delivered.iter().map(|token| token.trim()));
        let words = words.collect::<Vec<_>>();
        let total = words.len() as u32;
        let handle = call.kv_handle.as_ref();
        let imported = handle.and_then(|handle| self.imported.remove(handle));
        let cached = match imported {
            Some(kv) if kv.prompt == call.prompt => total,
            _ => self.cache.cached_words(&words),
        };
        let computed = total - cached;
        let changes = self.cache.store(&words);
        self.feed.publish(changes);
        self.computed_tokens += u64::from(computed);
        let started = EngineFrame::Started {
            request: call.request.clone(),
            attempt: call.attempt,
            computed_tokens: computed,
            cached_tokens: cached,
        };
        if stream.frames.send(started).is_ok() {
            self.running.push(stream);
        }
        self.profile.prefill(computed)
    }
}

fn is_named(stream: &BatchStream, name: &AttemptName) -> bool {
    stream.call.request == name.0 && stream.call.attempt == name.1
}

fn advance(mut stream: BatchStream) -> Option<BatchStream> {
    let call = &stream.call;
    let (request, attempt) = (call.request.clone(), call.attempt);
    if stream.next >= call.max_tokens {
        // A caller that is gone needs no end.
        let _gone = stream.frames.send(EngineFrame::End {
            request,
            attempt,
            total: stream.next,
        });
        return None;
    }
    let text = token_text(&call.prompt, stream.next);
    let token = EngineFrame::Token {
        request,
        attempt,
        index: stream.next,
        text,
    };
    stream.next += 1;
    stream.frames.send(token).is_ok().then_some(stream)
}
