//! The `roster` module holds the platform's list of hosts. The list lags behind, so it
//! only gives the hosts to contact; heartbeats decide which of them are live.

use std::collections::BTreeMap;
use std::time::Instant;

use aspenloft_core::prelude::{Host, Name};
use aspenloft_protocol::platform::Listing;
use xxhash_rust::xxh3::xxh3_64;

/// Returns a fingerprint of `listing` that does not depend on its order.
pub fn fingerprint(listing: &Listing) -> u32 {
    let hosts = listing.hosts.iter().map(|host| format!("{host:?}"));
    let backends = listing.backends.iter().map(|backend| format!("{backend:?}"));
    let hashes = hosts.chain(backends).map(|entry| xxh3_64(entry.as_bytes()));
    (hashes.fold(0, u64::wrapping_add) >> 32) as u32
}

/// `ListedHost` is one host on the platform's list.
#[derive(Debug, Clone)]
pub struct ListedHost {
    /// The host with the address and state that the platform lists.
    pub host: Host,
    /// Since when this host has seen it listed without interruption.
    pub since: Instant,
}

/// `Roster` is the platform's list of hosts as last read.
#[derive(Debug, Default)]
pub struct Roster {
    by_name: BTreeMap<Name, ListedHost>,
}

impl Roster {
    /// Replaces the list by a newer one.
    pub fn update(&mut self, hosts: Vec<Host>, now: Instant) {
        let mut fresh = BTreeMap::new();
        for host in hosts {
            // The same name at another address is a replacement, listed since now.
            let known = self.by_name.get(&host.name).filter(|known| known.host.addr == host.addr);
            let since = known.map_or(now, |known| known.since);
            fresh.insert(host.name.clone(), ListedHost { host, since });
        }
        self.by_name = fresh;
    }

    /// Returns the entry of the host `name`.
    pub fn get(&self, name: &str) -> Option<&ListedHost> {
        self.by_name.get(name)
    }

    /// Returns all entries, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &ListedHost> {
        self.by_name.values()
    }
}
