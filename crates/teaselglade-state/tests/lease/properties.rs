//! At most one process acts at a time, and one does again soon after the faults end.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_state::lease::LeaseTimings;

use crate::cluster::{LeaseCluster, LogFaults};

#[derive(Debug, Clone)]
enum Upset {
    Pause(usize, u64),
    Kill(usize),
    Stop(usize),
    Outage(u64),
    Faults(f64, f64, f64, u64),
    DropOld(u64),
    Quiet(u64),
}

fn upset() -> impl Strategy<Value = Upset> {
    prop_oneof![
        4 => (0_usize..4, 1_u64..60_000).prop_map(|(node, ms)| Upset::Pause(node, ms)),
        1 => (0_usize..4).prop_map(Upset::Kill),
        1 => (0_usize..4).prop_map(Upset::Stop),
        1 => (1_000_u64..300_000).prop_map(Upset::Outage),
        3 => (0.0..0.8, 0.0..0.5, 0.0..0.5, 1_000_u64..120_000)
            .prop_map(|(lost, refused, late, ms)| Upset::Faults(lost, refused, late, ms)),
        1 => (0_u64..4).prop_map(Upset::DropOld),
        3 => (100_u64..40_000).prop_map(Upset::Quiet),
    ]
}

fn apply(cluster: &mut LeaseCluster, upset: &Upset) {
    let nodes = cluster.nodes.len();
    match upset {
        Upset::Pause(node, ms) => cluster.pause(node % nodes, Duration::from_millis(*ms)),
        Upset::Kill(node) => {
            cluster.kill(node % nodes);
            cluster.start("replaced", 1.0, Duration::ZERO);
        }
        Upset::Stop(node) => {
            cluster.stop(node % nodes);
            cluster.start("restarted", 1.0, Duration::ZERO);
        }
        Upset::Outage(ms) => {
            cluster.faults.down = true;
            cluster.run(Duration::from_millis(*ms));
            cluster.faults.down = false;
        }
        Upset::Faults(lost_answers, refused, late_landings, ms) => {
            cluster.faults = LogFaults {
                down: false,
                lost_answers: *lost_answers,
                refused: *refused,
                late_landings: *late_landings,
                longest_delay: Duration::from_millis(*ms),
            };
        }
        Upset::DropOld(keep) => cluster.drop_old(*keep),
        Upset::Quiet(ms) => cluster.run(Duration::from_millis(*ms)),
    }
}

proptest! {
    #[test]
    fn at_most_one_process_acts_under_rising_numbers(
        seed in any::<u64>(),
        rates in prop::collection::vec(0.95..1.05, 2..5),
        offsets in prop::collection::vec(0_u64..1_000_000, 5),
        upsets in prop::collection::vec(upset(), 1..25),
    ) {
        let terms = LeaseTimings::default();
        let mut cluster = LeaseCluster::new(terms, seed);
        for (rate, offset) in rates.iter().zip(&offsets) {
            cluster.start("node", *rate, Duration::from_millis(*offset));
        }
        for upset in &upsets {
            apply(&mut cluster, upset);
            cluster.run(Duration::from_millis(700));
        }
        cluster.faults = LogFaults::default();
        // The longest pause and landing delay end, then three takeovers may be needed.
        cluster.run(Duration::from_mins(2) + 3 * (terms.takeover_wait + terms.term));
        prop_assert_eq!(cluster.active().len(), 1);
    }
}
