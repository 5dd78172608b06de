//! The `rollup` module holds what is kept of a span of time: tallies and
//! histograms that merge, so that hosts without disks leave a history behind.

use std::collections::BTreeMap;

use aspenloft_core::errors::{Result, internal, invalid};
use aspenloft_core::prelude::Name;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use serde_with::base64::{Base64, Standard};
use serde_with::{DeserializeAs, SerializeAs};

use super::windows::Tally;

/// The longest latency that a histogram tells apart, in milliseconds.
const LONGEST_MS: u64 = 600_000;

/// Significant digits of a latency in the history.
const DIGITS: u8 = 1;

/// The most contributions that one roll-up remembers for telling repeats apart.
const MAX_CONTRIBUTIONS: usize = 8_192;

/// `Latencies` is a mergeable histogram of latencies in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let histogram = Histogram::new_with_max(LONGEST_MS, DIGITS);
        Latencies(histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid")))
    }
}

impl Latencies {
    /// Adds one latency.
    pub fn record(&mut self, latency: std::time::Duration) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(LONGEST_MS);
        self.0.saturating_record(ms.clamp(1, LONGEST_MS));
    }

    /// Returns the latency, in milliseconds, that `share` of requests stay within.
    pub fn quantile_ms(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// Returns how many latencies were recorded.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn merge(&mut self, other: &Latencies) -> Result<()> {
        self.0.add(&other.0).map_err(|e| internal(format!("histogram: {e}")))
    }
}

impl Serialize for Latencies {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut bytes = Vec::new();
        V2Serializer::new()
            .serialize(&self.0, &mut bytes)
            .map_err(|e| serde::ser::Error::custom(format!("{e:?}")))?;
        Base64::<Standard>::serialize_as(&bytes, serializer)
    }
}

impl<'de> Deserialize<'de> for Latencies {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let bytes: Vec<u8> = Base64::<Standard>::deserialize_as(deserializer)?;
        Deserializer::new()
            .deserialize(&mut bytes.as_slice())
            .map(Latencies)
            .map_err(|e| serde::de::Error::custom(format!("{e:?}")))
    }
}

/// `RowRollup` is what is kept of one row.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RowRollup {
    /// The counts.
    pub tally: Tally,
    /// The times to first token.
    pub ttft: Latencies,
    /// The times between tokens, one mean for each request.
    pub tbt: Latencies,
}

/// `ServerRollup` is what is kept of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerRollup {
    /// Tokens of work.
    pub tokens: u64,
    /// Time of work, in microseconds.
    pub micros: u64,
}

/// `Rollup` is what is kept of a span of time in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollup {
    /// By row.
    pub rows: BTreeMap<Name, RowRollup>,
    /// By backend server.
    pub servers: BTreeMap<Name, ServerRollup>,
    /// The contributions that are in it, so that one whose write was answered too
    /// late is not added twice.
    pub contributions: Vec<u64>,
}

impl Rollup {
    /// Adds `other`, a contribution that is named `contribution`; `false` when it
    /// is in already.
    pub fn merge(&mut self, other: &Rollup, contribution: u64) -> Result<bool> {
        if self.contributions.contains(&contribution) {
            return Ok(false);
        }
        if self.contributions.len() >= MAX_CONTRIBUTIONS {
            return Err(invalid("the roll-up holds too many contributions"));
        }
        self.absorb(other)?;
        self.contributions.push(contribution);
        Ok(true)
    }

    /// Adds the counts of `other`, for a report over many roll-ups.
    pub fn absorb(&mut self, other: &Rollup) -> Result<()> {
        for (name, row) in &other.rows {
            let mine = self.rows.entry(name.clone()).or_default();
            mine.tally += row.tally;
            mine.ttft.merge(&row.ttft)?;
            mine.tbt.merge(&row.tbt)?;
        }
        for (name, server) in &other.servers {
            let mine = self.servers.entry(name.clone()).or_default();
            mine.tokens += server.tokens;
            mine.micros += server.micros;
        }
        Ok(())
    }

    /// Tells whether nothing has been counted.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.servers.is_empty()
    }
}
