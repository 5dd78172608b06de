//! The `host_groups` module divides the hosts and engines of a data centre into groups,
//! and sets the intervals at which hosts send each other digests of their work.
//!
//! In a deployment of hundreds of hosts, receiving every change of every other host
//! would cost a small host more than serving its callers. Hosts therefore send each
//! change only within their group and place requests on the group's engines first. To
//! other hosts they send digests at longer intervals, for use when the engines of their
//! own group are full. `docs/CAPACITY.md` has the cost at the full size.

use std::time::Duration;

use aspenloft_core::prelude::Name;
use xxhash_rust::xxh3::xxh3_64;

/// The highest mean number of hosts in a group. Data centres of 15 to 25 hosts, as in
/// users' larger deployments, form a single group.
const MAX_MEAN_GROUP_SIZE: usize = 32;

/// The interval between digests within the group, per receiving host.
const GROUP_SPACING: Duration = Duration::from_millis(1);

/// The interval between digests to other hosts, per receiving host. It is longer because
/// traffic between data centres is charged for.
const REMOTE_SPACING: Duration = Duration::from_millis(10);

/// The longest interval that [`REMOTE_SPACING`] alone leads to. With older digests, hosts
/// would place requests on engines that others have filled in the meantime.
const REMOTE_INTERVAL_CAP: Duration = Duration::from_millis(250);

/// The least interval per receiving host where that exceeds [`REMOTE_INTERVAL_CAP`], so
/// that the cost of receiving digests does not grow with the number of hosts.
const REMOTE_MIN_SPACING: Duration = Duration::from_millis(3);

/// The longest interval between digests to other hosts. Their content expires after two
/// seconds, so one digest may be lost.
const MAX_REMOTE_INTERVAL: Duration = Duration::from_millis(900);

/// `HostGroup` is the group of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostGroup {
    data_centre: Name,
    index: u64,
    count: u64,
}

impl HostGroup {
    /// Returns the group of the host `name` in `data_centre`, which has `hosts` hosts.
    pub fn of(name: &str, data_centre: &Name, hosts: usize) -> HostGroup {
        let count = hosts.div_ceil(MAX_MEAN_GROUP_SIZE).max(1) as u64;
        HostGroup { data_centre: data_centre.clone(), index: host_index(name, count), count }
    }

    /// Returns whether the host `name` in `data_centre` belongs to the group.
    pub fn has_host(&self, name: &str, data_centre: &Name) -> bool {
        *data_centre == self.data_centre && host_index(name, self.count) == self.index
    }

    /// Returns whether the engine with the hash `key` in `data_centre` belongs to the
    /// group.
    pub fn has_engine(&self, key: u64, data_centre: &Name) -> bool {
        *data_centre == self.data_centre && key % self.count == self.index
    }

    /// Returns whether two engines of one data centre belong to the same group.
    pub fn same_group(&self, a: u64, b: u64) -> bool {
        a % self.count == b % self.count
    }
}

fn host_index(name: &str, count: u64) -> u64 {
    xxh3_64(name.as_bytes()) % count
}

/// Returns the interval between digests to the `hosts` other hosts of the group.
pub fn group_interval(min_interval: Duration, hosts: usize) -> Duration {
    min_interval + GROUP_SPACING.saturating_mul(to_u32(hosts))
}

/// Returns the interval between digests to the `hosts` hosts of other groups.
pub fn remote_interval(hosts: usize) -> Duration {
    let floor = REMOTE_MIN_SPACING.saturating_mul(to_u32(hosts));
    REMOTE_SPACING
        .saturating_mul(to_u32(hosts))
        .min(REMOTE_INTERVAL_CAP.max(floor))
        .min(MAX_REMOTE_INTERVAL)
}

fn to_u32(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}
