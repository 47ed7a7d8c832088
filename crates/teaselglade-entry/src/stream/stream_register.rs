//! Streams that callers can come back to.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use teaselglade_core::id::RequestId;

use super::StreamRecord;

/// Streams that callers can come back to.
#[derive(Debug, Default)]
pub(crate) struct StreamRegister {
    records: Mutex<HashMap<RequestId, Arc<StreamRecord>>>,
}

impl StreamRegister {
    /// Adds a stream.
    pub(crate) fn insert(&self, record: &Arc<StreamRecord>) {
        self.lock().insert(record.request, Arc::clone(record));
    }

    /// Returns a stream.
    pub(crate) fn find(&self, request: RequestId) -> Option<Arc<StreamRecord>> {
        self.lock().get(&request).cloned()
    }

    /// Removes a stream.
    pub(crate) fn remove(&self, request: RequestId) {
        self.lock().remove(&request);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, Arc<StreamRecord>>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
