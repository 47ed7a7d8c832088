//! Handover of records and reconnection of callers in the simulated fleet.

use std::collections::BTreeMap;

use rand::Rng;
use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::handover::{
    HandoverAction, HandoverEvent, HolderAnswer, HolderSearch, PeerReply, SearchAction,
};
use teaselglade_request::stream::{CallerSession, StreamEvent, StreamMachine, StreamRecord};

use super::SimulatedFleet;
use super::fleet::{FleetEvent, HostedStream, NETWORK_DELAY, RECONNECT_DELAY};

impl SimulatedFleet {
    pub(super) fn offer(&mut self, host: usize, caller: usize, record: StreamRecord) {
        let request = record.request.id;
        let generation = record.generation;
        self.hosts[host].records.insert(caller, record);
        let peers = (0..self.hosts.len()).filter(|peer| {
            *peer != host && self.hosts[*peer].is_up && !self.hosts[*peer].is_leaving
        });
        let peers = peers.map(host_name).collect();
        self.apply_handover_event(host, HandoverEvent::PeersChanged { peers });
        self.apply_handover_event(
            host,
            HandoverEvent::Offered {
                request,
                generation,
            },
        );
    }

    pub(super) fn apply_handover_event(&mut self, host: usize, event: HandoverEvent) {
        if !self.hosts[host].is_up {
            return;
        }
        let actions = self.hosts[host].handover.on_event(self.now, event);
        for action in actions {
            match action {
                HandoverAction::Send {
                    request,
                    peer,
                    generation,
                } => {
                    let mut record = self.hosts[host].records[&caller_index(request)].clone();
                    record.generation = generation;
                    let record = Box::new(record);
                    let to = host_index(&peer);
                    self.schedule(
                        NETWORK_DELAY,
                        FleetEvent::Record {
                            from: host,
                            to,
                            record,
                        },
                    );
                }
                HandoverAction::Done { request } => {
                    self.send_event(host, caller_index(request), StreamEvent::HandoverDone);
                }
                HandoverAction::Failed {
                    request,
                    generation,
                } => {
                    let event = StreamEvent::HandoverFailed { generation };
                    self.send_event(host, caller_index(request), event);
                }
            }
        }
    }

    pub(super) fn receive_record(&mut self, from: usize, to: usize, record: StreamRecord) {
        let request = record.request.id;
        let caller = caller_index(request);
        let peer = host_name(to);
        let entry_host = &mut self.hosts[to];
        let mut reply = PeerReply::Accepted;
        if !entry_host.is_up {
            reply = PeerReply::Unknown;
        } else if entry_host.is_leaving {
            reply = PeerReply::Refused;
        } else if entry_host
            .streams
            .get(&caller)
            .is_none_or(|stream| stream.machine.generation() < record.generation)
        {
            let stream = HostedStream {
                machine: StreamMachine::resume(record, self.setup.limits, self.now),
                session: CallerSession::default(),
                connection: None,
                pending_connections: BTreeMap::new(),
            };
            entry_host.streams.insert(caller, stream);
            self.apply_event(to, caller, StreamEvent::Admitted { prefer: None });
        }
        if self.hosts[from].lost_replies > 0 {
            self.hosts[from].lost_replies -= 1;
            reply = PeerReply::Unknown;
        }
        let event = HandoverEvent::Replied {
            request,
            peer,
            reply,
        };
        self.schedule(NETWORK_DELAY, FleetEvent::Reply { host: from, event });
    }

    /// Closes a caller's connection, after which the caller reconnects.
    pub(super) fn close_connection(&mut self, caller: usize, connection: Option<u32>) {
        let is_current = connection == Some(self.callers[caller].connection);
        if is_current && self.callers[caller].outcome.is_none() {
            self.callers[caller].connection += 1;
            let connection = self.callers[caller].connection;
            self.schedule(
                RECONNECT_DELAY,
                FleetEvent::Reconnect { caller, connection },
            );
        }
    }

    pub(super) fn reconnect(&mut self, caller: usize, connection: u32) {
        if self.callers[caller].connection != connection {
            return;
        }
        let from = self.callers[caller].tokens.len() as u32;
        let copy_id = self.callers[caller].copy_id;
        let is_up = |host: &usize| self.hosts[*host].is_up;
        let up = (0..self.hosts.len()).filter(is_up).collect::<Vec<_>>();
        if up.is_empty() {
            return;
        }
        let entry = up[self.random.random_range(0..up.len())];
        let holder = if self.hosts[entry].streams.contains_key(&caller) {
            Ok(entry)
        } else {
            self.search(entry, caller)
        };
        let host = match holder {
            Ok(host) => host,
            Err(refusal) => {
                self.schedule(
                    NETWORK_DELAY,
                    FleetEvent::Refuse {
                        caller,
                        connection,
                        refusal,
                    },
                );
                return;
            }
        };
        let Some(stream) = self.hosts[host].streams.get_mut(&caller) else {
            return;
        };
        stream.session = stream.session.next();
        let session = stream.session;
        stream.pending_connections.insert(session, connection);
        self.apply_event(
            host,
            caller,
            StreamEvent::CallerResumed {
                session,
                from,
                copy_id: Some(copy_id),
            },
        );
    }

    pub(super) fn search(&self, entry: usize, caller: usize) -> Result<usize, RequestRefusal> {
        let peers = (0..self.hosts.len()).filter(|peer| *peer != entry);
        let peers = peers.map(host_name).collect::<Vec<_>>();
        let (mut search, mut actions) =
            HolderSearch::start(request_id(caller), self.callers[caller].copy_id, &peers);
        while let Some(action) = actions.pop() {
            match action {
                SearchAction::Query { peer } => {
                    let answer = self.query_holder(host_index(&peer), caller);
                    actions.extend(search.on_answer(&peer, answer));
                }
                SearchAction::Found { peer } => return Ok(host_index(&peer)),
                SearchAction::NotFound { refusal } => return Err(refusal),
            }
        }
        unreachable!("a search ends with `Found` or `NotFound`")
    }

    pub(super) fn query_holder(&self, host: usize, caller: usize) -> HolderAnswer {
        let entry_host = &self.hosts[host];
        match entry_host.streams.get(&caller).filter(|_| entry_host.is_up) {
            Some(stream) => HolderAnswer::Holds {
                generation: stream.machine.generation(),
                copy_id: stream.machine.copy_id(),
            },
            None if entry_host.is_up => HolderAnswer::NotHeld,
            None => HolderAnswer::Unknown,
        }
    }
}

pub(super) fn request_id(caller: usize) -> RequestId {
    RequestId::from_bits(caller as u128 + 1)
}

pub(super) fn caller_index(request: RequestId) -> usize {
    request.to_bits() as usize - 1
}

pub(super) fn host_name(host: usize) -> HostName {
    HostName::new(format!("entry-{host}"))
}

pub(super) fn host_index(name: &HostName) -> usize {
    let digits = name.as_str().trim_start_matches("entry-");
    digits.parse().expect("names end with the index")
}
