//! Evidence on requests and prompt parts, and what follows from it for placement.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::explained_ends::ExplainedEnds;
use super::subject_record::SubjectRecord;
use super::{
    ContainedRun, CrashSubject, RequestHash, RequestSubjects, SubjectChange, SubjectEvidence,
    SubjectPermit, SubjectQuery, SubjectReport, SubjectStanding,
};
use crate::gossip::name_hash;
use crate::registry::UpdateScope;

/// Maximum number of subjects with evidence that a host remembers, apart from quarantined ones.
const MAX_SUBJECTS: usize = 4_096;
/// Maximum number of subjects in one digest; about 3 KB.
const MAX_DIGEST_SUBJECTS: usize = 24;
/// Time for which a change is gossiped by hosts that do not pass on everything.
///
/// It spans several digests, as digests get lost.
const CHANGE_GOSSIP_TTL: Duration = Duration::from_secs(3);
/// Time for which a subject's last answer is remembered; news of ends take less.
const ANSWER_MEMORY: Duration = Duration::from_secs(5);
/// Time after the news of a server's end from which a response of it refutes the news.
///
/// Responses sent before the end may arrive until then.
const LATE_RESPONSE: Duration = Duration::from_millis(100);
/// Time after a server's response within which the news of its new start arrives, if it has one.
///
/// Hosts that are in touch hear of a registration within 3 s.
const START_NEWS_TIME: Duration = Duration::from_secs(5);
/// Time without an event of a contained attempt after which another one may run.
///
/// Its server may be stuck, which says nothing of the subject.
const CONTAINED_PATIENCE: Duration = Duration::from_secs(1);
/// Delay for requests with a contained subject while another one runs.
const CONTAINED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Number of ended servers that a request must not share with others to be quarantined.
const MIN_OWN_ENDS: usize = 2;

/// Evidence on requests and prompt parts, and what follows from it for placement.
///
/// A server that ends while an attempt there has brought no event or response speaks against the
/// request as a whole and against each part of its prompt but the last, which no other request has.
/// An event or response speaks for all of them. A subject is contained from two ended servers on and
/// quarantined from three on, if no other quarantined subject explains them. Hosts exchange their
/// evidence in digests.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::crash::{
///     CrashLedger, CrashSubject, RequestSubjects, SubjectPermit, SubjectQuery,
/// };
/// use teaselglade_routing::engine::PromptShape;
///
/// let mut ledger = CrashLedger::default();
/// let prompt = PromptShape::new(900, 40, [(1, 400), (2, 300), (3, 200)]);
/// let subjects = RequestSubjects::from(&prompt);
/// for server in 1..=3 {
///     ledger.record_end(Timestamp::from_millis(1_000 * server), server, "kati", subjects);
/// }
/// let query = SubjectQuery { organisation: "kati", subjects, is_repeat: false, may_try: false };
/// let permit = ledger.permit(Timestamp::from_millis(4_000), &query);
/// assert!(matches!(permit, SubjectPermit::Refused { subject: CrashSubject::Part(2), .. }));
/// ```
#[derive(Debug, Clone, Default)]
pub struct CrashLedger {
    records: HashMap<CrashSubject, SubjectRecord>,
    /// Time of the last answer to each subject that got one lately.
    answer_times: HashMap<CrashSubject, Timestamp>,
    /// Incarnations with an end that is not refuted.
    ended: HashSet<u64>,
    /// First response after the news of their end, of incarnations that may have started anew.
    responded: HashMap<u64, Timestamp>,
    changes: Vec<SubjectChange>,
}

impl CrashLedger {
    /// Records that a server ended while an attempt had brought no event or response.
    ///
    /// `incarnation` identifies the server and its start.
    pub fn record_end<'a>(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        organisation: &str,
        subjects: impl Into<RequestSubjects<'a>>,
    ) {
        let organisation = name_hash(organisation);
        for (subject, depth) in subjects.into().with_depths() {
            let record = self.record(now, subject);
            record.record_end(now, incarnation, organisation, depth);
        }
        self.update_standings(now);
    }

    /// Records that an attempt brought an event or response on a server.
    ///
    /// It speaks for the request and its parts at once, and for the server as
    /// [`CrashLedger::confirm_responses`] says.
    pub fn record_event<'a>(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        subjects: impl Into<RequestSubjects<'a>>,
    ) {
        let mut is_changed = false;
        for subject in subjects.into().subjects() {
            self.answer_times.insert(subject, now);
            if let Some(record) = self.records.get_mut(&subject) {
                is_changed |= record.refute_all(now);
            }
        }
        if self.ended.contains(&incarnation) && !self.responded.contains_key(&incarnation) {
            let mut records = self.records.values();
            if records.any(|record| record.is_refutable(incarnation, now, LATE_RESPONSE)) {
                self.responded.entry(incarnation).or_insert(now);
            }
        }
        if is_changed {
            self.update_standings(now);
        }
    }

    /// Refutes the ends of servers that responded later and still run under the same start.
    ///
    /// A server that ended and returned at once under its name and address responds before its new
    /// start is known. `is_current` tells whether an incarnation is the registered one of its server.
    pub fn confirm_responses(&mut self, now: Timestamp, is_current: impl Fn(u64) -> bool) {
        if self.responded.is_empty() {
            return;
        }
        let mut confirmed = Vec::new();
        self.responded.retain(|incarnation, responded_at| {
            let is_due = now.since(*responded_at) >= START_NEWS_TIME;
            let is_kept = is_current(*incarnation);
            if is_due && is_kept {
                confirmed.push((*incarnation, *responded_at));
            }
            is_kept && !is_due
        });
        let mut is_changed = false;
        for (incarnation, responded_at) in confirmed {
            for record in self.records.values_mut() {
                if record.is_refutable(incarnation, responded_at, LATE_RESPONSE) {
                    is_changed |= record.refute_end(now, incarnation);
                }
            }
        }
        if is_changed {
            self.update_standings(now);
        }
    }

    /// Decides whether an attempt may be sent.
    ///
    /// Each attempt that is permitted as contained must be reported by
    /// [`CrashLedger::record_contained_end`] when it is over.
    pub fn permit(&mut self, now: Timestamp, query: &SubjectQuery<'_>) -> SubjectPermit {
        let Some((is_bound, subject)) = self.gravest(query.organisation, query.subjects) else {
            return SubjectPermit::Unrestricted;
        };
        let record = self.record(now, subject);
        let trial_at = if is_bound {
            record.next_trial()
        } else {
            record.next_early_trial()
        };
        let is_trial = is_bound || record.has_only_trials();
        let may_try = query.may_try && record.running == 0;
        if is_trial && !(may_try && trial_at.is_some_and(|due| due <= now)) {
            record.record_refusal(now);
            let retry_at = trial_at.unwrap_or_else(|| record.lapses_at());
            let retry_after = retry_at.since(now).max(CONTAINED_RETRY_DELAY);
            return SubjectPermit::Refused {
                subject,
                retry_after,
            };
        }
        let is_waiting = record.running > 0 && now.since(record.started_at) < CONTAINED_PATIENCE;
        if query.is_repeat || is_waiting {
            let retry_after = CONTAINED_RETRY_DELAY;
            return SubjectPermit::Refused {
                subject,
                retry_after,
            };
        }
        if is_trial {
            record.record_trial(now);
        }
        let rank = record.running;
        record.running += 1;
        record.started_at = now;
        SubjectPermit::Contained(ContainedRun {
            subject,
            rank,
            is_trial,
        })
    }

    /// Returns whether a request must not be sent, as a subject of it is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, organisation: &str, subjects: RequestSubjects<'_>) -> bool {
        let gravest = self.gravest(organisation, subjects);
        gravest.is_some_and(|(is_bound, _subject)| is_bound)
    }

    /// Returns whether a server ended under a request with the same content.
    #[must_use]
    pub fn is_suspect(&self, request: RequestHash) -> bool {
        let record = self.records.get(&CrashSubject::Request(request));
        record.is_some_and(SubjectRecord::is_open)
    }

    /// Records that a contained attempt is over, whatever its outcome.
    pub fn record_contained_end(&mut self, subject: CrashSubject) {
        if let Some(record) = self.records.get_mut(&subject) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Merges the evidence of a peer.
    pub fn merge(&mut self, now: Timestamp, evidence: &[SubjectEvidence]) {
        let mut is_changed = false;
        for received in evidence {
            let is_known = self.records.contains_key(&received.subject);
            if !is_known && SubjectRecord::is_expiring(received) {
                continue;
            }
            let last_answer = self.answer_times.get(&received.subject).copied();
            let record = self.record(now, received.subject);
            is_changed |= record.merge(now, received);
            if let Some(last_answer) = last_answer {
                is_changed |= record.refute_until(now, last_answer);
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
    pub fn evidence(&self, now: Timestamp, scope: UpdateScope) -> Vec<SubjectEvidence> {
        let mut records: Vec<&SubjectRecord> = self
            .records
            .values()
            .filter(|record| match scope {
                UpdateScope::All => {
                    record.is_repeated() || record.is_changed_within(now, CHANGE_GOSSIP_TTL)
                }
                UpdateScope::Local => record.is_found_within(now, CHANGE_GOSSIP_TTL),
            })
            .collect();
        records.sort_unstable_by_key(|record| std::cmp::Reverse(record.weight()));
        let records = records.into_iter().take(MAX_DIGEST_SUBJECTS);
        records.map(|record| record.evidence(now)).collect()
    }

    /// Returns the subjects that are contained or quarantined, the gravest first.
    #[must_use]
    pub fn reports(&self, now: Timestamp) -> Vec<SubjectReport> {
        let records = self.records.values();
        let suspects = records.filter(|record| record.standing > SubjectStanding::Clear);
        let mut reports: Vec<SubjectReport> = suspects.map(|record| record.report(now)).collect();
        reports.sort_unstable_by(|a, b| {
            let by_standing = b.standing.cmp(&a.standing);
            by_standing.then_with(|| a.subject.cmp(&b.subject))
        });
        reports
    }

    /// Refutes all evidence against a subject on an operator's order; returns whether there was any.
    ///
    /// The other hosts hear of it like of any refutation.
    pub fn lift(&mut self, now: Timestamp, subject: CrashSubject) -> bool {
        let lifted = self.records.get(&subject);
        let Some(lifted) = lifted.filter(|record| record.is_open()) else {
            return false;
        };
        // Subjects that came along must not be blamed for the same ends now.
        let ends: Vec<u64> = lifted.open_incarnations().collect();
        for record in self.records.values_mut() {
            for end in &ends {
                record.refute_end(now, *end);
            }
        }
        self.update_standings(now);
        true
    }

    /// Returns the evidence against the quarantined subjects, by subject.
    #[must_use]
    pub fn quarantined(&self, now: Timestamp) -> Vec<SubjectEvidence> {
        let records = self.records.values();
        let quarantined = records.filter(|record| record.standing == SubjectStanding::Quarantined);
        let mut evidence: Vec<SubjectEvidence> =
            quarantined.map(|record| record.evidence(now)).collect();
        evidence.sort_unstable_by_key(|evidence| evidence.subject);
        evidence
    }

    /// Drops evidence that is too old, and the least weighty beyond the limit.
    pub fn prune(&mut self, now: Timestamp) {
        self.answer_times
            .retain(|_, answered_at| now.since(*answered_at) < ANSWER_MEMORY);
        let expired = self.records.iter_mut().filter_map(|(subject, record)| {
            let is_expired = record.prune(now) && record.running == 0;
            is_expired.then_some(*subject)
        });
        let expired: Vec<CrashSubject> = expired.collect();
        for subject in &expired {
            self.remove(now, *subject);
        }
        let mut by_weight: Vec<(SubjectStanding, usize, Timestamp, CrashSubject)> = Vec::new();
        if self.records.len() > MAX_SUBJECTS {
            by_weight.extend(self.records.iter().map(|(subject, record)| {
                let (standing, ends, changed_at) = record.weight();
                (standing, ends, changed_at, *subject)
            }));
            by_weight.sort_unstable();
        }
        let excess = self.records.len().saturating_sub(MAX_SUBJECTS);
        for (standing, _, _, subject) in by_weight.into_iter().take(excess) {
            if standing < SubjectStanding::Quarantined {
                self.remove(now, subject);
            }
        }
        let mut records = self.records.values();
        if !expired.is_empty() || records.any(SubjectRecord::is_judged_late) {
            self.update_standings(now);
        }
    }

    /// Returns the number of subjects with a standing.
    #[must_use]
    pub fn count_with(&self, standing: SubjectStanding) -> usize {
        let records = self.records.values();
        records.filter(|record| record.standing == standing).count()
    }

    /// Returns the changes of standing since the last call.
    pub fn take_changes(&mut self) -> Vec<SubjectChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the gravest subject of a request, and whether it is quarantined for its caller.
    fn gravest(
        &self,
        organisation: &str,
        subjects: RequestSubjects<'_>,
    ) -> Option<(bool, CrashSubject)> {
        if self.records.is_empty() {
            return None;
        }
        let organisation = name_hash(organisation);
        let suspects = subjects.subjects().filter_map(|subject| {
            let record = self.records.get(&subject)?;
            let is_bound =
                record.standing == SubjectStanding::Quarantined && record.binds(organisation);
            (record.standing > SubjectStanding::Clear).then_some((is_bound, subject))
        });
        suspects.max()
    }

    fn record(&mut self, now: Timestamp, subject: CrashSubject) -> &mut SubjectRecord {
        let records = &mut self.records;
        records
            .entry(subject)
            .or_insert_with(|| SubjectRecord::new(now, subject))
    }

    fn remove(&mut self, now: Timestamp, subject: CrashSubject) {
        let Some(mut record) = self.records.remove(&subject) else {
            return;
        };
        let before = std::mem::replace(&mut record.standing, SubjectStanding::Clear);
        if before != SubjectStanding::Clear {
            let report = record.report(now);
            self.changes.push(SubjectChange { before, report });
        }
    }

    /// Decides the standing of all subjects anew.
    ///
    /// Quarantined subjects explain the servers that ended on them. Of the others the most suspicious
    /// one is quarantined first, so that those that only come along with it stay free.
    fn update_standings(&mut self, now: Timestamp) {
        let (mut explained, mut quarantined) = (ExplainedEnds::default(), HashSet::new());
        for (subject, record) in &self.records {
            if record.keeps_quarantine(now) {
                explained.extend(record.open_incarnations());
                quarantined.insert(*subject);
            }
        }
        loop {
            let explained_to_parts = self.explain_by_requests(&explained);
            let candidates = self.records.iter().filter(|(subject, record)| {
                let explained = match subject {
                    CrashSubject::Part(_) => &explained_to_parts,
                    CrashSubject::Request(_) => &explained,
                };
                !quarantined.contains(*subject)
                    && record.needs_quarantine(explained)
                    && !record.is_settling(now)
                    && !self.is_ambiguous(**subject, record)
            });
            let next = candidates.max_by_key(|(_, record)| record.suspicion(&explained));
            let Some((subject, record)) = next else {
                break;
            };
            quarantined.insert(*subject);
            explained.extend(record.open_incarnations());
        }
        let explained_to_parts = self.explain_by_requests(&explained);
        for (subject, record) in &mut self.records {
            let explained = match subject {
                CrashSubject::Part(_) => &explained_to_parts,
                CrashSubject::Request(_) => &explained,
            };
            let after = if quarantined.contains(subject) {
                SubjectStanding::Quarantined
            } else {
                record.milder_standing(explained)
            };
            let before = std::mem::replace(&mut record.standing, after);
            if before != after {
                let report = record.report(now);
                self.changes.push(SubjectChange { before, report });
            }
        }
        let open = self.records.values();
        self.ended = open.flat_map(SubjectRecord::open_incarnations).collect();
    }

    /// Returns whether a request shares most of its ended servers with others that lost several.
    ///
    /// Either may have ended them; the next attempt of one of them tells which.
    fn is_ambiguous(&self, subject: CrashSubject, record: &SubjectRecord) -> bool {
        if matches!(subject, CrashSubject::Part(_)) {
            return false;
        }
        let others = self.records.iter().filter(|(other, record)| {
            let is_request = matches!(other, CrashSubject::Request(_));
            **other != subject && is_request && record.has_several_ends()
        });
        let shared = others.flat_map(|(_, other)| other.open_incarnations());
        let shared: HashSet<u64> = shared.collect();
        let ends = record.open_incarnations();
        ends.filter(|server| !shared.contains(server)).count() < MIN_OWN_ENDS
    }

    /// Returns the ends that quarantined subjects or contained requests explain.
    fn explain_by_requests(&self, explained: &ExplainedEnds) -> ExplainedEnds {
        let contained = self.records.iter().filter(|(subject, record)| {
            matches!(subject, CrashSubject::Request(_))
                && record.milder_standing(explained) == SubjectStanding::Contained
        });
        let mut explained_to_parts = explained.clone();
        explained_to_parts.extend(contained.flat_map(|(_, record)| record.open_incarnations()));
        explained_to_parts
    }
}
