//! The `owner` module runs one shard at this host: it feeds the shard's state machine
//! with events and performs its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::timeout;
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::SharedClock;
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::shard::event::{Action, AttemptId, Call, CallId, CallResult, Event, Outcome};
use aspenloft_ledger::shard::{Moment, Shard};
use async_std::channel::{Receiver, Sender};
use async_std::task;

use super::store::ShardStore;
use super::{CallSender, LedgerServiceConfig, OutgoingCall};

/// `Input` is a message to a shard's task.
pub enum Input {
    /// An unrepeatable call.
    Call {
        /// The digest of the idempotency key.
        key: KeyDigest,
        /// The digest of the method, the path and the body.
        request: RequestDigest,
        /// The call to send if the ledger permits it.
        outgoing: OutgoingCall,
        /// Receives the result.
        tx: Sender<CallResult>,
    },
    /// The result of an action, or an event of the lease or of the shutdown.
    Event(Event),
}

/// `ShardTask` runs one shard.
pub struct ShardTask {
    shard: Shard,
    store: ShardStore,
    sender: Arc<dyn CallSender>,
    clock: SharedClock,
    tx: Sender<Input>,
    pending: HashMap<CallId, PendingCall>,
    last_call_id: CallId,
    idle: Arc<AtomicBool>,
}

/// `PendingCall` is a call that has no result yet.
struct PendingCall {
    outgoing: OutgoingCall,
    tx: Sender<CallResult>,
}

impl ShardTask {
    /// Creates the task; the results of its actions are sent to `tx`.
    pub fn new(
        config: &LedgerServiceConfig,
        store: ShardStore,
        tx: Sender<Input>,
        seed: u64,
    ) -> ShardTask {
        ShardTask {
            shard: Shard::new(config.options.clone(), seed),
            store,
            sender: config.sender.clone(),
            clock: config.clock.clone(),
            tx,
            pending: HashMap::new(),
            last_call_id: 0,
            idle: Arc::new(AtomicBool::new(true)),
        }
    }

    /// Returns the flag in which the task reports whether its shard is idle.
    pub fn idle(&self) -> Arc<AtomicBool> {
        self.idle.clone()
    }

    /// Handles events until all senders are dropped.
    pub async fn run(mut self, rx: Receiver<Input>) {
        while let Some(event) = self.next_event(&rx).await {
            let moment = self.moment();
            for action in self.shard.handle(event, moment) {
                self.perform(action).await;
            }
            self.idle.store(self.shard.is_idle(), Ordering::SeqCst);
        }
    }

    fn moment(&self) -> Moment {
        Moment { now: self.clock.now(), wall_ms: unix_millis(self.clock.system_time()) }
    }

    /// Waits for the next input, or until the shard's next timer event.
    async fn next_event(&mut self, rx: &Receiver<Input>) -> Option<Event> {
        let input = match self.shard.next_tick() {
            None => rx.recv().await.ok()?,
            Some(when) => {
                let wait = when.saturating_duration_since(self.clock.now());
                match async_std::future::timeout(wait, rx.recv()).await {
                    Ok(input) => input.ok()?,
                    Err(_) => return Some(Event::Tick),
                }
            }
        };
        Some(match input {
            Input::Event(event) => event,
            Input::Call { key, request, outgoing, tx } => {
                self.last_call_id += 1;
                let (id, window) = (self.last_call_id, outgoing.row.key_window);
                let bytes = outgoing.call.body.len();
                self.pending.insert(id, PendingCall { outgoing, tx });
                Event::Call(Call { id, key, request, window, bytes })
            }
        })
    }

    async fn perform(&mut self, action: Action) {
        match action {
            Action::Answer(call, result) => {
                if let Some(pending) = self.pending.remove(&call) {
                    log_result(&pending.outgoing, &result);
                    // The send fails if the caller has disconnected.
                    let _ = pending.tx.send(result).await;
                }
            }
            Action::Send { key, attempt, call, not_after } => {
                self.send(key, attempt, call, not_after);
            }
            // Not spawned: a leaving host must not exit before its shards are released.
            action @ Action::Release(_) => {
                self.store.perform(action).await;
            }
            action => {
                let (store, tx) = (self.store.clone(), self.tx.clone());
                task::spawn(async move {
                    if let Some(event) = store.perform(action).await {
                        let _ = tx.send(Input::Event(event)).await;
                    }
                });
            }
        }
    }

    /// Sends a call in a task of its own, which continues if the caller disconnects.
    fn send(&self, key: KeyDigest, attempt: AttemptId, call: CallId, not_after: Instant) {
        let Some(pending) = self.pending.get(&call) else { return };
        let outgoing = pending.outgoing.clone();
        let (sender, clock, tx) = (self.sender.clone(), self.clock.clone(), self.tx.clone());
        task::spawn(async move {
            let outcome = send_once(&*sender, &outgoing, &clock, not_after).await;
            let _ = tx.send(Input::Event(Event::Sent(key, attempt, outcome))).await;
        });
    }
}

/// Sends a call, unless this host was paused for too long after its intent was
/// committed.
async fn send_once(
    sender: &dyn CallSender,
    outgoing: &OutgoingCall,
    clock: &SharedClock,
    not_after: Instant,
) -> Outcome {
    if clock.now() > not_after {
        return Outcome::NotSent(timeout("the host was paused; the call was not sent"));
    }
    match sender.send(outgoing).await {
        Ok(answer) => Outcome::Answered(answer),
        Err(e) if e.execution == Execution::NotRun => Outcome::NotSent(e),
        Err(e) => Outcome::Unknown(e),
    }
}

fn log_result(outgoing: &OutgoingCall, result: &CallResult) {
    let (execution, code) = match result {
        CallResult::Answer(_) => ("run".to_string(), "ok".to_string()),
        CallResult::Redirect(_) => ("not_run".to_string(), "redirect".to_string()),
        CallResult::Failed(e) => (e.execution.to_string(), e.code.to_string()),
    };
    let (call, row) = (&outgoing.call, &*outgoing.row.name);
    log::info!(
        event = "ledger_verdict", request = call.request.as_str(), row = row,
        caller = &*call.caller, execution = execution.as_str(), code = code.as_str(); ""
    );
}
