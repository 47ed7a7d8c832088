//! Route that resumes a stream.

use std::sync::Arc;

use teaselglade_core::id::RequestId;
use teaselglade_core::verdict::{ExecutionVerdict, RefusalReason, RequestRefusal};
use viz::{Request, RequestExt, Response};

use super::refusal_response::refusal_response;
use super::stream_response::event_response;
use crate::handover::{find_holder, relay_stream};
use crate::host::EntryHost;
use crate::stream::StreamReader;

/// Resumes a stream after the event in `Last-Event-ID`, or from its first token without one.
pub(crate) async fn resume(host: Arc<EntryHost>, request: Request) -> Response {
    let position = match read_position(&request) {
        Ok(position) => position,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    match attach_reader(&host, &position).await {
        Ok(reader) => event_response(reader, position.next as usize).await,
        Err(refusal) => refusal_response(&refusal, Some(position.request)),
    }
}

async fn attach_reader(
    host: &Arc<EntryHost>,
    position: &ResumePosition,
) -> Result<StreamReader, RequestRefusal> {
    let &ResumePosition {
        request,
        next,
        copy_id,
    } = position;
    if let Some(reader) = host.streams.attach(request, next, copy_id).await {
        return reader;
    }
    let holder = find_holder(host, request, copy_id).await?;
    Ok(relay_stream(host, holder, request, next, copy_id))
}

#[derive(Debug)]
struct ResumePosition {
    request: RequestId,
    next: u32,
    copy_id: Option<u16>,
}

fn read_position(request: &Request) -> Result<ResumePosition, RequestRefusal> {
    let malformed = |detail: String| {
        // The request that the caller resumes may have run, although this call did not.
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
            copy_id: None,
        });
    };
    let mut parts = last.rsplit('/');
    let index = parts.next().and_then(|index| index.parse::<u32>().ok());
    let index = index.ok_or_else(|| malformed(format!("Last-Event-ID `{last}`")))?;
    let copy_id = parts.next().and_then(|copy_id| copy_id.parse::<u16>().ok());
    Ok(ResumePosition {
        request: id,
        next: index.saturating_add(1),
        copy_id,
    })
}
