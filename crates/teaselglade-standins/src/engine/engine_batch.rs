//! Continuous batching: the streams of an engine and their progress per step.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_wire::{EngineFrame, EngineGenerate, EngineImport, EngineLoad};
use tokio::sync::mpsc::UnboundedSender;

use super::EngineProfile;
use super::cache_feed::CacheFeed;
use super::prefix_cache::PrefixCache;
use super::token_text::token_text;

/// Request id and number of an attempt.
pub(super) type AttemptKey = (String, u32);

#[derive(Debug)]
struct BatchStream {
    call: EngineGenerate,
    next_index: u32,
    frames: UnboundedSender<EngineFrame>,
}

/// Running and queued streams of one engine, with its prefix cache.
#[derive(Debug)]
pub(super) struct EngineBatch {
    profile: EngineProfile,
    running: Vec<BatchStream>,
    waiting: Vec<BatchStream>,
    cache: PrefixCache,
    pub(super) feed: CacheFeed,
    imported_caches: HashMap<String, EngineImport>,
    import_count: u64,
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
            imported_caches: HashMap::new(),
            import_count: 0,
            computed_tokens: 0,
        }
    }

    pub(super) fn enqueue(&mut self, call: EngineGenerate, frames: UnboundedSender<EngineFrame>) {
        let next_index = call.delivered.len() as u32;
        let is_ahead = |queued: &BatchStream| queued.call.priority >= call.priority;
        let position = self
            .waiting
            .iter()
            .take_while(|queued| is_ahead(queued))
            .count();
        self.waiting.insert(
            position,
            BatchStream {
                call,
                next_index,
                frames,
            },
        );
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Starts queued streams while there is room, and returns the duration of the next step.
    ///
    /// The duration includes the prefill of the started streams.
    pub(super) fn begin_step(&mut self) -> Duration {
        let mut prefill = Duration::ZERO;
        while self.running.len() < self.profile.max_batch && !self.waiting.is_empty() {
            let stream = self.waiting.remove(0);
            prefill += self.start_stream(stream);
        }
        prefill + self.profile.step_time(self.running.len())
    }

    /// Sends each running stream its next token or its end.
    pub(super) fn end_step(&mut self) {
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().filter_map(send_next_frame).collect();
    }

    pub(super) fn cancel(&mut self, attempt_key: &AttemptKey) {
        self.running
            .retain(|stream| !is_attempt(stream, attempt_key));
        self.waiting
            .retain(|stream| !is_attempt(stream, attempt_key));
    }

    /// Removes a running attempt and returns its KV cache.
    pub(super) fn export(&mut self, attempt_key: &AttemptKey) -> Option<EngineImport> {
        let position = self
            .running
            .iter()
            .position(|stream| is_attempt(stream, attempt_key))?;
        let stream = self.running.remove(position);
        let delivered = (0..stream.next_index).map(|index| token_text(&stream.call.prompt, index));
        Some(EngineImport {
            request: stream.call.request,
            attempt: stream.call.attempt,
            delivered: delivered.collect(),
            prompt: stream.call.prompt,
        })
    }

    /// Stores an imported KV cache and returns its handle.
    pub(super) fn import(&mut self, kv: EngineImport) -> String {
        self.import_count += 1;
        let handle = format!("kv-{}", self.import_count);
        self.imported_caches.insert(handle.clone(), kv);
        handle
    }

    pub(super) fn load(&self) -> EngineLoad {
        let step = self.profile.step_time(self.running.len());
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

    fn start_stream(&mut self, stream: BatchStream) -> Duration {
        let call = &stream.call;
        let prompt = call.prompt.split_whitespace();
        let words = prompt.chain(call.delivered.iter().map(|token| token.trim()));
        let words = words.collect::<Vec<_>>();
        let total = words.len() as u32;
        let handle = call.kv_handle.as_ref();
        let imported = handle.and_then(|handle| self.imported_caches.remove(handle));
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
        self.profile.prefill_time(computed)
    }
}

fn is_attempt(stream: &BatchStream, attempt_key: &AttemptKey) -> bool {
    stream.call.request == attempt_key.0 && stream.call.attempt == attempt_key.1
}

/// Sends the next frame; returns the stream while it continues and its caller is connected.
fn send_next_frame(mut stream: BatchStream) -> Option<BatchStream> {
    let call = &stream.call;
    let (request, attempt) = (call.request.clone(), call.attempt);
    if stream.next_index >= call.max_tokens {
        // The send fails if the caller has disconnected, who needs no end frame.
        let _send_result = stream.frames.send(EngineFrame::End {
            request,
            attempt,
            total: stream.next_index,
        });
        return None;
    }
    let text = token_text(&call.prompt, stream.next_index);
    let token = EngineFrame::Token {
        request,
        attempt,
        index: stream.next_index,
        text,
    };
    stream.next_index += 1;
    stream.frames.send(token).is_ok().then_some(stream)
}
