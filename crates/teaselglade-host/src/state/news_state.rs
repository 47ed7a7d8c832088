//! News of servers that a host tells its peers, and hears from them.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::gossip::{NewsTurn, ServerNews};
use teaselglade_routing::registry::{
    ServerDeparture, ServerRegistration, ServerRegistry, UpdateScope,
};

use super::DecisionState;
use super::decision_state::UNKNOWN_AGE;

/// Time after which a round whose parts did not all arrive is forgotten.
const ROUND_TTL: Duration = Duration::from_secs(2);

/// Most parts that a digest of a small fleet holds; 43 of the 60 KB that are read.
const SMALL_FLEET_PARTS: usize = 36;

/// Round of a peer's news of which parts arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewsRound {
    round: u64,
    /// Time of the first part.
    received_at: Timestamp,
    /// Bit of each part that arrived.
    parts: u64,
}

/// What a digest itself holds of a round of news.
#[derive(Debug, Clone, PartialEq)]
pub struct DigestNews {
    /// Age of the registration data that a receiver may claim, in milliseconds.
    pub update_age_ms: u64,
    /// Registrations that changed.
    pub updates: Vec<ServerRegistration>,
    /// Server departures.
    pub departures: Vec<ServerDeparture>,
}

impl DigestNews {
    /// Returns what a digest holds of a round: all of it up to `most_parts`, nothing beyond.
    ///
    /// Hosts of earlier builds read no parts; they take no claim from a digest without them.
    #[must_use]
    pub fn of_round(round: &[ServerNews], most_parts: usize) -> Self {
        let held = if round.len() <= most_parts {
            round
        } else {
            &[]
        };
        let age = held.first().and_then(ServerNews::update_age);
        Self {
            update_age_ms: age.unwrap_or(UNKNOWN_AGE).as_millis() as u64,
            updates: held.iter().flat_map(|part| part.updates.clone()).collect(),
            departures: held
                .iter()
                .flat_map(|part| part.departures.clone())
                .collect(),
        }
    }
}

impl DecisionState {
    /// Returns the news of servers that this host tells in its digest of this number.
    ///
    /// The parts are those to send before it; there are none if the digest holds them all.
    pub fn host_news(
        &mut self,
        now: Timestamp,
        digest_number: u64,
    ) -> (DigestNews, Vec<ServerNews>) {
        let scope = self.update_scope(now);
        let is_large = self.membership.is_large();
        let number = is_large.then_some(digest_number);
        let age = self.shared_update_age(now);
        let round = self.server_news(now, scope, number, age);
        let most_parts = if is_large { 1 } else { SMALL_FLEET_PARTS };
        let held = DigestNews::of_round(&round, most_parts);
        let is_held = round.len() <= most_parts;
        (held, if is_held { Vec::new() } else { round })
    }

    /// Returns the news of servers that an aggregator tells in its aggregate of this number.
    pub fn aggregate_news(&mut self, now: Timestamp, aggregate_number: u64) -> DigestNews {
        let age = self.update_age(now);
        let round = self.server_news(now, UpdateScope::All, Some(aggregate_number), age);
        DigestNews::of_round(&round, 1)
    }

    /// Returns the news of servers that an aggregator tells a host before the aggregate, in parts.
    ///
    /// There are none while nothing changed.
    pub fn aggregate_parts(&mut self, now: Timestamp, aggregate_number: u64) -> Vec<ServerNews> {
        let age = self.update_age(now);
        let mut round = self.server_news(now, UpdateScope::All, Some(aggregate_number), age);
        round.retain(|part| !part.is_empty());
        round
    }

    fn server_news(
        &mut self,
        now: Timestamp,
        scope: UpdateScope,
        number: Option<u64>,
        age: Duration,
    ) -> Vec<ServerNews> {
        self.news_round = self.news_round.wrapping_add(1);
        let turn = NewsTurn::new(self.news_round, number.unwrap_or_default());
        // In a small fleet a digest holds them all, as far as it is read.
        let turn = match number {
            Some(_) => turn,
            None => turn.most_parts(SMALL_FLEET_PARTS),
        };
        let updates = if self.membership.is_large() {
            self.registry.changes(now, scope)
        } else {
            self.registry.updates(now, scope)
        };
        let is_known = age < UNKNOWN_AGE && !self.has_untold_listing(now);
        ServerNews::split(
            &self.own_name,
            turn,
            Some(age).filter(|_| is_known),
            self.registry.departures(now, scope, number),
            updates,
        )
    }

    /// Returns whether peers may lack servers of the first listing, which a large fleet is not told.
    ///
    /// A peer whose data is older than the repeats of a departure takes no claim, see
    /// `advance_update_time`; after this time the data of all others is younger than the listing.
    fn has_untold_listing(&self, now: Timestamp) -> bool {
        let listed_since = self.registry.first_listed_since(now);
        let untold_time = ServerRegistry::departure_repeat(true);
        self.membership.is_large() && listed_since.is_some_and(|since| since < untold_time)
    }

    /// Merges a part of a peer's news of servers.
    ///
    /// The age of the peer's data counts when all parts of the round have arrived.
    pub fn merge_news(&mut self, now: Timestamp, news: ServerNews) {
        self.heard_rounds
            .retain(|_, heard| now.since(heard.received_at) < ROUND_TTL);
        let new_round = NewsRound {
            round: news.round,
            received_at: now,
            parts: 0,
        };
        let heard = self
            .heard_rounds
            .entry(news.sender.clone())
            .or_insert(new_round);
        if heard.round != news.round {
            *heard = new_round;
        }
        heard.parts |= 1_u64.checked_shl(u32::from(news.part)).unwrap_or(0);
        let is_whole = heard.parts.count_ones() >= u32::from(news.parts);
        let waited = now.since(heard.received_at);
        let age = news.update_age().filter(|_| is_whole);
        let age = age.map_or(UNKNOWN_AGE, |age| age + waited);
        self.merge_server_updates(now, age, news.updates, &news.departures);
    }
}
