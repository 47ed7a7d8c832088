//! Quotas hold across all hosts, whichever hosts receive one another's reports.

use proptest::prelude::*;
use teaselglade_routing::capacity::RequestRank;
use teaselglade_routing::quota::QuotaLimiter;

use super::fixture::{at, organisation};

/// Rate of the limited organisation, in tokens per second.
const RATE: f64 = 400_000.0;
/// Length of the window in which [`BOUND`] holds, in seconds.
const WINDOW_SECONDS: u64 = 8;
/// Bound of the deployments in tokens: 10 % above rate and burst, and a fixed slack.
const BOUND: f64 = (RATE * WINDOW_SECONDS as f64 + RATE) * 1.1 + 190_000.0;
const STEP_MS: u64 = 20;
const DIGEST_MS: u64 = 200;

/// Fleet of hosts that report their spending to one another, some of them partitioned.
struct Fleet {
    limiters: Vec<QuotaLimiter>,
    /// Tokens that all hosts together admitted, by step.
    admitted: Vec<f64>,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let limiters = (0..hosts).map(|_| {
            let mut limiter = QuotaLimiter::new(16);
            limiter.set_fleet_size(hosts as u32);
            limiter.set_quotas(at(0), &[organisation("halloran", "k", RATE)]);
            limiter
        });
        let mut fleet = Self {
            limiters: limiters.collect(),
            admitted: Vec::new(),
        };
        fleet.gossip(0, &|_, _| true);
        fleet
    }

    fn gossip(&mut self, now: u64, receives: &dyn Fn(usize, usize) -> bool) {
        let reports: Vec<_> = self
            .limiters
            .iter_mut()
            .map(|limiter| limiter.report(at(now)))
            .collect();
        for (sender, report) in reports.into_iter().enumerate() {
            for (receiver, limiter) in self.limiters.iter_mut().enumerate() {
                if sender != receiver && receives(sender, receiver) {
                    limiter.receive_spend(at(now), &format!("edge-{sender}"), 1, report.clone());
                }
            }
        }
    }

    /// Offers `per_step` requests to each host in every step, with gossip, and returns the admitted
    /// tokens.
    fn run(
        &mut self,
        from: u64,
        to: u64,
        per_step: usize,
        tokens: u32,
        receives: &dyn Fn(usize, usize) -> bool,
    ) -> f64 {
        let mut total = 0.0;
        for now in (from..to).step_by(STEP_MS as usize) {
            if now % DIGEST_MS == 0 {
                self.gossip(now, receives);
            }
            self.offer(now, now + STEP_MS, per_step, tokens);
            total += self.admitted.last().copied().unwrap_or_default();
        }
        total
    }

    /// Offers requests without gossip.
    fn offer(&mut self, from: u64, to: u64, per_step: usize, tokens: u32) {
        for now in (from..to).step_by(STEP_MS as usize) {
            let mut admitted = 0.0;
            for limiter in &mut self.limiters {
                for _ in 0..per_step {
                    let is_admitted = limiter.admit(at(now), "halloran", Some(tokens)).is_ok();
                    admitted += if is_admitted { f64::from(tokens) } else { 0.0 };
                }
            }
            self.admitted.push(admitted);
        }
    }

    fn max_in_window(&self) -> f64 {
        let steps = (WINDOW_SECONDS * 1_000 / STEP_MS) as usize;
        let windows = self.admitted.windows(steps.min(self.admitted.len()));
        windows
            .map(|window| window.iter().sum())
            .fold(0.0, f64::max)
    }
}

#[test]
fn an_organisation_within_its_quota_is_never_refused() {
    let mut fleet = Fleet::new(9);
    // Nine hosts, 50 steps per second, 700 tokens each: 315,000 tokens per second in total.
    let offered = 9.0 * 700.0 * 50.0 * 20.0;
    let admitted = fleet.run(20, 20_020, 1, 700, &|_, _| true);
    assert!((admitted - offered).abs() < 1.0, "{admitted} of {offered}");
}

#[test]
fn a_large_prompt_is_admitted_beyond_the_hosts_own_share() {
    let mut limiter = QuotaLimiter::new(9);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    for peer in 0..8 {
        limiter.receive_spend(
            at(0),
            &format!("edge-{peer}"),
            1,
            std::collections::HashMap::default(),
        );
    }
    limiter.admit(at(10), "corrib", Some(17_000)).unwrap();
    limiter.admit(at(20), "corrib", Some(17_000)).unwrap();
}

#[test]
fn a_large_prompt_beside_urgent_requests_is_admitted_at_a_lone_host() {
    let mut limiter = QuotaLimiter::new(1);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    let mut admit = |tokens, rank| {
        let rank = RequestRank::new(rank);
        limiter.admit_ranked(at(10_000), "corrib", Some(tokens), rank)
    };
    admit(1_300, 0).unwrap();
    admit(17_000, 1).unwrap();
}

#[test]
fn plain_calls_are_admitted_after_a_large_prompt_used_up_the_bucket() {
    let mut limiter = QuotaLimiter::new(1);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    while limiter.admit(at(10), "corrib", Some(8_000)).is_ok() {}
    limiter.admit(at(11), "corrib", None).unwrap();
}

#[test]
fn refused_requests_get_increasing_retry_delays() {
    let mut limiter = QuotaLimiter::new(1);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    while limiter.admit(at(10), "corrib", Some(9_400)).is_ok() {}
    let times: Vec<_> = (0..4)
        .filter_map(|_| {
            limiter
                .admit(at(10), "corrib", Some(9_400))
                .err()?
                .retry_after
        })
        .collect();
    assert_eq!(times.len(), 4);
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

/// Guards against a reserve for urgent requests above what the bucket of a small group holds.
#[test]
fn less_urgent_requests_are_admitted_where_few_hosts_are_seen_or_the_burst_is_small() {
    for (hosts, burst) in [(10, 47_000.0), (1, 4_700.0)] {
        let mut limiter = QuotaLimiter::new(hosts);
        let mut spec = organisation("corrib", "k", 47_000.0);
        spec.quota.as_mut().unwrap().burst = burst;
        limiter.set_quotas(at(0), &[spec]);
        let mut admit = |now, rank| {
            let rank = RequestRank::new(rank);
            limiter.admit_ranked(at(now), "corrib", Some(100), rank)
        };
        admit(10_000, 0).unwrap();
        admit(11_000, 1).unwrap();
    }
}

/// Guards against a debt for urgent requests at each host that hears of no other.
#[test]
fn an_isolated_host_admits_no_urgent_requests_beyond_its_part_of_the_bucket() {
    let mut limiter = QuotaLimiter::new(10);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    let mut admit = |rank| {
        let rank = RequestRank::new(rank);
        limiter.admit_ranked(at(10_000), "corrib", Some(1_000), rank)
    };
    // Demand of less urgent requests makes the others urgent.
    (0..100).for_each(|_| drop(admit(1)));
    let admitted = (0..40).filter(|_| admit(0).is_ok()).count();
    assert!(admitted <= 1, "{admitted} of the urgent requests");
}

/// Guards against promises that outlast a rush and send all callers back at one time.
#[test]
fn promised_returns_end_with_the_longest_delay_and_are_spread() {
    let mut limiter = QuotaLimiter::new(1);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    let mut delay_at = |now| {
        let verdict = limiter.admit(at(now), "corrib", Some(9_400));
        verdict.err()?.retry_after
    };
    let delays: Vec<_> = (0..200).filter_map(|_| delay_at(10)).collect();
    let late: std::collections::BTreeSet<_> = delays[100..].iter().collect();
    assert!(late.len() > 50, "{} different delays", late.len());
    assert!(
        late.iter()
            .all(|delay| (2_000..=4_000).contains(&delay.as_millis()))
    );
    let again = (0..10).find_map(|_| delay_at(6_000)).unwrap();
    assert!(again.as_millis() < 1_000, "{again:?}");
}

#[test]
fn a_request_that_did_not_run_is_refunded() {
    let mut limiter = QuotaLimiter::new(1);
    limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    let before = limiter.level("corrib");
    limiter.admit(at(0), "corrib", Some(9_000)).unwrap();
    limiter.refund("corrib", Some(9_000));
    assert_eq!(limiter.level("corrib"), before);
}

#[test]
fn a_host_that_applies_aggregates_refuses_nothing_below_the_quota() {
    let mut aggregator = QuotaLimiter::new(1);
    let mut host = QuotaLimiter::new(16);
    for limiter in [&mut aggregator, &mut host] {
        limiter.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    }
    // Each host admits 1,000 tokens every 50 ms, which makes 40,000 tokens per second in total.
    for now in (0..20_000).step_by(50) {
        assert!(
            host.admit(at(now), "corrib", Some(1_000)).is_ok(),
            "at {now} ms"
        );
        assert!(
            aggregator.admit(at(now), "corrib", Some(1_000)).is_ok(),
            "at {now} ms"
        );
        if now % 200 == 0 {
            let report = host.report(at(now));
            aggregator.receive_spend(at(now), "edge-2", 1, report);
        }
        if now % 400 == 0 {
            let spend = aggregator.fleet_spend(at(now));
            assert!(host.apply_aggregate(at(now), spend, 1.0));
        }
    }
}

#[test]
fn an_aggregate_from_a_host_that_sees_few_others_is_rejected() {
    let mut host = QuotaLimiter::new(16);
    host.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    assert!(host.apply_aggregate(at(0), std::collections::HashMap::new(), 1.0));
    assert!(!host.apply_aggregate(at(100), std::collections::HashMap::new(), 0.1));
    assert!(
        host.apply_aggregate(at(5_000), std::collections::HashMap::new(), 0.1),
        "the earlier aggregate is stale"
    );
}

#[test]
fn a_lowered_quota_applies_at_once() {
    let mut fleet = Fleet::new(9);
    fleet.run(20, 4_020, 2, 700, &|_, _| true);
    for limiter in &mut fleet.limiters {
        limiter.set_quotas(at(4_020), &[organisation("halloran", "k", RATE / 10.0)]);
    }
    fleet.admitted.clear();
    let admitted = fleet.run(4_020, 12_020, 2, 700, &|_, _| true);
    let bound = (RATE / 10.0 * 9.0) * 1.1 + 190_000.0;
    assert!(admitted <= bound, "{admitted} of {bound}");
}

/// When 86 hosts restart at once while one organisation sends fifty times its load, each receives
/// the reports of only a few others at first. None may spend the burst of the whole fleet.
#[test]
fn hosts_that_restart_at_once_do_not_each_spend_the_burst() {
    const HOSTS: usize = 86;
    let mut fleet = Fleet {
        limiters: (0..HOSTS)
            .map(|_| {
                let mut limiter = QuotaLimiter::new(16);
                limiter.set_quotas(at(0), &[organisation("halloran", "k", RATE)]);
                limiter.set_fleet_size(HOSTS as u32);
                limiter
            })
            .collect(),
        admitted: Vec::new(),
    };
    // Each digest reaches two other hosts until aggregators send, after 600 ms.
    let receives = |sender: usize, receiver: usize| {
        receiver == (sender + 1) % HOSTS || receiver == (sender + 7) % HOSTS
    };
    let admitted = fleet.run(200, 800, 2, 17_000, &receives);
    let bound = RATE * 0.6 + RATE / 2.0;
    assert!(admitted <= bound, "{admitted} of {bound}");
}

/// The aggregator changes every two seconds while one organisation sends many times its load. A new
/// aggregator does not know what the others spent since the last aggregate that it applied.
#[test]
fn the_bound_holds_while_the_aggregator_changes() {
    const HOSTS: usize = 10;
    let mut fleet = Fleet::new(HOSTS);
    for second in 0..16_u64 {
        let aggregator = (second / 2) as usize % HOSTS;
        fleet.limiters[aggregator].start_aggregating();
        for interval in 0..5 {
            let start = 20 + second * 1_000 + interval * 200;
            fleet.offer(start, start + 200, 3, 2_000);
            let now = start + 190;
            let reports: Vec<_> = fleet
                .limiters
                .iter_mut()
                .map(|limiter| limiter.report(at(now)))
                .collect();
            for (sender, report) in reports.into_iter().enumerate() {
                if sender != aggregator {
                    fleet.limiters[aggregator].receive_spend(
                        at(now),
                        &format!("edge-{sender}"),
                        1,
                        report,
                    );
                }
            }
            if interval % 2 == 0 {
                let spend = fleet.limiters[aggregator].fleet_spend(at(now));
                for (host, limiter) in fleet.limiters.iter_mut().enumerate() {
                    if host != aggregator {
                        limiter.apply_aggregate(at(now), spend.clone(), 1.0);
                    }
                }
            }
        }
    }
    let admitted = fleet.max_in_window();
    assert!(admitted <= BOUND, "{admitted} of {BOUND}");
}

proptest! {
    /// One organisation sends many times its quota while some hosts are partitioned from others.
    #[test]
    fn the_bound_holds_while_hosts_are_partitioned(
        hosts in 2..10_usize,
        cut in 0..4_usize,
        cut_from in 0..6_u64,
        cut_for in 1..12_u64,
        times in 2..6_usize,
    ) {
        let mut fleet = Fleet::new(hosts);
        let (from, to) = (cut_from * 1_000, (cut_from + cut_for) * 1_000);
        // Each host offers `times` x 2,000 tokens every 20 ms; the quota of nine hosts is 889 each.
        for second in 0..20_u64 {
            let start = 20 + second * 1_000;
            let is_cut = (from..to).contains(&(second * 1_000));
            let receives = move |a: usize, b: usize| !is_cut || ((a < cut) == (b < cut));
            fleet.run(start, start + 1_000, times, 2_000, &receives);
        }
        let admitted = fleet.max_in_window();
        prop_assert!(admitted <= BOUND, "{} of {}", admitted, BOUND);
    }
}
