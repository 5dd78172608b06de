//! The `target` module writes request targets with parts that others have chosen, such as keys
//! and handles, which may hold any characters.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

/// The characters that are encoded in a segment of a path: all but the unreserved ones.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// The characters that are encoded in a value of a query. It may hold slashes.
const QUERY_VALUE: &AsciiSet = &SEGMENT.remove(b'/');

/// Returns the path of `name` below `parent`.
pub fn child_path(parent: &str, name: &str) -> String {
    format!("{parent}/{}", utf8_percent_encode(name, SEGMENT))
}

/// Returns `path` with `query`, the names and the values of its fields.
pub fn with_query(path: &str, query: &[(&str, &str)]) -> String {
    let mut target = path.to_string();
    for (index, (name, value)) in query.iter().enumerate() {
        target.push(if index == 0 { '?' } else { '&' });
        target.push_str(name);
        target.push('=');
        target.extend(utf8_percent_encode(value, QUERY_VALUE));
    }
    target
}
