//! Baseline policies for comparison with the cost policy.

mod least_load;
mod prefix_affinity;
mod round_robin;

pub use least_load::LeastLoad;
pub use prefix_affinity::PrefixAffinity;
pub use round_robin::RoundRobin;

use std::time::Duration;

use teaselglade_core::verdict::{RefusalReason, RequestRefusal};

/// Retry delay of a request for which no server was found.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_secs(2);

pub(crate) fn no_server_refusal() -> RequestRefusal {
    let detail = "no permitted server takes new work";
    RequestRefusal::not_run(RefusalReason::NoServer, detail).retry_after(NO_SERVER_RETRY_DELAY)
}
