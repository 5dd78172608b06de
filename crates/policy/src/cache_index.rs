//! The `cache_index` module estimates which replica of a model, that is which engine, has
//! which prefix cached, from cache events that may arrive late or get lost. A wrong
//! estimate costs time but not correctness, because the engine computes whatever it does
//! not have.

use std::collections::{BTreeSet, HashMap};

use aspenloft_core::pieces::PieceHash;
use aspenloft_core::prelude::{Name, Tokens};
use aspenloft_core::units::CACHE_PIECE_TOKENS;

/// How many ticks one hit of a piece postpones its eviction. A tick is one store or lookup
/// of a piece.
const HIT_TICKS: u64 = 64;

/// The most hits that count towards the value of a piece.
const MAX_HITS: u64 = 16;

/// `ReplicaId` identifies a replica within the index.
type ReplicaId = u16;

/// `CacheIndex` maps pieces of prompts to the replicas that likely have them cached.
///
/// It holds at most `capacity` pairs of a piece and a replica. The piece with the lowest
/// value is evicted first. The value is the tick at which the piece was first stored or
/// last looked up, plus `HIT_TICKS` for each hit.
#[derive(Debug)]
pub struct CacheIndex {
    capacity: usize,
    pairs: usize,
    tick: u64,
    pieces: HashMap<PieceHash, Piece>,
    by_value: BTreeSet<(u64, PieceHash)>,
    replicas: HashMap<Name, ReplicaId>,
    states: HashMap<ReplicaId, Replica>,
    next: ReplicaId,
}

#[derive(Debug, Default)]
struct Piece {
    value: u64,
    hits: u64,
    replicas: Vec<ReplicaId>,
}

#[derive(Debug, Default)]
struct Replica {
    seq: u64,
    incomplete: bool,
}

/// `ApplyOutcome` is the result of applying an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The event was the next in sequence.
    InOrder,
    /// The event was applied before, and is ignored.
    AlreadyApplied,
    /// The event was applied, but earlier ones are missing; a snapshot is needed.
    Gap,
}

/// `Match` is the part of a prompt that a replica likely has cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Match {
    /// The number of cached tokens.
    pub tokens: Tokens,
    /// Whether events of the replica were lost since its last snapshot.
    pub incomplete: bool,
}

impl CacheIndex {
    /// Creates an index of at most `capacity` pairs of a piece and a replica.
    pub fn new(capacity: usize) -> CacheIndex {
        CacheIndex {
            capacity,
            pairs: 0,
            tick: 0,
            pieces: HashMap::new(),
            by_value: BTreeSet::new(),
            replicas: HashMap::new(),
            states: HashMap::new(),
            next: 0,
        }
    }

    /// Returns the number of stored pairs of a piece and a replica.
    pub fn len(&self) -> usize {
        self.pairs
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.pairs == 0
    }

    /// Applies one event of `replica` with its sequence number.
    pub fn apply(
        &mut self,
        replica: &Name,
        seq: u64,
        piece: PieceHash,
        stored: bool,
    ) -> ApplyOutcome {
        let id = self.replica(replica);
        let state = self.states.entry(id).or_default();
        if seq <= state.seq {
            return ApplyOutcome::AlreadyApplied;
        }
        let gap = seq != state.seq + 1;
        state.seq = seq;
        state.incomplete |= gap;
        if stored {
            self.store(id, piece);
        } else {
            self.evict(id, piece);
        }
        if gap { ApplyOutcome::Gap } else { ApplyOutcome::InOrder }
    }

    /// Records that `replica` has just processed a prompt with `pieces`, and so likely has
    /// them cached. This is independent of the event sequence.
    pub fn record_prompt(&mut self, replica: &Name, pieces: &[PieceHash]) {
        let id = self.replica(replica);
        for piece in pieces {
            self.store(id, *piece);
        }
    }

    /// Records the newest sequence number of a replica's events. When it differs from the
    /// last applied one, events are missing.
    pub fn observe_newest(&mut self, replica: &Name, newest: u64) {
        let id = self.replica(replica);
        let state = self.states.entry(id).or_default();
        state.incomplete |= newest != state.seq;
    }

    /// Replaces all entries of `replica` by a snapshot.
    pub fn snapshot(
        &mut self,
        replica: &Name,
        seq: u64,
        pieces: impl IntoIterator<Item = PieceHash>,
    ) {
        self.remove_replica(replica);
        let id = self.replica(replica);
        self.states.insert(id, Replica { seq, incomplete: false });
        for piece in pieces {
            self.store(id, piece);
        }
    }

    /// Removes all entries of `replica`, for instance when it has left.
    pub fn remove_replica(&mut self, replica: &str) {
        let Some(id) = self.replicas.remove(replica) else { return };
        self.states.remove(&id);
        let held: Vec<PieceHash> =
            self.pieces.iter().filter(|(_, p)| p.replicas.contains(&id)).map(|(h, _)| *h).collect();
        for piece in held {
            self.evict(id, piece);
        }
    }

    /// Returns the last sequence number applied and whether a snapshot is needed.
    pub fn sync_progress(&self, replica: &str) -> (u64, bool) {
        let id = self.replicas.get(replica);
        let state = id.and_then(|id| self.states.get(id));
        state.map_or((0, true), |state| (state.seq, state.incomplete))
    }

    /// Returns how much of a prompt with `pieces` each replica likely has cached. Only a
    /// contiguous prefix counts.
    pub fn lookup(&mut self, pieces: &[PieceHash]) -> HashMap<Name, Match> {
        let mut runs: HashMap<ReplicaId, u64> = HashMap::new();
        for (position, piece) in pieces.iter().enumerate() {
            self.record_hit(*piece);
            let Some(found) = self.pieces.get(piece) else { break };
            let mut extended = 0;
            for id in &found.replicas {
                let run = runs.entry(*id).or_default();
                if *run == position as u64 {
                    *run += 1;
                    extended += 1;
                }
            }
            if extended == 0 {
                break;
            }
        }
        let names = self.replicas.iter().filter_map(|(name, id)| {
            let run = runs.get(id).filter(|run| **run > 0)?;
            let incomplete = self.states.get(id).is_none_or(|state| state.incomplete);
            Some((name.clone(), Match { tokens: Tokens(run * CACHE_PIECE_TOKENS), incomplete }))
        });
        names.collect()
    }

    fn replica(&mut self, name: &Name) -> ReplicaId {
        if let Some(id) = self.replicas.get(name) {
            return *id;
        }
        // Ids wrap around only after 65,536 replicas, more than one host ever sees.
        while self.states.contains_key(&self.next) {
            self.next = self.next.wrapping_add(1);
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        self.replicas.insert(name.clone(), id);
        self.states.insert(id, Replica::default());
        id
    }

    fn store(&mut self, id: ReplicaId, piece: PieceHash) {
        self.tick += 1;
        let tick = self.tick;
        let entry = self.pieces.entry(piece).or_default();
        if entry.replicas.contains(&id) {
            return;
        }
        entry.replicas.push(id);
        self.pairs += 1;
        if entry.replicas.len() == 1 {
            entry.value = tick;
            self.by_value.insert((tick, piece));
        }
        while self.pairs > self.capacity {
            self.evict_lowest();
        }
    }

    fn evict(&mut self, id: ReplicaId, piece: PieceHash) {
        let Some(entry) = self.pieces.get_mut(&piece) else { return };
        let before = entry.replicas.len();
        entry.replicas.retain(|known| *known != id);
        self.pairs -= before - entry.replicas.len();
        if entry.replicas.is_empty() {
            self.by_value.remove(&(entry.value, piece));
            self.pieces.remove(&piece);
        }
    }

    fn record_hit(&mut self, piece: PieceHash) {
        self.tick += 1;
        let Some(entry) = self.pieces.get_mut(&piece) else { return };
        self.by_value.remove(&(entry.value, piece));
        entry.hits = (entry.hits + 1).min(MAX_HITS);
        entry.value = self.tick + entry.hits * HIT_TICKS;
        self.by_value.insert((entry.value, piece));
    }

    fn evict_lowest(&mut self) {
        let Some((_, piece)) = self.by_value.pop_first() else { return };
        if let Some(entry) = self.pieces.remove(&piece) {
            self.pairs -= entry.replicas.len();
        }
    }
}
