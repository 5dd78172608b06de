//! The `claims` module records which requests this host executes on which engine.
//! The sweep compares the list of holds of an engine with it.
//!
//! A claim is inserted before the first command is sent to the engine and removed
//! after the cancellation. A new claim for the same request waits for that removal,
//! because a late cancellation would otherwise cancel the new attempt.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_core::prelude::{Backend, Name, RequestId};
use aspenloft_core::suspects::Fingerprint;
use aspenloft_protocol::engine::{CancelCommand, EngineClient, ModelEngine};
use async_std::task;
use parking_lot::Mutex;

/// Attempts to cancel a request; after that the next sweep cancels it.
const CANCEL_ATTEMPTS: u32 = 2;

/// How long a new claim waits for an earlier claim of the same request to end.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval between two checks during that wait.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// `Stage` is the state of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Live(Fingerprint),
    Cancelling,
}

/// `Claims` holds all claims of this host, by backend server.
#[derive(Debug, Default)]
pub struct Claims {
    stages: Mutex<HashMap<Name, HashMap<RequestId, Stage>>>,
}

impl Claims {
    /// Claims `request` on `backend`.
    pub async fn claim(
        self: &Arc<Self>,
        backend: &Backend,
        request: &RequestId,
        fingerprint: Fingerprint,
    ) -> Result<Claim> {
        let polls = CLAIM_TIMEOUT.as_millis() / CLAIM_POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if self.insert(&backend.name, request, Stage::Live(fingerprint)) {
                return Ok(Claim {
                    claims: self.clone(),
                    backend: backend.clone(),
                    request: request.clone(),
                    finished: false,
                });
            }
            task::sleep(CLAIM_POLL_INTERVAL).await;
        }
        Err(unavailable("an earlier attempt of the request is still being cancelled"))
    }

    /// Cancels `request` on `backend` unless this host has claimed it.
    pub fn cancel_unclaimed(self: &Arc<Self>, backend: &Backend, request: &RequestId) {
        if self.insert(&backend.name, request, Stage::Cancelling) {
            task::spawn(cancel(self.clone(), backend.clone(), request.clone()));
        }
    }

    /// Returns the requests that this host executes or cancels on `backend`.
    pub fn requests_on(&self, backend: &str) -> Vec<RequestId> {
        let stages = self.stages.lock();
        stages.get(backend).map(|claims| claims.keys().cloned().collect()).unwrap_or_default()
    }

    /// Returns the requests that this host executes on `backend`.
    pub fn running(&self, backend: &str) -> Vec<(RequestId, Fingerprint)> {
        let stages = self.stages.lock();
        let claims = stages.get(backend).into_iter().flatten();
        let live = claims.filter_map(|(request, stage)| match stage {
            Stage::Live(fingerprint) => Some((request.clone(), *fingerprint)),
            Stage::Cancelling => None,
        });
        live.collect()
    }

    /// Returns the live claims of each backend server.
    pub fn live(&self) -> Vec<(Name, Vec<RequestId>)> {
        let stages = self.stages.lock();
        let live = stages.iter().map(|(backend, claims)| {
            let live = claims.iter().filter(|(_, stage)| matches!(stage, Stage::Live(_)));
            (backend.clone(), live.map(|(request, _)| request.clone()).collect())
        });
        live.filter(|(_, claims): &(Name, Vec<RequestId>)| !claims.is_empty()).collect()
    }

    fn insert(&self, backend: &Name, request: &RequestId, stage: Stage) -> bool {
        let mut stages = self.stages.lock();
        let claims = stages.entry(backend.clone()).or_default();
        if claims.contains_key(request) {
            return false;
        }
        claims.insert(request.clone(), stage);
        true
    }

    fn set_cancelling(&self, backend: &str, request: &RequestId) {
        let mut stages = self.stages.lock();
        if let Some(stage) = stages.get_mut(backend).and_then(|claims| claims.get_mut(request)) {
            *stage = Stage::Cancelling;
        }
    }

    fn remove(&self, backend: &str, request: &RequestId) {
        let mut stages = self.stages.lock();
        if let Some(claims) = stages.get_mut(backend) {
            claims.remove(request);
            if claims.is_empty() {
                stages.remove(backend);
            }
        }
    }
}

/// `Claim` marks a request as executed by this host on an engine. Dropping it
/// cancels the request there.
#[derive(Debug)]
pub struct Claim {
    claims: Arc<Claims>,
    backend: Backend,
    request: RequestId,
    finished: bool,
}

impl Claim {
    /// Ends the claim without a cancellation, because the engine has already dropped
    /// the request.
    pub fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        if self.finished {
            self.claims.remove(&self.backend.name, &self.request);
            return;
        }
        self.claims.set_cancelling(&self.backend.name, &self.request);
        task::spawn(cancel(self.claims.clone(), self.backend.clone(), self.request.clone()));
    }
}

async fn cancel(claims: Arc<Claims>, backend: Backend, request: RequestId) {
    let engine = EngineClient::new(backend.addr);
    let command = CancelCommand { request: request.clone() };
    let mut cancelled = false;
    for _ in 0..CANCEL_ATTEMPTS {
        cancelled = engine.cancel(&command).await.is_ok();
        if cancelled {
            break;
        }
    }
    claims.remove(&backend.name, &request);
    if !cancelled {
        log::warn!(event = "cancel_failed", request = request.as_str(), backend = &*backend.name; "");
    }
}
