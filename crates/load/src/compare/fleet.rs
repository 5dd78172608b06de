//! The `fleet` module models a deployment of today's size: a dozen engines and six
//! hosts in three data centres.

use std::time::Duration;

use aspenloft_core::prelude::BackendRole;

/// The number of data centres.
pub const CENTRES: usize = 3;

/// The one-way delay between data centres.
pub const INTER_DC_DELAY: Duration = Duration::from_micros(4_500);

/// The one-way delay within a data centre.
pub const INTRA_DC_DELAY: Duration = Duration::from_micros(200);

/// The one-way delay between a caller and its entry host.
pub const CALLER_DELAY: Duration = Duration::from_millis(1);

/// The number of decode slots of an engine.
pub const DECODE_SLOTS: u32 = 20;

/// The time that one token of prefill takes.
pub const PREFILL_PER_TOKEN: Duration = Duration::from_micros(50);

/// The duration of a decode step with one stream.
pub const STEP: Duration = Duration::from_millis(25);

/// The time that each further stream adds to a decode step.
pub const STEP_PER_STREAM: Duration = Duration::from_micros(500);

/// The transfer time of one token's KV cache within a data centre.
pub const INTRA_DC_TRANSFER: Duration = Duration::from_micros(2);

/// The transfer time of one token's KV cache between data centres.
pub const INTER_DC_TRANSFER: Duration = Duration::from_micros(6);

/// How long a prefill engine keeps a result that is not exported.
pub const RESULT_TTL: Duration = Duration::from_millis(800);

/// The capacity of a prefill engine's prefix cache, in pieces.
pub const CACHE_CAPACITY_PIECES: usize = 96;

/// `EngineId` is the index of an engine in the fleet.
pub type EngineId = usize;

/// `HostId` is the index of a host in the fleet.
pub type HostId = usize;

/// `EngineSpec` is the role and the location of one engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineSpec {
    /// Whether it runs prefills or decodes.
    pub role: BackendRole,
    /// The index of its data centre.
    pub centre: usize,
}

/// `Fleet` is the layout of all engines and hosts over the data centres.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The engines, by [`EngineId`].
    pub engines: Vec<EngineSpec>,
    /// The data centre of each host, by [`HostId`].
    pub hosts: Vec<usize>,
}

impl Fleet {
    /// Creates the reference fleet with `hosts` hosts.
    pub fn reference(hosts: usize) -> Fleet {
        // Decode is the bottleneck at the peak; prefill has spare capacity.
        let prefill = [0, 0, 1, 1, 2].map(|centre| (BackendRole::Prefill, centre));
        let decode = [0, 0, 1, 1, 2, 2, 2].map(|centre| (BackendRole::Decode, centre));
        let engines = prefill.into_iter().chain(decode);
        Fleet {
            engines: engines.map(|(role, centre)| EngineSpec { role, centre }).collect(),
            hosts: (0..hosts).map(|host| host % CENTRES).collect(),
        }
    }

    /// Lists the engines with a role.
    pub fn engines_with_role(&self, role: BackendRole) -> impl Iterator<Item = EngineId> + '_ {
        (0..self.engines.len()).filter(move |engine| self.engines[*engine].role == role)
    }

    /// Returns the one-way delay between two data centres.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to { INTRA_DC_DELAY } else { INTER_DC_DELAY }
    }

    /// Returns the one-way delay between a host and an engine or its home host.
    pub fn delay_to_engine(&self, host: HostId, engine: EngineId) -> Duration {
        // A single host is the home of every engine and knows their exact state at once.
        if self.hosts.len() == 1 {
            return Duration::ZERO;
        }
        self.delay(self.hosts[host], self.engines[engine].centre)
    }

    /// Returns the transfer time of one token's KV cache between two data centres.
    pub fn transfer_per_token(&self, from: usize, to: usize) -> Duration {
        if from == to { INTRA_DC_TRANSFER } else { INTER_DC_TRANSFER }
    }

    /// Returns the capacity of the decode engines in requests a second, for answers of
    /// `tokens` tokens on average.
    pub fn capacity_per_s(&self, tokens: f64) -> f64 {
        let decode = self.engines_with_role(BackendRole::Decode).count() as f64;
        let step = STEP + STEP_PER_STREAM * (DECODE_SLOTS - 1);
        decode * f64::from(DECODE_SLOTS) / (tokens * step.as_secs_f64())
    }
}
