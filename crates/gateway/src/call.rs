//! The `call` module serves calls of plain services. A call is sent again when it has
//! not run, or when its route allows it to run more than once.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::service_choice::{ServerLoad, choose_server};
use bytes::Bytes;
use http::{Response, response};

use crate::crashes::Crashes;
use crate::dialect::{Dialect, Phase, SendMetadata};
use crate::http::{BackendClient, FailureCause, SendFailure, WholeBody};
use crate::path::PathMonitor;
use crate::peers::Peers;
use crate::permits::{LimitReached, Permits, SendPermit};
use crate::request::InboundRequest;
use crate::responses::{ResponseBody, relayed_response, whole_body};
use crate::retries::RetryBudgets;
use crate::roster::{Server, ServerRole};
use crate::view::View;

/// The largest response that is buffered before it is sent to the caller, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// The maximum number of sends of one call, whatever their outcomes.
const MAX_SENDS: usize = 4;

/// How many times its target latency an idempotent call may take on one server before
/// it is sent to another: far longer than a usual call, well within the deadline.
const RERUN_LATENCY_FACTOR: u32 = 2;

/// The minimum time to wait for the response to an idempotent call before it is sent
/// to another server.
const MIN_RERUN_TIMEOUT: Duration = Duration::from_millis(250);

/// The `Retry-After` of a call for which no server accepted work.
const SERVER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `CallHandler` serves calls of plain services.
pub struct CallHandler {
    /// The configuration and the servers that are known to this host.
    pub view: Arc<View>,
    /// Sends requests to backend servers.
    pub client: BackendClient,
    /// The limits of servers.
    pub permits: Arc<Permits>,
    /// Translates the platform's headers.
    pub dialect: Arc<dyn Dialect>,
    /// The budgets of extra sends.
    pub retries: Arc<RetryBudgets>,
    /// The other hosts, which share the budgets.
    pub peers: Arc<Peers>,
    /// The crashes of servers and what they speak for.
    pub crashes: Arc<Crashes>,
    /// The state of the path to the servers.
    pub path: Arc<PathMonitor>,
    /// The source of time.
    pub clock: SharedClock,
    /// The data centre of this host; its servers are preferred.
    pub data_centre: Name,
}

/// The outcome of one send.
enum SendOutcome {
    /// A complete response.
    Complete(response::Parts, WholeBody),
    /// The server stated that it did not run the call.
    Refused,
    /// No usable response.
    Failed(SendFailure),
}

impl SendOutcome {
    /// Returns whether the call may have reached the server.
    fn reached_server(&self) -> bool {
        !matches!(self, SendOutcome::Failed(failure) if !failure.may_have_run())
    }

    /// Returns whether the server may have run the call.
    fn may_have_run(&self) -> bool {
        self.reached_server() && !matches!(self, SendOutcome::Refused)
    }
}

impl CallHandler {
    /// Serves the call. The error states whether the call may have been executed.
    pub async fn serve(&self, inbound: &InboundRequest) -> Result<Response<ResponseBody>, Error> {
        let mut tried: Vec<Name> = Vec::new();
        let progress = &inbound.progress;
        let mut error = Error::new(ErrorCode::NoBackend, "no server of the service is available")
            .retry_after(SERVER_RETRY_AFTER);
        let mut server_error: Option<(response::Parts, WholeBody)> = None;
        while tried.len() < MAX_SENDS {
            if inbound.remaining(self.clock.now()).is_zero() {
                break;
            }
            // Another host may reach what this one does not.
            if !tried.is_empty() && self.path.is_cut() {
                break;
            }
            if let Err(e) = self.crashes.check(inbound, &self.peers).await {
                error = e;
                break;
            }
            let (server, permit) = match self.choose_permitted(inbound, &tried).await {
                Ok(Some(chosen)) => chosen,
                Ok(None) => break,
                Err(limit) => {
                    error = limit_error(inbound, limit);
                    break;
                }
            };
            // A send only counts as an extra one after another has reached a server.
            if progress.has_arrived() && !self.take_extra_send(inbound, self.clock.now()) {
                break;
            }
            tried.push(server.entry.instance.clone());
            let attempts_left = progress.runs() + 1 < inbound.route.max_attempts;
            progress.begin_send();
            let sent = self.send(inbound, &server, permit, attempts_left).await;
            if sent.reached_server() {
                progress.record_arrival();
            }
            if !sent.may_have_run() {
                progress.end_send_unrun();
            }
            // A trial may crash the server that it reaches, and one shows enough.
            let may_try_again = !(inbound.is_trial() && sent.reached_server());
            match sent {
                SendOutcome::Complete(head, body) if !head.status.is_server_error() => {
                    return Ok(relayed_response(&head, whole_body(body)));
                }
                SendOutcome::Complete(head, body) => {
                    progress.record_run();
                    server_error = Some((head, body));
                }
                SendOutcome::Refused => {
                    error = Error::new(
                        ErrorCode::Overloaded,
                        "a server of the service refused the call",
                    )
                    .retry_after(SERVER_RETRY_AFTER);
                    if may_try_again {
                        continue;
                    }
                    break;
                }
                SendOutcome::Failed(failure) => {
                    error = send_error(failure);
                    if !failure.may_have_run() {
                        continue;
                    }
                    progress.record_run();
                }
            }
            let may_rerun = inbound.route.repeat.allows_rerun() && may_try_again;
            if !may_rerun || progress.runs() >= inbound.route.max_attempts {
                break;
            }
        }
        match server_error {
            Some((head, body)) => Ok(relayed_response(&head, whole_body(body))),
            None => {
                Err(if progress.runs() > 0 { error.execution(Execution::Unknown) } else { error })
            }
        }
    }

    fn take_extra_send(&self, inbound: &InboundRequest, now: Instant) -> bool {
        let hosts = self.peers.budget_hosts();
        self.retries.try_extra_send(inbound.log_id(), &inbound.service, now, hosts)
    }

    /// Chooses a server that is not in `tried` and acquires a permit for it. Returns `None`
    /// if there is no such server, and an error if the limits of all of them are reached.
    async fn choose_permitted(
        &self,
        inbound: &InboundRequest,
        tried: &[Name],
    ) -> Result<Option<(Arc<Server>, SendPermit)>, LimitReached> {
        let mut excluded = tried.to_vec();
        let mut reached: Option<LimitReached> = None;
        loop {
            let now = self.clock.now();
            let mut servers =
                self.view.roster().available(&inbound.service, ServerRole::Plain, now);
            servers.retain(|s| !excluded.contains(&s.entry.instance));
            // A request only waits for a server with a limit if there is no other server.
            let max_wait = match servers.iter().any(|s| !self.permits.is_limited(s)) {
                true => Duration::ZERO,
                false => inbound.permit_wait(now),
            };
            let waits = servers.iter().map(|s| self.permits.known_wait(s));
            reached = waits.fold(reached, |reached, wait| {
                let retry_after = wait.saturating_sub(max_wait);
                if retry_after.is_zero() {
                    reached
                } else {
                    sooner(reached, LimitReached { retry_after })
                }
            });
            servers.retain(|s| self.permits.known_wait(s) <= max_wait);
            let Some(server) = self.choose(&servers, now) else {
                return reached.map_or(Ok(None), Err);
            };
            match self.permits.acquire(&server, max_wait).await {
                Ok(permit) => return Ok(Some((server, permit))),
                // Another server may be free, or become free sooner.
                Err(limit) => {
                    reached = sooner(reached, limit);
                    excluded.push(server.entry.instance.clone());
                }
            }
        }
    }

    fn choose(&self, servers: &[Arc<Server>], now: Instant) -> Option<Arc<Server>> {
        let loads: Vec<ServerLoad> = servers
            .iter()
            .map(|s| ServerLoad {
                in_flight: s.state.in_flight(),
                slots: s.entry.slots,
                failure_rate: s.state.health(|h| h.failure_rate(now)),
                local: s.entry.data_centre == self.data_centre,
            })
            .collect();
        choose_server(&loads).map(|index| servers[index].clone())
    }

    async fn send(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        permit: SendPermit,
        attempts_left: bool,
    ) -> SendOutcome {
        let remaining = inbound.remaining(self.clock.now());
        let rerun_timeout = inbound
            .route
            .target_latency
            .saturating_mul(RERUN_LATENCY_FACTOR)
            .max(MIN_RERUN_TIMEOUT);
        let may_rerun = attempts_left && inbound.route.repeat.allows_rerun();
        let limit = if may_rerun { remaining.min(rerun_timeout) } else { remaining };
        let metadata = SendMetadata {
            instance: server.entry.instance.clone(),
            timeout: remaining,
            phase: Phase::Whole,
        };
        let sent = match inbound.outbound(&*self.dialect, &metadata) {
            Ok(req) => self.send_and_read(inbound, server, permit, req, limit).await,
            Err(failure) => SendOutcome::Failed(failure),
        };
        self.record_outcome(inbound, server, &sent);
        sent
    }

    async fn send_and_read(
        &self,
        inbound: &InboundRequest,
        server: &Server,
        permit: SendPermit,
        req: http::Request<http_body_util::Full<Bytes>>,
        limit: Duration,
    ) -> SendOutcome {
        let id = inbound.metadata.id.as_ref();
        let response = match self.client.send(server, permit, id, req, limit).await {
            Ok(response) => response,
            Err(failure) => return SendOutcome::Failed(failure),
        };
        let (head, metadata) = (response.head.clone(), response.metadata.clone());
        let remaining = inbound.remaining(self.clock.now());
        let body = match self.client.read_body(response, MAX_RESPONSE_BYTES, remaining).await {
            Ok(body) => body,
            // A refused call was not run, even when the body of the refusal is lost.
            Err(_) if metadata.refused() => return SendOutcome::Refused,
            Err(failure) => return SendOutcome::Failed(failure),
        };
        if metadata.refused() {
            return SendOutcome::Refused;
        }
        if head.status.is_success() && !metadata.sealed {
            return SendOutcome::Failed(SendFailure::unknown(FailureCause::WrongResponse));
        }
        SendOutcome::Complete(head, body)
    }

    fn record_outcome(&self, inbound: &InboundRequest, server: &Server, sent: &SendOutcome) {
        let now = self.clock.now();
        let outcome = match sent {
            // A server may fail whatever it is sent, so its error clears nothing.
            SendOutcome::Complete(head, _) if head.status.is_server_error() => {
                server.state.health(|h| h.record_failure(now));
                "server_error".to_string()
            }
            SendOutcome::Complete(..) => {
                self.crashes.record_answer(inbound);
                server.state.health(|h| h.record_success(now));
                return;
            }
            SendOutcome::Refused => {
                server.state.health(|h| h.record_failure(now));
                "refused".to_string()
            }
            SendOutcome::Failed(failure) => {
                failure.record_on(server, now);
                let broke_off = matches!(failure.cause, FailureCause::Broken | FailureCause::Cut);
                if broke_off && failure.may_have_run() {
                    self.crashes.report(inbound, server, &self.peers);
                }
                failure.cause.to_string()
            }
        };
        let instance = &*server.entry.instance;
        log::info!(event = "send_failed", request = inbound.log_id(), server = instance, outcome = outcome.as_str(); "");
    }
}

/// Returns the limit at which a request can be sent sooner.
fn sooner(reached: Option<LimitReached>, other: LimitReached) -> Option<LimitReached> {
    Some(
        reached.map_or(
            other,
            |limit| if limit.retry_after <= other.retry_after { limit } else { other },
        ),
    )
}

/// Returns the error for the caller of a request that no server may get now.
pub fn limit_error(inbound: &InboundRequest, limit: LimitReached) -> Error {
    let message = format!("all servers of service {} limit their requests", inbound.service);
    let after = limit.retry_after.max(SERVER_RETRY_AFTER);
    Error::new(ErrorCode::Overloaded, message).retry_after(inbound.with_jitter(after))
}

/// Returns the error for the caller of a request whose send failed.
pub fn send_error(failure: SendFailure) -> Error {
    let code = match failure.cause {
        FailureCause::Timeout => ErrorCode::Timeout,
        FailureCause::Shortage => ErrorCode::Overloaded,
        _ => ErrorCode::Unavailable,
    };
    let message = format!("no usable response from the backend server: {}", failure.cause);
    let error = Error::new(code, message).execution(failure.execution);
    match failure.execution {
        Execution::NotRun => error.retry_after(SERVER_RETRY_AFTER),
        _ => error,
    }
}
