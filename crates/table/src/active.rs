//! The `active` module holds the table that a host obeys. Its version never
//! falls, whatever the service or another host offers.

use std::sync::Arc;

use aspenloft_core::errors::Result;

use crate::table::Table;

/// `OfferOutcome` is what became of a table that was offered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Activated,
    /// The one in force has the same version.
    Same,
    /// The one in force is newer.
    Older,
}

/// `ActiveTable` is the table in force at a host, if there is one.
#[derive(Debug, Default)]
pub struct ActiveTable {
    table: Option<Arc<Table>>,
    text: Option<Arc<str>>,
}

impl ActiveTable {
    /// Puts `table` in force if it is newer than the one that is.
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

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the JSON text of the table in force, which other hosts may fetch.
    pub fn text(&self) -> Option<&Arc<str>> {
        self.text.as_ref()
    }

    /// Returns the version in force; zero for none.
    pub fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}
