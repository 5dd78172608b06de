//! The `position` module defines positions in the history of the platform's key-value
//! service, which may come back from an older copy; see `docs/design/store-eras.md`.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Era` counts how often the service has come back from an older copy. It is zero for a
/// service that does not count.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

/// `Position` is a revision in an era. Later eras come after earlier ones whatever the
/// revisions, because each era gives out again the revisions that the copy lacked.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{era}:{revision}")]
pub struct Position {
    // The order of the fields is that of comparisons.
    /// The era in which the revision was given out.
    pub era: Era,
    /// The revision, which only rises within an era.
    pub revision: u64,
}

impl Position {
    /// Creates the position of `revision` in `era`.
    pub fn new(era: Era, revision: u64) -> Position {
        Position { era, revision }
    }

    /// Returns a fencing token that rises with the position: a token of a later era is higher
    /// than all of earlier ones, unless the service lost 2^32 revisions or more at once.
    pub fn fencing_token(self) -> u64 {
        self.era.0.saturating_mul(TOKENS_PER_ERA).saturating_add(self.revision)
    }
}

/// By how much the fencing tokens of one revision differ between two eras.
const TOKENS_PER_ERA: u64 = 1 << 32;
