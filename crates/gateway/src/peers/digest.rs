//! The `digest` module defines the messages between hosts.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::{Error, Result};
use aspenloft_core::prelude::{Era, Host, Name, Position};
use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::crash_tracker::Conviction;
use aspenloft_policy::stream_versions::StreamRecord;
use aspenloft_transport::frames;
use bytes::BytesMut;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::configuration::Configuration;
use crate::demand::DemandDigest;
use crate::forwarding::ForwardRequest;
use crate::loads::LoadDigest;
use crate::permits::PermitRequest;
use crate::roster::{ServerEntry, ServerRole};
use crate::server_limits::LimitNotice;

/// `Digest` is the state that a host sends to the others in one datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender, with the address at which it is reached.
    pub host: Host,
    /// A sequence number that increases with each digest, so that a delayed datagram
    /// does not replace a newer one.
    pub seq: u64,
    /// When the sender's process started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The revision of the key-value service up to which the sender has changes. The era to
    /// which it belongs is in the supplement.
    pub revision: u64,
    /// Whether the sender watches the key-value service itself and is connected to it.
    pub follows: bool,
    /// The sender's load on the engines.
    pub loads: LoadDigest,
    /// The sender's averages of each service.
    pub demand: Vec<DemandDigest>,
    /// The keys of the servers that the sender cannot reach.
    pub unreachable: Vec<u64>,
    /// The recent disconnects that the sender observed: the request that ran and the
    /// key of the server to which the connection failed.
    pub breaks: Vec<(Fingerprint, u64)>,
}

impl Digest {
    /// Leaves half of the least useful list out that is not empty. Returns false if there is
    /// none.
    pub(super) fn halve(&mut self) -> bool {
        let LoadDigest { runs, prefills, .. } = &mut self.loads;
        if !runs.is_empty() || !prefills.is_empty() {
            runs.truncate(runs.len() / 2);
            prefills.truncate(prefills.len() / 2);
        } else if !self.demand.is_empty() {
            self.demand.truncate(self.demand.len() / 2);
        } else if !self.unreachable.is_empty() {
            self.unreachable.truncate(self.unreachable.len() / 2);
        } else if !self.breaks.is_empty() {
            self.breaks.truncate(self.breaks.len() / 2);
        } else if !self.loads.switching.is_empty() {
            self.loads.switching.truncate(self.loads.switching.len() / 2);
        } else {
            return false;
        }
        true
    }
}

/// `DigestSupplement` follows a digest in the same datagram. It is a frame of its own,
/// which hosts of the previous build do not read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DigestSupplement {
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// The limits of servers that the sender knows.
    pub limits: Vec<LimitNotice>,
    /// The streams that the sender began or took up lately.
    pub streams: Vec<StreamRecord>,
    /// How many servers the sender cannot reach. If the digest names fewer, the next ones
    /// name the others in turn.
    pub unreachable: usize,
    /// The era of the sender's revision; `None` if the sender's build does not know eras.
    pub era: Option<Era>,
    /// The version of the sender's configuration, 0 if it has none. It may be newer than the
    /// one that the key-value service lists at the sender's position.
    pub configuration: u64,
    /// The [`CALLS_VERSION`] of the sender, 0 for a host of the previous build.
    pub calls: u32,
    /// Whether the sender reaches no backend server at all. What it says of servers is then
    /// about its own path.
    pub is_cut: bool,
}

/// The version of the calls that this build answers beside those of previous ones.
pub const CALLS_VERSION: u32 = 2;

/// The version from which hosts answer for the version of a stream only if they are certain.
pub(super) const CERTAIN_VERSIONS: u32 = 2;

/// The supplement of the previous build.
#[derive(Debug, Deserialize)]
struct SupplementWithoutCalls {
    leaving: bool,
    limits: Vec<LimitNotice>,
    streams: Vec<StreamRecord>,
    unreachable: usize,
    era: Option<Era>,
    configuration: u64,
}

/// The supplement of the build before that.
#[derive(Debug, Deserialize)]
struct SupplementWithoutEra {
    leaving: bool,
    limits: Vec<LimitNotice>,
    streams: Vec<StreamRecord>,
    unreachable: usize,
}

impl DigestSupplement {
    /// Decodes a supplement. The last fields are empty in one of a previous build, which in
    /// turn does not read them.
    pub fn decode(body: &[u8]) -> Result<DigestSupplement> {
        frames::decode(body)
            .or_else(|_: Error| frames::decode::<SupplementWithoutCalls>(body).map(Into::into))
            .or_else(|_: Error| frames::decode::<SupplementWithoutEra>(body).map(Into::into))
    }
}

impl From<SupplementWithoutCalls> for DigestSupplement {
    fn from(supplement: SupplementWithoutCalls) -> DigestSupplement {
        let SupplementWithoutCalls { leaving, limits, streams, .. } = supplement;
        let SupplementWithoutCalls { unreachable, era, configuration, .. } = supplement;
        let (calls, is_cut) = Default::default();
        DigestSupplement {
            leaving,
            limits,
            streams,
            unreachable,
            era,
            configuration,
            calls,
            is_cut,
        }
    }
}

impl From<SupplementWithoutEra> for DigestSupplement {
    fn from(supplement: SupplementWithoutEra) -> DigestSupplement {
        let SupplementWithoutEra { leaving, limits, streams, unreachable } = supplement;
        let (era, configuration) = Default::default();
        SupplementWithoutCalls { leaving, limits, streams, unreachable, era, configuration }.into()
    }
}

/// Returns the position of another host that is at `revision` and names `era`, for a host at
/// `own`. A host of the previous build names no era; its position is only known while the
/// service counts no eras.
pub fn peer_position(era: Option<Era>, revision: u64, own: Era) -> Option<Position> {
    let era = era.or((own == Era::default()).then_some(own))?;
    Some(Position::new(era, revision))
}

/// `PeerCall` is a call of one host to another.
///
/// The first two variants have the encoding of the optional version that hosts of the
/// previous build send. Those hosts answer all other calls with their view, so they must
/// not be sent any.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Asks for the whole view.
    View,
    /// Asks for the view, with the configuration only if it is newer than this version.
    ViewSince(u64),
    /// Asks the home of a server for a permit. The reply is a [`PermitReply`].
    ///
    /// [`PermitReply`]: crate::permits::PermitReply
    Permit(PermitRequest),
    /// Asks at which version the stream of a service with this key began. The reply is an
    /// optional [`VersionTag`](aspenloft_policy::stream_versions::VersionTag).
    StreamVersion(Name, u64),
    /// Asks whether the server with this key can be reached from the host. The reply is a
    /// [`Reachability`](crate::reach::Reachability).
    Reach(u64),
    /// Asks the host that decides on trials whether one may be made for the cause of this
    /// conviction, whose last crash has this age in milliseconds. The reply is a `bool`.
    Trial(Conviction, u64),
    /// Has the host serve a request. The replies are [`ForwardReply`]s.
    ///
    /// [`ForwardReply`]: crate::forwarding::ForwardReply
    Forward(Box<ForwardRequest>),
}

/// `ViewReply` is a host's complete view, for a host that does not watch the key-value
/// service.
#[derive(Debug, Clone, PartialEq)]
pub struct ViewReply {
    /// The revision of the key-value service to which the view corresponds.
    pub revision: u64,
    /// The era of the revision; `None` if the sender's build does not know eras.
    pub era: Option<Era>,
    /// The configuration in force, unless the receiver has it already. It is by far the
    /// largest part of a view, and changes of servers are much more frequent.
    pub configuration: Option<Configuration>,
    /// The hosts that the platform lists, and those that are live all the same.
    pub hosts: Vec<Host>,
    /// The entries of the backend servers that are listed at `revision`.
    pub servers: Vec<ServerEntry>,
    /// The servers that the sender keeps although their entries are missing. They are
    /// apart from `servers` because they are not part of the state at `revision`.
    pub kept: Vec<KeptServer>,
    /// The servers of `servers` that get no work for a while, because they were gone before
    /// the service came back from an older copy.
    pub withheld: Vec<WithheldServer>,
}

/// `WithheldServer` is a listed server that gets no work for a while.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithheldServer {
    /// The name of the server's process.
    pub instance: Name,
    /// How much longer it gets no work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
}

/// `KeptServer` is a server that a host keeps for a while although its entry is missing.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptServer {
    /// The entry that is missing.
    pub entry: ServerEntry,
    /// How much longer the server is kept. It is a duration because hosts' clocks differ.
    pub remaining: Duration,
}

/// The encoding of a reply. Hosts of previous builds, which run beside this one during a
/// release, send it without the last fields and do not read them.
#[derive(Debug, Serialize, Deserialize)]
struct WireReply {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<WireEntry>,
    kept: Vec<WireKept>,
    /// The versions of the servers, those in `kept` after the others.
    versions: Vec<Name>,
    era: Option<Era>,
    withheld: Vec<WithheldServer>,
}

/// The reply of the previous build, without an era and withheld servers.
#[derive(Debug, Deserialize)]
struct WireReplyWithVersions {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<WireEntry>,
    kept: Vec<WireKept>,
    versions: Vec<Name>,
}

/// The reply of the build before that, without versions.
#[derive(Debug, Deserialize)]
struct WireReplyWithKept {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<WireEntry>,
    kept: Vec<WireKept>,
}

/// The reply of hosts that list the servers that they keep among the others.
#[derive(Debug, Deserialize)]
struct WireReplyWithoutKept {
    revision: u64,
    configuration: Option<Configuration>,
    hosts: Vec<Host>,
    servers: Vec<WireEntry>,
}

impl From<WireReplyWithVersions> for WireReply {
    fn from(reply: WireReplyWithVersions) -> WireReply {
        let WireReplyWithVersions { revision, configuration, hosts, servers, kept, versions } =
            reply;
        let (era, withheld) = Default::default();
        WireReply { revision, configuration, hosts, servers, kept, versions, era, withheld }
    }
}

impl From<WireReplyWithKept> for WireReply {
    fn from(reply: WireReplyWithKept) -> WireReply {
        let WireReplyWithKept { revision, configuration, hosts, servers, kept } = reply;
        let versions = Vec::new();
        WireReplyWithVersions { revision, configuration, hosts, servers, kept, versions }.into()
    }
}

impl From<WireReplyWithoutKept> for WireReply {
    fn from(reply: WireReplyWithoutKept) -> WireReply {
        let WireReplyWithoutKept { revision, configuration, hosts, servers } = reply;
        let kept = Vec::new();
        WireReplyWithKept { revision, configuration, hosts, servers, kept }.into()
    }
}

/// The encoding of an entry without its version.
#[derive(Debug, Serialize, Deserialize)]
struct WireEntry {
    instance: Name,
    born_ms: u64,
    service: Name,
    addr: SocketAddr,
    data_centre: Name,
    slots: usize,
    role: ServerRole,
    leaving: bool,
}

#[serde_as]
#[derive(Debug, Serialize, Deserialize)]
struct WireKept {
    entry: WireEntry,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    remaining: Duration,
}

impl WireEntry {
    /// Splits the version off `entry`.
    fn split(entry: ServerEntry) -> (WireEntry, Name) {
        let ServerEntry { instance, born_ms, service, addr, data_centre, version, .. } = entry;
        let ServerEntry { slots, role, leaving, .. } = entry;
        let wire =
            WireEntry { instance, born_ms, service, addr, data_centre, slots, role, leaving };
        (wire, version)
    }

    fn join(self, version: Name) -> ServerEntry {
        let WireEntry { instance, born_ms, service, addr, data_centre, slots, role, leaving } =
            self;
        ServerEntry { instance, born_ms, service, addr, data_centre, version, slots, role, leaving }
    }
}

impl ViewReply {
    /// Returns the position to which the view corresponds, for a host whose own era is `own`;
    /// `None` if it is not known.
    pub fn position(&self, own: Era) -> Option<Position> {
        peer_position(self.era, self.revision, own)
    }

    /// Appends the reply to `buf` as one frame.
    pub fn encode(self, buf: &mut BytesMut) -> Result<()> {
        let ViewReply { revision, era, configuration, hosts, servers, kept, withheld } = self;
        let (servers, mut versions): (Vec<_>, Vec<_>) =
            servers.into_iter().map(WireEntry::split).unzip();
        let kept = kept.into_iter().map(|KeptServer { entry, remaining }| {
            let (entry, version) = WireEntry::split(entry);
            versions.push(version);
            WireKept { entry, remaining }
        });
        let kept = kept.collect();
        let reply =
            WireReply { revision, configuration, hosts, servers, kept, versions, era, withheld };
        frames::encode(&reply, buf)
    }

    /// Decodes a reply. In one of a previous build there is no era, and the versions may be
    /// empty.
    pub fn decode(body: &[u8]) -> Result<ViewReply> {
        let wire: WireReply = frames::decode(body)
            .or_else(|_| frames::decode::<WireReplyWithVersions>(body).map(WireReply::from))
            .or_else(|_| frames::decode::<WireReplyWithKept>(body).map(WireReply::from))
            .or_else(|_| frames::decode::<WireReplyWithoutKept>(body).map(WireReply::from))?;
        let WireReply { revision, configuration, hosts, servers, kept, .. } = wire;
        let WireReply { versions, era, withheld, .. } = wire;
        let mut versions = versions.into_iter().chain(std::iter::repeat(Name::from("")));
        let mut join = |entry: WireEntry| entry.join(versions.next().unwrap_or_default());
        let servers = servers.into_iter().map(&mut join).collect();
        let kept = kept
            .into_iter()
            .map(|WireKept { entry, remaining }| KeptServer { entry: join(entry), remaining })
            .collect();
        Ok(ViewReply { revision, era, configuration, hosts, servers, kept, withheld })
    }
}
