//! The `socket` module wraps a client's connection so that a request's bytes are
//! told from those that follow it.
//!
//! `async-h1` reads ahead and forgets what it read beyond a request. The [`Socket`]
//! therefore hands it no byte beyond the head, then none beyond the body, and keeps
//! what a pipelining client has sent early. It also notices that the client has
//! gone while such bytes wait; see `docs/design/connections.md`.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use bytes::{Buf, BytesMut};
use futures::future::poll_fn;
use parking_lot::Mutex;

/// The most bytes taken from the network at once.
const READ_BYTES: usize = 8 * 1024;

/// The most bytes of later requests that are kept; the connection is closed after
/// the answer in flight when a client sends more.
const MAX_EARLY_BYTES: usize = 64 * 1024;

/// The longest head of a request, in bytes; `async-h1` refuses more.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// `Gate` is which bytes may pass to the reader of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gate {
    /// Up to the blank line that ends the head.
    Head,
    /// So many bytes of a body.
    Body(u64),
    /// All bytes, for a body whose length is not known beforehand.
    Open,
}

#[derive(Debug)]
struct Inbound {
    early: BytesMut,
    gate: Gate,
    head_bytes: usize,
    line_bytes: usize,
    ended: bool,
    overflowed: bool,
}

/// `Socket` is a client's connection with its gate. Clones share both.
#[derive(Debug, Clone)]
pub(super) struct Socket {
    stream: TcpStream,
    inbound: Arc<Mutex<Inbound>>,
}

impl Socket {
    /// Wraps a connection.
    pub(super) fn new(stream: TcpStream) -> Socket {
        let inbound = Inbound {
            early: BytesMut::new(),
            gate: Gate::Head,
            head_bytes: 0,
            line_bytes: 0,
            ended: false,
            overflowed: false,
        };
        Socket { stream, inbound: Arc::new(Mutex::new(inbound)) }
    }

    /// Waits for the first byte of the next request; false when none will come.
    pub(super) async fn next_request(&self) -> bool {
        self.inbound.lock().expect_head();
        poll_fn(|cx| {
            let mut inbound = self.inbound.lock();
            inbound.skip_blank_lines();
            while inbound.early.is_empty() && !inbound.ended {
                match inbound.fill(&self.stream, cx) {
                    Poll::Ready(()) => inbound.skip_blank_lines(),
                    Poll::Pending => return Poll::Pending,
                }
            }
            Poll::Ready(!inbound.early.is_empty())
        })
        .await
    }

    /// Lets the body of the present request pass; `None` stands for a body whose
    /// end only its own coding tells.
    pub(super) fn expect_body(&self, length: Option<u64>) {
        self.inbound.lock().gate = length.map_or(Gate::Open, Gate::Body);
    }

    /// Tells whether the head was longer than any that is read.
    pub(super) fn head_too_large(&self) -> bool {
        self.inbound.lock().head_bytes >= MAX_HEAD_BYTES
    }

    /// Tells whether the next request can be told from what came before it.
    pub(super) fn is_reusable(&self) -> bool {
        let inbound = self.inbound.lock();
        !inbound.ended && !inbound.overflowed && inbound.gate == Gate::Body(0)
    }

    /// Waits until the client has closed its side. What it sends until then is
    /// kept for the next request.
    pub(super) async fn closed(&self) {
        poll_fn(|cx| {
            let mut inbound = self.inbound.lock();
            while !inbound.ended {
                if inbound.early.len() >= MAX_EARLY_BYTES {
                    inbound.overflowed = true;
                    inbound.early.clear();
                }
                if inbound.fill(&self.stream, cx).is_pending() {
                    return Poll::Pending;
                }
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Closes the connection at once, whatever is in flight on it.
    pub(super) fn abort(&self) {
        // A connection that is closed already needs nothing more.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Throws away what the client still sends until it closes.
    pub(super) async fn drain(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        self.closed().await;
    }
}

impl Inbound {
    fn expect_head(&mut self) {
        self.gate = Gate::Head;
        self.head_bytes = 0;
        self.line_bytes = 0;
    }

    /// Drops blank lines before a request, which some clients send after a body.
    fn skip_blank_lines(&mut self) {
        while self.early.starts_with(b"\r\n") {
            self.early.advance(2);
        }
    }

    /// Takes bytes from the network into the buffer.
    fn fill(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0_u8; READ_BYTES];
        let mut stream = stream;
        match Pin::new(&mut stream).poll_read(cx, &mut chunk) {
            Poll::Ready(Ok(n)) if n > 0 => self.early.extend_from_slice(&chunk[..n]),
            Poll::Ready(_) => self.ended = true,
            Poll::Pending => return Poll::Pending,
        }
        Poll::Ready(())
    }

    /// Returns how many of the buffered bytes may pass now.
    fn passing(&self) -> usize {
        match self.gate {
            Gate::Head => {
                let line = self.early.iter().position(|byte| *byte == b'\n');
                line.map_or(self.early.len(), |end| end + 1)
            }
            Gate::Body(left) => usize::try_from(left).unwrap_or(usize::MAX).min(self.early.len()),
            Gate::Open => self.early.len(),
        }
    }

    /// Moves the gate past the bytes that have just passed.
    fn passed(&mut self, bytes: &[u8]) {
        match &mut self.gate {
            Gate::Head => {
                self.head_bytes += bytes.len();
                self.line_bytes += bytes.len();
                if bytes.ends_with(b"\n") {
                    // A line of two bytes is the blank one that ends the head.
                    if self.line_bytes == 2 {
                        self.gate = Gate::Body(0);
                    }
                    self.line_bytes = 0;
                }
            }
            Gate::Body(left) => *left = left.saturating_sub(bytes.len() as u64),
            Gate::Open => (),
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut inbound = self.inbound.lock();
        if inbound.gate == Gate::Body(0) {
            return Poll::Ready(Ok(0));
        }
        if inbound.early.is_empty() && !inbound.ended && inbound.fill(&self.stream, cx).is_pending()
        {
            return Poll::Pending;
        }
        let n = inbound.passing().min(buf.len());
        let bytes = inbound.early.split_to(n);
        buf[..n].copy_from_slice(&bytes);
        inbound.passed(&bytes);
        Poll::Ready(Ok(n))
    }
}

impl Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.stream).poll_close(cx)
    }
}
