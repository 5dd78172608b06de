//! Tests each way in which a call can end: the result for its caller, and the result
//! of a later repeat of the key.

#[path = "world/kv.rs"]
#[allow(dead_code)]
mod kv;

use std::time::{Duration, Instant};

use aspenloft_core::errors::{ErrorCode, unavailable};
use aspenloft_core::prelude::{Arc, Execution};
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::options::ShardOptions;
use aspenloft_ledger::record::Answer;
use aspenloft_ledger::shard::event::{Action, AttemptId, Call, CallId, CallResult, Event, Outcome};
use aspenloft_ledger::shard::{Moment, Shard};
use kv::{FakeKv, failed};

/// One owner and a key-value service that is up unless a test sets `down`.
struct Harness {
    shard: Shard,
    kv: FakeKv,
    start: Instant,
    now: Duration,
    down: Option<Execution>,
    sends: Vec<(KeyDigest, AttemptId, Instant)>,
    results: Vec<(CallId, CallResult)>,
    ids: CallId,
}

const KEY: &str = "slot-7";

impl Harness {
    fn new(options: ShardOptions) -> Harness {
        Harness {
            shard: Shard::new(options, 1),
            kv: FakeKv::default(),
            start: Instant::now(),
            now: Duration::ZERO,
            down: None,
            sends: Vec::new(),
            results: Vec::new(),
            ids: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let wall_ms = self.now.as_millis() as u64;
            let at = Moment { now: self.start + self.now, wall_ms };
            for action in self.shard.handle(event, at) {
                match action {
                    Action::Answer(call, result) => self.results.push((call, result)),
                    Action::Send { key, attempt, not_after, .. } => {
                        self.sends.push((key, attempt, not_after));
                    }
                    action => events.push(match self.down {
                        Some(execution) => failed(&action, execution),
                        None => self.kv.apply(&action, 0, self.now),
                    }),
                }
            }
        }
    }

    fn call_body(&mut self, key: &str, body: &str) -> CallId {
        self.ids += 1;
        let request = RequestDigest::new("POST", "/bookings", body.as_bytes());
        let key = KeyDigest::new("booking", "tester", key);
        let window = Duration::from_secs(600);
        self.handle(Event::Call(Call { id: self.ids, key, request, window, bytes: body.len() }));
        self.advance(Duration::from_millis(100));
        self.ids
    }

    fn call(&mut self, key: &str) -> CallId {
        self.call_body(key, "{}")
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(Event::Tick);
    }

    /// Reports `outcome` for the last call that was sent.
    fn report(&mut self, outcome: Outcome) {
        let (key, attempt, _) = self.sends.pop().expect("a call was sent");
        self.handle(Event::Sent(key, attempt, outcome));
        self.advance(Duration::from_millis(100));
    }

    fn answer(&mut self, body: &str) {
        let answer = Answer { status: 201, content_type: String::new(), body: body.into() };
        self.report(Outcome::Answered(Arc::new(answer)));
    }

    /// Replaces the owner by a new process without state.
    fn restart(&mut self) {
        self.shard = Shard::new(ShardOptions::default(), 2);
        self.sends.clear();
    }

    /// Returns the result of `call`: the status, or the code and the execution.
    fn result(&self, call: CallId) -> CallState {
        let found = self.results.iter().find(|(id, _)| *id == call);
        match found.map(|(_, result)| result) {
            None => CallState::Waiting,
            Some(CallResult::Answer(answer)) => CallState::Answer(answer.status),
            Some(CallResult::Redirect(_)) => CallState::Redirect,
            Some(CallResult::Failed(e)) => CallState::Failed(e.code, e.execution),
        }
    }
}

#[derive(Debug, PartialEq)]
enum CallState {
    Waiting,
    Answer(u16),
    Redirect,
    Failed(ErrorCode, Execution),
}

const MAY_HAVE_RUN: CallState = CallState::Failed(ErrorCode::Conflict, Execution::Unknown);

#[test]
fn each_outcome_determines_the_result_and_the_repeat() {
    let unavailable_not_run = CallState::Failed(ErrorCode::Unavailable, Execution::NotRun);
    let unavailable_unknown = CallState::Failed(ErrorCode::Unavailable, Execution::Unknown);
    type MakeOutcome = fn() -> Outcome;
    let table: [(&str, MakeOutcome, CallState, CallState); 3] = [
        (
            "connect refused: the intent is withdrawn and a repeat is sent",
            || Outcome::NotSent(unavailable("refused")),
            unavailable_not_run,
            CallState::Waiting,
        ),
        (
            "no answer after the request was written: never sent again",
            || Outcome::Unknown(unavailable("silent").execution(Execution::Unknown)),
            unavailable_unknown,
            MAY_HAVE_RUN,
        ),
        (
            "answered, even with a failure: the repeat gets the same answer",
            || {
                let answer = Answer { status: 500, content_type: String::new(), body: vec![] };
                Outcome::Answered(Arc::new(answer))
            },
            CallState::Answer(500),
            CallState::Answer(500),
        ),
    ];
    for (name, make_outcome, first, repeat) in table {
        let mut harness = Harness::new(ShardOptions::default());
        let call = harness.call(KEY);
        harness.report(make_outcome());
        assert_eq!(harness.result(call), first, "{name}");
        let again = harness.call(KEY);
        assert_eq!(harness.result(again), repeat, "{name}");
        assert_eq!(harness.sends.len(), usize::from(repeat == CallState::Waiting), "{name}");
    }
}

#[test]
fn a_repeat_waits_for_the_call_in_flight() {
    let mut harness = Harness::new(ShardOptions::default());
    let (first, second) = (harness.call(KEY), harness.call(KEY));
    assert_eq!(harness.sends.len(), 1);
    harness.answer("seat 7");
    assert_eq!(harness.result(first), CallState::Answer(201));
    assert_eq!(harness.result(second), CallState::Answer(201));
}

#[test]
fn a_key_with_another_request_is_refused() {
    let mut harness = Harness::new(ShardOptions::default());
    let reused = CallState::Failed(ErrorCode::KeyReused, Execution::NotRun);
    harness.call(KEY);
    let in_flight = harness.call_body(KEY, "other");
    assert_eq!(harness.result(in_flight), reused);
    harness.answer("seat 7");
    let later = harness.call_body(KEY, "other");
    assert_eq!(harness.result(later), reused);
}

#[test]
fn with_the_service_down_calls_are_refused_at_once_with_retry_after() {
    for execution in [Execution::NotRun, Execution::Unknown] {
        let mut harness = Harness::new(ShardOptions::default());
        harness.call("warm");
        harness.answer("ok");
        harness.down = Some(execution);
        let call = harness.call(KEY);
        let Some((_, CallResult::Failed(e))) = harness.results.iter().find(|(id, _)| *id == call)
        else {
            panic!("not refused: {:?}", harness.result(call));
        };
        assert_eq!(e.execution, Execution::NotRun);
        assert!(e.retry_after.is_some());
        // A known key is still answered. No write starts during the backoff.
        let known = harness.call("warm");
        assert_eq!(harness.result(known), CallState::Answer(201));
        assert!(harness.sends.is_empty());
        harness.down = None;
        harness.advance(Duration::from_secs(6));
        harness.call(KEY);
        assert_eq!(harness.sends.len(), 1, "the repeat is sent after the outage");
    }
}

#[test]
fn a_new_owner_returns_stored_answers_and_refuses_intents() {
    let mut harness = Harness::new(ShardOptions::default());
    harness.call("answered");
    harness.answer("ok");
    harness.call("intent");
    harness.restart();
    let (answer, intent) = (harness.call("answered"), harness.call("intent"));
    assert_eq!(harness.result(answer), CallState::Answer(201));
    assert_eq!(harness.result(intent), MAY_HAVE_RUN);
    assert!(harness.sends.is_empty());
}

#[test]
fn an_answer_too_large_to_keep_is_described_to_repeats() {
    let mut harness = Harness::new(ShardOptions::default());
    let first = harness.call(KEY);
    harness.answer(&"x".repeat(10_000));
    let again = harness.call(KEY);
    assert_eq!(harness.result(first), CallState::Answer(201));
    assert_eq!(harness.result(again), CallState::Failed(ErrorCode::Conflict, Execution::Run));
}

#[test]
fn pages_keep_answers_until_they_expire_and_values_stay_small() {
    let mut harness = Harness::new(ShardOptions { max_pages: 4, ..ShardOptions::default() });
    let mut kept = 0;
    let full = CallState::Failed(ErrorCode::Overloaded, Execution::NotRun);
    loop {
        let call = harness.call(&format!("key-{kept}"));
        if harness.result(call) == full {
            break;
        }
        harness.answer(&"x".repeat(1_000));
        kept += 1;
        let (_, head) = harness.kv.head.as_ref().expect("a head");
        let bytes = serde_json::to_string(head).expect("JSON").len();
        assert!(bytes < 1024 * 1024, "a head of {bytes} bytes");
    }
    assert_eq!(harness.kv.pages.len(), 4);
    harness.restart();
    for n in [0, kept / 2, kept - 1] {
        let again = harness.call(&format!("key-{n}"));
        assert_eq!(harness.result(again), CallState::Answer(201), "key {n} of {kept}");
    }
    // The window and the clock skew have passed for all keys: the pages are deleted.
    harness.advance(Duration::from_secs(631));
    let fresh = harness.call("fresh");
    assert_eq!(harness.result(fresh), CallState::Waiting);
    assert_eq!(harness.sends.len(), 1);
    assert!(harness.kv.pages.is_empty());
}

#[test]
fn calls_in_flight_and_their_waiters_are_limited() {
    let mut harness =
        Harness::new(ShardOptions { max_in_flight: 8, max_waiters: 3, ..ShardOptions::default() });
    let too_many = CallState::Failed(ErrorCode::Overloaded, Execution::NotRun);
    let calls: Vec<_> = (0..10).map(|n| harness.call(&format!("key-{n}"))).collect();
    let refused = calls.iter().filter(|call| harness.result(**call) == too_many).count();
    assert_eq!(refused, 2);
    let joins: Vec<_> = (0..4).map(|_| harness.call("key-0")).collect();
    let refused = joins.iter().filter(|call| harness.result(**call) == MAY_HAVE_RUN).count();
    assert_eq!(refused, 2);
}

#[test]
fn a_call_whose_intent_is_committed_too_late_is_not_sent() {
    let mut harness = Harness::new(ShardOptions::default());
    harness.call("warm");
    harness.answer("ok");
    // The host is paused between the start of the swap and its result.
    let id = 99;
    let request = RequestDigest::new("POST", "/bookings", b"{}");
    let key = KeyDigest::new("booking", "tester", KEY);
    let window = Duration::from_secs(600);
    let at = |harness: &Harness| Moment { now: harness.start + harness.now, wall_ms: 0 };
    let call = Call { id, key, request, window, bytes: 2 };
    harness.shard.handle(Event::Call(call), at(&harness));
    harness.now += Duration::from_millis(100);
    let now = at(&harness);
    let actions = harness.shard.handle(Event::Tick, now);
    let swap = actions.into_iter().next().expect("a swap");
    let result = harness.kv.apply(&swap, 0, harness.now);
    harness.now += Duration::from_secs(60);
    harness.handle(result);
    assert_eq!(harness.result(id), CallState::Failed(ErrorCode::Timeout, Execution::NotRun));
    assert!(harness.sends.is_empty());
    // The intent is withdrawn, so a repeat runs.
    harness.advance(Duration::from_millis(100));
    harness.call(KEY);
    assert_eq!(harness.sends.len(), 1);
}
