//! Chooses the server with the fewest dispatches in progress.

use std::collections::HashMap;

use teaselglade_core::id::ServerKey;

use super::ServerChooser;

/// Chooses the server with the fewest dispatches in progress.
#[derive(Debug, Default)]
pub(crate) struct LoadChooser {
    running: HashMap<ServerKey, u32>,
}

impl ServerChooser for LoadChooser {
    fn choose(&mut self, candidates: &[ServerKey]) -> Option<ServerKey> {
        let load = |server: &&ServerKey| self.running.get(server).copied().unwrap_or(0);
        let server = *candidates.iter().min_by_key(load)?;
        *self.running.entry(server).or_insert(0) += 1;
        Some(server)
    }

    fn release(&mut self, server: ServerKey) {
        if let Some(running) = self.running.get_mut(&server) {
            *running = running.saturating_sub(1);
        }
    }
}
