//! The network between one host and the backend servers, which a test can cut.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_gateway::http::{Connector, TcpConnector};
use async_std::net::{Shutdown, TcpStream};
use async_std::task;
use async_trait::async_trait;
use parking_lot::Mutex;

/// How a host is cut off from servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// New connections are refused, open ones live on.
    Refused,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections hang, open ones are reset.
    Hanging,
}

#[derive(Default)]
struct State {
    cut: Option<Cut>,
    /// The servers that are still reached.
    spared: Vec<SocketAddr>,
    open: Vec<(SocketAddr, TcpStream)>,
    attempts: usize,
}

/// The network of one host.
#[derive(Default)]
pub struct TestNetwork {
    state: Mutex<State>,
    system: TcpConnector,
}

impl TestNetwork {
    /// Cuts the host off from all servers but `spared`.
    pub fn cut(&self, cut: Cut, spared: &[SocketAddr]) {
        let mut state = self.state.lock();
        state.cut = Some(cut);
        state.spared = spared.to_vec();
        if cut != Cut::Refused {
            for (addr, stream) in state.open.drain(..) {
                if !spared.contains(&addr) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.state.lock().cut = None;
    }

    /// Returns how many connections the host has tried to open.
    pub fn attempts(&self) -> usize {
        self.state.lock().attempts
    }
}

#[async_trait]
impl Connector for TestNetwork {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        let cut = {
            let mut state = self.state.lock();
            state.attempts += 1;
            state.cut.filter(|_| !state.spared.contains(&addr))
        };
        match cut {
            Some(Cut::Hanging) => {
                task::sleep(limit).await;
                Err(Error::new(ErrorKind::TimedOut, "cut"))
            }
            Some(_) => Err(Error::new(ErrorKind::ConnectionRefused, "cut")),
            None => {
                let stream = self.system.connect(addr, limit).await?;
                self.state.lock().open.push((addr, stream.clone()));
                Ok(stream)
            }
        }
    }
}
