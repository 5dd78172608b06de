//! Tests of the model engine's contract, without faults and with each of them.

mod common;

use std::time::Duration;

use aspenloft_core::backend::BackendRole;
use aspenloft_core::errors::ErrorCode;
use aspenloft_core::execution::Execution;
use aspenloft_core::pieces::PIECE_BYTES;
use aspenloft_core::units::Tokens;
use aspenloft_protocol::engine::{
    CancelCommand, EventsQuery, ExtendCommand, HoldState, ModelEngine, Order, OrderKind,
};
use aspenloft_standin::engine::queue::PrefillQueue;
use aspenloft_standin::engine::{
    CRASH_MARKER, DECODE_CRASH_MARKER, EngineFaults, EngineOptions, expected_text,
};
use async_std::task;
use common::{Engine, HOLD_TIME, TIMEOUT, decode_command};

const PROMPT: &str = "Describe the blue door.";

fn fast_options() -> EngineOptions {
    EngineOptions { step: Duration::from_millis(2), ..EngineOptions::default() }
}

async fn start_pair() -> (Engine, Engine) {
    (Engine::start(fast_options()).await, Engine::start(fast_options()).await)
}

/// Waits until `condition` holds, and panics after [`TIMEOUT`].
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    for _ in 0..TIMEOUT.as_millis() / 5 {
        if condition() {
            return;
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    panic!("timed out: {what}");
}

#[async_std::test]
async fn decodes_the_whole_text_and_resumes_within_it() {
    let (prefill_engine, decode_engine) = start_pair().await;
    let whole = expected_text(PROMPT, 4);
    for resumed_at in 0..4 {
        let result = prefill_engine.prefill("r", PROMPT).await.expect("a prefill");
        let mut command = decode_command("r", &result.kv, prefill_engine.addr);
        command.from_token = resumed_at;
        command.sent = expected_text(PROMPT, resumed_at).into();
        let decoded = decode_engine.decode(&command).await.expect("a stream");
        assert_eq!(format!("{}{}", command.sent, decoded.text), whole);
        assert!(decoded.finished);
        wait_until("the slot is free", || decode_engine.standin.holds().is_empty()).await;
    }
    let result = prefill_engine.prefill("r", PROMPT).await.expect("a prefill");
    let mut command = decode_command("r", &result.kv, prefill_engine.addr);
    command.from_token = 1;
    command.sent = "something else".into();
    let e = decode_engine.decode(&command).await.expect_err("the wrong text");
    assert_eq!((e.code, e.execution), (ErrorCode::Invalid, Execution::NotRun));
    assert!(decode_engine.standin.holds().is_empty());
}

#[async_std::test]
async fn evicts_a_result_that_is_not_exported() {
    let (prefill_engine, decode_engine) = start_pair().await;
    let result = prefill_engine.prefill("r", PROMPT).await.expect("a prefill");
    assert!(result.expires < Duration::from_secs(1));
    assert_eq!(prefill_engine.standin.holds()[0].state, HoldState::Ready);
    // Extending the hold does not keep the result, which expires at its own time.
    let extend = ExtendCommand { requests: vec!["r".into()], hold: HOLD_TIME };
    prefill_engine.client.extend(&extend).await.expect("an answer");
    wait_until("the result is evicted", || prefill_engine.standin.holds().is_empty()).await;
    let e = decode_engine
        .decode(&decode_command("r", &result.kv, prefill_engine.addr))
        .await
        .expect_err("no result");
    assert_eq!(e.code, ErrorCode::NotFound);
    assert!(prefill_engine.standin.records().wasted_tokens() > Tokens(0));
}

#[async_std::test]
async fn a_cached_prefix_shortens_prefill_and_is_published() {
    let prefill_engine = Engine::start(fast_options()).await;
    let prompt = "x".repeat(2 * PIECE_BYTES + 40);
    let first = prefill_engine.prefill("a", &prompt).await.expect("a prefill");
    let second = prefill_engine.prefill("b", &prompt).await.expect("a prefill");
    assert_eq!((first.cached_tokens, second.cached_tokens), (Tokens(0), Tokens(4_000)));
    assert!(second.took < first.took / 10);
    let events = prefill_engine.client.events(EventsQuery { after: 0 }).await.expect("events");
    let snapshot = prefill_engine.client.snapshot().await.expect("a snapshot");
    assert_eq!((events.events.len(), events.newest), (2, 2));
    assert_eq!((snapshot.pieces.len(), snapshot.seq), (2, 2));
}

#[test]
fn the_prefill_queue_admits_by_priority() {
    let mut queue = PrefillQueue::new(1);
    let mut enqueue =
        |request: &str, priority| queue.enqueue(&request.into(), Tokens(10), priority);
    let mut first = enqueue("first", 0);
    let mut low = enqueue("low", 1);
    let mut high = enqueue("high", 9);
    let mut cancelled = enqueue("gone", 8);
    let ticket = first.try_recv().expect("not cancelled").expect("an admitted prefill");
    assert_eq!(queue.load(), (4, Tokens(40)));
    queue.cancel(&"gone".into());
    assert!(cancelled.try_recv().is_err());
    queue.finish(ticket);
    let ticket = high.try_recv().expect("not cancelled").expect("an admitted prefill");
    assert_eq!(low.try_recv(), Ok(None));
    queue.finish(ticket);
    assert!(low.try_recv().expect("not cancelled").is_some());
}

#[async_std::test]
async fn every_slot_is_counted_and_a_cancel_frees_it() {
    let options = EngineOptions { slots: 1, step: Duration::from_millis(50), ..fast_options() };
    let (prefill_engine, decode_engine) =
        (Engine::start(fast_options()).await, Engine::start(options).await);
    let one = prefill_engine.prefill("one", PROMPT).await.expect("a prefill");
    let two = prefill_engine.prefill("two", PROMPT).await.expect("a prefill");
    let stream = decode_engine
        .client
        .decode(&decode_command("one", &one.kv, prefill_engine.addr), TIMEOUT)
        .await;
    let refused = decode_engine
        .decode(&decode_command("two", &two.kv, prefill_engine.addr))
        .await
        .expect_err("full");
    assert_eq!((refused.code, refused.execution), (ErrorCode::Overloaded, Execution::NotRun));
    decode_engine.client.cancel(&CancelCommand { request: "one".into() }).await.expect("an answer");
    assert!(decode_engine.standin.holds().is_empty());
    drop(stream);
    assert!(!decode_engine.standin.has_run(&"two".into()));
}

#[async_std::test]
async fn concurrent_exports_share_the_link() {
    let mut link = aspenloft_standin::engine::link::Link::default();
    let now = std::time::Instant::now();
    let chunk = Duration::from_millis(10);
    // Two transfers of three chunks each alternate, so they end with the last two chunks.
    let ends: Vec<_> = (0..6).map(|_| link.reserve(chunk, now) - now).collect();
    assert_eq!(ends[4], chunk * 5);
    assert_eq!(ends[5], chunk * 6);
}

/// `Crash` is a marker within a prompt, and whether it crashes the engine that prefills
/// or the one that decodes.
struct Crash {
    marker: &'static str,
    prefill_fails: bool,
}

#[async_std::test]
async fn a_marked_prompt_crashes_its_engine() {
    let cases = [
        Crash { marker: CRASH_MARKER, prefill_fails: true },
        Crash { marker: DECODE_CRASH_MARKER, prefill_fails: false },
    ];
    for case in cases {
        let (prefill_engine, decode_engine) = start_pair().await;
        let down = Duration::from_millis(200);
        for engine in [&prefill_engine, &decode_engine] {
            engine.standin.faults.lock().down = down;
        }
        let prompt = format!("{PROMPT} {}", case.marker);
        let prefilled = prefill_engine.prefill("r", &prompt).await;
        assert_eq!(prefilled.is_err(), case.prefill_fails);
        let crashed = if let Ok(result) = prefilled {
            let decoded =
                decode_engine.decode(&decode_command("r", &result.kv, prefill_engine.addr)).await;
            assert!(!decoded.expect("a stream").finished);
            &decode_engine
        } else {
            &prefill_engine
        };
        assert!(!crashed.standin.is_up());
        let e = crashed.client.load().await.expect_err("the engine is down");
        assert_eq!(e.code, ErrorCode::Unavailable);
        wait_until("the engine is up again", || crashed.standin.is_up()).await;
        assert!(crashed.client.holds().await.expect("an answer").is_empty());
        assert_eq!(crashed.standin.records().crashes, 1);
        assert_eq!(crashed.standin.records().runs_of_prompt(&prompt), 1);
        assert!(crashed.standin.has_run(&"r".into()));
    }
}

#[async_std::test]
async fn old_fencing_numbers_are_refused_only_where_checked() {
    let order = |fence| Order {
        kind: OrderKind::Role(BackendRole::Decode),
        fence,
        valid: Duration::from_secs(1),
    };
    for (check_fencing, second_obeyed) in [(true, false), (false, true)] {
        let engine = Engine::start(EngineOptions { check_fencing, ..fast_options() }).await;
        engine.client.order(&order(2)).await.expect("the newer order");
        assert_eq!(engine.client.order(&order(1)).await.is_ok(), second_obeyed);
        let obeyed: Vec<_> = engine.standin.records().orders.iter().map(|o| o.obeyed).collect();
        assert_eq!(obeyed, [true, second_obeyed]);
    }
    let engine = Engine::start(fast_options()).await;
    engine.standin.faults.lock().order_delay = Duration::from_millis(50);
    let late = Order { valid: Duration::from_millis(1), ..order(1) };
    let e = engine.client.order(&late).await.expect_err("too late");
    assert_eq!((e.code, e.execution), (ErrorCode::Timeout, Execution::NotRun));
}

#[async_std::test]
async fn each_stall_blocks_decoding_until_it_is_cleared() {
    let stall_time = Duration::from_millis(200);
    let cases = [
        EngineFaults { frozen: true, ..EngineFaults::default() },
        EngineFaults { stall_exports: true, ..EngineFaults::default() },
        EngineFaults { stall_streams: true, ..EngineFaults::default() },
    ];
    for faults in cases {
        let (prefill_engine, decode_engine) = start_pair().await;
        let result = prefill_engine.prefill("r", PROMPT).await.expect("a prefill");
        for engine in [&prefill_engine, &decode_engine] {
            *engine.standin.faults.lock() = faults.clone();
        }
        let command = decode_command("r", &result.kv, prefill_engine.addr);
        let decode = decode_engine.decode(&command);
        let stalled = async_std::future::timeout(stall_time, decode).await;
        assert!(stalled.is_err(), "{faults:?}");
        for engine in [&prefill_engine, &decode_engine] {
            *engine.standin.faults.lock() = EngineFaults::default();
        }
        decode_engine
            .client
            .cancel(&CancelCommand { request: "r".into() })
            .await
            .expect("an answer");
        let result = prefill_engine.prefill("s", PROMPT).await.expect("a prefill");
        let decoded =
            decode_engine.decode(&decode_command("s", &result.kv, prefill_engine.addr)).await;
        assert!(decoded.expect("a stream").finished);
    }
}

#[async_std::test]
async fn cancels_can_be_lost_or_ignored() {
    let cases = [
        (EngineFaults { lose_cancels: 1, ..EngineFaults::default() }, false),
        (EngineFaults { ignore_cancels: true, ..EngineFaults::default() }, true),
    ];
    for (faults, acknowledged) in cases {
        let engine = Engine::start(fast_options()).await;
        engine.prefill("r", PROMPT).await.expect("a prefill");
        *engine.standin.faults.lock() = faults;
        let cancelled = engine.client.cancel(&CancelCommand { request: "r".into() }).await;
        assert_eq!(cancelled.is_ok(), acknowledged);
        assert_eq!(engine.standin.holds().len(), 1);
    }
}

#[async_std::test]
async fn reports_and_events_lag_and_have_gaps() {
    let engine = Engine::start(fast_options()).await;
    let prompt = "y".repeat(4 * PIECE_BYTES);
    *engine.standin.faults.lock() =
        EngineFaults { load_lag: HOLD_TIME, lose_event_every: 2, ..EngineFaults::default() };
    engine.client.load().await.expect("a report");
    engine.prefill("r", &prompt).await.expect("a prefill");
    let load = engine.client.load().await.expect("a report");
    assert_eq!((load.age, load.queued, load.slots), (HOLD_TIME, 0, 20));
    let events = engine.client.events(EventsQuery { after: 0 }).await.expect("events");
    let seqs: Vec<_> = events.events.iter().map(|event| event.seq).collect();
    assert_eq!((seqs, events.newest), (vec![1, 3], 4));
    engine.standin.faults.lock().event_lag = HOLD_TIME;
    let late = engine.client.events(EventsQuery { after: 0 }).await.expect("events");
    assert!(late.events.is_empty());
}

#[async_std::test]
async fn repeats_tokens_and_refuses_requests_when_set() {
    let (prefill_engine, decode_engine) = start_pair().await;
    decode_engine.standin.faults.lock().repeat_tokens = 1;
    let result = prefill_engine.prefill("r", PROMPT).await.expect("a prefill");
    let decoded = decode_engine
        .decode(&decode_command("r", &result.kv, prefill_engine.addr))
        .await
        .expect("a stream");
    assert_eq!(decoded.indexes, [0, 0, 1, 2, 3]);
    prefill_engine.standin.faults.lock().refusing = true;
    let e = prefill_engine.prefill("s", PROMPT).await.expect_err("a refusal");
    assert_eq!((e.code, e.execution), (ErrorCode::NotReady, Execution::NotRun));
    assert!(!prefill_engine.standin.has_run(&"s".into()));
}
