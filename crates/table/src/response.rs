//! The `response` module defines the responses of the administration API about the
//! table.

use std::time::Duration;

use aspenloft_core::errors::Error;
use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::commit::CommitOutcome;
use crate::edit::Refusal;

/// `EditResponse` is the outcome of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditResponse {
    /// The edit was accepted.
    Accepted {
        /// The version of the table that it produced.
        version: u64,
    },
    /// The edit was rejected and had no effect.
    Refused(Refusal),
    /// The table in the key-value service is older than that of the hosts. The edit had no
    /// effect.
    Regressed {
        /// The version in the key-value service; zero for none.
        service: u64,
        /// The highest version that any host uses.
        hosts: u64,
    },
    /// The edit failed and had no effect.
    Failed(Error),
    /// The edit may or may not have taken effect.
    Unknown(Error),
}

impl From<CommitOutcome> for EditResponse {
    fn from(outcome: CommitOutcome) -> Self {
        match outcome {
            CommitOutcome::Accepted(_, version) => EditResponse::Accepted { version },
            CommitOutcome::Refused(refusal) => EditResponse::Refused(refusal),
            CommitOutcome::Regressed { service, hosts } => {
                EditResponse::Regressed { service, hosts }
            }
            CommitOutcome::Failed(e) => EditResponse::Failed(e),
            CommitOutcome::Unknown(e) => EditResponse::Unknown(e),
        }
    }
}

/// `Rollout` is the table version of each host, as one host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The newest version known.
    pub newest: u64,
    /// The version that this host last read from the key-value service; zero for none.
    pub service: u64,
    /// The version of each host.
    pub hosts: Vec<HostVersion>,
}

/// `HostVersion` is the table version of one host.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostVersion {
    /// The name of the host.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is considered live.
    pub live: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    /// The version that it last reported; zero for none.
    pub version: u64,
    /// The age of that report, if there is one.
    #[serde_as(as = "Option<DurationMilliSeconds>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
}

impl Rollout {
    /// Returns the live hosts whose version is older than `version`.
    pub fn hosts_behind(&self, version: u64) -> impl Iterator<Item = &HostVersion> {
        self.hosts.iter().filter(move |host| host.live && host.version < version)
    }
}
