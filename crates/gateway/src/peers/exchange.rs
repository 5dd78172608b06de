//! The `exchange` module exchanges digests over UDP and complete views over `h2`.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use aspenloft_core::errors::{Error, Result, internal, invalid, unavailable};
use aspenloft_core::prelude::{Arc, Era, Host, Name};
use aspenloft_policy::crash_tracker::Conviction;
use aspenloft_policy::host_groups::{group_interval, remote_interval};
use aspenloft_policy::stream_versions::{Scope, VersionTag};
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{FrameHandler, PeerLink, RemoteCall};
use async_std::channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::net::UdpSocket;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use futures::stream::FuturesUnordered;

use super::digest::{
    CALLS_VERSION, Digest, DigestSupplement, KeptServer, PeerCall, ViewReply, WithheldServer,
};
use super::{LIVENESS_TIMEOUT, LocalState, Peer, Peers, is_recent};
use crate::configuration::Configuration;
use crate::forwarding::{ForwardHandler, ForwardRequest};
use crate::loads::QueueDigest;
use crate::permits::{PermitReply, PermitRequest, Permits};
use crate::reach::{ReachProbe, Reachability};
use crate::stream_log::StreamLog;

/// The minimum time between two digests, so that requests that start together share
/// one.
const MIN_INTERVAL: Duration = Duration::from_millis(8);

/// The maximum time between two digests to the hosts of this host's group.
const MAX_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum size of a digest, in bytes: that of one unfragmented datagram.
const MAX_DIGEST_BYTES: usize = 1_400;

/// The part of a datagram that is reserved for the supplement of a digest, in bytes.
const MAX_SUPPLEMENT_BYTES: usize = 600;

/// The part of a datagram that is reserved for crashes of servers, in bytes.
const MAX_CRASH_BYTES: usize = 400;

/// The maximum number of unreachable servers in one digest.
const MAX_UNREACHABLE: usize = 64;

/// The timeout for fetching a peer's view, which may hold the whole configuration. Other hosts
/// are asked long before it ends.
const FETCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The timeout of a request for a permit: some round trips between data centres.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(300);

/// The timeout of the question at which version a stream began, for which another host may
/// read the key-value service.
const STREAM_VERSION_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of the question whether a server can be reached: that of the probe and some
/// round trips between data centres.
const REACH_TIMEOUT: Duration = Duration::from_millis(500);

/// The number of hosts that are asked whether they reach a server.
const MAX_REACH_ASKED: usize = 5;

/// The timeout of the question whether a trial may be made.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long hosts that have run longer may take after another one has named a version.
const OLDER_HOST_WAIT: Duration = Duration::from_millis(100);

/// The number of hosts that are asked for the version of a stream.
const MAX_ASKED: usize = 3;

/// The maximum number of such questions at the same time, so that made-up ids cost other
/// hosts little.
const MAX_QUESTIONS: usize = 32;

/// The maximum number of views with a configuration that are sent at the same time, so that
/// none of them takes long over a slow link. Other hosts have the configuration soon after.
const MAX_CONFIGURATIONS_SENT: usize = 4;

/// The maximum number of stream records in one digest.
const MAX_STREAM_RECORDS: usize = 20;

/// The maximum number of disconnects in one digest.
const MAX_DISCONNECTS: usize = 16;

impl Peers {
    /// Fetches the view of `host`.
    pub async fn fetch_view(&self, host: &Host) -> Result<ViewReply> {
        let version = self.state.view.configuration().map(|c| c.version);
        let call = version.map_or(PeerCall::View, PeerCall::ViewSince);
        ViewReply::decode(&self.call(host, &call, FETCH_TIMEOUT).await?)
    }

    /// Asks `home` for a permit to send a request.
    pub async fn request_permit(&self, home: &Host, req: &PermitRequest) -> Result<PermitReply> {
        frames::decode(&self.call(home, &PeerCall::Permit(*req), PERMIT_TIMEOUT).await?)
    }

    /// Asks other hosts whether they reach the server with the key `server`.
    pub async fn ask_reachability(&self, server: u64) -> Reachability {
        let hosts = self.spread_over_data_centres(MAX_REACH_ASKED);
        let call = PeerCall::Reach(server);
        let mut calls: FuturesUnordered<_> =
            hosts.iter().map(|host| self.call(host, &call, REACH_TIMEOUT)).collect();
        let mut known = Reachability::Unknown;
        while let Some(reply) = calls.next().await {
            let reply = reply.and_then(|body| frames::decode::<Reachability>(&body));
            known = known.or(reply.unwrap_or(Reachability::Unknown));
            if known == Reachability::Reached {
                break;
            }
        }
        known
    }

    /// Asks `decider` whether a request may be sent to find out whether servers still crash by
    /// the cause of `conviction`, whose last crash is `age` old.
    pub async fn request_trial(
        &self,
        decider: &Host,
        conviction: Conviction,
        age: Duration,
    ) -> Result<bool> {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let call = PeerCall::Trial(conviction, age_ms);
        frames::decode(&self.call(decider, &call, TRIAL_TIMEOUT).await?)
    }

    /// Asks other hosts at which version the stream of `service` with `key` began. Returns
    /// an error if none answers. Hosts of the previous build are not asked: they answer by what
    /// they know, however old it is.
    pub async fn ask_stream_version(&self, service: &Name, key: u64) -> Result<Option<VersionTag>> {
        let _open = self.questions.clone();
        if Arc::strong_count(&self.questions) > MAX_QUESTIONS + 1 {
            return Err(unavailable("too many streams are being asked for"));
        }
        let call = PeerCall::StreamVersion(service.clone(), key);
        let hosts = self.longest_running(MAX_ASKED);
        let ask = |(age_rank, host)| {
            let call = &call;
            async move { (age_rank, self.call(host, call, STREAM_VERSION_TIMEOUT).await) }
        };
        let mut calls: FuturesUnordered<_> = hosts.iter().enumerate().map(ask).collect();
        let mut unanswered: BTreeSet<usize> = (0..hosts.len()).collect();
        let mut best: Option<(usize, VersionTag)> = None;
        let mut outcome = Err(unavailable("no other host answered"));
        loop {
            let reply = match best {
                None => calls.next().await,
                Some(_) => timeout(OLDER_HOST_WAIT, calls.next()).await.unwrap_or_default(),
            };
            let Some((age_rank, reply)) = reply else { break };
            unanswered.remove(&age_rank);
            match reply.and_then(|body| frames::decode::<Option<VersionTag>>(&body)) {
                Ok(Some(version)) if best.is_none_or(|(rank, _)| age_rank < rank) => {
                    best = Some((age_rank, version));
                }
                Ok(Some(_)) => {}
                Ok(None) => outcome = Ok(None),
                Err(_) => {}
            }
            // A host that has run longer may have a record where others have only the version
            // that is left.
            if best.is_some_and(|(rank, _)| unanswered.first().is_none_or(|older| rank < *older)) {
                break;
            }
        }
        best.map_or(outcome, |(_, version)| Ok(Some(version)))
    }

    /// Has `host` serve a request. An error says whether it may have done so.
    pub async fn forward(&self, host: &Host, req: ForwardRequest) -> Result<RemoteCall> {
        let mut buf = BytesMut::new();
        frames::encode(&PeerCall::Forward(Box::new(req)), &mut buf)?;
        self.link(host).connection().await?.call(buf.freeze()).await
    }

    /// Makes a call that `host` may run more than once, and returns the reply.
    async fn call(&self, host: &Host, call: &PeerCall, limit: Duration) -> Result<Bytes> {
        let mut buf = BytesMut::new();
        frames::encode(call, &mut buf)?;
        let link = self.link(host);
        let replied = timeout(limit, link.ask(buf.freeze())).await;
        replied.map_err(|_| unavailable("the peer did not respond in time"))?
    }

    fn link(&self, host: &Host) -> Arc<PeerLink> {
        let mut links = self.links.lock();
        let link = links.get(&host.name).filter(|link| link.addr() == host.addr).cloned();
        link.unwrap_or_else(|| {
            let link = PeerLink::over(self.connector.clone(), host.addr, self.options.clone());
            links.insert(host.name.clone(), link.clone());
            link
        })
    }

    /// Sends digests: soon after each change that `changed` signals, and at longer
    /// intervals the more hosts there are. Does not return.
    pub async fn send_digests(self: Arc<Self>, socket: Arc<UdpSocket>, changed: Receiver<()>) {
        let mut remote_due = self.clock.now();
        loop {
            // A digest is sent after a change and after the timeout alike.
            let _ = timeout(MAX_INTERVAL, changed.recv()).await;
            self.check_silent_hosts();
            let (in_group, remote) = self.addresses();
            let now = self.clock.now();
            let mut recipients = in_group;
            let pause = group_interval(MIN_INTERVAL, recipients.len());
            let mut scope = Scope::Group;
            if now >= remote_due {
                remote_due = now + remote_interval(remote.len());
                recipients.extend(remote);
                scope = Scope::All;
            }
            if let Ok(datagram) = self.encode_digest(scope) {
                for addr in recipients {
                    if let Err(e) = socket.send_to(&datagram, addr).await {
                        log::debug!(event = "digest_unsent", error = e.to_string().as_str(); "");
                    }
                }
            }
            // What did not fit follows at once.
            if self.state.crashes.is_telling(Scope::Group) {
                self.state.loads.notify();
            }
            task::sleep(pause).await;
        }
    }

    /// Returns the addresses of the other hosts: those in this host's group, and the
    /// rest. The seeds count as hosts of the group until the first digest arrives.
    fn addresses(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let peers = self.peers.lock();
        let group = self.group_among(&peers);
        let (in_group, remote): (Vec<&Peer>, Vec<&Peer>) =
            peers.values().partition(|p| group.has_host(&p.host.name, &p.host.data_centre));
        let addresses = |peers: Vec<&Peer>| peers.iter().map(|p| p.host.addr).collect();
        let mut in_group: Vec<SocketAddr> = addresses(in_group);
        if peers.values().all(|p| p.last_digest.is_none()) {
            in_group.extend(self.seeds.iter().filter(|seed| **seed != self.local.addr));
        }
        (in_group, addresses(remote))
    }

    /// Encodes a digest. What does not fit into a datagram is left out: the load first, as the
    /// next digest comes soon, then the averages and the servers that cannot be reached.
    fn encode_digest(&self, scope: Scope) -> Result<Bytes> {
        let (unreachable_count, unreachable) = self.unreachable(MAX_UNREACHABLE);
        let position = self.state.view.changed_at();
        let mut supplement = self.encode_supplement(scope, unreachable_count, position.era)?;
        let notices = self.state.crashes.notices(scope, MAX_CRASH_BYTES);
        // Hosts of previous builds do not read this frame.
        frames::encode(&notices, &mut supplement)?;
        // Hosts of previous builds do not read this frame.
        frames::encode(&self.state.loads.queues(), &mut supplement)?;
        // Hosts of previous builds do not read this frame.
        frames::encode(&*self.log_duty.lock(), &mut supplement)?;
        let mut digest = Digest {
            host: self.local.clone(),
            seq: self.seq.fetch_add(1, Ordering::SeqCst) + 1,
            born_ms: self.born_ms,
            revision: position.revision,
            follows: self.follows.load(Ordering::SeqCst),
            loads: self.state.loads.digest(),
            demand: self.state.demand.digest(),
            unreachable,
            breaks: self.state.crashes.recent_requests(MAX_DISCONNECTS),
        };
        let mut truncated = unreachable_count > digest.unreachable.len();
        loop {
            let mut buf = BytesMut::new();
            frames::encode(&digest, &mut buf)?;
            if buf.len() + supplement.len() <= MAX_DIGEST_BYTES {
                buf.extend_from_slice(&supplement);
                self.log_truncated(truncated, unreachable_count);
                return Ok(buf.freeze());
            }
            truncated = true;
            if !digest.halve() {
                return Err(internal(format!(
                    "a digest without its lists has {} bytes",
                    buf.len()
                )));
            }
        }
    }

    /// Logs when digests begin or cease to leave something out.
    fn log_truncated(&self, truncated: bool, unreachable: usize) {
        if self.truncated.swap(truncated, Ordering::SeqCst) != truncated {
            log::info!(event = "digest_truncated", truncated, unreachable; "");
        }
    }

    /// Encodes the supplement of a digest, without the oldest limits if it is too large.
    fn encode_supplement(&self, scope: Scope, unreachable: usize, era: Era) -> Result<BytesMut> {
        let LocalState { view, limits, streams, shutdown, path, .. } = &self.state;
        streams.observe();
        let roster = view.roster();
        let mut supplement = DigestSupplement {
            leaving: shutdown.is_leaving(),
            limits: limits.notices(|key| roster.by_key(key).is_some()),
            streams: streams.take_unsent(scope, MAX_STREAM_RECORDS),
            unreachable,
            era: Some(era),
            configuration: view.configuration().map_or(0, |c| c.version),
            calls: CALLS_VERSION,
            is_cut: path.is_cut(),
        };
        loop {
            let mut buf = BytesMut::new();
            frames::encode(&supplement, &mut buf)?;
            if buf.len() <= MAX_SUPPLEMENT_BYTES {
                return Ok(buf);
            }
            let half = supplement.limits.len() / 2;
            supplement.limits.truncate(half);
        }
    }

    /// Receives digests; does not return.
    pub async fn receive_digests(self: Arc<Self>, socket: Arc<UdpSocket>) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            match socket.recv_from(&mut buf).await {
                Ok((length, _)) => {
                    if let Err(e) = self.apply_datagram(&buf[..length]) {
                        log_unread(&e);
                    }
                }
                Err(e) => {
                    log::warn!(event = "digest_unreceived", error = e.to_string().as_str(); "");
                    task::sleep(MIN_INTERVAL).await;
                }
            }
        }
    }

    fn apply_datagram(&self, datagram: &[u8]) -> Result<()> {
        let mut buf = BytesMut::from(datagram);
        let body =
            frames::split_frame(&mut buf)?.ok_or_else(|| invalid("the datagram is truncated"))?;
        let digest: Digest = frames::decode(&body)?;
        // What follows the digest is left out alone if it cannot be decoded.
        let supplement = frames::split_frame(&mut buf)?;
        let supplement = supplement
            .and_then(|body| DigestSupplement::decode(&body).inspect_err(log_unread).ok());
        let notices = frames::split_frame(&mut buf)?;
        let notices = notices.and_then(|body| frames::decode(&body).inspect_err(log_unread).ok());
        let queues = frames::split_frame(&mut buf)?;
        let queues: Option<Vec<QueueDigest>> =
            queues.and_then(|body| frames::decode(&body).inspect_err(log_unread).ok());
        let log_duty = frames::split_frame(&mut buf)?;
        let log_duty = log_duty.and_then(|body| frames::decode(&body).inspect_err(log_unread).ok());
        let (name, breaks) = (digest.host.name.clone(), digest.breaks.clone());
        let era = supplement.as_ref().and_then(|supplement| supplement.era);
        if !self.apply_digest(digest, era) {
            return Ok(());
        }
        if let Some(queues) = queues {
            self.state.loads.set_peer_queues(&name, queues);
        }
        if let Some(supplement) = supplement {
            self.apply_supplement(&name, &supplement);
        }
        if let Some(log_duty) = log_duty {
            self.apply_log_duty(&name, log_duty);
        }
        match notices {
            Some(notices) => self.state.crashes.apply(notices),
            None => {
                for (request, server) in breaks {
                    self.state.crashes.apply_disconnect(request, server);
                }
            }
        }
        Ok(())
    }

    /// Returns the hosts that are listed or live, including this one.
    fn listed_hosts(&self) -> Vec<Host> {
        let now = self.clock.now();
        let peers = self.peers.lock();
        let others = peers.values().filter(|p| p.listed || is_recent(p, now, LIVENESS_TIMEOUT));
        others.map(|p| &p.host).chain([&self.local]).cloned().collect()
    }

    /// Encodes the view for a host that has the configuration `version`. A newer one is left
    /// out while several are being sent, unless the host has none at all.
    fn encode_view(&self, version: Option<u64>) -> Result<Bytes> {
        let slot = self.configuration_slots.clone();
        let is_busy = Arc::strong_count(&slot) > MAX_CONFIGURATIONS_SENT + 1;
        let mut reply = self.view_reply(version);
        if is_busy && version.is_some() && reply.configuration.take().is_some() {
            log::info!(event = "configuration_withheld", version = version.unwrap_or_default(); "");
        }
        let has_configuration = reply.configuration.is_some();
        let mut buf = BytesMut::new();
        reply.encode(&mut buf)?;
        let data = buf.freeze();
        Ok(match has_configuration {
            true => Bytes::from_owner(SlottedReply { data, _slot: slot }),
            false => data,
        })
    }

    /// Returns the view, with the configuration if it is newer than `version`.
    fn view_reply(&self, version: Option<u64>) -> ViewReply {
        let is_newer = |c: &Arc<Configuration>| version.is_none_or(|v| c.version > v);
        let configuration = self.state.view.configuration().filter(is_newer);
        let (position, roster) = self.state.view.positioned_roster();
        let now = self.clock.now();
        let kept = roster.all().filter_map(|server| {
            let remaining = server.kept_until?.saturating_duration_since(now);
            Some(KeptServer { entry: server.entry.clone(), remaining })
        });
        let withheld = roster.all().filter_map(|server| {
            let remaining = server.withheld_until?.saturating_duration_since(now);
            Some(WithheldServer { instance: server.entry.instance.clone(), remaining })
        });
        let withheld = withheld.filter(|withheld| !withheld.remaining.is_zero());
        let listed = roster.all().filter(|server| server.kept_until.is_none());
        ViewReply {
            revision: position.revision,
            era: Some(position.era),
            configuration: configuration.map(|c| Configuration::clone(&c)),
            hosts: self.listed_hosts(),
            servers: listed.map(|server| server.entry.clone()).collect(),
            kept: kept.collect(),
            withheld: withheld.collect(),
        }
    }
}

/// An encoded view that takes a slot until it has been written to the connection.
struct SlottedReply {
    data: Bytes,
    _slot: Arc<()>,
}

impl AsRef<[u8]> for SlottedReply {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

fn log_unread(e: &Error) {
    log::warn!(event = "digest_unreadable", error = e.to_string().as_str(); "");
}

/// `PeerServer` answers the calls of other hosts.
pub struct PeerServer {
    /// The state that other hosts ask for.
    pub peers: Arc<Peers>,
    /// The permits of the servers whose home this host is.
    pub permits: Arc<Permits>,
    /// Finds out which servers this host reaches.
    pub reach: Arc<ReachProbe>,
    /// The versions of streams that have been written down.
    pub log: Arc<StreamLog>,
    /// Serves the requests that other hosts forward.
    pub forwarded: Arc<dyn ForwardHandler>,
}

impl PeerServer {
    async fn reply(&self, call: PeerCall) -> Result<Bytes> {
        let mut buf = BytesMut::new();
        match call {
            PeerCall::Forward(_) => {
                return Err(internal("a forwarded request has more than one reply"));
            }
            PeerCall::View => return self.peers.encode_view(None),
            PeerCall::ViewSince(v) => return self.peers.encode_view(Some(v)),
            PeerCall::StreamVersion(service, key) => {
                let version = match self.peers.state.streams.recorded(key) {
                    Some(version) => Some(version),
                    None => self.log.find(&service, key).await?,
                };
                frames::encode(&version, &mut buf)?;
            }
            PeerCall::Permit(req) => frames::encode(&self.permits.serve(&req), &mut buf)?,
            PeerCall::Reach(server) => {
                frames::encode(&self.reach.check(server).await, &mut buf)?;
            }
            PeerCall::Trial(conviction, age_ms) => {
                let age = Duration::from_millis(age_ms);
                let may_try = self.peers.state.crashes.grant_trial(conviction, age);
                frames::encode(&may_try, &mut buf)?;
            }
        }
        Ok(buf.freeze())
    }
}

#[async_trait]
impl FrameHandler for PeerServer {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        // Hosts of a previous build may send an empty call for the whole view.
        let call = match frames::decode(&body).unwrap_or(PeerCall::View) {
            PeerCall::Forward(req) => return self.forwarded.serve_forwarded(*req, tx).await,
            call => call,
        };
        match self.reply(call).await {
            // A closed channel means that the peer has cancelled the call.
            Ok(reply) => {
                let _ = tx.send(reply).await;
            }
            Err(e) => log::warn!(event = "call_unanswered", error = e.to_string().as_str(); ""),
        }
    }
}
