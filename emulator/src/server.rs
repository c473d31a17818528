//! A scripted server of versions 3.0 and 3.2, one thread a connection: it logs clients in by any published method, answers
//! what its script says, byte by byte, and notes what it was sent.
//!
//! It is written from the manual ("Frontend/Backend Protocol") and shares no framing with the router.

use crate::wire;
use plovercove_pgwire::verifier::{ScramExchange, Verifier};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// How it lets clients in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoginMethod {
    /// Everyone is welcome.
    Trust,
    /// The password in clear text.
    ClearText,
    /// MD5.
    Md5,
    /// SCRAM-SHA-256, beside one that the client cannot know.
    Scram,
    /// A method of that number, which no client here can meet.
    Other(u32),
    /// An error of that code instead of a login.
    Reject(&'static str),
}

/// What it does after a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterReply {
    /// It waits for the next query.
    KeepOpen,
    /// It closes the connection.
    Close,
    /// It waits for so many milliseconds, or until it is cancelled, and then says 57014.
    Work(u64),
}

/// What it answers to a query.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Bytes, ReadyForQuery among them where there is to be one.
    pub bytes: Vec<u8>,
    /// What then.
    pub then: AfterReply,
}

impl Answer {
    /// These bytes, and it stays.
    pub fn of(bytes: Vec<u8>) -> Self {
        Answer {
            bytes,
            then: AfterReply::KeepOpen,
        }
    }
}

/// What it was sent.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Queries, in the order they came.
    pub queries: Vec<String>,
    /// Messages of other kinds than queries, by kind, with their bodies.
    pub others: Vec<(u8, Vec<u8>)>,
    /// Logins that were let in, and cancels with the right key.
    pub logins: usize,
    /// See `logins`.
    pub cancels: usize,
}

/// Its password, and the user's name.
pub const PASSWORD: &str = "s3cret of the servers";
/// The user that it knows.
pub const USER: &str = "router";

type Script = Arc<dyn Fn(&str) -> Answer + Send + Sync>;

struct Shared {
    gate: Mutex<LoginMethod>,
    minor: u32,
    greeting: Vec<u8>,
    script: Script,
    log: Mutex<Log>,
    cancelled: AtomicBool,
    over: AtomicBool,
}

/// A server that runs until it is dropped.
pub struct Server {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// One message: its kind, its length and its body.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    wire::put(&mut out, kind, body);
    out
}

/// An error or a notice of these fields.
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

/// A description of text columns of these names and types.
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

/// A row of these values.
pub fn row(values: &[Option<&[u8]>]) -> Vec<u8> {
    let mut body = (values.len() as u16).to_be_bytes().to_vec();
    for value in values {
        body.extend_from_slice(&value.map_or(-1i32, |v| v.len() as i32).to_be_bytes());
        body.extend_from_slice(value.unwrap_or_default());
    }
    message(b'D', &body)
}

/// A command's completion.
pub fn complete(tag: &str) -> Vec<u8> {
    message(b'C', &[tag.as_bytes(), &[0]].concat())
}

/// Ready, in this state.
pub fn ready(state: u8) -> Vec<u8> {
    message(b'Z', &[state])
}

impl Server {
    /// Starts one that speaks version 3 up to this minor version.
    pub fn start(
        gate: LoginMethod,
        minor: u32,
        script: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::greeting(gate, minor, Vec::new(), script)
    }

    /// The same, with further messages before it is ready for the first query.
    pub fn greeting(
        gate: LoginMethod,
        minor: u32,
        greeting: Vec<u8>,
        script: impl Fn(&str) -> Answer + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            gate: Mutex::new(gate),
            minor,
            greeting,
            script: Arc::new(script),
            log: Mutex::default(),
            cancelled: AtomicBool::new(false),
            over: AtomicBool::new(false),
        });
        let mine = Arc::clone(&shared);
        let thread = std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if mine.over.load(Ordering::SeqCst) {
                    return;
                }
                let shared = Arc::clone(&mine);
                // A connection that breaks ends its thread; the test sees what came before.
                std::thread::spawn(move || drop(serve(stream, &shared)));
            }
        });
        Ok(Server {
            address,
            shared,
            thread: Some(thread),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on it lets clients in so.
    pub fn set_gate(&self, gate: LoginMethod) {
        *self.shared.gate.lock().expect("no thread panics with it") = gate;
    }

    /// What it has been sent so far.
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
        self.shared.over.store(true, Ordering::SeqCst);
        // Its own listener wakes up for one more connection.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn ask(stream: &mut TcpStream, number: u32, more: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(&message(b'R', &[&number.to_be_bytes(), more].concat()))?;
    Ok(wire::message(stream)?.1)
}

/// Whether the client is let in.
fn gate(stream: &mut TcpStream, gate: LoginMethod) -> io::Result<bool> {
    let text = |said: &[u8]| said.strip_suffix(&[0]).unwrap_or(said).to_vec();
    Ok(match gate {
        LoginMethod::Trust => true,
        LoginMethod::ClearText => text(&ask(stream, 3, &[])?) == PASSWORD.as_bytes(),
        LoginMethod::Md5 => {
            let kept = Verifier::md5_from_password(USER, PASSWORD.as_bytes());
            kept.matches_md5_response([5, 6, 7, 8], &text(&ask(stream, 5, &[5, 6, 7, 8])?))
        }
        LoginMethod::Scram => {
            let Verifier::Scram(kept) =
                Verifier::scram_from_password(PASSWORD.as_bytes(), &[3; 16], 4_096)
            else {
                return Ok(false);
            };
            let said = ask(stream, 10, b"SCRAM-SHA-256-PLUS\0SCRAM-SHA-256\0\0")?;
            let first = said
                .strip_prefix(b"SCRAM-SHA-256\0")
                .and_then(|s| s.get(4..))
                .unwrap_or_default();
            let Some((exchange, answer)) = ScramExchange::start(&kept, first, "fromtheserver")
            else {
                return Ok(false);
            };
            let last = ask(stream, 11, answer.as_bytes())?;
            let Some(done) = exchange.finish(&last) else {
                return Ok(false);
            };
            stream.write_all(&message(
                b'R',
                &[&12u32.to_be_bytes(), done.as_bytes()].concat(),
            ))?;
            true
        }
        LoginMethod::Other(number) => {
            ask(stream, number, &[])?;
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

/// The secret of cancels: longer than the four bytes of 3.0 where the client speaks 3.2.
fn secret(minor: u32) -> Vec<u8> {
    vec![0x5a; if minor >= 2 { 200 } else { 4 }]
}

fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let first = wire::startup(&mut stream)?;
    let asked = first
        .first_chunk::<4>()
        .map_or(0, |c| u32::from_be_bytes(*c));
    if asked == 80_877_102 {
        let right = first
            .get(8..)
            .is_some_and(|s| s == secret(0) || s == secret(2));
        shared.log.lock().expect("no thread panics with it").cancels += usize::from(right);
        shared.cancelled.store(right, Ordering::SeqCst);
        return Ok(());
    }
    let minor = (asked & 0xffff).min(shared.minor);
    if asked & 0xffff > shared.minor {
        stream.write_all(&message(b'v', &[minor.to_be_bytes(), [0; 4]].concat()))?;
    }
    let way = *shared.gate.lock().expect("no thread panics with it");
    if !gate(&mut stream, way)? {
        return stream.write_all(&fields(
            b'E',
            &[(b'S', "FATAL"), (b'C', "28P01"), (b'M', "no")],
        ));
    }
    let mut hello = message(b'R', &[0; 4]);
    for (name, value) in [
        ("server_version", "18.0"),
        ("in_hot_standby", "off"),
        ("scram_iterations", "4096"),
    ] {
        hello.extend(message(
            b'S',
            &[name.as_bytes(), &[0], value.as_bytes(), &[0]].concat(),
        ));
    }
    hello.extend(message(
        b'K',
        &[&7u32.to_be_bytes()[..], &secret(minor)].concat(),
    ));
    hello.extend_from_slice(&shared.greeting);
    hello.extend(ready(b'I'));
    stream.write_all(&hello)?;
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
        // The router's own questions are no part of the script.
        let answer = if text.starts_with("SHOW") {
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
