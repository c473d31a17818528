//! Case: bad clients stop in the middle of long statements and stay. While the router's byte budget is spent on them, it
//! closes the connections of usual clients that have sent a whole request, without an answer.

use crate::agent::{Agent, Entry};
use crate::client::{Answer, Client};
use crate::common::{Case, Random, connect, sleep_ms};
use crate::node::{Node, Shared, value_for};
use crate::{settings, wire};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

const RUN: Duration = Duration::from_secs(20);
const CLIENTS: u64 = 6;
const BAD_CLIENTS: u64 = 60;
const MEMORY_MB: u32 = 64;
/// Bytes of a bad client's statement. It stops after 16 KiB to 3.9 MB of it, at a point drawn for each try.
const BAD_STATEMENT: usize = 4_000_000;
/// Time after which a bad client comes again once it has been turned away.
const BAD_PAUSE_MS: u64 = 300;

#[derive(Default)]
struct Counts {
    sent: AtomicU64,
    served: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    closed_once: AtomicU64,
    cut: AtomicU64,
    lost: AtomicU64,
    bad: AtomicU64,
    bad_told: AtomicU64,
}

pub fn play(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    let shared = Shared::new(record);
    let mut entries = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..5u64 {
        let node = Node::start(&format!("s-{number}"), number == 0, 50, None, &shared)?;
        entries.push(Entry {
            name: node.name.clone(),
            address: node.address,
            zone: "thu-duc".into(),
            machine: "std-5c".into(),
            group: 2,
            status: "active",
            since_ms: 0,
            replication: if number == 0 { "primary" } else { "standby" },
            changed_at: 41,
        });
        nodes.push(node);
    }
    let agent = Agent::start(entries)?;
    let mut routers = settings::start_three(case, &agent, MEMORY_MB)?;
    let mut router = routers.remove(0);
    let listen = router.listen;
    let counts = Arc::new(Counts::default());
    let stop = Arc::new(AtomicBool::new(false));
    let mut bad = Vec::new();
    if case.trouble {
        for number in 0..BAD_CLIENTS {
            let (counts, stop, record) = (counts.clone(), stop.clone(), record.clone());
            bad.push(std::thread::spawn(move || {
                let statement = bad_statement(number);
                let mut random = Random(1_000 + number);
                while !stop.load(SeqCst) {
                    counts.bad.fetch_add(1, SeqCst);
                    let begun = Instant::now();
                    let part = (16 << (10 + random.below(8))) + random.below(16 * 1024) as usize;
                    let part = part.min(3_900_000);
                    let told = stop_in_the_middle(listen, &statement[..part], &stop);
                    if told.is_ok() {
                        counts.bad_told.fetch_add(1, SeqCst);
                    }
                    record.line(format!(
                        "bad client {number}, {part} bytes: {told:?} after {} ms",
                        begun.elapsed().as_millis()
                    ));
                    sleep_ms(BAD_PAUSE_MS);
                }
            }));
        }
        sleep_ms(1_000);
    }
    let end = Instant::now() + RUN;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|c| {
            let (counts, record) = (counts.clone(), record.clone());
            std::thread::spawn(move || run_client(c, listen, end, &counts, &record))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let memory =
        std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap_or_default();
    let memory = memory
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap_or("");
    record.say(format!("the router's largest memory: {memory}"));
    stop.store(true, SeqCst);
    let crashed = !router.is_running();
    drop(router);
    for client in bad {
        let _ = client.join();
    }
    let of = |count: &AtomicU64| count.load(SeqCst);
    record.say(format!(
        "{} bad clients, {} of them told or closed; usual clients: {} requests, {} served, {} refused, {} failed, {} closed without an answer and sent once more, {} of these closed again before they were written, {} closed again without an answer{}",
        of(&counts.bad), of(&counts.bad_told), of(&counts.sent), of(&counts.served), of(&counts.refused),
        of(&counts.failed), of(&counts.closed_once), of(&counts.cut), of(&counts.lost),
        if crashed { "; the router has crashed" } else { "" }
    ));
    if of(&counts.sent) < 50 {
        return Err(io::Error::other("hardly anything was sent"));
    }
    Ok(of(&counts.lost) == 0 && !crashed)
}

fn bad_statement(number: u64) -> Vec<u8> {
    let mut text = format!(
        "/* id=bad{number},c=book-seat,t=di-cung-ha-noi,d=5000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('b', '\\x"
    );
    text.extend(std::iter::repeat_n('a', BAD_STATEMENT - text.len() - 20));
    text.push_str("') RETURNING body");
    wire::query(&text)
}

/// Sends a part of a statement and stays until the router closes the connection.
fn stop_in_the_middle(router: SocketAddr, part: &[u8], stop: &AtomicBool) -> io::Result<usize> {
    let mut stream = connect(router)?;
    stream.write_all(&wire::startup())?;
    stream.set_write_timeout(Some(Duration::from_secs(1)))?;
    let sent = stream.write_all(part);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(250)));
    let mut chunk = [0; 4096];
    let mut got = 0;
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until && !stop.load(SeqCst) {
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(got),
            Ok(read) => got += read,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return Ok(got),
        }
    }
    sent.map(|()| got)
        .and(Err(io::Error::other("neither told nor closed")))
}

/// A usual client: reads and bookings, one after the other on one connection. A booking brings up to 48 KiB.
fn run_client(
    c: u64,
    router: SocketAddr,
    end: Instant,
    counts: &Counts,
    record: &crate::common::Record,
) {
    let mut random = Random(c);
    let mut client: Option<Client> = None;
    let mut number = 0;
    while Instant::now() < end {
        let Some(open) = client.as_mut() else {
            client = Client::open(router).ok();
            if client.is_none() {
                sleep_ms(20);
            }
            continue;
        };
        number += 1;
        let id = format!("c{c}n{number}");
        let (statement, patience) = if number % 2 == 0 {
            let value = "9f".repeat(16 * 1024 + random.below(32 * 1024) as usize);
            (
                format!(
                    "/* id={id},c=book-seat,t=di-cung-ha-noi,d=5000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('k{c}', '\\x{value}') RETURNING body"
                ),
                Duration::from_millis(5_500),
            )
        } else {
            (
                format!(
                    "/* id={id},c=seat-count,t=di-cung-ha-noi,d=1200,cluster=2 */ SELECT body FROM objects WHERE oid = 'k{c}'"
                ),
                Duration::from_millis(1_700),
            )
        };
        counts.sent.fetch_add(1, SeqCst);
        let mut answer = open.ask(&statement, patience);
        record.line(format!(
            "client {c}: {id}, {} bytes: {}",
            statement.len(),
            answer.short()
        ));
        if open.ended {
            client = None;
        }
        if matches!(answer, Answer::Closed(_) | Answer::Cut(_)) {
            // The close may have crossed the request: it is sent once more, on a new connection.
            counts.closed_once.fetch_add(1, SeqCst);
            match Client::open(router) {
                Ok(mut fresh) => {
                    answer = fresh.ask(&statement, patience);
                    record.line(format!(
                        "client {c}: {id} once more on a new connection: {}",
                        answer.short()
                    ));
                    if !fresh.ended {
                        client = Some(fresh);
                    }
                }
                Err(e) => {
                    record.line(format!("client {c}: no new connection for {id}: {e}"));
                    answer = Answer::Error("not let in".into());
                }
            }
        }
        match &answer {
            Answer::Value(value) if *value == value_for(&id) => counts.served.fetch_add(1, SeqCst),
            Answer::Error(code) if code == "53300" || code == "57P03" => {
                counts.refused.fetch_add(1, SeqCst)
            }
            Answer::Error(_) => counts.failed.fetch_add(1, SeqCst),
            Answer::Cut(_) => counts.cut.fetch_add(1, SeqCst),
            other => {
                record.line(format!("BROKEN: {id} has no answer: {}", other.short()));
                counts.lost.fetch_add(1, SeqCst)
            }
        };
        sleep_ms(50);
    }
}
