//! Queue of log lines in front of a writer that may be slow.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Queue of log lines, which never blocks those who log.
///
/// # Examples
///
/// ```
/// use teaselglade_host::journal::LineQueue;
///
/// let queue = LineQueue::new(1);
/// queue.push(b"first\n".to_vec());
/// queue.push(b"beyond the capacity\n".to_vec());
/// assert_eq!(queue.dropped_lines(), 1);
/// ```
#[derive(Debug)]
pub struct LineQueue {
    state: Mutex<QueueState>,
    added: Condvar,
    written: Condvar,
}

#[derive(Debug)]
struct QueueState {
    lines: VecDeque<Vec<u8>>,
    capacity: usize,
    /// Lines that found the queue full or that could not be written.
    dropped: u64,
    /// Whether the writer holds a line that is not in the queue any more.
    is_writing: bool,
    is_closed: bool,
}

impl QueueState {
    fn unwritten(&self) -> usize {
        self.lines.len() + usize::from(self.is_writing)
    }
}

impl LineQueue {
    /// Creates a queue of at most `capacity` lines.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            state: Mutex::new(QueueState {
                lines: VecDeque::new(),
                capacity,
                dropped: 0,
                is_writing: false,
                is_closed: false,
            }),
            added: Condvar::new(),
            written: Condvar::new(),
        }
    }

    /// Adds a line, or counts it as dropped if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        let mut state = self.lock();
        if state.lines.len() >= state.capacity {
            state.dropped += 1;
            return;
        }
        state.lines.push_back(line);
        drop(state);
        self.added.notify_one();
    }

    /// Makes room for `lines` more lines.
    pub fn reserve(&self, lines: usize) {
        self.lock().capacity += lines;
    }

    /// Returns the number of lines that found the queue full or could not be written.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped
    }

    /// Writes lines as they come, until the queue is closed.
    pub fn write_to(&self, mut output: impl Write) {
        while let Some(line) = self.take_line() {
            let result = output.write_all(&line).and_then(|()| output.flush());
            let mut state = self.lock();
            state.dropped += u64::from(result.is_err());
            state.is_writing = false;
            let is_empty = state.lines.is_empty();
            drop(state);
            if is_empty {
                self.written.notify_all();
            }
        }
    }

    /// Closes the queue and waits up to `bound` until its lines are written.
    ///
    /// Returns the number of lines that were not written by then.
    pub fn close(&self, bound: Duration) -> usize {
        let mut state = self.lock();
        state.is_closed = true;
        self.added.notify_all();
        let waited = self
            .written
            .wait_timeout_while(state, bound, |state| state.unwritten() > 0);
        let (state, _timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        state.unwritten()
    }

    /// Waits for the next line; returns `None` once the queue is closed and empty.
    fn take_line(&self) -> Option<Vec<u8>> {
        let is_idle = |state: &mut QueueState| state.lines.is_empty() && !state.is_closed;
        let waited = self.added.wait_while(self.lock(), is_idle);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner);
        let line = state.lines.pop_front()?;
        state.is_writing = true;
        Some(line)
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writer whose every write is one line of a queue.
#[derive(Debug, Clone)]
pub struct LineWriter(pub Arc<LineQueue>);

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
