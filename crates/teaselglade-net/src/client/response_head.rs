//! Checks of response heads that the HTTP library leaves to its users.

use hyper::StatusCode;
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use teaselglade_core::verdict::SendProgress;

use super::{CallError, Result};

const CHUNKED: &[u8] = b"chunked";

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

/// Checks that a response with this head can answer its request.
///
/// # Errors
///
/// Fails for a status that answers no request, and for a transfer coding beside `chunked`, which would
/// remain on the body. The request was sent and may have been executed.
///
/// # Examples
///
/// ```
/// use hyper::StatusCode;
/// use hyper::header::{HeaderMap, HeaderValue};
/// use teaselglade_net::client::check_response_head;
///
/// let mut headers = HeaderMap::new();
/// assert!(check_response_head(StatusCode::OK, &headers).is_ok());
/// headers.insert("transfer-encoding", HeaderValue::from_static("gzip, chunked"));
/// assert!(check_response_head(StatusCode::OK, &headers).is_err());
/// ```
pub fn check_response_head(status: StatusCode, headers: &HeaderMap) -> Result<()> {
    let fault = |detail| Err(CallError::new(SendProgress::MaybeSent, detail));
    if !is_final_status(status) {
        let status = status.as_u16();
        return fault(format!("status {status}; expected 200 to 599"));
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(CHUNKED) => Ok(()),
        (Some(coding), _) => fault(format!(
            "transfer coding {coding:?}; expected none or `chunked` once"
        )),
    }
}
