//! Follows the feeds that operators and servers publish in the store.

mod server_follower;
mod table_follower;

pub use server_follower::follow_servers;
pub use table_follower::follow_table;

use std::time::Duration;

/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a host that follows a feed reads all of it again, in case changes were missed.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(30);
