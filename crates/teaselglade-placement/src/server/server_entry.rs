//! Entry of the server directory.

use super::{LoadEstimate, ServerAttributes};

teaselglade_core::value_type! {
    /// Whether a server accepts new work.
    pub enum ServerState {
        /// The server accepts new work.
        Live,
        /// The server is draining: it finishes its work and accepts no more.
        Leaving,
        /// The server has stopped.
        Gone,
    }
}

/// Entry of the server directory.
#[derive(Debug, Clone)]
pub struct ServerEntry {
    /// Attributes from the host list.
    pub attributes: ServerAttributes,
    /// Whether the server accepts new work; the state only advances.
    pub state: ServerState,
    /// Load as estimated by this entry host.
    pub load: LoadEstimate,
}
