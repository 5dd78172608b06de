//! The `metered` module limits the bytes that are read from a connection to a backend
//! server, whatever they are. The HTTP parser bounds each part of a message, but not how
//! many interim responses, leading zeros or chunks come one after the other.
//!
//! It also tells the end of a connection from a reset that only a write has shown. A server may
//! answer while a long request is being written, and a response without a length ends with its
//! connection.

use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, Waker};

use aspenloft_core::prelude::Arc;
use futures::io::{AsyncRead, AsyncWrite};

/// `ReadAllowance` is the number of bytes that may still be read from one connection, and whether
/// the connection has failed.
#[derive(Debug, Default)]
pub struct ReadAllowance {
    bytes: AtomicUsize,
    failed: AtomicBool,
}

impl ReadAllowance {
    /// Returns whether a write on the connection has failed.
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::SeqCst)
    }

    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.bytes.store(bytes, Ordering::SeqCst);
    }

    /// Allows `bytes` more bytes to be read.
    pub fn add(&self, bytes: usize) {
        let _ = self.bytes.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            Some(left.saturating_add(bytes))
        });
    }

    fn remaining(&self) -> usize {
        self.bytes.load(Ordering::SeqCst)
    }

    fn consume(&self, bytes: usize) {
        // Only the task of the connection reads, so a concurrent change is a new allowance.
        let _ = self
            .bytes
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(bytes));
    }
}

/// What is known of the writes on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    /// All that was to be written has been.
    Flushed,
    /// A request is being written.
    Writing,
    /// A write has failed.
    Failed,
}

/// `MeteredStream` is a connection from which only an allowance of bytes can be read. Beyond
/// it, reads fail, which closes the connection.
///
/// The end of the connection is read only once the request has been written, and is an error if
/// that fails. A write that fails seems to succeed, because the server's response may have arrived
/// before it refused the rest of the request.
#[derive(Debug)]
pub struct MeteredStream<S> {
    inner: S,
    allowance: Arc<ReadAllowance>,
    writes: WriteState,
    /// Waits for the end of the connection to be confirmed.
    reader: Option<Waker>,
}

impl<S> MeteredStream<S> {
    /// Limits what is read from `inner` to `allowance`.
    pub fn new(inner: S, allowance: Arc<ReadAllowance>) -> MeteredStream<S> {
        MeteredStream { inner, allowance, writes: WriteState::Flushed, reader: None }
    }

    fn set_writes(&mut self, writes: WriteState) {
        self.writes = writes;
        if writes == WriteState::Failed {
            self.allowance.failed.store(true, Ordering::SeqCst);
        }
        if writes != WriteState::Writing
            && let Some(reader) = self.reader.take()
        {
            reader.wake();
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<Result<usize>> {
        let length = buf.len().min(self.allowance.remaining());
        if length == 0 && !buf.is_empty() {
            let error = Error::new(ErrorKind::InvalidData, "the server sends too many bytes");
            return Poll::Ready(Err(error));
        }
        let read = Pin::new(&mut self.inner).poll_read(cx, &mut buf[..length]);
        if matches!(read, Poll::Ready(Ok(0))) && !buf.is_empty() {
            match self.writes {
                WriteState::Flushed => {}
                WriteState::Writing => {
                    self.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                WriteState::Failed => {
                    let cause = "the server closed the connection before it had the request";
                    return Poll::Ready(Err(Error::new(ErrorKind::ConnectionReset, cause)));
                }
            }
        }
        if let Poll::Ready(Ok(bytes)) = &read {
            self.allowance.consume(*bytes);
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buf);
        match written {
            _ if self.writes == WriteState::Failed => Poll::Ready(Ok(buf.len())),
            Poll::Ready(Err(_)) => {
                self.set_writes(WriteState::Failed);
                Poll::Ready(Ok(buf.len()))
            }
            written => {
                self.set_writes(WriteState::Writing);
                written
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if self.writes == WriteState::Failed {
            return Poll::Ready(Ok(()));
        }
        match Pin::new(&mut self.inner).poll_flush(cx) {
            Poll::Ready(Ok(())) => self.set_writes(WriteState::Flushed),
            Poll::Ready(Err(_)) => self.set_writes(WriteState::Failed),
            Poll::Pending => return Poll::Pending,
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
