//! Waits at the gate on behalf of one request.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_placement::limit::LimitedRequest;
use tokio::time::sleep;

use super::PlacementRequest;
use crate::host::EntryHost;

const ASK_INTERVAL: Duration = Duration::from_millis(5);

/// Counts a request against its limits until it is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    host: Arc<EntryHost>,
    limited: LimitedRequest,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.host.placement().release_limits(&self.limited);
    }
}

/// Leaves the gate when its request's caller goes away.
#[derive(Debug)]
struct QueuedRequest<'a> {
    host: &'a EntryHost,
    request: RequestId,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        self.host.placement().cancel_admission(self.request);
    }
}

/// Checks the limits and waits for the turn of a model request.
///
/// # Errors
///
/// Refuses with "not run" and when to come back.
pub(crate) async fn admit(
    host: &Arc<EntryHost>,
    order: PlacementRequest,
) -> Result<AdmissionPermit, RequestRefusal> {
    let service = order.row.name.clone();
    let limited = LimitedRequest::new(&order.organisation, &service, order.answer_tokens);
    let pass = check_limits(host, limited)?;
    let request = host.new_request();
    host.placement().offer(host.now(), request, order)?;
    let seat = QueuedRequest { host, request };
    loop {
        let outcome = host
            .placement()
            .poll_admission(host.now(), &service, request);
        if let Some(outcome) = outcome {
            drop(seat);
            return outcome.map(|()| pass);
        }
        sleep(ASK_INTERVAL).await;
    }
}

/// Checks the limits for a call to a plain service.
///
/// # Errors
///
/// Refuses with "not run" and when to come back.
pub(crate) fn admit_plain(
    host: &Arc<EntryHost>,
    organisation: &str,
    service: &str,
) -> Result<AdmissionPermit, RequestRefusal> {
    check_limits(host, LimitedRequest::new(organisation, service, 0))
}

fn check_limits(
    host: &Arc<EntryHost>,
    limited: LimitedRequest,
) -> Result<AdmissionPermit, RequestRefusal> {
    host.placement().check_limits(host.now(), &limited)?;
    Ok(AdmissionPermit {
        host: Arc::clone(host),
        limited,
    })
}
