//! Sequential test of a new version against the versions in service.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;

use super::version_evidence::{
    AnswerTally, RouteEvidence, ServerTally, UNLISTED_SERVERS, VersionEvidence,
};

/// Score from which a version counts as bad.
///
/// The score of a sound version passes it at a given answer with a probability of at most
/// e^-14, by Lorden's bound; over 3,000 answers and four statistics that is 1 in 100, and the
/// margins on the old version's share leave far less.
const BAD_SCORE: f64 = 14.0;
/// Factor on [`BAD_SCORE`] while a single server carries the new version.
const SINGLE_SERVER_FACTOR: f64 = 1.5;
/// Share by which the failures of a bad version are taken to exceed those of the old one.
const FAILURE_EXCESSES: [f64; 3] = [0.05, 0.1, 0.35];
/// The share of these by which a server that fails by itself exceeds the old version.
const SERVER_EXCESS: f64 = 0.35;
/// Share of failures that a sound version may have beyond 1.5 times the share of the old one.
const FAILURE_MARGIN: f64 = 0.005;
/// The same for one server, and for attempts that servers break off.
const SERVER_MARGIN: f64 = 0.02;
/// Factor on the old version's share of failures, for what differs by chance.
const SHARE_FACTOR: f64 = 1.5;
/// Share of the old version's answers that lie above the class from which slowness counts.
const USUAL_SHARE: f64 = 0.8;
/// Classes of latency between the usual one and one that counts as slow; twice as long.
const SLOW_CLASSES: usize = 2;
/// Share of slow answers that a sound version may have beyond 1.5 times the share of the old one.
const SLOW_MARGIN: f64 = 0.15;
/// Share by which the slow answers of a bad version are taken to exceed those of the old one.
const SLOW_EXCESS: f64 = 0.45;
/// Answers of the old version on a route from which its latency is known.
const MIN_TIMED: u32 = 20;
/// Answers of a server from which it speaks for the version by itself.
const MIN_SERVER_ANSWERS: u32 = 4;
/// Share of the unusual failures that other servers than the worst one must have.
const OTHERS_SHARE: f64 = 0.15;
/// Score from which a server fails by itself.
const SERVER_SCORE: f64 = 8.0;
/// Least number of servers that fail by themselves under a bad version.
const MIN_FAILING_SERVERS: f64 = 2.0;
/// Failing servers that are expected for one among the old ones, as some fail beside any version.
const FAILING_FACTOR: f64 = 3.0;
/// Share of its requests that a failing server fails.
const FAILING_SHARE: f64 = 0.5;
/// Classes by which a slow server's mean exceeds that of the old version.
const SLOW_MEAN_CLASSES: f64 = 1.5;
/// Time after which an answer shows that a server did not end when it broke an attempt off.
pub(super) const END_WAIT: Duration = Duration::from_secs(1);

/// What shows that a version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TestFinding {
    /// Name of the statistic: `failures`, `servers`, `latency` or `broken`.
    pub statistic: &'static str,
    /// Hash of the route; 0 for all.
    pub route: u64,
    /// Answers of the new version on the route, and how many of them speak against it.
    pub new: (u32, u32),
    /// The same of the versions in service.
    pub old: (u32, u32),
    /// Score that passed the bound.
    pub score: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct RouteScores {
    seen: AnswerTally,
    failures: [f64; FAILURE_EXCESSES.len()],
    slow: f64,
}

#[derive(Debug, Clone, Default)]
struct ServerTrail {
    seen: ServerTally,
    /// Attempts broken off that no later answer confirmed, with the time at which they were seen.
    unconfirmed: Vec<(Timestamp, u32)>,
    failures: f64,
    /// Whether the score ever showed that the server fails by itself.
    has_failed: bool,
}

/// Sequential test of a new version against the versions in service.
///
/// Cumulative sums of log likelihood ratios that never fall below 0 (CUSUM), so that a version that
/// turns bad late is found as fast as one that is bad from the start. The old version's
/// answers in the same span, on the same route, are what a sound version may do. A single server
/// convicts no version that others run soundly, and an attempt that a server broke off
/// counts only if that server answers later.
///
/// # Examples
///
/// ```
/// use teaselglade_core::time::Timestamp;
/// use teaselglade_routing::rollout::{VersionEvidence, VersionTest};
///
/// let mut test = VersionTest::default();
/// assert!(test.update(Timestamp::ZERO, &VersionEvidence::default()).is_none());
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionTest {
    routes: HashMap<u64, RouteScores>,
    servers: HashMap<u64, ServerTrail>,
    broken: f64,
}

impl VersionTest {
    /// Adds the evidence since the last call; returns what shows that the version is bad, if anything.
    ///
    /// `evidence` holds all counts since the order.
    pub fn update(&mut self, now: Timestamp, evidence: &VersionEvidence) -> Option<TestFinding> {
        for route in &evidence.routes {
            self.score_route(route);
        }
        self.score_servers(now, evidence);
        let bound = bad_score(evidence);
        let by_route = evidence.routes.iter().find_map(|route| {
            let scores = self.routes.get(&route.route)?;
            let failures = scores.failures.into_iter().fold(0.0, f64::max);
            if failures >= bound && fail_elsewhere(evidence) {
                return Some(TestFinding {
                    statistic: "failures",
                    route: route.route,
                    new: (route.new.answers, route.new.failures),
                    old: (route.old.answers, route.old.failures),
                    score: failures,
                });
            }
            let class = slow_class(&route.old)?;
            (scores.slow >= bound && are_slow_elsewhere(evidence)).then(|| TestFinding {
                statistic: "latency",
                route: route.route,
                new: (route.new.timed(), route.new.slower_than(class)),
                old: (route.old.timed(), route.old.slower_than(class)),
                score: scores.slow,
            })
        });
        by_route
            .or_else(|| self.find_failing_servers(evidence))
            .or_else(|| {
                (self.broken >= bound).then(|| TestFinding {
                    statistic: "broken",
                    route: 0,
                    new: broken_counts(evidence, false),
                    old: broken_counts(evidence, true),
                    score: self.broken,
                })
            })
    }

    /// Returns the incarnation hashes of the new version's servers that failed by themselves.
    ///
    /// What a server answers after it left the trial does not take that back.
    pub fn failing_servers(&self) -> impl Iterator<Item = u64> {
        let trails = self.servers.iter();
        trails
            .filter(|(_, trail)| trail.has_failed)
            .map(|(server, _)| *server)
    }

    /// Returns what shows that more servers fail than the old version's failures let expect.
    ///
    /// A version that fails under load fails at the few servers that are busy.
    fn find_failing_servers(&self, evidence: &VersionEvidence) -> Option<TestFinding> {
        let (answers, failures) = old_counts(evidence);
        let old_share = f64::from(failures) / f64::from(answers.max(1)) / FAILING_SHARE;
        let tested = new_servers(evidence).count();
        let failing = self.failing_servers().count();
        let bound = MIN_FAILING_SERVERS + FAILING_FACTOR * old_share * tested as f64;
        (failing as f64 >= bound).then_some(TestFinding {
            statistic: "servers",
            route: 0,
            new: (tested as u32, failing as u32),
            old: (answers, failures),
            score: failing as f64,
        })
    }

    /// Returns the highest score, as a share of the one from which a version counts as bad.
    ///
    /// A score that one server explains does not count.
    #[must_use]
    pub fn suspicion(&self, evidence: &VersionEvidence) -> f64 {
        let mut highest = self.broken;
        if fail_elsewhere(evidence) {
            let scores = self.routes.values().flat_map(|scores| scores.failures);
            highest = scores.fold(highest, f64::max);
        }
        if are_slow_elsewhere(evidence) {
            let scores = self.routes.values().map(|scores| scores.slow);
            highest = scores.fold(highest, f64::max);
        }
        highest / BAD_SCORE
    }

    fn score_route(&mut self, route: &RouteEvidence) {
        let scores = self.routes.entry(route.route).or_default();
        let (seen, new) = (scores.seen, &route.new);
        let answers = new.answers.saturating_sub(seen.answers);
        let failures = new.failures.saturating_sub(seen.failures);
        let sound_share = expected_share(route.old.failures, route.old.answers, FAILURE_MARGIN);
        for (score, excess) in scores.failures.iter_mut().zip(FAILURE_EXCESSES) {
            *score = advance(*score, sound_share, excess, failures, answers);
        }
        if let Some(class) = slow_class(&route.old) {
            let slow = new
                .slower_than(class)
                .saturating_sub(seen.slower_than(class));
            let timed = new.timed().saturating_sub(seen.timed());
            let (old_slow, old_timed) = (route.old.slower_than(class), route.old.timed());
            let sound_share = expected_share(old_slow, old_timed, SLOW_MARGIN);
            scores.slow = advance(scores.slow, sound_share, SLOW_EXCESS, slow, timed);
            scores.seen.latencies = new.latencies;
        }
        scores.seen.answers = new.answers;
        scores.seen.failures = new.failures;
    }

    /// Scores failures by server, and attempts that servers broke off and survived.
    fn score_servers(&mut self, now: Timestamp, evidence: &VersionEvidence) {
        let (old_answers, old_broken) = broken_counts(evidence, true);
        let sound_share = expected_share(old_broken, old_answers, SERVER_MARGIN);
        let (usual_answers, usual_failures) = old_counts(evidence);
        let usual_share = expected_share(usual_failures, usual_answers, SERVER_MARGIN);
        if let Some(rest) = unlisted(evidence) {
            let trail = self.servers.entry(rest.server).or_default();
            let broken = rest.broken.saturating_sub(trail.seen.broken);
            let answers = rest.answers.saturating_sub(trail.seen.answers);
            trail.seen = *rest;
            // Their hosts confirmed what these servers broke off.
            let excess = SERVER_EXCESS;
            self.broken = advance(self.broken, sound_share, excess, broken, answers + broken);
        }
        for server in evidence.servers.iter().filter(|server| is_listed(server)) {
            let trail = self.servers.entry(server.server).or_default();
            let failures = server.failures.saturating_sub(trail.seen.failures);
            let broken = server.broken.saturating_sub(trail.seen.broken);
            let answers = server.answers.saturating_sub(trail.seen.answers);
            trail.seen = *server;
            let excess = SERVER_EXCESS;
            trail.failures = advance(trail.failures, usual_share, excess, failures, answers);
            trail.has_failed |= trail.failures >= SERVER_SCORE;
            let mut confirmed = 0;
            if answers > 0 {
                trail.unconfirmed.retain(|(seen_at, count)| {
                    let is_confirmed = now.since(*seen_at) >= END_WAIT;
                    confirmed += if is_confirmed { *count } else { 0 };
                    !is_confirmed
                });
            }
            if broken > 0 {
                trail.unconfirmed.push((now, broken));
            }
            let attempts = answers + confirmed;
            self.broken = advance(self.broken, sound_share, SERVER_EXCESS, confirmed, attempts);
        }
    }
}

/// Returns the share of bad answers that a sound version may have, by the old version's counts.
fn expected_share(bad: u32, answers: u32, margin: f64) -> f64 {
    let share = f64::from(bad) / f64::from(answers.max(1));
    (share * SHARE_FACTOR + margin).min(0.9)
}

/// Returns a score after further answers of which some are bad.
fn advance(score: f64, sound_share: f64, excess: f64, bad: u32, answers: u32) -> f64 {
    let bad_share = (sound_share + excess).min(0.95);
    if bad_share <= sound_share {
        return score;
    }
    let per_bad = (bad_share / sound_share).ln();
    let per_good = ((1.0 - bad_share) / (1.0 - sound_share)).ln();
    let good = answers.saturating_sub(bad);
    (score + f64::from(bad) * per_bad + f64::from(good) * per_good).max(0.0)
}

/// Returns the class of latency from which an answer is slow, if the old version's is known.
fn slow_class(old: &AnswerTally) -> Option<usize> {
    let timed = old.timed();
    if timed < MIN_TIMED {
        return None;
    }
    let usual = f64::from(timed) * USUAL_SHARE;
    let class = (0..old.latencies.len())
        .find(|class| f64::from(timed - old.slower_than(class + 1)) >= usual)?;
    Some(class + 1 + SLOW_CLASSES)
}

fn new_servers(evidence: &VersionEvidence) -> impl Iterator<Item = &ServerTally> {
    let servers = evidence.servers.iter();
    servers.filter(|server| is_listed(server) && server.answers >= MIN_SERVER_ANSWERS)
}

/// Returns whether a tally is that of one server of the new version.
const fn is_listed(server: &ServerTally) -> bool {
    server.server != 0 && server.server != UNLISTED_SERVERS
}

/// Returns the common tally of the new servers that have none of their own.
fn unlisted(evidence: &VersionEvidence) -> Option<&ServerTally> {
    let mut servers = evidence.servers.iter();
    servers.find(|server| server.server == UNLISTED_SERVERS && server.answers > 0)
}

/// Returns the score from which the version is bad; higher while one server stands for it.
fn bad_score(evidence: &VersionEvidence) -> f64 {
    if new_servers(evidence).count() >= 2 {
        BAD_SCORE
    } else {
        BAD_SCORE * SINGLE_SERVER_FACTOR
    }
}

/// Returns the answers of the old version on all routes, and its failures.
fn old_counts(evidence: &VersionEvidence) -> (u32, u32) {
    let routes = evidence.routes.iter();
    routes.fold((0, 0), |(answers, failures), route| {
        (answers + route.old.answers, failures + route.old.failures)
    })
}

/// Returns whether other servers than the worst one fail unusually too, if there are others.
fn fail_elsewhere(evidence: &VersionEvidence) -> bool {
    let (answers, failures) = old_counts(evidence);
    let usual_share = f64::from(failures) / f64::from(answers.max(1));
    let excess =
        |server: &ServerTally| f64::from(server.failures) - usual_share * f64::from(server.answers);
    let unusual: Vec<f64> = new_servers(evidence).map(excess).collect();
    let rest = unlisted(evidence).map(excess);
    if unusual.len() < 2 && rest.is_none() {
        return true;
    }
    let total = unusual.iter().sum::<f64>() + rest.unwrap_or_default();
    let worst = unusual.iter().copied().fold(0.0, f64::max);
    total - worst >= (total * OTHERS_SHARE).max(1.0)
}

/// Returns whether at least two servers are slow on average, if there are two.
fn are_slow_elsewhere(evidence: &VersionEvidence) -> bool {
    let old = evidence.servers.iter().find(|server| server.server == 0);
    let old_mean = old.map_or(0.0, ServerTally::mean_class);
    let means: Vec<f64> = new_servers(evidence)
        .filter(|server| server.timed > 0)
        .map(ServerTally::mean_class)
        .collect();
    let slow = means
        .iter()
        .filter(|mean| **mean >= old_mean + SLOW_MEAN_CLASSES);
    // Unlisted servers are several, so that their mean is not that of one slow server.
    let rest = unlisted(evidence).filter(|rest| rest.timed > 0);
    let is_rest_slow = rest.is_some_and(|rest| rest.mean_class() >= old_mean + SLOW_MEAN_CLASSES);
    is_rest_slow || (means.len() < 2 && rest.is_none()) || slow.count() >= 2
}

/// Returns the attempts at servers of the old or the new version, and how many were broken off.
fn broken_counts(evidence: &VersionEvidence, is_old: bool) -> (u32, u32) {
    let servers = evidence.servers.iter();
    let of_version = servers.filter(|server| (server.server == 0) == is_old);
    of_version.fold((0, 0), |(attempts, broken), server| {
        (
            attempts + server.answers + server.broken,
            broken + server.broken,
        )
    })
}
