//! The `containment` module limits what a panic ends: the request in which it happened, or one
//! round of a task that runs until the process ends. Neither callers nor other hosts would
//! otherwise hear of it, and a task would be missing for good.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use aspenloft_core::errors::{Error, internal};
use aspenloft_core::execution::Execution;
use async_std::task;
use futures::FutureExt;

/// How long to wait before a task is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The `Retry-After` of a request that has not run; another host may serve it.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Returns the output of `work`, or `None` if it panics.
pub async fn contain<T>(task: &'static str, work: impl Future<Output = T>) -> Option<T> {
    let output = AssertUnwindSafe(work).catch_unwind().await.ok();
    log_contained(task, output.is_some());
    output
}

/// Returns the result of `work`, or `None` if it panics.
pub fn contain_sync<T>(task: &'static str, work: impl FnOnce() -> T) -> Option<T> {
    let result = catch_unwind(AssertUnwindSafe(work)).ok();
    log_contained(task, result.is_some());
    result
}

/// Spawns the task that `start` creates, and again each time it panics.
pub fn spawn_restarting<F>(task: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    task::spawn(async move {
        while contain(task, start()).await.is_none() {
            task::sleep(RESTART_DELAY).await;
        }
    });
}

/// Returns the error of a request in which the router panicked.
pub fn panic_error(may_have_run: bool) -> Error {
    let error = internal("the router failed while it served the request");
    match may_have_run {
        true => error.execution(Execution::Unknown),
        false => error.execution(Execution::NotRun).retry_after(RETRY_AFTER),
    }
}

// The panic hook has logged the place and the message.
fn log_contained(task: &'static str, has_ended: bool) {
    if !has_ended {
        log::error!(event = "panic_contained", task; "");
    }
}
