//! Foreign, incompatible and malformed messages are refused and counted.

use bytes::Bytes;
use proptest::prelude::*;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{
    MAX_MESSAGE_BYTES, MembershipAction, MembershipEvent, MembershipMachine, MembershipSettings,
    MessageRefusal, PROTOCOL,
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
        protocol: PROTOCOL,
        oldest: PROTOCOL,
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

fn send(machine: &mut MembershipMachine, body: Bytes) -> Vec<MembershipAction> {
    machine.on_event(Timestamp::ZERO, MembershipEvent::Request { token: 3, body })
}

fn refusal(body: Bytes) -> Option<MessageRefusal> {
    let mut machine = machine();
    let actions = send(&mut machine, body);
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
fn each_fault_has_its_refusal() {
    assert_eq!(refusal(encoded(|_| {})), None);
    let foreign = encoded(|message| "dragons-sleeve".clone_into(&mut message.cluster));
    assert_eq!(refusal(foreign), Some(MessageRefusal::ForeignCluster));
    let too_new = encoded(|message| message.oldest = PROTOCOL + 1);
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

/// A newer process that still understands this protocol is taken in.
#[test]
fn rolling_upgrade_is_possible() {
    let newer = encoded(|message| message.protocol = PROTOCOL + 1);
    assert_eq!(refusal(newer), None);
}

#[test]
fn higher_table_version_is_pulled_once() {
    let mut machine = machine();
    let is_pull = |action: &MembershipAction| {
        matches!(action, MembershipAction::PullTable { version: 7, .. })
    };
    assert!(send(&mut machine, encoded(|_| {})).iter().any(is_pull));
    assert!(!send(&mut machine, encoded(|_| {})).iter().any(is_pull));
    machine.on_event(
        Timestamp::ZERO,
        MembershipEvent::TableActivated { version: 7 },
    );
    assert!(!send(&mut machine, encoded(|_| {})).iter().any(is_pull));
}

#[test]
fn oversized_demand_of_this_host_is_not_sent() {
    let mut machine = machine();
    let now = Timestamp::ZERO;
    for demand in ["shares".to_owned(), "x".repeat(4_000)] {
        machine.on_event(now, MembershipEvent::DemandChanged { demand });
    }
    let regular = encoded(|message| message.digests.push(PeerSlice { index: 0, hash: 0 }));
    let actions = send(&mut machine, regular);
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
    fn garbage_never_panics(body in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut machine = machine();
        send(&mut machine, body.into());
        prop_assert_eq!(machine.members().count(), 0);
        prop_assert_eq!(machine.counts().malformed, 1);
    }

    #[test]
    fn flipped_bytes_never_panic(at in any::<prop::sample::Index>(), bits in 1_u8..) {
        let mut body = encoded(|_| {}).to_vec();
        let index = at.index(body.len());
        body[index] ^= bits;
        let mut machine = machine();
        send(&mut machine, body.into());
    }
}
