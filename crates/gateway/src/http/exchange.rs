//! The `exchange` module sends one request to one backend server and waits for the
//! head of the answer. What it cannot prove to have not run counts as unknown.

use std::time::{Duration, Instant};

use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};
use async_std::future::timeout;
use bytes::Bytes;
use derive_more::Display;
use http::{Request, header, response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;

use super::pool::{Connection, Pool};
use crate::dialect::{AnswerTerms, Dialect};
use crate::roster::{InFlight, Server};

/// `FailureCause` is why no answer came.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection could be opened.
    #[display("connect")]
    Connect,
    /// The connection broke before the answer.
    #[display("broken")]
    Broken,
    /// No answer came in time.
    #[display("timeout")]
    Timeout,
    /// The answer was not one to this request.
    #[display("wrong_answer")]
    WrongAnswer,
    /// The answer's body ended early.
    #[display("cut")]
    Cut,
}

/// `SendFailure` is a send without a usable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendFailure {
    /// What is known of the request's fate.
    pub execution: Execution,
    /// Why there is no answer.
    pub cause: FailureCause,
}

impl SendFailure {
    fn not_run(cause: FailureCause) -> SendFailure {
        SendFailure { execution: Execution::NotRun, cause }
    }

    pub(crate) fn unknown(cause: FailureCause) -> SendFailure {
        SendFailure { execution: Execution::Unknown, cause }
    }

    /// Tells whether the server may have had the request.
    pub fn arrived(self) -> bool {
        self.execution != Execution::NotRun
    }

    /// Holds the failure against `server`.
    pub fn note(self, server: &Server, now: Instant) {
        server.state.health(|h| match self.cause {
            FailureCause::Connect => {
                h.record_unreachable(now);
            }
            _ => h.record_failure(now),
        });
    }
}

/// `Answer` is the head of a backend server's answer and the body to come.
#[derive(Debug)]
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// What the head says.
    pub terms: AnswerTerms,
    /// The body.
    pub body: Incoming,
    /// The connection, to be given back when the body has been read.
    pub connection: Connection,
    /// Counts the call while the answer is read.
    pub in_flight: InFlight,
}

/// `Exchange` sends requests to backend servers.
#[derive(Clone)]
pub struct Exchange {
    pool: Arc<Pool>,
    dialect: Arc<dyn Dialect>,
}

impl Exchange {
    /// Creates an exchange over `pool`.
    pub fn new(pool: Arc<Pool>, dialect: Arc<dyn Dialect>) -> Exchange {
        Exchange { pool, dialect }
    }

    /// Sends `req` of the attempt `id` to `server` and waits up to `limit` for the
    /// head of the answer.
    pub async fn send(
        &self,
        server: &Server,
        id: Option<&Name>,
        req: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Answer, SendFailure> {
        let in_flight = InFlight::begin(server);
        let exchange = self.exchange(server, req);
        let Ok(exchanged) = timeout(limit, exchange).await else {
            return Err(SendFailure::unknown(FailureCause::Timeout));
        };
        let (connection, answer) = exchanged?;
        let (head, body) = answer.into_parts();
        let terms = self.dialect.read_answer(&head);
        if terms.misdirected {
            self.pool.forget(server.entry.addr);
        }
        // A server that refuses at its door may not have read the id.
        let foreign = id.is_some() && terms.id.as_ref() != id;
        let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
        if (foreign && !terms.refused()) || encoded {
            return Err(SendFailure::unknown(FailureCause::WrongAnswer));
        }
        Ok(Answer { head, terms, body, connection, in_flight })
    }

    async fn exchange(
        &self,
        server: &Server,
        req: Request<Full<Bytes>>,
    ) -> Result<(Connection, http::Response<Incoming>), SendFailure> {
        let addr = server.entry.addr;
        let connect = |_| SendFailure::not_run(FailureCause::Connect);
        let mut connection = self.pool.take(addr).await.map_err(connect)?;
        let mut failed = match connection.sender.try_send_request(req).await {
            Ok(answer) => return Ok((connection, answer)),
            Err(failed) => failed,
        };
        // A request that is given back was not written, not even in part.
        let Some(req) = failed.take_message() else {
            return Err(SendFailure::unknown(FailureCause::Broken));
        };
        if !connection.reused {
            return Err(SendFailure::not_run(FailureCause::Broken));
        }
        let mut connection = self.pool.open(addr).await.map_err(connect)?;
        match connection.sender.try_send_request(req).await {
            Ok(answer) => Ok((connection, answer)),
            Err(mut failed) => match failed.take_message() {
                Some(_) => Err(SendFailure::not_run(FailureCause::Broken)),
                None => Err(SendFailure::unknown(FailureCause::Broken)),
            },
        }
    }

    /// Reads the rest of an answer's body, which must not exceed `most` bytes, and
    /// keeps the connection. A body that ends early is a failure.
    pub async fn read_body(
        &self,
        answer: Answer,
        most: usize,
        limit: Duration,
    ) -> Result<Bytes, SendFailure> {
        let Answer { terms, body, connection, .. } = answer;
        let whole = timeout(limit, http_body_util::Limited::new(body, most).collect()).await;
        let whole = whole.map_err(|_| SendFailure::unknown(FailureCause::Timeout))?;
        let whole = whole.map_err(|_| SendFailure::unknown(FailureCause::Cut))?;
        self.pool.put_back(connection, terms.keep_alive);
        Ok(whole.to_bytes())
    }

    /// Gives the connection of an answer back whose body has been read.
    pub fn finish(&self, connection: Connection, terms: &AnswerTerms) {
        self.pool.put_back(connection, terms.keep_alive);
    }
}
