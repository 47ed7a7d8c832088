//! No policy places requests on a leaving or gone server, whatever events follow.

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};
use teaselglade_placement::baseline::{LeastLoad, PrefixAffinity, RoundRobin};
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::{PlacementEvent, PlacementPolicy, PrefixChange, ServerPlacer};

use crate::fixture::{NEW_GPU_CLASS, at, attributes, dispatched, query, report};

const SERVERS: u32 = 4;

#[derive(Debug, Clone)]
enum FleetEvent {
    Notice(u32),
    Gone(u32),
    Listed(u32),
    Report(u32, u32),
    Cache(u32, u64),
    Request,
}

fn fleet_event() -> impl Strategy<Value = FleetEvent> {
    let server = 0..SERVERS;
    prop_oneof![
        1 => server.clone().prop_map(FleetEvent::Notice),
        1 => server.clone().prop_map(FleetEvent::Gone),
        3 => server.clone().prop_map(FleetEvent::Listed),
        3 => (server.clone(), 0..40_u32).prop_map(|(server, load)| FleetEvent::Report(server, load)),
        3 => (server, 0..20_u64).prop_map(|(server, block)| FleetEvent::Cache(server, block)),
        8 => Just(FleetEvent::Request),
    ]
}

fn policies() -> [Box<dyn PlacementPolicy>; 4] {
    [
        Box::new(RoundRobin::default()),
        Box::new(LeastLoad::default()),
        Box::new(PrefixAffinity::default()),
        Box::new(CostPolicy::new(CostOptions::default())),
    ]
}

fn placement_event(event: &FleetEvent, number: u64) -> Option<PlacementEvent> {
    let server = |index: &u32| ServerKey::new(*index);
    Some(match event {
        FleetEvent::Notice(index) => PlacementEvent::ReclaimNoticed {
            server: server(index),
            deadline: at(number + 9),
        },
        FleetEvent::Gone(index) => PlacementEvent::Gone {
            server: server(index),
        },
        FleetEvent::Report(index, load) => PlacementEvent::Reported {
            server: server(index),
            report: report(*load, 20),
        },
        FleetEvent::Cache(index, block) => PlacementEvent::CacheChanged {
            server: server(index),
            sequence: number,
            change: PrefixChange::Stored,
            prefix: *block,
        },
        FleetEvent::Listed(_) | FleetEvent::Request => return None,
    })
}

fn check_history(
    policy: Box<dyn PlacementPolicy>,
    history: &[FleetEvent],
) -> Result<(), TestCaseError> {
    let mut placer = ServerPlacer::new(policy);
    let mut available = Vec::new();
    for _ in 0..SERVERS {
        available.push(placer.add(attributes(NEW_GPU_CLASS, 40.0, true)));
    }
    let prefix = (0..20).collect::<Vec<u64>>().into();
    for (number, event) in (0..).zip(history) {
        if let FleetEvent::Notice(index) | FleetEvent::Gone(index) = event {
            available.retain(|server| *server != ServerKey::new(*index));
        }
        if let FleetEvent::Listed(index) = event {
            placer.update(
                ServerKey::new(*index),
                attributes(NEW_GPU_CLASS, 41.0, true),
            );
        }
        if let Some(event) = placement_event(event, number) {
            placer.observe(at(number), &event);
            continue;
        }
        let mut query = query(640, 100);
        query.prefix = std::sync::Arc::clone(&prefix);
        match placer.place(at(number), &query) {
            Ok(placement) => {
                prop_assert!(available.contains(&placement.server));
                let sent = dispatched(u128::from(number), placement.server, &prefix);
                placer.observe(at(number), &sent);
            }
            Err(refusal) => {
                prop_assert!(available.is_empty());
                prop_assert_eq!(refusal.verdict, ExecutionVerdict::NotRun);
                prop_assert_eq!(refusal.reason, RefusalReason::NoServer);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn leaving_servers_receive_no_new_requests(history in prop::collection::vec(fleet_event(), 1..80)) {
        for policy in policies() {
            check_history(policy, &history)?;
        }
    }
}
