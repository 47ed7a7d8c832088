//! Evidence on requests and prompt parts that end servers, as a host knows it.

use teaselglade_core::id::ServerKey;
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_routing::crash::{
    ContainedRun, CrashSubject, RequestSubjects, SubjectPermit, SubjectQuery,
};

use super::DecisionState;

impl DecisionState {
    /// Decides whether an attempt may be sent, by the standing of its request's subjects.
    ///
    /// Returns the run if a subject is contained; the ledger must then be told of the attempt's end.
    /// `attempt` is the number of the attempt within its request, from 1.
    ///
    /// # Errors
    ///
    /// Returns a "not run" refusal if a subject is quarantined, or contained and the attempt is a
    /// repeat or another one runs.
    pub fn permit_attempt<'a>(
        &mut self,
        now: Timestamp,
        organisation: &str,
        subjects: impl Into<RequestSubjects<'a>>,
        attempt: u32,
    ) -> Result<Option<ContainedRun>, RequestRefusal> {
        let query = SubjectQuery {
            organisation,
            subjects: subjects.into(),
            is_repeat: attempt > 1,
            may_try: self.membership.is_leader(),
        };
        match self.crash_ledger.permit(now, &query) {
            SubjectPermit::Unrestricted => Ok(None),
            SubjectPermit::Contained(run) => Ok(Some(run)),
            SubjectPermit::Refused {
                subject,
                retry_after,
            } => {
                let detail = match subject {
                    CrashSubject::Part(part) => {
                        format!("servers ended on part {part:x} of the prompt")
                    }
                    CrashSubject::Request(hash) => {
                        format!("servers ended under requests with the content {hash}")
                    }
                };
                let refusal = RequestRefusal::not_run(RefusalReason::Quarantined, detail);
                Err(refusal.retry_after(retry_after))
            }
        }
    }

    /// Records that a server ended while an attempt had brought no event or response.
    ///
    /// The end of a server that was known to leave says nothing of the request.
    pub fn record_server_end<'a>(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        organisation: &str,
        subjects: impl Into<RequestSubjects<'a>>,
    ) {
        if self.registry.takes_work(server) {
            let incarnation = self.registry.server(server).incarnation_hash();
            self.crash_ledger
                .record_end(now, incarnation, organisation, subjects);
        }
    }

    /// Records that an attempt brought an event or a response of a healthy server.
    pub fn record_answer<'a>(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        subjects: impl Into<RequestSubjects<'a>>,
    ) {
        let incarnation = self.registry.server(server).incarnation_hash();
        self.crash_ledger.record_event(now, incarnation, subjects);
    }

    /// Refutes the ends of servers that responded later and are still registered with the same start.
    pub fn confirm_responses(&mut self, now: Timestamp) {
        let registry = &self.registry;
        let is_current = |incarnation| registry.find_incarnation(incarnation).is_some();
        self.crash_ledger.confirm_responses(now, is_current);
    }
}
