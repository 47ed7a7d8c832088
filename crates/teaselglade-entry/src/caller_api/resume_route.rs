//! Route that goes on with a stream.

use std::sync::Arc;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use viz::{Request, RequestExt, Response};

use super::refusal_answer::refusal_answer;
use super::stream_answer::event_answer;
use crate::host::EntryHost;

/// Goes on with a stream behind the event that `Last-Event-ID` names.
pub(crate) async fn resume(host: Arc<EntryHost>, request: Request) -> Response {
    let place = match read_place(&request) {
        Ok(place) => place,
        Err(refusal) => return refusal_answer(&refusal, None),
    };
    match host.streams.find(place.request) {
        Some(record) => event_answer(record, place.next).await,
        None => refusal_answer(&unknown(place.request), Some(place.request)),
    }
}

#[derive(Debug)]
struct ResumePlace {
    request: RequestId,
    next: usize,
}

fn read_place(request: &Request) -> Result<ResumePlace, RequestRefusal> {
    let malformed = |detail: String| {
        // The request that the caller comes back for may have run; only this call did not.
        let verdict = ExecutionVerdict::MayHaveRun;
        RequestRefusal::with_verdict(verdict, RefusalReason::BadRequest, detail)
    };
    let name = request.param::<String>("request").unwrap_or_default();
    let id = name
        .parse()
        .map_err(|error| malformed(format!("{error}")))?;
    let Some(last) = request.header::<_, String>("last-event-id") else {
        return Ok(ResumePlace {
            request: id,
            next: 0,
        });
    };
    let index = last
        .rsplit('/')
        .next()
        .and_then(|index| index.parse::<usize>().ok());
    let index = index.ok_or_else(|| malformed(format!("Last-Event-ID `{last}`")))?;
    Ok(ResumePlace {
        request: id,
        next: index + 1,
    })
}

fn unknown(request: RequestId) -> RequestRefusal {
    let verdict = ExecutionVerdict::MayHaveRun;
    RequestRefusal::with_verdict(verdict, RefusalReason::UnknownRequest, request.to_string())
}
