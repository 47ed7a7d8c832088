//! Selects the offer for a host order.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use teaselglade_core::port::{CloudHost, HostOrder, HostPurchase};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::time::Timestamp;

use super::backoff::Backoff;
use super::{ControlLimits, HostOffer};

/// Requirements of one host order.
#[derive(Debug, Clone, Copy)]
pub(super) struct OfferRequest<'a> {
    pub(super) row: &'a ServiceRow,
    /// Preferred zone.
    pub(super) home_zone: &'a str,
    /// Maximum price of the host, in euro cents per hour.
    pub(super) budget: f64,
    /// Whether the service misses its token gap target; if so, on-demand hosts are preferred.
    pub(super) misses_target: bool,
}

/// Offers with their prices and backoffs.
#[derive(Debug)]
pub(super) struct OfferSelector {
    offers: Vec<HostOffer>,
    /// Backoffs by index of the offer.
    backoffs: BTreeMap<usize, Backoff>,
    random: Pcg64Mcg,
}

impl OfferSelector {
    pub(super) fn new(offers: Vec<HostOffer>, seed: u64) -> Self {
        Self {
            offers,
            backoffs: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the zones of the offers that the row permits, sorted.
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

    /// Returns the best offer within the budget that is not backing off.
    ///
    /// Reclaimable hosts are preferred, then the home zone, then the lower price. A service that
    /// misses its target prefers on-demand hosts, which are not reclaimed.
    pub(super) fn choose(&self, now: Timestamp, request: OfferRequest<'_>) -> Option<HostOffer> {
        let is_backing_off =
            |index: &usize| self.backoffs.get(index).is_some_and(|b| b.is_waiting(now));
        let available = self.permitted(request.row);
        let available = available.filter(|(index, offer)| {
            offer.cents_per_hour <= request.budget && !is_backing_off(index)
        });
        let least_preferred = if request.misses_target {
            HostPurchase::Reclaimable
        } else {
            HostPurchase::OnDemand
        };
        let rank = |offer: &HostOffer| {
            (
                offer.purchase == least_preferred,
                offer.zone != request.home_zone,
            )
        };
        let best = available.min_by(|(_, a), (_, b)| {
            let by_price = a.cents_per_hour.total_cmp(&b.cents_per_hour);
            rank(a).cmp(&rank(b)).then(by_price)
        });
        best.map(|(_, offer)| offer.clone())
    }

    /// Records that the cloud API rejected an order, and starts or extends the offer's backoff.
    pub(super) fn record_rejection(
        &mut self,
        now: Timestamp,
        order: &HostOrder,
        retry_after: Option<Duration>,
        limits: &ControlLimits,
    ) {
        let Some(index) = self.find(order) else {
            return;
        };
        let backoff = self.backoffs.entry(index).or_default();
        backoff.record_failure(
            now,
            limits.initial_backoff,
            limits.max_backoff,
            retry_after,
            &mut self.random,
        );
    }

    /// Records a host that the cloud API started, which ends the offer's backoff.
    pub(super) fn record_start(&mut self, host: &CloudHost) {
        if let Some(index) = self.find(&host.order) {
            self.backoffs.entry(index).or_default().record_success();
        }
        self.update_price(host);
    }

    /// Updates the price of an offer from one of its hosts.
    pub(super) fn update_price(&mut self, host: &CloudHost) {
        if let Some(index) = self.find(&host.order) {
            self.offers[index].cents_per_hour = host.cents_per_hour;
        }
    }

    /// Avoids the offer of a reclaimable host until `until`; on-demand offers are not affected.
    pub(super) fn avoid(&mut self, order: &HostOrder, until: Timestamp) {
        if order.purchase == HostPurchase::OnDemand {
            return;
        }
        if let Some(index) = self.find(order) {
            self.backoffs.entry(index).or_default().wait_until(until);
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
