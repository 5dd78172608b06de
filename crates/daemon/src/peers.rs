//! The `peers` module calls other hosts. Calls to this host itself go through a
//! channel, without encoding or a connection.

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

/// The number of replies that a local handler may send before it must wait for the
/// caller to read one.
const LOCAL_REPLY_BUFFER: usize = 64;

/// The maximum number of links that are kept; at this number, links that no call uses
/// are dropped before a new one is added.
const MAX_LINKS: usize = 1_024;

/// `ReplySender` sends the replies of one call to the calling host.
#[derive(Debug, Clone)]
pub struct ReplySender {
    sink: ReplySink,
}

#[derive(Debug, Clone)]
enum ReplySink {
    Local(Sender<PeerReply>),
    Remote(Sender<Bytes>, Option<Arc<Traffic>>),
}

impl ReplySender {
    /// Sends one reply. Returns an error if the calling host has dropped the call.
    pub async fn send(&self, reply: PeerReply) -> Result<()> {
        let sent = match &self.sink {
            ReplySink::Local(tx) => tx.send(reply).await.is_ok(),
            ReplySink::Remote(tx, traffic) => {
                let mut buf = BytesMut::new();
                frames::encode(&reply, &mut buf)?;
                if let Some(traffic) = traffic {
                    traffic.add_sent(buf.len());
                }
                tx.send(buf.freeze()).await.is_ok()
            }
        };
        if sent {
            Ok(())
        } else {
            Err(Error::new(ErrorCode::Cancelled, "the calling host dropped the call"))
        }
    }
}

/// `PeerHandler` serves calls from other hosts and from this one.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Serves one call. The future is dropped when the calling host drops the call.
    async fn handle(&self, req: PeerRequest, tx: ReplySender);
}

/// `Peers` calls other hosts and caches one link per host name.
pub struct Peers {
    local_name: Name,
    local_handler: OnceLock<Arc<dyn PeerHandler>>,
    options: Arc<MeshOptions>,
    links: Mutex<HashMap<Name, Arc<PeerLink>>>,
    traffic: Arc<Traffic>,
}

impl Peers {
    /// Creates the peers of the host named `local_name`.
    pub fn new(local_name: Name) -> Peers {
        let (options, traffic) = Default::default();
        Peers {
            local_name,
            local_handler: OnceLock::new(),
            options,
            links: Mutex::default(),
            traffic,
        }
    }

    /// Returns the counters of control bytes sent and received.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sets the handler of this host's calls to itself. Later calls have no effect.
    pub fn set_local(&self, handler: Arc<dyn PeerHandler>) {
        let _ = self.local_handler.set(handler);
    }

    /// Starts a call to `host`.
    pub async fn call(&self, host: &Host, req: PeerRequest) -> Result<Call> {
        if host.name == self.local_name {
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
            // The connection ended before the call was sent, so it is safe to send it
            // on a new one: the call cannot have run.
            Err(e) if e.execution == Execution::NotRun => link.connection().await?.call(data).await,
            called => called,
        };
        Ok(Call::Remote(Box::new(call?), traffic))
    }

    /// Makes a call about limits, suspects or service levels to `host` and waits up to
    /// `limit` for the reply.
    pub async fn call_control(
        &self,
        host: &Host,
        req: ControlRequest,
        limit: Duration,
    ) -> Result<ControlReply> {
        let result = timeout(limit, self.call_unary(host, PeerRequest::Control(req))).await;
        let late = |_| Error::new(ErrorCode::Timeout, "the host did not answer in time");
        match result.map_err(late)?? {
            PeerReply::Control(reply) => Ok(reply),
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Calls `host` and returns the first reply, for calls that have just one.
    pub async fn call_unary(&self, host: &Host, req: PeerRequest) -> Result<PeerReply> {
        let mut call = self.call(host, req).await?;
        call.next_reply().await
    }

    fn call_local(&self, req: PeerRequest) -> Result<Call> {
        let handler = self.local_handler.get().ok_or_else(|| internal("no local handler"))?.clone();
        let (tx, rx) = bounded(LOCAL_REPLY_BUFFER);
        let tx = ReplySender { sink: ReplySink::Local(tx) };
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
            // An unused link soon closes its connection, so any of them can be dropped.
            links.retain(|_, link| Arc::strong_count(link) > 1);
        }
        let link = PeerLink::new(host.addr, self.options.clone());
        links.insert(host.name.clone(), link.clone());
        link
    }
}

/// `Call` reads the replies of one call. Dropping it cancels the call.
pub enum Call {
    /// A call to this host itself, over a channel.
    Local(LocalCall),
    /// A call to another host, and the counters of its bytes if it is a control call.
    Remote(Box<RemoteCall>, Option<Arc<Traffic>>),
}

/// `LocalCall` is a call to this host itself. Dropping it aborts the handler.
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
    /// Returns the next reply, or `None` when the handler has finished.
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

    /// Returns the next reply. The end of the call and a reply that reports a failure
    /// are errors.
    pub async fn next_reply(&mut self) -> Result<PeerReply> {
        match self.next().await? {
            Some(PeerReply::Failed(e)) => Err(e),
            Some(reply) => Ok(reply),
            None => Err(Error::new(ErrorCode::Unavailable, "the peer ended the call early")
                .execution(Execution::Unknown)),
        }
    }
}

/// Returns the error for a reply of the wrong kind.
pub fn unexpected_reply(reply: &PeerReply) -> Error {
    internal(format!("unexpected reply from a peer: {reply:?}")).execution(Execution::Unknown)
}

/// `FrameAdapter` decodes frames from other hosts and passes the calls to a
/// [`PeerHandler`].
pub struct FrameAdapter {
    /// The handler of the decoded calls.
    pub inner: Arc<dyn PeerHandler>,
    /// The counters for the bytes of control calls.
    pub traffic: Arc<Traffic>,
}

#[async_trait]
impl FrameHandler for FrameAdapter {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        let req = match frames::decode(&body) {
            Ok(req) => req,
            Err(e) => {
                let tx = ReplySender { sink: ReplySink::Remote(tx, None) };
                let _ = tx.send(PeerReply::Failed(e)).await;
                return;
            }
        };
        let traffic = traffic::is_control(&req).then(|| self.traffic.clone());
        if let Some(traffic) = &traffic {
            traffic.add_received(body.len());
        }
        self.inner.handle(req, ReplySender { sink: ReplySink::Remote(tx, traffic) }).await;
    }
}
