//! The `client` module sends a request to one backend server and waits for the head of
//! the response. Unless it is certain that a request was not run, its execution counts
//! as unknown.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};
use aspenloft_transport::socket::is_shortage;
use async_std::future::timeout;
use bytes::Bytes;
use derive_more::Display;
use http::{Request, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::pool::{Connection, Pool};
use crate::body_budget::{BodyBudget, BodyReservation};
use crate::dialect::{Dialect, ResponseMetadata};
use crate::permits::SendPermit;
use crate::roster::{InFlightGuard, Server};
use crate::server_limits::ServerLimits;
use crate::view::View;

/// `FailureCause` is the reason why there is no usable response.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection could be opened.
    #[display("connect")]
    Connect,
    /// This host has no descriptor or port left for a connection.
    #[display("descriptors")]
    Shortage,
    /// The connection failed before the response arrived.
    #[display("broken")]
    Broken,
    /// There was no response in time.
    #[display("timeout")]
    Timeout,
    /// The response did not belong to this request or is not acceptable.
    #[display("wrong_answer")]
    WrongResponse,
    /// The request cannot be expressed in the platform's headers.
    #[display("unsendable")]
    Unsendable,
    /// The body of the response ended early or was too large.
    #[display("cut")]
    Cut,
}

/// `SendFailure` is a send without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// Whether the server may have run the request.
    pub execution: Execution,
    /// The reason for the failure.
    pub cause: FailureCause,
}

impl SendFailure {
    pub(crate) fn not_run(cause: FailureCause) -> SendFailure {
        SendFailure { execution: Execution::NotRun, cause }
    }

    pub(crate) fn unknown(cause: FailureCause) -> SendFailure {
        SendFailure { execution: Execution::Unknown, cause }
    }

    /// Returns whether the server may have received and run the request.
    pub fn may_have_run(self) -> bool {
        self.execution != Execution::NotRun
    }

    /// Records the failure in the health state of `server`.
    pub fn record_on(self, server: &Server, now: Instant) {
        server.state.health(|h| match self.cause {
            FailureCause::Connect => {
                h.record_unreachable(now);
            }
            FailureCause::Shortage => {}
            _ => h.record_failure(now),
        });
    }
}

/// `BackendResponse` is a backend server's response whose body has not been read.
#[derive(Debug)]
pub struct BackendResponse {
    /// The status and the headers.
    pub head: response::Parts,
    /// The values of the platform headers.
    pub metadata: ResponseMetadata,
    /// The body, which is read from the connection.
    pub body: Incoming,
    /// The connection, which returns to the pool when the body has been read.
    pub connection: Connection,
    /// Counts the request as in flight on the server while the response is read.
    pub in_flight: InFlightGuard,
}

impl BackendResponse {
    /// Returns whether the body has a length or chunks. Otherwise it ends with the connection,
    /// and a server that crashes ends it as well.
    pub fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// `WholeBody` is the body of a response, with the reservation of its memory.
#[derive(Debug, Default)]
pub struct WholeBody {
    /// The body.
    pub bytes: Bytes,
    /// The reservation; `None` for a small body.
    pub reservation: Option<BodyReservation>,
}

/// The size up to which a response body needs no reservation, so that servers with endless
/// responses do not keep small ones of others from being read.
const UNRESERVED_BYTES: usize = 64 * 1024;

/// The number of bytes that a byte of a body may take on the connection, as in chunks of one
/// byte each, with their sizes and line ends.
const MAX_FRAMING_FACTOR: usize = 8;

/// The number of bytes that a server may send before those of a body.
const MIN_BODY_ALLOWANCE: usize = 256 * 1024;

/// The statuses of a final response. No request asks for an upgrade (101).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// `BackendClient` sends requests to backend servers.
#[derive(Clone)]
pub struct BackendClient {
    pool: Arc<Pool>,
    dialect: Arc<dyn Dialect>,
    limits: Arc<ServerLimits>,
    view: Arc<View>,
    memory: Arc<BodyBudget>,
}

impl BackendClient {
    /// Creates a client that uses the connections of `pool` and records in `limits` and
    /// `view` what servers say of themselves. Response bodies are read within `memory`.
    pub fn new(
        pool: Arc<Pool>,
        dialect: Arc<dyn Dialect>,
        limits: Arc<ServerLimits>,
        view: Arc<View>,
        memory: Arc<BodyBudget>,
    ) -> BackendClient {
        BackendClient { pool, dialect, limits, view, memory }
    }

    /// Sends `req` of the attempt `id` to `server`, for which `permit` was issued, and waits
    /// up to `limit` for the head of the response.
    pub async fn send(
        &self,
        server: &Server,
        permit: SendPermit,
        id: Option<&Name>,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<BackendResponse, SendFailure> {
        debug_assert!(permit.is_for(server), "the permit is for another server");
        let in_flight = InFlightGuard::begin(server);
        let sent_at = self.limits.record_send(server);
        let sending = self.send_over_pool(server, id, req);
        let Ok(sent) = timeout(limit, sending).await else {
            return Err(SendFailure::unknown(FailureCause::Timeout));
        };
        let (connection, response) = sent?;
        let (head, body) = response.into_parts();
        let metadata = self.dialect.read_response(&head);
        if metadata.misdirected {
            self.pool.close_idle(server.entry.addr);
        } else if metadata.leaving {
            self.view.record_leaving(server);
        }
        let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
        let is_final = FINAL_STATUSES.contains(&head.status.as_u16());
        if !belongs_to(&metadata, id, connection.reused) || encoded || !is_final {
            return Err(SendFailure::unknown(FailureCause::WrongResponse));
        }
        self.limits.record_response(server, sent_at, &metadata);
        Ok(BackendResponse { head, metadata, body, connection, in_flight })
    }

    async fn send_over_pool(
        &self,
        server: &Server,
        id: Option<&Name>,
        req: Request<Full<Bytes>>,
    ) -> Result<(Connection, http::Response<Incoming>), SendFailure> {
        let addr = server.entry.addr;
        let connect_failed = |e: std::io::Error| {
            let cause = match is_shortage(&e) {
                true => FailureCause::Shortage,
                false => FailureCause::Connect,
            };
            SendFailure::not_run(cause)
        };
        let taken = match id {
            Some(id) => self.pool.take(addr, id).await,
            // Only on a new connection it is certain to which request a response belongs.
            None => self.pool.open(addr).await,
        };
        let mut connection = taken.map_err(connect_failed)?;
        connection.last_id = id.cloned();
        let mut failed = match connection.sender.try_send_request(req).await {
            Ok(response) => return Ok((connection, response)),
            Err(failed) => failed,
        };
        // The request is only returned if no part of it was written.
        let Some(req) = failed.take_message() else {
            return Err(SendFailure::unknown(FailureCause::Broken));
        };
        if !connection.reused {
            return Err(SendFailure::not_run(FailureCause::Broken));
        }
        let mut connection = self.pool.open(addr).await.map_err(connect_failed)?;
        connection.last_id = id.cloned();
        match connection.sender.try_send_request(req).await {
            Ok(response) => Ok((connection, response)),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(SendFailure::not_run(FailureCause::Broken)),
                None => Err(SendFailure::unknown(FailureCause::Broken)),
            },
        }
    }

    /// Reads the body of a response, which must not exceed `max_bytes` bytes, and returns
    /// the connection to the pool. A body that ends early is a failure, and so is one for
    /// which there is no memory.
    pub async fn read_body(
        &self,
        response: BackendResponse,
        max_bytes: usize,
        limit: Duration,
    ) -> Result<WholeBody, SendFailure> {
        let BackendResponse { metadata, body, connection, .. } = response;
        let whole = timeout(limit, self.collect(body, &connection, max_bytes)).await;
        let whole = whole.map_err(|_| SendFailure::unknown(FailureCause::Timeout))?;
        let whole = whole.ok_or(SendFailure::unknown(FailureCause::Cut))?;
        self.pool.put_back(connection, metadata.keep_alive);
        Ok(whole)
    }

    /// Collects a body. Returns `None` if it ends early, is too large, or there is no memory
    /// for it.
    async fn collect(
        &self,
        mut body: Incoming,
        connection: &Connection,
        max_bytes: usize,
    ) -> Option<WholeBody> {
        connection.reads.set(MIN_BODY_ALLOWANCE);
        let mut bytes: Vec<u8> = Vec::new();
        let mut reservation: Option<BodyReservation> = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.ok()?.into_data() else { continue };
            connection.reads.add(data.len().saturating_mul(MAX_FRAMING_FACTOR));
            let length = bytes.len() + data.len();
            if length > max_bytes {
                return None;
            }
            if length > bytes.capacity() {
                let capacity =
                    length.max(bytes.capacity() * 5 / 4).next_multiple_of(UNRESERVED_BYTES);
                if capacity > UNRESERVED_BYTES && !self.reserve(&mut reservation, capacity) {
                    return None;
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Some(WholeBody { bytes: bytes.into(), reservation })
    }

    /// Reserves memory for a body of `capacity` bytes; false if there is none.
    fn reserve(&self, reservation: &mut Option<BodyReservation>, capacity: usize) -> bool {
        let reserved = match reservation {
            Some(reservation) => reservation.grow_to(capacity),
            None => {
                *reservation = self.memory.reserve(Some(capacity as u64));
                reservation.is_some()
            }
        };
        if !reserved {
            log::warn!(event = "response_memory_used_up", bytes = capacity; "");
        }
        reserved
    }

    /// Returns the connection to the pool after the body of its response has been read.
    pub fn release(&self, connection: Connection, metadata: &ResponseMetadata) {
        self.pool.put_back(connection, metadata.keep_alive);
    }
}

/// Returns whether a response with `metadata` is the answer to the attempt `id`. A server may
/// repeat an earlier response on a connection that is `reused`. A refusal without an id is
/// that of a server which did not read the request, and is believed on a new connection only.
fn belongs_to(metadata: &ResponseMetadata, id: Option<&Name>, reused: bool) -> bool {
    match (id, &metadata.id) {
        (None, _) => !reused,
        (Some(id), Some(named)) => named == id,
        (Some(_), None) => metadata.refused() && !reused,
    }
}
