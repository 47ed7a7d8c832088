//! Tests of the handover machine, rendezvous order and holder search.

use proptest::prelude::*;
use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::ExecutionVerdict;
use teaselglade_request::handover::{
    HandoverAction, HandoverEvent, HandoverLimits, HandoverMachine, HolderAnswer, HolderSearch,
    PeerReply, SearchAction, owner_hint, rank_peers,
};

fn host_names(count: usize) -> Vec<HostName> {
    (0..count)
        .map(|index| HostName::new(format!("entry-{index}")))
        .collect()
}

proptest! {
    #[test]
    fn a_lost_peer_changes_the_first_choice_only_of_its_own_requests(
        bits in any::<u128>(),
        lost in 0_usize..20,
    ) {
        let request = RequestId::from_bits(bits);
        let peers = host_names(20);
        let first = rank_peers(request, &peers, 1);
        let rest = peers.iter().filter(|peer| **peer != peers[lost]).cloned().collect::<Vec<_>>();
        if first[0] != peers[lost] {
            prop_assert_eq!(rank_peers(request, &rest, 1), first);
        }
    }

    #[test]
    fn every_handover_ends_within_its_limits(
        count in 1_u128..80,
        peers in 0_usize..6,
        replies in prop::collection::vec(0_u8..3, 600),
    ) {
        let limits = HandoverLimits::default();
        let mut machine = HandoverMachine::new(limits, host_names(peers));
        let mut actions = Vec::new();
        for bits in 0..count {
            let request = RequestId::from_bits(bits);
            let offered = HandoverEvent::Offered { request, generation: 1 };
            actions.extend(machine.on_event(Timestamp::ZERO, offered));
        }
        let mut replies = replies.into_iter();
        let mut ended = 0;
        while let Some(action) = actions.pop() {
            let HandoverAction::Send { request, peer, generation } = action else {
                ended += 1;
                continue;
            };
            prop_assert!(usize::from(generation) <= limits.max_peers);
            let sends = actions.iter().filter(|action| matches!(action, HandoverAction::Send { .. }));
            prop_assert!(sends.count() < limits.max_in_flight);
            let reply = match replies.next().unwrap_or_default() {
                0 => PeerReply::Accepted,
                1 => PeerReply::Refused,
                _ => PeerReply::Unknown,
            };
            let replied = HandoverEvent::Replied { request, peer, reply };
            actions.extend(machine.on_event(Timestamp::ZERO, replied));
        }
        prop_assert_eq!(ended, count);
        prop_assert!(machine.is_idle());
    }

    #[test]
    fn a_search_finds_the_holder_or_reports_whether_a_peer_was_unreachable(
        bits in any::<u128>(),
        count in 1_usize..60,
        holder in 0_usize..120,
        unreachable in 0_usize..120,
    ) {
        let peers = host_names(count);
        let (mut search, mut actions) = HolderSearch::start(RequestId::from_bits(bits), 0, &peers);
        let mut outcome = None;
        while let Some(action) = actions.pop() {
            let SearchAction::Query { peer } = action else {
                prop_assert!(outcome.is_none());
                outcome = Some(action);
                continue;
            };
            let answer = match peers.iter().position(|listed| *listed == peer) {
                index if index == Some(holder) => HolderAnswer::Holds { generation: 1, copy_id: 1 },
                index if index == Some(unreachable) => HolderAnswer::Unknown,
                _ => HolderAnswer::NotHeld,
            };
            actions.extend(search.on_answer(&peer, answer));
        }
        match outcome {
            Some(SearchAction::Found { peer }) => prop_assert_eq!(&peer, &peers[holder]),
            Some(SearchAction::NotFound { refusal }) => {
                prop_assert!(holder >= count);
                prop_assert_eq!(refusal.verdict, ExecutionVerdict::MayHaveRun);
                prop_assert_eq!(refusal.retry_after.is_some(), unreachable < count);
            }
            other => return Err(TestCaseError::fail(format!("{other:?}"))),
        }
    }
}

#[test]
fn the_host_that_made_the_request_id_is_queried_first() {
    let peers = host_names(40);
    let bits = u128::from(owner_hint(&peers[33]));
    let (_, actions) = HolderSearch::start(RequestId::from_bits(bits), 0, &peers);
    assert_eq!(
        actions[0],
        SearchAction::Query {
            peer: peers[33].clone()
        }
    );
    assert_eq!(actions.len(), 4);
}
