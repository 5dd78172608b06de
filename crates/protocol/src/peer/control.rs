//! The `control` module defines the messages about limits, suspect requests and
//! service levels.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use aspenloft_core::suspects::Verdict;
use serde::{Deserialize, Serialize};

/// `LimitKey` identifies one limit of the table: that of one caller on one row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitKey {
    /// The name of the row.
    pub row: Name,
    /// The name of the caller.
    pub caller: Name,
}

/// `ControlRequest` is a request about limits, suspects or service levels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Requests permits of a limit from its agent, the host that issues them within the
    /// data centre.
    DrawFromAgent(DrawRequest),
    /// Requests permits of a limit from its home host, which issues them to all data
    /// centres.
    DrawFromHome(DrawRequest),
    /// Asks the home host of a limit to admit one more request in flight.
    Acquire {
        /// The limit to which the request counts.
        key: LimitKey,
        /// The host on which the request is in flight.
        host: Name,
    },
    /// Replaces a host's counts of requests in flight at the home host of the limits. A
    /// count that is not renewed expires.
    Renew {
        /// The reporting host.
        host: Name,
        /// The number of requests in flight there for each limit.
        held: Vec<(LimitKey, u32)>,
    },
    /// Announces the changed status of suspects.
    Verdicts {
        /// The changed fingerprints with their new status.
        verdicts: Vec<Verdict>,
        /// Whether the receiver forwards them within its data centre.
        pass_on: bool,
    },
    /// Requests the status of all suspects, when a host starts.
    AllVerdicts,
    /// Requests the request counts of the service-level windows.
    Tallies,
}

/// `DrawRequest` asks for permits of a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrawRequest {
    /// The limit from which permits are requested.
    pub key: LimitKey,
    /// The number of permits requested.
    pub wanted: u32,
}

/// `ControlReply` is a reply about limits, suspects or service levels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The permits issued for a rate limit.
    Drawn {
        /// The number of permits issued.
        permits: u32,
        /// The expected time until the next permit, if none was issued.
        retry_after: Duration,
    },
    /// Whether the request in flight is admitted.
    Acquired(bool),
    /// The message was received and applied.
    Noted,
    /// The status of all suspects.
    Verdicts(Vec<Verdict>),
    /// The request counts as JSON, the format in which the history also stores
    /// histograms.
    Tallies(Name),
}
