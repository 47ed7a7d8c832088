//! Removes hop-by-hop headers from requests and responses.

use hyper::header::{self, HeaderMap, HeaderName};

use crate::port::MessagePort;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers of message framing.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Returns the headers without those that concern one connection only.
///
/// Headers that the platform needs end to end stay, even if `Connection` lists them.
pub(super) fn end_to_end_headers(headers: &HeaderMap, messages: &dyn MessagePort) -> HeaderMap {
    let options = connection_options(headers);
    let mut filtered = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_connection_option = options.contains(name) && !messages.is_end_to_end(name);
        if !is_connection_option && !HOP_BY_HOP_HEADERS.contains(&name.as_str()) {
            filtered.append(name.clone(), value.clone());
        }
    }
    filtered
}

/// Returns the header names that the `Connection` header lists, except `Host`.
fn connection_options(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST)
        .collect()
}
