//! The clients: PostgreSQL sessions with simple queries, answered in the order they came, in the version that each speaks.

use super::entry::{self, Entry, Terms};
use crate::clock;
use crate::net::budget::{Budget, Buffer, Share};
use crate::net::stream::{Peer, Stream};
use crate::net::{Source, poll_key};
use crate::statement_labels::{self, Statement, code};
use plovercove::{Access, RequestInfo, Time};
use plovercove_engine::{Deadline, Engine, FinalAnswer, Key, Table};
use plovercove_pgwire::cancel::CancelKey;
use plovercove_pgwire::encoder::Encoder;
use plovercove_pgwire::reply::Shape;
use plovercove_pgwire::session::Session;
use plovercove_pgwire::startup::{Method, Startup, Step};
use plovercove_pgwire::statement::{self, Kind};
use plovercove_pgwire::{Fault, Version};
use plovercove_poller::{Interest, Poll};
use plovercove_settings::Names;
use socket2::SockRef;
use std::collections::hash_map::RandomState;
use std::collections::{BTreeSet, HashSet, VecDeque};
use std::hash::BuildHasher;
use std::io::ErrorKind;
use std::mem;
use std::net::{IpAddr, TcpListener};
use std::rc::Rc;
use tracing::{debug, warn};

/// The longest message: a value in hex digits, as long as one that a db node may give, and what stands round it.
const LONGEST: usize = 4 * 1024 * 1024;
/// Queries of one connection that may be unanswered, and bytes unsent, before no more are read.
const PIPELINE: (usize, usize) = (16, 256 * 1024);
/// Bytes of one connection that are read beyond what there is room to begin, so that its end is seen behind them: some
/// thousand queries. Danger: the end would lie unseen, and what waits be sent on for nobody. A client that sends more
/// floods, and its end is seen when its answers have made room.
const AHEAD: usize = 256 * 1024;
/// Messages that one client may have read in a turn of the loop, and connections that are accepted in one.
const TURN: (u32, u32) = (32, 64);
/// From connecting until the first request has come whole. Danger: connections that say nothing, or trickle, would hold
/// the places of those that have something to ask.
const FIRST: Time = 2_000_000;
/// The same once the router finishes, and for one that there is no room for. Danger: a connection taken in just before
/// the listener closed would be closed with its request on the way; and a few that say nothing, beyond the limit, would
/// keep all others from being told.
const FIRST_SOON: Time = 300_000;
/// From the first byte of a message to its last; once the router finishes, the second. Danger: one half-sent message would
/// hold up its end until it is killed.
const MESSAGE: (Time, Time) = (2_000_000, 300_000);
/// How long answers may lie unread.
const UNREAD: Time = 2_500_000;
/// A connection of the platform's without a request is kept for so long.
const IDLE: Time = 2_000_000;
/// Bytes that a client may send while it is to prove who it is.
const BEFORE_IN: usize = 16 * 1024;
/// What a client that has been dismissed still sends is read for so long and so many bytes: a close with bytes unread
/// resets the connection, which may destroy the last answer on its way.
const LEAVE: (Time, usize) = (1_000_000, 256 * 1024);
/// A client that is closed between requests is heard out for so long. Danger: with the dismissed ones' time, clients that
/// never close would hold up the router's end until it is killed.
const LEAVE_RESTING: Time = 300_000;
/// Errors of protocol in a row that end a session.
const FAULTS: u32 = 8;
/// Connections that may wait to be accepted: hundreds may come at once.
const BACKLOG: i32 = 1_024;
/// A patience of more than so many times the class's deadline is no patience.
const ABSURD: Time = 4;
/// What is said to those who speak more of the protocol.
const ONLY_SIMPLE: &str = "only simple queries are supported";
/// This part of the places may be held by clients without a request.
const MOST_IDLE: usize = 3;
/// Clients that are looked at for the one that gives up its place.
const LAST_LOOKS: usize = 8;
/// Ids of late that are remembered, at the most.
const IDS: usize = 64 * 1024;
/// What one is told that there is no place for, and one that must go and has not asked.
const NO_PLACE: &str = "too many connections";
const UNASKED: &str = "closed before a request came";
/// Connections beyond the limit: those that are told so, and those that gave up their place and are heard out.
const BEYOND: usize = 8;
/// One beyond the limit that has said nothing keeps its descriptor for so long though another waits at the door. Danger: a
/// cancel that waits there is heard too late; its request may be sent on for no longer than 100 ms.
const DOOR: Time = 40_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It is not in yet: the first packet has not come, or the proof of who it is.
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
    answer: Option<Buffer>,
}

/// A request that the core has taken on.
struct Asked {
    request: Key,
    statement: Rc<Statement>,
    writes: bool,
    _share: Share,
}

/// Clients that could be closed, in the order in which they are when places run out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Spare {
    /// Dismissed, and only heard out.
    Leaving,
    /// Beyond the limit, and it has not said who it is.
    Refusing,
    /// It has asked for nothing yet.
    Unasked,
    /// Between requests.
    Idle,
}

/// What is left of those who wait at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Queue {
    /// Nobody.
    Empty,
    /// Some may be, whose turn is the next.
    Waits,
    /// Nobody is taken in for a moment.
    Paused,
}

struct Client {
    stream: Stream,
    /// The way that it came by, by number, and from where.
    entry: usize,
    from: IpAddr,
    phase: Phase,
    /// On its way in.
    startup: Option<Box<Startup>>,
    /// What it is spoken to with, and what it has set.
    version: Version,
    session: Session,
    /// The number of its cancel key.
    key: Option<u32>,
    /// When a write of its was last answered; only where the router itself must remember.
    wrote: Option<Time>,
    idle_for: Time,
    pending: VecDeque<Pending>,
    /// When it last got on, and when the message that is under way began.
    touched: Time,
    begun: Option<Time>,
    /// How long a message may be under way.
    message_for: Time,
    /// Until when it is only heard out, and the bytes that it may still send.
    leaving: Option<(Time, usize)>,
    /// A request of its has been taken on; until then, by when one must have been.
    asked: bool,
    first: Time,
    /// Errors of protocol since its last request.
    faults: u32,
    look: Option<Time>,
    /// Its place among those that could be closed.
    spare: Option<(Spare, Time)>,
    /// It is on the list of those to be pumped.
    marked: bool,
}

impl Client {
    fn idle(&self) -> bool {
        self.pending.is_empty() && self.stream.unsent() == 0 && self.stream.unread().is_empty()
    }

    /// How long it is waited for as things stand; what has been taken on has deadlines of its own.
    fn until(&self) -> Option<Time> {
        if self.stream.unsent() > 0 {
            Some(self.touched + UNREAD)
        } else if !self.pending.is_empty() {
            None
        } else if let Some((until, _)) = self.leaving {
            Some(until)
        } else if !self.asked {
            Some(self.first)
        } else {
            Some(
                self.begun
                    .map_or(self.touched + self.idle_for, |at| at + self.message_for),
            )
        }
    }

    /// Where it stands among those that could be closed.
    fn spare(&self) -> Option<(Spare, Time)> {
        let free = self.pending.is_empty() && self.stream.unsent() == 0;
        let kind = match self.phase {
            _ if !free => None,
            Phase::Closing => self.leaving.map(|_| Spare::Leaving),
            Phase::Refusing => Some(Spare::Refusing),
            _ if !self.asked => Some(Spare::Unasked),
            _ => self.idle().then_some(Spare::Idle),
        };
        kind.map(|kind| (kind, self.touched))
    }

    fn encoder(&self) -> Encoder {
        Encoder {
            version: self.version,
            forms: self.session.forms,
        }
    }

    /// Owes an answer that the router words itself.
    fn say(&mut self, words: &Words, word: impl FnOnce(&mut Vec<u8>)) {
        let mut answer = words.budget.buffer();
        answer.write(word);
        self.pending.push_back(Pending {
            request: None,
            answer: Some(answer),
        });
    }

    /// An error that leaves the session standing, unless it is one of many.
    fn object(&mut self, words: &Words, code: &str, text: &str) {
        self.faults += 1;
        if self.faults >= FAULTS {
            return self.dismiss(words, code, text);
        }
        self.regret(words, code, text);
    }

    /// An error that says nothing against the client.
    fn regret(&mut self, words: &Words, code: &str, text: &str) {
        let encoder = self.encoder();
        self.say(words, |out| {
            encoder.error(false, code, text, None, out);
            encoder.ready(out);
        });
    }

    /// From now on nothing that it sends is begun; it is told so, and heard out for so long.
    fn leave(&mut self, until: Time) {
        self.phase = Phase::Closing;
        self.leaving = Some((until, LEAVE.1));
        self.stream.finish();
    }

    /// Words for one that is closed before it has asked. Danger: closed without any, it does not know whether coming
    /// again is harmless.
    fn tell_unasked(&mut self) {
        if self.asked || self.phase == Phase::Closing || self.stream.unsent() > 0 {
            return;
        }
        let encoder = self.encoder();
        let text = if self.phase == Phase::Refusing {
            NO_PLACE
        } else {
            UNASKED
        };
        self.stream
            .put(|out| encoder.error(true, code::TURNED_AWAY, text, None, out));
        // One that cannot be told has gone.
        let _ = self.stream.flush();
    }

    /// An error that ends the session.
    fn dismiss(&mut self, words: &Words, code: &str, text: &str) {
        let encoder = self.encoder();
        self.say(words, |out| encoder.error(true, code, text, None, out));
        self.phase = Phase::Closing;
    }
}

/// The ids of late. Every request has one of its own, so one that comes again is another client's, and what a db node
/// makes for it may be the other's.
struct Ids {
    hasher: RandomState,
    /// Those of this span and of the one before.
    seen: [HashSet<u64>; 2],
    span: Time,
    until: Time,
}

impl Ids {
    /// Remembers ids for this long at the least.
    fn new(span: Time) -> Self {
        Ids {
            hasher: RandomState::new(),
            seen: Default::default(),
            span,
            until: 0,
        }
    }

    /// Takes an id, unless it has been taken.
    fn take(&mut self, id: &str, now: Time) -> bool {
        if now >= self.until || self.seen[0].len() >= IDS {
            self.seen.swap(0, 1);
            self.seen[0].clear();
            self.until = now + self.span;
        }
        let id = self.hasher.hash_one(id);
        !self.seen[1].contains(&id) && self.seen[0].insert(id)
    }
}

/// What a query is read with.
struct Words {
    names: Names,
    ids: Ids,
    budget: Budget,
    entries: Vec<Entry>,
    /// The router's own secret, and the ids that it made.
    secret: [u8; 32],
    own: u64,
    made: u64,
    /// Cancels that were asked for.
    wanted: Vec<(usize, CancelKey)>,
}

impl Words {
    /// An id for a request that came without one: no other router makes the same.
    fn id(&mut self) -> String {
        self.made += 1;
        format!("{:016x}-{:x}", self.own, self.made)
    }
}

/// Random bytes that nobody can guess.
fn random<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    // Without them no key and no login would be safe, and no system that the router runs on lacks them.
    getrandom::fill(&mut bytes).expect("the system gives random bytes");
    bytes
}

/// All clients, and the listener they come by.
pub struct Front {
    poll: Poll,
    clients: Table<Client>,
    most: usize,
    words: Words,
    marked: Vec<Key>,
    /// Those that could be closed, in the order in which they would be.
    spare: BTreeSet<(Spare, Time, Key)>,
    /// How many of them there are of each kind.
    spares: [usize; 4],
    draining: bool,
    /// Until when it takes in those who wait at its listeners though it finishes.
    door_until: Option<Time>,
}

impl Front {
    /// A front on the platform's listener, for so many clients, whose requests last no longer than this.
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        listener: TcpListener,
        most: usize,
        names: Names,
        longest: Time,
    ) -> std::io::Result<Self> {
        let mut front = Front {
            poll: poll.clone(),
            clients: Table::new(),
            most,
            words: Words {
                names,
                ids: Ids::new(longest * ABSURD),
                budget: budget.clone(),
                entries: Vec::new(),
                secret: random(),
                own: u64::from_be_bytes(random()),
                made: 0,
                wanted: Vec::new(),
            },
            marked: Vec::new(),
            spare: BTreeSet::new(),
            spares: [0; 4],
            draining: false,
            door_until: None,
        };
        front.open(listener, Terms::platform(most, IDLE))?;
        Ok(front)
    }

    /// Opens one more way in.
    pub fn open(&mut self, listener: TcpListener, terms: Terms) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        SockRef::from(&listener).listen(BACKLOG)?;
        let number = Key::from_number(self.words.entries.len() as u64);
        let listener = self.poll.register(
            listener,
            poll_key(Source::Listener, Some(number)),
            Interest::Read,
        )?;
        self.words.entries.push(Entry::new(terms, listener));
        Ok(())
    }

    /// Changes the terms of a way in, by its name, for those who come from now on. False where there is none.
    pub fn change(&mut self, terms: &Terms) -> bool {
        let way = self
            .words
            .entries
            .iter_mut()
            .skip(1)
            .find(|e| e.terms.name == terms.name);
        way.map(|way| way.terms = terms.clone()).is_some()
    }

    /// How many clients are connected.
    pub fn connected(&self) -> usize {
        self.clients.len()
    }

    /// Whether all that `drain` began is over: nobody is connected, and nobody can come.
    pub fn drained(&self) -> bool {
        self.draining
            && self.clients.is_empty()
            && self
                .words
                .entries
                .iter()
                .all(|entry| entry.listener.is_none())
    }

    /// How many clients hold a place: all but those beyond the limit.
    fn placed(&self) -> usize {
        self.clients.len()
            - self.spares[Spare::Leaving as usize]
            - self.spares[Spare::Refusing as usize]
    }

    /// Takes in the connections that wait at a listener.
    pub fn accept(&mut self, entry: Key, now: Time, engine: &mut Engine) {
        self.take_in(entry, now, engine);
    }

    fn take_in(&mut self, entry: Key, now: Time, engine: &mut Engine) -> Queue {
        let entry = entry.number() as usize;
        for _ in 0..TURN.1 {
            let full = self.clients.len() >= self.most + BEYOND;
            if full && !self.may_displace(now) {
                // Who has spoken is told, and may be displaced.
                self.pump(now, engine);
                if !self.may_displace(now) {
                    self.pause_accepting(now, engine);
                    return Queue::Paused;
                }
            }
            let Some(listener) = self
                .words
                .entries
                .get(entry)
                .and_then(|e| e.listener.as_ref())
            else {
                return Queue::Empty;
            };
            match listener.accept() {
                Ok((socket, from)) => {
                    // Only now is it certain that someone needs the place of an idle client, or the descriptor of one
                    // that has none.
                    if full {
                        self.displace(now, engine);
                    }
                    if self.placed() >= self.most {
                        self.shed(now, engine);
                    }
                    self.admit(entry, from.ip(), socket, now, engine);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Queue::Empty,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                // Danger: with no descriptor left the listener stays readable, and the loop would spin on it.
                Err(e) => {
                    warn!("cannot accept: {e}");
                    self.pause_accepting(now, engine);
                    return Queue::Paused;
                }
            }
        }
        Queue::Waits
    }

    /// Whether one of those beyond the limit may give up its descriptor to one that waits at the door: it has been told, or
    /// has had its time to say who it is.
    fn may_displace(&self, now: Time) -> bool {
        self.spare
            .first()
            .is_some_and(|&(kind, came, _)| match kind {
                Spare::Leaving => true,
                Spare::Refusing => came + DOOR <= now,
                Spare::Unasked | Spare::Idle => false,
            })
    }

    /// Closes the first of those beyond the limit.
    fn displace(&mut self, now: Time, engine: &mut Engine) {
        let Some(&(kind, _, key)) = self.spare.first() else {
            return;
        };
        if kind == Spare::Refusing && !self.may_go(key, now) {
            // It has just spoken: it may want a cancel.
            self.pump(now, engine);
            self.clients
                .get_mut(key)
                .into_iter()
                .for_each(Client::tell_unasked);
        }
        self.close(key, engine);
    }

    fn pause_accepting(&mut self, now: Time, engine: &mut Engine) {
        self.listen_for(Interest::Nothing);
        let mute = self
            .spare
            .range((Spare::Refusing, 0, Key::from_number(0))..)
            .next();
        let first = mute
            .filter(|(kind, ..)| *kind == Spare::Refusing)
            .map(|(_, came, _)| came + DOOR);
        engine.deadlines.add(
            first.filter(|at| *at > now).unwrap_or(now + DOOR),
            Deadline::Accept,
        );
    }

    /// Goes on accepting after a pause.
    pub fn resume_accepting(&mut self, now: Time, engine: &mut Engine) {
        self.listen_for(Interest::Read);
        if self.draining {
            self.shut_door(now, engine);
        } else {
            self.accept_all(now, engine);
        }
    }

    fn accept_all(&mut self, now: Time, engine: &mut Engine) -> Queue {
        let entries = 0..self.words.entries.len() as u64;
        entries
            .map(|entry| self.take_in(Key::from_number(entry), now, engine))
            .max()
            .unwrap_or(Queue::Empty)
    }

    fn listen_for(&mut self, interest: Interest) {
        for listener in self
            .words
            .entries
            .iter_mut()
            .filter_map(|e| e.listener.as_mut())
        {
            if let Err(e) = listener.want(interest) {
                warn!("a listener's interest cannot be changed: {e}");
            }
        }
    }

    fn admit(
        &mut self,
        entry: usize,
        from: IpAddr,
        socket: std::net::TcpStream,
        now: Time,
        engine: &mut Engine,
    ) {
        let way = &self.words.entries[entry];
        let room = self.placed() < self.most && way.clients < way.terms.most;
        let phase = if room {
            Phase::Opening
        } else {
            Phase::Refusing
        };
        let (forms, idle_for) = (way.terms.forms, way.terms.idle);
        let first = if room && !self.draining {
            FIRST
        } else {
            FIRST_SOON
        };
        let message_for = if self.draining { MESSAGE.1 } else { MESSAGE.0 };
        let (poll, budget) = (&self.poll, self.words.budget.clone());
        let made = self.clients.insert_with(|key| {
            let at = poll_key(Source::Client, Some(key));
            let stream = Stream::new(poll, &budget, socket, at, Interest::Read, LONGEST + 8)?;
            Ok::<_, std::io::Error>(Client {
                stream,
                entry,
                from,
                phase,
                startup: Some(Box::default()),
                version: Version::V30,
                session: Session::new(forms),
                key: None,
                wrote: None,
                idle_for,
                pending: VecDeque::new(),
                touched: now,
                begun: None,
                message_for,
                leaving: None,
                asked: false,
                first: now + first,
                faults: 0,
                look: None,
                spare: None,
                marked: false,
            })
        });
        match made {
            Ok(key) => {
                self.words.entries[entry].clients += 1;
                self.settle(key, engine);
                if !room {
                    // What it has said already need not wait for the next turn: others wait for its descriptor.
                    self.event(key, false, now, engine);
                }
            }
            Err(e) => warn!("a client's connection cannot be taken over: {e}"),
        }
    }

    /// Brings a client's deadline and its place among the spare ones up to date.
    fn settle(&mut self, key: Key, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // One that is too early finds the next when it falls due; only one that is too late must be moved at once.
        let until = client.until();
        if until.is_some_and(|at| client.look.is_none_or(|look| at < look)) {
            engine
                .deadlines
                .set(&mut client.look, Deadline::Client(key), until);
        }
        let spare = client.spare();
        if spare != client.spare {
            let (old, entry) = (std::mem::replace(&mut client.spare, spare), client.entry);
            self.place(key, entry, old, spare);
        }
    }

    /// Moves a client among the spare ones.
    fn place(
        &mut self,
        key: Key,
        entry: usize,
        old: Option<(Spare, Time)>,
        new: Option<(Spare, Time)>,
    ) {
        let beyond = |spare: Option<(Spare, Time)>| {
            usize::from(spare.is_some_and(|s| s.0 <= Spare::Refusing))
        };
        let way = &mut self.words.entries[entry];
        way.clients = way.clients + beyond(old) - beyond(new);
        if let Some((kind, at)) = old {
            self.spares[kind as usize] -= 1;
            self.spare.remove(&(kind, at, key));
        }
        if let Some((kind, at)) = new {
            self.spares[kind as usize] += 1;
            self.spare.insert((kind, at, key));
        }
    }

    /// Closes the clients that have been idle for longest where too many are. Danger: clients may hold only so many
    /// connections, and those that ask once and hold on to theirs would leave none for the others.
    fn thin_out(&mut self, now: Time, engine: &mut Engine) {
        let over = self.spares[Spare::Idle as usize].saturating_sub(self.most / MOST_IDLE);
        let idle = self
            .spare
            .range((Spare::Idle, 0, Key::from_number(0))..)
            .take(over);
        for key in idle.map(|&(_, _, key)| key).collect::<Vec<Key>>() {
            self.close_idle(key, now, engine);
        }
    }

    /// Makes room for one more client.
    fn shed(&mut self, now: Time, engine: &mut Engine) {
        let placed = self.spare.range((Spare::Unasked, 0, Key::from_number(0))..);
        let first: Vec<Key> = placed.take(LAST_LOOKS).map(|&(_, _, key)| key).collect();
        // One that has just spoken stays, and the next one goes.
        for key in first {
            if self.close_idle(key, now, engine) {
                return;
            }
        }
    }

    /// Ends a client between requests, unless something has just come; whether it did. It keeps its descriptor while it is
    /// heard out, and no place.
    fn close_idle(&mut self, key: Key, now: Time, engine: &mut Engine) -> bool {
        if !self.may_go(key, now) {
            return false;
        }
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        // Danger: closed at once, what crosses the close resets the connection, and takes an answer on its way with it.
        if client.leaving.is_none() && client.stream.unsent() == 0 {
            client.leave(now + LEAVE_RESTING);
            self.mark(key);
            self.settle(key, engine);
        } else {
            self.close(key, engine);
        }
        true
    }

    /// Whether a client between requests may be ended: nothing has just come, or its end behind it. One that has not asked
    /// is told.
    fn may_go(&mut self, key: Key, now: Time) -> bool {
        let Some(client) = self.clients.get_mut(key) else {
            return false;
        };
        // Danger: closing with a request unread in the kernel's buffer loses it; so a last look is taken first.
        let before = client.stream.unread().len();
        // Danger: one that this turn has heard already says nothing more, and would be closed with its request unread.
        let heard = client.marked && before > 0;
        let spoke = client.leaving.is_none()
            && (heard
                || Self::hear(&mut self.words, client, key, now) == Peer::Open
                    && client.stream.unread().len() > before);
        if spoke {
            self.mark(key);
        } else {
            client.tell_unasked();
        }
        !spoke
    }

    /// The one place where a client's connection is given back.
    fn close(&mut self, key: Key, engine: &mut Engine) {
        let Some(mut client) = self.clients.remove(key) else {
            return;
        };
        if client.leaving.is_some() {
            // Danger: what has come since the last look would reset the connection. The rest of it is the other side's.
            Self::hear_late_cancel(&mut self.words, &mut client);
            let _ = client.stream.discard();
        }
        engine
            .deadlines
            .set(&mut client.look, Deadline::Client(key), None);
        self.place(key, client.entry, client.spare.take(), None);
        let way = &mut self.words.entries[client.entry];
        way.clients -= 1;
        client.key.into_iter().for_each(|id| way.keys.withdraw(id));
        for asked in client.pending.into_iter().filter_map(|p| p.request) {
            engine.client_gone(asked.request);
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
    pub fn event(&mut self, key: Key, hung_up: bool, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Danger: the poller tells of a reset whatever the socket waits for, over and over: one that is not being
        // read would keep the loop spinning.
        let peer = Self::hear(&mut self.words, client, key, now);
        if hung_up || peer != Peer::Open {
            debug!(client = key.number(), ?peer, hung_up, "closed");
            return self.close(key, engine);
        }
        self.mark(key);
    }

    /// Reads what a client has sent, up to its end where that can be reached. Whoever wants a request cancelled need not
    /// wait for our end of the connection.
    fn hear(words: &mut Words, client: &mut Client, key: Key, now: Time) -> Peer {
        let peer = Self::fill(client);
        if peer != Peer::Open {
            while client.startup.is_some() && client.phase != Phase::Closing {
                if !Self::come_in(words, client, key, now) {
                    break;
                }
            }
        }
        peer
    }

    /// Danger: with a client's end left for the next turn, requests would begin though it has gone while the loop was busy.
    fn fill(client: &mut Client) -> Peer {
        // `heard_out` reads, and keeps nothing.
        if client.leaving.is_some() {
            return Peer::Open;
        }
        while Self::listens(client) {
            let before = client.stream.unread().len();
            match client.stream.fill() {
                Peer::Open if client.stream.unread().len() > before => {
                    if client.stream.unread().len() >= AHEAD {
                        break;
                    }
                }
                // What is read ahead need not be: there is memory for it later.
                Peer::TooMuch if !Self::reads(client) => break,
                peer => return peer,
            }
        }
        Peer::Open
    }

    /// It is time to look a client over.
    pub fn look_over(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.look = None;
        match client.until() {
            Some(at) if at > now => self.settle(key, engine),
            Some(_) if client.leaving.is_some() || client.stream.unsent() > 0 => {
                self.close(key, engine)
            }
            Some(_) if client.begun.is_some() => self.end_half(key, now, engine),
            Some(_) => drop(self.close_idle(key, now, engine)),
            None => {}
        }
    }

    /// Ends a client whose message has been under way for too long, unless the rest of it has just come.
    fn end_half(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let heard = Self::hear(&mut self.words, client, key, now);
        if heard != Peer::Open || Self::exchange(&mut self.words, client, key, now, engine).is_err()
        {
            return self.close(key, engine);
        }
        if client.begun.is_some() {
            client.tell_unasked();
            client.leave(now + LEAVE_RESTING);
        }
        self.mark(key);
        self.settle(key, engine);
    }

    /// The statement of a request, for an attempt.
    pub fn statement(&self, origin: Key, request: Key) -> Option<Rc<Statement>> {
        let pending = self.clients.get(origin)?.pending.iter();
        let mut asked = pending.filter_map(|p| p.request.as_ref());
        asked
            .find(|asked| asked.request == request)
            .map(|asked| Rc::clone(&asked.statement))
    }

    /// Passes on what a db node answered: row description, row and completion, as they came.
    pub fn served(&mut self, origin: Key, request: Key, reply: Buffer, now: Time) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let is_it = |asked: &&Asked| asked.request == request;
        if client
            .pending
            .iter()
            .filter_map(|p| p.request.as_ref())
            .find(is_it)
            .is_some_and(|a| a.writes)
        {
            client.wrote = Some(now);
        }
        let (encoder, named) = (
            client.encoder(),
            self.words.entries[client.entry].terms.defaults.is_some(),
        );
        if !named || encoder.passes(&reply) {
            return self.answer(origin, request, reply, Encoder::ready);
        }
        let mut said = self.words.budget.buffer();
        let result = said.write(|out| encoder.reply(&reply, out));
        if let Err(why) = result {
            warn!(client = origin.number(), reason = "unsayable", "{}", why.0);
            // What has been done is done; the client must not take this for a refusal.
            let text = format!(
                "the statement ran, but its answer cannot be passed on: {}",
                why.0
            );
            said = self.words.budget.buffer();
            said.write(|out| encoder.error(false, code::UNTRANSLATABLE, &text, None, out));
        }
        self.answer(origin, request, said, Encoder::ready);
    }

    /// Words a final answer that no db node made.
    pub fn concluded(&mut self, origin: Key, request: Key, answer: FinalAnswer) {
        let Some(encoder) = self.clients.get(origin).map(Client::encoder) else {
            return;
        };
        let mut worded = self.words.budget.buffer();
        worded.write(|out| match answer {
            FinalAnswer::Rejected(wait) => {
                let wait = wait.map(clock::to_ms);
                encoder.error(
                    false,
                    code::TURNED_AWAY,
                    "no db node can take this in time",
                    wait,
                    out,
                );
            }
            FinalAnswer::Failed => {
                let text = "the outcome is unknown: no db node answered in time";
                encoder.error(false, code::UNKNOWN_OUTCOME, text, None, out);
            }
        });
        self.answer(origin, request, worded, Encoder::ready);
    }

    fn answer(
        &mut self,
        origin: Key,
        request: Key,
        mut answer: Buffer,
        ready: impl Fn(&Encoder, &mut Vec<u8>),
    ) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let encoder = client.encoder();
        let is_it = |p: &&mut Pending| {
            p.request
                .as_ref()
                .is_some_and(|asked| asked.request == request)
        };
        let Some(pending) = client.pending.iter_mut().find(is_it) else {
            return;
        };
        answer.write(|out| ready(&encoder, out));
        pending.answer = Some(answer);
        pending.request = None;
        self.mark(origin);
    }

    /// Reads and writes on where something has happened.
    pub fn pump(&mut self, now: Time, engine: &mut Engine) {
        for key in mem::take(&mut self.marked) {
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            client.marked = false;
            let Ok((sent, more)) = Self::exchange(&mut self.words, client, key, now, engine) else {
                self.close(key, engine);
                continue;
            };
            // Danger: whoever is told the end of its wish before the wish is met may find its next query cancelled.
            self.cancel_wanted(now, engine);
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            let done = sent && client.pending.is_empty();
            if done
                && client.phase == Phase::Closing
                && Self::heard_out(&mut self.words, client, now)
            {
                self.close(key, engine);
                continue;
            }
            let reads = Self::reads(client);
            let partial = reads && !more && !client.stream.unread().is_empty();
            client.begun = partial.then(|| client.begun.unwrap_or(now));
            client.stream.wait_for(Self::listens(client));
            let idle =
                self.draining && client.asked && client.idle() && client.phase != Phase::Closing;
            self.settle(key, engine);
            if more {
                self.mark(key);
            } else if idle {
                self.close_idle(key, now, engine);
            }
        }
        // The last look at who goes may find a cancel.
        self.thin_out(now, engine);
        self.cancel_wanted(now, engine);
    }

    /// All has been said to a client that is to go: it is told so, and heard out; true once that is over.
    fn heard_out(words: &mut Words, client: &mut Client, now: Time) -> bool {
        if client.leaving.is_none() {
            client.leave(now + LEAVE.0);
        }
        if let Some(peer) = Self::hear_late_cancel(words, client) {
            return peer != Peer::Open;
        }
        let Some((_, left)) = &mut client.leaving else {
            return true;
        };
        match client.stream.discard() {
            Ok(count) => {
                *left = left.saturating_sub(count);
                *left == 0
            }
            Err(_) => true,
        }
    }

    /// One that was told its end before it had said anything may want a cancel all the same: the two have crossed. Danger:
    /// unheard, its request would be sent on for nobody. Returns whether the other side is there, while that is not known.
    fn hear_late_cancel(words: &mut Words, client: &mut Client) -> Option<Peer> {
        let mut startup = client.startup.take_if(|startup| !startup.opened())?;
        let peer = client.stream.fill();
        let rules = &words.entries[client.entry].terms.rules;
        match startup.take(rules, client.stream.unread(), "", &mut Vec::new()) {
            Ok(Some((_, Step::Cancel(wanted)))) => words.wanted.push((client.entry, wanted)),
            Ok(None) => {
                client.startup = Some(startup);
                return Some(peer);
            }
            // It wants something else, for which it comes too late.
            _ => {}
        }
        None
    }

    /// Queues the answers whose turn it is, takes in what there is room for, and writes. Says whether all is written, and
    /// whether something is left to read in the next turn.
    fn exchange(
        words: &mut Words,
        client: &mut Client,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> Result<(bool, bool), Peer> {
        let mut left = TURN.0;
        loop {
            while let Some(answer) = client.pending.front_mut().and_then(|p| p.answer.take()) {
                client.stream.put(|out| out.extend_from_slice(&answer));
                client.pending.pop_front();
            }
            if left > 0 && Self::read(words, client, key, now, engine) {
                (client.touched, client.begun) = (now, None);
                left -= 1;
                continue;
            }
            let before = client.stream.unsent();
            let sent = client.stream.flush()?;
            if client.stream.unsent() < before {
                client.touched = now;
            }
            // Danger: a client that sends at full speed would hold the turn for as long as its input lasts.
            if left == 0 || !sent || before < PIPELINE.1 {
                return Ok((
                    sent,
                    left == 0 && Self::reads(client) && !client.stream.unread().is_empty(),
                ));
            }
        }
    }

    fn has_room(client: &Client) -> bool {
        client.pending.len() < PIPELINE.0 && client.stream.unsent() < PIPELINE.1
    }

    /// Whether what it sends next may be begun.
    fn reads(client: &Client) -> bool {
        client.phase != Phase::Closing && Self::has_room(client)
    }

    /// Whether its bytes are waited for: to be begun, to be dropped, or for the end that may come behind them.
    fn listens(client: &Client) -> bool {
        let ahead = || client.stream.unread().len() < AHEAD && client.stream.may_hoard();
        client.leaving.is_some() || Self::reads(client) || ahead()
    }

    /// Takes one message in; false where none is whole or there is no room for it.
    fn read(
        words: &mut Words,
        client: &mut Client,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        if !Self::has_room(client) {
            return false;
        }
        match client.phase {
            Phase::Closing => return false,
            Phase::Opening | Phase::Refusing => return Self::come_in(words, client, key, now),
            Phase::Ready if client.version == Version::V2 => {
                return Self::read_old(words, client, key, now, engine);
            }
            Phase::Ready | Phase::Skipping => {}
        }
        let message = match statement_labels::message(client.stream.unread(), LONGEST) {
            Ok(Some(message)) => message,
            Ok(None) => return false,
            Err(statement_labels::Malformed) => {
                client.dismiss(words, code::PROTOCOL, "a message has an impossible length");
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
                client.say(words, statement_labels::put_ready);
            }
            (_, _) if client.phase == Phase::Skipping => {}
            (b'Q', Some(Some(text))) if text.contains(&0) => {
                client.object(words, code::PROTOCOL, "the query has a zero byte in it");
            }
            (b'Q', Some(Some(text))) => match String::from_utf8(text) {
                Ok(text) => Self::query(words, client, key, &text, now, engine),
                Err(_) => client.object(words, code::PROTOCOL, "the query is not UTF-8"),
            },
            (b'Q', _) => client.object(words, code::PROTOCOL, "the query does not end"),
            (b'F', _) => {
                client.object(words, code::UNSUPPORTED, "function calls are not supported")
            }
            (b'P' | b'B' | b'D' | b'E' | b'C' | b'H', _) => {
                client.faults += 1;
                client.say(words, |out| {
                    statement_labels::put_error(out, false, code::UNSUPPORTED, ONLY_SIMPLE, None);
                });
                client.phase = Phase::Skipping;
            }
            // Copy data that comes late, after an error, is ignored as a server does.
            (b'd' | b'c' | b'f', _) => {}
            _ => client.dismiss(words, code::PROTOCOL, "a message of an unknown kind"),
        }
        true
    }

    /// Takes in what comes before a client is in; false where none is whole.
    fn come_in(words: &mut Words, client: &mut Client, key: Key, now: Time) -> bool {
        let Some(mut startup) = client.startup.take() else {
            return false;
        };
        let mut out = Vec::new();
        let nonce = || random::<16>().map(|byte| format!("{byte:02x}")).concat();
        let rules = &words.entries[client.entry].terms.rules;
        let taken = match client.stream.unread() {
            bytes if startup.opened() && bytes.len() > BEFORE_IN => {
                Err(Fault::new(code::PROTOCOL, "too much came before the login"))
            }
            bytes => {
                // Only a login needs one, and it is dear.
                let nonce = if startup.opened() {
                    nonce()
                } else {
                    String::new()
                };
                startup.take(rules, bytes, &nonce, &mut out)
            }
        };
        client.version = startup.version();
        let step = match taken {
            Ok(None) => {
                client.startup = Some(startup);
                return false;
            }
            Ok(Some((length, step))) => {
                client.stream.take(length);
                match step {
                    Step::Named => Self::identify(words, client, &mut startup, now, &mut out),
                    step => Ok(step),
                }
            }
            Err(fault) => Err(fault),
        };
        if !out.is_empty() {
            client.say(words, |said| said.append(&mut out));
        }
        match step {
            Ok(Step::Goes | Step::Named) => client.startup = Some(startup),
            Ok(Step::Cancel(wanted)) => {
                client.phase = Phase::Closing;
                words.wanted.push((client.entry, wanted));
            }
            Ok(Step::In) => Self::let_in(words, client, key, &startup, now),
            Err(fault) => {
                if Startup::tried(&fault) {
                    words.entries[client.entry]
                        .throttle
                        .failed(now, client.from, startup.user());
                    warn!(user = startup.user(), from = %client.from, reason = "login failed", "a login failed");
                }
                client.dismiss(words, fault.code, &fault.text);
            }
        }
        true
    }

    /// A client has said who it is: it is asked for a proof, unless there is no room or it has failed too often.
    fn identify(
        words: &Words,
        client: &mut Client,
        startup: &mut Startup,
        now: Time,
        out: &mut Vec<u8>,
    ) -> Result<Step, Fault> {
        if client.phase == Phase::Refusing {
            return Err(Fault::new(code::TURNED_AWAY, NO_PLACE));
        }
        let way = &words.entries[client.entry];
        if let Err(wait) = way.throttle.may(now, client.from, startup.user()) {
            let text = format!(
                "too many logins failed; try again after {} ms",
                entry::ms(wait)
            );
            return Err(Fault::new(code::TURNED_AWAY, text));
        }
        let verifier = way.terms.users.get(startup.user()).cloned();
        let salt = if way.terms.rules.methods.contains(&Method::Md5) {
            random()
        } else {
            [0; 4]
        };
        startup.identify(
            &way.terms.rules,
            verifier.as_ref(),
            &words.secret,
            salt,
            out,
        )
    }

    /// A client is in: it is greeted, and has what it set at its start.
    fn let_in(words: &mut Words, client: &mut Client, key: Key, startup: &Startup, now: Time) {
        client.phase = Phase::Ready;
        let way = &mut words.entries[client.entry];
        let named = way.terms.defaults.is_some();
        let mut told = way.terms.parameters.clone();
        // Danger: a client without one could end what it does not want any more only by closing.
        let issued = way.keys.issue(key, client.version, random());
        client.key = Some(issued.id);
        if named {
            way.throttle.succeeded(now, client.from, startup.user());
            client.asked = true;
            told.push(("session_authorization".into(), startup.user().into()));
            for (name, value) in startup.parameters() {
                match client.session.set(name, Some(value)) {
                    Ok(changed) => {
                        if let Some((name, value)) = changed {
                            told.retain(|(known, _)| known != name);
                            told.push((name.into(), value));
                        }
                    }
                    Err(fault) => return client.dismiss(words, fault.code, &fault.text),
                }
            }
        }
        let encoder = client.encoder();
        client.say(words, |out| encoder.greet(&told, Some(&issued), out));
    }

    /// Takes one message of version 2.0 in; false where none is whole.
    fn read_old(
        words: &mut Words,
        client: &mut Client,
        key: Key,
        now: Time,
        engine: &mut Engine,
    ) -> bool {
        let bytes = client.stream.unread();
        let Some((&kind, rest)) = bytes.split_first() else {
            return false;
        };
        match kind {
            b'Q' => {
                let Some(end) = rest.iter().position(|byte| *byte == 0) else {
                    if rest.len() > LONGEST {
                        client.dismiss(words, code::PROTOCOL, "the query is too long");
                        return true;
                    }
                    return false;
                };
                let text = String::from_utf8(rest[..end].to_vec());
                client.stream.take(end + 2);
                match text {
                    Ok(text) => Self::query(words, client, key, &text, now, engine),
                    Err(_) => client.object(words, code::PROTOCOL, "the query is not UTF-8"),
                }
            }
            b'X' => client.phase = Phase::Closing,
            b'F' => match statement_labels::old_function_call(rest, LONGEST) {
                Ok(None) => return false,
                Ok(Some(length)) => {
                    client.stream.take(length + 1);
                    client.object(words, code::UNSUPPORTED, "function calls are not supported");
                }
                Err(statement_labels::Malformed) => {
                    client.dismiss(words, code::PROTOCOL, "a malformed function call")
                }
            },
            _ => client.dismiss(words, code::PROTOCOL, "a message of an unknown kind"),
        }
        true
    }

    /// Ends the requests whose cancelling was asked for with the right key.
    fn cancel_wanted(&mut self, now: Time, engine: &mut Engine) {
        for (entry, wanted) in mem::take(&mut self.words.wanted) {
            let Some(key) = self.words.entries[entry].keys.find(&wanted) else {
                continue;
            };
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            // Danger: the query may have come before the wish and be read after it, and would run for nobody.
            if client.pending.is_empty()
                && (Self::hear(&mut self.words, client, key, now) != Peer::Open
                    || Self::exchange(&mut self.words, client, key, now, engine).is_err())
            {
                self.close(key, engine);
                continue;
            }
            self.mark(key);
            let Some(client) = self.clients.get_mut(key) else {
                continue;
            };
            // Only what is under way; what waits behind it in the pipeline goes on.
            let Some(pending) = client.pending.front_mut().filter(|p| p.request.is_some()) else {
                continue;
            };
            let encoder = Encoder {
                version: client.version,
                forms: client.session.forms,
            };
            let mut answer = self.words.budget.buffer();
            answer.write(|out| {
                let text = "cancelled on request; a write may have run all the same";
                encoder.error(false, code::CANCELLED, text, None, out);
                encoder.ready(out);
            });
            pending.answer = Some(answer);
            if let Some(asked) = pending.request.take() {
                engine.cancel(asked.request, now);
            }
        }
    }

    /// A query of a client without labels: what it needs, and then the text with labels in front. None where it has been
    /// answered here.
    fn label(words: &mut Words, client: &mut Client, text: &str) -> Option<String> {
        let kind = statement::kind(text);
        let encoder = client.encoder();
        match kind {
            Kind::Empty => client.say(words, |out| {
                encoder.empty(out);
                encoder.ready(out);
            }),
            Kind::Sets(name, value) => match client.session.set(&name, value.as_deref()) {
                Ok(told) => client.say(words, |out| {
                    encoder.complete(if value.is_some() { "SET" } else { "RESET" }, out);
                    if let Some((name, value)) = told {
                        encoder.status(name, &value, out);
                    }
                    encoder.ready(out);
                }),
                Err(fault) => client.regret(words, fault.code, &fault.text),
            },
            Kind::Session(what) => {
                let text = format!(
                    "{what} needs a session of its own with one server, which this listener does not give"
                );
                client.regret(words, code::UNSUPPORTED, &text);
            }
            Kind::Reads | Kind::Writes => {
                let id = words.id();
                let (reads, patience) = (kind == Kind::Reads, client.session.timeout_ms);
                let defaults = words.entries[client.entry].terms.defaults.as_ref()?;
                return Some(entry::labelled(text, defaults, reads, &id, patience));
            }
        }
        None
    }

    fn query(
        words: &mut Words,
        client: &mut Client,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) {
        let named = words.entries[client.entry].terms.defaults.is_some();
        if named && !(text.trim_start().starts_with("/*") && statement_labels::labels(text).is_ok())
        {
            if let Some(text) = Self::label(words, client, text) {
                Self::ask(words, client, key, &text, now, engine);
            }
            return;
        }
        let bare = text.trim().trim_end_matches(';');
        if bare.is_empty() {
            return client.say(words, |out| {
                statement_labels::put(out, b'I', |_| {});
                statement_labels::put_ready(out);
            });
        }
        // What drivers send on their own has no effect here, as at the db nodes.
        let word = bare
            .split_whitespace()
            .next()
            .unwrap_or("")
            .to_ascii_uppercase();
        if ["SET", "RESET", "DISCARD"].contains(&word.as_str()) {
            return client.say(words, |out| {
                statement_labels::put_complete(out, &word);
                statement_labels::put_ready(out);
            });
        }
        Self::ask(words, client, key, text, now, engine);
    }

    /// Hands a query with labels to the core.
    fn ask(
        words: &mut Words,
        client: &mut Client,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) {
        let named = words.entries[client.entry].terms.defaults.is_some();
        let labels = match statement_labels::labels(text) {
            Ok(labels) => labels,
            Err(complaint) => return client.object(words, code::PROTOCOL, &complaint.to_string()),
        };
        let Some(class) = words.names.class(labels.class) else {
            return client.object(
                words,
                code::UNDEFINED,
                &format!("class {:?} does not exist", labels.class),
            );
        };
        if !engine.knows_group(labels.group) {
            return client.object(
                words,
                code::NOT_NOW,
                &format!("no db node of group {} is known", labels.group),
            );
        }
        let figures = &engine.classes()[class];
        let left = clock::from_ms(labels.patience);
        if left == 0 || left > figures.deadline.saturating_mul(ABSURD) {
            return client.object(
                words,
                code::PROTOCOL,
                &format!("d: nobody waits for {} ms", labels.patience),
            );
        }
        let tenant = labels.tenant.map(|name| (name, words.names.tenant(name)));
        if let Some((name, None)) = tenant {
            return client.object(
                words,
                code::UNDEFINED,
                &format!("tenant {name:?} does not exist"),
            );
        }
        let Some(share) = words.budget.take(text.len()) else {
            return client.regret(words, code::TURNED_AWAY, "too many statements are waiting");
        };
        if !words.ids.take(labels.id, now) {
            return client.object(
                words,
                code::PROTOCOL,
                &format!("id: {} is another request's", labels.id),
            );
        }
        // A client without labels carries no position: what it must see is what this router answered it last.
        let carried = labels
            .after
            .filter(|at| *at > 0)
            .map(|at| clock::age(now, clock::from_ms(at)));
        let own = || {
            client
                .wrote
                .filter(|_| named && figures.access == Access::OwnWrites)
                .map(|at| now.saturating_sub(at))
        };
        let has_session = matches!(figures.access, Access::Write | Access::OwnWrites);
        let info = RequestInfo {
            class,
            tenant: tenant.and_then(|(_, number)| number),
            session: labels.key.filter(|_| has_session).map(Into::into),
            time_left: left,
            group: labels.group,
            last_write_age: carried.or_else(own),
            is_retry: labels.repeat,
            ..RequestInfo::default()
        };
        let shape = if named { Shape::Any } else { Shape::OneValue };
        let statement = Rc::new(Statement::new(text, &labels, shape));
        let writes = figures.access == Access::Write;
        let asked = Asked {
            request: engine.begin_request(key, info),
            statement,
            writes,
            _share: share,
        };
        (client.asked, client.faults) = (true, 0);
        client.pending.push_back(Pending {
            request: Some(asked),
            answer: None,
        });
    }

    /// Closes the listeners, once all who wait at them have been taken in.
    fn shut_door(&mut self, now: Time, engine: &mut Engine) {
        let until = *self.door_until.get_or_insert(now + FIRST_SOON);
        // Danger: the system resets those whom a closed listener leaves waiting.
        let fits = BACKLOG as u32 / TURN.1;
        let queue = (0..=fits)
            .map(|_| self.accept_all(now, engine))
            .find(|queue| *queue != Queue::Waits);
        // Where accepting pauses it goes on here.
        if queue != Some(Queue::Paused) || now >= until {
            self.words
                .entries
                .iter_mut()
                .for_each(|entry| entry.listener = None);
        }
    }

    /// Closes the listeners and all idle clients; the others are closed once they are answered, or have not asked in time.
    pub fn drain(&mut self, now: Time, engine: &mut Engine) {
        self.draining = true;
        self.shut_door(now, engine);
        let all: Vec<Key> = self.clients.iter().map(|(key, _)| key).collect();
        for key in all {
            // Danger: told once more to end, it would close those that it hears out with bytes unread.
            let Some(client) = self.clients.get_mut(key).filter(|c| c.leaving.is_none()) else {
                continue;
            };
            client.message_for = MESSAGE.1;
            if !client.asked {
                client.first = client.first.min(now + FIRST_SOON);
                self.settle(key, engine);
            } else if client.idle() {
                self.close_idle(key, now, engine);
            } else {
                self.settle(key, engine);
            }
        }
    }
}
