//! Race conditions with signals, with the router as a process: before it serves, between two attempts, in one turn with a
//! request, and during the shutdown. Also clients that disconnect while their request waits. The scripted nodes hold their
//! messages back until the test has set up the race.

mod arrival;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::manual_node;
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use serde_json::Value;
use standing_fleet::{Start, TEST_TIMEOUT, group, listing, statement, with_status};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Interval between two checks of a polled condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";

/// A client that writes and reads protocol messages itself.
struct RawClient(TcpStream);

impl RawClient {
    /// Connects and logs in.
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let mut client = RawClient(stream);
        client.0.write_all(STARTUP).expect("it reads");
        assert_eq!(client.read_outcome(), "ready");
        client
    }

    fn query(&mut self, text: &str) {
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.0
            .write_all(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat())
            .expect("it reads");
    }

    /// Reads up to `ReadyForQuery` or the end of the connection. Returns `row`, the code of an error, `ready`, `end` or `reset`.
    fn read_outcome(&mut self) -> String {
        let mut outcome = None;
        loop {
            let mut head = [0; 5];
            match self.0.read_exact(&mut head) {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
                    return outcome.unwrap_or("end".into());
                }
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    return outcome.unwrap_or("reset".into());
                }
                Err(e) => panic!("no answer, and the connection stays open: {e}"),
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            self.0.read_exact(&mut body).expect("a body");
            match head[0] {
                b'D' => outcome = Some("row".to_string()),
                b'E' => {
                    let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                    outcome = Some(String::from_utf8_lossy(code.unwrap_or_default()).into_owned());
                }
                b'Z' => return outcome.unwrap_or("ready".into()),
                _ => {}
            }
        }
    }
}

/// A router with a primary that acts only when the test says so, and two replicas that serve.
struct Scene {
    router: Process,
    agent: Agent,
    primary: manual_node::Node,
    entries: Vec<Value>,
    nodes: Vec<Node>,
    folder: Folder,
}

impl Scene {
    fn new(name: &str) -> Self {
        Scene::with_primary(name, None)
    }

    /// Starts a scene whose primary has this address instead.
    fn with_primary(name: &str, address: Option<SocketAddr>) -> Self {
        let (nodes, mut entries) = group([NodeBehavior::Healthy; 3]);
        let primary = manual_node::Node::start(TEST_TIMEOUT).expect("a node");
        let address = address.unwrap_or_else(|| primary.address().expect("bound"));
        entries[0]["address"] = address.to_string().into();
        let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
        let folder = Folder::new(name).expect("a folder");
        let file = folder
            .write(
                "config.json",
                &Scene::config(&agent.address().to_string(), &entries),
            )
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", "debug"))
            .expect("the router starts");
        assert!(agent.wait_for_calls(2, TEST_TIMEOUT), "the list is applied");
        Scene {
            router,
            agent,
            primary,
            entries,
            nodes,
            folder,
        }
    }

    /// Returns a configuration with a long connection timeout, since the tests delay logins.
    fn config(agent: &str, entries: &[Value]) -> String {
        let start = Start {
            name: "",
            agent: agent.into(),
            remembered: entries,
            pushed: false,
            sockets: 512,
        };
        start
            .config(agent)
            .replace("\"DialTimeout\":250000", "\"DialTimeout\":30000000")
    }

    /// Stops the router's process while it waits for events.
    fn stop(&mut self) {
        self.wait_for_process_state('S');
        self.router.send_signal(ProcessSignal::Stop);
        self.wait_for_process_state('T');
    }

    /// Waits until the router's process has this state, by its letter in `/proc`.
    fn wait_for_process_state(&self, state: char) {
        let stat = format!("/proc/{}/stat", self.router.id());
        let state_now = || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        wait_until(&format!("the process reaches state {state}"), || {
            state_now() == Some(state)
        });
    }

    /// Waits until the router accepts no more connections, some time after SIGTERM.
    fn wait_for_closed_listener(&self) {
        wait_until("the router stops accepting connections", || {
            TcpStream::connect(self.router.listen()).is_err()
        });
    }

    fn wait_for_log(&self, words: &str) {
        assert!(
            self.router.wait_for_line(words, TEST_TIMEOUT).is_some(),
            "{words}: {:#?}",
            self.router.lines()
        );
    }

    fn assert_exits(&mut self) {
        let ended = self.router.wait_for_exit(TEST_TIMEOUT);
        assert!(
            ended.is_some_and(|status| status.success()),
            "{ended:?}: {:#?}",
            self.router.lines()
        );
    }
}

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "{condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn sigterm_between_two_attempts_does_not_cancel_the_next_one() {
    // Without a running attempt, the shutdown could overlook the pending request. The first attempt's connection ends before
    // the request is written, in the turn that handles SIGTERM.
    let mut scene = Scene::new("signals-between");
    let mut client = RawClient::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let first = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the first attempt's connection");
    scene.stop();
    drop(first);
    scene.router.send_signal(ProcessSignal::Term);
    scene.router.send_signal(ProcessSignal::Continue);
    scene.wait_for_log("SIGTERM: finishing");
    let mut second = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the second attempt's connection");
    // The second attempt stays without a ready connection until after the listener is closed.
    scene.wait_for_closed_listener();
    second.greet("primary").expect("the router is there");
    assert_eq!(
        second.statement().expect("it is written").as_deref(),
        Some("a1")
    );
    second.answer("a1").expect("the router is there");
    assert_eq!(
        (
            client.read_outcome().as_str(),
            client.read_outcome().as_str()
        ),
        ("row", "end")
    );
    scene.assert_exits();
}

#[test]
fn sigterm_and_sighup_in_one_turn_with_a_request_all_have_their_effect() {
    // The order in which the router handles two signals of one turn is random, and both must have their effect. The signals
    // are sent in both orders.
    for (index, signals) in [
        [ProcessSignal::Term, ProcessSignal::Reload],
        [ProcessSignal::Reload, ProcessSignal::Term],
    ]
    .into_iter()
    .enumerate()
    {
        let mut scene = Scene::new(&format!("signals-turn-{index}"));
        let next = Agent::start(vec![AgentReply::Body(listing(
            3,
            &with_status(&scene.entries, 2, "leaving"),
        ))])
        .expect("an agent");
        let config = Scene::config(&next.address().to_string(), &scene.entries);
        let mut client = RawClient::connect(scene.router.listen());
        client.query(&statement("a1", "look"));
        assert_eq!(client.read_outcome(), "row");
        scene.stop();
        scene.folder.write("config.json", &config).expect("a file");
        signals
            .into_iter()
            .for_each(|signal| scene.router.send_signal(signal));
        client.query(&statement("a2", "look"));
        arrival::wait_for_acknowledgement(arrival::local_port(&client.0));
        scene.router.send_signal(ProcessSignal::Continue);
        assert_eq!(client.read_outcome(), "row");
        assert!(
            next.wait_for_calls(2, TEST_TIMEOUT),
            "the list of the new agent is applied: {:#?}",
            scene.router.lines()
        );
        assert_eq!(client.read_outcome(), "end");
        scene.assert_exits();
    }
}

#[test]
fn sighup_during_the_shutdown_changes_the_agent_and_delays_nothing() {
    // A list that arrives during the shutdown applies to the requests that are still to be sent. Here a request waits for its
    // connection when its node drains.
    let mut scene = Scene::new("signals-hup-in-drain");
    let next = Agent::start(vec![]).expect("an agent");
    let mut client = RawClient::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let mut link = scene.primary.accept(TEST_TIMEOUT).expect("its connection");
    scene.router.send_signal(ProcessSignal::Term);
    scene.wait_for_closed_listener();
    let config = Scene::config(&next.address().to_string(), &scene.entries);
    scene.folder.write("config.json", &config).expect("a file");
    scene.router.send_signal(ProcessSignal::Reload);
    assert!(
        next.wait_for_calls(1, TEST_TIMEOUT),
        "the new agent is called: {:#?}",
        scene.router.lines()
    );
    next.push_reply(AgentReply::Body(listing(
        3,
        &with_status(&scene.entries, 0, "leaving"),
    )));
    assert!(
        next.wait_for_calls(2, TEST_TIMEOUT),
        "the list of the new agent is applied: {:#?}",
        scene.router.lines()
    );
    link.greet("primary").expect("the router is there");
    assert_eq!(
        client.read_outcome(),
        "53300",
        "there is no primary any more, and the request was not sent"
    );
    assert_eq!(
        link.pending_statement().expect("a socket"),
        None,
        "{:#?}",
        scene.router.lines()
    );
    assert_eq!(client.read_outcome(), "end");
    scene.assert_exits();
    assert!(
        scene.agent.calls().len() >= 2
            && scene
                .nodes
                .iter()
                .all(|node| !node.ran().contains_key("a1"))
    );
}

#[test]
fn a_second_sigterm_has_no_effect() {
    // A second SIGTERM must neither restart the shutdown nor cut it short.
    let mut scene = Scene::new("signals-twice");
    let mut idle_client = RawClient::connect(scene.router.listen());
    idle_client.query(&statement("a0", "look"));
    assert_eq!(idle_client.read_outcome(), "row");
    let mut client = RawClient::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let mut link = scene.primary.accept(TEST_TIMEOUT).expect("its connection");
    scene.router.send_signal(ProcessSignal::Term);
    scene.wait_for_log("SIGTERM: finishing");
    scene.router.send_signal(ProcessSignal::Term);
    scene.wait_for_log("SIGTERM: once more");
    scene.wait_for_closed_listener();
    scene.router.send_signal(ProcessSignal::Term);
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("it is written").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the router is there");
    assert_eq!(
        (
            client.read_outcome().as_str(),
            client.read_outcome().as_str()
        ),
        ("row", "end")
    );
    assert_eq!(idle_client.read_outcome(), "end");
    scene.assert_exits();
    let finishing = scene
        .router
        .lines()
        .iter()
        .filter(|line| line.contains("SIGTERM: finishing"))
        .count();
    assert_eq!(finishing, 1);
}

/// A child process that is killed when this value is dropped.
struct KilledOnDrop(std::process::Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn signals_before_the_router_listens_take_effect_once_it_serves() {
    // A signal that arrives before its handler is installed ends the process, and one that arrives before the loop can be
    // woken may be lost. The router reads its configuration after installing the handlers and before anything else, so the
    // test delays the configuration with a pipe.
    for hup in [false, true] {
        let name = format!("signals-early-{hup}");
        let (_nodes, entries) = group([NodeBehavior::Healthy; 3]);
        // Discovery never answers, not even with a first list.
        let agent = Agent::start(vec![AgentReply::Silence; 8]).expect("an agent");
        let folder = Folder::new(&name).expect("a folder");
        let pipe = folder.path().join("config.json");
        assert!(
            Command::new("mkfifo")
                .arg(&pipe)
                .status()
                .is_ok_and(|status| status.success()),
            "a pipe"
        );
        let spawned = Command::new(env!("CARGO_BIN_EXE_plovercove"))
            .env("PROXY_CONFIG", &pipe)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        let mut child = KilledOnDrop(spawned.expect("the router starts"));
        // Opening the pipe returns once the router reads it.
        let mut config = std::fs::OpenOptions::new()
            .write(true)
            .open(&pipe)
            .expect("a pipe");
        let id = child.0.id().to_string();
        let send_signal = |signal: &str| {
            assert!(
                Command::new("kill")
                    .args([signal, &id])
                    .status()
                    .is_ok_and(|status| status.success())
            );
        };
        if hup {
            send_signal("-HUP");
        }
        send_signal("-TERM");
        // The file that a SIGHUP makes the router read again.
        let next = folder.write(
            "next.json",
            &Scene::config(&agent.address().to_string(), &entries),
        );
        std::fs::rename(next.expect("a file"), &pipe).expect("one folder");
        config
            .write_all(Scene::config(&agent.address().to_string(), &entries).as_bytes())
            .expect("it reads");
        drop(config);
        let mut log = BufReader::new(child.0.stderr.take().expect("its log"))
            .lines()
            .map_while(Result::ok);
        let serving = log
            .find(|line| line.contains("serving"))
            .expect("it serves");
        let listen = serving
            .split_once("listen=")
            .expect("an address")
            .1
            .split(' ')
            .next();
        let mut client = RawClient::connect(
            listen
                .and_then(|address| address.parse().ok())
                .expect("an address"),
        );
        client.query(&statement("a1", "look"));
        assert_eq!(
            (
                client.read_outcome().as_str(),
                client.read_outcome().as_str()
            ),
            ("row", "end")
        );
        wait_until("it ends", || {
            child.0.try_wait().is_ok_and(|ended| ended.is_some())
        });
        let rest: Vec<String> = log.collect();
        assert!(child.0.wait().expect("its end").success(), "{rest:#?}");
        assert!(
            rest.iter().any(|line| line.contains("SIGTERM: finishing")),
            "{rest:#?}"
        );
        assert_eq!(
            rest.iter()
                .any(|line| line.contains("SIGHUP: the configuration")),
            hup,
            "{rest:#?}"
        );
    }
}

#[test]
fn a_request_whose_client_disconnects_while_it_waits_for_a_connection_is_never_sent() {
    // Otherwise the request would run when its connection is ready, although nobody waits for the answer.
    for (index, ends) in ["close", "reset"].into_iter().enumerate() {
        // Each case has a new router, which has no connection to the primary yet.
        let scene = Scene::new(&format!("signals-gone-waiting-{index}"));
        let mut client = RawClient::connect(scene.router.listen());
        let (disconnected_id, next_id) = (format!("a1{index}"), format!("a2{index}"));
        client.query(&statement(&disconnected_id, "book"));
        let mut link = scene.primary.accept(TEST_TIMEOUT).expect("its connection");
        let before = scene.router.lines().len();
        if ends == "reset" {
            socket2::SockRef::from(&client.0)
                .set_linger(Some(Duration::ZERO))
                .expect("a linger");
        }
        drop(client);
        wait_until("the router logs the end of the client's connection", || {
            scene
                .router
                .since(before)
                .iter()
                .any(|line| line.contains("closed client="))
        });
        // The next write uses the same connection or a new one; either way it is the first statement there.
        let mut next = RawClient::connect(scene.router.listen());
        next.query(&statement(&next_id, "book"));
        link.greet("primary").expect("the router is there");
        assert_eq!(
            link.statement().expect("it is written"),
            Some(next_id.clone()),
            "{ends}"
        );
        link.answer(&next_id).expect("the router is there");
        assert_eq!(next.read_outcome(), "row");
        assert!(
            link.pending_statement().expect("a socket").is_none(),
            "{ends}"
        );
    }
}

/// Starts a listener with a small receive buffer, so that a long statement can be sent only in part.
fn start_narrow_listener() -> TcpListener {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    socket.listen(8).expect("it listens");
    socket
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    socket.into()
}

#[test]
fn a_partly_sent_statement_of_a_disconnected_client_is_never_completed() {
    // Otherwise the rest of the statement would follow when the db node reads again, and it would run although nobody waits.
    for ends in ["close", "reset"] {
        let listener = start_narrow_listener();
        let address = listener.local_addr().expect("bound");
        let scene = Scene::with_primary(&format!("signals-half-{ends}"), Some(address));
        let mut client = RawClient::connect(scene.router.listen());
        let text = format!("{}{}", statement("a1", "book"), " ".repeat(3 * 1024 * 1024));
        client.query(&text);
        let (mut link, _) = listener.accept().expect("its connection");
        link.set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let mut startup = [0; 4];
        link.read_exact(&mut startup).expect("a startup");
        let mut rest = vec![0; u32::from_be_bytes(startup) as usize - 4];
        link.read_exact(&mut rest).expect("a startup");
        let mut greeting = b"R\0\0\0\x08\0\0\0\0".to_vec();
        greeting.extend_from_slice(b"S\0\0\0\x1dreplication_role\0primary\0Z\0\0\0\x05I");
        link.write_all(&greeting).expect("the router is there");
        let mut chunk = vec![0; 512];
        link.read_exact(&mut chunk).expect("its beginning");
        assert!(chunk.starts_with(b"Q") && chunk.windows(4).any(|bytes| bytes == b"book"));
        let before = scene.router.lines().len();
        if ends == "reset" {
            socket2::SockRef::from(&client.0)
                .set_linger(Some(Duration::ZERO))
                .expect("a linger");
        }
        drop(client);
        wait_until("the router logs the end of the client's connection", || {
            scene
                .router
                .since(before)
                .iter()
                .any(|line| line.contains("closed client="))
        });
        // The db node reads everything that is sent.
        let mut received = chunk.len();
        loop {
            match link.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => received += count,
                Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
                Err(e) => panic!("{ends}: the connection stays open: {e}"),
            }
        }
        assert!(
            received < text.len(),
            "{ends}: the complete statement was sent, {received} bytes"
        );
    }
}
