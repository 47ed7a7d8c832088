//! Route for model requests.

use std::sync::Arc;

use teaselglade_core::table::ServiceKind;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_net::server::read_body;
use teaselglade_wire::GenerateBody;
use teaselglade_wire::codec::from_json;
use viz::{Request, Response};

use super::refusal_response::refusal_response;
use super::request_context::{MAX_BODY_BYTES, RequestContext, body_refusal, check_ready};
use super::stream_response::{complete_response, event_response};
use crate::host::EntryHost;
use crate::placement::{PlacementRequest, admit};
use crate::stream::{ModelRequest, start_stream};

/// Handles a model request; responds with a stream of events or one JSON body.
pub(crate) async fn generate(host: Arc<EntryHost>, request: Request) -> Response {
    let (model_request, is_streamed) = match read_request(&host, request).await {
        Ok(model_request) => model_request,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    let placement_request = PlacementRequest::model(
        &model_request.organisation,
        &model_request.row,
        &model_request.prompt,
        &[],
        model_request.max_tokens,
    );
    let permit = match admit(&host, placement_request).await {
        Ok(permit) => permit,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    let reader = start_stream(&host, model_request, permit);
    if is_streamed {
        return event_response(reader, 0).await;
    }
    complete_response(&reader.buffer).await
}

async fn read_request(
    host: &EntryHost,
    request: Request,
) -> Result<(ModelRequest, bool), RequestRefusal> {
    let context = RequestContext::read(host, &request, ServiceKind::Model)?;
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| body_refusal(&error))?;
    check_ready(host)?;
    let body = from_json::<GenerateBody>(&body)
        .map_err(|error| RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string()))?;
    if body.max_tokens == 0 {
        let detail = "max_tokens must be at least 1";
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    let model_request = ModelRequest {
        organisation: context.organisation,
        row: context.row,
        deadline: context.deadline,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
    };
    Ok((model_request, body.stream.unwrap_or(true)))
}
