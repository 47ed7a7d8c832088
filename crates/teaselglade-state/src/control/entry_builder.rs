//! Builds the audit trail entries of the control role.

use teaselglade_core::id::HostName;
use teaselglade_core::port::{CloudHost, HostOrder, ReclaimNotice};
use teaselglade_core::time::Timestamp;
use teaselglade_wire::{AuditAction, AuditEntry};

use super::ControlTerm;
use super::engine_record::EngineChange;

/// Builds the audit trail entries of one process.
#[derive(Debug)]
pub(super) struct EntryBuilder {
    host: String,
    /// Fencing number of the current lease or, without one, of the last lease.
    lease_number: Option<u64>,
}

impl EntryBuilder {
    pub(super) const fn new(host: String) -> Self {
        Self {
            host,
            lease_number: None,
        }
    }

    /// Sets the lease under which later entries are made; without a lease, keeps the last one.
    pub(super) fn set_term(&mut self, term: Option<ControlTerm>) {
        self.lease_number = term.map(|term| term.number.0).or(self.lease_number);
    }

    pub(super) fn host_ordered(&self, now: Timestamp, host: &CloudHost) -> AuditEntry {
        let to = format!("{} {}", host.name, describe_offer(&host.order));
        let token = host.order.token.as_str();
        self.entry(now, AuditAction::HostOrdered, token, Some(to))
    }

    pub(super) fn host_refused(&self, now: Timestamp, order: &HostOrder) -> AuditEntry {
        let to = Some(describe_offer(order));
        self.entry(now, AuditAction::HostRefused, &order.token, to)
    }

    pub(super) fn host_released(&self, now: Timestamp, host: &HostName) -> AuditEntry {
        self.entry(now, AuditAction::HostReleased, host.as_str(), None)
    }

    pub(super) fn notice_received(&self, now: Timestamp, notice: &ReclaimNotice) -> AuditEntry {
        let to = format!("taken back at_ms={}", notice.deadline.as_millis());
        let host = notice.host.as_str();
        self.entry(now, AuditAction::NoticeReceived, host, Some(to))
    }

    pub(super) fn engine_changed(
        &self,
        now: Timestamp,
        host: &HostName,
        change: &EngineChange,
    ) -> AuditEntry {
        let action = if change.is_correction {
            AuditAction::EngineCorrected
        } else {
            AuditAction::EngineOrdered
        };
        let to = Some(change.to.to_string());
        let mut entry = self.entry(now, action, host.as_str(), to);
        entry.from = change.from.as_ref().map(ToString::to_string);
        entry
    }

    fn entry(
        &self,
        now: Timestamp,
        action: AuditAction,
        subject: &str,
        to: Option<String>,
    ) -> AuditEntry {
        AuditEntry {
            actor: self.host.clone(),
            action,
            subject: subject.to_owned(),
            from: None,
            to,
            at_ms: now.as_millis(),
            number: self.lease_number,
        }
    }
}

fn describe_offer(order: &HostOrder) -> String {
    format!("{} {} {:?}", order.zone, order.class, order.purchase)
}
