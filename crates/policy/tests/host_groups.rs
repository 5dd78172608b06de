//! Division into host groups and its message rate, up to the full size of a deployment.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::prelude::Name;
use aspenloft_policy::host_groups::{HostGroup, group_interval, remote_interval};
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn name(host: usize) -> String {
    format!("frontend-dk-vest-a-{host}")
}

#[test]
fn every_host_and_engine_belongs_to_a_group_of_its_data_centre_only() {
    let here: Name = "dk-vest-a".into();
    let away: Name = "dk-vest-b".into();
    for hosts in [1, 7, 32, 33, 75, 340] {
        let groups: Vec<HostGroup> =
            (0..hosts).map(|host| HostGroup::of(&name(host), &here, hosts)).collect();
        let mut owners = HashMap::<usize, usize>::new();
        for engine in 0..1_000_u64 {
            let key = xxh3_64_with_seed(b"engine", engine);
            let own = groups.iter().position(|g| g.has_engine(key, &here)).expect("a group");
            *owners.entry(own).or_default() += 1;
            assert!(groups.iter().all(|g| !g.has_engine(key, &away)));
        }
        for (host, group) in groups.iter().enumerate() {
            let members = (0..hosts).filter(|other| group.has_host(&name(*other), &here)).count();
            assert!(group.has_host(&name(host), &here));
            assert!(!group.has_host(&name(host), &away));
            assert!(members <= 48, "{members} of {hosts} hosts in one group");
        }
        if hosts <= 32 {
            assert_eq!(owners.len(), 1, "a small data centre is not divided");
        }
    }
}

/// The full size is 340 hosts in seven data centres. Each host has 4.2 model requests per
/// second, and each request changes the host's digest three times. Without groups, the
/// rate of received digests per host would grow with the number of hosts.
#[test]
fn the_rate_of_digests_that_a_host_receives_is_bounded() {
    let changes = 3.0 * 4.2_f64;
    let received_per_s = |hosts: usize, data_centres: usize| {
        let here = hosts / data_centres;
        let group = HostGroup::of(&name(0), &"dk-vest-a".into(), here);
        let near =
            (1..here).filter(|host| group.has_host(&name(*host), &"dk-vest-a".into())).count();
        let far = hosts - 1 - near;
        let near_rate =
            changes.min(1.0 / group_interval(Duration::from_millis(8), near).as_secs_f64());
        near as f64 * near_rate + far as f64 / remote_interval(far).as_secs_f64()
    };
    assert!(received_per_s(7, 3) <= 150.0, "{}", received_per_s(7, 3));
    assert!(received_per_s(340, 7) <= 800.0, "{}", received_per_s(340, 7));
    assert!(
        received_per_s(340, 7) <= received_per_s(74, 3) * 340.0 / 74.0,
        "grows at most in proportion to the hosts"
    );
}
