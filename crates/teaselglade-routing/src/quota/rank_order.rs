//! Order of an organisation's requests while its quota is short.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use crate::capacity::RequestRank;

/// Time constant of the demand by rank.
///
/// A host of a large fleet sees one request of an organisation a second, or fewer.
const TIME_CONSTANT: Duration = Duration::from_secs(10);
/// Part of the common fraction that every rank is admitted with, so that none starves.
const MIN_RANK_PART: f64 = 0.5;
/// Part of the demand from which more urgent requests count as competing.
const MIN_COMPETING_PART: f64 = 0.01;

#[derive(Debug, Clone, Copy, Default)]
struct RankState {
    /// Units requested per second at this host, smoothed.
    demand: f64,
    updated_at: Timestamp,
    /// Time until which the refill is reserved for requests that were refused with a retry delay.
    reserved_until: Timestamp,
}

impl RankState {
    fn demand(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.demand * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Order of an organisation's requests by rank while its quota is short.
///
/// The composition of this host's demand stands for that of the fleet.
#[derive(Debug, Clone, Default)]
pub(super) struct RankOrder {
    ranks: BTreeMap<RequestRank, RankState>,
}

impl RankOrder {
    /// Records a request, admitted or not.
    pub(super) fn record(&mut self, now: Timestamp, rank: RequestRank, units: f64) {
        let state = self.ranks.entry(rank).or_default();
        state.demand = state.demand(now) + units / TIME_CONSTANT.as_secs_f64();
        state.updated_at = now;
    }

    /// Returns the fraction of a rank's requests to admit, where `common` holds for all together.
    ///
    /// More urgent ranks take up to half of what less urgent ones would get.
    pub(super) fn fraction(&self, now: Timestamp, rank: RequestRank, common: f64) -> f64 {
        let total: f64 = self.ranks.values().map(|state| state.demand(now)).sum();
        let earlier = self.ranks.range(..rank);
        let earlier: f64 = earlier.map(|(_, state)| state.demand(now)).sum();
        let own = self.ranks.get(&rank).map_or(0.0, |state| state.demand(now));
        if common >= 1.0 || own <= 0.0 {
            return common;
        }
        let least = common * MIN_RANK_PART;
        let extra = total * (common - least) - earlier * (1.0 - least);
        (least + extra.max(0.0) / own).min(1.0)
    }

    /// Returns whether requests of a rank may go into debt.
    ///
    /// They may if their rank and more urgent ones ask for at most half of the demand.
    pub(super) fn may_owe(&self, now: Timestamp, rank: RequestRank) -> bool {
        let total: f64 = self.ranks.values().map(|state| state.demand(now)).sum();
        let upto = self.ranks.range(..=rank);
        let upto: f64 = upto.map(|(_, state)| state.demand(now)).sum();
        upto <= total * MIN_RANK_PART
    }

    /// Returns whether more urgent requests compete with those of a rank.
    pub(super) fn is_outranked(&self, now: Timestamp, rank: RequestRank) -> bool {
        let total: f64 = self.ranks.values().map(|state| state.demand(now)).sum();
        let earlier = self.ranks.range(..rank);
        let earlier: f64 = earlier.map(|(_, state)| state.demand(now)).sum();
        earlier > total * MIN_COMPETING_PART
    }

    /// Returns whether requests of several ranks are asked for.
    pub(super) fn do_compete(&self, now: Timestamp) -> bool {
        let last = self.ranks.last_key_value();
        last.is_some_and(|(rank, _)| self.is_outranked(now, *rank))
    }

    /// Returns the time until which returns of a rank and of more urgent ones are promised.
    pub(super) fn reserved_until(&self, rank: RequestRank) -> Timestamp {
        let earlier = self.ranks.range(..=rank);
        let reserved = earlier.map(|(_, state)| state.reserved_until);
        reserved.max().unwrap_or(Timestamp::ZERO)
    }

    /// Promises returns of a rank until a time.
    pub(super) fn reserve(&mut self, rank: RequestRank, until: Timestamp) {
        self.ranks.entry(rank).or_default().reserved_until = until;
    }
}
