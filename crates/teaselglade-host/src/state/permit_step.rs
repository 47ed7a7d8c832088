//! First step towards a permit to send to a limited server.

use std::net::SocketAddr;

use teaselglade_routing::limit::{LimitNotice, PermitAnswer};

/// First step towards a permit to send to a limited server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitStep {
    /// This host issues the server's permits and has decided.
    Decided {
        /// Incarnation hash of the server.
        incarnation: u64,
        /// Decision on the permit.
        answer: PermitAnswer,
    },
    /// Another host issues them.
    Ask {
        /// Incarnation hash of the server.
        incarnation: u64,
        /// Address of the host that issues them.
        issuer: SocketAddr,
        /// Limit as this host knows it.
        notice: LimitNotice,
    },
}
