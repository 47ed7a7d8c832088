//! Faulty messages of peers are refused and counted, and never cause a panic.

use bytes::Bytes;
use proptest::prelude::*;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{
    MAX_MESSAGE_BYTES, MembershipAction, MembershipEvent, MembershipMachine, MembershipSettings,
    MessageRefusal, PROTOCOL_VERSION,
};
use teaselglade_wire::codec::{from_msgpack, to_msgpack};
use teaselglade_wire::{PeerExchange, PeerMember, PeerSlice, PeerState};

fn machine() -> MembershipMachine {
    let address = "127.0.0.1:1".parse().expect("an address");
    let settings = MembershipSettings::new("halloran", HostName::new("self"), address);
    MembershipMachine::new(Timestamp::ZERO, settings)
}

fn message() -> PeerExchange {
    PeerExchange {
        cluster: "halloran".to_owned(),
        protocol: PROTOCOL_VERSION,
        oldest: PROTOCOL_VERSION,
        from: PeerMember {
            name: "e1".to_owned(),
            start: 1,
            seq: 0,
            state: PeerState::Alive,
            addr: "127.0.0.1:2".to_owned(),
            zone: "galway".to_owned(),
        },
        table: 7,
        slices: 1,
        digests: Vec::new(),
        members: Vec::new(),
        notices: Vec::new(),
        demand: String::new(),
    }
}

fn deliver(machine: &mut MembershipMachine, body: Bytes) -> Vec<MembershipAction> {
    machine.on_event(Timestamp::ZERO, MembershipEvent::Request { token: 3, body })
}

fn refusal(body: Bytes) -> Option<MessageRefusal> {
    let mut machine = machine();
    let actions = deliver(&mut machine, body);
    let refusals = actions.iter().filter_map(|action| match action {
        MembershipAction::Refuse { token: 3, refusal } => Some(*refusal),
        _ => None,
    });
    let refusal = refusals.last();
    assert_eq!(machine.members().count(), usize::from(refusal.is_none()));
    refusal
}

fn encoded(change: impl Fn(&mut PeerExchange)) -> Bytes {
    let mut message = message();
    change(&mut message);
    to_msgpack(&message).expect("encodable")
}

#[test]
fn each_fault_is_refused_with_its_own_reason() {
    assert_eq!(refusal(encoded(|_| {})), None);
    let foreign = encoded(|message| "dragons-sleeve".clone_into(&mut message.cluster));
    assert_eq!(refusal(foreign), Some(MessageRefusal::ForeignCluster));
    let too_new = encoded(|message| message.oldest = PROTOCOL_VERSION + 1);
    assert_eq!(refusal(too_new), Some(MessageRefusal::Incompatible));
    let too_old = encoded(|message| message.protocol = 0);
    assert_eq!(refusal(too_old), Some(MessageRefusal::Incompatible));
    let own_name = encoded(|message| "self".clone_into(&mut message.from.name));
    assert_eq!(refusal(own_name), Some(MessageRefusal::DuplicateName));
    let demand = encoded(|message| message.demand = "x".repeat(4_000));
    assert_eq!(refusal(demand), Some(MessageRefusal::Oversized));
    let long = Bytes::from(vec![0; MAX_MESSAGE_BYTES + 1]);
    assert_eq!(refusal(long), Some(MessageRefusal::Oversized));
}

/// Rolling upgrades rely on this: the newer process still accepts this protocol version.
#[test]
fn newer_peer_that_supports_this_protocol_is_accepted() {
    let newer = encoded(|message| message.protocol = PROTOCOL_VERSION + 1);
    assert_eq!(refusal(newer), None);
}

#[test]
fn higher_table_version_is_pulled_once() {
    let mut machine = machine();
    let is_pull = |action: &MembershipAction| {
        matches!(action, MembershipAction::PullTable { version: 7, .. })
    };
    assert!(deliver(&mut machine, encoded(|_| {})).iter().any(is_pull));
    assert!(!deliver(&mut machine, encoded(|_| {})).iter().any(is_pull));
    machine.on_event(
        Timestamp::ZERO,
        MembershipEvent::TableActivated { version: 7 },
    );
    assert!(!deliver(&mut machine, encoded(|_| {})).iter().any(is_pull));
}

#[test]
fn oversized_demand_of_this_host_is_not_sent() {
    let mut machine = machine();
    let now = Timestamp::ZERO;
    for demand in ["shares".to_owned(), "x".repeat(4_000)] {
        machine.on_event(now, MembershipEvent::DemandChanged { demand });
    }
    let request = encoded(|message| message.digests.push(PeerSlice { index: 0, hash: 0 }));
    let actions = deliver(&mut machine, request);
    let answers = actions.iter().filter_map(|action| match action {
        MembershipAction::Answer { body, .. } => from_msgpack::<PeerExchange>(body).ok(),
        _ => None,
    });
    assert_eq!(
        answers.last().map(|answer| answer.demand),
        Some(String::new())
    );
    assert_eq!(machine.counts().oversized, 1);
}

proptest! {
    #[test]
    fn random_bytes_are_malformed_and_never_panic(
        body in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        let mut machine = machine();
        deliver(&mut machine, body.into());
        prop_assert_eq!(machine.members().count(), 0);
        prop_assert_eq!(machine.counts().malformed, 1);
    }

    #[test]
    fn corrupted_messages_never_panic(at in any::<prop::sample::Index>(), bits in 1_u8..) {
        let mut body = encoded(|_| {}).to_vec();
        let index = at.index(body.len());
        body[index] ^= bits;
        let mut machine = machine();
        deliver(&mut machine, body.into());
    }
}
