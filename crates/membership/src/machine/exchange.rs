//! The `exchange` module chooses with whom to exchange heartbeats and answers
//! those of others.

use std::time::Instant;

use aspenloft_core::prelude::{Host, Name};
use aspenloft_protocol::peer::membership::{ExchangeStep, Heartbeat, HostRecord};

use super::{Action, FETCH_TIMEOUT, Membership, delegates, neighbour};
use crate::homes::weight;
use crate::neighbours::distances;

/// Every how many rounds a listed but silent host is tried.
const SILENT_ROUNDS: u64 = 2;

impl Membership {
    /// Answers the heartbeat of another host.
    pub fn answer(&mut self, heartbeat: Heartbeat, now: Instant) -> (Heartbeat, Vec<Action>) {
        self.notice_pause(now);
        let mut actions = Vec::new();
        let mut answer =
            Heartbeat::empty(ExchangeStep::Answer, self.me.name.clone(), self.table_version);
        if heartbeat.step == ExchangeStep::Offer {
            let life = self.options.dead_after;
            let summary_life = self.options.summary_life;
            if !heartbeat.hosts_known.is_empty() {
                answer.hosts = self.records.newer_than(&heartbeat.hosts_known, life, now);
                answer.wanted = self.records.lacking(&heartbeat.hosts_known);
            }
            let known = &heartbeat.summaries_known;
            answer.summaries = self.summaries.newer_than(known, summary_life, now);
            answer.wanted.extend(self.summaries.lacking(known));
        }
        self.take_in(heartbeat, now, &mut actions);
        (answer, actions)
    }

    /// Takes the answer to an offer in and delivers what the answerer wants.
    pub(super) fn answered(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let wanted = heartbeat.wanted.clone();
        let from = self.find_host(&heartbeat.from);
        self.take_in(heartbeat, now, actions);
        if wanted.is_empty() {
            return;
        }
        let Some(to) = from else { return };
        let mut heartbeat =
            Heartbeat::empty(ExchangeStep::Deliver, self.me.name.clone(), self.table_version);
        heartbeat.hosts = self.records.with_keys(&wanted, now);
        heartbeat.summaries = self.summaries.with_keys(&wanted, now);
        actions.push(Action::Send { to, heartbeat });
    }

    /// Merges what a heartbeat carries.
    fn take_in(&mut self, heartbeat: Heartbeat, now: Instant, actions: &mut Vec<Action>) {
        self.contact.note(now);
        let delegates = self.my_delegates();
        let mut other_listing = false;
        for record in heartbeat.hosts {
            // Delegates read the platform's list often; the others follow them.
            let delegate = delegates.contains(&record.host.name);
            other_listing |= delegate && record.listing != self.listing_print;
            self.merge_record(record, now);
        }
        if other_listing {
            actions.push(Action::ReadListing);
        }
        for summary in heartbeat.summaries {
            if summary.data_centre != self.me.data_centre || summary.author != self.me.name {
                self.summaries.merge(summary, now);
            }
        }
        if self.refresh_live(now) {
            actions.push(Action::Changed);
        }
        if heartbeat.table_version > self.table_version {
            self.fetch_from(&heartbeat.from, now, actions);
        }
    }

    fn merge_record(&mut self, record: HostRecord, now: Instant) {
        if record.host.data_centre != self.me.data_centre {
            return;
        }
        if record.host.name == self.me.name {
            self.outlive(&record, now);
            return;
        }
        let digests = record.backends.clone();
        let written = now.checked_sub(record.age).unwrap_or(now);
        if self.records.merge(record, now) {
            for digest in digests {
                self.digests.note(&digest.backend, digest.state(), written);
            }
        }
    }

    /// Takes a higher incarnation where another record bears this host's name and
    /// would hide it, as after a clock that was set back.
    fn outlive(&mut self, record: &HostRecord, now: Instant) {
        let newer = record.incarnation > self.incarnation
            || (record.incarnation == self.incarnation && record.seq > self.seq);
        if newer {
            self.incarnation = record.incarnation + 1;
            self.beat(now);
        }
    }

    /// Asks the host that is known to have a newer table for it, one fetch at a
    /// time.
    fn fetch_from(&mut self, name: &Name, now: Instant, actions: &mut Vec<Action>) {
        if self.fetch_ends.is_some_and(|ends| now < ends) {
            return;
        }
        if let Some(from) = self.find_host(name) {
            self.fetch_ends = Some(now + FETCH_TIMEOUT);
            actions.push(Action::FetchTable { from });
        }
    }

    fn find_host(&self, name: &Name) -> Option<Host> {
        if let Some(kept) = self.records.get(name) {
            return Some(kept.record.host.clone());
        }
        let live = self.live.iter().find(|host| host.name == *name);
        live.cloned().or_else(|| self.roster.get(name).map(|listed| listed.host.clone()))
    }

    /// Begins the exchanges of one round.
    pub(super) fn begin_exchanges(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let near = self.reachable_near(now);
        let ring = near.iter().map(|host| &host.name);
        if let Some(name) = neighbour(&self.me.name, ring, self.round).cloned() {
            let to = near.iter().find(|host| host.name == name).cloned();
            actions.extend(to.map(|to| self.offer_near(to, now)));
        }
        if self.round.is_multiple_of(SILENT_ROUNDS) {
            let silent = self.pick_silent(&near);
            actions.extend(silent.map(|to| self.offer_near(to, now)));
        }
        if now >= self.next_remote && self.is_delegate() {
            self.next_remote = now + self.options.remote_interval;
            self.begin_remote(now, actions);
        }
    }

    /// Begins an exchange with every neighbour at once, so that a newer table needs
    /// no round to reach them.
    pub(super) fn tell_neighbours(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let near = self.reachable_near(now);
        for turn in 0..distances(near.len()).len() as u64 {
            let ring = near.iter().map(|host| &host.name);
            let name = neighbour(&self.me.name, ring, turn).cloned();
            let to = near.iter().find(|host| Some(&host.name) == name.as_ref()).cloned();
            actions.extend(to.map(|to| self.offer_near(to, now)));
        }
    }

    /// Picks a listed host of the data centre that is silent, each in its turn, so
    /// that a data centre that was cut in two grows together again.
    fn pick_silent(&self, near: &[Host]) -> Option<Host> {
        let listed = self.roster.iter().map(|listed| &listed.host);
        let silent: Vec<&Host> = listed
            .filter(|host| host.data_centre == self.me.data_centre && host.name != self.me.name)
            .filter(|host| !near.iter().any(|known| known.name == host.name))
            .collect();
        if silent.is_empty() {
            return None;
        }
        let turn = (self.round / SILENT_ROUNDS) as usize % silent.len();
        Some(silent[turn].clone())
    }

    fn offer_near(&self, to: Host, now: Instant) -> Action {
        let mut heartbeat =
            Heartbeat::empty(ExchangeStep::Offer, self.me.name.clone(), self.table_version);
        heartbeat.hosts_known = self.records.stamps(self.options.dead_after, now);
        heartbeat.summaries_known = self.summaries.stamps(self.options.summary_life, now);
        Action::Send { to, heartbeat }
    }

    /// Begins an exchange with half of the other data centres, in turn.
    fn begin_remote(&self, now: Instant, actions: &mut Vec<Action>) {
        let mut places: Vec<&Name> = self.known_places();
        places.retain(|place| **place != self.me.data_centre);
        let turn = self.round / 2;
        for (at, place) in places.into_iter().enumerate() {
            if (at as u64 + turn).is_multiple_of(2)
                && let Some(to) = self.pick_remote(place, turn / 2)
            {
                let mut heartbeat =
                    Heartbeat::empty(ExchangeStep::Offer, self.me.name.clone(), self.table_version);
                heartbeat.summaries_known = self.summaries.stamps(self.options.summary_life, now);
                actions.push(Action::Send { to, heartbeat });
            }
        }
    }

    fn known_places(&self) -> Vec<&Name> {
        let listed = self.roster.iter().map(|listed| &listed.host.data_centre);
        let mut places: Vec<&Name> =
            listed.chain(self.live.iter().map(|host| &host.data_centre)).collect();
        places.sort();
        places.dedup();
        places
    }

    /// Picks a delegate of `place` in its turn, or any listed host of a place from
    /// which nothing is heard.
    fn pick_remote(&self, place: &Name, turn: u64) -> Option<Host> {
        let there = self.live.iter().filter(|h| h.data_centre == *place && !h.leaving);
        let names = delegates(there.map(|host| &host.name), self.options.delegates);
        let turn = turn + weight(place, &self.me.name) % 16;
        if !names.is_empty() {
            let name = names[turn as usize % names.len()];
            return self.find_host(name);
        }
        let listed = self.roster.iter().map(|listed| &listed.host);
        let listed: Vec<&Host> = listed.filter(|host| host.data_centre == *place).collect();
        if listed.is_empty() {
            return None;
        }
        Some(listed[turn as usize % listed.len()].clone())
    }
}
