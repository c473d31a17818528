//! A test harness that runs the front with the engine, but without the rest of the router. It uses loopback sockets and a
//! clock that only the test advances. It runs turns of the event loop as the router does, and a test may act between two
//! steps of a turn.

use crate::arrival;
use plovercove::{
    Access, AttemptEnd, Class, DedupScope, Endpoint, EndpointUpdate, Idempotency, Micros,
    NodeReport, Settings, Time,
};
use plovercove_engine::{AttemptId, Command, Deadline, Engine, Key};
use plovercove_poller::{Events, Poll};
use plovercove_router::front::Front;
use plovercove_router::net::budget::{Budget, Reservation};
use plovercove_router::net::{EventSource, split_poll_key};
use plovercove_router::shutdown::ShutdownSchedule;
use plovercove_settings::Names;
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Timeout that ends a hanging test. No passing test waits for it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout of each request, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 900;
/// Deadline of the only class.
const LONGEST_DEADLINE: Micros = 1_000_000;
/// Time from SIGTERM until the listeners close.
const TIME_UNTIL_DRAIN: Micros = 500_000;
/// Memory budget for clients.
const BUDGET_BYTES: usize = 64 * 1024 * 1024;
/// A startup packet of version 3.0.
const STARTUP: &[u8] = b"\0\0\0\x11\0\x03\0\0user\0me\0\0";

/// A front, and the engine that receives its requests.
pub struct Harness {
    pub front: Front,
    pub engine: Engine,
    pub now: Time,
    pub address: SocketAddr,
    /// The attempts that the engine has begun and that are not answered yet, with the clients of their requests.
    pub begun_attempts: Vec<(AttemptId, Key)>,
    budget: Budget,
    poll: Poll,
}

impl Harness {
    /// Creates a front with this number of slots for clients.
    pub fn new(slots: usize) -> Self {
        Self::with_budget(slots, BUDGET_BYTES)
    }

    /// Creates a front with this number of slots for clients, and this memory budget.
    pub fn with_budget(slots: usize, budget_bytes: usize) -> Self {
        let class = Class {
            name: "look".into(),
            access: Access::Any,
            latency_objective: 400_000,
            objective_per_cost: 0.0,
            deadline: LONGEST_DEADLINE,
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
        let (poll, budget) = (Poll::new().expect("a poller"), Budget::new(budget_bytes));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let front = Front::new(
            &poll,
            &budget,
            listener,
            slots,
            Names::new(&settings),
            LONGEST_DEADLINE,
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
        Harness {
            front: front.expect("a front"),
            engine,
            now: 1_000_000_000,
            address,
            begun_attempts: Vec::new(),
            budget,
            poll,
        }
    }

    /// Reserves bytes of the memory budget until the returned value is dropped, as a statement in flight does.
    pub fn reserve_memory(&self, bytes: usize) -> Reservation {
        self.budget.reserve(bytes).expect("the budget is not spent")
    }

    /// Polls the sockets. Returns the clients with events, each with whether it hung up, and whether connections wait at the
    /// listener.
    fn events(&self) -> (Vec<(Key, bool)>, bool) {
        let mut events = Events::new();
        self.poll
            .wait(&mut events, Some(Duration::ZERO))
            .expect("a poller");
        let (mut clients, mut is_listener_ready) = (Vec::new(), false);
        for event in events.iter() {
            match split_poll_key(event.key) {
                (Some(EventSource::Client), key) => {
                    clients.push((key, event.is_interrupt() || event.is_err() == Some(true)));
                }
                _ => is_listener_ready = true,
            }
        }
        (clients, is_listener_ready)
    }

    /// Runs one turn, with its steps in the order of the router's event loop.
    pub fn run_turn(&mut self) {
        let (clients, is_listener_ready) = self.events();
        for (key, hung_up) in clients {
            self.front
                .handle_event(key, hung_up, self.now, &mut self.engine);
        }
        if is_listener_ready {
            self.front
                .accept(Key::from_number(0), self.now, &mut self.engine);
        }
        self.process_deadlines();
        self.finish_turn();
    }

    /// Runs the step of a turn that processes deadlines.
    pub fn process_deadlines(&mut self) {
        while let Some(due) = self.engine.deadlines.pop(self.now) {
            match due {
                Deadline::Wake => self.engine.wake(),
                Deadline::Attempt(id) => self.engine.attempt_timed_out(id, self.now),
                Deadline::Client(key) => self.front.check_client(key, self.now, &mut self.engine),
                Deadline::Accept => self.front.resume_accepting(self.now, &mut self.engine),
                Deadline::Drain => self.drain(),
                Deadline::StopReading => self.front.stop_reading(self.now, &mut self.engine),
                Deadline::Backend(_) | Deadline::Discovery | Deadline::Gossip => {}
            }
        }
    }

    /// Closes the listeners and the connections between requests, as the router does some time after SIGTERM.
    pub fn drain(&mut self) {
        let schedule = ShutdownSchedule::new(self.now - TIME_UNTIL_DRAIN, LONGEST_DEADLINE);
        self.front.drain(schedule, self.now, &mut self.engine);
    }

    /// Runs the last steps of a turn: pumps the clients and executes the commands of the engine.
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
                    } => self.begun_attempts.push((attempt, origin)),
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

    /// Advances the clock to the next deadline and runs a turn.
    pub fn advance_to_next_deadline(&mut self) {
        self.now = self
            .engine
            .deadlines
            .next()
            .expect("something falls due")
            .max(self.now);
        self.run_turn();
    }

    /// Advances the clock by a duration, with a turn at each deadline.
    pub fn advance_by(&mut self, duration: Time) {
        let run_turns_until = self.now + duration;
        while self
            .engine
            .deadlines
            .next()
            .is_some_and(|at| at <= run_turns_until)
        {
            self.advance_to_next_deadline();
        }
        self.now = run_turns_until;
        self.run_turn();
    }

    /// Answers the attempt that was begun last, as a db node does.
    pub fn answer_last_attempt(&mut self) {
        self.answer_last_attempt_with(b"C\0\0\0\x0dSELECT 1\0");
    }

    /// Answers the attempt that was begun last with these messages.
    pub fn answer_last_attempt_with(&mut self, messages: &[u8]) {
        let (attempt, _) = self.begun_attempts.pop().expect("an attempt was begun");
        assert!(self.answer_with(attempt, messages), "it is owed");
    }

    /// Answers an attempt, as a db node does. Its client may have gone.
    pub fn answer(&mut self, attempt: AttemptId) {
        self.answer_with(attempt, b"C\0\0\0\x0dSELECT 1\0");
    }

    /// Answers an attempt with these messages. Returns whether the answer is owed to a client.
    fn answer_with(&mut self, attempt: AttemptId, messages: &[u8]) -> bool {
        self.engine.attempt_written(attempt);
        let report = NodeReport::default();
        let origin =
            self.engine
                .attempt_ended(self.now, attempt, AttemptEnd::Success, report, report);
        if let Some(origin) = origin {
            let mut reply = self.budget.buffer();
            reply.write(|out| out.extend_from_slice(messages));
            self.front
                .send_reply(origin, attempt.request, reply, self.now);
        }
        self.run_turn();
        origin.is_some()
    }

    /// Rejects the attempt that was begun last, as an overloaded db node does. No turn is run, so that the request is between
    /// two attempts.
    pub fn reject_last_attempt(&mut self) {
        let (attempt, _) = self.begun_attempts.pop().expect("an attempt was begun");
        self.engine.attempt_written(attempt);
        let report = NodeReport::default();
        assert_eq!(
            self.engine
                .attempt_ended(self.now, attempt, AttemptEnd::Overloaded, report, report),
            None
        );
    }

    /// Runs turns until a condition holds.
    pub fn run_turns_until(&mut self, condition: &str, mut is_done: impl FnMut(&mut Self) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !is_done(self) {
            assert!(Instant::now() < deadline, "{condition}");
            self.run_turn();
        }
    }

    /// Returns a client that is logged in.
    pub fn connected_client(&mut self) -> Client {
        let mut client = Client::connect(self.address);
        client.send(STARTUP);
        assert_eq!(self.next_event(&mut client), ClientEvent::Ready);
        client
    }

    /// Returns a client that has received the answer to its only request.
    pub fn idle_client(&mut self, id: &str) -> Client {
        let mut client = self.connected_client();
        self.begin_request(&mut client, id);
        self.answer_last_attempt();
        assert_eq!(self.next_event(&mut client), ClientEvent::Ready);
        client
    }

    /// Sends a request of a client and runs turns until its attempt is begun.
    pub fn begin_request(&mut self, client: &mut Client, id: &str) {
        let before = self.begun_attempts.len();
        client.send(&query(id));
        self.run_turns_until("the attempt is begun", |harness| {
            harness.begun_attempts.len() > before
        });
    }

    /// Runs turns until a client receives something, and returns that.
    pub fn next_event(&mut self, client: &mut Client) -> ClientEvent {
        let mut event = None;
        self.run_turns_until("the client receives something", |_| {
            event = client.poll_event();
            event.is_some()
        });
        event.expect("an event")
    }
}

/// What a client receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// ReadyForQuery without an error before it.
    Ready,
    /// An error with this SQLSTATE.
    Error(String),
    /// The router has closed the connection in good order.
    Closed,
    /// The connection was reset.
    Reset,
}

/// A client that writes and reads the protocol itself, on a nonblocking socket.
pub struct Client {
    stream: TcpStream,
    received: Vec<u8>,
    /// The cancel key: id and secret, as in BackendKeyData.
    pub key: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        Self::from_stream(TcpStream::connect(address).expect("it listens"))
    }

    /// Connects with a small receive buffer, so that the system accepts few bytes that the client has not read.
    pub fn connect_with_small_buffer(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(4_096).expect("little room");
        socket.connect(&address.into()).expect("it listens");
        Self::from_stream(socket.into())
    }

    fn from_stream(stream: TcpStream) -> Self {
        stream.set_nodelay(true).expect("no delay");
        stream.set_nonblocking(true).expect("no waiting");
        Client {
            stream,
            received: Vec::new(),
            key: Vec::new(),
        }
    }

    /// Sends bytes, and waits until the router's system has received them.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is connected");
        arrival::wait_for_acknowledgement(arrival::local_port(&self.stream));
    }

    /// Sends bytes without waiting for anything.
    pub fn send_without_waiting(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it is connected");
    }

    /// Sends bytes, also more than the system accepts before the router reads.
    pub fn send_all(&mut self, bytes: &[u8]) {
        self.stream.set_nonblocking(false).expect("waiting");
        self.stream.write_all(bytes).expect("it is connected");
        self.stream.set_nonblocking(true).expect("no waiting");
    }

    /// Shuts down the client's side of the connection, and waits until the router's system has received that.
    pub fn shut_down_write(&mut self) {
        self.stream
            .shutdown(std::net::Shutdown::Write)
            .expect("it is connected");
        arrival::wait_for_acknowledgement(arrival::local_port(&self.stream));
    }

    /// Returns the next event if it has arrived. Other messages, such as those of the greeting, are skipped.
    pub fn poll_event(&mut self) -> Option<ClientEvent> {
        loop {
            while let [kind, b0, b1, b2, b3, rest @ ..] = &self.received[..]
                && let length = u32::from_be_bytes([*b0, *b1, *b2, *b3]) as usize - 4
                && rest.len() >= length
            {
                let (kind, body) = (*kind, rest[..length].to_vec());
                self.received.drain(..5 + length);
                match kind {
                    b'K' => self.key = body,
                    b'Z' => return Some(ClientEvent::Ready),
                    b'E' => {
                        let code = body
                            .split(|byte| *byte == 0)
                            .find_map(|f| f.strip_prefix(b"C"));
                        let code = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
                        // After most errors the session continues, and ReadyForQuery follows.
                        if self.received.first() == Some(&b'Z') {
                            self.received.drain(..6);
                        }
                        return Some(ClientEvent::Error(code));
                    }
                    _ => {}
                }
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) => return Some(ClientEvent::Closed),
                Ok(count) => self.received.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                Err(_) => return Some(ClientEvent::Reset),
            }
        }
    }

    /// Returns true if the connection was reset, even if the client had read the close before.
    pub fn is_reset(&self) -> bool {
        self.stream.take_error().expect("asked").is_some()
    }
}

/// Returns a query of the only class.
pub fn query(id: &str) -> Vec<u8> {
    let text = format!("/* id={id},c=look,d={REQUEST_TIMEOUT_MS},cluster=1 */ SELECT 1");
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

/// Returns a CancelRequest with this key.
pub fn cancel_request(key: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e][..], key].concat()
}

/// Returns a startup packet.
pub fn startup_packet() -> &'static [u8] {
    STARTUP
}
