//! The `membership` module defines the heartbeats between hosts; see
//! `docs/design/membership.md`.
//!
//! Each record has one writer and a sequence number of that writer, so that copies
//! which travelled by different ways need only be compared by number.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::{BackendRole, Host, Name, Tokens};
use serde::{Deserialize, Serialize};

use super::home::BackendState;

/// `RecordKey` names one life of one writer in few bytes.
pub type RecordKey = u32;

/// `Stamp` says how new a record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The writer.
    pub key: RecordKey,
    /// The writer's count of its changes.
    pub seq: u32,
}

/// `ExchangeStep` is the place of a [`Heartbeat`] in an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeStep {
    /// The first message: what the sender has.
    Offer,
    /// The answer: what the other lacks, and what the answerer wants.
    Answer,
    /// The last message: what the answerer wanted.
    Deliver,
}

/// `Heartbeat` is one message of an exchange between two hosts, and the answer to
/// one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its place in the exchange.
    pub step: ExchangeStep,
    /// The sender.
    pub from: Name,
    /// The version of the table in force at the sender; zero for none.
    pub table_version: u64,
    /// What the sender knows of hosts, within its data centre; empty in answers.
    pub hosts_known: Vec<Stamp>,
    /// The summaries that the sender has; empty in answers.
    pub summaries_known: Vec<Stamp>,
    /// In answers, the records of which the sender wants a newer copy.
    pub wanted: Vec<RecordKey>,
    /// Records of hosts, for the receiver to take in.
    pub hosts: Vec<HostRecord>,
    /// Summaries of data centres, for the receiver to take in.
    pub summaries: Vec<Summary>,
}

impl Heartbeat {
    /// Creates a heartbeat that carries nothing but the sender's name and version.
    pub fn empty(step: ExchangeStep, from: Name, table_version: u64) -> Heartbeat {
        Heartbeat {
            step,
            from,
            table_version,
            hosts_known: Vec::new(),
            summaries_known: Vec::new(),
            wanted: Vec::new(),
            hosts: Vec::new(),
            summaries: Vec::new(),
        }
    }
}

/// `HostRecord` is a host's word on itself, passed on within its data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host and whether it is leaving.
    pub host: Host,
    /// The life of the host: a later start has a higher number.
    pub incarnation: u64,
    /// The host's count of its beats.
    pub seq: u32,
    /// How long ago the host wrote this, as far as those who passed it on know.
    pub age: Duration,
    /// The version of the table in force there; zero for none.
    pub table_version: u64,
    /// A fingerprint of the platform's list as the host last read it.
    pub listing: u32,
    /// The backend servers whose home the host is.
    pub backends: Vec<BackendDigest>,
}

/// `BackendDigest` is a home's word on a backend server in few bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendDigest {
    /// The backend server.
    pub backend: Name,
    /// Slots in all.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// Tokens of prefill that wait or run.
    pub queued_tokens: u64,
    /// When a slot is likely to be free, in milliseconds from the record's writing.
    pub free_in_ms: u32,
    /// The time for a token of prefill, in microseconds; zero for not known.
    pub prefill_us: u32,
    /// The time of a decode step, in microseconds; zero for not known.
    pub step_us: u32,
    /// Whether the server refuses new work or cannot be reached.
    pub closed: bool,
}

impl BackendDigest {
    /// Packs the state of `backend`.
    pub fn new(backend: Name, state: &BackendState) -> BackendDigest {
        BackendDigest {
            backend,
            slots: state.slots,
            taken: state.taken,
            queued_tokens: state.queued_tokens.0,
            free_in_ms: u32::try_from(state.free_in.as_millis()).unwrap_or(u32::MAX),
            prefill_us: micros(state.prefill_per_token),
            step_us: micros(state.step),
            closed: state.closed,
        }
    }

    /// Unpacks the state.
    pub fn state(&self) -> BackendState {
        BackendState {
            slots: self.slots,
            taken: self.taken,
            queued_tokens: Tokens(self.queued_tokens),
            free_in: Duration::from_millis(self.free_in_ms.into()),
            prefill_per_token: Duration::from_micros(self.prefill_us.into()),
            step: Duration::from_micros(self.step_us.into()),
            closed: self.closed,
        }
    }
}

fn micros(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// `Summary` is one host's word on its whole data centre, for the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: Name,
    /// The host that wrote it.
    pub author: Name,
    /// The life of the author.
    pub incarnation: u64,
    /// The author's count of its summaries.
    pub seq: u32,
    /// How long ago it was written, as far as those who passed it on know.
    pub age: Duration,
    /// The live hosts of the data centre.
    pub hosts: Vec<SummaryHost>,
    /// The backend servers of the data centre, by what they serve.
    pub groups: Vec<GroupDigest>,
}

/// `SummaryHost` is one live host in a [`Summary`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryHost {
    /// The host's name.
    pub name: Name,
    /// Where it listens for other hosts.
    pub addr: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The version of the table in force there; zero for none.
    pub table_version: u64,
}

/// `GroupDigest` sums the backend servers of one data centre that do the same work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The model or the plain service.
    pub serves: Name,
    /// The work.
    pub role: BackendRole,
    /// The number of servers summed.
    pub servers: u32,
    /// The sum of their slots.
    pub slots: u32,
    /// The sum of their slots in use or reserved.
    pub taken: u32,
    /// The sum of their waiting prefill tokens.
    pub queued_tokens: u64,
    /// The soonest that any of them is likely to have a free slot, in
    /// milliseconds.
    pub free_in_ms: u32,
}
