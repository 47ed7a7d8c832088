//! Quotas hold over all hosts together, whoever hears whom.

use proptest::prelude::*;
use teaselglade_routing::quota::QuotaLimiter;

use super::fixture::{at, organisation};

/// Rate of the limited organisation, in tokens a second.
const RATE: f64 = 400_000.0;
/// Window of the bound, in seconds.
const WINDOW_SECONDS: u64 = 8;
/// Bound of the deployments: a tenth above rate and burst, and a fixed slack.
const BOUND: f64 = (RATE * WINDOW_SECONDS as f64 + RATE) * 1.1 + 190_000.0;
const STEP_MS: u64 = 20;
const DIGEST_MS: u64 = 200;

/// Hosts that exchange what they spend, some of them cut off.
struct Fleet {
    boards: Vec<QuotaLimiter>,
    /// Tokens admitted in each step, by all hosts.
    admitted: Vec<f64>,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        let boards = (0..hosts).map(|_| {
            let mut board = QuotaLimiter::new(16);
            board.set_fleet_size(hosts as u32);
            board.set_quotas(at(0), &[organisation("halloran", "k", RATE)]);
            board
        });
        let mut fleet = Self {
            boards: boards.collect(),
            admitted: Vec::new(),
        };
        fleet.exchange(0, &|_, _| true);
        fleet
    }

    fn exchange(&mut self, now: u64, hears: &dyn Fn(usize, usize) -> bool) {
        let reports: Vec<_> = self
            .boards
            .iter_mut()
            .map(|board| board.report(at(now)))
            .collect();
        for (sender, report) in reports.into_iter().enumerate() {
            for (receiver, board) in self.boards.iter_mut().enumerate() {
                if sender != receiver && hears(sender, receiver) {
                    board.receive_spend(at(now), &format!("edge-{sender}"), 1, report.clone());
                }
            }
        }
    }

    /// Offers `per_step` requests to each host in every step; returns the tokens admitted.
    fn play(
        &mut self,
        from: u64,
        to: u64,
        per_step: usize,
        tokens: u32,
        hears: &dyn Fn(usize, usize) -> bool,
    ) -> f64 {
        let mut total = 0.0;
        for now in (from..to).step_by(STEP_MS as usize) {
            if now % DIGEST_MS == 0 {
                self.exchange(now, hears);
            }
            self.play_plain(now, now + STEP_MS, per_step, tokens);
            total += self.admitted.last().copied().unwrap_or_default();
        }
        total
    }

    /// Offers requests without any exchange.
    fn play_plain(&mut self, from: u64, to: u64, per_step: usize, tokens: u32) {
        for now in (from..to).step_by(STEP_MS as usize) {
            let mut admitted = 0.0;
            for board in &mut self.boards {
                for _ in 0..per_step {
                    let is_in = board.admit(at(now), "halloran", Some(tokens)).is_ok();
                    admitted += if is_in { f64::from(tokens) } else { 0.0 };
                }
            }
            self.admitted.push(admitted);
        }
    }

    fn most_in_a_window(&self) -> f64 {
        let steps = (WINDOW_SECONDS * 1_000 / STEP_MS) as usize;
        let windows = self.admitted.windows(steps.min(self.admitted.len()));
        windows
            .map(|window| window.iter().sum())
            .fold(0.0, f64::max)
    }
}

#[test]
fn an_organisation_within_its_quota_is_never_turned_away() {
    let mut fleet = Fleet::new(9);
    // Nine hosts, 50 steps a second, 700 tokens: 315,000 tokens a second in large and small ones.
    let offered = 9.0 * 700.0 * 50.0 * 20.0;
    let admitted = fleet.play(20, 20_020, 1, 700, &|_, _| true);
    assert!((admitted - offered).abs() < 1.0, "{admitted} of {offered}");
}

#[test]
fn a_large_prompt_finds_room_although_the_hosts_own_part_would_not_carry_it() {
    let mut board = QuotaLimiter::new(9);
    board.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    for peer in 0..8 {
        board.receive_spend(
            at(0),
            &format!("edge-{peer}"),
            1,
            std::collections::HashMap::default(),
        );
    }
    board.admit(at(10), "corrib", Some(17_000)).unwrap();
    board.admit(at(20), "corrib", Some(17_000)).unwrap();
}

#[test]
fn plain_calls_find_room_behind_a_large_prompt() {
    let mut board = QuotaLimiter::new(1);
    board.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    while board.admit(at(10), "corrib", Some(8_000)).is_ok() {}
    board.admit(at(11), "corrib", None).unwrap();
}

#[test]
fn those_turned_away_are_told_to_come_back_one_behind_the_other() {
    let mut board = QuotaLimiter::new(1);
    board.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    while board.admit(at(10), "corrib", Some(9_400)).is_ok() {}
    let times: Vec<_> = (0..4)
        .filter_map(|_| {
            board
                .admit(at(10), "corrib", Some(9_400))
                .err()?
                .retry_after
        })
        .collect();
    assert_eq!(times.len(), 4);
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut board = QuotaLimiter::new(1);
    board.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    let before = board.level("corrib");
    board.admit(at(0), "corrib", Some(9_000)).unwrap();
    board.refund("corrib", Some(9_000));
    assert_eq!(board.level("corrib"), before);
}

#[test]
fn a_host_that_follows_a_collector_turns_nobody_away_below_the_quota() {
    let mut collector = QuotaLimiter::new(1);
    let mut host = QuotaLimiter::new(16);
    for board in [&mut collector, &mut host] {
        board.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    }
    // Each host admits 1,000 tokens every 50 ms: together 40,000 a second.
    for now in (0..20_000).step_by(50) {
        assert!(
            host.admit(at(now), "corrib", Some(1_000)).is_ok(),
            "at {now} ms"
        );
        assert!(
            collector.admit(at(now), "corrib", Some(1_000)).is_ok(),
            "at {now} ms"
        );
        if now % 200 == 0 {
            let report = host.report(at(now));
            collector.receive_spend(at(now), "edge-2", 1, report);
        }
        if now % 400 == 0 {
            let spend = collector.fleet_spend(at(now));
            assert!(host.apply_aggregate(at(now), spend, 1.0));
        }
    }
}

#[test]
fn a_collector_that_hears_few_hosts_is_passed_over_beside_one_that_hears_all() {
    let mut host = QuotaLimiter::new(16);
    host.set_quotas(at(0), &[organisation("corrib", "k", 47_000.0)]);
    assert!(host.apply_aggregate(at(0), std::collections::HashMap::new(), 1.0));
    assert!(!host.apply_aggregate(at(100), std::collections::HashMap::new(), 0.1));
    assert!(
        host.apply_aggregate(at(5_000), std::collections::HashMap::new(), 0.1),
        "the other fell silent"
    );
}

#[test]
fn a_lowered_quota_binds_at_once() {
    let mut fleet = Fleet::new(9);
    fleet.play(20, 4_020, 2, 700, &|_, _| true);
    for board in &mut fleet.boards {
        board.set_quotas(at(4_020), &[organisation("halloran", "k", RATE / 10.0)]);
    }
    fleet.admitted.clear();
    let admitted = fleet.play(4_020, 12_020, 2, 700, &|_, _| true);
    let bound = (RATE / 10.0 * 9.0) * 1.1 + 190_000.0;
    assert!(admitted <= bound, "{admitted} of {bound}");
}

/// Replays 86 hosts that were killed at once and start while one organisation sends fifty times its
/// load: each hears a few others at first, and none may spend what belongs to all.
#[test]
fn hosts_that_all_start_at_once_do_not_each_spend_the_burst() {
    const HOSTS: usize = 86;
    let mut fleet = Fleet {
        boards: (0..HOSTS)
            .map(|_| {
                let mut board = QuotaLimiter::new(16);
                board.set_quotas(at(0), &[organisation("halloran", "k", RATE)]);
                board.set_fleet_size(HOSTS as u32);
                board
            })
            .collect(),
        admitted: Vec::new(),
    };
    // Each digest reaches two of the others until somebody collects, after 600 ms.
    let hears = |sender: usize, receiver: usize| {
        receiver == (sender + 1) % HOSTS || receiver == (sender + 7) % HOSTS
    };
    let admitted = fleet.play(200, 800, 2, 17_000, &hears);
    let bound = RATE * 0.6 + RATE / 2.0;
    assert!(admitted <= bound, "{admitted} of {bound}");
}

/// Replays leading hosts that change every two seconds while one organisation sends many times its
/// load: a host that begins to collect knows nothing of what the others spent since it was told.
#[test]
fn the_bound_holds_while_collectors_take_turns() {
    const HOSTS: usize = 10;
    let mut fleet = Fleet::new(HOSTS);
    for second in 0..16_u64 {
        let leading = (second / 2) as usize % HOSTS;
        fleet.boards[leading].start_aggregating();
        for turn in 0..5 {
            let start = 20 + second * 1_000 + turn * 200;
            fleet.play_plain(start, start + 200, 3, 2_000);
            let now = start + 190;
            let reports: Vec<_> = fleet
                .boards
                .iter_mut()
                .map(|board| board.report(at(now)))
                .collect();
            for (sender, report) in reports.into_iter().enumerate() {
                if sender != leading {
                    fleet.boards[leading].receive_spend(
                        at(now),
                        &format!("edge-{sender}"),
                        1,
                        report,
                    );
                }
            }
            if turn % 2 == 0 {
                let spend = fleet.boards[leading].fleet_spend(at(now));
                for (host, board) in fleet.boards.iter_mut().enumerate() {
                    if host != leading {
                        board.apply_aggregate(at(now), spend.clone(), 1.0);
                    }
                }
            }
        }
    }
    let most = fleet.most_in_a_window();
    assert!(most <= BOUND, "{most} of {BOUND}");
}

proptest! {
    /// One organisation sends many times its quota; some hosts are cut off from the others.
    #[test]
    fn the_bound_holds_while_hosts_are_cut_off(
        hosts in 2..10_usize,
        cut in 0..4_usize,
        cut_from in 0..6_u64,
        cut_for in 1..12_u64,
        times in 2..6_usize,
    ) {
        let mut fleet = Fleet::new(hosts);
        let (from, to) = (cut_from * 1_000, (cut_from + cut_for) * 1_000);
        // Each host offers `times` x 6,000 tokens every 20 ms where nine hosts' quota is 889 each.
        for second in 0..20_u64 {
            let start = 20 + second * 1_000;
            let is_cut = (from..to).contains(&(second * 1_000));
            let hears = move |a: usize, b: usize| !is_cut || ((a < cut) == (b < cut));
            fleet.play(start, start + 1_000, times, 2_000, &hears);
        }
        let most = fleet.most_in_a_window();
        prop_assert!(most <= BOUND, "{} of {}", most, BOUND);
    }
}
