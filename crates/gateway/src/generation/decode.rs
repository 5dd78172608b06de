//! The `decode` module sends a placed request to decode engines until one answers.
//!
//! The memory of the prompt goes along for as long as it lives, and each send says what
//! the next one may be: another engine, the same one without the memory, or none.

use std::time::Instant;

use aspenloft_core::errors::Error;
use aspenloft_core::execution::Execution;
use aspenloft_core::prelude::{Arc, Name};

use super::memory::HeldMemory;
use super::{Accepted, Generations, no_more_sends};
use crate::call::error_of;
use crate::configuration::EngineProfile;
use crate::dialect::Phase;
use crate::dispatch::Placement;
use crate::http::{Answer, FailureCause, SendFailure};
use crate::loads::RunSize;
use crate::request::Inbound;
use crate::roster::Server;

/// The most sends to decode engines for one request, whatever became of them.
const MAX_SENDS: usize = 4;

/// No server has this short name; a run under it counts on none.
const NO_SERVER: u64 = 0;

/// `Search` is how far the search for a decode engine has come.
struct Search {
    /// The engine that is sent to next.
    server: Arc<Server>,
    /// The prompt's memory.
    memory: Option<HeldMemory>,
    /// Memory with which an engine refused the request although it has room: either
    /// the memory is gone, or the engine takes no work. The next send tells.
    doubted: Option<HeldMemory>,
    /// The engines that are not asked again.
    tried: Vec<Name>,
    /// How many engines have run the request, or may have.
    runs: u32,
    /// Whether an engine has had the request: what never arrived is not sent again.
    arrived: bool,
}

/// What came of one send.
enum Sent {
    Accepted(Box<Answer>),
    /// The engine did not run the request; `full` when it had no room.
    Refused {
        full: bool,
    },
    Failed(SendFailure),
}

impl Generations {
    /// Sends the request to decode engines until one answers.
    pub(super) async fn decode(
        &self,
        inbound: &Inbound,
        placement: &Placement,
        memory: Option<HeldMemory>,
        size: RunSize,
        engine: &EngineProfile,
    ) -> Result<Accepted, Error> {
        let mut search = Search {
            server: placement.decode.clone(),
            memory,
            doubted: None,
            tried: Vec::new(),
            runs: 0,
            arrived: false,
        };
        for _ in 0..MAX_SENDS {
            let now = self.clock.now();
            if inbound.left(now).is_zero() || (search.arrived && !self.may_send_again(inbound, now))
            {
                break;
            }
            if self.has_left(&search.server) {
                // It said so while the prompt was read.
                self.move_on(inbound, placement, size, &mut search, true).await?;
            }
            let with_memory = search.memory.is_some();
            let moves_on = match self.send_once(inbound, engine, &mut search).await {
                Sent::Accepted(answer) => {
                    let Search { server, runs, .. } = search;
                    return Ok(Accepted { answer: *answer, server, runs: runs + 1 });
                }
                Sent::Refused { full } => {
                    search.arrived = true;
                    self.log_not_decoded(inbound, &search.server, None, with_memory);
                    // Refused with memory: most often the memory is gone, and the engine
                    // can read the prompt itself.
                    full || !with_memory
                }
                Sent::Failed(failure) => {
                    self.log_not_decoded(inbound, &search.server, Some(failure), with_memory);
                    self.take_failure(inbound, &mut search, failure)?;
                    true
                }
            };
            let may_wait = search.runs == 0;
            if moves_on && !self.move_on(inbound, placement, size, &mut search, may_wait).await? {
                break;
            }
        }
        let execution = if search.runs > 0 { Execution::Unknown } else { Execution::NotRun };
        Err(no_more_sends().execution(execution))
    }

    /// Sends the request to the engine of `search`, with the memory if there is any.
    async fn send_once(
        &self,
        inbound: &Inbound,
        engine: &EngineProfile,
        search: &mut Search,
    ) -> Sent {
        let used = search.memory.take();
        let phase = Phase::Decode { memory: used.as_ref().map(HeldMemory::name), last_event: None };
        let left = inbound.left(self.clock.now());
        let sent = self.send(inbound, &search.server, phase, left).await;
        let now = self.clock.now();
        match sent {
            Ok(answer) if !answer.terms.refused() => {
                if let Some(used) = used {
                    used.taken(now);
                }
                if let Some(gone) = search.doubted.take() {
                    gone.lost(now);
                }
                search.server.state.health(|h| h.record_success(now));
                Sent::Accepted(Box::new(answer))
            }
            Ok(refusal) => {
                self.discard(refusal).await;
                let now = self.clock.now();
                let full = !self.dispatcher.refused_by(&search.server, engine.memory_tokens, now);
                match used {
                    // The engine is full, and the memory waits for another one.
                    Some(used) if full && !used.is_stale(now) => search.memory = Some(used),
                    Some(used) if !full => search.doubted = Some(used),
                    None if !full => {
                        self.note_closed(&search.server, now);
                        search.memory = search.doubted.take().filter(|held| !held.is_stale(now));
                    }
                    _ => {}
                }
                Sent::Refused { full }
            }
            Err(failure) => {
                // The memory is still there when the request has not arrived.
                search.memory = used.filter(|_| !failure.arrived());
                Sent::Failed(failure)
            }
        }
    }

    /// Takes in a failed send; the error is the request's end.
    fn take_failure(
        &self,
        inbound: &Inbound,
        search: &mut Search,
        failure: SendFailure,
    ) -> Result<(), Error> {
        failure.note(&search.server, self.clock.now());
        if !failure.arrived() {
            return Ok(());
        }
        search.arrived = true;
        search.runs += 1;
        if failure.cause == FailureCause::Broken {
            self.peers.broke(inbound.id(), inbound.fingerprint(), &search.server);
        }
        let route = &inbound.route;
        if route.repeat.allows_rerun() && search.runs < route.max_attempts {
            return Ok(());
        }
        Err(error_of(failure))
    }

    /// Turns to another engine; false when there is none, and `may_wait` is not set.
    async fn move_on(
        &self,
        inbound: &Inbound,
        placement: &Placement,
        size: RunSize,
        search: &mut Search,
        may_wait: bool,
    ) -> Result<bool, Error> {
        search.tried.push(search.server.entry.instance.clone());
        let now = self.clock.now();
        let next = self.dispatcher.decode_engine(&inbound.service, size, now, &search.tried);
        search.server = match next {
            Some(next) => next,
            None if may_wait => {
                // The place that it had does not count while it waits.
                placement.run.moved(NO_SERVER);
                self.dispatcher.place_again(inbound, size).await?.decode
            }
            None => return Ok(false),
        };
        placement.run.moved(search.server.key);
        search.memory = search.memory.take().filter(|held| !held.is_stale(self.clock.now()));
        Ok(true)
    }

    fn has_left(&self, server: &Server) -> bool {
        let roster = self.view.roster();
        roster.get(&server.entry.instance).is_none_or(|listed| listed.entry.leaving)
    }

    /// Leaves out an engine that refuses work with room to spare, as one does that
    /// changes its role.
    fn note_closed(&self, server: &Server, now: Instant) {
        let pause = server.state.health(|h| h.record_unreachable(now));
        let (at, pause_ms) = (&*server.entry.instance, pause.as_millis() as u64);
        log::info!(event = "engine_closed", server = at, pause_ms; "");
    }

    fn log_not_decoded(
        &self,
        inbound: &Inbound,
        server: &Server,
        failure: Option<SendFailure>,
        with_memory: bool,
    ) {
        let outcome = failure.map_or("refused".to_string(), |f| f.cause.to_string());
        log::info!(
            event = "decode_failed", request = inbound.id(), server = &*server.entry.instance,
            outcome = outcome.as_str(), with_memory; ""
        );
    }
}
