//! What is known of a connection's unanswered input.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Tells whether a connection can be closed without losing a request or an answer.
///
/// The connection's socket and its service report to it.
#[derive(Debug, Default)]
pub(super) struct ConnectionActivity {
    /// Requests that were read and whose answers were not yet produced whole.
    requests: AtomicUsize,
    /// Wakes whoever waits for the end of the last request.
    idle: Notify,
    /// Bytes were read that may belong to a request whose head is incomplete.
    has_partial_head: AtomicBool,
    /// The next read that finds nothing should look whether bytes arrived unnoticed.
    is_check_due: AtomicBool,
    /// Bytes wait in the socket that the runtime has not reported yet.
    has_unread_input: AtomicBool,
    /// Bytes of an answer wait until the caller reads on.
    is_write_blocked: AtomicBool,
    /// Several requests share the connection, and its protocol announces its end.
    is_multiplexed: AtomicBool,
    /// The current answer has no framing if its length is unknown; only its connection's end ends it.
    is_unframed: AtomicBool,
    /// Answers announce the connection's close from now on.
    is_close_announced: AtomicBool,
}

impl ConnectionActivity {
    /// Counts a request until the guard is dropped.
    pub(super) fn begin_request(self: &Arc<Self>, is_multiplexed: bool) -> RequestGuard {
        self.is_multiplexed.store(is_multiplexed, Ordering::Relaxed);
        self.has_partial_head.store(false, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Records whether the protocol of the current request frames answers of unknown length.
    pub(super) fn record_framing(&self, is_unframed: bool) {
        self.is_unframed.store(is_unframed, Ordering::Relaxed);
    }

    /// Returns whether the end of the connection alone tells the end of the current answer.
    pub(super) fn is_unframed(&self) -> bool {
        self.is_unframed.load(Ordering::Relaxed)
    }

    /// Records that bytes were read.
    pub(super) fn record_input(&self) {
        self.has_partial_head.store(true, Ordering::Relaxed);
        self.has_unread_input.store(false, Ordering::Relaxed);
    }

    /// Records whether the socket took the last bytes of an answer.
    pub(super) fn record_write(&self, is_blocked: bool) {
        self.is_write_blocked.store(is_blocked, Ordering::Relaxed);
    }

    /// Requests a check of the socket at the next read.
    pub(super) fn request_check(&self) {
        self.is_check_due.store(true, Ordering::Relaxed);
    }

    /// Returns whether a check was requested; it is due once.
    pub(super) fn take_check(&self) -> bool {
        self.is_check_due.swap(false, Ordering::Relaxed)
    }

    /// Records the result of a check.
    pub(super) fn record_check(&self, has_unread_input: bool) {
        self.has_unread_input
            .store(has_unread_input, Ordering::Relaxed);
    }

    /// Makes further answers announce the connection's close.
    pub(super) fn announce_close(&self) {
        self.is_close_announced.store(true, Ordering::Relaxed);
    }

    /// Returns whether an answer should announce the connection's close.
    pub(super) fn is_close_announced(&self) -> bool {
        self.is_close_announced.load(Ordering::Relaxed)
    }

    /// Returns whether a request is being answered.
    pub(super) fn is_busy(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 0
    }

    /// Returns whether closing the connection now loses nothing.
    pub(super) fn may_close(&self) -> bool {
        let has_input = self.has_partial_head.load(Ordering::Relaxed)
            || self.has_unread_input.load(Ordering::Relaxed);
        self.is_multiplexed.load(Ordering::Relaxed) || !(self.is_busy() || has_input)
    }

    /// Returns whether nothing but a part of a request's head would be lost.
    pub(super) fn is_awaiting_head(&self) -> bool {
        self.has_partial_head.load(Ordering::Relaxed)
            && !self.is_busy()
            && !self.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Waits until a request ends.
    pub(super) async fn request_ended(&self) {
        self.idle.notified().await;
    }
}

/// Counts a request of a connection until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(Arc<ConnectionActivity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.has_partial_head.store(false, Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.idle.notify_one();
    }
}
