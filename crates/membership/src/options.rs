//! The `options` module holds the intervals of membership. The bounds in
//! `docs/PROMISES.md` follow from them.

use std::time::Duration;

/// `MembershipOptions` is how often hosts exchange heartbeats and when they give
/// each other up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipOptions {
    /// How often a host begins an exchange with a neighbour.
    pub round_interval: Duration,
    /// How often a host writes a new record of itself.
    pub beat: Duration,
    /// The age of a host's record above which the host is not live.
    pub dead_after: Duration,
    /// How often the author of a data centre's summary writes a new one.
    pub summary_interval: Duration,
    /// The shortest time between two summaries, when something urgent changes.
    pub summary_gap: Duration,
    /// The age of a summary above which it says nothing any more.
    pub summary_life: Duration,
    /// How often a delegate begins an exchange with each other data centre.
    pub remote_interval: Duration,
    /// How long a host that the platform does not list must be heard before it
    /// can be a home.
    pub unlisted_care: Duration,
    /// The time without any contact after which a host holds itself isolated.
    pub isolated_after: Duration,
    /// The gap between two rounds that shows that the process was paused.
    pub pause_gap: Duration,
    /// Delegates of each data centre, which watch the table and speak with the
    /// other data centres.
    pub delegates: usize,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            round_interval: Duration::from_millis(500),
            beat: Duration::from_secs(1),
            dead_after: Duration::from_secs(5),
            summary_interval: Duration::from_secs(5),
            summary_gap: Duration::from_millis(500),
            summary_life: Duration::from_secs(12),
            remote_interval: Duration::from_secs(1),
            unlisted_care: Duration::from_secs(10),
            isolated_after: Duration::from_secs(10),
            pause_gap: Duration::from_secs(2),
            delegates: 3,
        }
    }
}
