//! The `peers` module calls other hosts, and this host itself by a short cut that
//! packs nothing.

use std::collections::HashMap;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Host, Name};
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{FrameHandler, MeshOptions, PeerLink, RemoteCall};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use futures::future::{AbortHandle, abortable};
use parking_lot::Mutex;

use crate::traffic::{self, Traffic};

/// Replies that a local handler may have ready before it must wait.
const LOCAL_BUFFER: usize = 64;

/// The most hosts whose links are remembered; beyond it those not in use go.
const MAX_LINKS: usize = 1_024;

/// `ReplySender` is where a handler puts its replies.
#[derive(Debug, Clone)]
pub struct ReplySender {
    out: Out,
}

#[derive(Debug, Clone)]
enum Out {
    Local(Sender<PeerReply>),
    Remote(Sender<Bytes>, Option<Arc<Traffic>>),
}

impl ReplySender {
    /// Sends one reply. It fails when the calling host no longer listens.
    pub async fn send(&self, reply: PeerReply) -> Result<()> {
        let sent = match &self.out {
            Out::Local(tx) => tx.send(reply).await.is_ok(),
            Out::Remote(tx, traffic) => {
                let mut buf = BytesMut::new();
                frames::encode(&reply, &mut buf)?;
                if let Some(traffic) = traffic {
                    traffic.add_sent(buf.len());
                }
                tx.send(buf.freeze()).await.is_ok()
            }
        };
        if sent { Ok(()) } else { Err(Error::new(ErrorCode::Cancelled, "the peer is gone")) }
    }
}

/// `PeerHandler` serves calls of other hosts and of this one.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Serves one call; the future is dropped when the calling host gives it up.
    async fn handle(&self, req: PeerRequest, tx: ReplySender);
}

/// `Peers` reaches all hosts by name.
pub struct Peers {
    me: Name,
    local: OnceLock<Arc<dyn PeerHandler>>,
    options: Arc<MeshOptions>,
    links: Mutex<HashMap<Name, Arc<PeerLink>>>,
    traffic: Arc<Traffic>,
}

impl Peers {
    /// Creates the peers of the host named `me`.
    pub fn new(me: Name) -> Peers {
        let (options, traffic) = Default::default();
        Peers { me, local: OnceLock::new(), options, links: Mutex::default(), traffic }
    }

    /// Returns the count of control bytes, both ways.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sets who serves this host's calls to itself. Only the first call counts.
    pub fn set_local(&self, handler: Arc<dyn PeerHandler>) {
        let _ = self.local.set(handler);
    }

    /// Starts a call to `host`.
    pub async fn call(&self, host: &Host, req: PeerRequest) -> Result<Call> {
        if host.name == self.me {
            return self.call_local(req);
        }
        let mut buf = BytesMut::new();
        frames::encode(&req, &mut buf)?;
        let data = buf.freeze();
        let traffic = traffic::is_control(&req).then(|| self.traffic.clone());
        if let Some(traffic) = &traffic {
            traffic.add_sent(data.len());
        }
        let link = self.link(host);
        let call = match link.connection().await?.call(data.clone()).await {
            // The connection ended before the call was sent, so that it can be sent
            // again; this is no second try of a call that may have run.
            Err(e) if e.execution == Execution::NotRun => link.connection().await?.call(data).await,
            called => called,
        };
        Ok(Call::Remote(Box::new(call?), traffic))
    }

    /// Asks `host` about limits, suspects or service levels, waiting up to `limit`.
    pub async fn call_control(
        &self,
        host: &Host,
        req: ControlRequest,
        limit: Duration,
    ) -> Result<ControlReply> {
        let asked = timeout(limit, self.call_unary(host, PeerRequest::Control(req))).await;
        let late = |_| Error::new(ErrorCode::Timeout, "the host did not answer");
        match asked.map_err(late)?? {
            PeerReply::Control(reply) => Ok(reply),
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Calls `host` and returns the only reply.
    pub async fn call_unary(&self, host: &Host, req: PeerRequest) -> Result<PeerReply> {
        let mut call = self.call(host, req).await?;
        call.next_reply().await
    }

    fn call_local(&self, req: PeerRequest) -> Result<Call> {
        let handler = self.local.get().ok_or_else(|| internal("no local handler"))?.clone();
        let (tx, rx) = bounded(LOCAL_BUFFER);
        let tx = ReplySender { out: Out::Local(tx) };
        let (work, abort) = abortable(async move { handler.handle(req, tx).await });
        task::spawn(work);
        Ok(Call::Local(LocalCall { rx, abort }))
    }

    fn link(&self, host: &Host) -> Arc<PeerLink> {
        let mut links = self.links.lock();
        if let Some(link) = links.get(&host.name)
            && link.addr() == host.addr
        {
            return link.clone();
        }
        if links.len() >= MAX_LINKS {
            // Links hold no connection for long without calls; any may go.
            links.retain(|_, link| Arc::strong_count(link) > 1);
        }
        let link = PeerLink::new(host.addr, self.options.clone());
        links.insert(host.name.clone(), link.clone());
        link
    }
}

/// `Call` reads the replies of one call. Dropping it gives the call up.
pub enum Call {
    /// A call to this host itself.
    Local(LocalCall),
    /// A call to another host.
    Remote(Box<RemoteCall>, Option<Arc<Traffic>>),
}

/// `LocalCall` is a call to this host itself.
pub struct LocalCall {
    rx: Receiver<PeerReply>,
    abort: AbortHandle,
}

impl Drop for LocalCall {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl Call {
    /// Returns the next reply, or `None` when the far side has finished.
    pub async fn next(&mut self) -> Result<Option<PeerReply>> {
        match self {
            Call::Local(call) => Ok(call.rx.recv().await.ok()),
            Call::Remote(call, traffic) => {
                let Some(body) = call.next().await? else { return Ok(None) };
                if let Some(traffic) = traffic {
                    traffic.add_received(body.len());
                }
                frames::decode(&body).map(Some)
            }
        }
    }

    /// Returns the next reply, which must come and must not be a failure.
    pub async fn next_reply(&mut self) -> Result<PeerReply> {
        match self.next().await? {
            Some(PeerReply::Failed(e)) => Err(e),
            Some(reply) => Ok(reply),
            None => Err(Error::new(ErrorCode::Unavailable, "the peer ended the call early")
                .execution(Execution::Unknown)),
        }
    }
}

/// Makes the error for a reply of the wrong kind.
pub fn unexpected_reply(reply: &PeerReply) -> Error {
    internal(format!("unexpected reply of a peer: {reply:?}")).execution(Execution::Unknown)
}

/// `FrameAdapter` serves frames of other hosts with a [`PeerHandler`].
pub struct FrameAdapter {
    /// Who serves the calls.
    pub inner: Arc<dyn PeerHandler>,
    /// Counts the bytes of control calls.
    pub traffic: Arc<Traffic>,
}

#[async_trait]
impl FrameHandler for FrameAdapter {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        let req = match frames::decode(&body) {
            Ok(req) => req,
            Err(e) => {
                let tx = ReplySender { out: Out::Remote(tx, None) };
                let _ = tx.send(PeerReply::Failed(e)).await;
                return;
            }
        };
        let traffic = traffic::is_control(&req).then(|| self.traffic.clone());
        if let Some(traffic) = &traffic {
            traffic.add_received(body.len());
        }
        self.inner.handle(req, ReplySender { out: Out::Remote(tx, traffic) }).await;
    }
}
