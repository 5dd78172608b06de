//! The `request` module holds a caller's request while it is served.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use aspenloft_core::suspects::Fingerprint;
use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use xxhash_rust::xxh3::Xxh3;

use crate::bodies::HeldBody;
use crate::configuration::Route;
use crate::dialect::{Dialect, RequestTerms, SendTerms};

/// `Inbound` is a caller's request that has been read as a whole.
#[derive(Debug)]
pub struct Inbound {
    /// The head as it came.
    pub head: request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// Counts the body while it is held.
    pub held: HeldBody,
    /// What the head says.
    pub terms: RequestTerms,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// The service that the route drew for it.
    pub service: Name,
    /// When its head had been read.
    pub arrived: Instant,
    /// When it must have its final answer: the caller's deadline or the route's
    /// timeout, whichever is sooner.
    pub deadline: Instant,
}

impl Inbound {
    /// Returns the time that is left at `now`.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the id for log lines.
    pub fn id(&self) -> &str {
        self.terms.id.as_deref().unwrap_or("-")
    }

    /// Returns what names the request when its caller sends it again.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Xxh3::new();
        hash.update(self.head.uri.path().as_bytes());
        hash.update(&[0]);
        hash.update(&self.body);
        Fingerprint(hash.digest())
    }

    /// Returns the request as it goes to a backend server on `terms`.
    pub fn outbound(&self, dialect: &dyn Dialect, terms: &SendTerms) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.head.method.clone();
        *req.uri_mut() = self.head.uri.clone();
        *req.headers_mut() = dialect.write_request(&self.head.headers, terms);
        req
    }
}
