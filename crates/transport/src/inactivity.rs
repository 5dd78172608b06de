//! The `inactivity` module ends a wait on a stream that has delivered nothing for too
//! long.
//!
//! A new timer for each wait would wake the reactor for each token. Each stream
//! therefore keeps one timer, which checks when it fires how long the current wait has
//! really taken and is set again for the rest.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use futures::pin_mut;

/// `InactivityTimer` limits each wait on one stream. The time counts from the start of
/// the wait, so time spent elsewhere, for instance on a slow reader, does not count as
/// inactivity of the stream.
pub struct InactivityTimer {
    limit: Duration,
    wait_started: Instant,
    timer: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl InactivityTimer {
    /// Creates a timer that allows waits of up to `limit`.
    pub fn new(limit: Duration) -> InactivityTimer {
        InactivityTimer { limit, wait_started: Instant::now(), timer: Box::pin(task::sleep(limit)) }
    }

    /// Waits for `item`; `None` when the limit passes first.
    pub async fn wait<T>(&mut self, item: impl Future<Output = T>) -> Option<T> {
        pin_mut!(item);
        self.wait_started = Instant::now();
        poll_fn(|cx| match item.as_mut().poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending => self.poll_timer(cx).map(|()| None),
        })
        .await
    }

    /// Is ready when the current wait has reached the limit.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let inactive = self.wait_started.elapsed();
            let remaining = self.limit.saturating_sub(inactive);
            self.timer = Box::pin(task::sleep(remaining));
            if remaining.is_zero() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }
}
