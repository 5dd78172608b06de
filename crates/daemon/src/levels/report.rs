//! The `report` module creates the report on service-level burn: the current windows
//! summed over all hosts, the slow servers, and the history.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Result, internal};
use aspenloft_core::prelude::{Host, Name};
use aspenloft_policy::burn::rollup::Rollup;
use aspenloft_policy::burn::servers::{Cause, SlowServer};
use aspenloft_policy::burn::windows::{Alarm, SLOW_BURN, Tally, WINDOWS};
use aspenloft_protocol::admin::burn::{
    AlarmState, BurnReport, HistoryPoint, RowBurn, SlowServerReport, WindowBurn,
};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest};
use futures::stream::{self, StreamExt};
use serde::{Deserialize, Serialize};

use super::history::{self, Granularity};
use crate::node::Node;
use crate::peers::unexpected_reply;
use crate::suspects::other_hosts;

/// The timeout of a call for the counts of one host.
const TALLIES_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of concurrent calls to hosts.
const MAX_CONCURRENT_CALLS: usize = 32;

/// The maximum number of periods of the history in a report; the latest are shown.
const MAX_HISTORY_POINTS: usize = 400;

/// `HostTallies` is one host's part of a report.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostTallies {
    /// The counts of each row, one for each of the windows.
    pub rows: HashMap<Name, [Tally; WINDOWS.len()]>,
    /// The servers that the host considers slow.
    pub slow: Vec<SlowServer>,
}

/// Returns this host's part of a report.
pub fn own_tallies(node: &Node) -> HostTallies {
    let now = node.clock.now();
    let mut rows: HashMap<Name, [Tally; WINDOWS.len()]> = HashMap::new();
    for (i, window) in WINDOWS.iter().enumerate() {
        for (row, tally) in node.levels.tallies(*window, now) {
            rows.entry(row).or_default()[i] = tally;
        }
    }
    HostTallies { rows, slow: node.levels.slow_servers(now) }
}

/// Handles another host's request for this host's part.
pub fn serve(node: &Node) -> Result<ControlReply> {
    let text = serde_json::to_string(&own_tallies(node)).map_err(|e| internal(e.to_string()))?;
    Ok(ControlReply::Tallies(text.into()))
}

/// Creates the report over all hosts.
pub async fn report(node: &Arc<Node>, granularity: Granularity) -> BurnReport {
    let calls = stream::iter(other_hosts(node)).map(|host| async move {
        let tallies = fetch_tallies(node, &host).await;
        (host.name, tallies)
    });
    let answers: Vec<(Name, Result<HostTallies>)> =
        calls.buffer_unordered(MAX_CONCURRENT_CALLS).collect().await;

    let mut totals = own_tallies(node);
    let mut missing = Vec::new();
    for (host, answer) in answers {
        match answer {
            Ok(tallies) => totals.absorb(tallies),
            Err(_) => missing.push(host),
        }
    }
    let history = history_points(node, granularity).await;
    BurnReport {
        rows: row_burns(node, &totals),
        slow_servers: slow_servers(totals.slow),
        hosts_missing: missing,
        history_error: history.as_ref().err().map(|e| e.to_string()),
        history: history.unwrap_or_default(),
    }
}

impl HostTallies {
    fn absorb(&mut self, other: HostTallies) {
        for (row, tallies) in other.rows {
            let own = self.rows.entry(row).or_default();
            for (own, other) in own.iter_mut().zip(tallies) {
                *own += other;
            }
        }
        self.slow.extend(other.slow);
    }
}

async fn fetch_tallies(node: &Arc<Node>, host: &Host) -> Result<HostTallies> {
    match node.peers.call_control(host, ControlRequest::Tallies, TALLIES_TIMEOUT).await? {
        ControlReply::Tallies(text) => {
            serde_json::from_str(&text).map_err(|e| internal(e.to_string()))
        }
        other => Err(unexpected_reply(&PeerReply::Control(other))),
    }
}

/// Creates the rows of the report, in the order of the table and then by name.
fn row_burns(node: &Node, totals: &HostTallies) -> Vec<RowBurn> {
    let table = node.view.table().ok();
    let order = |name: &Name| {
        let rows = table.as_ref().map(|table| table.rows.as_slice()).unwrap_or_default();
        rows.iter().position(|row| row.name == *name).unwrap_or(usize::MAX)
    };
    let mut rows: Vec<RowBurn> = totals.rows.iter().map(|(name, t)| row_burn(name, t)).collect();
    rows.sort_by_key(|row| (order(&row.row), row.row.clone()));
    rows
}

fn row_burn(name: &Name, tallies: &[Tally; WINDOWS.len()]) -> RowBurn {
    let windows = WINDOWS.iter().zip(tallies).map(|(window, tally)| {
        let burn = tally.burn();
        WindowBurn {
            window: *window,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            ttft: burn.ttft,
            tbt: burn.tbt,
            failures: burn.failed,
            waste: burn.waste,
        }
    });
    let windows: Vec<WindowBurn> = windows.collect();
    RowBurn { row: name.clone(), alarm: alarm(tallies), cause: cause(tallies), windows }
}

/// Computes the alarm of a row from its counts summed over all hosts, by the same rule
/// that applies to the counts of a single host.
fn alarm(tallies: &[Tally; WINDOWS.len()]) -> AlarmState {
    let [short, middle, long] = tallies.map(|tally| tally.burn().worst());
    match Alarm::of(short, middle, long) {
        Alarm::Steady => AlarmState::Steady,
        Alarm::Warning => AlarmState::Warning,
        Alarm::Page => AlarmState::Page,
    }
}

/// Returns the error budget with the highest burn over the middle window, if that
/// burn is at least `SLOW_BURN`.
fn cause(tallies: &[Tally; WINDOWS.len()]) -> Option<Name> {
    let burn = tallies[1].burn();
    let burns = [
        (burn.ttft, "time to first token"),
        (burn.tbt, "time between tokens"),
        (burn.failed, "failed requests"),
        (burn.waste, "wasted prefill"),
    ];
    let worst = burns.into_iter().max_by(|a, b| a.0.total_cmp(&b.0))?;
    (worst.0 >= SLOW_BURN).then(|| worst.1.into())
}

/// Reports the worst finding of each server, as several hosts may have found it slow.
fn slow_servers(found: Vec<SlowServer>) -> Vec<SlowServerReport> {
    let mut worst: BTreeMap<Name, SlowServer> = BTreeMap::new();
    for slow in found {
        match worst.get(&slow.server) {
            Some(known) if known.ratio >= slow.ratio => (),
            _ => {
                worst.insert(slow.server.clone(), slow);
            }
        }
    }
    let mut reports: Vec<SlowServerReport> = worst.into_values().map(slow_server_report).collect();
    reports.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
    reports
}

fn slow_server_report(slow: SlowServer) -> SlowServerReport {
    let against = match slow.cause {
        Cause::Peers => "its peers",
        Cause::Past => "its own past",
    };
    SlowServerReport {
        server: slow.server,
        group: slow.group,
        against: against.into(),
        ratio: slow.ratio,
    }
}

/// Reads the history and sums the data centres.
async fn history_points(node: &Arc<Node>, granularity: Granularity) -> Result<Vec<HistoryPoint>> {
    let mut periods: BTreeMap<u64, Rollup> = BTreeMap::new();
    for found in node.kv.list(&granularity.prefix()).await? {
        let Some(start) = history::start_of(granularity, &found.key) else { continue };
        periods.entry(start).or_default().add_counts(&history::parse(&found.value)?)?;
    }
    let skip = periods.len().saturating_sub(MAX_HISTORY_POINTS);
    let points = periods.into_iter().skip(skip);
    Ok(points.flat_map(|(start, rollup)| points_of(start, &rollup)).collect())
}

fn points_of(start_s: u64, rollup: &Rollup) -> Vec<HistoryPoint> {
    let rows = rollup.rows.iter().map(|(name, row)| HistoryPoint {
        start_s,
        row: name.clone(),
        served: row.tally.served,
        refused: row.tally.refused,
        ttft_p95_ms: row.ttft.quantile_ms(0.95),
        tbt_p95_ms: row.tbt.quantile_ms(0.95),
        worst_burn: row.tally.burn().worst(),
    });
    rows.collect()
}
