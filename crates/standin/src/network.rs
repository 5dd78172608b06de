//! The `network` module is a test double of the network between one host and the backend
//! servers, or the other hosts. A test can cut it, for that host alone, and have the
//! connections that are open go silent.

use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_transport::connector::{Connector, TcpConnector};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use async_trait::async_trait;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use socket2::SockRef;

/// How a host is cut off from servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// New connections are refused, open ones live on.
    Refused,
    /// New connections are refused, open ones are reset.
    Reset,
    /// New connections hang, and so do open ones.
    Hanging,
}

/// How long a silent connection is kept.
const SILENT_TIME: Duration = Duration::from_secs(60);

/// How often an open connection looks for a cut.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `NetworkFaults` holds the injected faults; the default injects none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkFaults {
    /// How the host is cut off.
    pub cut: Option<Cut>,
    /// The servers that are still reached.
    pub spared: Vec<SocketAddr>,
    /// How often the open connections to other hosts have gone silent for good.
    pub peer_silences: u64,
}

impl NetworkFaults {
    /// Returns how the host is cut off from the server at `addr`.
    fn cut_of(&self, addr: SocketAddr) -> Option<Cut> {
        self.cut.filter(|_| !self.spared.contains(&addr))
    }
}

/// `FaultyNetwork` opens the connections of one host to backend servers.
#[derive(Debug, Default)]
pub struct FaultyNetwork {
    faults: Arc<Mutex<NetworkFaults>>,
    /// Whether connections go through a relay, so that a cut concerns open ones too.
    relayed: AtomicBool,
    attempts: AtomicUsize,
    /// How often the open connections have gone silent for good.
    silences: Arc<AtomicU64>,
    system: TcpConnector,
}

impl FaultyNetwork {
    /// Has connections that are opened from now on hang or reset by a cut.
    pub fn relay_connections(&self) {
        self.relayed.store(true, Ordering::SeqCst);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: NetworkFaults) {
        *self.faults.lock() = faults;
    }

    /// Cuts the host off from all servers but `spared`.
    pub fn cut(&self, cut: Cut, spared: &[SocketAddr]) {
        self.set_faults(NetworkFaults {
            cut: Some(cut),
            spared: spared.to_vec(),
            ..NetworkFaults::default()
        });
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.set_faults(NetworkFaults::default());
    }

    /// Has the relayed connections that are open go silent for good, the `count`th time. New
    /// ones work.
    pub fn silence_open(&self, count: u64) {
        self.silences.store(count, Ordering::SeqCst);
    }

    /// Returns how many connections the host has tried to open.
    pub fn attempts(&self) -> usize {
        self.attempts.load(Ordering::SeqCst)
    }
}

/// Has both ends see a reset, which is no end of a response.
fn reset(streams: &[TcpStream]) {
    for stream in streams {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        let _ = stream.shutdown(Shutdown::Read);
    }
}

/// What a relayed connection is subject to.
#[derive(Clone)]
struct RelayState {
    faults: Arc<Mutex<NetworkFaults>>,
    addr: SocketAddr,
    silences: Arc<AtomicU64>,
    /// How often connections had gone silent when this one was opened.
    opened_after: u64,
}

/// Copies bytes until the connection ends, is reset by a cut or goes silent.
async fn copy(relay: RelayState, from: TcpStream, to: TcpStream) {
    let RelayState { faults, addr, silences, opened_after } = relay;
    let (mut reader, mut writer) = (from.clone(), to.clone());
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = async_std::future::timeout(POLL_INTERVAL, reader.read(&mut buf)).await;
        if silences.load(Ordering::SeqCst) > opened_after {
            // Neither end hears that the other one closes the connection.
            task::sleep(SILENT_TIME).await;
            return;
        }
        let mut cut = faults.lock().cut_of(addr);
        if cut == Some(Cut::Reset) {
            reset(&[from, to]);
            return;
        }
        let Ok(read) = read else { continue };
        while cut == Some(Cut::Hanging) {
            task::sleep(POLL_INTERVAL).await;
            cut = faults.lock().cut_of(addr);
        }
        match read {
            Ok(length) if length > 0 => {
                if writer.write_all(&buf[..length]).await.is_err() {
                    reset(&[from, to]);
                    return;
                }
            }
            Ok(_) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => {
                reset(&[from, to]);
                return;
            }
        }
    }
}

#[async_trait]
impl Connector for FaultyNetwork {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        self.attempts.fetch_add(1, Ordering::SeqCst);
        let cut = self.faults.lock().cut_of(addr);
        match cut {
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
        let state = RelayState {
            faults: self.faults.clone(),
            addr,
            silences: self.silences.clone(),
            opened_after: self.silences.load(Ordering::SeqCst),
        };
        task::spawn(copy(state.clone(), relay.clone(), server.clone()));
        task::spawn(copy(state, server, relay));
        Ok(host)
    }
}
