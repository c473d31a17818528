//! Peers of a router that behave badly: an agent whose answers a test words itself, and db nodes that refuse, close,
//! keep silent or answer with spoilt and short reports. Each counts what came to it.

use crate::wire;
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What an agent does with a call.
#[derive(Clone, Debug)]
pub enum AgentReply {
    /// Answers with this body.
    Body(String),
    /// Answers with this status and no body.
    Status(u16),
    /// Says nothing and keeps the connection open.
    Silence,
    /// Sends the first half of this body and then nothing.
    FirstHalf(String),
    /// Sends so many bytes of the answer with this body, head and all, and then nothing.
    FirstBytes(String, usize),
    /// Closes the connection.
    Close,
    /// Answers with this body and no length, and ends the connection.
    BodyThenClose(String),
    /// Answers with this body and no length, and resets the connection.
    BodyThenReset(String),
    /// Answers twice, in one write.
    TwoBodies(String, String),
    /// Resets the connection and says nothing.
    Reset,
}

/// A call that waits for its part of the script looks so often whether the router still waits for it.
const LOOKS: Duration = Duration::from_millis(10);

/// A number in a call's first line.
fn number(line: &str, name: &str) -> Option<u64> {
    let rest = line.split_once(name)?.1;
    rest.split(|c: char| !c.is_ascii_digit())
        .next()?
        .parse()
        .ok()
}

/// Whether the other side still waits: it has neither ended nor reset the connection.
fn waits(connection: &TcpStream) -> bool {
    let looked = connection
        .set_nonblocking(true)
        .and_then(|()| connection.peek(&mut [0]));
    let open = matches!(looked, Err(ref e) if e.kind() == io::ErrorKind::WouldBlock)
        || matches!(looked, Ok(1..));
    connection.set_nonblocking(false).is_ok() && open
}

/// An agent that does what it is told, call by call. When its script is at an end it holds calls, as agents do: a watch is
/// answered with nothing new when its wait is over, and one for the whole list waits for what the script says next.
pub struct Agent {
    address: SocketAddr,
    script: Arc<(Mutex<Vec<AgentReply>>, Condvar)>,
    calls: Arc<Mutex<Vec<Call>>>,
    down: Arc<AtomicBool>,
}

/// A call as the agent saw it.
#[derive(Clone, Debug)]
struct Call {
    line: String,
    came: Instant,
    /// When the agent had said all that it was going to say to it.
    said: Option<Instant>,
}

impl Agent {
    /// An agent with the first part of its script.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(mut script: Vec<AgentReply>) -> io::Result<Self> {
        script.reverse();
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let agent = Agent {
            address: listener.local_addr()?,
            script: Arc::new((Mutex::new(script), Condvar::new())),
            calls: Arc::default(),
            down: Arc::default(),
        };
        let (script, calls, down) = (
            agent.script.clone(),
            agent.calls.clone(),
            agent.down.clone(),
        );
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let (script, calls, down) = (script.clone(), calls.clone(), down.clone());
                std::thread::spawn(move || drop(Self::serve(connection, &script, &calls, &down)));
            }
        });
        Ok(agent)
    }

    /// From now on it resets its connections, and every new one at once.
    pub fn go_down(&self) {
        self.down.store(true, Ordering::SeqCst);
    }

    /// It takes connections in again.
    pub fn come_back(&self) {
        self.down.store(false, Ordering::SeqCst);
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds to the end of its script.
    pub fn push_reply(&self, says: AgentReply) {
        self.script
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(0, says);
        self.script.1.notify_all();
    }

    /// The first lines of the calls so far.
    pub fn calls(&self) -> Vec<String> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.iter().map(|call| call.line.clone()).collect()
    }

    /// For each call when it came, and when the agent had said all that it was going to say.
    pub fn times(&self) -> Vec<(Instant, Option<Instant>)> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.iter().map(|call| (call.came, call.said)).collect()
    }

    /// Waits until it has been called so often.
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
                came: Instant::now(),
                said: None,
            };
            let mut all = calls.lock().unwrap_or_else(PoisonError::into_inner);
            all.push(call);
            let place = all.len() - 1;
            drop(all);
            let said = || {
                let mut all = calls.lock().unwrap_or_else(PoisonError::into_inner);
                all[place].said = Some(Instant::now());
            };
            let version = number(&first, "after=").unwrap_or(0);
            let until =
                number(&first, "wait_ms=").map(|ms| Instant::now() + Duration::from_millis(ms));
            let mut left = script.0.lock().unwrap_or_else(PoisonError::into_inner);
            let says = loop {
                // What a router has given up takes nothing from those that it still waits for.
                if !waits(&writer) {
                    return Ok(());
                }
                if down.load(Ordering::SeqCst) {
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                if let Some(says) = left.pop() {
                    break says;
                }
                if until.is_some_and(|until| until <= Instant::now()) {
                    let nothing =
                        serde_json::json!({"index": version, "snapshot": false, "endpoints": []});
                    break AgentReply::Body(nothing.to_string());
                }
                let over = until.map_or(LOOKS, |until| {
                    until.saturating_duration_since(Instant::now())
                });
                let waited = script.1.wait_timeout(left, over.min(LOOKS));
                left = waited.unwrap_or_else(PoisonError::into_inner).0;
            };
            drop(left);
            let head =
                |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            match says {
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
                    said();
                    return writer.shutdown(Shutdown::Both);
                }
                AgentReply::BodyThenClose(body) => {
                    write!(writer, "HTTP/1.1 200 OK\r\n\r\n{body}")?;
                    said();
                    return writer.shutdown(Shutdown::Both);
                }
                AgentReply::BodyThenReset(body) => {
                    write!(writer, "HTTP/1.1 200 OK\r\n\r\n{body}")?;
                    said();
                    // Closed with nothing lingering: a reset, once the last owner goes.
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                AgentReply::Reset => {
                    said();
                    return socket2::SockRef::from(&writer).set_linger(Some(Duration::ZERO));
                }
                AgentReply::TwoBodies(one, two) => {
                    let both = [head(one.len()), one, head(two.len()), two].concat();
                    writer.write_all(both.as_bytes())?;
                }
                AgentReply::Silence => {
                    said();
                    // Until the router gives the connection up.
                    reader.read_to_end(&mut Vec::new())?;
                    return Ok(());
                }
            }
            said();
        }
    }
}

/// What a slow node takes over a statement.
const SLOW: Duration = Duration::from_millis(120);

/// How a db node behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NodeBehavior {
    /// Serves, and tells its position and load when asked.
    Healthy,
    /// Nothing listens there.
    RefuseConnection,
    /// Takes a connection in and closes it at once.
    CloseOnConnect,
    /// Takes a connection in and says nothing, ever.
    Silent,
    /// Greets, and closes when a statement comes.
    CloseOnStatement,
    /// Greets, and says nothing more once a statement comes: what it has been sent waits until its router gives it up.
    HangOnStatement,
    /// Serves, and takes its time over each statement.
    Slow,
    /// Serves, but its reports lack all fields but one.
    ShortReport,
    /// Serves, but its reports are no reports.
    MalformedReport,
}

#[derive(Default)]
struct Counts {
    connections: AtomicUsize,
    ran: Mutex<HashMap<String, usize>>,
}

/// A db node with manners of its own.
pub struct Node {
    address: SocketAddr,
    counts: Arc<Counts>,
    /// Keeps the port of one that refuses from being another's.
    _held: Option<socket2::Socket>,
}

impl Node {
    /// A node that behaves so, as primary or as replica.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(manner: NodeBehavior, primary: bool) -> io::Result<Self> {
        let counts = Arc::<Counts>::default();
        if manner == NodeBehavior::RefuseConnection {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
            socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
            let address = socket
                .local_addr()?
                .as_socket()
                .ok_or(io::ErrorKind::AddrNotAvailable)?;
            return Ok(Node {
                address,
                counts,
                _held: Some(socket),
            });
        }
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let node = Node {
            address: listener.local_addr()?,
            counts,
            _held: None,
        };
        let counts = node.counts.clone();
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                counts.connections.fetch_add(1, Ordering::Relaxed);
                let counts = counts.clone();
                std::thread::spawn(move || drop(Self::talk(connection, manner, primary, &counts)));
            }
        });
        Ok(node)
    }

    /// Where it listens, or would.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that came.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// How often each statement came whole, by its id.
    pub fn ran(&self) -> HashMap<String, usize> {
        self.counts
            .ran
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn talk(
        mut stream: TcpStream,
        manner: NodeBehavior,
        primary: bool,
        counts: &Counts,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        match manner {
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
            let mut out = Vec::new();
            if statement == "SHOW pressure" {
                let position = crate::now() as f64 / 1e6;
                let report = match manner {
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
                if manner == NodeBehavior::Slow {
                    std::thread::sleep(SLOW);
                }
                match manner {
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
