//! Case: bad clients send long statements and go. The router holds the statements until the nodes have answered them,
//! though it has given their bytes back to its budget. It needs more memory than its limit, and the platform kills it.

use crate::agent::{Agent, Entry};
use crate::client::{Answer, Client};
use crate::common::{Case, connect, sleep_ms};
use crate::node::{Node, Shared, value_for};
use crate::{settings, wire};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

const RUN: Duration = Duration::from_secs(20);
/// The routers' limit on memory.
const MEMORY_MB: u64 = 64;
const USUAL_CLIENTS: u64 = 4;
const BAD_CLIENTS: u64 = 15;
/// Bytes of a bad client's statement.
const STATEMENT: usize = 3_900_000;
/// Time from the statement until the bad client goes.
const STAYS_MS: u64 = 50;

/// Returns the private memory of a process in KiB: what it has itself allocated and touched, without its program file.
fn memory_of(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
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
    let mut routers = settings::start_three(case, &agent, MEMORY_MB as u32)?;
    let mut router = routers.remove(0);
    let listen = router.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let (bad_sent, answered, unanswered) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
    );
    let mut threads = Vec::new();
    for c in 0..USUAL_CLIENTS {
        let (stop, record) = (stop.clone(), record.clone());
        let (answered, unanswered) = (answered.clone(), unanswered.clone());
        threads.push(std::thread::spawn(move || {
            usual_client(c, listen, &stop, &record, &answered, &unanswered);
        }));
    }
    sleep_ms(500);
    if case.trouble {
        for number in 0..BAD_CLIENTS {
            let (stop, bad_sent) = (stop.clone(), bad_sent.clone());
            threads.push(std::thread::spawn(move || {
                let mut round = 0;
                while !stop.load(SeqCst) {
                    round += 1;
                    let _ = bad_client(listen, number, round, &stop, &bad_sent);
                    sleep_ms(100);
                }
            }));
        }
    }
    let end = Instant::now() + RUN;
    let (mut largest, mut noted) = (0, 0);
    let mut killed = false;
    while Instant::now() < end && !killed {
        let private = memory_of(router.child.id());
        largest = largest.max(private);
        if private > noted + 1_024 {
            noted = private;
            record.line(format!("router n0: {private} KiB of private memory"));
        }
        if private > MEMORY_MB * 1_024 {
            killed = true;
            record.line(format!("BROKEN: router n0 has {private} KiB of private memory, over memory_mb = {MEMORY_MB}: the platform kills it"));
            router.child.kill()?;
        }
        sleep_ms(2);
    }
    let ended = !killed && !router.is_running();
    stop.store(true, SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(router);
    let of = |count: &AtomicU64| count.load(SeqCst);
    record.say(format!(
        "{} statements of bad clients; usual clients: {} requests answered, {} not; largest private memory {largest} KiB, limit {} KiB{}{}",
        of(&bad_sent), of(&answered), of(&unanswered), MEMORY_MB * 1_024,
        if killed { "; killed for memory" } else { "" },
        if ended { "; ended by itself" } else { "" },
    ));
    Ok(!killed && !ended)
}

fn bad_client(
    router: SocketAddr,
    number: u64,
    round: u64,
    stop: &AtomicBool,
    sent: &AtomicU64,
) -> io::Result<()> {
    let mut stream = connect(router)?;
    stream.set_write_timeout(Some(Duration::from_secs(2)))?;
    stream.set_read_timeout(Some(Duration::from_millis(STAYS_MS)))?;
    stream.write_all(&wire::startup())?;
    let mut text = format!(
        "/* id=bad{number}r{round},c=month-report,t=di-cung-ha-noi,d=6000,cluster=2 */ SELECT body FROM objects WHERE oid = '"
    );
    text.extend(std::iter::repeat_n('a', STATEMENT - text.len() - 1));
    text.push('\'');
    stream.write_all(&wire::query(&text))?;
    sent.fetch_add(1, SeqCst);
    let until = Instant::now() + Duration::from_millis(STAYS_MS);
    let mut chunk = [0; 4096];
    while Instant::now() < until && !stop.load(SeqCst) {
        match stream.read(&mut chunk) {
            Ok(0) => break,
            Err(e)
                if !matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                break;
            }
            _ => {}
        }
    }
    Ok(())
}

fn usual_client(
    c: u64,
    router: SocketAddr,
    stop: &AtomicBool,
    record: &crate::common::Record,
    answered: &AtomicU64,
    unanswered: &AtomicU64,
) {
    let mut client: Option<Client> = None;
    let mut number = 0;
    while !stop.load(SeqCst) {
        let Some(open) = client.as_mut() else {
            client = Client::open(router).ok();
            if client.is_none() {
                sleep_ms(20);
            }
            continue;
        };
        number += 1;
        let id = format!("c{c}n{number}");
        let statement = format!(
            "/* id={id},c=seat-count,t=xe-chung-sai-gon,d=1200,cluster=2 */ SELECT body FROM objects WHERE oid = 'k{c}'"
        );
        let answer = open.ask(&statement, Duration::from_millis(1_700));
        record.line(format!("client {c}: {id}: {}", answer.short()));
        match answer {
            Answer::Value(value) if value == value_for(&id) => answered.fetch_add(1, SeqCst),
            Answer::Error(_) => answered.fetch_add(1, SeqCst),
            _ => unanswered.fetch_add(1, SeqCst),
        };
        if open.ended {
            client = None;
        }
        sleep_ms(30);
    }
}
