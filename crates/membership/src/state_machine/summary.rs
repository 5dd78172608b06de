//! The `summary` module writes the summary of the data centre for the other data
//! centres. Its author is the first delegate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendRole, Name};
use aspenloft_protocol::peer::membership::{GroupDigest, Summary, SummaryHost};

use super::Membership;

impl Membership {
    /// Writes a new summary if this host is the author and one is due.
    pub(super) fn summarise(&mut self, now: Instant) {
        if self.local_delegates().first() != Some(&self.me.name) {
            return;
        }
        let hosts = self.summary_hosts();
        let last = self.last_summary.as_ref();
        let urgent = last.is_none_or(|(last, written)| {
            let gap = now.saturating_duration_since(*written);
            last.hosts != hosts && gap >= self.options.min_summary_interval
        });
        if !urgent && now < self.next_summary {
            return;
        }
        self.next_summary = now + self.options.summary_interval;
        self.summary_seq += 1;
        let summary = Summary {
            data_centre: self.me.data_centre.clone(),
            author: self.me.name.clone(),
            incarnation: self.incarnation,
            seq: self.summary_seq,
            age: Duration::ZERO,
            hosts,
            groups: self.summary_groups(now),
        };
        self.last_summary = Some((summary.clone(), now));
        self.summaries.merge(summary, now);
    }

    fn summary_hosts(&self) -> Vec<SummaryHost> {
        let local = self.live.iter().filter(|host| host.data_centre == self.me.data_centre);
        let described = local.map(|host| SummaryHost {
            name: host.name.clone(),
            addr: host.addr,
            leaving: host.leaving,
            table_version: match self.records.get(&host.name) {
                Some(stored) => stored.record.table_version,
                None => 0,
            },
        });
        described.collect()
    }

    fn summary_groups(&self, now: Instant) -> Vec<GroupDigest> {
        let mut groups: BTreeMap<(Name, BackendRole), GroupDigest> = BTreeMap::new();
        for (name, state, _) in self.digests.fresh(now) {
            let Some(backend) = self.backends.get(name) else { continue };
            let closed = backend.leaving || state.closed;
            if backend.data_centre != self.me.data_centre || closed {
                continue;
            }
            let key = (backend.serves.clone(), backend.role);
            let group = groups.entry(key).or_insert_with(|| GroupDigest {
                serves: backend.serves.clone(),
                role: backend.role,
                servers: 0,
                slots: 0,
                taken: 0,
                queued_tokens: 0,
                free_in_ms: u32::MAX,
            });
            let free_in_ms = u32::try_from(state.free_in.as_millis()).unwrap_or(u32::MAX);
            group.servers += 1;
            group.slots += state.slots;
            group.taken += state.taken;
            group.queued_tokens += state.queued_tokens.0;
            group.free_in_ms = group.free_in_ms.min(free_in_ms);
        }
        groups.into_values().collect()
    }
}
