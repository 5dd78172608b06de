//! The `socket` module wraps a client's connection and separates the bytes of a request
//! from those that follow it.
//!
//! `async-h1` reads ahead and discards what it has read beyond a request. The [`Socket`]
//! therefore returns no byte beyond the head, and then none beyond the body, and buffers
//! what a pipelining client has already sent. It also detects that the client has
//! disconnected while such bytes are buffered; see `docs/design/connections.md`.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use bytes::{Buf, BytesMut};
use futures::future::poll_fn;
use parking_lot::Mutex;

/// The maximum number of bytes read from the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// The maximum number of buffered bytes of later requests. If a client sends more, the
/// connection is closed after the current response.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// The maximum size of the head of a request, in bytes; `async-h1` rejects larger ones.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// `ReadLimit` is how far the decoder of a request may read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadLimit {
    /// Up to the blank line that ends the head.
    Head,
    /// The given number of remaining bytes of a body.
    Body(u64),
    /// No limit, for a body whose length is not declared.
    Unlimited,
}

#[derive(Debug)]
struct ReadState {
    buffered: BytesMut,
    read_limit: ReadLimit,
    head_bytes: usize,
    line_bytes: usize,
    eof: bool,
    overflowed: bool,
}

/// `Socket` is a client's connection and the state of reading from it. Clones share
/// both.
#[derive(Debug, Clone)]
pub(super) struct Socket {
    stream: TcpStream,
    state: Arc<Mutex<ReadState>>,
}

impl Socket {
    /// Wraps a connection, from which a head is expected first.
    pub(super) fn new(stream: TcpStream) -> Socket {
        let state = ReadState {
            buffered: BytesMut::new(),
            read_limit: ReadLimit::Head,
            head_bytes: 0,
            line_bytes: 0,
            eof: false,
            overflowed: false,
        };
        Socket { stream, state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for the first byte of the next request; `false` if the client has closed the
    /// connection.
    pub(super) async fn next_request(&self) -> bool {
        self.state.lock().expect_head();
        poll_fn(|cx| {
            let mut state = self.state.lock();
            state.skip_blank_lines();
            while state.buffered.is_empty() && !state.eof {
                match state.fill(&self.stream, cx) {
                    Poll::Ready(()) => state.skip_blank_lines(),
                    Poll::Pending => return Poll::Pending,
                }
            }
            Poll::Ready(!state.buffered.is_empty())
        })
        .await
    }

    /// Allows reading the body of the current request; `None` stands for a body whose
    /// end is only known from its transfer coding.
    pub(super) fn expect_body(&self, length: Option<u64>) {
        self.state.lock().read_limit = length.map_or(ReadLimit::Unlimited, ReadLimit::Body);
    }

    /// Returns whether the head has exceeded the maximum size.
    pub(super) fn head_too_large(&self) -> bool {
        self.state.lock().head_bytes >= MAX_HEAD_BYTES
    }

    /// Returns whether the next request can be read from the connection: the current one
    /// has been read completely and nothing was discarded.
    pub(super) fn is_reusable(&self) -> bool {
        let state = self.state.lock();
        !state.eof && !state.overflowed && state.read_limit == ReadLimit::Body(0)
    }

    /// Waits until the client has closed its sending side. Data received until then is
    /// buffered for the next request.
    pub(super) async fn closed(&self) {
        poll_fn(|cx| {
            let mut state = self.state.lock();
            while !state.eof {
                if state.buffered.len() >= MAX_BUFFERED_BYTES {
                    state.overflowed = true;
                    state.buffered.clear();
                }
                if state.fill(&self.stream, cx).is_pending() {
                    return Poll::Pending;
                }
            }
            Poll::Ready(())
        })
        .await;
    }

    /// Closes the connection immediately, even if a request is in progress.
    pub(super) fn abort(&self) {
        // Shutting down a connection that is already closed fails, which is fine.
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Closes the sending side and discards received data until the client closes too.
    pub(super) async fn drain(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
        self.closed().await;
    }
}

impl ReadState {
    fn expect_head(&mut self) {
        self.read_limit = ReadLimit::Head;
        self.head_bytes = 0;
        self.line_bytes = 0;
    }

    /// Skips blank lines before a request, which some clients send after a body.
    fn skip_blank_lines(&mut self) {
        while self.buffered.starts_with(b"\r\n") {
            self.buffered.advance(2);
        }
    }

    /// Reads from the socket into the buffer.
    fn fill(&mut self, stream: &TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut chunk = [0_u8; READ_BYTES];
        let mut stream = stream;
        match Pin::new(&mut stream).poll_read(cx, &mut chunk) {
            Poll::Ready(Ok(n)) if n > 0 => self.buffered.extend_from_slice(&chunk[..n]),
            Poll::Ready(_) => self.eof = true,
            Poll::Pending => return Poll::Pending,
        }
        Poll::Ready(())
    }

    /// Returns how many of the buffered bytes may be returned to the reader now.
    fn readable(&self) -> usize {
        match self.read_limit {
            ReadLimit::Head => {
                let line = self.buffered.iter().position(|byte| *byte == b'\n');
                line.map_or(self.buffered.len(), |end| end + 1)
            }
            ReadLimit::Body(n) => usize::try_from(n).unwrap_or(usize::MAX).min(self.buffered.len()),
            ReadLimit::Unlimited => self.buffered.len(),
        }
    }

    /// Updates the read limit after `bytes` were returned to the reader.
    fn consumed(&mut self, bytes: &[u8]) {
        match &mut self.read_limit {
            ReadLimit::Head => {
                self.head_bytes += bytes.len();
                self.line_bytes += bytes.len();
                if bytes.ends_with(b"\n") {
                    // A line of two bytes is the blank line that ends the head.
                    if self.line_bytes == 2 {
                        self.read_limit = ReadLimit::Body(0);
                    }
                    self.line_bytes = 0;
                }
            }
            ReadLimit::Body(remaining) => *remaining = remaining.saturating_sub(bytes.len() as u64),
            ReadLimit::Unlimited => (),
        }
    }
}

impl Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.lock();
        if state.read_limit == ReadLimit::Body(0) {
            return Poll::Ready(Ok(0));
        }
        if state.buffered.is_empty() && !state.eof && state.fill(&self.stream, cx).is_pending() {
            return Poll::Pending;
        }
        let n = state.readable().min(buf.len());
        let bytes = state.buffered.split_to(n);
        buf[..n].copy_from_slice(&bytes);
        state.consumed(&bytes);
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
