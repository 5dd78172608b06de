//! The `table` module defines the messages by which hosts pass the table on.

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `TableRequest` is a call about the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TableRequest {
    /// Asks for the table if it is newer than the version that the asker has.
    Fetch {
        /// The version that the asker has; zero for none.
        have: u64,
    },
}

/// `TableReply` is a reply about the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum TableReply {
    /// The table as JSON text, with its version.
    Newer {
        /// The version.
        version: u64,
        /// The table as JSON text.
        text: Name,
    },
    /// The replier has nothing newer.
    Same,
}
