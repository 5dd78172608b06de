//! Placement on model engines: memory forecasts, the choice of engines and the split of
//! roles, simulated without I/O.

use std::time::Duration;

use aspenloft_policy::engine_choice::{
    DecodeLoad, MEMORY_SHARE, PrefillLoad, choose_decode, choose_prefill, hosts_ahead,
    placed_before, preference_penalty,
};
use aspenloft_policy::engine_memory::{RunForecast, peak_tokens};
use aspenloft_policy::role_split::{Demand, EngineSpeed, prefill_engines};
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn run(held: u64, remaining: u64) -> RunForecast {
    RunForecast { held, remaining }
}

/// Simulates all runs token by token and returns the peak memory use.
fn peak_by_steps(runs: &[RunForecast]) -> u64 {
    let longest = runs.iter().map(|r| r.remaining).max().unwrap_or(0);
    let use_at = |step: u64| {
        let live = runs.iter().filter(|r| r.remaining >= step);
        live.map(|r| r.held + step).sum::<u64>()
    };
    (0..=longest).map(use_at).max().unwrap_or(0)
}

#[test]
fn the_peak_equals_that_of_a_step_by_step_simulation() {
    bolero::check!().with_iterations(2_000).with_type::<Vec<(u16, u16)>>().for_each(|sizes| {
        let runs: Vec<RunForecast> = sizes
            .iter()
            .take(24)
            .map(|(held, remaining)| run(u64::from(*held % 4_000), u64::from(*remaining % 600)))
            .collect();
        assert_eq!(peak_tokens(&runs), peak_by_steps(&runs));
    });
}

#[test]
fn a_run_past_its_expected_length_is_forecast_to_continue() {
    assert_eq!(RunForecast::new(1_000, 0, 500, 2_000), run(1_000, 500));
    assert_eq!(RunForecast::new(1_000, 400, 500, 2_000), run(1_400, 100));
    let overrun = RunForecast::new(1_000, 1_000, 500, 2_000);
    assert!(overrun.remaining >= 100, "{overrun:?}");
    let at_the_end = RunForecast::new(1_000, 1_995, 500, 2_000);
    assert_eq!(at_the_end.remaining, 5);
}

fn decode(runs: Vec<RunForecast>, local: bool) -> DecodeLoad {
    DecodeLoad {
        slots: 64,
        capacity: 40_000,
        runs,
        local,
        slowdown: 1.0,
        preference_penalty: 0.0,
        placed_before: 0,
    }
}

#[test]
fn an_engine_whose_forecast_peak_exceeds_its_memory_is_not_chosen() {
    let growing: Vec<RunForecast> = (0..9).map(|_| run(3_000, 900)).collect();
    let ending: Vec<RunForecast> = (0..9).map(|_| run(3_500, 20)).collect();
    let new = run(3_000, 900);
    assert!(!decode(growing.clone(), true).fits(new), "27,000 tokens now, over 38,000 soon");
    assert!(decode(ending.clone(), true).fits(new), "31,500 tokens now, fewer soon");
    let choice = choose_decode(&[decode(growing, true), decode(ending, false)], new);
    assert_eq!(choice, Some(1));
}

#[test]
fn the_least_loaded_engine_is_chosen_and_on_a_tie_the_local_one() {
    let few = |count: usize| (0..count).map(|_| run(3_000, 500)).collect::<Vec<_>>();
    let new = run(1_000, 500);
    assert_eq!(choose_decode(&[decode(few(4), false), decode(few(4), true)], new), Some(1));
    assert_eq!(choose_decode(&[decode(few(1), false), decode(few(6), true)], new), Some(0));
    let slow = DecodeLoad { slowdown: 3.0, ..decode(few(2), true) };
    assert_eq!(choose_decode(&[slow, decode(few(3), true)], new), Some(1));
    assert_eq!(choose_decode(&[], new), None);
}

#[test]
fn no_engine_takes_more_requests_than_it_has_slots() {
    let full = DecodeLoad { slots: 3, ..decode((0..3).map(|_| run(10, 10)).collect(), true) };
    assert!(!full.fits(run(10, 10)));
}

#[test]
fn a_request_that_needs_nearly_all_memory_fits_only_on_an_idle_engine() {
    assert!(decode(Vec::new(), true).fits(run(39_000, 900)));
    assert!(!decode(Vec::new(), true).fits(run(40_000, 1)));
    assert!(!decode(vec![run(10, 10)], true).fits(run(39_000, 900)));
}

#[test]
fn a_remote_prefill_engine_is_chosen_when_the_local_one_has_a_long_queue() {
    let local = |queued| PrefillLoad { queued, in_decode_group: true, preference_penalty: 0.0 };
    let remote = |queued| PrefillLoad { queued, in_decode_group: false, preference_penalty: 0.0 };
    assert_eq!(choose_prefill(&[remote(0), local(3_000)]), Some(1));
    assert_eq!(choose_prefill(&[remote(0), local(12_000)]), Some(0));
}

/// In a burst with too few prefill engines, each prompt would wait for seconds in the
/// prefill queues.
#[test]
fn long_prefill_queues_leave_the_prompt_to_the_decode_engine() {
    let load = |queued| PrefillLoad { queued, in_decode_group: true, preference_penalty: 0.0 };
    assert_eq!(choose_prefill(&[load(20_000), load(40_000)]), None);
    assert_eq!(choose_prefill(&[load(20_000), load(9_000)]), Some(1));
    assert_eq!(choose_prefill(&[]), None);
}

/// Sixteen hosts place one request each before they receive each other's digests. Without
/// distinct preferences, all of them would choose the same engine.
#[test]
fn hosts_that_choose_concurrently_spread_over_equal_engines() {
    let mut chosen = std::collections::HashMap::<(bool, usize), usize>::new();
    for host in 0..16_u64 {
        let seeded = |engine: usize| preference_penalty(xxh3_64_with_seed(&[engine as u8], host));
        let decodes: Vec<DecodeLoad> = (0..12)
            .map(|engine| DecodeLoad {
                preference_penalty: seeded(engine),
                ..decode(Vec::new(), true)
            })
            .collect();
        let prefills: Vec<PrefillLoad> = (0..12)
            .map(|e| PrefillLoad {
                queued: 0,
                in_decode_group: true,
                preference_penalty: seeded(e),
            })
            .collect();
        let decode = choose_decode(&decodes, run(3_000, 900)).expect("an engine");
        let prefill = choose_prefill(&prefills).expect("an engine");
        *chosen.entry((true, decode)).or_default() += 1;
        *chosen.entry((false, prefill)).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 4, "{most} of 16 hosts chose the same engine");
}

/// Twelve hosts wait while capacity for one request becomes free on an engine. If each of
/// them claimed it, the engine would be overcommitted.
#[test]
fn freed_capacity_is_taken_by_only_one_waiting_host() {
    let hosts = 12;
    let full: Vec<RunForecast> = (0..8).map(|_| run(3_400, 500)).collect();
    let new = run(3_000, 500);
    let takers = (0..hosts).filter(|host| {
        let hash = |host: u64| xxh3_64_with_seed(b"engine", host);
        let others = (0..hosts).filter(|other| other != host).map(hash);
        let engine = DecodeLoad {
            placed_before: hosts_ahead(hash(*host), others),
            ..decode(full.clone(), true)
        };
        choose_decode(&[engine], new).is_some()
    });
    assert_eq!(takers.count(), 1);
}

/// An engine becomes available without any requests on it while requests wait on seven
/// hosts. The hosts place theirs before they receive each other's digests, and together
/// must not overcommit the engine.
#[test]
fn waiting_hosts_do_not_overcommit_an_engine_that_returns() {
    let (hosts, waiting) = (7, 5);
    let new = run(3_000, 500);
    let mut empty = decode(Vec::new(), true);
    let mut capacity = 0;
    while empty.fits(new) {
        empty.runs.push(new);
        capacity += 1;
    }
    for engine_seed in 0..20_u64 {
        let hash = |host: u64| xxh3_64_with_seed(&engine_seed.to_le_bytes(), host);
        let mut placed = 0;
        for host in 0..hosts {
            let others = (0..hosts).filter(|other| *other != host).map(hash);
            let ahead = hosts_ahead(hash(host), others);
            let mut own = decode(Vec::new(), true);
            for _ in 0..waiting {
                own.placed_before = placed_before(ahead, hosts as usize - 1, own.runs.len());
                if choose_decode(std::slice::from_ref(&own), new).is_none() {
                    break;
                }
                own.runs.push(new);
            }
            placed += own.runs.len();
        }
        assert!(placed <= capacity, "{placed} placed, capacity for {capacity}");
        assert!(placed * 10 >= capacity * 7, "only {placed} placed, capacity for {capacity}");
    }
}

#[test]
fn an_engine_with_capacity_for_all_is_chosen_by_later_hosts_too() {
    let late = DecodeLoad { placed_before: 4, ..decode(Vec::new(), true) };
    assert_eq!(choose_decode(&[late], run(3_000, 500)), Some(0));
}

const SPEED: EngineSpeed = EngineSpeed {
    prefill_per_ms: 30.0,
    step: Duration::from_millis(4),
    memory: 40_000.0 * MEMORY_SHARE,
};

#[test]
fn long_answers_move_prefill_engines_to_decode_until_the_roles_balance() {
    let demand = Demand { prompt: 3_000.0, answer: 900.0 };
    let best = prefill_engines(9, 4, demand, SPEED);
    assert!((2..=3).contains(&best), "{best} of 9 engines prefill");
    assert_eq!(prefill_engines(9, best, demand, SPEED), best, "the split is stable");
}

#[test]
fn long_prompts_move_decode_engines_to_prefill() {
    let demand = Demand { prompt: 20_000.0, answer: 60.0 };
    assert!(prefill_engines(9, 2, demand, SPEED) > 4);
}

#[test]
fn each_role_keeps_a_sixth_of_the_engines_at_any_demand() {
    for (prompt, answer) in [(1.0, 100_000.0), (100_000.0, 1.0), (0.0, 0.0)] {
        for engines in 2..40 {
            let demand = Demand { prompt, answer };
            let best = prefill_engines(engines, engines / 2, demand, SPEED);
            let least = engines.div_ceil(6);
            assert!(best >= least && engines - best >= least, "{best} of {engines}");
        }
    }
}
