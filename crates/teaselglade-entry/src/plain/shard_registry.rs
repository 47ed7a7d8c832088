//! Registry of the claim shards that this host uses.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselglade_claims::call::CallId;
use teaselglade_claims::key::ShardKey;
use teaselglade_core::time::Timestamp;

use super::shard_driver::ShardDriver;

/// Time after which an idle shard is discarded; reading it again is always safe.
const IDLE_SHARD_TTL: Duration = Duration::from_mins(1);

/// Holds the drivers of the claim shards that this host uses.
#[derive(Debug, Default)]
pub(crate) struct ShardRegistry {
    drivers: Mutex<BTreeMap<ShardKey, Arc<ShardDriver>>>,
    next_call_id: AtomicU64,
}

impl ShardRegistry {
    /// Returns whether no keyed call and no append is in progress.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().values().all(|driver| driver.is_drained())
    }

    /// Returns the driver of a shard, and discards shards idle for longer than `IDLE_SHARD_TTL`.
    pub(super) fn driver(&self, shard: ShardKey, now: Timestamp) -> Arc<ShardDriver> {
        let mut drivers = self.lock();
        drivers.retain(|_, driver| !driver.can_discard(now, IDLE_SHARD_TTL));
        let driver = drivers
            .entry(shard)
            .or_insert_with(|| Arc::new(ShardDriver::new(shard)));
        driver.touch(now);
        Arc::clone(driver)
    }

    /// Returns the id of a new keyed call.
    pub(super) fn new_call_id(&self) -> CallId {
        CallId::new(self.next_call_id.fetch_add(1, Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ShardKey, Arc<ShardDriver>>> {
        self.drivers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
