//! Composes gossip requests and answers.

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::codec::to_msgpack;
use teaselglade_wire::{PeerExchange, PeerNotice, PeerSlice};

use super::gossip_queue::GossipTopic;
use super::member_arena::entry_hash;
use super::message_check::{OLDEST_PROTOCOL_VERSION, PROTOCOL_VERSION};
use super::slice_digest::{name_hash, slice_count, slice_of};
use super::{MemberEntry, MembershipMachine};

const SLICES_PER_REQUEST: u16 = 8;
const MAX_GOSSIP_ITEMS_PER_MESSAGE: usize = 40;
const MAX_ENTRIES_PER_ANSWER: usize = 24;

impl MembershipMachine {
    /// Encodes a request to a peer.
    ///
    /// Regular gossip carries slice digests and the demand shares; a push of updates does not.
    pub(super) fn compose_request(&mut self, peer: &HostName, with_digests: bool) -> Option<Bytes> {
        let mut message = self.empty_message();
        if with_digests {
            message.demand.clone_from(&self.demand);
            self.add_digests(&mut message);
        }
        self.add_suspicion(peer, &mut message);
        self.add_gossip(&[], &mut message);
        self.encode(&message)
    }

    /// Encodes the answer to a peer's request.
    ///
    /// Always includes entries of differing slices, but queued updates only within the send budget.
    pub(super) fn compose_answer(
        &mut self,
        now: Timestamp,
        request: &PeerExchange,
    ) -> Option<Bytes> {
        let mut message = self.empty_message();
        self.add_suspicion(&HostName::new(request.from.name.as_str()), &mut message);
        let is_regular = !request.digests.is_empty();
        if is_regular {
            message.demand.clone_from(&self.demand);
        }
        for digest in &request.digests {
            self.add_difference(request.slices, digest, &mut message);
        }
        if self.budget.has_bytes(now) {
            self.add_gossip(&topics_known_to_sender(request), &mut message);
        }
        self.encode(&message)
    }

    fn empty_message(&self) -> PeerExchange {
        PeerExchange {
            cluster: self.settings.cluster.clone(),
            protocol: PROTOCOL_VERSION,
            oldest: OLDEST_PROTOCOL_VERSION,
            from: self.own.to_wire(),
            table: self.table_version,
            slices: 0,
            digests: Vec::new(),
            members: Vec::new(),
            notices: Vec::new(),
            demand: String::new(),
        }
    }

    /// Adds digests of the next slices, cycling through all slices over several requests.
    fn add_digests(&mut self, message: &mut PeerExchange) {
        let slices = slice_count(self.members.len() + 1 + self.notices.len());
        message.slices = slices;
        for _ in 0..SLICES_PER_REQUEST.min(slices) {
            let index = self.next_slice % slices;
            self.next_slice = (index + 1) % slices;
            message.digests.push(PeerSlice {
                index,
                hash: self.digest(index, slices),
            });
        }
    }

    /// Returns the digest of a slice of all members, this host and the leaving notices.
    fn digest(&self, index: u16, slices: u16) -> u64 {
        let is_own_slice = slice_of(name_hash(&self.own.name), slices) == index;
        let own = if is_own_slice {
            entry_hash(&self.own)
        } else {
            0
        };
        own ^ self.members.digest(index, slices) ^ self.notices.digest(index, slices)
    }

    /// Adds the local entries of a slice if the peer's digest of it differs.
    fn add_difference(&self, slices: u16, digest: &PeerSlice, message: &mut PeerExchange) {
        let is_valid = slices > 0 && digest.index < slices;
        if !is_valid || self.digest(digest.index, slices) == digest.hash {
            return;
        }
        let remaining = MAX_ENTRIES_PER_ANSWER.saturating_sub(message.members.len());
        let members = self.members.in_slice(digest.index, slices).take(remaining);
        message
            .members
            .extend(members.map(|slot| slot.entry.to_wire()));
        let remaining = MAX_ENTRIES_PER_ANSWER.saturating_sub(message.notices.len());
        let notices = self.notices.in_slice(digest.index, slices).take(remaining);
        message.notices.extend(notices.map(PeerNotice::from));
    }

    /// Adds the peer's own entry if it is suspected or failed, so that the peer can refute it.
    fn add_suspicion(&self, peer: &HostName, message: &mut PeerExchange) {
        let known = self.member(peer);
        let suspected = known.filter(|entry| entry.liveness != super::MemberLiveness::Alive);
        message.members.extend(suspected.map(MemberEntry::to_wire));
    }

    /// Adds queued updates that the receiver is not known to have.
    fn add_gossip(&mut self, known_topics: &[GossipTopic], message: &mut PeerExchange) {
        for topic in self
            .gossip
            .take_batch(MAX_GOSSIP_ITEMS_PER_MESSAGE, known_topics)
        {
            match topic {
                GossipTopic::Table => {}
                GossipTopic::Notice(host) => {
                    let notice = self.notices.get(&host).map(PeerNotice::from);
                    message.notices.extend(notice);
                }
                GossipTopic::Member(name) if name == self.own.name => {
                    message.members.push(self.own.to_wire());
                }
                GossipTopic::Member(name) => {
                    let member = self.member(&name).map(MemberEntry::to_wire);
                    message.members.extend(member);
                }
            }
        }
    }

    /// Encodes a message and charges its bytes to the counts and the budget.
    fn encode(&mut self, message: &PeerExchange) -> Option<Bytes> {
        let body = to_msgpack(message).ok()?;
        self.counts.sent_messages += 1;
        self.counts.sent_bytes += body.len() as u64;
        self.budget.spend(body.len());
        Some(body)
    }
}

/// Returns the topics in a request; its sender needs no gossip on them.
fn topics_known_to_sender(request: &PeerExchange) -> Vec<GossipTopic> {
    let members = request.members.iter().map(|member| &member.name);
    let members = members.chain([&request.from.name]);
    let members = members.map(|name| GossipTopic::Member(HostName::new(name.as_str())));
    let notices = request.notices.iter();
    let notices = notices.map(|notice| GossipTopic::Notice(HostName::new(notice.name.as_str())));
    members.chain(notices).chain([GossipTopic::Table]).collect()
}
