//! The `crashes` module determines whether a backend server crashed when a call to
//! it failed, and which requests it was executing; see `docs/design/suspects.md`.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Name, RequestId};
use aspenloft_core::suspects::{Fingerprint, SuspectStatus};
use aspenloft_protocol::engine::ModelEngine;
use async_std::task::{self, JoinHandle};
use futures::FutureExt;
use futures::future::Shared;
use parking_lot::Mutex;

use super::service::engine_client;
use crate::node::Node;
use crate::suspects;

/// `CrashChecks` holds the running checks, at most one for each backend server.
#[derive(Default)]
pub struct CrashChecks {
    running_checks: Mutex<HashMap<Name, Shared<JoinHandle<()>>>>,
    /// Servers that crashed and have not answered since. Further failures on them
    /// belong to the same crash and must not count as another.
    dead: Mutex<HashSet<Name>>,
}

impl CrashChecks {
    /// Records that a server answered, so that its next failure counts again.
    pub fn record_alive(&self, backend: &str) {
        self.dead.lock().remove(backend);
    }
}

/// Checks after a failed call whether `backend` crashed. If it did, waits until the
/// other hosts have been informed of the suspects. The caller must still hold its
/// claim, so that its request counts as running.
pub async fn check_after_error(node: &Arc<Node>, backend: &Backend, e: &Error) {
    // With a refused connection the server executed nothing of this call.
    if e.code != ErrorCode::Unavailable || e.execution == Execution::NotRun {
        return;
    }
    let check = {
        let mut running_checks = node.home.crashes.running_checks.lock();
        let already_running = running_checks.contains_key(&backend.name);
        if !already_running && node.home.crashes.dead.lock().contains(&backend.name) {
            return;
        }
        let running = node.home.claims.running(&backend.name);
        let start_check =
            || task::spawn(run_check(node.clone(), backend.clone(), running)).shared();
        running_checks.entry(backend.name.clone()).or_insert_with(start_check).clone()
    };
    check.await;
}

/// Checks that `backend` answers before a suspect is sent to it, so that an earlier
/// crash of the server is not attributed to the request.
pub async fn ensure_alive(
    node: &Arc<Node>,
    backend: &Backend,
    fingerprint: Fingerprint,
) -> Result<()> {
    if suspects::status(node, fingerprint) != SuspectStatus::Suspect {
        return Ok(());
    }
    let answered = engine_client(backend).holds().await;
    answered.map(|_| ()).map_err(|e| {
        node.home.record_failure(backend, &e);
        // The request has not been sent.
        e.execution(Execution::NotRun)
    })
}

async fn run_check(node: Arc<Node>, backend: Backend, running: Vec<(RequestId, Fingerprint)>) {
    if has_died(&backend, &running).await {
        node.home.crashes.dead.lock().insert(backend.name.clone());
        let fingerprints: Vec<Fingerprint> = running.into_iter().map(|(_, f)| f).collect();
        suspects::server_died(&node, &backend.name, &fingerprints).await;
    }
    node.home.crashes.running_checks.lock().remove(&backend.name);
}

/// Returns whether the server crashed. A server that answers and still holds one of
/// the running requests did not; only connections to it failed.
async fn has_died(backend: &Backend, running: &[(RequestId, Fingerprint)]) -> bool {
    match engine_client(backend).holds().await {
        Ok(holds) => {
            !holds.iter().any(|hold| running.iter().any(|(request, _)| *request == hold.request))
        }
        Err(_) => true,
    }
}
