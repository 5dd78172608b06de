//! The `cleanup` module runs asynchronous cleanup when a future is dropped before it
//! completes, for example releasing a slot when the caller disconnects.

use std::future::Future;
use std::pin::Pin;

use async_std::task;
use parking_lot::Mutex;

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// `OnDrop` spawns a future when it is dropped, unless it is disarmed first.
pub struct OnDrop {
    // The lock only makes the guard `Sync`; it is never contended.
    work: Mutex<Option<Work>>,
}

impl OnDrop {
    /// Creates a guard that spawns `work` when it is dropped.
    pub fn new(work: impl Future<Output = ()> + Send + 'static) -> OnDrop {
        OnDrop { work: Mutex::new(Some(Box::pin(work))) }
    }

    /// Drops the guard without running its work.
    pub fn disarm(self) {
        self.work.lock().take();
    }
}

impl Drop for OnDrop {
    fn drop(&mut self) {
        if let Some(work) = self.work.lock().take() {
            task::spawn(work);
        }
    }
}
