//! Calls that may not be repeated run at most once, and every word about them is
//! true, over random interleavings of all faults.
//!
//! A longer run: `ASPENLOFT_SEEDS=5000 ASPENLOFT_STEPS=4000 cargo test --release
//! -p aspenloft-ledger --test at_most_once`; `ASPENLOFT_SEED=N` runs one seed.

mod world;

use std::collections::HashMap;

use world::{Faults, World};

/// Seeds of an ordinary run.
const SEEDS: u64 = 150;

/// Steps of each seed.
const STEPS: u32 = 2_000;

fn setting(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
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
    let mut words: HashMap<&str, u64> = HashMap::new();
    let mut keys_run = 0;
    for seed in seeds() {
        let mut world = World::new(seed, Faults::All);
        if let Err(e) = world.run(steps) {
            world.trace.iter().for_each(|line| println!("{line}"));
            panic!("seed {seed}: {e}");
        }
        keys_run += world.oracle.keys_run();
        for (word, count) in &world.oracle.words {
            *words.entry(word).or_default() += count;
        }
    }
    println!("keys run: {keys_run}; words: {words:?}");
    // The run means nothing unless every kind of word came up.
    for word in ["answer", "not_run", "unknown", "run", "redirect"] {
        assert!(words.contains_key(word), "no {word} in {words:?}");
    }
}

#[test]
fn without_faults_every_call_is_answered() {
    for seed in 0..20 {
        let mut world = World::new(seed, Faults::None);
        world.run(1_000).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let words = &world.oracle.words;
        assert!(!words.contains_key("unknown"), "seed {seed}: {words:?}");
    }
}

#[test]
fn the_oracle_sees_what_happens_without_the_swap_check() {
    let found = (0..SEEDS).find_map(|seed| {
        World::new(seed, Faults::UncheckedSwaps).run(STEPS).err().map(|e| (seed, e))
    });
    let (seed, e) = found.expect("unchecked swaps break the promise");
    println!("seed {seed}: {e}");
    assert!(e.contains("ran for calls"), "seed {seed}: {e}");
}
