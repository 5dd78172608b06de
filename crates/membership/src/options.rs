//! The `options` module holds the intervals and timeouts of membership. The bounds
//! in `docs/PROMISES.md` follow from them.

use std::time::Duration;

/// `MembershipOptions` sets how often hosts exchange heartbeats and when they
/// consider each other dead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// The interval at which a host starts an exchange with a neighbour.
    pub round_interval: Duration,
    /// The interval at which a host writes a new record of itself.
    pub record_interval: Duration,
    /// The age of a host's record above which the host is considered dead.
    pub dead_after: Duration,
    /// The interval at which the author of a data centre's summary writes a new one.
    pub summary_interval: Duration,
    /// The shortest time between two summaries, which applies when the live hosts
    /// change.
    pub min_summary_interval: Duration,
    /// The age of a summary above which it is no longer used.
    pub summary_ttl: Duration,
    /// The interval at which a delegate starts exchanges with other data centres;
    /// each time with half of them.
    pub remote_interval: Duration,
    /// How long the records of a host that the platform does not list must arrive
    /// before it can be a home.
    pub unlisted_probation: Duration,
    /// The time without any contact after which a host considers itself isolated.
    pub isolated_after: Duration,
    /// The gap between two events above which the process is taken to have been
    /// paused.
    pub pause_gap: Duration,
    /// The number of delegates in each data centre, which watch the table and
    /// exchange heartbeats with the other data centres.
    pub delegates: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            round_interval: Duration::from_millis(500),
            record_interval: Duration::from_secs(1),
            dead_after: Duration::from_secs(5),
            summary_interval: Duration::from_secs(5),
            min_summary_interval: Duration::from_millis(500),
            summary_ttl: Duration::from_secs(12),
            remote_interval: Duration::from_secs(1),
            unlisted_probation: Duration::from_secs(10),
            isolated_after: Duration::from_secs(10),
            pause_gap: Duration::from_secs(2),
            delegates: 3,
        }
    }
}
