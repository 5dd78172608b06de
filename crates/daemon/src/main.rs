//! `aspenloftd` is the daemon that every host of the router runs.

use std::net::SocketAddr;
use std::process::exit;
use std::sync::Arc;

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::{Result, unavailable};
use aspenloft_daemon::admin::AdminHandler;
use aspenloft_daemon::callers::front::CallerHandler;
use aspenloft_daemon::home::sweep;
use aspenloft_daemon::leave::{self, StopOutcome};
use aspenloft_daemon::membership;
use aspenloft_daemon::node::{Dispatch, Node};
use aspenloft_daemon::peers::FrameAdapter;
use aspenloft_daemon::settings::Settings;
use aspenloft_daemon::shutdown::DrainHandler;
use aspenloft_daemon::tasks;
use aspenloft_telemetry::line as logging;
use aspenloft_transport::{mesh, server};
use async_global_executor::GlobalExecutorConfig;
use async_std::net::TcpListener;
use async_std::task;
use futures::StreamExt;
use futures::future::{Either, select};
use futures::pin_mut;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one host of the router.
        ///
        /// Every host runs the same program. The settings file gives the host's name,
        /// its data centre, its three addresses (callers, peers, admin) and the
        /// addresses of the platform; docs/SETTINGS.md has an example.
        ///
        /// SIGTERM stops the host gracefully: it finishes the work in flight and exits
        /// with 0. A second SIGTERM cuts the remaining work, logs how much, and exits
        /// with 3.
        ///
        /// Exit codes: 0 stopped without cutting anything, 1 failed to start or run,
        /// 2 invalid settings, 3 stopped and cut requests.
        cmd aspenloftd {
            /// The settings file, in JSON.
            required settings: PathBuf
            /// Checks the settings, prints every problem and its location, and exits.
            optional --check
        }
    }
}

/// The exit code for a failure to start or run.
const EXIT_FAILED: i32 = 1;

/// The exit code for invalid settings.
const EXIT_SETTINGS: i32 = 2;

/// The exit code for a stop that cut requests.
const EXIT_CUT: i32 = 3;

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| unavailable(format!("{addr}: {e}")))
}

async fn run(settings: Settings) -> Result<StopOutcome> {
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(|e| unavailable(e.to_string()))?;
    let node = Node::new(settings, Arc::new(SystemClock))?;
    let callers = bind(node.settings.callers).await?;
    let peers = bind(node.settings.peers).await?;
    let admin = bind(node.settings.admin).await?;
    membership::start(&node);
    task::spawn(sweep::run(node.clone()));
    tasks::start(&node);
    let draining =
        DrainHandler { inner: Arc::new(Dispatch(node.clone())), shutdown: node.shutdown.clone() };
    let frames = FrameAdapter { inner: Arc::new(draining), traffic: node.peers.traffic().clone() };
    task::spawn(mesh::serve(peers, Arc::new(frames)));
    task::spawn(server::serve(admin, Arc::new(AdminHandler(node.clone()))));
    let options = node.settings.limits.server_options();
    task::spawn(server::serve_with(callers, Arc::new(CallerHandler(node.clone())), options));
    log::info!(event = "started", host = &*node.settings.host; "");
    Ok(run_until_stopped(&node, signals).await)
}

/// Waits for a signal or an operator's request to stop, then shuts down gracefully. A
/// second signal ends the shutdown immediately.
async fn run_until_stopped(node: &Arc<Node>, mut signals: Signals) -> StopOutcome {
    let stop_requested = node.shutdown.stop_requested();
    pin_mut!(stop_requested);
    select(signals.next(), stop_requested).await;
    let leaving = leave::leave(node);
    let second_signal = signals.next();
    pin_mut!(leaving, second_signal);
    match select(leaving, second_signal).await {
        Either::Left((outcome, _)) => outcome,
        Either::Right(_) => {
            let outcome = leave::current_outcome(node);
            leave::log_outcome(outcome);
            outcome
        }
    }
}

/// Starts the `count` threads of the executor. Must be called before the first task
/// is spawned.
fn start_workers(count: usize) {
    let config = GlobalExecutorConfig::default().with_min_threads(count).with_max_threads(count);
    async_global_executor::init_with_config(config);
}

fn main() {
    let flags = flags::Aspenloftd::from_env_or_exit();
    let settings = match Settings::load(&flags.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            exit(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: ok", flags.settings.display());
        return;
    }
    logging::start();
    start_workers(settings.limits.workers);
    match task::block_on(run(settings)) {
        Ok(StopOutcome::Clean) => (),
        Ok(StopOutcome::Cut { .. }) => exit(EXIT_CUT),
        Err(e) => {
            eprintln!("aspenloftd: {e}");
            exit(EXIT_FAILED);
        }
    }
}
