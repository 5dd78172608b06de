//! The `common` module implements a relay that can discard all data on its connections,
//! while new connections either work or do not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use parking_lot::Mutex;

/// `Relay` forwards connections to one address.
pub struct Relay {
    pub addr: SocketAddr,
    /// The number of connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    connections: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    new_silent: Arc<AtomicBool>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay {
            addr: listener.local_addr().expect("an address"),
            accepted: Arc::default(),
            connections: Arc::default(),
            new_silent: Arc::default(),
        };
        let (accepted, connections) = (relay.accepted.clone(), relay.connections.clone());
        let new_silent = relay.new_silent.clone();
        task::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                let silent = Arc::new(AtomicBool::new(new_silent.load(Ordering::SeqCst)));
                connections.lock().push(silent.clone());
                let server = TcpStream::connect(to).await.expect("the server listens");
                task::spawn(copy(client.clone(), server.clone(), silent.clone()));
                task::spawn(copy(server, client, silent));
            }
        });
        relay
    }

    /// Makes all current connections silent permanently.
    pub fn silence(&self) {
        for silent in &*self.connections.lock() {
            silent.store(true, Ordering::SeqCst);
        }
    }

    /// Sets whether connections opened from now on are silent.
    pub fn silence_new(&self, silent: bool) {
        self.new_silent.store(silent, Ordering::SeqCst);
    }
}

/// Copies bytes in one direction. A silent connection is still read but forwards nothing,
/// not even its end, as if a device between the two ends had lost its state.
async fn copy(mut from: TcpStream, mut to: TcpStream, silent: Arc<AtomicBool>) {
    let mut buf = vec![0_u8; 16 * 1024];
    loop {
        let n = from.read(&mut buf).await.unwrap_or(0);
        if silent.load(Ordering::SeqCst) {
            if n == 0 {
                return std::future::pending().await;
            }
            continue;
        }
        if n == 0 || to.write_all(&buf[..n]).await.is_err() {
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
