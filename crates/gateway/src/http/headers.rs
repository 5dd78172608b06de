//! The `headers` module separates end-to-end headers from hop-by-hop headers.

use aspenloft_core::errors::{Result, invalid};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Headers that are hop-by-hop even if `Connection` does not list them.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The header that states how long an idle connection is kept open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Returns `value` as the value of the header `name`. Fails if the receiver would read another
/// one: control characters are not allowed, and spaces at both ends are cut off.
pub fn header_value(name: &str, value: &[u8]) -> Result<HeaderValue> {
    let not_allowed =
        || invalid(format!("the header {name} cannot hold \"{}\"", value.escape_ascii()));
    let parsed = HeaderValue::from_bytes(value).map_err(|_| not_allowed())?;
    (value.trim_ascii() == value).then_some(parsed).ok_or_else(not_allowed)
}

/// Returns the end-to-end headers of `from`, in their order.
///
/// Framing headers are left out too, because each hop frames the body itself.
pub fn end_to_end(from: &HeaderMap) -> HeaderMap {
    let listed: Vec<HeaderName> = from
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let mut kept = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let hop_by_hop = HOP_BY_HOP_HEADERS.contains(name) || *name == KEEP_ALIVE;
        if !hop_by_hop && !listed.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
