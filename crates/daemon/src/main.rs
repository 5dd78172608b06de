//! `aspenloftd` is the daemon that every host of the router runs.

use std::net::SocketAddr;
use std::sync::Arc;

use aspenloft_core::clock::SystemClock;
use aspenloft_core::errors::{Result, unavailable};
use aspenloft_daemon::admin::AdminFront;
use aspenloft_daemon::callers::front::CallerFront;
use aspenloft_daemon::node::{Dispatch, Node};
use aspenloft_daemon::peers::Unpacked;
use aspenloft_daemon::refresh;
use aspenloft_daemon::settings::Settings;
use aspenloft_daemon::tasks;
use aspenloft_transport::{mesh, server};
use async_std::net::TcpListener;
use async_std::task;

mod flags {
    #![allow(missing_docs)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs one host of the router.
        cmd aspenloftd {
            /// The settings file.
            required settings: PathBuf
            /// Checks the settings and exits.
            optional --check
        }
    }
}

/// The exit code for settings that cannot be used.
const EXIT_SETTINGS: i32 = 2;

async fn bind(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.map_err(|e| unavailable(format!("{addr}: {e}")))
}

async fn run(settings: Settings) -> Result<()> {
    let node = Node::new(settings, Arc::new(SystemClock));
    let callers = bind(node.settings.callers).await?;
    let peers = bind(node.settings.peers).await?;
    let admin = bind(node.settings.admin).await?;
    refresh::start(&node);
    tasks::start(&node);
    let dispatch = Arc::new(Unpacked(Arc::new(Dispatch(node.clone()))));
    task::spawn(mesh::serve(peers, dispatch));
    task::spawn(server::serve(admin, Arc::new(AdminFront(node.clone()))));
    log::info!(event = "started", host = &*node.settings.host; "");
    server::serve(callers, Arc::new(CallerFront(node))).await
}

fn main() {
    env_logger::init();
    let flags = flags::Aspenloftd::from_env_or_exit();
    let settings = match Settings::load(&flags.settings) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            std::process::exit(EXIT_SETTINGS);
        }
    };
    if flags.check {
        println!("{}: ok", flags.settings.display());
        return;
    }
    if let Err(e) = task::block_on(run(settings)) {
        eprintln!("aspenloftd: {e}");
        std::process::exit(1);
    }
}
