//! The db nodes: a pool of PostgreSQL connections to each, one request at a time on every connection.

use super::reply::{self, Reply};
use crate::chores::{Heard, Look, NodeQuery};
use crate::clock;
use crate::discovery::Listing;
use crate::net::budget::{Budget, Buffer};
use crate::net::stream::{Peer, Stream};
use crate::net::{Source, begin_connect, poll_key};
use crate::statement_labels::{self, Statement, code};
use plovercove::{AttemptEnd, EndpointState, Micros, NodeId, NodeReport, Time};
use plovercove_engine::{AttemptId, Deadline, Engine, Key, Table};
use plovercove_pgwire::Version;
use plovercove_pgwire::login::{self, Credentials, Login, Refused};
use plovercove_pgwire::reply::{Shape, Spoilt};
use plovercove_poller::{Interest, Poll};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{debug, warn};

const REPORT: &str = "SHOW pressure";
/// The most bytes that are read ahead on a connection.
const LONGEST: usize = reply::LONGEST_ROW + 64 * 1024;
/// Why a copy into a table is broken off.
const NO_COPY: &[u8] = b"COPY FROM STDIN is not supported by the router";
/// The connections that ask db nodes to stop what they do, at the most.
const CANCELS: usize = 64;
/// Dropped nodes whose address is kept, at the most: many times a fleet's.
const DROPPED_MOST: usize = 4096;
/// Idle connections are retired after this share of the time at which the node closes them: a request that crosses
/// the node's close ends as a reset.
const RETIRE: (Micros, Micros) = (1, 2);

/// What a connection is wanted for.
enum Job {
    Attempt(AttemptId, Rc<Statement>),
    /// Asked for at that time.
    Probe(Time),
    /// The same for the fleet, by the owner of the group's watch, who looks once more before it leaves.
    Watch(Time, Look),
}

impl Job {
    /// Whether it may begin at this node now, when its first byte is about to leave.
    fn may_begin(&self, node: &NodeId, now: Time, engine: &Engine) -> bool {
        match self {
            Job::Attempt(id, _) => engine.may_send(Some(*id), node, now),
            Job::Probe(_) => engine.may_send(None, node, now),
            // Its router may have lost the watch since it asked for a connection.
            Job::Watch(_, look) => engine.may_send(None, node, now) && look(),
        }
    }
}

enum State {
    Dialing,
    /// Connected; the node has not said that it is ready.
    Greeting(Box<Login>),
    /// It carries nothing but the wish that another connection's work be stopped.
    Cancelling(Vec<u8>),
    Idle,
    Busy(Job, Reply, /* written whole: */ bool),
}

struct Backend {
    stream: Stream,
    node: NodeId,
    /// Where the node was when it was dialled.
    address: SocketAddr,
    state: State,
    expires: Option<Time>,
    idle_since: Time,
    /// What a wish to stop its work must show.
    key: Option<(u32, Vec<u8>)>,
}

/// Who the router is to its db nodes, and whether it asks them to stop what nobody waits for.
#[derive(Clone, Debug)]
pub struct ConnectOptions {
    /// The login.
    pub credentials: Credentials,
    /// Whether they are asked to stop.
    pub cancels: bool,
}

impl ConnectOptions {
    /// The platform's: one user, who is welcome without a password, and no cancels.
    pub fn platform() -> Self {
        let credentials = Credentials {
            user: "worker".into(),
            database: "catalog".into(),
            password: None,
            clear: false,
            version: Version::V30,
            welcome: true,
        };
        ConnectOptions {
            credentials,
            cancels: false,
        }
    }
}

#[derive(Default)]
struct Node {
    address: Option<SocketAddr>,
    idle: Vec<Key>,
    /// Jobs without a connection, and connections under way.
    waiting: VecDeque<Job>,
    coming: usize,
    /// No list names it any more.
    gone: bool,
}

/// A reply that is a request's final answer.
pub struct Served {
    /// The client.
    pub origin: Key,
    /// The request.
    pub request: Key,
    /// What to pass on.
    pub reply: Buffer,
}

/// The pools of all db nodes.
pub struct Upstream {
    poll: Poll,
    budget: Budget,
    nodes: BTreeMap<NodeId, Node>,
    backends: Table<Backend>,
    /// Where the attempts that have a connection run.
    running: HashMap<AttemptId, Key>,
    most: usize,
    dial_timeout: Micros,
    idle_for: Micros,
    options: ConnectOptions,
    cancelling: usize,
    served: Vec<Served>,
    heard: Vec<Heard>,
}

impl Upstream {
    /// Pools without connections, for so many at the most.
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        options: ConnectOptions,
        most: usize,
        dial_timeout: Micros,
        node_closes_after: Micros,
    ) -> Self {
        Upstream {
            poll: poll.clone(),
            budget: budget.clone(),
            nodes: BTreeMap::new(),
            backends: Table::new(),
            running: HashMap::new(),
            most,
            dial_timeout,
            idle_for: node_closes_after * RETIRE.0 / RETIRE.1,
            options,
            cancelling: 0,
            served: Vec::new(),
            heard: Vec::new(),
        }
    }

    /// From now on it logs in so.
    pub fn change(&mut self, options: ConnectOptions) {
        self.options = options;
    }

    /// The final answers that have come since the last call.
    pub fn take_served(&mut self) -> Vec<Served> {
        std::mem::take(&mut self.served)
    }

    /// What became of the fleet's questions since the last call.
    pub fn take_heard(&mut self) -> Vec<Heard> {
        std::mem::take(&mut self.heard)
    }

    /// Discovery has told a list, which the core knows by now.
    pub fn list(&mut self, listing: &Listing, now: Time, engine: &mut Engine) {
        if listing.whole {
            self.keep_only(
                &listing
                    .entries
                    .iter()
                    .map(|(entry, _)| &entry.node)
                    .collect(),
                engine,
            );
        }
        for (entry, address) in &listing.entries {
            if let Some(address) = address {
                self.locate(&entry.node, *address, engine);
                self.redial(&entry.node, now, engine);
            }
            if entry.state != EndpointState::Serving {
                self.retire(&entry.node, entry.state == EndpointState::Removed, engine);
            }
        }
        self.release_addresses(now, engine);
        self.release_waiting(now, engine);
        self.forget_gone(now, engine);
    }

    /// Ends what waits or is under way at nodes where nothing may begin any more. Danger: it would wait for a connection
    /// that must carry nothing, and its time be gone before another node is tried.
    fn release_waiting(&mut self, now: Time, engine: &mut Engine) {
        let busy = |node: &Node| node.coming > 0 || !node.waiting.is_empty();
        let shut = |(id, node): &(&NodeId, &Node)| busy(node) && !engine.may_send(None, id, now);
        let shut: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(shut)
            .map(|(id, _)| id.clone())
            .collect();
        for id in shut {
            self.disconnect(&id, engine);
            let waiting = self
                .nodes
                .get_mut(&id)
                .map(|node| std::mem::take(&mut node.waiting));
            for job in waiting.unwrap_or_default() {
                self.fail(job, &id, AttemptEnd::NeverSent, now, engine);
            }
        }
    }

    /// An address is no longer that of a node that no list names, where it belongs to another by now. Danger: where dropped
    /// nodes stay open, what is meant for the one would go to the other.
    fn release_addresses(&mut self, now: Time, engine: &mut Engine) {
        let named: BTreeSet<SocketAddr> = self
            .nodes
            .values()
            .filter(|node| !node.gone)
            .filter_map(|node| node.address)
            .collect();
        let lost = |node: &Node| node.gone && node.address.is_some_and(|at| named.contains(&at));
        let lost: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, node)| lost(node))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.nodes
                .entry(id.clone())
                .and_modify(|node| node.address = None);
            self.disconnect(&id, engine);
            self.redial(&id, now, engine);
        }
    }

    /// Discovery says where a node is now; connections to where it was are no good. Danger: what is there now may be
    /// another node. Those at work are closed after it; those under way end, and what waits for them is `redial`'s.
    pub fn locate(&mut self, node: &NodeId, address: SocketAddr, engine: &mut Engine) {
        let known = self.nodes.entry(node.clone()).or_default();
        known.gone = false;
        if known
            .address
            .replace(address)
            .is_some_and(|old| old != address)
        {
            self.disconnect(node, engine);
        }
    }

    /// Ends what is idle or under way at a node, which is not where it was.
    fn disconnect(&mut self, node: &NodeId, engine: &mut Engine) {
        self.close_idle(node, engine);
        let coming =
            |b: &Backend| b.node == *node && matches!(b.state, State::Dialing | State::Greeting(_));
        let coming: Vec<Key> = self
            .backends
            .iter()
            .filter(|(_, b)| coming(b))
            .map(|(key, _)| key)
            .collect();
        for key in coming {
            self.drop_backend(key, engine);
        }
    }

    /// Dials for what waits at a node and has no connection under way any more.
    fn redial(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        while self
            .nodes
            .get(node)
            .is_some_and(|n| n.waiting.len() > n.coming)
        {
            if self.dial(node, now, engine).is_err() {
                self.dial_failed(node, AttemptEnd::Unreachable, now, engine);
            }
        }
    }

    /// Whether a connection leads to where its node is now.
    fn in_place(&self, backend: &Backend) -> bool {
        self.nodes
            .get(&backend.node)
            .is_some_and(|node| node.address == Some(backend.address))
    }

    /// A node is to get nothing new; one that is gone is forgotten in time.
    fn retire(&mut self, node: &NodeId, gone: bool, engine: &mut Engine) {
        self.close_idle(node, engine);
        if let Some(node) = self.nodes.get_mut(node) {
            node.gone = gone;
        }
    }

    /// A whole list has come: a node that it does not name is gone.
    fn keep_only(&mut self, named: &BTreeSet<&NodeId>, engine: &mut Engine) {
        let absent: Vec<NodeId> = self
            .nodes
            .keys()
            .filter(|id| !named.contains(id))
            .cloned()
            .collect();
        for node in absent {
            self.retire(&node, true, engine);
        }
    }

    /// Loses the nodes that are gone, once nothing is out there and nothing may begin there. Danger: over days of
    /// replacements the table would grow without end.
    fn forget_gone(&mut self, now: Time, engine: &Engine) {
        let used: BTreeSet<&NodeId> = self.backends.iter().map(|(_, b)| &b.node).collect();
        let mut kept = 0;
        self.nodes.retain(|id, node| {
            let out = !node.gone || !node.waiting.is_empty() || used.contains(id);
            let open = !out && node.address.is_some() && engine.may_send(None, id, now);
            kept += usize::from(open);
            out || (open && kept <= DROPPED_MOST)
        });
    }

    /// Closes the idle connections to a node.
    pub fn close_idle(&mut self, node: &NodeId, engine: &mut Engine) {
        let idle = self
            .nodes
            .get_mut(node)
            .map(|n| std::mem::take(&mut n.idle))
            .unwrap_or_default();
        for key in idle {
            self.drop_backend(key, engine);
        }
    }

    /// The one place where a connection to a db node is given back. Returns the job that it held.
    fn drop_backend(&mut self, key: Key, engine: &mut Engine) -> Option<Job> {
        let mut backend = self.backends.remove(key)?;
        engine
            .deadlines
            .set(&mut backend.expires, Deadline::Backend(key), None);
        if let State::Cancelling(_) = backend.state {
            self.cancelling -= 1;
            return None;
        }
        let node = self.nodes.get_mut(&backend.node)?;
        match backend.state {
            State::Cancelling(_) => {}
            State::Dialing | State::Greeting(_) => node.coming -= 1,
            State::Idle => node.idle.retain(|k| *k != key),
            State::Busy(job, ..) => {
                if let Job::Attempt(id, _) = &job {
                    self.running.remove(id);
                }
                return Some(job);
            }
        }
        None
    }

    /// Starts an attempt.
    pub fn send(
        &mut self,
        id: AttemptId,
        statement: Rc<Statement>,
        node: &NodeId,
        now: Time,
        engine: &mut Engine,
    ) {
        self.start(Job::Attempt(id, statement), node, now, engine);
    }

    /// Asks a node for its report.
    pub fn probe(&mut self, node: &NodeId, now: Time, engine: &mut Engine) {
        self.start(Job::Probe(now), node, now, engine);
    }

    /// Asks a node for its report, for the fleet.
    pub fn watch(&mut self, ask: NodeQuery, now: Time, engine: &mut Engine) {
        self.start(Job::Watch(now, ask.look), &ask.node, now, engine);
    }

    fn start(&mut self, job: Job, id: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(key) = self.nodes.get_mut(id).and_then(|n| n.idle.pop()) {
            if self.backends.get(key).is_some_and(|b| b.stream.quiet()) {
                if let Err(job) = self.occupy(key, job, now, engine) {
                    self.nodes
                        .get_mut(id)
                        .expect("looked up above")
                        .idle
                        .push(key);
                    self.fail(job, id, AttemptEnd::NeverSent, now, engine);
                }
                return;
            }
            self.drop_backend(key, engine);
        }
        // Danger: what ends unsent is held against nobody, and a node whose address nobody told would be chosen again.
        let Some(node) = self.nodes.get_mut(id) else {
            return self.fail(job, id, AttemptEnd::Unreachable, now, engine);
        };
        node.waiting.push_back(job);
        if node.waiting.len() > node.coming && self.dial(id, now, engine).is_err() {
            self.dial_failed(id, AttemptEnd::Unreachable, now, engine);
        }
    }

    /// Opens one more connection to a node, where there is room for it or an idle one elsewhere gives way.
    fn dial(&mut self, id: &NodeId, now: Time, engine: &mut Engine) -> io::Result<()> {
        self.connect(id, State::Dialing, now, engine)?;
        self.nodes.get_mut(id).ok_or(ErrorKind::NotFound)?.coming += 1;
        Ok(())
    }

    fn connect(
        &mut self,
        id: &NodeId,
        state: State,
        now: Time,
        engine: &mut Engine,
    ) -> io::Result<()> {
        if self.backends.len() >= self.most {
            let idle = self
                .backends
                .iter()
                .filter(|(_, b)| matches!(b.state, State::Idle));
            match idle.min_by_key(|(_, b)| b.idle_since).map(|(key, _)| key) {
                Some(key) => drop(self.drop_backend(key, engine)),
                None => return Err(ErrorKind::QuotaExceeded.into()),
            }
        }
        let address = self
            .nodes
            .get(id)
            .and_then(|node| node.address)
            .ok_or(ErrorKind::NotFound)?;
        let socket = begin_connect(address)?;
        let (poll, budget) = (&self.poll, &self.budget);
        let key = self.backends.insert_with(|key| {
            let at = poll_key(Source::Backend, Some(key));
            let stream = Stream::new(poll, budget, socket, at, Interest::Write, LONGEST)?;
            let node = id.clone();
            Ok::<_, io::Error>(Backend {
                stream,
                node,
                address,
                state,
                expires: None,
                idle_since: now,
                key: None,
            })
        })?;
        let backend = self.backends.get_mut(key).expect("just made");
        engine.deadlines.set(
            &mut backend.expires,
            Deadline::Backend(key),
            Some(now + self.dial_timeout),
        );
        Ok(())
    }

    /// A connection did not come up: the job that waited longest fails, where no other connection is coming for it.
    fn dial_failed(&mut self, id: &NodeId, ending: AttemptEnd, now: Time, engine: &mut Engine) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        if node.waiting.len() > node.coming
            && let Some(job) = node.waiting.pop_front()
        {
            self.fail(job, id, ending, now, engine);
        }
    }

    fn fail(
        &mut self,
        job: Job,
        node: &NodeId,
        ending: AttemptEnd,
        now: Time,
        engine: &mut Engine,
    ) {
        match job {
            Job::Attempt(id, _) => {
                engine.attempt_ended(
                    now,
                    id,
                    ending,
                    NodeReport::default(),
                    NodeReport::default(),
                );
            }
            Job::Probe(_) => engine.health_check_ended(node.clone(), None),
            Job::Watch(..) => self.heard.push(Heard {
                node: node.clone(),
                answer: None,
            }),
        }
    }

    /// Puts a job on a connection that is ready; gives it back where it may not begin.
    fn occupy(&mut self, key: Key, job: Job, now: Time, engine: &mut Engine) -> Result<(), Job> {
        let Some(backend) = self.backends.get_mut(key) else {
            return Err(job);
        };
        if !job.may_begin(&backend.node, now, engine) {
            return Err(job);
        }
        let mut shape = Shape::OneValue;
        let expires = match &job {
            Job::Attempt(id, statement) => {
                shape = statement.shape;
                self.running.insert(*id, key);
                let patience = clock::to_ms(engine.attempt_time_left(*id, now)).max(1);
                backend.stream.put(|out| statement.put(out, patience));
                None
            }
            Job::Probe(_) | Job::Watch(..) => {
                // So short a question leaves at once on a connection that is free.
                backend
                    .stream
                    .put(|out| statement_labels::put_query(out, REPORT));
                Some(now + self.dial_timeout)
            }
        };
        engine
            .deadlines
            .set(&mut backend.expires, Deadline::Backend(key), expires);
        backend.state = State::Busy(job, Reply::new(&self.budget, shape), false);
        self.write(key, now, engine);
        Ok(())
    }

    fn write(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        // The system may have held all of it back until now: then it begins now.
        if let State::Busy(job, _, false) = &backend.state
            && backend.stream.untouched()
            && !job.may_begin(&backend.node, now, engine)
        {
            let node = backend.node.clone();
            if let Some(job) = self.drop_backend(key, engine) {
                self.fail(job, &node, AttemptEnd::NeverSent, now, engine);
            }
            return;
        }
        match backend.stream.flush() {
            Ok(done) => {
                if let State::Busy(job, _, written) = &mut backend.state
                    && done
                    && !std::mem::replace(written, true)
                    && let Job::Attempt(id, _) = job
                {
                    engine.attempt_written(*id);
                }
                backend.stream.wait_for(true);
            }
            Err(_) => self.broken(key, now, engine),
        }
    }

    /// A connection ended from the other side, or was waited for long enough.
    fn broken(&mut self, key: Key, now: Time, engine: &mut Engine) {
        // Unless the db node said what became of the request before it closed, nobody knows.
        let told = |reply: &Reply| {
            if reply.tells() {
                Ok(())
            } else {
                Err(AttemptEnd::Reset)
            }
        };
        self.over(key, told, now, engine);
    }

    /// What came on a connection is not to be followed. The db node is there and answers, so it is not at fault as one
    /// that breaks connections is; the request may have run, and whatever came with the answer tells nothing.
    fn spoilt(&mut self, key: Key, now: Time, engine: &mut Engine) {
        if let Some(backend) = self.backends.get(key) {
            let head = &backend.stream.unread()[..backend.stream.unread().len().min(48)];
            warn!(node = %backend.node, head = %head.escape_ascii(), "a message that cannot be followed");
        }
        self.over(key, |_| Err(AttemptEnd::Failure), now, engine);
    }

    /// Ends a connection, and what was under way on it by what its reply tells.
    fn over(
        &mut self,
        key: Key,
        told: impl FnOnce(&Reply) -> Result<(), AttemptEnd>,
        now: Time,
        engine: &mut Engine,
    ) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let node = backend.node.clone();
        let coming = matches!(backend.state, State::Dialing | State::Greeting(_));
        let reply = match &mut backend.state {
            State::Busy(_, reply, written) => Some((
                std::mem::replace(reply, Reply::new(&self.budget, Shape::OneValue)),
                *written,
            )),
            _ => None,
        };
        let job = self.drop_backend(key, engine);
        if coming {
            self.dial_failed(&node, AttemptEnd::Unreachable, now, engine);
        } else if let (Some(job), Some((reply, written))) = (job, reply) {
            // Until its last byte is written a request never ran; after that it may have.
            match told(&reply) {
                _ if !written => self.fail(job, &node, AttemptEnd::Unreachable, now, engine),
                Ok(()) => self.finish(job, reply, &node, now, engine),
                Err(ending) => self.fail(job, &node, ending, now, engine),
            }
        }
    }

    /// Reports what came of a job.
    fn finish(&mut self, job: Job, reply: Reply, node: &NodeId, now: Time, engine: &mut Engine) {
        let ending = reply.ending();
        match job {
            Job::Attempt(attempt, _) => {
                self.running.remove(&attempt);
                let origin = engine.attempt_ended(now, attempt, ending, reply.note, reply.report);
                if let Some(origin) = origin {
                    self.served.push(Served {
                        origin,
                        request: attempt.request,
                        reply: reply.body,
                    });
                }
            }
            Job::Probe(asked) => {
                debug!(%node, took = now.saturating_sub(asked), ?reply.report, "probed");
                engine.health_check_ended(
                    node.clone(),
                    (ending == AttemptEnd::Success).then_some(reply.report),
                );
            }
            Job::Watch(asked, _) => {
                let answer = (ending == AttemptEnd::Success).then_some((asked, reply.report));
                if let Some((_, report)) = answer {
                    engine.health_check_ended(node.clone(), Some(report));
                }
                self.heard.push(Heard {
                    node: node.clone(),
                    answer,
                });
            }
        }
    }

    /// The poller has something to say of a connection.
    pub fn event(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        if matches!(backend.state, State::Dialing | State::Cancelling(_)) {
            if !backend.stream.connected() {
                return self.broken(key, now, engine);
            }
            match &mut backend.state {
                State::Cancelling(packet) => backend.stream.put(|out| out.append(packet)),
                state => {
                    let login = backend
                        .stream
                        .put(|out| Login::start(&self.options.credentials, out));
                    *state = State::Greeting(Box::new(login));
                }
            }
        }
        if backend.stream.unsent() > 0 {
            self.write(key, now, engine);
        }
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        let peer = backend.stream.fill();
        // Danger: bytes on a connection that nothing waits for belong to no request, and the next one would get them.
        if matches!(backend.state, State::Idle)
            && (peer != Peer::Open || !backend.stream.unread().is_empty())
        {
            debug!(node = %backend.node, "an idle connection ends");
            return drop(self.drop_backend(key, engine));
        }
        // What came before the end still counts.
        while self.read(key, now, engine) {}
        match peer {
            Peer::Open => {}
            Peer::Gone | Peer::Reset => self.broken(key, now, engine),
            Peer::TooMuch => self.spoilt(key, now, engine),
        }
    }

    /// Takes one message in; false where none is whole.
    fn read(&mut self, key: Key, now: Time, engine: &mut Engine) -> bool {
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        let Some(kind) = backend.stream.unread().first().copied() else {
            return false;
        };
        let message = match reply::longest(kind)
            .map(|most| statement_labels::message(backend.stream.unread(), most))
        {
            Some(Ok(Some(message))) => message,
            Some(Ok(None)) => return false,
            Some(Err(statement_labels::Malformed)) | None => {
                self.spoilt(key, now, engine);
                return false;
            }
        };
        let length = message.raw.len();
        let mut refused = None;
        // What is to be said at once, and whether the connection can be used again.
        let (mut answer, mut again) = (Vec::new(), true);
        let taken = match (&mut backend.state, kind) {
            (State::Busy(_, reply, _), b'Z') => reply.ready(message.body).map(|clean| {
                again = clean;
                true
            }),
            (State::Busy(job, reply, _), _) => reply
                .take(&message, !matches!(job, Job::Attempt(..)))
                .map(|waits_for_data| {
                    if waits_for_data {
                        statement_labels::put(&mut answer, b'f', |out| {
                            statement_labels::put_text(out, NO_COPY)
                        });
                    }
                    false
                }),
            (State::Greeting(login), _) => {
                match login.take(&self.options.credentials, &message, &mut answer) {
                    Ok(ready) => {
                        if ready {
                            backend.key = login.key().cloned();
                        }
                        Ok(ready)
                    }
                    Err(Refused::Malformed) => Err(Spoilt),
                    Err(why) => {
                        let full =
                            matches!(&why, Refused::Server(said) if said == code::TURNED_AWAY);
                        if !full {
                            warn!(node = %backend.node, reason = "login", help = why.help(), "{why}");
                        }
                        refused = Some(full);
                        Ok(false)
                    }
                }
            }
            _ => Err(Spoilt),
        };
        let Ok(ready) = taken else {
            self.spoilt(key, now, engine);
            return false;
        };
        backend.stream.take(length);
        if let Some(full) = refused {
            let node = backend.node.clone();
            self.drop_backend(key, engine);
            let ending = if full {
                AttemptEnd::Overloaded
            } else {
                AttemptEnd::Unreachable
            };
            self.dial_failed(&node, ending, now, engine);
            return false;
        }
        if !answer.is_empty() {
            backend.stream.put(|out| out.append(&mut answer));
            self.write(key, now, engine);
        }
        if ready {
            self.ready(key, again, now, engine);
        }
        true
    }

    /// A connection is ready: it has come up, or its reply is whole.
    fn ready(&mut self, key: Key, again: bool, now: Time, engine: &mut Engine) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        // Danger: what answers before the request has left whole answers something else, a copy of the last answer say.
        if matches!(backend.state, State::Busy(_, _, false)) {
            return self.spoilt(key, now, engine);
        }
        let id = backend.node.clone();
        match std::mem::replace(&mut backend.state, State::Idle) {
            State::Greeting(_) => {
                let node = self
                    .nodes
                    .get_mut(&id)
                    .expect("a node of a connection is kept");
                node.coming -= 1;
            }
            State::Busy(job, reply, _) => {
                // It says more than belongs to its answer: the next request would be given what is no answer to it.
                let unfit = !again || !backend.stream.unread().is_empty();
                let unfit = unfit || !self.backends.get(key).is_some_and(|b| self.in_place(b));
                self.finish(job, reply, &id, now, engine);
                if unfit {
                    debug!(node = %id, "a connection that says too much ends");
                    self.drop_backend(key, engine);
                    return;
                }
            }
            State::Dialing | State::Cancelling(_) | State::Idle => {}
        }
        self.next_job(key, &id, now, engine);
    }

    /// Gives a connection that is free to the next job, or keeps it.
    fn next_job(&mut self, key: Key, id: &NodeId, now: Time, engine: &mut Engine) {
        while let Some(job) = self.nodes.get_mut(id).and_then(|n| n.waiting.pop_front()) {
            // Danger: a db node may close after an answer, and what is written to it then ends as a reset.
            if !self.backends.get(key).is_some_and(|b| b.stream.quiet()) {
                self.nodes
                    .get_mut(id)
                    .expect("looked up above")
                    .waiting
                    .push_front(job);
                self.drop_backend(key, engine);
                return self.dial_failed(id, AttemptEnd::Unreachable, now, engine);
            }
            match self.occupy(key, job, now, engine) {
                Ok(()) => return,
                Err(job) => self.fail(job, id, AttemptEnd::NeverSent, now, engine),
            }
        }
        let (Some(node), Some(backend)) = (self.nodes.get_mut(id), self.backends.get_mut(key))
        else {
            return;
        };
        node.idle.push(key);
        backend.idle_since = now;
        engine.deadlines.set(
            &mut backend.expires,
            Deadline::Backend(key),
            Some(now + self.idle_for),
        );
    }

    /// Stops an attempt; its connection is closed, so that late bytes reach no other request.
    pub fn give_up(&mut self, id: AttemptId, node: &NodeId, now: Time, engine: &mut Engine) {
        if let Some(&key) = self.running.get(&id) {
            let wish = self
                .backends
                .get(key)
                .filter(|b| matches!(b.state, State::Busy(_, _, true)));
            // Danger: at another address it would name a stranger's work.
            let wish = wish
                .filter(|b| self.in_place(b))
                .and_then(|b| b.key.clone())
                .filter(|_| self.options.cancels);
            self.drop_backend(key, engine);
            if let Some(key) = wish.filter(|_| self.cancelling < CANCELS) {
                let mut packet = Vec::new();
                login::put_cancel(&mut packet, &key);
                // Where it cannot be asked, the db node finishes what it does for nobody.
                self.cancelling += usize::from(
                    self.connect(node, State::Cancelling(packet), now, engine)
                        .is_ok(),
                );
            }
        } else if let Some(node) = self.nodes.get_mut(node) {
            node.waiting
                .retain(|job| !matches!(job, Job::Attempt(a, _) if *a == id));
        }
    }

    /// A connection has been dialled, probed or idle for long enough.
    pub fn expired(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(backend) = self.backends.get_mut(key) else {
            return;
        };
        backend.expires = None;
        self.broken(key, now, engine);
    }
}

#[cfg(test)]
mod tests;
