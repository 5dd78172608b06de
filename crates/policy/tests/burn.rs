//! Burn windows, detection of slow servers, and merging of roll-ups.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_policy::burn::rollup::{Rollup, RowRollup, ServerRollup};
use aspenloft_policy::burn::servers::{Cause, ServerPaces};
use aspenloft_policy::burn::windows::{Alarm, RowWindows, Tally, WINDOWS};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND: Duration = Duration::from_secs(1);

fn served(ttft_missed: u64) -> Tally {
    Tally { served: 100, ttft_missed, prefilled: 1_000, ..Tally::default() }
}

#[test]
fn burn_is_one_at_the_objective() {
    let mut row = RowWindows::new(Instant::now());
    row.add(served(5), Instant::now());
    assert!((row.burns(Instant::now())[0].ttft - 1.0).abs() < 1e-9);
}

#[test]
fn an_outage_raises_a_page_and_a_gradual_loss_a_warning() {
    let start = Instant::now();
    let mut row = RowWindows::new(start);
    let second = |i: u64| start + SECOND * i as u32;
    for i in 0..3_600 {
        row.add(served(2), second(i));
    }
    assert_eq!(row.alarm(second(3_600)), Alarm::Steady);
    // A third of requests miss the target, which pages within the middle window.
    for i in 3_600..3_900 {
        row.add(served(33), second(i));
    }
    assert_eq!(row.alarm(second(3_899)), Alarm::Page);

    let mut row = RowWindows::new(start);
    for i in 0..3_600 {
        row.add(served(7), second(i));
    }
    assert_eq!(row.alarm(second(3_600)), Alarm::Warning);
}

#[test]
fn windows_exclude_older_events() {
    let start = Instant::now();
    let mut row = RowWindows::new(start);
    row.add(served(50), start);
    let long = WINDOWS[WINDOWS.len() - 1];
    assert_eq!(row.sum(long, start + long / 2).ttft_missed, 50);
    assert_eq!(row.sum(WINDOWS[0], start + long / 2).ttft_missed, 0);
    assert_eq!(row.sum(long, start + long * 2).served, 0);
}

/// Records one observation of each server with five per cent of noise; called once per
/// simulated second.
fn observe(paces_by_server: &mut ServerPaces, rng: &mut Pcg64Mcg, paces: &[f64], now: Instant) {
    let group: Name = "decode/scribe".into();
    for (i, pace) in paces.iter().enumerate() {
        let name: Name = format!("decode-{i}").into();
        paces_by_server.observe(&name, &group, pace * rng.random_range(0.95..1.05), 0.7, now);
    }
}

#[test]
fn a_server_that_slows_by_two_per_cent_a_minute_is_reported_before_its_target() {
    // In seconds per token.
    const PACE: f64 = 0.030;
    const TARGET: f64 = 0.047;
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut paces_by_server = ServerPaces::default();
        let start = Instant::now();
        let mut reported_at = None;
        for i in 0..3_600_u32 {
            let now = start + SECOND * i;
            let slow = PACE * 1.02_f64.powf(f64::from(i.saturating_sub(600)) / 60.0);
            let mut paces = [PACE; 10];
            paces[3] = slow;
            observe(&mut paces_by_server, &mut rng, &paces, now);
            let findings = paces_by_server.slow_servers(now);
            assert!(findings.iter().all(|f| &*f.server == "decode-3"), "seed {seed}: {findings:?}");
            if !findings.is_empty() {
                reported_at.get_or_insert(slow);
            }
        }
        let pace = reported_at.expect("the server is reported");
        assert!(pace < TARGET * 0.8, "seed {seed}: reported only at {pace} s per token");
    }
}

#[test]
fn servers_of_a_group_that_slows_as_a_whole_are_reported_by_their_past() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut paces_by_server = ServerPaces::default();
    let start = Instant::now();
    for i in 0..3_600_u32 {
        let pace = 0.030 * 1.02_f64.powf(f64::from(i.saturating_sub(600)) / 60.0);
        observe(&mut paces_by_server, &mut rng, &[pace; 10], start + SECOND * i);
        // The duration of an excess is measured between calls, which a host makes each
        // second.
        paces_by_server.slow_servers(start + SECOND * i);
    }
    let findings = paces_by_server.slow_servers(start + SECOND * 3_600);
    assert!(findings.iter().all(|finding| finding.cause == Cause::Past));
    assert_eq!(findings.len(), 10);
}

#[test]
fn an_hour_of_noise_reports_no_server() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut paces_by_server = ServerPaces::default();
        let start = Instant::now();
        for i in 0..3_600_u32 {
            observe(&mut paces_by_server, &mut rng, &[0.030; 12], start + SECOND * i);
            let findings = paces_by_server.slow_servers(start + SECOND * i);
            assert!(findings.is_empty(), "seed {seed}: {findings:?}");
        }
    }
}

#[test]
fn load_alone_reports_no_server_and_does_not_hide_a_slow_one() {
    for seed in 0..10 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut paces_by_server = ServerPaces::default();
        let start = Instant::now();
        let group: Name = "decode/scribe".into();
        let mut reported = false;
        for i in 0..2_400_u32 {
            let now = start + SECOND * i;
            for server in 0..10_u32 {
                // Each server has its own varying load.
                let phase = f64::from(server) + f64::from(i) / 200.0;
                let load = 0.5 + 0.45 * phase.sin();
                let decline = if server == 4 && i > 1_200 { 1.25 } else { 1.0 };
                let pace = (0.015 + 0.025 * load) * decline * rng.random_range(0.95..1.05);
                let name: Name = format!("decode-{server}").into();
                paces_by_server.observe(&name, &group, pace, load, now);
            }
            let findings = paces_by_server.slow_servers(now);
            let right = findings.iter().all(|f| &*f.server == "decode-4" && i > 1_200);
            assert!(right, "seed {seed}, second {i}: {findings:?}");
            reported |= !findings.is_empty();
        }
        assert!(reported, "seed {seed}: the slow server is not reported");
    }
}

fn contribution(ttft_ms: u64) -> Rollup {
    let mut row = RowRollup { tally: served(1), ..RowRollup::default() };
    row.ttft.record(Duration::from_millis(ttft_ms));
    let server = ServerRollup { tokens: 100, micros: 3_000_000 };
    let mut rollup = Rollup::default();
    rollup.rows.insert("scribe".into(), row);
    rollup.servers.insert("decode-0".into(), server);
    rollup
}

#[test]
fn roll_ups_merge_a_contribution_once_and_survive_storage() {
    let mut hour = Rollup::default();
    assert!(hour.merge(&contribution(100), 1).expect("a merge"));
    assert!(hour.merge(&contribution(900), 2).expect("a merge"));
    assert!(!hour.merge(&contribution(900), 2).expect("a repeat is detected"));
    let text = serde_json::to_string(&hour).expect("JSON");
    let back: Rollup = serde_json::from_str(&text).expect("a roll-up");
    assert_eq!(back, hour);
    let row = &back.rows["scribe"];
    assert_eq!((row.tally.served, row.ttft.count()), (200, 2));
    assert!(row.ttft.quantile_ms(0.99) >= 900);
    assert_eq!(back.servers["decode-0"].tokens, 200);
}
