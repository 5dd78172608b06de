//! The `finding` module collects validation errors with their locations, so that all
//! are reported together rather than one at a time.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Finding` is one validation error in a settings file or a table.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[display("{place}: {message}")]
pub struct Finding {
    /// The location of the error, for instance `rows[scribe].ttft_ms`.
    pub place: String,
    /// What is wrong and which values are valid.
    pub message: String,
}

/// `Findings` is the list of errors that a validation found; empty if the input is
/// valid.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a finding at `place`.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.0.push(Finding { place: place.into(), message: message.into() });
    }

    /// Returns whether the validation found no error.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Converts the findings to a result: `Ok` if there are none.
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
