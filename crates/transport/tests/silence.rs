//! The bound on a stream's silence.

use std::future::pending;
use std::time::{Duration, Instant};

use aspenloft_transport::silence::Silence;
use async_std::task;

const BOUND: Duration = Duration::from_millis(100);

#[async_std::test]
async fn ends_a_wait_after_the_bound_and_not_before() {
    let mut silence = Silence::new(BOUND);
    // Words that come in time move the bound on, however long the whole takes.
    for _ in 0..6 {
        assert_eq!(silence.wait(task::sleep(BOUND / 4)).await, Some(()));
    }
    let began = Instant::now();
    assert_eq!(silence.wait(pending::<()>()).await, None);
    assert!(began.elapsed() >= BOUND, "ended after {:?}", began.elapsed());
    // It serves again after it has gone off.
    assert_eq!(silence.wait(async { 7 }).await, Some(7));
    assert_eq!(silence.wait(pending::<()>()).await, None);
}

#[async_std::test]
async fn time_between_waits_is_not_silence() {
    let mut silence = Silence::new(BOUND);
    task::sleep(BOUND * 2).await;
    assert_eq!(silence.wait(task::sleep(BOUND / 4)).await, Some(()));
}
