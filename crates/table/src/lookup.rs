//! The `lookup` module finds the caller and the first matching row of a request.

use aspenloft_core::secret::key_digest;

use crate::row::{Caller, Row, RowKind};
use crate::table::Table;

impl Table {
    /// Returns the caller with the API key `key`.
    pub fn caller_by_key(&self, key: &str) -> Option<&Caller> {
        let digest = key_digest(key);
        self.callers.iter().find(|caller| *caller.key_sha256 == *digest)
    }

    /// Returns the first row for a request of `caller` for `model`.
    pub fn model_row(&self, model: &str, caller: &Caller) -> Option<&Row> {
        self.rows
            .iter()
            .find(|row| row.kind == RowKind::Model && *row.serves == *model && admits(row, caller))
    }

    /// Returns the first row for a call of `caller` to a plain service.
    pub fn service_row(&self, method: &str, path: &str, caller: &Caller) -> Option<&Row> {
        self.rows.iter().find(|row| {
            row.kind == RowKind::Service
                && path_matches(&row.path, path)
                && (row.methods.is_empty() || row.methods.iter().any(|m| **m == *method))
                && admits(row, caller)
        })
    }
}

fn admits(row: &Row, caller: &Caller) -> bool {
    row.classes.is_empty() || row.classes.contains(&caller.class)
}

/// Returns whether `path` equals `prefix` or is below it. Only whole path segments match.
fn path_matches(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
