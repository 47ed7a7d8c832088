//! Parts of each zone's demand that leave it, under uneven demand and lost servers.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use teaselglade_routing::zone::{
    ServiceLoad, ZoneDirector, ZoneLoad, ZoneOutflow, ZonePlanner, ZonePrices, ZoneReport,
    ZoneRequest,
};

use super::fixture::at;

const SERVICE: &str = "draft-fleet";
/// Interval between two plans, and between two reports to hosts.
const PLAN_INTERVAL_MS: u64 = 400;
/// Share of the reports that get lost on the way to a host.
const LOST_REPORTS: f64 = 0.1;
/// Requests a second that one zone's servers do.
const ZONE_ROOM: f64 = 200.0;
const ZONE_SERVERS: u32 = 20;
/// Time from which an outflow must have settled.
const SETTLED_MS: u64 = 2_000;

/// Hosts that follow one planner, with demand and room of each zone as a share of its usual room.
struct ZoneFleet {
    hosts: Vec<(usize, ZoneDirector)>,
    planner: ZonePlanner,
    demand: fn(u64, usize) -> f64,
    room: fn(u64, usize) -> f64,
    zones: usize,
    prices: ZonePrices,
    rng: Pcg32,
}

/// What became of the requests of one plan interval.
struct FleetStep {
    now_ms: u64,
    /// Outflow of each zone, as planned.
    outflows: Vec<ZoneOutflow>,
    /// Requests by the zone of their callers and the zone that they were sent to.
    sent: Vec<Vec<f64>>,
    /// Share of all requests that their zone has no room for.
    late_share: f64,
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

fn quick_links() -> ZonePrices {
    ZonePrices {
        trip: Duration::from_millis(3),
        byte_cost_ms_per_kb: 0.0,
    }
}

impl ZoneFleet {
    fn new(hosts: usize, zones: usize, demand: fn(u64, usize) -> f64) -> Self {
        let prices = quick_links();
        let hosts = (0..hosts).map(|host| {
            let zone = host % zones;
            (zone, ZoneDirector::new(&zone_name(zone), prices))
        });
        Self {
            hosts: hosts.collect(),
            planner: ZonePlanner::default(),
            demand,
            room: |_, _| 1.0,
            zones,
            prices,
            rng: Pcg32::seed_from_u64(11),
        }
    }

    fn load(&self, now_ms: u64) -> ServiceLoad {
        let zones = (0..self.zones).map(|zone| {
            let room = (self.room)(now_ms, zone);
            ZoneLoad {
                zone: zone_name(zone),
                demand: (self.demand)(now_ms, zone) * ZONE_ROOM,
                room: room * ZONE_ROOM,
                servers: (room * f64::from(ZONE_SERVERS)).round() as u32,
            }
        });
        ServiceLoad {
            zones: zones.collect(),
            service_time: Duration::from_millis(100),
            crossing: self.prices.trip,
        }
    }

    fn run(&mut self, millis: u64) -> Vec<FleetStep> {
        let times = (0..millis).step_by(PLAN_INTERVAL_MS as usize);
        times.map(|now_ms| self.step(now_ms)).collect()
    }

    /// Plans, tells most hosts, and draws the requests of one interval.
    fn step(&mut self, now_ms: u64) -> FleetStep {
        let (now, load) = (at(now_ms), self.load(now_ms));
        self.planner.update(now, SERVICE, &load);
        let outflows: Vec<ZoneOutflow> = self.planner.outflows(now).cloned().collect();
        let mut sent = vec![vec![0.0; self.zones]; self.zones];
        let hosts_of = |zone| {
            let peers = self.hosts.iter().filter(|(other, _)| *other == zone);
            peers.count().max(1) as f64
        };
        let host_counts: Vec<f64> = (0..self.zones).map(hosts_of).collect();
        for (zone, director) in &mut self.hosts {
            if !self.rng.random_bool(LOST_REPORTS) {
                let outflows = outflows.clone();
                director.apply_report(now, ZoneReport { outflows });
            }
            let seconds = PLAN_INTERVAL_MS as f64 / 1_000.0;
            let requests = load.zones[*zone].demand * seconds / host_counts[*zone];
            let jitter = self.rng.random_range(0.0..1.0);
            for _ in 0..(requests + jitter) as usize {
                let request = ZoneRequest {
                    service: SERVICE,
                    work: 1.0,
                    bytes: self.rng.random_range(500.0..20_000.0),
                    target: Duration::from_millis(500),
                    shared_part: None,
                    saved_at_home: 0.0,
                };
                let choice = director.choose(now, &request);
                let is_target = |to: &usize| Some(zone_name(*to)) == choice.leaves_to;
                let target = (0..self.zones).find(is_target).unwrap_or(*zone);
                sent[*zone][target] += 1.0 / seconds;
            }
        }
        let total: f64 = sent.iter().flatten().sum();
        let excess = (0..self.zones).map(|to| {
            let received: f64 = sent.iter().map(|targets| targets[to]).sum();
            (received - load.zones[to].room).max(0.0)
        });
        let late_share = excess.sum::<f64>() / total;
        FleetStep {
            now_ms,
            outflows,
            sent,
            late_share,
        }
    }
}

impl FleetStep {
    /// Returns the planned share that leaves a zone.
    fn share(&self, zone: usize) -> f64 {
        let name = zone_name(zone);
        let outflow = self.outflows.iter().find(|flow| flow.from == name);
        outflow.map_or(0.0, ZoneOutflow::share)
    }

    /// Returns the share of a zone's requests that were sent elsewhere.
    fn sent_share(&self, zone: usize) -> f64 {
        let total: f64 = self.sent[zone].iter().sum();
        1.0 - self.sent[zone][zone] / total
    }
}

fn mean(values: impl Iterator<Item = f64> + Clone) -> f64 {
    values.clone().sum::<f64>() / values.count().max(1) as f64
}

/// Returns the least late share that any constant outflow of zone 0 allows.
fn least_late_share(load: &ServiceLoad) -> f64 {
    let total: f64 = load.zones.iter().map(|zone| zone.demand).sum();
    let others = &load.zones[1..];
    let spare: f64 = others.iter().map(|zone| zone.room - zone.demand).sum();
    let late_shares = (0..=1_000).map(|step| {
        let sent = load.zones[0].demand * f64::from(step) / 1_000.0;
        let kept_excess = (load.zones[0].demand - sent - load.zones[0].room).max(0.0);
        (kept_excess + (sent - spare).max(0.0)) / total
    });
    late_shares.fold(f64::INFINITY, f64::min)
}

fn assert_equal_zones_keep_their_traffic(hosts: usize, zones: usize) {
    // Demand differs by up to a tenth from one plan to the next.
    let demand = |now_ms: u64, zone: usize| {
        0.65 + 0.065 * ((now_ms / PLAN_INTERVAL_MS * 7 + zone as u64 * 3) % 10) as f64 / 10.0
    };
    let steps = ZoneFleet::new(hosts, zones, demand).run(20_000);
    let total: f64 = steps
        .iter()
        .flat_map(|step| step.sent.iter().flatten())
        .sum();
    let home: f64 = steps
        .iter()
        .flat_map(|step| (0..zones).map(|zone| step.sent[zone][zone]))
        .sum();
    assert!(home / total >= 0.97, "{hosts} hosts: {} stay", home / total);
}

fn assert_zone_at_twice_its_room_spills(hosts: usize, zones: usize) {
    let demand = |_: u64, zone: usize| if zone == 0 { 2.0 } else { 0.5 };
    let mut fleet = ZoneFleet::new(hosts, zones, demand);
    let best = least_late_share(&fleet.load(0));
    let steps = fleet.run(20_000);
    let settled = || steps.iter().filter(|step| step.now_ms >= SETTLED_MS);
    let late_share = mean(settled().map(|step| step.late_share));
    assert!(
        late_share <= best + 0.02,
        "{late_share} late, {best} at best"
    );
    let last_share = steps.last().expect("a step").share(0);
    for step in settled() {
        let difference = (step.share(0) - last_share).abs();
        assert!(difference < 0.03, "not settled at {} ms", step.now_ms);
    }
    let highest = steps.iter().map(|step| step.share(0)).fold(0.0, f64::max);
    assert!(highest <= 1.1 * last_share, "{highest} of {last_share}");
    let sent_share = mean(settled().map(|step| step.sent_share(0)));
    assert!((sent_share - last_share).abs() < 0.03, "{sent_share} sent");
}

fn assert_waves_out_of_phase_do_not_flap(hosts: usize, zones: usize) {
    let demand = |now_ms: u64, zone: usize| {
        let phase = now_ms as f64 / 40_000.0 + zone as f64 / 3.0;
        0.8 + 0.3 * (phase * std::f64::consts::TAU).sin()
    };
    let steps = ZoneFleet::new(hosts, zones, demand).run(120_000);
    let late_share = mean(steps.iter().map(|step| step.late_share));
    assert!(late_share <= 0.02, "{late_share} late");
    for zone in 0..zones {
        let starts = steps.windows(2).filter(|pair| {
            let (before, after) = (pair[0].share(zone), pair[1].share(zone));
            before <= 0.0 && after > 0.0
        });
        // Three waves, each of which may send once.
        assert!(starts.count() <= 3, "zone {zone} of {hosts} hosts");
    }
}

#[test]
fn equal_zones_in_balance_keep_their_traffic_at_home() {
    for (hosts, zones) in [(7, 4), (24, 4), (24, 6)] {
        assert_equal_zones_keep_their_traffic(hosts, zones);
    }
}

#[test]
fn a_zone_at_twice_its_room_sends_what_the_others_have_room_for() {
    for (hosts, zones) in [(7, 4), (24, 4), (24, 6)] {
        assert_zone_at_twice_its_room_spills(hosts, zones);
    }
}

#[test]
fn waves_out_of_phase_do_not_flap() {
    for (hosts, zones) in [(7, 4), (24, 4), (24, 6)] {
        assert_waves_out_of_phase_do_not_flap(hosts, zones);
    }
}

#[test]
fn large_fleets_follow_the_same_bounds() {
    for (hosts, zones) in [(86, 4), (86, 6), (195, 4), (195, 6)] {
        assert_equal_zones_keep_their_traffic(hosts, zones);
        assert_zone_at_twice_its_room_spills(hosts, zones);
        assert_waves_out_of_phase_do_not_flap(hosts, zones);
    }
}

#[test]
fn a_zone_that_loses_its_servers_spills_at_once_and_comes_home_in_steps() {
    let (lost_ms, returned_ms) = (4_000, 8_000);
    for zones in [4, 6] {
        let mut fleet = ZoneFleet::new(24, zones, |_, _| 0.6);
        fleet.room = |now_ms, zone| {
            let is_lost = zone == 0 && (4_000..8_000).contains(&now_ms);
            if is_lost { 0.0 } else { 1.0 }
        };
        let steps = fleet.run(20_000);
        for step in &steps {
            let share = step.share(0);
            if (lost_ms + 1_000..returned_ms).contains(&step.now_ms) {
                assert!(share > 0.999, "{share} leaves at {} ms", step.now_ms);
            }
        }
        let drops = steps
            .windows(2)
            .map(|pair| pair[0].share(0) - pair[1].share(0));
        let largest = drops.fold(0.0, f64::max);
        assert!(
            largest <= 0.11,
            "{largest} of the demand comes home in a step"
        );
        assert!(steps.last().expect("a step").share(0) <= 0.0);
        let late = steps.iter().filter(|step| step.late_share > 0.03);
        let last_late = late.map(|step| step.now_ms).max().unwrap_or_default();
        assert!(last_late < lost_ms + 1_000, "late at {last_late} ms");
    }
}

#[test]
fn slow_links_are_used_less_and_only_where_home_is_short_of_room() {
    let share_at = |trip_ms: u64, demand: fn(u64, usize) -> f64| {
        let mut fleet = ZoneFleet::new(24, 4, demand);
        fleet.prices.trip = Duration::from_millis(trip_ms);
        fleet.run(8_000).last().expect("a step").share(0)
    };
    let busy = |_: u64, zone: usize| if zone == 0 { 0.8 } else { 0.5 };
    let nearly_full = |_: u64, zone: usize| if zone == 0 { 0.93 } else { 0.5 };
    let overloaded = |_: u64, zone: usize| if zone == 0 { 2.0 } else { 0.5 };
    assert!(share_at(400, busy) <= 0.0);
    assert!(share_at(400, nearly_full) < share_at(3, nearly_full) / 2.0);
    // Half of the demand is more than home has room for, whatever the link costs.
    assert!(share_at(400, overloaded) > 0.45);
}

#[test]
fn at_any_load_no_zone_sends_and_receives_and_shares_are_bounded() {
    let mut rng = Pcg32::seed_from_u64(5);
    let mut planner = ZonePlanner::default();
    let mut zones: Vec<ZoneLoad> = Vec::new();
    for step in 0..4_000 {
        if step % 20 == 0 {
            let count = rng.random_range(1..=6);
            zones = (0..count)
                .map(|zone| ZoneLoad {
                    zone: zone_name(zone),
                    demand: 0.0,
                    room: 0.0,
                    servers: 0,
                })
                .collect();
        }
        for zone in &mut zones {
            if rng.random_bool(0.3) {
                zone.demand = rng.random_range(0.0..3.0) * f64::from(rng.random_range(0..2));
                zone.servers = rng.random_range(0..9);
                zone.room = f64::from(zone.servers) * 0.25;
            }
        }
        let load = ServiceLoad {
            zones: zones.clone(),
            service_time: Duration::from_millis(rng.random_range(1..400)),
            crossing: Duration::from_millis(rng.random_range(0..50)),
        };
        let now = at(step * 200);
        planner.update(now, SERVICE, &load);
        for outflow in planner.outflows(now) {
            let shares = outflow.targets.iter().map(|target| f64::from(target.share));
            assert!(shares.clone().all(|share| share > 0.0 && share <= 1.0));
            assert!(shares.sum::<f64>() <= 1.0 + 1e-5);
            for target in &outflow.targets {
                let sends = planner.outflows(now).any(|flow| flow.from == target.zone);
                assert!(!sends, "{} sends and receives", target.zone);
                let zone = zones.iter().find(|zone| zone.zone == target.zone);
                assert!(zone.is_some_and(|zone| zone.room > 0.0));
            }
        }
    }
}

#[test]
fn a_zone_whose_hosts_fall_silent_counts_as_cut_off() {
    let mut director = ZoneDirector::new("galway", quick_links());
    director.record_zone(at(0), "galway");
    director.record_zone(at(0), "sligo");
    assert!(!director.is_cut_off(at(1_000), "sligo"));
    assert!(director.is_cut_off(at(2_000), "sligo"));
    assert!(!director.is_cut_off(at(2_000), "galway"), "the own zone");
    assert!(!director.is_cut_off(at(2_000), "ennis"), "never heard");
}

#[test]
fn a_host_keeps_the_last_plan_for_a_while_and_then_sends_nothing() {
    let mut director = ZoneDirector::new("zone-0", quick_links());
    let load = ZoneFleet::new(4, 4, |_, zone| if zone == 0 { 2.0 } else { 0.5 }).load(0);
    let mut planner = ZonePlanner::default();
    planner.update(at(0), SERVICE, &load);
    let outflows = planner.outflows(at(0)).cloned().collect();
    director.apply_report(at(0), ZoneReport { outflows });
    assert!(director.outflow(at(1_900), SERVICE).is_some());
    assert!(director.outflow(at(2_100), SERVICE).is_none());
}

#[test]
fn small_requests_leave_first() {
    let mut director = ZoneDirector::new("zone-0", quick_links());
    let load = ZoneFleet::new(4, 4, |_, zone| if zone == 0 { 1.3 } else { 0.5 }).load(0);
    let mut planner = ZonePlanner::default();
    (0..20).for_each(|step| planner.update(at(step * 200), SERVICE, &load));
    let now = at(3_800);
    let outflows = planner.outflows(now).cloned().collect();
    director.apply_report(now, ZoneReport { outflows });
    let mut left = [0, 0];
    for index in 0..1_000 {
        let is_large = index % 2;
        let request = ZoneRequest {
            service: SERVICE,
            work: 1.0,
            bytes: [2_000.0, 200_000.0][is_large],
            target: Duration::from_millis(500),
            shared_part: None,
            saved_at_home: 0.0,
        };
        left[is_large] += usize::from(director.choose(now, &request).leaves_to.is_some());
    }
    assert!(left[0] > 4 * left[1], "{left:?}");
}

#[test]
fn a_shared_part_adds_to_the_charge_only_of_requests_that_stay() {
    let mut director = ZoneDirector::new("zone-0", quick_links());
    let load = ZoneFleet::new(4, 4, |_, zone| if zone == 0 { 1.3 } else { 0.5 }).load(0);
    let mut planner = ZonePlanner::default();
    (0..20).for_each(|step| planner.update(at(step * 200), SERVICE, &load));
    let now = at(3_800);
    let outflows = planner.outflows(now).cloned().collect();
    director.apply_report(now, ZoneReport { outflows });
    let request = ZoneRequest {
        service: SERVICE,
        work: 1.0,
        bytes: 2_000.0,
        target: Duration::from_millis(500),
        shared_part: Some(7),
        saved_at_home: 0.0,
    };
    director.record_placement(now, &request, "zone-1");
    let trip = quick_links().trip;
    let mut seen = [0, 0];
    for _request in 0..1_000 {
        let choice = director.choose(now, &request);
        let leaves = choice.leaves_to.is_some();
        let expected = if leaves { trip } else { trip * 2 };
        assert_eq!(choice.crossing, expected, "leaves: {leaves}");
        seen[usize::from(leaves)] += 1;
    }
    assert!(seen.iter().all(|count| *count > 50), "{seen:?}");
}

#[test]
fn a_huge_price_of_bytes_is_bounded() {
    for byte_cost_ms_per_kb in [1e300, f64::MAX] {
        let prices = ZonePrices {
            trip: Duration::from_millis(2),
            byte_cost_ms_per_kb,
        };
        let hour = Duration::from_hours(1);
        assert_eq!(prices.crossing(16_000.0), prices.trip + hour);
    }
}
