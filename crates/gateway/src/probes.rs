//! The `probes` module serves the balancer's readiness probe and the metrics page.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use aspenloft_core::prelude::{Arc, SharedClock};
use aspenloft_transport::accept::Acceptor;
use aspenloft_transport::connections::{ConnectionLimits, ConnectionSet, TrackedConnection};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::metrics::Metrics;
use crate::responses::{ResponseBody, full_body};
use crate::shutdown::Shutdown;
use crate::view::View;

/// The content type of the metrics page.
const METRICS_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// The limits of one listener. Each new connection is admitted, as it may be the balancer's.
const LIMITS: ConnectionLimits =
    ConnectionLimits { max: 16, max_excess: 0, first_request: Duration::ZERO };

/// How long a connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// `Readiness` tells whether the host accepts callers.
#[derive(Clone)]
pub struct Readiness {
    /// The host's view of the deployment, which must be complete.
    pub view: Arc<View>,
    /// The host's shutdown, which must not have begun.
    pub shutdown: Arc<Shutdown>,
}

impl Readiness {
    /// Tells whether the host accepts callers.
    pub fn is_ready(&self) -> bool {
        self.view.is_complete() && !self.shutdown.is_leaving()
    }
}

/// Serves the readiness probe on `path`; does not return.
pub async fn serve_readiness(
    listener: TcpListener,
    path: String,
    readiness: Readiness,
    metrics: Arc<Metrics>,
    clock: SharedClock,
) {
    let path = Arc::new(path);
    serve(listener, "readiness", metrics, clock, move |req: Request<Incoming>| {
        let path_matches = req.uri().path() == path.as_str();
        let status = match (path_matches, readiness.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        let mut response = Response::new(full_body("{}"));
        *response.status_mut() = status;
        response
    })
    .await;
}

/// Serves the metrics page on every path; does not return.
pub async fn serve_metrics(listener: TcpListener, metrics: Arc<Metrics>, clock: SharedClock) {
    serve(listener, "metrics", metrics.clone(), clock, move |_| match metrics.render() {
        Ok(page) => {
            let mut response = Response::new(full_body(page));
            response.headers_mut().insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
            response
        }
        Err(e) => {
            log::warn!(event = "metrics_unrendered", error = e.to_string().as_str(); "");
            let mut response = Response::new(full_body(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    })
    .await;
}

async fn serve(
    listener: TcpListener,
    name: &'static str,
    metrics: Arc<Metrics>,
    clock: SharedClock,
    respond: impl Fn(Request<Incoming>) -> Response<ResponseBody> + Clone + Send + Sync + 'static,
) {
    let mut acceptor = Acceptor::new(listener, name);
    let connections = ConnectionSet::new(LIMITS, clock);
    loop {
        let Ok(stream) = acceptor.accept().await else {
            metrics.accept_failed(name);
            continue;
        };
        if let Some(tracked) = connections.admit() {
            task::spawn(serve_connection(stream, tracked, respond.clone()));
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    tracked: TrackedConnection,
    respond: impl Fn(Request<Incoming>) -> Response<ResponseBody> + Clone + Send + 'static,
) {
    let service = service_fn(move |req| {
        let response = respond(req);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(FuturesIo::new(stream), service);
    // Dropping the connection closes it; responses are short and ready at once.
    match select(pin!(connection), pin!(tracked.close_requested())).await {
        Either::Left((Err(e), _)) => {
            log::debug!(event = "probe_connection", error = e.to_string().as_str(); "");
        }
        Either::Left((Ok(()), _)) | Either::Right(_) => {}
    }
}
