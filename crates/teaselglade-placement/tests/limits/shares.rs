//! Fleet-wide limits over many limiters with late, lost and cut-off messages.

use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::limit::{
    DemandMessage, DemandSource, LimitRow, LimitedRequest, ShareLimiter,
};

const TICK: Duration = Duration::from_millis(20);
const EXCHANGE_TICKS: u64 = 50;
const LIMIT: f64 = 200.0;
const WARM_SECONDS: u64 = 10;
const COUNTED_SECONDS: u64 = 10;
/// The overshoot that the users allow in steady state.
const STEADY_BOUND: f64 = 1.1;

struct LimitedFleet {
    limiters: Vec<ShareLimiter>,
    demands: Vec<f64>,
    random: Pcg64,
    now: Timestamp,
    ticks: u64,
    lost: f64,
    /// Hosts from this index on are cut off from those before it.
    cut: Option<usize>,
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
            ticks: 0,
            lost: 0.0,
            cut: None,
        }
    }

    /// Runs for some seconds and returns the requests admitted by each host.
    fn run(&mut self, seconds: u64) -> Vec<u32> {
        let mut admitted = vec![0; self.limiters.len()];
        let request = LimitedRequest::new("halloran", "draft-fleet", 100);
        let ticks = Duration::from_secs(seconds).as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.now = self.now + TICK;
            self.ticks += 1;
            for (host, limiter) in self.limiters.iter_mut().enumerate() {
                let expected = self.demands[host] * TICK.as_secs_f64();
                let arrivals = expected.trunc() as u32
                    + u32::from(self.random.random::<f64>() < expected.fract());
                for _ in 0..arrivals {
                    admitted[host] += u32::from(limiter.admit(self.now, &request).is_ok());
                }
            }
            if self.ticks.is_multiple_of(EXCHANGE_TICKS) {
                self.exchange();
            }
        }
        admitted
    }

    fn exchange(&mut self) {
        let messages = self.limiters.iter_mut();
        let messages = messages.map(|limiter| limiter.demand_message(self.now));
        let messages = messages.collect::<Vec<DemandMessage>>();
        for (host, limiter) in self.limiters.iter_mut().enumerate() {
            for (other, message) in messages.iter().enumerate() {
                let is_cut = self.cut.is_some_and(|cut| (host < cut) != (other < cut));
                let is_lost = self.random.random::<f64>() < self.lost;
                if other != host && !is_cut && !is_lost {
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
    fn steady_overshoot_is_at_most_a_tenth(
        demands in prop::collection::vec(5.0..120.0_f64, 4..12),
        lost in 0.0..0.3_f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = LimitedFleet::new(demands, seed);
        fleet.lost = lost;
        fleet.run(WARM_SECONDS);
        let admitted = rate(&fleet.run(COUNTED_SECONDS), COUNTED_SECONDS);
        prop_assert!(admitted <= LIMIT * STEADY_BOUND, "{admitted}");
    }

    #[test]
    fn unused_share_is_lent_out(busy in 100.0..160.0_f64, idle in 0.5..2.0_f64, seed in any::<u64>()) {
        let mut demands = vec![idle; 7];
        demands.push(busy);
        let mut fleet = LimitedFleet::new(demands, seed);
        fleet.run(WARM_SECONDS);
        let admitted = fleet.run(COUNTED_SECONDS);
        let busy_rate = f64::from(admitted[7]) / COUNTED_SECONDS as f64;
        prop_assert!(busy_rate >= busy * 0.9, "{busy_rate} of {busy}");
    }

    #[test]
    fn cut_off_sides_stay_below_twice_the_limit(
        cut in 1..8_usize,
        surge in 2.0..20.0_f64,
        seed in any::<u64>(),
    ) {
        let mut fleet = LimitedFleet::new(vec![20.0; 8], seed);
        fleet.run(WARM_SECONDS);
        fleet.cut = Some(cut);
        fleet.run(10);
        for (host, demand) in fleet.demands.iter_mut().enumerate() {
            *demand = if host < cut { *demand * surge } else { 0.5 };
        }
        let first = rate(&fleet.run(COUNTED_SECONDS), COUNTED_SECONDS);
        fleet.demands.iter_mut().for_each(|demand| *demand = 20.0 * surge);
        let second = rate(&fleet.run(COUNTED_SECONDS), COUNTED_SECONDS);
        prop_assert!(first <= LIMIT * 2.0 * STEADY_BOUND, "{first}");
        prop_assert!(second <= LIMIT * 2.0 * STEADY_BOUND, "{second}");
    }
}

#[test]
fn a_message_stays_below_its_bound() {
    /// 11 bytes a share in `MessagePack`, and 20 for the frame.
    const BOUND_SHARES: usize = (384 - 20) / 11;
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
    assert!(message.demands.len() <= BOUND_SHARES);
}
