//! The `sweep` module runs a periodic task over the engines whose home this host is:
//! it extends the requests that this host executes, cancels those that no host
//! executes, and reads load and cache events.
//!
//! See "No engine memory for a caller who has gone" in `docs/PROMISES.md`.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Backend, BackendRole, Name, RequestId};
use aspenloft_policy::cache_index::ApplyOutcome;
use aspenloft_protocol::engine::{EventsQuery, ExtendCommand, Hold, ModelEngine};
use async_std::task;
use parking_lot::Mutex;

use super::service::{ENGINE_HOLD_TTL, engine_client, is_engine, occupies_slot};
use crate::node::Node;

/// The interval at which the engines are swept and running requests are extended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(400);

/// The number of sweeps for each reading of load and cache events.
const SWEEPS_PER_LOAD_READ: u64 = 2;

/// How long requests of a host that is no longer listed are kept, because the list
/// may be wrong for a short time.
const ORPHAN_GRACE: Duration = Duration::from_millis(500);

/// The maximum number of orphans whose age is tracked; further ones are cancelled without
/// the grace period.
const MAX_ORPHANS: usize = 10_000;

/// `SweepState` is the state that the sweeps of all engines share.
#[derive(Debug, Default)]
struct SweepState {
    /// Engines whose last sweep has not finished.
    busy: HashSet<Name>,
    orphans: HashMap<(Name, RequestId), Instant>,
}

/// Sweeps the engines every `SWEEP_INTERVAL`, forever.
pub async fn run(node: Arc<Node>) {
    let sweep: Arc<Mutex<SweepState>> = Arc::default();
    let mut sweep_number = 0;
    loop {
        extend_claims(&node);
        let engines = managed_engines(&node);
        let names: HashSet<Name> = engines.iter().map(|backend| backend.name.clone()).collect();
        node.home.retain(|name| names.contains(name));
        for backend in engines {
            spawn_sweep(&node, &sweep, backend, sweep_number % SWEEPS_PER_LOAD_READ == 0);
        }
        sweep_number += 1;
        task::sleep(SWEEP_INTERVAL).await;
    }
}

/// Returns the engines whose home this host is.
fn managed_engines(node: &Node) -> Vec<Backend> {
    let listing = node.view.listing();
    let me = &node.view.me().name;
    let managed = listing.backends.iter().filter(|backend| {
        is_engine(backend) && node.view.home(backend).is_ok_and(|home| home.name == *me)
    });
    managed.cloned().collect()
}

/// Extends all running requests of this host, also on engines whose home it no longer
/// is.
fn extend_claims(node: &Arc<Node>) {
    for (name, requests) in node.home.claims.live() {
        let Ok(backend) = node.view.backend(&name) else { continue };
        task::spawn(async move {
            let command = ExtendCommand { requests, hold: ENGINE_HOLD_TTL };
            // After a failure the next sweep extends the requests again.
            let _ = engine_client(&backend).extend(&command).await;
        });
    }
}

fn spawn_sweep(node: &Arc<Node>, sweep: &Arc<Mutex<SweepState>>, backend: Backend, load: bool) {
    if !sweep.lock().busy.insert(backend.name.clone()) {
        return;
    }
    let (node, sweep) = (node.clone(), sweep.clone());
    task::spawn(async move {
        if let Err(e) = sweep_engine(&node, &sweep, &backend, load).await {
            node.home.record_failure(&backend, &e);
        }
        sweep.lock().busy.remove(&backend.name);
    });
}

async fn sweep_engine(
    node: &Arc<Node>,
    sweep: &Mutex<SweepState>,
    backend: &Backend,
    load: bool,
) -> Result<()> {
    let counts_known = node.home.with_tracker(&backend.name, |tracker| tracker.counts_known);
    if load || !counts_known {
        node.home.refresh_slots(backend).await?;
    }
    let holds = engine_client(backend).holds().await?;
    node.home.crashes.record_alive(&backend.name);
    // The claims are read after the holds: a claim precedes its hold, so an unclaimed
    // hold cannot be one that has just been created.
    let claimed: HashSet<RequestId> =
        node.home.claims.requests_on(&backend.name).into_iter().collect();
    let unclaimed = holds.iter().filter(|hold| !claimed.contains(&hold.request));
    let mut external = 0;
    for hold in unclaimed {
        if is_orphan(node, sweep, backend, hold) {
            node.home.claims.cancel_unclaimed(backend, &hold.request);
        } else if occupies_slot(hold.state) {
            external += 1;
        }
    }
    node.home.with_tracker(&backend.name, |tracker| tracker.set_external_slots(external));
    node.home.publish(backend);
    if load && backend.role == BackendRole::Prefill {
        update_cache_index(node, backend).await?;
    }
    Ok(())
}

/// Returns whether to cancel a hold that this host has not claimed. Holds of another
/// listed host are left to that host; they expire if it does not extend them.
fn is_orphan(node: &Node, sweep: &Mutex<SweepState>, backend: &Backend, hold: &Hold) -> bool {
    if hold.owner == node.view.me().name {
        return true;
    }
    let key = (backend.name.clone(), hold.request.clone());
    let owner_listed = node.view.listing().hosts.iter().any(|host| host.name == hold.owner);
    let mut sweep = sweep.lock();
    if owner_listed {
        sweep.orphans.remove(&key);
        return false;
    }
    let now = node.clock.now();
    sweep.orphans.retain(|_, since| now.duration_since(*since) < ENGINE_HOLD_TTL * 4);
    if sweep.orphans.len() >= MAX_ORPHANS {
        return true;
    }
    let since = *sweep.orphans.entry(key).or_insert(now);
    now.duration_since(since) >= ORPHAN_GRACE
}

/// Updates the cache index with the engine's events, or with its snapshot if events
/// were lost.
async fn update_cache_index(node: &Node, backend: &Backend) -> Result<()> {
    let (after, out_of_sync) = node.router.cache.lock().sync_progress(&backend.name);
    if out_of_sync {
        let snapshot = engine_client(backend).snapshot().await?;
        node.router.cache.lock().snapshot(&backend.name, snapshot.seq, snapshot.pieces);
        return Ok(());
    }
    let events = engine_client(backend).events(EventsQuery { after }).await?;
    let mut cache = node.router.cache.lock();
    for event in &events.events {
        if cache.apply(&backend.name, event.seq, event.piece, event.stored) == ApplyOutcome::Gap {
            break;
        }
    }
    cache.observe_newest(&backend.name, events.newest);
    Ok(())
}
