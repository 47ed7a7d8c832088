//! Tokens of one request, from which callers read at their own pace.

use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::RequestRefusal;
use tokio::sync::Notify;

/// End of a stream that got its whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StreamEnd {
    /// Tokens of the answer.
    pub(crate) tokens: u32,
    /// Tokens computed again after a loss.
    pub(crate) recomputed_tokens: u32,
}

/// What comes next for a reader.
#[derive(Debug, Clone)]
pub(crate) enum StreamStep {
    /// The token at the reader's place.
    Token(String),
    /// The answer is whole.
    End(StreamEnd),
    /// The request is given up.
    Refused(RequestRefusal),
    /// This host no longer has the stream; the reader must come back.
    Cut,
}

#[derive(Debug, Default)]
struct BufferState {
    tokens: Vec<String>,
    outcome: Option<std::result::Result<StreamEnd, RequestRefusal>>,
    is_closed: bool,
}

/// Tokens and outcome of one request.
#[derive(Debug)]
pub(crate) struct StreamBuffer {
    /// Id of the request.
    pub(crate) request: RequestId,
    /// Line that the tokens belong to.
    pub(crate) line: u16,
    /// Index of the first token that is kept.
    first: usize,
    state: Mutex<BufferState>,
    changed: Notify,
}

impl StreamBuffer {
    /// Makes a buffer that holds the tokens from index `first` on.
    pub(crate) fn new(request: RequestId, line: u16, first: usize, tokens: Vec<String>) -> Self {
        let state = BufferState {
            tokens,
            ..BufferState::default()
        };
        Self {
            request,
            line,
            first,
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Returns the index of the next token.
    pub(crate) fn end(&self) -> usize {
        self.first + self.lock().tokens.len()
    }

    /// Returns the tokens that are kept.
    pub(crate) fn tokens(&self) -> Vec<String> {
        self.lock().tokens.clone()
    }

    /// Adds the token at `index`, unless it is there.
    pub(crate) fn push(&self, index: usize, token: String) {
        let mut state = self.lock();
        if self.first + state.tokens.len() == index {
            state.tokens.push(token);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets the outcome, unless there is one.
    pub(crate) fn finish(&self, outcome: std::result::Result<StreamEnd, RequestRefusal>) {
        self.lock().outcome.get_or_insert(outcome);
        self.changed.notify_waiters();
    }

    /// Sends the readers away behind the last token.
    pub(crate) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_waiters();
    }

    /// Waits for what comes at `index`.
    pub(crate) async fn step(&self, index: usize) -> StreamStep {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(step) = self.present_step(index) {
                return step;
            }
            changed.await;
        }
    }

    /// Returns what is there at `index`.
    pub(crate) fn present_step(&self, index: usize) -> Option<StreamStep> {
        let state = self.lock();
        let place = index.checked_sub(self.first)?;
        if let Some(token) = state.tokens.get(place) {
            return Some(StreamStep::Token(token.clone()));
        }
        match state.outcome.clone() {
            Some(Ok(end)) => Some(StreamStep::End(end)),
            Some(Err(refusal)) => Some(StreamStep::Refused(refusal)),
            None => state.is_closed.then_some(StreamStep::Cut),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
