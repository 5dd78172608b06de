//! The `response` module defines what the administration API answers about the table.

use std::time::Duration;

use aspenloft_core::errors::Error;
use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::commit::Outcome;
use crate::edit::Refusal;

/// `EditResponse` is what became of an edit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EditResponse {
    /// It was accepted in this version.
    Accepted {
        /// The version.
        version: u64,
    },
    /// It was refused; nothing took effect.
    Refused(Refusal),
    /// The service's table is older than the hosts'; nothing took effect.
    Regressed {
        /// The version at the service; zero for none.
        service: u64,
        /// The version that hosts obey.
        hosts: u64,
    },
    /// It failed; nothing took effect.
    Failed(Error),
    /// Whether it took effect could not be learnt.
    Unknown(Error),
}

impl From<Outcome> for EditResponse {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted(_, version) => EditResponse::Accepted { version },
            Outcome::Refused(refusal) => EditResponse::Refused(refusal),
            Outcome::Regressed { service, hosts } => EditResponse::Regressed { service, hosts },
            Outcome::Failed(e) => EditResponse::Failed(e),
            Outcome::Unknown(e) => EditResponse::Unknown(e),
        }
    }
}

/// `Rollout` is which host obeys which version, as one host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The newest version known.
    pub newest: u64,
    /// The version that the key-value service last gave this host; zero for none.
    pub service: u64,
    /// The hosts.
    pub hosts: Vec<HostVersion>,
}

/// `HostVersion` is the version in force at one host.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostVersion {
    /// The host.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is held to be live.
    pub live: bool,
    /// Whether the platform lists it.
    pub listed: bool,
    /// The version that it last said it has; zero for none.
    pub version: u64,
    /// The age of that word, if there is one.
    #[serde_as(as = "Option<DurationMilliSeconds>")]
    #[serde(rename = "age_ms")]
    pub age: Option<Duration>,
}

impl Rollout {
    /// Returns the live hosts that lack `version`.
    pub fn hosts_behind(&self, version: u64) -> impl Iterator<Item = &HostVersion> {
        self.hosts.iter().filter(move |host| host.live && host.version < version)
    }
}
