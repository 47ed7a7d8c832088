//! What a host knows of one subject.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::explained_ends::{ExplainedEnds, ServerEnd};
use super::{CrashSubject, EndEvidence, SubjectEvidence, SubjectReport, SubjectStanding};

/// Number of ended servers from which a subject is contained.
const CONTAINED_ENDS: usize = 2;
/// Number of ended servers from which a subject is quarantined.
const QUARANTINED_ENDS: usize = 3;
/// Number of organisations with evidence from which a quarantine holds for all.
const ALL_ORGANISATIONS: usize = 3;
/// Maximum number of ends kept of one subject; quarantine and all trials need fewer.
const MAX_ENDS: usize = 16;
/// Time for which an end counts if the subject is not quarantined.
const EVIDENCE_TTL: Duration = Duration::from_mins(10);
/// Time without a request with the subject after which a quarantine lapses.
const QUARANTINE_TTL: Duration = Duration::from_mins(10);
/// Smallest advance of the last request's time that a peer's message makes.
///
/// Each message arrives later than its ages say. Without it, the delays of messages that go round
/// would add up and keep a quarantine in force.
const MIN_REQUEST_ADVANCE: Duration = Duration::from_secs(5);
/// Interval at which a host tells others that requests with a quarantined subject still come.
const REQUEST_REPORT_INTERVAL: Duration = Duration::from_mins(1);
/// Time from the last end until a request is judged by it.
///
/// Evidence of other hosts that explains the end arrives meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);
/// Time from the last end or trial to the first trial; each later one waits four times as long.
const FIRST_TRIAL_DELAY: Duration = Duration::from_mins(1);
const TRIAL_BACKOFF: u32 = 4;
/// Maximum number of trials; each may end a server.
const MAX_TRIALS: u32 = 3;

#[derive(Debug, Clone, PartialEq, Eq)]
struct EndRecord {
    ended_at: Timestamp,
    /// Time at which this host learned of it.
    learned_at: Timestamp,
    organisations: BTreeSet<u64>,
    is_refuted: bool,
}

/// What a host knows of one subject.
#[derive(Debug, Clone)]
pub(super) struct SubjectRecord {
    subject: CrashSubject,
    depth: u8,
    ends: BTreeMap<u64, EndRecord>,
    trials: u32,
    /// Time of this host's last trial.
    tried_at: Timestamp,
    requested_at: Timestamp,
    /// Time at which this host last told others of its requests.
    reported_at: Timestamp,
    changed_at: Timestamp,
    /// Time of the last change that this host found itself.
    found_at: Timestamp,
    pub(super) standing: SubjectStanding,
    /// Contained attempts of this host in progress.
    pub(super) running: u32,
    /// Start of the latest contained attempt.
    pub(super) started_at: Timestamp,
}

impl SubjectRecord {
    pub(super) const fn new(now: Timestamp, subject: CrashSubject) -> Self {
        Self {
            subject,
            depth: 0,
            ends: BTreeMap::new(),
            trials: 0,
            tried_at: Timestamp::ZERO,
            requested_at: Timestamp::ZERO,
            reported_at: now,
            changed_at: now,
            found_at: Timestamp::ZERO,
            standing: SubjectStanding::Clear,
            running: 0,
            started_at: Timestamp::ZERO,
        }
    }

    /// Records that a server ended while an attempt with the subject had brought nothing.
    pub(super) fn record_end(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        organisation: u64,
        depth: u8,
    ) {
        self.depth = self.depth.max(depth);
        self.requested_at = now;
        let end = self.ends.entry(incarnation).or_insert_with(|| EndRecord {
            ended_at: now,
            learned_at: now,
            organisations: BTreeSet::new(),
            is_refuted: false,
        });
        end.organisations.insert(organisation);
        self.mark_found(now);
        self.limit_ends();
    }

    /// Records that the subject was answered; all ends known by now are refuted.
    pub(super) fn refute_all(&mut self, now: Timestamp) -> bool {
        self.refute_until(now, now)
    }

    /// Records that the subject was answered at `event_at`, which refutes the ends before it.
    pub(super) fn refute_until(&mut self, now: Timestamp, event_at: Timestamp) -> bool {
        let ends = self.ends.values_mut();
        let earlier = ends.filter(|end| !end.is_refuted && end.ended_at <= event_at);
        let count = earlier.map(|end| end.is_refuted = true).count();
        if count > 0 {
            self.mark_found(now);
        }
        count > 0
    }

    /// Returns whether a response at `responded_at` came this long after the news of a server's end.
    pub(super) fn is_refutable(
        &self,
        incarnation: u64,
        responded_at: Timestamp,
        min_age: Duration,
    ) -> bool {
        let end = self.ends.get(&incarnation);
        end.is_some_and(|end| !end.is_refuted && responded_at.since(end.learned_at) >= min_age)
    }

    /// Records that a server did not end; returns whether that is news.
    pub(super) fn refute_end(&mut self, now: Timestamp, incarnation: u64) -> bool {
        let end = self.ends.get_mut(&incarnation);
        let Some(end) = end.filter(|end| !end.is_refuted) else {
            return false;
        };
        end.is_refuted = true;
        self.mark_found(now);
        true
    }

    /// Returns whether evidence is about to expire, so that a host that dropped it ignores it.
    pub(super) const fn is_expiring(evidence: &SubjectEvidence) -> bool {
        let age = Duration::from_millis(evidence.request_age_ms);
        age.as_millis() + MIN_REQUEST_ADVANCE.as_millis() >= QUARANTINE_TTL.as_millis()
    }

    /// Merges a peer's evidence; returns whether anything was new.
    pub(super) fn merge(&mut self, now: Timestamp, evidence: &SubjectEvidence) -> bool {
        let mut is_changed = evidence.depth > self.depth || evidence.trials > self.trials;
        self.depth = self.depth.max(evidence.depth);
        self.trials = self.trials.max(evidence.trials);
        let requested_at = now.before(Duration::from_millis(evidence.request_age_ms));
        if requested_at >= self.requested_at + MIN_REQUEST_ADVANCE {
            self.requested_at = requested_at;
        }
        let mut lacks_refutation = false;
        for received in &evidence.ends {
            let known = self.ends.get(&received.incarnation);
            lacks_refutation |= known.is_some_and(|known| known.is_refuted) && !received.is_refuted;
            is_changed |= self.merge_end(now, received);
        }
        // A sender that lacks a refutation has to hear of it again.
        if is_changed || lacks_refutation {
            self.changed_at = now;
        }
        self.limit_ends();
        is_changed
    }

    fn merge_end(&mut self, now: Timestamp, received: &EndEvidence) -> bool {
        let ended_at = now.before(Duration::from_millis(received.age_ms));
        let organisations: BTreeSet<u64> = received.organisations.iter().copied().collect();
        let Some(known) = self.ends.get_mut(&received.incarnation) else {
            let end = EndRecord {
                ended_at,
                learned_at: now,
                organisations,
                is_refuted: received.is_refuted,
            };
            self.ends.insert(received.incarnation, end);
            return true;
        };
        known.ended_at = known.ended_at.min(ended_at);
        let is_changed = !organisations.is_subset(&known.organisations)
            || received.is_refuted && !known.is_refuted;
        known.organisations.extend(organisations);
        known.is_refuted |= received.is_refuted;
        is_changed
    }

    /// Records a request with the subject that was refused.
    pub(super) fn record_refusal(&mut self, now: Timestamp) {
        self.requested_at = now;
        if now.since(self.reported_at) >= REQUEST_REPORT_INTERVAL {
            self.reported_at = now;
            self.mark_found(now);
        }
    }

    /// Returns when the next trial is due, unless there have been too many.
    pub(super) fn next_trial(&self) -> Option<Timestamp> {
        let last_end = self.open_ends().map(|(_, end)| end.ended_at).max()?;
        let delay = FIRST_TRIAL_DELAY.saturating_mul(TRIAL_BACKOFF.saturating_pow(self.trials));
        (self.trials < MAX_TRIALS).then(|| last_end.max(self.tried_at) + delay)
    }

    /// Records that this host tries the subject again.
    pub(super) fn record_trial(&mut self, now: Timestamp) {
        self.trials += 1;
        self.tried_at = now;
        self.requested_at = now;
        self.mark_found(now);
    }

    /// Returns when the quarantine lapses if no more requests with the subject come.
    pub(super) fn lapses_at(&self) -> Timestamp {
        self.requested_at + QUARANTINE_TTL
    }

    /// Returns whether a quarantine binds an organisation.
    ///
    /// It binds those whose own requests ended servers. Otherwise an organisation could have the parts
    /// of another refused by sending them beside one that ends servers.
    pub(super) fn binds(&self, organisation: u64) -> bool {
        let organisations: BTreeSet<u64> = self
            .open_ends()
            .flat_map(|(_, end)| end.organisations.iter().copied())
            .collect();
        organisations.len() >= ALL_ORGANISATIONS || organisations.contains(&organisation)
    }

    /// Returns how many ended servers count that `explained` does not explain.
    pub(super) fn counted_ends(&self, explained: &ExplainedEnds) -> usize {
        match self.subject {
            CrashSubject::Part(_) => explained.count_groups(self.server_ends()),
            CrashSubject::Request(_) => explained.count_of_request(self.server_ends()),
        }
    }

    /// Returns whether so many servers ended that each further attempt counts as a trial.
    ///
    /// They may have ended of a common cause, so that this alone refuses no request.
    pub(super) fn has_only_trials(&self) -> bool {
        matches!(self.subject, CrashSubject::Request(_))
            && self.open_ends().count() >= QUARANTINED_ENDS
    }

    /// Returns when an attempt that only counts as a trial may be made; `None` if all have been.
    pub(super) fn next_early_trial(&self) -> Option<Timestamp> {
        let judged_at = self.judged_at()?;
        (self.trials < MAX_TRIALS).then(|| judged_at.max(self.tried_at + SETTLING_TIME))
    }

    /// Returns whether the ends of a request wait for evidence that explains them.
    pub(super) fn is_settling(&self, now: Timestamp) -> bool {
        self.is_judged_late() && self.judged_at().is_some_and(|judged_at| now < judged_at)
    }

    /// Returns whether time alone may change the standing.
    pub(super) fn is_judged_late(&self) -> bool {
        self.has_only_trials() && self.standing != SubjectStanding::Quarantined
    }

    fn judged_at(&self) -> Option<Timestamp> {
        let last_end = self.open_ends().map(|(_, end)| end.ended_at).max()?;
        Some(last_end + SETTLING_TIME)
    }

    /// Returns the incarnations that ended on the subject and were not refuted.
    pub(super) fn open_incarnations(&self) -> impl Iterator<Item = u64> {
        self.open_ends().map(|(incarnation, _)| *incarnation)
    }

    /// Returns whether enough servers ended to quarantine the subject, given those that others explain.
    pub(super) fn needs_quarantine(&self, explained: &ExplainedEnds) -> bool {
        self.counted_ends(&ExplainedEnds::default()) >= QUARANTINED_ENDS
            && self.counted_ends(explained) >= CONTAINED_ENDS
    }

    /// Returns the order in which subjects are considered for a quarantine; the largest first.
    ///
    /// Of those that come together the most specific one is the likeliest: parts before it occur in
    /// more requests, and a whole request has no others.
    pub(super) fn suspicion(&self, explained: &ExplainedEnds) -> (usize, u8, CrashSubject) {
        (self.counted_ends(explained), self.depth, self.subject)
    }

    /// Returns the standing of a subject that is not quarantined.
    pub(super) fn milder_standing(&self, explained: &ExplainedEnds) -> SubjectStanding {
        let ends = match self.subject {
            CrashSubject::Part(_) => explained.count_groups(self.server_ends()),
            CrashSubject::Request(_) => explained.count_each(self.server_ends()),
        };
        if ends >= CONTAINED_ENDS {
            SubjectStanding::Contained
        } else {
            SubjectStanding::Clear
        }
    }

    /// Returns whether the quarantine of the subject is still supported.
    ///
    /// That of a request is decided anew with each piece of evidence.
    pub(super) fn keeps_quarantine(&self, now: Timestamp) -> bool {
        matches!(self.subject, CrashSubject::Part(_))
            && self.standing == SubjectStanding::Quarantined
            && self.counted_ends(&ExplainedEnds::default()) >= QUARANTINED_ENDS
            && now < self.lapses_at()
    }

    /// Drops ends that are too old; returns whether the record holds nothing any more.
    pub(super) fn prune(&mut self, now: Timestamp) -> bool {
        if self.standing == SubjectStanding::Quarantined || self.has_only_trials() {
            return now >= self.lapses_at();
        }
        self.ends
            .retain(|_, end| now.since(end.ended_at) < EVIDENCE_TTL);
        self.ends.is_empty()
    }

    /// Returns whether peers are told of the record again and again.
    ///
    /// A request that lost one attempt mostly never comes again, so that it is told once.
    pub(super) fn is_repeated(&self) -> bool {
        let is_suspect = self.standing > SubjectStanding::Clear;
        self.is_open() && (is_suspect || matches!(self.subject, CrashSubject::Part(_)))
    }

    /// Returns whether enough servers ended to contain the subject, if nothing explains them.
    pub(super) fn has_several_ends(&self) -> bool {
        self.open_ends().count() >= CONTAINED_ENDS
    }

    /// Returns whether any end is not refuted.
    pub(super) fn is_open(&self) -> bool {
        self.open_ends().next().is_some()
    }

    /// Returns whether the record changed within the last `window`.
    pub(super) fn is_changed_within(&self, now: Timestamp, window: Duration) -> bool {
        now.since(self.changed_at) < window
    }

    /// Returns whether this host itself changed the record within the last `window`.
    pub(super) fn is_found_within(&self, now: Timestamp, window: Duration) -> bool {
        now.since(self.found_at) < window
    }

    /// Returns the order in which records are kept and passed on; the largest first.
    pub(super) fn weight(&self) -> (SubjectStanding, usize, Timestamp) {
        (self.standing, self.open_ends().count(), self.changed_at)
    }

    pub(super) fn evidence(&self, now: Timestamp) -> SubjectEvidence {
        let ends = self.ends.iter().map(|(incarnation, end)| EndEvidence {
            incarnation: *incarnation,
            age_ms: now.since(end.ended_at).as_millis() as u64,
            organisations: end.organisations.iter().copied().collect(),
            is_refuted: end.is_refuted,
        });
        SubjectEvidence {
            subject: self.subject,
            depth: self.depth,
            ends: ends.collect(),
            trials: self.trials,
            request_age_ms: now.since(self.requested_at).as_millis() as u64,
        }
    }

    pub(super) fn report(&self, now: Timestamp) -> SubjectReport {
        let first_end = self.open_ends().map(|(_, end)| end.ended_at).min();
        let first_end_age = first_end.map_or(Duration::ZERO, |end| now.since(end));
        SubjectReport {
            subject: self.subject.to_string(),
            standing: self.standing,
            ends: self.open_ends().count(),
            first_end_age_ms: first_end_age.as_millis() as u64,
            request_age_ms: now.since(self.requested_at).as_millis() as u64,
            trials: self.trials,
        }
    }

    fn server_ends(&self) -> impl Iterator<Item = ServerEnd> + Clone {
        let ends = self.open_ends();
        ends.map(|(incarnation, end)| (*incarnation, end.ended_at))
    }

    fn open_ends(&self) -> impl Iterator<Item = (&u64, &EndRecord)> + Clone {
        self.ends.iter().filter(|(_, end)| !end.is_refuted)
    }

    const fn mark_found(&mut self, now: Timestamp) {
        self.changed_at = now;
        self.found_at = now;
    }

    /// Drops ends beyond the limit, refuted ones first.
    fn limit_ends(&mut self) {
        while self.ends.len() > MAX_ENDS {
            let ends = self.ends.iter();
            let oldest = ends.min_by_key(|(_, end)| (!end.is_refuted, end.ended_at));
            let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) else {
                return;
            };
            self.ends.remove(&oldest);
        }
    }
}
