//! Statuses that end a request.

use hyper::StatusCode;

/// Returns whether a response with this status answers its request.
///
/// Statuses below 200 announce a later response or another protocol, which no request of this system
/// asks for; those above 599 are invalid (RFC 9110, section 15).
///
/// # Examples
///
/// ```
/// use hyper::StatusCode;
/// use teaselglade_net::client::is_final_status;
///
/// assert!(is_final_status(StatusCode::SERVICE_UNAVAILABLE));
/// assert!(!is_final_status(StatusCode::SWITCHING_PROTOCOLS));
/// ```
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
