//! The `active` module holds the table that a host uses. Its version never decreases,
//! whichever versions the key-value service or other hosts offer.

use std::sync::Arc;

use aspenloft_core::errors::Result;

use crate::table::Table;

/// `OfferOutcome` is the outcome of offering a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered table is now active.
    Activated,
    /// The active table has the same version.
    Same,
    /// The offered table is older than the active one.
    Older,
}

/// `ActiveTable` is the table that a host uses, if it has one.
#[derive(Debug, Default)]
pub struct ActiveTable {
    table: Option<Arc<Table>>,
    text: Option<Arc<str>>,
}

impl ActiveTable {
    /// Activates `table` if it is newer than the active one.
    pub fn offer(&mut self, table: Table) -> Result<OfferOutcome> {
        let version = self.version();
        if self.table.is_some() && table.version <= version {
            let same = table.version == version;
            return Ok(if same { OfferOutcome::Same } else { OfferOutcome::Older });
        }
        self.text = Some(table.to_json()?.into());
        self.table = Some(Arc::new(table));
        Ok(OfferOutcome::Activated)
    }

    /// Returns the active table.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the JSON text of the active table, for other hosts that fetch it.
    pub fn text(&self) -> Option<&Arc<str>> {
        self.text.as_ref()
    }

    /// Returns the version of the active table; zero for none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}
