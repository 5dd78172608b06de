//! The network between one host and the backend servers, which a test can cut.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_gateway::http::{Connector, TcpConnector};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
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
    /// New connections hang, and so do open ones.
    Hanging,
}

/// How often an open connection looks for a cut.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct CutState {
    cut: Option<Cut>,
    /// The servers that are still reached.
    spared: Vec<SocketAddr>,
}

/// The network of one host.
#[derive(Default)]
pub struct TestNetwork {
    state: Arc<Mutex<CutState>>,
    /// Whether connections go through a relay, so that a cut concerns open ones too.
    relayed: AtomicBool,
    attempts: AtomicUsize,
    system: TcpConnector,
}

impl TestNetwork {
    /// Has connections that are opened from now on hang or reset by a cut.
    pub fn relay_connections(&self) {
        self.relayed.store(true, Ordering::SeqCst);
    }

    /// Cuts the host off from all servers but `spared`.
    pub fn cut(&self, cut: Cut, spared: &[SocketAddr]) {
        *self.state.lock() = CutState { cut: Some(cut), spared: spared.to_vec() };
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.state.lock().cut = None;
    }

    /// Returns how many connections the host has tried to open.
    pub fn attempts(&self) -> usize {
        self.attempts.load(Ordering::SeqCst)
    }
}

fn cut_of(state: &Mutex<CutState>, addr: SocketAddr) -> Option<Cut> {
    let state = state.lock();
    state.cut.filter(|_| !state.spared.contains(&addr))
}

/// Copies bytes until the connection ends or is reset by a cut.
async fn copy(state: Arc<Mutex<CutState>>, addr: SocketAddr, from: TcpStream, to: TcpStream) {
    let (mut reader, mut writer) = (from.clone(), to.clone());
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = async_std::future::timeout(POLL_INTERVAL, reader.read(&mut buf)).await;
        let mut cut = cut_of(&state, addr);
        if cut == Some(Cut::Reset) {
            let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
            return;
        }
        let Ok(read) = read else { continue };
        while cut == Some(Cut::Hanging) {
            task::sleep(POLL_INTERVAL).await;
            cut = cut_of(&state, addr);
        }
        match read {
            Ok(length) if length > 0 => {
                if writer.write_all(&buf[..length]).await.is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

#[async_trait]
impl Connector for TestNetwork {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        self.attempts.fetch_add(1, Ordering::SeqCst);
        match cut_of(&self.state, addr) {
            Some(Cut::Hanging) => {
                task::sleep(limit).await;
                return Err(Error::new(ErrorKind::TimedOut, "cut"));
            }
            Some(_) => return Err(Error::new(ErrorKind::ConnectionRefused, "cut")),
            None => {}
        }
        let server = self.system.connect(addr, limit).await?;
        if !self.relayed.load(Ordering::SeqCst) {
            return Ok(server);
        }
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let host = TcpStream::connect(listener.local_addr()?).await?;
        let (relay, _) = listener.accept().await?;
        let _ = (host.set_nodelay(true), relay.set_nodelay(true));
        task::spawn(copy(self.state.clone(), addr, relay.clone(), server.clone()));
        task::spawn(copy(self.state.clone(), addr, server, relay));
        Ok(host)
    }
}
