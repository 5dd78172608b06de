//! The `history` module keeps months of service levels in the platform's key-value
//! service, within its rate: each host adds what it has counted to one value for
//! its data centre and hour, and to one for the day, twice an hour.
//!
//! Hosts keep nothing, so what a host that dies had not yet written is lost: at
//! most [`WRITE_INTERVAL`] of its counts.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_policy::burn::rollup::Rollup;
use aspenloft_protocol::platform::{KeyValue, Put, Swap};
use async_std::task;

use crate::node::Node;

/// How often a host adds its counts.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(1_800);

/// The start of all keys of the history.
pub const HISTORY_PREFIX: &str = "aspenloft/history/";

/// Tries to add a contribution, for other hosts of the data centre write too.
const MAX_SWAP_ATTEMPTS: u32 = 8;

/// The longest pause between two tries, in milliseconds.
const MAX_SWAP_PAUSE_MS: u64 = 200;

const HOUR_S: u64 = 3_600;
const DAY_S: u64 = 24 * HOUR_S;

/// How long hourly values are kept, in hours.
const RETENTION_HOURS: u64 = 8 * 24;

/// How long daily values are kept, in days.
const RETENTION_DAYS: u64 = 400;

/// `Granularity` is the length of time that one value covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granularity {
    /// An hour.
    Hour,
    /// A day.
    Day,
}

impl Granularity {
    /// Returns the length in seconds.
    pub fn seconds(self) -> u64 {
        match self {
            Granularity::Hour => HOUR_S,
            Granularity::Day => DAY_S,
        }
    }

    fn retention(self) -> u64 {
        match self {
            Granularity::Hour => RETENTION_HOURS,
            Granularity::Day => RETENTION_DAYS,
        }
    }

    /// Returns the start of this grain's keys. Numbers have a fixed width, so that
    /// keys sort by time.
    pub fn prefix(self) -> String {
        match self {
            Granularity::Hour => format!("{HISTORY_PREFIX}hour/"),
            Granularity::Day => format!("{HISTORY_PREFIX}day/"),
        }
    }

    fn key(self, index: u64, data_centre: &str) -> String {
        format!("{}{index:010}/{data_centre}", self.prefix())
    }
}

/// Returns the start of the span that a key covers, in seconds since the epoch.
pub fn start_of(granularity: Granularity, key: &str) -> Option<u64> {
    let rest = key.strip_prefix(&granularity.prefix())?;
    let index: u64 = rest.split('/').next()?.parse().ok()?;
    Some(index * granularity.seconds())
}

/// Adds this host's counts to the history for ever.
pub async fn write_forever(node: Arc<Node>) {
    // Hosts that start together must not write together.
    let spread = node.random_below(WRITE_INTERVAL.as_millis() as u64);
    task::sleep(Duration::from_millis(spread)).await;
    loop {
        if let Err(e) = write(&node).await {
            log::warn!(event = "history_not_written", error = e.to_string().as_str(); "");
        }
        task::sleep(WRITE_INTERVAL).await;
    }
}

/// Adds what this host has counted since the last time; also at a graceful
/// shutdown. What cannot be written stays for the next time.
pub async fn write(node: &Arc<Node>) -> Result<()> {
    let pending = node.levels.take_pending();
    if pending.is_empty() {
        return Ok(());
    }
    let contribution = node.random_below(u64::MAX);
    let now_s = unix_millis(node.clock.wall()) / 1_000;
    for granularity in [Granularity::Hour, Granularity::Day] {
        if let Err(e) = add_to_history(node, granularity, now_s, &pending, contribution).await {
            // Only the first value decides: with the hour written, the counts are
            // kept, and the day lacks them rather than holding them twice.
            if granularity == Granularity::Hour {
                node.levels.restore_pending(&pending);
            }
            return Err(e);
        }
    }
    Ok(())
}

async fn add_to_history(
    node: &Arc<Node>,
    granularity: Granularity,
    now_s: u64,
    pending: &Rollup,
    contribution: u64,
) -> Result<()> {
    let index = now_s / granularity.seconds();
    let key = granularity.key(index, &node.settings.data_centre);
    for _ in 0..MAX_SWAP_ATTEMPTS {
        match try_add(node.kv.as_ref(), &key, pending, contribution).await {
            Ok(true) => {
                let Some(old) = index.checked_sub(granularity.retention()) else { return Ok(()) };
                let old = granularity.key(old, &node.settings.data_centre);
                return remove(node.kv.as_ref(), &old).await;
            }
            // Lost to another writer, or the answer was lost: read again.
            Ok(false) | Err(_) => {
                let pause = node.random_below(MAX_SWAP_PAUSE_MS);
                task::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
    Err(Error::new(ErrorCode::Conflict, format!("{key}: too many writers")))
}

/// Adds a contribution if no other writer comes between; a contribution that is in
/// already counts as added.
async fn try_add(kv: &dyn KeyValue, key: &str, pending: &Rollup, id: u64) -> Result<bool> {
    let found = kv.get(key).await?;
    let expect = found.as_ref().map_or(0, |found| found.version);
    let mut rollup = match found {
        Some(found) => parse(&found.value)?,
        None => Rollup::default(),
    };
    if !rollup.merge(pending, id)? {
        return Ok(true);
    }
    let value = serde_json::to_string(&rollup).map_err(|e| internal(e.to_string()))?;
    let put = Put { key: key.into(), expect, value: Some(value), lease: None };
    Ok(matches!(kv.put(put).await?, Swap::Done(_)))
}

/// Removes a value whose time is over, if it is still there.
async fn remove(kv: &dyn KeyValue, key: &str) -> Result<()> {
    if let Some(found) = kv.get(key).await? {
        kv.put(Put { key: key.into(), expect: found.version, value: None, lease: None }).await?;
    }
    Ok(())
}

/// Reads a value of the history.
pub fn parse(text: &str) -> Result<Rollup> {
    serde_json::from_str(text).map_err(|e| internal(format!("history: {e}")))
}
