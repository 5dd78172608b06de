//! The `ledger` module runs the ledger of unrepeatable calls, those that must run at
//! most once: it feeds the state machines of `aspenloft-ledger` with events and
//! performs their actions. See `docs/design/ledger.md`.

pub mod entry;
pub mod lease;
pub mod orders;
pub mod owner;
pub mod store;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use aspenloft_core::errors::{Result, internal, not_found};
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Duration, Error, Name, SharedClock};
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::options::{SHARDS, ShardOptions};
use aspenloft_ledger::shard::event::{CallResult, Event};
use aspenloft_protocol::peer::PeerReply;
use aspenloft_protocol::peer::ledger::{LedgerCall, LedgerReply};
use aspenloft_protocol::platform::KeyValue;
use aspenloft_table::row::Row;
use async_std::channel::{Sender, bounded, unbounded};
use async_std::task;
use async_trait::async_trait;

use crate::view::View;
use aspenloft_ledger::record::Answer;
use lease::HostLease;
use owner::{Input, ShardTask};
use store::ShardStore;

/// `OutgoingCall` is a call that the ledger permits to be sent once.
#[derive(Debug, Clone)]
pub struct OutgoingCall {
    /// The call as the caller sent it.
    pub call: Arc<LedgerCall>,
    /// The table row that it belongs to.
    pub row: Arc<Row>,
}

/// `CallSender` sends calls to backend servers.
#[async_trait]
pub trait CallSender: Send + Sync {
    /// Sends a call once. An error with [`Execution::NotRun`] means that no byte of
    /// it was sent.
    async fn send(&self, outgoing: &OutgoingCall) -> Result<Arc<Answer>>;
}

/// `LedgerServiceConfig` holds the dependencies and options of a [`LedgerService`].
pub struct LedgerServiceConfig {
    /// This host's name.
    pub host: Name,
    /// The platform's key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The clock for leases and timeouts.
    pub clock: SharedClock,
    /// The view with the table in force.
    pub view: Arc<View>,
    /// Sends the calls to backend servers.
    pub sender: Arc<dyn CallSender>,
    /// The timeouts and limits of each shard.
    pub options: ShardOptions,
    /// The seed of the retry delays; it must differ between hosts.
    pub seed: u64,
}

/// `LedgerService` handles calls to this host as the owner of shards.
pub struct LedgerService {
    view: Arc<View>,
    shards: Vec<Sender<Input>>,
    idle: Vec<Arc<AtomicBool>>,
}

impl LedgerService {
    /// Creates the service and starts a task for each shard. It makes no call to the
    /// key-value service before the first call arrives.
    pub fn start(config: LedgerServiceConfig) -> LedgerService {
        let lease = Arc::new(HostLease::new(config.kv.clone(), config.clock.clone()));
        let (mut shards, mut idle) = (Vec::new(), Vec::new());
        for number in 0..SHARDS {
            let (tx, rx) = unbounded();
            let store = ShardStore {
                number,
                host: config.host.clone(),
                kv: config.kv.clone(),
                lease: lease.clone(),
            };
            let seed = config.seed.wrapping_add(number.into());
            let shard = ShardTask::new(&config, store, tx.clone(), seed);
            idle.push(shard.idle());
            task::spawn(shard.run(rx));
            shards.push(tx);
        }
        let senders = shards.clone();
        task::spawn(async move {
            lease.renew_forever(|| broadcast(&senders, || Event::LeaseLost)).await;
        });
        LedgerService { view: config.view, shards, idle }
    }

    /// Starts the handover of all shards: calls in flight finish, new keys are refused.
    pub fn hand_over_shards(&self) {
        self.idle.iter().for_each(|idle| idle.store(false, Ordering::SeqCst));
        broadcast(&self.shards, || Event::Leave);
    }

    /// Returns whether all shards are idle.
    pub fn is_idle(&self) -> bool {
        self.idle.iter().all(|idle| idle.load(Ordering::SeqCst))
    }

    /// Handles one call as the owner of its shard, or redirects to the owner.
    pub async fn serve(&self, call: LedgerCall) -> PeerReply {
        match self.process(call).await {
            Ok(CallResult::Answer(answer)) => PeerReply::Ledger(LedgerReply::Answer {
                status: answer.status,
                content_type: answer.content_type.as_str().into(),
                body: answer.body.clone(),
            }),
            Ok(CallResult::Redirect(owner)) => PeerReply::Ledger(LedgerReply::Redirect { owner }),
            Ok(CallResult::Failed(e)) | Err(e) => PeerReply::Failed(e),
        }
    }

    async fn process(&self, call: LedgerCall) -> Result<CallResult> {
        let table = self.view.table()?;
        let row = table.rows.iter().find(|row| row.name == call.row && row.unrepeatable);
        let row = row.ok_or_else(|| not_found(format!("no unrepeatable row {}", call.row)))?;
        let key = KeyDigest::new(&call.row, &call.caller, &call.key);
        let request = RequestDigest::new(&call.method, &call.path, &call.body);
        let outgoing = OutgoingCall { call: Arc::new(call), row: Arc::new(row.clone()) };
        let (tx, rx) = bounded(1);
        let shard = &self.shards[key.shard(SHARDS) as usize];
        let input = Input::Call { key, request, outgoing, tx };
        shard.send(input).await.map_err(|_| task_ended())?;
        rx.recv().await.map_err(|_| task_ended())
    }
}

/// Sends an event to all shards.
fn broadcast(shards: &[Sender<Input>], event: impl Fn() -> Event) {
    for shard in shards {
        let _ = shard.try_send(Input::Event(event()));
    }
}

fn task_ended() -> Error {
    internal("the task of the ledger shard has ended").execution(Execution::Unknown)
}

/// The timeout of one call to the key-value service.
pub const KV_TIMEOUT: Duration = Duration::from_secs(1);
