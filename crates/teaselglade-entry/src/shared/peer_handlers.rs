//! Handlers for requests of other entry hosts: gossip, table head and table.

use std::sync::Arc;

use bytes::Bytes;
use teaselglade_net::peer::PEER_CONTENT_TYPE;
use teaselglade_net::server::{read_body, stream_response, text_response};
use teaselglade_state::membership::{MAX_MESSAGE_BYTES, MembershipAction, MembershipEvent};
use teaselglade_wire::codec::to_msgpack;
use viz::{Request, Response};

use super::exchange_driver::perform_action;
use crate::host::EntryHost;

/// Path of gossip messages.
pub(crate) const GOSSIP_PATH: &str = "/peer/exchange";

/// Path that returns the head of a host's table.
pub(crate) const HEAD_PATH: &str = "/peer/head";

/// Path that returns a host's table.
pub(crate) const TABLE_PATH: &str = "/peer/table";

/// Handles a gossip message of a peer and responds with this host's updates.
pub(crate) async fn handle_gossip(host: Arc<EntryHost>, request: Request) -> Response {
    let Ok(body) = read_body(request, MAX_MESSAGE_BYTES).await else {
        host.metrics.peer_refusals.inc();
        return text_response(413, "the message is too long\n");
    };
    let now = host.now();
    let event = MembershipEvent::Request { token: 0, body };
    let actions = host.shared.membership().on_event(now, event);
    let mut response = text_response(500, "no answer\n");
    for action in actions {
        match action {
            MembershipAction::Answer { body, .. } => response = peer_response(body),
            MembershipAction::Refuse { refusal, .. } => {
                host.metrics.peer_refusals.inc();
                response = text_response(400, format!("{refusal}\n"));
            }
            other => perform_action(&host, other),
        }
    }
    host.shared.gossip_wake.notify_one();
    response
}

/// Returns the head of this host's table.
pub(crate) async fn handle_head_request(host: Arc<EntryHost>, _request: Request) -> Response {
    let is_known = host.shared.is_head_known();
    encode_response(&host.shared.replica().to_table_head(is_known))
}

/// Returns a snapshot of this host's table.
pub(crate) async fn handle_table_request(host: Arc<EntryHost>, _request: Request) -> Response {
    encode_response(&host.shared.replica().to_snapshot())
}

fn encode_response(message: &impl serde::Serialize) -> Response {
    match to_msgpack(message) {
        Ok(body) => peer_response(body),
        Err(error) => text_response(500, error.to_string()),
    }
}

fn peer_response(body: Bytes) -> Response {
    stream_response(200, PEER_CONTENT_TYPE, futures::stream::iter([Ok(body)]))
}
