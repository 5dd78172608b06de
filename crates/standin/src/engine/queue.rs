//! The `queue` module orders waiting prefills: higher priority first, then first
//! come, first served.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use aspenloft_core::prelude::{RequestId, Tokens};
use futures::channel::oneshot;

/// `PrefillQueue` lets a bounded number of prefills run.
#[derive(Debug)]
pub struct PrefillQueue {
    limit: u32,
    running: BTreeMap<u64, Tokens>,
    waiting: BTreeMap<Place, Waiting>,
    next: u64,
}

type Place = (Reverse<u8>, u64);

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    tokens: Tokens,
    turn: oneshot::Sender<u64>,
}

impl PrefillQueue {
    /// Creates a queue that lets `limit` prefills run.
    pub fn new(limit: u32) -> Self {
        PrefillQueue { limit, running: BTreeMap::new(), waiting: BTreeMap::new(), next: 0 }
    }

    /// Joins the queue. The receiver gets a ticket when the turn has come, and
    /// fails when the request is cancelled before.
    pub fn enqueue(
        &mut self,
        request: &RequestId,
        tokens: Tokens,
        priority: u8,
    ) -> oneshot::Receiver<u64> {
        let (turn, rx) = oneshot::channel();
        self.next += 1;
        let waiting = Waiting { request: request.clone(), tokens, turn };
        self.waiting.insert((Reverse(priority), self.next), waiting);
        self.admit();
        rx
    }

    /// Ends the prefill with this ticket.
    pub fn finish(&mut self, ticket: u64) {
        self.running.remove(&ticket);
        self.admit();
    }

    /// Takes a waiting request out.
    pub fn cancel(&mut self, request: &RequestId) {
        self.waiting.retain(|_, waiting| waiting.request != *request);
    }

    /// Counts the prefills that wait or run, and their tokens.
    pub fn load(&self) -> (u32, Tokens) {
        let count = self.running.len() + self.waiting.len();
        let waiting: Tokens = self.waiting.values().map(|waiting| waiting.tokens).sum();
        let running: Tokens = self.running.values().copied().sum();
        (count as u32, waiting + running)
    }

    fn admit(&mut self) {
        while self.running.len() < self.limit as usize {
            let Some(((_, ticket), waiting)) = self.waiting.pop_first() else {
                return;
            };
            if waiting.turn.send(ticket).is_ok() {
                self.running.insert(ticket, waiting.tokens);
            }
        }
    }
}
