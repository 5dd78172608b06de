//! The `burn` module measures how fast each row uses up its allowance of missed
//! targets, over several windows at once, and keeps the history from which a slow
//! decline is read.
//!
//! Source of the multi-window method: Beyer et al., "The Site Reliability
//! Workbook", 2018, chapter 5. `docs/SERVICE-LEVELS.md` is the operators' page.

pub mod rollup;
pub mod servers;
pub mod windows;
