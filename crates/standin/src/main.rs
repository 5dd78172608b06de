//! `aspenloft-standin` runs one stand-in, a test double of a system that aspenloft
//! communicates with, as a process; see `docs/STANDINS.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::{Result, unavailable};
use aspenloft_standin::engine::{EngineHandler, EngineOptions, EngineStandin};
use aspenloft_standin::hosts::HostsStandin;
use aspenloft_standin::kv::KvHandler;
use aspenloft_standin::relay::{Relay, RelayAdmin};
use aspenloft_standin::service::ServiceStandin;
use aspenloft_transport::server::{self, HttpHandler};
use async_std::net::TcpListener;
use async_std::task;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a test double of a system that aspenloft communicates with.
        cmd aspenloft-standin {
            /// Runs the platform's key-value service.
            cmd kv {
                /// Address to listen on.
                required --listen addr: SocketAddr
            }
            /// Runs the platform's host list.
            cmd hosts {
                /// Address to listen on.
                required --listen addr: SocketAddr
                /// JSON file with the list, read at each request.
                required --file path: PathBuf
            }
            /// Runs a model engine.
            cmd engine {
                /// Address to listen on.
                required --listen addr: SocketAddr
                /// Number of decode slots.
                optional --slots count: u32
                /// Duration of a decode step with a single stream, in milliseconds.
                optional --step-ms ms: u64
                /// Time that each further stream adds to a decode step, in microseconds.
                optional --step-per-stream-us us: u64
                /// Prefill time per prompt token, in microseconds.
                optional --prefill-us us: u64
                /// KV cache transfer time per token, in microseconds.
                optional --transfer-us us: u64
                /// Name of the model.
                optional --model name: String
                /// Obeys orders regardless of their fencing numbers.
                optional --ignore-fencing
            }
            /// Runs a plain service.
            cmd service {
                /// Address to listen on.
                required --listen addr: SocketAddr
            }
            /// Runs a TCP relay that can make connections go silent.
            cmd relay {
                /// Address to listen on.
                required --listen addr: SocketAddr
                /// Address to which connections are relayed.
                required --target addr: SocketAddr
                /// Address at which faults are set over HTTP.
                required --admin addr: SocketAddr
            }
        }
    }
}

fn engine_handler(f: flags::Engine) -> Arc<dyn HttpHandler> {
    let mut engine = EngineOptions::default();
    engine.check_fencing = !f.ignore_fencing;
    engine.slots = f.slots.unwrap_or(engine.slots);
    engine.step = f.step_ms.map_or(engine.step, Duration::from_millis);
    let per_stream = f.step_per_stream_us.map(Duration::from_micros);
    engine.step_per_stream = per_stream.unwrap_or(engine.step_per_stream);
    engine.prefill_per_token = f.prefill_us.map_or(engine.prefill_per_token, Duration::from_micros);
    let transfer = f.transfer_us.map(Duration::from_micros);
    engine.transfer_per_token = transfer.unwrap_or(engine.transfer_per_token);
    engine.model = f.model.map_or(engine.model, Into::into);
    Arc::new(EngineHandler(EngineStandin::new(engine)))
}

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| unavailable(format!("{addr}: {e}")))
}

async fn serve(addr: SocketAddr, handler: Arc<dyn HttpHandler>) -> Result<()> {
    server::serve(bind(addr).await?, handler).await
}

async fn run_relay(f: flags::Relay) -> Result<()> {
    let relay = Relay::new(f.target);
    let admin = bind(f.admin).await?;
    task::spawn(server::serve(admin, Arc::new(RelayAdmin(relay.clone()))));
    relay.serve(bind(f.listen).await?).await
}

async fn dispatch(command: flags::AspenloftStandinCmd) -> Result<()> {
    use flags::AspenloftStandinCmd::{Engine, Hosts, Kv, Relay, Service};
    match command {
        Kv(f) => serve(f.listen, Arc::new(KvHandler(Arc::default()))).await,
        Hosts(f) => serve(f.listen, Arc::new(HostsStandin::new(f.file))).await,
        Engine(f) => serve(f.listen, engine_handler(f)).await,
        Service(f) => serve(f.listen, Arc::new(ServiceStandin::default())).await,
        Relay(f) => run_relay(f).await,
    }
}

fn main() {
    env_logger::init();
    let command = flags::AspenloftStandin::from_env_or_exit().subcommand;
    if let Err(e) = task::block_on(dispatch(command)) {
        eprintln!("aspenloft-standin: {e}");
        std::process::exit(1);
    }
}
