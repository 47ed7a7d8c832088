//! Hosts are ordered, replaced and released.

use std::collections::BTreeSet;
use std::time::Duration;

use teaselglade_core::port::HostPurchase;
use teaselglade_core::table::parse_table;
use teaselglade_state::control::{ControlLimits, HostOffer};

use crate::fleet::{CallFaults, Fleet};
use crate::platform::{FakeHost, Platform};

const MINUTE: Duration = Duration::from_mins(1);

fn offer(zone: &str, purchase: HostPurchase, cents_per_hour: f64) -> HostOffer {
    HostOffer {
        zone: zone.to_owned(),
        class: "l4".to_owned(),
        purchase,
        cents_per_hour,
    }
}

/// Creates a fleet of one zone with one service and one lease holder.
fn fleet(columns: &str, values: &str) -> Fleet {
    let text = format!(
        "kind,name,first_token_ms,token_gap_ms,{columns}\nmodel,draft-fleet,360,47,{values}\n"
    );
    let platform = Platform {
        table: parse_table(&text).unwrap_or_default(),
        offers: vec![
            offer("galway", HostPurchase::Reclaimable, 60.0),
            offer("galway", HostPurchase::OnDemand, 160.0),
        ],
        entry_zones: BTreeSet::from(["galway".to_owned()]),
        ..Platform::default()
    };
    let mut fleet = Fleet::new(platform, 7);
    fleet.start_holder("galway", 1);
    fleet
}

fn purchases(fleet: &Fleet, purchase: HostPurchase) -> usize {
    let staying = fleet.platform.staying("draft-fleet");
    let is_purchased = |host: &&&FakeHost| host.order.purchase == purchase;
    staying.iter().filter(is_purchased).count()
}

fn reject(fleet: &mut Fleet, purchase: HostPurchase) {
    let kind = ("galway".to_owned(), "l4".to_owned(), purchase);
    fleet.platform.rejected_offers.insert(kind);
}

#[test]
fn reclaimable_hosts_are_ordered_first() {
    let mut fleet = fleet("min_servers", "3");
    fleet.run(MINUTE);
    assert_eq!(purchases(&fleet, HostPurchase::Reclaimable), 3);
    assert_eq!(purchases(&fleet, HostPurchase::OnDemand), 0);
}

#[test]
fn on_demand_hosts_are_ordered_if_reclaimable_ones_are_refused() {
    let mut fleet = fleet("min_servers", "3");
    reject(&mut fleet, HostPurchase::Reclaimable);
    fleet.run(MINUTE);
    assert_eq!(purchases(&fleet, HostPurchase::OnDemand), 3);
}

#[test]
fn refused_orders_back_off() {
    let mut fleet = fleet("min_servers", "1");
    reject(&mut fleet, HostPurchase::Reclaimable);
    reject(&mut fleet, HostPurchase::OnDemand);
    fleet.run(MINUTE * 60);
    // The wait for an offer doubles from at least 2.5 s to at least 150 s, so there are fewer than
    // 32 attempts per hour.
    assert!(fleet.orders_sent <= 2 * 32, "{} orders", fleet.orders_sent);
}

#[test]
fn spending_limit_holds_back_orders() {
    let mut fleet = fleet("min_servers,spend_cents_per_hour", "5,200");
    fleet.run(MINUTE);
    // Three reclaimable hosts cost 180 cents; a fourth would cost 240.
    assert_eq!(fleet.platform.staying("draft-fleet").len(), 3);
}

#[test]
fn lost_orders_stay_within_the_spending_limit() {
    let mut fleet = fleet("min_servers,spend_cents_per_hour", "6,350");
    fleet.faults = CallFaults {
        lost_responses: 0.3,
        dropped: 0.3,
        ..CallFaults::default()
    };
    for second in 0..300 {
        if second % 40 == 0 {
            reject(&mut fleet, HostPurchase::Reclaimable);
        } else if second % 40 == 20 {
            fleet.platform.rejected_offers.clear();
        }
        fleet.run(Duration::from_secs(1));
        let staying = fleet.platform.staying("draft-fleet");
        let cents = staying.iter().map(|host| host.cents_per_hour).sum::<f64>();
        assert!(cents <= 350.0, "{cents} cents after {second} s");
    }
}

#[test]
fn lower_spending_limit_releases_the_most_expensive_host() {
    let mut fleet = fleet("min_servers,fenced,spend_cents_per_hour", "2,yes,400");
    reject(&mut fleet, HostPurchase::Reclaimable);
    fleet.run(MINUTE * 2);
    assert_eq!(purchases(&fleet, HostPurchase::OnDemand), 2);
    fleet.platform.rejected_offers.clear();
    let text = "kind,name,first_token_ms,token_gap_ms,min_servers,fenced,spend_cents_per_hour
model,draft-fleet,360,47,2,yes,250
";
    fleet.platform.table = parse_table(text).unwrap_or_default();
    fleet.publish();
    fleet.run(MINUTE * 2);
    assert_eq!(purchases(&fleet, HostPurchase::OnDemand), 1);
    assert_eq!(purchases(&fleet, HostPurchase::Reclaimable), 1);
}

#[test]
fn hosts_that_the_row_does_not_permit_are_not_ordered() {
    let mut fleet = fleet("min_servers,classes", "2,h100");
    fleet.run(MINUTE);
    assert!(fleet.platform.hosts.is_empty());
}

#[test]
fn lost_responses_start_no_host_twice() {
    let mut fleet = fleet("min_servers", "4");
    fleet.faults = CallFaults {
        lost_responses: 0.5,
        ..CallFaults::default()
    };
    fleet.run(MINUTE * 5);
    assert_eq!(fleet.platform.hosts.len(), 4);
}

#[test]
fn host_with_reclaim_notice_is_replaced_before_it_is_gone() {
    let mut fleet = fleet("min_servers", "2");
    fleet.run(MINUTE);
    fleet.platform.send_notice(0, MINUTE);
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.platform.staying("draft-fleet").len(), 2);
}

#[test]
fn surplus_host_is_drained_before_it_is_released() {
    let mut fleet = fleet("min_servers,fenced", "3,yes");
    fleet.run(MINUTE * 2);
    fleet.platform.hosts[2].running = 1;
    let text = "kind,name,first_token_ms,token_gap_ms,min_servers,fenced
model,draft-fleet,360,47,2,yes
";
    fleet.platform.table = parse_table(text).unwrap_or_default();
    fleet.publish();
    fleet.run(MINUTE);
    let host = &fleet.platform.hosts[2];
    assert!(host.engine.goal.drain && host.ends_at.is_none());
    fleet.platform.hosts[2].running = 0;
    fleet.run(MINUTE);
    assert!(fleet.platform.hosts[2].ends_at.is_some());
    assert_eq!(fleet.platform.staying("draft-fleet").len(), 2);
}

#[test]
fn failed_host_is_released_and_replaced() {
    let mut fleet = fleet("min_servers", "4");
    fleet.run(MINUTE);
    fleet.platform.hosts[1].has_failed = true;
    let limits = ControlLimits::default();
    // Covers the next read of the idle lists, the absence timeout, and a fresh read with the order
    // of the replacement.
    fleet.run(limits.idle_interval + limits.absence_timeout + limits.max_list_age);
    assert!(fleet.platform.hosts[1].ends_at.is_some());
    let staying = fleet.platform.staying("draft-fleet");
    assert_eq!(staying.iter().filter(|host| !host.has_failed).count(), 4);
}

#[test]
fn empty_host_list_releases_no_host() {
    let mut fleet = fleet("min_servers", "4");
    fleet.run(MINUTE);
    for host in &mut fleet.platform.hosts {
        host.has_failed = true;
    }
    fleet.run(MINUTE * 30);
    assert!(
        fleet
            .platform
            .hosts
            .iter()
            .all(|host| host.ends_at.is_none())
    );
}

#[test]
fn on_demand_hosts_are_ordered_if_the_target_is_missed() {
    let mut fleet = fleet("min_servers", "2");
    fleet.run(MINUTE * 2);
    // The token gap target is 47 ms.
    fleet.platform.token_gap_micros = 60_000;
    fleet.run(MINUTE * 2);
    let text = "kind,name,first_token_ms,token_gap_ms,min_servers
model,draft-fleet,360,47,3
";
    fleet.platform.table = parse_table(text).unwrap_or_default();
    fleet.publish();
    fleet.run(MINUTE);
    assert_eq!(purchases(&fleet, HostPurchase::Reclaimable), 2);
    assert_eq!(purchases(&fleet, HostPurchase::OnDemand), 1);
}

#[test]
fn idle_lists_are_read_within_the_traffic_budget() {
    let mut fleet = fleet("min_servers", "3");
    fleet.run(MINUTE * 10);
    let before = fleet.list_reads;
    fleet.run(MINUTE * 60);
    let reads = fleet.list_reads - before;
    // Both lists take 430 KB at 1,200 servers; a budget of 6 KB per second is 21,600 KB per hour.
    assert!(reads * 430 <= 21_600, "{reads} reads");
}
