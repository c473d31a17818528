//! Clients that send more than anyone can take: the others are served in their time, and memory and descriptors stay in
//! bounds.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::process::{Blow, Process};
use plovercove_emulator::rough::{Agent, Manner, Node, Says};
use plovercove_emulator::{Caller, Fate};
use standing_fleet::{HANGS, Start, ask, group, listing, statement};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";
/// The memory that the router is given in these tests (bytes).
const MEMORY: usize = 64 * 1_000_000;
/// The longest message of a client.
const LONGEST: usize = 4 * 1024 * 1024;

fn served(name: &str, sockets: u32) -> (Process, Vec<Node>, impl Sized + use<>) {
    let (nodes, entries) = group([Manner::Good; 3]);
    let agent = Agent::start(vec![Says::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::before(name, &agent, &entries)
    }
    .run();
    assert!(agent.called(2, HANGS), "the list is followed");
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

fn dial(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("it listens");
    stream.set_read_timeout(Some(HANGS)).expect("a time-out");
    stream
}

/// The most memory that a process has taken so far (bytes).
fn peak(router: &Process) -> usize {
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

/// How many times `ReadyForQuery` came, up to this many or the end.
fn answers(mut stream: &TcpStream, most: usize) -> usize {
    let mut count = 0;
    while count < most {
        let mut head = [0; 5];
        if stream.read_exact(&mut head).is_err() {
            break;
        }
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as u64 - 4;
        std::io::copy(&mut stream.take(length), &mut std::io::sink()).expect("a body");
        count += usize::from(head[0] == b'Z');
    }
    count
}

#[test]
fn one_client_with_thousands_of_queries_keeps_no_other_waiting() {
    // Danger: its queries fill the turn, the memory, or the db nodes' connections.
    const MANY: usize = 6_000;
    let (router, _nodes, _kept) = served("floods-pipeline", 512);
    let listen = router.listen();
    let mut flood = dial(listen);
    std::thread::scope(|scope| {
        let reads = flood.try_clone().expect("a second handle");
        let answered = scope.spawn(move || answers(&reads, MANY + 1));
        let writes = scope.spawn(|| {
            let queries = (0..MANY).flat_map(|n| query(&statement(&format!("f{n:06x}"), "look")));
            flood.write_all(&STARTUP.iter().copied().chain(queries).collect::<Vec<u8>>())
        });
        let mut others: Vec<Caller> = (0..4).map(|_| Caller::new(listen)).collect();
        let mut asked = 0;
        while asked < 20 || !answered.is_finished() {
            for (n, other) in others.iter_mut().enumerate() {
                let fate = ask(other, &format!("e{n}{asked:05x}"), "look");
                assert_eq!(fate, Fate::Served, "{asked}: {:?}", router.lines());
            }
            asked += 1;
        }
        writes
            .join()
            .expect("it writes")
            .expect("all of it is taken in time");
        assert_eq!(
            answered.join().expect("it reads"),
            MANY + 1,
            "each has its answer"
        );
    });
    assert!(peak(&router) < MEMORY, "{} bytes", peak(&router));
}

#[test]
fn clients_that_never_read_or_never_end_a_long_message_take_no_more_than_there_is() {
    // Danger: together they send several times the memory that there is. Half hold a message of the longest kind open,
    // half ask for much and read none of it.
    let (router, _nodes, _kept) = served("floods-values", 512);
    let listen = router.listen();
    let mut idle = Caller::new(listen);
    assert_eq!(ask(&mut idle, "a1", "look"), Fate::Served);
    std::thread::scope(|scope| {
        let hoards: Vec<_> = (0..40)
            .map(|n| {
                scope.spawn(move || {
                    let mut stream = dial(listen);
                    let half = [STARTUP, b"Q", &(LONGEST as u32).to_be_bytes()].concat();
                    let mut all = if n % 2 == 0 { half } else { STARTUP.to_vec() };
                    while all.len() < LONGEST {
                        let more = if n % 2 == 0 {
                            vec![b' '; 4096]
                        } else {
                            query(&" ".repeat(20))
                        };
                        all.extend_from_slice(&more);
                    }
                    // It is closed for that, sooner or later.
                    let written = stream.write_all(&all[..LONGEST - 1]);
                    let mut some = [0; 512];
                    if n % 2 == 0 {
                        while stream.read(&mut some).is_ok_and(|count| count > 0) {}
                    }
                    (written, stream)
                })
            })
            .collect();
        let mut asked = 0;
        while asked < 20 || hoards.iter().any(|hoard| !hoard.is_finished()) {
            let mut newcomer = Caller::new(listen);
            for client in [&mut idle, &mut newcomer] {
                asked += 1;
                let fate = ask(client, &format!("e{asked:06x}"), "look");
                assert_eq!(fate, Fate::Served, "{asked}: {:?}", router.lines());
            }
        }
    });
    assert!(peak(&router) < MEMORY, "{} bytes", peak(&router));
}

#[test]
fn a_crowd_of_mute_clients_takes_no_descriptor_too_many() {
    // Danger: those that give up their place are heard out, and those beyond the limit wait to be told; both take one.
    const SOCKETS: u32 = 64;
    let (mut router, _nodes, _kept) = served("floods-crowd", SOCKETS);
    let listen = router.listen();
    let mut crowd: Vec<TcpStream> = Vec::new();
    for n in 0..300 {
        let mut client = dial(listen);
        if n % 3 == 1 {
            let asks = [STARTUP, &query(&statement(&format!("a{n:x}"), "look"))].concat();
            client.write_all(&asks).expect("it reads");
            assert_eq!(answers(&client, 2), 2, "{n}");
        }
        crowd.push(client);
        assert!(
            descriptors(&router) <= SOCKETS as usize,
            "{} at {n}",
            descriptors(&router)
        );
    }
    assert_eq!(ask(&mut Caller::new(listen), "b1", "look"), Fate::Served);
    router.strike(Blow::Term);
    assert!(router.ended(HANGS).is_some_and(|status| status.success()));
    let failed = |line: &String| line.contains("cannot accept") || line.contains("can be begun");
    assert!(!router.lines().iter().any(failed), "{:?}", router.lines());
    // Those who rested were ended in good order.
    for (n, client) in crowd.iter_mut().enumerate().filter(|(n, _)| n % 3 == 1) {
        let end = client.read(&mut [0; 64]);
        assert!(matches!(end, Ok(0)), "{n}: {end:?}");
    }
}
