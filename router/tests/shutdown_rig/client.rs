//! A client of a planned restart. It records each request that it has written completely, and what came back.

use super::plan::{self, ClientKind, ClientScript};
use super::sleep_until;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

/// Time after SIGKILL until which a client waits for the end of its connection.
const TIME_AFTER_KILL: Duration = Duration::from_secs(2);
const EMPTY_QUERY: &[u8] = b"Q\0\0\0\x05\0";
const EMPTY_QUERIES_AT_ONCE: usize = 1_000;
const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";

/// How a connection ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

/// An answer: the code of an error, or `row`.
#[derive(Clone, Debug)]
pub struct Answer {
    pub label: String,
    pub at: Instant,
}

/// A request that was written completely.
#[derive(Clone, Debug)]
pub struct Record {
    pub client: usize,
    pub kind: &'static str,
    pub id: String,
    pub timeout: Duration,
    pub written_at: Instant,
    /// Time at which all answers before its own had arrived.
    pub first_in_line_at: Instant,
    pub answer: Option<Answer>,
    /// How and when its connection ended.
    pub end: (ConnectionEnd, Instant),
    /// Whether the client read at once, so that the times are those at which the router wrote.
    pub reads_at_once: bool,
}

/// What the reading thread of a connection reports.
enum Received {
    LoggedIn,
    Answer(Answer),
    End(ConnectionEnd, Instant),
}

/// A connection with a thread that reads its answers.
struct Connection {
    stream: TcpStream,
    received: Receiver<Received>,
    answers: Vec<Answer>,
    end: Option<(ConnectionEnd, Instant)>,
}

impl Connection {
    /// Connects. Returns `None` if the router does not listen any more.
    fn open(to: SocketAddr, reads_from: Option<Instant>) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).expect("no delay");
        // Buffered, so that the client reads as fast as the router writes.
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        let (sender, received) = channel();
        std::thread::spawn(move || {
            if let Some(at) = reads_from {
                sleep_until(at);
            }
            let end = read_answers(&mut reader, |answer| drop(sender.send(answer)));
            drop(sender.send(Received::End(end, Instant::now())));
        });
        Some(Connection {
            stream,
            received,
            answers: Vec::new(),
            end: None,
        })
    }

    /// Takes what has been received, and waits for more until `at` or until `is_enough`.
    fn receive(&mut self, at: Instant, is_enough: impl Fn(&Self) -> bool) {
        while self.end.is_none() && !is_enough(self) {
            let left = at.saturating_duration_since(Instant::now());
            match self.received.recv_timeout(left) {
                Ok(Received::LoggedIn) => {}
                Ok(Received::Answer(answer)) => self.answers.push(answer),
                Ok(Received::End(end, at)) => self.end = Some((end, at)),
                Err(RecvTimeoutError::Timeout) => return,
                Err(RecvTimeoutError::Disconnected) => unreachable!("the end is reported first"),
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.receive(Instant::now(), |_| false);
        self.end.is_none()
    }

    /// Writes bytes in this number of pieces. Returns false if the connection has ended.
    fn write(&mut self, bytes: &[u8], pieces: usize, pause: Duration) -> bool {
        for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
            if !self.is_open() || self.stream.write_all(piece).is_err() {
                return false;
            }
            if pieces > 1 {
                std::thread::sleep(pause);
            }
        }
        true
    }
}

/// Reads until the connection ends.
fn read_answers(stream: &mut impl Read, mut report: impl FnMut(Received)) -> ConnectionEnd {
    let mut is_logged_in = false;
    let mut label = None;
    loop {
        let (kind, body) = match read_message(stream) {
            Ok(message) => message,
            Err(error) => {
                // An error that ends the session is the answer to the request that was first in line.
                if let Some(label) = label.take() {
                    let at = Instant::now();
                    report(Received::Answer(Answer { label, at }));
                }
                return match error.kind() {
                    ErrorKind::UnexpectedEof => ConnectionEnd::Closed,
                    _ => ConnectionEnd::Reset,
                };
            }
        };
        match kind {
            b'D' => label = Some("row".to_string()),
            b'E' => {
                let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                label = Some(String::from_utf8_lossy(code.unwrap_or_default()).into_owned());
            }
            b'Z' if !is_logged_in => {
                is_logged_in = true;
                report(Received::LoggedIn);
            }
            b'Z' => {
                let label = label.take().unwrap_or_default();
                let at = Instant::now();
                report(Received::Answer(Answer { label, at }));
            }
            _ => {}
        }
    }
}

fn read_message(stream: &mut impl Read) -> std::io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let [kind, length @ ..] = head;
    let mut body = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut body)?;
    Ok((kind, body))
}

/// A request that was written, before its answer is known.
struct Sent {
    id: String,
    timeout: Duration,
    written_at: Instant,
}

struct Client<'a> {
    number: usize,
    script: &'a ClientScript,
    connection: Connection,
    sent: Vec<Sent>,
}

impl Client<'_> {
    fn query(&self) -> (String, Vec<u8>) {
        let id = format!("{:x}f{:x}", self.number, self.sent.len());
        let class = plan::CLASSES[self.script.class].0;
        let text = format!(
            "/* id={id},c={class},t=acme,d={},cluster=1 */ SELECT body FROM objects WHERE oid = '7f'",
            self.script.timeout_ms
        );
        let length = (text.len() as u32 + 5).to_be_bytes();
        let message = [b"Q", &length[..], text.as_bytes(), b"\0"].concat();
        (id, message)
    }

    /// Sends one request. Returns false if the connection has ended.
    fn send(&mut self, pieces: usize) -> bool {
        let (id, message) = self.query();
        if !self
            .connection
            .write(&message, pieces, self.script.interval)
        {
            return false;
        }
        self.sent.push(Sent {
            id,
            timeout: Duration::from_millis(self.script.timeout_ms),
            written_at: Instant::now(),
        });
        true
    }

    /// Sends many empty queries. Returns false if the connection has ended.
    fn flood(&mut self) -> bool {
        let queries = EMPTY_QUERY.repeat(EMPTY_QUERIES_AT_ONCE);
        self.connection.write(&queries, 1, Duration::ZERO)
    }

    fn wait_for_all_answers(&mut self, until: Instant) {
        let expected = self.sent.len();
        self.connection
            .receive(until, |connection| connection.answers.len() >= expected);
    }

    fn into_records(mut self, until: Instant) -> Vec<Record> {
        self.connection.receive(until, |_| false);
        let end = self.connection.end.expect("the router has been killed");
        let answers = &self.connection.answers;
        let (number, kind) = (self.number, self.script.kind.label());
        let reads_at_once = self.script.reads_from.is_none();
        let sent = self.sent.into_iter().enumerate();
        sent.map(|(index, sent)| Record {
            client: number,
            kind,
            id: sent.id,
            timeout: sent.timeout,
            written_at: sent.written_at,
            first_in_line_at: match index.checked_sub(1).and_then(|i| answers.get(i)) {
                Some(before) => before.at,
                None => sent.written_at,
            },
            answer: answers.get(index).cloned(),
            end,
            reads_at_once,
        })
        .collect()
    }
}

/// Plays the script of a client, and returns its requests.
pub fn run(
    number: usize,
    script: &ClientScript,
    listen: SocketAddr,
    sigterm_at: Instant,
    sigkill_at: Instant,
) -> Vec<Record> {
    sleep_until(script.connect_at.from(sigterm_at));
    let reads_from = script.reads_from.map(|at| at.from(sigterm_at));
    let Some(connection) = Connection::open(listen, reads_from) else {
        return Vec::new();
    };
    let mut client = Client {
        number,
        script,
        connection,
        sent: Vec::new(),
    };
    let login_pieces = match script.kind {
        ClientKind::SlowLogin => 2,
        _ => 1,
    };
    let is_logging_in = client
        .connection
        .write(STARTUP, login_pieces, script.interval);
    sleep_until(script.first_request_at.from(sigterm_at));
    let mut may_send = is_logging_in && script.kind != ClientKind::Mute;
    while may_send && Instant::now() < sigkill_at {
        may_send = match script.kind {
            ClientKind::Pipelining => {
                let sent_all = client.send(1);
                client
                    .connection
                    .receive(Instant::now() + script.interval, |_| false);
                sent_all
            }
            ClientKind::Pieces => client.send(4),
            ClientKind::Mute => false,
            ClientKind::Flooding => client.flood(),
            ClientKind::Sequential | ClientKind::SlowLogin => client.send(1),
        };
        if !matches!(script.kind, ClientKind::Pipelining | ClientKind::Flooding) {
            client.wait_for_all_answers(sigkill_at + TIME_AFTER_KILL);
            std::thread::sleep(script.interval);
        }
    }
    client.into_records(sigkill_at + TIME_AFTER_KILL)
}
