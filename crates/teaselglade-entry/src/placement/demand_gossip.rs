//! Gossip of limit demands between entry hosts.

use base64::Engine;
use base64::prelude::BASE64_STANDARD_NO_PAD;
use teaselglade_core::id::HostName;
use teaselglade_core::time::Timestamp;
use teaselglade_placement::limit::{DemandMessage, DemandSource};
use teaselglade_wire::codec::{from_msgpack, to_msgpack};

use super::PlacementController;
use crate::directory::BackendDirectory;

impl PlacementController {
    /// Encodes this host's demands as Base64 text, which the membership's gossip carries.
    pub(crate) fn encode_demand(&mut self, now: Timestamp) -> String {
        let message = self.limiter.demand_message(now);
        to_msgpack(&message).map_or_else(
            |_error| String::new(),
            |body| BASE64_STANDARD_NO_PAD.encode(body),
        )
    }

    /// Applies a peer's demands; malformed text is ignored.
    pub(crate) fn receive_demand(&mut self, now: Timestamp, peer: &HostName, text: &str) {
        let Ok(body) = BASE64_STANDARD_NO_PAD.decode(text) else {
            return;
        };
        let Ok(message) = from_msgpack::<DemandMessage>(&body) else {
            return;
        };
        let source = self.demand_source(peer);
        self.limiter.receive(now, source, message);
    }

    /// Updates the demand sources from the directory.
    ///
    /// Every other listed entry host is a source; unlisted hosts are removed.
    pub(super) fn sync_peers(&mut self, directory: &BackendDirectory) {
        let own = self.own_name.clone();
        let peers = directory.entry_hosts().iter().map(|host| host.name.clone());
        let peers = peers.filter(|name| *name != own).collect::<Vec<_>>();
        for index in 0..self.peers.len() {
            let name = self.peers.name(index).map(HostName::new);
            if name.is_none_or(|name| !peers.contains(&name)) {
                self.limiter.remove_source(DemandSource::new(index as u32));
            }
        }
        for peer in peers {
            let source = self.demand_source(&peer);
            self.limiter.add_source(source);
        }
    }

    fn demand_source(&mut self, peer: &HostName) -> DemandSource {
        DemandSource::new(self.peers.intern(peer.as_str()) as u32)
    }
}
