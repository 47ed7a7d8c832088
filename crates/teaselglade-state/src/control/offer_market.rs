//! Chooses the offer by which a host is ordered.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::{CloudHost, HostOrder, HostPurchase};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

use super::back_off::BackOff;
use super::{ControlLimits, HostOffer};

/// What an order needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferNeed<'a> {
    pub(super) row: &'a ServiceRow,
    pub(super) home: &'a str,
    /// Most that the host may cost, in euro cents an hour.
    pub(super) budget: f64,
    /// Whether the service misses its target, so that a host that stays is worth its price.
    pub(super) at_risk: bool,
}

/// Offers with their prices and back-offs.
#[derive(Debug)]
pub(super) struct OfferMarket {
    offers: Vec<HostOffer>,
    back_offs: BTreeMap<usize, BackOff>,
    random: Pcg64Mcg,
}

impl OfferMarket {
    pub(super) fn new(offers: Vec<HostOffer>, seed: u64) -> Self {
        Self {
            offers,
            back_offs: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the zones that an offer of the row's hardware exists in, sorted.
    pub(super) fn zones<'a>(&'a self, row: &'a ServiceRow) -> Vec<&'a str> {
        let permitted = self.permitted(row).map(|(_, offer)| offer.zone.as_str());
        let mut zones = permitted.collect::<Vec<_>>();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the highest price of an offer that the row permits.
    pub(super) fn highest_price(&self, row: &ServiceRow) -> f64 {
        let prices = self.permitted(row).map(|(_, offer)| offer.cents_per_hour);
        prices.fold(0.0, f64::max)
    }

    /// Returns the offer to order by, where one is affordable and not refused of late.
    ///
    /// Reclaimable hosts go first, then the home zone, then the price. A service at risk takes
    /// hosts that stay first.
    pub(super) fn choose(&self, now: Timestamp, need: OfferNeed<'_>) -> Option<HostOffer> {
        let waits = |index: &usize| self.back_offs.get(index).is_some_and(|b| b.is_waiting(now));
        let open = self.permitted(need.row);
        let open =
            open.filter(|(index, offer)| offer.cents_per_hour <= need.budget && !waits(index));
        let last = if need.at_risk {
            HostPurchase::Reclaimable
        } else {
            HostPurchase::OnDemand
        };
        let rank = |offer: &HostOffer| (offer.purchase == last, offer.zone != need.home);
        let best = open.min_by(|(_, a), (_, b)| {
            let by_price = a.cents_per_hour.total_cmp(&b.cents_per_hour);
            rank(a).cmp(&rank(b)).then(by_price)
        });
        best.map(|(_, offer)| offer.clone())
    }

    pub(super) fn note_refusal(
        &mut self,
        now: Timestamp,
        order: &HostOrder,
        retry_after: Option<Duration>,
        limits: &ControlLimits,
    ) {
        let Some(index) = self.find(order) else {
            return;
        };
        let back_off = self.back_offs.entry(index).or_default();
        back_off.note_failure(
            now,
            limits.initial_backoff,
            limits.max_backoff,
            retry_after,
            &mut self.random,
        );
    }

    /// Notes a host that the cloud API started.
    pub(super) fn note_started(&mut self, host: &CloudHost) {
        if let Some(index) = self.find(&host.order) {
            self.back_offs.entry(index).or_default().note_success();
        }
        self.note_price(host);
    }

    /// Notes the price of a host.
    pub(super) fn note_price(&mut self, host: &CloudHost) {
        if let Some(index) = self.find(&host.order) {
            self.offers[index].cents_per_hour = host.cents_per_hour;
        }
    }

    /// Avoids reclaimable hosts of a kind until `until`.
    pub(super) fn avoid(&mut self, order: &HostOrder, until: Timestamp) {
        if order.purchase == HostPurchase::OnDemand {
            return;
        }
        if let Some(index) = self.find(order) {
            self.back_offs.entry(index).or_default().wait_until(until);
        }
    }

    fn permitted<'a>(
        &'a self,
        row: &'a ServiceRow,
    ) -> impl Iterator<Item = (usize, &'a HostOffer)> {
        let offers = self.offers.iter().enumerate();
        offers.filter(|(_, o)| row.permits(&o.class, &o.zone, o.cents_per_hour))
    }

    fn find(&self, order: &HostOrder) -> Option<usize> {
        self.offers.iter().position(|offer| {
            offer.zone == order.zone
                && offer.class == order.class
                && offer.purchase == order.purchase
        })
    }
}
