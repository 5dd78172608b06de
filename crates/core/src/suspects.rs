//! The `suspects` module defines what hosts tell each other of requests that may
//! crash backend servers; `aspenloft-policy` decides it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `Fingerprint` names what a request asks of an engine. It is the same when the
/// caller sends the request again, by whatever host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a prompt for a model.
    pub fn of(model: &str, prompt: &str) -> Fingerprint {
        let seed = xxh3_64_with_seed(model.as_bytes(), 0);
        Fingerprint(xxh3_64_with_seed(prompt.as_bytes(), seed))
    }
}

/// `SuspectStatus` is what is held against a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStatus {
    /// Nothing.
    Clear,
    /// It ran on a server when that server died.
    Suspect,
    /// It was the only suspect on a server that died.
    Convicted,
}

/// `Verdict` is a change of standing, which all hosts must learn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Its new standing.
    pub standing: SuspectStatus,
}
