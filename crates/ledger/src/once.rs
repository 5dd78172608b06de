//! The `once` module runs a call at most once for its idempotency key.

use std::future::Future;

use aspenloft_core::errors::{Error, ErrorCode, Result, internal};
use aspenloft_core::execution::Execution;
use aspenloft_protocol::platform::{KeyValue, Put, Swap, Version};

use crate::entry::{Answer, Entry};

/// Runs `call` unless `key` has been seen, and records its outcome.
///
/// The intent is written by compare-and-swap before anything is sent; a key found
/// with an intent and no outcome is never run again.
pub async fn run_once<F>(kv: &dyn KeyValue, key: &str, call: impl FnOnce() -> F) -> Result<Answer>
where
    F: Future<Output = Result<Answer>>,
{
    let path = format!("aspenloft/ledger/{key}");
    if let Some(found) = kv.get(&path).await.map_err(not_run)? {
        return known(&found.value);
    }
    let version = match write(kv, &path, 0, &Entry::Intent).await.map_err(not_run)? {
        Swap::Done(version) => version,
        Swap::Conflict(_) => return Err(may_have_run()),
    };
    let answer = call().await?;
    // A lost outcome leaves the intent, which refuses repeats: safe, if unkind.
    let _ = write(kv, &path, version, &Entry::Outcome(answer.clone())).await;
    Ok(answer)
}

async fn write(kv: &dyn KeyValue, path: &str, expect: Version, entry: &Entry) -> Result<Swap> {
    let value = serde_json::to_string(entry).map_err(|e| internal(e.to_string()))?;
    kv.put(Put { key: path.into(), expect, value: Some(value), lease: None }).await
}

fn known(text: &str) -> Result<Answer> {
    match serde_json::from_str(text) {
        Ok(Entry::Outcome(answer)) => Ok(answer),
        _ => Err(may_have_run()),
    }
}

/// Nothing is sent before the intent stands, whatever became of the write.
fn not_run(e: Error) -> Error {
    e.execution(Execution::NotRun)
}

fn may_have_run() -> Error {
    Error::new(ErrorCode::Conflict, "a call with this key may have run; it is not run again")
        .execution(Execution::Unknown)
}
