//! Response header that carries a retry delay.

use std::time::Duration;

use crate::client::HttpResponse;

const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// Returns the retry delay that the response names, if any.
pub(super) fn retry_after(response: &HttpResponse) -> Option<Duration> {
    let millis = response.header(RETRY_AFTER_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
