//! Fleet-wide limits over many limiters with delayed and lost messages and partitions.

use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::limit::{
    DemandMessage, DemandSource, LimitRow, LimitedRequest, ShareLimiter,
};

const STEP: Duration = Duration::from_millis(20);
const GOSSIP_INTERVAL_STEPS: u64 = 50;
const LIMIT: f64 = 200.0;
const WARMUP_SECONDS: u64 = 10;
const MEASURED_SECONDS: u64 = 10;
/// Maximum ratio of admitted rate to limit that the requirements allow in steady state.
const MAX_OVERSHOOT: f64 = 1.1;

struct LimitedFleet {
    limiters: Vec<ShareLimiter>,
    demands: Vec<f64>,
    random: Pcg64,
    now: Timestamp,
    steps: u64,
    loss_rate: f64,
    /// Hosts from this index on are partitioned from those before it.
    partition: Option<usize>,
}

impl LimitedFleet {
    fn new(demands: Vec<f64>, seed: u64) -> Self {
        let now = Timestamp::from_millis(1_000);
        let rows = [LimitRow {
            row: LimitRow::organisation_row("halloran"),
            requests: Some(LIMIT),
            tokens: None,
            concurrency: None,
        }];
        let hosts = demands.len() as u32;
        let limiters = (0..hosts).map(|host| {
            let mut limiter = ShareLimiter::default();
            let others = (0..hosts).filter(|other| *other != host);
            others.for_each(|other| limiter.add_source(DemandSource::new(other)));
            limiter.set_rows(now, &rows);
            limiter
        });
        Self {
            limiters: limiters.collect(),
            demands,
            random: Pcg64::seed_from_u64(seed),
            now,
            steps: 0,
            loss_rate: 0.0,
            partition: None,
        }
    }

    /// Runs for `seconds` and returns the number of requests admitted by each host.
    fn run(&mut self, seconds: u64) -> Vec<u32> {
        let mut admitted = vec![0; self.limiters.len()];
        let request = LimitedRequest::new("halloran", "draft-fleet", 100);
        let steps = Duration::from_secs(seconds).as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.now = self.now + STEP;
            self.steps += 1;
            for (host, limiter) in self.limiters.iter_mut().enumerate() {
                let expected = self.demands[host] * STEP.as_secs_f64();
                let arrivals = expected.trunc() as u32
                    + u32::from(self.random.random::<f64>() < expected.fract());
                for _ in 0..arrivals {
                    admitted[host] += u32::from(limiter.admit(self.now, &request).is_ok());
                }
            }
            if self.steps.is_multiple_of(GOSSIP_INTERVAL_STEPS) {
                self.gossip();
            }
        }
        admitted
    }

    fn gossip(&mut self) {
        let messages = self.limiters.iter_mut();
        let messages = messages.map(|limiter| limiter.demand_message(self.now));
        let messages = messages.collect::<Vec<DemandMessage>>();
        for (host, limiter) in self.limiters.iter_mut().enumerate() {
            for (other, message) in messages.iter().enumerate() {
                let is_partitioned = self
                    .partition
                    .is_some_and(|first| (host < first) != (other < first));
                let is_lost = self.random.random::<f64>() < self.loss_rate;
                if other != host && !is_partitioned && !is_lost {
                    limiter.receive(self.now, DemandSource::new(other as u32), message.clone());
                }
            }
        }
    }
}

fn rate(admitted: &[u32], seconds: u64) -> f64 {
    f64::from(admitted.iter().sum::<u32>()) / seconds as f64
}

proptest! {
    #[test]
    fn steady_state_overshoot_is_at_most_ten_percent(
        demands in prop::collection::vec(5.0..120.0_f64, 4..12),
        lost in 0.0..0.3_f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = LimitedFleet::new(demands, seed);
        fleet.loss_rate = lost;
        fleet.run(WARMUP_SECONDS);
        let admitted = rate(&fleet.run(MEASURED_SECONDS), MEASURED_SECONDS);
        prop_assert!(admitted <= LIMIT * MAX_OVERSHOOT, "{admitted}");
    }

    #[test]
    fn unused_share_is_lent_to_busy_hosts(busy in 100.0..160.0_f64, idle in 0.5..2.0_f64, seed in any::<u64>()) {
        let mut demands = vec![idle; 7];
        demands.push(busy);
        let mut fleet = LimitedFleet::new(demands, seed);
        fleet.run(WARMUP_SECONDS);
        let admitted = fleet.run(MEASURED_SECONDS);
        let busy_rate = f64::from(admitted[7]) / MEASURED_SECONDS as f64;
        prop_assert!(busy_rate >= busy * 0.9, "{busy_rate} of {busy}");
    }

    #[test]
    fn a_partitioned_fleet_stays_below_twice_the_limit(
        partition in 1..8_usize,
        surge in 2.0..20.0_f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = LimitedFleet::new(vec![20.0; 8], seed);
        fleet.run(WARMUP_SECONDS);
        fleet.partition = Some(partition);
        fleet.run(10);
        for (host, demand) in fleet.demands.iter_mut().enumerate() {
            *demand = if host < partition { *demand * surge } else { 0.5 };
        }
        let first = rate(&fleet.run(MEASURED_SECONDS), MEASURED_SECONDS);
        fleet.demands.iter_mut().for_each(|demand| *demand = 20.0 * surge);
        let second = rate(&fleet.run(MEASURED_SECONDS), MEASURED_SECONDS);
        prop_assert!(first <= LIMIT * 2.0 * MAX_OVERSHOOT, "{first}");
        prop_assert!(second <= LIMIT * 2.0 * MAX_OVERSHOOT, "{second}");
    }
}

#[test]
fn a_demand_message_stays_within_its_size_limit() {
    /// A demand takes 11 bytes in `MessagePack`, the rest of the message 20 of 384 bytes.
    const MAX_DEMANDS_IN_MESSAGE: usize = (384 - 20) / 11;
    let mut limiter = ShareLimiter::default();
    let rows = (0..500).map(|number| LimitRow {
        row: LimitRow::organisation_row(&format!("organisation-{number}")),
        requests: Some(10.0),
        tokens: None,
        concurrency: None,
    });
    let now = Timestamp::from_millis(1_000);
    limiter.set_rows(now, &rows.collect::<Vec<_>>());
    let message = limiter.demand_message(now);
    assert!(message.demands.len() <= MAX_DEMANDS_IN_MESSAGE);
}
