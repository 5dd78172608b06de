//! The `forwarding` module has another host serve the requests of this one while it cannot
//! reach the backend servers, or few of them. A request takes one such hop at most.
//!
//! `docs/design/forwarding.md` describes when a request is forwarded, to which host, and what
//! becomes of it when the hop fails.

mod message;
mod serve;

use std::collections::HashMap;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, unavailable};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Host, Name, SharedClock};
use aspenloft_transport::frames;
use aspenloft_transport::mesh::RemoteCall;
use bytes::Bytes;
use futures::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use parking_lot::Mutex;

use crate::metrics::Metrics;
use crate::path::PathMonitor;
use crate::peers::Peers;
use crate::request::InboundRequest;
use crate::responses::{ResponseBody, Truncated, full_body};
use crate::retries::RetryBudgets;
use crate::view::{ServiceReach, View};

pub use message::{ForwardReply, ForwardRequest};
pub use serve::ForwardHandler;

/// The maximum number of hosts to which one request is sent.
const MAX_HOSTS: usize = 3;

/// The largest body of a request that fits into one frame with its headers, in bytes.
const MAX_BODY_BYTES: usize = frames::MAX_FRAME_BYTES - 256 * 1024;

/// The largest body of a response that is read in full before its head is passed on, in
/// bytes. Until then the request may be sent to another host.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// `Forwarder` sends requests to other hosts.
pub struct Forwarder {
    /// The hosts that may serve the requests.
    pub peers: Arc<Peers>,
    /// The servers and which of them this host reaches.
    pub view: Arc<View>,
    /// The state of the path to the servers.
    pub path: Arc<PathMonitor>,
    /// The budgets of extra sends.
    pub retries: Arc<RetryBudgets>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The source of time.
    pub clock: SharedClock,
    /// The number of forwarded requests that each host is serving.
    pub in_flight: Arc<Mutex<HashMap<Name, usize>>>,
    /// Whether requests are forwarded.
    pub enabled: bool,
}

impl Forwarder {
    /// Serves the request through another host if this one reaches at most half of the
    /// servers and another one reaches far more. Returns `None` if it has to be served here.
    pub async fn forward_at_once(
        &self,
        inbound: &InboundRequest,
    ) -> Option<Result<Response<ResponseBody>>> {
        let own = self.own_reach(&inbound.service);
        if !self.enabled || inbound.is_forwarded || !own.is_poor() {
            return None;
        }
        self.forward(inbound, own.reached * 2 + 1, false).await
    }

    /// Serves the request through another host after `error` has shown that no server can be
    /// reached from here. Returns `None` if another host would not help.
    pub async fn forward_after(
        &self,
        inbound: &InboundRequest,
        error: &Error,
    ) -> Option<Result<Response<ResponseBody>>> {
        if !self.enabled {
            return None;
        }
        let may_send_again = error.execution == Execution::NotRun
            || (inbound.route.repeat.allows_rerun()
                && inbound.progress.runs() < inbound.route.max_attempts);
        let is_reach = match error.code {
            ErrorCode::NoBackend | ErrorCode::Unavailable => true,
            ErrorCode::Overloaded | ErrorCode::Timeout => self.path.is_suspect(self.clock.now()),
            _ => false,
        };
        if inbound.is_forwarded || !may_send_again || !is_reach {
            return None;
        }
        self.forward(inbound, self.own_reach(&inbound.service).reached + 1, true).await
    }

    fn own_reach(&self, service: &Name) -> ServiceReach {
        let now = self.clock.now();
        let reach = self.view.reach(service, now, |server| server.seems_reachable(now));
        if self.path.is_cut() { ServiceReach { reached: 0, ..reach } } else { reach }
    }

    /// Sends the request to hosts that reach at least `min_reached` servers of its service,
    /// one after the other, until one takes it.
    async fn forward(
        &self,
        inbound: &InboundRequest,
        min_reached: usize,
        is_counted: bool,
    ) -> Option<Result<Response<ResponseBody>>> {
        if inbound.body.len() > MAX_BODY_BYTES {
            return None;
        }
        let mut tried: Vec<Name> = Vec::new();
        while tried.len() < MAX_HOSTS {
            let now = self.clock.now();
            if inbound.remaining(now).is_zero() {
                return None;
            }
            let in_flight = self.in_flight.lock().clone();
            let host =
                self.peers.forwarding_host(&inbound.service, min_reached, &tried, &in_flight)?;
            if (inbound.progress.has_arrived() || inbound.progress.has_prefilled())
                && !self.retries.try_extra_send(
                    inbound.log_id(),
                    &inbound.service,
                    now,
                    self.peers.budget_hosts(),
                )
            {
                return None;
            }
            tried.push(host.name.clone());
            inbound.progress.begin_send();
            let error = match self.send(inbound, &host, is_counted).await {
                Ok(response) => return Some(Ok(response)),
                Err(failure) => failure,
            };
            let outcome = error.error.to_string();
            log::info!(
                event = "forward_failed", request = inbound.log_id(), peer = &*host.name,
                outcome = outcome.as_str(); ""
            );
            self.metrics.forwarded("failed");
            if error.error.execution == Execution::NotRun {
                inbound.progress.end_send_unrun();
            }
            match error {
                ForwardFailure { is_hop: false, error } => return Some(Err(error)),
                ForwardFailure { error, .. } if error.execution == Execution::NotRun => {}
                ForwardFailure { error, .. } => {
                    self.peers.mark_unresponsive(&host.name);
                    inbound.progress.record_run();
                    let may_send_again = inbound.route.repeat.allows_rerun()
                        && inbound.progress.runs() < inbound.route.max_attempts;
                    if !may_send_again {
                        return Some(Err(error));
                    }
                }
            }
        }
        None
    }

    async fn send(
        &self,
        inbound: &InboundRequest,
        host: &Host,
        is_counted: bool,
    ) -> Result<Response<ResponseBody>, ForwardFailure> {
        let now = self.clock.now();
        let age = now.saturating_duration_since(inbound.arrived);
        let req = ForwardRequest {
            configuration: self.view.configuration().map_or(0, |c| c.version),
            is_counted,
            ..ForwardRequest::new(inbound, age, inbound.remaining(now))
        };
        log::info!(event = "forwarded", request = inbound.log_id(), peer = &*host.name; "");
        let _in_flight = ForwardGuard::begin(&self.in_flight, &host.name);
        let call = self.peers.forward(host, req).await.map_err(ForwardFailure::of_hop)?;
        let mut replies = Replies { call, _in_flight };
        let (status, lines, length) = match replies.next().await.map_err(ForwardFailure::of_hop)? {
            ForwardReply::Head(status, lines, length) => (status, lines, length),
            // The host itself may not serve it, so another one may.
            ForwardReply::Failed(error) if error.code == ErrorCode::NotReady => {
                return Err(ForwardFailure::of_hop(error));
            }
            ForwardReply::Failed(error) => return Err(ForwardFailure { is_hop: false, error }),
            _ => return Err(ForwardFailure::of_hop(unknown("a response without a head"))),
        };
        let mut headers = message::header_map(&lines).map_err(ForwardFailure::of_hop)?;
        let body = match length {
            Some(length) if length <= MAX_BUFFERED_BYTES => {
                full_body(replies.collect().await.map_err(ForwardFailure::of_hop)?)
            }
            _ => {
                if let Some(length) = length {
                    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
                StreamBody::new(replies.into_stream()).boxed_unsync()
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(status)
            .map_err(|e| ForwardFailure::of_hop(unknown(&format!("status {status}: {e}"))))?;
        *response.headers_mut() = headers;
        self.metrics.forwarded("answered");
        Ok(response)
    }
}

/// A forwarded request without a response.
struct ForwardFailure {
    /// Whether the hop failed, as opposed to what the other host tried.
    is_hop: bool,
    error: Error,
}

impl ForwardFailure {
    fn of_hop(error: Error) -> ForwardFailure {
        ForwardFailure { is_hop: true, error }
    }
}

fn unknown(what: &str) -> Error {
    unavailable(format!("the forwarded request got {what}")).execution(Execution::Unknown)
}

/// The replies to one forwarded request. Dropping them cancels it.
struct Replies {
    call: RemoteCall,
    _in_flight: ForwardGuard,
}

impl Replies {
    async fn next(&mut self) -> Result<ForwardReply> {
        let frame = self.call.next().await.map_err(|e| e.execution(Execution::Unknown))?;
        let frame = frame.ok_or_else(|| unknown("no complete response"))?;
        frames::decode(&frame).map_err(|e| invalid(e.message).execution(Execution::Unknown))
    }

    /// Reads the whole body.
    async fn collect(mut self) -> Result<Bytes> {
        let mut body: Vec<u8> = Vec::new();
        loop {
            match self.next().await? {
                ForwardReply::Data(data) if body.is_empty() => body = data.into(),
                ForwardReply::Data(data) => body.extend_from_slice(&data),
                ForwardReply::End => return Ok(body.into()),
                _ => return Err(unknown("an incomplete response")),
            }
        }
    }

    /// Returns the frames of the body as they arrive.
    fn into_stream(self) -> impl futures::Stream<Item = Result<Frame<Bytes>, Truncated>> + Send {
        unfold(Some(self), |replies| async move {
            let mut replies = replies?;
            match replies.next().await {
                Ok(ForwardReply::Data(data)) => Some((Ok(Frame::data(data)), Some(replies))),
                Ok(ForwardReply::End) => None,
                _ => Some((Err(Truncated), None)),
            }
        })
    }
}

/// Counts one request that another host serves until it is dropped.
struct ForwardGuard {
    in_flight: Arc<Mutex<HashMap<Name, usize>>>,
    host: Name,
}

impl ForwardGuard {
    fn begin(in_flight: &Arc<Mutex<HashMap<Name, usize>>>, host: &Name) -> ForwardGuard {
        *in_flight.lock().entry(host.clone()).or_default() += 1;
        ForwardGuard { in_flight: in_flight.clone(), host: host.clone() }
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut in_flight = self.in_flight.lock();
        if let Some(count) = in_flight.get_mut(&self.host) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.host);
            }
        }
    }
}
