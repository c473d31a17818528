//! The front alone, on loopback sockets and a clock that only the test moves: turns as the router's loop takes them, and
//! between two of its steps whatever a test puts there.

use crate::arrival;
use plovercove::{
    Access, AttemptEnd, Class, DedupScope, Endpoint, EndpointUpdate, Idempotency, NodeReport,
    Settings, Time,
};
use plovercove_engine::{AttemptId, Command, Deadline, Engine, Key};
use plovercove_poller::{Events, Poll};
use plovercove_router::front::Front;
use plovercove_router::net::budget::Budget;
use plovercove_router::net::{EventSource, split_poll_key};
use plovercove_settings::Names;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Ends a test that would hang; no test waits for it.
pub const HANGS: Duration = Duration::from_secs(40);
/// How long a request's client waits (ms).
pub const PATIENCE: u64 = 900;
/// Bytes that may be held for clients.
const BUDGET: usize = 64 * 1024 * 1024;
const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";

/// A front, and the core that its requests go to.
pub struct Desk {
    pub front: Front,
    pub engine: Engine,
    pub now: Time,
    pub to: SocketAddr,
    /// The attempts that were begun, with their clients.
    pub sent: Vec<(AttemptId, Key)>,
    budget: Budget,
    poll: Poll,
}

impl Desk {
    /// With so many places.
    pub fn new(places: usize) -> Self {
        let class = Class {
            name: "look".into(),
            access: Access::Any,
            latency_objective: 400_000,
            objective_per_cost: 0.0,
            deadline: 1_000_000,
            priority_weight: 1.0,
            late_weight_share: 0.0,
            idempotency: Idempotency::Idempotent,
            dedup_scope: DedupScope::All,
            dedup_window: 0,
            stream: false,
        };
        let settings = Settings {
            classes: vec![class],
            cancel_allowed: true,
            ..Settings::default()
        };
        let (poll, budget) = (Poll::new().expect("a poller"), Budget::new(BUDGET));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("bound");
        let front = Front::new(
            &poll,
            &budget,
            listener,
            places,
            Names::new(&settings),
            1_000_000,
        );
        let mut engine = Engine::new(settings, 1);
        let node = Endpoint {
            node: "p".into(),
            listed_as_primary: true,
            group: 1,
            weight: 1.0,
            ..Endpoint::default()
        };
        engine.update_endpoints(EndpointUpdate::Full(vec![node]));
        Desk {
            front: front.expect("a front"),
            engine,
            now: 1_000_000_000,
            to,
            sent: Vec::new(),
            budget,
            poll,
        }
    }

    /// What the poller has to say now: clients, each with whether it hung up, and whether any wait at the door.
    fn events(&self) -> (Vec<(Key, bool)>, bool) {
        let mut events = Events::new();
        self.poll
            .wait(&mut events, Some(Duration::ZERO))
            .expect("a poller");
        let (mut clients, mut door) = (Vec::new(), false);
        for event in events.iter() {
            match split_poll_key(event.key) {
                (Some(EventSource::Client), key) => {
                    clients.push((key, event.is_interrupt() || event.is_err() == Some(true)));
                }
                _ => door = true,
            }
        }
        (clients, door)
    }

    /// One turn, in the order of the router's loop.
    pub fn turn(&mut self) {
        let (clients, door) = self.events();
        for (key, hung_up) in clients {
            self.front
                .handle_event(key, hung_up, self.now, &mut self.engine);
        }
        if door {
            self.front
                .accept(Key::from_number(0), self.now, &mut self.engine);
        }
        self.fall_due();
        self.finish_turn();
    }

    /// The step of a turn that takes what falls due.
    pub fn fall_due(&mut self) {
        while let Some(due) = self.engine.deadlines.pop(self.now) {
            match due {
                Deadline::Wake => self.engine.wake(),
                Deadline::Attempt(id) => self.engine.attempt_timed_out(id, self.now),
                Deadline::Client(key) => self.front.check_client(key, self.now, &mut self.engine),
                Deadline::Accept => self.front.resume_accepting(self.now, &mut self.engine),
                Deadline::Shutdown => self.front.drain(self.now, &mut self.engine),
                Deadline::Backend(_) | Deadline::Discovery | Deadline::Gossip => {}
            }
        }
    }

    /// The last steps of a turn: clients are read and written, and what came of it is decided.
    pub fn finish_turn(&mut self) {
        self.front.pump(self.now, &mut self.engine);
        loop {
            let commands = self.engine.decide(self.now);
            if commands.is_empty() {
                return;
            }
            for command in commands {
                match command {
                    Command::Send {
                        attempt, origin, ..
                    } => self.sent.push((attempt, origin)),
                    Command::Answer {
                        request,
                        origin,
                        answer,
                    } => {
                        self.front.send_final_answer(origin, request, answer);
                    }
                    Command::CancelAttempt { .. }
                    | Command::HealthCheck(_)
                    | Command::CloseIdle(_) => {}
                }
            }
            self.front.pump(self.now, &mut self.engine);
        }
    }

    /// The clock moves to what falls due next, and a turn is taken.
    pub fn pass(&mut self) {
        self.now = self
            .engine
            .deadlines
            .next()
            .expect("something falls due")
            .max(self.now);
        self.turn();
    }

    /// The clock moves by so much, with a turn at each moment when something falls due.
    pub fn pass_by(&mut self, span: Time) {
        let until = self.now + span;
        while self.engine.deadlines.next().is_some_and(|at| at <= until) {
            self.pass();
        }
        self.now = until;
        self.turn();
    }

    /// A db node answers what was begun last.
    pub fn serve(&mut self) {
        self.serve_with(b"C\0\0\0\x0dSELECT 1\0");
    }

    /// A db node answers what was begun last with these messages.
    pub fn serve_with(&mut self, messages: &[u8]) {
        let (attempt, _) = self.sent.pop().expect("an attempt was begun");
        self.engine.attempt_written(attempt);
        let said = NodeReport::default();
        let origin = self
            .engine
            .attempt_ended(self.now, attempt, AttemptEnd::Success, said, said)
            .expect("it is owed");
        let mut reply = self.budget.buffer();
        reply.write(|out| out.extend_from_slice(messages));
        self.front
            .send_reply(origin, attempt.request, reply, self.now);
        self.turn();
    }

    /// A db node turns away what was begun last. No turn is taken yet: the request is between two attempts.
    pub fn turn_away(&mut self) {
        let (attempt, _) = self.sent.pop().expect("an attempt was begun");
        self.engine.attempt_written(attempt);
        let said = NodeReport::default();
        assert_eq!(
            self.engine
                .attempt_ended(self.now, attempt, AttemptEnd::Overloaded, said, said),
            None
        );
    }

    /// Takes turns until this is so.
    pub fn until(&mut self, what: &str, mut done: impl FnMut(&mut Self) -> bool) {
        let hangs = Instant::now() + HANGS;
        while !done(self) {
            assert!(Instant::now() < hangs, "{what}");
            self.turn();
        }
    }

    /// A client that is greeted.
    pub fn greeted(&mut self) -> Client {
        let mut client = Client::dial(self.to);
        client.write(STARTUP);
        assert_eq!(self.hear(&mut client), Said::Ready);
        client
    }

    /// A client that has asked once, was answered, and rests.
    pub fn resting(&mut self, id: &str) -> Client {
        let mut client = self.greeted();
        self.ask(&mut client, id);
        self.serve();
        assert_eq!(self.hear(&mut client), Said::Ready);
        client
    }

    /// Has a request of this client begun.
    pub fn ask(&mut self, client: &mut Client, id: &str) {
        let before = self.sent.len();
        client.write(&query(id));
        self.until("it is begun", |desk| desk.sent.len() > before);
    }

    /// What a client hears next; turns are taken until it does.
    pub fn hear(&mut self, client: &mut Client) -> Said {
        let mut said = None;
        self.until("it hears something", |_| {
            said = client.hears();
            said.is_some()
        });
        said.expect("it has heard")
    }
}

/// What a client was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// `ReadyForQuery`, and no error before it.
    Ready,
    /// An error of this code.
    Error(String),
    /// The connection is at its end, in good order.
    End,
    /// The connection was reset.
    Reset,
}

/// A client that writes and reads the protocol itself and never waits.
pub struct Client {
    stream: TcpStream,
    heard: Vec<u8>,
    /// What a cancel must show: number and secret.
    pub key: Vec<u8>,
}

impl Client {
    pub fn dial(to: SocketAddr) -> Self {
        Self::over(TcpStream::connect(to).expect("it listens"))
    }

    /// One whose system holds few bytes that it has not read.
    pub fn dial_with_little_room(to: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("little room");
        socket.connect(&to.into()).expect("it listens");
        Self::over(socket.into())
    }

    fn over(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("no delay");
        stream.set_nonblocking(true).expect("no waiting");
        Client {
            stream,
            heard: Vec::new(),
            key: Vec::new(),
        }
    }

    /// Writes, and waits until all of it lies on the other side.
    pub fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is connected");
        arrival::acknowledged(arrival::port(&self.stream));
    }

    /// Writes without waiting for anything.
    pub fn write_at_once(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is connected");
    }

    /// Says that it sends nothing more, and waits until that is known on the other side.
    pub fn finish(&mut self) {
        self.stream
            .shutdown(std::net::Shutdown::Write)
            .expect("it is connected");
        arrival::acknowledged(arrival::port(&self.stream));
    }

    /// The next thing that it was told, if it has come: greetings and statements of the server are passed over.
    pub fn hears(&mut self) -> Option<Said> {
        loop {
            while let [kind, a, b, c, d, rest @ ..] = &self.heard[..]
                && let length = u32::from_be_bytes([*a, *b, *c, *d]) as usize - 4
                && rest.len() >= length
            {
                let (kind, body) = (*kind, rest[..length].to_vec());
                self.heard.drain(..5 + length);
                match kind {
                    b'K' => self.key = body,
                    b'Z' => return Some(Said::Ready),
                    b'E' => {
                        let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                        let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
                        // The session goes on after most, and is ready then.
                        if self.heard.first() == Some(&b'Z') {
                            self.heard.drain(..6);
                        }
                        return Some(Said::Error(code));
                    }
                    _ => {}
                }
            }
            let mut some = [0; 4096];
            match self.stream.read(&mut some) {
                Ok(0) => return Some(Said::End),
                Ok(count) => self.heard.extend_from_slice(&some[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(Said::Reset),
            }
        }
    }

    /// Whether the connection was reset; told at once, also after its end.
    pub fn is_reset(&self) -> bool {
        self.stream.take_error().expect("asked").is_some()
    }
}

/// A query of the one class.
pub fn query(id: &str) -> Vec<u8> {
    let text = format!("/* id={id},c=look,d={PATIENCE},cluster=1 */ SELECT 1");
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

/// What asks for a cancel.
pub fn wish(key: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e][..], key].concat()
}

/// What opens a session.
pub fn startup() -> &'static [u8] {
    STARTUP
}
