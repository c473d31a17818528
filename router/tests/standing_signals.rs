//! Signals that cross what a router is about: before it serves, between two attempts, in one turn with a request, in the
//! drain. And clients that go while their request waits: the stand-ins hold what is to cross until the test lets it go.

mod arrival;
#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::manual_node;
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use serde_json::Value;
use standing_fleet::{HANGS, Start, group, listing, statement, with_status};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Between two looks at what tells nobody of itself.
const LOOKS: Duration = Duration::from_millis(2);
const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";

/// A client that writes and reads the protocol itself.
struct Raw(TcpStream);

impl Raw {
    /// Greeted.
    fn connect(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(HANGS)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let mut client = Raw(stream);
        client.0.write_all(STARTUP).expect("it reads");
        assert_eq!(client.hear(), "ready");
        client
    }

    fn query(&mut self, text: &str) {
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.0
            .write_all(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat())
            .expect("it reads");
    }

    /// What it hears up to `ReadyForQuery` or the end: `row`, the code of an error, `ready`, `end` or `reset`.
    fn hear(&mut self) -> String {
        let mut said = None;
        loop {
            let mut head = [0; 5];
            match self.0.read_exact(&mut head) {
                Ok(()) => {}
                Err(e) if e.kind() == ErrorKind::UnexpectedEof => {
                    return said.unwrap_or("end".into());
                }
                Err(e) if e.kind() == ErrorKind::ConnectionReset => {
                    return said.unwrap_or("reset".into());
                }
                Err(e) => panic!("no answer, and the connection stays open: {e}"),
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            self.0.read_exact(&mut body).expect("a body");
            match head[0] {
                b'D' => said = Some("row".to_string()),
                b'E' => {
                    let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                    said = Some(String::from_utf8_lossy(code.unwrap_or_default()).into_owned());
                }
                b'Z' => return said.unwrap_or("ready".into()),
                _ => {}
            }
        }
    }
}

/// A router before a primary that waits to be told, and two replicas that serve.
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

    /// The same, with its primary elsewhere.
    fn with_primary(name: &str, address: Option<SocketAddr>) -> Self {
        let (nodes, mut entries) = group([NodeBehavior::Healthy; 3]);
        let primary = manual_node::Node::start(HANGS).expect("a node");
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
        assert!(agent.wait_for_calls(2, HANGS), "the list is followed");
        Scene {
            router,
            agent,
            primary,
            entries,
            nodes,
            folder,
        }
    }

    /// A connection that is held back here is no slow one.
    fn config(agent: &str, entries: &[Value]) -> String {
        let start = Start {
            name: "",
            agent: agent.into(),
            known: entries,
            pushed: false,
            sockets: 512,
        };
        start
            .config(agent)
            .replace("\"DialTimeout\":250000", "\"DialTimeout\":30000000")
    }

    /// Stops the router while it waits, and returns once it stands still.
    fn stop(&mut self) {
        self.comes_to('S');
        self.router.send_signal(ProcessSignal::Stop);
        self.comes_to('T');
    }

    /// Waits for this state of the router's process, as the system names it.
    fn comes_to(&self, state: char) {
        let stat = format!("/proc/{}/stat", self.router.id());
        let now = || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        wait_until(&format!("it comes to {state}"), || now() == Some(state));
    }

    /// Waits until nobody is taken in any more: what SIGTERM leaves of the time for newcomers is over.
    fn finishes(&self) {
        wait_until("it takes clients in for ever", || {
            TcpStream::connect(self.router.listen()).is_err()
        });
    }

    fn says(&self, words: &str) {
        assert!(
            self.router.wait_for_line(words, HANGS).is_some(),
            "{words}: {:#?}",
            self.router.lines()
        );
    }

    fn ends(&mut self) {
        let ended = self.router.wait_for_exit(HANGS);
        assert!(
            ended.is_some_and(|status| status.success()),
            "{ended:?}: {:#?}",
            self.router.lines()
        );
    }
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + HANGS;
    while !done() {
        assert!(Instant::now() < until, "{what}");
        std::thread::sleep(LOOKS);
    }
}

#[test]
fn sigterm_between_two_attempts_leaves_the_request_its_next_one() {
    // Danger: with no attempt out the request looks like nothing to wait for. The first attempt's connection ends before
    // the request is written, in the turn that SIGTERM comes in.
    let mut scene = Scene::new("signals-between");
    let mut client = Raw::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let first = scene
        .primary
        .accept(HANGS)
        .expect("the first attempt's connection");
    scene.stop();
    drop(first);
    scene.router.send_signal(ProcessSignal::Term);
    scene.router.send_signal(ProcessSignal::Continue);
    scene.says("SIGTERM: finishing");
    let mut second = scene
        .primary
        .accept(HANGS)
        .expect("the second attempt's connection");
    // It stays without one up to the drain and beyond.
    scene.finishes();
    second.greet("primary").expect("the router is there");
    assert_eq!(
        second.statement().expect("it is written").as_deref(),
        Some("a1")
    );
    second.answer("a1").expect("the router is there");
    assert_eq!(
        (client.hear().as_str(), client.hear().as_str()),
        ("row", "end")
    );
    scene.ends();
}

#[test]
fn sigterm_and_sighup_in_one_turn_with_a_request_are_all_obeyed() {
    // Danger: which comes first is chance; each must find its work done. Both before and after: the order of the blows.
    for (n, blows) in [
        [ProcessSignal::Term, ProcessSignal::Reload],
        [ProcessSignal::Reload, ProcessSignal::Term],
    ]
    .into_iter()
    .enumerate()
    {
        let mut scene = Scene::new(&format!("signals-turn-{n}"));
        let next = Agent::start(vec![AgentReply::Body(listing(
            3,
            &with_status(&scene.entries, 2, "leaving"),
        ))])
        .expect("an agent");
        let config = Scene::config(&next.address().to_string(), &scene.entries);
        let mut client = Raw::connect(scene.router.listen());
        client.query(&statement("a1", "look"));
        assert_eq!(client.hear(), "row");
        scene.stop();
        scene.folder.write("config.json", &config).expect("a file");
        blows
            .into_iter()
            .for_each(|blow| scene.router.send_signal(blow));
        client.query(&statement("a2", "look"));
        arrival::wait_for_acknowledgement(arrival::local_port(&client.0));
        scene.router.send_signal(ProcessSignal::Continue);
        assert_eq!(client.hear(), "row");
        assert!(
            next.wait_for_calls(2, HANGS),
            "the new agent is followed: {:#?}",
            scene.router.lines()
        );
        assert_eq!(client.hear(), "end");
        scene.ends();
    }
}

#[test]
fn sighup_in_the_drain_moves_discovery_and_holds_nothing_up() {
    // Danger: a list that changes while it finishes binds what it still has to send. A request waits for its connection.
    let mut scene = Scene::new("signals-hup-in-drain");
    let next = Agent::start(vec![]).expect("an agent");
    let mut client = Raw::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let mut link = scene.primary.accept(HANGS).expect("its connection");
    scene.router.send_signal(ProcessSignal::Term);
    scene.finishes();
    let config = Scene::config(&next.address().to_string(), &scene.entries);
    scene.folder.write("config.json", &config).expect("a file");
    scene.router.send_signal(ProcessSignal::Reload);
    assert!(
        next.wait_for_calls(1, HANGS),
        "the new agent is asked: {:#?}",
        scene.router.lines()
    );
    next.push_reply(AgentReply::Body(listing(
        3,
        &with_status(&scene.entries, 0, "leaving"),
    )));
    assert!(
        next.wait_for_calls(2, HANGS),
        "the new agent is followed: {:#?}",
        scene.router.lines()
    );
    link.greet("primary").expect("the router is there");
    assert_eq!(
        client.hear(),
        "53300",
        "there is no primary any more, and it was sent nowhere"
    );
    assert_eq!(
        link.pending_statement().expect("a socket"),
        None,
        "{:#?}",
        scene.router.lines()
    );
    assert_eq!(client.hear(), "end");
    scene.ends();
    assert!(
        scene.agent.calls().len() >= 2 && scene.nodes.iter().all(|n| !n.ran().contains_key("a1"))
    );
}

#[test]
fn told_twice_to_end_it_ends_once() {
    // Danger: the second SIGTERM's part would fall due in the midst of the way out, or leave it half undone.
    let mut scene = Scene::new("signals-twice");
    let mut resting = Raw::connect(scene.router.listen());
    resting.query(&statement("a0", "look"));
    assert_eq!(resting.hear(), "row");
    let mut client = Raw::connect(scene.router.listen());
    client.query(&statement("a1", "book"));
    let mut link = scene.primary.accept(HANGS).expect("its connection");
    scene.router.send_signal(ProcessSignal::Term);
    scene.says("SIGTERM: finishing");
    scene.router.send_signal(ProcessSignal::Term);
    scene.says("SIGTERM: once more");
    scene.finishes();
    scene.router.send_signal(ProcessSignal::Term);
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("it is written").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the router is there");
    assert_eq!(
        (client.hear().as_str(), client.hear().as_str()),
        ("row", "end")
    );
    assert_eq!(resting.hear(), "end");
    scene.ends();
    let finishing = scene
        .router
        .lines()
        .iter()
        .filter(|line| line.contains("SIGTERM: finishing"))
        .count();
    assert_eq!(finishing, 1);
}

/// A process that ends with its owner at the latest.
struct Ends(std::process::Child);

impl Drop for Ends {
    fn drop(&mut self) {
        // Its own child, which may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn signals_that_come_before_it_listens_are_obeyed_once_it_serves() {
    // Danger: a signal before it is caught, or before the loop can be woken, ends the process or is lost. The
    // configuration is held back: it is read after the signals are caught and before anything else.
    for hup in [false, true] {
        let name = format!("signals-early-{hup}");
        let (_nodes, entries) = group([NodeBehavior::Healthy; 3]);
        // Discovery never answers: not even the first list has come.
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
        let started = Command::new(env!("CARGO_BIN_EXE_plovercove"))
            .env("PROXY_CONFIG", &pipe)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn();
        let mut child = Ends(started.expect("the router starts"));
        // It returns once the router reads.
        let mut config = std::fs::OpenOptions::new()
            .write(true)
            .open(&pipe)
            .expect("a pipe");
        let id = child.0.id().to_string();
        let strike = |signal: &str| {
            assert!(
                Command::new("kill")
                    .args([signal, &id])
                    .status()
                    .is_ok_and(|status| status.success())
            );
        };
        if hup {
            strike("-HUP");
        }
        strike("-TERM");
        // Where SIGHUP has it read again, this is what it finds.
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
        let mut client = Raw::connect(listen.and_then(|at| at.parse().ok()).expect("an address"));
        client.query(&statement("a1", "look"));
        assert_eq!(
            (client.hear().as_str(), client.hear().as_str()),
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
fn a_request_whose_client_goes_while_it_waits_for_its_connection_is_never_sent_on() {
    // Danger: the connection comes up long after, and the db node works for nobody.
    for (n, ends) in ["close", "reset"].into_iter().enumerate() {
        // Each has a router of its own, which has no connection to the primary yet.
        let scene = Scene::new(&format!("signals-gone-waiting-{n}"));
        let mut client = Raw::connect(scene.router.listen());
        let (gone, other) = (format!("a1{n}"), format!("a2{n}"));
        client.query(&statement(&gone, "book"));
        let mut link = scene.primary.accept(HANGS).expect("its connection");
        let before = scene.router.lines().len();
        if ends == "reset" {
            socket2::SockRef::from(&client.0)
                .set_linger(Some(Duration::ZERO))
                .expect("a linger");
        }
        drop(client);
        wait_until("its end is seen", || {
            scene
                .router
                .since(before)
                .iter()
                .any(|line| line.contains("closed client="))
        });
        // The next write gets that connection or one of its own; what is first on the wire is its own.
        let mut next = Raw::connect(scene.router.listen());
        next.query(&statement(&other, "book"));
        link.greet("primary").expect("the router is there");
        assert_eq!(
            link.statement().expect("it is written"),
            Some(other.clone()),
            "{ends}"
        );
        link.answer(&other).expect("the router is there");
        assert_eq!(next.hear(), "row");
        assert!(
            link.pending_statement().expect("a socket").is_none(),
            "{ends}"
        );
    }
}

/// A primary whose system takes in little that it does not read: greets, and reads when it is told to.
fn narrow() -> TcpListener {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    socket.listen(8).expect("it listens");
    socket.set_read_timeout(Some(HANGS)).expect("a time-out");
    socket.into()
}

#[test]
fn a_statement_that_is_written_in_half_when_its_client_goes_never_comes_whole() {
    // Danger: the rest of it would follow when the db node reads again, and it would run for nobody.
    for ends in ["close", "reset"] {
        let listener = narrow();
        let at = listener.local_addr().expect("bound");
        let scene = Scene::with_primary(&format!("signals-half-{ends}"), Some(at));
        let mut client = Raw::connect(scene.router.listen());
        let text = format!("{}{}", statement("a1", "book"), " ".repeat(3 * 1024 * 1024));
        client.query(&text);
        let (mut link, _) = listener.accept().expect("its connection");
        link.set_read_timeout(Some(HANGS)).expect("a time-out");
        let mut startup = [0; 4];
        link.read_exact(&mut startup).expect("a startup");
        let mut rest = vec![0; u32::from_be_bytes(startup) as usize - 4];
        link.read_exact(&mut rest).expect("a startup");
        let mut greeting = b"R\0\0\0\x08\0\0\0\0".to_vec();
        greeting.extend_from_slice(b"S\0\0\0\x1dreplication_role\0primary\0Z\0\0\0\x05I");
        link.write_all(&greeting).expect("the router is there");
        let mut some = vec![0; 512];
        link.read_exact(&mut some).expect("its beginning");
        assert!(some.starts_with(b"Q") && some.windows(4).any(|bytes| bytes == b"book"));
        let before = scene.router.lines().len();
        if ends == "reset" {
            socket2::SockRef::from(&client.0)
                .set_linger(Some(Duration::ZERO))
                .expect("a linger");
        }
        drop(client);
        wait_until("its end is seen", || {
            scene
                .router
                .since(before)
                .iter()
                .any(|line| line.contains("closed client="))
        });
        // Now the db node reads all that there is.
        let mut came = some.len();
        loop {
            match link.read(&mut some) {
                Ok(0) => break,
                Ok(count) => came += count,
                Err(e) if e.kind() == ErrorKind::ConnectionReset => break,
                Err(e) => panic!("{ends}: the connection stays open: {e}"),
            }
        }
        assert!(came < text.len(), "{ends}: it came whole, {came} bytes");
    }
}
