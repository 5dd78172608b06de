//! Each way in which a call can end, with the word that its caller gets and what
//! a repeat of the key meets afterwards.

#[path = "world/kv.rs"]
#[allow(dead_code)]
mod kv;

use std::time::{Duration, Instant};

use aspenloft_core::errors::{ErrorCode, unavailable};
use aspenloft_core::prelude::{Arc, Execution};
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::options::Options;
use aspenloft_ledger::record::Answer;
use aspenloft_ledger::shard::event::{Action, AttemptId, Call, CallId, CallResult, Event, Outcome};
use aspenloft_ledger::shard::{Moment, Shard};
use kv::{FakeKv, failed};

/// One owner before a service that is sound unless a test says otherwise.
struct Bench {
    shard: Shard,
    kv: FakeKv,
    start: Instant,
    now: Duration,
    down: Option<Execution>,
    sends: Vec<(KeyDigest, AttemptId, Instant)>,
    verdicts: Vec<(CallId, CallResult)>,
    ids: CallId,
}

const SLOT: &str = "slot-7";

impl Bench {
    fn new(options: Options) -> Bench {
        Bench {
            shard: Shard::new(options, 1),
            kv: FakeKv::default(),
            start: Instant::now(),
            now: Duration::ZERO,
            down: None,
            sends: Vec::new(),
            verdicts: Vec::new(),
            ids: 0,
        }
    }

    fn feed(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let wall_ms = self.now.as_millis() as u64;
            let at = Moment { now: self.start + self.now, wall_ms };
            for action in self.shard.handle(event, at) {
                match action {
                    Action::Answer(call, verdict) => self.verdicts.push((call, verdict)),
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
        self.feed(Event::Call(Call { id: self.ids, key, request, window, bytes: body.len() }));
        self.pass(Duration::from_millis(100));
        self.ids
    }

    fn call(&mut self, key: &str) -> CallId {
        self.call_body(key, "{}")
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.feed(Event::Tick);
    }

    /// The backend server's last call ends so.
    fn sent(&mut self, outcome: Outcome) {
        let (key, attempt, _) = self.sends.pop().expect("a call was sent");
        self.feed(Event::Sent(key, attempt, outcome));
        self.pass(Duration::from_millis(100));
    }

    fn answered(&mut self, body: &str) {
        let answer = Answer { status: 201, content_type: String::new(), body: body.into() };
        self.sent(Outcome::Answered(Arc::new(answer)));
    }

    /// Another process of the same deployment takes the shard over.
    fn restart(&mut self) {
        self.shard = Shard::new(Options::default(), 2);
        self.sends.clear();
    }

    /// Returns the word that `call` got: the status, or the code and execution.
    fn word(&self, call: CallId) -> Word {
        let found = self.verdicts.iter().find(|(id, _)| *id == call);
        match found.map(|(_, verdict)| verdict) {
            None => Word::Waiting,
            Some(CallResult::Answer(answer)) => Word::Answer(answer.status),
            Some(CallResult::Redirect(_)) => Word::Redirect,
            Some(CallResult::Failed(e)) => Word::Failed(e.code, e.execution),
        }
    }
}

#[derive(Debug, PartialEq)]
enum Word {
    Waiting,
    Answer(u16),
    Redirect,
    Failed(ErrorCode, Execution),
}

const MAY_HAVE_RUN: Word = Word::Failed(ErrorCode::Conflict, Execution::Unknown);

#[test]
fn each_ending_has_its_word_and_its_repeat() {
    let unavailable_not_run = Word::Failed(ErrorCode::Unavailable, Execution::NotRun);
    let unavailable_unknown = Word::Failed(ErrorCode::Unavailable, Execution::Unknown);
    type Ending = fn() -> Outcome;
    let table: [(&str, Ending, Word, Word); 3] = [
        (
            "connect refused: the intent is withdrawn and a repeat is sent",
            || Outcome::NotSent(unavailable("refused")),
            unavailable_not_run,
            Word::Waiting,
        ),
        (
            "silent after the request was written: never sent again",
            || Outcome::Unknown(unavailable("silent").execution(Execution::Unknown)),
            unavailable_unknown,
            MAY_HAVE_RUN,
        ),
        (
            "answered, were it with a failure: the repeat gets the same",
            || {
                let answer = Answer { status: 500, content_type: String::new(), body: vec![] };
                Outcome::Answered(Arc::new(answer))
            },
            Word::Answer(500),
            Word::Answer(500),
        ),
    ];
    for (name, ending, first, repeat) in table {
        let mut bench = Bench::new(Options::default());
        let call = bench.call(SLOT);
        bench.sent(ending());
        assert_eq!(bench.word(call), first, "{name}");
        let again = bench.call(SLOT);
        assert_eq!(bench.word(again), repeat, "{name}");
        assert_eq!(bench.sends.len(), usize::from(repeat == Word::Waiting), "{name}");
    }
}

#[test]
fn a_repeat_joins_the_call_in_flight() {
    let mut bench = Bench::new(Options::default());
    let (first, second) = (bench.call(SLOT), bench.call(SLOT));
    assert_eq!(bench.sends.len(), 1);
    bench.answered("seat 7");
    assert_eq!(bench.word(first), Word::Answer(201));
    assert_eq!(bench.word(second), Word::Answer(201));
}

#[test]
fn a_key_with_another_request_is_refused() {
    let mut bench = Bench::new(Options::default());
    let reused = Word::Failed(ErrorCode::KeyReused, Execution::NotRun);
    bench.call(SLOT);
    let in_flight = bench.call_body(SLOT, "other");
    assert_eq!(bench.word(in_flight), reused);
    bench.answered("seat 7");
    let later = bench.call_body(SLOT, "other");
    assert_eq!(bench.word(later), reused);
}

#[test]
fn with_the_service_down_calls_are_refused_at_once_with_when_to_come_back() {
    for execution in [Execution::NotRun, Execution::Unknown] {
        let mut bench = Bench::new(Options::default());
        bench.call("warm");
        bench.answered("ok");
        bench.down = Some(execution);
        let call = bench.call(SLOT);
        let Some((_, CallResult::Failed(e))) = bench.verdicts.iter().find(|(id, _)| *id == call)
        else {
            panic!("not refused: {:?}", bench.word(call));
        };
        assert_eq!(e.execution, Execution::NotRun);
        assert!(e.retry_after.is_some());
        // A known key is still answered, and the service is left alone meanwhile.
        let known = bench.call("warm");
        assert_eq!(bench.word(known), Word::Answer(201));
        assert!(bench.sends.is_empty());
        bench.down = None;
        bench.pass(Duration::from_secs(6));
        bench.call(SLOT);
        assert_eq!(bench.sends.len(), 1, "the repeat is sent after the outage");
    }
}

#[test]
fn a_new_owner_knows_answers_and_refuses_intents() {
    let mut bench = Bench::new(Options::default());
    bench.call("answered");
    bench.answered("ok");
    bench.call("intent");
    bench.restart();
    let (answered, intent) = (bench.call("answered"), bench.call("intent"));
    assert_eq!(bench.word(answered), Word::Answer(201));
    assert_eq!(bench.word(intent), MAY_HAVE_RUN);
    assert!(bench.sends.is_empty());
}

#[test]
fn an_answer_too_large_to_keep_is_given_once_and_then_described() {
    let mut bench = Bench::new(Options::default());
    let first = bench.call(SLOT);
    bench.answered(&"x".repeat(10_000));
    let again = bench.call(SLOT);
    assert_eq!(bench.word(first), Word::Answer(201));
    assert_eq!(bench.word(again), Word::Failed(ErrorCode::Conflict, Execution::Run));
}

#[test]
fn pages_keep_answers_until_they_expire_and_values_stay_small() {
    let mut bench = Bench::new(Options { max_pages: 4, ..Options::default() });
    let mut kept = 0;
    let full = Word::Failed(ErrorCode::Overloaded, Execution::NotRun);
    loop {
        let call = bench.call(&format!("key-{kept}"));
        if bench.word(call) == full {
            break;
        }
        bench.answered(&"x".repeat(1_000));
        kept += 1;
        let (_, head) = bench.kv.head.as_ref().expect("a head");
        let bytes = serde_json::to_string(head).expect("JSON").len();
        assert!(bytes < 1024 * 1024, "a head of {bytes} bytes");
    }
    assert_eq!(bench.kv.pages.len(), 4);
    bench.restart();
    for n in [0, kept / 2, kept - 1] {
        let again = bench.call(&format!("key-{n}"));
        assert_eq!(bench.word(again), Word::Answer(201), "key {n} of {kept}");
    }
    // Window and clock difference have passed for all: the pages are deleted.
    bench.pass(Duration::from_secs(631));
    let fresh = bench.call("fresh");
    assert_eq!(bench.word(fresh), Word::Waiting);
    assert_eq!(bench.sends.len(), 1);
    assert!(bench.kv.pages.is_empty());
}

#[test]
fn what_one_shard_holds_for_calls_in_flight_is_bounded() {
    let mut bench = Bench::new(Options { max_in_flight: 8, max_waiters: 3, ..Options::default() });
    let too_many = Word::Failed(ErrorCode::Overloaded, Execution::NotRun);
    let words: Vec<_> = (0..10).map(|n| bench.call(&format!("key-{n}"))).collect();
    let refused = words.iter().filter(|call| bench.word(**call) == too_many).count();
    assert_eq!(refused, 2);
    let joins: Vec<_> = (0..4).map(|_| bench.call("key-0")).collect();
    let refused = joins.iter().filter(|call| bench.word(**call) == MAY_HAVE_RUN).count();
    assert_eq!(refused, 2);
}

#[test]
fn a_call_whose_intent_stood_too_late_is_not_sent() {
    let mut bench = Bench::new(Options::default());
    bench.call("warm");
    bench.answered("ok");
    // The host is paused between the swap's start and its result.
    let id = 99;
    let request = RequestDigest::new("POST", "/bookings", b"{}");
    let key = KeyDigest::new("booking", "tester", SLOT);
    let window = Duration::from_secs(600);
    let at = |bench: &Bench| Moment { now: bench.start + bench.now, wall_ms: 0 };
    let call = Call { id, key, request, window, bytes: 2 };
    bench.shard.handle(Event::Call(call), at(&bench));
    bench.now += Duration::from_millis(100);
    let now = at(&bench);
    let actions = bench.shard.handle(Event::Tick, now);
    let swap = actions.into_iter().next().expect("a swap");
    let result = bench.kv.apply(&swap, 0, bench.now);
    bench.now += Duration::from_secs(60);
    bench.feed(result);
    assert_eq!(bench.word(id), Word::Failed(ErrorCode::Timeout, Execution::NotRun));
    assert!(bench.sends.is_empty());
    // The intent is withdrawn, so that a repeat runs.
    bench.pass(Duration::from_millis(100));
    bench.call(SLOT);
    assert_eq!(bench.sends.len(), 1);
}
