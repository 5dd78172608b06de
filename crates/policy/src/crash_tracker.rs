//! The `crash_tracker` module finds out which requests, or parts of their prompts, crash the
//! servers that begin to answer them.
//!
//! It handles callers that keep sending such requests to any host, also new ones that share
//! only a part. A host sees which of its requests a server had not begun to answer when it
//! crashed; any of them may be the cause, and the crashes that several hosts have seen add
//! up. [`crate::suspects`] relies on server deaths that a home host detects.
//! `docs/design/crash-causes.md` describes what is counted, and the bounds.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use aspenloft_core::suspects::{Fingerprint, PromptPart};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::stream_versions::Scope;

/// The number of servers that must crash before a part is convicted.
const MIN_PART_CRASHES: usize = 3;

/// The number of crashes from which the conviction of a part is firm, and requests get a
/// final answer.
const FIRM_PART_CRASHES: usize = 5;

/// The same for one request. It concerns fewer callers, so it needs less evidence.
const MIN_REQUEST_CRASHES: usize = 2;
const FIRM_REQUEST_CRASHES: usize = 3;

/// The minimum number of different requests with a part that is convicted. Otherwise one
/// request that is sent again would convict all parts of its prompt.
const MIN_REQUESTS: usize = 2;

/// The minimum time from the first to the last crash by which a part is convicted. Servers
/// that crash at the same moment crash for another reason.
const MIN_SPAN: Duration = Duration::from_millis(300);

/// The minimum time from the first to the last crash by which the conviction of a request is
/// firm: a trial has failed, while other sends were in flight at the first crash.
const MIN_FIRM_SPAN: Duration = Duration::from_secs(1);

/// How long a crash counts: a few times the interval at which callers retry.
const CRASH_TTL: Duration = Duration::from_secs(60);

/// How long a conviction lasts after the last request that it held back.
const CONVICTION_TTL: Duration = Duration::from_secs(1_800);

/// The minimum time between two trials of one cause, and from its last crash to a trial.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// The same once the conviction is firm, for the first trial; it grows by
/// [`FIRM_TRIAL_GROWTH`] with each further crash. Without trials, a cause would be held back
/// long after the servers have been repaired.
const FIRM_TRIAL_INTERVAL: Duration = Duration::from_secs(60);
const FIRM_TRIAL_GROWTH: u32 = 4;

/// The number of trials of a cause whose conviction is firm.
const MAX_FIRM_TRIALS: usize = 2;

/// The maximum number of crashes that are stored; the oldest are evicted first.
const MAX_CRASHES: usize = 256;

/// The maximum number of parts that the stored crashes have together; the oldest crashes are
/// evicted first. Prompts are only limited by the size of a request's head.
const MAX_CRASH_PARTS: usize = 65_536;

/// The maximum number of convictions; those with the fewest crashes are evicted first.
const MAX_CONVICTIONS: usize = 256;

/// The maximum number of causes of each of two generations under which servers have begun
/// an answer, beside those that stored crashes may speak for.
const MAX_ANSWERED: usize = 8_192;

/// How long other hosts are told of a crash or of a cause that is cleared: long enough for
/// several digests, so that a lost one does not matter. A crash with many parts may take longer.
const NOTICE_PERIOD: Duration = Duration::from_secs(3);

/// The space that a crash takes in a notice beside that of its parts, in parts.
pub const CRASH_OVERHEAD_PARTS: usize = 5;

/// `Cause` is what may crash the servers of a service.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Cause {
    /// One request, whoever sends it.
    #[display("request-{:x}", _0.0)]
    Request(Fingerprint),
    /// All requests for a service, given by the hash of its name, with this part.
    #[display("{part}")]
    Part {
        /// The hash of the service's name.
        service: u64,
        /// The part of the prompts.
        part: PromptPart,
    },
}

impl Cause {
    /// Returns the number of servers that must crash before the cause is convicted.
    fn min_crashes(self) -> usize {
        match self {
            Cause::Request(_) => MIN_REQUEST_CRASHES,
            Cause::Part { .. } => MIN_PART_CRASHES,
        }
    }

    /// Returns the number of crashes from which the conviction is firm.
    fn firm_crashes(self) -> usize {
        match self {
            Cause::Request(_) => FIRM_REQUEST_CRASHES,
            Cause::Part { .. } => FIRM_PART_CRASHES,
        }
    }
}

/// `RequestCauses` is what of a request may crash servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCauses {
    /// The hash of the name of the service.
    pub service: u64,
    /// The fingerprint of the request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share, in their order.
    pub parts: Vec<PromptPart>,
}

impl RequestCauses {
    /// Returns the parts, then the request itself.
    fn causes(&self) -> impl Iterator<Item = Cause> {
        let service = self.service;
        let parts = self.parts.iter().map(move |part| Cause::Part { service, part: *part });
        parts.chain([Cause::Request(self.request)])
    }

    fn has(&self, cause: Cause) -> bool {
        self.causes().any(|other| other == cause)
    }
}

/// `Crash` is the end of a server's process before it began to answer a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The key of the process.
    pub server: u64,
    /// What the request consists of.
    pub causes: RequestCauses,
}

/// `Standing` says whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// Servers have crashed under other requests with one of its parts.
    Suspect,
    /// Servers have crashed by this cause, and only a trial may be sent.
    Held {
        /// The cause.
        cause: Cause,
        /// Whether so many servers have crashed that the request has no prospect of being
        /// served.
        firm: bool,
    },
}

/// `Conviction` is a cause that is held back, with the number of crashes by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conviction {
    /// The cause.
    pub cause: Cause,
    /// The number of servers that have crashed by it.
    pub crashes: u32,
}

#[derive(Debug)]
struct RecordedCrash {
    crash: Crash,
    at: Instant,
    /// What other hosts have been told; `None` for a crash that another host has seen.
    told: Option<Told>,
}

impl RecordedCrash {
    /// Returns how much the hosts in `scope` have been told if they are to be told more.
    fn due(&self, scope: Scope, now: Instant) -> Option<Telling> {
        let telling = self.told.as_ref()?.to(scope);
        let age = now.saturating_duration_since(self.at);
        let is_due = age < NOTICE_PERIOD || !telling.is_whole() && age < CRASH_TTL;
        is_due.then_some(telling)
    }
}

/// How much of a crash each scope has been told.
#[derive(Debug, Default)]
struct Told {
    group: Telling,
    all: Telling,
}

impl Told {
    fn to(&self, scope: Scope) -> Telling {
        match scope {
            Scope::Group => self.group,
            Scope::All => self.all,
        }
    }

    fn set(&mut self, scope: Scope, telling: Telling) {
        match scope {
            Scope::Group => self.group = telling,
            Scope::All => self.all = telling,
        }
    }
}

/// How often all parts of a crash have been told, and how many of them once more.
#[derive(Debug, Default, Clone, Copy)]
struct Telling {
    times: u32,
    parts: usize,
}

impl Telling {
    /// Returns whether all parts have been told, and none of them is being told again.
    fn is_whole(self) -> bool {
        self.times > 0 && self.parts == 0
    }
}

#[derive(Debug, Clone, Copy)]
struct HeldCause {
    crashes: usize,
    last_crash: Instant,
    last_used: Instant,
    last_trial: Option<Instant>,
}

impl HeldCause {
    fn is_firm(&self, cause: Cause) -> bool {
        self.crashes >= cause.firm_crashes()
    }

    /// Returns the time between trials; `None` if there are none.
    fn trial_interval(&self, cause: Cause) -> Option<Duration> {
        match self.crashes.checked_sub(cause.firm_crashes()) {
            None => Some(TRIAL_INTERVAL),
            Some(trials) if trials >= MAX_FIRM_TRIALS => None,
            Some(trials) => {
                let growth = FIRM_TRIAL_GROWTH.pow(u32::try_from(trials).unwrap_or(0));
                Some(FIRM_TRIAL_INTERVAL * growth)
            }
        }
    }
}

/// The crashes that speak for one cause.
#[derive(Debug, Default)]
struct Evidence {
    servers: HashSet<u64>,
    requests: HashSet<Fingerprint>,
    span: Option<(Instant, Instant)>,
    depth: usize,
}

/// `CrashTracker` records crashes of servers and the causes that they speak for.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<RecordedCrash>,
    /// The causes that `crashes` hold, so that most requests need no look at each of them.
    suspected: HashSet<Cause>,
    held: HashMap<Cause, HeldCause>,
    answered: HashMap<Cause, Instant>,
    answered_before: HashMap<Cause, Instant>,
    cleared: HashMap<Cause, Instant>,
    changes: Vec<Change>,
}

/// `Change` is a change of what is held back, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The cause is held back, or more crashes are known by it.
    Held {
        /// The cause.
        cause: Cause,
        /// The number of servers that have crashed by it.
        crashes: usize,
    },
    /// The cause is no longer held back.
    Cleared(Cause),
}

/// The maximum number of changes that are kept for the log.
const MAX_CHANGES: usize = 64;

impl CrashTracker {
    /// Records a crash that this host has seen at `at`, or another one, which may tell of it
    /// in several pieces with some of the parts each. Returns whether anything of it is new.
    pub fn record_crash(&mut self, crash: Crash, at: Instant, seen_here: bool) -> bool {
        let same = |known: &RecordedCrash| {
            known.crash.server == crash.server && known.crash.causes.request == crash.causes.request
        };
        match self.crashes.iter().position(same) {
            Some(index) => {
                if !self.add_parts(index, crash, at) {
                    return false;
                }
            }
            None => {
                self.count_held(&crash, at);
                let told = seen_here.then(Told::default);
                self.crashes.push(RecordedCrash { crash, at, told });
            }
        }
        self.evict_crashes();
        self.reassess(at);
        true
    }

    /// Adds the parts of `piece` to the crash at `index` that it is a piece of. Returns whether
    /// any of them is new.
    fn add_parts(&mut self, index: usize, mut piece: Crash, at: Instant) -> bool {
        let causes = &self.crashes[index].crash.causes;
        let known: HashSet<PromptPart> = causes.parts.iter().copied().collect();
        piece.causes.parts.retain(|part| !known.contains(part));
        if piece.causes.parts.is_empty() {
            return false;
        }
        // A crash counts for one cause only, whichever piece has it.
        if !causes.causes().any(|cause| self.held.contains_key(&cause)) {
            self.count_held(&piece, at);
        }
        self.crashes[index].crash.causes.parts.append(&mut piece.causes.parts);
        true
    }

    /// Evicts the oldest crashes while there are too many, or too many parts.
    fn evict_crashes(&mut self) {
        let mut parts: usize = self.crashes.iter().map(|c| c.crash.causes.parts.len()).sum();
        while self.crashes.len() > MAX_CRASHES || parts > MAX_CRASH_PARTS {
            let oldest = (0..self.crashes.len()).min_by_key(|index| self.crashes[*index].at);
            let Some(oldest) = oldest else { return };
            parts -= self.crashes.swap_remove(oldest).crash.causes.parts.len();
        }
    }

    /// Counts a crash for the cause that is held back already and explains it best. Earlier
    /// crashes may no longer be stored. A request that was in flight when it was held back
    /// counts no further crash.
    fn count_held(&mut self, crash: &Crash, at: Instant) {
        let held = crash.causes.causes().filter_map(|cause| Some((cause, *self.held.get(&cause)?)));
        let Some((cause, _)) = held.max_by_key(|(cause, held)| (held.crashes, *cause)) else {
            return;
        };
        let is_counted = self
            .crashes
            .iter()
            .any(|c| c.crash.server == crash.server && c.crash.causes.has(cause));
        let Some(held) = self.held.get(&cause).copied().filter(|_| !is_counted) else { return };
        let since = at.saturating_duration_since(held.last_crash);
        let was_in_flight = matches!(cause, Cause::Request(_)) && since < MIN_FIRM_SPAN;
        let crashes = held.crashes.saturating_add(usize::from(!was_in_flight));
        self.hold(cause, crashes, at, at);
    }

    /// Records that a server began to answer a request at `at`: none of its causes crashes
    /// servers. Returns the causes that are cleared by it.
    pub fn record_answer(&mut self, causes: &RequestCauses, at: Instant) -> Vec<Cause> {
        let cleared: Vec<Cause> =
            causes.causes().filter(|cause| self.record_answered(*cause, at)).collect();
        if !cleared.is_empty() {
            self.reassess(at);
        }
        cleared
    }

    /// Records that a server began an answer under `cause`. Returns whether crashes spoke for
    /// the cause.
    pub fn clear(&mut self, cause: Cause, at: Instant) -> bool {
        let is_cleared = self.record_answered(cause, at);
        if is_cleared {
            self.reassess(at);
        }
        is_cleared
    }

    fn record_answered(&mut self, cause: Cause, at: Instant) -> bool {
        let answered_before = self.answered_at(cause);
        if answered_before.is_some_and(|known| known >= at) {
            return false;
        }
        if self.answered.len() >= MAX_ANSWERED {
            let newer = std::mem::take(&mut self.answered);
            let older = std::mem::replace(&mut self.answered_before, newer);
            // Without them, crashes would speak again for causes that were answered since.
            for (cause, at) in older.into_iter().filter(|(c, _)| self.suspected.contains(c)) {
                self.answered_before.entry(cause).or_insert(at);
            }
        }
        self.answered.insert(cause, at);
        let was_held = self.held.get(&cause).is_some_and(|held| held.last_crash < at);
        let spoke = |c: &RecordedCrash| {
            c.at < at
                && answered_before.is_none_or(|answered| answered < c.at)
                && c.crash.causes.has(cause)
        };
        let was_suspect = self.suspected.contains(&cause) && self.crashes.iter().any(spoke);
        if was_held {
            self.release(cause);
        }
        if was_held || was_suspect {
            self.cleared.insert(cause, at);
        }
        was_held || was_suspect
    }

    /// Takes over a conviction by another host that is `age` old.
    pub fn record_conviction(&mut self, conviction: Conviction, age: Duration, now: Instant) {
        let at = now.checked_sub(age).unwrap_or(now);
        let cause = conviction.cause;
        let is_cleared = |at: Instant| self.answered_at(cause).is_some_and(|begun| begun >= at);
        if is_cleared(at) || self.cleared.get(&cause).is_some_and(|cleared| *cleared >= at) {
            return;
        }
        let crashes = usize::try_from(conviction.crashes).unwrap_or(usize::MAX);
        self.hold(cause, crashes, at, now);
        self.evict_convictions();
    }

    /// Holds `cause` back, by which `crashes` servers are known to have crashed.
    fn hold(&mut self, cause: Cause, crashes: usize, last_crash: Instant, now: Instant) {
        let held = self.held.entry(cause).or_insert(HeldCause {
            crashes: 0,
            last_crash,
            last_used: now,
            last_trial: None,
        });
        held.last_crash = held.last_crash.max(last_crash);
        if crashes > held.crashes {
            held.crashes = crashes;
            self.note(Change::Held { cause, crashes });
        }
    }

    fn release(&mut self, cause: Cause) {
        if self.held.remove(&cause).is_some() {
            self.note(Change::Cleared(cause));
        }
    }

    fn note(&mut self, change: Change) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns up to `max` requests under which servers have crashed lately, as this host has
    /// seen, with the servers.
    pub fn recent_requests(&self, now: Instant, max: usize) -> Vec<(Fingerprint, u64)> {
        let is_recent = |c: &&RecordedCrash| {
            c.told.is_some() && now.saturating_duration_since(c.at) < NOTICE_PERIOD
        };
        let recent = self.crashes.iter().filter(is_recent).take(max);
        recent.map(|c| (c.crash.causes.request, c.crash.server)).collect()
    }

    /// Returns whether the request may be sent, and notes that it is asked for.
    pub fn standing(&mut self, causes: &RequestCauses, now: Instant) -> Standing {
        let mut standing = Standing::Clear;
        for cause in causes.causes() {
            let Some(held) = self.held.get_mut(&cause) else { continue };
            if now.saturating_duration_since(held.last_used) >= CONVICTION_TTL {
                self.held.remove(&cause);
                continue;
            }
            held.last_used = now;
            if held.is_firm(cause) {
                return Standing::Held { cause, firm: true };
            }
            standing = Standing::Held { cause, firm: false };
        }
        if standing == Standing::Clear && self.is_suspect(causes, now) {
            return Standing::Suspect;
        }
        standing
    }

    /// Returns whether a request may be sent now to find out whether `cause` crashes servers,
    /// and notes that it is.
    pub fn try_trial(&mut self, cause: Cause, now: Instant) -> bool {
        let Some(held) = self.held.get_mut(&cause) else { return true };
        let Some(interval) = held.trial_interval(cause) else { return false };
        let last = held.last_trial.map_or(held.last_crash, |trial| trial.max(held.last_crash));
        let is_due = now.saturating_duration_since(last) >= interval;
        if is_due {
            held.last_trial = Some(now);
        }
        is_due
    }

    /// Returns crashes that this host has seen lately and that the hosts in `scope` are told
    /// next, those first that they have been told of least, with their ages. They have up to
    /// `max_parts` parts, where each crash counts as [`CRASH_OVERHEAD_PARTS`] more; the last
    /// one may be a piece that the next call goes on with.
    pub fn take_crashes(
        &mut self,
        now: Instant,
        scope: Scope,
        max_parts: usize,
    ) -> Vec<(Crash, Duration)> {
        let due = self.crashes.iter_mut().filter_map(|c| Some((c.due(scope, now)?, c)));
        let mut due: Vec<(Telling, &mut RecordedCrash)> = due.collect();
        due.sort_by_key(|(telling, c)| (telling.times, c.at));
        let mut room = max_parts;
        let mut pieces = Vec::new();
        for (mut telling, recorded) in due {
            if room <= CRASH_OVERHEAD_PARTS {
                break;
            }
            let RequestCauses { service, request, ref parts } = recorded.crash.causes;
            let untold = parts.get(telling.parts..).unwrap_or_default();
            let piece = &untold[..untold.len().min(room - CRASH_OVERHEAD_PARTS)];
            room -= CRASH_OVERHEAD_PARTS + piece.len();
            telling.parts += piece.len();
            if telling.parts >= parts.len() {
                telling = Telling { times: telling.times + 1, parts: 0 };
            }
            let causes = RequestCauses { service, request, parts: piece.to_vec() };
            let crash = Crash { server: recorded.crash.server, causes };
            pieces.push((crash, now.saturating_duration_since(recorded.at)));
            if let Some(told) = &mut recorded.told {
                told.set(scope, telling);
            }
        }
        pieces
    }

    /// Returns whether the hosts in `scope` are to be told of crashes.
    pub fn has_crashes_to_tell(&self, now: Instant, scope: Scope) -> bool {
        self.crashes.iter().any(|c| c.due(scope, now).is_some())
    }

    /// Returns whether the hosts in `scope` have not been told all of some crash.
    pub fn is_telling(&self, now: Instant, scope: Scope) -> bool {
        self.crashes.iter().any(|c| c.due(scope, now).is_some_and(|told| told.times == 0))
    }

    /// Returns up to `max` causes that were cleared lately, with the time since then.
    pub fn recently_cleared(&self, now: Instant, max: usize) -> Vec<(Cause, Duration)> {
        let age = |at: Instant| now.saturating_duration_since(at);
        let mut recent: Vec<(Cause, Duration)> =
            self.cleared.iter().map(|(cause, at)| (*cause, age(*at))).collect();
        recent.retain(|(_, age)| *age < NOTICE_PERIOD);
        recent.sort_by_key(|(_, age)| *age);
        recent.truncate(max);
        recent
    }

    /// Returns the conviction of `cause` with the time since the last crash, if it is held back.
    pub fn conviction(&self, cause: Cause, now: Instant) -> Option<(Conviction, Duration)> {
        let held = self.held.get(&cause)?;
        let crashes = u32::try_from(held.crashes).unwrap_or(u32::MAX);
        let age = now.saturating_duration_since(held.last_crash);
        Some((Conviction { cause, crashes }, age))
    }

    /// Returns up to `max` convictions with the time since the last crash, from number `from`
    /// on in a fixed order, so that all are told in turn.
    pub fn convictions(
        &self,
        now: Instant,
        from: usize,
        max: usize,
    ) -> Vec<(Conviction, Duration)> {
        let mut all: Vec<(&Cause, &HeldCause)> = self.held.iter().collect();
        all.sort_by_key(|(cause, _)| **cause);
        if all.len() > max {
            let from = from % all.len();
            all.rotate_left(from);
            all.truncate(max);
        }
        all.into_iter().filter_map(|(cause, _)| self.conviction(*cause, now)).collect()
    }

    /// Returns the numbers of stored crashes, convictions and answered causes.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let answered = self.answered.len() + self.answered_before.len();
        (self.crashes.len(), self.held.len(), answered)
    }

    fn answered_at(&self, cause: Cause) -> Option<Instant> {
        self.answered.get(&cause).or_else(|| self.answered_before.get(&cause)).copied()
    }

    /// Returns whether a crash under another request speaks for a part of this one.
    fn is_suspect(&self, causes: &RequestCauses, now: Instant) -> bool {
        let is_part = |cause: &Cause| matches!(cause, Cause::Part { .. });
        let parts = causes.causes().filter(|c| is_part(c) && self.suspected.contains(c));
        let parts: Vec<Cause> = parts.collect();
        !parts.is_empty()
            && self.crashes.iter().any(|recorded| {
                let speaks =
                    |c: &Cause| recorded.crash.causes.has(*c) && self.speaks_for(recorded, *c);
                recorded.crash.causes.request != causes.request
                    && now.saturating_duration_since(recorded.at) < CRASH_TTL
                    && parts.iter().any(speaks)
            })
    }

    /// Returns whether a crash speaks for `cause`: no server has begun an answer since.
    fn speaks_for(&self, recorded: &RecordedCrash, cause: Cause) -> bool {
        self.answered_at(cause).is_none_or(|at| at < recorded.at)
    }

    /// Finds the fewest causes that explain the crashes: first the one for which most
    /// crashes speak, then the one for most of the others, and so on.
    fn reassess(&mut self, now: Instant) {
        self.crashes.retain(|c| now.saturating_duration_since(c.at) < CRASH_TTL);
        self.cleared.retain(|_, at| now.saturating_duration_since(*at) < CRASH_TTL);
        self.suspected = self.crashes.iter().flat_map(|c| c.crash.causes.causes()).collect();
        let mut unexplained: Vec<usize> = (0..self.crashes.len()).collect();
        let mut found: HashMap<Cause, (usize, Instant)> = HashMap::new();
        while let Some((cause, evidence)) = self.best_cause(&unexplained) {
            let last = evidence.span.map_or(now, |(_, last)| last);
            found.insert(cause, (evidence.crashes(cause), last));
            unexplained.retain(|index| !self.crashes[*index].crash.causes.has(cause));
        }
        let found_causes: Vec<Cause> = found.keys().copied().collect();
        let explained = self.held.iter().filter(|(cause, held)| {
            !found.contains_key(cause) && self.is_explained(**cause, held, &found_causes)
        });
        let explained: Vec<Cause> = explained.map(|(cause, _)| *cause).collect();
        for cause in explained {
            self.release(cause);
            self.cleared.insert(cause, now);
        }
        for (cause, (crashes, last_crash)) in found {
            self.hold(cause, crashes, last_crash, now);
            self.cleared.remove(&cause);
        }
        self.evict_convictions();
    }

    /// Returns whether other causes explain all crashes by which `cause` is held back.
    fn is_explained(&self, cause: Cause, held: &HeldCause, others: &[Cause]) -> bool {
        let speaking = || {
            self.crashes.iter().filter(|c| c.crash.causes.has(cause) && self.speaks_for(c, cause))
        };
        let servers: HashSet<u64> = speaking().map(|c| c.crash.server).collect();
        servers.len() >= held.crashes
            && speaking().all(|c| others.iter().any(|other| c.crash.causes.has(*other)))
    }

    /// Returns the best cause for which the crashes `unexplained` suffice. One under which no
    /// server has ever begun an answer comes first: a part that several crashing ones share
    /// explains more crashes than each of them. Then comes the cause for which most crashes
    /// speak, then the later part, which fewer requests share.
    fn best_cause(&self, unexplained: &[usize]) -> Option<(Cause, Evidence)> {
        let mut crashes: HashMap<Cause, usize> = HashMap::new();
        for recorded in unexplained.iter().map(|index| &self.crashes[*index]) {
            for cause in recorded.crash.causes.causes() {
                *crashes.entry(cause).or_default() += 1;
            }
        }
        // Most parts of a long prompt belong to one request.
        crashes.retain(|cause, crashes| *crashes >= cause.min_crashes());
        let mut tally: HashMap<Cause, Evidence> = HashMap::new();
        for recorded in unexplained.iter().map(|index| &self.crashes[*index]) {
            for (depth, cause) in recorded.crash.causes.causes().enumerate() {
                if !crashes.contains_key(&cause) || !self.speaks_for(recorded, cause) {
                    continue;
                }
                let evidence = tally.entry(cause).or_default();
                evidence.servers.insert(recorded.crash.server);
                evidence.requests.insert(recorded.crash.causes.request);
                let (first, last) = evidence.span.unwrap_or((recorded.at, recorded.at));
                evidence.span = Some((first.min(recorded.at), last.max(recorded.at)));
                evidence.depth = evidence.depth.max(depth);
            }
        }
        let sufficient = tally.into_iter().filter(|(cause, e)| e.suffices(*cause));
        sufficient.max_by_key(|(cause, evidence)| {
            let never_answered = self.answered_at(*cause).is_none();
            (never_answered, evidence.servers.len(), evidence.depth, *cause)
        })
    }

    fn evict_convictions(&mut self) {
        while self.held.len() > MAX_CONVICTIONS {
            let weakest = self.held.iter().min_by_key(|(_, held)| (held.crashes, held.last_used));
            let Some(cause) = weakest.map(|(cause, _)| *cause) else { return };
            self.held.remove(&cause);
        }
    }
}

impl Evidence {
    fn span(&self) -> Duration {
        self.span.map_or(Duration::ZERO, |(first, last)| last.duration_since(first))
    }

    fn suffices(&self, cause: Cause) -> bool {
        let is_request = matches!(cause, Cause::Request(_));
        let several = self.requests.len() >= MIN_REQUESTS && self.span() >= MIN_SPAN;
        self.servers.len() >= cause.min_crashes() && (is_request || several)
    }

    /// Returns the number of crashes that count for `cause`.
    fn crashes(&self, cause: Cause) -> usize {
        let servers = self.servers.len();
        let is_firm = matches!(cause, Cause::Part { .. }) || self.span() >= MIN_FIRM_SPAN;
        if is_firm { servers } else { servers.min(MIN_REQUEST_CRASHES) }
    }
}
