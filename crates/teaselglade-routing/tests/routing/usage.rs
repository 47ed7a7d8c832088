//! Usage counts of several hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::usage::{UsageLedger, WindowCounts};

const WINDOW: Duration = Duration::from_secs(5);

fn wall(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

fn report(window: u64) -> WindowCounts {
    WindowCounts {
        window,
        counts: BTreeMap::new(),
    }
}

#[test]
fn counts_of_all_hosts_and_of_crashed_ones_are_added_up() {
    let mut leader = UsageLedger::new(WINDOW);
    let mut peer = UsageLedger::new(WINDOW);
    assert_eq!(leader.due_window(wall(0)), None);
    leader.count(wall(100), "halloran");
    peer.count(wall(200), "halloran");
    peer.count(wall(300), "corrib");
    leader.merge_peer_counts(wall(400), "edge-2", 1, peer.recent_counts(wall(400)));
    // The peer restarts with empty counts.
    let mut restarted_peer = UsageLedger::new(WINDOW);
    restarted_peer.count(wall(2_000), "corrib");
    leader.merge_peer_counts(
        wall(2_100),
        "edge-2",
        2,
        restarted_peer.recent_counts(wall(2_100)),
    );
    let total = leader.total(20);
    assert_eq!(total.counts["halloran"], 2);
    assert_eq!(total.counts["corrib"], 2);
}

#[test]
fn a_repeated_digest_counts_once() {
    let mut leader = UsageLedger::new(WINDOW);
    let mut peer = UsageLedger::new(WINDOW);
    peer.count(wall(0), "halloran");
    for _ in 0..3 {
        leader.merge_peer_counts(wall(10), "edge-2", 1, peer.recent_counts(wall(10)));
    }
    assert_eq!(leader.total(20).counts["halloran"], 1);
}

#[test]
fn a_window_is_due_once_all_peers_were_seen_after_its_end_or_timed_out() {
    let mut leader = UsageLedger::new(WINDOW);
    leader.merge_peer_counts(wall(100), "edge-2", 1, Vec::new());
    leader.count(wall(100), "halloran");
    leader.record_decided(report(19));
    assert_eq!(leader.due_window(wall(4_900)), None);
    assert_eq!(
        leader.due_window(wall(6_500)),
        None,
        "the peer was not seen since the end of the window"
    );
    leader.merge_peer_counts(wall(6_600), "edge-2", 1, Vec::new());
    assert_eq!(leader.due_window(wall(6_700)), Some(20));
    leader.record_decided(report(20));
    assert_eq!(leader.due_window(wall(6_800)), None);
    // The next window ends without a digest from the peer.
    assert_eq!(leader.due_window(wall(11_000)), None);
    assert_eq!(leader.due_window(wall(15_100)), Some(21));
}

#[test]
fn decided_reports_that_a_peer_sends_are_kept_as_first_recorded() {
    let mut ledger = UsageLedger::new(WINDOW);
    for window in 10..16 {
        ledger.record_decided(report(window));
    }
    let mut other = report(15);
    other.counts.insert("halloran".to_owned(), 3);
    ledger.record_decided(other);
    let windows: Vec<u64> = ledger
        .decided_reports()
        .iter()
        .map(|report| report.window)
        .collect();
    assert_eq!(windows, [12, 13, 14, 15]);
    assert!(ledger.decided_reports()[3].counts.is_empty());
}

#[test]
fn windows_before_the_first_open_one_are_not_due() {
    let mut leader = UsageLedger::new(WINDOW);
    leader.count(wall(100), "halloran");
    leader.skip_before(21);
    assert_eq!(leader.due_window(wall(6_500)), None);
    assert_eq!(leader.due_window(wall(11_000)), Some(21));
}

/// Guards against windows that no host reports when the leader is lost for seven seconds.
#[test]
fn a_new_leader_reports_windows_that_ended_while_there_was_none() {
    let mut successor = UsageLedger::new(WINDOW);
    for millis in (0..17_000).step_by(200) {
        successor.recent_counts(wall(millis));
    }
    // The first window was seen only in part; it is due if it was the last one to end.
    assert_eq!(successor.due_window(wall(17_000)), Some(21));
    successor.record_decided(report(21));
    assert_eq!(successor.due_window(wall(17_000)), Some(22));
    let mut started_late = UsageLedger::new(WINDOW);
    started_late.recent_counts(wall(17_000));
    assert_eq!(started_late.due_window(wall(17_000)), Some(22));
}
