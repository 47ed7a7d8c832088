//! No policy ever places on a server that is leaving or gone, whatever news follow.

use proptest::prelude::*;
use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason};
use teaselglade_placement::baseline::{LeastLoad, PrefixAffinity, RoundRobin};
use teaselglade_placement::cost::{CostOptions, CostPolicy};
use teaselglade_placement::policy::{PlacementEvent, PlacementPolicy, PrefixChange, ServerPlacer};

use crate::fixture::{NEW_CARD, at, dispatched, facts, query, report};

const SERVERS: u32 = 4;

#[derive(Debug, Clone)]
enum FleetNews {
    Notice(u32),
    Gone(u32),
    Listed(u32),
    Report(u32, u32),
    Cache(u32, u64),
    Request,
}

fn news() -> impl Strategy<Value = FleetNews> {
    let server = 0..SERVERS;
    prop_oneof![
        1 => server.clone().prop_map(FleetNews::Notice),
        1 => server.clone().prop_map(FleetNews::Gone),
        3 => server.clone().prop_map(FleetNews::Listed),
        3 => (server.clone(), 0..40_u32).prop_map(|(server, load)| FleetNews::Report(server, load)),
        3 => (server, 0..20_u64).prop_map(|(server, block)| FleetNews::Cache(server, block)),
        8 => Just(FleetNews::Request),
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

fn event(news: &FleetNews, number: u64) -> Option<PlacementEvent> {
    let server = |index: &u32| ServerKey::new(*index);
    Some(match news {
        FleetNews::Notice(index) => PlacementEvent::ReclaimNoticed {
            server: server(index),
            deadline: at(number + 9),
        },
        FleetNews::Gone(index) => PlacementEvent::Gone {
            server: server(index),
        },
        FleetNews::Report(index, load) => PlacementEvent::Reported {
            server: server(index),
            report: report(*load, 20),
        },
        FleetNews::Cache(index, block) => PlacementEvent::CacheChanged {
            server: server(index),
            sequence: number,
            change: PrefixChange::Stored,
            prefix: *block,
        },
        FleetNews::Listed(_) | FleetNews::Request => return None,
    })
}

fn check(policy: Box<dyn PlacementPolicy>, history: &[FleetNews]) -> Result<(), TestCaseError> {
    let mut placement = ServerPlacer::new(policy);
    let mut open = Vec::new();
    for _ in 0..SERVERS {
        open.push(placement.add(facts(NEW_CARD, 40.0, true)));
    }
    let prefix = (0..20).collect::<Vec<u64>>().into();
    for (number, news) in (0..).zip(history) {
        if let FleetNews::Notice(index) | FleetNews::Gone(index) = news {
            open.retain(|server| *server != ServerKey::new(*index));
        }
        if let FleetNews::Listed(index) = news {
            placement.update(ServerKey::new(*index), facts(NEW_CARD, 41.0, true));
        }
        if let Some(event) = event(news, number) {
            placement.observe(at(number), &event);
            continue;
        }
        let mut query = query(640, 100);
        query.prefix = std::sync::Arc::clone(&prefix);
        match placement.place(at(number), &query) {
            Ok(found) => {
                prop_assert!(open.contains(&found.server));
                let sent = dispatched(u128::from(number), found.server, &prefix);
                placement.observe(at(number), &sent);
            }
            Err(refusal) => {
                prop_assert!(open.is_empty());
                prop_assert_eq!(refusal.verdict, ExecutionVerdict::NotRun);
                prop_assert_eq!(refusal.reason, RefusalReason::NoServer);
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn no_new_work_for_a_leaving_server(history in prop::collection::vec(news(), 1..80)) {
        for policy in policies() {
            check(policy, &history)?;
        }
    }
}
