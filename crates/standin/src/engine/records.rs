//! The `records` module notes all that an engine ever ran, so that a test can
//! check each "not run" against it. A crash does not clear it.

use std::collections::{BTreeMap, BTreeSet};

use aspenloft_core::prelude::{RequestId, Tokens};
use aspenloft_protocol::engine::Order;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// `EngineRecords` is what an engine ran. It grows with each request, which a
/// test's length bounds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Requests whose prefill began.
    pub prefilled: BTreeSet<RequestId>,
    /// Requests whose decode made a token.
    pub decoded: BTreeSet<RequestId>,
    /// How often each prompt's prefill or decode began, by [`prompt_hash`].
    pub prompts: BTreeMap<u64, u64>,
    /// Prompt tokens for which prefill work was done, cached ones left out.
    pub prefill_tokens: Tokens,
    /// Of those, the tokens of results that were exported whole at least once.
    pub exported_tokens: Tokens,
    /// Tokens generated.
    pub generated_tokens: Tokens,
    /// Orders that came, and whether each was obeyed.
    pub orders: Vec<OrderRecord>,
    /// How often the engine crashed.
    pub crashes: u64,
}

/// `OrderRecord` is one order with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order.
    pub order: Order,
    /// Whether the engine carried it out.
    pub obeyed: bool,
}

/// Returns the mark under which a prompt is recorded.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

impl EngineRecords {
    /// Tells whether any part of `request` was run.
    pub fn has_run(&self, request: &RequestId) -> bool {
        self.prefilled.contains(request) || self.decoded.contains(request)
    }

    /// Tells how often work for `prompt` began.
    pub fn runs_of_prompt(&self, prompt: &str) -> u64 {
        self.prompts.get(&prompt_hash(prompt)).copied().unwrap_or_default()
    }

    /// Returns the prompt tokens whose work was never used.
    pub fn wasted_tokens(&self) -> Tokens {
        self.prefill_tokens.saturating_sub(self.exported_tokens)
    }

    pub(super) fn begin_prefill(&mut self, request: &RequestId, prompt: &str) {
        self.prefilled.insert(request.clone());
        *self.prompts.entry(prompt_hash(prompt)).or_default() += 1;
    }

    pub(super) fn begin_decode(&mut self, request: &RequestId, prompt: &str) {
        self.decoded.insert(request.clone());
        *self.prompts.entry(prompt_hash(prompt)).or_default() += 1;
    }
}
