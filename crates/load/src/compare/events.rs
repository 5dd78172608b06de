//! The `events` module orders what happens by time, and by the order of making
//! where times are equal, so that a run is the same each time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// `EventQueue` holds what is yet to happen. Times count from the run's start.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Due<E>>>,
    made: u64,
}

#[derive(Debug)]
struct Due<E> {
    at: Duration,
    number: u64,
    event: E,
}

impl<E> PartialEq for Due<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl<E> Eq for Due<E> {}

impl<E> PartialOrd for Due<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Due<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), made: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at `at`.
    pub fn push(&mut self, at: Duration, event: E) {
        self.made += 1;
        self.heap.push(Reverse(Due { at, number: self.made, event }));
    }

    /// Takes the next event with its time.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        self.heap.pop().map(|Reverse(due)| (due.at, due.event))
    }
}
