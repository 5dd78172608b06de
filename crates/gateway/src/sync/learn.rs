//! The `learn` module fetches the view from another host while this host has no current
//! one from the key-value service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Name};
use async_std::task;

use super::StoreSync;
use crate::peers::ViewReply;
use crate::view::{Keep, ServerChange, UpdateSource};

impl StoreSync {
    /// Fetches the view of a host with a higher position: at once if this host is not
    /// connected to the service, otherwise after it has been behind for `max_lag`. Once after
    /// the start it fetches that of any host, which may know of servers that leave what the
    /// service has forgotten. Does not return.
    pub async fn catch_up_from_peers(self: Arc<Self>) {
        let mut behind_since: Option<Instant> = None;
        let mut has_asked = false;
        loop {
            task::sleep(self.options.peer_check_interval).await;
            self.view.remove_expired(self.clock.now());
            let now = self.clock.now();
            let host = match self.peers.peer_ahead() {
                Some(ahead) => {
                    let since = *behind_since.get_or_insert(now);
                    let behind = now.saturating_duration_since(since);
                    if self.is_connected() && behind < self.options.max_lag {
                        continue;
                    }
                    ahead
                }
                None => {
                    behind_since = None;
                    let Some(live) = self.peers.any_live().filter(|_| !has_asked) else { continue };
                    live
                }
            };
            let fetched = self.peers.fetch_view(&host).await;
            let took_ms = self.clock.now().saturating_duration_since(now).as_millis() as u64;
            match fetched {
                Ok(reply) => {
                    let (own, era) =
                        (self.view.position().to_string(), reply.era.unwrap_or_default());
                    log::info!(
                        event = "peer_read", peer = &*host.name, revision = reply.revision,
                        era = era.0, own = own.as_str(), servers = reply.servers.len(), took_ms; ""
                    );
                    self.apply_view(reply, now);
                    has_asked = true;
                }
                Err(e) => {
                    self.peers.mark_unresponsive(&host.name);
                    let error = e.to_string();
                    log::info!(event = "peer_unread", peer = &*host.name, error = error.as_str(), took_ms; "");
                }
            }
        }
    }

    /// Applies a view that was requested at `requested_at`. What remains of the time for
    /// which servers are kept counts from then, so that it never ends later than it does
    /// on the other host.
    fn apply_view(&self, reply: ViewReply, requested_at: Instant) {
        let own = self.view.position();
        let Some(position) = reply.position(own.era) else { return };
        if let Some(configuration) = reply.configuration {
            self.view.apply_configuration(configuration);
        }
        let withheld: HashMap<Name, Duration> =
            reply.withheld.into_iter().map(|w| (w.instance, w.remaining)).collect();
        let servers = reply.servers.into_iter().map(|entry| match withheld.get(&entry.instance) {
            Some(remaining) => ServerChange::Withheld(entry, requested_at + *remaining),
            None => ServerChange::Listed(entry),
        });
        let servers: Vec<ServerChange> = servers.collect();
        let kept = reply.kept.into_iter().map(|kept| (kept.entry, requested_at + kept.remaining));
        let keep = Keep::AsPeer(kept.collect());
        let now = self.clock.now();
        self.view.merge_marks(&servers);
        if self.view.replace_servers(servers, position, UpdateSource::Peer, &keep, now) {
            self.count_restore(own, position);
            self.peers.replace_listed(reply.hosts);
        } else {
            let (position, own) = (position.to_string(), own.to_string());
            let (position, own) = (position.as_str(), own.as_str());
            log::info!(event = "view_outdated", source = "peer", position, own; "");
        }
    }
}
