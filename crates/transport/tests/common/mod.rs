//! The `common` module holds a relay that swallows what goes over the connections
//! it has, while new ones work or not.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use parking_lot::Mutex;

/// `Relay` passes bytes on to one address.
pub struct Relay {
    pub addr: SocketAddr,
    /// Connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    lines: Arc<Mutex<Vec<Arc<AtomicBool>>>>,
    swallow_new: Arc<AtomicBool>,
}

impl Relay {
    pub async fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let relay = Relay {
            addr: listener.local_addr().expect("an address"),
            accepted: Arc::default(),
            lines: Arc::default(),
            swallow_new: Arc::default(),
        };
        let (accepted, lines) = (relay.accepted.clone(), relay.lines.clone());
        let swallow_new = relay.swallow_new.clone();
        task::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::SeqCst);
                let silent = Arc::new(AtomicBool::new(swallow_new.load(Ordering::SeqCst)));
                lines.lock().push(silent.clone());
                let far = TcpStream::connect(to).await.expect("the far side listens");
                task::spawn(copy(near.clone(), far.clone(), silent.clone()));
                task::spawn(copy(far, near, silent));
            }
        });
        relay
    }

    /// Makes all present connections silent for good.
    pub fn silence(&self) {
        for line in &*self.lines.lock() {
            line.store(true, Ordering::SeqCst);
        }
    }

    /// Makes connections that come later silent too, or not.
    pub fn silence_new(&self, silent: bool) {
        self.swallow_new.store(silent, Ordering::SeqCst);
    }
}

/// Copies bytes one way. A silent line reads on and passes nothing on, not even its
/// end, as when something between the two ends has lost track of them.
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
