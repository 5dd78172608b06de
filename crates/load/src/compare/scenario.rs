//! The `scenario` module defines the scenarios: their load and their faults.

use std::time::Duration;

use aspenloft_standin::engine::EngineFaults;

use super::fleet::EngineId;

/// `Fault` is a failure of an engine, a data centre or a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine crashes and recovers, empty, after the duration.
    Crash(EngineId, Duration),
    /// A data centre is lost permanently, with its hosts and engines.
    LoseCentre(usize),
    /// The link from one data centre to another transfers nothing for the duration.
    StallLink(usize, usize, Duration),
}

/// `Scenario` describes the load and the faults of one run.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// The name, as in the report and for the filter of `compare`.
    pub name: &'static str,
    /// How long requests arrive.
    pub length: Duration,
    /// The load as a share of the capacity of the decode engines.
    pub load: f64,
    /// The start and end of an interval with another load, and that load.
    pub burst: Option<(Duration, Duration, f64)>,
    /// Whether most prompts share a prefix with others.
    pub shared_prefixes: bool,
    /// The faults with the times at which they occur.
    pub faults: Vec<(Duration, Fault)>,
    /// The delay and the losses of cache events.
    pub cache_event_faults: EngineFaults,
    /// The delay of load and cache reports, in addition to their interval.
    pub report_lag: Duration,
    /// The times at which the poisoned request is sent.
    pub poison_times: Vec<Duration>,
}

/// The default length of each scenario.
pub const DEFAULT_LENGTH: Duration = Duration::from_secs(60);

/// The downtime of an engine that does not recover; longer than any run.
const PERMANENT_OUTAGE: Duration = Duration::from_secs(3_600);

/// The default delay of load and cache reports.
const REPORT_LAG: Duration = Duration::from_secs(1);

impl Scenario {
    /// Creates a scenario with constant load and without faults.
    pub fn constant_load(name: &'static str, length: Duration, load: f64) -> Scenario {
        Scenario { name, length, load, report_lag: REPORT_LAG, ..Scenario::default() }
    }

    /// Returns the load at a time, as a share of the capacity of the decode engines.
    pub fn load_at(&self, now: Duration) -> f64 {
        match self.burst {
            Some((from, to, load)) if (from..to).contains(&now) => load,
            _ => self.load,
        }
    }

    /// Lists all scenarios with the given length. Faults occur after a third of it.
    pub fn all(length: Duration) -> Vec<Scenario> {
        let s = Duration::from_secs;
        let fault_time = length / 3;
        let constant_load = |name, load| Scenario::constant_load(name, length, load);
        let crashes =
            [0, 5, 8, 10].map(|engine| (fault_time, Fault::Crash(engine, PERMANENT_OUTAGE)));
        let stalls = [(0, 1), (1, 2), (2, 0), (0, 0)];
        let stalled = stalls.map(|(from, to)| (fault_time, Fault::StallLink(from, to, length / 4)));
        let cache_event_faults =
            EngineFaults { event_lag: s(5), lose_event_every: 3, ..EngineFaults::default() };
        // While the platform is down, its host list cannot report the crash. The simulation
        // has no host list, so the crash is the only fault of this scenario.
        let unlisted_crash = vec![(fault_time, Fault::Crash(6, PERMANENT_OUTAGE))];
        vec![
            constant_load("steady_70", 0.7),
            constant_load("peak_98", 0.98),
            constant_load("overload_150", 1.5),
            Scenario { burst: Some((fault_time, length / 2, 2.0)), ..constant_load("burst", 0.6) },
            Scenario { shared_prefixes: true, ..constant_load("skewed_prefixes", 0.9) },
            Scenario { faults: crashes.into(), ..constant_load("third_of_engines_lost", 0.8) },
            Scenario {
                faults: vec![(fault_time, Fault::LoseCentre(2))],
                ..constant_load("data_centre_lost", 0.7)
            },
            Scenario { faults: stalled.into(), ..constant_load("stalled_links", 0.7) },
            Scenario {
                cache_event_faults,
                shared_prefixes: true,
                report_lag: s(4),
                ..constant_load("late_gappy_events", 0.9)
            },
            Scenario {
                poison_times: (0..6).map(|i| fault_time + s(2 * i)).collect(),
                ..constant_load("poisoned_request", 0.7)
            },
            Scenario { faults: unlisted_crash, ..constant_load("platform_down", 0.7) },
        ]
    }
}
