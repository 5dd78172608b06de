//! The `suspects` module defines the data that hosts share about requests that may
//! crash backend servers. `aspenloft-policy` decides which requests those are.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// `Fingerprint` is a hash of the model and the prompt of a request. It is the same
/// when the caller repeats the request, whichever host receives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of `prompt` for `model`.
    pub fn of(model: &str, prompt: &str) -> Fingerprint {
        let seed = xxh3_64_with_seed(model.as_bytes(), 0);
        Fingerprint(xxh3_64_with_seed(prompt.as_bytes(), seed))
    }
}

/// `PromptPart` identifies a part of a prompt that several requests may share.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:x}")]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Returns the part named `id`, a hexadecimal number. Other names are hashed.
    pub fn named(id: &str) -> PromptPart {
        let hash = || xxh3_64_with_seed(id.to_ascii_lowercase().as_bytes(), 0);
        PromptPart(u64::from_str_radix(id, 16).unwrap_or_else(|_| hash()))
    }
}

/// `SuspectStatus` says whether requests with a fingerprint are suspected of crashing
/// backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStatus {
    /// Not suspected.
    Clear,
    /// A request with it was running on a server when that server crashed.
    Suspect,
    /// It was the only suspect running on a server when that server crashed.
    Convicted,
}

/// `Verdict` is the status of a fingerprint, as hosts report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The status of requests with that fingerprint.
    pub standing: SuspectStatus,
}
