//! The `machine` module decides what a host does for membership: event and time
//! in, actions out. See `docs/design/membership.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Backend, Host, Name};
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::peer::membership::{BackendDigest, Heartbeat, HostRecord, Summary};
use aspenloft_protocol::platform::Listing;

use crate::contact::Contact;
use crate::digests::{DIGEST_LIFE, Digests};
use crate::neighbours::{delegates, neighbour};
use crate::options::MembershipOptions;
use crate::records::Records;
use crate::roster::Roster;
use crate::summaries::Summaries;

mod exchange;
mod liveness;
mod summary;

pub use liveness::Member;

/// The longest wait for a table from another host before it is asked for again.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// `Event` is what happens to a host's membership.
#[derive(Debug)]
pub enum Event {
    /// Time has passed; due once each round.
    Tick,
    /// The platform's list was read.
    Listed {
        /// The list.
        listing: Arc<Listing>,
        /// Its fingerprint.
        fingerprint: u32,
    },
    /// The answer to an exchange came.
    Answered(Heartbeat),
    /// A table is in force here.
    TableInForce(u64),
    /// A fetch has ended, well or not.
    FetchEnded,
    /// This host is leaving.
    Leaving,
    /// The platform's key-value service answered.
    PlatformAnswered,
}

/// `Action` is what a host must do.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; where it is an offer, hand the answer back as
    /// [`Event::Answered`].
    Send {
        /// The receiver.
        to: Host,
        /// The message.
        heartbeat: Heartbeat,
    },
    /// Ask a host for its table.
    FetchTable {
        /// The host that has a newer one.
        from: Host,
    },
    /// The live hosts, or what is known of them, have changed.
    MembershipChanged,
    /// Another host has read another list; read it soon.
    ReadListing,
}

/// `Membership` is what one host knows of the others.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: Host,
    incarnation: u64,
    seq: u32,
    summary_seq: u32,
    table_version: u64,
    listing_print: u32,
    records: Records,
    summaries: Summaries,
    roster: Roster,
    backends: BTreeMap<Name, Backend>,
    digests: Digests,
    published: BTreeMap<Name, (BackendState, Instant)>,
    contact: Contact,
    round: u64,
    last_event: Instant,
    next_beat: Instant,
    next_summary: Instant,
    last_summary: Option<(Summary, Instant)>,
    next_remote: Instant,
    fetch_ends: Option<Instant>,
    slack: Duration,
    slack_until: Instant,
    live: Vec<Host>,
}

impl Membership {
    /// Creates the membership of the host `me`, whose later starts must have
    /// higher incarnations.
    pub fn new(me: Host, incarnation: u64, options: MembershipOptions, now: Instant) -> Self {
        let round = crate::homes::weight("round", &me.name) % 1_024;
        let mut membership = Membership {
            options,
            live: vec![me.clone()],
            me,
            incarnation,
            seq: 0,
            summary_seq: 0,
            table_version: 0,
            listing_print: 0,
            records: Records::default(),
            summaries: Summaries::default(),
            roster: Roster::default(),
            backends: BTreeMap::new(),
            digests: Digests::default(),
            published: BTreeMap::new(),
            contact: Contact::new(now),
            round,
            last_event: now,
            next_beat: now,
            next_summary: now,
            last_summary: None,
            next_remote: now,
            fetch_ends: None,
            slack: Duration::ZERO,
            slack_until: now,
        };
        membership.beat(now);
        membership
    }

    /// Takes an event in and returns what must be done.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        self.notice_pause(now);
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Listed { listing, fingerprint } => {
                self.roster.update(listing.hosts.clone(), now);
                let named = listing.backends.iter().map(|b| (b.name.clone(), b.clone()));
                self.backends = named.collect();
                self.listing_print = fingerprint;
                self.refresh_live(now);
                actions.push(Action::MembershipChanged);
            }
            Event::Answered(heartbeat) => self.answered(heartbeat, now, &mut actions),
            Event::TableInForce(version) => {
                if version > self.table_version {
                    self.table_version = version;
                    self.beat(now);
                    self.tell_neighbours(now, &mut actions);
                }
            }
            Event::FetchEnded => self.fetch_ends = None,
            Event::Leaving => {
                self.me.leaving = true;
                self.next_beat = now;
                self.beat(now);
                self.refresh_live(now);
                actions.push(Action::MembershipChanged);
            }
            Event::PlatformAnswered => self.contact.note(now),
        }
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.round += 1;
        if now >= self.next_beat {
            self.beat(now);
        }
        self.records.expire(self.options.dead_after * 2 + self.slack, now);
        self.summaries.expire(self.options.summary_life * 2 + self.slack, now);
        self.digests.expire(now);
        if self.refresh_live(now) {
            actions.push(Action::MembershipChanged);
        }
        self.summarise(now);
        self.begin_exchanges(now, actions);
    }

    /// A process that was paused must not take its stale records for deaths: it
    /// waits as long as a silent host has before it judges again.
    /// Whichever event comes first after the pause must show it.
    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap > self.options.pause_gap {
            self.slack = gap + self.options.dead_after;
            self.slack_until = now + self.options.dead_after;
        } else if now >= self.slack_until {
            self.slack = Duration::ZERO;
        }
    }

    /// Writes a new record of this host.
    fn beat(&mut self, now: Instant) {
        self.next_beat = now + self.options.beat;
        self.seq += 1;
        self.published.retain(|_, (_, at)| now.saturating_duration_since(*at) <= DIGEST_LIFE);
        let digests = self.published.iter();
        let backends = digests.map(|(name, (state, _))| BackendDigest::new(name.clone(), state));
        let record = HostRecord {
            host: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            age: Duration::ZERO,
            table_version: self.table_version,
            listing: self.listing_print,
            backends: backends.collect(),
        };
        self.records.merge(record, now);
    }

    /// Notes the state of a backend server whose home this host is.
    pub fn publish(&mut self, backend: &Name, state: BackendState, now: Instant) {
        self.digests.note(backend, state.clone(), now);
        self.published.insert(backend.clone(), (state, now));
    }

    /// Stops publishing the backend servers for which `keep` is false.
    pub fn retain_published(&mut self, keep: impl Fn(&Name) -> bool) {
        self.published.retain(|name, _| keep(name));
    }

    /// Returns the last state known of a backend server, and its age. For one in
    /// another data centre it is the mean of its kind there.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        self.digests.state_of(backend, now).or_else(|| self.mean_state_of(backend, now))
    }

    fn mean_state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        let backend = self.backends.get(backend)?;
        let place = &backend.data_centre;
        let (group, age) = self.summaries.group(place, &backend.serves, backend.role, now)?;
        if age > self.options.summary_life || group.servers == 0 {
            return None;
        }
        let state = BackendState {
            slots: group.slots / group.servers,
            taken: group.taken.div_ceil(group.servers),
            queued_tokens: aspenloft_core::prelude::Tokens(
                group.queued_tokens / u64::from(group.servers),
            ),
            free_in: Duration::from_millis(group.free_in_ms.into()),
            ..BackendState::default()
        };
        Some((state, age))
    }

    /// Returns the live hosts, this one among them.
    pub fn live(&self) -> &[Host] {
        &self.live
    }

    /// Returns the backend servers as the platform last listed them.
    pub fn backends(&self) -> Vec<Backend> {
        self.backends.values().cloned().collect()
    }

    /// Returns this host.
    pub fn me(&self) -> &Host {
        &self.me
    }

    /// Tells whether this host is one of its data centre's delegates, which watch
    /// the table and read the platform's list often.
    pub fn is_delegate(&self) -> bool {
        self.my_delegates().contains(&self.me.name)
    }

    /// Tells whether this host watches the table at the platform's key-value
    /// service: delegates do, and a host that has no table.
    pub fn watches_table(&self) -> bool {
        self.table_version == 0 || self.is_delegate()
    }

    /// Tells whether this host has heard from nobody for too long though others
    /// are listed.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let others = self.roster.iter().any(|listed| listed.host.name != self.me.name);
        others && self.contact.lost(self.options.isolated_after, now)
    }

    fn my_delegates(&self) -> Vec<Name> {
        let near = self.live.iter().filter(|h| h.data_centre == self.me.data_centre);
        let staying = near.filter(|host| !host.leaving).map(|host| &host.name);
        delegates(staying, self.options.delegates).into_iter().cloned().collect()
    }
}
