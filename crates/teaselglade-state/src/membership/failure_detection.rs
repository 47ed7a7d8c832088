//! Suspects, fails and removes peers that miss heartbeats.

use std::time::Duration;

use teaselglade_core::id::{HostKey, HostName};
use teaselglade_core::time::Timestamp;

use super::{MemberEntry, MemberLiveness, MembershipAction, MembershipMachine};

const MISSED_CALLS_TO_SUSPECT: u32 = 3;
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
const FAILED_MEMBER_TTL: Duration = Duration::from_hours(2);

impl MembershipMachine {
    /// Counts a failed call to a peer; repeats the call or suspects the peer.
    pub(super) fn on_call_failed(
        &mut self,
        now: Timestamp,
        peer: &HostName,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(key) = self.members.find(peer) else {
            return;
        };
        let Some(slot) = self.members.get_mut(key) else {
            return;
        };
        slot.missed_calls += 1;
        let missed = slot.missed_calls;
        if slot.entry.liveness != MemberLiveness::Alive {
            return;
        }
        if missed < MISSED_CALLS_TO_SUSPECT {
            self.send_gossip(key, true, actions);
            return;
        }
        let suspect = MemberEntry {
            liveness: MemberLiveness::Suspect,
            ..slot.entry.clone()
        };
        self.merge_member(now, suspect, actions);
    }

    /// Marks members as failed whose suspicion was not refuted in time.
    ///
    /// The change is not queued for gossip: every host applies the timeout by itself.
    pub(super) fn fail_suspects(&mut self, now: Timestamp, actions: &mut Vec<MembershipAction>) {
        let is_overdue = |key: &HostKey| {
            self.members.get(*key).is_some_and(|slot| {
                let is_suspect = slot.entry.liveness == MemberLiveness::Suspect;
                is_suspect && now - slot.changed_at >= SUSPICION_TIMEOUT
            })
        };
        let overdue = self.members.keys().filter(is_overdue).collect::<Vec<_>>();
        for key in overdue {
            let Some(slot) = self.members.get(key) else {
                continue;
            };
            let failed = MemberEntry {
                liveness: MemberLiveness::Failed,
                ..slot.entry.clone()
            };
            self.members.upsert(now, failed.clone());
            actions.push(MembershipAction::MemberChanged(failed));
        }
    }

    /// Removes failed members and leaving notices that are past their TTL.
    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        self.notices.remove_expired(now);
        let is_old = |key: &HostKey| {
            self.members.get(*key).is_some_and(|slot| {
                !slot.entry.is_reachable() && now - slot.changed_at >= FAILED_MEMBER_TTL
            })
        };
        let old = self.members.keys().filter(is_old).collect::<Vec<_>>();
        for key in old {
            self.members.remove(key);
        }
    }
}
