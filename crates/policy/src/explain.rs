//! The `explain` module records recent decisions, so that an operator can find out
//! hours later why a request was placed where it was. The store is bounded and evicts
//! the oldest request first; refusals are kept like placements.

use std::collections::{HashMap, VecDeque};

use aspenloft_core::prelude::{Name, RequestId};
use serde::{Deserialize, Serialize};

use crate::route::{Candidate, CostTerms, Decision, Verdict};

/// The most attempts that are kept for one request.
const MAX_ATTEMPTS: usize = 8;

/// `CandidateVerdict` is the routing verdict on one candidate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateVerdict {
    /// The candidate's backend server.
    pub backend: Name,
    /// Whether it was excluded, scored or ranked.
    pub verdict: Verdict,
}

/// `RankedPair` is a pair of servers with its cost, split into terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankedPair {
    /// The prefill server.
    pub prefill: Name,
    /// The decode server.
    pub decode: Name,
    /// The cost in seconds.
    pub total: f64,
    /// The terms of which the cost is made up.
    pub terms: CostTerms,
}

/// `Attempt` is one routing decision for a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The verdict on each candidate.
    pub candidates: Vec<CandidateVerdict>,
    /// The ranked pairs, best first.
    pub ranked: Vec<RankedPair>,
}

impl Attempt {
    /// Creates the record of a decision about `candidates`.
    pub fn new(candidates: &[Candidate], decision: &Decision) -> Attempt {
        let verdicts = candidates.iter().zip(&decision.verdicts);
        let ranked = decision.pairs.iter().map(|pair| RankedPair {
            prefill: candidates[pair.prefill].name.clone(),
            decode: candidates[pair.decode].name.clone(),
            total: pair.terms.total(),
            terms: pair.terms,
        });
        Attempt {
            candidates: verdicts
                .map(|(candidate, verdict)| CandidateVerdict {
                    backend: candidate.name.clone(),
                    verdict: *verdict,
                })
                .collect(),
            ranked: ranked.collect(),
        }
    }
}

/// `Explanation` holds all decisions made for one request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The routing decisions, in order.
    pub attempts: Vec<Attempt>,
    /// The events, in order: reservations, refusals, moves and resumes.
    pub events: Vec<Name>,
    /// How the request ended, once it has.
    pub outcome: Option<Name>,
}

/// `Explanations` is a bounded store of the latest explanations.
#[derive(Debug)]
pub struct Explanations {
    capacity: usize,
    order: VecDeque<RequestId>,
    entries: HashMap<RequestId, Explanation>,
}

impl Explanations {
    /// Creates a store of at most `capacity` requests.
    pub fn new(capacity: usize) -> Explanations {
        Explanations { capacity, order: VecDeque::new(), entries: HashMap::new() }
    }

    /// Appends an attempt, up to a bound for each request.
    pub fn record_attempt(&mut self, request: &RequestId, attempt: Attempt) {
        let explanation = self.entry(request);
        if explanation.attempts.len() < MAX_ATTEMPTS {
            explanation.attempts.push(attempt);
        }
    }

    /// Appends an event, up to a bound for each request.
    pub fn record_event(&mut self, request: &RequestId, event: impl Into<Name>) {
        let explanation = self.entry(request);
        if explanation.events.len() < MAX_ATTEMPTS * 4 {
            explanation.events.push(event.into());
        }
    }

    /// Sets how the request ended.
    pub fn set_outcome(&mut self, request: &RequestId, outcome: impl Into<Name>) {
        self.entry(request).outcome = Some(outcome.into());
    }

    /// Returns the explanation of a request, if it is still stored.
    pub fn get(&self, request: &RequestId) -> Option<&Explanation> {
        self.entries.get(request)
    }

    /// Returns the number of stored requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the store is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn entry(&mut self, request: &RequestId) -> &mut Explanation {
        if !self.entries.contains_key(request) {
            while self.order.len() >= self.capacity.max(1) {
                if let Some(oldest) = self.order.pop_front() {
                    self.entries.remove(&oldest);
                }
            }
            self.order.push_back(request.clone());
        }
        self.entries.entry(request.clone()).or_default()
    }
}
