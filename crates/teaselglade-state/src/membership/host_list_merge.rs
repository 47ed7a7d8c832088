//! Merges the platform's host list, which lags behind gossip.

use teaselglade_core::port::{ListedHost, ListedRole};
use teaselglade_core::time::Timestamp;

use super::{LeavingNotice, MemberEntry, MemberLiveness, MembershipAction, MembershipMachine};

impl MembershipMachine {
    /// Merges the leaving notices and the entry hosts of a host list.
    pub(super) fn on_host_list(
        &mut self,
        now: Timestamp,
        hosts: Vec<ListedHost>,
        actions: &mut Vec<MembershipAction>,
    ) {
        for host in hosts {
            let is_entry = host.role == ListedRole::Entry;
            if host.leaving {
                let notice = LeavingNotice {
                    host: host.name.clone(),
                    incarnation: host.incarnation,
                    is_entry,
                    issued: now,
                    deadline: now,
                };
                self.merge_notice(now, notice, actions);
            }
            if is_entry {
                self.merge_listed_host(now, host, actions);
            }
        }
    }

    /// Adds a listed host if it is unknown or a newer incarnation.
    ///
    /// The list lags, so it never changes the entry of an incarnation that is already known.
    fn merge_listed_host(
        &mut self,
        now: Timestamp,
        host: ListedHost,
        actions: &mut Vec<MembershipAction>,
    ) {
        let entry = MemberEntry {
            name: host.name,
            incarnation: host.incarnation,
            sequence: 0,
            liveness: MemberLiveness::Alive,
            address: host.address,
            zone: host.zone,
        };
        let known = self.members.entry(&entry.name);
        let is_update = known.is_none_or(|known| entry.incarnation > known.incarnation);
        if is_update && entry.name != self.own.name {
            self.members.upsert(now, entry.clone());
            actions.push(MembershipAction::MemberChanged(entry));
        }
    }
}
