//! Why a plain call would be placed on a server.

use std::time::Duration;

use teaselglade_core::id::ServerKey;
use teaselglade_core::verdict::RequestRefusal;

/// What a placement would decide now, and the servers that it would choose from.
#[derive(Debug, Clone)]
pub struct PlainExplanation {
    /// Server that would run the call, or the refusal.
    pub decision: Result<ServerKey, RequestRefusal>,
    /// Servers that may be sent to, by ascending cost.
    pub options: Vec<PlainOption>,
}

/// Server that a placement would choose from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainOption {
    /// Key of the server.
    pub server: ServerKey,
    /// Calls of this host at the server.
    pub in_flight: u32,
    /// Age of the load that the server reported last, if it reported any.
    pub load_age: Option<Duration>,
    /// Sum by which servers are compared, as load per slot.
    pub cost: f64,
}
