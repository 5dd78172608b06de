//! The `eras` module decides in which era of the key-value service a response was given.
//!
//! The service names the era in its responses. Responses may overtake each other, and what
//! they name may be missing or wrong, but state of an earlier era must never be taken for
//! that of a later one. `docs/design/store-eras.md` lists the cases.

use aspenloft_core::prelude::Era;

/// `EraReading` is what a response says about the era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraReading {
    /// The response was given in this era, the latest one.
    Latest(Era),
    /// The response was given in an earlier era, and nothing in it holds any more.
    Past(Era),
    /// The era is more than one above the latest one and counts only if the next response
    /// names it too.
    Unconfirmed(Era),
}

/// `EraTracker` keeps the latest era of one service.
#[derive(Debug, Default)]
pub struct EraTracker {
    latest: Option<Era>,
    unconfirmed: Option<Era>,
}

impl EraTracker {
    /// Returns the latest era; zero before any response has named one.
    pub fn latest(&self) -> Era {
        self.latest.unwrap_or_default()
    }

    /// Reads the era that a response names, or `None` if it names none that is readable. Such
    /// a response counts as one of the latest era.
    pub fn read(&mut self, named: Option<Era>) -> EraReading {
        let Some(named) = named else { return EraReading::Latest(self.latest()) };
        let Some(latest) = self.latest else { return self.accept(named) };
        let unconfirmed = self.unconfirmed.take();
        if named < latest {
            return EraReading::Past(named);
        }
        let follows = named.0 - latest.0 <= 1;
        if follows || unconfirmed == Some(named) {
            return self.accept(named);
        }
        self.unconfirmed = Some(named);
        EraReading::Unconfirmed(named)
    }

    fn accept(&mut self, era: Era) -> EraReading {
        self.latest = Some(era);
        EraReading::Latest(era)
    }
}
