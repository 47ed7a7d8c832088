//! Arena of the requests in hand.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_host::open::{OpenRequest, RequestArena, RequestStage};
use teaselglade_routing::table::ResponseKind;

fn request(id: &str) -> OpenRequest {
    OpenRequest::new(id.to_owned(), Timestamp::from_millis(1_000))
}

#[test]
fn the_key_of_an_ended_request_does_not_find_the_next_one_in_its_slot() {
    let mut arena = RequestArena::default();
    let ended = arena.insert(request("a"));
    arena.remove(ended);
    let open = arena.insert(request("b"));
    assert!(arena.get_mut(ended).is_none());
    assert!(arena.remove(ended).is_none());
    assert_eq!(
        arena.get_mut(open).map(|request| request.id.as_str()),
        Some("b")
    );
    assert_eq!(arena.len(), 1);
}

#[test]
fn every_open_request_is_listed_once() {
    let mut arena = RequestArena::default();
    let keys: Vec<_> = (0..500)
        .map(|id| arena.insert(request(&id.to_string())))
        .collect();
    for key in keys.iter().step_by(2) {
        arena.remove(*key);
    }
    let mut ids: Vec<u32> = arena
        .iter()
        .filter_map(|open| open.id.parse().ok())
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, (1..500).step_by(2).collect::<Vec<u32>>());
    assert_eq!(arena.len(), ids.len());
}

#[test]
fn a_stream_between_two_servers_is_shown_as_resuming() {
    let mut open = request("a");
    assert_eq!(open.stage, RequestStage::ReadingBody);
    open.admit("draft", ResponseKind::Stream, Timestamp::from_millis(9_000));
    open.start_attempt(ServerKey::new(1));
    open.end_attempt("server_broke");
    assert_eq!(open.stage, RequestStage::AwaitingServer);
    open.start_attempt(ServerKey::new(2));
    open.record_event(Timestamp::from_millis(1_200));
    open.start_response();
    assert_eq!(open.stage, RequestStage::Streaming);
    open.end_attempt("server_broke");
    assert_eq!(open.stage, RequestStage::Resuming);
    open.start_attempt(ServerKey::new(3));
    assert_eq!(
        (open.stage, open.server),
        (RequestStage::Resuming, Some(ServerKey::new(3)))
    );
    open.record_event(Timestamp::from_millis(1_900));
    assert_eq!(open.stage, RequestStage::Streaming);
}

#[test]
fn the_cause_of_a_cut_names_the_failure_and_what_kept_a_further_attempt_away() {
    let mut open = request("a");
    assert_eq!(open.cut_cause(), "unknown");
    open.admit("draft", ResponseKind::Stream, Timestamp::from_millis(9_000));
    open.start_attempt(ServerKey::new(1));
    open.end_attempt("server_silent");
    open.give_up("no_retry");
    assert_eq!(open.cut_cause(), "server_silent_no_retry");
    open.start_attempt(ServerKey::new(2));
    open.end_attempt("deadline");
    assert_eq!(open.cut_cause(), "deadline");
}
