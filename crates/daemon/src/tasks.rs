//! The `tasks` module starts the background loops of limits, suspects and service
//! levels.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::prelude::{Backend, BackendRole, BackendState, Name};
use async_std::task;

use crate::levels::history;
use crate::limits::service as limits;
use crate::node::Node;
use crate::suspects;

/// How often a host checks for backend servers that have become slow.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum age of a published state that is used to rate a server's pace.
const MAX_STATE_AGE: Duration = Duration::from_secs(3);

/// Spawns the loops, which run until the process exits.
pub fn start(node: &Arc<Node>) {
    task::spawn(limits::renew_forever(node.clone()));
    task::spawn(history::write_forever(node.clone()));
    task::spawn(detect_slow_servers(node.clone()));
    let starting = node.clone();
    task::spawn(async move { suspects::fetch_verdicts(&starting).await });
}

/// Detects servers that have become slow and logs each one when it is first found.
async fn detect_slow_servers(node: Arc<Node>) {
    let mut known: Vec<Name> = Vec::new();
    loop {
        task::sleep(CHECK_INTERVAL).await;
        record_paces(&node);
        let found = node.levels.slow_servers(node.clock.now());
        for slow in found.iter().filter(|slow| !known.contains(&slow.server)) {
            log::warn!(
                event = "server_declines", server = &*slow.server, ratio = slow.ratio; ""
            );
        }
        known = found.into_iter().map(|slow| slow.server).collect();
    }
}

/// Records the paces from the states that the homes have published recently.
fn record_paces(node: &Node) {
    let now = node.clock.now();
    for backend in &node.view.listing().backends {
        let Some((state, age)) = node.view.state_of(&backend.name, now) else { continue };
        let Some((pace, load)) = pace_of(backend, &state) else { continue };
        if age > MAX_STATE_AGE {
            continue;
        }
        let group: Name = format!("{}/{}", backend.role, backend.serves).into();
        node.levels.record_pace(&backend.name, &group, pace.as_secs_f64(), load, now);
        if node.view.home(backend).is_ok_and(|home| home.name == node.settings.host) {
            node.levels.record_pace_for_history(&backend.name, pace);
        }
    }
}

/// Returns a server's pace, which is its time per prefill token or per decode step,
/// and its load as a fraction of its slots, or `None` if it has done no work yet.
fn pace_of(backend: &Backend, state: &BackendState) -> Option<(Duration, f64)> {
    let (pace, load) = match backend.role {
        BackendRole::Prefill => (state.prefill_per_token, 0.0),
        _ => (state.step, f64::from(state.taken) / f64::from(state.slots.max(1))),
    };
    (!pace.is_zero()).then_some((pace, load))
}
