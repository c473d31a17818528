//! Stand-ins for the cases 6 to 10 of the review: database nodes, the discovery agent, clients, and the router as a
//! separate process. Only the standard library is used. Every socket is on 127.0.0.1.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("the clock is past 1970")
        .as_micros() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits until this time on the clock of `now_us`.
pub fn sleep_until(at_us: u64) {
    let now = now_us();
    if at_us > now {
        thread::sleep(Duration::from_micros(at_us - now));
    }
}

/// Whether the disruption is played; `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

// ---------------------------------------------------------------------------------------------------------------------
// The record

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start_us: u64,
}

impl Record {
    pub fn open(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record {
            file: Arc::new(Mutex::new(file)),
            start_us: now_us(),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn at(&self, time_us: u64) -> i64 {
        (time_us as i64 - self.start_us as i64) / 1000
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.at(now_us()), text.as_ref());
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Messages of the PostgreSQL protocol

pub fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

fn put_description(out: &mut Vec<u8>, column: &str) {
    let mut body = vec![0, 1];
    body.extend_from_slice(column.as_bytes());
    body.push(0);
    body.extend_from_slice(&[0; 6]);
    body.extend_from_slice(&25u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&0i16.to_be_bytes());
    put(out, b'T', &body);
}

fn put_data(out: &mut Vec<u8>, value: &[u8]) {
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    put(out, b'D', &body);
}

fn put_error(out: &mut Vec<u8>, code: &str, text: &str) {
    put(
        out,
        b'E',
        format!("SERROR\0C{code}\0M{text}\0\0").as_bytes(),
    );
}

fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// The value of a label in the leading comment of a statement.
pub fn label<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.trim_start().strip_prefix("/*")?.split_once("*/")?.0;
    comment.split(',').find_map(|part| {
        let (key, value) = part.split_once('=')?;
        (key.trim() == name).then_some(value.trim())
    })
}

/// The statement behind the comment with the labels.
pub fn without_labels(text: &str) -> &str {
    text.split_once("*/").map_or(text, |(_, rest)| rest).trim()
}

// ---------------------------------------------------------------------------------------------------------------------
// Database nodes: groups of a primary and replicas, with asynchronous replication

/// How far a member has applied the log: everything committed up to `position(now)`.
#[derive(Clone, Copy, Debug)]
pub enum Log {
    /// The present; a primary, or a replica that follows with this delay (us).
    Follows { delay_us: u64 },
    /// Stands at this time.
    Stands { at_us: u64 },
    /// Was at `from_us` at the time `since_us`, and applies `pace` seconds of the log in a second until it has caught up.
    CatchesUp { from_us: u64, since_us: u64, pace: f64 },
}

#[derive(Clone, Debug)]
pub struct MemberState {
    pub is_primary: bool,
    pub log: Log,
    /// While set, the member takes connections and requests and answers nothing. What came meanwhile is answered afterwards,
    /// if its connection is still open.
    pub hangs: bool,
    /// The last report, which is refreshed every `REPORT_EVERY_US`.
    report: (u64, u64, bool),
}

/// The reports of nodes are refreshed in this interval (50 to 240 ms by the pages).
const REPORT_EVERY_US: u64 = 100_000;

impl MemberState {
    pub fn position(&self, now: u64) -> u64 {
        if self.is_primary {
            return now;
        }
        match self.log {
            Log::Follows { delay_us } => now.saturating_sub(delay_us),
            Log::Stands { at_us } => at_us,
            Log::CatchesUp {
                from_us,
                since_us,
                pace,
            } => {
                let applied = from_us + (now.saturating_sub(since_us) as f64 * pace) as u64;
                applied.min(now.saturating_sub(10_000))
            }
        }
    }

    /// The load report: exact, but as old as its last refresh.
    fn report(&mut self, now: u64) -> String {
        if now >= self.report.0 + REPORT_EVERY_US {
            self.report = (now, self.position(now), self.is_primary);
        }
        let (_, position, is_primary) = self.report;
        format!(
            "x0={:.6},x1={},inflight=0,util=0.3",
            position as f64 / 1e6,
            u8::from(is_primary)
        )
    }
}

/// A statement that a node has run, as the checks of a case need it.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_us: u64,
    pub node: String,
    pub id: String,
    pub class: String,
    pub key: String,
    pub is_write: bool,
    pub as_primary: bool,
    /// Position of the data from which it was answered; for a write the commit.
    pub position: u64,
    /// Commit of the newest value of this key that the answer shows, if any.
    pub saw: Option<u64>,
}

/// The data of a group: the commits of each key, in order.
#[derive(Default)]
struct Data {
    commits: HashMap<String, Vec<(u64, String)>>,
}

pub struct Group {
    data: Mutex<Data>,
    /// All statements that were run, in order.
    pub runs: Mutex<Vec<Run>>,
    /// The id of each client's statement that came to a node, with the time at which its last byte had come.
    pub arrivals: Mutex<Vec<(String, u64)>>,
    /// Whether every answer carries the position of its node.
    pub stamps_answers: bool,
    /// Time that a statement takes; a report takes ten times as long.
    pub work_us: u64,
    pub record: Record,
    /// Whether each statement gets a line in the record.
    pub is_verbose: bool,
}

impl Group {
    pub fn new(record: &Record, stamps_answers: bool, work_us: u64, is_verbose: bool) -> Arc<Self> {
        Arc::new(Group {
            data: Mutex::default(),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            stamps_answers,
            work_us,
            record: record.clone(),
            is_verbose,
        })
    }

    /// Commits a value at the primary without the router under test, as another router's write does. Returns the commit
    /// in Unix milliseconds, rounded up, as an answer tells it.
    pub fn commit_elsewhere(&self, key: &str, value: &str) -> u64 {
        let now = now_us();
        self.commit(key, value, now);
        self.record.line(format!(
            "another router: write of {key:?} = {value:?} committed at {}",
            self.record.at(now)
        ));
        now.div_ceil(1000)
    }

    fn commit(&self, key: &str, value: &str, at: u64) {
        let mut data = self.data.lock().unwrap();
        data.commits
            .entry(key.to_string())
            .or_default()
            .push((at, value.to_string()));
    }

    /// The newest commit of a key up to a position.
    pub fn value_at(&self, key: &str, position: u64) -> Option<(u64, String)> {
        let data = self.data.lock().unwrap();
        let commits = data.commits.get(key)?;
        commits.iter().rev().find(|(at, _)| *at <= position).cloned()
    }
}

pub struct Member {
    pub name: String,
    pub group_number: u64,
    pub address: SocketAddr,
    pub group: Arc<Group>,
    pub state: Mutex<MemberState>,
}

impl Member {
    pub fn start(name: &str, group_number: u64, group: &Arc<Group>, is_primary: bool, log: Log) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let member = Arc::new(Member {
            name: name.to_string(),
            group_number,
            address: listener.local_addr().unwrap(),
            group: group.clone(),
            state: Mutex::new(MemberState {
                is_primary,
                log,
                hangs: false,
                report: (0, 0, false),
            }),
        });
        let accepting = member.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let member = accepting.clone();
                thread::spawn(move || drop(member.serve(stream)));
            }
        });
        member
    }

    pub fn change(&self, what: &str, change: impl FnOnce(&mut MemberState)) {
        change(&mut self.state.lock().unwrap());
        self.group.record.line(format!("{}: {what}", self.name));
    }

    pub fn position(&self) -> u64 {
        self.state.lock().unwrap().position(now_us())
    }

    fn wait_while_hanging(&self) {
        while self.state.lock().unwrap().hangs {
            sleep_ms(2);
        }
    }

    fn role(is_primary: bool) -> &'static str {
        if is_primary { "primary" } else { "standby" }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = [0; 4];
        stream.read_exact(&mut head)?;
        let mut startup = vec![0; (u32::from_be_bytes(head) as usize).saturating_sub(4)];
        stream.read_exact(&mut startup)?;
        self.wait_while_hanging();
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        let is_primary = self.state.lock().unwrap().is_primary;
        put_status(&mut out, "replication_role", Self::role(is_primary));
        put(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        loop {
            let (kind, body) = read_message(&mut stream)?;
            if kind == b'X' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(&body);
            let text = text.trim_end_matches('\0');
            self.wait_while_hanging();
            let mut out = Vec::new();
            self.answer(text, &mut out);
            put(&mut out, b'Z', b"I");
            stream.write_all(&out)?;
        }
    }

    fn answer(&self, text: &str, out: &mut Vec<u8>) {
        match text {
            "" => return put(out, b'I', b""),
            "SELECT 1" => {
                put_description(out, "one");
                put_data(out, b"1");
                return put(out, b'C', b"SELECT 1\0");
            }
            "SHOW pressure" => {
                let report = self.state.lock().unwrap().report(now_us());
                put_description(out, "pressure");
                put_data(out, report.as_bytes());
                return put(out, b'C', b"SHOW\0");
            }
            _ => {}
        }
        let (Some(id), Some(class)) = (label(text, "id"), label(text, "c")) else {
            return put_error(out, "08P01", "no labels");
        };
        self.group.arrivals.lock().unwrap().push((id.to_string(), now_us()));
        let work_us = match class {
            "month-report" => 10 * self.group.work_us,
            _ => self.group.work_us,
        };
        thread::sleep(Duration::from_micros(work_us));
        self.wait_while_hanging();
        let statement = without_labels(text);
        let is_write = statement.to_ascii_uppercase().starts_with("INSERT");
        let now = now_us();
        let state = self.state.lock().unwrap().clone();
        put_status(out, "replication_role", Self::role(state.is_primary));
        let key = key_of(statement);
        let position = state.position(now);
        let note = |told: &str| {
            if self.group.is_verbose {
                let shown: String = text.chars().take(200).collect();
                self.group.record.line(format!(
                    "{} ({}, data of {}): {shown} -> {told}",
                    self.name,
                    Self::role(state.is_primary),
                    self.group.record.at(position)
                ));
            }
        };
        if is_write && !state.is_primary {
            note("25006");
            if self.group.stamps_answers {
                put_status(out, "log_position", &(position / 1000).to_string());
            }
            return put_error(out, "25006", "cannot write here");
        }
        let mut run = Run {
            at_us: now,
            node: self.name.clone(),
            id: id.to_string(),
            class: class.to_string(),
            key: key.clone(),
            is_write,
            as_primary: state.is_primary,
            position: if is_write { now } else { position },
            saw: None,
        };
        if is_write {
            self.group.commit(&key, id, now);
            self.group.runs.lock().unwrap().push(run);
            put_status(out, "log_position", &now.div_ceil(1000).to_string());
            note("committed");
            if statement.contains("RETURNING") {
                put_description(out, "body");
                put_data(out, id.as_bytes());
            }
            return put(out, b'C', b"INSERT 0 1\0");
        }
        if self.group.stamps_answers {
            put_status(out, "log_position", &(position / 1000).to_string());
        }
        let found = self.group.value_at(&key, position);
        run.saw = found.as_ref().map(|(at, _)| *at);
        self.group.runs.lock().unwrap().push(run);
        let value = found.map_or("nothing".to_string(), |(_, value)| value);
        note(&value);
        put_description(out, "body");
        put_data(out, value.as_bytes());
        put(out, b'C', b"SELECT 1\0");
    }
}

/// The key of a statement: `oid = 'k'` and `VALUES ('k', ...)`, or a whole number in their place.
fn key_of(statement: &str) -> String {
    let after = statement
        .split_once("VALUES (")
        .or_else(|| statement.split_once("= "))
        .map_or("", |(_, rest)| rest);
    let end = after.find([',', ')', ';', ' ']).unwrap_or(after.len());
    after[..end].trim_matches('\'').to_string()
}

// ---------------------------------------------------------------------------------------------------------------------
// The discovery agent

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<String>,
    is_silent: bool,
}

/// Serves the list of nodes. It answers with the whole list whenever it is newer than what the router has.
pub struct Agent {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
}

/// An entry of the list. `replication` is what the list says of the role.
pub fn entry(member: &Member, status: &str, replication: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"thu-duc","type":"std-5c","group":{},"status":"{status}","weight":1.0,"since_ms":{since_ms},"replication":"{replication}"}}"#,
        member.name, member.address, member.group_number
    )
}

impl Agent {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let list: Arc<Mutex<List>> = Arc::default();
        let shared = list.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = shared.clone();
                thread::spawn(move || drop(serve_list(stream, &list)));
            }
        });
        Agent { address, list }
    }

    pub fn set(&self, entries: Vec<String>) {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        list.entries = entries;
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.list.lock().unwrap().is_silent = is_silent;
    }

    /// The list in the form of `known` in the configuration.
    pub fn known(&self) -> String {
        let list = self.list.lock().unwrap();
        list_json(&list, true)
    }
}

fn list_json(list: &List, is_whole: bool) -> String {
    let entries = if is_whole {
        list.entries.join(",")
    } else {
        String::new()
    };
    format!(
        r#"{{"index":{},"snapshot":{is_whole},"endpoints":[{entries}]}}"#,
        list.index
    )
}

fn serve_list(stream: TcpStream, list: &Mutex<List>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    loop {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let number = |name: &str| -> Option<u64> {
            let path = first.split_whitespace().nth(1)?;
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let body = loop {
            let list = list.lock().unwrap();
            let is_newer = after.is_none_or(|after| list.index > after);
            if !list.is_silent && (is_newer || Instant::now() >= until) {
                break list_json(&list, is_newer);
            }
            drop(list);
            sleep_ms(3);
        };
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// Clients

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A row, with its value.
    Row(String),
    /// CommandComplete without a row.
    Done,
    /// EmptyQueryResponse.
    Empty,
    /// An error: its code, and whether it ended the session.
    Error(String, bool),
    /// The connection ended, or nothing came within the time, without an answer.
    Nothing(String),
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(body);
        stream.write_all(&out)?;
        loop {
            match read_message(&mut stream)? {
                (b'Z', _) => return Ok(Client { stream }),
                (b'E', body) => return Err(io::Error::other(String::from_utf8_lossy(&body).into_owned())),
                _ => {}
            }
        }
    }

    /// Sends these queries in one write.
    pub fn send(&mut self, queries: &[String]) -> io::Result<()> {
        let mut out = Vec::new();
        for query in queries {
            put(&mut out, b'Q', format!("{query}\0").as_bytes());
        }
        self.stream.write_all(&out)
    }

    /// Reads the next answer, up to ReadyForQuery or a fatal error.
    pub fn answer(&mut self) -> Answer {
        let mut found = None;
        loop {
            let (kind, body) = match read_message(&mut self.stream) {
                Ok(message) => message,
                Err(e) => {
                    let why = match e.kind() {
                        ErrorKind::UnexpectedEof => "the router closed the connection".to_string(),
                        ErrorKind::ConnectionReset => "the router reset the connection".to_string(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut => "nothing came in 8 s".to_string(),
                        _ => e.to_string(),
                    };
                    return found.unwrap_or(Answer::Nothing(why));
                }
            };
            match kind {
                b'D' if body.len() >= 6 => {
                    found = Some(Answer::Row(String::from_utf8_lossy(&body[6..]).into_owned()));
                }
                b'C' => found = found.or(Some(Answer::Done)),
                b'I' => found = Some(Answer::Empty),
                b'E' => {
                    let field = |wanted: u8| {
                        let mut fields = body.split(|b| *b == 0).filter(|f| !f.is_empty());
                        fields
                            .find(|f| f[0] == wanted)
                            .map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
                            .unwrap_or_default()
                    };
                    let is_fatal = field(b'S') == "FATAL";
                    found = Some(Answer::Error(field(b'C'), is_fatal));
                    if is_fatal {
                        return found.unwrap();
                    }
                }
                b'Z' => return found.unwrap_or(Answer::Nothing("ReadyForQuery alone".into())),
                _ => {}
            }
        }
    }

    pub fn query(&mut self, query: &str) -> Answer {
        match self.send(&[query.to_string()]) {
            Ok(()) => self.answer(),
            Err(e) => Answer::Nothing(e.to_string()),
        }
    }
}

/// Sends one query on a connection of its own, and one time more on a new one if the router closed the resting one.
pub struct Session {
    address: SocketAddr,
    client: Option<Client>,
}

impl Session {
    pub fn new(address: SocketAddr) -> Self {
        Session {
            address,
            client: None,
        }
    }

    pub fn query(&mut self, query: &str) -> Answer {
        for _ in 0..2 {
            if self.client.is_none() {
                self.client = Client::connect(self.address).ok();
            }
            let Some(client) = &mut self.client else {
                sleep_ms(20);
                continue;
            };
            match client.query(query) {
                Answer::Nothing(_) => self.client = None,
                Answer::Error(code, true) => {
                    self.client = None;
                    return Answer::Error(code, true);
                }
                answer => return answer,
            }
        }
        Answer::Nothing("no connection".into())
    }
}

// ---------------------------------------------------------------------------------------------------------------------
// The router

pub struct Router {
    child: Child,
    pub address: SocketAddr,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address whose port was free a moment ago.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().unwrap()
}

/// Returns the value of a key of the deploy file.
fn deploy(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
    text.lines()
        .find_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix('=')?.trim_start().strip_prefix('"')?.split_once('"').map(|(v, _)| v.to_string()))
        .expect("the command in deploy/balancer.toml")
}

impl Router {
    /// Starts a router with the command of the deploy file, and waits until it answers an empty query.
    pub fn start(folder: &Path, config: &str, address: SocketAddr, operators: Option<&str>) -> Self {
        let path = folder.join("config.json");
        std::fs::write(&path, config).expect("the temporary folder can be written");
        let mut run = deploy("run");
        if let Some(text) = operators {
            let file = folder.join("operators.star");
            std::fs::write(&file, text).expect("the temporary folder can be written");
            run = format!("{run} --operators {}", file.display());
        }
        let log = File::create(folder.join("router.log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_CONFIG", &path)
            .env_remove("PROXY_LISTEN")
            .env_remove("PROXY_DISCOVERY")
            .env_remove("PROXY_NAME")
            .env("PROXY_LOG", std::env::var("PROXY_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the router starts");
        let pids = folder.join("pids");
        std::fs::write(&pids, format!("{}\n", child.id())).expect("the temporary folder can be written");
        let router = Router { child, address };
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if let Ok(mut client) = Client::connect(address) {
                if client.query("") == Answer::Empty {
                    return router;
                }
            }
            if Instant::now() > until {
                unable("the router was not ready within 20 s");
            }
            sleep_ms(20);
        }
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Ends the case because it could not run.
pub fn unable(why: &str) -> ! {
    println!("the case could not run: {why}");
    // A panic, so that the router is ended on the way out.
    std::panic::panic_any(Unable);
}

pub struct Unable;

/// The configuration of a router. `family` and `profiles` are the parts of the settings that differ between cases.
pub fn config(listen: SocketAddr, discovery: SocketAddr, known: &str, family: &str, profiles: &str) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{known},
"settings":{{"Balancers":3,"SlotNo":0,"Tick":5000,"Tier":0,"Tiers":["trip-db"],"Discovery":"automatic","Zone":"thu-duc","Zones":["thu-duc"],
"KindOfService":"replicas","Kinds":["std-5c"],"CountedBy":"request","OverShareWorth":0.1,"Weights":"nominal",
"Clients":{{"MarksRetry":false}},
"Customers":[{{"Name":"xe-chung-sai-gon","AllowancePerS":240.0,"Portion":0.56}},{{"Name":"di-cung-ha-noi","AllowancePerS":116.0,"Portion":0.27}},{{"Name":"ghep-xe-mien-trung","AllowancePerS":73.0,"Portion":0.17}}],
"FamilyInfo":{{{family}}},
"Limits":{{"Cancel":true,"ConnIdle":30000000,"CpuUsPerRequest":0.0,"CpuUsPerS":74879,"DialTimeout":250000,"MaxAttempts":6,"MaxRetryAfter":500000,"OpenCap":29951,"Peers":false,"Probing":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1}},
"Prices":{{"LateFail":0.058,"Probe":0.022,"Waste":0.05}},
"Profiles":[{profiles}],
"Report":{{"How":"pull","Names":["x0","x1","outstanding","utilization"]}},
"Rules":{{"AskEvery":10000000,"Cold":17000000,"ColdShare":0.15,"DrainGrace":1000000,"GraceToAnswer":20000,"OverloadFactor":4.0,"OverloadFor":2000000}}}}}}
"#
    )
}

/// The classes of the deployment, in the order of `CLASS_READS`.
pub const PROFILES: &str = r#"{"Name":"trip-search","Aim":300000,"Deadline":750000,"Effect":"idempotent","Gain":1.0,"Group":"all","LateWorth":0.0,"Stream":false,"Window":5000000},
{"Name":"my-booking","Aim":400000,"Deadline":1000000,"Effect":"idempotent","Gain":1.0,"Group":"all","LateWorth":0.0,"Stream":false,"Window":5000000},
{"Name":"seat-count","Aim":300000,"Deadline":1200000,"Effect":"idempotent","Gain":2.0,"Group":"all","LateWorth":0.2,"Stream":false,"Window":5000000},
{"Name":"month-report","Aim":3000000,"Deadline":6000000,"Effect":"idempotent","Gain":6.0,"Group":"all","LateWorth":0.0,"Stream":false,"Window":5000000},
{"Name":"book-seat","Aim":400000,"Deadline":5000000,"Effect":"at_most_once","Gain":3.0,"Group":"all","LateWorth":0.7,"Stream":false,"Window":5000000}"#;

/// Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn run(case: fn(&Record, &Path) -> bool) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let temporary = PathBuf::from(std::env::args().nth(2).expect("a temporary folder"));
    let record = Record::open(&folder);
    let played = std::panic::catch_unwind(|| case(&record, &temporary));
    let code = match played {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(_) => {
            record.say("the case could not run");
            2
        }
    };
    std::process::exit(code);
}
