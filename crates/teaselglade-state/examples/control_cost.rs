//! Measures the cost of the control planner for several fleet sizes.
//!
//! Run with `cargo run --release -p teaselglade-state --example control_cost`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::port::{
    CloudHost, EngineGoal, EngineStatus, HostOrder, HostPurchase, HostState, ListedHost, ListedRole,
};
use teaselglade_core::table::parse_table;
use teaselglade_core::time::Timestamp;
use teaselglade_state::control::{
    ControlAction, ControlEvent, ControlLimits, ControlOptions, ControlPlanner, ControlTerm,
    HostSlot,
};
use teaselglade_state::lease::LeaseNumber;
use teaselglade_wire::codec::to_json;
use teaselglade_wire::{CloudEntry, CloudOrder, CloudState, HostEntry, HostRole, PurchaseKind};

const SERVER_COUNTS: [usize; 4] = [75, 300, 1_200, 4_800];
const ZONES: usize = 16;
const SERVICES: usize = 10;
const INTERVALS: u64 = 2_000;

fn main() {
    println!("servers tick_us lists_us cloud_list_bytes host_list_bytes calls_per_tick");
    for servers in SERVER_COUNTS {
        measure(servers);
    }
    println!("peak resident set: {}", peak_memory());
}

fn peak_memory() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.unwrap_or("unknown").trim().to_owned()
}

fn measure(servers: usize) {
    let mut planner = planner(servers);
    let mut now = Timestamp::from_millis(1_000);
    let term = ControlTerm {
        number: LeaseNumber(7),
        valid_until: Timestamp::from_micros(u64::MAX),
    };
    planner.on_event(now, ControlEvent::LeaseChanged(Some(term)));
    let lists_start = Instant::now();
    read_lists(&mut planner, now, servers);
    let lists_time = lists_start.elapsed();
    let mut planning_time = Duration::ZERO;
    let mut calls = 0;
    for _interval in 0..INTERVALS {
        now = now + Duration::from_secs(1);
        let start = Instant::now();
        let actions = planner.on_event(now, ControlEvent::Tick);
        planning_time += start.elapsed();
        calls += actions.len();
        for action in actions {
            complete_action(&mut planner, now, servers, action);
        }
    }
    let cloud_entry_bytes =
        to_json(&cloud_entry(&cloud_host(servers - 1))).map_or(0, |json| json.len());
    let host_entry_bytes = to_json(&host_entry(servers - 1)).map_or(0, |json| json.len());
    println!(
        "{servers} {:.1} {} {} {} {:.2}",
        planning_time.as_secs_f64() * 1e6 / INTERVALS as f64,
        lists_time.as_micros(),
        cloud_entry_bytes * servers,
        host_entry_bytes * servers,
        calls as f64 / INTERVALS as f64
    );
}

fn planner(servers: usize) -> ControlPlanner {
    let mut planner = ControlPlanner::new(ControlOptions {
        host: "z0-e1".to_owned(),
        zone: "z0".to_owned(),
        offers: Vec::new(),
        profiles: Vec::new(),
        limits: ControlLimits::default(),
        seed: 1,
    });
    let mut table_csv = "kind,name,first_token_ms,token_gap_ms,fenced,min_servers\n".to_owned();
    for service in 0..SERVICES {
        let min_servers = servers.div_ceil(SERVICES);
        let row = format!("model,service-{service},360,47,yes,{min_servers}\n");
        table_csv.push_str(&row);
    }
    let table = parse_table(&table_csv).unwrap_or_default();
    planner.on_event(Timestamp::ZERO, ControlEvent::TableChanged(table));
    planner
}

fn read_lists(planner: &mut ControlPlanner, requested_at: Timestamp, servers: usize) {
    let hosts = (0..servers).map(listed_host).collect();
    planner.on_event(
        requested_at,
        ControlEvent::HostsRead {
            requested_at,
            hosts,
        },
    );
    let hosts = (0..servers).map(cloud_host).collect();
    planner.on_event(
        requested_at,
        ControlEvent::CloudRead {
            requested_at,
            hosts,
        },
    );
}

fn complete_action(
    planner: &mut ControlPlanner,
    now: Timestamp,
    servers: usize,
    action: ControlAction,
) {
    match action {
        ControlAction::ReadCloud => read_lists(planner, now, servers),
        ControlAction::ReadEngine { host, .. } => {
            let index = host.as_str()[1..].parse().unwrap_or(0);
            let result = Ok(engine_status(index));
            planner.on_event(now, ControlEvent::EngineRead { host, result });
        }
        ControlAction::OrderEngine { host, order, .. } => {
            let result = Ok(order);
            planner.on_event(now, ControlEvent::EngineOrdered { host, result });
        }
        _ => {}
    }
}

fn engine_status(index: usize) -> EngineStatus {
    EngineStatus {
        number: 7,
        goal: EngineGoal {
            model: Some(service(index)),
            ..EngineGoal::default()
        },
    }
}

fn service(index: usize) -> String {
    format!("service-{}", index % SERVICES)
}

fn zone(index: usize) -> String {
    format!("z{}", (index / SERVICES) % ZONES)
}

fn cloud_host(index: usize) -> CloudHost {
    CloudHost {
        name: HostName::new(format!("h{index}")),
        state: HostState::Running,
        order: HostOrder {
            token: HostSlot::new(service(index), (index / SERVICES) as u32, 1).token(),
            service: service(index),
            zone: zone(index),
            class: "mid".to_owned(),
            purchase: HostPurchase::Reclaimable,
        },
        cents_per_hour: 60.0,
    }
}

fn listed_host(index: usize) -> ListedHost {
    ListedHost {
        name: HostName::new(format!("h{index}")),
        incarnation: HostIncarnation(1),
        role: ListedRole::Backend,
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        zone: zone(index),
        class: "mid".to_owned(),
        service: service(index),
        cents_per_hour: 60.0,
        reclaimable: true,
        leaving: false,
    }
}

fn cloud_entry(host: &CloudHost) -> CloudEntry {
    CloudEntry {
        name: host.name.to_string(),
        state: CloudState::Running,
        order: CloudOrder {
            token: host.order.token.clone(),
            service: host.order.service.clone(),
            zone: host.order.zone.clone(),
            class: host.order.class.clone(),
            purchase: PurchaseKind::Reclaimable,
        },
        cents_per_hour: host.cents_per_hour,
    }
}

fn host_entry(index: usize) -> HostEntry {
    let host = listed_host(index);
    HostEntry {
        name: host.name.to_string(),
        incarnation: 1,
        role: HostRole::Backend,
        address: host.address.to_string(),
        zone: host.zone,
        class: host.class,
        service: host.service,
        cents_per_hour: host.cents_per_hour,
        reclaimable: true,
        leaving: false,
    }
}
