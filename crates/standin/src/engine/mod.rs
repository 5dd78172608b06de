//! The `engine` module stands in for a model engine: decode slots, a prefill
//! queue, a prefix cache, results that are evicted soon, links of limited rate,
//! orders, faults, and a record of all that it ran.
//!
//! Its tokens are numbered and marked with the prompt they answer, so that a test
//! can compare the whole text; see [`expected_text`] and `docs/STANDINS.md`.

pub mod cache;
pub mod faults;
mod handler;
pub mod holds;
pub mod link;
pub mod loads;
pub mod options;
pub mod queue;
pub mod records;
mod standin;
mod text;
mod work;

pub use faults::EngineFaults;
pub use handler::EngineHandler;
pub use options::EngineOptions;
pub use standin::EngineStandin;
pub use text::{CRASH_MARKER, DECODE_CRASH_MARKER, expected_text, token_text};
