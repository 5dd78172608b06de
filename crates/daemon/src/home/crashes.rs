//! The `crashes` module finds out whether a backend server died when a call to it
//! broke off, and if so, which requests it was running; see
//! `docs/design/suspects.md`.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Backend, Name, RequestId};
use aspenloft_core::standing::{Fingerprint, Standing};
use aspenloft_protocol::engine::ModelEngine;
use async_std::task::{self, JoinHandle};
use futures::FutureExt;
use futures::future::Shared;
use parking_lot::Mutex;

use super::service::engine_client;
use crate::node::Node;
use crate::suspects;

/// `CrashChecks` holds the inquests that are under way, one for each backend server.
#[derive(Default)]
pub struct CrashChecks {
    running_checks: Mutex<HashMap<Name, Shared<JoinHandle<()>>>>,
    /// Servers that died and have not answered since. What fails on them then is the
    /// same death and must not count again.
    dead: Mutex<HashSet<Name>>,
}

impl CrashChecks {
    /// Notes that a server answers.
    pub fn record_alive(&self, backend: &str) {
        self.dead.lock().remove(backend);
    }
}

/// Waits until it is known whether `backend` has died and, if so, until all hosts
/// have been told of the suspects. The caller still holds its claim, so that the
/// requests that ran are known.
pub async fn check_after_error(node: &Arc<Node>, backend: &Backend, e: &Error) {
    // A server that refuses a connection ran nothing of this call.
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
        let begin = || task::spawn(run_check(node.clone(), backend.clone(), running)).shared();
        running_checks.entry(backend.name.clone()).or_insert_with(begin).clone()
    };
    check.await;
}

/// Makes sure that `backend` lives before a suspect runs on it, so that a server that
/// had died before does not count against the request.
pub async fn ensure_alive(
    node: &Arc<Node>,
    backend: &Backend,
    fingerprint: Fingerprint,
) -> Result<()> {
    if suspects::standing(node, fingerprint) != Standing::Suspect {
        return Ok(());
    }
    let answered = engine_client(backend).holds().await;
    answered.map(|_| ()).map_err(|e| {
        node.home.record_failure(backend, &e);
        // Nothing of the request has been sent.
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

/// A server that answers and still holds some of what it ran has not died; only
/// connections to it broke.
async fn has_died(backend: &Backend, running: &[(RequestId, Fingerprint)]) -> bool {
    match engine_client(backend).holds().await {
        Ok(holds) => {
            !holds.iter().any(|hold| running.iter().any(|(request, _)| *request == hold.request))
        }
        Err(_) => true,
    }
}
