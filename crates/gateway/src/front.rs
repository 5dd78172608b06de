//! The `front` module accepts callers' connections, reads their requests in full and
//! passes them to the handler of plain calls or of model requests.

use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::time::{Duration, Instant};

use aspenloft_core::clock::after;
use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name, Result, SharedClock};
use aspenloft_transport::accept::Acceptor;
use aspenloft_transport::connections::{ConnectionSet, TrackedConnection};
use aspenloft_transport::socket::{self, KeepaliveOptions, is_shortage};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use futures::future::{Either, select};
use futures::pin_mut;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use xxhash_rust::xxh3::xxh3_64;

use crate::body_budget::{BodyBudget, BodyReservation};
use crate::call::CallHandler;
use crate::configuration::{CallerLimits, Configuration, Route};
use crate::containment::{contain, contain_sync, panic_error};
use crate::descriptors::relieve;
use crate::dialect::{Dialect, RequestMetadata};
use crate::forwarding::Forwarder;
use crate::generation::GenerationHandler;
use crate::http::headers::KEEP_ALIVE;
use crate::metrics::Metrics;
use crate::request::InboundRequest;
use crate::responses::{self, ResponseBody};
use crate::retries::RetryBudgets;
use crate::shutdown::{Shutdown, WorkKind};
use crate::view::View;

/// The `Retry-After` of a host that has just started and has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The `Retry-After` of a host that is shutting down; another host accepts the request.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The `Retry-After` of a request for whose body there is no memory.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The `Retry-After` of a request for whose connection there is no room.
const CONNECTION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The share of the time for which an idle connection will probably be kept that callers are
/// told.
const ANNOUNCED_SHARE: f64 = 0.7;

/// How often it is checked whether there is room for a connection.
const ADMISSION_RETRY_DELAY: Duration = Duration::from_millis(10);

/// How long a connection that is closed for another one may take to begin a request that was
/// on its way.
const CLOSE_GRACE: Duration = Duration::from_millis(100);

/// The maximum size of the read buffer of a connection, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// The name of the callers' listener in logs and metrics.
const LISTENER: &str = "callers";

/// `Frontend` serves the callers' HTTP connections.
pub struct Frontend {
    /// The configuration and the servers that are known to this host.
    pub view: Arc<View>,
    /// Translates the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// Serves calls of plain services.
    pub calls: CallHandler,
    /// Serves model requests.
    pub generations: Arc<GenerationHandler>,
    /// Has other hosts serve requests.
    pub forwarder: Forwarder,
    /// Limits the callers' connections.
    pub connections: Arc<ConnectionSet>,
    /// Limits the memory of buffered bodies.
    pub bodies: Arc<BodyBudget>,
    /// The budgets of extra sends, which grow with the number of requests.
    pub retries: Arc<RetryBudgets>,
    /// The state of the host's shutdown.
    pub shutdown: Arc<Shutdown>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The source of time.
    pub clock: SharedClock,
}

impl Frontend {
    /// Accepts connections until the process ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut acceptor = Acceptor::new(listener, LISTENER);
        loop {
            match acceptor.accept().await {
                Ok(stream) => {
                    let tracked = self.admit().await;
                    task::spawn(self.clone().serve_connection(stream, tracked));
                }
                Err(e) => {
                    self.metrics.accept_failed(LISTENER);
                    if is_shortage(&e) {
                        relieve(&self.connections);
                    }
                }
            }
        }
    }

    /// Waits until there is room for a connection that has been accepted. Those after it wait in
    /// the listener's queue.
    async fn admit(&self) -> TrackedConnection {
        loop {
            match self.connections.admit() {
                Some(tracked) => return tracked,
                None => task::sleep(ADMISSION_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, tracked: TrackedConnection) {
        let _open = self.shutdown.track_connection();
        let tracked = Arc::new(tracked);
        // A caller may read slowly, so the connection only ends when the peer's TCP
        // stack stops acknowledging data.
        let silence =
            KeepaliveOptions { user_timeout: CALLER_ACK_TIMEOUT, ..KeepaliveOptions::default() };
        if let Err(e) = socket::configure(&stream, &silence) {
            log::debug!(event = "caller_unconfigured", error = e.to_string().as_str(); "");
            return;
        }
        let limits = self.limits();
        // The balancer may send callers until the end; each gets one answer.
        let is_closing = self.shutdown.is_closing();
        let head_timeout = match is_closing {
            true => limits.header_timeout,
            false => limits.idle_timeout.max(limits.header_timeout),
        };
        let (frontend, connection) = (self.clone(), tracked.clone());
        let service = service_fn(move |req| {
            let (frontend, connection) = (frontend.clone(), connection.clone());
            async move {
                let used = connection.begin_use();
                let response = frontend.handle(req, connection.is_refused()).await;
                let response = response.map(|body| responses::using_connection(body, used));
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .keep_alive(!is_closing)
            .header_read_timeout(head_timeout)
            .max_buf_size(MAX_BUFFER_BYTES.max(limits.max_header_bytes))
            .serve_connection(FuturesIo::new(stream), service);
        let shutdown = async {
            match is_closing {
                true => pending().await,
                false => self.shutdown.close_requested().await,
            }
        };
        let place_needed = tracked.close_requested();
        pin_mut!(connection, shutdown, place_needed);
        let ended = match select(connection, select(shutdown, place_needed)).await {
            Either::Left((ended, _)) => ended,
            Either::Right((reason, mut connection)) => {
                connection.as_mut().graceful_shutdown();
                if matches!(reason, Either::Right(_)) {
                    let ended = timeout(CLOSE_GRACE, connection.as_mut()).await;
                    // Dropping the connection closes it.
                    if ended.is_ok() || !tracked.is_in_use() {
                        return;
                    }
                }
                connection.await
            }
        };
        if let Err(e) = ended {
            log::debug!(event = "caller_connection", error = e.to_string().as_str(); "");
        }
    }

    fn limits(&self) -> CallerLimits {
        self.view.configuration().map(|c| c.limits.clone()).unwrap_or_default()
    }

    /// Returns the response to `req`. All requests of a connection that `is_refused` are refused.
    async fn handle(
        self: Arc<Self>,
        req: Request<Incoming>,
        is_refused: bool,
    ) -> Response<ResponseBody> {
        let _in_flight = self.shutdown.track_request();
        let arrived = self.clock.now();
        let (head, body) = req.into_parts();
        let metadata = contain_sync("request", || self.dialect.read_request(&head))
            .unwrap_or_else(|| Err(panic_error(false)));
        let id = metadata.as_ref().ok().and_then(|metadata| metadata.id.clone());
        let mut pending = PendingRequest { frontend: &self, id: id.clone(), arrived, active: true };
        let mut route = "-".to_string();
        let result = match metadata {
            _ if is_refused => Err(no_room_error()),
            Ok(metadata) => {
                let routed = self.route(head, body, metadata, arrived, &mut route);
                let contained = contain("request", routed).await;
                contained.unwrap_or_else(|| Err(panic_error(true)))
            }
            Err(e) => Err(e),
        };
        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                self.log_failure(id.as_ref(), &error, arrived);
                responses::error_response(&error, id.as_ref(), &*self.dialect)
            }
        };
        pending.active = false;
        let took = self.clock.now().saturating_duration_since(arrived);
        self.metrics.responded(&route, response.status().as_u16(), took);
        let is_last = is_refused || self.shutdown.is_leaving();
        if is_last || response.status() == StatusCode::BAD_REQUEST {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        } else {
            self.announce_idle_time(response.headers_mut());
        }
        response
    }

    /// Tells the caller how long its connection may stay idle, if it would be closed sooner than
    /// the configuration says. A request on a connection that is being closed is lost.
    fn announce_idle_time(&self, headers: &mut HeaderMap) {
        let Some(expected) = self.connections.expected_idle_time() else { return };
        let kept = expected.mul_f64(ANNOUNCED_SHARE);
        if kept >= self.limits().idle_timeout {
            return;
        }
        match HeaderValue::try_from(format!("timeout={}", kept.as_secs())) {
            Ok(timeout) if kept.as_secs() > 0 => {
                headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
                headers.insert(KEEP_ALIVE, timeout);
            }
            _ => {
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
    }

    async fn route(
        &self,
        head: request::Parts,
        body: Incoming,
        metadata: RequestMetadata,
        arrived: Instant,
        route_name: &mut String,
    ) -> Result<Response<ResponseBody>> {
        check_framing(&head.headers)?;
        let Some(configuration) = self.view.configuration().filter(|_| self.view.is_complete())
        else {
            let error = Error::new(ErrorCode::NotReady, "the host has no configuration yet");
            return Err(error.retry_after(STARTUP_RETRY_AFTER));
        };
        // Boxed, because the connection holds the state of its next request while it is idle.
        let read = Box::pin(self.read(head, body, metadata, arrived, &configuration));
        let inbound = Arc::new(self.unless_ending(read, || false).await?);
        *route_name = inbound.route.name.to_string();
        let remaining = inbound.remaining(self.clock.now());
        let serving = Box::pin(self.serve_here_or_forward(inbound.clone(), &configuration));
        let serving = with_deadline(serving, remaining);
        self.unless_ending(serving, || inbound.progress.may_have_run()).await
    }

    /// Waits for `work` on a request, but only until the host ends. The error then says whether
    /// the request `may_have_run`.
    pub(crate) async fn unless_ending<T>(
        &self,
        work: impl Future<Output = Result<T>>,
        may_have_run: impl Fn() -> bool,
    ) -> Result<T> {
        match select(pin!(work), pin!(self.shutdown.answer_requested())).await {
            Either::Left((outcome, _)) => outcome,
            Either::Right(_) if may_have_run() => {
                let error = Error::new(ErrorCode::Timeout, "the host ended before the response");
                Err(error.execution(Execution::Unknown))
            }
            Either::Right(_) => Err(leaving_error()),
        }
    }

    /// Serves the request, through another host if that is the only way.
    async fn serve_here_or_forward(
        &self,
        inbound: Arc<InboundRequest>,
        configuration: &Configuration,
    ) -> Result<Response<ResponseBody>> {
        self.check_leaving(&inbound)?;
        if let Some(response) = self.forwarder.forward_at_once(&inbound).await {
            return response;
        }
        let error = match self.serve_here(inbound.clone(), configuration, false).await {
            Err(error) => error,
            response => return response,
        };
        let forwarded = self.forwarder.forward_after(&inbound, &error).await;
        forwarded.unwrap_or_else(|| {
            // It may have run at a host that did not answer.
            let has_run = inbound.progress.runs() > 0;
            Err(if has_run { error.execution(Execution::Unknown) } else { error })
        })
    }

    /// Serves the request with the servers that this host reaches. `is_counted` is whether
    /// another host has counted it for the retry budgets.
    pub(crate) async fn serve_here(
        &self,
        inbound: Arc<InboundRequest>,
        configuration: &Configuration,
        is_counted: bool,
    ) -> Result<Response<ResponseBody>> {
        let now = self.clock.now();
        if !is_counted {
            self.retries.record_request(&inbound.service, now);
        }
        self.check_leaving(&inbound)?;
        let remaining = inbound.remaining(now);
        let engine = configuration.services.get(&inbound.service).and_then(|s| s.engine.as_ref());
        match (inbound.metadata.generation, engine) {
            (Some(requested), Some(engine)) => {
                let serving = self.generations.serve(inbound, requested, engine);
                let served = contain("generation", with_deadline(serving, remaining)).await;
                // Its progress does not tell whether an engine is being asked.
                served.unwrap_or_else(|| Err(panic_error(true)))
            }
            _ => {
                let serving = self.calls.serve(&inbound);
                let served = contain("call", with_deadline(serving, remaining)).await;
                served.unwrap_or_else(|| Err(panic_error(inbound.progress.may_have_run())))
            }
        }
    }

    /// Refuses work that the host cannot finish before it shuts down.
    fn check_leaving(&self, inbound: &InboundRequest) -> Result<()> {
        let work = match inbound.metadata.generation {
            Some(_) => WorkKind::Generation,
            None => WorkKind::Call { repeatable: inbound.route.repeat.allows_rerun() },
        };
        let now = self.clock.now();
        let limit = inbound.remaining(now);
        match self.shutdown.may_start(work, limit, now) {
            true => Ok(()),
            false => Err(leaving_error()),
        }
    }

    /// Selects the request's route and service, and reads its body.
    async fn read(
        &self,
        head: request::Parts,
        body: Incoming,
        metadata: RequestMetadata,
        arrived: Instant,
        configuration: &Configuration,
    ) -> Result<InboundRequest> {
        let selected = self.select_route(&head, &metadata, configuration)?;
        let reservation = self.reserve_body(body.size_hint().exact())?;
        let max_bytes = configuration.limits.max_body_bytes;
        let body = read_body(body, max_bytes, selected.time_limit).await?;
        Ok(selected.inbound(head, body, reservation, metadata, arrived))
    }

    /// Selects the route of a request by its head, and the service by the route's weights.
    pub(crate) fn select_route(
        &self,
        head: &request::Parts,
        metadata: &RequestMetadata,
        configuration: &Configuration,
    ) -> Result<SelectedRoute> {
        let host = request_host(head)?;
        let path = head.uri.path();
        let route = configuration.route(&host, path).cloned();
        let route = route.ok_or_else(|| {
            Error::new(ErrorCode::NotFound, format!("no route for host {host} and path {path}"))
        })?;
        // A stream that is taken up goes to the service that began it.
        let drawn_from = metadata.resumes.as_ref().or(metadata.id.as_ref());
        let hash = drawn_from.map_or(0, |id| xxh3_64(id.as_bytes()));
        let service = route.pick_service(hash).cloned().ok_or_else(|| {
            Error::new(ErrorCode::NoBackend, format!("route {} has no service", route.name))
        })?;
        let time_limit = metadata.timeout.unwrap_or(route.timeout).min(route.timeout);
        Ok(SelectedRoute { route: Arc::new(route), service, time_limit })
    }

    /// Reserves memory for a body of `length` bytes.
    pub(crate) fn reserve_body(&self, length: Option<u64>) -> Result<BodyReservation> {
        self.bodies.reserve(length).ok_or_else(|| {
            Error::new(ErrorCode::Overloaded, "the memory limit for request bodies is reached")
                .retry_after(BODY_MEMORY_RETRY_AFTER)
        })
    }

    fn log_failure(&self, id: Option<&Name>, error: &Error, arrived: Instant) {
        let request = id.map_or("-", |id| &**id);
        let after_ms = self.clock.now().saturating_duration_since(arrived).as_millis() as u64;
        let (code, execution) = (error.code.to_string(), error.execution.to_string());
        self.metrics.failed(&code);
        log::warn!(
            event = "failed", request, code = code.as_str(), execution = execution.as_str(),
            after_ms, cause = error.message.as_str(); ""
        );
    }
}

/// `SelectedRoute` is what the configuration says of a request.
pub(crate) struct SelectedRoute {
    route: Arc<Route>,
    service: Name,
    /// The time from the request's arrival to its deadline.
    time_limit: Duration,
}

impl SelectedRoute {
    /// Returns the request with its whole body.
    pub(crate) fn inbound(
        self,
        head: request::Parts,
        body: Bytes,
        body_reservation: BodyReservation,
        metadata: RequestMetadata,
        arrived: Instant,
    ) -> InboundRequest {
        let SelectedRoute { route, service, time_limit } = self;
        let (crash_state, progress) = Default::default();
        InboundRequest {
            head,
            body,
            body_reservation,
            metadata,
            route,
            service,
            arrived,
            deadline: after(arrived, time_limit),
            crash_state,
            progress,
            is_forwarded: false,
        }
    }
}

/// `PendingRequest` logs and counts a request whose caller disconnects before the
/// response, in which case the connection drops the request's future.
struct PendingRequest<'a> {
    frontend: &'a Frontend,
    id: Option<Name>,
    arrived: Instant,
    active: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        let request = self.id.as_deref().unwrap_or("-");
        let waited = self.frontend.clock.now().saturating_duration_since(self.arrived);
        self.frontend.metrics.failed("caller_gone");
        log::info!(event = "caller_gone", request, after_ms = waited.as_millis() as u64; "");
    }
}

/// Returns the error of a request that has not run and that another host can serve.
pub(crate) fn leaving_error() -> Error {
    Error::new(ErrorCode::NotReady, "the host is shutting down").retry_after(LEAVING_RETRY_AFTER)
}

/// Returns the error of a request whose connection has no room beside those in use.
fn no_room_error() -> Error {
    Error::new(ErrorCode::Overloaded, "too many connections are in use")
        .retry_after(CONNECTION_RETRY_AFTER)
}

/// How long data to a caller may stay unacknowledged before the connection is closed.
const CALLER_ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// Limits the wait for the head of the response to the time that remains.
async fn with_deadline(
    response: impl Future<Output = Result<Response<ResponseBody>>>,
    remaining: Duration,
) -> Result<Response<ResponseBody>> {
    timeout(remaining, response).await.unwrap_or_else(|_| {
        // The dropped request may have reached a backend server.
        let error = Error::new(ErrorCode::Timeout, "the request's deadline has passed");
        Err(error.execution(Execution::Unknown))
    })
}

/// Refuses a head with ambiguous framing or more than one `Host` header, which allows
/// request smuggling.
fn check_framing(headers: &HeaderMap) -> Result<()> {
    let both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    if both || headers.get_all(HOST).iter().count() > 1 {
        return Err(Error::new(ErrorCode::Invalid, "the request's framing or host is ambiguous"));
    }
    Ok(())
}

/// Returns the request's host in lower case, without the port.
fn request_host(head: &request::Parts) -> Result<String> {
    let authority = head.uri.authority().map(|a| a.as_str());
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = authority
        .or(header)
        .ok_or_else(|| Error::new(ErrorCode::Invalid, "the request has no host"))?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

/// Reads a body of at most `max_bytes` bytes within `limit`.
async fn read_body(body: Incoming, max_bytes: usize, limit: Duration) -> Result<Bytes> {
    let read = timeout(limit, Limited::new(body, max_bytes).collect()).await;
    let read = read.map_err(|_| {
        Error::new(ErrorCode::SlowRequest, "the request body was not received in time")
    })?;
    let whole = read.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            Error::new(ErrorCode::TooLarge, format!("the request body exceeds {max_bytes} bytes"))
        } else {
            Error::new(ErrorCode::Invalid, format!("cannot read the request body: {e}"))
        }
    })?;
    Ok(whole.to_bytes())
}
