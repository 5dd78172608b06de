//! The `scenario` module lists the scenarios: their load and their faults.

use std::time::Duration;

use aspenloft_standin::engine::EngineFaults;

use super::fleet::EngineId;

/// `Fault` is something that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An engine dies; it is back after the time.
    Crash(EngineId, Duration),
    /// A data centre goes with its hosts and engines, for good.
    LoseCentre(usize),
    /// The link from one data centre to another makes no progress for the time.
    StallLink(usize, usize, Duration),
}

/// `Scenario` is one course of load and faults.
#[derive(Debug, Clone, Default)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// How long requests come.
    pub length: Duration,
    /// Load as a share of what decode engines can serve.
    pub load: f64,
    /// A span with another load.
    pub burst: Option<(Duration, Duration, f64)>,
    /// Whether most prompts start like others.
    pub shared_prefixes: bool,
    /// What happens when.
    pub faults: Vec<(Duration, Fault)>,
    /// How late and gappy cache events are.
    pub cache_event_faults: EngineFaults,
    /// How late load reports are, beyond their interval.
    pub report_lag: Duration,
    /// When the poisoned request is sent.
    pub poison_times: Vec<Duration>,
}

/// How long each scenario lasts, unless told otherwise.
pub const DEFAULT_LENGTH: Duration = Duration::from_secs(60);

/// How long what fails for good is down.
const PERMANENT_OUTAGE: Duration = Duration::from_secs(3_600);

/// How late load reports are.
const REPORT_LAG: Duration = Duration::from_secs(1);

impl Scenario {
    /// Creates a scenario of even load without faults.
    pub fn constant_load(name: &'static str, length: Duration, load: f64) -> Scenario {
        Scenario { name, length, load, report_lag: REPORT_LAG, ..Scenario::default() }
    }

    /// Returns the load at a time.
    pub fn load_at(&self, now: Duration) -> f64 {
        match self.burst {
            Some((from, to, load)) if (from..to).contains(&now) => load,
            _ => self.load,
        }
    }

    /// Lists all scenarios, each of which lasts `length`. Faults strike after a
    /// third of it.
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
        // The list of the platform cannot tell of a death while it is down.
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
