//! Engines reach their desired state, whether or not they check fencing numbers.

use std::collections::BTreeSet;
use std::time::Duration;

use teaselglade_core::port::{EngineError, EngineGoal, EngineStatus, HostPurchase};
use teaselglade_core::table::parse_table;
use teaselglade_state::control::{ControlLimits, EngineProfile, HostOffer, RoleShare};

use crate::fleet::Fleet;
use crate::platform::Platform;

const MINUTE: Duration = Duration::from_mins(1);

fn fleet(fenced: &str) -> Fleet {
    let text = format!(
        "kind,name,first_token_ms,token_gap_ms,min_servers,fenced
model,draft-fleet,360,47,3,{fenced}
"
    );
    let platform = Platform {
        table: parse_table(&text).unwrap_or_default(),
        offers: vec![HostOffer {
            zone: "galway".to_owned(),
            class: "l4".to_owned(),
            purchase: HostPurchase::Reclaimable,
            cents_per_hour: 60.0,
        }],
        entry_zones: BTreeSet::from(["galway".to_owned()]),
        ..Platform::default()
    };
    Fleet::new(platform, 9)
}

fn stale_order() -> EngineStatus {
    EngineStatus {
        number: 1,
        goal: EngineGoal {
            model: Some("old-model".to_owned()),
            ..EngineGoal::default()
        },
    }
}

fn models(fleet: &Fleet) -> Vec<Option<&str>> {
    let hosts = fleet.platform.hosts.iter();
    hosts
        .map(|host| host.engine.goal.model.as_deref())
        .collect()
}

#[test]
fn engines_load_within_the_weight_stores_rate() {
    let mut fleet = fleet("yes");
    fleet.start_holder("galway", 1);
    fleet.run(MINUTE * 2);
    assert_eq!(models(&fleet), [Some("draft-fleet"); 3]);
    assert_eq!(fleet.platform.model_loads, 3);
    assert_eq!(fleet.platform.reservations, 3);
}

#[test]
fn fenced_engine_refuses_a_late_order_of_an_old_holder() {
    let mut fleet = fleet("yes");
    let first = fleet.start_holder("galway", 1);
    fleet.run(MINUTE * 2);
    fleet.revoke_lease(first);
    fleet.start_holder("galway", 5);
    fleet.run(MINUTE);
    let host = fleet.platform.hosts[0].name.clone();
    let rejected = fleet.platform.order_engine(&host, stale_order());
    assert_eq!(rejected, Err(EngineError::Fenced));
    assert_eq!(models(&fleet), [Some("draft-fleet"); 3]);
}

#[test]
fn engine_that_ignores_numbers_is_corrected_after_a_late_order() {
    let mut fleet = fleet("no");
    let first = fleet.start_holder("galway", 1);
    fleet.run(MINUTE * 2);
    fleet.revoke_lease(first);
    fleet.start_holder("galway", 5);
    fleet.run(MINUTE);
    let host = fleet.platform.hosts[0].name.clone();
    let accepted = fleet.platform.order_engine(&host, stale_order());
    assert_eq!(accepted, Ok(stale_order()));
    let limits = ControlLimits::default();
    // One read detects it; the reservation and the order follow within a few ticks.
    fleet.run(limits.unfenced_interval + Duration::from_secs(10));
    assert_eq!(models(&fleet), [Some("draft-fleet"); 3]);
    let corrected = fleet.trace.iter().any(|l| l.contains("engine_corrected"));
    assert!(corrected, "{:?}", fleet.trace);
}

#[test]
fn roles_are_assigned_and_kept_when_hosts_change() {
    let mut fleet = fleet("yes");
    fleet.profiles = vec![EngineProfile {
        roles: vec![RoleShare {
            role: "prefill".to_owned(),
            servers: 1,
        }],
        default_role: Some("decode".to_owned()),
        adapters: vec!["jewellery".to_owned()],
        ..EngineProfile::of_service("draft-fleet")
    }];
    fleet.start_holder("galway", 1);
    fleet.run(MINUTE * 2);
    let role = |index: usize, fleet: &Fleet| fleet.platform.hosts[index].engine.goal.role.clone();
    assert_eq!(role(0, &fleet).as_deref(), Some("prefill"));
    assert_eq!(role(1, &fleet).as_deref(), Some("decode"));
    fleet.platform.send_notice(0, Duration::from_secs(5));
    fleet.run(MINUTE * 2);
    let staying = fleet.platform.staying("draft-fleet");
    let prefill = staying
        .iter()
        .filter(|host| host.engine.goal.role.as_deref() == Some("prefill"));
    assert_eq!(prefill.count(), 1);
    assert!(
        staying
            .iter()
            .all(|host| host.engine.goal.adapters == ["jewellery"])
    );
}
