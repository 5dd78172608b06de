//! The `explain` module remembers the last decisions, so that an operator can ask
//! hours later why a request went where it did. Its memory is bounded and the
//! oldest decision is forgotten first; refusals are kept like placements.

use std::collections::{HashMap, VecDeque};

use aspenloft_core::prelude::{Name, RequestId};
use serde::{Deserialize, Serialize};

use crate::route::{Candidate, CostTerms, Decision, Verdict};

/// Attempts of one request that are kept.
const MAX_ATTEMPTS: usize = 8;

/// `CandidateVerdict` is what became of one candidate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateVerdict {
    /// The server.
    pub backend: Name,
    /// The verdict.
    pub verdict: Verdict,
}

/// `RankedPair` is a pair with its cost term by term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankedPair {
    /// The prefill server.
    pub prefill: Name,
    /// The decode server.
    pub decode: Name,
    /// The cost in seconds.
    pub total: f64,
    /// Its terms.
    pub terms: CostTerms,
}

/// `Attempt` is one choice made for a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// Every candidate's verdict.
    pub candidates: Vec<CandidateVerdict>,
    /// The ranked pairs, best first.
    pub ranked: Vec<RankedPair>,
}

impl Attempt {
    /// Describes a decision about `candidates`.
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

/// `Explanation` is all that was decided for one request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The choices, in order.
    pub attempts: Vec<Attempt>,
    /// What happened, in order: reservations, refusals, moves, resumes.
    pub events: Vec<Name>,
    /// The final decision.
    pub outcome: Option<Name>,
}

/// `Explanations` remembers the last explanations.
#[derive(Debug)]
pub struct Explanations {
    capacity: usize,
    order: VecDeque<RequestId>,
    known: HashMap<RequestId, Explanation>,
}

impl Explanations {
    /// Creates a memory of at most `capacity` requests.
    pub fn new(capacity: usize) -> Explanations {
        Explanations { capacity, order: VecDeque::new(), known: HashMap::new() }
    }

    /// Adds a choice.
    pub fn record_attempt(&mut self, request: &RequestId, attempt: Attempt) {
        let known = self.entry(request);
        if known.attempts.len() < MAX_ATTEMPTS {
            known.attempts.push(attempt);
        }
    }

    /// Adds an event.
    pub fn record_event(&mut self, request: &RequestId, event: impl Into<Name>) {
        let known = self.entry(request);
        if known.events.len() < MAX_ATTEMPTS * 4 {
            known.events.push(event.into());
        }
    }

    /// Sets the final decision.
    pub fn set_outcome(&mut self, request: &RequestId, outcome: impl Into<Name>) {
        self.entry(request).outcome = Some(outcome.into());
    }

    /// Finds what was decided for a request.
    pub fn get(&self, request: &RequestId) -> Option<&Explanation> {
        self.known.get(request)
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn entry(&mut self, request: &RequestId) -> &mut Explanation {
        if !self.known.contains_key(request) {
            while self.order.len() >= self.capacity.max(1) {
                if let Some(oldest) = self.order.pop_front() {
                    self.known.remove(&oldest);
                }
            }
            self.order.push_back(request.clone());
        }
        self.known.entry(request.clone()).or_default()
    }
}
