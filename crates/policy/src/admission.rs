//! The `admission` module decides whether a request is admitted, queued or refused
//! immediately; see `docs/design/admission.md`.

use std::time::{Duration, Instant};

use aspenloft_core::clock::bounded_seconds;

use crate::estimate::MovingAverage;
use crate::fair_queue::{FairQueue, Flow, QueuedRequest, Ticket};

/// The shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The longest time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The shortest time span over which the rate of admitted work is measured.
const MIN_RATE_SPAN: Duration = Duration::from_millis(200);

/// `Arrival` is a request that arrives at its entry host.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id of the request in the queue.
    pub ticket: Ticket,
    /// The caller and the row of the request.
    pub flow: Flow,
    /// The column `weight` of the row.
    pub row_weight: u32,
    /// The column `weight` of the caller.
    pub caller_weight: u32,
    /// The column `priority` of the row.
    pub priority: u8,
    /// The expected decode work, in tokens.
    pub cost: f64,
    /// The time left until its first token is due.
    pub deadline: Duration,
    /// The estimated minimum time from its start to its first token.
    pub service: Duration,
    /// The longest wait that the row allows.
    pub queue: Duration,
    /// The most waiting requests that the row allows.
    pub queue_length: u32,
}

impl Arrival {
    /// Returns the weight in the fair queue. Each priority level doubles it, so that
    /// requests of low priority get a small share under overload but are never starved.
    pub fn weight(&self) -> f64 {
        let weights = f64::from(self.row_weight.max(1)) * f64::from(self.caller_weight.max(1));
        weights * f64::from(1_u32 << self.priority.min(9))
    }
}

/// `RefusalReason` is the reason why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The first token would be late even without waiting.
    TooSlow,
    /// The wait would exceed the target or the limit of the row.
    TooLong,
    /// As many requests wait as the row allows.
    QueueFull,
    /// It was displaced by a request of a flow with a smaller backlog per weight.
    Displaced,
    /// It waited until it could no longer start in time.
    Late,
}

/// `Refusal` reports a request that is refused before any attempt to serve it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The refused request.
    pub ticket: Ticket,
    /// Why it is refused.
    pub reason: RefusalReason,
    /// The time after which a retry may succeed.
    pub retry_after: Duration,
}

/// `AdmissionDecision` is the decision on an arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request starts now.
    Admit,
    /// The request is queued, and may displace another one.
    Wait {
        /// The refusal of the displaced request, if any.
        displaced: Option<Refusal>,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// `Admission` controls admission to one pool of servers at one entry host.
#[derive(Debug, Default)]
pub struct Admission {
    queue: FairQueue,
    /// Admitted work per second, measured while requests wait.
    rate: MovingAverage,
    /// The start of the current measurement while requests wait, and the work admitted
    /// since.
    busy: Option<(Instant, f64)>,
}

impl Admission {
    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides on an arrival. `has_capacity` is whether a server can start it now.
    pub fn arrive(
        &mut self,
        arrival: &Arrival,
        has_capacity: bool,
        now: Instant,
    ) -> AdmissionDecision {
        let weight = arrival.weight();
        if arrival.service > arrival.deadline {
            return self.refuse(
                arrival,
                RefusalReason::TooSlow,
                arrival.service - arrival.deadline,
            );
        }
        // A new request must not overtake those that wait already.
        if has_capacity && self.queue.is_empty() {
            self.queue.charge(&arrival.flow, arrival.cost, weight);
            return AdmissionDecision::Admit;
        }
        let max_wait = (arrival.deadline - arrival.service).min(arrival.queue);
        let wait = self.wait(&arrival.flow, weight);
        if wait > max_wait {
            return self.refuse(arrival, RefusalReason::TooLong, wait - max_wait);
        }
        let full = self.queue.len() >= arrival.queue_length as usize;
        let mut displaced = None;
        if full {
            let Some(other) = self.queue.displace(&arrival.flow, arrival.cost / weight) else {
                return self.refuse(arrival, RefusalReason::QueueFull, wait);
            };
            displaced = Some(refusal(other.ticket, RefusalReason::Displaced, wait));
        }
        self.queue.push(QueuedRequest {
            ticket: arrival.ticket,
            flow: arrival.flow.clone(),
            weight,
            cost: arrival.cost,
            arrived: now,
            start_by: now + max_wait,
        });
        AdmissionDecision::Wait { displaced }
    }

    /// Removes and returns the next request to start; called when a server has capacity.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        let next = self.queue.pop(now)?;
        self.record_admitted(next.cost, now);
        Some(next.ticket)
    }

    /// Refuses all requests that can no longer start in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Refusal> {
        let late = self.queue.expire(now);
        let wait = self.new_flow_wait();
        late.iter().map(|waiting| refusal(waiting.ticket, RefusalReason::Late, wait)).collect()
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Estimates the wait of a new request of `flow`.
    pub fn wait(&self, flow: &Flow, weight: f64) -> Duration {
        self.service_time(self.queue.work_before(flow, weight))
    }

    /// Estimates the wait of the first request of a new flow.
    fn new_flow_wait(&self) -> Duration {
        let flow = Flow { row: "".into(), caller: "".into() };
        self.service_time(self.queue.work_before(&flow, f64::MAX))
    }

    /// Returns the time to serve `work` at the measured rate. Without a measurement it is
    /// zero, and only the bounds on time and length protect the queue.
    fn service_time(&self, work: f64) -> Duration {
        let rate = self.rate.value_or(0.0);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        bounded_seconds(work / rate, MAX_RETRY_AFTER)
    }

    /// Measures the rate of admitted work while requests wait, because only then does it
    /// equal the capacity of the servers. The rate is computed over the actual span, as the
    /// paper "Placing players" advises: the nominal span would underestimate a burst.
    fn record_admitted(&mut self, cost: f64, now: Instant) {
        let (since, work) = self.busy.get_or_insert((now, 0.0));
        *work += cost;
        let span = now.saturating_duration_since(*since);
        if span >= MIN_RATE_SPAN {
            self.rate.add(*work / span.as_secs_f64());
            self.busy = Some((now, 0.0));
        }
        if self.queue.is_empty() {
            self.busy = None;
        }
    }

    fn refuse(
        &self,
        arrival: &Arrival,
        reason: RefusalReason,
        after: Duration,
    ) -> AdmissionDecision {
        AdmissionDecision::Refuse(refusal(arrival.ticket, reason, after))
    }
}

fn refusal(ticket: Ticket, reason: RefusalReason, after: Duration) -> Refusal {
    Refusal { ticket, reason, retry_after: after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) }
}
