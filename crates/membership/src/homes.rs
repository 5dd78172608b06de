//! The `homes` module assigns each backend server a home host by rendezvous
//! hashing, so that all hosts with the same list of members agree without
//! exchanging messages.
//!
//! Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
//! 1996.

use aspenloft_core::prelude::{Backend, Host};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the home of `backend` among the `hosts` that are not leaving: one in its
/// data centre if there is any, else one in another data centre.
pub fn home_of<'a>(
    backend: &Backend,
    hosts: impl IntoIterator<Item = &'a Host>,
) -> Option<&'a Host> {
    let eligible = hosts.into_iter().filter(|host| !host.leaving);
    eligible.max_by_key(|host| {
        let local = host.data_centre == backend.data_centre;
        (local, weight(&backend.name, &host.name), host.name.clone())
    })
}

/// Returns the rendezvous weight of `host` for `key`; the host with the highest
/// weight is chosen.
pub fn weight(key: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
