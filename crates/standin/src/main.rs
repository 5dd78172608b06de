//! `aspenloft-standin` runs one stand-in as a process; see `docs/STANDINS.md`.

use std::net::SocketAddr;
use std::sync::Arc;

use aspenloft_standin::engine::{EngineFront, EngineOptions, EngineStandin};
use aspenloft_standin::hosts::HostsFront;
use aspenloft_standin::kv::KvFront;
use aspenloft_standin::service::ServiceStandin;
use aspenloft_transport::server::{self, HttpHandler};
use async_std::net::TcpListener;
use async_std::task;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a stand-in for what aspenloft meets.
        cmd aspenloft-standin {
            /// The key-value service.
            cmd kv {
                /// Where to listen.
                required --listen addr: SocketAddr
            }
            /// The list of hosts.
            cmd hosts {
                /// Where to listen.
                required --listen addr: SocketAddr
                /// The file that holds the list.
                required --file path: PathBuf
            }
            /// A model engine.
            cmd engine {
                /// Where to listen.
                required --listen addr: SocketAddr
                /// Decode slots.
                optional --slots count: u32
                /// Milliseconds of a decode step.
                optional --step-ms ms: u64
            }
            /// A plain service.
            cmd service {
                /// Where to listen.
                required --listen addr: SocketAddr
            }
        }
    }
}

fn engine(options: &flags::Engine) -> Arc<dyn HttpHandler> {
    let mut engine = EngineOptions::default();
    if let Some(slots) = options.slots {
        engine.slots = slots;
    }
    if let Some(step_ms) = options.step_ms {
        engine.step = std::time::Duration::from_millis(step_ms);
    }
    Arc::new(EngineFront(EngineStandin::new(engine)))
}

async fn run(
    addr: SocketAddr,
    handler: Arc<dyn HttpHandler>,
) -> aspenloft_core::errors::Result<()> {
    let listener = TcpListener::bind(addr)
        .await
        .map_err(|e| aspenloft_core::errors::unavailable(format!("{addr}: {e}")))?;
    server::serve(listener, handler).await
}

fn main() {
    env_logger::init();
    let command = flags::AspenloftStandin::from_env_or_exit().subcommand;
    let (addr, handler): (SocketAddr, Arc<dyn HttpHandler>) = match command {
        flags::AspenloftStandinCmd::Kv(f) => (f.listen, Arc::new(KvFront(Arc::default()))),
        flags::AspenloftStandinCmd::Hosts(f) => (f.listen, Arc::new(HostsFront { file: f.file })),
        flags::AspenloftStandinCmd::Engine(f) => (f.listen, engine(&f)),
        flags::AspenloftStandinCmd::Service(f) => (f.listen, Arc::new(ServiceStandin::default())),
    };
    if let Err(e) = task::block_on(run(addr, handler)) {
        eprintln!("aspenloft-standin: {e}");
        std::process::exit(1);
    }
}
