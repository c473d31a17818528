//! Discovery: watches the list of db nodes over HTTP at the agent on this machine.
//!
//! The agent keeps a watch alive if each call follows the last answer within 200 ms, so the next call is sent in the turn in
//! which an answer was read. `WatchSchedule` decides the time of all other calls. If the agent is silent or rejects calls,
//! the list stays as it is.

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

/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// The known statuses of an entry.
const STATES: [(&str, EndpointState); 3] = [
    ("active", EndpointState::Serving),
    ("leaving", EndpointState::Draining),
    ("left", EndpointState::Removed),
];

/// An endpoint list, or the changes to one.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The version of the list.
    pub index: u64,
    /// Whether this is the complete list, as opposed to changes.
    pub is_complete: bool,
    /// The entries, with the addresses of the nodes.
    pub entries: Vec<(Endpoint, Option<SocketAddr>)>,
    /// The fault of an unknown status, if there is one. Its entry counts as draining.
    pub unknown_status: Option<String>,
}

/// Reads a list. Faults name the keys, prefixed with `path`.
pub fn read_listing(value: &Value, path: &str) -> ReadResult<Listing> {
    let top = Section::new(value, path);
    let (mut entries, mut unknown_status) = (Vec::new(), None);
    for (index, value) in top.required("endpoints", list)?.iter().enumerate() {
        let section = Section::new(value, format!("{path}endpoints[{index}]."));
        section.required("status", text)?;
        let state = section.one_of("status", &STATES).unwrap_or_else(|fault| {
            unknown_status = Some(fault.to_string());
            EndpointState::Draining
        });
        entries.push(read_entry(&section, state)?);
    }
    Ok(Listing {
        index: top.required("index", unsigned)?,
        is_complete: top.required("snapshot", boolean)?,
        entries,
        unknown_status,
    })
}

fn read_entry(
    section: &Section<'_>,
    state: EndpointState,
) -> ReadResult<(Endpoint, Option<SocketAddr>)> {
    let address = section.optional("address", |value, key| {
        let address_text = text(value, key)?;
        address_text.parse().map_err(|_| {
            Fault::new(format!(
                "{key}: expected an address and port, got {address_text:?}"
            ))
        })
    });
    let address = if state == EndpointState::Removed {
        address.unwrap_or(None)
    } else {
        address?
    };
    let started_at = section
        .optional("since_ms", unsigned)?
        .filter(|ms| *ms > 0)
        .map(clock::from_ms);
    let entry = Endpoint {
        node: section.required("name", text)?.into(),
        zone: section.optional("zone", text)?.unwrap_or("").to_string(),
        machine_kind: section.optional("type", text)?.unwrap_or("").to_string(),
        listed_as_primary: section.optional("replication", text)? == Some("primary"),
        group: section.optional("group", unsigned)?.unwrap_or(0),
        state,
        weight: section.optional("weight", number)?.unwrap_or(1.0),
        started_at,
    };
    Ok((entry, address))
}

/// The cause of a failed call of discovery.
#[derive(Debug, thiserror::Error)]
pub enum CallFault {
    /// A connection attempt could not be started.
    #[error("no connection to the agent can be begun: {0}")]
    Connect(#[source] io::Error),
    /// The connection was refused, or it broke.
    #[error("the agent refuses the connection")]
    Unreachable,
    /// The connection or the answer timed out.
    #[error("no answer")]
    Silent,
    /// The agent closed the connection before its answer was complete.
    #[error("the agent closed the connection")]
    Closed,
    /// The agent answered with a status other than 200.
    #[error("the agent answered with status {0}")]
    Status(u16),
    /// The answer is not HTTP.
    #[error("not HTTP: {0}")]
    NotHttp(#[source] httparse::Error),
    /// The content length is malformed or too large.
    #[error("the agent tells a length of {0:?}")]
    Length(String),
    /// A chunk has no valid size.
    #[error("a chunk without a size")]
    Chunk,
    /// A chunk is too large.
    #[error("a chunk that is too long")]
    TooLong,
    /// The answer is not a list.
    #[error("{0}")]
    List(Fault),
    /// The complete list is empty, although an earlier list named nodes.
    #[error("the list names nobody")]
    Nobody,
    /// The changes belong to an older version than the current list.
    #[error("changes of version {0}, which is older than the list's")]
    Older(u64),
    /// An entry has an unknown status.
    #[error("{0}")]
    Odd(String),
}

impl CallFault {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            CallFault::Connect(_) => {
                "check the address of discovery, and the router's limit on descriptors"
            }
            CallFault::Unreachable | CallFault::Closed => {
                "see whether the agent runs on this machine and listens at the address of discovery; the router asks again by itself"
            }
            CallFault::Silent => {
                "see whether discovery is up and how many calls wait there; the router begins the watch anew by itself"
            }
            CallFault::Status(_) => {
                "look at discovery's own log: 503 means more calls than it answers; the router asks less often by itself"
            }
            CallFault::NotHttp(_)
            | CallFault::Length(_)
            | CallFault::Chunk
            | CallFault::TooLong => {
                "something else listens at the address of discovery, or a proxy in between spoils answers: correct the address"
            }
            CallFault::List(_) | CallFault::Odd(_) => {
                "the agent and the router are of different versions, or an entry was made by hand: correct the key that is named"
            }
            CallFault::Nobody | CallFault::Older(_) => {
                "discovery has lost what it knew, or an old copy answers: the router keeps its list until a newer one comes"
            }
        }
    }
}

/// The phase of the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The next call is sent at the deadline.
    Pausing,
    /// A connection attempt for the next call is in progress.
    Connecting,
    /// A call is sent and not answered yet.
    Calling,
}

/// The watch of the endpoint list at the agent.
pub struct Discovery {
    poll: Poll,
    agent: SocketAddr,
    stream: Option<Stream>,
    phase: Phase,
    /// The version after which the next call requests changes. If `None`, it requests the complete list.
    index: Option<u64>,
    deadline: Option<Time>,
    is_failing: bool,
    /// Whether any list so far has named a node.
    has_listed_nodes: bool,
    /// The fault of an unknown status in the last list.
    last_unknown_status: Option<String>,
    schedule: WatchSchedule,
}

impl Discovery {
    /// Creates a watch that has not started. `index` is the version of a remembered list, if there is one.
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
            phase: Phase::Pausing,
            index,
            deadline: None,
            is_failing: false,
            has_listed_nodes: index.is_some(),
            last_unknown_status: None,
            schedule,
        }
    }

    /// Sends the first call.
    pub fn start(&mut self, now: Time, engine: &mut Engine) {
        self.call(now, engine);
    }

    /// Continues at the agent that a reloaded configuration names. The agent is called soon even if its address is unchanged,
    /// because a pause or an unanswered call would otherwise delay the next list. The current list stays until a new agent
    /// has sent its complete list, since that agent may count versions differently.
    pub fn change_agent(&mut self, agent: SocketAddr, now: Time, engine: &mut Engine) {
        if agent != self.agent {
            (self.agent, self.index, self.is_failing) = (agent, None, false);
        }
        self.stream = None;
        match self.schedule.record_service_change(now) {
            at if at > now => self.enter_phase(Phase::Pausing, at, engine),
            _ => self.call(now, engine),
        }
    }

    fn connect(&self) -> io::Result<Stream> {
        let socket = begin_connect(self.agent)?;
        let key = poll_key(EventSource::Discovery, None);
        // The list has its own budget, so that clients cannot use up the memory that it needs.
        Stream::new(
            &self.poll,
            &Budget::new(MAX_ANSWER_BYTES),
            socket,
            key,
            Interest::Write,
            MAX_ANSWER_BYTES,
        )
    }

    /// Enters a phase that lasts until the deadline at the latest.
    fn enter_phase(&mut self, phase: Phase, until: Time, engine: &mut Engine) {
        self.phase = phase;
        engine
            .deadlines
            .set(&mut self.deadline, Deadline::Discovery, Some(until));
    }

    /// Sends the next call, on the open connection or on a new one.
    fn call(&mut self, now: Time, engine: &mut Engine) {
        if self.stream.is_some() {
            return self.request(now, engine);
        }
        let until = self.schedule.begin_connection(now);
        match self.connect() {
            Ok(stream) => {
                self.stream = Some(stream);
                self.enter_phase(Phase::Connecting, until, engine);
            }
            Err(e) => self.call_failed(&CallFault::Connect(e), now, engine),
        }
    }

    /// Sends a call on the established connection.
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
        self.enter_phase(Phase::Calling, until, engine);
        let Some(stream) = &mut self.stream else {
            return;
        };
        stream.queue_output(|out| out.extend_from_slice(request.as_bytes()));
        // The rest is written when the socket becomes writable. A broken connection is reported by the next event.
        let _ = stream.flush();
        stream.set_read_interest(true);
    }

    /// Handles a failed call. The list and its version stay, so that the next call requests only the changes.
    fn call_failed(&mut self, cause: &CallFault, now: Time, engine: &mut Engine) {
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(
                reason = "discovery",
                help = cause.help(),
                "discovery: {cause}; the list stays as it is"
            );
        }
        self.stream = None;
        let at = match cause {
            CallFault::Silent if self.phase == Phase::Calling => self.schedule.record_silence(now),
            CallFault::Silent
            | CallFault::Connect(_)
            | CallFault::Unreachable
            | CallFault::Closed
            | CallFault::Status(_) => self.schedule.record_failure(now),
            // The agent answered, and the answer may have contained changes.
            CallFault::NotHttp(_)
            | CallFault::Length(_)
            | CallFault::Chunk
            | CallFault::TooLong
            | CallFault::List(_)
            | CallFault::Nobody
            | CallFault::Older(_)
            | CallFault::Odd(_) => self.schedule.record_invalid_answer(now),
        };
        debug!(trouble = %cause, pause = at - now, "a call of discovery failed");
        self.enter_phase(Phase::Pausing, at, engine);
    }

    /// Handles the deadline: the end of a pause, or the timeout of a connection attempt or an answer.
    pub fn deadline_expired(&mut self, now: Time, engine: &mut Engine) {
        self.deadline = None;
        match self.phase {
            Phase::Pausing => self.call(now, engine),
            Phase::Connecting | Phase::Calling => self.call_failed(&CallFault::Silent, now, engine),
        }
    }

    /// Returns why a well-formed list must not be applied, if so. An agent that has lost its state could otherwise remove all
    /// db nodes with one answer.
    fn reject_listing(&mut self, listing: &Listing) -> Option<CallFault> {
        if listing.is_complete && listing.entries.is_empty() && self.has_listed_nodes {
            return Some(CallFault::Nobody);
        }
        if !listing.is_complete && self.index.is_some_and(|known| listing.index < known) {
            self.index = None;
            return Some(CallFault::Older(listing.index));
        }
        // The first list with an unknown status is rejected, because the answer may have been corrupted. If the same status
        // comes again, it is one that this version does not know, and the list is applied.
        let status_fault = listing
            .unknown_status
            .clone()
            .filter(|fault| self.last_unknown_status.as_ref() != Some(fault))?;
        self.index = None;
        self.last_unknown_status = Some(status_fault.clone());
        Some(CallFault::Odd(status_fault))
    }

    /// Records an accepted list and schedules the next call.
    fn accept_listing(&mut self, listing: &Listing, now: Time, engine: &mut Engine) {
        if std::mem::take(&mut self.is_failing) {
            info!("discovery answers again");
            // The status was rejected just before, so this line is logged once and not with every list.
            listing
                .unknown_status
                .iter()
                .for_each(|fault| warn!("discovery: {fault}; its node counts as draining"));
        }
        self.last_unknown_status.clone_from(&listing.unknown_status);
        debug!(
            index = listing.index,
            entries = listing.entries.len(),
            "list"
        );
        let has_changes = self.index != Some(listing.index);
        self.has_listed_nodes |= !listing.entries.is_empty();
        self.index = Some(listing.index);
        match self.schedule.record_answer(now, has_changes) {
            at if at > now => self.enter_phase(Phase::Pausing, at, engine),
            // The next call must follow in the same turn for the agent to keep the watch alive.
            _ => self.call(now, engine),
        }
    }

    /// Handles a poller event of the connection. Returns a list that was received.
    pub fn handle_event(&mut self, now: Time, engine: &mut Engine) -> Option<Listing> {
        let stream = self.stream.as_mut()?;
        if self.phase == Phase::Connecting {
            match stream.is_connected() {
                true => self.request(now, engine),
                false => self.call_failed(&CallFault::Unreachable, now, engine),
            }
            return None;
        }
        // Bytes that arrived before the connection broke are read all the same. The write error is kept here, because the
        // system reports a reset only once, and the read after it sees a regular end of the stream.
        let has_broken = stream.flush().is_err();
        stream.set_read_interest(true);
        let peer = match stream.fill() {
            PeerState::Closed if has_broken => PeerState::Reset,
            peer => peer,
        };
        let length = stream.unread().len();
        if self.phase == Phase::Pausing {
            if peer != PeerState::Open || length > 0 {
                self.stream = None;
            }
            return None;
        }
        // An answer without a length is complete only if the agent closed the connection regularly, not after a reset.
        let (body, end) = match parse_answer(stream.unread(), peer == PeerState::Closed) {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                match peer {
                    PeerState::Open if length < MAX_ANSWER_BYTES => {}
                    PeerState::Open | PeerState::OverBudget => {
                        self.call_failed(&CallFault::TooLong, now, engine)
                    }
                    PeerState::Closed | PeerState::Reset => {
                        self.call_failed(&CallFault::Closed, now, engine)
                    }
                }
                return None;
            }
            Err(cause) => {
                self.call_failed(&cause, now, engine);
                return None;
            }
        };
        // Bytes after the answer close the connection. Otherwise an unsolicited answer would count as the answer to the
        // next call, and each later answer as the one to the call after its own. The next call, on a new connection,
        // fetches the changes in those bytes.
        if peer != PeerState::Open || end < length {
            self.stream = None;
        } else {
            stream.consume(end);
        }
        let listing = match parse(body).and_then(|value| read_listing(&value, "")) {
            Ok(listing) => listing,
            Err(fault) => {
                // The malformed answer may have contained changes, so the next call requests the complete list.
                self.index = None;
                self.call_failed(&CallFault::List(fault), now, engine);
                return None;
            }
        };
        if let Some(cause) = self.reject_listing(&listing) {
            self.call_failed(&cause, now, engine);
            return None;
        }
        self.accept_listing(&listing, now, engine);
        Some(listing)
    }
}

/// Parses the HTTP answer at the front of the bytes. Returns its body and its total length, or `None` if it is incomplete.
/// `has_ended` says whether the agent has closed the connection, which ends an answer without a length.
fn parse_answer(bytes: &[u8], has_ended: bool) -> Result<Option<(Vec<u8>, usize)>, CallFault> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut response = httparse::Response::new(&mut headers);
    let head_length = match response.parse(bytes).map_err(CallFault::NotHttp)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let status = response.code.unwrap_or(0);
    if status != 200 {
        return Err(CallFault::Status(status));
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
        return parse_chunked(bytes, head_length);
    }
    let end = match header("content-length") {
        Some(value) => {
            let length = value
                .parse::<usize>()
                .ok()
                .filter(|n| *n <= MAX_ANSWER_BYTES);
            head_length + length.ok_or_else(|| CallFault::Length(value.into()))?
        }
        None if has_ended => bytes.len(),
        None => return Ok(None),
    };
    Ok(bytes.get(head_length..end).map(|body| (body.to_vec(), end)))
}

fn parse_chunked(bytes: &[u8], head_length: usize) -> Result<Option<(Vec<u8>, usize)>, CallFault> {
    let (mut position, mut body) = (head_length, Vec::new());
    loop {
        let rest = bytes.get(position..).unwrap_or(&[]);
        let size = httparse::parse_chunk_size(rest).map_err(|_| CallFault::Chunk)?;
        let httparse::Status::Complete((size_line, size)) = size else {
            return Ok(None);
        };
        let size = usize::try_from(size)
            .ok()
            .filter(|n| *n <= MAX_ANSWER_BYTES)
            .ok_or(CallFault::TooLong)?;
        let Some(chunk) = rest.get(size_line..size_line + size) else {
            return Ok(None);
        };
        if rest.len() < size_line + size + 2 {
            return Ok(None);
        }
        body.extend_from_slice(chunk);
        position += size_line + size + 2;
        if size == 0 {
            return Ok(Some((body, position)));
        }
    }
}

#[cfg(test)]
mod tests;
