//! A host that exists only in a test: it sends digests and answers calls for its view.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_gateway::peers::ViewReply;
use aspenloft_standin::relay::Relay;
use aspenloft_transport::{frames, mesh};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use parking_lot::Mutex;

use super::{TestHost, digest};

/// A host whose replies are scripted.
pub struct ScriptedPeer {
    pub addr: SocketAddr,
    calls: Arc<AtomicUsize>,
    reply: Arc<Mutex<Option<ViewReply>>>,
}

struct Handler {
    calls: Arc<AtomicUsize>,
    reply: Arc<Mutex<Option<ViewReply>>>,
}

#[async_trait]
impl mesh::FrameHandler for Handler {
    async fn handle(&self, _body: Bytes, tx: Sender<Bytes>) {
        self.calls.fetch_add(1, Ordering::SeqCst);
        loop {
            if let Some(reply) = self.reply.lock().clone() {
                let mut buf = BytesMut::new();
                reply.encode(&mut buf).expect("a reply");
                let _ = tx.try_send(buf.freeze());
                return;
            }
            task::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl ScriptedPeer {
    /// Starts a host that does not reply before [`ScriptedPeer::reply`] is called.
    pub fn start() -> ScriptedPeer {
        let (calls, reply) = (Arc::<AtomicUsize>::default(), Arc::default());
        let handler = Arc::new(Handler { calls: calls.clone(), reply: Arc::clone(&reply) });
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
        let addr = listener.local_addr().expect("address");
        task::spawn(mesh::serve(listener, handler));
        ScriptedPeer { addr, calls, reply }
    }

    /// Returns a relay through which the peer is reached at another address.
    pub fn relay(&self) -> (SocketAddr, Arc<Relay>) {
        let listener = task::block_on(TcpListener::bind("127.0.0.1:0")).expect("bind");
        let addr = listener.local_addr().expect("address");
        let relay = Relay::new(self.addr);
        task::spawn(relay.clone().serve(listener));
        (addr, relay)
    }

    /// Answers all calls with `reply`, those that wait included.
    pub fn reply(&self, reply: ViewReply) {
        *self.reply.lock() = Some(reply);
    }

    /// Returns how many calls have arrived.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Sends `host` a digest every 50 ms that names this peer `name`, at `revision`.
    pub fn send_digests(&self, host: &TestHost, name: &str, revision: u64) {
        send_digests(self.addr, host, name, revision);
    }
}

/// Sends `host` a digest every 50 ms of a host named `name` at `addr`, at `revision`.
pub fn send_digests(addr: SocketAddr, host: &TestHost, name: &str, revision: u64) {
    let (name, target) = (name.to_string(), host.settings.listen.peers);
    std::thread::spawn(move || {
        for seq in 1..200 {
            let mut digest = digest(&name, addr, revision);
            digest.seq = seq;
            super::send_digest(target, &digest);
            std::thread::sleep(Duration::from_millis(50));
        }
    });
}

/// Sends `req` to the host as a call for its view and returns the reply.
pub fn fetch_view(host: &TestHost, req: &impl serde::Serialize) -> ViewReply {
    let mut buf = BytesMut::new();
    frames::encode(req, &mut buf).expect("a request");
    let link = mesh::PeerLink::new(host.settings.listen.peers, Arc::default());
    let body = task::block_on(async {
        let connection = link.connection().await.expect("a connection");
        let mut call = connection.call(buf.freeze()).await.expect("a call");
        call.next().await.expect("a reply").expect("a whole reply")
    });
    ViewReply::decode(&body).expect("a view")
}
