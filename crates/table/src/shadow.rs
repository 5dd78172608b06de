//! The `shadow` module finds rows that no request can reach, because an earlier
//! row takes all that they would.

use aspenloft_core::prelude::Name;

use crate::row::{Row, RowKind};

/// Returns the first row before `rows[at]` that takes all its requests.
pub fn shadowed_by(rows: &[Row], at: usize) -> Option<&Row> {
    let later = rows.get(at)?;
    rows[..at].iter().find(|earlier| covers(earlier, later))
}

/// Tells whether `earlier` takes every request that `later` would.
fn covers(earlier: &Row, later: &Row) -> bool {
    let same_kind = earlier.kind == later.kind;
    let matches = match later.kind {
        RowKind::Model => earlier.serves == later.serves,
        RowKind::Service => {
            below(&earlier.path, &later.path) && includes(&earlier.methods, &later.methods)
        }
    };
    same_kind && matches && includes(&earlier.classes, &later.classes)
}

/// Tells whether each path below `path` is also below `prefix`.
fn below(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    let path = path.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Tells whether `some` admits all that `others` does; an empty list admits all.
fn includes(some: &[Name], others: &[Name]) -> bool {
    some.is_empty() || (!others.is_empty() && others.iter().all(|other| some.contains(other)))
}
