//! Tests that calls which may not be repeated run at most once, and that every result
//! reported to a caller is true, over random interleavings of all faults.
//!
//! A longer run: `ASPENLOFT_SEEDS=5000 ASPENLOFT_STEPS=4000 cargo test --release
//! -p aspenloft-ledger --test at_most_once`; `ASPENLOFT_SEED=N` runs one seed.

mod world;

use std::collections::HashMap;

use world::{Faults, World};

/// The default number of seeds.
const SEEDS: u64 = 150;

/// The default number of steps per seed.
const STEPS: u32 = 2_000;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn seeds() -> std::ops::Range<u64> {
    match std::env::var("ASPENLOFT_SEED") {
        Ok(_) => {
            let seed = setting("ASPENLOFT_SEED", 0);
            seed..seed + 1
        }
        Err(_) => 0..setting("ASPENLOFT_SEEDS", SEEDS),
    }
}

#[test]
fn a_key_runs_at_most_once_under_all_faults() {
    let steps = setting("ASPENLOFT_STEPS", STEPS.into()) as u32;
    let mut results: HashMap<&str, u64> = HashMap::new();
    let mut keys_run = 0;
    for seed in seeds() {
        let mut world = World::new(seed, Faults::All);
        if let Err(e) = world.run(steps) {
            world.trace.iter().for_each(|line| println!("{line}"));
            panic!("seed {seed}: {e}");
        }
        keys_run += world.oracle.keys_run();
        for (result, count) in &world.oracle.results {
            *results.entry(result).or_default() += count;
        }
    }
    println!("keys run: {keys_run}; results: {results:?}");
    // The run proves nothing unless every kind of result occurred.
    for result in ["answer", "not_run", "unknown", "run", "redirect"] {
        assert!(results.contains_key(result), "no {result} in {results:?}");
    }
}

#[test]
fn without_faults_no_call_ends_unknown() {
    for seed in 0..20 {
        let mut world = World::new(seed, Faults::None);
        world.run(1_000).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let results = &world.oracle.results;
        assert!(!results.contains_key("unknown"), "seed {seed}: {results:?}");
    }
}

#[test]
fn the_oracle_detects_missing_version_checks() {
    let found = (0..SEEDS).find_map(|seed| {
        World::new(seed, Faults::UncheckedSwaps).run(STEPS).err().map(|e| (seed, e))
    });
    let (seed, e) = found.expect("without the version check a call runs twice");
    println!("seed {seed}: {e}");
    assert!(e.contains("ran for calls"), "seed {seed}: {e}");
}
