//! Messages by which hosts share the lasting speeds of servers.

use teaselglade_routing::gossip::PeerMessage;
use teaselglade_routing::speed::{SpeedLedger, SpeedReport};

use super::DecisionState;

/// Number of digests per report of samples; a report a second.
const DIGESTS_PER_REPORT: u64 = 5;
/// Number of aggregates per report of estimates.
const AGGREGATES_PER_REPORT: u64 = 3;
/// Most samples, and most estimates, of one kind of server in a host's report; 0.5 KB together.
const MAX_HOST_NOTICES: usize = 8;
/// Most estimates in an aggregator's report; 2 KB.
const MAX_AGGREGATE_NOTICES: usize = 140;

impl DecisionState {
    /// Returns what this host tells its peers of speeds with its digest of this number, if anything.
    ///
    /// In a small fleet hosts also tell their estimates, from which one that restarted learns; in a
    /// large one it learns them from aggregators.
    pub fn speed_message(&mut self, digest_number: u64) -> Option<PeerMessage> {
        if !digest_number.is_multiple_of(DIGESTS_PER_REPORT) {
            return None;
        }
        let tells_estimates = !self.membership.is_large();
        let registry = &self.registry;
        let report = |ledger: &mut SpeedLedger| {
            let estimates = if tells_estimates && ledger.is_uneven() {
                ledger.next_estimates(registry, MAX_HOST_NOTICES)
            } else {
                Vec::new()
            };
            let samples = ledger.take_samples(registry, MAX_HOST_NOTICES);
            SpeedReport { samples, estimates }
        };
        let engines = report(self.engine_placer.ledger_mut());
        let plain = report(self.plain_placer.ledger_mut());
        speed_message(engines, plain)
    }

    /// Returns what an aggregator tells its served hosts of speeds with this aggregate, if anything.
    pub fn speed_aggregate(&mut self, aggregate_number: u64) -> Option<PeerMessage> {
        if !aggregate_number.is_multiple_of(AGGREGATES_PER_REPORT) {
            return None;
        }
        let registry = &self.registry;
        let report = |ledger: &mut SpeedLedger, most| {
            let estimates = if ledger.is_uneven() {
                ledger.next_estimates(registry, most)
            } else {
                Vec::new()
            };
            SpeedReport {
                samples: Vec::new(),
                estimates,
            }
        };
        let engines = report(self.engine_placer.ledger_mut(), MAX_AGGREGATE_NOTICES);
        let remaining = MAX_AGGREGATE_NOTICES - engines.estimates.len();
        let plain = report(self.plain_placer.ledger_mut(), remaining);
        speed_message(engines, plain)
    }

    /// Merges what another host knows of speeds.
    pub fn merge_speeds(&mut self, engines: &SpeedReport, plain: &SpeedReport) {
        let registry = &self.registry;
        self.engine_placer.ledger_mut().merge(registry, engines);
        self.plain_placer.ledger_mut().merge(registry, plain);
    }
}

fn speed_message(engines: SpeedReport, plain: SpeedReport) -> Option<PeerMessage> {
    let is_empty = engines.is_empty() && plain.is_empty();
    (!is_empty).then_some(PeerMessage::Speeds { engines, plain })
}
