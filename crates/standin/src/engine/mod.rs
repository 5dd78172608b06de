//! The `engine` module is a test double of a model engine. It has decode slots, a
//! prefill queue, a prefix cache, prefill results that expire within a second by
//! default, an outgoing link of limited rate, orders with fencing numbers, faults, and a
//! record of all work that it started.
//!
//! Each generated token carries its index and a hash of the prompt, so that a test can
//! compare the complete text; see [`expected_text`] and `docs/STANDINS.md`.

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
