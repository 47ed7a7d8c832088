//! Dispatches one call to a plain server.

use teaselglade_core::id::AttemptId;
use teaselglade_core::port::{PlainAnswer, PlainCall};
use teaselglade_core::table::ServiceRow;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};

use crate::host::EntryHost;

/// One call to a plain server.
#[derive(Debug)]
pub(crate) struct PlainOrder {
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Attempt, method, path, headers and body.
    pub(crate) call: PlainCall,
}

/// Dispatches a call once.
///
/// # Errors
///
/// Returns the refusal with its verdict where there is no answer.
pub(crate) async fn run_plain(
    host: &EntryHost,
    order: PlainOrder,
) -> Result<PlainAnswer, RequestRefusal> {
    debug_assert_eq!(
        order.call.attempt,
        AttemptId::first(order.call.attempt.request)
    );
    let Some(server) = host.choose_server(&order.row, &[]) else {
        return Err(RequestRefusal::not_run(
            RefusalReason::NoServer,
            order.row.name,
        ));
    };
    let result = host.ports.backend.call(server.address, order.call).await;
    host.release_server(server.key);
    result.map_err(|error| {
        let verdict = ExecutionVerdict::after_attempt(error.progress);
        RequestRefusal::with_verdict(verdict, RefusalReason::AttemptFailed, error.detail)
    })
}
