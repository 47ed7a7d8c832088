//! Progress of an aggregator in sending one aggregate digest.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

/// Age from which an aggregator builds its news of servers anew while it sends an aggregate.
const NEWS_INTERVAL: Duration = Duration::from_millis(100);
/// Most parts of news beside which an aggregator tells loads in turn.
///
/// While hundreds of servers leave, their departures take the place of the loads on its link.
const LOADS_BESIDE_PARTS: usize = 4;

/// Progress of an aggregator in sending one aggregate digest to its served hosts in turn.
#[derive(Debug)]
pub(super) struct AggregateRound {
    pub(super) bytes: Vec<u8>,
    /// News of servers, sent before the aggregate, and the time at which it was built.
    pub(super) news: Vec<Vec<u8>>,
    pub(super) news_at: Instant,
    /// Loads of engines, if the aggregate has no room for them.
    pub(super) loads: Option<Vec<u8>>,
    /// Sum of the demand for services, which is sent beside the digest.
    pub(super) shares: Option<Vec<u8>>,
    /// Speeds of servers, sent beside the aggregate.
    pub(super) speeds: Option<Vec<u8>>,
    pub(super) remaining: Vec<SocketAddr>,
    pub(super) next_send_at: Instant,
    pub(super) send_interval: Duration,
}

impl Default for AggregateRound {
    /// Creates a round without receivers.
    fn default() -> Self {
        Self {
            bytes: Vec::new(),
            news: Vec::new(),
            news_at: Instant::now(),
            loads: None,
            shares: None,
            speeds: None,
            remaining: Vec::new(),
            next_send_at: Instant::now(),
            send_interval: Duration::ZERO,
        }
    }
}

impl AggregateRound {
    /// Returns whether the news has to be built anew for the next receiver.
    pub(super) fn has_old_news(&self) -> bool {
        self.news_at.elapsed() >= NEWS_INTERVAL
    }

    /// Returns the loads that are sent in a message of their own, if the news leaves room.
    pub(super) fn loads_beside_news(&self) -> Option<&Vec<u8>> {
        let has_room = self.news.len() <= LOADS_BESIDE_PARTS;
        self.loads.as_ref().filter(|_| has_room)
    }
}
