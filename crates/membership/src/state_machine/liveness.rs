//! The `liveness` module determines which hosts are live.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Host, Name};

use super::Membership;
use crate::records::StoredRecord;

/// `Member` is the state of one host as another host sees it, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host's name, address, data centre and whether it is leaving.
    pub host: Host,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is considered live.
    pub live: bool,
    /// The version of the table that it last reported; zero for none.
    pub table_version: u64,
    /// The age of that report; `None` if none was received.
    pub age: Option<Duration>,
}

impl Membership {
    /// Recomputes the live hosts; returns whether they have changed.
    pub(super) fn refresh_live(&mut self, now: Instant) -> bool {
        let mut live: BTreeMap<Name, Host> = BTreeMap::new();
        for host in self.reachable_local(now) {
            if self.may_be_home(&host.name, now) {
                live.insert(host.name.clone(), host);
            }
        }
        for host in self.live_remote(now) {
            live.entry(host.name.clone()).or_insert(host);
        }
        let live: Vec<Host> =
            live.into_values().map(|host| self.with_listed_leaving(host)).collect();
        let changed = live != self.live;
        self.live = live;
        changed
    }

    /// Returns the hosts of this data centre with a fresh record, and those that were
    /// listed too recently for one to have arrived.
    pub(super) fn reachable_local(&self, now: Instant) -> Vec<Host> {
        let recent = self.records.iter().filter(|stored| self.is_fresh(stored, now));
        let mut local: Vec<Host> = recent.map(|stored| stored.record.host.clone()).collect();
        let grace = self.options.dead_after + self.pause_grace;
        for listed in self.roster.iter() {
            let host = &listed.host;
            let fresh = now.saturating_duration_since(listed.since) <= grace;
            let no_record = self.records.get(&host.name).is_none();
            if fresh && no_record && host.data_centre == self.me.data_centre {
                local.push(host.clone());
            }
        }
        local
    }

    /// Returns whether the host may be a home. A host that the platform does not list
    /// may have been removed and still be running, so it has to send records for the
    /// time of the option `unlisted_probation` first.
    fn may_be_home(&self, name: &Name, now: Instant) -> bool {
        if *name == self.me.name || self.roster.get(name).is_some() {
            return true;
        }
        let sending_for =
            |stored: &StoredRecord| now.saturating_duration_since(stored.first_received);
        self.records
            .get(name)
            .is_some_and(|stored| sending_for(stored) >= self.options.unlisted_probation)
    }

    fn is_fresh(&self, stored: &StoredRecord, now: Instant) -> bool {
        let age = now.saturating_duration_since(stored.written);
        stored.record.host.name == self.me.name || age <= self.options.dead_after + self.pause_grace
    }

    /// Returns the hosts that the summaries of other data centres report as live. For
    /// a data centre without a summary these are the hosts that were listed too
    /// recently for one to have arrived.
    fn live_remote(&self, now: Instant) -> Vec<Host> {
        let max_age = self.options.summary_ttl + self.pause_grace;
        let mut remote = Vec::new();
        let mut summarised = Vec::new();
        for stored in self.summaries.fresh(max_age, now) {
            let data_centre = &stored.summary.data_centre;
            if *data_centre == self.me.data_centre {
                continue;
            }
            summarised.push(data_centre.clone());
            remote.extend(stored.summary.hosts.iter().map(|host| Host {
                name: host.name.clone(),
                addr: host.addr,
                data_centre: data_centre.clone(),
                leaving: host.leaving,
            }));
        }
        for listed in self.roster.iter() {
            let data_centre = &listed.host.data_centre;
            let fresh = now.saturating_duration_since(listed.since) <= max_age;
            if fresh && *data_centre != self.me.data_centre && !summarised.contains(data_centre) {
                remote.push(listed.host.clone());
            }
        }
        remote
    }

    fn with_listed_leaving(&self, mut host: Host) -> Host {
        let listed = self.roster.get(&host.name);
        host.leaving |= listed.is_some_and(|listed| listed.host.leaving);
        host
    }

    /// Returns the state of every known host, including this one.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let mut members: BTreeMap<Name, Member> = BTreeMap::new();
        let known = self.roster.iter().map(|listed| &listed.host).chain(&self.live);
        for host in known {
            let member = Member {
                host: host.clone(),
                listed: self.roster.get(&host.name).is_some(),
                live: self.live.iter().any(|live| live.name == host.name),
                table_version: 0,
                age: None,
            };
            members.insert(host.name.clone(), member);
        }
        for stored in self.records.iter() {
            if let Some(member) = members.get_mut(&stored.record.host.name) {
                member.table_version = stored.record.table_version;
                member.age = Some(now.saturating_duration_since(stored.written));
            }
        }
        for stored in self.summaries.fresh(self.options.summary_ttl, now) {
            let age = now.saturating_duration_since(stored.written);
            for host in &stored.summary.hosts {
                let member = members.get_mut(&host.name);
                // A host's version never decreases within an incarnation; of two reports
                // the newer one counts.
                if let Some(member) = member
                    && member.host.data_centre != self.me.data_centre
                    && member.age.is_none_or(|known| age < known)
                {
                    member.table_version = host.table_version;
                    member.age = Some(age);
                }
            }
        }
        if let Some(me) = members.get_mut(&self.me.name) {
            me.table_version = self.table_version;
            me.age = Some(Duration::ZERO);
        }
        members.into_values().collect()
    }
}
