//! The `headers` module separates end-to-end headers from hop-by-hop headers.

use http::header::{self, HeaderMap, HeaderName};

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
