//! The `mesh` module carries calls between hosts: each call is one `h2` stream
//! with one request frame and any number of reply frames.
//!
//! Dropping a [`RemoteCall`] resets its stream, and the far side then drops the
//! handler's future; that is how a caller's going reaches every host that works
//! for it. See `docs/ARCHITECTURE.md`, and `docs/design/connections.md` for what
//! happens when a connection goes silent.

mod connection;
mod link;
mod liveness;
mod options;
mod server;
mod streams;

use async_std::channel::Sender;
use async_trait::async_trait;
use bytes::Bytes;

pub use connection::{PeerConnection, RemoteCall};
pub use link::PeerLink;
pub use options::MeshOptions;
pub use server::{serve, serve_with};

/// Bytes that a peer may send on one stream before it waits for this host.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// Bytes that a peer may send on one connection before it waits for this host.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// `FrameHandler` serves calls of peers.
#[async_trait]
pub trait FrameHandler: Send + Sync {
    /// Serves one call. The future is dropped when the peer gives the call up.
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>);
}
