//! The `queue` module admits prefills by priority, and by order of arrival within a
//! priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use aspenloft_core::prelude::{RequestId, Tokens};
use futures::channel::oneshot;

/// `PrefillQueue` bounds the number of running prefills and queues the others.
#[derive(Debug)]
pub struct PrefillQueue {
    limit: u32,
    running: BTreeMap<u64, Tokens>,
    waiting: BTreeMap<QueuePosition, Waiting>,
    last_ticket: u64,
}

type QueuePosition = (Reverse<u8>, u64);

#[derive(Debug)]
struct Waiting {
    request: RequestId,
    tokens: Tokens,
    admitted: oneshot::Sender<u64>,
}

impl PrefillQueue {
    /// Creates a queue that runs up to `limit` prefills at once.
    pub fn new(limit: u32) -> Self {
        PrefillQueue { limit, running: BTreeMap::new(), waiting: BTreeMap::new(), last_ticket: 0 }
    }

    /// Queues a prefill. The receiver yields a ticket when the prefill may run, and an
    /// error when the request is cancelled before that.
    pub fn enqueue(
        &mut self,
        request: &RequestId,
        tokens: Tokens,
        priority: u8,
    ) -> oneshot::Receiver<u64> {
        let (admitted, rx) = oneshot::channel();
        self.last_ticket += 1;
        let waiting = Waiting { request: request.clone(), tokens, admitted };
        self.waiting.insert((Reverse(priority), self.last_ticket), waiting);
        self.admit();
        rx
    }

    /// Ends the running prefill with this ticket and admits the next one.
    pub fn finish(&mut self, ticket: u64) {
        self.running.remove(&ticket);
        self.admit();
    }

    /// Removes a request that is still waiting.
    pub fn cancel(&mut self, request: &RequestId) {
        self.waiting.retain(|_, waiting| waiting.request != *request);
    }

    /// Returns the number of waiting and running prefills, and their tokens.
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
            if waiting.admitted.send(ticket).is_ok() {
                self.running.insert(ticket, waiting.tokens);
            }
        }
    }
}
