//! Route that goes on with a stream.

use std::sync::Arc;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use viz::{Request, RequestExt, Response};

use super::refusal_answer::refusal_answer;
use super::stream_answer::event_answer;
use crate::handover::{find_holder, relay_stream};
use crate::host::EntryHost;
use crate::stream::ReaderSeat;

/// Goes on with a stream behind the event that `Last-Event-ID` names.
pub(crate) async fn resume(host: Arc<EntryHost>, request: Request) -> Response {
    let place = match read_place(&request) {
        Ok(place) => place,
        Err(refusal) => return refusal_answer(&refusal, None),
    };
    match take_seat(&host, &place).await {
        Ok(seat) => event_answer(seat, place.next as usize).await,
        Err(refusal) => refusal_answer(&refusal, Some(place.request)),
    }
}

async fn take_seat(
    host: &Arc<EntryHost>,
    place: &ResumePlace,
) -> Result<ReaderSeat, RequestRefusal> {
    let &ResumePlace {
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
struct ResumePlace {
    request: RequestId,
    next: u32,
    line: Option<u16>,
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
            line: None,
        });
    };
    let mut parts = last.rsplit('/');
    let index = parts.next().and_then(|index| index.parse::<u32>().ok());
    let index = index.ok_or_else(|| malformed(format!("Last-Event-ID `{last}`")))?;
    let line = parts.next().and_then(|line| line.parse::<u16>().ok());
    Ok(ResumePlace {
        request: id,
        next: index.saturating_add(1),
        line,
    })
}
