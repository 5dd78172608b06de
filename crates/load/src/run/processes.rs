//! The `processes` module reads the processor time and memory of the daemons.
//!
//! Source: proc(5), `/proc/pid/stat` fields 14 and 15, `/proc/pid/task/*/schedstat`
//! field 1, and `/proc/pid/status`. The first counts ticks by sampling, which errs
//! for work in short bursts that a timer starts; the second counts nanoseconds.

use std::time::Duration;

use aspenloft_core::errors::{Result, internal, not_found};

/// Clock ticks a second in `/proc/pid/stat`; fixed at 100 for user space on Linux.
const TICKS_PER_S: u64 = 100;

/// The place of `utime` among the fields after the command's closing bracket.
const UTIME_FIELD: usize = 11;

/// `Usage` is what a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time, sampled by ticks.
    pub cpu: Duration,
    /// Processor time as the scheduler counts it, of the threads that live.
    pub scheduled: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

/// Reads the usage of process `pid`.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let stat = read_proc_file(pid, "stat")?;
    let status = read_proc_file(pid, "status")?;
    let cpu = parse_cpu(&stat).ok_or_else(|| internal(format!("/proc/{pid}/stat is malformed")))?;
    let scheduled = read_scheduled(pid)?;
    Ok(Usage { cpu, scheduled, resident_kib: parse_resident_kib(&status).unwrap_or_default() })
}

/// Sums the processor time of `pids`, and returns the most memory among them.
pub fn read_total_usage(pids: &[u32]) -> Result<Usage> {
    let mut total = Usage::default();
    for pid in pids {
        let usage = read_usage(*pid)?;
        total.cpu += usage.cpu;
        total.scheduled += usage.scheduled;
        total.resident_kib = total.resident_kib.max(usage.resident_kib);
    }
    Ok(total)
}

/// Sums the time of all threads. One that ends meanwhile is left out.
fn read_scheduled(pid: u32) -> Result<Duration> {
    let path = format!("/proc/{pid}/task");
    let threads = std::fs::read_dir(&path).map_err(|e| not_found(format!("{path}: {e}")))?;
    let texts = threads
        .flatten()
        .filter_map(|thread| std::fs::read_to_string(thread.path().join("schedstat")).ok());
    Ok(texts.filter_map(|text| parse_schedstat(&text)).sum())
}

/// Reads the time on a processor from the text of a `schedstat` file.
pub fn parse_schedstat(schedstat: &str) -> Option<Duration> {
    schedstat.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

fn read_proc_file(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).map_err(|e| not_found(format!("{path}: {e}")))
}

/// Reads user and system time from the text of `/proc/pid/stat`.
pub fn parse_cpu(stat: &str) -> Option<Duration> {
    // The command's name may hold spaces and brackets, so the last bracket counts.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(UTIME_FIELD);
    let utime: u64 = fields.next()?.parse().ok()?;
    let stime: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((utime + stime) * 1_000 / TICKS_PER_S))
}

/// Reads the resident memory, in KiB, from the text of `/proc/pid/status`.
pub fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
