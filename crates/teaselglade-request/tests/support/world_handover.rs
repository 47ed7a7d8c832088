//! Records that change their host, and callers that come back.

use std::collections::BTreeMap;

use rand::Rng;
use teaselglade_core::id::{HostName, RequestId};
use teaselglade_core::verdict::RequestRefusal;
use teaselglade_request::handover::{
    HandoverAction, HandoverEvent, HolderAnswer, HolderSearch, PeerReply, SearchAction,
};
use teaselglade_request::stream::{CallerSession, StreamEvent, StreamMachine, StreamRecord};

use super::World;
use super::world::{COME_BACK, HOP, Slot, WorldEvent};

impl World {
    pub(super) fn offer(&mut self, host: usize, caller: usize, record: StreamRecord) {
        let request = record.request.id;
        let generation = record.generation;
        self.hosts[host].records.insert(caller, record);
        let peers = (0..self.hosts.len()).filter(|peer| {
            *peer != host && self.hosts[*peer].is_up && !self.hosts[*peer].is_leaving
        });
        let peers = peers.map(host_name).collect();
        self.drive_handover(host, HandoverEvent::PeersChanged { peers });
        self.drive_handover(
            host,
            HandoverEvent::Offered {
                request,
                generation,
            },
        );
    }

    pub(super) fn drive_handover(&mut self, host: usize, event: HandoverEvent) {
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
                    let mut record = self.hosts[host].records[&caller_of(request)].clone();
                    record.generation = generation;
                    let record = Box::new(record);
                    let to = host_of(&peer);
                    self.schedule(
                        HOP,
                        WorldEvent::Record {
                            from: host,
                            to,
                            record,
                        },
                    );
                }
                HandoverAction::Done { request } => {
                    self.tell(host, caller_of(request), StreamEvent::HandoverDone);
                }
                HandoverAction::Failed {
                    request,
                    generation,
                } => {
                    let event = StreamEvent::HandoverFailed { generation };
                    self.tell(host, caller_of(request), event);
                }
            }
        }
    }

    pub(super) fn take_record(&mut self, from: usize, to: usize, record: StreamRecord) {
        let request = record.request.id;
        let caller = caller_of(request);
        let peer = host_name(to);
        let node = &mut self.hosts[to];
        let mut reply = PeerReply::Accepted;
        if !node.is_up {
            reply = PeerReply::Unknown;
        } else if node.is_leaving {
            reply = PeerReply::Refused;
        } else if node
            .slots
            .get(&caller)
            .is_none_or(|slot| slot.machine.generation() < record.generation)
        {
            let slot = Slot {
                machine: StreamMachine::resume(record, self.setup.limits, self.now),
                session: CallerSession::default(),
                connection: None,
                opening: BTreeMap::new(),
            };
            node.slots.insert(caller, slot);
            self.drive(to, caller, StreamEvent::Admitted { prefer: None });
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
        self.schedule(HOP, WorldEvent::Reply { host: from, event });
    }

    /// Ends a caller's connection; the caller comes back.
    pub(super) fn cut_caller(&mut self, caller: usize, connection: Option<u32>) {
        let is_present = connection == Some(self.callers[caller].connection);
        if is_present && self.callers[caller].outcome.is_none() {
            self.callers[caller].connection += 1;
            let connection = self.callers[caller].connection;
            self.schedule(COME_BACK, WorldEvent::Reconnect { caller, connection });
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
        let holder = if self.hosts[entry].slots.contains_key(&caller) {
            Ok(entry)
        } else {
            self.search(entry, caller)
        };
        let host = match holder {
            Ok(host) => host,
            Err(refusal) => {
                self.schedule(
                    HOP,
                    WorldEvent::Refuse {
                        caller,
                        connection,
                        refusal,
                    },
                );
                return;
            }
        };
        let Some(slot) = self.hosts[host].slots.get_mut(&caller) else {
            return;
        };
        slot.session = slot.session.next();
        let session = slot.session;
        slot.opening.insert(session, connection);
        self.drive(
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
                    let answer = self.answer_search(host_of(&peer), caller);
                    actions.extend(search.on_answer(&peer, answer));
                }
                SearchAction::Found { peer } => return Ok(host_of(&peer)),
                SearchAction::NotFound { refusal } => return Err(refusal),
            }
        }
        unreachable!("a search ends with an answer")
    }

    pub(super) fn answer_search(&self, host: usize, caller: usize) -> HolderAnswer {
        let node = &self.hosts[host];
        match node.slots.get(&caller).filter(|_| node.is_up) {
            Some(slot) => HolderAnswer::Holds {
                generation: slot.machine.generation(),
                copy_id: slot.machine.copy_id(),
            },
            None if node.is_up => HolderAnswer::NotHeld,
            None => HolderAnswer::Unknown,
        }
    }
}

pub(super) fn request_id(caller: usize) -> RequestId {
    RequestId::from_bits(caller as u128 + 1)
}

pub(super) fn caller_of(request: RequestId) -> usize {
    request.to_bits() as usize - 1
}

pub(super) fn host_name(host: usize) -> HostName {
    HostName::new(format!("entry-{host}"))
}

pub(super) fn host_of(name: &HostName) -> usize {
    let digits = name.as_str().trim_start_matches("entry-");
    digits.parse().expect("names end with the index")
}
