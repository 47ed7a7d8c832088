//! Merges the host list, which lags.

use teaselglade_core::port::{ListedHost, ListedRole};
use teaselglade_core::time::Timestamp;

use super::{LeavingNotice, MemberEntry, MemberLiveness, MembershipAction, MembershipMachine};

impl MembershipMachine {
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
                self.merge_listed(now, host, actions);
            }
        }
    }

    /// Takes a listed host in; the list never changes what is known of an incarnation.
    fn merge_listed(
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
        let is_news = known.is_none_or(|known| entry.incarnation > known.incarnation);
        if is_news && entry.name != self.own.name {
            self.members.put(now, entry.clone());
            actions.push(MembershipAction::MemberChanged(entry));
        }
    }
}
