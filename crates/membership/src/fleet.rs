//! The `fleet` module holds a snapshot of the deployment with the home of each
//! backend server precomputed, so that no request has to rank all hosts.

use std::collections::HashMap;

use aspenloft_core::prelude::{Backend, Host, Name};
use aspenloft_protocol::platform::Listing;

use crate::homes::home_of;

/// `Fleet` is a snapshot of the live hosts, the backend servers and their homes.
#[derive(Debug, Default)]
pub struct Fleet {
    listing: std::sync::Arc<Listing>,
    homes: HashMap<Name, usize>,
    backends: HashMap<Name, usize>,
}

impl Fleet {
    /// Computes the homes of `backends` among the live `hosts`.
    pub fn new(hosts: Vec<Host>, backends: Vec<Backend>) -> Fleet {
        let by_data_centre = by_data_centre(&hosts);
        let mut homes = HashMap::with_capacity(backends.len());
        for backend in &backends {
            // Hosts in other data centres are ranked only when every host in the
            // server's own data centre is leaving or there is none.
            let local = by_data_centre.get(&backend.data_centre).map_or(&[][..], Vec::as_slice);
            let local = home_of(backend, local.iter().map(|index| &hosts[*index]));
            let home = local.or_else(|| home_of(backend, &hosts));
            let index = home.and_then(|home| hosts.iter().position(|host| host.name == home.name));
            if let Some(index) = index {
                homes.insert(backend.name.clone(), index);
            }
        }
        let indexed = backends.iter().enumerate();
        let by_name = indexed.map(|(index, backend)| (backend.name.clone(), index)).collect();
        let listing = std::sync::Arc::new(Listing { hosts, backends });
        Fleet { listing, homes, backends: by_name }
    }

    /// Returns the live hosts and the backend servers.
    pub fn listing(&self) -> &std::sync::Arc<Listing> {
        &self.listing
    }

    /// Returns the backend server named `name`, if it is listed.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name).map(|index| &self.listing.backends[*index])
    }

    /// Returns the home of the backend server named `backend`.
    pub fn home(&self, backend: &str) -> Option<&Host> {
        self.homes.get(backend).map(|index| &self.listing.hosts[*index])
    }

    /// Returns the names of the backend servers whose home is the host `host`.
    pub fn homes_of<'a>(&'a self, host: &'a str) -> impl Iterator<Item = &'a Name> {
        let mine =
            self.homes.iter().filter(|(_, index)| *self.listing.hosts[**index].name == *host);
        mine.map(|(backend, _)| backend)
    }
}

fn by_data_centre(hosts: &[Host]) -> HashMap<Name, Vec<usize>> {
    let mut by_data_centre: HashMap<Name, Vec<usize>> = HashMap::new();
    for (index, host) in hosts.iter().enumerate() {
        by_data_centre.entry(host.data_centre.clone()).or_default().push(index);
    }
    by_data_centre
}
