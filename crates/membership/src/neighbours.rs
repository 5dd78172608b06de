//! The `neighbours` module chooses the hosts with which a host exchanges heartbeats,
//! so that its number of connections grows only logarithmically with the number of
//! hosts.

use aspenloft_core::prelude::Name;

use crate::homes::weight;

/// The key under which delegates are ranked.
const DELEGATE_KEY: &str = "delegate";

/// The key by whose weights the hosts of a data centre are ordered in a ring.
const RING_KEY: &str = "ring";

/// The ratio between one distance on the ring and the next.
const DISTANCE_RATIO: usize = 3;

/// Returns the `count` delegates among `hosts`; the first writes the data centre's
/// summary.
pub fn delegates<'a>(hosts: impl IntoIterator<Item = &'a Name>, count: usize) -> Vec<&'a Name> {
    let mut ranked: Vec<&Name> = hosts.into_iter().collect();
    ranked.sort_by_key(|name| (std::cmp::Reverse(weight(DELEGATE_KEY, name)), *name));
    ranked.truncate(count);
    ranked
}

/// Returns the neighbour of `me` on the ring of `hosts` for `round`.
///
/// Successive rounds cycle through the distances, which grow by a fixed ratio. As an
/// exchange passes changes in both directions, a change reaches every host within as
/// many hops as there are distances.
pub fn neighbour<'a>(
    me: &Name,
    hosts: impl IntoIterator<Item = &'a Name>,
    round: u64,
) -> Option<&'a Name> {
    let mut ring: Vec<&Name> = hosts.into_iter().collect();
    ring.sort_by_key(|name| (weight(RING_KEY, name), *name));
    let index = ring.iter().position(|name| *name == me)?;
    if ring.len() < 2 {
        return None;
    }
    let distances = distances(ring.len());
    let distance = distances[(round % distances.len() as u64) as usize];
    Some(ring[(index + distance) % ring.len()])
}

/// Returns the distances to the neighbours of a host on a ring of `length` hosts.
pub fn distances(length: usize) -> Vec<usize> {
    let next = |distance: &usize| Some(distance * DISTANCE_RATIO);
    std::iter::successors(Some(1), next).take_while(|distance| *distance < length).collect()
}
