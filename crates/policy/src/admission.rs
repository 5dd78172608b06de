//! The `admission` module decides whether a request goes ahead, waits or is
//! refused at once; see `docs/design/admission.md`.

use std::time::{Duration, Instant};

use crate::estimate::MovingAverage;
use crate::fair_queue::{FairQueue, Flow, QueuedRequest, Ticket};

/// The least time after which a refused caller should come back.
const SOONEST_RETURN: Duration = Duration::from_millis(250);

/// The longest time after which a refused caller should come back.
const LATEST_RETURN: Duration = Duration::from_secs(30);

/// The least span over which the rate of work let through is measured.
const RATE_SPAN: Duration = Duration::from_millis(200);

/// `Arrival` is a request at its entry host.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Its name in the queue.
    pub ticket: Ticket,
    /// The caller and the row.
    pub flow: Flow,
    /// The row's column `weight`.
    pub row_weight: u32,
    /// The caller's column `weight`.
    pub caller_weight: u32,
    /// The row's column `priority`.
    pub priority: u8,
    /// The decode work that it asks for, in tokens.
    pub cost: f64,
    /// The time that is left for its first token.
    pub deadline: Duration,
    /// The least time from its start to its first token, as estimated.
    pub service: Duration,
    /// The longest wait that its row allows.
    pub queue: Duration,
    /// The most that its row lets wait.
    pub queue_length: u32,
}

impl Arrival {
    /// Returns the share that it counts with. Each step of priority doubles the
    /// share, so that a low priority gets little under overload but never nothing.
    pub fn weight(&self) -> f64 {
        let weights = f64::from(self.row_weight.max(1)) * f64::from(self.caller_weight.max(1));
        weights * f64::from(1_u32 << self.priority.min(9))
    }
}

/// `RefusalReason` is why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The first token would be too late even without a wait.
    TooSlow,
    /// The wait would be too long for the target or the row.
    TooLong,
    /// As many wait as the row allows.
    QueueFull,
    /// One with more right to the place arrived.
    Displaced,
    /// Its time ran out while it waited.
    Late,
}

/// `Refusal` is a final answer without an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub ticket: Ticket,
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// `AdmissionDecision` is what to do with an arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It goes ahead.
    Admit,
    /// It waits; one other may lose its place.
    Wait {
        /// The one that lost its place.
        displaced: Option<Refusal>,
    },
    /// It is refused.
    Refuse(Refusal),
}

/// `Admission` is the gate of one pool of servers at one entry host.
#[derive(Debug, Default)]
pub struct Admission {
    queue: FairQueue,
    /// Work let through in a second, measured while some wait.
    rate: MovingAverage,
    /// Since when some wait without a pause, and the work let through since.
    busy: Option<(Instant, f64)>,
}

impl Admission {
    /// Returns how many wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about an arrival. `room` says whether a server can take it now.
    pub fn arrive(&mut self, arrival: &Arrival, room: bool, now: Instant) -> AdmissionDecision {
        let weight = arrival.weight();
        if arrival.service > arrival.deadline {
            return self.refuse(
                arrival,
                RefusalReason::TooSlow,
                arrival.service - arrival.deadline,
            );
        }
        // Nobody passes those who wait already.
        if room && self.queue.is_empty() {
            self.queue.charge(&arrival.flow, arrival.cost, weight);
            return AdmissionDecision::Admit;
        }
        let patience = (arrival.deadline - arrival.service).min(arrival.queue);
        let wait = self.wait(&arrival.flow, weight);
        if wait > patience {
            return self.refuse(arrival, RefusalReason::TooLong, wait - patience);
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
            start_by: now + patience,
        });
        AdmissionDecision::Wait { displaced }
    }

    /// Takes the next one that goes ahead, when there is room.
    pub fn next(&mut self, now: Instant) -> Option<Ticket> {
        let next = self.queue.pop(now)?;
        self.note_go(next.cost, now);
        Some(next.ticket)
    }

    /// Refuses all whose time has run out.
    pub fn expire(&mut self, now: Instant) -> Vec<Refusal> {
        let late = self.queue.expire(now);
        let wait = self.busy_time();
        late.iter().map(|waiting| refusal(waiting.ticket, RefusalReason::Late, wait)).collect()
    }

    /// Forgets one that waits, because its caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket).is_some()
    }

    /// Estimates the wait of a newcomer of `flow`.
    pub fn wait(&self, flow: &Flow, weight: f64) -> Duration {
        self.time_of(self.queue.work_before(flow, weight))
    }

    fn busy_time(&self) -> Duration {
        let all = Flow { row: "".into(), caller: "".into() };
        self.time_of(self.queue.work_before(&all, f64::MAX))
    }

    /// Without a measured rate nothing is known of the wait, and the bounds in time
    /// and length alone protect the queue.
    fn time_of(&self, work: f64) -> Duration {
        let rate = self.rate.value_or(0.0);
        if rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((work / rate).clamp(0.0, LATEST_RETURN.as_secs_f64()))
    }

    /// Measures the rate over the spans in which some waited, because only then is the
    /// work let through what the servers can do. The span is the real one, as the
    /// paper "Placing players" advises: a nominal one makes a burst look slow.
    fn note_go(&mut self, cost: f64, now: Instant) {
        let (since, work) = self.busy.get_or_insert((now, 0.0));
        *work += cost;
        let span = now.saturating_duration_since(*since);
        if span >= RATE_SPAN {
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
    Refusal { ticket, reason, retry_after: after.clamp(SOONEST_RETURN, LATEST_RETURN) }
}
