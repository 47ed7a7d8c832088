//! Quotas while one organisation sends several times its usual traffic to a large fleet.

use std::collections::{BTreeMap, HashMap};

use teaselglade_routing::capacity::RequestRank;
use teaselglade_routing::quota::{FleetSpend, PeerSpend, QuotaLimiter, SpendReport};

use super::fixture::{at, organisation};

/// Rate and burst of the organisation, in tokens per second and tokens.
const RATE: f64 = 654_820.0;
/// Bound of the deployments in tokens for 8 s: 10 % above rate and burst, and a fixed slack.
const BOUND: f64 = RATE * 9.0 * 1.1 + 190_000.0;
const WINDOW_MS: u64 = 8_000;
/// Share of its quota that the organisation usually uses.
const USUAL_SHARE: f64 = 1.0 / 1.8;
const STEP_MS: u64 = 10;
const DIGEST_MS: u64 = 200;
const AGGREGATE_MS: u64 = 400;
/// Time until a digest or an aggregate arrives; aggregates are spread over their interval.
const DIGEST_LAG_MS: u64 = 30;
const AGGREGATE_LAG_MS: u64 = 200;
/// Tokens of the prompts, in turn.
const PROMPT_TOKENS: [u32; 4] = [1_300, 17_000, 4_000, 9_000];

/// What an aggregator, named by its index, found to be left.
type SentAggregate = (usize, HashMap<String, FleetSpend>);

/// Messages that are on their way, by arrival time.
#[derive(Default)]
struct Mail {
    digests: BTreeMap<u64, Vec<(usize, PeerSpend)>>,
    aggregates: BTreeMap<u64, Vec<SentAggregate>>,
}

/// Outcome of a rush.
#[derive(Debug, Default)]
struct RushOutcome {
    /// Tokens admitted, by step.
    admitted: Vec<f64>,
    /// Tokens admitted during the rush.
    admitted_in_rush: f64,
    refused_before_rush: usize,
    /// First attempts in the rush that were admitted, and all of them, by size.
    first_attempts: HashMap<u32, (u32, u32)>,
}

impl RushOutcome {
    fn max_in_window(&self) -> f64 {
        let steps = (WINDOW_MS / STEP_MS) as usize;
        let windows = self.admitted.windows(steps);
        windows
            .map(|window| window.iter().sum())
            .fold(0.0, f64::max)
    }
}

/// Offers the usual load to `hosts` hosts, from 5 s to 17 s `rush` times as much.
///
/// The first host aggregates the reports. Refused callers come back once when they were told to.
fn run_rush(hosts: usize, rush: f64) -> RushOutcome {
    run_ranked_rush(hosts, rush, |_tokens| RequestRank::default())
}

/// Runs [`run_rush`] with requests whose rank follows from their size.
fn run_ranked_rush(hosts: usize, rush: f64, rank_of: fn(u32) -> RequestRank) -> RushOutcome {
    run_disturbed_rush(hosts, rush, rank_of, Fault::None)
}

/// Creates limiters of hosts that start at `now`; the first aggregates the reports.
fn start_limiters(hosts: usize, now: u64) -> Vec<QuotaLimiter> {
    let mut limiters: Vec<QuotaLimiter> = (0..hosts as u64)
        .map(|host| {
            let mut limiter = QuotaLimiter::new(16).random_seed(host);
            limiter.set_fleet_size(hosts as u32);
            limiter.set_quotas(at(now), &[organisation("halloran", "k", RATE)]);
            limiter
        })
        .collect();
    limiters[0].start_aggregating();
    limiters
}

/// Disturbance of a rush.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// All hosts restart at this time.
    RestartAt(u64),
    /// From 8 s to 14 s neither half of the hosts hears the other; each has an aggregator.
    Cut,
}

/// Runs [`run_ranked_rush`] with a disturbance.
fn run_disturbed_rush(
    hosts: usize,
    rush: f64,
    rank_of: fn(u32) -> RequestRank,
    fault: Fault,
) -> RushOutcome {
    let mut limiters = start_limiters(hosts, 0);
    if fault == Fault::Cut {
        limiters[hosts / 2].start_aggregating();
    }
    let mut mail = Mail::default();
    let mut returning: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut outcome = RushOutcome::default();
    let (mut offered, mut due, mut arrivals) = (0.0, 0.0, 0_usize);
    for now in (0..22_000).step_by(STEP_MS as usize) {
        if fault == Fault::RestartAt(now) {
            limiters = start_limiters(hosts, now);
        }
        if fault == Fault::Cut {
            exchange_by_halves(&mut limiters, &mut mail, now);
        } else {
            exchange_spend(&mut limiters, &mut mail, now);
        }
        let is_rush = (5_000..17_000).contains(&now);
        let factor = if is_rush { rush } else { 1.0 };
        // Hosts know of one another after 2 s.
        due += if now >= 2_000 {
            RATE * USUAL_SHARE * factor * STEP_MS as f64 / 1_000.0
        } else {
            0.0
        };
        let mut requests: Vec<(u32, bool)> = Vec::new();
        while offered < due {
            let tokens = PROMPT_TOKENS[arrivals % PROMPT_TOKENS.len()];
            arrivals += 1;
            offered += f64::from(tokens);
            requests.push((tokens, true));
        }
        let back = returning.split_off(&(now + 1));
        let returned = std::mem::replace(&mut returning, back);
        requests.extend(
            returned
                .into_values()
                .flatten()
                .map(|tokens| (tokens, false)),
        );
        let mut admitted = 0.0;
        for (index, (tokens, is_first)) in requests.into_iter().enumerate() {
            let host = (arrivals + index).wrapping_mul(7_919) % hosts;
            let rank = rank_of(tokens);
            let verdict = limiters[host].admit_ranked(at(now), "halloran", Some(tokens), rank);
            if is_rush && is_first {
                let count = outcome.first_attempts.entry(tokens).or_default();
                count.0 += u32::from(verdict.is_ok());
                count.1 += 1;
            }
            match verdict {
                Ok(()) => admitted += f64::from(tokens),
                Err(refusal) => {
                    outcome.refused_before_rush += usize::from(now < 5_000);
                    let delay = refusal.retry_after.expect("a retry delay");
                    if is_first {
                        let back_at = now + delay.as_millis() as u64;
                        returning.entry(back_at).or_default().push(tokens);
                    }
                }
            }
        }
        outcome.admitted_in_rush += if is_rush { admitted } else { 0.0 };
        outcome.admitted.push(admitted);
    }
    outcome
}

/// Sends and delivers the reports and aggregates that are due.
fn exchange_spend(limiters: &mut [QuotaLimiter], mail: &mut Mail, now: u64) {
    if now.is_multiple_of(DIGEST_MS) {
        let reports = limiters.iter_mut().map(|limiter| limiter.report(at(now)));
        let reports = reports.enumerate().skip(1).collect();
        mail.digests.insert(now + DIGEST_LAG_MS, reports);
    }
    for (host, report) in mail.digests.remove(&now).into_iter().flatten() {
        limiters[0].receive_spend(at(now), &format!("edge-{host}"), 1, report);
    }
    if now.is_multiple_of(AGGREGATE_MS) {
        let spend = limiters[0].fleet_spend(at(now));
        let aggregates = vec![(0, spend)];
        mail.aggregates.insert(now + AGGREGATE_LAG_MS, aggregates);
    }
    for (_, spend) in mail.aggregates.remove(&now).into_iter().flatten() {
        for limiter in limiters.iter_mut().skip(1) {
            limiter.apply_aggregate(at(now), spend.clone(), 1.0);
        }
    }
}

/// Sends and delivers what is due where each half of the hosts has an aggregator, which a cut
/// keeps from hearing the other half.
fn exchange_by_halves(limiters: &mut [QuotaLimiter], mail: &mut Mail, now: u64) {
    let half = limiters.len() / 2;
    let is_cut = (8_000..14_000).contains(&now);
    if now.is_multiple_of(DIGEST_MS) {
        let reports = limiters.iter_mut().map(|limiter| limiter.report(at(now)));
        let reports = reports.enumerate().collect();
        mail.digests.insert(now + DIGEST_LAG_MS, reports);
    }
    for (host, report) in mail.digests.remove(&now).into_iter().flatten() {
        for aggregator in [0, half] {
            let is_heard = !is_cut || (host < half) == (aggregator < half);
            if is_heard && host != aggregator {
                let name = format!("edge-{host}");
                limiters[aggregator].receive_spend(at(now), &name, 1, report.clone());
            }
        }
    }
    if now.is_multiple_of(AGGREGATE_MS) {
        let aggregators = [0, half].into_iter();
        let aggregates = aggregators.map(|host| (host, limiters[host].fleet_spend(at(now))));
        let aggregates = aggregates.collect();
        mail.aggregates.insert(now + AGGREGATE_LAG_MS, aggregates);
    }
    for (aggregator, spend) in mail.aggregates.remove(&now).into_iter().flatten() {
        let end = if aggregator < half {
            half
        } else {
            limiters.len()
        };
        // A host notices after 1.2 s that it hears no more of another.
        let is_noticed = (9_200..14_000).contains(&now);
        let seen = if is_noticed {
            end - aggregator
        } else {
            limiters.len()
        };
        let seen_share = seen as f64 / limiters.len() as f64;
        for limiter in &mut limiters[aggregator + 1..end] {
            limiter.apply_aggregate(at(now), spend.clone(), seen_share);
        }
    }
}

/// Guards against all hosts spending the same remaining tokens before they hear of one another.
///
/// On grown Corrib the bucket swung between its capacity and a debt of 3.6 s of the rate: it was
/// spent by 86 hosts within one round of reports, then all refused for three seconds.
#[test]
fn the_bound_holds_in_a_rush_at_any_number_of_hosts() {
    let mut overshoots = Vec::new();
    for hosts in [1, 2, 7, 16, 40, 86, 195, 400] {
        let outcome = run_rush(hosts, 6.0);
        let most = outcome.max_in_window();
        overshoots.push(format!("{hosts} hosts: {:.2} of the bound", most / BOUND));
        assert!(most <= BOUND, "{hosts} hosts: {most} of {BOUND}");
        assert_eq!(outcome.refused_before_rush, 0, "{hosts} hosts");
        // Nothing below the quota is refused for long: the rush gets nine tenths of the rate.
        let granted = outcome.admitted_in_rush / (RATE * 12.0);
        assert!(granted >= 0.9, "{hosts} hosts: {granted} of the quota");
    }
    println!("largest spending in 8 s: {}", overshoots.join(", "));
}

/// Guards against debts of urgent requests, at each host, that exceed the bound together.
#[test]
fn the_bound_holds_in_a_rush_with_urgent_requests_at_any_number_of_hosts() {
    let rank_of = |tokens| RequestRank::new(u8::from(tokens > 9_000));
    let mut overshoots = Vec::new();
    for hosts in [1, 2, 7, 16, 40, 86, 195, 400] {
        let most = run_ranked_rush(hosts, 6.0, rank_of).max_in_window();
        overshoots.push(format!("{hosts} hosts: {:.2} of the bound", most / BOUND));
        assert!(most <= BOUND, "{hosts} hosts: {most} of {BOUND}");
    }
    println!("largest spending in 8 s: {}", overshoots.join(", "));
}

/// Guards against buckets and debts that each restart of all hosts grants anew.
#[test]
fn the_bound_holds_in_a_rush_in_which_all_hosts_restart() {
    let rank_of = |tokens| RequestRank::new(u8::from(tokens > 9_000));
    for hosts in [7, 86] {
        let most = run_disturbed_rush(hosts, 6.0, rank_of, Fault::RestartAt(9_000)).max_in_window();
        println!("{hosts} hosts: {:.2} of the bound", most / BOUND);
        assert!(most <= BOUND, "{hosts} hosts: {most} of {BOUND}");
    }
}

/// Guards against halves of a fleet that each spend the whole quota while they do not hear each other.
#[test]
fn the_bound_holds_in_a_rush_in_which_the_fleet_is_cut_in_two() {
    let rank_of = |tokens| RequestRank::new(u8::from(tokens > 9_000));
    for hosts in [16, 40, 86, 195] {
        let most = run_disturbed_rush(hosts, 6.0, rank_of, Fault::Cut).max_in_window();
        println!("{hosts} hosts: {:.2} of the bound", most / BOUND);
        assert!(most <= BOUND, "{hosts} hosts: {most} of {BOUND}");
    }
}

/// Guards against refused bookings while an organisation's prompts exceed its quota.
#[test]
fn plain_calls_are_admitted_in_a_rush_of_prompts() {
    let mut limiter = QuotaLimiter::new(2).random_seed(1);
    limiter.set_quotas(at(0), &[organisation("halloran", "k", RATE)]);
    for millis in (0..4_000).step_by(200) {
        // The other host asks for ten times the quota and spends its rate.
        let report = SpendReport {
            total: RATE * millis as f64 / 1_000.0,
            rate: RATE,
            demand: RATE * 10.0,
        };
        let spend = HashMap::from([("halloran".to_owned(), report)]);
        limiter.receive_spend(at(millis), "edge-2", 1, spend);
        limiter.admit(at(millis + 1), "halloran", None).unwrap();
    }
    let prompts = (0..20).filter(|_| limiter.admit(at(4_000), "halloran", Some(900)).is_ok());
    assert!(prompts.count() < 10, "prompts are limited");
}

#[test]
fn the_more_urgent_requests_of_an_organisation_are_admitted_first() {
    let rank_of = |tokens| RequestRank::new(if tokens < 2_000 { 0 } else { 2 });
    for hosts in [1, 7, 24, 86] {
        let ranked = run_ranked_rush(hosts, 4.0, rank_of);
        assert!(ranked.max_in_window() <= BOUND);
        let admitted_share = |tokens| {
            let (admitted, all) = ranked.first_attempts[&tokens];
            f64::from(admitted) / f64::from(all)
        };
        let shares = PROMPT_TOKENS.map(admitted_share);
        println!("{hosts} hosts: first attempts admitted {shares:.2?}");
        assert!(shares[0] >= 0.95, "{hosts} hosts: {shares:?}");
        let common = ranked.admitted_in_rush / (RATE * USUAL_SHARE * 4.0 * 12.0);
        assert!(shares[1] >= common / 4.0, "no rank starves: {shares:?}");
    }
}
