//! The `finding` module collects what a check found, with its place, so that all
//! findings are reported together rather than one at a time.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Finding` is one fault in a settings file or a table.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct Finding {
    /// Where the fault is, for instance `rows[scribe].ttft_ms`.
    pub place: String,
    /// What is wrong and what would be right.
    pub message: String,
}

/// `Findings` is the collected result of a check.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding at `place`.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { place: place.into(), message: message.into() });
    }

    /// Tells whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Turns the findings into a result: `Ok` when there are none.
    pub fn into_result(self) -> Result<(), Findings> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl std::fmt::Display for Findings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
