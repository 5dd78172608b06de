//! The `oracle` module records the executions of each key and checks the result of
//! each call against them.

use std::collections::{HashMap, HashSet};

use aspenloft_core::prelude::Execution;
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::shard::event::{CallId, CallResult};

#[derive(Debug, Default)]
pub struct Oracle {
    /// The calls that ran, by key.
    ran: HashMap<KeyDigest, Vec<CallId>>,
    /// The keys of which a call was passed to a sender.
    pub sent: HashSet<KeyDigest>,
    /// The keys whose intent was committed to the head at some time.
    pub intended: HashSet<KeyDigest>,
    not_run: HashSet<CallId>,
    answered: HashSet<CallId>,
    pub results: HashMap<&'static str, u64>,
}

impl Oracle {
    /// Records that a backend server runs `call`; returns the body of its answer.
    pub fn run(&mut self, key: KeyDigest, call: CallId) -> Result<Vec<u8>, String> {
        let ran = self.ran.entry(key).or_default();
        ran.push(call);
        if ran.len() > 1 {
            return Err(format!("key {key} ran for calls {ran:?}"));
        }
        if self.not_run.contains(&call) {
            return Err(format!("call {call} ran after it was reported as not run"));
        }
        Ok(call.to_string().into_bytes())
    }

    /// Checks the result of `call`.
    pub fn check(
        &mut self,
        key: KeyDigest,
        call: CallId,
        result: &CallResult,
    ) -> Result<(), String> {
        if !self.answered.insert(call) {
            return Err(format!("call {call} was answered twice"));
        }
        let ran = self.ran.get(&key).map_or(&[][..], |ran| ran);
        let (kind, consistent) = match result {
            CallResult::Answer(answer) => {
                let first = ran.first().map(|call| call.to_string().into_bytes());
                ("answer", first.is_some_and(|body| answer.body.starts_with(&body)))
            }
            CallResult::Redirect(_) => {
                self.not_run.insert(call);
                ("redirect", !ran.contains(&call))
            }
            CallResult::Failed(e) => match e.execution {
                Execution::NotRun => {
                    self.not_run.insert(call);
                    ("not_run", !ran.contains(&call))
                }
                Execution::Run => ("run", !ran.is_empty()),
                Execution::Unknown => ("unknown", self.intended.contains(&key)),
            },
        };
        *self.results.entry(kind).or_default() += 1;
        if consistent { Ok(()) } else { Err(format!("call {call} got {result:?}; ran: {ran:?}")) }
    }

    /// Returns the number of keys of which a call ran.
    pub fn keys_run(&self) -> usize {
        self.ran.len()
    }
}
