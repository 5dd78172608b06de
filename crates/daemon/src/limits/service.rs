//! The `service` module admits requests under the table's limits and handles the
//! calls of other hosts about them.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::{Host, Name};
use aspenloft_membership::homes::weight;
use aspenloft_policy::concurrency::RENEW_INTERVAL;
use aspenloft_policy::limits::{Draw, SpendOutcome};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::control::{ControlReply, ControlRequest, DrawRequest, LimitKey};
use aspenloft_table::row::{Caller, Row};
use async_std::task;
use log::debug;
use parking_lot::Mutex;

use super::state::{LimitState, Visibility};
use crate::node::Node;
use crate::peers::unexpected_reply;

/// The timeout of a draw of permits. After it the request is refused, or admitted
/// under the host's own share if the home has not answered for the
/// `HOME_ANSWER_TIMEOUT` of `aspenloft_policy::limits`.
const DRAW_TIMEOUT: Duration = Duration::from_millis(200);

/// The retry delay for a caller with too many requests in flight.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Limits` holds a host's shared state of all limits.
#[derive(Debug, Default)]
pub struct Limits {
    state: Mutex<LimitState>,
}

/// `AdmissionGuard` represents one admitted request; dropping it ends the request's
/// count as in flight.
pub struct AdmissionGuard {
    held: Option<(Arc<Node>, LimitKey)>,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some((node, key)) = self.held.take() {
            node.limits.state.lock().remove_in_flight(&key);
        }
    }
}

/// Admits a request of `caller` under the limits of `row`, or refuses it with the
/// delay after which to retry.
pub async fn admit(node: &Arc<Node>, row: &Row, caller: &Caller) -> Result<AdmissionGuard> {
    let key = LimitKey { row: row.name.clone(), caller: caller.name.clone() };
    if row.rate_per_s > 0 {
        spend_permit(node, &key, f64::from(row.rate_per_s)).await?;
    }
    if row.concurrency == 0 {
        return Ok(AdmissionGuard { held: None });
    }
    acquire_in_flight(node, &key, row.concurrency).await?;
    node.limits.state.lock().add_in_flight(&key);
    Ok(AdmissionGuard { held: Some((node.clone(), key)) })
}

async fn spend_permit(node: &Arc<Node>, key: &LimitKey, rate: f64) -> Result<()> {
    let now = node.clock.now();
    let wanted = match node.limits.state.lock().spend(key, true, now) {
        SpendOutcome::Granted => return Ok(()),
        SpendOutcome::Refused(after) => return Err(rate_exceeded(key, after)),
        SpendOutcome::Draw(wanted) => wanted,
    };
    let drawn = draw(node, key, rate, wanted).await;
    let now = node.clock.now();
    let mut state = node.limits.state.lock();
    match drawn {
        Ok(draw) => state.add_permits(key, draw, now),
        Err(e) => {
            debug!("event=draw_unanswered row={} caller={} error=\"{e}\"", key.row, key.caller);
            state.use_fallback_share(key, rate, now);
        }
    }
    match state.spend(key, false, now) {
        SpendOutcome::Granted => Ok(()),
        SpendOutcome::Refused(after) => Err(rate_exceeded(key, after)),
        // Other requests have spent the drawn permits in the meantime.
        SpendOutcome::Draw(_) => Err(rate_exceeded(key, DRAW_TIMEOUT)),
    }
}

fn rate_exceeded(key: &LimitKey, after: Duration) -> Error {
    let message = format!("the rate limit of row {} is exceeded", key.row);
    Error::new(ErrorCode::Limited, message).retry_after(after)
}

/// Draws permits from the agent of this host's data centre.
async fn draw(node: &Arc<Node>, key: &LimitKey, rate: f64, wanted: u32) -> Result<Draw> {
    let agent = agent_of_key(node, key)?;
    if agent.name == node.settings.host {
        return draw_as_agent(node, key, rate, wanted).await;
    }
    let req = DrawRequest { key: key.clone(), wanted };
    request_draw(node, &agent, ControlRequest::DrawFromAgent(req)).await
}

/// Draws permits from the agent's pool on this host, which is refilled from the home.
async fn draw_as_agent(node: &Arc<Node>, key: &LimitKey, rate: f64, wanted: u32) -> Result<Draw> {
    let now = node.clock.now();
    let upstream = {
        let mut state = node.limits.state.lock();
        let permits = state.agent_take(key, wanted, now);
        if permits > 0 {
            return Ok(Draw { permits, retry_after: Duration::ZERO });
        }
        state.agent_upstream(key, wanted, now)
    };
    let upstream = match upstream {
        Ok(upstream) => upstream,
        Err(retry_after) => return Ok(Draw { permits: 0, retry_after }),
    };
    let drawn = draw_from_home(node, key, rate, upstream).await?;
    let now = node.clock.now();
    let mut state = node.limits.state.lock();
    state.agent_add_permits(key, drawn, now);
    let permits = state.agent_take(key, wanted, now);
    Ok(Draw { permits, retry_after: drawn.retry_after })
}

async fn draw_from_home(node: &Arc<Node>, key: &LimitKey, rate: f64, wanted: u32) -> Result<Draw> {
    let home = home_of_key(node, key)?;
    if home.name == node.settings.host {
        let now = node.clock.now();
        return Ok(node.limits.state.lock().home_draw(key, rate, wanted, now));
    }
    let req = DrawRequest { key: key.clone(), wanted };
    request_draw(node, &home, ControlRequest::DrawFromHome(req)).await
}

async fn request_draw(node: &Arc<Node>, host: &Host, req: ControlRequest) -> Result<Draw> {
    match node.peers.call_control(host, req, DRAW_TIMEOUT).await? {
        ControlReply::Drawn { permits, retry_after } => Ok(Draw { permits, retry_after }),
        other => Err(unexpected_reply(&PeerReply::Control(other))),
    }
}

async fn acquire_in_flight(node: &Arc<Node>, key: &LimitKey, limit: u32) -> Result<()> {
    let home = home_of_key(node, key)?;
    let host = node.settings.host.clone();
    let admitted = if home.name == host {
        let now = node.clock.now();
        node.limits.state.lock().acquire(key, &host, limit, now)
    } else {
        match node
            .peers
            .call_control(&home, ControlRequest::Acquire { key: key.clone(), host }, DRAW_TIMEOUT)
            .await
        {
            Ok(ControlReply::Acquired(admitted)) => admitted,
            // While its home is unreachable, a host admits up to its own share.
            _ => {
                let hosts = node.view.listing().hosts.len() as u32;
                node.limits.state.lock().in_flight_count(key) < limit / hosts.max(1)
            }
        }
    };
    if admitted {
        return Ok(());
    }
    let message = format!("the limit of requests in flight of row {} is reached", key.row);
    Err(Error::new(ErrorCode::Limited, message).retry_after(IN_FLIGHT_RETRY_AFTER))
}

/// Handles a call of another host about limits; `None` for any other call.
pub async fn serve(node: &Arc<Node>, req: &ControlRequest) -> Option<Result<ControlReply>> {
    let now = node.clock.now();
    Some(match req {
        ControlRequest::DrawFromAgent(draw) => {
            let rate = rate_of(node, &draw.key);
            let drawn = draw_as_agent(node, &draw.key, rate, draw.wanted).await;
            drawn.map(|d| ControlReply::Drawn { permits: d.permits, retry_after: d.retry_after })
        }
        ControlRequest::DrawFromHome(draw) => {
            let rate = rate_of(node, &draw.key);
            let d = node.limits.state.lock().home_draw(&draw.key, rate, draw.wanted, now);
            Ok(ControlReply::Drawn { permits: d.permits, retry_after: d.retry_after })
        }
        ControlRequest::Acquire { key, host } => {
            let limit = in_flight_limit_of(node, key);
            let admitted = node.limits.state.lock().acquire(key, host, limit, now);
            Ok(ControlReply::Acquired(admitted))
        }
        ControlRequest::Renew { host, held } => {
            node.limits.state.lock().renew(host, held, now);
            Ok(ControlReply::Noted)
        }
        _ => return None,
    })
}

/// Returns the rate of a limit in this host's table, or zero without its row.
fn rate_of(node: &Node, key: &LimitKey) -> f64 {
    row_value(node, key, |row| row.rate_per_s).into()
}

fn in_flight_limit_of(node: &Node, key: &LimitKey) -> u32 {
    row_value(node, key, |row| row.concurrency)
}

fn row_value(node: &Node, key: &LimitKey, value: impl Fn(&Row) -> u32) -> u32 {
    let Ok(table) = node.view.table() else { return 0 };
    table.rows.iter().find(|row| row.name == key.row).map_or(0, value)
}

/// Reports this host's requests in flight to the homes of their limits every
/// `RENEW_INTERVAL`, forever.
pub async fn renew_forever(node: Arc<Node>) {
    loop {
        node.limits.state.lock().set_visibility(visibility(&node));
        task::sleep(RENEW_INTERVAL).await;
        let held = node.limits.state.lock().renewals();
        send_renewals(&node, held).await;
    }
}

/// Counts the hosts that this one knows and those that do not answer.
fn visibility(node: &Node) -> Visibility {
    let members = node.view.members(node.clock.now());
    let not_live = members.iter().filter(|member| !member.live).count();
    Visibility { known: members.len().max(1), not_live }
}

async fn send_renewals(node: &Arc<Node>, held: Vec<(LimitKey, u32)>) {
    let mut by_home: std::collections::BTreeMap<Name, (Host, Vec<(LimitKey, u32)>)> =
        std::collections::BTreeMap::new();
    for (key, count) in held {
        let Ok(home) = home_of_key(node, &key) else { continue };
        let entry = by_home.entry(home.name.clone()).or_insert_with(|| (home, Vec::new()));
        entry.1.push((key, count));
    }
    for (home, held) in by_home.into_values() {
        let req = ControlRequest::Renew { host: node.settings.host.clone(), held };
        // The next renewal replaces a lost one.
        let _ = node.peers.call_control(&home, req, DRAW_TIMEOUT).await;
    }
}

/// Returns the home of a limit, chosen among all live hosts.
fn home_of_key(node: &Node, key: &LimitKey) -> Result<Host> {
    highest_ranked(node, key, |_| true)
}

/// Returns the agent of a limit, chosen among the live hosts of this data centre.
fn agent_of_key(node: &Node, key: &LimitKey) -> Result<Host> {
    highest_ranked(node, key, |host| host.data_centre == node.settings.data_centre)
}

fn highest_ranked(node: &Node, key: &LimitKey, eligible: impl Fn(&Host) -> bool) -> Result<Host> {
    let name = format!("limit/{}/{}", key.row, key.caller);
    let listing = node.view.listing();
    let hosts = listing.hosts.iter().filter(|host| !host.leaving && eligible(host));
    let best = hosts.max_by_key(|host| (weight(&name, &host.name), host.name.clone()));
    best.cloned().ok_or_else(|| Error::new(ErrorCode::Unavailable, "no live host"))
}
