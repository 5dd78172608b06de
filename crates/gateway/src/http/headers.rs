//! The `headers` module tells end-to-end headers from those of one connection.

use http::header::{self, HeaderMap, HeaderName};

/// Headers that concern one connection, whatever `Connection` lists.
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

/// The header that states how long an idle connection is kept.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Returns the headers of `from` that go on to the next hop, in their order.
///
/// The framing is left out too, because each hop frames the body anew.
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
