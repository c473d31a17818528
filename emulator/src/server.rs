//! A scripted PostgreSQL server for protocol versions 3.0 and 3.2, with one thread for each connection. It supports all
//! published login methods, sends the bytes of its script as answers, and records what it receives.
//!
//! It follows the manual ("Frontend/Backend Protocol") and shares no framing code with the router, so that a mistake in the
//! router's framing is not repeated here.

use crate::wire;
use plovercove_pgwire::verifier::{ScramExchange, Verifier};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// How the server authenticates clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoginMethod {
    /// All clients are accepted.
    Trust,
    /// Clients send the password in clear text.
    ClearText,
    /// Clients prove the password with MD5.
    Md5,
    /// SCRAM-SHA-256. The server also offers SCRAM-SHA-256-PLUS, which the router does not support.
    Scram,
    /// An authentication request with this number, which the router does not support.
    Other(u32),
    /// The login fails with this error code.
    Reject(&'static str),
}

/// What the server does after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// Waits for the next query.
    KeepOpen,
    /// Closes the connection.
    Close,
    /// Waits for this time (ms) or until the query is cancelled, and then sends the error 57014.
    Work(u64),
}

/// The answer to a query.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Bytes to send. They include ReadyForQuery, unless the test omits it.
    pub bytes: Vec<u8>,
    /// What the server does after sending the bytes.
    pub then: AfterReply,
}

impl Answer {
    /// Creates an answer after which the connection stays open.
    pub fn of(bytes: Vec<u8>) -> Self {
        Answer {
            bytes,
            then: AfterReply::KeepOpen,
        }
    }
}

/// What the server received.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Queries, in the order in which they arrived.
    pub queries: Vec<String>,
    /// Type and body of each message that is not a query.
    pub others: Vec<(u8, Vec<u8>)>,
    /// Number of successful logins.
    pub logins: usize,
    /// Number of cancel requests with the right key.
    pub cancels: usize,
}

/// Password of the user.
pub const PASSWORD: &str = "s3cret of the servers";
/// Name of the only user.
pub const USER: &str = "router";

type Script = Arc<dyn Fn(&str) -> Answer + Send + Sync>;

struct Shared {
    login_method: Mutex<LoginMethod>,
    minor: u32,
    greeting: Vec<u8>,
    script: Script,
    log: Mutex<Log>,
    cancelled: AtomicBool,
    is_stopped: AtomicBool,
}

/// A server that runs until this value is dropped.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// Encodes a message with its type, length and body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::put(&mut out, kind, body);
    out
}

/// Encodes an error or a notice with these fields.
pub fn fields(kind: u8, fields: &[(u8, &str)]) -> Vec<u8> {
    let mut body = Vec::new();
    for (field, text) in fields {
        body.push(*field);
        body.extend_from_slice(text.as_bytes());
        body.push(0);
    }
    body.push(0);
    message(kind, &body)
}

/// Encodes a row description of text columns with these names and types.
pub fn columns(named: &[(&str, u32)]) -> Vec<u8> {
    let mut body = (named.len() as u16).to_be_bytes().to_vec();
    for (name, kind) in named {
        body.extend_from_slice(name.as_bytes());
        body.extend_from_slice(&[0; 7]);
        body.extend_from_slice(&kind.to_be_bytes());
        body.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    }
    message(b'T', &body)
}

/// Encodes a row with these values.
pub fn row(values: &[Option<&[u8]>]) -> Vec<u8> {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&value.map_or(-1i32, |v| v.len() as i32).to_be_bytes());
        body.extend_from_slice(value.unwrap_or_default());
    }
    message(b'D', &body)
}

/// Encodes the completion of a command.
pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', &[tag.as_bytes(), &[0]].concat())
}

/// Encodes ReadyForQuery with this transaction state.
pub fn ready(state: u8) -> Vec<u8> {
    message(b'Z', &[state])
}

impl Server {
    /// Starts a server that supports version 3 up to this minor version.
    pub fn start(
        login_method: LoginMethod,
        minor: u32,
        script: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_with_greeting(login_method, minor, Vec::new(), script)
    }

    /// Starts a server that sends further messages before its first ReadyForQuery.
    pub fn start_with_greeting(
        login_method: LoginMethod,
        minor: u32,
        greeting: Vec<u8>,
        script: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            login_method: Mutex::new(login_method),
            minor,
            greeting,
            script: Arc::new(script),
            log: Mutex::default(),
            cancelled: AtomicBool::new(false),
            is_stopped: AtomicBool::new(false),
        });
        let thread_shared = Arc::clone(&shared);
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if thread_shared.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let shared = Arc::clone(&thread_shared);
                // An error on a connection ends its thread. The log keeps what was received before.
                std::thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(Server {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the login method of new connections.
    pub fn set_login_method(&self, login_method: LoginMethod) {
        *self
            .shared
            .login_method
            .lock()
            .expect("no thread panics with it") = login_method;
    }

    /// Returns what the server has received so far.
    pub fn log(&self) -> Log {
        self.shared
            .log
            .lock()
            .expect("no thread panics with it")
            .clone()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        // One more connection wakes the accepting thread.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn request_authentication(stream: &mut TcpStream, number: u32, more: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(&message(b'R', &[&number.to_be_bytes(), more].concat()))?;
    Ok(wire::message(stream)?.1)
}

/// Authenticates a client. Returns whether it succeeded.
fn authenticate(stream: &mut TcpStream, method: LoginMethod) -> io::Result<bool> {
    let text = |response: &[u8]| response.strip_suffix(&[0]).unwrap_or(response).to_vec();
    Ok(match method {
        LoginMethod::Trust => true,
        LoginMethod::ClearText => {
            text(&request_authentication(stream, 3, &[])?) == PASSWORD.as_bytes()
        }
        LoginMethod::Md5 => {
            let verifier = Verifier::md5_from_password(USER, PASSWORD.as_bytes());
            verifier.matches_md5_response(
                [5, 6, 7, 8],
                &text(&request_authentication(stream, 5, &[5, 6, 7, 8])?),
            )
        }
        LoginMethod::Scram => {
            let Verifier::Scram(verifier) =
                Verifier::scram_from_password(PASSWORD.as_bytes(), &[3; 16], 4_096)
            else {
                return Ok(false);
            };
            let response =
                request_authentication(stream, 10, b"SCRAM-SHA-256-PLUS\0SCRAM-SHA-256\0\0")?;
            let first = response
                .strip_prefix(b"SCRAM-SHA-256\0")
                .and_then(|s| s.get(4..))
                .unwrap_or_default();
            let Some((exchange, answer)) = ScramExchange::start(&verifier, first, "fromtheserver")
            else {
                return Ok(false);
            };
            let last = request_authentication(stream, 11, answer.as_bytes())?;
            let Some(server_final) = exchange.finish(&last) else {
                return Ok(false);
            };
            stream.write_all(&message(
                b'R',
                &[&12u32.to_be_bytes(), server_final.as_bytes()].concat(),
            ))?;
            true
        }
        LoginMethod::Other(number) => {
            request_authentication(stream, number, &[])?;
            false
        }
        LoginMethod::Reject(code) => {
            stream.write_all(&fields(
                b'E',
                &[(b'S', "FATAL"), (b'C', code), (b'M', "no")],
            ))?;
            false
        }
    })
}

/// Returns the cancel key: four bytes in version 3.0, and longer in version 3.2.
fn cancel_key(minor: u32) -> Vec<u8> {
    vec![0x5a; if minor >= 2 { 200 } else { 4 }]
}

fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let first = wire::startup(&mut stream)?;
    let code = first
        .first_chunk::<4>()
        .map_or(0, |c| u32::from_be_bytes(*c));
    if code == 80_877_102 {
        let is_right_key = first
            .get(8..)
            .is_some_and(|s| s == cancel_key(0) || s == cancel_key(2));
        shared.log.lock().expect("no thread panics with it").cancels += usize::from(is_right_key);
        shared.cancelled.store(is_right_key, Ordering::SeqCst);
        return Ok(());
    }
    let minor = (code & 0xffff).min(shared.minor);
    if code & 0xffff > shared.minor {
        stream.write_all(&message(b'v', &[minor.to_be_bytes(), [0; 4]].concat()))?;
    }
    let method = *shared
        .login_method
        .lock()
        .expect("no thread panics with it");
    if !authenticate(&mut stream, method)? {
        return stream.write_all(&fields(
            b'E',
            &[(b'S', "FATAL"), (b'C', "28P01"), (b'M', "no")],
        ));
    }
    let mut greeting = message(b'R', &[0; 4]);
    for (name, value) in [
        ("server_version", "18.0"),
        ("in_hot_standby", "off"),
        ("scram_iterations", "4096"),
    ] {
        greeting.extend(message(
            b'S',
            &[name.as_bytes(), &[0], value.as_bytes(), &[0]].concat(),
        ));
    }
    greeting.extend(message(
        b'K',
        &[&7u32.to_be_bytes()[..], &cancel_key(minor)].concat(),
    ));
    greeting.extend_from_slice(&shared.greeting);
    greeting.extend(ready(b'I'));
    stream.write_all(&greeting)?;
    shared.log.lock().expect("no thread panics with it").logins += 1;
    loop {
        let (kind, body) = wire::message(&mut stream)?;
        if kind == b'X' {
            return Ok(());
        }
        if kind != b'Q' {
            shared
                .log
                .lock()
                .expect("no thread panics with it")
                .others
                .push((kind, body));
            if kind == b'f' {
                let mut out = fields(
                    b'E',
                    &[
                        (b'S', "ERROR"),
                        (b'C', "57014"),
                        (b'M', "COPY from stdin failed"),
                    ],
                );
                out.extend(ready(b'I'));
                stream.write_all(&out)?;
            }
            continue;
        }
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        // The script does not see the queries that the router itself sends.
        let answer = if text.is_empty() {
            Answer::of([message(b'I', &[]), ready(b'I')].concat())
        } else if text.starts_with("SHOW") {
            Answer::of(
                [
                    fields(b'E', &[(b'S', "ERROR"), (b'C', "42704"), (b'M', "unknown")]),
                    ready(b'I'),
                ]
                .concat(),
            )
        } else {
            shared
                .log
                .lock()
                .expect("no thread panics with it")
                .queries
                .push(text.clone());
            (shared.script)(&text)
        };
        stream.write_all(&answer.bytes)?;
        match answer.then {
            AfterReply::KeepOpen => {}
            AfterReply::Close => return Ok(()),
            AfterReply::Work(ms) => {
                for _ in 0..ms {
                    if shared.cancelled.swap(false, Ordering::SeqCst) {
                        break;
                    }
                    std::thread::sleep(Duration::from_millis(1));
                }
                let out = fields(
                    b'E',
                    &[(b'S', "ERROR"), (b'C', "57014"), (b'M', "cancelled")],
                );
                stream.write_all(&[out, ready(b'I')].concat())?;
            }
        }
    }
}
