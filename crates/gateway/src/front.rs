//! The `front` module takes callers' connections, reads their requests as a whole
//! and hands them to what serves their kind.

use std::convert::Infallible;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name, Result, SharedClock};
use aspenloft_transport::socket::{self, SilenceLimits};
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

use crate::answers::{self, AnswerBody};
use crate::bodies::Bodies;
use crate::call::Calls;
use crate::configuration::{CallerLimits, Configuration};
use crate::dialect::{Dialect, RequestTerms};
use crate::generation::Generations;
use crate::metrics::Metrics;
use crate::request::Inbound;
use crate::retries::Retries;
use crate::settings::ShutdownSettings;
use crate::shutdown::{Shutdown, WorkKind};
use crate::view::View;

/// How long to wait after a failed accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// When a caller should come back to a host that has just started.
const START_EXPECTED_IN: Duration = Duration::from_millis(500);

/// When a caller should come back whose request a leaving host does not start.
const OTHER_HOST_IN: Duration = Duration::from_millis(50);

/// When a caller should come back for whose body there was no memory.
const BODIES_GONE_IN: Duration = Duration::from_millis(500);

/// The largest buffer of one connection for heads and bodies, in bytes.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// `Front` serves callers.
pub struct Front {
    /// What the host believes.
    pub view: Arc<View>,
    /// Translates heads.
    pub dialect: Arc<dyn Dialect>,
    /// Serves calls of plain services.
    pub calls: Calls,
    /// Serves model requests.
    pub generations: Arc<Generations>,
    /// Bounds the bodies that are held.
    pub bodies: Arc<Bodies>,
    /// Counts requests for the budgets of extra sends.
    pub retries: Arc<Retries>,
    /// How far the host is on its way out.
    pub shutdown: Arc<Shutdown>,
    /// Bounds the stop.
    pub shutdown_settings: ShutdownSettings,
    /// Counts what happens.
    pub metrics: Arc<Metrics>,
    /// Tells the time.
    pub clock: SharedClock,
}

impl Front {
    /// Accepts callers for ever.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    task::spawn(self.clone().serve_connection(stream));
                }
                Err(e) => {
                    log::warn!(event = "accept_failed", error = e.to_string().as_str(); "");
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _open = self.shutdown.track_connection();
        // A caller may read slowly; only its system's silence ends the connection.
        let silence = SilenceLimits { unacknowledged: CALLER_SILENCE, ..SilenceLimits::default() };
        if let Err(e) = socket::configure(&stream, &silence) {
            log::debug!(event = "caller_unconfigured", error = e.to_string().as_str(); "");
            return;
        }
        let limits = self.limits();
        let front = self.clone();
        let service = service_fn(move |req| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.answer(req).await) }
        });
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_buf_size(MAX_BUFFER_BYTES.max(limits.max_header_bytes))
            .serve_connection(FuturesIo::new(stream), service);
        let closing = self.shutdown.close_requested();
        pin_mut!(connection, closing);
        let ended = match select(connection, closing).await {
            Either::Left((ended, _)) => ended,
            Either::Right((_, mut connection)) => {
                connection.as_mut().graceful_shutdown();
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

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let _in_flight = self.shutdown.track_request();
        let arrived = self.clock.now();
        let (head, body) = req.into_parts();
        let terms = self.dialect.read_request(&head);
        let id = terms.as_ref().ok().and_then(|terms| terms.id.clone());
        let mut unanswered = Unanswered { front: &self, id: id.clone(), arrived, open: true };
        let mut route = "-".to_string();
        let served = match terms {
            Ok(terms) => self.route(head, body, terms, arrived, &mut route).await,
            Err(e) => Err(e),
        };
        let mut answer = match served {
            Ok(answer) => answer,
            Err(error) => {
                self.log_failure(id.as_ref(), &error, arrived);
                answers::own(&error, id.as_ref(), &*self.dialect)
            }
        };
        unanswered.open = false;
        let took = self.clock.now().saturating_duration_since(arrived);
        self.metrics.answered(&route, answer.status().as_u16(), took);
        if self.shutdown.is_leaving() || answer.status() == StatusCode::BAD_REQUEST {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn route(
        &self,
        head: request::Parts,
        body: Incoming,
        terms: RequestTerms,
        arrived: Instant,
        name: &mut String,
    ) -> Result<Response<AnswerBody>> {
        check_framing(&head.headers)?;
        let Some(configuration) = self.view.configuration().filter(|_| self.view.is_complete())
        else {
            let error = Error::new(ErrorCode::NotReady, "no configuration is known yet");
            return Err(error.retry_after(START_EXPECTED_IN));
        };
        let inbound = self.read(head, body, terms, arrived, &configuration).await?;
        *name = inbound.route.name.to_string();
        self.retries.request(&inbound.service, arrived);
        let engine = configuration.services.get(&inbound.service).and_then(|s| s.engine.as_ref());
        match (inbound.terms.generation, engine) {
            (Some(need), Some(engine)) => {
                self.check_leaving(WorkKind::Answer)?;
                let inbound = Arc::new(inbound);
                let deadline = inbound.left(arrived);
                let served = self.generations.serve(inbound, need, engine);
                bounded(served, deadline).await
            }
            _ => {
                self.check_leaving(WorkKind::Call)?;
                bounded(self.calls.serve(&inbound), inbound.left(arrived)).await
            }
        }
    }

    /// Refuses to start work that the host will not live to end.
    fn check_leaving(&self, work: WorkKind) -> Result<()> {
        if !self.shutdown.may_start(work, &self.shutdown_settings, self.clock.now()) {
            let error = Error::new(ErrorCode::NotReady, "the host is about to stop");
            return Err(error.retry_after(OTHER_HOST_IN));
        }
        Ok(())
    }

    /// Finds the request's route and reads its body.
    async fn read(
        &self,
        head: request::Parts,
        body: Incoming,
        terms: RequestTerms,
        arrived: Instant,
        configuration: &Configuration,
    ) -> Result<Inbound> {
        let host = host_of(&head)?;
        let path = head.uri.path();
        let route = configuration.route(&host, path).cloned();
        let route = route.ok_or_else(|| {
            Error::new(ErrorCode::NotFound, format!("no route for host {host} and path {path}"))
        })?;
        let draw = terms.id.as_ref().map_or(0, |id| xxh3_64(id.as_bytes()));
        let service = route.pick_service(draw).cloned().ok_or_else(|| {
            Error::new(ErrorCode::NoBackend, format!("route {} has no service", route.name))
        })?;
        let patience = terms.patience.unwrap_or(route.timeout).min(route.timeout);
        let held = self.bodies.hold(body.size_hint().exact()).ok_or_else(|| {
            Error::new(ErrorCode::Overloaded, "too many bodies are held")
                .retry_after(BODIES_GONE_IN)
        })?;
        let body = read_body(body, configuration.limits.max_body_bytes, patience).await?;
        let deadline = arrived + patience;
        Ok(Inbound { head, body, held, terms, route: Arc::new(route), service, arrived, deadline })
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

/// `Unanswered` tells of a request whose caller goes before it has an answer, when
/// the connection drops the work on it.
struct Unanswered<'a> {
    front: &'a Front,
    id: Option<Name>,
    arrived: Instant,
    open: bool,
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.open {
            return;
        }
        let request = self.id.as_deref().unwrap_or("-");
        let waited = self.front.clock.now().saturating_duration_since(self.arrived);
        self.front.metrics.failed("caller_gone");
        log::info!(event = "caller_gone", request, after_ms = waited.as_millis() as u64; "");
    }
}

/// How long bytes to a caller may be unacknowledged before the connection is ended.
const CALLER_SILENCE: Duration = Duration::from_secs(5);

/// Ends the wait for an answer's head at the deadline.
async fn bounded(
    served: impl Future<Output = Result<Response<AnswerBody>>>,
    left: Duration,
) -> Result<Response<AnswerBody>> {
    timeout(left, served).await.unwrap_or_else(|_| {
        // What was dropped may have been with a backend server.
        let late = Error::new(ErrorCode::Timeout, "the request's time is over");
        Err(late.execution(Execution::Unknown))
    })
}

/// Refuses a head whose body's length can be read in two ways.
fn check_framing(headers: &HeaderMap) -> Result<()> {
    let both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    if both || headers.get_all(HOST).iter().count() > 1 {
        return Err(Error::new(ErrorCode::Invalid, "the request's framing or host is ambiguous"));
    }
    Ok(())
}

/// Returns the host that the request names, without a port.
fn host_of(head: &request::Parts) -> Result<String> {
    let authority = head.uri.authority().map(|a| a.as_str());
    let header = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = authority
        .or(header)
        .ok_or_else(|| Error::new(ErrorCode::Invalid, "the request names no host"))?;
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Ok(name.to_ascii_lowercase())
}

/// Reads a body of at most `most` bytes within `limit`.
async fn read_body(body: Incoming, most: usize, limit: Duration) -> Result<Bytes> {
    let read = timeout(limit, Limited::new(body, most).collect()).await;
    let read = read.map_err(|_| Error::new(ErrorCode::SlowRequest, "the body came too slowly"))?;
    let whole = read.map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() {
            Error::new(ErrorCode::TooLarge, format!("the body exceeds {most} bytes"))
        } else {
            Error::new(ErrorCode::Invalid, format!("the body cannot be read: {e}"))
        }
    })?;
    Ok(whole.to_bytes())
}
