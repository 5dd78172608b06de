//! Tests that a host which has no descriptors left blames neither its path nor servers.

mod common;

use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::SystemClock;
use aspenloft_core::prelude::{Position, SharedClock};
use aspenloft_gateway::path::PathMonitor;
use aspenloft_gateway::reach::{ReachProbe, Reachability};
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::view::{Keep, ServerChange, UpdateSource, View};
use aspenloft_transport::connector::{Connector, TcpConnector};
use async_std::net::TcpStream;
use async_std::task;
use async_trait::async_trait;
use common::{entry, free_addr, wait_for};
use rustix::io::Errno;

const LIMIT: Duration = Duration::from_millis(300);

/// A connector that fails for some addresses, for lack of descriptors or as a server that is
/// down.
struct Short {
    addrs: Vec<SocketAddr>,
    is_shortage: bool,
}

#[async_trait]
impl Connector for Short {
    async fn connect(&self, addr: SocketAddr, limit: Duration) -> Result<TcpStream> {
        match self.addrs.contains(&addr) {
            true if self.is_shortage => Err(Errno::MFILE.into()),
            true => Err(Error::from(ErrorKind::ConnectionRefused)),
            false => TcpConnector::default().connect(addr, limit).await,
        }
    }
}

/// Another server counted as crashed, because a connection to one had failed here for lack of
/// descriptors and the next one had not.
#[test]
fn a_server_counts_as_unreachable_for_lack_of_descriptors() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let live = listener.local_addr().expect("address");
    let short = free_addr();
    for (is_shortage, expected) in [(true, Reachability::Unknown), (false, Reachability::Unreached)]
    {
        let view = Arc::<View>::default();
        let clock: SharedClock = Arc::new(SystemClock);
        let servers = [entry("s1", short, Plain), entry("s2", live, Plain)];
        let listed = servers.into_iter().map(ServerChange::Listed).collect();
        let (position, now) = (Position::default(), clock.now());
        view.replace_servers(listed, position, UpdateSource::Snapshot, &Keep::Nothing, now);
        let connector = Arc::new(Short { addrs: vec![short], is_shortage });
        let reach = ReachProbe::new(connector, view.clone(), clock);
        let key = view.roster().get("s1").expect("a server").key;
        assert_eq!(task::block_on(reach.check(key)), expected);
        assert_eq!(task::block_on(reach.connects(short)), (!is_shortage).then_some(false));
    }
    drop(listener);
}

/// A host without descriptors counted as cut off from all servers, and had others serve its
/// callers.
#[test]
fn a_host_without_descriptors_counts_as_cut_off() {
    for is_shortage in [true, false] {
        let addrs: Vec<SocketAddr> = (0..8).map(|_| free_addr()).collect();
        let clock: SharedClock = Arc::new(SystemClock);
        let connector = Arc::new(Short { addrs: addrs.clone(), is_shortage });
        let reach = ReachProbe::new(connector.clone(), Arc::default(), clock.clone());
        let path = PathMonitor::new(connector, reach, clock.clone());
        for addr in &addrs {
            assert!(task::block_on(path.connect(*addr, LIMIT)).is_err());
        }
        match is_shortage {
            true => assert!(!path.is_suspect(clock.now()) && !path.is_cut()),
            false => wait_for("the path to be cut", || path.is_cut()),
        }
    }
}
