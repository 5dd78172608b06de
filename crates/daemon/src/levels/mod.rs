//! The `levels` module monitors service levels: it counts each request against the
//! targets of its row, writes the history to the platform's key-value service, and
//! creates the burn report. The calculations are in `aspenloft_policy::burn`.

pub mod history;
pub mod record;
pub mod report;
