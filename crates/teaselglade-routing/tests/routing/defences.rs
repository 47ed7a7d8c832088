//! Defences that the tests of their features pass without; see the table in `docs/PROOFS.md`.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::capacity::RequestRank;
use teaselglade_routing::crash::{
    CrashLedger, CrashSubject, RequestContent, RequestHash, RequestSubjects, SubjectPermit,
    SubjectQuery, SubjectStanding,
};
use teaselglade_routing::gossip::name_hash;
use teaselglade_routing::limit::{
    IssuedCount, IssuerView, LimitNotice, PermitAnswer, PermitIssuer, PermitRequest, RequestLimit,
};
use teaselglade_routing::quota::{FleetSpend, QuotaLimiter, SpendReport};
use teaselglade_routing::registry::{
    ServerAdvice, ServerListing, ServerRegistration, ServerRegistry, StorePosition, UpdateScope,
};
use teaselglade_routing::share::{
    FlowDemand, ServiceFlows, ServiceRoom, ShareLimiter, ShareReport, ShareRequest,
};
use teaselglade_routing::speed::LastingSpeed;
use teaselglade_routing::table::{ServiceSpec, TableSpec};
use teaselglade_routing::zone::{
    ServiceLoad, ZoneDirector, ZoneLoad, ZoneOutflow, ZonePlanner, ZonePrices, ZoneRequest,
};

use super::fixture::{at, organisation, registration, route};

const SERVICE: &str = "desk";
const SERVER: u64 = 7;
const WHOLE_FLEET: IssuerView = IssuerView {
    may_issue: true,
    seen_share: 1.0,
};

fn subjects_of(body: &str) -> RequestSubjects<'static> {
    RequestSubjects::from(hash_of(body))
}

fn hash_of(body: &str) -> RequestHash {
    RequestHash::of(&RequestContent {
        method: "POST",
        host: "shop.example",
        target: "/book/7",
        organisation: "kati",
        body: body.as_bytes(),
        prompt: None,
    })
}

/// Records ends of servers under requests, given as time, server and body.
fn ledger_of(ends: &[(u64, u64, &str)]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for (time, server, body) in ends {
        ledger.record_end(at(*time), *server, "kati", subjects_of(body));
    }
    ledger
}

fn standing(ledger: &CrashLedger, now: Timestamp, body: &str) -> SubjectStanding {
    let subject = CrashSubject::Request(hash_of(body)).to_string();
    let reports = ledger.reports(now).into_iter();
    let mut found = reports.filter(|report| report.subject == subject);
    found
        .next()
        .map_or(SubjectStanding::Clear, |report| report.standing)
}

/// Servers end under a request that another host's evidence explains when it arrives.
#[test]
fn a_request_is_judged_only_after_evidence_that_explains_its_ends_had_time_to_arrive() {
    let mut ledger = ledger_of(&[(0, 1, "sound"), (500, 2, "sound"), (900, 3, "sound")]);
    let ends = [
        (0, 1, "bad"),
        (500, 2, "bad"),
        (900, 3, "bad"),
        (950, 4, "bad"),
        (980, 5, "bad"),
    ];
    let other = ledger_of(&ends);
    let query = SubjectQuery {
        organisation: "kati",
        subjects: subjects_of("sound"),
        is_repeat: false,
        may_try: true,
    };
    for now in (900..2_300).step_by(100) {
        ledger.prune(at(now));
        let standing = standing(&ledger, at(now), "sound");
        assert_eq!(standing, SubjectStanding::Contained, "{now}");
        let permit = ledger.permit(at(now), &query);
        assert!(matches!(permit, SubjectPermit::Refused { .. }), "{now}");
    }
    ledger.merge(at(2_300), &other.evidence(at(2_300), UpdateScope::All));
    ledger.prune(at(5_000));
    let standings = ["bad", "sound"].map(|body| standing(&ledger, at(5_000), body));
    assert_eq!(
        standings,
        [SubjectStanding::Quarantined, SubjectStanding::Clear]
    );
}

#[test]
fn ends_stop_counting_after_ten_minutes_without_more() {
    let mut ledger = ledger_of(&[(0, 1, "bad"), (500, 2, "bad")]);
    ledger.prune(at(590_000));
    assert_eq!(
        standing(&ledger, at(590_000), "bad"),
        SubjectStanding::Contained
    );
    ledger.prune(at(601_000));
    assert_eq!(
        standing(&ledger, at(601_000), "bad"),
        SubjectStanding::Clear
    );
}

/// Its registration lapses afterwards and comes back, written before the server said so.
#[test]
fn a_server_that_said_it_leaves_stays_away_when_its_registration_returns() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 10, 3))
        .expect("a server");
    registry.record_own_departure(at(100), key);
    registry.apply_removal(at(3_000), "i-1");
    registry.apply_registration(at(4_000), registration("i-1", 10, 4));
    assert_eq!(registry.of_service("draft-fleet").count(), 0);
    registry.apply_registration(at(5_000), registration("i-1", 11, 1));
    assert_eq!(registry.of_service("draft-fleet").count(), 1);
}

/// The response was sent before the registration lapsed and came back.
#[test]
fn a_rest_told_late_binds_the_registration_that_came_back() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 10, 1))
        .expect("a server");
    registry.apply_removal(at(1_000), "i-1");
    registry.apply_registration(at(2_000), registration("i-1", 10, 2));
    registry.record_rest(key, at(9_000));
    assert_eq!(registry.available(at(2_100), "draft-fleet").count(), 0);
    assert_eq!(registry.available(at(9_000), "draft-fleet").count(), 1);
}

#[test]
fn a_rest_beyond_the_longest_that_a_sound_server_asks_for_is_cut_to_it() {
    let advice = ServerAdvice::default().rest(Duration::from_hours(30));
    assert_eq!(advice.rest_time(), Some(Duration::from_hours(1)));
    assert_eq!(advice.excessive_rest(), Some(Duration::from_hours(30)));
}

/// A peer told of the server while the listing was on its way.
#[test]
fn a_listing_counts_up_to_its_position_in_the_store_whenever_the_news_came() {
    let at_offset = |id: &str, offset| ServerRegistration {
        position: StorePosition::of_record(0, offset),
        ..registration(id, 1, 1)
    };
    let mut registry = ServerRegistry::default();
    registry.apply_registration(at(1_100), at_offset("i-old", 3));
    registry.apply_registration(at(1_100), at_offset("i-new", 12));
    let listing = ServerListing {
        requested_at: at(1_000),
        end: StorePosition::before_offset(0, 9),
        registrations: Vec::new(),
        unreadable: Vec::new(),
    };
    registry.apply_listing(at(1_200), listing);
    assert!(registry.find("i-old").is_none());
    assert!(registry.find("i-new").is_some());
}

fn ask(issuer: &mut PermitIssuer, millis: u64) -> bool {
    let limit = RequestLimit::per_second(1.0);
    let answer = issuer.issue(at(millis), SERVER, limit, WHOLE_FLEET, Duration::ZERO);
    matches!(answer, PermitAnswer::Granted { .. })
}

fn report(issuer: &mut PermitIssuer, millis: u64, permits: u32) {
    let count = IssuedCount {
        server: SERVER,
        permits,
    };
    issuer.receive_issued(at(millis), "edge-2", 1, &[count]);
}

#[test]
fn a_repeated_request_gets_its_permit_while_old_ones_are_dropped() {
    let mut issuer = PermitIssuer::default();
    issuer.prune(at(0));
    ask(&mut issuer, 3_000);
    let request = PermitRequest {
        asker: 1,
        number: 5,
        notice: LimitNotice {
            server: SERVER,
            limit: Some(RequestLimit::per_second(1.0)),
            sent_age_ms: 10,
            named_age_ms: 0,
        },
        max_wait_ms: 0,
    };
    for millis in [4_100, 4_150, 4_250] {
        let limit = RequestLimit::per_second(1.0);
        let answer = issuer.answer(at(millis), &request, limit, WHOLE_FLEET);
        assert!(matches!(answer, PermitAnswer::Granted { .. }), "{millis}");
        issuer.prune(at(millis));
    }
    assert_eq!(issuer.issued()[0].permits, 1);
}

#[test]
fn an_issuer_that_takes_over_counts_the_permits_of_the_one_before() {
    let mut issuers = [PermitIssuer::default(), PermitIssuer::default()];
    for issuer in &mut issuers {
        issuer.prune(at(0));
        ask(issuer, 3_000);
        report(issuer, 3_000, 1);
    }
    let [mut informed, mut uninformed] = issuers;
    assert!(ask(&mut informed, 7_000) && ask(&mut uninformed, 7_000));
    report(&mut informed, 7_010, 3);
    assert!(!ask(&mut informed, 8_000));
    assert!(ask(&mut uninformed, 8_000));
}

#[test]
fn a_report_of_many_permits_stops_an_issuer_for_a_few_seconds_at_most() {
    let mut issuer = PermitIssuer::default();
    issuer.prune(at(0));
    ask(&mut issuer, 3_000);
    report(&mut issuer, 3_000, 1);
    report(&mut issuer, 4_000, 1_000);
    assert!(!ask(&mut issuer, 4_100));
    assert!(ask(&mut issuer, 9_000));
}

/// Returns a limiter of two hosts for a quota of 100 a second, of which 50 may come at once.
fn quota_limiter() -> QuotaLimiter {
    let mut limiter = QuotaLimiter::new(2);
    limiter.set_quotas(at(0), &[organisation("kati", "kati", 100.0)]);
    limiter
}

fn receive_spend(limiter: &mut QuotaLimiter, millis: u64, total: f64, rate: f64) {
    let demand = 0.0;
    let report = SpendReport {
        total,
        rate,
        demand,
    };
    let spend = HashMap::from([("kati".to_owned(), report)]);
    limiter.receive_spend(at(millis), "edge-2", 1, spend);
}

#[test]
fn what_a_peer_spends_until_its_next_report_counts_before_it_arrives() {
    let is_admitted = |rate| {
        let mut limiter = quota_limiter();
        receive_spend(&mut limiter, 0, 0.0, rate);
        limiter.admit(at(700), "kati", Some(10)).is_ok()
    };
    assert!(is_admitted(0.0));
    assert!(!is_admitted(100.0));
}

#[test]
fn a_new_aggregator_counts_what_peers_spent_since_the_last_aggregate() {
    let mut limiter = quota_limiter();
    let spend = FleetSpend {
        level: 50.0,
        rate: 100.0,
        demand: 100.0,
    };
    let spend = HashMap::from([("kati".to_owned(), spend)]);
    assert!(limiter.apply_aggregate(at(0), spend, 1.0));
    limiter.start_aggregating();
    receive_spend(&mut limiter, 400, 5_000.0, 100.0);
    let level = limiter.level("kati").expect("a quota");
    assert!((level - 10.0).abs() < 1e-6, "{level}");
}

#[test]
fn less_urgent_requests_leave_a_reserve_for_the_more_urgent_ones() {
    let mut limiter = quota_limiter();
    receive_spend(&mut limiter, 0, 0.0, 0.0);
    let urgent = limiter.admit_ranked(at(0), "kati", Some(10), RequestRank::new(0));
    assert_eq!(urgent, Ok(()));
    for _ in 0..100 {
        let _refused = limiter.admit_ranked(at(10), "kati", Some(1), RequestRank::new(2));
    }
    let level = limiter.level("kati").expect("a quota");
    assert!((9.0..=11.0).contains(&level), "{level}");
}

fn shared_table() -> TableSpec {
    let routes = [(0, 500), (1, 2_000)].map(|(priority, target_ms)| {
        let mut spec = route(&format!("kind-{priority}"), &format!("/{priority}/"));
        spec.priority = priority;
        spec.target = Duration::from_millis(target_ms);
        spec
    });
    TableSpec {
        version: 1,
        routes: routes.to_vec(),
        services: vec![ServiceSpec {
            name: SERVICE.to_owned(),
            max_connections: 100,
            engine: None,
            scaling: None,
        }],
        organisations: ["kati", "rafo"]
            .map(|name| organisation(name, name, 1.0))
            .to_vec(),
        ..TableSpec::default()
    }
}

/// Returns a report of hosts for whose demand one server of 10 a second is too little.
fn scarce_report(host: &str, hosts: u32, asked: f32) -> ShareReport {
    ShareReport {
        host: host.to_owned(),
        hosts,
        age_ms: 0,
        services: vec![ServiceFlows {
            service: name_hash(SERVICE),
            late: asked,
            per_server: 10.0,
            is_scarce: true,
            flows: vec![FlowDemand {
                organisation: name_hash("kati"),
                rank: 0,
                asked,
                used: 10.0,
            }],
        }],
    }
}

fn rebalance(limiter: &mut ShareLimiter, now: Timestamp) -> Vec<f64> {
    let room = ServiceRoom {
        service: SERVICE,
        servers: 1.0,
        least_per_server: 1.0,
    };
    limiter.rebalance(now, &[room]);
    let states = limiter.states().into_iter();
    states.map(|state| state.asked).collect()
}

#[test]
fn a_sum_of_fewer_hosts_replaces_no_fresh_one() {
    let mut limiter = ShareLimiter::new(1);
    limiter.set_table(&shared_table());
    limiter.set_fleet_size(10);
    limiter.receive(at(0), scarce_report("", 10, 1_000.0));
    assert_eq!(rebalance(&mut limiter, at(10)), [1_000.0]);
    limiter.receive(at(100), scarce_report("", 3, 300.0));
    assert_eq!(rebalance(&mut limiter, at(110)), [1_000.0]);
    // The earlier one is old by now.
    limiter.receive(at(1_500), scarce_report("", 3, 300.0));
    assert_eq!(rebalance(&mut limiter, at(1_510)), [300.0]);
}

#[test]
fn a_sum_of_fewer_hosts_than_the_own_peers_is_not_used() {
    let mut limiter = ShareLimiter::new(1);
    limiter.set_table(&shared_table());
    limiter.set_fleet_size(5);
    limiter.receive(at(0), scarce_report("", 2, 1_000.0));
    assert_eq!(rebalance(&mut limiter, at(10)), [1_000.0]);
    for host in ["edge-2", "edge-3", "edge-4"] {
        limiter.receive(at(100), scarce_report(host, 1, 200.0));
    }
    assert_eq!(rebalance(&mut limiter, at(110)), [600.0]);
}

/// More callers are refused than can return within the longest delay.
#[test]
fn callers_that_get_the_longest_delay_of_a_share_return_spread() {
    let mut limiter = ShareLimiter::new(1);
    limiter.set_table(&shared_table());
    limiter.set_fleet_size(10);
    limiter.receive(at(0), scarce_report("", 10, 1_000.0));
    rebalance(&mut limiter, at(10));
    let request = ShareRequest {
        service: SERVICE,
        organisation: "kati",
        rank: RequestRank::new(0),
        work: 1.0,
    };
    let refused = (0..400).filter_map(|_| limiter.admit(at(20), &request).err());
    let delays = refused.filter_map(|refusal| refusal.retry_after);
    let late: Vec<Duration> = delays
        .filter(|delay| *delay >= Duration::from_secs(1))
        .collect();
    assert!(late.len() > 300, "{}", late.len());
    for quarter in 0..4 {
        let from = Duration::from_millis(1_000 + quarter * 250);
        let span = from..=from + Duration::from_millis(250);
        let count = late.iter().filter(|delay| span.contains(delay)).count();
        assert!(
            count * 4 > late.len() / 2,
            "{quarter}: {count} of {}",
            late.len()
        );
    }
}

fn zone_load(demand: f64) -> ServiceLoad {
    let zones = [("galway", demand), ("sligo", 60.0)];
    let zones = zones.map(|(zone, demand)| ZoneLoad {
        zone: zone.to_owned(),
        demand,
        room: 200.0,
        servers: 20,
    });
    ServiceLoad {
        zones: zones.to_vec(),
        service_time: Duration::from_millis(100),
        crossing: Duration::from_millis(3),
    }
}

#[test]
fn an_outflow_does_not_follow_small_changes_of_demand() {
    let mut planner = ZonePlanner::default();
    for now in (0..8_000).step_by(400) {
        planner.update(at(now), SERVICE, &zone_load(300.0));
    }
    let settled: Vec<_> = planner.outflows(at(7_600)).cloned().collect();
    assert!(!settled.is_empty());
    let mut shares = BTreeSet::new();
    for (step, now) in (8_000..16_000).step_by(400).enumerate() {
        let demand = if step % 2 == 0 { 301.5 } else { 298.5 };
        planner.update(at(now), SERVICE, &zone_load(demand));
        let share = planner.outflows(at(now)).map(ZoneOutflow::share);
        shares.extend(share.map(|share| (share * 1e6).round() as u64));
    }
    assert_eq!(shares.len(), 1, "{shares:?}");
}

#[test]
fn crossings_paid_for_a_part_never_charge_more_than_the_target() {
    let prices = ZonePrices {
        trip: Duration::from_millis(3),
        byte_cost_ms_per_kb: 1.0,
    };
    let mut director = ZoneDirector::new("galway", prices);
    let request = ZoneRequest {
        service: SERVICE,
        work: 1.0,
        bytes: 20_000.0,
        target: Duration::from_millis(500),
        shared_part: Some(7),
        saved_at_home: 0.0,
    };
    for _ in 0..100 {
        director.record_placement(at(0), &request, "sligo");
    }
    let choice = director.choose(at(0), &request);
    assert_eq!(choice.crossing, request.target);
}

#[test]
fn one_odd_sample_makes_no_server_look_slow() {
    let mut speed = LastingSpeed::default();
    for _ in 0..40 {
        speed.observe(1.0, None, 1.0);
    }
    speed.observe(1_000.0, None, 1.0);
    assert!(speed.is_alike(), "{}", speed.time_ratio());
}

#[test]
fn an_estimate_from_few_samples_does_not_replace_one_from_many() {
    let mut speed = LastingSpeed::default();
    for _ in 0..40 {
        speed.observe(2.0, None, 1.0);
    }
    let known = speed.step();
    speed.adopt(0, 4);
    assert_eq!(speed.step(), known);
    speed.adopt(0, 20);
    assert_eq!(speed.step(), 0);
}
