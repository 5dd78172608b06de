//! The `events` module implements the event queue of the simulation. Events are
//! ordered by time and, at equal times, by insertion, so that runs are deterministic.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// `EventQueue` holds the scheduled events. Times count from the start of the run.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
    pushed: u64,
}

#[derive(Debug)]
struct ScheduledEvent<E> {
    at: Duration,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), pushed: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at `at`.
    pub fn push(&mut self, at: Duration, event: E) {
        self.pushed += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.pushed, event }));
    }

    /// Removes the next event and returns it with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
