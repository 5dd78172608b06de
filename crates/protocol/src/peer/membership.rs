//! The `membership` module defines the heartbeats between hosts; see
//! `docs/design/membership.md`.
//!
//! Each record has a single writer, which numbers its versions, so that of two copies
//! received over different paths the one with the higher number is newer.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::prelude::{BackendRole, Host, Name, Tokens};
use serde::{Deserialize, Serialize};

use super::home::BackendState;

/// `RecordKey` is a short hash of a writer's name and incarnation.
pub type RecordKey = u32;

/// `Stamp` identifies a record and its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The writer and its incarnation.
    pub key: RecordKey,
    /// The version of the record: how many times its writer has written it.
    pub seq: u32,
}

/// `ExchangeStep` is the position of a [`Heartbeat`] in an anti-entropy exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExchangeStep {
    /// The first message: the versions that the sender has.
    Offer,
    /// The reply: the records that the sender of the offer lacks, and the keys of those
    /// that the replying host lacks.
    Answer,
    /// The last message: the records that the replying host requested.
    Deliver,
}

/// `Heartbeat` is one message of an exchange between two hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its position in the exchange.
    pub step: ExchangeStep,
    /// The name of the sending host.
    pub from: Name,
    /// The version of the table that the sender uses; zero for none.
    pub table_version: u64,
    /// The versions of the host records that the sender has, if the receiver is in its
    /// data centre; empty in replies.
    pub hosts_known: Vec<Stamp>,
    /// The versions of the summaries that the sender has; empty in replies.
    pub summaries_known: Vec<Stamp>,
    /// In replies, the records of which the sender requests a newer version.
    pub wanted: Vec<RecordKey>,
    /// Host records for the receiver to merge.
    pub hosts: Vec<HostRecord>,
    /// Summaries of data centres for the receiver to merge.
    pub summaries: Vec<Summary>,
}

impl Heartbeat {
    /// Creates a heartbeat without records, with only the sender's name and table
    /// version.
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

/// `HostRecord` is the state that a host publishes of itself. It is forwarded within the
/// host's data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host's name, address and data centre, and whether it is leaving.
    pub host: Host,
    /// The incarnation of the host, which is higher after each restart.
    pub incarnation: u64,
    /// The version of the record: how many records this incarnation has written.
    pub seq: u32,
    /// The time since the host wrote the record, as summed up by the hosts that forwarded
    /// it.
    pub age: Duration,
    /// The version of the table that the host uses; zero for none.
    pub table_version: u64,
    /// A hash of the platform's list as the host last read it.
    pub listing: u32,
    /// The backend servers whose home host it is.
    pub backends: Vec<BackendDigest>,
}

/// `BackendDigest` is a [`BackendState`] in a compact encoding.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendDigest {
    /// The name of the backend server.
    pub backend: Name,
    /// The total number of slots.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// Prompt tokens of queued and running prefills.
    pub queued_tokens: u64,
    /// The expected time from the writing of the record until a slot is free, in
    /// milliseconds.
    pub free_in_ms: u32,
    /// The prefill time per token, in microseconds; zero if not known.
    pub prefill_us: u32,
    /// The time of a decode step, in microseconds; zero if not known.
    pub step_us: u32,
    /// Whether the server rejects new work or cannot be reached.
    pub closed: bool,
}

impl BackendDigest {
    /// Encodes the state of `backend`. Values that do not fit saturate.
    pub fn new(backend: Name, state: &BackendState) -> BackendDigest {
        BackendDigest {
            backend,
            slots: state.slots,
            taken: state.taken,
            queued_tokens: state.queued_tokens.0,
            free_in_ms: u32::try_from(state.free_in.as_millis()).unwrap_or(u32::MAX),
            prefill_us: to_micros(state.prefill_per_token),
            step_us: to_micros(state.step),
            closed: state.closed,
        }
    }

    /// Decodes the state.
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

fn to_micros(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros()).unwrap_or(u32::MAX)
}

/// `Summary` is the state of a whole data centre, which one of its hosts publishes for
/// the other data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The name of the data centre.
    pub data_centre: Name,
    /// The host that wrote the summary.
    pub author: Name,
    /// The incarnation of the author.
    pub incarnation: u64,
    /// The version of the summary: how many summaries this incarnation has written.
    pub seq: u32,
    /// The time since it was written, as summed up by the hosts that forwarded it.
    pub age: Duration,
    /// The live hosts of the data centre.
    pub hosts: Vec<SummaryHost>,
    /// The backend servers of the data centre, grouped by model or service and role.
    pub groups: Vec<GroupDigest>,
}

/// `SummaryHost` is one live host in a [`Summary`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryHost {
    /// The host's name.
    pub name: Name,
    /// The address at which it accepts connections of other hosts.
    pub addr: SocketAddr,
    /// Whether it is leaving the deployment.
    pub leaving: bool,
    /// The version of the table that it uses; zero for none.
    pub table_version: u64,
}

/// `GroupDigest` is the total over the backend servers of one data centre that do the
/// same work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The name of the model or the plain service.
    pub serves: Name,
    /// The kind of work.
    pub role: BackendRole,
    /// The number of servers in the group.
    pub servers: u32,
    /// The sum of their slots.
    pub slots: u32,
    /// The sum of their slots in use or reserved.
    pub taken: u32,
    /// The sum of the prompt tokens of their queued and running prefills.
    pub queued_tokens: u64,
    /// The shortest expected time until one of them has a free slot, in milliseconds.
    pub free_in_ms: u32,
}
