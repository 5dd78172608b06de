//! Tests of the contracts of the plain service and the relay, with their faults.

mod common;

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{KeyValue, KvClient};
use aspenloft_standin::kv::{KvHandler, KvStandin};
use aspenloft_standin::relay::{Relay, RelayFaults};
use aspenloft_standin::service::{IDEMPOTENCY_KEY_HEADER, Receipt, ServiceFaults, ServiceStandin};
use aspenloft_transport::http;
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use common::{TIMEOUT, bind, serve};

/// `Case` is a fault, with the outcome that the client sees and the number of executions.
struct Case {
    faults: ServiceFaults,
    answer: Result<(), Execution>,
    executions: u64,
}

#[async_std::test]
async fn each_fault_of_the_service_has_its_effect() {
    let none = ServiceFaults::default;
    let wait = Duration::from_millis(500);
    let unknown = Err(Execution::Unknown);
    let cases = [
        Case { faults: none(), answer: Ok(()), executions: 1 },
        Case {
            faults: ServiceFaults { refusing: true, ..none() },
            answer: Err(Execution::NotRun),
            executions: 0,
        },
        Case {
            faults: ServiceFaults { crash_before: 1, ..none() },
            answer: unknown,
            executions: 0,
        },
        Case { faults: ServiceFaults { crash_after: 1, ..none() }, answer: unknown, executions: 1 },
        Case { faults: ServiceFaults { late: wait, ..none() }, answer: unknown, executions: 1 },
        Case { faults: ServiceFaults { delay: wait, ..none() }, answer: unknown, executions: 0 },
    ];
    for case in cases {
        let service = Arc::<ServiceStandin>::default();
        let addr = serve(service.clone()).await;
        *service.faults.lock() = case.faults.clone();
        let mut req = http::post(addr, "/bookings", &7).expect("a request");
        req.insert_header(IDEMPOTENCY_KEY_HEADER, "k");
        let answer = match http::send(addr, req, wait / 2).await {
            Ok(mut answer) => http::read_json::<Receipt>(&mut answer, addr).await,
            Err(e) => Err(e),
        };
        assert_eq!(answer.map(|_| ()).map_err(|e| e.execution), case.answer, "{:?}", case.faults);
        assert_eq!(service.executions("k"), case.executions, "{:?}", case.faults);
    }
}

#[async_std::test]
async fn the_relay_silences_open_or_new_connections() {
    // The target echoes all bytes.
    let (listener, target) = bind().await;
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(async move {
                let (mut reader, mut writer) = (&stream, &stream);
                let _ = async_std::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    let relay = Relay::new(target);
    let (listener, addr) = bind().await;
    task::spawn(relay.clone().serve(listener));

    let mut old = TcpStream::connect(addr).await.expect("a connection");
    assert!(echoes(&mut old).await);
    relay.silence_open();
    assert!(!echoes(&mut old).await);
    let mut new = TcpStream::connect(addr).await.expect("a connection");
    assert!(echoes(&mut new).await);
    assert!(!echoes(&mut old).await, "the old connection stays silent");
    *relay.faults.lock() = RelayFaults { swallow_new: true, ..RelayFaults::default() };
    let mut newer = TcpStream::connect(addr).await.expect("a connection");
    assert!(!echoes(&mut newer).await);
    assert!(echoes(&mut new).await);
    assert_eq!(relay.opened(), 3);
}

async fn echoes(stream: &mut TcpStream) -> bool {
    let mut buf = [0_u8; 4];
    stream.write_all(b"ping").await.expect("the connection is open");
    let read = timeout(Duration::from_millis(300), stream.read_exact(&mut buf)).await;
    read.is_ok_and(|read| read.is_ok())
}

#[async_std::test]
async fn the_relay_delays_both_directions() {
    let addr = serve(Arc::new(KvHandler(Arc::<KvStandin>::default()))).await;
    let relay = Relay::new(addr);
    let (listener, addr) = bind().await;
    task::spawn(relay.clone().serve(listener));
    relay.faults.lock().delay = Duration::from_millis(50);
    let started = std::time::Instant::now();
    let got = timeout(TIMEOUT, KvClient::new(addr).get("a")).await.expect("in time");
    assert!(got.expect("an answer").is_none());
    assert!(started.elapsed() >= Duration::from_millis(100));
}
