//! Usage counted by several hosts.

use std::time::Duration;

use teaselglade_core::time::Timestamp;
use teaselglade_routing::usage::UsageLedger;

const WINDOW: Duration = Duration::from_secs(5);

fn wall(millis: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + millis)
}

#[test]
fn counts_of_all_hosts_and_of_dead_ones_are_added_up() {
    let mut holder = UsageLedger::new(WINDOW);
    let mut peer = UsageLedger::new(WINDOW);
    assert_eq!(holder.due_window(wall(0)), None);
    holder.count(wall(100), "halloran");
    peer.count(wall(200), "halloran");
    peer.count(wall(300), "corrib");
    holder.merge_peer_counts(wall(400), "edge-2", 1, peer.recent_counts(wall(400)));
    // The peer starts again and counts from nothing.
    let mut again = UsageLedger::new(WINDOW);
    again.count(wall(2_000), "corrib");
    holder.merge_peer_counts(wall(2_100), "edge-2", 2, again.recent_counts(wall(2_100)));
    let total = holder.total(20);
    assert_eq!(total.counts["halloran"], 2);
    assert_eq!(total.counts["corrib"], 2);
}

#[test]
fn a_repeated_digest_counts_once() {
    let mut holder = UsageLedger::new(WINDOW);
    let mut peer = UsageLedger::new(WINDOW);
    peer.count(wall(0), "halloran");
    for _ in 0..3 {
        holder.merge_peer_counts(wall(10), "edge-2", 1, peer.recent_counts(wall(10)));
    }
    assert_eq!(holder.total(20).counts["halloran"], 1);
}

#[test]
fn a_window_is_due_once_all_peers_spoke_after_its_end_or_were_waited_for() {
    let mut holder = UsageLedger::new(WINDOW);
    holder.merge_peer_counts(wall(100), "edge-2", 1, Vec::new());
    holder.count(wall(100), "halloran");
    holder.record_decided(19);
    assert_eq!(holder.due_window(wall(4_900)), None);
    assert_eq!(
        holder.due_window(wall(6_500)),
        None,
        "the peer has not spoken since"
    );
    holder.merge_peer_counts(wall(6_600), "edge-2", 1, Vec::new());
    assert_eq!(holder.due_window(wall(6_700)), Some(20));
    holder.record_decided(20);
    assert_eq!(holder.due_window(wall(6_800)), None);
    // The next window's end passes and the peer stays silent.
    assert_eq!(holder.due_window(wall(11_000)), None);
    assert_eq!(holder.due_window(wall(15_100)), Some(21));
}
