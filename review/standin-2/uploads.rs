//! Many long bodies in chunks at the same time.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::store::Store;
use crate::world::{
    HOST, Kind, MEMORY_MB, Node, Record, Replica, Request, SIGKILL, free_ports, send_and_keep,
    send_on, wait_ready, work_dir,
};

const UPLOADS: usize = 20;
const KEPT: usize = 6;
const BODY_BYTES: usize = 4 * 1024 * 1024 - 4096;
const CHUNK_BYTES: usize = 64 * 1024;

pub fn run(record: &Record, trouble: bool) -> std::io::Result<bool> {
    let dir = work_dir("uploads")?;
    let store = Store::start("127.0.0.1:0")?;
    store.put("op/config", r#"{"version":7,"routes":[{"name":"r-book","host":"ficu95.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":14000,"target_latency_ms":1000,"priority":2,"service":"trailapp","max_attempts":1}],"services":[{"name":"trailapp","health_path":"/health","max_connections":96}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let work = Kind::Plain(Duration::from_millis(400));
    let replica = Replica::start(record, "i-app0", "trailapp", "lhr-a", "v1", work, "\n")?;
    store.put("servers/i-app0", &replica.entry(6, "ready"));
    let ips = vec!["127.0.33.1".to_string()];
    let ports = free_ports(&ips);
    let nodes = Arc::new(vec![Node::start(&dir, 1, &ips[0], "lhr-a", ports, &ips, &store)?]);
    if !wait_ready(&nodes) {
        return Err(std::io::Error::other("the host is not ready"));
    }
    thread::sleep(Duration::from_millis(3_500));
    let killed = Arc::new(AtomicBool::new(false));
    // The platform kills a process that exceeds its memory.
    let (watched, killer, seen) = (nodes.clone(), killed.clone(), record.clone());
    thread::spawn(move || {
        while let Some((resident, peak)) = watched[0].memory_mb() {
            if resident > MEMORY_MB as f64 {
                seen.line(&format!("{resident:.0} MB resident, peak {peak:.0}: killed"));
                killer.store(true, Ordering::SeqCst);
                watched[0].signal(SIGKILL);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
    });
    // Clients on connections that have served a call already.
    let mut kept = Vec::new();
    for index in 0..KEPT {
        let (answer, stream) =
            send_and_keep(record, nodes[0].front, &nodes[0].name, &call(index, "first"));
        let stream = stream.filter(|_| answer.complete);
        kept.push(stream.ok_or_else(|| std::io::Error::other("a call was not answered"))?);
    }
    let kept: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(index, stream)| {
            let record = record.clone();
            thread::spawn(move || {
                let req = call(index, "next");
                let (answer, _) = send_on(&record, || Ok(stream), "the host", &req);
                (req.id, answer.complete)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(50));
    let mut clients = Vec::new();
    for index in 0..UPLOADS {
        let (record, addr) = (record.clone(), nodes[0].front);
        let client = thread::spawn(move || {
            let ended = upload(addr, index);
            record.line(&format!("upload {index}: {ended:?}"));
        });
        if trouble {
            clients.push(client);
        } else {
            let _ = client.join();
        }
    }
    for client in clients {
        let _ = client.join();
    }
    if let Some((_, peak)) = nodes[0].memory_mb() {
        record.line(&format!("the host's memory peaked at {peak:.0} MB"));
    }
    let runs = record.runs();
    let mut lost = 0;
    for client in kept {
        let (id, complete) =
            client.join().map_err(|_| std::io::Error::other("a client has failed"))?;
        lost += usize::from(!complete && runs.contains(&id));
    }
    record.line(&format!(
        "{lost} calls on kept connections were passed on to a replica and never answered"
    ));
    Ok(killed.load(Ordering::SeqCst) && lost > 3)
}

fn call(index: usize, what: &str) -> Request {
    Request {
        id: format!("{what}{index}"),
        method: "POST",
        path: format!("/book/{index}"),
        headers: Vec::new(),
        body: b"a slot".to_vec(),
        deadline_ms: 2_500,
    }
}

fn upload(addr: SocketAddr, index: usize) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(14)))?;
    let head = format!(
        "POST /book/{index} HTTP/1.1\r\nHost: {HOST}\r\nX-Aspenloft-Attempt-Id: {index:016x}\r\nX-Aspenloft-Deadline-Ms: 14000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'x'; CHUNK_BYTES];
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        http::write_chunk(&mut stream, &chunk)?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    let head = http::read_head(&mut BufReader::new(stream))?;
    Ok(head.map_or(0, |head| head.status()))
}
