//! Requests for permits that wait for their answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use teaselglade_core::time::Timestamp;
use teaselglade_routing::gossip::PeerMessage;
use teaselglade_routing::limit::PermitAnswer;
use tokio::sync::{mpsc, oneshot};

/// Number of waiting requests from which those whose callers left are dropped.
const MAX_ABANDONED: usize = 256;

/// Message to a peer, with its address.
pub type OutgoingMessage = (SocketAddr, PeerMessage);

/// Requests for permits that wait for their answers, and messages on their way to the transport.
#[derive(Debug)]
pub struct PermitDesk {
    outgoing: mpsc::UnboundedSender<OutgoingMessage>,
    /// Taken by the transport when it starts.
    outbox: Mutex<Option<mpsc::UnboundedReceiver<OutgoingMessage>>>,
    waiting: Mutex<HashMap<u64, oneshot::Sender<PermitAnswer>>>,
    last_number: AtomicU64,
    /// Hosts that did not answer a request, and until when they are not asked again.
    silent: Mutex<HashMap<SocketAddr, Timestamp>>,
}

impl PermitDesk {
    /// Creates a desk whose request numbers begin after `started_at_us`.
    ///
    /// A host's start time in microseconds keeps them apart from those before a restart.
    #[must_use]
    pub fn new(started_at_us: u64) -> Self {
        let (outgoing, outbox) = mpsc::unbounded_channel();
        Self {
            outgoing,
            outbox: Mutex::new(Some(outbox)),
            waiting: Mutex::default(),
            last_number: AtomicU64::new(started_at_us),
            silent: Mutex::default(),
        }
    }

    /// Returns the messages to send; only the first call gets them.
    pub fn take_outbox(&self) -> Option<mpsc::UnboundedReceiver<OutgoingMessage>> {
        let mut outbox = self.outbox.lock().unwrap_or_else(PoisonError::into_inner);
        outbox.take()
    }

    /// Queues a message to a peer.
    pub fn post(&self, peer: SocketAddr, message: PeerMessage) {
        // The transport lives as long as the host; without it nothing can be sent.
        let _stopped = self.outgoing.send((peer, message));
    }

    /// Returns the number of a new request, and where its answer arrives.
    pub fn open(&self) -> (u64, oneshot::Receiver<PermitAnswer>) {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.lock_waiting();
        if waiting.len() >= MAX_ABANDONED {
            waiting.retain(|_, sender| !sender.is_closed());
        }
        waiting.insert(number, sender);
        (number, receiver)
    }

    /// Stops waiting for the answer to a request.
    pub fn close(&self, number: u64) {
        self.lock_waiting().remove(&number);
    }

    /// Passes an answer to the request that waits for it; returns whether one did.
    pub fn answer(&self, number: u64, answer: PermitAnswer) -> bool {
        let waiting = self.lock_waiting().remove(&number);
        waiting.is_some_and(|sender| sender.send(answer).is_ok())
    }

    /// Records until when a host that did not answer is not asked again.
    pub fn record_silence(&self, issuer: SocketAddr, until: Timestamp) {
        self.lock_silent().insert(issuer, until);
    }

    /// Returns whether a host did not answer a short while ago.
    pub fn is_silent(&self, now: Timestamp, issuer: SocketAddr) -> bool {
        let mut silent = self.lock_silent();
        silent.retain(|_, until| *until > now);
        silent.contains_key(&issuer)
    }

    fn lock_silent(&self) -> MutexGuard<'_, HashMap<SocketAddr, Timestamp>> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<PermitAnswer>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
