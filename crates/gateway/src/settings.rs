//! The `settings` module reads a host's settings file, which is JSON;
//! `docs/SETTINGS.md` lists the fields.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use aspenloft_core::errors::{Result, invalid};
use aspenloft_core::prelude::Name;
use aspenloft_policy::mechanisms::Mechanisms;
use serde::Deserialize;
use serde_with::{DurationSecondsWithFrac, serde_as};

/// `Settings` is the content of a host's settings file, read once at the start.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The data centre in which the host runs.
    pub data_centre: Name,
    /// The addresses on which the host listens.
    pub listen: Listen,
    /// The address of the platform's key-value service.
    pub key_value: SocketAddr,
    /// The deployment's budget of extra sends to each service.
    pub retries: RetrySettings,
    /// The limits of a graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// The memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// The file descriptors that the process may use, if they are fewer than the operating
    /// system's limit.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
    /// Addresses of some hosts, possibly out of date, for a host that starts while the
    /// key-value service refuses it. Only the IP addresses are used: all hosts of a
    /// deployment listen on the same ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The mechanisms that take part in decisions. Leaving one out is for measurements.
    #[serde(default)]
    pub mechanisms: Mechanisms,
}

/// `Listen` holds the addresses on which a host listens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the balancer's readiness probe.
    pub readiness: SocketAddr,
    /// The address for other hosts, over TCP and UDP.
    pub peers: SocketAddr,
    /// The address of the metrics page.
    pub metrics: SocketAddr,
}

/// `RetrySettings` is the budget of extra sends, shared by all hosts.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Extra sends allowed per request.
    pub ratio: f64,
    /// Extra sends allowed per window regardless of the load.
    pub slack: f64,
    /// The length of the window.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window_s: Duration,
}

/// `ShutdownSettings` limits a graceful shutdown.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ShutdownSettings {
    /// The time between the signal and the forced end of the process.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub grace_s: Duration,
}

/// The longest time that a setting may name.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 3_600);

/// The largest allowance of extra sends.
const MAX_RETRIES: f64 = 1e9;

impl Settings {
    /// Reads the settings file at `path`; an error names the invalid field.
    pub fn load(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| invalid(format!("{}: {e}", path.display())))?;
        Settings::from_json(&text)
            .map_err(|e| invalid(format!("{}: {}", path.display(), e.message)))
    }

    /// Parses settings from JSON. Unknown fields are ignored.
    pub fn from_json(text: &str) -> Result<Settings> {
        let mut json = serde_json::Deserializer::from_str(text);
        let settings: Settings = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| invalid(format!("{}: {}", e.path(), e.inner())))?;
        settings.check()?;
        Ok(settings)
    }

    /// Refuses numbers that fit their types but cannot be calculated with.
    fn check(&self) -> Result<()> {
        let RetrySettings { ratio, slack, window_s } = &self.retries;
        let out_of_range = [
            ("retries.ratio", !(0.0..=MAX_RETRIES).contains(ratio)),
            ("retries.slack", !(0.0..=MAX_RETRIES).contains(slack)),
            ("retries.window_s", window_s.is_zero() || *window_s > MAX_PERIOD),
            ("shutdown.grace_s", self.shutdown.grace_s > MAX_PERIOD),
            ("memory_mb", self.memory_mb == 0),
            ("max_descriptors", self.max_descriptors == Some(0)),
        ];
        match out_of_range.iter().find(|(_, is_wrong)| *is_wrong) {
            Some((field, _)) => Err(invalid(format!("{field}: the value is out of range"))),
            None => Ok(()),
        }
    }
}
