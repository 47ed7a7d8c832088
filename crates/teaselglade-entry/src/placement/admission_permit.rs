//! Admission of one request: limits and the admission queue.

use std::sync::Arc;
use std::time::Duration;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_placement::limit::LimitedRequest;
use tokio::time::sleep;

use super::PlacementRequest;
use crate::host::EntryHost;

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Counts an admitted request against its limits until dropped.
#[derive(Debug)]
pub(crate) struct AdmissionPermit {
    host: Arc<EntryHost>,
    limited_request: LimitedRequest,
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        self.host.placement().release_limits(&self.limited_request);
    }
}

/// Cancels the admission of a request when dropped, as when its caller disconnects.
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

/// Checks the limits of a model request and waits until the admission queue dispatches it.
///
/// # Errors
///
/// Returns a refusal with the verdict "not run" and a retry delay.
pub(crate) async fn admit(
    host: &Arc<EntryHost>,
    placement_request: PlacementRequest,
) -> Result<AdmissionPermit, RequestRefusal> {
    let service = placement_request.row.name.clone();
    let limited_request = LimitedRequest::new(
        &placement_request.organisation,
        &service,
        placement_request.answer_tokens,
    );
    let permit = check_limits(host, limited_request)?;
    let request = host.new_request();
    host.placement()
        .offer(host.now(), request, placement_request)?;
    let queued = QueuedRequest { host, request };
    loop {
        let outcome = host
            .placement()
            .poll_admission(host.now(), &service, request);
        if let Some(outcome) = outcome {
            drop(queued);
            return outcome.map(|()| permit);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Checks the limits of a call to a plain service.
///
/// # Errors
///
/// Returns a refusal with the verdict "not run" and a retry delay.
pub(crate) fn admit_plain(
    host: &Arc<EntryHost>,
    organisation: &str,
    service: &str,
) -> Result<AdmissionPermit, RequestRefusal> {
    check_limits(host, LimitedRequest::new(organisation, service, 0))
}

fn check_limits(
    host: &Arc<EntryHost>,
    limited_request: LimitedRequest,
) -> Result<AdmissionPermit, RequestRefusal> {
    host.placement()
        .check_limits(host.now(), &limited_request)?;
    Ok(AdmissionPermit {
        host: Arc::clone(host),
        limited_request,
    })
}
