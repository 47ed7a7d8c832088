//! Composes the messages of the exchange.

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::codec::to_msgpack;
use teaselglade_wire::{PeerExchange, PeerNotice, PeerSlice};

use super::member_arena::entry_hash;
use super::message_check::{OLDEST_PROTOCOL, PROTOCOL};
use super::rumour_queue::RumourTopic;
use super::slice_digest::{name_hash, slice_count, slice_of};
use super::{MemberEntry, MembershipMachine};

const SLICES_PER_EXCHANGE: u16 = 8;
const MAX_RUMOURS_PER_MESSAGE: usize = 40;
const MAX_ENTRIES_PER_ANSWER: usize = 24;

impl MembershipMachine {
    pub(super) fn compose_request(&mut self, peer: &HostName, with_digests: bool) -> Option<Bytes> {
        let mut message = self.empty_message();
        if with_digests {
            message.demand.clone_from(&self.demand);
            self.add_digests(&mut message);
        }
        self.add_doubt(peer, &mut message);
        self.add_rumours(&[], &mut message);
        self.encode(&message)
    }

    pub(super) fn compose_answer(
        &mut self,
        now: Timestamp,
        request: &PeerExchange,
    ) -> Option<Bytes> {
        let mut message = self.empty_message();
        self.add_doubt(&HostName::new(request.from.name.as_str()), &mut message);
        let is_regular = !request.digests.is_empty();
        if is_regular {
            message.demand.clone_from(&self.demand);
        }
        for digest in &request.digests {
            self.add_difference(request.slices, digest, &mut message);
        }
        if self.budget.has_room(now) {
            self.add_rumours(&told_topics(request), &mut message);
        }
        self.encode(&message)
    }

    fn empty_message(&self) -> PeerExchange {
        PeerExchange {
            cluster: self.settings.cluster.clone(),
            protocol: PROTOCOL,
            oldest: OLDEST_PROTOCOL,
            from: self.own.to_wire(),
            table: self.table_version,
            slices: 0,
            digests: Vec::new(),
            members: Vec::new(),
            notices: Vec::new(),
            demand: String::new(),
        }
    }

    /// Adds digests of the next slices, so that all slices come round.
    fn add_digests(&mut self, message: &mut PeerExchange) {
        let slices = slice_count(self.members.len() + 1 + self.notices.len());
        message.slices = slices;
        for _ in 0..SLICES_PER_EXCHANGE.min(slices) {
            let index = self.next_slice % slices;
            self.next_slice = (index + 1) % slices;
            message.digests.push(PeerSlice {
                index,
                hash: self.digest(index, slices),
            });
        }
    }

    fn digest(&self, index: u16, slices: u16) -> u64 {
        let is_own_slice = slice_of(name_hash(&self.own.name), slices) == index;
        let own = if is_own_slice {
            entry_hash(&self.own)
        } else {
            0
        };
        own ^ self.members.digest(index, slices) ^ self.notices.digest(index, slices)
    }

    fn add_difference(&self, slices: u16, digest: &PeerSlice, message: &mut PeerExchange) {
        let is_valid = slices > 0 && digest.index < slices;
        if !is_valid || self.digest(digest.index, slices) == digest.hash {
            return;
        }
        let room = MAX_ENTRIES_PER_ANSWER.saturating_sub(message.members.len());
        let members = self.members.in_slice(digest.index, slices).take(room);
        message
            .members
            .extend(members.map(|slot| slot.entry.to_wire()));
        let room = MAX_ENTRIES_PER_ANSWER.saturating_sub(message.notices.len());
        let notices = self.notices.in_slice(digest.index, slices).take(room);
        message.notices.extend(notices.map(PeerNotice::from));
    }

    /// Tells a peer that it is suspected, so that it can refute.
    fn add_doubt(&self, peer: &HostName, message: &mut PeerExchange) {
        let known = self.member(peer);
        let doubted = known.filter(|entry| entry.liveness != super::MemberLiveness::Alive);
        message.members.extend(doubted.map(MemberEntry::to_wire));
    }

    fn add_rumours(&mut self, told: &[RumourTopic], message: &mut PeerExchange) {
        for topic in self.rumours.take(MAX_RUMOURS_PER_MESSAGE, told) {
            match topic {
                RumourTopic::Table => {}
                RumourTopic::Notice(host) => {
                    let notice = self.notices.get(&host).map(PeerNotice::from);
                    message.notices.extend(notice);
                }
                RumourTopic::Member(name) if name == self.own.name => {
                    message.members.push(self.own.to_wire());
                }
                RumourTopic::Member(name) => {
                    let member = self.member(&name).map(MemberEntry::to_wire);
                    message.members.extend(member);
                }
            }
        }
    }

    fn encode(&mut self, message: &PeerExchange) -> Option<Bytes> {
        let body = to_msgpack(message).ok()?;
        self.counts.sent_messages += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.budget.spend(body.len());
        Some(body)
    }
}

fn told_topics(request: &PeerExchange) -> Vec<RumourTopic> {
    let members = request.members.iter().map(|member| &member.name);
    let members = members.chain([&request.from.name]);
    let members = members.map(|name| RumourTopic::Member(HostName::new(name.as_str())));
    let notices = request.notices.iter();
    let notices = notices.map(|notice| RumourTopic::Notice(HostName::new(notice.name.as_str())));
    members.chain(notices).chain([RumourTopic::Table]).collect()
}
