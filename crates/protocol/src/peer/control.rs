//! The `control` module defines the messages about limits, suspect requests and
//! service levels.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use aspenloft_core::suspects::Verdict;
use serde::{Deserialize, Serialize};

/// `LimitKey` names one limit of the table: that of one caller on one row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The row.
    pub row: Name,
    /// The caller.
    pub caller: Name,
}

/// `ControlRequest` is a call about limits, suspects or service levels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Draws permits of a limit from its agent in the data centre.
    DrawFromAgent(DrawRequest),
    /// Draws permits of a limit from its home.
    DrawFromHome(DrawRequest),
    /// Asks the home of a limit to admit one more request in flight.
    Acquire {
        /// The limit.
        key: LimitKey,
        /// The host that will hold it.
        host: Name,
    },
    /// Tells the home of limits what a host holds of them.
    Renew {
        /// The host.
        host: Name,
        /// The limits with the requests in flight there.
        held: Vec<(LimitKey, u32)>,
    },
    /// Tells new standings of requests.
    Verdicts {
        /// The standings.
        verdicts: Vec<Verdict>,
        /// Whether the receiver passes them on within its data centre.
        pass_on: bool,
    },
    /// Asks for all standings, at a host's start.
    AllVerdicts,
    /// Asks for the tallies of the service-level windows, as JSON.
    Tallies,
}

/// `DrawRequest` asks for permits of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrawRequest {
    /// The limit.
    pub key: LimitKey,
    /// Permits wanted.
    pub wanted: u32,
}

/// `ControlReply` is a reply about limits, suspects or service levels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Permits of a limit.
    Drawn {
        /// Permits issued.
        permits: u32,
        /// When the next is likely, if none was issued.
        retry_after: Duration,
    },
    /// Whether one more request in flight is admitted.
    Acquired(bool),
    /// The message was taken in.
    Noted,
    /// All standings.
    Verdicts(Vec<Verdict>),
    /// The tallies, as JSON, because histograms travel so in the history too.
    Tallies(Name),
}
