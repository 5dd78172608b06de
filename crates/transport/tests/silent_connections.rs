//! Tests of connections between hosts that stop delivering data without a reset. A call
//! must fail within the maximum detection time and state correctly whether it was run, new
//! connections must be used where they work, and the peer must not keep the call running.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::execution::Execution;
use aspenloft_transport::frames;
use aspenloft_transport::mesh::{self, FrameHandler, MeshOptions, PeerLink, RemoteCall};
use async_std::channel::Sender;
use async_std::net::TcpListener;
use async_std::task;
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use common::Relay;
use futures::future::join_all;

/// Added to time limits, because a busy machine may delay a test.
const SLACK: Duration = Duration::from_secs(1);

/// Replies with the text of the call; a call with the text "wait" never ends. Counts the
/// started and the running calls.
#[derive(Default)]
struct Echo {
    running: Arc<AtomicUsize>,
    started: AtomicUsize,
}

struct Running(Arc<AtomicUsize>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl FrameHandler for Echo {
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>) {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.running.fetch_add(1, Ordering::SeqCst);
        let _running = Running(self.running.clone());
        let text: String = frames::decode(&body).expect("a string");
        let _ = tx.send(frame(&text)).await;
        if text == "wait" {
            std::future::pending::<()>().await;
        }
    }
}

fn frame(text: &str) -> Bytes {
    let mut buf = BytesMut::new();
    frames::encode(&text.to_string(), &mut buf).expect("a frame");
    buf.freeze()
}

async fn serve(handler: Arc<Echo>, options: &MeshOptions) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    task::spawn(mesh::serve_with(listener, handler, options.clone()));
    addr
}

struct Setup {
    handler: Arc<Echo>,
    relay: Relay,
    link: Arc<PeerLink>,
    options: Arc<MeshOptions>,
}

async fn start(options: MeshOptions) -> Setup {
    let handler = Arc::new(Echo::default());
    let relay = Relay::start(serve(handler.clone(), &options).await).await;
    let options = Arc::new(options);
    let link = PeerLink::new(relay.addr, options.clone());
    Setup { handler, relay, link, options }
}

async fn call(link: &PeerLink, text: &str) -> aspenloft_core::errors::Result<RemoteCall> {
    link.connection().await?.call(frame(text)).await
}

/// Makes a call and returns its first reply.
async fn echo(link: &PeerLink, text: &str) -> aspenloft_core::errors::Result<String> {
    let mut call = call(link, text).await?;
    let reply = call.next().await?.expect("a reply");
    frames::decode(&reply)
}

async fn eventually(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + within;
    while !condition() {
        assert!(Instant::now() < deadline, "not within {within:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

#[async_std::test]
async fn a_call_on_a_silent_connection_fails_in_time_and_a_new_connection_is_ready() {
    let setup = start(MeshOptions::default()).await;
    let limit = setup.options.max_detection_time() + SLACK;
    let mut pending = call(&setup.link, "wait").await.expect("a call");
    pending.next().await.expect("a reply");
    setup.relay.silence();
    let started_at = Instant::now();
    let failed = pending.next().await.expect_err("the connection is silent");
    assert_eq!(failed.execution, Execution::Unknown, "the call was running");
    assert!(started_at.elapsed() <= limit, "it waited for {:?}", started_at.elapsed());
    assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 2, "the new connection was ready");
    assert_eq!(echo(&setup.link, "again").await.expect("an echo"), "again");
    eventually("the peer runs no call of the silent connection", limit, || {
        setup.handler.running.load(Ordering::SeqCst) == 0
    })
    .await;
}

#[async_std::test]
async fn a_second_connection_is_opened_next_to_the_silent_one() {
    // The ping timeout is so long that the old connection stays open in this test.
    let options = MeshOptions { ping_timeout: Duration::from_secs(30), ..MeshOptions::default() };
    let setup = start(options).await;
    let mut pending = call(&setup.link, "wait").await.expect("a call");
    pending.next().await.expect("a reply");
    setup.relay.silence();
    let within = setup.options.ping_interval + setup.options.suspect_after + SLACK;
    eventually("a second connection", within, || setup.relay.accepted.load(Ordering::SeqCst) == 2)
        .await;
    assert_eq!(echo(&setup.link, "beside").await.expect("an echo"), "beside");
    assert_eq!(setup.handler.running.load(Ordering::SeqCst), 1, "the old call is still running");
}

#[async_std::test]
async fn a_host_is_down_only_when_new_connections_fail_too() {
    let setup = start(MeshOptions::default()).await;
    assert_eq!(echo(&setup.link, "one").await.expect("an echo"), "one");
    setup.relay.silence();
    setup.relay.silence_new(true);
    let limit = setup.options.max_detection_time() + setup.options.connect_timeout + SLACK;
    let started_at = Instant::now();
    let results = join_all((0..20).map(|_| echo(&setup.link, "lost"))).await;
    assert!(started_at.elapsed() <= limit, "it took {:?}", started_at.elapsed());
    assert!(results.iter().all(|result| result.is_err()), "no reply can arrive");
    let before = setup.handler.started.load(Ordering::SeqCst);
    // All calls share one failed attempt to connect; none waits for an attempt of its own.
    let started_at = Instant::now();
    for refused in join_all((0..20).map(|_| echo(&setup.link, "down"))).await {
        assert_eq!(refused.expect_err("the host is down").execution, Execution::NotRun);
    }
    assert!(
        started_at.elapsed() <= setup.options.connect_timeout + SLACK,
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(
        setup.handler.started.load(Ordering::SeqCst),
        before,
        "a call reported as not run was run"
    );
    setup.relay.silence_new(false);
    task::sleep(setup.options.reconnect_delay).await;
    assert_eq!(echo(&setup.link, "back").await.expect("an echo"), "back");
}

#[async_std::test]
async fn many_calls_open_one_connection() {
    let setup = start(MeshOptions::default()).await;
    for round in 1..=2 {
        let texts: Vec<_> = (0..100).map(|i| format!("call {i} of round {round}")).collect();
        let echoes = join_all(texts.iter().map(|text| echo(&setup.link, text))).await;
        for (text, echoed) in texts.iter().zip(echoes) {
            assert_eq!(&echoed.expect("an echo"), text, "the reply belongs to another call");
        }
        assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 1);
    }
}

#[async_std::test]
async fn idle_and_old_connections_are_replaced() {
    let idle_timeout = Duration::from_millis(200);
    let setup = start(MeshOptions { idle_timeout, ..MeshOptions::default() }).await;
    let connection = setup.link.connection().await.expect("a connection");
    assert_eq!(echo(&setup.link, "one").await.expect("an echo"), "one");
    let within = idle_timeout + setup.options.ping_interval + SLACK;
    eventually("the idle connection ends", within, || !connection.is_usable(&setup.options)).await;
    assert_eq!(echo(&setup.link, "two").await.expect("an echo"), "two");

    let max_age = Duration::from_millis(100);
    let setup = start(MeshOptions { max_age, ..MeshOptions::default() }).await;
    let mut old = call(&setup.link, "wait").await.expect("a call");
    task::sleep(max_age).await;
    assert_eq!(echo(&setup.link, "new").await.expect("an echo"), "new");
    assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 2);
    assert!(old.next().await.expect("a reply").is_some(), "calls on the old connection continue");
}

#[async_std::test]
async fn a_connection_that_answers_pings_stays_open() {
    let setup = start(MeshOptions::default()).await;
    let _pending = call(&setup.link, "wait").await.expect("a call");
    task::sleep(setup.options.max_detection_time() * 2).await;
    assert_eq!(echo(&setup.link, "still").await.expect("an echo"), "still");
    assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 1);
    assert_eq!(setup.handler.running.load(Ordering::SeqCst), 1);
}
