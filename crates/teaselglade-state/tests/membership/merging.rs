//! Merging updates is commutative and idempotent.

use proptest::prelude::*;
use teaselglade_core::id::{HostIncarnation, HostName};
use teaselglade_core::time::Timestamp;
use teaselglade_state::membership::{
    LeavingNotice, MemberEntry, MemberLiveness, MembershipEvent, MembershipMachine,
    MembershipSettings,
};
use teaselglade_wire::codec::to_msgpack;
use teaselglade_wire::{PeerExchange, PeerMember, PeerNotice, PeerState};

const HOSTS: u64 = 4;

#[derive(Debug, Clone)]
enum Update {
    Member(PeerMember),
    Notice(PeerNotice),
}

fn update() -> impl Strategy<Value = Update> {
    let state = prop_oneof![Just(PeerState::Alive), Just(PeerState::Suspect)];
    let member = (0..HOSTS, 1_u64..3, 0_u32..3, state).prop_map(|(host, start, seq, state)| {
        Update::Member(PeerMember {
            name: format!("e{host}"),
            start,
            seq,
            state,
            addr: format!("127.0.0.1:{}", 100 + host),
            zone: "galway".to_owned(),
        })
    });
    let notice = (0..HOSTS, 1_u64..3).prop_map(|(host, start)| {
        Update::Notice(PeerNotice {
            name: format!("e{host}"),
            start,
            entry: true,
            at_ms: 0,
            end_ms: 0,
        })
    });
    prop_oneof![member, notice]
}

fn machine() -> MembershipMachine {
    let address = "127.0.0.1:1".parse().expect("an address");
    let settings = MembershipSettings::new("halloran", HostName::new("self"), address);
    MembershipMachine::new(Timestamp::ZERO, settings)
}

fn machine_after(updates: &[Update]) -> MembershipMachine {
    let mut machine = machine();
    for item in updates {
        let mut message = PeerExchange {
            cluster: "halloran".to_owned(),
            protocol: 1,
            oldest: 1,
            from: PeerMember {
                name: "sender".to_owned(),
                start: 1,
                seq: 0,
                state: PeerState::Alive,
                addr: "127.0.0.1:2".to_owned(),
                zone: "galway".to_owned(),
            },
            table: 0,
            slices: 0,
            digests: Vec::new(),
            members: Vec::new(),
            notices: Vec::new(),
            demand: String::new(),
        };
        match item {
            Update::Member(member) => message.members.push(member.clone()),
            Update::Notice(notice) => message.notices.push(notice.clone()),
        }
        let body = to_msgpack(&message).expect("encodable");
        machine.on_event(Timestamp::ZERO, MembershipEvent::Request { token: 0, body });
    }
    machine
}

fn summary(machine: &MembershipMachine) -> Vec<(Option<MemberEntry>, bool, bool)> {
    let hosts = (0..HOSTS).map(|host| HostName::new(format!("e{host}")));
    hosts
        .map(|host| {
            let member = machine.member(&host).cloned();
            let first = machine.is_leaving(&host, HostIncarnation(1));
            (member, first, machine.is_leaving(&host, HostIncarnation(2)))
        })
        .collect()
}

proptest! {
    #[test]
    fn order_and_repetition_of_updates_do_not_matter(
        (updates, shuffled) in prop::collection::vec(update(), 1..24)
            .prop_flat_map(|updates| (Just(updates.clone()), Just(updates).prop_shuffle())),
    ) {
        let once = machine_after(&updates);
        let doubled = shuffled.iter().chain(&updates).cloned().collect::<Vec<_>>();
        prop_assert_eq!(summary(&once), summary(&machine_after(&doubled)));
    }

    #[test]
    fn leaving_notice_is_never_undone(
        before in prop::collection::vec(update(), 0..8),
        after in prop::collection::vec(update(), 0..24),
    ) {
        let notice = LeavingNotice {
            host: HostName::new("e0"),
            incarnation: HostIncarnation(1),
            is_entry: true,
            issued: Timestamp::ZERO,
            deadline: Timestamp::ZERO,
        };
        let all = before.into_iter().chain([Update::Notice((&notice).into())]).chain(after);
        let machine = machine_after(&all.collect::<Vec<_>>());
        prop_assert!(machine.is_leaving(&notice.host, notice.incarnation));
    }
}

#[test]
fn suspicion_of_this_host_is_refuted() {
    let mut machine = machine();
    let suspicion = Update::Member(PeerMember {
        name: "self".to_owned(),
        start: 0,
        seq: 0,
        state: PeerState::Suspect,
        addr: "127.0.0.1:1".to_owned(),
        zone: String::new(),
    });
    assert_eq!(machine.counts().refutations, 0);
    machine = machine_after(&[suspicion]);
    assert_eq!(machine.counts().refutations, 1);
    let is_alive = |entry: &MemberEntry| entry.liveness == MemberLiveness::Alive;
    assert!(machine.members().all(is_alive));
}
