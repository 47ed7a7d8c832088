//! Limits that servers name, as a host knows them.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_routing::limit::{
    LimitChange, LimitReport, LimitWord, PermitAnswer, PermitRequest,
};

use super::{DecisionState, PermitStep};

impl DecisionState {
    /// Records what a response says of its server's limit; returns the change, if any.
    ///
    /// `sent_at` is the time at which its request was sent.
    pub fn record_limit(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        sent_at: Timestamp,
        word: LimitWord,
    ) -> Option<LimitChange> {
        let incarnation = self.registry.server(server).incarnation_hash();
        let change = self
            .limits
            .record_response(now, incarnation, sent_at, word)?;
        self.registry.record_permit_denial(server, now);
        Some(change)
    }

    /// Merges what another host knows of limited servers; returns the changes.
    pub fn merge_limits(&mut self, now: Timestamp, report: &LimitReport) -> Vec<LimitChange> {
        if !report.host.is_empty() {
            let issued = &report.issued;
            self.permit_issuer
                .receive_issued(now, &report.host, report.started_at_us, issued);
        }
        let changes = self.limits.merge(now, &report.notices);
        for change in &changes {
            if let Some(server) = self.registry.find_incarnation(change.server) {
                self.registry.record_permit_denial(server, now);
            }
        }
        changes
    }

    /// Returns what this host tells its peers of limited servers with its digest of this number.
    ///
    /// What peers told this host is left out, as they tell it themselves or through an aggregator.
    #[must_use]
    pub fn limit_report(
        &self,
        now: Timestamp,
        started_at_us: u64,
        digest_number: u64,
    ) -> LimitReport {
        LimitReport {
            host: self.own_name.clone(),
            started_at_us,
            notices: self.limits.notices(now, digest_number, true),
            issued: self.permit_issuer.issued(),
        }
    }

    /// Returns what an aggregator tells the hosts that it serves of limited servers.
    #[must_use]
    pub fn limit_aggregate(&self, now: Timestamp, aggregate_number: u64) -> LimitReport {
        LimitReport {
            host: String::new(),
            started_at_us: 0,
            notices: self.limits.notices(now, aggregate_number, false),
            issued: Vec::new(),
        }
    }

    /// Drops what is known of limits that ended and of servers that are gone.
    pub fn prune_limits(&mut self, now: Timestamp) {
        let registry = &self.registry;
        self.limits
            .prune(now, |server| registry.find_incarnation(server).is_some());
        self.permit_issuer.prune(now);
    }

    /// Returns whether requests to a server need permits.
    #[must_use]
    pub fn needs_permit(&self, server: ServerKey) -> bool {
        let incarnation = self.registry.server(server).incarnation_hash();
        self.limits.limit(incarnation).is_some()
    }

    /// Takes the first step towards a permit to send one request to a limited server.
    ///
    /// `max_wait` is how long the request may wait for its turn.
    pub fn begin_permit(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        max_wait: Duration,
    ) -> PermitStep {
        let incarnation = self.registry.server(server).incarnation_hash();
        let Some(notice) = self.limits.notice(now, incarnation) else {
            let answer = PermitAnswer::Granted { wait_ms: 0 };
            return PermitStep::Decided {
                incarnation,
                answer,
            };
        };
        match self.membership.permit_issuer(now, incarnation) {
            Some(issuer) => PermitStep::Ask {
                incarnation,
                issuer,
                notice,
            },
            None => PermitStep::Decided {
                incarnation,
                answer: self.issue_own_permit(now, incarnation, max_wait),
            },
        }
    }

    /// Decides on another host's request for a permit, which also tells this host of the limit.
    ///
    /// Returns the decision, and the change of the limit as this host knew it.
    pub fn answer_permit(
        &mut self,
        now: Timestamp,
        request: &PermitRequest,
    ) -> (PermitAnswer, Vec<LimitChange>) {
        let changes = self.limits.merge(now, &[request.notice]);
        let Some(limit) = self.limits.limit(request.notice.server) else {
            return (PermitAnswer::Granted { wait_ms: 0 }, changes);
        };
        let view = self.membership.issuer_view(now);
        let answer = self.permit_issuer.answer(now, request, limit, view);
        (answer, changes)
    }

    /// Issues a permit to this host; a server whose limit has ended needs none.
    fn issue_own_permit(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        max_wait: Duration,
    ) -> PermitAnswer {
        let Some(limit) = self.limits.limit(incarnation) else {
            return PermitAnswer::Granted { wait_ms: 0 };
        };
        let view = self.membership.issuer_view(now);
        self.permit_issuer
            .issue(now, incarnation, limit, view, max_wait)
    }
}
