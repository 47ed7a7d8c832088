//! At most one process acts at a time, and one acts again soon after the faults end.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_state::lease::LeaseTimings;

use crate::cluster::{LeaseCluster, LogFaults};

#[derive(Debug, Clone)]
enum Disruption {
    Pause(usize, u64),
    Kill(usize),
    Stop(usize),
    Outage(u64),
    Faults(f64, f64, f64, u64),
    DropOld(u64),
    Restore(u64),
    Quiet(u64),
}

fn disruption() -> impl Strategy<Value = Disruption> {
    prop_oneof![
        4 => (0_usize..4, 1_u64..60_000).prop_map(|(node, ms)| Disruption::Pause(node, ms)),
        1 => (0_usize..4).prop_map(Disruption::Kill),
        1 => (0_usize..4).prop_map(Disruption::Stop),
        1 => (1_000_u64..300_000).prop_map(Disruption::Outage),
        3 => (0.0..0.8, 0.0..0.5, 0.0..0.5, 1_000_u64..120_000)
            .prop_map(|(lost, rejected, late, ms)| Disruption::Faults(lost, rejected, late, ms)),
        1 => (0_u64..4).prop_map(Disruption::DropOld),
        2 => (0_u64..12).prop_map(Disruption::Restore),
        3 => (100_u64..40_000).prop_map(Disruption::Quiet),
    ]
}

fn apply(cluster: &mut LeaseCluster, disruption: &Disruption) {
    let nodes = cluster.nodes.len();
    match disruption {
        Disruption::Pause(node, ms) => cluster.pause(node % nodes, Duration::from_millis(*ms)),
        Disruption::Kill(node) => {
            cluster.kill(node % nodes);
            cluster.start("replaced", 1.0, Duration::ZERO);
        }
        Disruption::Stop(node) => {
            cluster.stop(node % nodes);
            cluster.start("restarted", 1.0, Duration::ZERO);
        }
        Disruption::Outage(ms) => {
            cluster.faults.is_down = true;
            cluster.run(Duration::from_millis(*ms));
            cluster.faults.is_down = false;
        }
        Disruption::Faults(lost_responses, rejected, delayed_writes, ms) => {
            cluster.faults = LogFaults {
                is_down: false,
                lost_responses: *lost_responses,
                rejected: *rejected,
                delayed_writes: *delayed_writes,
                max_delay: Duration::from_millis(*ms),
            };
        }
        Disruption::DropOld(keep) => cluster.drop_old(*keep),
        Disruption::Restore(lost) => cluster.restore_log(*lost),
        Disruption::Quiet(ms) => cluster.run(Duration::from_millis(*ms)),
    }
}

proptest! {
    #[test]
    fn at_most_one_process_acts_under_rising_numbers(
        seed in any::<u64>(),
        rates in prop::collection::vec(0.95..1.05, 2..5),
        offsets in prop::collection::vec(0_u64..1_000_000, 5),
        disruptions in prop::collection::vec(disruption(), 1..25),
    ) {
        let timings = LeaseTimings::default();
        let mut cluster = LeaseCluster::new(timings, seed);
        for (rate, offset) in rates.iter().zip(&offsets) {
            cluster.start("node", *rate, Duration::from_millis(*offset));
        }
        for disruption in &disruptions {
            apply(&mut cluster, disruption);
            cluster.run(Duration::from_millis(700));
        }
        cluster.faults = LogFaults::default();
        // Two minutes cover the longest pause and write delay; then up to three takeovers follow.
        cluster.run(Duration::from_mins(2) + 3 * (timings.takeover_wait + timings.term));
        prop_assert_eq!(cluster.active().len(), 1);
    }
}
