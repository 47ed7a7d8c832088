//! News about one server in any order: hosts that hear the same records agree.

use proptest::prelude::*;
use teaselglade_routing::registry::{
    ServerListing, ServerRegistration, ServerRegistry, ServerRemoval, StorePosition, UpdateScope,
};

use super::fixture::{at, draining, registration};

/// Record of the store about one server.
#[derive(Debug, Clone, PartialEq)]
enum Record {
    Registration(ServerRegistration),
    Removal(ServerRemoval),
}

/// What a server or the store writes, without its position.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Write {
    Ready(u64, u64),
    Draining(u64, u64),
    Removal,
}

/// Each write that one server makes: a heartbeat of an earlier and of a later start, a delayed one, a drain.
const WRITES: [Write; 7] = [
    Write::Ready(5, 7),
    Write::Ready(5, 9),
    Write::Ready(5, 6),
    Write::Ready(6, 1),
    Write::Draining(5, 8),
    Write::Draining(6, 2),
    Write::Removal,
];

fn record(offset: usize, write: Write) -> Record {
    let position = StorePosition::of_record(0, offset as u64);
    let positioned = |registration: ServerRegistration| {
        Record::Registration(ServerRegistration {
            position,
            ..registration
        })
    };
    match write {
        Write::Ready(start, beat) => positioned(registration("i-1", start, beat)),
        Write::Draining(start, beat) => positioned(draining(registration("i-1", start, beat))),
        Write::Removal => {
            let id = "i-1".to_owned();
            Record::Removal(ServerRemoval { id, position })
        }
    }
}

fn records(writes: &[Write]) -> Vec<Record> {
    let records = writes.iter().enumerate();
    records
        .map(|(offset, write)| record(offset, *write))
        .collect()
}

/// Returns the start of the incarnation that takes work after these writes, by the log alone.
fn live_start(writes: &[Write]) -> Option<u64> {
    let registered = |offset: usize, write: &Write| match *write {
        Write::Ready(start, beat) | Write::Draining(start, beat) => Some((start, beat, offset)),
        Write::Removal => None,
    };
    let indexed = writes.iter().enumerate();
    let latest = indexed.filter_map(|(offset, write)| registered(offset, write));
    let (start, _, offset) = latest.max()?;
    let removed_at = writes.iter().rposition(|write| *write == Write::Removal);
    let has_drained = writes
        .iter()
        .any(|write| matches!(write, Write::Draining(drained, _) if *drained == start));
    (!has_drained && removed_at < Some(offset)).then_some(start)
}

fn apply(registry: &mut ServerRegistry, now: u64, record: &Record) {
    match record.clone() {
        Record::Registration(registration) => {
            registry.apply_registration(at(now), registration);
        }
        Record::Removal(removal) => {
            registry.remove(at(now), &removal);
        }
    }
}

/// Gossips all from one host to another, departures before registrations or after them.
fn gossip(from: &ServerRegistry, to: &mut ServerRegistry, now: u64, departures_first: bool) {
    gossip_scope(UpdateScope::All, from, to, now, departures_first);
}

fn gossip_scope(
    scope: UpdateScope,
    from: &ServerRegistry,
    to: &mut ServerRegistry,
    now: u64,
    departures_first: bool,
) {
    let departures = from.departures(at(now), scope, None);
    let depart = |to: &mut ServerRegistry| {
        for departure in &departures {
            to.apply_departure(at(now), departure);
        }
    };
    if departures_first {
        depart(to);
    }
    for registration in from.updates(at(now), scope) {
        to.merge_registration(at(now), registration);
    }
    if !departures_first {
        depart(to);
    }
}

fn live(registry: &ServerRegistry) -> Option<u64> {
    let mut servers = registry.of_service("draft-fleet");
    let live = servers
        .next()
        .map(|(_, server)| server.registration.started_at_ms);
    assert!(servers.next().is_none(), "two incarnations take work");
    live
}

/// Returns all sequences of `length` writes.
fn sequences(length: usize) -> Vec<Vec<Write>> {
    (0..length).fold(vec![Vec::new()], |sequences, _| {
        let extended = sequences.iter().flat_map(|sequence| {
            WRITES.map(|write| {
                let mut sequence: Vec<Write> = sequence.clone();
                sequence.push(write);
                sequence
            })
        });
        extended.collect()
    })
}

/// Returns all orders of the numbers below `length`.
fn orders(length: usize) -> Vec<Vec<usize>> {
    (0..length).fold(vec![Vec::new()], |orders, next| {
        let extended = orders.iter().flat_map(|order: &Vec<usize>| {
            (0..=order.len()).map(move |place| {
                let mut order = order.clone();
                order.insert(place, next);
                order
            })
        });
        extended.collect()
    })
}

/// Two readers get the records in any order; a peer hears of each step from both.
fn check_interleaving(writes: &[Write], first: &[usize], second: &[usize], departures_first: bool) {
    let records = records(writes);
    let mut readers = [ServerRegistry::default(), ServerRegistry::default()];
    let mut peer = ServerRegistry::default();
    for step in 0..records.len() {
        let now = 100 * step as u64;
        for (reader, order) in readers.iter_mut().zip([first, second]) {
            apply(reader, now, &records[order[step]]);
            gossip(reader, &mut peer, now, departures_first);
        }
    }
    let now = 100 * records.len() as u64;
    let (left, right) = readers.split_at_mut(1);
    gossip(&left[0], &mut right[0], now, departures_first);
    gossip(&right[0], &mut left[0], now, departures_first);
    gossip(&peer, &mut left[0], now, departures_first);
    let expected = live_start(writes);
    let heard = [live(&left[0]), live(&right[0]), live(&peer)];
    assert_eq!(heard, [expected; 3], "{writes:?}, {first:?}, {second:?}");
}

#[test]
fn hosts_agree_after_all_interleavings_of_few_records() {
    for length in 1..=3 {
        let orders = orders(length);
        for writes in sequences(length) {
            for (first, second) in orders.iter().flat_map(|first| {
                let seconds = orders.iter();
                seconds.map(move |second| (first, second))
            }) {
                check_interleaving(&writes, first, second, true);
                check_interleaving(&writes, first, second, false);
            }
        }
    }
}

#[test]
fn hosts_agree_after_all_orders_of_four_records() {
    let in_order = [0, 1, 2, 3];
    let orders = orders(in_order.len());
    for writes in sequences(in_order.len()) {
        for order in &orders {
            check_interleaving(&writes, &in_order, order, true);
        }
    }
}

/// A registration lapsed and came back while the store turned one reader away.
#[test]
fn a_removal_that_is_read_late_does_not_take_a_server_that_is_back() {
    let writes = [Write::Ready(5, 7), Write::Removal, Write::Ready(5, 40)];
    let records = records(&writes);
    let (mut late, mut peer) = (ServerRegistry::default(), ServerRegistry::default());
    for record in &records {
        apply(&mut peer, 0, record);
    }
    apply(&mut late, 0, &records[0]);
    let registrations = peer.registrations();
    late.merge_registration(at(100), registrations[0].clone());
    apply(&mut late, 9_000, &records[1]);
    gossip(&late, &mut peer, 9_000, true);
    assert_eq!([live(&late), live(&peer)], [Some(5); 2]);
    apply(&mut late, 9_000, &records[2]);
    assert_eq!([live(&late), live(&peer)], [Some(5); 2]);
}

#[test]
fn a_host_that_knows_a_newer_registration_tells_it_again() {
    let records = records(&[Write::Ready(5, 7), Write::Removal, Write::Ready(5, 7)]);
    for scope in [UpdateScope::All, UpdateScope::Local] {
        let (mut reader, mut behind) = (ServerRegistry::default(), ServerRegistry::default());
        for record in &records {
            apply(&mut reader, 0, record);
        }
        for record in &records[..2] {
            apply(&mut behind, 20_000, record);
        }
        assert!(reader.updates(at(20_000), UpdateScope::All).is_empty());
        gossip(&behind, &mut reader, 20_000, true);
        gossip_scope(scope, &reader, &mut behind, 20_100, true);
        assert_eq!([live(&reader), live(&behind)], [Some(5); 2], "{scope:?}");
    }
}

#[test]
fn a_departed_server_in_an_older_copy_of_the_store_stays_away() {
    let mut registry = ServerRegistry::default();
    let mut listed = registration("i-1", 5, 7);
    listed.position = StorePosition::of_record(1, 3);
    registry.apply_registration(at(0), listed.clone());
    let id = listed.id.clone();
    let position = StorePosition::of_record(1, 9);
    registry.remove(at(100), &ServerRemoval { id, position });
    // The copy holds the registration at its old offset, not the removal.
    listed.position = StorePosition::of_record(2, 3);
    assert!(
        registry
            .apply_registration(at(200), listed.clone())
            .is_none()
    );
    // A server that runs registers again, behind the copy.
    listed.position = StorePosition::of_record(2, 4);
    assert!(registry.apply_registration(at(300), listed).is_some());
}

/// A listing holds the newest entry of each server, which may be a delayed write.
#[test]
fn a_listing_with_a_delayed_write_does_not_take_the_server() {
    let cases = [
        vec![(11, Write::Ready(6, 1)), (12, Write::Ready(5, 7))],
        vec![
            (9, Write::Ready(5, 7)),
            (10, Write::Removal),
            (11, Write::Ready(5, 40)),
            (12, Write::Ready(5, 6)),
        ],
    ];
    for writes in cases {
        let mut registry = ServerRegistry::default();
        let (&(offset, late), known) = writes.split_last().expect("a case has writes");
        for (offset, write) in known {
            apply(&mut registry, 0, &record(*offset, *write));
        }
        let expected = live(&registry);
        let Record::Registration(listed) = record(offset, late) else {
            unreachable!("a case ends with a registration");
        };
        let listing = ServerListing {
            requested_at: at(9_000),
            end: StorePosition::before_offset(0, offset as u64 + 1),
            registrations: vec![listed],
            unreadable: Vec::new(),
        };
        registry.apply_listing(at(9_000), listing);
        assert!(expected.is_some(), "{writes:?}");
        assert_eq!(live(&registry), expected, "{writes:?}");
    }
}

/// The drain is read after the removal, and one host hears of both from the departure alone.
#[test]
fn a_departure_tells_that_the_server_has_drained() {
    let records = records(&[
        Write::Draining(5, 6),
        Write::Ready(5, 7),
        Write::Removal,
        Write::Ready(5, 9),
    ]);
    let (mut reader, mut peer) = (ServerRegistry::default(), ServerRegistry::default());
    for offset in [1, 2, 0] {
        apply(&mut reader, 0, &records[offset]);
    }
    gossip(&reader, &mut peer, 100, true);
    apply(&mut peer, 200, &records[3]);
    assert_eq!(live(&peer), None);
}

#[test]
fn a_registration_without_a_position_leaves_the_known_one() {
    let mut registry = ServerRegistry::default();
    apply(&mut registry, 0, &record(4, Write::Ready(5, 7)));
    registry.apply_registration(at(100), registration("i-1", 5, 8));
    apply(&mut registry, 200, &record(3, Write::Removal));
    assert_eq!(live(&registry), Some(5));
}

#[test]
fn a_tombstone_ends() {
    let mut registry = ServerRegistry::default();
    for record in &records(&[Write::Draining(5, 8), Write::Removal]) {
        apply(&mut registry, 0, record);
    }
    let mut returned = registration("i-1", 5, 9);
    returned.position = StorePosition::of_record(0, 5);
    let minute = 60_000;
    assert!(
        registry
            .apply_registration(at(9 * minute), returned.clone())
            .is_none()
    );
    registry.remove_expired(at(11 * minute));
    assert!(
        registry
            .apply_registration(at(11 * minute), returned)
            .is_some()
    );
}

/// A refused registration adds to the tombstone, but does not prolong it.
#[test]
fn a_tombstone_ends_for_a_server_that_registers_on() {
    let mut registry = ServerRegistry::default();
    for (offset, write) in [(0, Write::Ready(5, 8)), (100, Write::Removal)] {
        apply(&mut registry, 0, &record(offset, write));
    }
    let minute = 60_000;
    apply(&mut registry, 9 * minute, &record(5, Write::Ready(5, 9)));
    assert_eq!(live(&registry), None);
    registry.remove_expired(at(11 * minute));
    apply(&mut registry, 11 * minute, &record(6, Write::Ready(5, 10)));
    assert_eq!(live(&registry), Some(5));
}

proptest! {
    /// Records are read late, twice, by any of three hosts, and digests are lost; in the end each
    /// host has read all.
    #[test]
    fn hosts_that_hear_the_same_records_have_the_same_live_server(
        picks in prop::collection::vec(0..WRITES.len(), 1..9),
        steps in prop::collection::vec((0..3_usize, 0..9_usize, 0..4_usize, any::<bool>()), 0..40),
        orders in prop::array::uniform3(any::<prop::sample::Index>()),
    ) {
        let writes: Vec<Write> = picks.into_iter().map(|pick| WRITES[pick]).collect();
        let records = records(&writes);
        let mut hosts: [ServerRegistry; 3] = Default::default();
        for (step, (host, offset, other, departures_first)) in steps.into_iter().enumerate() {
            let now = 100 * step as u64;
            apply(&mut hosts[host], now, &records[offset % records.len()]);
            if other < 3 && other != host {
                let sender = hosts[host].clone();
                gossip(&sender, &mut hosts[other], now, departures_first);
            }
        }
        for (host, start) in hosts.iter_mut().zip(orders) {
            let start = start.index(records.len());
            for offset in (start..records.len()).chain(0..start) {
                apply(host, 5_000, &records[offset]);
            }
        }
        let expected = live_start(&writes);
        for host in &hosts {
            prop_assert_eq!(live(host), expected, "{:?}", writes);
        }
    }
}
