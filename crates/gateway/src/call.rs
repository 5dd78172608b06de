//! The `call` module serves a call of a plain service: one send, and others where
//! the call has not run or may run again.

use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name, SharedClock};
use aspenloft_policy::service_choice::{ServerLoad, choose_server};
use bytes::Bytes;
use http::{Response, response};

use crate::answers::{AnswerBody, relayed, whole};
use crate::dialect::{Dialect, Phase, SendTerms};
use crate::http::{Exchange, FailureCause, SendFailure};
use crate::peers::Peers;
use crate::request::Inbound;
use crate::retries::Retries;
use crate::roster::{Server, ServerRole};
use crate::view::View;

/// The largest answer that is read as a whole before it goes to the caller, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The most sends of one call, whatever became of them.
const MAX_SENDS: usize = 4;

/// How many times its target an idempotent call may take on one server before it
/// is sent to another: far longer than usual work, well within the deadline.
const PATIENCE_FACTOR: u32 = 2;

/// The shortest time for which an answer to an idempotent call is waited for.
const MIN_PATIENCE: Duration = Duration::from_millis(250);

/// When a caller should come back for whom no server could be found.
const SERVER_EXPECTED_IN: Duration = Duration::from_millis(300);

/// `Calls` serves calls of plain services.
pub struct Calls {
    /// What the host believes.
    pub view: Arc<View>,
    /// Sends requests.
    pub exchange: Exchange,
    /// Translates heads.
    pub dialect: Arc<dyn Dialect>,
    /// Bounds extra sends.
    pub retries: Arc<Retries>,
    /// The other hosts.
    pub peers: Arc<Peers>,
    /// Tells the time.
    pub clock: SharedClock,
    /// The host's data centre.
    pub data_centre: Name,
}

/// What one send came to.
enum Sent {
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// The server says that it did not run the call.
    Refused,
    /// No usable answer.
    Failed(SendFailure),
}

impl Sent {
    /// Tells whether the call may have reached the server.
    fn arrived(&self) -> bool {
        !matches!(self, Sent::Failed(failure) if !failure.arrived())
    }
}

impl Calls {
    /// Serves the call; the error says what is known of its fate.
    pub async fn serve(&self, inbound: &Inbound) -> Result<Response<AnswerBody>, Error> {
        let mut tried: Vec<Name> = Vec::new();
        let mut runs = 0;
        // Whether a server has had the call: what never arrived is not sent again.
        let mut arrived = false;
        let mut last = Error::new(ErrorCode::NoBackend, "no server of the service is open")
            .retry_after(SERVER_EXPECTED_IN);
        let mut kept: Option<(response::Parts, Bytes)> = None;
        while tried.len() < MAX_SENDS {
            let now = self.clock.now();
            if inbound.left(now).is_zero() {
                break;
            }
            let Some(server) = self.choose(inbound, &tried) else { break };
            if arrived && !self.may_send_again(inbound, now) {
                break;
            }
            tried.push(server.entry.instance.clone());
            let spare = runs + 1 < inbound.route.max_attempts;
            let sent = self.send(inbound, &server, spare).await;
            arrived |= sent.arrived();
            match sent {
                Sent::Whole(head, body) if !head.status.is_server_error() => {
                    return Ok(relayed(&head, whole(body)));
                }
                Sent::Whole(head, body) => {
                    runs += 1;
                    kept = Some((head, body));
                }
                Sent::Refused => {
                    last = Error::new(ErrorCode::Overloaded, "the service's servers are full")
                        .retry_after(SERVER_EXPECTED_IN);
                    continue;
                }
                Sent::Failed(failure) => {
                    last = error_of(failure);
                    if !failure.arrived() {
                        continue;
                    }
                    runs += 1;
                }
            }
            if !inbound.route.repeat.allows_rerun() || runs >= inbound.route.max_attempts {
                break;
            }
        }
        match kept {
            Some((head, body)) => Ok(relayed(&head, whole(body))),
            None => Err(if runs > 0 { last.execution(Execution::Unknown) } else { last }),
        }
    }

    fn may_send_again(&self, inbound: &Inbound, now: Instant) -> bool {
        let hosts = self.peers.live_hosts();
        self.retries.try_extra(inbound.id(), &inbound.service, now, hosts)
    }

    fn choose(&self, inbound: &Inbound, tried: &[Name]) -> Option<Arc<Server>> {
        let now = self.clock.now();
        let mut servers = self.view.roster().open(&inbound.service, ServerRole::Plain, now);
        servers.retain(|s| !tried.contains(&s.entry.instance));
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

    async fn send(&self, inbound: &Inbound, server: &Server, spare: bool) -> Sent {
        let left = inbound.left(self.clock.now());
        let usual = (inbound.route.target_latency * PATIENCE_FACTOR).max(MIN_PATIENCE);
        let may_repeat = spare && inbound.route.repeat.allows_rerun();
        let limit = if may_repeat { left.min(usual) } else { left };
        let terms = SendTerms {
            instance: server.entry.instance.clone(),
            patience: left,
            phase: Phase::Whole,
        };
        let req = inbound.outbound(&*self.dialect, &terms);
        let sent = self.exchange_whole(inbound, server, req, limit).await;
        self.note(inbound, server, &sent);
        sent
    }

    async fn exchange_whole(
        &self,
        inbound: &Inbound,
        server: &Server,
        req: http::Request<http_body_util::Full<Bytes>>,
        limit: Duration,
    ) -> Sent {
        let id = inbound.terms.id.as_ref();
        let answer = match self.exchange.send(server, id, req, limit).await {
            Ok(answer) => answer,
            Err(failure) => return Sent::Failed(failure),
        };
        let (head, terms) = (answer.head.clone(), answer.terms.clone());
        let left = inbound.left(self.clock.now());
        let body = match self.exchange.read_body(answer, MAX_ANSWER_BYTES, left).await {
            Ok(body) => body,
            // What was refused was not run, whatever became of the refusal's body.
            Err(_) if terms.refused() => return Sent::Refused,
            Err(failure) => return Sent::Failed(failure),
        };
        if terms.refused() {
            return Sent::Refused;
        }
        if head.status.is_success() && !terms.sealed {
            return Sent::Failed(SendFailure::unknown(FailureCause::WrongAnswer));
        }
        Sent::Whole(head, body)
    }

    fn note(&self, inbound: &Inbound, server: &Server, sent: &Sent) {
        let now = self.clock.now();
        let outcome = match sent {
            Sent::Whole(head, _) if head.status.is_server_error() => {
                server.state.health(|h| h.record_failure(now));
                "server_error".to_string()
            }
            Sent::Whole(..) => {
                server.state.health(|h| h.record_success(now));
                return;
            }
            Sent::Refused => {
                server.state.health(|h| h.record_failure(now));
                "refused".to_string()
            }
            Sent::Failed(failure) => {
                failure.note(server, now);
                failure.cause.to_string()
            }
        };
        let at = &*server.entry.instance;
        log::info!(event = "send_failed", request = inbound.id(), server = at, outcome = outcome.as_str(); "");
    }
}

/// Returns what the caller is told of a failed send.
pub fn error_of(failure: SendFailure) -> Error {
    let code = match failure.cause {
        FailureCause::Timeout => ErrorCode::Timeout,
        _ => ErrorCode::Unavailable,
    };
    let message = format!("the backend server gave no answer: {}", failure.cause);
    let error = Error::new(code, message).execution(failure.execution);
    match failure.execution {
        Execution::NotRun => error.retry_after(SERVER_EXPECTED_IN),
        _ => error,
    }
}
