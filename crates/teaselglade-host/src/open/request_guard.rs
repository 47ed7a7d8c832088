//! Keeps a request among the open ones until its response has ended.

use std::sync::Arc;

use teaselglade_core::time::Timestamp;

use super::{OpenRequest, RequestKey};
use crate::state::HostState;

/// Keeps a request among the open ones until it is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    host: Arc<HostState>,
    /// Key of the request.
    pub key: RequestKey,
    /// Time of arrival.
    pub arrived_at: Timestamp,
}

impl RequestGuard {
    /// Adds a request whose head has arrived now.
    #[must_use]
    pub fn open(host: &Arc<HostState>, id: &str) -> Self {
        let arrived_at = host.now();
        let request = OpenRequest::new(id.to_owned(), arrived_at);
        let key = host.lock_open_requests().insert(request);
        Self {
            host: Arc::clone(host),
            key,
            arrived_at,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let _request = self.host.lock_open_requests().remove(self.key);
    }
}
