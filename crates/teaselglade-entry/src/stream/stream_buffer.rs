//! Buffer of one request's tokens, which callers read at their own pace.

use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::RequestRefusal;
use tokio::sync::Notify;

/// Holds the counts of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamEnd {
    /// Tokens of the response.
    pub(crate) tokens: u32,
    /// Tokens that were computed again after an attempt was lost.
    pub(crate) recomputed_tokens: u32,
}

/// Next step of a reader.
#[derive(Debug, Clone)]
pub(crate) enum StreamStep {
    /// The token at the reader's index.
    Token(String),
    /// The response is complete.
    End(StreamEnd),
    /// The request was refused.
    Refused(RequestRefusal),
    /// This host no longer has the stream; the caller must reconnect.
    Closed,
}

#[derive(Debug, Default)]
struct BufferState {
    tokens: Vec<String>,
    outcome: Option<std::result::Result<StreamEnd, RequestRefusal>>,
    is_closed: bool,
}

/// Holds the tokens and the outcome of one request.
#[derive(Debug)]
pub(crate) struct StreamBuffer {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Id of the copy of the stream that the tokens belong to.
    pub(crate) copy_id: u16,
    /// Index of the first token in the buffer.
    first_index: usize,
    state: Mutex<BufferState>,
    changed: Notify,
}

impl StreamBuffer {
    /// Creates a buffer with `tokens`, the first of which has index `first_index`.
    pub(crate) fn new(
        request: RequestId,
        copy_id: u16,
        first_index: usize,
        tokens: Vec<String>,
    ) -> Self {
        let state = BufferState {
            tokens,
            ..BufferState::default()
        };
        Self {
            request,
            copy_id,
            first_index,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Returns the index of the next token.
    pub(crate) fn end(&self) -> usize {
        self.first_index + self.lock().tokens.len()
    }

    /// Returns the tokens in the buffer.
    pub(crate) fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Appends a token if `index` is the next index.
    pub(crate) fn push(&self, index: usize, token: String) {
        let mut state = self.lock();
        if self.first_index + state.tokens.len() == index {
            state.tokens.push(token);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the outcome, unless it is set already.
    pub(crate) fn finish(&self, outcome: std::result::Result<StreamEnd, RequestRefusal>) {
        self.lock().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    /// Closes the buffer: readers that reach its end without an outcome are disconnected.
    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_waiters();
    }

    /// Waits for the step at `index`.
    pub(crate) async fn wait_for_step(&self, index: usize) -> StreamStep {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(step) = self.current_step(index) {
                return step;
            }
            changed.await;
        }
    }

    /// Returns the step at `index` if it is available.
    pub(crate) fn current_step(&self, index: usize) -> Option<StreamStep> {
        let state = self.lock();
        let position = index.checked_sub(self.first_index)?;
        if let Some(token) = state.tokens.get(position) {
            return Some(StreamStep::Token(token.clone()));
        }
        match state.outcome.clone() {
            Some(Ok(end)) => Some(StreamStep::End(end)),
            Some(Err(refusal)) => Some(StreamStep::Refused(refusal)),
            None => state.is_closed.then_some(StreamStep::Closed),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
