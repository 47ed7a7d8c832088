//! Follows what operators and servers publish.

mod server_follower;
mod table_follower;

pub use server_follower::follow_servers;
pub use table_follower::follow_table;

use std::time::Duration;

/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
