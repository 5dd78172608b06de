//! `aspenloft` is the operators' command-line tool; see `docs/CLI.md`.

use std::net::SocketAddr;

use aspenloft_core::errors::Result;
use aspenloft_protocol::admin::{HostStatus, paths};
use aspenloft_transport::http;
use async_std::task;
use http_types::Method;
use std::time::Duration;

mod order;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Operates a deployment of aspenloft over its administration API.
        cmd aspenloft {
            /// The administration address of any host.
            required --host addr: SocketAddr
            /// Shows a host, its peers, its homes and its table version.
            cmd status {
            }
            /// Gives a model engine an order: one of load, unload, or a new role.
            cmd order {
                /// The backend server.
                required backend: String
                /// Loads this model, adapter or version.
                optional --load name: String
                /// Unloads it.
                optional --unload name: String
                /// Changes the role: prefill or decode.
                optional --role role: String
            }
        }
    }
}

/// The longest wait for an answer of the host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

async fn status(host: SocketAddr) -> Result<HostStatus> {
    let req = http::request(Method::Get, host, paths::STATUS, Vec::new())?;
    let mut response = http::send(host, req, ANSWER_TIMEOUT).await?;
    http::read_json(&mut response, host).await
}

fn pretty(body: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default()
}

fn main() {
    let flags = flags::Aspenloft::from_env_or_exit();
    let answered = match &flags.subcommand {
        flags::AspenloftCmd::Status(_) => task::block_on(status(flags.host)).map(|s| pretty(&s)),
        flags::AspenloftCmd::Order(f) => {
            task::block_on(order::give(flags.host, f)).map(|r| pretty(&r))
        }
    };
    match answered {
        Ok(text) => println!("{text}"),
        Err(e) => {
            eprintln!("aspenloft: {e}");
            std::process::exit(1);
        }
    }
}
