//! Roll-out of a service as operators see it.

use serde::{Deserialize, Serialize};
use teaselglade_core::time::Timestamp;

use super::service_rollout::ServiceRollout;
use super::{
    RolloutBounds, RolloutDesk, RolloutOrder, RolloutStage, ServerTally, TestFinding,
    VersionEvidence,
};

/// Answers of the versions in service and of the new one, and failures among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Answers of the versions that were in service at the order.
    pub old_answers: u32,
    /// Failures among these.
    pub old_failures: u32,
    /// Answers of the new version.
    pub new_answers: u32,
    /// Failures among these.
    pub new_failures: u32,
}

impl VersionCounts {
    fn of(evidence: &VersionEvidence) -> Self {
        let mut counts = Self::default();
        for route in &evidence.routes {
            counts.old_answers += route.old.answers;
            counts.old_failures += route.old.failures;
            counts.new_answers += route.new.answers;
            counts.new_failures += route.new.failures;
        }
        counts
    }

    /// Returns the answers of all versions.
    #[must_use]
    pub const fn answers(&self) -> u32 {
        self.old_answers + self.new_answers
    }
}

/// What showed a host that a version is bad.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FindingView {
    /// Name of the statistic: `failures`, `servers`, `latency` or `broken`.
    pub statistic: String,
    /// Hash of the route; 0 for all.
    pub route: u64,
    /// Answers of the new version, and how many of them speak against it.
    pub new: (u32, u32),
    /// The same of the versions in service.
    pub old: (u32, u32),
    /// Score that passed the bound.
    pub score: f64,
}

impl From<TestFinding> for FindingView {
    fn from(finding: TestFinding) -> Self {
        Self {
            statistic: finding.statistic.to_owned(),
            route: finding.route,
            new: finding.new,
            old: finding.old,
            score: finding.score,
        }
    }
}

/// Roll-out of a service as one host sees it; the leader's view decides.
///
/// Read from the state by which the host decides. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order.
    pub age_ms: u64,
    /// Stage, which is a verdict at the end.
    pub stage: RolloutStage,
    /// Time since the stage began.
    pub stage_age_ms: u64,
    /// Share of the traffic in this stage; a trial goes by credit.
    pub traffic_share: f64,
    /// Servers of other versions than the target.
    pub old_servers: usize,
    /// Servers of the target.
    pub new_servers: usize,
    /// Servers of the target that are on trial.
    pub trial_servers: usize,
    /// Answers that this host got since the order.
    pub own: VersionCounts,
    /// Requests that this host sent to the new version on trial.
    pub own_exposed: u64,
    /// Requests that this host may send to it within the permitted share.
    pub own_permitted: f64,
    /// Answers of all hosts that this one heard of.
    pub fleet: VersionCounts,
    /// Answers of the new version that are permitted by these, slack included.
    pub fleet_permitted: f64,
    /// Attempts at each server of the new version, and at all of the old one, of all hosts.
    pub servers: Vec<ServerTally>,
    /// Highest score against the new version, as a share of a verdict.
    pub suspicion: f64,
    /// Servers of the new version that fail by themselves.
    pub failing_servers: usize,
    /// Whether enough is known of the new version and nothing speaks against it.
    pub is_sound: bool,
    /// Whether enough hosts report for the order to go on.
    pub is_heard: bool,
    /// Whether all hosts say that they left the old version.
    pub is_left_by_all: bool,
    /// Requests that this host has open at the old version.
    pub open_at_old: u32,
    /// Time since a report of any host, or since this host led.
    pub heard_ms: u64,
    /// Known peers whose own report is missing or old; most, unless this host leads or the fleet is small.
    pub silent: Vec<String>,
    /// What showed this host that the version is bad, if it did.
    pub finding: Option<FindingView>,
}

impl RolloutDesk {
    /// Returns the newest order of each service as this host sees it.
    ///
    /// `peers` are the names of the known peers.
    ///
    /// # Examples
    ///
    /// ```
    /// use teaselglade_core::time::Timestamp;
    /// use teaselglade_routing::rollout::{RolloutDesk, RolloutOrder, RolloutStage};
    ///
    /// let mut desk = RolloutDesk::new("edge-1", None);
    /// let order = RolloutOrder { service: "desk".into(), target: "v2".into(), over_ms: 12_000, number: 1 };
    /// desk.record_order(Timestamp::ZERO, order, 2, false);
    /// let views = desk.views(Timestamp::from_millis(2_000), &["edge-2"]);
    /// assert_eq!(views[0].stage, RolloutStage::Trial);
    /// assert_eq!((views[0].age_ms, views[0].silent[0].as_str()), (2_000, "edge-2"));
    /// ```
    #[must_use]
    pub fn views(&self, now: Timestamp, peers: &[&str]) -> Vec<RolloutView> {
        let bounds = self.bounds.unwrap_or_default();
        let rollouts = self.rollouts.values();
        rollouts
            .map(|rollout| view(rollout, now, bounds, peers))
            .collect()
    }
}

fn view(
    rollout: &ServiceRollout,
    now: Timestamp,
    bounds: RolloutBounds,
    peers: &[&str],
) -> RolloutView {
    let evidence = rollout.evidence();
    let fleet = VersionCounts::of(&evidence);
    let millis = |since: Timestamp| now.since(since).as_millis() as u64;
    let is_silent = |peer: &&&str| {
        let view = rollout.peers.get(**peer);
        view.is_none_or(|view| !view.is_fresh(now))
    };
    RolloutView {
        order: rollout.order.clone(),
        age_ms: millis(rollout.ordered_at),
        stage: rollout.stage,
        stage_age_ms: millis(rollout.staged_at),
        traffic_share: rollout.stage.traffic_share(),
        old_servers: rollout.old_servers,
        new_servers: rollout.new_servers,
        trial_servers: rollout.trial.len(),
        own: VersionCounts::of(&rollout.own),
        own_exposed: rollout.exposure().1,
        own_permitted: rollout.credit.left_bound(bounds.exposure_share),
        fleet,
        fleet_permitted: f64::from(fleet.answers()) * bounds.exposure_share + bounds.exposure_slack,
        servers: evidence.servers,
        suspicion: rollout.suspicion(),
        failing_servers: rollout.test.failing_servers().count(),
        is_sound: rollout.is_sound(),
        is_heard: rollout.hears(now, peers.len()),
        is_left_by_all: rollout.is_left_by_all(now, peers.len()),
        open_at_old: rollout.open_at_old,
        heard_ms: millis(rollout.heard_at),
        silent: peers
            .iter()
            .filter(is_silent)
            .map(|peer| (*peer).to_owned())
            .collect(),
        finding: rollout.finding.map(FindingView::from),
    }
}
