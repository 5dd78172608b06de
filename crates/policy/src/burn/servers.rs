//! The `servers` module names a backend server that is slower than its peers or
//! than its own past, while it still meets its targets.
//!
//! A pace is time of work for one token: for decode the time between tokens, for
//! prefill the time for a prompt token. It depends on the load, so each pace is
//! taken as a multiple of what the group's servers need at that load, and that
//! multiple is compared with the median of the peers and with the server's own past.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// How much slower than the median of its peers a server must be to be named.
pub const PEER_MARGIN: f64 = 1.12;

/// How much slower than its own past a server must be to be named.
pub const PAST_MARGIN: f64 = 1.12;

/// How long the excess must last. A shorter one is noise or a burst.
pub const MIN_EXCESS_DURATION: Duration = Duration::from_secs(30);

/// The share of the excess that must be gone before the finding is withdrawn, so
/// that a server on the border is not named and cleared in turn.
const CLEAR_SHARE: f64 = 0.5;

/// Time constant of the average that follows the present pace.
const FAST: Duration = Duration::from_secs(20);

/// Time constant of the average that remembers the past pace.
const SLOW: Duration = Duration::from_secs(3_600);

/// Peers needed for a median that one slow server cannot move.
const MIN_PEERS: usize = 3;

/// Observations needed before a server's own past counts.
const MIN_PAST: Duration = Duration::from_secs(120);

/// The most servers that one host watches; beyond them new ones are not taken in.
pub const MAX_SERVERS: usize = 1_024;

/// `Cause` is what a server is slow against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The median of the servers that do the same work.
    Peers,
    /// Its own past.
    Past,
}

/// `SlowServer` is the finding that a server is declining.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowServer {
    /// The backend server.
    pub server: Name,
    /// The group of servers that do the same work.
    pub group: Name,
    /// What it is slow against.
    pub cause: Cause,
    /// Its pace as a multiple of what it is compared with.
    pub ratio: f64,
}

/// `ServerPaces` holds the paces of the servers that a host hears of.
#[derive(Debug, Clone, Default)]
pub struct ServerPaces {
    servers: HashMap<Name, Server>,
    groups: HashMap<Name, LoadLine>,
}

/// `LoadLine` is the straight line of pace over load that fits the readings of a
/// group best, with old readings counting less and less.
#[derive(Debug, Clone)]
struct LoadLine {
    updated: Instant,
    weight: f64,
    load: f64,
    pace: f64,
    load_load: f64,
    load_pace: f64,
}

/// Spread of the loads below which their effect cannot be told from noise.
const MIN_LOAD_VARIANCE: f64 = 0.002;

#[derive(Debug, Clone)]
struct Server {
    group: Name,
    fast: f64,
    slow: f64,
    first: Instant,
    last: Instant,
    excess_since: Option<Instant>,
    named: bool,
}

impl ServerPaces {
    /// Takes in one observation of a server's pace, in seconds for a token, at a
    /// load between zero and one.
    pub fn observe(&mut self, server: &Name, group: &Name, pace: f64, load: f64, now: Instant) {
        if !pace.is_finite() || pace <= 0.0 || !load.is_finite() {
            return;
        }
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(server) {
            return;
        }
        let line = self.groups.entry(group.clone()).or_insert_with(|| LoadLine::new(now));
        line.add(load, pace, now);
        let pace = pace / line.at(load);
        if let Some(known) = self.servers.get_mut(server) {
            known.update(pace, now);
            return;
        }
        self.servers.insert(server.clone(), Server::new(group.clone(), pace, now));
    }

    /// Drops servers that have not been heard of for `silence`.
    pub fn remove_silent(&mut self, silence: Duration, now: Instant) {
        self.servers.retain(|_, server| now.saturating_duration_since(server.last) < silence);
        self.groups.retain(|_, line| now.saturating_duration_since(line.updated) < silence);
    }

    /// Returns the servers that are declining, worst first.
    pub fn slow_servers(&mut self, now: Instant) -> Vec<SlowServer> {
        let medians = self.medians();
        let mut found = Vec::new();
        for (name, server) in &mut self.servers {
            let (cause, ratio, margin) = server.comparison(medians.get(&server.group));
            if server.judge(ratio, margin, now) {
                let (server, group) = (name.clone(), server.group.clone());
                found.push(SlowServer { server, group, cause, ratio });
            }
        }
        found.sort_by(|a, b| b.ratio.total_cmp(&a.ratio));
        found
    }

    /// Returns the median pace of each group with enough servers.
    fn medians(&self) -> HashMap<Name, f64> {
        let mut paces: HashMap<Name, Vec<f64>> = HashMap::new();
        for server in self.servers.values() {
            paces.entry(server.group.clone()).or_default().push(server.fast);
        }
        paces.retain(|_, paces| paces.len() >= MIN_PEERS);
        paces.into_iter().map(|(group, paces)| (group, median(paces))).collect()
    }
}

impl LoadLine {
    fn new(now: Instant) -> LoadLine {
        LoadLine { updated: now, weight: 0.0, load: 0.0, pace: 0.0, load_load: 0.0, load_pace: 0.0 }
    }

    fn add(&mut self, load: f64, pace: f64, now: Instant) {
        let keep = 1.0 - weight(now.saturating_duration_since(self.updated), SLOW);
        self.weight = self.weight * keep + 1.0;
        self.load = self.load * keep + load;
        self.pace = self.pace * keep + pace;
        self.load_load = self.load_load * keep + load * load;
        self.load_pace = self.load_pace * keep + load * pace;
        self.updated = now;
    }

    /// Returns the pace that the line gives at `load`. A line that falls is noise,
    /// because more load never makes a server quicker.
    fn at(&self, load: f64) -> f64 {
        let (mean_load, mean_pace) = (self.load / self.weight, self.pace / self.weight);
        let variance = self.load_load / self.weight - mean_load * mean_load;
        if variance < MIN_LOAD_VARIANCE {
            return mean_pace;
        }
        let covariance = self.load_pace / self.weight - mean_load * mean_pace;
        let slope = (covariance / variance).max(0.0);
        // No group is taken to be quicker than a tenth of its mean at any load.
        (mean_pace + slope * (load - mean_load)).max(mean_pace / 10.0)
    }
}

impl Server {
    fn new(group: Name, pace: f64, now: Instant) -> Server {
        Server {
            group,
            fast: pace,
            slow: pace,
            first: now,
            last: now,
            excess_since: None,
            named: false,
        }
    }

    fn update(&mut self, pace: f64, now: Instant) {
        let span = now.saturating_duration_since(self.last);
        self.fast += (pace - self.fast) * weight(span, FAST);
        // The past is averaged as if it had been observed all along, so that a
        // young history is not just its first reading.
        let age = now.saturating_duration_since(self.first).min(SLOW).max(FAST);
        self.slow += (pace - self.slow) * weight(span, age);
        self.last = now;
    }

    /// Returns the worse of the two comparisons.
    fn comparison(&self, median: Option<&f64>) -> (Cause, f64, f64) {
        let past = if self.last.saturating_duration_since(self.first) >= MIN_PAST {
            self.fast / self.slow
        } else {
            1.0
        };
        let peers = median.map_or(1.0, |median| self.fast / median);
        if peers >= past {
            (Cause::Peers, peers, PEER_MARGIN)
        } else {
            (Cause::Past, past, PAST_MARGIN)
        }
    }

    /// Tells whether the server is named now: the excess has lasted, and a named
    /// server stays named until most of its excess has gone.
    fn judge(&mut self, ratio: f64, margin: f64, now: Instant) -> bool {
        let stays = self.named && ratio > 1.0 + (margin - 1.0) * CLEAR_SHARE;
        if ratio < margin && !stays {
            self.excess_since = None;
            self.named = false;
            return false;
        }
        let since = *self.excess_since.get_or_insert(now);
        self.named = self.named || now.saturating_duration_since(since) >= MIN_EXCESS_DURATION;
        self.named
    }
}

/// Returns the weight of a reading that covers `span` in an exponential average
/// with the time constant `constant`.
fn weight(span: Duration, constant: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / constant.as_secs_f64()).exp()
}

fn median(mut paces: Vec<f64>) -> f64 {
    paces.sort_by(f64::total_cmp);
    paces[paces.len() / 2]
}
