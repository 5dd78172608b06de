//! Connections between hosts that go silent while new ones work: nobody waits
//! longer than the stated bound, the word on the call's fate is right, and the far
//! side holds nothing.

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

/// What a busy machine may add to a bound.
const SLACK: Duration = Duration::from_secs(1);

/// Echoes a call; one for "wait" never ends. Counts the calls that it runs.
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

/// Calls and reads the first reply.
async fn echo(link: &PeerLink, text: &str) -> aspenloft_core::errors::Result<String> {
    let mut call = call(link, text).await?;
    let reply = call.next().await?.expect("a reply");
    frames::decode(&reply)
}

async fn eventually(what: &str, within: Duration, holds: impl Fn() -> bool) {
    let ends = Instant::now() + within;
    while !holds() {
        assert!(Instant::now() < ends, "not within {within:?}: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

#[async_std::test]
async fn a_call_on_a_silent_connection_fails_in_time_and_a_new_one_is_there() {
    let setup = start(MeshOptions::default()).await;
    let bound = setup.options.max_detection_time() + SLACK;
    let mut pending = call(&setup.link, "wait").await.expect("a call");
    pending.next().await.expect("a reply");
    setup.relay.silence();
    let began = Instant::now();
    let failed = pending.next().await.expect_err("the connection is silent");
    assert_eq!(failed.execution, Execution::Unknown, "the call was running");
    assert!(began.elapsed() <= bound, "it waited for {:?}", began.elapsed());
    assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 2, "the new connection was ready");
    assert_eq!(echo(&setup.link, "again").await.expect("an echo"), "again");
    eventually("the far side runs nothing for the silent connection", bound, || {
        setup.handler.running.load(Ordering::SeqCst) == 0
    })
    .await;
}

#[async_std::test]
async fn a_new_connection_is_tried_beside_the_silent_one() {
    // The old one is not given up in this test.
    let options = MeshOptions { ping_timeout: Duration::from_secs(30), ..MeshOptions::default() };
    let setup = start(options).await;
    let mut pending = call(&setup.link, "wait").await.expect("a call");
    pending.next().await.expect("a reply");
    setup.relay.silence();
    let within = setup.options.ping_interval + setup.options.suspect_after + SLACK;
    eventually("a second connection", within, || setup.relay.accepted.load(Ordering::SeqCst) == 2)
        .await;
    assert_eq!(echo(&setup.link, "beside").await.expect("an echo"), "beside");
    assert_eq!(setup.handler.running.load(Ordering::SeqCst), 1, "the old call still stands");
}

#[async_std::test]
async fn a_host_is_down_only_when_new_connections_fail_too() {
    let setup = start(MeshOptions::default()).await;
    assert_eq!(echo(&setup.link, "one").await.expect("an echo"), "one");
    setup.relay.silence();
    setup.relay.silence_new(true);
    let bound = setup.options.max_detection_time() + setup.options.connect_timeout + SLACK;
    let began = Instant::now();
    let words = join_all((0..20).map(|_| echo(&setup.link, "lost"))).await;
    assert!(began.elapsed() <= bound, "it took {:?}", began.elapsed());
    assert!(words.iter().all(|word| word.is_err()), "nothing can come back");
    let before = setup.handler.started.load(Ordering::SeqCst);
    // All calls now meet the failed attempt, and none waits for one of its own.
    let began = Instant::now();
    for refused in join_all((0..20).map(|_| echo(&setup.link, "down"))).await {
        assert_eq!(refused.expect_err("the host is down").execution, Execution::NotRun);
    }
    assert!(began.elapsed() <= setup.options.connect_timeout + SLACK, "{:?}", began.elapsed());
    assert_eq!(setup.handler.started.load(Ordering::SeqCst), before, "what is not run ran");
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
            assert_eq!(&echoed.expect("an echo"), text, "replies must not cross");
        }
        assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 1);
    }
}

#[async_std::test]
async fn idle_and_old_connections_go() {
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
    assert!(old.next().await.expect("a reply").is_some(), "calls on the old one go on");
}

#[async_std::test]
async fn a_busy_connection_that_answers_is_kept() {
    let setup = start(MeshOptions::default()).await;
    let _pending = call(&setup.link, "wait").await.expect("a call");
    task::sleep(setup.options.max_detection_time() * 2).await;
    assert_eq!(echo(&setup.link, "still").await.expect("an echo"), "still");
    assert_eq!(setup.relay.accepted.load(Ordering::SeqCst), 1);
    assert_eq!(setup.handler.running.load(Ordering::SeqCst), 1);
}
