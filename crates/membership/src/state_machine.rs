//! The `state_machine` module is the state machine of membership: it takes an event and
//! the time, and returns the actions to perform. See `docs/design/membership.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Backend, Host, Name};
use aspenloft_protocol::peer::home::BackendState;
use aspenloft_protocol::peer::membership::{BackendDigest, Heartbeat, HostRecord, Summary};
use aspenloft_protocol::platform::Listing;

use crate::contact::LastContact;
use crate::digests::{DIGEST_TTL, Digests};
use crate::neighbours::{delegates, neighbour};
use crate::options::MembershipOptions;
use crate::records::Records;
use crate::roster::Roster;
use crate::summaries::Summaries;

mod exchange;
mod liveness;
mod summary;

pub use liveness::Member;

/// How long to wait for a table from another host before requesting it again.
pub const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// `Event` is an input of the state machine.
#[derive(Debug)]
pub enum Event {
    /// A timer event, due every [`MembershipOptions::round_interval`].
    Tick,
    /// The platform's list was read.
    Listed {
        /// The hosts and backend servers on the list.
        listing: Arc<Listing>,
        /// Its fingerprint; see [`crate::roster::fingerprint`].
        fingerprint: u32,
    },
    /// The answer to an offer arrived.
    Answered(Heartbeat),
    /// The table with this version came into force at this host.
    TableInForce(u64),
    /// A fetch of a table ended, successfully or not.
    FetchEnded,
    /// This host is leaving.
    Leaving,
    /// The platform's key-value service answered.
    PlatformAnswered,
}

/// `Action` is an output of the state machine, for the host to perform.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat; if it is an offer, return the answer as
    /// [`Event::Answered`].
    Send {
        /// The host to send it to.
        to: Host,
        /// The heartbeat to send.
        heartbeat: Heartbeat,
    },
    /// Request the table of a host.
    FetchTable {
        /// A host with a newer table.
        from: Host,
    },
    /// Recompute everything that depends on the live hosts or the platform's list,
    /// since one of them has changed.
    MembershipChanged,
    /// Read the platform's list soon, since a delegate has read a different one.
    ReadListing,
}

/// `Membership` is one host's view of the other hosts: which of them are live, the table
/// versions they have, and the states of backend servers that they published.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: Host,
    incarnation: u64,
    seq: u32,
    summary_seq: u32,
    table_version: u64,
    listing_fingerprint: u32,
    records: Records,
    summaries: Summaries,
    roster: Roster,
    backends: BTreeMap<Name, Backend>,
    digests: Digests,
    published: BTreeMap<Name, (BackendState, Instant)>,
    last_contact: LastContact,
    round: u64,
    last_event: Instant,
    next_record: Instant,
    next_summary: Instant,
    last_summary: Option<(Summary, Instant)>,
    next_remote: Instant,
    fetch_deadline: Option<Instant>,
    pause_grace: Duration,
    pause_grace_until: Instant,
    live: Vec<Host>,
}

impl Membership {
    /// Creates the membership of the host `me`. Each later start of the same host must
    /// have a higher incarnation.
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
            listing_fingerprint: 0,
            records: Records::default(),
            summaries: Summaries::default(),
            roster: Roster::default(),
            backends: BTreeMap::new(),
            digests: Digests::default(),
            published: BTreeMap::new(),
            last_contact: LastContact::new(now),
            round,
            last_event: now,
            next_record: now,
            next_summary: now,
            last_summary: None,
            next_remote: now,
            fetch_deadline: None,
            pause_grace: Duration::ZERO,
            pause_grace_until: now,
        };
        membership.write_own_record(now);
        membership
    }

    /// Processes an event and returns the actions to perform.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        self.detect_pause(now);
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Listed { listing, fingerprint } => {
                self.roster.update(listing.hosts.clone(), now);
                let named = listing.backends.iter().map(|b| (b.name.clone(), b.clone()));
                self.backends = named.collect();
                self.listing_fingerprint = fingerprint;
                self.refresh_live(now);
                actions.push(Action::MembershipChanged);
            }
            Event::Answered(heartbeat) => self.on_answer(heartbeat, now, &mut actions),
            Event::TableInForce(version) => {
                if version > self.table_version {
                    self.table_version = version;
                    self.write_own_record(now);
                    self.offer_to_neighbours(now, &mut actions);
                }
            }
            Event::FetchEnded => self.fetch_deadline = None,
            Event::Leaving => {
                self.me.leaving = true;
                self.next_record = now;
                self.write_own_record(now);
                self.refresh_live(now);
                actions.push(Action::MembershipChanged);
            }
            Event::PlatformAnswered => self.last_contact.record(now),
        }
        actions
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.round += 1;
        if now >= self.next_record {
            self.write_own_record(now);
        }
        self.records.expire(self.options.dead_after * 2 + self.pause_grace, now);
        self.summaries.expire(self.options.summary_ttl * 2 + self.pause_grace, now);
        self.digests.expire(now);
        if self.refresh_live(now) {
            actions.push(Action::MembershipChanged);
        }
        self.summarise(now);
        self.begin_exchanges(now, actions);
    }

    /// Detects that the process was paused. Its records are stale after a pause, but
    /// their hosts are not dead, so the timeouts are extended until other hosts have
    /// had [`MembershipOptions::dead_after`] to send new records. Every event must be
    /// checked, since any may be the first one after the pause.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap > self.options.pause_gap {
            self.pause_grace = gap + self.options.dead_after;
            self.pause_grace_until = now + self.options.dead_after;
        } else if now >= self.pause_grace_until {
            self.pause_grace = Duration::ZERO;
        }
    }

    /// Writes a new record of this host.
    fn write_own_record(&mut self, now: Instant) {
        self.next_record = now + self.options.record_interval;
        self.seq += 1;
        self.published.retain(|_, (_, at)| now.saturating_duration_since(*at) <= DIGEST_TTL);
        let digests = self.published.iter();
        let backends = digests.map(|(name, (state, _))| BackendDigest::new(name.clone(), state));
        let record = HostRecord {
            host: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            age: Duration::ZERO,
            table_version: self.table_version,
            listing: self.listing_fingerprint,
            backends: backends.collect(),
        };
        self.records.merge(record, now);
    }

    /// Publishes the state of a backend server whose home this host is.
    pub fn publish(&mut self, backend: &Name, state: BackendState, now: Instant) {
        self.digests.record(backend, state.clone(), now);
        self.published.insert(backend.clone(), (state, now));
    }

    /// Stops publishing the backend servers for which `keep` is false.
    pub fn retain_published(&mut self, keep: impl Fn(&Name) -> bool) {
        self.published.retain(|name, _| keep(name));
    }

    /// Returns the last known state of a backend server, and its age. Without a digest of
    /// the server, as for one in another data centre, the state is derived from the
    /// summary of its data centre: the mean over the servers there that have the same role
    /// and serve the same model or service, with the shortest of their times until a slot
    /// is free.
    pub fn state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        self.digests.state_of(backend, now).or_else(|| self.mean_state_of(backend, now))
    }

    fn mean_state_of(&self, backend: &str, now: Instant) -> Option<(BackendState, Duration)> {
        let backend = self.backends.get(backend)?;
        let data_centre = &backend.data_centre;
        let (group, age) = self.summaries.group(data_centre, &backend.serves, backend.role, now)?;
        if age > self.options.summary_ttl || group.servers == 0 {
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

    /// Returns whether this host is one of its data centre's delegates, which watch
    /// the table and read the platform's list often.
    pub fn is_delegate(&self) -> bool {
        self.local_delegates().contains(&self.me.name)
    }

    /// Returns whether this host watches the table at the platform's key-value
    /// service, as delegates and hosts without a table do.
    pub fn watches_table(&self) -> bool {
        self.table_version == 0 || self.is_delegate()
    }

    /// Returns whether other hosts are listed, but no message from any of them or from the
    /// platform has arrived for [`MembershipOptions::isolated_after`].
    pub fn is_isolated(&self, now: Instant) -> bool {
        let others = self.roster.iter().any(|listed| listed.host.name != self.me.name);
        others && self.last_contact.is_lost(self.options.isolated_after, now)
    }

    fn local_delegates(&self) -> Vec<Name> {
        let local = self.live.iter().filter(|h| h.data_centre == self.me.data_centre);
        let eligible = local.filter(|host| !host.leaving).map(|host| &host.name);
        delegates(eligible, self.options.delegates).into_iter().cloned().collect()
    }
}
