//! Evidence on prompt parts, and what follows from it for placement.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::explained_ends::ExplainedEnds;
use super::part_record::PartRecord;
use super::{PartChange, PartEvidence, PartPermit, PartQuery, PartReport, PartStanding};
use crate::engine::PromptShape;
use crate::gossip::name_hash;
use crate::registry::UpdateScope;

/// Maximum number of parts with evidence that a host remembers, apart from quarantined ones.
const MAX_PARTS: usize = 4_096;
/// Maximum number of parts in one digest; about 3 KB.
const MAX_DIGEST_PARTS: usize = 24;
/// Time for which a change is gossiped by hosts that do not pass on everything.
///
/// It spans several digests, as digests get lost.
const CHANGE_GOSSIP_TTL: Duration = Duration::from_secs(3);
/// Time for which a part's last event is remembered; news of ends take less.
const EVENT_MEMORY: Duration = Duration::from_secs(5);
/// Time after the news of a server's end from which a response of it refutes the news.
///
/// Responses sent before the end may arrive until then.
const LATE_RESPONSE: Duration = Duration::from_millis(100);
/// Time without an event of a contained attempt after which another one may run.
///
/// Its server may be stuck, which says nothing of the part.
const CONTAINED_PATIENCE: Duration = Duration::from_secs(1);
/// Delay for requests with a contained part while another one runs on this host.
const CONTAINED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Evidence on prompt parts, and what follows from it for placement.
///
/// A server that ends while an attempt there has brought no event speaks against each part of that
/// prompt but the last, which no other request has. An event speaks for all of them. A part is
/// contained from two ended servers on and quarantined from three on, if no other quarantined part
/// explains them. Hosts exchange their evidence in digests.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::crash::{CrashLedger, PartPermit, PartQuery};
/// use teaselglade_routing::engine::PromptShape;
///
/// let mut ledger = CrashLedger::default();
/// let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300), (3, 200)]);
/// for server in 1..=3 {
///     ledger.record_end(Timestamp::from_millis(1_000 * server), server, "kati", &prompt);
/// }
/// let query = PartQuery { organisation: "kati", prompt: &prompt, is_repeat: false, may_try: false };
/// let permit = ledger.permit(Timestamp::from_millis(4_000), &query);
/// assert!(matches!(permit, PartPermit::Refused { part: 2, .. }));
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    parts: HashMap<u64, PartRecord>,
    /// Time of the last event of each part that brought one lately.
    event_times: HashMap<u64, Timestamp>,
    changes: Vec<PartChange>,
}

impl CrashLedger {
    /// Records that a server ended while an attempt with this prompt had brought no event.
    ///
    /// `incarnation` identifies the server and its start.
    pub fn record_end(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        organisation: &str,
        prompt: &PromptShape,
    ) {
        let organisation = name_hash(organisation);
        for (depth, part) in prompt.shared_ids().enumerate() {
            let record = self.record(now, part);
            let depth = u8::try_from(depth).unwrap_or(u8::MAX);
            record.record_end(now, incarnation, organisation, depth);
        }
        self.update_standings(now);
    }

    /// Records that an attempt with this prompt brought an event on a server.
    pub fn record_event(&mut self, now: Timestamp, incarnation: u64, prompt: &PromptShape) {
        let mut is_changed = false;
        for part in prompt.shared_ids() {
            self.event_times.insert(part, now);
            if let Some(record) = self.parts.get_mut(&part) {
                is_changed |= record.refute_all(now);
            }
        }
        for record in self.parts.values_mut() {
            is_changed |= record.refute_end(now, incarnation, LATE_RESPONSE);
        }
        if is_changed {
            self.update_standings(now);
        }
    }

    /// Decides whether an attempt may be sent.
    ///
    /// Each attempt that is permitted as contained must be reported by
    /// [`CrashLedger::record_contained_end`] when it is over.
    pub fn permit(&mut self, now: Timestamp, query: &PartQuery<'_>) -> PartPermit {
        if self.parts.is_empty() {
            return PartPermit::Unrestricted;
        }
        let organisation = name_hash(query.organisation);
        let records = query.prompt.shared_ids().filter_map(|part| {
            let record = self.parts.get(&part)?;
            let is_bound =
                record.standing == PartStanding::Quarantined && record.binds(organisation);
            (record.standing > PartStanding::Clear).then_some((is_bound, part))
        });
        let Some((is_bound, part)) = records.max() else {
            return PartPermit::Unrestricted;
        };
        let record = self.record(now, part);
        let trial_at = record.next_trial();
        let is_trial = is_bound
            && query.may_try
            && record.running == 0
            && trial_at.is_some_and(|due| due <= now);
        if is_bound && !is_trial {
            record.record_refusal(now);
            let retry_at = trial_at.unwrap_or_else(|| record.lapses_at());
            let retry_after = retry_at.since(now).max(CONTAINED_RETRY_DELAY);
            return PartPermit::Refused { part, retry_after };
        }
        let is_waiting = record.running > 0 && now.since(record.started_at) < CONTAINED_PATIENCE;
        if query.is_repeat || is_waiting {
            let retry_after = CONTAINED_RETRY_DELAY;
            return PartPermit::Refused { part, retry_after };
        }
        if is_trial {
            record.record_trial(now);
        }
        let rank = record.running;
        record.running += 1;
        record.started_at = now;
        PartPermit::Contained { part, rank }
    }

    /// Records that a contained attempt is over, whatever its outcome.
    pub fn record_contained_end(&mut self, part: u64) {
        if let Some(record) = self.parts.get_mut(&part) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Merges the evidence of a peer.
    pub fn merge(&mut self, now: Timestamp, evidence: &[PartEvidence]) {
        let mut is_changed = false;
        for received in evidence {
            if !self.parts.contains_key(&received.part) && PartRecord::is_expiring(received) {
                continue;
            }
            let last_event = self.event_times.get(&received.part).copied();
            let record = self.record(now, received.part);
            is_changed |= record.merge(now, received);
            if let Some(last_event) = last_event {
                is_changed |= record.refute_until(now, last_event);
            }
        }
        if is_changed {
            self.update_standings(now);
        }
    }

    /// Returns the evidence for a digest, the gravest first.
    ///
    /// With [`UpdateScope::Local`] only what changed lately on this host.
    #[must_use]
    pub fn evidence(&self, now: Timestamp, scope: UpdateScope) -> Vec<PartEvidence> {
        let mut records: Vec<&PartRecord> = self
            .parts
            .values()
            .filter(|record| match scope {
                UpdateScope::All => {
                    record.is_open() || record.is_changed_within(now, CHANGE_GOSSIP_TTL)
                }
                UpdateScope::Local => record.is_found_within(now, CHANGE_GOSSIP_TTL),
            })
            .collect();
        records.sort_unstable_by_key(|record| std::cmp::Reverse(record.weight()));
        let records = records.into_iter().take(MAX_DIGEST_PARTS);
        records.map(|record| record.evidence(now)).collect()
    }

    /// Returns the parts that are contained or quarantined, the gravest first.
    #[must_use]
    pub fn reports(&self, now: Timestamp) -> Vec<PartReport> {
        let records = self.parts.values();
        let suspects = records.filter(|record| record.standing > PartStanding::Clear);
        let mut reports: Vec<PartReport> = suspects.map(|record| record.report(now)).collect();
        reports.sort_unstable_by(|a, b| {
            let by_standing = b.standing.cmp(&a.standing);
            by_standing.then_with(|| a.part.cmp(&b.part))
        });
        reports
    }

    /// Refutes all evidence against a part on an operator's order; returns whether there was any.
    ///
    /// The other hosts hear of it like of any refutation.
    pub fn lift(&mut self, now: Timestamp, part: u64) -> bool {
        let Some(lifted) = self.parts.get(&part).filter(|record| record.is_open()) else {
            return false;
        };
        // Parts that came along must not be blamed for the same ends now.
        let ends: Vec<u64> = lifted.open_incarnations().collect();
        for record in self.parts.values_mut() {
            for end in &ends {
                record.refute_end(now, *end, Duration::ZERO);
            }
        }
        self.update_standings(now);
        true
    }

    /// Returns the evidence against the quarantined parts, by part.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> Vec<PartEvidence> {
        let records = self.parts.values();
        let quarantined = records.filter(|record| record.standing == PartStanding::Quarantined);
        let mut evidence: Vec<PartEvidence> =
            quarantined.map(|record| record.evidence(now)).collect();
        evidence.sort_unstable_by_key(|evidence| evidence.part);
        evidence
    }

    /// Drops evidence that is too old, and the least weighty beyond the limit.
    pub fn prune(&mut self, now: Timestamp) {
        self.event_times
            .retain(|_, event_at| now.since(*event_at) < EVENT_MEMORY);
        let expired = self.parts.iter_mut().filter_map(|(part, record)| {
            let is_expired = record.prune(now) && record.running == 0;
            is_expired.then_some(*part)
        });
        let expired: Vec<u64> = expired.collect();
        for part in &expired {
            self.remove(now, *part);
        }
        let mut by_weight: Vec<(PartStanding, usize, Timestamp, u64)> = Vec::new();
        if self.parts.len() > MAX_PARTS {
            by_weight.extend(self.parts.iter().map(|(part, record)| {
                let (standing, ends, changed_at) = record.weight();
                (standing, ends, changed_at, *part)
            }));
            by_weight.sort_unstable();
        }
        let excess = self.parts.len().saturating_sub(MAX_PARTS);
        for (standing, _, _, part) in by_weight.into_iter().take(excess) {
            if standing < PartStanding::Quarantined {
                self.remove(now, part);
            }
        }
        if !expired.is_empty() {
            self.update_standings(now);
        }
    }

    /// Returns the number of parts with a standing.
    #[must_use]
    pub fn count_with(&self, standing: PartStanding) -> usize {
        let records = self.parts.values();
        records.filter(|record| record.standing == standing).count()
    }

    /// Returns the changes of standing since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
    }

    fn record(&mut self, now: Timestamp, part: u64) -> &mut PartRecord {
        let parts = &mut self.parts;
        parts
            .entry(part)
            .or_insert_with(|| PartRecord::new(now, part))
    }

    fn remove(&mut self, now: Timestamp, part: u64) {
        let Some(mut record) = self.parts.remove(&part) else {
            return;
        };
        let before = std::mem::replace(&mut record.standing, PartStanding::Clear);
        if before != PartStanding::Clear {
            let report = record.report(now);
            self.changes.push(PartChange { before, report });
        }
    }

    /// Decides the standing of all parts anew.
    ///
    /// Quarantined parts explain the servers that ended on them. Of the others the most suspicious one
    /// is quarantined first, so that parts that only come along with it stay free.
    fn update_standings(&mut self, now: Timestamp) {
        let (mut explained, mut quarantined) = (ExplainedEnds::default(), HashSet::new());
        for (part, record) in &self.parts {
            if record.keeps_quarantine(now) {
                explained.extend(record.open_incarnations());
                quarantined.insert(*part);
            }
        }
        loop {
            let next = self
                .parts
                .iter()
                .filter(|(part, record)| {
                    !quarantined.contains(*part) && record.needs_quarantine(&explained)
                })
                .max_by_key(|(_, record)| record.suspicion(&explained));
            let Some((part, record)) = next else {
                break;
            };
            quarantined.insert(*part);
            explained.extend(record.open_incarnations());
        }
        for (part, record) in &mut self.parts {
            let after = if quarantined.contains(part) {
                PartStanding::Quarantined
            } else {
                record.milder_standing(&explained)
            };
            let before = std::mem::replace(&mut record.standing, after);
            if before != after {
                let report = record.report(now);
                self.changes.push(PartChange { before, report });
            }
        }
    }
}
