//! Measures how news spreads and what the exchange costs, by the number of hosts.
//!
//! Run it with `cargo run --release -p teaselglade-state --example propagation`. Time is virtual;
//! bytes are those of the encoded messages; processor time is this process's own.

#[path = "../tests/membership/virtual_fleet.rs"]
mod virtual_fleet;

use std::time::{Duration, Instant};

use teaselglade_core::id::HostName;

use virtual_fleet::{NetworkFaults, VirtualFleet};

const SIZES: [usize; 5] = [8, 16, 32, 64, 390];
const TRIALS: u64 = 20;
const QUIET_SPAN: Duration = Duration::from_mins(1);
const WAVE_NOTICES: usize = 99;
const PUSH_ROUND: Duration = Duration::from_millis(200);

fn main() {
    println!("hosts | notice to all, mean and worst of {TRIALS}, s | rounds | misses of 3 s");
    for size in SIZES {
        measure_notice(size);
    }
    println!("hosts | table to all, mean and worst of {TRIALS}, s");
    for size in SIZES {
        measure_table(size);
    }
    println!(
        "hosts | one host replaced in 60 s: sent B/s mean, max | messages/s | CPU us/s per node"
    );
    for size in SIZES {
        measure_quiet(size);
    }
    println!("hosts | wave of {WAVE_NOTICES}: s to all | sent B per node in the first 60 s");
    for size in SIZES {
        measure_wave(size);
    }
    println!(
        "hosts | table change every 23 s for 230 s: sent B/s mean | pulls per change and node"
    );
    for size in SIZES {
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

fn sent(fleet: &VirtualFleet) -> Vec<u64> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| node.machine.counts().sent_bytes).collect()
}

fn time_to(fleet: &mut VirtualFleet, is_done: impl Fn(&VirtualFleet) -> bool) -> f64 {
    let start = fleet.now;
    fleet.run_until(start + Duration::from_mins(2), is_done);
    (fleet.now - start).as_secs_f64()
}

fn measure_notice(size: usize) {
    let host = HostName::new("galway-s7");
    let times = (0..TRIALS).map(|seed| {
        let mut fleet = fleet(size, seed);
        fleet.notice(seed as usize % size, "galway-s7");
        time_to(&mut fleet, |fleet| {
            let mut nodes = fleet.nodes.iter();
            nodes.all(|node| node.leaving_hosts.contains_key(&host))
        })
    });
    let times = times.collect::<Vec<_>>();
    let (mean, worst) = mean_and_worst(&times);
    let rounds = mean / PUSH_ROUND.as_secs_f64();
    let misses = times.iter().filter(|time| **time > 3.0).count();
    println!("{size:5} | {mean:.2} {worst:.2} | {rounds:.1} | {misses}");
}

fn measure_table(size: usize) {
    let times = (0..TRIALS).map(|seed| {
        let mut fleet = fleet(size, seed);
        fleet.activate_table(seed as usize % size, 1);
        time_to(&mut fleet, |fleet| {
            fleet.nodes.iter().all(|node| node.table_version == 1)
        })
    });
    let (mean, worst) = mean_and_worst(&times.collect::<Vec<_>>());
    println!("{size:5} | {mean:.2} {worst:.2}");
}

fn measure_quiet(size: usize) {
    let mut fleet = fleet(size, 1);
    let before = sent(&fleet);
    let messages = |fleet: &VirtualFleet| {
        let nodes = fleet.nodes.iter();
        nodes
            .map(|node| node.machine.counts().sent_messages)
            .sum::<u64>()
    };
    let messages_before = messages(&fleet);
    fleet.replace(0);
    let start = Instant::now();
    fleet.run_for(QUIET_SPAN);
    let cpu = start.elapsed().as_micros() as f64 / QUIET_SPAN.as_secs_f64() / size as f64;
    let after = sent(&fleet);
    let rates = rates(&before[1..], &after[1..], QUIET_SPAN);
    let (mean, most) = mean_and_worst(&rates);
    let per_second = (messages(&fleet) - messages_before) as f64 / size as f64 / 60.0;
    println!("{size:5} | {mean:.0} {most:.0} | {per_second:.1} | {cpu:.0}");
}

fn measure_wave(size: usize) {
    let mut fleet = fleet(size, 1);
    let before = sent(&fleet);
    for index in 0..WAVE_NOTICES {
        fleet.notice(index % size.min(4), &format!("galway-s{index}"));
    }
    let time = time_to(&mut fleet, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.leaving_hosts.len() == WAVE_NOTICES)
    });
    fleet.run_for(Duration::from_secs_f64(60.0 - time.min(60.0)));
    let sent = rates(&before, &sent(&fleet), Duration::from_secs(1));
    let (mean, most) = mean_and_worst(&sent);
    println!("{size:5} | {time:.2} | {mean:.0} {most:.0}");
}

fn measure_changes(size: usize) {
    let mut fleet = fleet(size, 1);
    let before = sent(&fleet);
    for version in 1..=10 {
        fleet.activate_table(version as usize % size, version);
        fleet.run_for(Duration::from_secs(23));
    }
    let rates = rates(&before, &sent(&fleet), Duration::from_secs(230));
    let (mean, _) = mean_and_worst(&rates);
    let pulls = fleet.nodes.iter().map(|node| node.pulls).sum::<u64>();
    println!(
        "{size:5} | {mean:.0} | {:.2}",
        pulls as f64 / size as f64 / 10.0
    );
}

fn rates(before: &[u64], after: &[u64], span: Duration) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (after - before) as f64 / span.as_secs_f64())
        .collect()
}

fn mean_and_worst(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    (mean, values.iter().copied().fold(0.0, f64::max))
}
