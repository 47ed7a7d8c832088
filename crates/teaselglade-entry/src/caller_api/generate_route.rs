//! Route of model requests.

use std::sync::Arc;

use teaselglade_core::table::ServiceKind;
use teaselglade_core::verdict::{RefusalReason, RequestRefusal};
use teaselglade_net::server::read_body;
use teaselglade_wire::GenerateBody;
use teaselglade_wire::codec::from_json;
use viz::{Request, Response};

use super::refusal_response::refusal_response;
use super::request_context::{MAX_BODY_BYTES, RequestContext, body_refusal};
use super::stream_response::{complete_response, event_response};
use crate::host::EntryHost;
use crate::placement::{PlacementRequest, admit};
use crate::stream::{ModelRequest, start_stream};

/// Takes a model request and answers with a stream or with one body.
pub(crate) async fn generate(host: Arc<EntryHost>, request: Request) -> Response {
    let (order, is_streamed) = match read_order(&host, request).await {
        Ok(order) => order,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    let placement = PlacementRequest::model(
        &order.organisation,
        &order.row,
        &order.prompt,
        &[],
        order.max_tokens,
    );
    let pass = match admit(&host, placement).await {
        Ok(pass) => pass,
        Err(refusal) => return refusal_response(&refusal, None),
    };
    let seat = start_stream(&host, order, pass);
    if is_streamed {
        return event_response(seat, 0).await;
    }
    complete_response(&seat.buffer).await
}

async fn read_order(
    host: &EntryHost,
    request: Request,
) -> Result<(ModelRequest, bool), RequestRefusal> {
    let context = RequestContext::read(host, &request, ServiceKind::Model)?;
    let body = read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| body_refusal(&error))?;
    let body = from_json::<GenerateBody>(&body)
        .map_err(|error| RequestRefusal::not_run(RefusalReason::BadRequest, error.to_string()))?;
    if body.max_tokens == 0 {
        let detail = "max_tokens must be at least 1";
        return Err(RequestRefusal::not_run(RefusalReason::BadRequest, detail));
    }
    let order = ModelRequest {
        organisation: context.organisation,
        row: context.row,
        deadline: context.deadline,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        adapter: body.adapter,
    };
    Ok((order, body.stream.unwrap_or(true)))
}
