//! Speeds and paces of all servers.

use std::collections::HashMap;
use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;

use super::{LastingSpeed, MomentPace, ServerPace, SpeedNotice, SpeedReport};
use crate::registry::ServerRegistry;

/// Units of the logarithm in a notice of samples.
const SAMPLE_UNITS: f64 = 32.0;
/// Units of the weight in a notice of samples.
const WEIGHT_UNITS: f64 = 4.0;
/// Least weight of one time in the service's mean.
const MIN_MEAN_WEIGHT: f64 = 0.02;

/// Time that a server took for an amount of work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimeSample {
    /// Time that the work took.
    pub elapsed: Duration,
    /// Weight of the sample; 1 for one whose spread is about a half.
    pub weight: f64,
}

/// What the expected time of work on a server rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeedEvidence {
    /// Expected time of work in percent of what it takes in the service.
    pub time_percent: u32,
    /// Age of the server's last word on its pace, if it states one.
    pub pace_age: Option<Duration>,
}

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
struct SpeedEntry {
    lasting: LastingSpeed,
    pace: MomentPace,
    /// Sum of logarithms and weights of the samples that peers have not been told.
    unsent: (f64, f64),
}

/// Geometric mean of a service's samples; all count alike at first, the last fifty later.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceMean {
    log_mean: f64,
    samples: u32,
}

impl ServiceMean {
    /// Adds a sample and returns the mean.
    fn observe(&mut self, sample: f64) -> f64 {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_MEAN_WEIGHT);
        self.log_mean += (sample.ln() - self.log_mean) * weight;
        self.log_mean.exp()
    }
}

/// Means of the samples of a service, by kind.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceMeans {
    time: ServiceMean,
    ratio: ServiceMean,
}

/// Lasting speeds and paces of the moment of the servers that this host sends to.
///
/// Speeds are learned of servers that state their pace; others have a factor of exactly 1.
///
/// # Examples
///
/// ```
/// use teaselglade_routing::speed::SpeedLedger;
///
/// let ledger = SpeedLedger::default();
/// assert_eq!(ledger.mean_speed(std::iter::empty()), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct SpeedLedger {
    servers: HashMap<ServerKey, SpeedEntry>,
    services: HashMap<String, ServiceMeans>,
    /// Number of estimates sent so far; they are sent in turn.
    turn: usize,
}

impl SpeedLedger {
    /// Records a server's word on its pace.
    pub fn record_pace(&mut self, now: Timestamp, server: ServerKey, pace: ServerPace) {
        let entry = self.servers.entry(server).or_default();
        entry.pace.observe(now, pace);
    }

    /// Records that work on a server took `ratio` times what the service's servers are known to take.
    ///
    /// The mean ratio of the service is divided out, so that an estimate for the whole service that
    /// is still wrong makes no server look fast or slow.
    pub fn record_ratio(
        &mut self,
        now: Timestamp,
        service: &str,
        server: ServerKey,
        ratio: f64,
        weight: f64,
    ) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let factor = self.time_factor(now, server);
        let means = self.services.entry(service.to_owned()).or_default();
        let mean = means.ratio.observe(ratio / factor);
        self.record_sample(now, server, ratio / mean, weight);
    }

    /// Records the time of one unit of work, compared with the mean of the service.
    pub fn record_time(
        &mut self,
        now: Timestamp,
        service: &str,
        server: ServerKey,
        sample: TimeSample,
    ) {
        let seconds = sample.elapsed.as_secs_f64();
        if seconds <= 0.0 {
            return;
        }
        let factor = self.time_factor(now, server);
        let means = self.services.entry(service.to_owned()).or_default();
        let mean = means.time.observe(seconds / factor);
        self.record_sample(now, server, seconds / mean, sample.weight);
    }

    /// Adds a sample of a server that has stated its pace before.
    fn record_sample(&mut self, now: Timestamp, server: ServerKey, ratio: f64, weight: f64) {
        let Some(entry) = self.servers.get_mut(&server) else {
            return;
        };
        let pace = entry.pace.fresh_ratio(now);
        entry.lasting.observe(ratio, pace, weight);
        let explained = if entry.lasting.trusts_pace() {
            pace.unwrap_or(1.0)
        } else {
            1.0
        };
        entry.unsent.0 += (ratio / explained).ln() * weight;
        entry.unsent.1 += weight;
    }

    /// Returns the expected time of work on a server now, relative to its service.
    #[must_use]
    pub fn time_factor(&self, now: Timestamp, server: ServerKey) -> f64 {
        let Some(entry) = self.servers.get(&server) else {
            return 1.0;
        };
        let pace = if entry.lasting.trusts_pace() {
            entry.pace.ratio(now)
        } else {
            1.0
        };
        entry.lasting.time_ratio() * pace
    }

    /// Returns the lasting speed of a server relative to its service.
    #[must_use]
    pub fn speed(&self, server: ServerKey) -> f64 {
        let entry = self.servers.get(&server);
        entry.map_or(1.0, |entry| 1.0 / entry.lasting.time_ratio())
    }

    /// Returns the mean lasting speed of servers; 1 if there are none.
    pub fn mean_speed(&self, servers: impl Iterator<Item = ServerKey>) -> f64 {
        let (sum, count) = servers.fold((0.0, 0_u32), |(sum, count), server| {
            (sum + self.speed(server), count + 1)
        });
        if count == 0 {
            return 1.0;
        }
        sum / f64::from(count)
    }

    /// Returns whether a server proves to differ from its service.
    #[must_use]
    pub fn is_uneven(&self) -> bool {
        let mut servers = self.servers.values();
        servers.any(|entry| !entry.lasting.is_alike())
    }

    /// Returns what a choice of a server rests on; `None` if its expected time is the usual one.
    #[must_use]
    pub fn evidence(&self, now: Timestamp, server: ServerKey) -> Option<SpeedEvidence> {
        let time_percent = (self.time_factor(now, server) * 100.0).round() as u32;
        let evidence = SpeedEvidence {
            time_percent,
            pace_age: self.servers.get(&server)?.pace.age(now),
        };
        (time_percent != 100).then_some(evidence)
    }

    /// Returns the lasting time ratio and the pace of every server, for metrics.
    pub fn ratios(&self, now: Timestamp) -> impl Iterator<Item = (ServerKey, f64, f64)> {
        let servers = self.servers.iter();
        servers.map(move |(key, entry)| (*key, entry.lasting.time_ratio(), entry.pace.ratio(now)))
    }

    /// Forgets a server that restarted or is gone.
    pub fn forget_server(&mut self, server: ServerKey) {
        self.servers.remove(&server);
    }

    /// Forgets the servers that `keeps` rejects.
    pub fn retain(&mut self, keeps: impl Fn(ServerKey) -> bool) {
        self.servers.retain(|server, _| keeps(*server));
    }

    /// Returns the weightiest samples that peers have not been told, and marks them as sent.
    pub fn take_samples(&mut self, registry: &ServerRegistry, most: usize) -> Vec<SpeedNotice> {
        let unsent = self.servers.iter_mut();
        let unsent = unsent.filter(|(_, entry)| entry.unsent.1 >= 1.0 / WEIGHT_UNITS);
        let mut unsent: Vec<_> = unsent.collect();
        // Samples that wait grow in weight, so that each server has its turn.
        unsent.sort_unstable_by(|(_, a), (_, b)| b.unsent.1.total_cmp(&a.unsent.1));
        let notices = unsent.into_iter().take(most).map(|(server, entry)| {
            let (sum, weight) = std::mem::take(&mut entry.unsent);
            SpeedNotice {
                server: registry.server(*server).incarnation_hash(),
                step: (sum / weight * SAMPLE_UNITS).round() as i8,
                weight: (weight * WEIGHT_UNITS).round() as u8,
            }
        });
        notices.collect()
    }

    /// Returns the next estimates in turn.
    pub fn next_estimates(&mut self, registry: &ServerRegistry, most: usize) -> Vec<SpeedNotice> {
        let known = self.servers.iter();
        let known = known.filter(|(_, entry)| entry.lasting.weight() > 0);
        let mut notices: Vec<SpeedNotice> = known
            .map(|(server, entry)| SpeedNotice {
                server: registry.server(*server).incarnation_hash(),
                step: entry.lasting.step(),
                weight: entry.lasting.weight(),
            })
            .collect();
        if notices.is_empty() {
            return notices;
        }
        notices.sort_unstable_by_key(|notice| notice.server);
        let start = self.turn % notices.len();
        notices.rotate_left(start);
        notices.truncate(most);
        self.turn = self.turn.wrapping_add(notices.len());
        notices
    }

    /// Merges the report of a peer; servers that this host does not know are passed over.
    pub fn merge(&mut self, registry: &ServerRegistry, report: &SpeedReport) {
        for notice in &report.samples {
            if let Some(server) = registry.find_incarnation(notice.server) {
                let ratio = (f64::from(notice.step) / SAMPLE_UNITS).exp();
                let weight = f64::from(notice.weight) / WEIGHT_UNITS;
                let entry = self.servers.entry(server).or_default();
                entry.lasting.observe(ratio, None, weight);
            }
        }
        for notice in &report.estimates {
            if let Some(server) = registry.find_incarnation(notice.server) {
                let entry = self.servers.entry(server).or_default();
                entry.lasting.adopt(notice.step, notice.weight);
            }
        }
    }
}
