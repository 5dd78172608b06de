//! The `room` module reserves room on backend servers at their homes.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Backend, BackendState, Host, Name, ReservationId};
use aspenloft_protocol::peer::home::{HomeReply, HomeRequest, ReserveRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use async_std::future::timeout;

use crate::cleanup::OnDrop;
use crate::node::Node;
use crate::peers::unexpected_reply;

/// The longest wait for a home's word on a reservation.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// `Room` is room on a backend server, given back when dropped.
pub struct Room {
    /// The server.
    pub backend: Backend,
    /// Its home.
    pub home: Host,
    /// The reservation.
    pub id: ReservationId,
    guard: OnDrop,
}

impl Room {
    /// Leaves the room to the call that uses it now.
    pub fn used(self) {
        self.guard.disarm();
    }
}

/// `Reserved` is a home's word.
pub enum Reserved {
    /// The room is held.
    Room(Box<Room>),
    /// There is none; the state is fresh.
    Refused(BackendState),
}

/// Asks the home of `backend` for room.
pub async fn reserve(node: &Arc<Node>, backend: &Backend, ask: ReserveRequest) -> Result<Reserved> {
    let home = node.view.home(backend)?;
    let asking = node.peers.call_unary(&home, PeerRequest::Home(HomeRequest::Reserve(ask)));
    // Nothing runs on a reservation alone, thus an unknown outcome is no run.
    let answered = timeout(RESERVE_TIMEOUT, asking).await.unwrap_or_else(|_| {
        Err(aspenloft_core::errors::timeout(format!("no word from the home of {}", backend.name)))
    });
    match answered? {
        PeerReply::Home(HomeReply::Reserved(id)) => {
            let guard = release_on_drop(node, &home, &backend.name, id);
            Ok(Reserved::Room(Box::new(Room { backend: backend.clone(), home, id, guard })))
        }
        PeerReply::Home(HomeReply::Refused(state)) => Ok(Reserved::Refused(state)),
        other => Err(unexpected_reply(&other)),
    }
}

fn release_on_drop(node: &Arc<Node>, home: &Host, backend: &Name, id: ReservationId) -> OnDrop {
    let node = node.clone();
    let home = home.clone();
    let release = HomeRequest::Release { backend: backend.clone(), reservation: id };
    OnDrop::new(async move {
        // A lost release lapses by itself at the home.
        let _ = node.peers.call_unary(&home, PeerRequest::Home(release)).await;
    })
}
