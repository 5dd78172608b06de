//! The `holds` module is the memory that an engine holds for requests: each hold
//! has an owner and an end, which the owner extends.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Name, RequestId, Tokens};
use aspenloft_protocol::engine::{Hold, HoldState, KvHandle};

/// `Holds` is all holds and prefill results of one engine. Time is passed in.
#[derive(Debug, Default)]
pub struct Holds {
    holds: BTreeMap<RequestId, Held>,
    results: BTreeMap<KvHandle, StoredResult>,
    made: u64,
}

#[derive(Debug)]
struct Held {
    hold: Hold,
    ends: Instant,
}

/// `StoredResult` is the result of a prefill.
#[derive(Debug, Clone)]
pub struct StoredResult {
    /// The request.
    pub request: RequestId,
    /// The prompt, which stands for the KV cache's bytes.
    pub prompt: Name,
    /// Tokens for which prefill work was done.
    pub worked: Tokens,
    /// Whether it was exported whole before.
    pub exported: bool,
    exports: u32,
    ends: Instant,
}

impl Holds {
    /// Lists the holds.
    pub fn list(&self) -> Vec<Hold> {
        self.holds.values().map(|held| held.hold.clone()).collect()
    }

    /// Counts the holds in any of `states`.
    pub fn count(&self, states: &[HoldState]) -> u32 {
        self.holds.values().filter(|held| states.contains(&held.hold.state)).count() as u32
    }

    /// Tells whether a request holds memory.
    pub fn contains(&self, request: &RequestId) -> bool {
        self.holds.contains_key(request)
    }

    /// Starts a hold until `ends`.
    pub fn start(&mut self, request: &RequestId, owner: &Name, state: HoldState, ends: Instant) {
        let (request, owner) = (request.clone(), owner.clone());
        let hold = Hold { request: request.clone(), owner, state, generated: Tokens::default() };
        self.holds.insert(request, Held { hold, ends });
    }

    /// Moves a hold to another state; `false` when it is gone.
    pub fn set_state(&mut self, request: &RequestId, state: HoldState) -> bool {
        let held = self.holds.get_mut(request);
        held.map(|held| held.hold.state = state).is_some()
    }

    /// Notes a stream's progress; `false` when its hold is gone.
    pub fn set_generated(&mut self, request: &RequestId, generated: u64) -> bool {
        let held = self.holds.get_mut(request);
        held.map(|held| held.hold.generated = Tokens(generated)).is_some()
    }

    /// Extends a hold. The result of a prefill is evicted all the same unless an
    /// export of it is in progress.
    pub fn extend(&mut self, request: &RequestId, ends: Instant) {
        if let Some(held) = self.holds.get_mut(request) {
            held.ends = ends;
        }
    }

    /// Stores the result of a prefill for `life`; `None` when the hold is gone.
    pub fn store_result(
        &mut self,
        request: &RequestId,
        prompt: &Name,
        worked: Tokens,
        life: Duration,
        now: Instant,
    ) -> Option<KvHandle> {
        let held = self.holds.get_mut(request)?;
        held.hold.state = HoldState::Ready;
        held.ends = now + life;
        self.made += 1;
        let kv: KvHandle = format!("kv-{}", self.made).into();
        let stored = StoredResult {
            request: request.clone(),
            prompt: prompt.clone(),
            worked,
            exported: false,
            exports: 0,
            ends: now + life,
        };
        self.results.insert(kv.clone(), stored);
        Some(kv)
    }

    /// Begins an export, which keeps the result as long as the owner extends its
    /// hold; `None` when it has been evicted.
    pub fn begin_export(&mut self, kv: &KvHandle) -> Option<StoredResult> {
        let stored = self.results.get_mut(kv)?;
        stored.exports += 1;
        Some(stored.clone())
    }

    /// Tells whether a result is still there.
    pub fn has_result(&self, kv: &KvHandle) -> bool {
        self.results.contains_key(kv)
    }

    /// Ends an export. Returns the tokens of work that it used for the first time.
    pub fn end_export(&mut self, kv: &KvHandle, whole: bool) -> Tokens {
        let Some(stored) = self.results.get_mut(kv) else {
            return Tokens::default();
        };
        stored.exports -= 1;
        if !whole || std::mem::replace(&mut stored.exported, true) {
            return Tokens::default();
        }
        stored.worked
    }

    /// Forgets a request.
    pub fn remove(&mut self, request: &RequestId) {
        self.holds.remove(request);
        self.results.retain(|_, stored| stored.request != *request);
    }

    /// Evicts what has come to its end.
    pub fn expire(&mut self, now: Instant) {
        self.holds.retain(|_, held| held.ends > now);
        let holds = &mut self.holds;
        self.results.retain(|_, stored| {
            let stays =
                holds.contains_key(&stored.request) && (stored.exports > 0 || stored.ends > now);
            if !stays {
                holds.remove(&stored.request);
            }
            stays
        });
    }
}
