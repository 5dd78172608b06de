//! The `driver` module sends requests as they arrive and collects their outcomes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::Result;
use async_std::future::timeout;
use async_std::task::{self, JoinHandle};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::options::RunOptions;
use super::processes::read_total_usage;
use super::report::{DaemonUsage, RunReport, UsageSpan};
use super::stats::{TargetStats, TokenTimer};
use super::{direct, router};
use crate::arrivals::sample_interarrival;

/// The maximum number of requests in flight; further arrivals are counted as not sent.
const MAX_IN_FLIGHT: usize = 2_000;

/// The bytes of prompt text for each token, as in the router's estimate.
const PROMPT_BYTES_PER_TOKEN: usize = aspenloft_core::units::BYTES_PER_TOKEN as usize;

/// `Progress` holds the statistics of the requests that have ended so far.
#[derive(Debug, Default)]
struct Progress {
    router: TargetStats,
    direct: TargetStats,
    in_flight: usize,
}

/// `Target` is the destination of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Router,
    Direct,
}

/// Measures the daemons' idle usage, sends the load, and returns the report.
pub async fn run(options: RunOptions) -> Result<RunReport> {
    let options = Arc::new(options);
    let idle = measure_usage(&options, task::sleep(options.idle)).await?;
    let progress = Arc::new(Mutex::new(Progress::default()));
    let mut not_sent = 0;
    let send = async { not_sent = send_all(&options, &progress).await };
    let loaded = measure_usage(&options, send).await?;
    let progress = progress.lock();
    let mut report = RunReport {
        seed: options.seed,
        rate_per_s: options.rate_per_s,
        not_sent,
        router: (!options.routers.is_empty()).then(|| progress.router.summary()),
        direct: options.direct.map(|_| progress.direct.summary()),
        ..RunReport::default()
    };
    report.compute_overhead();
    if !options.pids.is_empty() {
        let tokens = progress.router.tokens;
        report.daemons = Some(DaemonUsage::new(idle, loaded, options.pids.len(), tokens));
    }
    Ok(report)
}

/// Measures the daemons' resource usage during `work`.
async fn measure_usage(options: &RunOptions, work: impl Future<Output = ()>) -> Result<UsageSpan> {
    let before = read_total_usage(&options.pids)?;
    let started = Instant::now();
    work.await;
    let after = read_total_usage(&options.pids)?;
    Ok(UsageSpan { before, after, length: started.elapsed() })
}

/// Sends all requests at their arrival times and waits for the answers; returns the
/// number of arrivals that were not sent.
async fn send_all(options: &Arc<RunOptions>, progress: &Arc<Mutex<Progress>>) -> u64 {
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let started = Instant::now();
    let mut due = Duration::ZERO;
    let mut not_sent = 0;
    let mut requests: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..options.count {
        due += sample_interarrival(&mut rng, options.rate_per_s);
        if due > options.duration {
            break;
        }
        let prompt = unique_prompt(&mut rng, options.prompt_tokens);
        task::sleep(due.saturating_sub(started.elapsed())).await;
        if progress.lock().in_flight >= MAX_IN_FLIGHT {
            not_sent += 1;
            continue;
        }
        progress.lock().in_flight += 1;
        let (options, progress) = (options.clone(), progress.clone());
        requests.push(task::spawn(async move { send(options, progress, number, prompt).await }));
    }
    for request in requests {
        request.await;
    }
    not_sent
}

async fn send(
    options: Arc<RunOptions>,
    progress: Arc<Mutex<Progress>>,
    number: u64,
    prompt: String,
) {
    let target = choose_target(&options, number);
    let mut timer = TokenTimer::start();
    let outcome = complete(&options, target, number, &prompt, &mut timer).await;
    let mut progress = progress.lock();
    progress.in_flight -= 1;
    let stats = match target {
        Target::Router => &mut progress.router,
        Target::Direct => &mut progress.direct,
    };
    stats.add(&timer, outcome);
}

async fn complete(
    options: &RunOptions,
    target: Target,
    number: u64,
    prompt: &str,
    timer: &mut TokenTimer,
) -> Result<(), String> {
    let work = async {
        match (target, options.direct) {
            (Target::Direct, Some(pair)) => {
                direct::complete(pair, options, number, prompt, timer).await
            }
            _ => {
                let index = (number / 2) as usize % options.routers.len();
                router::complete(options.routers[index], options, prompt, timer).await
            }
        }
    };
    match timeout(options.timeout, work).await {
        Ok(outcome) => outcome.map_err(|e| e.to_string()),
        Err(_) => Err("no complete answer within the timeout".into()),
    }
}

/// Chooses the target of a request. With both targets they alternate, so that both
/// are measured under the same load and noise.
fn choose_target(options: &RunOptions, number: u64) -> Target {
    let both = options.direct.is_some() && !options.routers.is_empty();
    match (both, options.direct) {
        (true, _) if number.is_multiple_of(2) => Target::Router,
        (true, _) => Target::Direct,
        (false, Some(_)) => Target::Direct,
        (false, None) => Target::Router,
    }
}

/// Creates a prompt that starts differently from all others, so that no prefix is
/// cached.
fn unique_prompt(rng: &mut Pcg64Mcg, tokens: u64) -> String {
    let bytes = tokens as usize * PROMPT_BYTES_PER_TOKEN;
    let mut text = format!("{:016x} ", rng.random::<u64>());
    while text.len() < bytes {
        text.push_str("blue door ");
    }
    text.truncate(bytes.max(PROMPT_BYTES_PER_TOKEN));
    text
}
