//! The `learn` module fetches the views of other hosts while this host has no current
//! one from the key-value service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::after;
use aspenloft_core::errors::Result;
use aspenloft_core::prelude::{Arc, Host, Name};
use aspenloft_policy::catch_up::CatchUp;
use async_std::future::timeout;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};

use super::StoreSync;
use crate::peers::ViewReply;
use crate::view::{Keep, ServerChange, UpdateSource};

/// How often a host that waits for views looks whether another host is to be asked.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A call for the view of another host.
struct ViewCall {
    host: Host,
    requested_at: Instant,
    result: Result<ViewReply>,
}

impl StoreSync {
    /// Fetches the views of hosts with a higher position: at once if this host is not
    /// connected to the service, otherwise after it has been behind for a while. Once after
    /// the start it fetches that of any host, which may know of servers that leave what the
    /// service has forgotten. Does not return.
    pub async fn catch_up_from_peers(self: Arc<Self>) {
        let mut state = CatchUp::default();
        let mut calls: FuturesUnordered<BoxFuture<'static, ViewCall>> = FuturesUnordered::new();
        // The hosts that are being asked, and those that have been since this one is behind.
        let (mut open, mut asked): (Vec<Name>, Vec<Name>) = Default::default();
        let mut has_asked = false;
        loop {
            let interval = match calls.is_empty() {
                true => self.options.peer_check_interval,
                false => CALL_CHECK_INTERVAL,
            };
            if let Some(call) = self.next_call(&mut calls, interval).await {
                open.retain(|name| *name != call.host.name);
                if self.finish_call(call) {
                    has_asked = true;
                } else {
                    state.record_failure();
                }
            }
            let now = self.clock.now();
            self.view.remove_expired(now);
            let next = if self.peers.is_behind() {
                let may_ask =
                    state.should_ask(self.is_connected(), calls.len(), &self.options.catch_up, now);
                may_ask.then(|| self.peers.peer_ahead(&open, &asked)).flatten()
            } else {
                if let Some(caught_up) = state.record_level(now).filter(|c| c.calls > 0) {
                    let behind_ms = caught_up.behind.as_millis() as u64;
                    log::info!(event = "caught_up", behind_ms, calls = caught_up.calls; "");
                    // Hosts that are still being asked have nothing that is newer.
                    calls.clear();
                    open.clear();
                }
                asked.clear();
                self.peers.any_live().filter(|_| !has_asked && calls.is_empty())
            };
            if let Some(host) = next {
                state.record_call(now);
                open.push(host.name.clone());
                if !asked.contains(&host.name) {
                    asked.push(host.name.clone());
                }
                calls.push(self.clone().call_for_view(host, now).boxed());
            }
        }
    }

    /// Waits up to `interval` for the end of one of `calls`.
    async fn next_call(
        &self,
        calls: &mut FuturesUnordered<BoxFuture<'static, ViewCall>>,
        interval: Duration,
    ) -> Option<ViewCall> {
        if calls.is_empty() {
            async_std::task::sleep(interval).await;
            return None;
        }
        timeout(interval, calls.next()).await.ok().flatten()
    }

    async fn call_for_view(self: Arc<Self>, host: Host, requested_at: Instant) -> ViewCall {
        let result = self.peers.fetch_view(&host).await;
        ViewCall { host, requested_at, result }
    }

    /// Applies the view that a call brought; returns false if the call failed.
    fn finish_call(&self, call: ViewCall) -> bool {
        let ViewCall { host, requested_at, result } = call;
        let took = self.clock.now().saturating_duration_since(requested_at);
        let took_ms = took.as_millis() as u64;
        match result {
            Ok(reply) => {
                let (own, era) = (self.view.position().to_string(), reply.era.unwrap_or_default());
                log::info!(
                    event = "peer_read", peer = &*host.name, revision = reply.revision,
                    era = era.0, own = own.as_str(), servers = reply.servers.len(), took_ms; ""
                );
                self.apply_view(reply, requested_at);
                true
            }
            Err(e) => {
                self.peers.mark_unresponsive(&host.name);
                let error = e.to_string();
                log::info!(event = "peer_unread", peer = &*host.name, error = error.as_str(), took_ms; "");
                false
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
            Some(remaining) => ServerChange::Withheld(entry, after(requested_at, *remaining)),
            None => ServerChange::Listed(entry),
        });
        let servers: Vec<ServerChange> = servers.collect();
        let until = |remaining| after(requested_at, remaining);
        let kept = reply.kept.into_iter().map(|kept| (kept.entry, until(kept.remaining)));
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
