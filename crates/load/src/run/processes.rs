//! The `processes` module reads the CPU time and the memory of the daemons.
//!
//! Source: proc(5), `/proc/pid/stat` fields 14 and 15, `/proc/pid/task/*/schedstat`
//! field 1, and `/proc/pid/status`. The first is sampled in clock ticks, which is
//! inaccurate for short bursts of work started by a timer; the second counts
//! nanoseconds.

use std::time::Duration;

use aspenloft_core::errors::{Result, internal, not_found};

/// Clock ticks a second in `/proc/pid/stat`; fixed at 100 for user space on Linux.
const TICKS_PER_S: u64 = 100;

/// The index of `utime` among the fields after the command's closing bracket.
const UTIME_FIELD: usize = 11;

/// `Usage` is the resource usage of a process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// CPU time, sampled in clock ticks.
    pub cpu: Duration,
    /// CPU time of the live threads, as counted by the scheduler.
    pub scheduled: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

/// Reads the resource usage of process `pid`.
pub fn read_usage(pid: u32) -> Result<Usage> {
    let stat = read_proc_file(pid, "stat")?;
    let status = read_proc_file(pid, "status")?;
    let cpu = parse_cpu(&stat).ok_or_else(|| internal(format!("/proc/{pid}/stat is malformed")))?;
    let scheduled = read_scheduled(pid)?;
    Ok(Usage { cpu, scheduled, resident_kib: parse_resident_kib(&status).unwrap_or_default() })
}

/// Reads the usage of `pids`: the sum of their CPU times and the largest resident
/// memory.
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

/// Sums the CPU time of all threads of a process. A thread that ends meanwhile is left
/// out.
fn read_scheduled(pid: u32) -> Result<Duration> {
    let path = format!("/proc/{pid}/task");
    let threads = std::fs::read_dir(&path).map_err(|e| not_found(format!("{path}: {e}")))?;
    let texts = threads
        .flatten()
        .filter_map(|thread| std::fs::read_to_string(thread.path().join("schedstat")).ok());
    Ok(texts.filter_map(|text| parse_schedstat(&text)).sum())
}

/// Parses the CPU time from the text of a `schedstat` file.
pub fn parse_schedstat(schedstat: &str) -> Option<Duration> {
    schedstat.split(' ').next()?.parse().ok().map(Duration::from_nanos)
}

fn read_proc_file(pid: u32, file: &str) -> Result<String> {
    let path = format!("/proc/{pid}/{file}");
    std::fs::read_to_string(&path).map_err(|e| not_found(format!("{path}: {e}")))
}

/// Parses the sum of user and system time from the text of `/proc/pid/stat`.
pub fn parse_cpu(stat: &str) -> Option<Duration> {
    // The command may contain spaces and brackets, so the last closing bracket ends it.
    let (_, rest) = stat.rsplit_once(") ")?;
    let mut fields = rest.split(' ').skip(UTIME_FIELD);
    let utime: u64 = fields.next()?.parse().ok()?;
    let stime: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((utime + stime) * 1_000 / TICKS_PER_S))
}

/// Parses the resident memory, in KiB, from the text of `/proc/pid/status`.
pub fn parse_resident_kib(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
