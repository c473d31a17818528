//! Peers of a router that misbehave: a discovery agent whose answers are scripted by a test, and db nodes that refuse or
//! close connections, do not answer, or send malformed or incomplete reports. Each counts what it receives.

use crate::wire;
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What an agent does with a call, which is one HTTP request of a router.
#[derive(Clone, Debug)]
pub enum AgentReply {
    /// Answers with this body.
    Body(String),
    /// Answers with this status and no body.
    Status(u16),
    /// Sends nothing and keeps the connection open.
    Silence,
    /// Sends the head and the first half of this body, and then nothing.
    FirstHalf(String),
    /// Sends only this number of bytes of the answer with this body, counted from the beginning of the head.
    FirstBytes(String, usize),
    /// Closes the connection.
    Close,
    /// Answers with this body, without `Content-Length`, and closes the connection.
    BodyThenClose(String),
    /// Answers with this body, without `Content-Length`, and resets the connection.
    BodyThenReset(String),
    /// Sends two answers in one write.
    TwoBodies(String, String),
    /// Resets the connection without an answer.
    Reset,
}

/// Interval at which a call that waits for the next scripted reply checks whether the router still waits for its answer.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the number after a name in the first line of a call.
fn query_number(line: &str, name: &str) -> Option<u64> {
    let rest = line.split_once(name)?.1;
    rest.split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}

/// Returns whether the other side has neither closed nor reset the connection.
fn is_open(connection: &TcpStream) -> bool {
    let peeked = connection
        .set_nonblocking(true)
        .and_then(|()| connection.peek(&mut [0]));
    let is_open = matches!(peeked, Err(ref e) if e.kind() == io::ErrorKind::WouldBlock)
        || matches!(peeked, Ok(1..));
    connection.set_nonblocking(false).is_ok() && is_open
}

/// An agent that answers one call after the other as its script says.
///
/// At the end of its script it keeps calls open, as real agents do: it answers a watch without changes when the wait time is
/// over, and a call for the complete list waits for the next scripted reply.
pub struct Agent {
    address: SocketAddr,
    script: Arc<(Mutex<Vec<AgentReply>>, Condvar)>,
    calls: Arc<Mutex<Vec<Call>>>,
    is_down: Arc<AtomicBool>,
}

/// A call that the agent received.
#[derive(Clone, Debug)]
struct Call {
    /// First line of the request.
    line: String,
    received_at: Instant,
    /// Time at which the agent had sent all of its answer.
    answered_at: Option<Instant>,
}

impl Agent {
    /// Starts an agent with the beginning of its script.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(mut script: Vec<AgentReply>) -> io::Result<Self> {
        script.reverse();
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let agent = Agent {
            address: listener.local_addr()?,
            script: Arc::new((Mutex::new(script), Condvar::new())),
            calls: Arc::default(),
            is_down: Arc::default(),
        };
        let (script, calls, down) = (
            agent.script.clone(),
            agent.calls.clone(),
            agent.is_down.clone(),
        );
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let (script, calls, down) = (script.clone(), calls.clone(), down.clone());
                std::thread::spawn(move || drop(Self::serve(connection, &script, &calls, &down)));
            }
        });
        Ok(agent)
    }

    /// Makes the agent reset its connections, and each new one at once.
    pub fn go_down(&self) {
        self.is_down.store(true, Ordering::SeqCst);
    }

    /// Makes the agent accept connections again.
    pub fn come_back(&self) {
        self.is_down.store(false, Ordering::SeqCst);
    }

    /// Returns the address on which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Appends a reply to the script.
    pub fn push_reply(&self, reply: AgentReply) {
        self.script
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(0, reply);
        self.script.1.notify_all();
    }

    /// Returns the first lines of the calls so far.
    pub fn calls(&self) -> Vec<String> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.iter().map(|call| call.line.clone()).collect()
    }

    /// Returns for each call the time at which it arrived, and the time at which the agent had sent all of its answer.
    pub fn times(&self) -> Vec<(Instant, Option<Instant>)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls
            .iter()
            .map(|call| (call.received_at, call.answered_at))
            .collect()
    }

    /// Waits until the agent has received this number of calls. Returns whether it has.
    pub fn wait_for_calls(&self, times: usize, within: Duration) -> bool {
        let until = Instant::now() + within;
        while self.calls().len() < times && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.calls().len() >= times
    }

    fn serve(
        connection: TcpStream,
        script: &(Mutex<Vec<AgentReply>>, Condvar),
        calls: &Mutex<Vec<Call>>,
        down: &AtomicBool,
    ) -> io::Result<()> {
        if down.load(Ordering::SeqCst) {
            return socket2::SockRef::from(&connection).set_linger(Some(Duration::ZERO));
        }
        let mut reader = BufReader::new(connection.try_clone()?);
        let mut writer = connection;
        loop {
            let Some(first) = wire::request(&mut reader)? else {
                return Ok(());
            };
            let call = Call {
                line: first.trim().to_string(),
                received_at: Instant::now(),
                answered_at: None,
            };
            let mut all = calls.lock().unwrap_or_else(PoisonError::into_inner);
            all.push(call);
            let index = all.len() - 1;
            drop(all);
            let record_answer = || {
                let mut all = calls.lock().unwrap_or_else(PoisonError::into_inner);
                all[index].answered_at = Some(Instant::now());
            };
            let version = query_number(&first, "after=").unwrap_or(0);
            let until = query_number(&first, "wait_ms=")
                .map(|ms| Instant::now() + Duration::from_millis(ms));
            let mut replies = script.0.lock().unwrap_or_else(PoisonError::into_inner);
            let reply = loop {
                // A call that the router has given up must not take a reply from a call for which it still waits.
                if !is_open(&writer) {
                    return Ok(());
                }
                if down.load(Ordering::SeqCst) {
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                if let Some(reply) = replies.pop() {
                    break reply;
                }
                if until.is_some_and(|until| until <= Instant::now()) {
                    let nothing =
                        serde_json::json!({"index": version, "snapshot": false, "endpoints": []});
                    break AgentReply::Body(nothing.to_string());
                }
                let time_left = until.map_or(POLL_INTERVAL, |until| {
                    until.saturating_duration_since(Instant::now())
                });
                let waited = script.1.wait_timeout(replies, time_left.min(POLL_INTERVAL));
                replies = waited.unwrap_or_else(PoisonError::into_inner).0;
            };
            drop(replies);
            let head =
                |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            match reply {
                AgentReply::Body(body) => write!(writer, "{}{body}", head(body.len()))?,
                AgentReply::Status(status) => {
                    write!(writer, "HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n")?;
                }
                AgentReply::FirstHalf(body) => {
                    write!(writer, "{}{}", head(body.len()), &body[..body.len() / 2])?
                }
                AgentReply::FirstBytes(body, count) => {
                    let whole = head(body.len()) + &body;
                    writer.write_all(&whole.as_bytes()[..count.min(whole.len())])?;
                }
                AgentReply::Close => {
                    record_answer();
                    return writer.shutdown(Shutdown::Both);
                }
                AgentReply::BodyThenClose(body) => {
                    write!(writer, "HTTP/1.1 200 OK\r\n\r\n{body}")?;
                    record_answer();
                    return writer.shutdown(Shutdown::Both);
                }
                AgentReply::BodyThenReset(body) => {
                    write!(writer, "HTTP/1.1 200 OK\r\n\r\n{body}")?;
                    record_answer();
                    // With a linger time of 0, the connection is reset when its last owner drops it.
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                AgentReply::Reset => {
                    record_answer();
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                AgentReply::TwoBodies(one, two) => {
                    let both = [head(one.len()), one, head(two.len()), two].concat();
                    writer.write_all(both.as_bytes())?;
                }
                AgentReply::Silence => {
                    record_answer();
                    // Waits until the router closes the connection.
                    reader.read_to_end(&mut Vec::new())?;
                    return Ok(());
                }
            }
            record_answer();
        }
    }
}

/// Time that a slow node takes for a statement.
const SLOW_STATEMENT_TIME: Duration = Duration::from_millis(120);

/// Behavior of a db node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodeBehavior {
    /// Serves statements, and reports its position and load on request.
    Healthy,
    /// Does not listen, so that connections are refused.
    RefuseConnection,
    /// Accepts connections and closes them at once.
    CloseOnConnect,
    /// Accepts connections and never sends anything.
    Silent,
    /// Sends the greeting, and closes the connection when a statement arrives.
    CloseOnStatement,
    /// Sends the greeting, and never answers a statement. The statement waits until the router gives it up.
    HangOnStatement,
    /// Serves each statement slowly.
    Slow,
    /// Serves statements, but its reports have only one field.
    ShortReport,
    /// Serves statements, but its reports are malformed.
    MalformedReport,
}

#[derive(Default)]
struct Counts {
    connections: AtomicUsize,
    ran: Mutex<HashMap<String, usize>>,
}

/// The behavior of a node, which a test may change while the node runs.
#[derive(Clone)]
struct CurrentBehavior(Arc<Mutex<NodeBehavior>>);

impl CurrentBehavior {
    fn new(behavior: NodeBehavior) -> Self {
        CurrentBehavior(Arc::new(Mutex::new(behavior)))
    }

    fn get(&self) -> NodeBehavior {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, behavior: NodeBehavior) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = behavior;
    }
}

/// A db node with a given behavior.
pub struct Node {
    address: SocketAddr,
    behavior: CurrentBehavior,
    counts: Arc<Counts>,
    /// Reserves the port of a node that refuses connections.
    _reserved_port: Option<socket2::Socket>,
}

impl Node {
    /// Starts a node with this behavior, as primary or as replica.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(behavior: NodeBehavior, primary: bool) -> io::Result<Self> {
        let counts = Arc::<Counts>::default();
        let current = CurrentBehavior::new(behavior);
        if behavior == NodeBehavior::RefuseConnection {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
            socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
            let address = socket
                .local_addr()?
                .as_socket()
                .ok_or(io::ErrorKind::AddrNotAvailable)?;
            return Ok(Node {
                address,
                behavior: current,
                counts,
                _reserved_port: Some(socket),
            });
        }
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let node = Node {
            address: listener.local_addr()?,
            behavior: current,
            counts,
            _reserved_port: None,
        };
        let (counts, behavior) = (node.counts.clone(), node.behavior.clone());
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                counts.connections.fetch_add(1, Ordering::Relaxed);
                let (counts, behavior) = (counts.clone(), behavior.clone());
                std::thread::spawn(move || {
                    drop(Self::serve_connection(
                        connection, &behavior, primary, &counts,
                    ))
                });
            }
        });
        Ok(node)
    }

    /// Returns the address of the node.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the behavior for connections and statements that arrive from now on. A node that was started with
    /// [`NodeBehavior::RefuseConnection`] never listens.
    pub fn set_behavior(&self, behavior: NodeBehavior) {
        self.behavior.set(behavior);
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of times that each statement was received completely, by id.
    pub fn ran(&self) -> HashMap<String, usize> {
        self.counts
            .ran
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn serve_connection(
        mut stream: TcpStream,
        current: &CurrentBehavior,
        primary: bool,
        counts: &Counts,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match current.get() {
            NodeBehavior::CloseOnConnect => return stream.shutdown(Shutdown::Both),
            NodeBehavior::Silent => return stream.read_to_end(&mut Vec::new()).map(drop),
            _ => {}
        }
        let role = if primary { "primary" } else { "standby" };
        wire::welcome(&mut stream, role)?;
        loop {
            let Some(text) = wire::statement(&mut stream)? else {
                return Ok(());
            };
            let statement = text.as_str();
            let behavior = current.get();
            let mut out = Vec::new();
            if statement.is_empty() {
                wire::put(&mut out, b'I', b"");
            } else if statement == "SHOW pressure" {
                let position = crate::now() as f64 / 1e6;
                let report = match behavior {
                    NodeBehavior::ShortReport => "util=0.2".to_string(),
                    NodeBehavior::MalformedReport => {
                        "x0=never,x1=,,inflight=-7=8,\u{fffd}".to_string()
                    }
                    _ => format!(
                        "x0={position:.6},x1={},inflight=0,util=0.10",
                        u8::from(primary)
                    ),
                };
                wire::put_row(&mut out, report.as_bytes());
            } else if let Some(id) = wire::label(statement, "id") {
                *counts
                    .ran
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .entry(id.into())
                    .or_default() += 1;
                if behavior == NodeBehavior::Slow {
                    std::thread::sleep(SLOW_STATEMENT_TIME);
                }
                match behavior {
                    NodeBehavior::CloseOnStatement => return stream.shutdown(Shutdown::Both),
                    NodeBehavior::HangOnStatement => {
                        return stream.read_to_end(&mut Vec::new()).map(drop);
                    }
                    _ => {}
                }
                wire::put_status(&mut out, "replication_role", role);
                wire::put_row(&mut out, id.as_bytes());
            } else {
                wire::put_error(&mut out, "08P01");
            }
            wire::put_ready(&mut out);
            stream.write_all(&out)?;
        }
    }
}
