//! Limits that servers name: which response holds, and how many permits are issued.

use std::time::Duration;

use proptest::prelude::*;
use teaselglade_routing::gossip::{HostDigest, PeerMembership};
use teaselglade_routing::limit::{
    IssuerView, LimitLedger, LimitNotice, LimitWord, PermitAnswer, PermitIssuer, PermitRequest,
    RequestLimit,
};
use teaselglade_routing::registry::ServerRegistry;

use super::fixture::{at, registration};

const SERVER: u64 = 7;
const WHOLE_FLEET: IssuerView = IssuerView {
    may_issue: true,
    seen_share: 1.0,
};

fn limit(rate: f64) -> RequestLimit {
    RequestLimit::per_second(rate)
}

fn named(rate: f64) -> LimitWord {
    LimitWord::Named(limit(rate))
}

/// Returns a ledger that heard a limit of 2 a second: sent at 0, heard at 100 ms.
fn ledger_with_limit() -> LimitLedger {
    let mut ledger = LimitLedger::default();
    let change = ledger.record_response(at(100), SERVER, at(0), named(2.0));
    assert_eq!(change.and_then(|change| change.after), Some(limit(2.0)));
    ledger
}

fn notice(rate: Option<f64>, sent_age_ms: u64) -> LimitNotice {
    LimitNotice {
        server: SERVER,
        limit: rate.map(limit),
        sent_age_ms,
        named_age_ms: sent_age_ms.saturating_sub(10),
    }
}

/// Returns an issuer whose settling time has passed.
fn settled_issuer() -> PermitIssuer {
    let mut issuer = PermitIssuer::default();
    issuer.prune(at(0));
    issuer
}

fn is_granted(answer: PermitAnswer) -> bool {
    matches!(answer, PermitAnswer::Granted { .. })
}

#[test]
fn a_response_to_an_older_request_changes_no_limit() {
    let mut ledger = ledger_with_limit();
    ledger.record_response(at(200), SERVER, at(150), named(3.0));
    assert!(
        ledger
            .record_response(at(900), SERVER, at(120), named(9.0))
            .is_none()
    );
    assert_eq!(ledger.limit(SERVER), Some(limit(3.0)));
}

#[test]
fn a_limit_ends_only_with_a_response_to_a_request_sent_after_it_was_named() {
    let mut ledger = ledger_with_limit();
    // Its request was on the way when the server named the limit.
    ledger.record_response(at(110), SERVER, at(90), LimitWord::Absent);
    assert_eq!(ledger.limit(SERVER), Some(limit(2.0)));
    // An older request whose response still named it was answered at 300 ms.
    ledger.record_response(at(300), SERVER, at(0), named(2.0));
    ledger.record_response(at(310), SERVER, at(200), LimitWord::Absent);
    assert_eq!(ledger.limit(SERVER), Some(limit(2.0)));
    let change = ledger.record_response(at(400), SERVER, at(350), LimitWord::Absent);
    assert_eq!(change.map(|change| change.after), Some(None));
    assert_eq!(ledger.limit(SERVER), None);
}

#[test]
fn a_limit_that_ended_comes_back_only_with_a_newer_response() {
    let mut ledger = ledger_with_limit();
    ledger.record_response(at(400), SERVER, at(350), LimitWord::Absent);
    ledger.record_response(at(500), SERVER, at(300), named(2.0));
    assert_eq!(ledger.limit(SERVER), None);
    ledger.record_response(at(600), SERVER, at(450), named(1.0));
    assert_eq!(ledger.limit(SERVER), Some(limit(1.0)));
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    let mut ledger = ledger_with_limit();
    let change = ledger.record_response(at(900), SERVER, at(800), LimitWord::Unreadable);
    assert!(change.is_none());
    assert_eq!(ledger.limit(SERVER), Some(limit(2.0)));
}

#[test]
fn a_host_takes_over_what_others_heard_later() {
    let mut ledger = LimitLedger::default();
    assert_eq!(ledger.merge(at(100), &[notice(None, 10)]), []);
    assert_eq!(ledger.merge(at(200), &[notice(Some(4.0), 50)]).len(), 1);
    assert_eq!(ledger.merge(at(900), &[notice(Some(9.0), 900)]).len(), 0);
    assert_eq!(ledger.limit(SERVER), Some(limit(4.0)));
    assert_eq!(ledger.merge(at(1_000), &[notice(None, 20)]).len(), 1);
    assert_eq!(ledger.limit(SERVER), None);
    // What peers told is not told again, so that it cannot circulate.
    assert_eq!(ledger.notices(at(1_010), 1, true), []);
    assert_eq!(ledger.notices(at(1_010), 1, false).len(), 1);
}

#[test]
fn limits_that_hold_are_repeated_and_those_of_servers_that_are_gone_are_dropped() {
    let mut ledger = ledger_with_limit();
    let repeats = (0..10).map(|number| ledger.notices(at(60_000), number, true).len());
    assert_eq!(repeats.sum::<usize>(), 2);
    ledger.prune(at(60_000), |server| server == SERVER);
    assert_eq!(ledger.limited_servers(), 1);
    ledger.prune(at(60_000), |_| false);
    assert!(ledger.is_empty());
}

#[test]
fn a_host_that_just_started_issues_nothing() {
    let mut issuer = PermitIssuer::default();
    issuer.prune(at(0));
    for millis in (0..2_000).step_by(50) {
        let wait = Duration::from_secs(9);
        let answer = issuer.issue(at(millis), SERVER, limit(50.0), WHOLE_FLEET, wait);
        assert!(!is_granted(answer));
    }
    let later = issuer.issue(at(2_100), SERVER, limit(50.0), WHOLE_FLEET, Duration::ZERO);
    assert!(is_granted(later));
}

#[test]
fn a_host_that_sees_few_others_or_ranks_low_issues_nothing() {
    for (may_issue, seen_share) in [(true, 0.1), (false, 1.0)] {
        let view = IssuerView {
            may_issue,
            seen_share,
        };
        let mut issuer = settled_issuer();
        for millis in (3_000..30_000).step_by(100) {
            let answer = issuer.issue(at(millis), SERVER, limit(50.0), view, Duration::ZERO);
            assert!(!is_granted(answer));
        }
    }
}

#[test]
fn a_limit_of_zero_still_lets_one_request_through_in_ten_seconds() {
    let mut issuer = settled_issuer();
    let answers = (3_000..103_000)
        .step_by(100)
        .map(|millis| issuer.issue(at(millis), SERVER, limit(0.0), WHOLE_FLEET, Duration::ZERO));
    let granted = answers.filter(|answer| is_granted(*answer)).count();
    assert!((9..=10).contains(&granted), "{granted}");
}

#[test]
fn a_repeated_request_gets_the_permit_of_the_first_one() {
    let mut issuer = settled_issuer();
    // Starts the bucket, which holds one permit a second later.
    issuer.issue(at(3_000), SERVER, limit(1.0), WHOLE_FLEET, Duration::ZERO);
    let mut ask = |millis, number| {
        let request = PermitRequest {
            asker: 1,
            number,
            notice: notice(Some(1.0), 10),
            max_wait_ms: 0,
        };
        issuer.answer(at(millis), &request, limit(1.0), WHOLE_FLEET)
    };
    assert!(is_granted(ask(4_100, 5)));
    assert!(is_granted(ask(4_150, 5)));
    assert!(!is_granted(ask(4_150, 6)));
    assert_eq!(issuer.issued()[0].permits, 1);
}

#[test]
fn a_permit_that_is_given_back_is_issued_again() {
    let mut issuer = settled_issuer();
    issuer.issue(at(3_000), SERVER, limit(1.0), WHOLE_FLEET, Duration::ZERO);
    let ask = |issuer: &mut PermitIssuer| {
        issuer.issue(at(4_100), SERVER, limit(1.0), WHOLE_FLEET, Duration::ZERO)
    };
    assert!(is_granted(ask(&mut issuer)));
    assert!(!is_granted(ask(&mut issuer)));
    issuer.take_back(SERVER);
    assert!(is_granted(ask(&mut issuer)));
}

#[test]
fn a_turn_is_promised_ahead_only_within_the_wait_that_the_caller_has() {
    let mut issuer = settled_issuer();
    issuer.issue(at(3_000), SERVER, limit(10.0), WHOLE_FLEET, Duration::ZERO);
    let mut waits = Vec::new();
    for _ in 0..6 {
        let wait = Duration::from_millis(250);
        waits.push(issuer.issue(at(3_000), SERVER, limit(10.0), WHOLE_FLEET, wait));
    }
    let granted = [106, 211];
    let expected: Vec<PermitAnswer> = granted
        .into_iter()
        .map(|wait_ms| PermitAnswer::Granted { wait_ms })
        .chain([PermitAnswer::Denied { wait_ms: 316 }; 4])
        .collect();
    assert_eq!(waits, expected);
}

#[test]
fn placements_leave_out_a_server_whose_permit_was_denied() {
    let mut registry = ServerRegistry::default();
    let key = registry
        .apply_registration(at(0), registration("i-1", 1, 1))
        .expect("a new server");
    registry.record_permit_denial(key, at(500));
    assert_eq!(registry.available(at(100), "draft-fleet").count(), 0);
    assert_eq!(registry.next_return(at(100), "draft-fleet"), Some(at(500)));
    assert!(registry.awaits_permit(at(100), "draft-fleet"));
    assert!(!registry.awaits_permit(at(500), "draft-fleet"));
    assert_eq!(registry.available(at(500), "draft-fleet").count(), 1);
}

/// Returns the digest of a host, of which the fourth one is the leader.
fn digest(number: usize) -> HostDigest {
    let mut digest = super::membership::digest(&format!("edge-{number}"), 1, 1);
    digest.host.address.set_port(7_600 + number as u16);
    digest.is_leader = number == 3;
    ["ennis", "galway"][number % 2].clone_into(&mut digest.zone);
    digest
}

#[test]
fn all_hosts_choose_the_same_issuer_and_servers_are_spread_over_three() {
    let hosts = 9;
    let address = |number: usize| digest(number).host.address;
    let memberships: Vec<PeerMembership> = (0..hosts)
        .map(|own| {
            let zone = &digest(own).zone;
            let mut membership = PeerMembership::new(format!("edge-{own}"), 1).in_zone(zone);
            membership.set_store_reachable(true);
            membership.set_leader(own == 3);
            for peer in (0..hosts).filter(|peer| *peer != own) {
                membership.record_digest(at(0), &digest(peer));
            }
            membership
        })
        .collect();
    let mut used = std::collections::HashSet::new();
    for server in 0..60_u64 {
        let server = server.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let issuers = memberships.iter().enumerate().map(|(own, membership)| {
            let issuer = membership.permit_issuer(at(10), server);
            issuer.unwrap_or_else(|| address(own))
        });
        let issuers: std::collections::HashSet<_> = issuers.collect();
        assert_eq!(issuers.len(), 1, "{server}: {issuers:?}");
        used.extend(issuers);
    }
    assert_eq!(used.len(), 3);
}

proptest! {
    // Two hosts that both think that they issue, and hear of each other late, stay within the bound.
    #[test]
    fn issuers_that_report_late_stay_within_the_bound(
        rate in 0.1..60.0_f64,
        asks in prop::collection::vec((0..40_u64, 0..3_usize), 200..600),
        report_ms in 200..600_u64,
    ) {
        let mut issuers = [settled_issuer(), settled_issuer(), settled_issuer()];
        let mut granted = Vec::new();
        let (mut now, mut reported_at) = (3_000, 3_000);
        for (pause, issuer) in asks {
            now += pause;
            if now - reported_at >= report_ms {
                reported_at = now;
                let reports: Vec<_> = issuers.iter().map(PermitIssuer::issued).collect();
                for (to, receiver) in issuers.iter_mut().enumerate() {
                    for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                        receiver.receive_issued(at(now), &format!("edge-{from}"), 1, report);
                    }
                }
            }
            // One issuer at a time is asked, and another one takes over every 5 s.
            let issuer = if pause < 38 { (now / 5_000) as usize % 3 } else { issuer };
            let answer = issuers[issuer].issue(at(now), SERVER, limit(rate), WHOLE_FLEET, Duration::ZERO);
            if is_granted(answer) {
                granted.push(now);
            }
        }
        let allowed = 6.0 * rate + 5.0;
        for (index, start) in granted.iter().enumerate() {
            let count = granted[index..].iter().take_while(|time| **time < start + 4_000).count();
            prop_assert!(count as f64 <= allowed, "{count} permits, {allowed} allowed");
        }
    }
}
