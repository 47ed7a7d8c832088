//! Merges received gossip into the local membership state.

use bytes::Bytes;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_wire::PeerExchange;

use super::gossip_queue::GossipTopic;
use super::message_check::check_message;
use super::{
    LeavingNotice, MemberEntry, MemberLiveness, MembershipAction, MembershipMachine, MessageRefusal,
};

impl MembershipMachine {
    /// Decodes and checks a message, and counts the refusals by their reason.
    pub(super) fn accept_message(
        &mut self,
        body: &Bytes,
    ) -> std::result::Result<PeerExchange, MessageRefusal> {
        let checked = check_message(body, &self.settings.cluster);
        let checked = checked.and_then(|message| {
            let is_own_name = message.from.name == self.own.name.as_str();
            if is_own_name {
                return Err(MessageRefusal::DuplicateName);
            }
            Ok(message)
        });
        match checked {
            Err(MessageRefusal::Oversized) => self.counts.oversized += 1,
            Err(MessageRefusal::Malformed) => self.counts.malformed += 1,
            Err(MessageRefusal::ForeignCluster) => self.counts.foreign += 1,
            Err(MessageRefusal::Incompatible) => self.counts.incompatible += 1,
            Err(MessageRefusal::DuplicateName) => self.counts.duplicate_names += 1,
            Ok(_) => {}
        }
        checked
    }

    /// Merges a peer's message and adds the actions that follow from it.
    ///
    /// Pulls the table when the sender has a higher version than this host.
    pub(super) fn merge_message(
        &mut self,
        now: Timestamp,
        message: &PeerExchange,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(sender) = MemberEntry::from_wire(message.from.clone()) else {
            self.counts.malformed += 1;
            return;
        };
        let peer = sender.name.clone();
        let address = sender.address;
        if self.member(&peer) != Some(&sender) {
            self.merge_member(now, sender, actions);
        }
        self.record_contact(&peer);
        for member in &message.members {
            match MemberEntry::from_wire(member.clone()) {
                Some(member) => self.merge_member(now, member, actions),
                None => self.counts.malformed += 1,
            }
        }
        for notice in &message.notices {
            self.merge_notice(now, notice.clone().into(), actions);
        }
        if message.table == self.table_version {
            self.gossip.record_duplicate(&GossipTopic::Table);
        }
        if self.start_pull(now, message.table) {
            actions.push(MembershipAction::PullTable {
                peer: peer.clone(),
                address,
                version: message.table,
            });
        }
        if !message.demand.is_empty() {
            actions.push(MembershipAction::DemandReceived {
                peer,
                demand: message.demand.clone(),
            });
        }
    }

    /// Merges one member entry; an accepted entry is queued for gossip.
    pub(super) fn merge_member(
        &mut self,
        now: Timestamp,
        entry: MemberEntry,
        actions: &mut Vec<MembershipAction>,
    ) {
        if entry.name == self.own.name {
            self.refute(&entry);
            return;
        }
        let known = self.members.entry(&entry.name);
        let is_update = match known {
            Some(known) => entry.replaces(known),
            // Hosts expire failed members at different times: adding a failed entry that is
            // unknown here would bring back a member that this host has already removed.
            None => entry.is_reachable(),
        };
        if !is_update {
            self.gossip
                .record_duplicate(&GossipTopic::Member(entry.name));
            return;
        }
        self.members.upsert(now, entry.clone());
        self.gossip.enqueue(GossipTopic::Member(entry.name.clone()));
        actions.push(MembershipAction::MemberChanged(entry));
    }

    /// Merges a leaving notice; a new notice is queued for gossip.
    pub(super) fn merge_notice(
        &mut self,
        now: Timestamp,
        notice: LeavingNotice,
        actions: &mut Vec<MembershipAction>,
    ) {
        if !self.notices.insert(now, notice.clone()) {
            self.gossip
                .record_duplicate(&GossipTopic::Notice(notice.host));
            return;
        }
        self.gossip
            .enqueue(GossipTopic::Notice(notice.host.clone()));
        actions.push(MembershipAction::HostLeaving(notice));
    }

    /// Resets the count of missed calls of a peer.
    fn record_contact(&mut self, peer: &HostName) {
        let key = self.members.find(peer);
        if let Some(slot) = key.and_then(|key| self.members.get_mut(key)) {
            slot.missed_calls = 0;
        }
    }

    /// Refutes a suspicion of this host by gossiping a higher sequence number.
    fn refute(&mut self, entry: &MemberEntry) {
        let is_other_incarnation = entry.incarnation != self.own.incarnation;
        let is_stale = entry.sequence < self.own.sequence;
        if is_other_incarnation || is_stale || entry.liveness == MemberLiveness::Alive {
            return;
        }
        self.counts.refutations += 1;
        self.own.sequence = entry.sequence + 1;
        self.gossip
            .enqueue(GossipTopic::Member(self.own.name.clone()));
    }
}
