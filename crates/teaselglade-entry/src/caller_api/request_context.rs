//! Checks that apply to every request of a caller.

use std::time::Duration;

use teaselglade_core::table::{ServiceKind, ServiceRow};
use teaselglade_core::time::Timestamp;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_net::server::BodyError;
use viz::{Request, RequestExt};

use crate::host::EntryHost;

/// Header that names the caller's organisation.
pub(crate) const ORGANISATION_HEADER: &str = "x-organisation";

/// Header with the caller's timeout in milliseconds, counted from the arrival of the request.
pub(crate) const TIMEOUT_HEADER: &str = "x-deadline-ms";

const DEFAULT_TIMEOUT: Duration = Duration::from_mins(2);
const MAX_TIMEOUT: Duration = Duration::from_mins(10);
/// Retry delay of a request that this host does not accept; another host may accept it at once.
const NOT_READY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum size of a request's body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Holds the organisation, service and deadline of one request.
#[derive(Debug)]
pub(crate) struct RequestContext {
    /// Organisation of the caller.
    pub(crate) organisation: String,
    /// Row of the service.
    pub(crate) row: ServiceRow,
    /// Time by which the response must be complete.
    pub(crate) deadline: Timestamp,
}

impl RequestContext {
    /// Checks that this host accepts requests and that the table has the service and organisation.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the verdict "not run".
    pub(crate) fn read(
        host: &EntryHost,
        request: &Request,
        kind: ServiceKind,
    ) -> Result<Self, RequestRefusal> {
        check_ready(host)?;
        let table = host.table();
        let service = request.param::<String>("service").unwrap_or_default();
        let row = table.rows.service(&service).filter(|row| row.kind == kind);
        let row = row.ok_or_else(|| refuse(RefusalReason::UnknownService, &service))?;
        let organisation = request.header::<_, String>(ORGANISATION_HEADER);
        let organisation = organisation.ok_or_else(|| {
            refuse(
                RefusalReason::UnknownOrganisation,
                "header x-organisation is missing",
            )
        })?;
        if table.rows.organisation(&organisation).is_none() {
            return Err(refuse(RefusalReason::UnknownOrganisation, &organisation));
        }
        Ok(Self {
            organisation,
            row: row.clone(),
            deadline: host.now() + read_timeout(request)?,
        })
    }
}

/// Checks that this host accepts requests.
///
/// This is checked again once the body has arrived: the host may have begun to stop in the meantime.
///
/// # Errors
///
/// Returns a refusal with the verdict "not run".
pub(crate) fn check_ready(host: &EntryHost) -> Result<(), RequestRefusal> {
    if host.is_ready() {
        return Ok(());
    }
    let refusal = RequestRefusal::not_run(RefusalReason::NotReady, &host.settings.host);
    Err(refusal.retry_after(NOT_READY_RETRY_DELAY))
}

fn read_timeout(request: &Request) -> Result<Duration, RequestRefusal> {
    let Some(text) = request.header::<_, String>(TIMEOUT_HEADER) else {
        return Ok(DEFAULT_TIMEOUT);
    };
    let millis = text.parse::<u64>().ok().filter(|millis| *millis > 0);
    let timeout = millis
        .map(Duration::from_millis)
        .filter(|timeout| *timeout <= MAX_TIMEOUT);
    timeout.ok_or_else(|| {
        let detail =
            format!("{TIMEOUT_HEADER}: `{text}` is no number of milliseconds up to 600000");
        refuse(RefusalReason::BadRequest, &detail)
    })
}

/// Converts an error of reading the body into a refusal.
pub(crate) fn body_refusal(error: &BodyError) -> RequestRefusal {
    let reason = match error {
        BodyError::TooLarge { .. } => RefusalReason::TooLarge,
        BodyError::Truncated { .. } => RefusalReason::BadRequest,
    };
    refuse(reason, &error.to_string())
}

fn refuse(reason: RefusalReason, detail: &str) -> RequestRefusal {
    RequestRefusal::not_run(reason, detail)
}
