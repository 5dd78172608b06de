//! The `hosts` module simulates what a host knows and decides. The decisions are those of
//! the `policy` crate.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use aspenloft_policy::engine_choice::{
    DecodeLoad, PrefillLoad, choose_decode, choose_prefill, hosts_ahead, placed_before,
    preference_penalty,
};
use aspenloft_policy::engine_memory::RunForecast;
use aspenloft_policy::mechanisms::Mechanisms;
use aspenloft_policy::waiting::{self, WaitOptions, WaitingRequest};

use super::engines::RequestNo;
use super::pattern::LoadPattern;

/// How long snapshots are kept: longer than any delay of digests.
const SNAPSHOT_LIFE: Duration = Duration::from_secs(1);

/// How long an order of hosts with queued requests holds, in milliseconds.
const TURN_MS: u64 = 120;

/// The time within which a host's own placements count for hosts that queue requests.
const DIGEST_DELAY: Duration = Duration::from_millis(60);

/// `LocalRun` is a request that a host has placed on a decode engine.
#[derive(Debug, Clone, Copy)]
pub struct LocalRun {
    /// The engine.
    pub engine: usize,
    /// When it was placed.
    pub placed: Duration,
    /// The length of the prompt, in tokens.
    pub prompt: u64,
    /// Tokens that the host has relayed.
    pub generated: u64,
    /// The expected length of the answer, in tokens.
    pub expected: u64,
    /// The longest answer, in tokens.
    pub max: u64,
}

impl LocalRun {
    fn forecast(&self) -> RunForecast {
        RunForecast::new(self.prompt, self.generated, self.expected, self.max)
    }
}

/// `QueuedRequest` waits on a host for a decode engine.
#[derive(Debug, Clone, Copy)]
pub struct QueuedRequest {
    /// The request's times.
    pub waiter: WaitingRequest,
    /// The request.
    pub request: RequestNo,
    /// Its forecast before the first token.
    pub forecast: RunForecast,
}

/// `Snapshot` is a host's load as other hosts hear of it.
#[derive(Debug, Default)]
pub struct Snapshot {
    runs: Vec<(usize, RunForecast)>,
    prefills: Vec<(usize, u64)>,
    on_time: usize,
    queued: usize,
}

/// `Host` is one host's own load.
#[derive(Debug, Default)]
pub struct Host {
    /// Its data centre.
    pub centre: usize,
    /// The requests that it has placed.
    pub runs: BTreeMap<RequestNo, LocalRun>,
    /// Its prompts at prefill engines.
    pub prefills: BTreeMap<RequestNo, (usize, u64)>,
    /// The requests that wait.
    pub queue: Vec<QueuedRequest>,
    /// Until when engines count as full.
    pub full: HashMap<usize, Duration>,
    /// Whether its queue is about to be processed.
    pub poll_scheduled: bool,
    snapshots: VecDeque<(Duration, Rc<Snapshot>)>,
}

/// What another host has told, with the age of it.
struct Heard {
    host: usize,
    age: Duration,
    snapshot: Rc<Snapshot>,
}

/// `Hosts` is all hosts of a run.
#[derive(Debug)]
pub struct Hosts<'a> {
    /// Their loads.
    pub all: Vec<Host>,
    pattern: &'a LoadPattern,
    mechanisms: Mechanisms,
    wait: WaitOptions,
    epoch: Instant,
}

impl<'a> Hosts<'a> {
    /// Creates the hosts of `pattern` without load.
    pub fn new(pattern: &'a LoadPattern, mechanisms: Mechanisms, epoch: Instant) -> Hosts<'a> {
        let centre = |host: usize| host % pattern.data_centres;
        let all = (0..pattern.hosts).map(|host| Host { centre: centre(host), ..Host::default() });
        Hosts { all: all.collect(), pattern, mechanisms, wait: WaitOptions::default(), epoch }
    }

    /// Returns the instant of the simulated time `now`.
    pub fn at(&self, now: Duration) -> Instant {
        self.epoch + now
    }

    /// Sends the digest of `host`.
    pub fn publish(&mut self, host: usize, now: Duration) {
        let on_time = self.on_time(host, now);
        let host = &mut self.all[host];
        let snapshot = Snapshot {
            runs: host.runs.values().map(|run| (run.engine, run.forecast())).collect(),
            prefills: host.prefills.values().copied().collect(),
            on_time,
            queued: host.queue.len(),
        };
        host.snapshots.push_back((now, Rc::new(snapshot)));
        while host.snapshots.front().is_some_and(|(at, _)| *at + SNAPSHOT_LIFE < now) {
            host.snapshots.pop_front();
        }
    }

    /// Returns how many requests queued on `host` can still meet their target.
    pub fn on_time(&self, host: usize, now: Duration) -> usize {
        let at = self.at(now);
        let queue = self.all[host].queue.iter();
        queue.filter(|queued| queued.waiter.meets_target(at, &self.wait)).count()
    }

    /// Returns what `host` has heard of the others.
    fn heard(&self, host: usize, now: Duration) -> Vec<Heard> {
        let digests = &self.pattern.digests;
        let others = (0..self.all.len()).filter(|other| *other != host);
        let heard = others.filter_map(|other| {
            let mut known_until = now.checked_sub(digests.delay)?;
            if self.all[other].centre != self.all[host].centre {
                let interval = digests.remote_interval.as_micros();
                let rounds = known_until.as_micros() / interval * interval;
                known_until = Duration::from_micros(rounds as u64);
            }
            let snapshots = &self.all[other].snapshots;
            let (at, snapshot) = snapshots.iter().rev().find(|(at, _)| *at <= known_until)?;
            Some(Heard { host: other, age: now - *at, snapshot: snapshot.clone() })
        });
        heard.collect()
    }

    /// Returns the decode engine that `host` chooses for a request of this forecast among
    /// `engines`, for which other hosts' requests go first as far as they are on time, too.
    pub fn choose_decode(
        &self,
        host: usize,
        forecast: RunForecast,
        is_late: bool,
        engines: &[usize],
        now: Duration,
    ) -> Option<usize> {
        let heard = self.heard(host, now);
        let mut runs: HashMap<usize, Vec<RunForecast>> = HashMap::new();
        let own = &self.all[host];
        for run in own.runs.values() {
            runs.entry(run.engine).or_default().push(run.forecast());
        }
        let step = Duration::from_micros(self.pattern.engines.step_us * 3 / 2);
        for Heard { age, snapshot, .. } in &heard {
            let steps = (age.as_micros() / step.as_micros()) as u64;
            for (engine, forecast) in &snapshot.runs {
                runs.entry(*engine).or_default().push(forecast.advanced(steps));
            }
        }
        let is_ahead = |snapshot: &Snapshot| match is_late {
            true => snapshot.queued > 0,
            false => snapshot.on_time > 0,
        };
        let queueing: Vec<usize> =
            heard.iter().filter(|h| is_ahead(&h.snapshot)).map(|h| h.host).collect();
        let turn = now.as_millis() as u64 / TURN_MS;
        let horizon = now.saturating_sub(DIGEST_DELAY);
        let candidates: Vec<usize> = engines
            .iter()
            .copied()
            .filter(|engine| own.full.get(engine).is_none_or(|until| *until <= now))
            .collect();
        let loads: Vec<DecodeLoad> = candidates
            .iter()
            .map(|engine| {
                let placed = |run: &&LocalRun| run.engine == *engine && run.placed > horizon;
                let started = own.runs.values().filter(placed).count();
                let rank = |host: usize| mix(host as u64, *engine as u64, turn);
                let ahead = hosts_ahead(rank(host), queueing.iter().map(|other| rank(*other)));
                DecodeLoad {
                    slots: self.pattern.engines.slots,
                    capacity: self.pattern.engines.memory_tokens,
                    runs: runs.remove(engine).unwrap_or_default(),
                    local: engine % self.pattern.data_centres == own.centre
                        || !self.mechanisms.groups,
                    slowdown: 1.0,
                    preference_penalty: match self.mechanisms.preferences {
                        true => preference_penalty(mix(host as u64, *engine as u64, u64::MAX)),
                        false => 0.0,
                    },
                    placed_before: match self.mechanisms.turns {
                        true => placed_before(ahead, queueing.len(), started),
                        false => 0,
                    },
                }
            })
            .collect();
        choose_decode(&loads, forecast).map(|index| candidates[index])
    }

    /// Returns the prefill engine that `host` chooses.
    pub fn choose_prefill(&self, host: usize, decode: usize, now: Duration) -> Option<usize> {
        let count = self.pattern.engines.prefill;
        let mut queued = vec![0; count];
        let heard = self.heard(host, now);
        let others = heard.iter().flat_map(|h| h.snapshot.prefills.iter());
        for (engine, tokens) in self.all[host].prefills.values().chain(others) {
            queued[*engine] += tokens;
        }
        let centres = self.pattern.data_centres;
        let load = |engine: usize| PrefillLoad {
            queued: queued[engine],
            in_decode_group: engine % centres == decode % centres,
            preference_penalty: preference_penalty(mix(host as u64, engine as u64, 1)),
        };
        let loads: Vec<PrefillLoad> = (0..count).map(load).collect();
        choose_prefill(&loads)
    }

    /// Returns the expected wait of a request that arrives at `host`.
    pub fn expected_wait(&self, host: usize, now: Duration) -> Duration {
        let heard = self.heard(host, now);
        let step = Duration::from_micros(self.pattern.engines.step_us * 3 / 2);
        let own = self.all[host].runs.values().map(|run| run.forecast().remaining);
        let others = heard.iter().flat_map(|h| h.snapshot.runs.iter().map(|(_, f)| f.remaining));
        let ahead: usize = heard.iter().map(|h| h.snapshot.queued).sum();
        let ahead = ahead + self.all[host].queue.len();
        waiting::expected_wait(own.chain(others).collect(), ahead, step)
    }

    /// Returns the queued requests of `host` in the order of placement, without those that
    /// leave capacity to other hosts.
    pub fn placement_order(&self, host: usize, now: Duration) -> Vec<QueuedRequest> {
        let at = self.at(now);
        let queue = &self.all[host].queue;
        let waiters: Vec<WaitingRequest> = queue.iter().map(|queued| queued.waiter).collect();
        let elsewhere: usize = match self.mechanisms.late_yields {
            true => self.heard(host, now).iter().map(|h| h.snapshot.on_time).sum(),
            false => 0,
        };
        let order = waiting::placement_order(&waiters, at, &self.wait);
        let queued = |id: u64| queue.iter().find(|queued| queued.waiter.id == id).copied();
        let in_order = order.into_iter().filter_map(queued);
        in_order.filter(|queued| !queued.waiter.yields(elsewhere, at, &self.wait)).collect()
    }
}

/// Returns a hash of three numbers.
fn mix(a: u64, b: u64, c: u64) -> u64 {
    let mut hash = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32) ^ c;
    for _ in 0..2 {
        hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    }
    hash ^ (hash >> 31)
}
