//! Border towards the placement policy.

use std::fmt::Debug;

use teaselglade_core::id::ServerKey;

/// Chooses among backend servers and learns what became of them.
pub(crate) trait ServerChooser: Debug + Send {
    /// Returns the server to dispatch to.
    fn choose(&mut self, candidates: &[ServerKey]) -> Option<ServerKey>;

    /// Notes that a dispatch ended.
    fn release(&mut self, server: ServerKey);
}
