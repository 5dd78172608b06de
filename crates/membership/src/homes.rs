//! The `homes` module assigns each backend server a home host by rendezvous
//! hashing, so that all hosts that see the same members agree without a message.
//!
//! Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous",
//! 1996.

use aspenloft_core::prelude::{Backend, Host};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the home of `backend` among `hosts`: one in its data centre that is
/// not leaving, else one anywhere, else none.
pub fn home_of<'a>(
    backend: &Backend,
    hosts: impl IntoIterator<Item = &'a Host>,
) -> Option<&'a Host> {
    let staying = hosts.into_iter().filter(|host| !host.leaving);
    staying.max_by_key(|host| {
        let near = host.data_centre == backend.data_centre;
        (near, weight(&backend.name, &host.name), host.name.clone())
    })
}

/// Returns the weight of `host` for `key`; the host with the highest one wins.
pub fn weight(key: &str, host: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(host.as_bytes(), seed)
}
