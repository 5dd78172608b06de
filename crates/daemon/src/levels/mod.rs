//! The `levels` module watches service levels: it counts each request against the
//! targets of its row, keeps the history in the platform's key-value service, and
//! makes the burn report. The decisions are in `aspenloft_policy::burn`.

pub mod history;
pub mod record;
pub mod report;
