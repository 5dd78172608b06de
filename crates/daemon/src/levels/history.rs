//! The `history` module stores months of service levels in the platform's key-value
//! service. To stay within the service's write rate, each host adds its counts only
//! twice an hour, to one value for its data centre and hour and to one for the day.
//!
//! Hosts store nothing themselves, so a host that exits loses the counts that it has
//! not written: those of at most [`WRITE_INTERVAL`].

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_policy::burn::rollup::Rollup;
use aspenloft_protocol::platform::{KeyValue, Put, Swap};
use async_std::task;

use crate::node::Node;

/// The interval at which a host adds its counts.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(1_800);

/// The prefix of all keys of the history.
pub const HISTORY_PREFIX: &str = "aspenloft/history/";

/// The maximum number of attempts to add a contribution; other hosts of the data
/// centre write to the same value.
const MAX_SWAP_ATTEMPTS: u32 = 8;

/// The upper bound of the random pause between two attempts, in milliseconds.
const MAX_SWAP_PAUSE_MS: u64 = 200;

const HOUR_S: u64 = 3_600;
const DAY_S: u64 = 24 * HOUR_S;

/// How long hourly values are kept, in hours.
const RETENTION_HOURS: u64 = 8 * 24;

/// How long daily values are kept, in days.
const RETENTION_DAYS: u64 = 400;

/// `Granularity` is the period that one value of the history covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Granularity {
    /// One value for each hour, kept for `RETENTION_HOURS`.
    Hour,
    /// One value for each day, kept for `RETENTION_DAYS`.
    Day,
}

impl Granularity {
    /// Returns the length of the period in seconds.
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

    /// Returns the prefix of the keys of this granularity. The number that follows has
    /// a fixed width, so that keys sort by time.
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

/// Returns the start of the period that a key covers, in seconds since the epoch.
pub fn start_of(granularity: Granularity, key: &str) -> Option<u64> {
    let rest = key.strip_prefix(&granularity.prefix())?;
    let index: u64 = rest.split('/').next()?.parse().ok()?;
    Some(index * granularity.seconds())
}

/// Adds this host's counts to the history every [`WRITE_INTERVAL`], forever.
pub async fn write_forever(node: Arc<Node>) {
    // A random delay spreads the writes of hosts that start at the same time.
    let spread = node.random_below(WRITE_INTERVAL.as_millis() as u64);
    task::sleep(Duration::from_millis(spread)).await;
    loop {
        if let Err(e) = write(&node).await {
            log::warn!(event = "history_not_written", error = e.to_string().as_str(); "");
        }
        task::sleep(WRITE_INTERVAL).await;
    }
}

/// Adds this host's counts since the last write. If the hourly value cannot be written,
/// the counts are kept for the next write.
pub async fn write(node: &Arc<Node>) -> Result<()> {
    let pending = node.levels.take_pending();
    if pending.is_empty() {
        return Ok(());
    }
    let contribution = node.random_below(u64::MAX);
    let now_s = unix_millis(node.clock.system_time()) / 1_000;
    for granularity in [Granularity::Hour, Granularity::Day] {
        if let Err(e) = add_to_history(node, granularity, now_s, &pending, contribution).await {
            // Only a failure at the hourly value, which is written first, restores the
            // counts. After one at the daily value the day lacks them; a retry would
            // count them twice in the hour.
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
            // Another host wrote first, or the answer was lost: read the value again.
            Ok(false) | Err(_) => {
                let pause = node.random_below(MAX_SWAP_PAUSE_MS);
                task::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
    Err(Error::new(ErrorCode::Conflict, format!("{key}: too many writers")))
}

/// Adds a contribution with one compare-and-swap; returns `false` if another host
/// wrote in between. A contribution that the value already contains counts as added.
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

/// Removes an expired value, if it still exists.
async fn remove(kv: &dyn KeyValue, key: &str) -> Result<()> {
    if let Some(found) = kv.get(key).await? {
        kv.put(Put { key: key.into(), expect: found.version, value: None, lease: None }).await?;
    }
    Ok(())
}

/// Parses a value of the history.
pub fn parse(text: &str) -> Result<Rollup> {
    serde_json::from_str(text).map_err(|e| internal(format!("history: {e}")))
}
