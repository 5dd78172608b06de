//! The `execution` module defines whether a request was run, as far as the router
//! knows.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Execution` tells the caller whether its request was run.
///
/// Every rejection and error carries one; `docs/PROMISES.md` states which paths may
/// return which.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No backend server has run, or ever will run, any part of the request.
    #[display("not_run")]
    NotRun,
    /// A backend server ran the request.
    #[display("run")]
    Run,
    /// A backend server may have run the request.
    #[display("unknown")]
    Unknown,
}
