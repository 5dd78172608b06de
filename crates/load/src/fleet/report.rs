//! The `report` module counts the outcomes of a run by the size and the host of requests.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

/// The width of the plot, in characters for all requests of a second on time.
const PLOT_WIDTH: usize = 40;

/// `Outcome` is how a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived in time.
    OnTime,
    /// The first token was late.
    LateFirst,
    /// The first token was in time, but the engine preempted the stream.
    Paused,
    /// A lost packet delayed an event, and nothing else did.
    PacketLost,
    /// It was rejected on arrival, also when it came back.
    RejectedOnArrival,
    /// It was rejected after it had waited.
    RejectedLater,
    /// Its engine crashed, or it had not ended with the run.
    Failed,
}

/// `Counts` is the number of requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// All requests.
    pub asked: usize,
    /// Those with a whole answer in time.
    pub on_time: usize,
    /// Those whose first token was late.
    pub late_first: usize,
    /// Those that were preempted.
    pub paused: usize,
    /// Those that only a lost packet made late.
    pub packet_lost: usize,
    /// Those that were rejected on arrival.
    pub rejected_on_arrival: usize,
    /// Those that were rejected after a wait.
    pub rejected_later: usize,
    /// Those that failed.
    pub failed: usize,
}

impl Counts {
    /// Adds a request.
    pub fn add(&mut self, outcome: Outcome) {
        self.asked += 1;
        let count = match outcome {
            Outcome::OnTime => &mut self.on_time,
            Outcome::LateFirst => &mut self.late_first,
            Outcome::Paused => &mut self.paused,
            Outcome::PacketLost => &mut self.packet_lost,
            Outcome::RejectedOnArrival => &mut self.rejected_on_arrival,
            Outcome::RejectedLater => &mut self.rejected_later,
            Outcome::Failed => &mut self.failed,
        };
        *count += 1;
    }

    /// Returns the share of requests whose first token was in time and that nothing on the
    /// engines delayed.
    pub fn timely_share(&self) -> f64 {
        let timely = self.on_time + self.packet_lost;
        timely as f64 / self.asked.max(1) as f64
    }
}

/// `FleetReport` is the result of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetReport {
    /// The name of the load pattern.
    pub pattern: String,
    /// The seed.
    pub seed: u64,
    /// All requests.
    pub all: Counts,
    /// The lower seven tenths by length of the prompt, the next two, and the largest.
    pub by_size: [Counts; 3],
    /// By the host that requests reached first.
    pub by_host: Vec<Counts>,
    /// By the second of arrival.
    pub by_second: Vec<Counts>,
    /// The waits of queued requests in milliseconds, at the median and the 99th percentile.
    pub wait_ms: [u64; 2],
    /// Prompt tokens that were read.
    pub prompt_tokens: u64,
    /// Prompt tokens of them that were read for nothing, or again.
    pub wasted_tokens: u64,
    /// Placements that an engine refused for lack of memory or slots.
    pub refused_by_engines: usize,
    /// Requests that an engine preempted.
    pub preempted: usize,
    /// The most tokens on an engine, as a share of its memory.
    pub peak_memory_share: f64,
    /// Requests that were placed when they could no longer meet their target.
    pub late_placements: usize,
    /// Those of them that passed over a request elsewhere that still could.
    pub passed_over: usize,
}

/// Returns the value below which `share` of the sorted `waits` lie, in milliseconds.
pub fn percentile_ms(waits: &[Duration], share: f64) -> u64 {
    let index = ((waits.len() as f64 * share) as usize).min(waits.len().saturating_sub(1));
    waits.get(index).map_or(0, |wait| wait.as_millis() as u64)
}

impl fmt::Display for FleetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "pattern {:?}, seed {}", self.pattern, self.seed)?;
        writeln!(
            f,
            "requests        asked  on time  late  paused  packet  rejected  later  failed"
        )?;
        write_counts(f, "all", &self.all)?;
        for (name, counts) in
            ["lower 7 tenths", "next 2 tenths", "largest tenth"].iter().zip(&self.by_size)
        {
            write_counts(f, name, counts)?;
        }
        for (host, counts) in self.by_host.iter().enumerate() {
            write_counts(f, &format!("host {host}"), counts)?;
        }
        let [median, p99] = self.wait_ms;
        writeln!(f, "waits: p50 {median} ms, p99 {p99} ms")?;
        let (wasted, read) = (self.wasted_tokens, self.prompt_tokens);
        writeln!(f, "prompt tokens: {wasted} of {read} wasted")?;
        writeln!(
            f,
            "engines: {} placements refused, {} requests preempted, memory at most {:.2}",
            self.refused_by_engines, self.preempted, self.peak_memory_share
        )?;
        writeln!(
            f,
            "late placements: {}, of which {} passed over others",
            self.late_placements, self.passed_over
        )?;
        for (second, counts) in self.by_second.iter().enumerate() {
            let share = counts.timely_share();
            let bar = "#".repeat((share * PLOT_WIDTH as f64).round() as usize);
            writeln!(f, "{second:4} s {:5} {share:5.2} {bar}", counts.asked)?;
        }
        Ok(())
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, name: &str, c: &Counts) -> fmt::Result {
    writeln!(
        f,
        "{name:14} {:6} {:8} {:5} {:7} {:7} {:9} {:6} {:7}",
        c.asked,
        c.on_time,
        c.late_first,
        c.paused,
        c.packet_lost,
        c.rejected_on_arrival,
        c.rejected_later,
        c.failed
    )
}
