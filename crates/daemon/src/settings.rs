//! The `settings` module reads and checks the daemon's settings file; see
//! `docs/OPERATING.md` for each field.

use std::net::SocketAddr;
use std::path::Path;

use aspenloft_core::prelude::{Findings, Host, Name};
use serde::{Deserialize, Serialize};

/// `Settings` is what a host learns from its settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the deployment.
    pub host: Name,
    /// The host's data centre.
    pub data_centre: Name,
    /// Where callers reach the host.
    pub callers: SocketAddr,
    /// Where other hosts reach it.
    pub peers: SocketAddr,
    /// Where operators and the balancer reach it.
    pub admin: SocketAddr,
    /// Where the platform is.
    pub platform: Platform,
}

/// `Platform` is where the platform's services listen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The key-value service.
    pub key_value: SocketAddr,
    /// The list of hosts.
    pub host_list: SocketAddr,
}

impl Settings {
    /// Reads the settings file at `path`, or returns all that is wrong with it.
    pub fn load(path: &Path) -> Result<Settings, Findings> {
        let mut findings = Findings::default();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => {
                findings.add(path.display().to_string(), e.to_string());
                return Err(findings);
            }
        };
        let mut de = serde_json::Deserializer::from_str(&text);
        match serde_path_to_error::deserialize::<_, Settings>(&mut de) {
            Ok(settings) => settings.check().into_result().map(|()| settings),
            Err(e) => {
                findings.add(e.path().to_string(), e.inner().to_string());
                Err(findings)
            }
        }
    }

    /// Checks what the types alone do not.
    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        for (place, text) in [("host", &self.host), ("data_centre", &self.data_centre)] {
            if text.trim().is_empty() {
                findings.add(place, "must not be empty");
            }
        }
        let addrs = [("callers", self.callers), ("peers", self.peers), ("admin", self.admin)];
        for (i, (place, addr)) in addrs.iter().enumerate() {
            if addr.port() == 0 {
                findings.add(*place, "needs a port");
            }
            if addrs[..i].iter().any(|(_, earlier)| earlier == addr) {
                findings.add(*place, format!("{addr} is used twice"));
            }
        }
        findings
    }

    /// Describes this host as others see it.
    pub fn host(&self) -> Host {
        Host {
            name: self.host.clone(),
            addr: self.peers,
            data_centre: self.data_centre.clone(),
            leaving: false,
        }
    }
}
