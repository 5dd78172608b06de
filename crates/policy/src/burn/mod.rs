//! The `burn` module computes the burn rate of each row's error budget over several
//! windows, detects slow servers, and aggregates the history in which gradual
//! degradation becomes visible.
//!
//! Source of the multi-window method: Beyer et al., "The Site Reliability
//! Workbook", 2018, chapter 5. `docs/SERVICE-LEVELS.md` is the operators' page.

pub mod rollup;
pub mod servers;
pub mod windows;
