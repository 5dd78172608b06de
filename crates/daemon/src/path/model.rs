//! The `model` module is the path of a model request: choose engines, reserve a
//! decode slot, run the prefill, hand its result over, relay the tokens.
//!
//! Each step holds a guard, so that dropping the future undoes what was done.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::{Backend, BackendRole, Host, Name, RequestId, ReservationId, Tokens};
use aspenloft_core::units::estimate_tokens;
use aspenloft_protocol::engine::{FinishReason, PrefillResult, Token};
use aspenloft_protocol::peer::home::{
    HomeDecode, HomePrefill, HomeReply, HomeRequest, ReserveRequest,
};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_table::row::Row;
use async_std::channel::Sender;

use crate::cleanup::OnDrop;
use crate::node::Node;
use crate::peers::{Call, unexpected};

/// When a refused caller should come back.
const COME_BACK: Duration = Duration::from_secs(1);

/// `ModelRequest` is a caller's request for a model.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// The request's id.
    pub id: RequestId,
    /// The row that it uses.
    pub row: Arc<Row>,
    /// The prompt.
    pub prompt: Name,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
}

/// `ModelEvent` is one event of the answer to a model request.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelEvent {
    /// Tokens in order.
    Tokens(Vec<Token>),
    /// The answer is whole.
    Finished(FinishReason),
}

/// `Room` is a slot on a backend server, given back when dropped.
struct Room {
    backend: Backend,
    home: Host,
    id: ReservationId,
    guard: OnDrop,
}

/// Runs a model request and puts its answer into `tx`.
pub async fn run(node: &Arc<Node>, req: &ModelRequest, tx: &Sender<ModelEvent>) -> Result<()> {
    let decode = reserve_any(node, req, BackendRole::Decode).await?;
    let prefill = reserve_any(node, req, BackendRole::Prefill).await?;
    let (result, call) = run_prefill(node, req, &prefill).await?;
    prefill.guard.disarm();
    relay(node, req, decode, &prefill.backend, result, call, tx).await
}

/// Reserves a slot on the first backend server of the role that has one.
async fn reserve_any(node: &Arc<Node>, req: &ModelRequest, role: BackendRole) -> Result<Room> {
    let mut candidates = node.view.backends(role, &req.row.serves);
    node.shuffle(&mut candidates);
    for backend in candidates {
        if let Ok(Some(room)) = reserve(node, req, backend).await {
            return Ok(room);
        }
    }
    let message = format!("no {role} server of {} has room", req.row.serves);
    Err(Error::new(ErrorCode::Overloaded, message).retry_after(COME_BACK))
}

async fn reserve(node: &Arc<Node>, req: &ModelRequest, backend: Backend) -> Result<Option<Room>> {
    let home = node.view.home(&backend)?;
    let ask = HomeRequest::Reserve(ReserveRequest {
        request: req.id.clone(),
        backend: backend.name.clone(),
        row: req.row.name.clone(),
        prompt_tokens: estimate_tokens(req.prompt.len()),
        max_tokens: req.max_tokens,
        priority: req.row.priority,
        starts_in: Duration::ZERO,
    });
    match node.peers.ask(&home, PeerRequest::Home(ask)).await? {
        PeerReply::Home(HomeReply::Reserved(id)) => {
            let guard = release_on_drop(node, &home, &backend.name, id);
            Ok(Some(Room { backend, home, id, guard }))
        }
        PeerReply::Home(HomeReply::Refused(_)) => Ok(None),
        other => Err(unexpected(&other)),
    }
}

fn release_on_drop(node: &Arc<Node>, home: &Host, backend: &Name, id: ReservationId) -> OnDrop {
    let node = node.clone();
    let home = home.clone();
    let release = HomeRequest::Release { backend: backend.clone(), reservation: id };
    OnDrop::new(async move {
        // A lost release lapses by itself at the home.
        let _ = node.peers.ask(&home, PeerRequest::Home(release)).await;
    })
}

/// Runs the prefill. The returned call holds the result on its engine.
async fn run_prefill(
    node: &Arc<Node>,
    req: &ModelRequest,
    room: &Room,
) -> Result<(PrefillResult, Call)> {
    let ask = HomeRequest::Prefill(HomePrefill {
        request: req.id.clone(),
        backend: room.backend.name.clone(),
        reservation: room.id,
        prompt: req.prompt.clone(),
        priority: req.row.priority,
        limit: req.row.ttft * 2,
    });
    let mut call = node.peers.call(&room.home, PeerRequest::Home(ask)).await?;
    match call.expect().await? {
        PeerReply::Home(HomeReply::Prefilled(result)) => Ok((result, call)),
        other => Err(unexpected(&other)),
    }
}

/// Runs the decode and relays its tokens.
async fn relay(
    node: &Arc<Node>,
    req: &ModelRequest,
    room: Room,
    source: &Backend,
    result: PrefillResult,
    prefill_call: Call,
    tx: &Sender<ModelEvent>,
) -> Result<()> {
    let ask = HomeRequest::Decode(HomeDecode {
        request: req.id.clone(),
        backend: room.backend.name.clone(),
        reservation: room.id,
        kv: result.kv,
        source: source.name.clone(),
        from_token: 0,
        sent: "".into(),
        max_tokens: req.max_tokens,
        priority: req.row.priority,
        limit: req.row.ttft * 2,
    });
    let mut call = node.peers.call(&room.home, PeerRequest::Home(ask)).await?;
    room.guard.disarm();
    // The first token proves that the import is done, so the source may forget.
    let mut first = call.expect().await?;
    drop(prefill_call);
    loop {
        let event = match first {
            PeerReply::Home(HomeReply::Tokens(tokens)) => ModelEvent::Tokens(tokens),
            PeerReply::Home(HomeReply::Finished(reason)) => {
                let _ = tx.send(ModelEvent::Finished(reason)).await;
                return Ok(());
            }
            other => return Err(unexpected(&other)),
        };
        if tx.send(event).await.is_err() {
            return Err(Error::new(ErrorCode::Cancelled, "the caller has gone"));
        }
        first = call.expect().await?;
    }
}
