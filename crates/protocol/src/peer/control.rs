//! The `control` module defines the messages about limits and suspect requests.

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `ControlRequest` is a call about limits or suspects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks the home of a limit for an allotment.
    Allot {
        /// The row.
        row: Name,
        /// The caller.
        caller: Name,
        /// Requests a second that the asking host has seen lately.
        demand_per_s: f64,
    },
}

/// `ControlReply` is a reply about limits or suspects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Requests a second that the asking host may let through.
    Allotted {
        /// The rate.
        rate_per_s: f64,
    },
}
