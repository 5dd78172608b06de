//! The retry budget: retries stay a fixed share of requests.

use std::time::{Duration, Instant};

use aspenloft_policy::retry_budget::{RetryBudget, RetryRefusal};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn retries_stay_a_share_of_requests_when_everything_fails() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for i in 0..10_000_u32 {
        let now = start + Duration::from_millis(u64::from(i));
        requests += 1;
        budget.deposit(10);
        // Every attempt fails and is retried while the budget lasts.
        while budget.withdraw(now, SECOND, Duration::ZERO).is_ok() {
            retries += 1;
        }
    }
    let share = f64::from(retries) / f64::from(requests);
    assert!(share <= 0.11, "{share} of requests were retried");
}

#[test]
fn a_quiet_row_recovers_from_a_single_failure() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    assert_eq!(budget.withdraw(start, SECOND, Duration::ZERO), Ok(()));
    assert_eq!(budget.withdraw(start, SECOND, Duration::ZERO), Err(RetryRefusal::Budget));
    assert_eq!(budget.withdraw(start + 5 * SECOND, SECOND, Duration::ZERO), Ok(()));
}

#[test]
fn a_retry_that_would_be_late_is_not_made() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start);
    assert_eq!(budget.withdraw(start, SECOND, 2 * SECOND), Err(RetryRefusal::Deadline));
}
