//! Case: an instance sends a second copy of a good answer right after it. The next request on that connection is already
//! on its way, and its client is served with the copy: another request's value.

use crate::agent::{Agent, Entry};
use crate::client::{Answer, Client};
use crate::common::{Case, sleep_ms};
use crate::node::{Copies, Node, Shared, value_for};
use crate::{link, settings};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RUN: Duration = Duration::from_secs(20);
/// Time one way between a router and a node; the site has 0.09 to 0.34 ms and some jitter.
const LINK_DELAY: Duration = Duration::from_micros(200);
/// Times from an answer to its copy, in turn.
const COPY_GAPS_US: [u64; 4] = [100, 200, 300, 400];
const CLIENTS_PER_ROUTER: u64 = 4;

/// Returns whether a client's request with this number is a booking.
fn is_booking(number: u64) -> bool {
    number % 16 < 3
}

pub fn play(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    let shared = Shared::new(record);
    let copies = case.trouble.then_some(Copies {
        one_in: 20,
        gaps_us: COPY_GAPS_US,
    });
    let mut nodes = Vec::new();
    let mut entries = Vec::new();
    for number in 0..5u64 {
        let node = Node::start(&format!("s-{number}"), number == 0, 50, copies, &shared)?;
        entries.push(Entry {
            name: node.name.clone(),
            address: link::start(node.address, LINK_DELAY)?,
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
    let routers = settings::start_three(case, &agent, 192)?;
    let end = Instant::now() + RUN;
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let (sent, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for (r, router) in routers.iter().enumerate() {
        for c in 0..CLIENTS_PER_ROUTER {
            let (listen, record, foreign) = (router.listen, record.clone(), foreign.clone());
            let (sent, served) = (sent.clone(), served.clone());
            threads.push(std::thread::spawn(move || {
                let mut client = None;
                let mut number = 0;
                while Instant::now() < end {
                    let Some(open) = client.as_mut() else {
                        client = Client::open(listen).ok();
                        if client.is_none() {
                            sleep_ms(20);
                        }
                        continue;
                    };
                    number += 1;
                    let id = format!("r{r}c{c}n{number}");
                    // Three requests in sixteen are bookings, as at the site; clients ask one thing after the other.
                    let statement = match is_booking(number) {
                        true => format!("/* id={id},c=book-seat,t=di-cung-ha-noi,d=5000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('k{c}', '\\x9f03') RETURNING body"),
                        false => format!("/* id={id},c=seat-count,t=di-cung-ha-noi,d=1200,cluster=2 */ SELECT body FROM objects WHERE oid = 'k{c}'"),
                    };
                    let patience = Duration::from_millis(if is_booking(number) { 5_000 } else { 1_200 });
                    sent.fetch_add(1, SeqCst);
                    let answer = open.ask(&statement, patience + Duration::from_millis(500));
                    record.line(format!("client r{r}c{c}: {id}: {}", answer.short()));
                    if let Answer::Value(value) = &answer {
                        served.fetch_add(1, SeqCst);
                        if *value != value_for(&id) {
                            foreign.lock().unwrap().push(id.clone());
                            record.line(format!("BROKEN: {id} was served with {}", answer.short()));
                        }
                    }
                    if open.ended {
                        client = None;
                    }
                }
            }));
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
    let copied: u64 = nodes.iter().map(|node| node.copied.load(SeqCst)).sum();
    let foreign = foreign.lock().unwrap();
    let bookings = foreign
        .iter()
        .filter(|id| {
            id.rsplit('n')
                .next()
                .and_then(|n| n.parse::<u64>().ok())
                .is_some_and(is_booking)
        })
        .count();
    record.say(format!(
        "{} requests, {} served, {copied} answers followed by a second copy; {} requests served with another request's value, {bookings} of them bookings",
        sent.load(SeqCst),
        served.load(SeqCst),
        foreign.len()
    ));
    if served.load(SeqCst) < 100 {
        return Err(io::Error::other("hardly anything was served"));
    }
    Ok(foreign.is_empty())
}
