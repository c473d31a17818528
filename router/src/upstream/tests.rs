//! Crossings at db nodes, each forced: the pools before nodes on loopback sockets that do nothing by themselves, on a clock
//! that only the test moves. Events are taken in when the test says so, so that what comes between two steps is its choice.

use super::connection::State;
use super::locations::MAX_REMOVED_POOLS;
use super::pool::REPORT_QUERY;
use super::*;
use crate::discovery::Listing;
use crate::net::split_poll_key;
use crate::statement_labels;
use plovercove::{
    Access, Class, DedupScope, Endpoint, EndpointState, EndpointUpdate, Idempotency, RequestInfo,
    Settings,
};
use plovercove_emulator::manual_node::{FullQueueNode, Link, Node};
use plovercove_engine::{Command, Deadline, FinalAnswer};
use plovercove_pgwire::messages;
use plovercove_pgwire::reply::Shape;
use plovercove_poller::Events;
use std::net::SocketAddr;
use std::time::Duration;

/// Ends a test that would hang; no test waits for it.
const HANGS: Duration = Duration::from_secs(40);
const NOW: Time = 1_000_000_000;
const SECOND: Micros = 1_000_000;
/// What a connection to a db node may take.
const DIAL: Micros = 2 * SECOND;
/// After this a db node closes what is idle.
const IDLE: Micros = 60 * SECOND;
/// The classes, by number.
const READ: usize = 0;
const WRITE: usize = 1;
const KEYED: usize = 2;
/// What a client waits for, and the window in which `KEYED` may be repeated.
const PATIENCE: Micros = 5 * SECOND;
const WINDOW: Micros = SECOND;
/// An error that blames the db node; bytes of what it says.
const ERROR: &[u8] = b"E\0\0\0\x17SERROR\0CXX000\0Mno\0\0";

fn class(name: &str, access: Access, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        access,
        latency_objective: SECOND,
        objective_per_cost: 0.0,
        deadline: PATIENCE,
        priority_weight: 1.0,
        late_weight_share: 1.0,
        idempotency: effect,
        dedup_scope: DedupScope::All,
        dedup_window: WINDOW,
        stream: false,
    }
}

fn settings() -> Settings {
    named(["look", "book", "pay"])
}

/// The same, with the classes under these names.
fn named([read, write, keyed]: [&str; 3]) -> Settings {
    let classes = vec![
        class(read, Access::Any, Idempotency::Idempotent),
        class(write, Access::Write, Idempotency::AtMostOnce),
        class(keyed, Access::Write, Idempotency::Deduplicated),
    ];
    Settings {
        classes,
        cancel_allowed: true,
        ..Settings::default()
    }
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Served(String),
    Refused,
    Failed,
}

/// The pools with a core, driven step by step as the loop drives them.
struct Pools {
    poll: Poll,
    engine: Engine,
    upstream: Upstream,
    now: Time,
    statements: BTreeMap<u64, Rc<Statement>>,
    ended: Vec<(Key, RequestOutcome)>,
    /// Nodes that attempts were sent to, in order.
    sent: Vec<NodeId>,
    version: u64,
}

/// An entry of the list: the primary is called `p`.
fn entry(node: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        node: node.into(),
        listed_as_primary: node.starts_with('p'),
        group: 1,
        weight: 1.0,
        state,
        ..Endpoint::default()
    }
}

impl Pools {
    fn new(settings: Settings) -> Self {
        let poll = Poll::new().expect("a poller");
        let upstream = Upstream::new(
            &poll,
            &Budget::new(1 << 26),
            ConnectOptions::platform(),
            16,
            DIAL,
            IDLE,
        );
        Pools {
            engine: Engine::new(settings, 1),
            poll,
            upstream,
            now: NOW,
            statements: BTreeMap::new(),
            ended: Vec::new(),
            sent: Vec::new(),
            version: 0,
        }
    }

    /// Pools that know these nodes, all serving.
    fn before(nodes: &[(&str, &Node)]) -> Self {
        let mut pools = Pools::new(settings());
        let entries = nodes
            .iter()
            .map(|(name, node)| (*name, EndpointState::Serving, Some(at(node))));
        pools.told(true, &entries.collect::<Vec<_>>());
        pools
    }

    /// Discovery tells a list, or changes to one.
    fn told(&mut self, whole: bool, entries: &[(&str, EndpointState, Option<SocketAddr>)]) {
        self.version += 1;
        let entries: Vec<_> = entries
            .iter()
            .map(|(node, state, at)| (entry(node, *state), *at))
            .collect();
        let known = entries.iter().map(|(entry, _)| entry.clone()).collect();
        self.engine.update_endpoints(if whole {
            EndpointUpdate::Full(known)
        } else {
            EndpointUpdate::Changes(known)
        });
        let listing = Listing {
            index: self.version,
            is_complete: whole,
            entries,
            unknown_status: None,
        };
        self.upstream
            .update_endpoints(&listing, self.now, &mut self.engine);
    }

    /// The list says this of a node; nothing that hangs on it has been done yet.
    fn hears(&mut self, node: &str, state: EndpointState) {
        self.engine
            .update_endpoints(EndpointUpdate::Changes(vec![entry(node, state)]));
    }

    /// A client asks, with so much text.
    fn asks(&mut self, id: &str, class: usize, length: usize) -> Key {
        self.asks_within(id, class, length, PATIENCE)
    }

    /// A client asks that waits for so long.
    fn asks_within(&mut self, id: &str, class: usize, length: usize, left: Micros) -> Key {
        let text = format!(
            "/* id={id},c=x,d=5000,cluster=1 */ SELECT '{}'",
            "k".repeat(length)
        );
        let labels = statement_labels::read_labels(&text).expect("well formed");
        let statement = Rc::new(Statement::new(&text, &labels, Shape::OneValue));
        let info = RequestInfo {
            class,
            group: 1,
            time_left: left,
            ..RequestInfo::default()
        };
        let request = self.engine.begin_request(Key::from_number(7), info);
        self.statements.insert(request.number(), statement);
        self.settle();
        request
    }

    /// Carries out what is decided, until nothing more comes of it.
    fn settle(&mut self) {
        for _ in 0..64 {
            for served in self.upstream.take_served() {
                let row = served
                    .reply
                    .windows(6)
                    .position(|at| at == b"\0\x01\0\0\0\x02");
                let value = row
                    .and_then(|at| served.reply.get(at + 6..at + 8))
                    .unwrap_or_default();
                let value = String::from_utf8_lossy(value).into_owned();
                self.ended
                    .push((served.request, RequestOutcome::Served(value)));
            }
            let commands = self.engine.decide(self.now);
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.carry_out(command);
            }
        }
        panic!("it does not settle: {:?}", self.sent);
    }

    fn carry_out(&mut self, command: Command) {
        let (now, engine) = (self.now, &mut self.engine);
        match command {
            Command::Send { attempt, node, .. } => {
                self.sent.push(node.clone());
                let statement = Rc::clone(&self.statements[&attempt.request.number()]);
                self.upstream.send(attempt, statement, &node, now, engine);
            }
            Command::CancelAttempt { attempt, node } => {
                self.upstream.cancel_attempt(attempt, &node, now, engine)
            }
            Command::HealthCheck(node) => self.upstream.check_health(&node, now, engine),
            Command::CloseIdle(node) => self.upstream.close_idle(&node, engine),
            Command::Answer {
                request, answer, ..
            } => {
                let fate = if answer == FinalAnswer::Failed {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Refused
                };
                self.ended.push((request, fate));
            }
        }
    }

    /// Waits until something has come, and does nothing about it yet.
    fn comes(&self) -> Vec<Key> {
        let mut events = Events::new();
        self.poll.wait(&mut events, Some(HANGS)).expect("it waits");
        let keys: Vec<Key> = events
            .iter()
            .map(|event| split_poll_key(event.key).1)
            .collect();
        assert!(
            !keys.is_empty(),
            "nothing comes: {:?} sent, {:?}",
            self.sent,
            self.ended
        );
        keys
    }

    /// Takes in what has come, as one turn of the loop does.
    fn turn(&mut self) {
        for key in self.comes() {
            self.upstream.handle_event(key, self.now, &mut self.engine);
        }
        self.settle();
    }

    /// Takes in what comes until something holds.
    fn until(&mut self, mut what: impl FnMut(&mut Self) -> bool) {
        while !what(self) {
            self.turn();
        }
    }

    /// Time passes, and what falls due is done.
    fn later(&mut self, span: Micros) {
        self.now += span;
        while let Some(due) = self.engine.deadlines.pop(self.now) {
            match due {
                Deadline::Wake => self.engine.wake(),
                Deadline::Attempt(id) => self.engine.attempt_timed_out(id, self.now),
                Deadline::Backend(key) => {
                    self.upstream
                        .connection_expired(key, self.now, &mut self.engine)
                }
                _ => {}
            }
        }
        self.settle();
    }

    /// A connection that has been begun comes up to this node; it has not been greeted.
    fn up(&mut self, node: &Node) -> Link {
        self.until(|pools| {
            !pools
                .upstream
                .connections
                .iter()
                .any(|(_, b)| matches!(b.state, State::Connecting))
        });
        node.accept(HANGS).expect("a connection")
    }

    /// The same, greeted; what waited for it has been put on it.
    fn greeted(&mut self, node: &Node) -> Link {
        let mut link = self.up(node);
        link.greet("primary").expect("the pools are there");
        self.until(|pools| {
            !pools
                .upstream
                .connections
                .iter()
                .any(|(_, b)| matches!(b.state, State::LoggingIn(_)))
        });
        link
    }

    /// A connection to this node that is idle.
    fn idle(&mut self, name: &str, node: &Node) -> Link {
        self.upstream
            .check_health(&name.into(), self.now, &mut self.engine);
        let mut link = self.greeted(node);
        assert_eq!(
            link.statement().expect("a question").as_deref(),
            Some(REPORT_QUERY)
        );
        link.answer("x0=1,x1=1").expect("the pools are there");
        self.until(|pools| pools.upstream.pools[name].idle.len() == 1);
        link
    }

    /// Connections to db nodes, and those among them that carry something.
    fn open(&self) -> (usize, usize) {
        let busy = self
            .upstream
            .connections
            .iter()
            .filter(|(_, b)| matches!(b.state, State::Busy(..)));
        (self.upstream.connections.len(), busy.count())
    }

    /// How many bytes of the one job that is at work are still to leave; whether none has left.
    fn held_back(&self) -> Option<(usize, bool)> {
        let mut busy = self
            .upstream
            .connections
            .iter()
            .filter(|(_, b)| matches!(b.state, State::Busy(..)));
        busy.next()
            .map(|(_, b)| (b.stream.unsent(), b.stream.is_output_untouched()))
    }

    /// How this request ended; it has one end at the most.
    fn fate(&self, request: Key) -> Option<RequestOutcome> {
        let ends: Vec<&RequestOutcome> = self
            .ended
            .iter()
            .filter(|(key, _)| *key == request)
            .map(|(_, f)| f)
            .collect();
        assert!(ends.len() <= 1, "{ends:?}");
        ends.first().map(|fate| (*fate).clone())
    }

    /// Takes in what comes until this request has ended.
    fn end_of(&mut self, request: Key) -> RequestOutcome {
        self.until(|pools| pools.fate(request).is_some());
        self.fate(request).expect("just seen")
    }
}

fn served(value: &str) -> RequestOutcome {
    RequestOutcome::Served(value.into())
}

fn at(node: &Node) -> SocketAddr {
    node.address().expect("it is bound")
}

fn node() -> Node {
    Node::start(HANGS).expect("a node")
}

/// What the other side has sent is at its end, or reset: the pools have closed the connection.
fn closed(link: &mut Link) {
    assert_eq!(
        link.statement().expect("it ends"),
        None,
        "it carries nothing more"
    );
}

// ---- the one check before the first byte

/// Who asks a node for its report.
#[derive(Clone, Copy, Debug)]
enum Asks {
    Router,
    Fleet,
}

fn question(pools: &mut Pools, asks: Asks) {
    let (node, now): (NodeId, Time) = ("p".into(), pools.now);
    match asks {
        Asks::Router => pools.upstream.check_health(&node, now, &mut pools.engine),
        Asks::Fleet => {
            let ask = NodeQuery {
                node,
                lease_check: Rc::new(|| true),
            };
            pools.upstream.query(ask, now, &mut pools.engine);
        }
    }
}

#[test]
fn a_question_whose_node_leaves_before_its_connection_comes_up_does_not_leave() {
    // Danger: reports are asked for by the router and for the fleet, beside all that requests are checked for.
    for asks in [Asks::Router, Asks::Fleet] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        question(&mut pools, asks);
        let mut link = pools.up(&node);
        pools.hears("p", EndpointState::Draining);
        link.greet("primary").expect("the pools are there");
        pools.until(|pools| pools.upstream.pools["p"].connecting == 0);
        assert_eq!(pools.open(), (1, 0), "{asks:?}");
        assert_eq!(
            link.pending_statement().expect("a socket"),
            None,
            "{asks:?}"
        );
        let heard = pools.upstream.take_query_outcomes();
        assert_eq!(
            heard.len(),
            usize::from(matches!(asks, Asks::Fleet)),
            "its owner is told that nothing came"
        );
        assert!(heard.iter().all(|heard| heard.answer.is_none()));
    }
}

#[test]
fn a_question_for_an_idle_connection_of_a_node_that_leaves_does_not_leave() {
    // Its list has been told, and the pools have not closed their idle connections yet.
    for asks in [Asks::Router, Asks::Fleet] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let mut link = pools.idle("p", &node);
        pools.hears("p", EndpointState::Draining);
        question(&mut pools, asks);
        assert_eq!(pools.open(), (1, 0), "{asks:?}: nothing is put on it");
        assert_eq!(
            link.pending_statement().expect("a socket"),
            None,
            "{asks:?}"
        );
        pools.told(false, &[("p", EndpointState::Draining, Some(at(&node)))]);
        closed(&mut link);
    }
}

/// One connection whose buffers the test fills. The system takes bytes in blocks, and what straddles the end of the last
/// one has begun. So statements are made to end where blocks do; how long one is shows where one that is too long stops.
struct Filled {
    link: Link,
    /// Bytes that have left, and those that the node has read.
    left: usize,
    read: usize,
    /// Where a block is known to end, and how long one is, once it has been seen.
    end: Option<usize>,
    block: Option<usize>,
}

/// A job that has begun, or has been held back whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begun {
    Whole,
    Part,
    Nothing,
}

impl Filled {
    fn new(pools: &mut Pools, node: &Node) -> Self {
        let link = pools.idle("p", node);
        Filled {
            link,
            left: 0,
            read: 0,
            end: None,
            block: None,
        }
    }

    /// Takes note of what has left of a job of this length, which was put on the connection just now.
    fn note(&mut self, pools: &Pools, length: usize) -> Begun {
        let (unsent, untouched) = pools.held_back().expect("it is on the connection");
        self.left += length - unsent;
        if unsent == 0 {
            return Begun::Whole;
        }
        let block = self
            .end
            .map(|end| self.left - end)
            .filter(|block| *block > 0);
        (self.end, self.block) = (Some(self.left), block.or(self.block));
        if untouched {
            Begun::Nothing
        } else {
            Begun::Part
        }
    }

    /// The node reads as little as makes room for what is held back, and says that this is its answer.
    fn served(&mut self, pools: &mut Pools, request: Option<Key>) {
        while let Some((unsent, _)) = pools.held_back().filter(|(unsent, _)| *unsent > 0) {
            self.read += self.link.read(64 * 1024).expect("bytes that were sent");
            let key = pools
                .upstream
                .connections
                .iter()
                .next()
                .expect("its connection")
                .0;
            pools
                .upstream
                .handle_event(key, pools.now, &mut pools.engine);
            let (still, _) = pools.held_back().expect("it is on the connection");
            self.left += unsent - still;
        }
        self.link.answer("ok").expect("the pools are there");
        pools.until(|pools| pools.open() == (1, 0));
        if let Some(request) = request {
            assert_eq!(pools.fate(request), Some(served("ok")));
        }
    }

    /// Sends statements until this job, of this length, is held back whole.
    fn fill(
        &mut self,
        pools: &mut Pools,
        length: usize,
        job: impl Fn(&mut Pools) -> Option<Key>,
    ) -> Option<Key> {
        for number in 0..10_000 {
            let request = job(pools);
            match self.note(pools, length) {
                Begun::Nothing => return request,
                Begun::Whole | Begun::Part => self.served(pools, request),
            }
            // Up to the end of a block; of the next where there is no room for a statement.
            let ahead = self
                .end
                .zip(self.block)
                .map(|(end, block)| block - (self.left - end) % block);
            let text = ahead.map_or(16 << 20, |ahead| {
                if ahead < 200 {
                    ahead + self.block.unwrap_or(0)
                } else {
                    ahead
                }
            });
            let id = format!("f{number:06}");
            // A write's patience is all that is left, and its digits are always as many.
            let request = pools.asks(&id, WRITE, text - query(&id, 0));
            self.note(pools, text);
            self.served(pools, Some(request));
        }
        panic!("no job is held back whole: {:?} {:?}", self.end, self.block);
    }
}

/// The length of a query with this id and so much text.
fn query(id: &str, text: usize) -> usize {
    let text = format!(
        "/* id={id},c=x,d=5000,cluster=1 */ SELECT '{}'",
        "k".repeat(text)
    );
    let labels = statement_labels::read_labels(&text).expect("well formed");
    let mut out = Vec::new();
    Statement::new(&text, &labels, Shape::OneValue).append_query(&mut out, 5_000);
    out.len()
}

/// The lengths of the two jobs that may be held back: a write, and a question.
const JOB: &str = "a1";

#[test]
fn what_is_held_back_whole_does_not_begin_once_its_node_leaves() {
    // Danger: the look at the list when a job was put on its connection is old by the time its first byte leaves.
    type Job = fn(&mut Pools) -> Option<Key>;
    let write: Job = |pools| Some(pools.asks(JOB, WRITE, 0));
    let probe: Job = |pools| {
        question(pools, Asks::Router);
        None
    };
    let watch: Job = |pools| {
        question(pools, Asks::Fleet);
        None
    };
    let mut asked = Vec::new();
    messages::put_query(&mut asked, REPORT_QUERY);
    for (length, job) in [
        (query(JOB, 0), write),
        (asked.len(), probe),
        (asked.len(), watch),
    ] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let mut filled = Filled::new(&mut pools, &node);
        let request = filled.fill(&mut pools, length, job);
        assert_eq!(pools.held_back(), Some((length, true)), "it waits for room");
        pools.hears("p", EndpointState::Draining);
        let Filled {
            mut link,
            left,
            read,
            ..
        } = filled;
        let reader = std::thread::spawn(move || {
            let mut all = read;
            while let Ok(count @ 1..) = link.read(1 << 20) {
                all += count;
            }
            all
        });
        pools.until(|pools| pools.held_back().is_none_or(|(unsent, _)| unsent == 0));
        assert_eq!(pools.open(), (0, 0), "it begins though its node leaves");
        assert_eq!(
            reader.join().expect("it reads to the end"),
            left,
            "not a byte of it came"
        );
        assert!(
            request.is_none_or(|request| !matches!(
                pools.fate(request),
                Some(RequestOutcome::Served(_))
            ))
        );
    }
}

#[test]
fn what_waits_for_a_slow_connection_does_not_begin_once_its_node_leaves() {
    // The list has been told to the core, and the pools have not been told yet, or they have, too.
    for told in [false, true] {
        let deaf = FullQueueNode::start(HANGS).expect("a node");
        let mut pools = Pools::new(settings());
        pools.told(
            true,
            &[(
                "p",
                EndpointState::Serving,
                Some(deaf.address().expect("bound")),
            )],
        );
        let request = pools.asks("a1", WRITE, 0);
        if told {
            pools.told(
                false,
                &[(
                    "p",
                    EndpointState::Draining,
                    Some(deaf.address().expect("bound")),
                )],
            );
            assert_eq!(pools.open(), (0, 0), "it is not waited for");
        } else {
            pools.hears("p", EndpointState::Draining);
            let node = deaf.accept_connections().expect("it listens");
            let mut link = pools.up(&node);
            link.greet("primary").expect("the pools are there");
            pools.until(|pools| pools.upstream.pools["p"].connecting == 0);
            assert_eq!(pools.open(), (1, 0));
            assert_eq!(link.pending_statement().expect("a socket"), None);
        }
        pools.later(PATIENCE);
        assert_eq!(
            pools.fate(request),
            Some(RequestOutcome::Refused),
            "it never ran; told: {told}"
        );
        assert_eq!(pools.sent, ["p".into()], "told: {told}");
    }
}

// ---- names and addresses

#[test]
fn a_node_that_leaves_and_is_listed_again_is_dialled_anew() {
    // Danger: under its old name and address a new process may listen.
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let mut link = pools.idle("p", &node);
    pools.told(false, &[("p", EndpointState::Draining, Some(at(&node)))]);
    pools.told(false, &[("p", EndpointState::Serving, Some(at(&node)))]);
    closed(&mut link);
    let request = pools.asks("a1", WRITE, 0);
    let mut link = pools.greeted(&node);
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the pools are there");
    assert_eq!(pools.end_of(request), served("a1"));
}

#[test]
fn an_address_that_belongs_to_another_name_is_dialled_anew_under_it() {
    for stays in [true, false] {
        let node = node();
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: stays,
            ..settings()
        });
        pools.told(true, &[("p", EndpointState::Serving, Some(at(&node)))]);
        let mut link = pools.idle("p", &node);
        for (old, new, id) in [("p", "p-new", "a1"), ("p-new", "p", "a2")] {
            pools.told(
                false,
                &[
                    (new, EndpointState::Serving, Some(at(&node))),
                    (old, EndpointState::Removed, None),
                ],
            );
            closed(&mut link);
            assert_eq!(pools.open(), (0, 0));
            // A question names its node; where a write goes the module says.
            pools
                .upstream
                .check_health(&new.into(), pools.now, &mut pools.engine);
            link = pools.greeted(&node);
            assert_eq!(
                link.statement().expect("a question").as_deref(),
                Some(REPORT_QUERY),
                "{id}"
            );
            link.answer("x0=1,x1=1").expect("the pools are there");
            pools.until(|pools| pools.open() == (1, 0));
        }
    }
}

#[test]
fn a_connection_at_work_of_a_name_whose_address_is_anothers_is_closed_after_it() {
    for stays in [true, false] {
        let node = node();
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: stays,
            ..settings()
        });
        pools.told(true, &[("p", EndpointState::Serving, Some(at(&node)))]);
        let request = pools.asks("a1", WRITE, 0);
        let mut link = pools.greeted(&node);
        pools.told(true, &[("r", EndpointState::Serving, Some(at(&node)))]);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.end_of(request), served("a1"));
        assert_eq!(
            pools.open(),
            (0, 0),
            "it leads to another node now; dropped nodes stay open: {stays}"
        );
        closed(&mut link);
    }
}

#[test]
fn what_waits_under_a_name_whose_address_is_anothers_does_not_go_there() {
    // Danger: where dropped nodes stay open, an attempt at one goes to whoever has its address now.
    let node = node();
    let mut pools = Pools::new(Settings {
        removed_nodes_stay_open: true,
        ..settings()
    });
    pools.told(true, &[("p", EndpointState::Serving, Some(at(&node)))]);
    let request = pools.asks("a1", WRITE, 0);
    let mut link = pools.up(&node);
    pools.told(
        false,
        &[
            ("r", EndpointState::Serving, Some(at(&node))),
            ("p", EndpointState::Removed, None),
        ],
    );
    pools.settle();
    closed(&mut link);
    let next = pools.asks("a2", WRITE, 0);
    assert_eq!(pools.open(), (0, 0), "nothing is dialled there for it");
    pools.later(PATIENCE);
    assert_eq!(
        (pools.fate(request), pools.fate(next)),
        (Some(RequestOutcome::Refused), Some(RequestOutcome::Refused))
    );
}

#[test]
fn what_waits_for_a_node_that_leaves_goes_elsewhere_at_once() {
    // Danger: it would wait for a connection that must carry nothing any more, for as long as one may take to come up.
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let (p, r1, r2) = (node(), node(), node());
        let mut pools = Pools::before(&[("p", &p), ("r1", &r1), ("r2", &r2)]);
        let request = pools.asks("a1", READ, 8);
        let first = pools.sent[0].clone();
        let (leaves, stays) = if *first == *"r1" {
            (&r1, &r2)
        } else {
            (&r2, &r1)
        };
        let mut coming = pools.up(leaves);
        pools.told(false, &[(&first, state, Some(at(leaves)))]);
        pools.settle();
        // No time has passed, and nothing has come.
        assert_eq!(pools.sent.len(), 2, "{state:?}: {:?}", pools.sent);
        assert_ne!(pools.sent[1], first, "{state:?}");
        closed(&mut coming);
        let mut link = pools.greeted(stays);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.end_of(request), served("a1"), "{state:?}");
    }
}

#[test]
fn a_question_that_waits_for_a_node_that_leaves_ends_at_once() {
    for asks in [Asks::Router, Asks::Fleet] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        question(&mut pools, asks);
        let mut link = pools.up(&node);
        pools.told(false, &[("p", EndpointState::Draining, Some(at(&node)))]);
        assert_eq!(pools.open(), (0, 0), "{asks:?}");
        closed(&mut link);
        let heard = pools.upstream.take_query_outcomes();
        assert_eq!(
            heard.len(),
            usize::from(matches!(asks, Asks::Fleet)),
            "{asks:?}"
        );
        assert!(heard.iter().all(|h| h.answer.is_none()), "{asks:?}");
    }
}

#[test]
fn two_names_of_one_address_that_the_list_has_both_are_both_served() {
    let node = node();
    let mut pools = Pools::before(&[("p", &node), ("r", &node)]);
    let (mut one, mut two) = (pools.idle("p", &node), pools.idle("r", &node));
    pools.told(
        true,
        &[
            ("p", EndpointState::Serving, Some(at(&node))),
            ("r", EndpointState::Serving, Some(at(&node))),
        ],
    );
    assert_eq!(pools.open(), (2, 0));
    assert_eq!(
        (
            one.pending_statement().expect("a socket"),
            two.pending_statement().expect("a socket")
        ),
        (None, None)
    );
}

#[test]
fn where_dropped_nodes_stay_open_one_without_a_connection_is_dialled() {
    // Danger: the pools forgot it, and all attempts of a request ended there unsent.
    for whole in [true, false] {
        let (primary, replica) = (node(), node());
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: true,
            ..settings()
        });
        let (p, r) = (at(&primary), at(&replica));
        pools.told(
            true,
            &[
                ("p", EndpointState::Serving, Some(p)),
                ("r", EndpointState::Serving, Some(r)),
            ],
        );
        let rest = ("r", EndpointState::Serving, Some(r));
        match whole {
            true => pools.told(true, &[rest]),
            false => pools.told(false, &[("p", EndpointState::Removed, None)]),
        }
        pools.told(false, &[rest]);
        let request = pools.asks("a1", WRITE, 0);
        assert_eq!(
            (pools.fate(request), pools.open()),
            (None, (1, 0)),
            "{:?}",
            pools.sent
        );
        let mut link = pools.greeted(&primary);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.end_of(request), served("a1"));
    }
}

#[test]
fn what_is_kept_of_dropped_nodes_is_bounded() {
    // Danger: over days of replacements it would grow without end.
    let mut pools = Pools::new(Settings {
        removed_nodes_stay_open: true,
        ..settings()
    });
    for list in 0..3 {
        let places: Vec<u16> = (0..MAX_REMOVED_POOLS as u16)
            .map(|n| 1_024 + list * MAX_REMOVED_POOLS as u16 + n)
            .collect();
        let names: Vec<String> = places.iter().map(|port| format!("r{port}")).collect();
        let all = names.iter().zip(&places).map(|(name, port)| {
            (
                &**name,
                EndpointState::Serving,
                Some(SocketAddr::from(([127, 0, 0, 1], *port))),
            )
        });
        pools.told(true, &all.collect::<Vec<_>>());
    }
    assert_eq!(pools.upstream.pools.len(), 2 * MAX_REMOVED_POOLS);
}

#[test]
fn a_node_whose_address_nobody_told_is_one_that_cannot_be_reached() {
    // Danger: an attempt that ends unsent is held against nobody, and the next one goes to the same node.
    let replica = node();
    let mut pools = Pools::new(settings());
    pools.told(
        true,
        &[
            ("r1", EndpointState::Serving, None),
            ("r2", EndpointState::Serving, Some(at(&replica))),
        ],
    );
    // While the other one is at work, the first looks idle.
    let mut links = Vec::new();
    for id in ["a1", "a2", "a3"] {
        let request = pools.asks(id, READ, 0);
        assert_eq!(
            (pools.fate(request), pools.open()),
            (None, (links.len() + 1, links.len())),
            "{:?}",
            pools.sent
        );
        links.push((id, request, pools.greeted(&replica)));
    }
    for (id, request, link) in &mut links {
        assert_eq!(link.statement().expect("a statement").as_deref(), Some(*id));
        link.answer(id).expect("the pools are there");
        assert_eq!(pools.end_of(*request), served(id));
    }
}

// ---- closes, answers and time

/// Ways in which a db node ends a connection.
#[derive(Clone, Copy, Debug)]
enum Ends {
    Closes,
    Resets,
    SaysMore,
}

fn end(link: Link, ends: Ends) -> Option<Link> {
    match ends {
        Ends::Closes => drop(link),
        Ends::Resets => link.reset().expect("a socket"),
        Ends::SaysMore => {
            let mut link = link;
            link.send(&ERROR[..9]).expect("the pools are there");
            return Some(link);
        }
    }
    None
}

/// What is asked next goes out on a connection of its own, and is answered.
fn serves(pools: &mut Pools, node: &Node, id: &str, request: Key) {
    let mut link = pools.greeted(node);
    assert_eq!(link.statement().expect("a statement").as_deref(), Some(id));
    link.answer(id).expect("the pools are there");
    assert_eq!(pools.end_of(request), served(id));
}

#[test]
fn an_idle_connection_that_has_ended_carries_nothing() {
    // Its end has come: read before the request, or still unread when it is put on a connection.
    for ends in [Ends::Closes, Ends::Resets, Ends::SaysMore] {
        for read in [true, false] {
            let node = node();
            let mut pools = Pools::before(&[("p", &node)]);
            let link = end(pools.idle("p", &node), ends);
            pools.comes();
            if read {
                pools.turn();
            }
            assert_eq!(pools.open(), (usize::from(!read), 0), "{ends:?}");
            let request = pools.asks("a1", WRITE, 0);
            assert_eq!(
                pools.open(),
                (1, 0),
                "{ends:?}, read: {read}: it is dialled anew"
            );
            serves(&mut pools, &node, "a1", request);
            assert_eq!(pools.sent, ["p".into()], "one attempt");
            link.into_iter().for_each(|mut link| closed(&mut link));
        }
    }
}

#[test]
fn what_waits_at_a_node_that_closes_after_an_answer_has_a_connection_of_its_own() {
    // The one that has answered is free, and its end has come behind the answer: the waiting one must not be put on it,
    // and must not fail with it either.
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let mut link = pools.idle("p", &node);
    let first = pools.asks("a1", WRITE, 0);
    let second = pools.asks("a2", WRITE, 0);
    assert_eq!(pools.open(), (2, 1), "one at work, one under way");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the pools are there");
    link.close_write().expect("the pools are there");
    assert_eq!(pools.end_of(first), served("a1"));
    serves(&mut pools, &node, "a2", second);
    assert_eq!(pools.sent, ["p".into(), "p".into()], "one attempt each");
}

#[test]
fn what_waits_behind_a_connection_begun_for_another_goes_elsewhere_with_it() {
    // The first request's client has gone; the second takes over its connection, which does not come up in its time.
    let (deaf, p, r2) = (FullQueueNode::start(HANGS).expect("a node"), node(), node());
    let nowhere = deaf.address().expect("bound");
    let mut pools = Pools::new(settings());
    let serving = |at| (EndpointState::Serving, Some(at));
    let (up, away) = (serving(at(&p)), serving(nowhere));
    pools.told(true, &[("p", up.0, up.1), ("r1", away.0, away.1)]);
    let first = pools.asks("a1", READ, 0);
    assert_eq!(pools.sent, ["r1".into()]);
    pools.later(DIAL / 2);
    pools.engine.client_gone(first);
    pools.settle();
    let second = pools.asks("a2", READ, 0);
    assert_eq!(
        (pools.sent.len(), pools.open()),
        (2, (1, 0)),
        "no second one is begun"
    );
    let up = serving(at(&r2));
    pools.told(false, &[("r2", up.0, up.1)]);
    pools.later(DIAL / 2);
    assert_eq!(
        pools.sent[2..],
        ["r2".into()],
        "it never ran, and goes elsewhere at once"
    );
    serves(&mut pools, &r2, "a2", second);
}

/// Time passes in small steps until there is a further attempt, or the request has ended.
fn further(pools: &mut Pools, request: Key, attempts: usize) -> bool {
    for _ in 0..1_000 {
        if pools.sent.len() > attempts || pools.fate(request).is_some() {
            break;
        }
        pools.later(10_000);
    }
    pools.sent.len() > attempts
}

#[test]
fn an_end_after_the_last_byte_is_an_outcome_that_nobody_knows() {
    // The connection was idle, and its node ends it before it has read a byte of the request. What a class is called says
    // nothing of its effect: one that may not be repeated goes by any name.
    for (names, ends) in [
        (["look", "book", "pay"], Ends::Closes),
        (["look", "book", "pay"], Ends::Resets),
        (["book", "pay", "look"], Ends::Closes),
        (["pay", "look", "book"], Ends::Resets),
    ] {
        for (class, again) in [(READ, true), (WRITE, false), (KEYED, true)] {
            let node = node();
            let mut pools = Pools::new(named(names));
            pools.told(true, &[("p", EndpointState::Serving, Some(at(&node)))]);
            let link = pools.idle("p", &node);
            let request = pools.asks("a1", class, 0);
            assert_eq!(
                pools.held_back().expect("it is at work").0,
                0,
                "its last byte has left"
            );
            end(link, ends);
            pools.until(|pools| pools.open().1 == 0);
            assert_eq!(
                further(&mut pools, request, 1),
                again,
                "{ends:?}, class {class}: {:?}",
                pools.ended
            );
            if again {
                serves(&mut pools, &node, "a1", request);
            } else {
                assert_eq!(
                    pools.fate(request),
                    Some(RequestOutcome::Failed),
                    "nothing is promised"
                );
            }
        }
    }
}

#[test]
fn a_reset_long_after_the_request_has_begun_is_weighed_by_the_time_that_it_comes_at() {
    // A second is left to the client, and the window for repeats is over: only what may always be repeated goes again.
    for (class, again, told) in [
        (READ, true, None),
        (WRITE, false, Some(RequestOutcome::Failed)),
        (KEYED, false, Some(RequestOutcome::Refused)),
    ] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let request = pools.asks("a1", class, 0);
        let mut link = pools.greeted(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        for _ in 0..400 {
            pools.later(10_000);
        }
        assert_eq!((pools.fate(request), pools.sent.len()), (None, 1));
        link.reset().expect("a socket");
        pools.until(|pools| pools.open().1 == 0);
        assert_eq!(
            further(&mut pools, request, 1),
            again,
            "class {class}: {:?}",
            pools.ended
        );
        assert_eq!(pools.fate(request), told, "class {class}");
    }
}

/// Longer than all buffers on its way.
const LONG: usize = 16 << 20;

/// A write on a connection that was idle, a part of which has left.
fn half_written(pools: &mut Pools, node: &Node) -> (Link, Key) {
    let link = pools.idle("p", node);
    let request = pools.asks("a1", WRITE, LONG);
    let (unsent, untouched) = pools.held_back().expect("it is at work");
    assert!(unsent > 0 && !untouched);
    (link, request)
}

/// A write that never ran goes again, and its client is told no worse than that.
fn never_ran(pools: &mut Pools, request: Key) {
    pools.until(|pools| pools.open().1 == 0);
    assert!(
        further(pools, request, 1),
        "it never ran: {:?}",
        pools.ended
    );
    assert_eq!(pools.fate(request), None);
    pools.later(PATIENCE);
    assert_eq!(pools.fate(request), Some(RequestOutcome::Refused));
}

#[test]
fn an_end_before_the_last_byte_is_no_reset() {
    for ends in [Ends::Closes, Ends::Resets] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let (link, request) = half_written(&mut pools, &node);
        end(link, ends);
        never_ran(&mut pools, request);
    }
    // Said while the node still reads: half a close.
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let (link, request) = half_written(&mut pools, &node);
    link.close_write().expect("the pools are there");
    never_ran(&mut pools, request);
}

#[test]
fn an_answer_to_what_has_not_left_whole_is_no_answer() {
    // Danger: a copy of the last answer, or one that belongs to nothing, would be the request's.
    let ready = b"Z\0\0\0\x05I";
    for error in [false, true] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let (mut link, request) = half_written(&mut pools, &node);
        match error {
            true => link.send(&[ERROR, ready].concat()),
            false => link.answer("zz"),
        }
        .expect("the pools are there");
        never_ran(&mut pools, request);
    }
}

#[test]
fn a_request_that_is_over_when_a_part_of_it_has_left_is_cut_off() {
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let (mut link, request) = half_written(&mut pools, &node);
    pools.engine.client_gone(request);
    pools.settle();
    assert_eq!((pools.open(), pools.engine.pending_requests()), ((0, 0), 0));
    let mut all = 0;
    while let Ok(count @ 1..) = link.read(1 << 20) {
        all += count;
    }
    assert!(all < LONG, "{all} bytes");
}

#[test]
fn an_answer_and_the_end_of_patience_in_one_instant_are_one_answer() {
    /// What is taken in first, and whether what follows of it is carried out before the other.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    enum First {
        FinalAnswer,
        AnswerInOneTurn,
        TimeOut,
        TimeOutInOneTurn,
        GoneInOneTurn,
    }
    for first in [
        First::FinalAnswer,
        First::AnswerInOneTurn,
        First::TimeOut,
        First::TimeOutInOneTurn,
        First::GoneInOneTurn,
    ] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let request = pools.asks("a1", WRITE, 0);
        let mut link = pools.greeted(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        let keys = pools.comes();
        let id = AttemptId { request, number: 0 };
        let answer = |pools: &mut Pools| {
            keys.iter().for_each(|key| {
                pools
                    .upstream
                    .handle_event(*key, pools.now, &mut pools.engine)
            });
        };
        match first {
            First::FinalAnswer => {
                answer(&mut pools);
                pools.settle();
                pools.later(PATIENCE);
            }
            First::AnswerInOneTurn => {
                answer(&mut pools);
                pools.engine.attempt_timed_out(id, pools.now);
            }
            First::TimeOut => {
                pools.later(PATIENCE);
                answer(&mut pools);
            }
            First::TimeOutInOneTurn => {
                pools.engine.attempt_timed_out(id, pools.now);
                answer(&mut pools);
            }
            First::GoneInOneTurn => {
                pools.engine.cancel_request(request, pools.now);
                answer(&mut pools);
            }
        }
        pools.settle();
        pools.later(PATIENCE);
        let want = match first {
            First::FinalAnswer | First::AnswerInOneTurn => Some(served("a1")),
            First::TimeOut | First::TimeOutInOneTurn => Some(RequestOutcome::Failed),
            First::GoneInOneTurn => None,
        };
        assert_eq!(
            (pools.fate(request), pools.sent.len()),
            (want, 1),
            "{first:?}"
        );
        assert_eq!(
            (
                pools.engine.pending_requests(),
                pools.upstream.running_attempts.len()
            ),
            (0, 0),
            "{first:?}"
        );
        if first == First::TimeOut {
            closed(&mut link);
        }
    }
}

#[test]
fn one_byte_a_second_is_waited_for_no_longer_than_its_attempt() {
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let request = pools.asks("a1", WRITE, 0);
    let mut link = pools.greeted(&node);
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    for byte in ERROR {
        if pools.fate(request).is_some() {
            break;
        }
        link.send(&[*byte]).expect("the pools are there");
        pools.turn();
        pools.later(SECOND);
    }
    assert_eq!(
        (pools.fate(request), pools.open()),
        (Some(RequestOutcome::Failed), (0, 0))
    );
    assert!(pools.now <= NOW + PATIENCE, "{}", pools.now - NOW);
    closed(&mut link);
}

#[test]
fn a_connection_that_comes_up_after_its_attempt_was_given_up_carries_the_next() {
    let waits = SECOND / 2;
    for gone in [true, false] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let request = pools.asks_within("a1", WRITE, 0, if gone { PATIENCE } else { waits });
        let mut link = pools.up(&node);
        if gone {
            pools.engine.client_gone(request);
        }
        pools.later(waits);
        pools.later(SECOND);
        assert_eq!(
            pools.fate(request),
            (!gone).then_some(RequestOutcome::Refused)
        );
        // 1.5 s after it was begun.
        link.greet("primary").expect("the pools are there");
        pools.until(|pools| pools.upstream.pools["p"].idle.len() == 1);
        assert_eq!(link.pending_statement().expect("a socket"), None);
        let next = pools.asks("a2", WRITE, 0);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a2")
        );
        link.answer("a2").expect("the pools are there");
        assert_eq!(pools.end_of(next), served("a2"));
    }
}

#[test]
fn a_connection_that_takes_too_long_is_closed_and_so_late_a_greeting_starts_nothing() {
    let node = node();
    let mut pools = Pools::before(&[("p", &node)]);
    let request = pools.asks_within("a1", WRITE, 0, SECOND);
    let mut link = pools.up(&node);
    // Greeted in the instant in which it has been waited for long enough.
    link.greet("primary").expect("the pools are there");
    let keys = pools.comes();
    pools.later(DIAL);
    keys.iter().for_each(|key| {
        pools
            .upstream
            .handle_event(*key, pools.now, &mut pools.engine)
    });
    pools.settle();
    assert_eq!(
        (pools.fate(request), pools.open()),
        (Some(RequestOutcome::Refused), (0, 0))
    );
    closed(&mut link);
}

#[test]
fn an_error_counts_once_its_connection_ends_and_half_of_one_does_not() {
    // A node that said that it is full and closed has not run it; half a line says nothing.
    let full = b"E\0\0\0\x17SERROR\0C53300\0Mno\0\0";
    for (said, again) in [(&full[..], true), (&full[..9], false), (ERROR, false)] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let request = pools.asks("a1", WRITE, 0);
        let mut link = pools.greeted(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.send(said).expect("the pools are there");
        pools.turn();
        assert_eq!(
            (pools.fate(request), pools.open()),
            (None, (1, 1)),
            "it may say more"
        );
        link.close_write().expect("the pools are there");
        pools.until(|pools| pools.open().1 == 0);
        assert_eq!(further(&mut pools, request, 1), again);
        assert_eq!(
            pools.fate(request),
            (!again).then_some(RequestOutcome::Failed)
        );
        closed(&mut link);
    }
}

#[test]
fn what_comes_behind_an_answer_ends_its_connection() {
    // In one read with it, after it and unread, after it and read: nobody else gets it.
    for (at_once, read) in [(true, true), (false, false), (false, true)] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let request = pools.asks("a1", WRITE, 0);
        let mut link = pools.greeted(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        if at_once {
            link.answer_all(&["a1", "b1"]).expect("the pools are there");
            assert_eq!(pools.end_of(request), served("a1"));
        } else {
            link.answer("a1").expect("the pools are there");
            assert_eq!(pools.end_of(request), served("a1"));
            link.answer("b1").expect("the pools are there");
            pools.comes();
            if read {
                pools.turn();
            }
        }
        assert_eq!(pools.open(), (usize::from(!read), 0));
        let next = pools.asks("a2", WRITE, 0);
        serves(&mut pools, &node, "a2", next);
        closed(&mut link);
    }
}

#[test]
fn half_a_line_in_the_moment_of_our_own_close_harms_nobody() {
    /// Why it is closed.
    #[derive(Clone, Copy, Debug)]
    enum Why {
        Wanted,
        Leaving,
        Idle,
        GivenUp,
    }
    for why in [Why::Wanted, Why::Leaving, Why::Idle, Why::GivenUp] {
        let node = node();
        let mut pools = Pools::before(&[("p", &node)]);
        let mut link = pools.idle("p", &node);
        let given_up = matches!(why, Why::GivenUp).then(|| pools.asks("a1", WRITE, 0));
        link.send(&ERROR[..9]).expect("the pools are there");
        let keys = pools.comes();
        match why {
            Why::Wanted => pools.upstream.close_idle(&"p".into(), &mut pools.engine),
            Why::Leaving => {
                pools.told(false, &[("p", EndpointState::Draining, Some(at(&node)))]);
                pools.told(false, &[("p", EndpointState::Serving, Some(at(&node)))]);
            }
            Why::Idle => pools.later(IDLE),
            Why::GivenUp => given_up
                .iter()
                .for_each(|request| pools.engine.cancel_request(*request, pools.now)),
        }
        pools.settle();
        assert_eq!(pools.open(), (0, 0), "{why:?}");
        keys.iter().for_each(|key| {
            pools
                .upstream
                .handle_event(*key, pools.now, &mut pools.engine)
        });
        let next = pools.asks("a2", WRITE, 0);
        serves(&mut pools, &node, "a2", next);
        assert_eq!(given_up.and_then(|request| pools.fate(request)), None);
    }
}
