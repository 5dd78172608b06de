//! The `liveness` module judges which hosts are live.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Host, Name};

use super::Membership;
use crate::records::Kept;

/// `Member` is what a host knows of one host, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether it is held to be live.
    pub live: bool,
    /// The version of the table that it last said it has; zero for none.
    pub table_version: u64,
    /// The age of that word; `None` when there is none.
    pub age: Option<Duration>,
}

impl Membership {
    /// Works the live hosts out anew; tells whether they have changed.
    pub(super) fn refresh_live(&mut self, now: Instant) -> bool {
        let mut live: BTreeMap<Name, Host> = BTreeMap::new();
        for host in self.reachable_near(now) {
            if self.may_be_home(&host.name, now) {
                live.insert(host.name.clone(), host);
            }
        }
        for host in self.live_far(now) {
            live.entry(host.name.clone()).or_insert(host);
        }
        let live: Vec<Host> = live.into_values().map(|host| self.with_listed_word(host)).collect();
        let changed = live != self.live;
        self.live = live;
        changed
    }

    /// Returns the hosts of this data centre that answer, or may yet.
    pub(super) fn reachable_near(&self, now: Instant) -> Vec<Host> {
        let heard = self.records.iter().filter(|kept| self.is_young(kept, now));
        let mut near: Vec<Host> = heard.map(|kept| kept.record.host.clone()).collect();
        let grace = self.options.dead_after + self.slack;
        for listed in self.roster.iter() {
            let host = &listed.host;
            let fresh = now.saturating_duration_since(listed.since) <= grace;
            let unheard = self.records.get(&host.name).is_none();
            if fresh && unheard && host.data_centre == self.me.data_centre {
                near.push(host.clone());
            }
        }
        near
    }

    /// A host that the platform does not list may be one that was taken away and
    /// still runs; it becomes a home only after it has been heard for a while.
    fn may_be_home(&self, name: &Name, now: Instant) -> bool {
        if *name == self.me.name || self.roster.get(name).is_some() {
            return true;
        }
        let heard_for = |kept: &Kept| now.saturating_duration_since(kept.first_heard);
        self.records.get(name).is_some_and(|kept| heard_for(kept) >= self.options.unlisted_care)
    }

    fn is_young(&self, kept: &Kept, now: Instant) -> bool {
        let age = now.saturating_duration_since(kept.written);
        kept.record.host.name == self.me.name || age <= self.options.dead_after + self.slack
    }

    /// Returns the hosts that other data centres say are live, and those listed
    /// ones of which no word can have come yet.
    fn live_far(&self, now: Instant) -> Vec<Host> {
        let life = self.options.summary_life + self.slack;
        let mut far = Vec::new();
        let mut heard_places = Vec::new();
        for kept in self.summaries.young(life, now) {
            let place = &kept.summary.data_centre;
            if *place == self.me.data_centre {
                continue;
            }
            heard_places.push(place.clone());
            far.extend(kept.summary.hosts.iter().map(|host| Host {
                name: host.name.clone(),
                addr: host.addr,
                data_centre: place.clone(),
                leaving: host.leaving,
            }));
        }
        for listed in self.roster.iter() {
            let place = &listed.host.data_centre;
            let fresh = now.saturating_duration_since(listed.since) <= life;
            if fresh && *place != self.me.data_centre && !heard_places.contains(place) {
                far.push(listed.host.clone());
            }
        }
        far
    }

    fn with_listed_word(&self, mut host: Host) -> Host {
        let listed = self.roster.get(&host.name);
        host.leaving |= listed.is_some_and(|listed| listed.host.leaving);
        host
    }

    /// Returns what is known of every host, this one among them.
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
        for kept in self.records.iter() {
            if let Some(member) = members.get_mut(&kept.record.host.name) {
                member.table_version = kept.record.table_version;
                member.age = Some(now.saturating_duration_since(kept.written));
            }
        }
        for kept in self.summaries.young(self.options.summary_life, now) {
            let age = now.saturating_duration_since(kept.written);
            for host in &kept.summary.hosts {
                let member = members.get_mut(&host.name);
                // Versions never fall within a life, so the higher word is newer.
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
