//! Discovery: the list of db nodes, watched over HTTP at the agent on this machine.
//!
//! A watch goes on as long as each call follows the last answer within 200 ms, so the next call is written in the turn in
//! which an answer was read; `WatchSchedule` says when else to call. An agent that is silent or refuses leaves the list as it is.

use crate::clock;
use crate::net::budget::Budget;
use crate::net::stream::{PeerState, Stream};
use crate::net::{EventSource, begin_connect, poll_key};
use plovercove::{Endpoint, EndpointState, Time};
use plovercove_engine::{Deadline, Engine, WatchSchedule};
use plovercove_poller::{Interest, Poll};
use plovercove_settings::{
    Fault, ReadResult, Section, Value, boolean, list, number, parse, text, unsigned,
};
use std::io;
use std::net::SocketAddr;
use tracing::{debug, info, warn};

/// The longest answer.
const LONGEST: usize = 8 * 1024 * 1024;

/// The statuses of an entry.
const STATES: [(&str, EndpointState); 3] = [
    ("active", EndpointState::Serving),
    ("leaving", EndpointState::Draining),
    ("left", EndpointState::Removed),
];

/// A list, or the changes to one.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Its version.
    pub index: u64,
    /// Whether it is the whole list.
    pub is_complete: bool,
    /// Its entries, with the addresses they are reached at.
    pub entries: Vec<(Endpoint, Option<SocketAddr>)>,
    /// A status that this router does not know, and where it stands; its entry counts as draining.
    pub unknown_status: Option<String>,
}

/// Reads a list; complaints name its keys from this path on.
pub fn read_listing(value: &Value, path: &str) -> ReadResult<Listing> {
    let top = Section::new(value, path);
    let (mut entries, mut unknown_status) = (Vec::new(), None);
    for (place, value) in top.required("endpoints", list)?.iter().enumerate() {
        let part = Section::new(value, format!("{path}endpoints[{place}]."));
        part.required("status", text)?;
        let state = part.one_of("status", &STATES).unwrap_or_else(|fault| {
            unknown_status = Some(fault.to_string());
            EndpointState::Draining
        });
        entries.push(entry(&part, state)?);
    }
    Ok(Listing {
        index: top.required("index", unsigned)?,
        is_complete: top.required("snapshot", boolean)?,
        entries,
        unknown_status,
    })
}

fn entry(part: &Section<'_>, state: EndpointState) -> ReadResult<(Endpoint, Option<SocketAddr>)> {
    let address = part.optional("address", |value, what| {
        let given = text(value, what)?;
        given.parse().map_err(|_| {
            Fault::new(format!(
                "{what}: expected an address and port, got {given:?}"
            ))
        })
    });
    let address = if state == EndpointState::Removed {
        address.unwrap_or(None)
    } else {
        address?
    };
    let started = part
        .optional("since_ms", unsigned)?
        .filter(|ms| *ms > 0)
        .map(clock::from_ms);
    let entry = Endpoint {
        node: part.required("name", text)?.into(),
        zone: part.optional("zone", text)?.unwrap_or("").to_string(),
        machine_kind: part.optional("type", text)?.unwrap_or("").to_string(),
        listed_as_primary: part.optional("replication", text)? == Some("primary"),
        group: part.optional("group", unsigned)?.unwrap_or(0),
        state,
        weight: part.optional("weight", number)?.unwrap_or(1.0),
        started_at: started,
    };
    Ok((entry, address))
}

/// Why a call of discovery failed.
#[derive(Debug, thiserror::Error)]
pub enum Trouble {
    /// No connection could be begun.
    #[error("no connection to the agent can be begun: {0}")]
    Connect(#[source] io::Error),
    /// The connection was refused, or broke.
    #[error("the agent refuses the connection")]
    Unreachable,
    /// No answer came in time.
    #[error("no answer")]
    Silent,
    /// The agent closed the connection in the middle.
    #[error("the agent closed the connection")]
    Closed,
    /// It answered that it cannot.
    #[error("the agent answered with status {0}")]
    Status(u16),
    /// Its answer is no HTTP.
    #[error("not HTTP: {0}")]
    NotHttp(#[source] httparse::Error),
    /// A length that cannot be.
    #[error("the agent tells a length of {0:?}")]
    Length(String),
    /// A chunk that has no size.
    #[error("a chunk without a size")]
    Chunk,
    /// More than a list can be.
    #[error("a chunk that is too long")]
    TooLong,
    /// What came is no list.
    #[error("{0}")]
    List(Fault),
    /// The whole list is empty, though nodes are known.
    #[error("the list names nobody")]
    Nobody,
    /// Changes of a version that is past.
    #[error("changes of version {0}, which is older than the list's")]
    Older(u64),
    /// A status that this version does not know.
    #[error("{0}")]
    Odd(String),
}

impl Trouble {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Trouble::Connect(_) => {
                "check the address of discovery, and the router's limit on descriptors"
            }
            Trouble::Unreachable | Trouble::Closed => {
                "see whether the agent runs on this machine and listens at the address of discovery; the router asks again by itself"
            }
            Trouble::Silent => {
                "see whether discovery is up and how many calls wait there; the router begins the watch anew by itself"
            }
            Trouble::Status(_) => {
                "look at discovery's own log: 503 means more calls than it answers; the router asks less often by itself"
            }
            Trouble::NotHttp(_) | Trouble::Length(_) | Trouble::Chunk | Trouble::TooLong => {
                "something else listens at the address of discovery, or a proxy in between spoils answers: correct the address"
            }
            Trouble::List(_) | Trouble::Odd(_) => {
                "the agent and the router are of different versions, or an entry was made by hand: correct the key that is named"
            }
            Trouble::Nobody | Trouble::Older(_) => {
                "discovery has lost what it knew, or an old copy answers: the router keeps its list until a newer one comes"
            }
        }
    }
}

/// How far the watch is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next call is made at the deadline.
    Resting,
    /// A connection is begun for it.
    Connecting,
    /// It is made, and not answered yet.
    Calling,
}

/// The watch on the agent.
pub struct Discovery {
    poll: Poll,
    agent: SocketAddr,
    stream: Option<Stream>,
    phase: Phase,
    /// The version that the next call asks for news of; none: it asks for the whole list.
    index: Option<u64>,
    deadline: Option<Time>,
    failing: bool,
    /// Some list has named a node.
    named: bool,
    /// The status that was not known the last time.
    odd: Option<String>,
    schedule: WatchSchedule,
}

impl Discovery {
    /// A watch that has not begun, from this version of the list on, if one is known.
    pub fn new(
        poll: &Poll,
        agent: SocketAddr,
        index: Option<u64>,
        schedule: WatchSchedule,
    ) -> Self {
        Discovery {
            poll: poll.clone(),
            agent,
            stream: None,
            phase: Phase::Resting,
            index,
            deadline: None,
            failing: false,
            named: index.is_some(),
            odd: None,
            schedule,
        }
    }

    /// Makes the first call.
    pub fn start(&mut self, now: Time, engine: &mut Engine) {
        self.call(now, engine);
    }

    /// Goes on at the agent that a new configuration names, and calls it soon: what it has counts as told soon, also where
    /// it is the same one and a pause or a call that has fallen silent would be sat out first. The list stays until another
    /// agent has told its own, whole: its versions may be counted differently.
    pub fn move_to(&mut self, agent: SocketAddr, now: Time, engine: &mut Engine) {
        if agent != self.agent {
            (self.agent, self.index, self.failing) = (agent, None, false);
        }
        self.stream = None;
        match self.schedule.record_service_change(now) {
            at if at > now => self.wait(Phase::Resting, at, engine),
            _ => self.call(now, engine),
        }
    }

    fn connect(&self) -> io::Result<Stream> {
        let socket = begin_connect(self.agent)?;
        let key = poll_key(EventSource::Discovery, None);
        // Whatever clients hold, the list must come through.
        Stream::new(
            &self.poll,
            &Budget::new(LONGEST),
            socket,
            key,
            Interest::Write,
            LONGEST,
        )
    }

    fn wait(&mut self, phase: Phase, until: Time, engine: &mut Engine) {
        self.phase = phase;
        engine
            .deadlines
            .set(&mut self.deadline, Deadline::Discovery, Some(until));
    }

    fn call(&mut self, now: Time, engine: &mut Engine) {
        if self.stream.is_some() {
            return self.request(now, engine);
        }
        let until = self.schedule.begin_connection(now);
        match self.connect() {
            Ok(stream) => {
                self.stream = Some(stream);
                self.wait(Phase::Connecting, until, engine);
            }
            Err(e) => self.failed(&Trouble::Connect(e), now, engine),
        }
    }

    /// Writes the call to the connection, which is up.
    fn request(&mut self, now: Time, engine: &mut Engine) {
        let (wait, until) = self.schedule.begin_call(now, self.index.is_some());
        let path = match self.index {
            Some(index) => format!("/api/targets?after={index}&wait_ms={}", clock::to_ms(wait)),
            None => "/api/targets".to_string(),
        };
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.agent
        );
        self.wait(Phase::Calling, until, engine);
        let Some(stream) = &mut self.stream else {
            return;
        };
        stream.queue_output(|out| out.extend_from_slice(request.as_bytes()));
        // What can't be written yet goes once there is room; that it broke is told by the next event.
        let _ = stream.flush();
        stream.set_read_interest(true);
    }

    /// The call failed: the list stays, and the next call asks for news of it, which costs less than the whole.
    fn failed(&mut self, trouble: &Trouble, now: Time, engine: &mut Engine) {
        if !std::mem::replace(&mut self.failing, true) {
            warn!(
                reason = "discovery",
                help = trouble.help(),
                "discovery: {trouble}; the list stays as it is"
            );
        }
        self.stream = None;
        let at = match trouble {
            Trouble::Silent if self.phase == Phase::Calling => self.schedule.record_silence(now),
            Trouble::Silent
            | Trouble::Connect(_)
            | Trouble::Unreachable
            | Trouble::Closed
            | Trouble::Status(_) => self.schedule.record_failure(now),
            // Something was answered, and may have held news.
            Trouble::NotHttp(_)
            | Trouble::Length(_)
            | Trouble::Chunk
            | Trouble::TooLong
            | Trouble::List(_)
            | Trouble::Nobody
            | Trouble::Older(_)
            | Trouble::Odd(_) => self.schedule.record_invalid_answer(now),
        };
        debug!(%trouble, pause = at - now, "a call of discovery failed");
        self.wait(Phase::Resting, at, engine);
    }

    /// Its deadline is over: a pause, a connection that has not come up, or an answer that has not come.
    pub fn due(&mut self, now: Time, engine: &mut Engine) {
        self.deadline = None;
        match self.phase {
            Phase::Resting => self.call(now, engine),
            Phase::Connecting | Phase::Calling => self.failed(&Trouble::Silent, now, engine),
        }
    }

    /// Why a list that can be read is not to be followed, if it is not. Danger: an agent that has lost what it knew would
    /// close every db node with one answer.
    fn doubt(&mut self, listing: &Listing) -> Option<Trouble> {
        if listing.is_complete && listing.entries.is_empty() && self.named {
            return Some(Trouble::Nobody);
        }
        if !listing.is_complete && self.index.is_some_and(|known| listing.index < known) {
            self.index = None;
            return Some(Trouble::Older(listing.index));
        }
        // A spoilt answer differs the next time; a word that comes again is one that this version does not know.
        let odd = listing
            .unknown_status
            .clone()
            .filter(|odd| self.odd.as_ref() != Some(odd))?;
        self.index = None;
        self.odd = Some(odd.clone());
        Some(Trouble::Odd(odd))
    }

    fn follow(&mut self, listing: &Listing, now: Time, engine: &mut Engine) {
        if std::mem::take(&mut self.failing) {
            info!("discovery answers again");
            // It was doubted just now, so this is told once, and not with every list that has it.
            listing
                .unknown_status
                .iter()
                .for_each(|odd| warn!("discovery: {odd}; its node counts as draining"));
        }
        self.odd.clone_from(&listing.unknown_status);
        debug!(
            index = listing.index,
            entries = listing.entries.len(),
            "list"
        );
        let news = self.index != Some(listing.index);
        self.named |= !listing.entries.is_empty();
        self.index = Some(listing.index);
        match self.schedule.record_answer(now, news) {
            at if at > now => self.wait(Phase::Resting, at, engine),
            // In the same turn: the watch goes on.
            _ => self.call(now, engine),
        }
    }

    /// The poller has something to say of the connection. Returns the answer that has come.
    pub fn event(&mut self, now: Time, engine: &mut Engine) -> Option<Listing> {
        let stream = self.stream.as_mut()?;
        if self.phase == Phase::Connecting {
            match stream.is_connected() {
                true => self.request(now, engine),
                false => self.failed(&Trouble::Unreachable, now, engine),
            }
            return None;
        }
        // What was said before a connection broke is read all the same; that it broke is asked once only, since asking
        // takes it away and the next read would find an end.
        let broke = stream.flush().is_err();
        stream.set_read_interest(true);
        let peer = match stream.fill() {
            PeerState::Closed if broke => PeerState::Reset,
            peer => peer,
        };
        let length = stream.unread().len();
        if self.phase == Phase::Resting {
            if peer != PeerState::Open || length > 0 {
                self.stream = None;
            }
            return None;
        }
        // A reset is no end: what has no length is whole only where the other side ended it.
        let (body, end) = match answer(stream.unread(), peer == PeerState::Closed) {
            Ok(Some(whole)) => whole,
            Ok(None) => {
                match peer {
                    PeerState::Open if length < LONGEST => {}
                    PeerState::Open | PeerState::OverBudget => {
                        self.failed(&Trouble::TooLong, now, engine)
                    }
                    PeerState::Closed | PeerState::Reset => {
                        self.failed(&Trouble::Closed, now, engine)
                    }
                }
                return None;
            }
            Err(cause) => {
                self.failed(&cause, now, engine);
                return None;
            }
        };
        // Danger: an answer that nobody asked for would be taken for the one to the next call, and each one from then on
        // for the one after it. What it holds is asked for on a new connection.
        if peer != PeerState::Open || end < length {
            self.stream = None;
        } else {
            stream.consume(end);
        }
        let listing = match parse(body).and_then(|value| read_listing(&value, "")) {
            Ok(listing) => listing,
            Err(fault) => {
                // What could not be read may have held news: it is asked for whole.
                self.index = None;
                self.failed(&Trouble::List(fault), now, engine);
                return None;
            }
        };
        if let Some(cause) = self.doubt(&listing) {
            self.failed(&cause, now, engine);
            return None;
        }
        self.follow(&listing, now, engine);
        Some(listing)
    }
}

/// The body of the answer at the front of some bytes and the length of it all, if it is whole.
fn answer(bytes: &[u8], ended: bool) -> Result<Option<(Vec<u8>, usize)>, Trouble> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes).map_err(Trouble::NotHttp)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    if status != 200 {
        return Err(Trouble::Status(status));
    }
    let header = |name: &str| {
        let found = response
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        found
            .and_then(|h| std::str::from_utf8(h.value).ok())
            .map(str::trim)
    };
    if header("transfer-encoding").is_some_and(|how| how.eq_ignore_ascii_case("chunked")) {
        return chunked(bytes, head);
    }
    let end = match header("content-length") {
        Some(told) => {
            let length = told.parse::<usize>().ok().filter(|n| *n <= LONGEST);
            head + length.ok_or_else(|| Trouble::Length(told.into()))?
        }
        None if ended => bytes.len(),
        None => return Ok(None),
    };
    Ok(bytes.get(head..end).map(|body| (body.to_vec(), end)))
}

fn chunked(bytes: &[u8], head: usize) -> Result<Option<(Vec<u8>, usize)>, Trouble> {
    let (mut at, mut body) = (head, Vec::new());
    loop {
        let rest = bytes.get(at..).unwrap_or(&[]);
        let size = httparse::parse_chunk_size(rest).map_err(|_| Trouble::Chunk)?;
        let httparse::Status::Complete((line, size)) = size else {
            return Ok(None);
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|n| *n <= LONGEST)
            .ok_or(Trouble::TooLong)?;
        let Some(chunk) = rest.get(line..line + size) else {
            return Ok(None);
        };
        if rest.len() < line + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(chunk);
        at += line + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}

#[cfg(test)]
mod tests;
