//! The `shadow` module finds unreachable rows: those whose requests all match an earlier
//! row.

use aspenloft_core::prelude::Name;

use crate::row::{Row, RowKind};

/// Returns the first row before `rows[index]` that matches all its requests.
pub fn shadowed_by(rows: &[Row], index: usize) -> Option<&Row> {
    let later = rows.get(index)?;
    rows[..index].iter().find(|earlier| covers(earlier, later))
}

/// Returns whether `earlier` matches every request that `later` matches.
fn covers(earlier: &Row, later: &Row) -> bool {
    let same_kind = earlier.kind == later.kind;
    let matches = match later.kind {
        RowKind::Model => earlier.serves == later.serves,
        RowKind::Service => {
            is_below(&earlier.path, &later.path) && includes(&earlier.methods, &later.methods)
        }
    };
    same_kind && matches && includes(&earlier.classes, &later.classes)
}

/// Returns whether each path at or below `path` is also at or below `prefix`.
fn is_below(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let path = path.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Returns whether `allowed` admits all that `other` admits; an empty list admits all.
fn includes(allowed: &[Name], other: &[Name]) -> bool {
    allowed.is_empty() || (!other.is_empty() && other.iter().all(|name| allowed.contains(name)))
}
