//! Scripted exchanges with the program over sockets. Each file under `exchanges/` is a script with one step on each line.
//! What the program sent is compared with the snapshot of the same name. No step sleeps; each waits for what it names.
//!
//! | step | action |
//! | --- | --- |
//! | `c1 connect` | a client opens a connection |
//! | `r1 accept r` | the listener `r`, `p` (db nodes), `agent` or `next` (agents) accepts a connection |
//! | `c1 > BYTES` | sends bytes, in Rust's escapes; `Q\|text` frames a message, `9*` repeats it, `{word}` is one of `ABBREVIATIONS` |
//! | `c1 < Z` | reads messages up to one of that kind; `packet` for one without a kind, `byte`, `http` |
//! | `c1 < closed` | reads up to the end of the connection |
//! | `p closed`, `r1 close` | closes a listener, or a connection |
//! | `router term`, `router exit` | sends SIGTERM; waits for the program to exit |
//! | `router reload WHO` | replaces the agent's address with that of another listener and sends SIGHUP; `broken` truncates the file |
//! | `router operators NAME` | replaces the operators' file with `NAME.star`; a router starts with the file named after its exchange, if there is one |
//! | `router says WORDS` | waits for a log line that contains these words |

use socket2::SockRef;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

/// Time after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The abbreviations in scripts, with the text that each stands for.
const ABBREVIATIONS: [(&str, &str); 10] = [
    ("startup", r"\0\0\0\x09\0\x03\0\0\0"),
    ("hello", r"R|\0\0\0\0;S|replication_role\0standby\0;Z|I"),
    (
        "row",
        r"T|\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01;D|\0\x01\0\0\0\x02\x9f\x03;C|SELECT 1\0",
    ),
    ("ready", "Z|I"),
    (
        "look",
        "/* id=1{},c=look,t=acme,d=4000,cluster=2 */ SELECT body FROM objects WHERE oid = '7f'",
    ),
    (
        "book",
        r"/* id=2{},c=book,t=acme,d=4000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('7f', '\\x9f') RETURNING body",
    ),
    (
        "mine",
        "/* id=3{},c=mine,t=acme,d=4000,cluster=2 */ SELECT body FROM objects WHERE oid = '7f'",
    ),
    ("error", r"E|SERROR\0C{}\0Mno\0\0"),
    ("http", r"HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n"),
    ("same", "{\"index\":41,\"snapshot\":false,\"endpoints\":[]}"),
];

struct Play {
    router: Child,
    /// The path of the configuration, and its content at the start.
    config: (PathBuf, String),
    /// The lines of the program's log.
    log: mpsc::Receiver<String>,
    listen: SocketAddr,
    listeners: BTreeMap<&'static str, Option<TcpListener>>,
    peers: BTreeMap<String, TcpStream>,
    transcript: String,
}

impl Drop for Play {
    fn drop(&mut self) {
        // Fails if the program has exited already, which some exchanges wait for.
        let _ = self.router.kill();
        let _ = self.router.wait();
    }
}

impl Play {
    fn start(name: &str, sockets: u32) -> Self {
        let listeners = ["agent", "next", "p", "r"]
            .map(|who| (who, TcpListener::bind("127.0.0.1:0").expect("a port")));
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
        let mut config = fs::read_to_string(folder.join("config.json")).expect("the configuration");
        config = config.replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"));
        for (who, listener) in &listeners {
            // On Linux, the read timeout of a listener applies to accept.
            SockRef::from(listener)
                .set_read_timeout(Some(TEST_TIMEOUT))
                .expect("a time-out");
            let address = listener.local_addr().expect("bound").to_string();
            config = config.replace(&format!("{{{who}}}"), &address);
        }
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        fs::write(&path, &config).expect("a place for the configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_plovercove"));
        command.env("PROXY_CONFIG", &path).stderr(Stdio::piped());
        if folder.join(format!("{name}.star")).is_file() {
            copy_operators_file(name, &path);
            command.arg("--operators").arg(path.with_extension("star"));
        }
        let mut router = command.spawn().expect("the router starts");
        let mut log = BufReader::new(router.stderr.take().expect("piped")).lines();
        let address = log.by_ref().map_while(Result::ok).find_map(|line| {
            line.split_once("listen=")
                .and_then(|(_, address)| address.trim().parse().ok())
        });
        // The log is read to its end; otherwise the program would block when the pipe is full.
        let (line_sender, log_lines) = mpsc::channel();
        std::thread::spawn(move || {
            // Fails if the test has ended before the program.
            log.map_while(Result::ok)
                .for_each(|line| drop(line_sender.send(line)));
        });
        let listeners = listeners
            .map(|(who, listener)| (who, Some(listener)))
            .into();
        let listen = address.expect("the program logs its address");
        Play {
            router,
            config: (path, config),
            log: log_lines,
            listen,
            listeners,
            peers: BTreeMap::new(),
            transcript: String::new(),
        }
    }

    fn step(&mut self, line: &str) {
        let (who, what) = line.split_once(' ').expect("a peer and an action");
        match (who, what.split_once(' ').unwrap_or((what, ""))) {
            ("router", ("term", _)) => self.signal("-TERM"),
            ("router", ("reload", to)) => {
                let (path, config) = &self.config;
                let address = |who: &str| {
                    let listener = self.listeners[who].as_ref().expect("still open");
                    listener.local_addr().expect("bound").to_string()
                };
                let changed = match to {
                    "broken" => config[..config.len() / 2].to_string(),
                    to => config.replace(&address("agent"), &address(to)),
                };
                fs::write(path, changed).expect("a place for the configuration");
                self.signal("-HUP");
            }
            ("router", ("operators", name)) => copy_operators_file(name, &self.config.0),
            ("router", ("says", words)) => loop {
                let line = self
                    .log
                    .recv_timeout(TEST_TIMEOUT)
                    .unwrap_or_else(|e| panic!("{line}: {e}"));
                if line.contains(words) {
                    break;
                }
            },
            ("router", _) => {
                while let Ok(_line) = self.log.recv_timeout(TEST_TIMEOUT) {}
                let status = self.router.wait().expect("it ends");
                writeln!(self.transcript, "router ended with {:?}", status.code()).expect("text");
            }
            (_, ("connect", _)) => {
                let stream = TcpStream::connect(self.listen).expect("the router listens");
                self.add_peer(who, stream);
            }
            (_, ("accept", listener)) => {
                let accepted = self.listeners[listener]
                    .as_ref()
                    .expect("still open")
                    .accept();
                let (stream, _) = accepted
                    .unwrap_or_else(|e| panic!("{line}: {e}; before that:\n{}", self.transcript));
                self.add_peer(who, stream);
            }
            (_, ("closed", _)) => *self.listeners.get_mut(who).expect("a listener") = None,
            (_, ("close", _)) => drop(self.peers.remove(who).expect("a peer")),
            (_, (">", bytes)) => {
                (&self.peers[who])
                    .write_all(&parse_bytes(bytes))
                    .expect("the router reads");
            }
            (_, (_, "closed")) => {
                let mut rest = Vec::new();
                // A reset ends the connection as well as a close does.
                let ended = (&self.peers[who])
                    .read_to_end(&mut rest)
                    .map_err(|e| e.kind());
                assert_ne!(
                    ended,
                    Err(ErrorKind::WouldBlock),
                    "{who} stays open; before that:\n{}",
                    self.transcript
                );
                self.record(who, &rest, " then the end");
            }
            (_, (_, "http")) => {
                let call = self.read_until(who, |bytes| bytes.ends_with(b"\r\n\r\n"));
                let line = call
                    .split(|b| *b == b'\r')
                    .next()
                    .unwrap_or_default()
                    .to_vec();
                self.record(who, &line, "");
            }
            (_, (_, "byte")) => {
                let byte = self.read_until(who, |bytes| bytes.len() == 1);
                self.record(who, &byte, "");
            }
            (_, (_, "packet")) => {
                let packet = self.read_message(who, 0);
                self.record(who, &packet, "");
            }
            (_, (_, kind)) => loop {
                let message = self.read_message(who, 1);
                // All logins are answered alike; too_long.txt shows the answer.
                if !b"RSK".contains(&message[0]) {
                    self.record(who, &message, "");
                }
                if kind.as_bytes() == &message[..1] {
                    break;
                }
            },
        }
    }

    fn signal(&self, name: &str) {
        let id = self.router.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &id])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    fn add_peer(&mut self, who: &str, stream: TcpStream) {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        self.peers.insert(who.to_string(), stream);
    }

    fn read_until(&mut self, who: &str, is_complete: impl Fn(&[u8]) -> bool) -> Vec<u8> {
        let (mut bytes, mut byte) = (Vec::new(), [0]);
        while !is_complete(&bytes) {
            if let Err(e) = (&self.peers[who]).read_exact(&mut byte) {
                panic!(
                    "{who} got {:?}, then {e}; before that:\n{}",
                    bytes.escape_ascii().to_string(),
                    self.transcript
                );
            }
            bytes.push(byte[0]);
        }
        bytes
    }

    /// Reads a message whose length field starts at this offset.
    fn read_message(&mut self, who: &str, length_offset: usize) -> Vec<u8> {
        self.read_until(who, |bytes| {
            let length = bytes
                .get(length_offset..length_offset + 4)
                .map(|l| u32::from_be_bytes(l.try_into().expect("four bytes")));
            length.is_some_and(|l| bytes.len() == length_offset + l as usize)
        })
    }

    fn record(&mut self, who: &str, bytes: &[u8], suffix: &str) {
        // The secret of a cancel key is random. Its presence and its length are part of the record.
        let key = bytes.windows(5).position(|head| head == b"K\0\0\0\x0c");
        let mut bytes = bytes.to_vec();
        if let Some(secret) = key.and_then(|start| bytes.get_mut(start + 9..start + 13)) {
            secret.copy_from_slice(b"####");
        }
        let long = bytes.len() > 2_000;
        let text = if long {
            format!("{} bytes", bytes.len())
        } else {
            bytes.escape_ascii().to_string()
        };
        // The timeout of an attempt depends on timing. Its presence is part of the record.
        let text = match text.split_once(",d=") {
            Some((head, tail)) => {
                format!(
                    "{head},d=#{}",
                    tail.trim_start_matches(|c: char| c.is_ascii_digit())
                )
            }
            None => text,
        };
        writeln!(self.transcript, "{who} < {text}{suffix}").expect("text");
    }
}

/// Parses the bytes of a step. `;` separates messages, `K|` precedes the body of a message of kind K, and `{word:rest}`
/// stands for an abbreviation in which `{}` is replaced with the rest.
fn parse_bytes(text: &str) -> Vec<u8> {
    let mut text = text.to_string();
    while let Some((head, tail)) = text
        .split_once("{")
        .filter(|(_, tail)| !tail.starts_with('"'))
    {
        let (word, after) = tail.split_once('}').expect("a word ends");
        let (word, rest) = word.split_once(':').unwrap_or((word, ""));
        let (_, meaning) = ABBREVIATIONS
            .iter()
            .find(|(name, _)| *name == word)
            .expect(word);
        text = format!("{head}{}{after}", meaning.replace("{}", rest));
    }
    let mut bytes = Vec::new();
    for part in text.split(';') {
        let times = part
            .split_once('*')
            .and_then(|(count, rest)| Some((count.parse().ok()?, rest)));
        let (times, part) = times.unwrap_or((1, part));
        let message = match part.split_once('|').filter(|(kind, _)| kind.len() == 1) {
            Some((kind, body)) => {
                let body = unescape(body);
                [
                    kind.as_bytes(),
                    &(body.len() as u32 + 4).to_be_bytes(),
                    &body,
                ]
                .concat()
            }
            None => unescape(part),
        };
        bytes.extend(message.repeat(times));
    }
    bytes
}

fn unescape(text: &str) -> Vec<u8> {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        let escaped = (byte == b'\\').then(|| rest.next().expect("an escape goes on"));
        bytes.push(match escaped {
            None => byte,
            Some(b'0') => 0,
            Some(b'r') => b'\r',
            Some(b'n') => b'\n',
            Some(b'x') => {
                let digits = [rest.next(), rest.next()].map(|d| d.expect("two digits"));
                u8::from_str_radix(std::str::from_utf8(&digits).expect("text"), 16)
                    .expect("hex digits")
            }
            Some(other) => other,
        });
    }
    bytes
}

/// Copies an operators' file to the folder of the configuration.
fn copy_operators_file(name: &str, config: &Path) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/exchanges");
    let to = config.with_extension("star");
    fs::copy(folder.join(format!("{name}.star")), to).expect("a place for the operators' file");
}

fn play(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/exchanges")
        .join(format!("{name}.txt"));
    let script = fs::read_to_string(path).expect("the exchange");
    let mut play = Play::start(name, 1024);
    for line in script
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        play.step(line);
    }
    insta::assert_snapshot!(name, play.transcript);
}

macro_rules! exchanges {
    ($($name:ident),* $(,)?) => { $(#[test] fn $name() { play(stringify!($name)); })* };
}

exchanges!(
    served,
    write_finds_primary,
    reset_write,
    not_run,
    odd_clients,
    pipelined,
    late_answer,
    list_change,
    drain,
    stale_connection,
    checked_again,
    too_long,
    probed,
    crowded_node,
    gone_client,
    silent_agent,
    many_queries,
    fatal_refusal,
    closing_node,
    reload,
    rezoned,
    unmarked,
    rude,
    spoilt,
    large,
);

/// At the limit of descriptors, a router that cannot accept could spin, or leave new clients without an answer.
#[test]
fn at_the_limit_idle_clients_are_evicted_and_others_get_an_error() {
    let mut play = Play::start("limit", 64);
    // 20 of 64 descriptors are for clients.
    for client in (1..=20).map(|number| format!("c{number}")) {
        for step in ["connect", "> {startup}", "< Z"] {
            play.step(&format!("{client} {step}"));
        }
    }
    play.transcript.clear();
    for step in [
        "late connect",
        "late > {startup}",
        "late < Z",
        "c1 < closed",
    ] {
        play.step(step);
    }
    for client in (2..=20)
        .map(|number| format!("c{number}"))
        .chain(["late".to_string()])
    {
        play.step(&format!("{client} > Q|{{look:{client}}}\\0"));
    }
    // A request has been accepted once a connection for it arrives at the db node. Only then are all clients busy.
    for backend in 1..=20 {
        play.step(&format!("b{backend} accept r"));
    }
    for step in ["later connect", "later > {startup}", "later < closed"] {
        play.step(step);
    }
    insta::assert_snapshot!("limit", play.transcript);
}

/// The number of client connections is limited. Clients that keep idle connections could use up all of them, and others
/// would be rejected although the router is idle.
#[test]
fn idle_clients_beyond_a_third_of_the_limit_are_closed() {
    let mut play = Play::start("idle", 64);
    // 6 of 20 client connections may be idle.
    for client in 1..=7 {
        play.step(&format!("c{client} connect"));
        play.step(&format!("c{client} > {{startup}};Q|{{look:{client}}}\\0"));
        if client == 1 {
            for step in ["r1 accept r", "r1 < packet", "r1 > {hello}"] {
                play.step(step);
            }
        }
        for step in ["r1 < Q", "r1 > {row};{ready}"] {
            play.step(step);
        }
        if client % 2 == 0 {
            // This answer equals the last reply on the connection, so it is confirmed. The next one follows the confirmation.
            for step in ["r1 < Q", "r1 > I|;{ready}"] {
                play.step(step);
            }
        }
        for _ in 0..2 {
            play.step(&format!("c{client} < Z"));
        }
    }
    play.transcript.clear();
    for step in ["c1 < closed", "c2 > Q|\\0", "c2 < Z"] {
        play.step(step);
    }
    insta::assert_snapshot!("idle", play.transcript);
}

#[test]
fn a_faulty_configuration_prints_one_line_and_ends_the_program() {
    let run = |path: Option<&Path>| {
        let mut router = Command::new(env!("CARGO_BIN_EXE_plovercove"));
        router
            .env_remove("PROXY_CONFIG")
            .envs(path.map(|path| ("PROXY_CONFIG", path)));
        let out = router.output().expect("the router starts");
        assert_eq!((out.status.code(), out.stdout.len()), (Some(1), 0));
        String::from_utf8(out.stderr).expect("text")
    };
    // The line contains the error and the help.
    let output = run(None);
    let (error, help) = output.split_once(" (help: ").expect("a help");
    assert!(
        error == "plovercove: PROXY_CONFIG is missing" && help.ends_with(")\n"),
        "{output}"
    );
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty.json");
    fs::write(&path, r#"{"limits":{"sockets":"many"}}"#).expect("a place for the configuration");
    let output = run(Some(&path));
    let error = "plovercove: limits.sockets: expected a number, got \"many\" (help: ";
    assert!(
        output.starts_with(error) && output.lines().count() == 1,
        "{output}"
    );
}
