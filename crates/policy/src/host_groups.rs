//! The `host_groups` module divides a data centre's hosts and engines into groups that
//! know each other's work well, and says how often hosts tell each other of theirs.
//!
//! The load pattern it answers is a deployment that has grown to hundreds of hosts: if
//! each told all others at once, hearing of the others would cost a small host more
//! than its callers do. Members of a group tell each other of each change and place
//! requests on the group's engines first; the rest they hear of now and then, for when
//! those engines are full. `docs/CAPACITY.md` has the cost at the full size.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The most hosts that a group has on average: the data centres of the users' grown
/// deployments, of 15 to 25 hosts, stay one group each.
const GROUP_HOSTS: usize = 32;

/// What each host of the own group adds to the time between digests to them.
const NEAR_SPACING: Duration = Duration::from_millis(1);

/// The same for all other hosts; between data centres bytes are paid for.
const FAR_SPACING: Duration = Duration::from_millis(10);

/// The time between two digests to other hosts that their number alone does not
/// exceed: later ones let hosts place on engines that others have filled meanwhile.
const FAR_USUAL: Duration = Duration::from_millis(250);

/// What each other host comes to where that is more, so that hearing all of them costs
/// the same however many they are.
const FAR_SPACING_ABOVE: Duration = Duration::from_millis(3);

/// The longest time between two digests to other hosts: one may be lost before what
/// they said is forgotten, after two seconds.
const FAR_LONGEST: Duration = Duration::from_millis(900);

/// `HostGroup` is one host's group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostGroup {
    data_centre: Name,
    index: u64,
    count: u64,
}

impl HostGroup {
    /// Returns the group of the host `name` in `data_centre`, which has `hosts` hosts.
    pub fn of(name: &str, data_centre: &Name, hosts: usize) -> HostGroup {
        let count = hosts.div_ceil(GROUP_HOSTS).max(1) as u64;
        HostGroup { data_centre: data_centre.clone(), index: host_index(name, count), count }
    }

    /// Tells whether the host `name` in `data_centre` is of the group.
    pub fn has_host(&self, name: &str, data_centre: &Name) -> bool {
        *data_centre == self.data_centre && host_index(name, self.count) == self.index
    }

    /// Tells whether the engine with the short name `key` in `data_centre` is of the
    /// group.
    pub fn has_engine(&self, key: u64, data_centre: &Name) -> bool {
        *data_centre == self.data_centre && key % self.count == self.index
    }

    /// Tells whether two engines of one data centre are of the same group.
    pub fn same_group(&self, a: u64, b: u64) -> bool {
        a % self.count == b % self.count
    }
}

fn host_index(name: &str, count: u64) -> u64 {
    xxh3_64(name.as_bytes()) % count
}

/// Returns how long a host lets pass between digests to the `near` others of its group.
pub fn group_interval(shortest: Duration, near: usize) -> Duration {
    shortest + NEAR_SPACING.saturating_mul(count(near))
}

/// Returns how long a host lets pass between digests to the `far` hosts of other groups.
pub fn remote_interval(far: usize) -> Duration {
    let above = FAR_SPACING_ABOVE.saturating_mul(count(far));
    FAR_SPACING.saturating_mul(count(far)).min(FAR_USUAL.max(above)).min(FAR_LONGEST)
}

fn count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}
