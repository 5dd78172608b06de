//! The `duty` module decides which of several hosts does work that one host does for all.
//!
//! Each host tells the others what it does. The host that does the work goes on until another
//! one says that it does, so that the work never rests because one host leaves and the next one
//! has not begun. `docs/design/duties.md` lists the work that hosts do for others.

use std::time::{Duration, Instant};

use aspenloft_core::clock::after;
use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `DutyState` is what a host tells the others about the work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyState {
    /// The host could do the work.
    Idle,
    /// The host does the work.
    Active,
    /// The host cannot do the work now, or its build does not know of it.
    #[default]
    Unable,
}

/// `Candidate` is a host as it takes part in the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the host.
    pub name: Name,
    /// When the process started, in milliseconds since the Unix epoch. One that has run longer
    /// knows more of what was told before others started.
    pub born_ms: u64,
    /// Whether the host is shutting down. Such a host does the work only if all others are, too.
    pub leaving: bool,
    /// What the host tells about the work.
    pub state: DutyState,
}

impl Candidate {
    /// Returns whether this host rather than `other` does the work.
    fn precedes(&self, other: &Candidate) -> bool {
        let order = |c: &Candidate| (c.leaving, c.born_ms, c.name.clone());
        order(self) < order(other)
    }

    fn is_active(&self) -> bool {
        self.state == DutyState::Active
    }
}

/// `DutyOptions` holds the delays before a host takes the work over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyOptions {
    /// How long nobody must have done the work: two digests within a data centre.
    pub settle: Duration,
    /// The additional delay for each host that comes first.
    pub step: Duration,
}

impl Default for DutyOptions {
    fn default() -> Self {
        DutyOptions { settle: Duration::from_millis(500), step: Duration::from_millis(250) }
    }
}

/// `DutyElection` is one host's part in the decision.
#[derive(Debug, Default)]
pub struct DutyElection {
    options: DutyOptions,
    /// Since when this host has heard of nobody who does the work.
    vacant_since: Option<Instant>,
    /// Until when this host leaves the work to others, because it failed at it.
    unable_until: Option<Instant>,
}

impl DutyElection {
    /// Returns what the host `own` is to do from now on, beside the live hosts `others`.
    pub fn next(&mut self, own: &Candidate, others: &[Candidate], now: Instant) -> DutyState {
        let mut active = others.iter().filter(|other| other.is_active());
        if own.is_active() {
            let is_relieved = active.any(|other| other.precedes(own));
            return if is_relieved { DutyState::Idle } else { DutyState::Active };
        }
        if active.any(|other| !other.leaving || own.leaving) {
            (self.vacant_since, self.unable_until) = (None, None);
            return DutyState::Idle;
        }
        if self.unable_until.is_some_and(|until| now < until) {
            return DutyState::Unable;
        }
        let vacant_since = *self.vacant_since.get_or_insert(now);
        let preceding =
            others.iter().filter(|other| other.state != DutyState::Unable && other.precedes(own));
        let rank = u32::try_from(preceding.count()).unwrap_or(u32::MAX);
        let delay = self.options.settle.saturating_add(self.options.step.saturating_mul(rank));
        match now.saturating_duration_since(vacant_since) >= delay {
            true => DutyState::Active,
            false => DutyState::Idle,
        }
    }

    /// Records that this host failed at the work, which it then leaves to the `others` other
    /// hosts, if there are any, for long enough that each of them can try.
    pub fn fail(&mut self, others: usize, now: Instant) {
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        self.unable_until = Some(after(now, self.options.step.saturating_mul(others)));
    }
}
