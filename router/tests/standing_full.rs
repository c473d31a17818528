//! A router whose descriptors are all taken by clients that rest, and one with a crowd at its door, while discovery is down.
//! The system itself holds the program to its limit, so a descriptor more than it counts on shows as a failed call.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::rough::{Agent, Manner, Node, Says};
use plovercove_emulator::{Caller, Fate};
use serde_json::Value;
use standing_fleet::{HANGS, Start, ask, group, listing, with_status};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// The fewest descriptors that a router works with.
const DESCRIPTORS: u32 = 64;
/// Operators give a restarted router so long to be ready.
const READY: Duration = Duration::from_secs(10);
/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// A router that the system gives so many descriptors and no more.
fn limited(name: &str, agent: &Agent, entries: &[Value]) -> (Process, Folder) {
    let start = Start {
        sockets: DESCRIPTORS,
        ..Start::before(name, agent, entries)
    };
    let folder = Folder::new(name).expect("a folder");
    let file = folder
        .write("config.json", &start.config(&start.agent))
        .expect("a file");
    let command = format!("ulimit -n {DESCRIPTORS} && exec \"$0\"");
    let program = env!("CARGO_BIN_EXE_plovercove");
    let router = Process::start(Path::new("/bin/sh"), &file, |c| {
        c.args(["-c", command.as_str(), program])
    });
    (router.expect("the router starts"), folder)
}

fn replicas() -> (Vec<Node>, Vec<Value>) {
    group([Manner::Good; 3])
}

/// Greeted, and an empty query answered; none where it is told that there is no place.
fn ready(to: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(HANGS)).expect("a time-out");
    stream
        .write_all(b"\0\0\0\x11\0\x03\0\0user\0me\0\0Q\0\0\0\x05\0")
        .expect("it reads");
    let mut said = Vec::new();
    let mut some = [0; 512];
    // EmptyQueryResponse, or 53300.
    loop {
        match stream.read(&mut some) {
            Ok(0) | Err(_) => return false,
            Ok(count) => said.extend_from_slice(&some[..count]),
        }
        if said.windows(5).any(|bytes| bytes == b"I\0\0\0\x04") {
            return true;
        }
    }
}

#[test]
fn clients_that_rest_take_no_descriptor_that_discovery_nodes_or_a_newcomer_need() {
    // Danger: the list would stay as it was before discovery came back, and requests go to nodes that leave.
    let (nodes, entries) = replicas();
    let agent = Agent::start(vec![
        Says::Body(listing(42, &entries)),
        Says::Closes,
        Says::Closes,
    ])
    .expect("an agent");
    let (router, _folder) = limited("full-resting", &agent, &entries);
    let listen = router.listen();
    assert!(agent.called(2, HANGS), "the list is followed");
    // More than there are descriptors; each is served, and rests from then on.
    let mut resting: Vec<Caller> = Vec::new();
    for n in 0..2 * DESCRIPTORS {
        let mut client = Caller::new(listen);
        assert_eq!(
            ask(&mut client, &format!("a{n:x}"), "look"),
            Fate::Served,
            "client {n}: {:?}",
            router.lines()
        );
        resting.push(client);
    }
    // Discovery is back, with a node that leaves.
    let calls = agent.calls().len();
    agent.then(Says::Body(listing(
        90,
        &with_status(&entries, 2, "leaving"),
    )));
    let back = Instant::now();
    let followed = |agent: &Agent| {
        agent.calls()[calls.saturating_sub(1)..]
            .iter()
            .any(|c| c.contains("after=90"))
    };
    while !followed(&agent) {
        assert!(
            back.elapsed() < TOLD,
            "{:?}: {:?}",
            agent.calls(),
            router.lines()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    let before = nodes[2].ran().len();
    for n in 0..8 {
        assert_eq!(
            ask(&mut Caller::new(listen), &format!("b{n:x}"), "look"),
            Fate::Served,
            "newcomer {n}"
        );
    }
    assert_eq!(nodes[2].ran().len(), before, "the list is followed");
    assert_enough(&router);
}

/// Nothing that the router did has failed for want of a descriptor.
fn assert_enough(router: &Process) {
    let failed = |line: &String| line.contains("cannot accept") || line.contains("can be begun");
    let failed: Vec<String> = router.lines().into_iter().filter(failed).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

#[test]
fn with_all_places_held_on_both_sides_discovery_and_those_turned_away_find_a_descriptor() {
    // Danger: counted too narrowly, the agent's connection or an accept finds none left, and news is not heard. Writes
    // are held by the primary for as long as they are waited for, so that each takes a descriptor on both sides; three
    // times as many come as there are places, over and over.
    let (_nodes, entries) = group([Manner::HoldsWork, Manner::Good, Manner::Good]);
    let agent = Agent::start(vec![
        Says::Body(listing(42, &entries)),
        Says::Closes,
        Says::Closes,
    ])
    .expect("an agent");
    let (router, _folder) = limited("full-held", &agent, &entries);
    let listen = router.listen();
    assert!(agent.called(2, HANGS), "the list is followed");
    let over = AtomicBool::new(false);
    let refused = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for n in 0..DESCRIPTORS {
            let (over, refused) = (&over, &refused);
            scope.spawn(move || {
                for k in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let fate = ask(&mut Caller::new(listen), &format!("c{n:02x}{k:x}"), "book");
                    refused.fetch_add(usize::from(fate == Fate::Refused), Ordering::Relaxed);
                }
            });
        }
        let until = Instant::now() + HANGS;
        while refused.load(Ordering::Relaxed) == 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let calls = agent.calls().len();
        agent.then(Says::Body(listing(
            90,
            &with_status(&entries, 2, "leaving"),
        )));
        let back = Instant::now();
        let followed = || {
            agent.calls()[calls - 1..]
                .iter()
                .any(|c| c.contains("after=90"))
        };
        while !followed() && back.elapsed() < TOLD {
            std::thread::sleep(Duration::from_millis(5));
        }
        let heard = followed();
        over.store(true, Ordering::Relaxed);
        assert!(heard, "{:?}: {:?}", agent.calls(), router.lines());
    });
    assert!(refused.load(Ordering::Relaxed) > 0, "the places were out");
    assert_enough(&router);
}

#[test]
fn a_restarted_router_is_ready_though_discovery_is_down_and_a_crowd_is_at_its_door() {
    // Danger: the front takes in only routers that have answered an empty query.
    let (_nodes, entries) = replicas();
    let agent = Agent::start(vec![Says::Nothing; 8]).expect("an agent");
    let (router, _folder) = limited("full-crowd", &agent, &entries);
    let came = Instant::now();
    let mute: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(router.listen()).expect("it listens"))
        .collect();
    // One that is told that there is no place comes again, as the operators' front does.
    while !ready(router.listen()) {
        assert!(came.elapsed() < READY, "{:?}", router.lines());
    }
    assert!(came.elapsed() < READY, "ready after {:?}", came.elapsed());
    assert_eq!(
        ask(&mut Caller::new(router.listen()), "c1", "look"),
        Fate::Served
    );
    drop(mute);
}
