//! The `cleanup` module runs what must happen when a future is dropped midway,
//! for instance giving back a slot when the caller goes.

use std::future::Future;
use std::pin::Pin;

use async_std::task;
use parking_lot::Mutex;

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// `OnDrop` spawns its work when it is dropped, unless it is disarmed first.
pub struct OnDrop {
    // The lock makes the guard shareable; it is never contended.
    work: Mutex<Option<Work>>,
}

impl OnDrop {
    /// Creates a guard that runs `work` at its drop.
    pub fn new(work: impl Future<Output = ()> + Send + 'static) -> OnDrop {
        OnDrop { work: Mutex::new(Some(Box::pin(work))) }
    }

    /// Forgets the work.
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
