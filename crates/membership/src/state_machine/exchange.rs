//! The `exchange` module chooses the hosts to exchange heartbeats with and answers
//! the heartbeats of others.

use std::time::Instant;

use aspenloft_core::prelude::{Host, Name};
use aspenloft_protocol::peer::membership::{ExchangeStep, Heartbeat, HostRecord};

use super::{Action, FETCH_TIMEOUT, Membership, delegates, neighbour};
use crate::homes::weight;
use crate::neighbours::distances;

/// The number of rounds between two attempts to reach a listed but silent host.
const SILENT_ROUNDS: u64 = 2;

impl Membership {
    /// Answers the heartbeat of another host.
    pub fn answer(&mut self, heartbeat: Heartbeat, now: Instant) -> (Heartbeat, Vec<Action>) {
        self.detect_pause(now);
        let mut actions = Vec::new();
        let mut answer =
            Heartbeat::empty(ExchangeStep::Answer, self.me.name.clone(), self.table_version);
        if heartbeat.step == ExchangeStep::Offer {
            let dead_after = self.options.dead_after;
            let summary_ttl = self.options.summary_ttl;
            if !heartbeat.hosts_known.is_empty() {
                answer.hosts = self.records.newer_than(&heartbeat.hosts_known, dead_after, now);
                answer.wanted = self.records.outdated_keys(&heartbeat.hosts_known);
            }
            let known = &heartbeat.summaries_known;
            answer.summaries = self.summaries.newer_than(known, summary_ttl, now);
            answer.wanted.extend(self.summaries.outdated_keys(known));
        }
        self.merge_heartbeat(heartbeat, now, &mut actions);
        (answer, actions)
    }

    /// Merges the answer to an offer and delivers what the answerer wants.
    pub(super) fn on_answer(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let wanted = heartbeat.wanted.clone();
        let from = self.find_host(&heartbeat.from);
        self.merge_heartbeat(heartbeat, now, actions);
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

    /// Merges the records and summaries of a heartbeat.
    fn merge_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant, actions: &mut Vec<Action>) {
        self.last_contact.record(now);
        let delegates = self.local_delegates();
        let mut other_listing = false;
        for record in heartbeat.hosts {
            // Delegates read the platform's list often; the other hosts read it when
            // a delegate's list differs from theirs.
            let delegate = delegates.contains(&record.host.name);
            other_listing |= delegate && record.listing != self.listing_fingerprint;
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
            actions.push(Action::MembershipChanged);
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
            self.supersede_incarnation(&record, now);
            return;
        }
        let digests = record.backends.clone();
        let written = now.checked_sub(record.age).unwrap_or(now);
        if self.records.merge(record, now) {
            for digest in digests {
                self.digests.record(&digest.backend, digest.state(), written);
            }
        }
    }

    /// Raises the incarnation of this host above that of `record`, which has this
    /// host's name and is newer than its own. Without that the other hosts would
    /// ignore this host's records. It happens when the clock was set back between two
    /// starts.
    fn supersede_incarnation(&mut self, record: &HostRecord, now: Instant) {
        let newer = record.incarnation > self.incarnation
            || (record.incarnation == self.incarnation && record.seq > self.seq);
        if newer {
            self.incarnation = record.incarnation + 1;
            self.write_own_record(now);
        }
    }

    /// Requests the table of the host `name`, which has a newer one, unless a fetch is
    /// in progress.
    fn fetch_from(&mut self, name: &Name, now: Instant, actions: &mut Vec<Action>) {
        if self.fetch_deadline.is_some_and(|deadline| now < deadline) {
            return;
        }
        if let Some(from) = self.find_host(name) {
            self.fetch_deadline = Some(now + FETCH_TIMEOUT);
            actions.push(Action::FetchTable { from });
        }
    }

    fn find_host(&self, name: &Name) -> Option<Host> {
        if let Some(stored) = self.records.get(name) {
            return Some(stored.record.host.clone());
        }
        let live = self.live.iter().find(|host| host.name == *name);
        live.cloned().or_else(|| self.roster.get(name).map(|listed| listed.host.clone()))
    }

    /// Starts the exchanges of one round.
    pub(super) fn begin_exchanges(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let local = self.reachable_local(now);
        let ring = local.iter().map(|host| &host.name);
        if let Some(name) = neighbour(&self.me.name, ring, self.round).cloned() {
            let to = local.iter().find(|host| host.name == name).cloned();
            actions.extend(to.map(|to| self.local_offer(to, now)));
        }
        if self.round.is_multiple_of(SILENT_ROUNDS) {
            let silent = self.pick_silent(&local);
            actions.extend(silent.map(|to| self.local_offer(to, now)));
        }
        if now >= self.next_remote && self.is_delegate() {
            self.next_remote = now + self.options.remote_interval;
            self.begin_remote_exchanges(now, actions);
        }
    }

    /// Starts an exchange with every neighbour at once, so that a newer table reaches
    /// them without waiting for their rounds.
    pub(super) fn offer_to_neighbours(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let local = self.reachable_local(now);
        for turn in 0..distances(local.len()).len() as u64 {
            let ring = local.iter().map(|host| &host.name);
            let name = neighbour(&self.me.name, ring, turn).cloned();
            let to = local.iter().find(|host| Some(&host.name) == name.as_ref()).cloned();
            actions.extend(to.map(|to| self.local_offer(to, now)));
        }
    }

    /// Picks a listed but silent host of the data centre, in round-robin order, so
    /// that the two sides of a network partition find each other again.
    fn pick_silent(&self, local: &[Host]) -> Option<Host> {
        let listed = self.roster.iter().map(|listed| &listed.host);
        let silent: Vec<&Host> = listed
            .filter(|host| host.data_centre == self.me.data_centre && host.name != self.me.name)
            .filter(|host| !local.iter().any(|known| known.name == host.name))
            .collect();
        if silent.is_empty() {
            return None;
        }
        let turn = (self.round / SILENT_ROUNDS) as usize % silent.len();
        Some(silent[turn].clone())
    }

    fn local_offer(&self, to: Host, now: Instant) -> Action {
        let mut heartbeat =
            Heartbeat::empty(ExchangeStep::Offer, self.me.name.clone(), self.table_version);
        heartbeat.hosts_known = self.records.stamps(self.options.dead_after, now);
        heartbeat.summaries_known = self.summaries.stamps(self.options.summary_ttl, now);
        Action::Send { to, heartbeat }
    }

    /// Starts an exchange with half of the other data centres, with the other half
    /// next time.
    fn begin_remote_exchanges(&self, now: Instant, actions: &mut Vec<Action>) {
        let mut data_centres: Vec<&Name> = self.known_data_centres();
        data_centres.retain(|data_centre| **data_centre != self.me.data_centre);
        let turn = self.round / 2;
        for (index, data_centre) in data_centres.into_iter().enumerate() {
            if (index as u64 + turn).is_multiple_of(2)
                && let Some(to) = self.pick_remote(data_centre, turn / 2)
            {
                let mut heartbeat =
                    Heartbeat::empty(ExchangeStep::Offer, self.me.name.clone(), self.table_version);
                heartbeat.summaries_known = self.summaries.stamps(self.options.summary_ttl, now);
                actions.push(Action::Send { to, heartbeat });
            }
        }
    }

    fn known_data_centres(&self) -> Vec<&Name> {
        let listed = self.roster.iter().map(|listed| &listed.host.data_centre);
        let mut data_centres: Vec<&Name> =
            listed.chain(self.live.iter().map(|host| &host.data_centre)).collect();
        data_centres.sort();
        data_centres.dedup();
        data_centres
    }

    /// Picks a delegate of `data_centre` in round-robin order, or any listed host if
    /// no host there is known to be live.
    fn pick_remote(&self, data_centre: &Name, turn: u64) -> Option<Host> {
        let eligible = self.live.iter().filter(|h| h.data_centre == *data_centre && !h.leaving);
        let names = delegates(eligible.map(|host| &host.name), self.options.delegates);
        let turn = turn + weight(data_centre, &self.me.name) % 16;
        if !names.is_empty() {
            let name = names[turn as usize % names.len()];
            return self.find_host(name);
        }
        let listed = self.roster.iter().map(|listed| &listed.host);
        let listed: Vec<&Host> = listed.filter(|host| host.data_centre == *data_centre).collect();
        if listed.is_empty() {
            return None;
        }
        Some(listed[turn as usize % listed.len()].clone())
    }
}
