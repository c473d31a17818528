//! Clients that flood the router: other clients are still served in time, and memory and file descriptors stay within their
//! limits.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome};
use standing_fleet::{Start, TEST_TIMEOUT, ask, group, listing, statement};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};

const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";
/// Memory limit of the router in these tests.
const MEMORY_BYTES: usize = 64 * 1_000_000;
/// Maximum length of a client's message.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

fn start_router(name: &str, sockets: u32) -> (Process, Vec<Node>, impl Sized + use<>) {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::with_agent(name, &agent, &entries)
    }
    .run();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "the list is followed"
    );
    (router, nodes, (agent, folder))
}

fn query(text: &str) -> Vec<u8> {
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("it listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
}

/// Returns the peak memory usage of a process in bytes.
fn peak_memory(router: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.id())).expect("it runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("its peak");
    line.trim()
        .trim_end_matches(" kB")
        .parse::<usize>()
        .expect("a number")
        * 1024
}

fn descriptors(router: &Process) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", router.id()))
        .expect("it runs")
        .count()
}

/// Reads until ReadyForQuery has arrived `max_count` times, or until the close. Returns how often it arrived.
fn count_answers(mut stream: &TcpStream, max_count: usize) -> usize {
    let mut count = 0;
    while count < max_count {
        let mut header = [0; 5];
        if stream.read_exact(&mut header).is_err() {
            break;
        }
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as u64 - 4;
        std::io::copy(&mut stream.take(length), &mut std::io::sink()).expect("a body");
        count += usize::from(header[0] == b'Z');
    }
    count
}

#[test]
fn a_client_with_thousands_of_queries_does_not_delay_others() {
    // The queries of one client must not use up the turns of the event loop, the memory, or the connections to db nodes.
    const QUERY_COUNT: usize = 6_000;
    let (router, _nodes, _guard) = start_router("floods-pipeline", 512);
    let listen = router.listen();
    let mut flood = connect(listen);
    std::thread::scope(|scope| {
        let reader = flood.try_clone().expect("a second handle");
        let answer_count = scope.spawn(move || count_answers(&reader, QUERY_COUNT + 1));
        let writer = scope.spawn(|| {
            let queries =
                (0..QUERY_COUNT).flat_map(|n| query(&statement(&format!("f{n:06x}"), "look")));
            flood.write_all(&STARTUP.iter().copied().chain(queries).collect::<Vec<u8>>())
        });
        let mut others: Vec<RequestClient> = (0..4).map(|_| RequestClient::new(listen)).collect();
        let mut requests_sent = 0;
        while requests_sent < 20 || !answer_count.is_finished() {
            for (n, other) in others.iter_mut().enumerate() {
                let fate = ask(other, &format!("e{n}{requests_sent:05x}"), "look");
                assert_eq!(
                    fate,
                    RequestOutcome::Served,
                    "{requests_sent}: {:?}",
                    router.lines()
                );
            }
            requests_sent += 1;
        }
        writer
            .join()
            .expect("it writes")
            .expect("all queries are read in time");
        assert_eq!(
            answer_count.join().expect("it reads"),
            QUERY_COUNT + 1,
            "each query is answered"
        );
    });
    assert!(
        peak_memory(&router) < MEMORY_BYTES,
        "{} bytes",
        peak_memory(&router)
    );
}

#[test]
fn clients_that_never_read_or_never_complete_a_message_stay_within_the_memory_limit() {
    // Together these clients send several times the memory of the router. Half of them never complete a message of maximum
    // length; the other half send many queries and read no answers.
    let (router, _nodes, _guard) = start_router("floods-values", 512);
    let listen = router.listen();
    let mut idle = RequestClient::new(listen);
    assert_eq!(ask(&mut idle, "a1", "look"), RequestOutcome::Served);
    std::thread::scope(|scope| {
        let hoarders: Vec<_> = (0..40)
            .map(|n| {
                scope.spawn(move || {
                    let mut stream = connect(listen);
                    let incomplete_message =
                        [STARTUP, b"Q", &(MAX_MESSAGE_BYTES as u32).to_be_bytes()].concat();
                    let mut sent = if n % 2 == 0 {
                        incomplete_message
                    } else {
                        STARTUP.to_vec()
                    };
                    while sent.len() < MAX_MESSAGE_BYTES {
                        let chunk = if n % 2 == 0 {
                            vec![b' '; 4096]
                        } else {
                            query(&" ".repeat(20))
                        };
                        sent.extend_from_slice(&chunk);
                    }
                    // The router closes the connection sooner or later, so this may fail.
                    let written = stream.write_all(&sent[..MAX_MESSAGE_BYTES - 1]);
                    let mut buffer = [0; 512];
                    if n % 2 == 0 {
                        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
                    }
                    (written, stream)
                })
            })
            .collect();
        let mut requests_sent = 0;
        while requests_sent < 20 || hoarders.iter().any(|hoarder| !hoarder.is_finished()) {
            let mut newcomer = RequestClient::new(listen);
            for client in [&mut idle, &mut newcomer] {
                requests_sent += 1;
                let fate = ask(client, &format!("e{requests_sent:06x}"), "look");
                assert_eq!(
                    fate,
                    RequestOutcome::Served,
                    "{requests_sent}: {:?}",
                    router.lines()
                );
            }
        }
    });
    assert!(
        peak_memory(&router) < MEMORY_BYTES,
        "{} bytes",
        peak_memory(&router)
    );
}

#[test]
fn long_requests_are_served_beside_clients_that_stop_in_the_middle_of_long_messages() {
    // While the unfinished messages held the whole byte budget, requests over 16 KiB were closed without an answer.
    const STOPPING_CLIENTS: usize = 60;
    const SHORTEST_PART_BYTES: usize = 24 * 1024;
    const LONG_REQUEST_BYTES: usize = 96 * 1024;
    const REQUESTS: usize = 100;
    let (router, _nodes, _guard) = start_router("floods-stopped", 512);
    let listen = router.listen();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for n in 0..STOPPING_CLIENTS {
            // Their messages end at 24 KiB to 3 MiB of 4 MiB, and they come again once they have been closed.
            let mut part = [STARTUP, b"Q", &(MAX_MESSAGE_BYTES as u32).to_be_bytes()].concat();
            part.resize(SHORTEST_PART_BYTES << (n % 8), b' ');
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let mut stream = connect(listen);
                    // The router may close the connection at any time.
                    let _ = stream.write_all(&part);
                    let mut buffer = [0; 512];
                    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
                }
            });
        }
        let fates: Vec<RequestOutcome> = (0..REQUESTS)
            .map(|number| {
                let id = format!("l{number:06x}");
                let text = format!(
                    "{}{}",
                    statement(&id, "look"),
                    " ".repeat(LONG_REQUEST_BYTES)
                );
                RequestClient::new(listen).ask(&text, &id, TEST_TIMEOUT)
            })
            .collect();
        is_over.store(true, Ordering::Relaxed);
        let served = fates.iter().filter(|fate| **fate == RequestOutcome::Served);
        assert_eq!(served.count(), REQUESTS, "{fates:?}: {:?}", router.lines());
    });
    assert!(
        peak_memory(&router) < MEMORY_BYTES,
        "{} bytes",
        peak_memory(&router)
    );
}

#[test]
fn many_silent_clients_stay_within_the_descriptor_limit() {
    // Evicted clients linger, and clients beyond the limit wait for their error; both keep a descriptor meanwhile.
    const SOCKETS: u32 = 64;
    let (mut router, _nodes, _guard) = start_router("floods-crowd", SOCKETS);
    let listen = router.listen();
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..300 {
        let mut client = connect(listen);
        if n % 3 == 1 {
            let request = [STARTUP, &query(&statement(&format!("a{n:x}"), "look"))].concat();
            client.write_all(&request).expect("it reads");
            assert_eq!(count_answers(&client, 2), 2, "{n}");
        }
        crowd.push(client);
        assert!(
            descriptors(&router) <= SOCKETS as usize,
            "{} at {n}",
            descriptors(&router)
        );
    }
    assert_eq!(
        ask(&mut RequestClient::new(listen), "b1", "look"),
        RequestOutcome::Served
    );
    router.send_signal(ProcessSignal::Term);
    assert!(
        router
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
    let failed = |line: &String| line.contains("cannot accept") || line.contains("can be begun");
    assert!(!router.lines().iter().any(failed), "{:?}", router.lines());
    // The connections of idle clients were closed in good order.
    for (n, client) in crowd.iter_mut().enumerate().filter(|(n, _)| n % 3 == 1) {
        let end = client.read(&mut [0; 64]);
        assert!(matches!(end, Ok(0)), "{n}: {end:?}");
    }
}
