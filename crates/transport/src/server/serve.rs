//! The `serve` module accepts connections, reads requests and writes responses, within
//! the limits of [`ServerOptions`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, FutureExt, select};
use futures::pin_mut;
use futures::stream::{FuturesUnordered, StreamExt};
use http_types::{Method, Request, Response, StatusCode, headers};

use super::options::ServerOptions;
use super::socket::Socket;
use super::{Connection, HttpHandler};
use crate::accept::Acceptor;

/// How many connections above the maximum get an error response; further ones are
/// closed without a response.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// How long to wait after the last response for the client to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The `retry-after` time for clients that are rejected because of too many
/// connections.
const REJECTED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The size of the buffer through which a response is written, in bytes.
const WRITE_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts connections in an endless loop, with the default limits.
pub async fn serve(listener: TcpListener, handler: Arc<dyn HttpHandler>) -> Result<()> {
    serve_with(listener, handler, ServerOptions::default()).await
}

/// Accepts connections in an endless loop.
pub async fn serve_with(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    options: ServerOptions,
) -> Result<()> {
    let options = Arc::new(options);
    let open = Arc::new(AtomicUsize::new(0));
    let mut acceptor = Acceptor::new(listener, "http");
    loop {
        let Ok(stream) = acceptor.accept().await else { continue };
        let opened = OpenConnection::new(&open);
        let (handler, options) = (handler.clone(), options.clone());
        if opened.already_open >= options.max_connections + MAX_REJECTED_CONNECTIONS {
            continue;
        }
        task::spawn(async move {
            let server = ConnectionServer { socket: Socket::new(stream.clone()), handler, options };
            if opened.already_open >= server.options.max_connections {
                server.reject_connection().await;
            } else {
                server.run(stream).await;
            }
            drop(opened);
        });
    }
}

/// `OpenConnection` counts one open connection until it is dropped.
struct OpenConnection {
    open: Arc<AtomicUsize>,
    already_open: usize,
}

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> OpenConnection {
        let already_open = open.fetch_add(1, Ordering::Relaxed);
        OpenConnection { open: open.clone(), already_open }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// `Refusal` is the reason why a request is not passed to the handler.
struct Refusal {
    status: StatusCode,
    error: Error,
}

/// `ConnectionServer` serves the requests of one connection.
struct ConnectionServer {
    socket: Socket,
    handler: Arc<dyn HttpHandler>,
    options: Arc<ServerOptions>,
}

impl ConnectionServer {
    async fn run(&self, stream: TcpStream) {
        // Tokens are small and must be sent without delay.
        let _ = stream.set_nodelay(true);
        while self.serve_request().await {}
        // Closing a socket with unread data resets the connection, and the client could lose
        // its last response.
        let _ = timeout(LINGER_TIMEOUT, self.socket.drain()).await;
    }

    /// Serves one request and returns whether the connection can take another one.
    async fn serve_request(&self) -> bool {
        match timeout(self.options.idle_timeout, self.socket.next_request()).await {
            Ok(true) => {}
            Ok(false) | Err(_) => return false,
        }
        let mut req = match self.read_head().await {
            Ok(Some(req)) => req,
            Ok(None) => return false,
            Err(refusal) => {
                self.refuse(refusal).await;
                return false;
            }
        };
        let method = req.method();
        let chunked = req.header(headers::TRANSFER_ENCODING).is_some();
        self.socket.expect_body(if chunked { None } else { Some(req.len().unwrap_or(0) as u64) });
        if self.options.body_timeout > Duration::ZERO {
            req.ext_mut().insert(BodyTimeout(self.options.body_timeout));
        }
        let close_requested = is_close(req.header(headers::CONNECTION));
        let connection = Connection { socket: self.socket.clone() };
        let mut response = self.handler.handle(req, &connection).await;
        let close = close_requested
            || chunked
            || !self.socket.is_reusable()
            || is_close(response.header(headers::CONNECTION));
        if close {
            response.insert_header(headers::CONNECTION, "close");
        }
        self.write(response, method).await && !close
    }

    async fn read_head(&self) -> Result<Option<Request>, Refusal> {
        let head = async_h1::server::decode(self.socket.clone());
        let req = match timeout(self.options.head_timeout, head).await {
            Ok(Ok(Some((req, _)))) => req,
            Ok(Ok(None)) => return Ok(None),
            Ok(Err(_)) if self.socket.head_too_large() => {
                let error = Error::new(ErrorCode::TooLarge, "the head exceeds 8 KiB");
                return Err(Refusal { status: StatusCode::RequestHeaderFieldsTooLarge, error });
            }
            Ok(Err(e)) => {
                let error = invalid(format!("malformed head: {e}"));
                return Err(Refusal { status: StatusCode::BadRequest, error });
            }
            Err(_) => {
                let error = Error::new(ErrorCode::SlowRequest, "the request head timed out");
                return Err(Refusal { status: StatusCode::RequestTimeout, error });
            }
        };
        let coding = req.header(headers::TRANSFER_ENCODING).map(|values| values.as_str());
        if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("chunked")) {
            let error = invalid("the only supported transfer coding is chunked");
            return Err(Refusal { status: StatusCode::NotImplemented, error });
        }
        Ok(Some(req))
    }

    async fn reject_connection(&self) {
        let error = Error::new(ErrorCode::Overloaded, "too many connections");
        let error = error.retry_after(REJECTED_RETRY_AFTER);
        self.refuse(Refusal { status: StatusCode::ServiceUnavailable, error }).await;
        let _ = timeout(LINGER_TIMEOUT, self.socket.drain()).await;
    }

    async fn refuse(&self, refusal: Refusal) {
        let mut response = self.handler.refuse(&refusal.error);
        response.set_status(refusal.status);
        response.insert_header(headers::CONNECTION, "close");
        self.write(response, Method::Get).await;
    }

    /// Writes a response as fast as the client reads it, and returns whether it was
    /// written completely. The response is dropped as soon as the client disconnects.
    async fn write(&self, response: Response, method: Method) -> bool {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let mut socket = self.socket.clone();
        let mut buf = vec![0_u8; WRITE_BUFFER_BYTES];
        // `FuturesUnordered` polls `closed` only when the socket wakes it, which saves a
        // system call for each token.
        let mut closed = FuturesUnordered::from_iter([self.socket.closed()]);
        loop {
            let part = {
                let part = encoder.read(&mut buf);
                pin_mut!(part);
                match select(part, closed.select_next_some()).await {
                    Either::Left((part, _)) => part,
                    // The client may have closed only its sending side, so data that is
                    // ready is still written.
                    Either::Right(((), part)) => match part.now_or_never() {
                        Some(part) => part,
                        None => return false,
                    },
                }
            };
            let n = match part {
                Ok(0) => return true,
                Ok(n) => n,
                Err(_) => return false,
            };
            match timeout(self.options.write_timeout, socket.write_all(&buf[..n])).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return false,
            }
        }
    }
}

fn is_close(values: Option<&headers::HeaderValues>) -> bool {
    values.is_some_and(|values| values.as_str().eq_ignore_ascii_case("close"))
}

/// `BodyTimeout` is the timeout for receiving the body of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyTimeout(pub(super) Duration);
