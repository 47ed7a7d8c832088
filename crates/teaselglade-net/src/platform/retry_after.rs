//! The header that says when to call again.

use std::time::Duration;

use crate::client::HttpResponse;

const RETRY_AFTER_HEADER: &str = "retry-after-ms";

/// Returns the time that the answer names, where it names one.
pub(super) fn retry_after(answer: &HttpResponse) -> Option<Duration> {
    let millis = answer.header(RETRY_AFTER_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}
