//! Performs the actions of the handover machine.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::{HostName, RequestId};
use teaselglade_request::handover::{
    HandoverAction, HandoverEvent, HandoverLimits, HandoverMachine, PeerReply,
};
use teaselglade_request::stream::{StreamEvent, StreamRecord};
use teaselglade_wire::PeerStreamReply;
use teaselglade_wire::codec::{from_msgpack, to_msgpack};

use super::ACCEPT_PATH;
use super::record_codec::encode_record;
use crate::host::EntryHost;
use crate::stream::{CommandSender, StreamCommand};

#[derive(Debug)]
struct OfferedStream {
    record: StreamRecord,
    commands: CommandSender,
}

#[derive(Debug)]
struct DriverState {
    machine: HandoverMachine,
    offers: HashMap<RequestId, OfferedStream>,
}

/// Performs the actions of the handover machine and reports outcomes to the streams.
#[derive(Debug)]
pub(crate) struct HandoverDriver {
    state: Mutex<DriverState>,
}

impl Default for HandoverDriver {
    fn default() -> Self {
        let state = DriverState {
            machine: HandoverMachine::new(HandoverLimits::default(), Vec::new()),
            offers: HashMap::new(),
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl HandoverDriver {
    /// Offers a stream's record to live peers; the stream's task receives the outcome.
    pub(crate) fn offer(
        &self,
        host: &Arc<EntryHost>,
        record: StreamRecord,
        commands: CommandSender,
    ) {
        let request = record.request.id;
        let generation = record.generation;
        let offer = OfferedStream { record, commands };
        self.lock().offers.insert(request, offer);
        let peers = host
            .live_peers()
            .into_iter()
            .map(|(peer, _)| peer)
            .collect();
        self.drive(host, HandoverEvent::PeersChanged { peers });
        let offered = HandoverEvent::Offered {
            request,
            generation,
        };
        self.drive(host, offered);
    }

    /// Returns whether no handover is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().machine.is_idle()
    }

    fn drive(&self, host: &Arc<EntryHost>, event: HandoverEvent) {
        let actions = self.lock().machine.on_event(host.now(), event);
        for action in actions {
            match action {
                HandoverAction::Send {
                    request,
                    peer,
                    generation,
                } => self.send(host, request, peer, generation),
                HandoverAction::Done { request } => {
                    self.report_outcome(request, StreamEvent::HandoverDone);
                }
                HandoverAction::Failed {
                    request,
                    generation,
                } => self.report_outcome(request, StreamEvent::HandoverFailed { generation }),
            }
        }
    }

    fn send(&self, host: &Arc<EntryHost>, request: RequestId, peer: HostName, generation: u16) {
        let state = self.lock();
        let Some(offer) = state.offers.get(&request) else {
            return;
        };
        let mut record = offer.record.clone();
        record.generation = generation;
        drop(state);
        let address = host.peer_address(&peer);
        let host = Arc::clone(host);
        tokio::spawn(async move {
            let reply = match address {
                Some(address) => send_record(&host, address, &record).await,
                None => PeerReply::Refused,
            };
            let replied = HandoverEvent::Replied {
                request,
                peer,
                reply,
            };
            host.handovers.drive(&host, replied);
        });
    }

    fn report_outcome(&self, request: RequestId, event: StreamEvent) {
        if let Some(offer) = self.lock().offers.remove(&request) {
            // A finished stream needs no outcome.
            let _finished = offer.commands.send(StreamCommand::Event(event));
        }
    }

    fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn send_record(host: &EntryHost, peer: SocketAddr, record: &StreamRecord) -> PeerReply {
    let Ok(body) = to_msgpack(&encode_record(record, host.now())) else {
        return PeerReply::Refused;
    };
    let Ok(response) = host.ports.peer.send(peer, ACCEPT_PATH, body).await else {
        return PeerReply::Unknown;
    };
    match from_msgpack::<PeerStreamReply>(&response) {
        Ok(reply) if reply.accepted => PeerReply::Accepted,
        Ok(_refused) => PeerReply::Refused,
        Err(_malformed) => PeerReply::Unknown,
    }
}
