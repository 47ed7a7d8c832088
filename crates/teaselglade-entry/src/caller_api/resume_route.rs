//! Route that goes on with a stream.

use std::sync::Arc;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use viz::{Request, RequestExt, Response};

use super::refusal_response::refusal_response;
use super::stream_response::event_response;
use crate::handover::{find_holder, relay_stream};
use crate::host::EntryHost;
use crate::stream::StreamReader;

/// Goes on with a stream behind the event that `Last-Event-ID` names.
pub(crate) async fn resume(host: Arc<EntryHost>, request: Request) -> Response {
    let place = match read_position(&request) {
        Ok(place) => place,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    match attach_reader(&host, &place).await {
        Ok(seat) => event_response(seat, place.next as usize).await,
        Err(refusal) => refusal_response(&refusal, Some(place.request)),
    }
}

async fn attach_reader(
    host: &Arc<EntryHost>,
    place: &ResumePosition,
) -> Result<StreamReader, RequestRefusal> {
    let &ResumePosition {
        request,
        next,
        line,
    } = place;
    if let Some(seat) = host.streams.attach(request, next, line).await {
        return seat;
    }
    let holder = find_holder(host, request, line).await?;
    Ok(relay_stream(host, holder, request, next, line))
}

#[derive(Debug)]
struct ResumePosition {
    request: RequestId,
    next: u32,
    line: Option<u16>,
}

fn read_position(request: &Request) -> Result<ResumePosition, RequestRefusal> {
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
        return Ok(ResumePosition {
            request: id,
            next: 0,
            line: None,
        });
    };
    let mut parts = last.rsplit('/');
    let index = parts.next().and_then(|index| index.parse::<u32>().ok());
    let index = index.ok_or_else(|| malformed(format!("Last-Event-ID `{last}`")))?;
    let line = parts.next().and_then(|line| line.parse::<u16>().ok());
    Ok(ResumePosition {
        request: id,
        next: index.saturating_add(1),
        line,
    })
}
