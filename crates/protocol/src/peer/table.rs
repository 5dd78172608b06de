//! The `table` module defines the messages with which hosts distribute the table.

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `TableRequest` is a request about the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TableRequest {
    /// Requests the table if it is newer than the version of the requesting host.
    Fetch {
        /// The version of the requesting host; zero if it has no table.
        have: u64,
    },
}

/// `TableReply` is a reply about the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TableReply {
    /// The replying host has a newer table.
    Newer {
        /// The version of that table.
        version: u64,
        /// The table as JSON text.
        text: Name,
    },
    /// The replying host has no newer table.
    Same,
}
