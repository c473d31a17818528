//! The sentences of the operators' standing test that one router can be held against, on stand-ins. The watch has a file
//! of its own; what needs a fleet is played by the model. docs/standing.md says which test holds which sentence.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome};
use standing_fleet::{DEADLINE, HANGS, Start, ask, group, listing, statement, with_status};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// New connections keep coming for so long after SIGTERM, at the longest.
const NEWCOMERS: Duration = Duration::from_millis(400);
/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM; what comes later than this may go unanswered.
const KILL_AFTER: Duration = Duration::from_millis(700);
/// Operators give a router so long to be ready.
const READY: Duration = Duration::from_secs(30);

/// A client that writes and reads the protocol itself: what came of a connection is seen to the byte.
struct Raw(TcpStream);

/// What ended a wait for an answer.
#[derive(Debug, PartialEq, Eq)]
enum Heard {
    /// A row and `ReadyForQuery`.
    Row,
    /// An error of this code.
    Error(String),
    /// Ready, and nothing said before: greeted, or the answer to an empty query.
    Ready,
    /// The connection is at its end and not one byte of an answer came.
    Closed,
}

impl Raw {
    fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(HANGS))?;
        stream.set_nodelay(true)?;
        Ok(Raw(stream))
    }

    fn greet(&mut self) -> io::Result<()> {
        self.0.write_all(b"\0\0\0\x11\0\x03\0\0user\0me\0\0")
    }

    fn query(&mut self, text: &str) -> io::Result<()> {
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.0
            .write_all(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat())
    }

    /// Reads up to `ReadyForQuery`, a fatal error or the end.
    fn hear(&mut self) -> Heard {
        let mut heard = None;
        loop {
            let mut head = [0; 5];
            match self.0.read_exact(&mut head) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    panic!("no answer, and the connection stays open")
                }
                Err(_) => return heard.unwrap_or(Heard::Closed),
                Ok(()) => {}
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            if self.0.read_exact(&mut body).is_err() {
                return heard.unwrap_or(Heard::Closed);
            }
            match head[0] {
                b'D' => heard = Some(Heard::Row),
                b'E' => {
                    let fields = body
                        .split(|b| *b == 0)
                        .map(|f| String::from_utf8_lossy(f).into_owned());
                    let code = fields
                        .into_iter()
                        .find_map(|f| f.strip_prefix('C').map(str::to_string));
                    heard = Some(Heard::Error(code.unwrap_or_default()));
                }
                b'Z' => return heard.unwrap_or(Heard::Ready),
                _ => {}
            }
        }
    }
}

/// Greeted, and an empty query answered: ready for work.
fn ready(to: SocketAddr) -> bool {
    let mut client = Raw::connect(to).expect("it listens");
    client
        .greet()
        .and_then(|()| client.query(""))
        .expect("it reads");
    client.hear() == Heard::Ready && client.hear() == Heard::Ready
}

/// What a client saw until its connection was at its end.
struct Seen {
    /// When each request was written whole, and its id.
    sent: Vec<(Instant, String)>,
    /// So many of them were answered; they are answered in order.
    answered: usize,
}

/// A client that keeps so many requests unanswered on its one connection for as long as that is open.
fn insistent(to: SocketAddr, name: usize, ahead: usize) -> JoinHandle<Seen> {
    std::thread::spawn(move || {
        let mut client = Raw::connect(to).expect("it listens");
        client.greet().expect("it reads");
        assert_eq!(client.hear(), Heard::Ready);
        let mut seen = Seen {
            sent: Vec::new(),
            answered: 0,
        };
        loop {
            while seen.sent.len() < seen.answered + ahead {
                let id = format!("{name:x}{:06x}", seen.sent.len());
                if client.query(&statement(&id, "look")).is_err() {
                    break;
                }
                seen.sent.push((Instant::now(), id));
            }
            match client.hear() {
                Heard::Closed => return seen,
                _ => seen.answered += 1,
            }
        }
    })
}

/// A router that serves on a list that its agent has told, and what must outlive it.
fn served(
    name: &str,
    manners: [NodeBehavior; 3],
    sockets: u32,
) -> (Process, Vec<Node>, Agent, impl Sized) {
    let (nodes, entries) = group(manners);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::before(name, &agent, &entries)
    }
    .run();
    assert!(agent.wait_for_calls(2, HANGS), "the list is followed");
    (router, nodes, agent, folder)
}

#[test]
fn a_planned_restart_loses_nothing_that_was_taken_while_clients_send_on() {
    // Danger: clients send on every connection that stays open up to SIGKILL, and what was taken must be answered.
    let (mut router, nodes, _agent, _folder) =
        served("standing-restart", [NodeBehavior::Slow; 3], 512);
    let listen = router.listen();
    // Half ask once at a time, the others always have a further request on the way.
    let clients: Vec<_> = (0..12)
        .map(|n| insistent(listen, n + 16, 1 + n % 2))
        .collect();
    let busy = Instant::now() + HANGS;
    while nodes.iter().map(|n| n.ran().len()).sum::<usize>() < 24 {
        assert!(Instant::now() < busy, "{:?}", router.lines());
        std::thread::sleep(Duration::from_millis(5));
    }
    let term = Instant::now();
    router.send_signal(ProcessSignal::Term);
    let mut newcomers = 0;
    while term.elapsed() < NEWCOMERS {
        newcomers += 1;
        let id = format!("f{newcomers:06x}");
        assert_eq!(
            ask(&mut RequestClient::new(listen), &id, "look"),
            RequestOutcome::Served,
            "at {:?}",
            term.elapsed()
        );
    }
    assert!(newcomers >= 2, "{newcomers} came");
    let kill = term + DEADLINE + KILL_AFTER;
    router.wait_for_exit(kill.saturating_duration_since(Instant::now()));
    router.send_signal(ProcessSignal::Kill);
    let seen: Vec<Seen> = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .collect();
    let ran: Vec<_> = nodes.iter().map(Node::ran).collect();
    let mut after = 0;
    for client in &seen {
        after += client
            .sent
            .iter()
            .take(client.answered)
            .filter(|(at, _)| *at > term)
            .count();
        for (at, id) in &client.sent[client.answered..] {
            let taken = ran.iter().any(|node| node.contains_key(id));
            let spared = *at > term + KILL_AFTER;
            assert!(
                !taken || spared,
                "{id} was taken {:?} after SIGTERM and lost",
                at.saturating_duration_since(term)
            );
        }
    }
    assert!(
        after >= 6,
        "only {after} requests were sent after SIGTERM and answered"
    );
}

#[test]
fn who_came_just_before_the_listener_closed_is_answered() {
    // Danger: taken in and closed with its request on the way, it would be a connection closed without an answer.
    let (mut router, _nodes, _agent, _folder) =
        served("standing-late-comer", [NodeBehavior::Healthy; 3], 512);
    let listen = router.listen();
    let (mut silent, mut greeted) = (
        Raw::connect(listen).expect("up"),
        Raw::connect(listen).expect("up"),
    );
    greeted.greet().expect("it reads");
    assert_eq!(greeted.hear(), Heard::Ready);
    router.send_signal(ProcessSignal::Term);
    let until = Instant::now() + HANGS;
    // The connections that it leaves waiting are not taken in any more once this is refused.
    while TcpStream::connect(listen).is_ok() {
        assert!(Instant::now() < until, "it takes clients in for ever");
        std::thread::sleep(Duration::from_millis(2));
    }
    silent
        .greet()
        .and_then(|()| silent.query(&statement("a1", "look")))
        .expect("it reads");
    greeted.query(&statement("a2", "look")).expect("it reads");
    assert_eq!((silent.hear(), silent.hear()), (Heard::Ready, Heard::Row));
    assert_eq!(greeted.hear(), Heard::Row);
    assert!(
        router
            .wait_for_exit(HANGS)
            .is_some_and(|status| status.success())
    );
}

#[test]
fn who_never_asks_is_told_before_it_is_closed_and_holds_up_no_end() {
    let (mut router, _nodes, _agent, _folder) =
        served("standing-mute", [NodeBehavior::Healthy; 3], 512);
    let mut mute = Raw::connect(router.listen()).expect("up");
    // One that has asked before, and has begun a message that it never ends.
    let mut half = Raw::connect(router.listen()).expect("up");
    half.greet()
        .and_then(|()| half.query(&statement("a1", "look")))
        .expect("it reads");
    assert_eq!((half.hear(), half.hear()), (Heard::Ready, Heard::Row));
    half.0.write_all(b"Q\0\0").expect("it reads");
    assert!(
        ready(router.listen()),
        "the mute one has been taken in before"
    );
    let term = Instant::now();
    router.send_signal(ProcessSignal::Term);
    assert_eq!(mute.hear(), Heard::Error("53300".into()));
    assert!(
        router
            .wait_for_exit(HANGS)
            .is_some_and(|status| status.success())
    );
    assert!(
        term.elapsed() < DEADLINE + KILL_AFTER,
        "it ended after {:?}",
        term.elapsed()
    );
}

#[test]
fn out_of_places_everyone_is_told_though_some_say_nothing() {
    // Danger: a connection that is closed without a word counts as refused, and many of them as lost. Eight beyond the
    // limit are told at a time. All places are held by requests on slow nodes, and mute ones come first. The requests are
    // writes that have been sent: others use their attempts up within the 300 ms that the mute ones have, and free the
    // places again.
    let (router, _nodes, _agent, _folder) =
        served("standing-places", [NodeBehavior::HangOnStatement; 3], 64);
    let listen = router.listen();
    let mut held = Vec::new();
    // All places are taken, however many there are, once one that comes is told so.
    loop {
        let mut client = Raw::connect(listen).expect("up");
        client.greet().expect("it reads");
        match client.hear() {
            Heard::Ready => client
                .query(&statement(&format!("b{:x}", held.len()), "book"))
                .expect("it reads"),
            heard => break assert_eq!(heard, Heard::Error("53300".into())),
        }
        held.push(client);
    }
    let mut mute: Vec<Raw> = (0..8).map(|_| Raw::connect(listen).expect("up")).collect();
    let came = Instant::now();
    let mut late: Vec<Raw> = (0..8).map(|_| Raw::connect(listen).expect("up")).collect();
    for client in &mut late {
        client
            .greet()
            .and_then(|()| client.query(&statement("c", "look")))
            .expect("it reads");
    }
    for client in late.iter_mut().chain(&mut mute) {
        assert_eq!(client.hear(), Heard::Error("53300".into()));
    }
    assert!(
        came.elapsed() < Duration::from_millis(800),
        "told after {:?}, when nobody waits",
        came.elapsed()
    );
    for client in &mut held {
        assert!(
            matches!(client.hear(), Heard::Error(_)),
            "who was in has an answer, too"
        );
    }
}

#[test]
fn a_crowd_that_comes_at_once_is_answered_one_by_one() {
    // Danger: those who have come and not spoken yet give way to the next, and would be closed without a word.
    let (router, _nodes, _agent, _folder) =
        served("standing-crowd", [NodeBehavior::Healthy; 3], 64);
    let listen = router.listen();
    let mut crowd: Vec<Raw> = (0..80).map(|_| Raw::connect(listen).expect("up")).collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        // One that has been told and closed already reads no more.
        let _ = client
            .greet()
            .and_then(|()| client.query(&statement(&format!("d{n:x}"), "look")));
    }
    let mut served = 0;
    for client in &mut crowd {
        match client.hear() {
            Heard::Ready => served += usize::from(client.hear() == Heard::Row),
            heard => assert_eq!(heard, Heard::Error("53300".into())),
        }
    }
    assert!(served >= 8, "{served} of 80 were served");
}

#[test]
fn what_was_never_sent_on_is_refused_not_failed() {
    // Danger: a failure says that the outcome is unknown, and a client must not come again with a write.
    for (n, primary) in [
        NodeBehavior::RefuseConnection,
        NodeBehavior::CloseOnConnect,
        NodeBehavior::Silent,
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("standing-unsent-{n}");
        let (router, nodes, _agent, _folder) = served(&name, [primary; 3], 512);
        let mut client = RequestClient::new(router.listen());
        for k in 0..4 {
            let fate = ask(&mut client, &format!("e{k}"), "book");
            assert_eq!(
                fate,
                RequestOutcome::Refused,
                "a write to nodes that are all {primary:?}"
            );
        }
        assert!(
            nodes
                .iter()
                .all(|node| !node.ran().keys().any(|id| id.starts_with('e'))),
            "{primary:?}"
        );
    }
}

#[test]
fn it_is_ready_whatever_discovery_does_at_the_start() {
    let (_nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let whole = listing(42, &entries);
    let starts = [
        ("nothing", Some(AgentReply::Silence)),
        ("closes", Some(AgentReply::Close)),
        ("refused", None),
        ("503", Some(AgentReply::Status(503))),
        (
            "garbage",
            Some(AgentReply::Body("\u{0}\u{1}]]{\"index\":".into())),
        ),
        ("other", Some(AgentReply::Body("[1, 2, 3]".into()))),
        ("nobody", Some(AgentReply::Body(listing(42, &[])))),
        ("half", Some(AgentReply::FirstHalf(whole.clone()))),
        ("head", Some(AgentReply::FirstBytes(whole, 17))),
    ];
    let one = |(name, says): (&str, Option<AgentReply>)| {
        for known in [&entries[..], &[]] {
            let agent = Agent::start(says.iter().cloned().collect()).expect("an agent");
            let free = TcpListener::bind("127.0.0.1:0")
                .and_then(|l| l.local_addr())
                .expect("a port");
            let mut start = Start::before("", &agent, known);
            let folder = format!("standing-ready-{name}-{}", known.len());
            start.name = &folder;
            if says.is_none() {
                start.agent = free.to_string();
            }
            let begun = Instant::now();
            let (router, _folder) = start.run();
            assert!(ready(router.listen()), "{name}");
            if !known.is_empty() {
                let fate = ask(&mut RequestClient::new(router.listen()), "a7", "look");
                assert_eq!(
                    fate,
                    RequestOutcome::Served,
                    "{name}: what it remembers is enough to serve"
                );
            }
            assert!(
                begun.elapsed() < READY,
                "{name}: ready after {:?}",
                begun.elapsed()
            );
        }
    };
    std::thread::scope(|all| {
        starts
            .into_iter()
            .for_each(|start| drop(all.spawn(move || one(start))))
    });
}

/// The same JSON, with white space wherever it may stand.
fn indented(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let spread = serde_json::to_string_pretty(&value).expect("JSON");
    format!(
        "\r\n\t {}\n\r\n",
        spread.replace('\n', "\r\n\t").replace(": ", " \t:\n ")
    )
}

#[test]
fn lists_may_come_indented() {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let changes = |index, entries: &[serde_json::Value]| {
        indented(&listing(index, entries)).replace("true", "false")
    };
    let agent =
        Agent::start(vec![AgentReply::Body(indented(&listing(42, &entries)))]).expect("an agent");
    let (router, _folder) = Start::before("standing-indented", &agent, &[]).run();
    assert!(agent.wait_for_calls(2, HANGS), "{:?}", router.lines());
    let mut client = RequestClient::new(router.listen());
    assert_eq!(
        ask(&mut client, "a1", "look"),
        RequestOutcome::Served,
        "{:?}",
        router.lines()
    );
    agent.push_reply(AgentReply::Body(changes(
        43,
        &with_status(&entries, 1, "left")[1..2],
    )));
    assert!(
        agent.wait_for_calls(3, HANGS) && agent.calls()[2].contains("after=43"),
        "{:?}",
        router.lines()
    );
    let before = nodes[1].ran().len();
    for n in 0..20 {
        assert_eq!(
            ask(&mut client, &format!("b{n:x}"), "look"),
            RequestOutcome::Served
        );
    }
    assert_eq!(
        nodes[1].ran().len(),
        before,
        "a node that is gone gets nothing"
    );
    assert!(
        !router.lines().iter().any(|l| l.contains("stays as it is")),
        "{:?}",
        router.lines()
    );
}

/// Asks often enough that a node in use would get some: this one, whose going the router has followed, gets nothing.
fn spares(router: &Process, node: &Node) {
    let mut client = RequestClient::new(router.listen());
    let before = node.ran().len();
    for n in 0..40 {
        assert_eq!(
            ask(&mut client, &format!("f{n:04x}"), "look"),
            RequestOutcome::Served
        );
    }
    assert_eq!(
        node.ran().len(),
        before,
        "a node that goes gets nothing new"
    );
}

#[test]
fn a_new_process_asks_before_it_serves_and_follows_at_once() {
    // Danger: what the agent has counts as told from the first moment, whatever the process remembers.
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    for pushed in [false, true] {
        let agent = Agent::start(vec![AgentReply::Body(listing(
            42,
            &with_status(&entries, 2, "left"),
        ))])
        .expect("an agent");
        let name = format!("standing-new-{pushed}");
        let begun = Instant::now();
        let (router, _folder) = Start {
            pushed,
            ..Start::before(&name, &agent, &entries)
        }
        .run();
        assert!(agent.wait_for_calls(2, HANGS), "{:?}", router.lines());
        let asked = agent.times()[0].0 - begun;
        assert!(
            asked < Duration::from_secs(2),
            "the first call came {asked:?} after the start"
        );
        spares(&router, &nodes[2]);
    }
}

#[test]
fn what_changed_while_no_watch_was_open_is_asked_for_at_once() {
    // Danger: with pushed lists it counts as told though no watch is open.
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    for pushed in [false, true] {
        let agent = Agent::start(vec![
            AgentReply::Body(listing(42, &entries)),
            AgentReply::Close,
        ])
        .expect("an agent");
        agent.push_reply(AgentReply::Body(listing(
            43,
            &with_status(&entries, 2, "leaving"),
        )));
        let name = format!("standing-outage-{pushed}");
        let (router, _folder) = Start {
            pushed,
            ..Start::before(&name, &agent, &entries)
        }
        .run();
        assert!(agent.wait_for_calls(4, HANGS), "{:?}", router.lines());
        let times = agent.times();
        let pause = times[2].0 - times[1].1.expect("it closed");
        assert!(
            pause < Duration::from_millis(1_300),
            "it came back after {pause:?}"
        );
        spares(&router, &nodes[2]);
    }
}

#[test]
fn a_moved_discovery_is_followed_within_four_seconds() {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    // Its versions are counted anew, from below.
    let next = Agent::start(vec![AgentReply::Body(listing(
        3,
        &with_status(&entries, 2, "leaving"),
    ))])
    .expect("an agent");
    let start = Start::before("standing-moved", &agent, &entries);
    let (mut router, folder) = start.run();
    assert!(agent.wait_for_calls(2, HANGS), "{:?}", router.lines());
    folder
        .write("config.json", &start.config(&next.address().to_string()))
        .expect("a file");
    let struck = Instant::now();
    router.send_signal(ProcessSignal::Reload);
    assert!(next.wait_for_calls(2, HANGS), "{:?}", router.lines());
    let followed = next.times()[1].0;
    assert!(
        followed - struck < Duration::from_secs(4),
        "followed after {:?}",
        followed - struck
    );
    spares(&router, &nodes[2]);
}
