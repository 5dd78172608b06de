//! The `crashes` module holds back requests that crash backend servers. It records which
//! requests a server had not begun to answer when its process ended, here and at other
//! hosts; `aspenloft_policy::crash_tracker` decides what they speak for.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_core::suspects::{Fingerprint, PromptPart};
use aspenloft_policy::crash_tracker::{
    Cause, Change, Conviction, Crash, CrashTracker, RequestCauses, Standing,
};
use aspenloft_policy::stream_versions::Scope;
use async_std::task;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use xxhash_rust::xxh3::xxh3_64;

use crate::loads::EngineLoads;
use crate::peers::Peers;
use crate::reach::{ReachProbe, Reachability};
use crate::request::InboundRequest;
use crate::roster::Server;

/// The `Retry-After` of a request that is held back until a trial has shown whether it may be
/// sent.
const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The maximum number of entries of each kind but crashes in one digest.
const MAX_NOTICES: usize = 8;

/// The largest sizes that parts of notices have in a digest, in bytes.
const MAX_PART_BYTES: usize = 9;
const MAX_CLEARED_BYTES: usize = 28;
const MAX_CONVICTION_BYTES: usize = 33;

/// The size of notices without entries, in bytes.
const EMPTY_NOTICES_BYTES: usize = 8;

/// `CrashNotices` is what a host tells others of crashes in a digest.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CrashNotices {
    /// Crashes that the sender has seen, with their ages.
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    pub crashes: Vec<(Crash, Duration)>,
    /// Causes that are cleared, with the time since then.
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    pub cleared: Vec<(Cause, Duration)>,
    /// Causes that are held back, with the time since the last crash by them.
    #[serde_as(as = "Vec<(_, DurationMilliSeconds<u64>)>")]
    pub convictions: Vec<(Conviction, Duration)>,
}

/// `Crashes` keeps the crashes that this host knows of.
pub struct Crashes {
    tracker: Mutex<CrashTracker>,
    clock: SharedClock,
    reach: Arc<ReachProbe>,
    /// Is told of changes that others should hear of soon.
    loads: Arc<EngineLoads>,
    /// How many convictions have been told in digests that did not hold all.
    told: AtomicUsize,
}

impl Crashes {
    /// Creates a record without crashes.
    pub fn new(
        clock: SharedClock,
        loads: Arc<EngineLoads>,
        reach: Arc<ReachProbe>,
    ) -> Arc<Crashes> {
        let (tracker, told) = Default::default();
        Arc::new(Crashes { tracker, clock, reach, loads, told })
    }

    /// Records that the connection to `server` broke before it began to answer the request,
    /// if the server's process has ended. A connection may also break alone, and so may the
    /// path from this host to the server.
    pub fn report(self: &Arc<Self>, inbound: &InboundRequest, server: &Server, peers: &Arc<Peers>) {
        let at = self.clock.now();
        let crash = Crash { server: server.key, causes: inbound.causes().clone() };
        let (addr, instance) = (server.entry.addr, server.entry.instance.clone());
        let (id, parts) = (inbound.log_id().to_string(), inbound.log_parts());
        let (crashes, peers) = (self.clone(), peers.clone());
        task::spawn(async move {
            let reachability = match crashes.reach.connects(addr).await {
                Some(true) => Reachability::Reached,
                _ => crashes.ask_others(crash.server, &peers).await,
            };
            if reachability != Reachability::Unreached {
                let is_reached = reachability == Reachability::Reached;
                log::info!(event = "no_crash", request = id.as_str(), server = &*instance, is_reached; "");
                return;
            }
            if !crashes.tracker.lock().record_crash(crash, at, true) {
                return;
            }
            log::warn!(
                event = "server_crashed", request = id.as_str(), server = &*instance,
                parts = parts.as_str(); ""
            );
            crashes.log_changes();
            crashes.loads.notify();
        });
    }

    /// Returns what other hosts know of a server that this host does not reach. If they know
    /// nothing, it counts that this host reaches others.
    async fn ask_others(&self, server: u64, peers: &Peers) -> Reachability {
        match peers.ask_reachability(server).await {
            Reachability::Unknown => self.reach.check(server).await,
            known => known,
        }
    }

    /// Records that a server has begun to answer the request.
    pub fn record_answer(&self, inbound: &InboundRequest) {
        let now = self.clock.now();
        let cleared = self.tracker.lock().record_answer(inbound.causes(), now);
        if !cleared.is_empty() {
            for cause in cleared {
                let cause = cause.to_string();
                log::info!(event = "cause_answered", request = inbound.log_id(), cause = cause.as_str(); "");
            }
            self.log_changes();
            self.loads.notify();
        }
    }

    /// Returns whether servers have crashed under other requests that share a part with this
    /// one, so that it should not be sent to another server after one has crashed.
    pub fn is_suspect(&self, inbound: &InboundRequest) -> bool {
        let now = self.clock.now();
        self.tracker.lock().standing(inbound.causes(), now) != Standing::Clear
    }

    /// Returns an error if the request must not be sent to a server now, because it would
    /// probably crash it. The error says that the request has not run unless the caller's
    /// request has no prospect of being served.
    pub async fn check(&self, inbound: &InboundRequest, peers: &Peers) -> Result<()> {
        let now = self.clock.now();
        let standing = self.tracker.lock().standing(inbound.causes(), now);
        let Standing::Held { cause, firm } = standing else { return Ok(()) };
        if inbound.is_trial() {
            return Ok(());
        }
        if self.may_try(cause, now, peers).await {
            inbound.begin_trial();
            let cause = cause.to_string();
            log::info!(event = "trial", request = inbound.log_id(), cause = cause.as_str(); "");
            return Ok(());
        }
        if firm {
            let message = format!("backend servers crash when they begin to answer {cause}");
            return Err(Error::new(ErrorCode::Poisonous, message).execution(Execution::Unknown));
        }
        let message = format!("backend servers may crash when they begin to answer {cause}");
        let after = inbound.with_jitter(TRIAL_RETRY_AFTER);
        Err(Error::new(ErrorCode::Poisonous, message).retry_after(after))
    }

    /// Returns whether a trial of `cause` is due. One host decides for all, so that trials are
    /// as rare as intended.
    async fn may_try(&self, cause: Cause, now: Instant, peers: &Peers) -> bool {
        let conviction = {
            let mut tracker = self.tracker.lock();
            if !tracker.try_trial(cause, now) {
                return false;
            }
            tracker.conviction(cause, now)
        };
        let Some((conviction, age)) = conviction else { return true };
        match peers.decider(cause_key(cause)) {
            None => true,
            Some(decider) => peers.request_trial(&decider, conviction, age).await.unwrap_or(false),
        }
    }

    /// Decides for another host whether it may make a trial.
    pub fn grant_trial(&self, conviction: Conviction, age: Duration) -> bool {
        let now = self.clock.now();
        let mut tracker = self.tracker.lock();
        tracker.record_conviction(conviction, age, now);
        tracker.try_trial(conviction.cause, now)
    }

    /// Returns what the hosts in `scope` are to be told next, in up to `max_bytes` bytes.
    /// Crashes get at least half of them.
    pub fn notices(&self, scope: Scope, max_bytes: usize) -> CrashNotices {
        let now = self.clock.now();
        let mut tracker = self.tracker.lock();
        let mut room = max_bytes.saturating_sub(EMPTY_NOTICES_BYTES);
        let for_crashes = if tracker.has_crashes_to_tell(now, scope) { room / 2 } else { 0 };
        let max_cleared = ((room - for_crashes) / 2 / MAX_CLEARED_BYTES).min(MAX_NOTICES);
        let cleared = tracker.recently_cleared(now, max_cleared);
        room -= cleared.len() * MAX_CLEARED_BYTES;
        let max_convictions = ((room - for_crashes) / MAX_CONVICTION_BYTES).min(MAX_NOTICES);
        let from = self.told.load(Ordering::SeqCst);
        let convictions = tracker.convictions(now, from, max_convictions);
        self.told.fetch_add(convictions.len(), Ordering::SeqCst);
        room -= convictions.len() * MAX_CONVICTION_BYTES;
        let crashes = tracker.take_crashes(now, scope, room / MAX_PART_BYTES);
        CrashNotices { crashes, cleared, convictions }
    }

    /// Returns whether the hosts in `scope` have not been told all of some crash.
    pub fn is_telling(&self, scope: Scope) -> bool {
        self.tracker.lock().is_telling(self.clock.now(), scope)
    }

    /// Returns recent crashes for hosts of the previous build, which count whole requests.
    pub fn recent_requests(&self, max: usize) -> Vec<(Fingerprint, u64)> {
        self.tracker.lock().recent_requests(self.clock.now(), max)
    }

    /// Records what another host tells.
    pub fn apply(&self, notices: CrashNotices) {
        let now = self.clock.now();
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        {
            let mut tracker = self.tracker.lock();
            for (crash, age) in notices.crashes {
                tracker.record_crash(crash, at(age), false);
            }
            for (cause, age) in notices.cleared {
                tracker.clear(cause, at(age));
            }
            for (conviction, age) in notices.convictions {
                tracker.record_conviction(conviction, age, now);
            }
        }
        self.log_changes();
    }

    /// Records a disconnect that a host of the previous build tells. It does not know whether
    /// the server had begun to answer, and counts whole requests only.
    pub fn apply_disconnect(&self, request: Fingerprint, server: u64) {
        let causes = RequestCauses { service: 0, request, parts: Vec::new() };
        let now = self.clock.now();
        self.tracker.lock().record_crash(Crash { server, causes }, now, false);
        self.log_changes();
    }

    fn log_changes(&self) {
        for change in self.tracker.lock().take_changes() {
            match change {
                Change::Held { cause, crashes } => {
                    let cause = cause.to_string();
                    log::warn!(event = "cause_held", cause = cause.as_str(), crashes; "");
                }
                Change::Cleared(cause) => {
                    let cause = cause.to_string();
                    log::warn!(event = "cause_cleared", cause = cause.as_str(); "");
                }
            }
        }
    }
}

/// Returns the number by which the host is chosen that tries `cause`.
fn cause_key(cause: Cause) -> u64 {
    match cause {
        Cause::Request(request) => request.0,
        Cause::Part { service, part } => service ^ part.0,
    }
}

/// Returns what of a request for `service` may crash servers.
pub fn request_causes(service: &str, request: Fingerprint, parts: &[PromptPart]) -> RequestCauses {
    let mut seen = HashSet::new();
    let parts = parts.iter().copied().filter(|part| seen.insert(*part)).collect();
    RequestCauses { service: xxh3_64(service.as_bytes()), request, parts }
}
