//! The `meters` module sets up the metrics of a process and renders the page that
//! Prometheus scrapes.

use std::time::Duration;

use aspenloft_core::errors::{Result, internal};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The number of clock ticks per second (`USER_HZ`); `/proc` counts processor time in ticks.
const TICKS_PER_S: f64 = 100.0;

/// `Meters` holds the meter provider and the Prometheus registry of a process.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Meters {
    /// Creates the meters of the program `service` on the host named `host`, with
    /// instruments for the processor time, the resident memory and the open file descriptors
    /// of the process.
    pub fn new(service: &'static str, host: &str) -> Result<Meters> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| internal(e.to_string()))?;
        let resource = Resource::builder_empty()
            .with_service_name(service)
            .with_attribute(KeyValue::new("host", host.to_string()))
            .build();
        let provider =
            SdkMeterProvider::builder().with_resource(resource).with_reader(exporter).build();
        let meters = Meters { registry, provider };
        meters
            .meter()
            .f64_observable_counter("aspenloft_process_cpu")
            .with_unit("s")
            .with_callback(|observer| {
                if let Some(cpu) = process_cpu() {
                    observer.observe(cpu.as_secs_f64(), &[]);
                }
            })
            .build();
        meters
            .meter()
            .u64_observable_gauge("aspenloft_process_resident_memory")
            .with_unit("By")
            .with_callback(|observer| {
                if let Some(bytes) = process_memory() {
                    observer.observe(bytes, &[]);
                }
            })
            .build();
        meters
            .meter()
            .u64_observable_gauge("aspenloft_process_open_descriptors")
            .with_callback(|observer| {
                if let Some(count) = open_descriptors() {
                    observer.observe(count, &[]);
                }
            })
            .build();
        Ok(meters)
    }

    /// Returns the meter for building instruments. They stop recording when `self` is
    /// dropped.
    pub fn meter(&self) -> Meter {
        self.provider.meter("aspenloft")
    }

    /// Renders the current values in the Prometheus text format.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .map_err(|e| internal(e.to_string()))?;
        Ok(page)
    }
}

/// The memory page size of the supported machines, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the resident memory of this process in bytes; see proc_pid_statm(5), field 2.
pub fn process_memory() -> Option<u64> {
    let statm = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Returns the number of open file descriptors of this process; see proc_pid_fd(5).
pub fn open_descriptors() -> Option<u64> {
    let count = std::fs::read_dir("/proc/self/fd").ok()?.count();
    // The directory itself is open while it is read.
    u64::try_from(count).ok()?.checked_sub(1)
}

/// Returns the processor time used by this process; see proc_pid_stat(5), fields 14
/// and 15.
pub fn process_cpu() -> Option<Duration> {
    let stat = std::fs::read_to_string("/proc/self/stat").ok()?;
    // The second field is the program's name in parentheses and may contain spaces.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_S))
}
