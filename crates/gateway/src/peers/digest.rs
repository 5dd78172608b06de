//! The `digest` module defines what hosts tell each other.

use aspenloft_core::prelude::Host;
use aspenloft_core::suspects::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::demand::DemandDigest;
use crate::loads::LoadDigest;
use crate::roster::ServerEntry;

/// `Digest` is what a host tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender, and where it is reached.
    pub host: Host,
    /// Grows with each digest; a late datagram must not undo a newer one.
    pub seq: u64,
    /// When the sender's process began, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The revision of the key-value service up to which the sender has followed.
    pub revision: u64,
    /// Whether the sender follows the key-value service itself, and hears from it.
    pub follows: bool,
    /// The sender's work on the engines.
    pub loads: LoadDigest,
    /// What the sender's requests needed.
    pub demand: Vec<DemandDigest>,
    /// The servers that the sender cannot reach.
    pub unreachable: Vec<u64>,
    /// The servers that broke off lately at the sender, and on which requests.
    pub breaks: Vec<(Fingerprint, u64)>,
}

/// `ViewReply` is all that a host believes, for one that cannot reach the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ViewReply {
    /// The revision up to which the sender has followed.
    pub revision: u64,
    /// The configuration in force.
    pub configuration: Option<Configuration>,
    /// The hosts that the sender knows.
    pub hosts: Vec<Host>,
    /// The backend servers.
    pub servers: Vec<ServerEntry>,
}
