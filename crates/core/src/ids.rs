//! The `ids` module defines the identifiers that hosts exchange.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// `Name` is a reference-counted immutable string: many data structures hold a copy of
/// a name, and copying does not allocate.
pub type Name = Arc<str>;

/// `RequestId` identifies one request of a caller on all hosts and in all logs.
///
/// The host that receives the request generates it. It is never reused.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub Name);

impl RequestId {
    /// Returns the id as text, for logs and headers.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for RequestId {
    fn from(text: &str) -> Self {
        RequestId(text.into())
    }
}

/// `ReservationId` identifies a slot that a home host holds for a request.
///
/// It is unique within one incarnation (process run) of one home host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReservationId(pub u64);

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
