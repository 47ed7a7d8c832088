//! Splitting of event streams, independent of how their bytes arrive.

use proptest::prelude::*;
use teaselglade_routing::event::{EventSplitter, MAX_EVENT_BYTES};

const STREAM: &[u8] =
    b"id: 1\ndata: a ring\n\nid: 2\r\ndata: a chain\r\n\r\n: note\nid:3\ndata: x\n\n";

#[test]
fn ids_and_line_ends_are_read_as_servers_send_them() {
    let mut splitter = EventSplitter::default();
    let ids: Vec<_> = splitter
        .push(STREAM)
        .into_iter()
        .map(|event| event.id)
        .collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    assert!(!splitter.has_partial_event());
}

#[test]
fn an_incomplete_event_is_held_back() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: a").is_empty());
    assert!(splitter.has_partial_event());
    assert_eq!(splitter.push(b" ring\n\n").len(), 1);
}

#[test]
fn empty_lines_and_comments_are_no_events_and_stay_with_the_next_one() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"\n\r\n: still here\n\n").is_empty());
    assert!(!splitter.has_partial_event());
    let events = splitter.push(b"id: 1\ndata: a\n\n\n: bye");
    assert_eq!(events.len(), 1);
    assert!(events[0].bytes.starts_with(b"\n\r\n: still here"));
    assert_eq!(events[0].id, Some(1));
    assert!(!splitter.has_partial_event());
    assert_eq!(splitter.take_rest().as_ref(), b"\n: bye");
}

#[test]
fn an_event_beyond_the_limit_is_reported() {
    let mut splitter = EventSplitter::default();
    for _ in 0..MAX_EVENT_BYTES / 1_024 {
        assert!(!splitter.is_oversized());
        splitter.push(&[b'a'; 1_024]);
    }
    splitter.push(b"a");
    assert!(splitter.is_oversized());
}

proptest! {
    #[test]
    fn events_do_not_depend_on_where_bytes_are_cut(
        cuts in prop::collection::vec(0..STREAM.len(), 0..8),
    ) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut joined = Vec::new();
        let mut start = 0;
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            let events = splitter.push(&STREAM[start..cut]);
            joined.extend(events.into_iter().flat_map(|event| event.bytes.to_vec()));
            start = cut;
        }
        prop_assert_eq!(joined, STREAM);
    }
}
