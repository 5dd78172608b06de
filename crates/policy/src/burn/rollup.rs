//! The `rollup` module aggregates the measurements of a time span into mergeable counters
//! and histograms, so that the history outlives the hosts, which have no disks.

use std::collections::BTreeMap;

use aspenloft_core::errors::{Result, internal, invalid};
use aspenloft_core::prelude::Name;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use serde::{Deserialize, Serialize};
use serde_with::base64::{Base64, Standard};
use serde_with::{DeserializeAs, SerializeAs};

use super::windows::Tally;

/// The highest latency that a histogram records, in milliseconds; higher ones are clamped.
const MAX_MS: u64 = 600_000;

/// The number of significant decimal digits of recorded latencies.
const DIGITS: u8 = 1;

/// The most contributions to one roll-up, whose ids are stored to detect repeats.
const MAX_CONTRIBUTIONS: usize = 8_192;

/// `Latencies` is a mergeable histogram of latencies in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        // The library rejects only invalid bounds, and these are constants.
        let histogram = Histogram::new_with_max(MAX_MS, DIGITS);
        Latencies(histogram.unwrap_or_else(|_| unreachable!("constant bounds are valid")))
    }
}

impl Latencies {
    /// Records one latency.
    pub fn record(&mut self, latency: std::time::Duration) {
        let ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_MS);
        self.0.saturating_record(ms.clamp(1, MAX_MS));
    }

    /// Returns the quantile `share`, from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// Returns the number of recorded latencies.
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

/// `RowRollup` aggregates the requests of one row.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RowRollup {
    /// The event counts.
    pub tally: Tally,
    /// The times to first token.
    pub ttft: Latencies,
    /// The times between tokens, as one mean per request.
    pub tbt: Latencies,
}

/// `ServerRollup` aggregates the work of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerRollup {
    /// Tokens processed.
    pub tokens: u64,
    /// Time spent on them, in microseconds.
    pub micros: u64,
}

/// `Rollup` aggregates a time span in one data centre.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Rollup {
    /// The requests, by row.
    pub rows: BTreeMap<Name, RowRollup>,
    /// The work, by backend server.
    pub servers: BTreeMap<Name, ServerRollup>,
    /// The ids of the merged contributions, so that one is not added again when it is
    /// resent because the answer to its write was late.
    pub contributions: Vec<u64>,
}

impl Rollup {
    /// Merges `other` as the contribution with the id `contribution`; returns `false` when
    /// it was merged before.
    pub fn merge(&mut self, other: &Rollup, contribution: u64) -> Result<bool> {
        if self.contributions.contains(&contribution) {
            return Ok(false);
        }
        if self.contributions.len() >= MAX_CONTRIBUTIONS {
            return Err(invalid("the roll-up holds too many contributions"));
        }
        self.add_counts(other)?;
        self.contributions.push(contribution);
        Ok(true)
    }

    /// Adds the data of `other`, for a report over many roll-ups.
    pub fn add_counts(&mut self, other: &Rollup) -> Result<()> {
        for (name, row) in &other.rows {
            let total = self.rows.entry(name.clone()).or_default();
            total.tally += row.tally;
            total.ttft.merge(&row.ttft)?;
            total.tbt.merge(&row.tbt)?;
        }
        for (name, server) in &other.servers {
            let total = self.servers.entry(name.clone()).or_default();
            total.tokens += server.tokens;
            total.micros += server.micros;
        }
        Ok(())
    }

    /// Returns whether no data has been recorded.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.servers.is_empty()
    }
}
