//! Measures the propagation time and the cost of gossip by the number of hosts.
//!
//! Run with `cargo run --release -p teaselglade-state --example propagation`. Time is virtual;
//! bytes are those of the encoded messages; CPU time is approximated by elapsed real time.

#[path = "../tests/membership/virtual_fleet.rs"]
mod virtual_fleet;

use std::time::{Duration, Instant};

use teaselglade_core::id::HostName;

use virtual_fleet::{NetworkFaults, VirtualFleet};

const HOST_COUNTS: [usize; 5] = [8, 16, 32, 64, 390];
const TRIALS: u64 = 20;
const QUIET_PERIOD: Duration = Duration::from_mins(1);
const WAVE_NOTICES: usize = 99;
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

fn main() {
    println!("hosts | notice to all, mean and worst of {TRIALS}, s | rounds | misses of 3 s");
    for size in HOST_COUNTS {
        measure_notice(size);
    }
    println!("hosts | table to all, mean and worst of {TRIALS}, s");
    for size in HOST_COUNTS {
        measure_table(size);
    }
    println!(
        "hosts | one host replaced in 60 s: sent B/s mean, max | messages/s | CPU us/s per node"
    );
    for size in HOST_COUNTS {
        measure_quiet(size);
    }
    println!("hosts | wave of {WAVE_NOTICES}: s to all | sent B per node in the first 60 s");
    for size in HOST_COUNTS {
        measure_wave(size);
    }
    println!(
        "hosts | table change every 23 s for 230 s: sent B/s mean | pulls per change and node"
    );
    for size in HOST_COUNTS {
        measure_changes(size);
    }
}

fn fleet(size: usize, seed: u64) -> VirtualFleet {
    let mut fleet = VirtualFleet::new(size, seed, true);
    fleet.faults = NetworkFaults {
        loss: 0.01,
        duplication: 0.01,
        max_delay: Duration::from_millis(40),
    };
    fleet.run_for(Duration::from_secs(3));
    fleet
}

fn sent_bytes(fleet: &VirtualFleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.machine.counts().sent_bytes).collect()
}

fn time_until(fleet: &mut VirtualFleet, is_done: impl Fn(&VirtualFleet) -> bool) -> f64 {
    let start = fleet.now;
    fleet.run_until(start + Duration::from_mins(2), is_done);
    (fleet.now - start).as_secs_f64()
}

fn measure_notice(size: usize) {
    let host = HostName::new("galway-s7");
    let times = (0..TRIALS).map(|seed| {
        let mut fleet = fleet(size, seed);
        fleet.notice(seed as usize % size, "galway-s7");
        time_until(&mut fleet, |fleet| {
            let mut nodes = fleet.nodes.iter();
            nodes.all(|node| node.leaving_hosts.contains_key(&host))
        })
    });
    let times = times.collect::<Vec<_>>();
    let (mean, max) = mean_and_max(&times);
    let rounds = mean / PUSH_INTERVAL.as_secs_f64();
    let misses = times.iter().filter(|time| **time > 3.0).count();
    println!("{size:5} | {mean:.2} {max:.2} | {rounds:.1} | {misses}");
}

fn measure_table(size: usize) {
    let times = (0..TRIALS).map(|seed| {
        let mut fleet = fleet(size, seed);
        fleet.activate_table(seed as usize % size, 1);
        time_until(&mut fleet, |fleet| {
            fleet.nodes.iter().all(|node| node.table_version == 1)
        })
    });
    let (mean, max) = mean_and_max(&times.collect::<Vec<_>>());
    println!("{size:5} | {mean:.2} {max:.2}");
}

fn measure_quiet(size: usize) {
    let mut fleet = fleet(size, 1);
    let bytes_before = sent_bytes(&fleet);
    let messages = |fleet: &VirtualFleet| {
        let nodes = fleet.nodes.iter();
        nodes
            .map(|node| node.machine.counts().sent_messages)
            .sum::<u64>()
    };
    let messages_before = messages(&fleet);
    fleet.replace(0);
    let start = Instant::now();
    fleet.run_for(QUIET_PERIOD);
    let cpu_micros = start.elapsed().as_micros() as f64 / QUIET_PERIOD.as_secs_f64() / size as f64;
    let bytes_after = sent_bytes(&fleet);
    let rates = rates(&bytes_before[1..], &bytes_after[1..], QUIET_PERIOD);
    let (mean, max) = mean_and_max(&rates);
    let messages_per_second = (messages(&fleet) - messages_before) as f64 / size as f64 / 60.0;
    println!("{size:5} | {mean:.0} {max:.0} | {messages_per_second:.1} | {cpu_micros:.0}");
}

fn measure_wave(size: usize) {
    let mut fleet = fleet(size, 1);
    let bytes_before = sent_bytes(&fleet);
    for index in 0..WAVE_NOTICES {
        fleet.notice(index % size.min(4), &format!("galway-s{index}"));
    }
    let time = time_until(&mut fleet, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.leaving_hosts.len() == WAVE_NOTICES)
    });
    fleet.run_for(Duration::from_secs_f64(60.0 - time.min(60.0)));
    let rates = rates(&bytes_before, &sent_bytes(&fleet), Duration::from_secs(1));
    let (mean, max) = mean_and_max(&rates);
    println!("{size:5} | {time:.2} | {mean:.0} {max:.0}");
}

fn measure_changes(size: usize) {
    let mut fleet = fleet(size, 1);
    let bytes_before = sent_bytes(&fleet);
    for version in 1..=10 {
        fleet.activate_table(version as usize % size, version);
        fleet.run_for(Duration::from_secs(23));
    }
    let rates = rates(&bytes_before, &sent_bytes(&fleet), Duration::from_secs(230));
    let (mean, _) = mean_and_max(&rates);
    let pulls = fleet.nodes.iter().map(|node| node.pulls).sum::<u64>();
    println!(
        "{size:5} | {mean:.0} | {:.2}",
        pulls as f64 / size as f64 / 10.0
    );
}

fn rates(before: &[u64], after: &[u64], period: Duration) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (after - before) as f64 / period.as_secs_f64())
        .collect()
}

fn mean_and_max(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    (mean, values.iter().copied().fold(0.0, f64::max))
}
