//! The `silence` module bounds how long a stream may say nothing.
//!
//! A timer for each wait would wake the reactor for each token. One alarm for each
//! stream is set anew only when it goes off, and then looks how long the stream has
//! really been silent.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::task;
use futures::pin_mut;

/// `Silence` watches one stream. It counts from the beginning of each wait, so that
/// time spent elsewhere, for instance on a slow reader, is not held against the
/// stream.
pub struct Silence {
    bound: Duration,
    since: Instant,
    alarm: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
}

impl Silence {
    /// Creates a watch that allows `bound` of silence.
    pub fn new(bound: Duration) -> Silence {
        Silence { bound, since: Instant::now(), alarm: Box::pin(task::sleep(bound)) }
    }

    /// Waits for `word`; `None` when the bound passes first.
    pub async fn wait<T>(&mut self, word: impl Future<Output = T>) -> Option<T> {
        pin_mut!(word);
        self.since = Instant::now();
        poll_fn(|cx| match word.as_mut().poll(cx) {
            Poll::Ready(value) => Poll::Ready(Some(value)),
            Poll::Pending => self.poll_alarm(cx).map(|()| None),
        })
        .await
    }

    /// Is ready when the bound has passed since the wait began.
    fn poll_alarm(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.alarm.as_mut().poll(cx).is_ready() {
            let silent = self.since.elapsed();
            let left = self.bound.saturating_sub(silent);
            self.alarm = Box::pin(task::sleep(left));
            if left.is_zero() {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }
}
