//! The oracle: it counts executions by key and checks each word against them.

use std::collections::{HashMap, HashSet};

use aspenloft_core::prelude::Execution;
use aspenloft_ledger::digest::KeyDigest;
use aspenloft_ledger::shard::event::{CallId, CallResult};

#[derive(Debug, Default)]
pub struct Oracle {
    /// Which calls ran, by key.
    ran: HashMap<KeyDigest, Vec<CallId>>,
    /// The calls that were handed to a sender, by key.
    pub handed: HashSet<KeyDigest>,
    /// Keys whose intent has stood in the head.
    pub intended: HashSet<KeyDigest>,
    not_run: HashSet<CallId>,
    answered: HashSet<CallId>,
    pub words: HashMap<&'static str, u64>,
}

impl Oracle {
    /// Notes that a backend server runs `call`; returns the body of its answer.
    pub fn run(&mut self, key: KeyDigest, call: CallId) -> Result<Vec<u8>, String> {
        let ran = self.ran.entry(key).or_default();
        ran.push(call);
        if ran.len() > 1 {
            return Err(format!("key {key} ran for calls {ran:?}"));
        }
        if self.not_run.contains(&call) {
            return Err(format!("call {call} ran after its caller was told that it had not"));
        }
        Ok(call.to_string().into_bytes())
    }

    /// Checks the word that `call` was given.
    pub fn check(
        &mut self,
        key: KeyDigest,
        call: CallId,
        verdict: &CallResult,
    ) -> Result<(), String> {
        if !self.answered.insert(call) {
            return Err(format!("call {call} was answered twice"));
        }
        let ran = self.ran.get(&key).map_or(&[][..], |ran| ran);
        let (word, holds) = match verdict {
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
        *self.words.entry(word).or_default() += 1;
        if holds { Ok(()) } else { Err(format!("call {call} was told {verdict:?}; ran: {ran:?}")) }
    }

    /// Returns how many keys ran.
    pub fn keys_run(&self) -> usize {
        self.ran.len()
    }
}
