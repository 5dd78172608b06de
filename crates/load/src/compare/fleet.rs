//! The `fleet` module is a deployment of today's size: a dozen engines and six
//! hosts in three data centres.

use std::time::Duration;

use aspenloft_core::prelude::BackendRole;

/// Data centres.
pub const CENTRES: usize = 3;

/// The one-way delay between data centres.
pub const INTER_DC_DELAY: Duration = Duration::from_micros(4_500);

/// The one-way delay within a data centre.
pub const INTRA_DC_DELAY: Duration = Duration::from_micros(200);

/// The one-way delay between a caller and its entry host.
pub const CALLER_DELAY: Duration = Duration::from_millis(1);

/// Decode slots of an engine.
pub const DECODE_SLOTS: u32 = 20;

/// Time for a token of prefill.
pub const PREFILL_PER_TOKEN: Duration = Duration::from_micros(50);

/// Time of a decode step with one stream.
pub const STEP: Duration = Duration::from_millis(25);

/// Time that each further stream adds to a step.
pub const STEP_PER_STREAM: Duration = Duration::from_micros(500);

/// Time for a token's KV cache on a link within a data centre.
pub const INTRA_DC_TRANSFER: Duration = Duration::from_micros(2);

/// Time for a token's KV cache on a link between data centres.
pub const INTER_DC_TRANSFER: Duration = Duration::from_micros(6);

/// How long the result of a prefill stays without an export.
pub const RESULT_TTL: Duration = Duration::from_millis(800);

/// Pieces that a prefill engine caches.
pub const CACHE_CAPACITY_PIECES: usize = 96;

/// `EngineId` is an engine's place in the fleet.
pub type EngineId = usize;

/// `HostId` is a host's place in the fleet.
pub type HostId = usize;

/// `EngineSpec` is one engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Its role.
    pub role: BackendRole,
    /// Its data centre.
    pub centre: usize,
}

/// `Fleet` is all engines and hosts.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<EngineSpec>,
    /// The data centre of each host.
    pub hosts: Vec<usize>,
}

impl Fleet {
    /// Creates the fleet of today's size with `hosts` hosts.
    pub fn reference(hosts: usize) -> Fleet {
        // Decode engines are what is nearly full at the peak; prefill has room.
        let prefill = [0, 0, 1, 1, 2].map(|centre| (BackendRole::Prefill, centre));
        let decode = [0, 0, 1, 1, 2, 2, 2].map(|centre| (BackendRole::Decode, centre));
        let engines = prefill.into_iter().chain(decode);
        Fleet {
            engines: engines.map(|(role, centre)| EngineSpec { role, centre }).collect(),
            hosts: (0..hosts).map(|host| host % CENTRES).collect(),
        }
    }

    /// Lists the engines of a role.
    pub fn engines_with_role(&self, role: BackendRole) -> impl Iterator<Item = EngineId> + '_ {
        (0..self.engines.len()).filter(move |engine| self.engines[*engine].role == role)
    }

    /// Returns the one-way delay between two data centres.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to { INTRA_DC_DELAY } else { INTER_DC_DELAY }
    }

    /// Returns the one-way delay between a host and an engine's home.
    pub fn delay_to_engine(&self, host: HostId, engine: EngineId) -> Duration {
        // A fleet of one host is all-knowing, for it is every engine's home.
        if self.hosts.len() == 1 {
            return Duration::ZERO;
        }
        self.delay(self.hosts[host], self.engines[engine].centre)
    }

    /// Returns the time for a token's KV cache between two data centres.
    pub fn transfer_per_token(&self, from: usize, to: usize) -> Duration {
        if from == to { INTRA_DC_TRANSFER } else { INTER_DC_TRANSFER }
    }

    /// Returns the requests a second that the decode engines can serve, where an
    /// answer has `tokens` tokens on average.
    pub fn capacity_per_s(&self, tokens: f64) -> f64 {
        let decode = self.engines_with_role(BackendRole::Decode).count() as f64;
        let step = STEP + STEP_PER_STREAM * (DECODE_SLOTS - 1);
        decode * f64::from(DECODE_SLOTS) / (tokens * step.as_secs_f64())
    }
}
