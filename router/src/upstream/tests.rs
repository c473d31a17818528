//! Race conditions between the upstream and db nodes. The pools connect to loopback nodes that act only when the test says
//! so, on a clock that only the test moves. The test also decides when poller events are handled, and thus which events fall
//! between two steps.

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

/// Time after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);
const NOW: Time = 1_000_000_000;
const SECOND: Micros = 1_000_000;
/// The connection timeout.
const CONNECT_TIMEOUT: Micros = 2 * SECOND;
/// Time after which a db node closes an idle connection.
const NODE_IDLE_TIMEOUT: Micros = 60 * SECOND;
/// The indexes of the classes.
const READ: usize = 0;
const WRITE: usize = 1;
const KEYED: usize = 2;
/// The timeout of a client.
const CLIENT_TIMEOUT: Micros = 5 * SECOND;
/// The window in which a request of class `KEYED` may be retried.
const DEDUP_WINDOW: Micros = SECOND;
/// The bytes of an error of the db node itself, as opposed to an error of the statement.
const ERROR: &[u8] = b"E\0\0\0\x17SERROR\0CXX000\0Mno\0\0";

mod copies;
mod statement_memory;

fn class(name: &str, access: Access, effect: Idempotency) -> Class {
    Class {
        name: name.into(),
        access,
        latency_objective: SECOND,
        objective_per_cost: 0.0,
        deadline: CLIENT_TIMEOUT,
        priority_weight: 1.0,
        late_weight_share: 1.0,
        idempotency: effect,
        dedup_scope: DedupScope::All,
        dedup_window: DEDUP_WINDOW,
        stream: false,
    }
}

fn settings() -> Settings {
    settings_with_class_names(["look", "book", "pay"])
}

/// Returns the settings with these names of the classes.
fn settings_with_class_names([read, write, keyed]: [&str; 3]) -> Settings {
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

/// The end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Served(String),
    Rejected,
    Failed,
}

/// The upstream with an engine, driven step by step in the way of the event loop.
struct Pools {
    poll: Poll,
    engine: Engine,
    upstream: Upstream,
    now: Time,
    statements: BTreeMap<u64, Rc<Statement>>,
    ended: Vec<(Key, RequestOutcome)>,
    /// The nodes of the attempts, in order.
    sent: Vec<NodeId>,
    version: u64,
}

/// Returns an entry of the endpoint list. Nodes whose name starts with `p` are primaries.
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
            CONNECT_TIMEOUT,
            NODE_IDLE_TIMEOUT,
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

    /// Creates pools with these nodes, all serving.
    fn with_nodes(nodes: &[(&str, &Node)]) -> Self {
        let mut pools = Pools::new(settings());
        let entries = nodes
            .iter()
            .map(|(name, node)| (*name, EndpointState::Serving, Some(address_of(node))));
        pools.apply_list(true, &entries.collect::<Vec<_>>());
        pools
    }

    /// Applies an endpoint list, or changes to one, to the engine and the upstream.
    fn apply_list(
        &mut self,
        is_complete: bool,
        entries: &[(&str, EndpointState, Option<SocketAddr>)],
    ) {
        self.version += 1;
        let entries: Vec<_> = entries
            .iter()
            .map(|(node, state, address)| (entry(node, *state), *address))
            .collect();
        let endpoints = entries.iter().map(|(entry, _)| entry.clone()).collect();
        self.engine.update_endpoints(if is_complete {
            EndpointUpdate::Full(endpoints)
        } else {
            EndpointUpdate::Changes(endpoints)
        });
        let listing = Listing {
            index: self.version,
            is_complete,
            entries,
            unknown_status: None,
        };
        self.upstream
            .update_endpoints(&listing, self.now, &mut self.engine);
    }

    /// Changes the state of a node in the engine only; the upstream has not followed yet.
    fn change_engine_state(&mut self, node: &str, state: EndpointState) {
        self.engine
            .update_endpoints(EndpointUpdate::Changes(vec![entry(node, state)]));
    }

    /// Begins a request whose statement has a text of this length.
    fn begin_request(&mut self, id: &str, class: usize, length: usize) -> Key {
        self.begin_request_within(id, class, length, CLIENT_TIMEOUT)
    }

    /// Begins a request with this timeout.
    fn begin_request_within(
        &mut self,
        id: &str,
        class: usize,
        length: usize,
        time_left: Micros,
    ) -> Key {
        let text = format!(
            "/* id={id},c=x,d=5000,cluster=1 */ SELECT '{}'",
            "k".repeat(length)
        );
        let labels = statement_labels::read_labels(&text).expect("well formed");
        let statement = Rc::new(Statement::new(&text, &labels, Shape::OneValue));
        let info = RequestInfo {
            class,
            group: 1,
            time_left,
            ..RequestInfo::default()
        };
        let request = self.engine.begin_request(Key::from_number(7), info);
        self.statements.insert(request.number(), statement);
        self.settle();
        request
    }

    /// Executes the engine's decisions until there are none.
    fn settle(&mut self) {
        for _ in 0..64 {
            for served in self.upstream.take_served() {
                let row = served
                    .reply
                    .windows(6)
                    .position(|bytes| bytes == b"\0\x01\0\0\0\x02");
                let value = row
                    .and_then(|start| served.reply.get(start + 6..start + 8))
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
                self.execute(command);
            }
        }
        panic!("it does not settle: {:?}", self.sent);
    }

    fn execute(&mut self, command: Command) {
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
                let outcome = if answer == FinalAnswer::Failed {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::Rejected
                };
                self.ended.push((request, outcome));
            }
        }
    }

    /// Waits for poller events without handling them. Returns the keys of their connections.
    fn wait_for_events(&self) -> Vec<Key> {
        let mut events = Events::new();
        self.poll
            .wait(&mut events, Some(TEST_TIMEOUT))
            .expect("it waits");
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

    /// Waits for poller events and handles them, as one turn of the loop does.
    fn turn(&mut self) {
        for key in self.wait_for_events() {
            self.upstream.handle_event(key, self.now, &mut self.engine);
        }
        self.settle();
    }

    /// Runs turns until a condition holds.
    fn run_until(&mut self, mut condition: impl FnMut(&mut Self) -> bool) {
        while !condition(self) {
            self.turn();
        }
    }

    /// Advances the clock and runs the expired deadlines.
    fn advance(&mut self, duration: Micros) {
        self.now += duration;
        while let Some(deadline) = self.engine.deadlines.pop(self.now) {
            match deadline {
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

    /// Accepts a connection at this node, before the login is answered.
    fn accept(&mut self, node: &Node) -> Link {
        self.run_until(|pools| {
            !pools
                .upstream
                .connections
                .iter()
                .any(|(_, b)| matches!(b.state, State::Connecting))
        });
        node.accept(TEST_TIMEOUT).expect("a connection")
    }

    /// Accepts a connection at this node and answers the login. A waiting job has been assigned to the connection then.
    fn accept_login(&mut self, node: &Node) -> Link {
        let mut link = self.accept(node);
        link.greet("primary").expect("the pools are there");
        self.run_until(|pools| {
            !pools
                .upstream
                .connections
                .iter()
                .any(|(_, b)| matches!(b.state, State::LoggingIn(_)))
        });
        link
    }

    /// Opens a connection to this node and makes it idle.
    fn open_idle(&mut self, name: &str, node: &Node) -> Link {
        self.upstream
            .check_health(&name.into(), self.now, &mut self.engine);
        let mut link = self.accept_login(node);
        assert_eq!(
            link.statement().expect("a question").as_deref(),
            Some(REPORT_QUERY)
        );
        link.answer("x0=1,x1=1").expect("the pools are there");
        self.run_until(|pools| pools.upstream.pools[name].idle.len() == 1);
        link
    }

    /// Returns the numbers of all connections and of the busy ones.
    fn connection_counts(&self) -> (usize, usize) {
        let busy = self
            .upstream
            .connections
            .iter()
            .filter(|(_, b)| matches!(b.state, State::Busy(..)));
        (self.upstream.connections.len(), busy.count())
    }

    /// Returns the number of unsent bytes of the only running job, and whether none of its bytes has been sent.
    fn unsent_of_job(&self) -> Option<(usize, bool)> {
        let mut busy = self
            .upstream
            .connections
            .iter()
            .filter(|(_, b)| matches!(b.state, State::Busy(..)));
        busy.next()
            .map(|(_, b)| (b.stream.unsent(), b.stream.is_output_untouched()))
    }

    /// Returns the end of a request, if it has ended. Asserts that it has ended at most once.
    fn outcome(&self, request: Key) -> Option<RequestOutcome> {
        let ends: Vec<&RequestOutcome> = self
            .ended
            .iter()
            .filter(|(key, _)| *key == request)
            .map(|(_, f)| f)
            .collect();
        assert!(ends.len() <= 1, "{ends:?}");
        ends.first().map(|outcome| (*outcome).clone())
    }

    /// Runs turns until a request has ended. Returns its end.
    fn run_to_end(&mut self, request: Key) -> RequestOutcome {
        self.run_until(|pools| pools.outcome(request).is_some());
        self.outcome(request).expect("just seen")
    }
}

fn served(value: &str) -> RequestOutcome {
    RequestOutcome::Served(value.into())
}

fn address_of(node: &Node) -> SocketAddr {
    node.address().expect("it is bound")
}

fn start_node() -> Node {
    Node::start(TEST_TIMEOUT).expect("a node")
}

/// Asserts that the upstream has closed the connection without sending another statement.
fn assert_closed(link: &mut Link) {
    assert_eq!(
        link.statement().expect("it ends"),
        None,
        "it carries nothing more"
    );
}

// ---- the check just before the first byte of a job is sent

/// The kind of a query for a node's report.
#[derive(Clone, Copy, Debug)]
enum QueryKind {
    HealthCheck,
    Watch,
}

fn start_query(pools: &mut Pools, kind: QueryKind) {
    let (node, now): (NodeId, Time) = ("p".into(), pools.now);
    match kind {
        QueryKind::HealthCheck => pools.upstream.check_health(&node, now, &mut pools.engine),
        QueryKind::Watch => {
            let query = NodeQuery {
                node,
                lease_check: Rc::new(|| true),
            };
            pools.upstream.query(query, now, &mut pools.engine);
        }
    }
}

#[test]
fn a_query_is_not_sent_if_its_node_drains_before_the_connection_is_ready() {
    // Health checks and queries of a watch do not go through the checks of requests, so they need their own check that the
    // node is still listed.
    for kind in [QueryKind::HealthCheck, QueryKind::Watch] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        start_query(&mut pools, kind);
        let mut link = pools.accept(&node);
        pools.change_engine_state("p", EndpointState::Draining);
        link.greet("primary").expect("the pools are there");
        pools.run_until(|pools| pools.upstream.pools["p"].connecting == 0);
        assert_eq!(pools.connection_counts(), (1, 0), "{kind:?}");
        assert_eq!(
            link.pending_statement().expect("a socket"),
            None,
            "{kind:?}"
        );
        let outcomes = pools.upstream.take_query_outcomes();
        assert_eq!(
            outcomes.len(),
            usize::from(matches!(kind, QueryKind::Watch)),
            "the outcome without an answer is reported"
        );
        assert!(outcomes.iter().all(|outcome| outcome.answer.is_none()));
    }
}

#[test]
fn a_query_is_not_sent_on_an_idle_connection_of_a_draining_node() {
    // The engine has applied the list, and the upstream has not closed the idle connections yet.
    for kind in [QueryKind::HealthCheck, QueryKind::Watch] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let mut link = pools.open_idle("p", &node);
        pools.change_engine_state("p", EndpointState::Draining);
        start_query(&mut pools, kind);
        assert_eq!(
            pools.connection_counts(),
            (1, 0),
            "{kind:?}: nothing is put on it"
        );
        assert_eq!(
            link.pending_statement().expect("a socket"),
            None,
            "{kind:?}"
        );
        pools.apply_list(
            false,
            &[("p", EndpointState::Draining, Some(address_of(&node)))],
        );
        assert_closed(&mut link);
    }
}

/// A connection whose socket buffers the test fills, so that a job is queued without any byte sent. The system accepts
/// bytes in blocks, and a job that straddles the end of the last free block is partly sent. So the test pads statements to
/// end at block boundaries. It learns the block size from where a statement that is too long stops.
struct FilledConnection {
    link: Link,
    /// Bytes that the upstream has sent, and bytes that the node has read.
    sent: usize,
    read: usize,
    /// A known block boundary, and the block size, once they have been seen.
    boundary: Option<usize>,
    block_size: Option<usize>,
    /// Number of answers so far, modulo 10.
    answers: usize,
}

/// How much of a job has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SentPart {
    All,
    Some,
    Nothing,
}

impl FilledConnection {
    fn new(pools: &mut Pools, node: &Node) -> Self {
        let link = pools.open_idle("p", node);
        FilledConnection {
            link,
            sent: 0,
            read: 0,
            boundary: None,
            block_size: None,
            answers: 0,
        }
    }

    /// Records how much was sent of a job of this length, which was just assigned to the connection.
    fn record_job(&mut self, pools: &Pools, length: usize) -> SentPart {
        let (unsent, is_untouched) = pools.unsent_of_job().expect("it is on the connection");
        self.sent += length - unsent;
        if unsent == 0 {
            return SentPart::All;
        }
        let block = self
            .boundary
            .map(|boundary| self.sent - boundary)
            .filter(|block| *block > 0);
        (self.boundary, self.block_size) = (Some(self.sent), block.or(self.block_size));
        if is_untouched {
            SentPart::Nothing
        } else {
            SentPart::Some
        }
    }

    /// Reads as few bytes as needed for the rest of the job to be sent, and answers it.
    fn serve(&mut self, pools: &mut Pools, request: Option<Key>) {
        while let Some((unsent, _)) = pools.unsent_of_job().filter(|(unsent, _)| *unsent > 0) {
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
            let (still, _) = pools.unsent_of_job().expect("it is on the connection");
            self.sent += unsent - still;
        }
        // Equal answers one after the other would have to be confirmed by the node.
        self.answers = (self.answers + 1) % 10;
        let value = format!("o{}", self.answers);
        self.link.answer(&value).expect("the pools are there");
        pools.run_until(|pools| pools.connection_counts() == (1, 0));
        if let Some(request) = request {
            assert_eq!(pools.outcome(request), Some(served(&value)));
        }
    }

    /// Sends statements until this job, of this length, is queued without any byte sent.
    fn fill(
        &mut self,
        pools: &mut Pools,
        length: usize,
        job: impl Fn(&mut Pools) -> Option<Key>,
    ) -> Option<Key> {
        for number in 0..10_000 {
            let request = job(pools);
            match self.record_job(pools, length) {
                SentPart::Nothing => return request,
                SentPart::All | SentPart::Some => self.serve(pools, request),
            }
            // Pads the next statement to the end of the block, or of the next block if this one has no room for a statement.
            let ahead = self
                .boundary
                .zip(self.block_size)
                .map(|(boundary, block)| block - (self.sent - boundary) % block);
            let text = ahead.map_or(16 << 20, |ahead| {
                if ahead < 200 {
                    ahead + self.block_size.unwrap_or(0)
                } else {
                    ahead
                }
            });
            let id = format!("f{number:06}");
            // The timeout in a write's label is the remaining time, which always has the same number of digits here.
            let request = pools.begin_request(&id, WRITE, text - query_length(&id, 0));
            self.record_job(pools, text);
            self.serve(pools, Some(request));
        }
        panic!(
            "no job is queued without any byte sent: {:?} {:?}",
            self.boundary, self.block_size
        );
    }
}

/// Returns the length of a query message with this ID and a text of this length.
fn query_length(id: &str, text: usize) -> usize {
    let text = format!(
        "/* id={id},c=x,d=5000,cluster=1 */ SELECT '{}'",
        "k".repeat(text)
    );
    let labels = statement_labels::read_labels(&text).expect("well formed");
    let mut out = Vec::new();
    Statement::new(&text, &labels, Shape::OneValue).append_query(&mut out, 5_000);
    out.len()
}

/// The ID of the write that is queued without any byte sent.
const QUEUED_ID: &str = "a1";

#[test]
fn a_queued_job_is_not_sent_once_its_node_drains() {
    // The check of the list when a job was assigned to its connection is outdated when its first byte is sent.
    type Job = fn(&mut Pools) -> Option<Key>;
    let write: Job = |pools| Some(pools.begin_request(QUEUED_ID, WRITE, 0));
    let probe: Job = |pools| {
        start_query(pools, QueryKind::HealthCheck);
        None
    };
    let watch: Job = |pools| {
        start_query(pools, QueryKind::Watch);
        None
    };
    let mut report_query = Vec::new();
    messages::put_query(&mut report_query, REPORT_QUERY);
    for (length, job) in [
        (query_length(QUEUED_ID, 0), write),
        (report_query.len(), probe),
        (report_query.len(), watch),
    ] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let mut filled = FilledConnection::new(&mut pools, &node);
        let request = filled.fill(&mut pools, length, job);
        assert_eq!(
            pools.unsent_of_job(),
            Some((length, true)),
            "it waits for room"
        );
        pools.change_engine_state("p", EndpointState::Draining);
        let FilledConnection {
            mut link,
            sent,
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
        pools.run_until(|pools| pools.unsent_of_job().is_none_or(|(unsent, _)| unsent == 0));
        assert_eq!(
            pools.connection_counts(),
            (0, 0),
            "it is sent although its node drains"
        );
        assert_eq!(
            reader.join().expect("it reads to the end"),
            sent,
            "no byte of it was sent"
        );
        assert!(request.is_none_or(|request| !matches!(
            pools.outcome(request),
            Some(RequestOutcome::Served(_))
        )));
    }
}

#[test]
fn a_request_that_waits_for_a_slow_connection_is_not_sent_once_its_node_drains() {
    // Only the engine has applied the list, or the upstream has applied it, too.
    for has_upstream_list in [false, true] {
        let deaf = FullQueueNode::start(TEST_TIMEOUT).expect("a node");
        let mut pools = Pools::new(settings());
        pools.apply_list(
            true,
            &[(
                "p",
                EndpointState::Serving,
                Some(deaf.address().expect("bound")),
            )],
        );
        let request = pools.begin_request("a1", WRITE, 0);
        if has_upstream_list {
            pools.apply_list(
                false,
                &[(
                    "p",
                    EndpointState::Draining,
                    Some(deaf.address().expect("bound")),
                )],
            );
            assert_eq!(pools.connection_counts(), (0, 0), "it is not waited for");
        } else {
            pools.change_engine_state("p", EndpointState::Draining);
            let node = deaf.accept_connections().expect("it listens");
            let mut link = pools.accept(&node);
            link.greet("primary").expect("the pools are there");
            pools.run_until(|pools| pools.upstream.pools["p"].connecting == 0);
            assert_eq!(pools.connection_counts(), (1, 0));
            assert_eq!(link.pending_statement().expect("a socket"), None);
        }
        pools.advance(CLIENT_TIMEOUT);
        assert_eq!(
            pools.outcome(request),
            Some(RequestOutcome::Rejected),
            "it never ran; applied by the upstream: {has_upstream_list}"
        );
        assert_eq!(
            pools.sent,
            ["p".into()],
            "applied by the upstream: {has_upstream_list}"
        );
    }
}

// ---- names and addresses

#[test]
fn a_node_that_drains_and_serves_again_gets_a_new_connection() {
    // Another process may listen under the old name and address.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let mut link = pools.open_idle("p", &node);
    pools.apply_list(
        false,
        &[("p", EndpointState::Draining, Some(address_of(&node)))],
    );
    pools.apply_list(
        false,
        &[("p", EndpointState::Serving, Some(address_of(&node)))],
    );
    assert_closed(&mut link);
    let request = pools.begin_request("a1", WRITE, 0);
    let mut link = pools.accept_login(&node);
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the pools are there");
    assert_eq!(pools.run_to_end(request), served("a1"));
}

#[test]
fn an_address_that_moves_to_another_name_gets_a_new_connection() {
    for stays in [true, false] {
        let node = start_node();
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: stays,
            ..settings()
        });
        pools.apply_list(
            true,
            &[("p", EndpointState::Serving, Some(address_of(&node)))],
        );
        let mut link = pools.open_idle("p", &node);
        for (old, new, id) in [("p", "p-new", "a1"), ("p-new", "p", "a2")] {
            pools.apply_list(
                false,
                &[
                    (new, EndpointState::Serving, Some(address_of(&node))),
                    (old, EndpointState::Removed, None),
                ],
            );
            assert_closed(&mut link);
            assert_eq!(pools.connection_counts(), (0, 0));
            // A health check goes to the named node, whereas the engine would choose the node of a write.
            pools
                .upstream
                .check_health(&new.into(), pools.now, &mut pools.engine);
            link = pools.accept_login(&node);
            assert_eq!(
                link.statement().expect("a question").as_deref(),
                Some(REPORT_QUERY),
                "{id}"
            );
            link.answer("x0=1,x1=1").expect("the pools are there");
            pools.run_until(|pools| pools.connection_counts() == (1, 0));
        }
    }
}

#[test]
fn a_busy_connection_is_closed_after_its_job_if_its_address_belongs_to_another_node() {
    for stays in [true, false] {
        let node = start_node();
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: stays,
            ..settings()
        });
        pools.apply_list(
            true,
            &[("p", EndpointState::Serving, Some(address_of(&node)))],
        );
        let request = pools.begin_request("a1", WRITE, 0);
        let mut link = pools.accept_login(&node);
        pools.apply_list(
            true,
            &[("r", EndpointState::Serving, Some(address_of(&node)))],
        );
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.run_to_end(request), served("a1"));
        assert_eq!(
            pools.connection_counts(),
            (0, 0),
            "it leads to another node now; removed nodes stay open: {stays}"
        );
        assert_closed(&mut link);
    }
}

#[test]
fn a_waiting_request_is_not_sent_to_another_node_at_the_same_address() {
    // If removed nodes stay open, an attempt at one could go to the node that has its address now.
    let node = start_node();
    let mut pools = Pools::new(Settings {
        removed_nodes_stay_open: true,
        ..settings()
    });
    pools.apply_list(
        true,
        &[("p", EndpointState::Serving, Some(address_of(&node)))],
    );
    let request = pools.begin_request("a1", WRITE, 0);
    let mut link = pools.accept(&node);
    pools.apply_list(
        false,
        &[
            ("r", EndpointState::Serving, Some(address_of(&node))),
            ("p", EndpointState::Removed, None),
        ],
    );
    pools.settle();
    assert_closed(&mut link);
    let next = pools.begin_request("a2", WRITE, 0);
    assert_eq!(
        pools.connection_counts(),
        (0, 0),
        "nothing is dialled there for it"
    );
    pools.advance(CLIENT_TIMEOUT);
    assert_eq!(
        (pools.outcome(request), pools.outcome(next)),
        (
            Some(RequestOutcome::Rejected),
            Some(RequestOutcome::Rejected)
        )
    );
}

#[test]
fn a_request_that_waits_for_a_node_that_drains_is_retried_elsewhere_at_once() {
    // Otherwise the request would wait for a connection that it may not use, up to the connection timeout.
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let (p, r1, r2) = (start_node(), start_node(), start_node());
        let mut pools = Pools::with_nodes(&[("p", &p), ("r1", &r1), ("r2", &r2)]);
        let request = pools.begin_request("a1", READ, 8);
        let first = pools.sent[0].clone();
        let (leaves, stays) = if *first == *"r1" {
            (&r1, &r2)
        } else {
            (&r2, &r1)
        };
        let mut coming = pools.accept(leaves);
        pools.apply_list(false, &[(&first, state, Some(address_of(leaves)))]);
        pools.settle();
        // This happens without any time or event in between.
        assert_eq!(pools.sent.len(), 2, "{state:?}: {:?}", pools.sent);
        assert_ne!(pools.sent[1], first, "{state:?}");
        assert_closed(&mut coming);
        let mut link = pools.accept_login(stays);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.run_to_end(request), served("a1"), "{state:?}");
    }
}

#[test]
fn a_query_that_waits_for_a_node_that_drains_ends_at_once() {
    for kind in [QueryKind::HealthCheck, QueryKind::Watch] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        start_query(&mut pools, kind);
        let mut link = pools.accept(&node);
        pools.apply_list(
            false,
            &[("p", EndpointState::Draining, Some(address_of(&node)))],
        );
        assert_eq!(pools.connection_counts(), (0, 0), "{kind:?}");
        assert_closed(&mut link);
        let outcomes = pools.upstream.take_query_outcomes();
        assert_eq!(
            outcomes.len(),
            usize::from(matches!(kind, QueryKind::Watch)),
            "{kind:?}"
        );
        assert!(
            outcomes.iter().all(|outcome| outcome.answer.is_none()),
            "{kind:?}"
        );
    }
}

#[test]
fn two_listed_names_with_one_address_are_both_used() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node), ("r", &node)]);
    let (mut one, mut two) = (pools.open_idle("p", &node), pools.open_idle("r", &node));
    pools.apply_list(
        true,
        &[
            ("p", EndpointState::Serving, Some(address_of(&node))),
            ("r", EndpointState::Serving, Some(address_of(&node))),
        ],
    );
    assert_eq!(pools.connection_counts(), (2, 0));
    assert_eq!(
        (
            one.pending_statement().expect("a socket"),
            two.pending_statement().expect("a socket")
        ),
        (None, None)
    );
}

#[test]
fn a_removed_node_that_stays_open_gets_a_connection() {
    // In an earlier fault, the pool was dropped with the node, and all attempts of a request ended there unsent.
    for is_complete in [true, false] {
        let (primary, replica) = (start_node(), start_node());
        let mut pools = Pools::new(Settings {
            removed_nodes_stay_open: true,
            ..settings()
        });
        let (p, r) = (address_of(&primary), address_of(&replica));
        pools.apply_list(
            true,
            &[
                ("p", EndpointState::Serving, Some(p)),
                ("r", EndpointState::Serving, Some(r)),
            ],
        );
        let rest = ("r", EndpointState::Serving, Some(r));
        match is_complete {
            true => pools.apply_list(true, &[rest]),
            false => pools.apply_list(false, &[("p", EndpointState::Removed, None)]),
        }
        pools.apply_list(false, &[rest]);
        let request = pools.begin_request("a1", WRITE, 0);
        assert_eq!(
            (pools.outcome(request), pools.connection_counts()),
            (None, (1, 0)),
            "{:?}",
            pools.sent
        );
        let mut link = pools.accept_login(&primary);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        assert_eq!(pools.run_to_end(request), served("a1"));
    }
}

#[test]
fn the_number_of_retained_removed_nodes_is_bounded() {
    // Otherwise the table would grow without limit over days of replaced nodes.
    let mut pools = Pools::new(Settings {
        removed_nodes_stay_open: true,
        ..settings()
    });
    for list in 0..3 {
        let ports: Vec<u16> = (0..MAX_REMOVED_POOLS as u16)
            .map(|n| 1_024 + list * MAX_REMOVED_POOLS as u16 + n)
            .collect();
        let names: Vec<String> = ports.iter().map(|port| format!("r{port}")).collect();
        let all = names.iter().zip(&ports).map(|(name, port)| {
            (
                &**name,
                EndpointState::Serving,
                Some(SocketAddr::from(([127, 0, 0, 1], *port))),
            )
        });
        pools.apply_list(true, &all.collect::<Vec<_>>());
    }
    assert_eq!(pools.upstream.pools.len(), 2 * MAX_REMOVED_POOLS);
}

#[test]
fn a_node_without_an_address_counts_as_unreachable() {
    // An attempt that ends unsent does not count against a node, so the next one would go to the same node.
    let replica = start_node();
    let mut pools = Pools::new(settings());
    pools.apply_list(
        true,
        &[
            ("r1", EndpointState::Serving, None),
            ("r2", EndpointState::Serving, Some(address_of(&replica))),
        ],
    );
    // While the other node is busy, the one without an address looks idle.
    let mut links = Vec::new();
    for id in ["a1", "a2", "a3"] {
        let request = pools.begin_request(id, READ, 0);
        assert_eq!(
            (pools.outcome(request), pools.connection_counts()),
            (None, (links.len() + 1, links.len())),
            "{:?}",
            pools.sent
        );
        links.push((id, request, pools.accept_login(&replica)));
    }
    for (id, request, link) in &mut links {
        assert_eq!(link.statement().expect("a statement").as_deref(), Some(*id));
        link.answer(id).expect("the pools are there");
        assert_eq!(pools.run_to_end(*request), served(id));
    }
}

// ---- closes, answers and time

/// Ways in which a db node ends an idle connection.
#[derive(Clone, Copy, Debug)]
enum NodeEnd {
    Close,
    Reset,
    ExtraBytes,
}

fn end_connection(link: Link, ends: NodeEnd) -> Option<Link> {
    match ends {
        NodeEnd::Close => drop(link),
        NodeEnd::Reset => link.reset().expect("a socket"),
        NodeEnd::ExtraBytes => {
            let mut link = link;
            link.send(&ERROR[..9]).expect("the pools are there");
            return Some(link);
        }
    }
    None
}

/// Asserts that a request is sent on a new connection, and answers it.
fn serve_on_new_connection(pools: &mut Pools, node: &Node, id: &str, request: Key) {
    let mut link = pools.accept_login(node);
    assert_eq!(link.statement().expect("a statement").as_deref(), Some(id));
    link.answer(id).expect("the pools are there");
    assert_eq!(pools.run_to_end(request), served(id));
}

#[test]
fn an_idle_connection_that_has_ended_is_not_used() {
    // The end of the connection is handled before the request, or it is still unread when the request starts.
    for ends in [NodeEnd::Close, NodeEnd::Reset, NodeEnd::ExtraBytes] {
        for read in [true, false] {
            let node = start_node();
            let mut pools = Pools::with_nodes(&[("p", &node)]);
            let link = end_connection(pools.open_idle("p", &node), ends);
            pools.wait_for_events();
            if read {
                pools.turn();
            }
            assert_eq!(
                pools.connection_counts(),
                (usize::from(!read), 0),
                "{ends:?}"
            );
            let request = pools.begin_request("a1", WRITE, 0);
            assert_eq!(
                pools.connection_counts(),
                (1, 0),
                "{ends:?}, read: {read}: a new connection is opened"
            );
            serve_on_new_connection(&mut pools, &node, "a1", request);
            assert_eq!(pools.sent, ["p".into()], "one attempt");
            link.into_iter()
                .for_each(|mut link| assert_closed(&mut link));
        }
    }
}

#[test]
fn a_waiting_request_gets_a_new_connection_if_its_node_closes_after_an_answer() {
    // The end of the connection arrives right behind the answer. The waiting request must neither be sent on this connection
    // nor fail with it.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let mut link = pools.open_idle("p", &node);
    let first = pools.begin_request("a1", WRITE, 0);
    let second = pools.begin_request("a2", WRITE, 0);
    assert_eq!(
        pools.connection_counts(),
        (2, 1),
        "one at work, one under way"
    );
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    link.answer("a1").expect("the pools are there");
    link.close_write().expect("the pools are there");
    assert_eq!(pools.run_to_end(first), served("a1"));
    serve_on_new_connection(&mut pools, &node, "a2", second);
    assert_eq!(pools.sent, ["p".into(), "p".into()], "one attempt each");
}

#[test]
fn a_request_that_took_over_a_connecting_connection_is_retried_elsewhere_when_it_times_out() {
    // The first request's client has disconnected. The second request takes over its connection, which times out.
    let (deaf, p, r2) = (
        FullQueueNode::start(TEST_TIMEOUT).expect("a node"),
        start_node(),
        start_node(),
    );
    let nowhere = deaf.address().expect("bound");
    let mut pools = Pools::new(settings());
    let serving = |address| (EndpointState::Serving, Some(address));
    let (up, away) = (serving(address_of(&p)), serving(nowhere));
    pools.apply_list(true, &[("p", up.0, up.1), ("r1", away.0, away.1)]);
    let first = pools.begin_request("a1", READ, 0);
    assert_eq!(pools.sent, ["r1".into()]);
    pools.advance(CONNECT_TIMEOUT / 2);
    pools.engine.client_gone(first);
    pools.settle();
    let second = pools.begin_request("a2", READ, 0);
    assert_eq!(
        (pools.sent.len(), pools.connection_counts()),
        (2, (1, 0)),
        "no second one is begun"
    );
    let up = serving(address_of(&r2));
    pools.apply_list(false, &[("r2", up.0, up.1)]);
    pools.advance(CONNECT_TIMEOUT / 2);
    assert_eq!(
        pools.sent[2..],
        ["r2".into()],
        "it never ran, and goes elsewhere at once"
    );
    serve_on_new_connection(&mut pools, &r2, "a2", second);
}

/// Advances the clock in small steps until there is another attempt or the request has ended. Returns whether there is
/// another attempt.
fn has_another_attempt(pools: &mut Pools, request: Key, attempts: usize) -> bool {
    for _ in 0..1_000 {
        if pools.sent.len() > attempts || pools.outcome(request).is_some() {
            break;
        }
        pools.advance(10_000);
    }
    pools.sent.len() > attempts
}

#[test]
fn an_end_after_the_last_byte_leaves_the_outcome_unknown() {
    // The connection was idle, and its node ends it before it has read a byte of the request. The names of classes vary, to
    // show that only the idempotency of a class decides on a retry.
    for (names, ends) in [
        (["look", "book", "pay"], NodeEnd::Close),
        (["look", "book", "pay"], NodeEnd::Reset),
        (["book", "pay", "look"], NodeEnd::Close),
        (["pay", "look", "book"], NodeEnd::Reset),
    ] {
        for (class, is_retried) in [(READ, true), (WRITE, false), (KEYED, true)] {
            let node = start_node();
            let mut pools = Pools::new(settings_with_class_names(names));
            pools.apply_list(
                true,
                &[("p", EndpointState::Serving, Some(address_of(&node)))],
            );
            let link = pools.open_idle("p", &node);
            let request = pools.begin_request("a1", class, 0);
            assert_eq!(
                pools.unsent_of_job().expect("it is at work").0,
                0,
                "its last byte has left"
            );
            end_connection(link, ends);
            pools.run_until(|pools| pools.connection_counts().1 == 0);
            assert_eq!(
                has_another_attempt(&mut pools, request, 1),
                is_retried,
                "{ends:?}, class {class}: {:?}",
                pools.ended
            );
            if is_retried {
                serve_on_new_connection(&mut pools, &node, "a1", request);
            } else {
                assert_eq!(
                    pools.outcome(request),
                    Some(RequestOutcome::Failed),
                    "nothing is promised"
                );
            }
        }
    }
}

#[test]
fn a_late_reset_is_retried_only_if_the_class_still_allows_it() {
    // The client waits for another second, and the deduplication window is over: only an idempotent request is retried.
    for (class, is_retried, want) in [
        (READ, true, None),
        (WRITE, false, Some(RequestOutcome::Failed)),
        (KEYED, false, Some(RequestOutcome::Rejected)),
    ] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let request = pools.begin_request("a1", class, 0);
        let mut link = pools.accept_login(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        for _ in 0..400 {
            pools.advance(10_000);
        }
        assert_eq!((pools.outcome(request), pools.sent.len()), (None, 1));
        link.reset().expect("a socket");
        pools.run_until(|pools| pools.connection_counts().1 == 0);
        assert_eq!(
            has_another_attempt(&mut pools, request, 1),
            is_retried,
            "class {class}: {:?}",
            pools.ended
        );
        assert_eq!(pools.outcome(request), want, "class {class}");
    }
}

/// The length of a statement that is longer than all socket buffers together.
const LONG_STATEMENT: usize = 16 << 20;

/// Starts a write on an idle connection, of which only a part is sent.
fn start_partly_sent_write(pools: &mut Pools, node: &Node) -> (Link, Key) {
    let link = pools.open_idle("p", node);
    let request = pools.begin_request("a1", WRITE, LONG_STATEMENT);
    let (unsent, is_untouched) = pools.unsent_of_job().expect("it is at work");
    assert!(unsent > 0 && !is_untouched);
    (link, request)
}

/// Asserts that a write that never ran is retried, and that its final answer is a rejection and not a failure.
fn assert_never_ran(pools: &mut Pools, request: Key) {
    pools.run_until(|pools| pools.connection_counts().1 == 0);
    assert!(
        has_another_attempt(pools, request, 1),
        "it never ran: {:?}",
        pools.ended
    );
    assert_eq!(pools.outcome(request), None);
    pools.advance(CLIENT_TIMEOUT);
    assert_eq!(pools.outcome(request), Some(RequestOutcome::Rejected));
}

#[test]
fn an_end_before_the_last_byte_means_that_the_request_never_ran() {
    for ends in [NodeEnd::Close, NodeEnd::Reset] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let (link, request) = start_partly_sent_write(&mut pools, &node);
        end_connection(link, ends);
        assert_never_ran(&mut pools, request);
    }
    // A half-close: the node ends its direction and still reads.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (link, request) = start_partly_sent_write(&mut pools, &node);
    link.close_write().expect("the pools are there");
    assert_never_ran(&mut pools, request);
}

#[test]
fn a_reply_to_a_partly_sent_request_is_not_its_answer() {
    // Otherwise a copy of the last reply, or an unsolicited one, would become the request's answer.
    let ready = b"Z\0\0\0\x05I";
    for error in [false, true] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let (mut link, request) = start_partly_sent_write(&mut pools, &node);
        match error {
            true => link.send(&[ERROR, ready].concat()),
            false => link.answer("zz"),
        }
        .expect("the pools are there");
        assert_never_ran(&mut pools, request);
    }
}

#[test]
fn a_partly_sent_request_is_cut_off_when_its_client_disconnects() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, request) = start_partly_sent_write(&mut pools, &node);
    pools.engine.client_gone(request);
    pools.settle();
    assert_eq!(
        (pools.connection_counts(), pools.engine.pending_requests()),
        ((0, 0), 0)
    );
    let mut all = 0;
    while let Ok(count @ 1..) = link.read(1 << 20) {
        all += count;
    }
    assert!(all < LONG_STATEMENT, "{all} bytes");
}

#[test]
fn an_answer_and_a_timeout_in_the_same_instant_give_one_answer() {
    /// Which of the two is handled first, and whether its consequences are executed before the other.
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
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let request = pools.begin_request("a1", WRITE, 0);
        let mut link = pools.accept_login(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.answer("a1").expect("the pools are there");
        let keys = pools.wait_for_events();
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
                pools.advance(CLIENT_TIMEOUT);
            }
            First::AnswerInOneTurn => {
                answer(&mut pools);
                pools.engine.attempt_timed_out(id, pools.now);
            }
            First::TimeOut => {
                pools.advance(CLIENT_TIMEOUT);
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
        pools.advance(CLIENT_TIMEOUT);
        let want = match first {
            First::FinalAnswer | First::AnswerInOneTurn => Some(served("a1")),
            First::TimeOut | First::TimeOutInOneTurn => Some(RequestOutcome::Failed),
            First::GoneInOneTurn => None,
        };
        assert_eq!(
            (pools.outcome(request), pools.sent.len()),
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
            assert_closed(&mut link);
        }
    }
}

#[test]
fn a_trickling_reply_does_not_extend_its_attempt() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let request = pools.begin_request("a1", WRITE, 0);
    let mut link = pools.accept_login(&node);
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    for byte in ERROR {
        if pools.outcome(request).is_some() {
            break;
        }
        link.send(&[*byte]).expect("the pools are there");
        pools.turn();
        pools.advance(SECOND);
    }
    assert_eq!(
        (pools.outcome(request), pools.connection_counts()),
        (Some(RequestOutcome::Failed), (0, 0))
    );
    assert!(pools.now <= NOW + CLIENT_TIMEOUT, "{}", pools.now - NOW);
    assert_closed(&mut link);
}

#[test]
fn a_connection_that_is_ready_after_its_attempt_ended_carries_the_next_request() {
    let timeout = SECOND / 2;
    for client_disconnects in [true, false] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let request = pools.begin_request_within(
            "a1",
            WRITE,
            0,
            if client_disconnects {
                CLIENT_TIMEOUT
            } else {
                timeout
            },
        );
        let mut link = pools.accept(&node);
        if client_disconnects {
            pools.engine.client_gone(request);
        }
        pools.advance(timeout);
        pools.advance(SECOND);
        assert_eq!(
            pools.outcome(request),
            (!client_disconnects).then_some(RequestOutcome::Rejected)
        );
        // 1.5 s after the connection attempt.
        link.greet("primary").expect("the pools are there");
        pools.run_until(|pools| pools.upstream.pools["p"].idle.len() == 1);
        assert_eq!(link.pending_statement().expect("a socket"), None);
        let next = pools.begin_request("a2", WRITE, 0);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a2")
        );
        link.answer("a2").expect("the pools are there");
        assert_eq!(pools.run_to_end(next), served("a2"));
    }
}

#[test]
fn a_connection_that_times_out_is_closed_and_a_late_login_starts_nothing() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let request = pools.begin_request_within("a1", WRITE, 0, SECOND);
    let mut link = pools.accept(&node);
    // The login is answered in the instant of the timeout.
    link.greet("primary").expect("the pools are there");
    let keys = pools.wait_for_events();
    pools.advance(CONNECT_TIMEOUT);
    keys.iter().for_each(|key| {
        pools
            .upstream
            .handle_event(*key, pools.now, &mut pools.engine)
    });
    pools.settle();
    assert_eq!(
        (pools.outcome(request), pools.connection_counts()),
        (Some(RequestOutcome::Rejected), (0, 0))
    );
    assert_closed(&mut link);
}

#[test]
fn an_error_before_the_end_of_a_connection_counts_and_half_an_error_does_not() {
    // A node that reported that it is full and then closed has not run the request. A half error message tells nothing.
    let full = b"E\0\0\0\x17SERROR\0C53300\0Mno\0\0";
    for (sent_bytes, is_retried) in [(&full[..], true), (&full[..9], false), (ERROR, false)] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let request = pools.begin_request("a1", WRITE, 0);
        let mut link = pools.accept_login(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        link.send(sent_bytes).expect("the pools are there");
        pools.turn();
        assert_eq!(
            (pools.outcome(request), pools.connection_counts()),
            (None, (1, 1)),
            "it may say more"
        );
        link.close_write().expect("the pools are there");
        pools.run_until(|pools| pools.connection_counts().1 == 0);
        assert_eq!(has_another_attempt(&mut pools, request, 1), is_retried);
        assert_eq!(
            pools.outcome(request),
            (!is_retried).then_some(RequestOutcome::Failed)
        );
        assert_closed(&mut link);
    }
}

#[test]
fn bytes_after_an_answer_end_the_connection() {
    // The extra reply arrives in one read with the answer, or later and unread, or later and read.
    for (at_once, read) in [(true, true), (false, false), (false, true)] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let request = pools.begin_request("a1", WRITE, 0);
        let mut link = pools.accept_login(&node);
        assert_eq!(
            link.statement().expect("a statement").as_deref(),
            Some("a1")
        );
        if at_once {
            link.answer_all(&["a1", "b1"]).expect("the pools are there");
            assert_eq!(pools.run_to_end(request), served("a1"));
        } else {
            link.answer("a1").expect("the pools are there");
            assert_eq!(pools.run_to_end(request), served("a1"));
            link.answer("b1").expect("the pools are there");
            pools.wait_for_events();
            if read {
                pools.turn();
            }
        }
        assert_eq!(pools.connection_counts(), (usize::from(!read), 0));
        let next = pools.begin_request("a2", WRITE, 0);
        serve_on_new_connection(&mut pools, &node, "a2", next);
        assert_closed(&mut link);
    }
}

#[test]
fn half_a_message_at_the_moment_of_a_close_has_no_effect() {
    /// The reason of the close.
    #[derive(Clone, Copy, Debug)]
    enum CloseReason {
        Requested,
        Draining,
        Idle,
        Cancelled,
    }
    for reason in [
        CloseReason::Requested,
        CloseReason::Draining,
        CloseReason::Idle,
        CloseReason::Cancelled,
    ] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let mut link = pools.open_idle("p", &node);
        let cancelled =
            matches!(reason, CloseReason::Cancelled).then(|| pools.begin_request("a1", WRITE, 0));
        link.send(&ERROR[..9]).expect("the pools are there");
        let keys = pools.wait_for_events();
        match reason {
            CloseReason::Requested => pools.upstream.close_idle(&"p".into(), &mut pools.engine),
            CloseReason::Draining => {
                pools.apply_list(
                    false,
                    &[("p", EndpointState::Draining, Some(address_of(&node)))],
                );
                pools.apply_list(
                    false,
                    &[("p", EndpointState::Serving, Some(address_of(&node)))],
                );
            }
            CloseReason::Idle => pools.advance(NODE_IDLE_TIMEOUT),
            CloseReason::Cancelled => cancelled
                .iter()
                .for_each(|request| pools.engine.cancel_request(*request, pools.now)),
        }
        pools.settle();
        assert_eq!(pools.connection_counts(), (0, 0), "{reason:?}");
        keys.iter().for_each(|key| {
            pools
                .upstream
                .handle_event(*key, pools.now, &mut pools.engine)
        });
        let next = pools.begin_request("a2", WRITE, 0);
        serve_on_new_connection(&mut pools, &node, "a2", next);
        assert_eq!(cancelled.and_then(|request| pools.outcome(request)), None);
    }
}
