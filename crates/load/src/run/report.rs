//! The `report` module holds and prints the results of a run.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::processes::Usage;
use super::stats::{LatencySummary, TargetSummary};

/// `RunReport` is the report of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunReport {
    /// The seed of arrivals and prompts.
    pub seed: u64,
    /// The configured arrivals a second.
    pub rate_per_s: f64,
    /// Arrivals that were not sent because too many were in flight.
    pub not_sent: u64,
    /// The results of requests through the router.
    pub router: Option<TargetSummary>,
    /// The results of requests sent directly to the engines.
    pub direct: Option<TargetSummary>,
    /// The latency that the router added, if both targets were measured.
    pub added: Option<RouterOverhead>,
    /// The resource usage of the daemons, if their process ids were given.
    pub daemons: Option<DaemonUsage>,
}

/// `RouterOverhead` is the latency of the router compared with that of the engines
/// alone, in one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct RouterOverhead {
    /// Time to first token.
    pub ttft: LatencyOverhead,
    /// Time between tokens.
    pub between_tokens: LatencyOverhead,
}

/// `LatencyOverhead` is the difference and ratio of two histograms' quantiles.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct LatencyOverhead {
    /// Difference of the medians, in milliseconds.
    pub p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub p99_ms: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

impl LatencyOverhead {
    /// Compares `router` with `direct`.
    pub fn new(router: LatencySummary, direct: LatencySummary) -> Self {
        LatencyOverhead {
            p50_ms: router.p50_ms - direct.p50_ms,
            p99_ms: router.p99_ms - direct.p99_ms,
            p50_ratio: router.p50_ms / direct.p50_ms,
            p99_ratio: router.p99_ms / direct.p99_ms,
        }
    }
}

/// `DaemonUsage` is the resource usage of the daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct DaemonUsage {
    /// The largest resident memory of a daemon when idle, in MiB.
    pub idle_resident_mib: f64,
    /// The largest resident memory of a daemon after the load, in MiB.
    pub loaded_resident_mib: f64,
    /// The average CPU time of a daemon when idle, in percent of a core.
    pub idle_cpu_percent: f64,
    /// The CPU time of all daemons for each relayed token, in microseconds, without
    /// their idle usage; sampled in clock ticks.
    pub cpu_us_per_token: f64,
    /// The same as counted by the scheduler, which is more accurate for short bursts.
    pub scheduled_us_per_token: f64,
}

/// `UsageSpan` is the resource usage at the start and the end of an interval.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsageSpan {
    /// The usage at the start.
    pub before: Usage,
    /// The usage at the end.
    pub after: Usage,
    /// The length of the interval.
    pub length: Duration,
}

impl UsageSpan {
    /// Returns the CPU seconds used in the interval, of the time that `kind` selects.
    fn cpu_seconds(&self, kind: impl Fn(&Usage) -> Duration) -> f64 {
        kind(&self.after).saturating_sub(kind(&self.before)).as_secs_f64()
    }

    /// Returns the average share of a core used in the interval.
    fn cpu_share(&self, kind: impl Fn(&Usage) -> Duration) -> f64 {
        if self.length.is_zero() { 0.0 } else { self.cpu_seconds(kind) / self.length.as_secs_f64() }
    }
}

impl DaemonUsage {
    /// Computes the usage of `daemons` daemons that relayed `tokens` tokens under load.
    pub fn new(idle: UsageSpan, loaded: UsageSpan, daemons: usize, tokens: u64) -> Self {
        let mib = |kib: u64| kib as f64 / 1_024.0;
        let per_token = |kind: fn(&Usage) -> Duration| {
            let net = loaded.cpu_seconds(kind) - idle.cpu_share(kind) * loaded.length.as_secs_f64();
            net * 1e6 / tokens.max(1) as f64
        };
        let idle_share = idle.cpu_share(|usage| usage.scheduled);
        DaemonUsage {
            idle_resident_mib: mib(idle.after.resident_kib),
            loaded_resident_mib: mib(loaded.after.resident_kib),
            idle_cpu_percent: 100.0 * idle_share / daemons.max(1) as f64,
            cpu_us_per_token: per_token(|usage| usage.cpu),
            scheduled_us_per_token: per_token(|usage| usage.scheduled),
        }
    }
}

impl RunReport {
    /// Fills in the latency that the router added, if both targets were measured.
    pub fn compute_overhead(&mut self) {
        if let (Some(router), Some(direct)) = (&self.router, &self.direct) {
            let ttft = LatencyOverhead::new(router.ttft, direct.ttft);
            let between_tokens = LatencyOverhead::new(router.between_tokens, direct.between_tokens);
            self.added = Some(RouterOverhead { ttft, between_tokens });
        }
    }

    /// Returns the number of failed requests of all targets.
    pub fn failed(&self) -> u64 {
        let targets = [&self.router, &self.direct];
        targets.into_iter().flatten().map(|target| target.failed).sum()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} requests/s", self.seed, self.rate_per_s)?;
        for (name, target) in [("router", &self.router), ("direct", &self.direct)] {
            if let Some(target) = target {
                write_target(f, name, target)?;
            }
        }
        if let Some(added) = &self.added {
            write_overhead(f, "time to first token", &added.ttft)?;
            write_overhead(f, "time between tokens", &added.between_tokens)?;
        }
        if let Some(daemons) = &self.daemons {
            writeln!(
                f,
                "daemons: idle {:.1} MiB and {:.2} % of a core, loaded {:.1} MiB, CPU a token {:.2} us ({:.2} us by ticks)",
                daemons.idle_resident_mib,
                daemons.idle_cpu_percent,
                daemons.loaded_resident_mib,
                daemons.scheduled_us_per_token,
                daemons.cpu_us_per_token
            )?;
        }
        Ok(())
    }
}

fn write_target(f: &mut fmt::Formatter<'_>, name: &str, target: &TargetSummary) -> fmt::Result {
    let TargetSummary { sent, whole, failed, tokens, ttft, between_tokens, .. } = target;
    writeln!(f, "{name}: {sent} sent, {whole} whole, {failed} failed, {tokens} tokens")?;
    if let Some(error) = &target.first_failure {
        writeln!(f, "  first failure: {error}")?;
    }
    writeln!(f, "  first token p50 {:.3} ms, p99 {:.3} ms", ttft.p50_ms, ttft.p99_ms)?;
    let (p50, p99) = (between_tokens.p50_ms, between_tokens.p99_ms);
    writeln!(f, "  between tokens p50 {p50:.3} ms, p99 {p99:.3} ms")
}

fn write_overhead(f: &mut fmt::Formatter<'_>, what: &str, added: &LatencyOverhead) -> fmt::Result {
    writeln!(
        f,
        "added {what}: p50 {:+.3} ms (x{:.3}), p99 {:+.3} ms (x{:.3})",
        added.p50_ms, added.p50_ratio, added.p99_ms, added.p99_ratio
    )
}
