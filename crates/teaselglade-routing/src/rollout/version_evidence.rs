//! Evidence on the old and the new version of a service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of classes of latencies.
pub(super) const LATENCY_CLASSES: usize = 20;
/// Upper bound of the first class, in milliseconds; each further one is longer by the root of 2.
const FIRST_CLASS_MS: f64 = 4.0;

/// Answers of one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnswerTally {
    /// Answers, failures included.
    pub answers: u32,
    /// Answers that are failures or invalid.
    pub failures: u32,
    /// Answers by latency, at a load that both versions have alike.
    pub latencies: [u32; LATENCY_CLASSES],
}

impl AnswerTally {
    /// Counts an answer.
    pub fn record(&mut self, is_failure: bool, latency: Option<Duration>) {
        self.answers += 1;
        self.failures += u32::from(is_failure);
        if let Some(latency) = latency {
            self.latencies[latency_class(latency)] += 1;
        }
    }

    /// Adds the counts of another host.
    pub fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        let pairs = self.latencies.iter_mut().zip(other.latencies);
        pairs.for_each(|(own, other)| *own += other);
    }

    /// Returns the number of answers whose latency is known.
    #[must_use]
    pub fn timed(&self) -> u32 {
        self.latencies.iter().sum()
    }

    /// Returns the number of answers in the classes from `class` on.
    #[must_use]
    pub fn slower_than(&self, class: usize) -> u32 {
        self.latencies.iter().skip(class).sum()
    }
}

/// Returns the class of a latency.
fn latency_class(latency: Duration) -> usize {
    let ratio = latency.as_secs_f64() * 1_000.0 / FIRST_CLASS_MS;
    let class = (ratio.max(1.0).log2() * 2.0).ceil() as usize;
    class.min(LATENCY_CLASSES - 1)
}

/// Answers of both versions on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Hash of the route's name.
    pub route: u64,
    /// Answers of the versions that were in service at the order.
    pub old: AnswerTally,
    /// Answers of the new version.
    pub new: AnswerTally,
}

/// Name of the tally of all servers of the new version that have none of their own.
pub const UNLISTED_SERVERS: u64 = u64::MAX;

/// Attempts at one server of the new version, or at all servers of the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerTally {
    /// Incarnation hash of the server; 0 for all servers of the old version, and
    /// [`UNLISTED_SERVERS`] for those of the new one that are not counted one by one.
    pub server: u64,
    /// Answers, failures included.
    pub answers: u32,
    /// Answers that are failures, or invalid.
    pub failures: u32,
    /// Attempts that ended without an answer; at unlisted servers those that they survived.
    pub broken: u32,
    /// Answers whose latency is known.
    pub timed: u32,
    /// Sum of the classes of these latencies.
    pub class_sum: u32,
}

impl ServerTally {
    /// Counts an answer.
    pub fn record(&mut self, is_failure: bool, latency: Option<Duration>) {
        self.answers += 1;
        self.failures += u32::from(is_failure);
        if let Some(latency) = latency {
            self.timed += 1;
            self.class_sum += latency_class(latency) as u32;
        }
    }

    /// Adds the counts of another host.
    pub const fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.broken += other.broken;
        self.timed += other.timed;
        self.class_sum += other.class_sum;
    }

    /// Returns the mean class of the known latencies.
    pub(super) fn mean_class(&self) -> f64 {
        f64::from(self.class_sum) / f64::from(self.timed.max(1))
    }
}

/// Evidence on the old and the new version of a service.
///
/// Counts since the order; they grow only.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct VersionEvidence {
    /// Answers by route.
    pub routes: Vec<RouteEvidence>,
    /// Attempts by server of the new version, and at the old one.
    pub servers: Vec<ServerTally>,
}

impl VersionEvidence {
    /// Returns the counts of a route.
    pub fn route_mut(&mut self, route: u64) -> &mut RouteEvidence {
        let known = self.routes.iter().position(|known| known.route == route);
        let index = known.unwrap_or_else(|| {
            self.routes.push(RouteEvidence {
                route,
                ..RouteEvidence::default()
            });
            self.routes.len() - 1
        });
        &mut self.routes[index]
    }

    /// Returns the counts of a server.
    pub fn server_mut(&mut self, server: u64) -> &mut ServerTally {
        let known = self.servers.iter().position(|known| known.server == server);
        let index = known.unwrap_or_else(|| {
            self.servers.push(ServerTally {
                server,
                ..ServerTally::default()
            });
            self.servers.len() - 1
        });
        &mut self.servers[index]
    }

    /// Adds the counts of another host.
    pub fn add(&mut self, other: &Self) {
        for route in &other.routes {
            let own = self.route_mut(route.route);
            own.old.add(&route.old);
            own.new.add(&route.new);
        }
        for server in &other.servers {
            self.server_mut(server.server).add(server);
        }
    }

    /// Returns the answers of the new version on all routes.
    #[must_use]
    pub fn new_answers(&self) -> u32 {
        self.routes.iter().map(|route| route.new.answers).sum()
    }

    /// Returns the failures of the new version on all routes.
    #[must_use]
    pub fn new_failures(&self) -> u32 {
        self.routes.iter().map(|route| route.new.failures).sum()
    }
}
