//! Lease timings and identities.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::port::{ClockPort, LogPage, LogRecord};
use teaselglade_core::time::Timestamp;
use teaselglade_host::duty::{TermGuard, lease_identity, lease_timings};
use teaselglade_host::settings::DutySettings;
use teaselglade_net::clock::SuspendClock;
use teaselglade_state::lease::{LeaseAction, LeaseEvent, LeaseHolder, LeaseNumber, LeaseTimings};

#[test]
fn a_leader_stops_within_the_lease_term_and_a_rival_waits_longer() {
    for lease_term in [1_000, 3_000, 10_000].map(Duration::from_millis) {
        let timings = lease_timings(&DutySettings {
            reports_usage: true,
            orders_servers: true,
            usage_window: Duration::from_secs(5),
            lease_term,
        });
        assert!(timings.term <= lease_term);
        assert!(timings.takeover_wait > timings.term);
        assert!(timings.renew_interval * 2 < timings.term.checked_sub(timings.margin).unwrap());
    }
}

/// The call was prepared within the term and waited for longer.
#[test]
fn a_term_permits_no_call_after_it_or_under_another_number() {
    let clock = Arc::new(SuspendClock::start());
    let guard = TermGuard::new(Arc::clone(&clock));
    let number = LeaseNumber(7);
    assert!(!guard.allows(number));
    guard.set(Some(number), clock.now() + Duration::from_hours(1));
    assert!(guard.allows(number));
    assert!(!guard.allows(LeaseNumber(6)), "an earlier lease");
    guard.set(Some(number), clock.now());
    assert!(!guard.allows(number), "the term is over");
    guard.set(None, clock.now() + Duration::from_hours(1));
    assert!(!guard.allows(number), "the lease is lost");
}

/// Two hosts that start in the same microsecond claim the lease of an empty log at once.
#[test]
fn hosts_with_the_same_start_time_do_not_mistake_each_others_lease_for_their_own() {
    let names = ["edge-ennis-1", "edge-sligo-1"];
    let now = Timestamp::from_millis(1_000);
    let mut holders =
        names.map(|name| LeaseHolder::new(lease_identity(name, 77, 0), LeaseTimings::default(), 1));
    let empty = LogPage {
        first: 0,
        end: 0,
        records: Vec::new(),
    };
    let mut log = Vec::new();
    for holder in &mut holders {
        holder.on_event(now, LeaseEvent::Tick);
        for action in holder.on_event(now, LeaseEvent::Read(empty.clone())) {
            if let LeaseAction::Append(body) = action {
                log.push(body);
            }
        }
        for action in holder.on_event(now, LeaseEvent::Read(empty.clone())) {
            if let LeaseAction::Append(body) = action {
                log.push(body);
            }
        }
    }
    assert_eq!(log.len(), 2, "both claim");
    let records = log.into_iter().zip(0..).map(|(body, offset)| LogRecord {
        offset,
        appended: Timestamp::ZERO,
        body,
    });
    let page = LogPage {
        first: 0,
        end: 2,
        records: records.collect(),
    };
    let held = holders.each_mut().map(|holder| {
        holder.on_event(now, LeaseEvent::Appended);
        holder.on_event(now, LeaseEvent::Read(page.clone()));
        holder.active_number(now).is_some()
    });
    assert_eq!(held, [true, false]);
}
