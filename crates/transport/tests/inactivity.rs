//! Tests that [`InactivityTimer`] limits each wait on a stream, and that time between waits
//! does not count.

use std::future::pending;
use std::time::{Duration, Instant};

use aspenloft_transport::inactivity::InactivityTimer;
use async_std::task;

const LIMIT: Duration = Duration::from_millis(100);

#[async_std::test]
async fn ends_a_wait_after_the_limit_and_not_before() {
    let mut timer = InactivityTimer::new(LIMIT);
    // Each wait has the whole limit, even when all of them together take longer.
    for _ in 0..6 {
        assert_eq!(timer.wait(task::sleep(LIMIT / 4)).await, Some(()));
    }
    let started = Instant::now();
    assert_eq!(timer.wait(pending::<()>()).await, None);
    assert!(started.elapsed() >= LIMIT, "ended after {:?}", started.elapsed());
    // The timer can be used again after a wait has timed out.
    assert_eq!(timer.wait(async { 7 }).await, Some(7));
    assert_eq!(timer.wait(pending::<()>()).await, None);
}

#[async_std::test]
async fn time_between_waits_does_not_count() {
    let mut timer = InactivityTimer::new(LIMIT);
    task::sleep(LIMIT * 2).await;
    assert_eq!(timer.wait(task::sleep(LIMIT / 4)).await, Some(()));
}
