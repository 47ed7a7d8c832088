//! Shards of claims that this host works with.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use teaselglade_claims::call::CallId;
use teaselglade_claims::key::ShardKey;
use teaselglade_core::time::Timestamp;

use super::shard_driver::ShardDriver;

/// Time after which an idle shard is forgotten; reading it again is always safe.
const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// Shards of claims that this host works with.
#[derive(Debug, Default)]
pub(crate) struct BookingRegister {
    drivers: Mutex<BTreeMap<ShardKey, Arc<ShardDriver>>>,
    next: AtomicU64,
}

impl BookingRegister {
    /// Returns whether no booking and no record to append is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().values().all(|driver| driver.is_settled())
    }

    /// Returns the driver of a shard and forgets shards that were idle for long.
    pub(super) fn driver(&self, shard: ShardKey, now: Timestamp) -> Arc<ShardDriver> {
        let mut drivers = self.lock();
        drivers.retain(|_, driver| !driver.is_forgettable(now, IDLE_LIMIT));
        let driver = drivers
            .entry(shard)
            .or_insert_with(|| Arc::new(ShardDriver::new(shard)));
        driver.touch(now);
        Arc::clone(driver)
    }

    /// Returns a key for a new booking.
    pub(super) fn new_booking(&self) -> CallId {
        CallId::new(self.next.fetch_add(1, Ordering::Relaxed))
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ShardKey, Arc<ShardDriver>>> {
        self.drivers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
