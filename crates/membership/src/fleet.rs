//! The `fleet` module is a snapshot of the deployment with each home worked out
//! once, because a request must not rank all hosts again.

use std::collections::HashMap;

use aspenloft_core::prelude::{Backend, Host, Name};
use aspenloft_protocol::platform::Listing;

use crate::homes::home_of;

/// `Fleet` is the live hosts and the backend servers at one moment.
#[derive(Debug, Default)]
pub struct Fleet {
    listing: std::sync::Arc<Listing>,
    homes: HashMap<Name, usize>,
    backends: HashMap<Name, usize>,
}

impl Fleet {
    /// Works out the homes of `backends` among the live `hosts`.
    pub fn new(hosts: Vec<Host>, backends: Vec<Backend>) -> Fleet {
        let by_place = by_data_centre(&hosts);
        let mut homes = HashMap::with_capacity(backends.len());
        for backend in &backends {
            // Only hosts in the data centre matter as long as one of them stays.
            let near = by_place.get(&backend.data_centre).map_or(&[][..], Vec::as_slice);
            let near = home_of(backend, near.iter().map(|at| &hosts[*at]));
            let home = near.or_else(|| home_of(backend, &hosts));
            let at = home.and_then(|home| hosts.iter().position(|host| host.name == home.name));
            if let Some(at) = at {
                homes.insert(backend.name.clone(), at);
            }
        }
        let places = backends.iter().enumerate();
        let by_name = places.map(|(at, backend)| (backend.name.clone(), at)).collect();
        let listing = std::sync::Arc::new(Listing { hosts, backends });
        Fleet { listing, homes, backends: by_name }
    }

    /// Returns the live hosts and the backend servers.
    pub fn listing(&self) -> &std::sync::Arc<Listing> {
        &self.listing
    }

    /// Finds a backend server by name.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name).map(|at| &self.listing.backends[*at])
    }

    /// Finds the home of the backend server named `backend`.
    pub fn home(&self, backend: &str) -> Option<&Host> {
        self.homes.get(backend).map(|at| &self.listing.hosts[*at])
    }

    /// Returns the names of the backend servers whose home is the host `host`.
    pub fn homes_of<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a Name> {
        let mine = self.homes.iter().filter(|(_, at)| *self.listing.hosts[**at].name == *host);
        mine.map(|(backend, _)| backend)
    }
}

fn by_data_centre(hosts: &[Host]) -> HashMap<Name, Vec<usize>> {
    let mut by_place: HashMap<Name, Vec<usize>> = HashMap::new();
    for (at, host) in hosts.iter().enumerate() {
        by_place.entry(host.data_centre.clone()).or_default().push(at);
    }
    by_place
}
