//! The `serve` module accepts connections and carries requests and answers over
//! them, within the bounds of [`ServerOptions`].

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

/// How long to wait after a failed accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Connections beyond the bound that are told so; more are closed without a word.
const MAX_TURNED_AWAY: usize = 64;

/// How long a closing connection waits for the client to read its last answer.
const LINGER: Duration = Duration::from_secs(1);

/// When a client should come back that met a full server.
const COME_BACK: Duration = Duration::from_secs(1);

/// Bytes of an answer that are written at once.
const WRITE_BYTES: usize = 8 * 1024;

/// Accepts connections for ever, with default bounds.
pub async fn serve(listener: TcpListener, handler: Arc<dyn HttpHandler>) -> Result<()> {
    serve_with(listener, handler, ServerOptions::default()).await
}

/// Accepts connections for ever.
pub async fn serve_with(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    options: ServerOptions,
) -> Result<()> {
    let options = Arc::new(options);
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!(event = "accept_failed", error = e.to_string().as_str(); "");
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let place = Place::take(&open);
        let (handler, options) = (handler.clone(), options.clone());
        if place.before >= options.max_connections + MAX_TURNED_AWAY {
            continue;
        }
        task::spawn(async move {
            let server = Server { socket: Socket::new(stream.clone()), handler, options };
            if place.before >= server.options.max_connections {
                server.turn_away().await;
            } else {
                server.run(stream).await;
            }
            drop(place);
        });
    }
}

/// `Place` counts one open connection.
struct Place {
    open: Arc<AtomicUsize>,
    before: usize,
}

impl Place {
    fn take(open: &Arc<AtomicUsize>) -> Place {
        let before = open.fetch_add(1, Ordering::Relaxed);
        Place { open: open.clone(), before }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// `Refusal` is why a request never reached the handler.
struct Refusal {
    status: StatusCode,
    error: Error,
}

/// `Server` serves one connection.
struct Server {
    socket: Socket,
    handler: Arc<dyn HttpHandler>,
    options: Arc<ServerOptions>,
}

impl Server {
    async fn run(&self, stream: TcpStream) {
        // Tokens are small and each is due at once.
        let _ = stream.set_nodelay(true);
        while self.one_request().await {}
        // A close with unread bytes would make the client lose its last answer.
        let _ = timeout(LINGER, self.socket.drain()).await;
    }

    /// Serves one request; tells whether another may follow.
    async fn one_request(&self) -> bool {
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
            req.ext_mut().insert(BodyBound(self.options.body_timeout));
        }
        let asked_to_close = is_close(req.header(headers::CONNECTION));
        let connection = Connection { socket: self.socket.clone() };
        let mut response = self.handler.handle(req, &connection).await;
        let close = asked_to_close
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
                let error = Error::new(ErrorCode::SlowRequest, "the head did not come in time");
                return Err(Refusal { status: StatusCode::RequestTimeout, error });
            }
        };
        let coding = req.header(headers::TRANSFER_ENCODING).map(|values| values.as_str());
        if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("chunked")) {
            let error = invalid("the only transfer coding taken is chunked");
            return Err(Refusal { status: StatusCode::NotImplemented, error });
        }
        Ok(Some(req))
    }

    async fn turn_away(&self) {
        let error = Error::new(ErrorCode::Overloaded, "too many connections");
        let error = error.retry_after(COME_BACK);
        self.refuse(Refusal { status: StatusCode::ServiceUnavailable, error }).await;
        let _ = timeout(LINGER, self.socket.drain()).await;
    }

    async fn refuse(&self, refusal: Refusal) {
        let mut response = self.handler.refuse(&refusal.error);
        response.set_status(refusal.status);
        response.insert_header(headers::CONNECTION, "close");
        self.write(response, Method::Get).await;
    }

    /// Writes an answer as fast as the client takes it; tells whether all of it
    /// went out. The answer is dropped at once when the client closes.
    async fn write(&self, response: Response, method: Method) -> bool {
        let mut encoder = async_h1::server::Encoder::new(response, method);
        let mut socket = self.socket.clone();
        let mut buf = vec![0_u8; WRITE_BYTES];
        // The set polls the watch only when the socket wakes it, which spares a
        // system call for each token.
        let mut gone = FuturesUnordered::from_iter([self.socket.closed()]);
        loop {
            let part = {
                let part = encoder.read(&mut buf);
                pin_mut!(part);
                match select(part, gone.select_next_some()).await {
                    Either::Left((part, _)) => part,
                    // What is ready still goes to a client that only half closed.
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

/// `BodyBound` is the longest time for the body of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct BodyBound(pub(super) Duration);
