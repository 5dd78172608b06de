//! The `neighbours` module chooses with whom a host exchanges heartbeats, so that
//! each host has a bounded number of connections whatever the size.

use aspenloft_core::prelude::Name;

use crate::homes::weight;

/// The key under which delegates are ranked.
const DELEGATE_KEY: &str = "delegate";

/// The key under which the hosts of a data centre stand in a ring.
const RING_KEY: &str = "ring";

/// The ratio between one distance on the ring and the next.
const DISTANCE_RATIO: usize = 3;

/// Returns the `count` delegates among `hosts`, first the one that writes the
/// summary.
pub fn delegates<'a>(hosts: impl IntoIterator<Item = &'a Name>, count: usize) -> Vec<&'a Name> {
    let mut ranked: Vec<&Name> = hosts.into_iter().collect();
    ranked.sort_by_key(|name| (std::cmp::Reverse(weight(DELEGATE_KEY, name)), *name));
    ranked.truncate(count);
    ranked
}

/// Returns the neighbour of `me` on the ring of `hosts` for a round.
///
/// The distances grow by a fixed ratio, so that a change reaches everyone within
/// as many hops as the distances are many, in both directions. Rounds take the
/// distances in turn.
pub fn neighbour<'a>(
    me: &Name,
    hosts: impl IntoIterator<Item = &'a Name>,
    round: u64,
) -> Option<&'a Name> {
    let mut ring: Vec<&Name> = hosts.into_iter().collect();
    ring.sort_by_key(|name| (weight(RING_KEY, name), *name));
    let at = ring.iter().position(|name| *name == me)?;
    if ring.len() < 2 {
        return None;
    }
    let distances = distances(ring.len());
    let distance = distances[(round % distances.len() as u64) as usize];
    Some(ring[(at + distance) % ring.len()])
}

/// Returns the distances at which a host on a ring of `length` has neighbours.
pub fn distances(length: usize) -> Vec<usize> {
    let grow = |distance: &usize| Some(distance * DISTANCE_RATIO);
    std::iter::successors(Some(1), grow).take_while(|distance| *distance < length).collect()
}
