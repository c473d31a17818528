//! Hundreds of clients that hold or trickle long messages, and single clients that send at full speed, beside usual ones: the memory
//! stays within its limit, and the usual clients are served in time.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use standing_fleet::{Start, TEST_TIMEOUT, ask, group, listing, statement};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";
/// Memory limit of the router in these tests.
const MEMORY_BYTES: usize = 64 * 1_000_000;
/// The time within which the class's answers are wanted.
const WANTED: Duration = Duration::from_millis(400);
/// Clients that are connected at once.
const CROWD: usize = 400;
/// Duration of an attack.
const ATTACK: Duration = Duration::from_secs(2);
/// Descriptors of the router; half of them are for clients.
const SOCKETS: u32 = 1_024;

/// Number of usual requests so far; each has an id of its own.
static USUAL_REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// Only one attack is played at a time, so that the waits are due to it alone.
static ATTACKS: Mutex<()> = Mutex::new(());

struct Fleet {
    router: Process,
    nodes: Vec<Node>,
    _agent: Agent,
    _folder: Folder,
}

fn start_fleet(name: &str) -> Fleet {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets: SOCKETS,
        ..Start::with_agent(name, &agent, &entries)
    }
    .run();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "the list is followed"
    );
    Fleet {
        router,
        nodes,
        _agent: agent,
        _folder: folder,
    }
}

fn peak_memory(router: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", router.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak_kib = peak.expect("its peak").trim().trim_end_matches(" kB");
    peak_kib.parse::<usize>().expect("a number") * 1024
}

/// Asks one request after the other on a kept and on a new connection, until the attack is over. Returns the longest wait.
fn usual_requests(listen: SocketAddr, is_over: &AtomicBool) -> Duration {
    let mut kept = RequestClient::new(listen);
    let mut longest = Duration::ZERO;
    let first = USUAL_REQUESTS.load(Ordering::Relaxed);
    while !is_over.load(Ordering::Relaxed) {
        let mut new = RequestClient::new(listen);
        for client in [&mut kept, &mut new] {
            let number = USUAL_REQUESTS.fetch_add(1, Ordering::Relaxed);
            let asked_at = Instant::now();
            let fate = ask(client, &format!("usual{number:06x}"), "look");
            longest = longest.max(asked_at.elapsed());
            assert_eq!(
                fate,
                RequestOutcome::Served,
                "request {number} after {:?}",
                asked_at.elapsed()
            );
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let asked = USUAL_REQUESTS.load(Ordering::Relaxed) - first;
    assert!(asked >= 20, "{asked} requests");
    longest
}

/// Runs an attack beside usual requests, and checks the memory and their waits.
fn assert_harmless(what: &str, fleet: &Fleet, attack: impl FnOnce(SocketAddr) + Send) {
    let listen = fleet.router.listen();
    let _alone = ATTACKS.lock().unwrap_or_else(PoisonError::into_inner);
    let is_over = AtomicBool::new(false);
    let longest = std::thread::scope(|scope| {
        let usual = scope.spawn(|| usual_requests(listen, &is_over));
        let attacker = scope.spawn(|| attack(listen));
        let ended = attacker.join();
        is_over.store(true, Ordering::Relaxed);
        ended.expect("the attack is played");
        usual.join().expect("usual requests are served")
    });
    let peak = peak_memory(&fleet.router);
    println!(
        "{what}: peak memory {} of {MEMORY_BYTES} bytes, longest wait of the others {longest:?} of {WANTED:?}",
        peak
    );
    assert!(peak < MEMORY_BYTES, "{what}: {peak} bytes");
    assert!(longest < WANTED, "{what}: {longest:?}");
}

fn message(text: &str) -> Vec<u8> {
    let length = (text.len() as u32 + 5).to_be_bytes();
    [b"Q", &length[..], text.as_bytes(), b"\0"].concat()
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("it listens");
    stream.set_nonblocking(true).expect("no waiting");
    stream
}

/// Connects a crowd, each of which writes its bytes in pieces of this length for as long as the attack lasts. Those who are
/// closed come again.
fn write_in_pieces(listen: SocketAddr, piece: usize, bytes_of: impl Fn(usize) -> Vec<u8>) {
    let inputs: Vec<Vec<u8>> = (0..CROWD.min(8)).map(&bytes_of).collect();
    let mut crowd: Vec<(TcpStream, usize)> = (0..CROWD).map(|_| (connect(listen), 0)).collect();
    let end = Instant::now() + ATTACK;
    let mut buffer = [0; 4096];
    while Instant::now() < end {
        for (number, (stream, sent)) in crowd.iter_mut().enumerate() {
            let input = &inputs[number % inputs.len()];
            let next = &input[*sent..input.len().min(*sent + piece)];
            let is_open = match stream.write(next) {
                Ok(count) => {
                    *sent += count;
                    true
                }
                Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
            };
            let is_closed = matches!(stream.read(&mut buffer), Ok(0));
            if !is_open || is_closed {
                (*stream, *sent) = (connect(listen), 0);
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Sends what `next` makes on one connection at full speed and reads the answers, for as long as the attack lasts. Connects anew
/// when it is closed.
fn flood(listen: SocketAddr, mut next: impl FnMut(usize) -> Vec<u8>) {
    let end = Instant::now() + ATTACK;
    let mut number = 0;
    let mut buffer = vec![0; 64 * 1024];
    while Instant::now() < end {
        let mut stream = connect(listen);
        let mut waiting = STARTUP.to_vec();
        while Instant::now() < end {
            while waiting.len() < 64 * 1024 {
                waiting.extend(next(number));
                number += 1;
            }
            match stream.write(&waiting) {
                Ok(count) => drop(waiting.drain(..count)),
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
    println!("{number} messages");
}

fn long_message_part(length: usize) -> Vec<u8> {
    let mut part = [STARTUP, b"Q", &(4 * 1024 * 1024_u32).to_be_bytes()].concat();
    part.resize(length, b' ');
    part
}

/// Guards against a kill for memory while hundreds of clients have stopped half way through long requests.
#[test]
fn a_crowd_that_stops_half_way_through_long_requests_is_harmless() {
    let fleet = start_fleet("hostile-half");
    assert_harmless("half", &fleet, |listen| {
        write_in_pieces(listen, 1 << 20, |n| {
            long_message_part((48 * 1024) << (n % 6))
        });
    });
}

/// Guards against a kill for memory, and late answers, while hundreds of clients write long requests slowly.
#[test]
fn a_crowd_that_writes_slowly_is_harmless() {
    let fleet = start_fleet("hostile-slow");
    assert_harmless("slow", &fleet, |listen| {
        write_in_pieces(listen, 200, |_| long_message_part(1 << 20));
    });
}

/// Guards against a kill for memory, and late answers, while hundreds of clients send heads of very many short fields.
#[test]
fn a_crowd_that_sends_very_many_short_fields_is_harmless() {
    let fleet = start_fleet("hostile-fields");
    let labels: String = (0..100_000).map(|n| format!("a{n}=,")).collect();
    let labels = [STARTUP, &message(&format!("/* {labels}id=1 */ SELECT 1"))].concat();
    let parameters: Vec<u8> = (0..2_400).flat_map(|_| *b"a\0b\0").collect();
    let body = [&[0, 3, 0, 0][..], b"user\0me\0", &parameters, b"\0"].concat();
    let startup = [&(body.len() as u32 + 4).to_be_bytes()[..], &body].concat();
    assert_harmless("fields", &fleet, |listen| {
        write_in_pieces(listen, 1 << 20, |n| match n % 2 {
            0 => labels.clone(),
            _ => startup.clone(),
        });
    });
}

/// Guards against a kill for memory by errors that quote what was wrong, many times as long as it was sent.
#[test]
fn a_crowd_whose_errors_quote_long_texts_is_harmless() {
    let fleet = start_fleet("hostile-quotes");
    let quoted = "\u{1}".repeat(1 << 20);
    let class = [STARTUP, &message(&statement("q1", &quoted))].concat();
    let label = [STARTUP, &message(&format!("/* {quoted} */ SELECT 1"))].concat();
    assert_harmless("quotes", &fleet, |listen| {
        write_in_pieces(listen, 1 << 20, |n| match n % 2 {
            0 => class.clone(),
            _ => label.clone(),
        });
    });
}

/// Guards against late answers and growing memory while one client sends small or unsound requests at full speed.
#[test]
fn a_client_that_sends_small_or_unsound_requests_at_full_speed_is_harmless() {
    let fleet = start_fleet("hostile-flood");
    type Next<'a> = &'a (dyn Fn(usize) -> Vec<u8> + Sync);
    let kinds: [(&str, Next<'_>); 6] = [
        ("empty", &|_| message("")),
        ("unsound", &|_| message("SELECT 1")),
        ("settings", &|n| message(&format!("SET a{n} = 1"))),
        ("new classes", &|n| {
            message(&statement(&format!("c{n}"), &format!("class{n}")))
        }),
        ("new ids", &|n| {
            message(&statement(&format!("f{n}"), "look"))
        }),
        ("new keys", &|n| {
            message(&statement(&format!("k{n}"), "look").replace("'7f'", &format!("'{n}'")))
        }),
    ];
    for (what, next) in kinds {
        assert_harmless(what, &fleet, |listen| flood(listen, next));
    }
}

fn count_runs(fleet: &Fleet, id: &str) -> usize {
    let runs = fleet
        .nodes
        .iter()
        .filter_map(|node| node.ran().get(id).copied());
    runs.sum()
}

/// Guards against a request that runs twice when its id comes again after its client has left, also behind a flood of others.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_runs_once() {
    let fleet = start_fleet("hostile-ids");
    let listen = fleet.router.listen();
    let fate = ask(&mut RequestClient::new(listen), "served", "book");
    assert_eq!(fate, RequestOutcome::Served);
    let mut leaving = TcpStream::connect(listen).expect("it listens");
    let booking = [STARTUP, &message(&statement("left", "book"))].concat();
    leaving.write_all(&booking).expect("it is connected");
    let give_up_at = Instant::now() + TEST_TIMEOUT;
    while count_runs(&fleet, "left") == 0 {
        assert!(Instant::now() < give_up_at, "the booking runs");
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(leaving);
    assert_harmless("ids", &fleet, |listen| {
        flood(listen, |n| message(&statement(&format!("i{n}"), "look")));
    });
    for id in ["served", "left"] {
        let fate = ask(&mut RequestClient::new(listen), id, "book");
        assert_ne!(fate, RequestOutcome::Served, "{id}: the id is known");
        assert_eq!(count_runs(&fleet, id), 1, "{id}");
    }
}
