//! The `mesh` module carries calls between hosts: each call is one `h2` stream
//! with one request frame and any number of reply frames.
//!
//! Dropping a [`RemoteCall`] resets its stream, and the peer then drops the future of
//! the handler. In this way a caller's disconnect cancels the work for it on every
//! host. See `docs/ARCHITECTURE.md`, and `docs/design/connections.md` for connections
//! that stop delivering data.

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

/// The flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;

/// The flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

/// `FrameHandler` handles the calls of peers.
#[async_trait]
pub trait FrameHandler: Send + Sync {
    /// Handles the call with the request `body` and sends replies, each a whole frame, to
    /// `tx`. The future is dropped when the peer cancels the call.
    async fn handle(&self, body: Bytes, tx: Sender<Bytes>);
}
