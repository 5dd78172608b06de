//! The `prelude` module re-exports the types that nearly every file imports.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::backend::{Backend, BackendRole, BackendState};
pub use crate::clock::{Clock, SharedClock};
pub use crate::errors::{Error, Result};
pub use crate::execution::Execution;
pub use crate::finding::{Finding, Findings};
pub use crate::host::Host;
pub use crate::ids::{Name, RequestId, ReservationId};
pub use crate::position::{Era, Position};
pub use crate::units::Tokens;
