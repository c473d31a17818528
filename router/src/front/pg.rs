//! The clients: PostgreSQL sessions with simple queries, answered in the order they came.

use crate::clock;
use crate::core::{Answer, Core};
use crate::deadlines::Due;
use crate::net::budget::{Budget, Share};
use crate::net::stream::{Peer, Stream};
use crate::net::{Source, poll_key};
use crate::pgwire::{self, Opening, Statement, code};
use crate::table::{Key, Table};
use plovercove::{Access, Demand, Time};
use plovercove_poller::{Interest, Poll, Registered};
use plovercove_settings::Names;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::mem;
use std::net::TcpListener;
use std::rc::Rc;
use tracing::{debug, warn};

/// The longest message: a value of 64 KiB in hex digits, and what stands round it.
const LONGEST: usize = 192 * 1024;
/// Queries of one connection that may be unanswered, and bytes unsent, before no more are read.
const PIPELINE: (usize, usize) = (16, 256 * 1024);
/// How often a connection is looked over, which is also how long a silent peer may keep an answer or its opening.
const LOOK: Time = 10_000_000;
/// A connection idle for so long is closed: its client may have vanished without a word.
const IDLE: Time = 600_000_000;
/// Connections beyond the limit that are told so, and the pause in accepting when even they are too many.
const REFUSALS: (usize, Time) = (8, 50_000);

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The first packet has not come.
    Opening,
    /// There is no room for this client: it is told so once its first packet has come.
    Refusing,
    Ready,
    /// After an error in the extended protocol all is skipped until Sync.
    Skipping,
    /// Nothing more is read; it closes once all is answered and sent.
    Closing,
}

/// One thing that is owed to a client, in order.
struct Pending {
    request: Option<Asked>,
    answer: Option<Vec<u8>>,
}

/// A request that the core has taken on.
struct Asked {
    request: Key,
    statement: Rc<Statement>,
    _share: Share,
}

struct Client {
    stream: Stream,
    phase: Phase,
    pending: VecDeque<Pending>,
    touched: Time,
    look: Option<Time>,
    /// It is on the list of those to be pumped.
    marked: bool,
}

impl Client {
    fn idle(&self) -> bool {
        self.pending.is_empty() && self.stream.unsent() == 0 && self.stream.unread().is_empty()
    }

    /// Owes an answer that the router words itself.
    fn say(&mut self, word: impl FnOnce(&mut Vec<u8>)) {
        let mut answer = Vec::new();
        word(&mut answer);
        self.pending.push_back(Pending { request: None, answer: Some(answer) });
    }

    /// An error that leaves the session standing.
    fn object(&mut self, code: &str, text: &str) {
        self.say(|out| {
            pgwire::put_error(out, false, code, text, None);
            pgwire::put_ready(out);
        });
    }

    /// An error that ends the session.
    fn dismiss(&mut self, code: &str, text: &str) {
        self.say(|out| pgwire::put_error(out, true, code, text, None));
        self.phase = Phase::Closing;
    }
}

/// What a query is read with.
struct Words {
    names: Names,
    /// What statements that wait for their answers may take up together.
    statements: Budget,
}

/// All clients, and the listener they come by.
pub struct Front {
    poll: Poll,
    listener: Option<Registered<TcpListener>>,
    clients: Table<Client>,
    most: usize,
    words: Words,
    marked: Vec<Key>,
    draining: bool,
}

impl Front {
    /// A front on this listener, for so many clients and bytes of statements.
    pub fn new(
        poll: &Poll, listener: TcpListener, most: usize, statements: usize, names: Names,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = poll.register(listener, poll_key(Source::Listener, None), Interest::Read)?;
        Ok(Front {
            poll: poll.clone(),
            listener: Some(listener),
            clients: Table::new(),
            most,
            words: Words { names, statements: Budget::new(statements) },
            marked: Vec::new(),
            draining: false,
        })
    }

    /// How many clients are connected.
    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Takes in the connections that wait at the listener.
    pub fn accept(&mut self, now: Time, core: &mut Core) {
        loop {
            if self.clients.len() >= self.most + REFUSALS.0 {
                return self.pause_accepting(now, core);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((socket, _)) => {
                    // Only now is it certain that someone needs the place of an idle client.
                    if self.clients.len() >= self.most {
                        self.shed(core);
                    }
                    self.admit(socket, now, core);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                // Danger: with no descriptor left the listener stays readable, and the loop would spin on it.
                Err(e) => {
                    warn!("cannot accept: {e}");
                    return self.pause_accepting(now, core);
                }
            }
        }
    }

    fn pause_accepting(&mut self, now: Time, core: &mut Core) {
        self.listen_for(Interest::Nothing);
        core.deadlines.add(now + REFUSALS.1, Due::Accept);
    }

    /// Goes on accepting after a pause.
    pub fn resume_accepting(&mut self, now: Time, core: &mut Core) {
        self.listen_for(Interest::Read);
        self.accept(now, core);
    }

    fn listen_for(&mut self, interest: Interest) {
        if let Some(Err(e)) = self.listener.as_mut().map(|l| l.want(interest)) {
            warn!("the listener's interest cannot be changed: {e}");
        }
    }

    fn admit(&mut self, socket: std::net::TcpStream, now: Time, core: &mut Core) {
        let phase = if self.clients.len() < self.most { Phase::Opening } else { Phase::Refusing };
        let poll = &self.poll;
        let made = self.clients.insert_with(|key| {
            let at = poll_key(Source::Client, Some(key));
            let stream = Stream::new(poll, socket, at, Interest::Read, LONGEST + 8)?;
            let pending = VecDeque::new();
            Ok::<_, std::io::Error>(Client {
                stream,
                phase,
                pending,
                touched: now,
                look: None,
                marked: false,
            })
        });
        match made {
            Ok(key) => {
                let client = self.clients.get_mut(key).expect("just made");
                core.deadlines.set(&mut client.look, Due::Client(key), Some(now + LOOK));
            }
            Err(e) => warn!("a client's connection cannot be taken over: {e}"),
        }
    }

    /// Closes the client that has been idle for longest, where one is.
    fn shed(&mut self, core: &mut Core) {
        let idle = self.clients.iter().filter(|(_, c)| c.phase == Phase::Ready && c.idle());
        if let Some((key, _)) = idle.min_by_key(|(_, c)| c.touched) {
            self.close_idle(key, core);
        }
    }

    /// Closes a client between requests, unless one has just come.
    fn close_idle(&mut self, key: Key, core: &mut Core) {
        let Some(client) = self.clients.get_mut(key) else { return };
        // Danger: closing with a request unread in the kernel's buffer loses it; so a last look is taken first.
        if client.stream.fill() == Peer::Open && !client.stream.unread().is_empty() {
            return self.mark(key);
        }
        self.close(key, core);
    }

    /// The one place where a client's connection is given back.
    fn close(&mut self, key: Key, core: &mut Core) {
        let Some(mut client) = self.clients.remove(key) else { return };
        core.deadlines.set(&mut client.look, Due::Client(key), None);
        for asked in client.pending.into_iter().filter_map(|p| p.request) {
            core.gone(asked.request);
        }
    }

    fn mark(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.marked) {
            client.marked = true;
            self.marked.push(key);
        }
    }

    /// Whether something has happened that has not been pumped.
    pub fn has_marked(&self) -> bool {
        !self.marked.is_empty()
    }

    /// The poller has something to say of a client.
    pub fn event(&mut self, key: Key, hung_up: bool, now: Time, core: &mut Core) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.touched = now;
        // Danger: the poller tells of a reset whatever the socket waits for, over and over: one that is not being
        // read would keep the loop spinning.
        if hung_up || (client.phase != Phase::Closing && client.stream.fill() == Peer::Gone) {
            debug!(client = key.number(), "gone");
            return self.close(key, core);
        }
        self.mark(key);
    }

    /// It is time to look a client over.
    pub fn look_over(&mut self, key: Key, now: Time, core: &mut Core) {
        let Some(client) = self.clients.get_mut(key) else { return };
        client.look = None;
        let quiet = now.saturating_sub(client.touched);
        let waits_for_peer = matches!(client.phase, Phase::Opening | Phase::Refusing | Phase::Closing)
            || client.stream.unsent() > 0
            || !client.stream.unread().is_empty();
        if client.pending.is_empty() && quiet >= if waits_for_peer { LOOK } else { IDLE } {
            return self.close(key, core);
        }
        core.deadlines.set(&mut client.look, Due::Client(key), Some(now + LOOK));
    }

    /// The statement of a request, for an attempt.
    pub fn statement(&self, origin: Key, request: Key) -> Option<Rc<Statement>> {
        let pending = self.clients.get(origin)?.pending.iter();
        let mut asked = pending.filter_map(|p| p.request.as_ref());
        asked.find(|asked| asked.request == request).map(|asked| Rc::clone(&asked.statement))
    }

    /// Passes on what a db node answered: row description, row and completion, as they came.
    pub fn served(&mut self, origin: Key, request: Key, reply: Vec<u8>) {
        self.answer(origin, request, |out| *out = reply);
    }

    /// Words a final answer that no db node made.
    pub fn concluded(&mut self, origin: Key, request: Key, answer: Answer) {
        self.answer(origin, request, |out| match answer {
            Answer::Refused(wait) => {
                let wait = wait.map(clock::to_ms);
                pgwire::put_error(out, false, code::TURNED_AWAY, "no db node can take this in time", wait);
            }
            Answer::Failed => {
                let text = "the outcome is unknown: no db node answered in time";
                pgwire::put_error(out, false, code::UNKNOWN_OUTCOME, text, None);
            }
        });
    }

    fn answer(&mut self, origin: Key, request: Key, word: impl FnOnce(&mut Vec<u8>)) {
        let Some(client) = self.clients.get_mut(origin) else { return };
        let is_it = |p: &&mut Pending| p.request.as_ref().is_some_and(|asked| asked.request == request);
        let Some(pending) = client.pending.iter_mut().find(is_it) else { return };
        let mut answer = Vec::new();
        word(&mut answer);
        pgwire::put_ready(&mut answer);
        pending.answer = Some(answer);
        pending.request = None;
        self.mark(origin);
    }

    /// Reads and writes on where something has happened.
    pub fn pump(&mut self, now: Time, core: &mut Core) {
        for key in mem::take(&mut self.marked) {
            let Some(client) = self.clients.get_mut(key) else { continue };
            client.marked = false;
            let Ok(sent) = Self::exchange(&self.words, client, key, now, core) else {
                self.close(key, core);
                continue;
            };
            let open = client.phase != Phase::Closing;
            if sent && client.pending.is_empty() && !open {
                self.close(key, core);
                continue;
            }
            let reading = open && Self::has_room(client);
            client.stream.wait_for(reading);
            if self.draining && client.idle() {
                self.close_idle(key, core);
            }
        }
    }

    /// Queues the answers whose turn it is, takes in what there is room for, and writes; true once all is written.
    fn exchange(
        words: &Words, client: &mut Client, key: Key, now: Time, core: &mut Core,
    ) -> Result<bool, Peer> {
        loop {
            while let Some(answer) = client.pending.front_mut().and_then(|p| p.answer.take()) {
                client.stream.output().extend_from_slice(&answer);
                client.pending.pop_front();
            }
            if Self::read(words, client, key, now, core) {
                continue;
            }
            let before = client.stream.unsent();
            let sent = client.stream.flush()?;
            if client.stream.unsent() < before {
                client.touched = now;
            }
            // Danger: messages left unread for want of room to answer them bring no further event of the socket.
            if !sent || before < PIPELINE.1 {
                return Ok(sent);
            }
        }
    }

    fn has_room(client: &Client) -> bool {
        client.pending.len() < PIPELINE.0 && client.stream.unsent() < PIPELINE.1
    }

    /// Takes one message in; false where none is whole or there is no room for it.
    fn read(words: &Words, client: &mut Client, key: Key, now: Time, core: &mut Core) -> bool {
        if !Self::has_room(client) {
            return false;
        }
        match client.phase {
            Phase::Closing => return false,
            Phase::Opening | Phase::Refusing => return Self::open(client),
            Phase::Ready | Phase::Skipping => {}
        }
        let message = match pgwire::message(client.stream.unread(), LONGEST) {
            Ok(Some(message)) => message,
            Ok(None) => return false,
            Err(pgwire::Malformed) => {
                client.dismiss(code::PROTOCOL, "a message has an impossible length");
                return true;
            }
        };
        let (kind, length) = (message.kind, message.raw.len());
        let query = (kind == b'Q').then(|| message.body.strip_suffix(&[0]).map(<[u8]>::to_vec));
        client.stream.take(length);
        match (kind, query) {
            (b'X', _) => client.phase = Phase::Closing,
            (b'S', _) => {
                client.phase = Phase::Ready;
                client.say(pgwire::put_ready);
            }
            (_, _) if client.phase == Phase::Skipping => {}
            (b'Q', Some(Some(text))) => match String::from_utf8(text) {
                Ok(text) => Self::query(words, client, key, &text, now, core),
                Err(_) => client.object(code::PROTOCOL, "the query is not UTF-8"),
            },
            (b'Q', _) => client.object(code::PROTOCOL, "the query does not end"),
            (b'F', _) => client.object(code::UNSUPPORTED, "function calls are not supported"),
            (b'P' | b'B' | b'D' | b'E' | b'C' | b'H', _) => {
                client.say(|out| {
                    pgwire::put_error(
                        out,
                        false,
                        code::UNSUPPORTED,
                        "only simple queries are supported",
                        None,
                    );
                });
                client.phase = Phase::Skipping;
            }
            // Copy data that comes late, after an error, is ignored as a server does.
            (b'd' | b'c' | b'f', _) => {}
            _ => client.dismiss(code::PROTOCOL, "a message of an unknown kind"),
        }
        true
    }

    /// Takes in a first packet; false where none is whole.
    fn open(client: &mut Client) -> bool {
        match pgwire::opening(client.stream.unread()) {
            Ok(None) => return false,
            Ok(Some((opening, length))) => {
                client.stream.take(length);
                match opening {
                    Opening::Encryption => client.say(|out| out.push(b'N')),
                    Opening::Cancel => client.phase = Phase::Closing,
                    Opening::Session(_) if client.phase == Phase::Refusing => {
                        client.dismiss(code::TURNED_AWAY, "too many connections");
                    }
                    Opening::Session(minor) => {
                        client.phase = Phase::Ready;
                        client.say(|out| pgwire::put_welcome(out, minor));
                    }
                }
            }
            Err(pgwire::Malformed) => client.dismiss(code::PROTOCOL, "the first packet is not understood"),
        }
        true
    }

    fn query(words: &Words, client: &mut Client, key: Key, text: &str, now: Time, core: &mut Core) {
        let bare = text.trim().trim_end_matches(';');
        if bare.is_empty() {
            return client.say(|out| {
                pgwire::put(out, b'I', |_| {});
                pgwire::put_ready(out);
            });
        }
        // What drivers send on their own has no effect here, as at the db nodes.
        let word = bare.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
        if ["SET", "RESET", "DISCARD"].contains(&word.as_str()) {
            return client.say(|out| {
                pgwire::put_complete(out, &word);
                pgwire::put_ready(out);
            });
        }
        let labels = match pgwire::labels(text) {
            Ok(labels) => labels,
            Err(complaint) => return client.object(code::PROTOCOL, &complaint),
        };
        let Some(class) = words.names.class(labels.class) else {
            return client.object(code::UNDEFINED, &format!("class {:?} does not exist", labels.class));
        };
        if !core.knows_group(labels.group) {
            return client.object(code::NOT_NOW, &format!("no db node of group {} is known", labels.group));
        }
        let figures = &core.classes()[class];
        let has_session = matches!(figures.access, Access::Write | Access::OwnWrites);
        let demand = Demand {
            class,
            tenant: labels.tenant.and_then(|t| words.names.tenant(t)),
            session: labels.key.filter(|_| has_session).map(Into::into),
            left: labels.patience.map_or(figures.deadline, clock::from_ms),
            group: labels.group,
            write_age: labels.after.filter(|at| *at > 0).map(|at| clock::age(now, clock::from_ms(at))),
            repeat: labels.repeat,
            ..Demand::default()
        };
        let Some(share) = words.statements.take(text.len()) else {
            return client.object(code::TURNED_AWAY, "too many statements are waiting");
        };
        let statement = Rc::new(Statement::new(text, &labels));
        let asked = Asked { request: core.request(key, demand), statement, _share: share };
        client.pending.push_back(Pending { request: Some(asked), answer: None });
    }

    /// Closes the listener and all idle clients; the others are closed once they are answered.
    pub fn drain(&mut self, now: Time, core: &mut Core) {
        self.accept(now, core);
        self.listener = None;
        self.draining = true;
        let all: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in all {
            if self.clients.get(key).is_some_and(Client::idle) {
                self.close_idle(key, core);
            }
        }
    }
}
