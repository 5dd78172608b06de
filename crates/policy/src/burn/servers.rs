//! The `servers` module detects backend servers that are slower than their peers or than
//! their own past, before they miss their targets.
//!
//! The pace of a server is its time per token: for decode the time between tokens, for
//! prefill the time for a prompt token. As pace depends on load, each pace is divided by
//! the pace that a regression over the group predicts at that load. The result is
//! compared with the median of the peers and with the server's own past.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// The ratio to the median of its peers from which on a server is reported as slow.
pub const PEER_MARGIN: f64 = 1.12;

/// The ratio to its own past from which on a server is reported as slow.
pub const PAST_MARGIN: f64 = 1.12;

/// How long the excess must last before a server is reported. A shorter one is noise or
/// a burst.
pub const MIN_EXCESS_DURATION: Duration = Duration::from_secs(30);

/// The fraction of the margin below which the excess must fall before a finding is
/// cleared. This hysteresis keeps a server near the margin from being reported and
/// cleared repeatedly.
const CLEAR_SHARE: f64 = 0.5;

/// The time constant of the average that follows the current pace.
const CURRENT_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// The time constant of the average that represents the past pace.
const PAST_TIME_CONSTANT: Duration = Duration::from_secs(3_600);

/// The least number of servers in a group for a median that one slow server cannot
/// distort.
const MIN_PEERS: usize = 3;

/// How long a server must have been observed before it is compared with its own past.
const MIN_PAST: Duration = Duration::from_secs(120);

/// The most servers that one host tracks; further ones are ignored.
pub const MAX_SERVERS: usize = 1_024;

/// `Cause` is the comparison in which a server is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The median of the servers that do the same work.
    Peers,
    /// Its own past.
    Past,
}

/// `SlowServer` is the finding that a server has become slow.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlowServer {
    /// The backend server.
    pub server: Name,
    /// The group of servers that do the same work.
    pub group: Name,
    /// The comparison in which it is slow.
    pub cause: Cause,
    /// The ratio of its pace to the reference of that comparison.
    pub ratio: f64,
}

/// `ServerPaces` tracks the paces of the servers that a host has measurements of.
#[derive(Debug, Clone, Default)]
pub struct ServerPaces {
    servers: HashMap<Name, Server>,
    groups: HashMap<Name, LoadRegression>,
}

/// `LoadRegression` is a linear least-squares regression of pace over load for a group of
/// servers, with exponentially decaying weights of old observations.
#[derive(Debug, Clone)]
struct LoadRegression {
    updated: Instant,
    /// The sum of the weights; the fields below are weighted sums over the observations.
    weight: f64,
    load: f64,
    pace: f64,
    load_load: f64,
    load_pace: f64,
}

/// The variance of the load below which its effect on pace is indistinguishable from
/// noise.
const MIN_LOAD_VARIANCE: f64 = 0.002;

#[derive(Debug, Clone)]
struct Server {
    group: Name,
    current: f64,
    past: f64,
    first: Instant,
    last: Instant,
    excess_since: Option<Instant>,
    reported: bool,
}

impl ServerPaces {
    /// Records one observation of a server's pace, in seconds per token, at a load between
    /// zero and one.
    pub fn observe(&mut self, server: &Name, group: &Name, pace: f64, load: f64, now: Instant) {
        if !pace.is_finite() || pace <= 0.0 || !load.is_finite() {
            return;
        }
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(server) {
            return;
        }
        let regression =
            self.groups.entry(group.clone()).or_insert_with(|| LoadRegression::new(now));
        regression.add(load, pace, now);
        let pace = pace / regression.predict(load);
        if let Some(known) = self.servers.get_mut(server) {
            known.update(pace, now);
            return;
        }
        self.servers.insert(server.clone(), Server::new(group.clone(), pace, now));
    }

    /// Removes servers and groups without an observation for `silence`.
    pub fn remove_silent(&mut self, silence: Duration, now: Instant) {
        self.servers.retain(|_, server| now.saturating_duration_since(server.last) < silence);
        self.groups
            .retain(|_, regression| now.saturating_duration_since(regression.updated) < silence);
    }

    /// Updates the findings and returns the slow servers, slowest first. The host must call
    /// this regularly, because the duration of an excess is measured between calls.
    pub fn slow_servers(&mut self, now: Instant) -> Vec<SlowServer> {
        let medians = self.medians();
        let mut found = Vec::new();
        for (name, server) in &mut self.servers {
            let (cause, ratio, margin) = server.comparison(medians.get(&server.group));
            if server.update_finding(ratio, margin, now) {
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
            paces.entry(server.group.clone()).or_default().push(server.current);
        }
        paces.retain(|_, paces| paces.len() >= MIN_PEERS);
        paces.into_iter().map(|(group, paces)| (group, median(paces))).collect()
    }
}

impl LoadRegression {
    fn new(now: Instant) -> LoadRegression {
        LoadRegression {
            updated: now,
            weight: 0.0,
            load: 0.0,
            pace: 0.0,
            load_load: 0.0,
            load_pace: 0.0,
        }
    }

    fn add(&mut self, load: f64, pace: f64, now: Instant) {
        let keep = 1.0 - weight(now.saturating_duration_since(self.updated), PAST_TIME_CONSTANT);
        self.weight = self.weight * keep + 1.0;
        self.load = self.load * keep + load;
        self.pace = self.pace * keep + pace;
        self.load_load = self.load_load * keep + load * load;
        self.load_pace = self.load_pace * keep + load * pace;
        self.updated = now;
    }

    /// Returns the predicted pace at `load`. A negative slope is noise, because more load
    /// never makes a server faster, and is replaced by zero.
    fn predict(&self, load: f64) -> f64 {
        let (mean_load, mean_pace) = (self.load / self.weight, self.pace / self.weight);
        let variance = self.load_load / self.weight - mean_load * mean_load;
        if variance < MIN_LOAD_VARIANCE {
            return mean_pace;
        }
        let covariance = self.load_pace / self.weight - mean_load * mean_pace;
        let slope = (covariance / variance).max(0.0);
        // The prediction is at least a tenth of the mean pace.
        (mean_pace + slope * (load - mean_load)).max(mean_pace / 10.0)
    }
}

impl Server {
    fn new(group: Name, pace: f64, now: Instant) -> Server {
        Server {
            group,
            current: pace,
            past: pace,
            first: now,
            last: now,
            excess_since: None,
            reported: false,
        }
    }

    fn update(&mut self, pace: f64, now: Instant) {
        let span = now.saturating_duration_since(self.last);
        self.current += (pace - self.current) * weight(span, CURRENT_TIME_CONSTANT);
        // The time constant is limited to the age of the history, so that a short history
        // is a mean of all observations and not dominated by the first.
        let age = now
            .saturating_duration_since(self.first)
            .min(PAST_TIME_CONSTANT)
            .max(CURRENT_TIME_CONSTANT);
        self.past += (pace - self.past) * weight(span, age);
        self.last = now;
    }

    /// Returns the comparison with the higher ratio, as its cause, ratio and margin.
    fn comparison(&self, median: Option<&f64>) -> (Cause, f64, f64) {
        let past = if self.last.saturating_duration_since(self.first) >= MIN_PAST {
            self.current / self.past
        } else {
            1.0
        };
        let peers = median.map_or(1.0, |median| self.current / median);
        if peers >= past {
            (Cause::Peers, peers, PEER_MARGIN)
        } else {
            (Cause::Past, past, PAST_MARGIN)
        }
    }

    /// Updates and returns whether the server is reported as slow: once the excess has
    /// lasted for [`MIN_EXCESS_DURATION`], and until it falls below [`CLEAR_SHARE`] of the
    /// margin.
    fn update_finding(&mut self, ratio: f64, margin: f64, now: Instant) -> bool {
        let remains = self.reported && ratio > 1.0 + (margin - 1.0) * CLEAR_SHARE;
        if ratio < margin && !remains {
            self.excess_since = None;
            self.reported = false;
            return false;
        }
        let since = *self.excess_since.get_or_insert(now);
        self.reported =
            self.reported || now.saturating_duration_since(since) >= MIN_EXCESS_DURATION;
        self.reported
    }
}

/// Returns the weight of an observation that covers `span` in an exponential average with
/// the time constant `constant`.
fn weight(span: Duration, constant: Duration) -> f64 {
    1.0 - (-span.as_secs_f64() / constant.as_secs_f64()).exp()
}

fn median(mut paces: Vec<f64>) -> f64 {
    paces.sort_by(f64::total_cmp);
    paces[paces.len() / 2]
}
