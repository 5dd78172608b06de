//! The `request` module defines a caller's request while it is being served.

use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::clock::{after, bounded_seconds};
use aspenloft_core::prelude::{Arc, Name};
use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::crash_tracker::RequestCauses;
use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use xxhash_rust::xxh3::Xxh3;

use crate::body_budget::BodyReservation;
use crate::configuration::Route;
use crate::crashes::request_causes;
use crate::dialect::{Dialect, RequestMetadata, SendMetadata};
use crate::http::{FailureCause, SendFailure};

/// The maximum jitter that is added to `Retry-After`, as a share of it.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// The longest `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// `InboundRequest` is a caller's request that has been read in full.
#[derive(Debug)]
pub struct InboundRequest {
    /// The head as it was received.
    pub head: request::Parts,
    /// The complete body.
    pub body: Bytes,
    /// The reservation of the body's memory.
    pub body_reservation: BodyReservation,
    /// The values of the platform headers.
    pub metadata: RequestMetadata,
    /// The route that the request matches.
    pub route: Arc<Route>,
    /// The service that the route's weights selected.
    pub service: Name,
    /// When the head had been read.
    pub arrived: Instant,
    /// When the response must be complete: the caller's deadline or the route's
    /// timeout, whichever is earlier.
    pub deadline: Instant,
    /// What is known of the request's part in crashes of servers.
    pub crash_state: CrashState,
    /// Where the request has been sent so far.
    pub progress: Progress,
    /// Whether another host has forwarded the request, which therefore ends here.
    pub is_forwarded: bool,
}

/// `Progress` is where a request has been sent so far.
#[derive(Debug, Default)]
pub struct Progress {
    arrived: AtomicBool,
    prefilled: AtomicBool,
    sending: AtomicBool,
    runs: AtomicU32,
}

impl Progress {
    /// Returns whether the request may have reached a server, so that another send is an extra
    /// one.
    pub fn has_arrived(&self) -> bool {
        self.arrived.load(Ordering::SeqCst)
    }

    /// Records that the request may have reached a server.
    pub fn record_arrival(&self) {
        self.arrived.store(true, Ordering::SeqCst);
    }

    /// Returns whether an engine has processed the prompt, so that another prefill is an extra
    /// send.
    pub fn has_prefilled(&self) -> bool {
        self.prefilled.load(Ordering::SeqCst)
    }

    /// Records that an engine may have processed the prompt.
    pub fn record_prefill(&self) {
        self.prefilled.store(true, Ordering::SeqCst);
    }

    /// Records that the request is being sent to a server that may run it, or to a host that may
    /// have one do so.
    pub fn begin_send(&self) {
        self.sending.store(true, Ordering::SeqCst);
    }

    /// Records that the last send has not led to a run and will not.
    pub fn end_send_unrun(&self) {
        self.sending.store(false, Ordering::SeqCst);
    }

    /// Returns whether a server may have run the request or may run it now.
    pub fn may_have_run(&self) -> bool {
        self.sending.load(Ordering::SeqCst) || self.runs() > 0
    }

    /// Returns how many servers may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }

    /// Records that a server may have run the request.
    pub fn record_run(&self) {
        self.record_runs(1);
    }

    /// Records that `runs` servers may have run the request.
    pub fn record_runs(&self, runs: u32) {
        if runs > 0 {
            self.record_arrival();
        }
        let add = |known: u32| Some(known.saturating_add(runs));
        let _ = self.runs.fetch_update(Ordering::SeqCst, Ordering::SeqCst, add);
    }
}

/// `CrashState` is what is known of the part that one request has in crashes of servers.
#[derive(Debug, Default)]
pub struct CrashState {
    causes: OnceLock<RequestCauses>,
    on_trial: AtomicBool,
}

impl InboundRequest {
    /// Returns the time until the deadline, zero when it has passed.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns how long the request may wait until a server with a limit accepts it: half of
    /// what is left of its target latency, so that it can still be answered in time. Other
    /// requests are better served by an early refusal that says when to return.
    pub fn permit_wait(&self, now: Instant) -> Duration {
        let due = after(self.arrived, self.route.target_latency).min(self.deadline);
        due.saturating_duration_since(now) / 2
    }

    /// Returns the request as another host has forwarded it, which must be answered by
    /// `deadline` and which `runs` servers may have run.
    pub fn forwarded(mut self, deadline: Instant, runs: u32) -> InboundRequest {
        self.deadline = self.deadline.min(deadline);
        self.is_forwarded = true;
        self.progress.record_runs(runs);
        self
    }

    /// Returns the attempt id for log lines, `-` when there is none.
    pub fn log_id(&self) -> &str {
        self.metadata.id.as_deref().unwrap_or("-")
    }

    /// Returns the parts of the prompt that others may share, for log lines: the first ones,
    /// and how many more there are.
    pub fn log_parts(&self) -> String {
        let all = &self.metadata.prompt_parts;
        let mut parts: Vec<String> =
            all.iter().take(MAX_LOGGED_PARTS).map(|p| p.to_string()).collect();
        if all.len() > MAX_LOGGED_PARTS {
            parts.push(format!("+{}", all.len() - MAX_LOGGED_PARTS));
        }
        if parts.is_empty() { "-".to_string() } else { parts.join(",") }
    }

    /// Returns what of the request may crash servers.
    pub fn causes(&self) -> &RequestCauses {
        self.crash_state.causes.get_or_init(|| {
            request_causes(&self.service, self.fingerprint(), &self.metadata.prompt_parts)
        })
    }

    /// Returns whether the request is sent although others like it are held back.
    pub fn is_trial(&self) -> bool {
        self.crash_state.on_trial.load(Ordering::SeqCst)
    }

    /// Marks the request as a trial.
    pub fn begin_trial(&self) {
        self.crash_state.on_trial.store(true, Ordering::SeqCst);
    }

    /// Returns a hash of path and body, which is the same when the caller sends the
    /// request again.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(self.head.uri.path().as_bytes());
        hash.update(&[0]);
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }

    /// Lengthens `after`, the time after which the caller may return, by up to a half, so
    /// that callers that are refused together do not return together. The request's hash
    /// gives the jitter without a source of randomness.
    pub fn with_jitter(&self, after: Duration) -> Duration {
        let jitter = self.fingerprint().0 as f64 / u64::MAX as f64 * RETRY_AFTER_JITTER;
        bounded_seconds(after.as_secs_f64() * (1.0 + jitter), MAX_RETRY_AFTER)
    }

    /// Builds the request to a backend server with the values of `metadata`. Fails if they
    /// cannot be expressed.
    pub fn outbound(
        &self,
        dialect: &dyn Dialect,
        metadata: &SendMetadata,
    ) -> Result<Request<Full<Bytes>>, SendFailure> {
        let headers = dialect.write_request(&self.head.headers, metadata).map_err(|e| {
            log::warn!(
                event = "unsendable", request = self.log_id(), server = &*metadata.instance,
                error = e.message.as_str(); ""
            );
            SendFailure::not_run(FailureCause::Unsendable)
        })?;
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = headers;
        Ok(req)
    }
}
