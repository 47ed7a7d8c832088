//! Headers that pass through, and those that concern one connection only.

use hyper::header::{self, HeaderMap, HeaderName};

use crate::port::MessagePort;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those of framing.
const ONE_CONNECTION: [&str; 11] = [
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

/// Returns the headers that pass through this host.
pub(super) fn passing_headers(headers: &HeaderMap, messages: &dyn MessagePort) -> HeaderMap {
    let named = named_by_connection(headers);
    let mut passing = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_named = named.contains(name) && !messages.is_end_to_end(name);
        if !is_named && !ONE_CONNECTION.contains(&name.as_str()) {
            passing.append(name.clone(), value.clone());
        }
    }
    passing
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::HOST)
        .collect()
}
