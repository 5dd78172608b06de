//! The `reservation` module reserves capacity on backend servers at their homes.

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

/// The longest wait for a home's reply to a reservation request.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(500);

/// `Reservation` is reserved capacity on a backend server, released when dropped.
pub struct Reservation {
    /// The server on which capacity is reserved.
    pub backend: Backend,
    /// The server's home, which keeps the reservation.
    pub home: Host,
    /// The id under which the home keeps it.
    pub id: ReservationId,
    guard: OnDrop,
}

impl Reservation {
    /// Ends the guard without a release, because the home's call has taken the
    /// reservation over.
    pub fn mark_used(self) {
        self.guard.disarm();
    }
}

/// `ReserveOutcome` is a home's reply to a reservation request.
pub enum ReserveOutcome {
    /// The capacity is reserved.
    Granted(Box<Reservation>),
    /// The server has no free capacity; its current state comes with the refusal.
    Refused(BackendState),
}

/// Asks the home of `backend` for a reservation.
pub async fn request_reservation(
    node: &Arc<Node>,
    backend: &Backend,
    req: ReserveRequest,
) -> Result<ReserveOutcome> {
    let home = node.view.home(backend)?;
    let call = node.peers.call_unary(&home, PeerRequest::Home(HomeRequest::Reserve(req)));
    // An engine runs nothing on a reservation alone, so the request has not run even
    // when the outcome is unknown.
    let reply = timeout(RESERVE_TIMEOUT, call).await.unwrap_or_else(|_| {
        Err(aspenloft_core::errors::timeout(format!("no reply from the home of {}", backend.name)))
    });
    match reply? {
        PeerReply::Home(HomeReply::Reserved(id)) => {
            let guard = release_on_drop(node, &home, &backend.name, id);
            Ok(ReserveOutcome::Granted(Box::new(Reservation {
                backend: backend.clone(),
                home,
                id,
                guard,
            })))
        }
        PeerReply::Home(HomeReply::Refused(state)) => Ok(ReserveOutcome::Refused(state)),
        other => Err(unexpected_reply(&other)),
    }
}

fn release_on_drop(node: &Arc<Node>, home: &Host, backend: &Name, id: ReservationId) -> OnDrop {
    let node = node.clone();
    let home = home.clone();
    let release = HomeRequest::Release { backend: backend.clone(), reservation: id };
    OnDrop::new(async move {
        // If the release is lost, the reservation expires at the home.
        let _ = node.peers.call_unary(&home, PeerRequest::Home(release)).await;
    })
}
