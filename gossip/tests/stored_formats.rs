//! Datagrams keep their encoding, so that routers of two versions understand each other. The fixture was recorded with the
//! version before types were renamed.

use plovercove::{Access, AttemptEnd, DedupScope, Idempotency};
use plovercove::{Class, Endpoint, EndpointUpdate, LocalityPolicy, RoutingQuery, Settings, Time};
use plovercove_gossip::{Gossip, Incarnation, Keys, Observer, Rules};
use std::net::SocketAddr;

const BEGIN: Time = 1_000_000_000_000;
const STEP: Time = 50_000;
const ROUTERS: usize = 3;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16))
}

fn incarnation(n: usize) -> Incarnation {
    Incarnation {
        address: address(n),
        boot: BEGIN + n as u64,
        renewals: 0,
        name: format!("n{n}"),
        zone: "a".into(),
    }
}

fn rules() -> Rules {
    Rules {
        seeds: (0..ROUTERS).map(address).collect(),
        routers: ROUTERS as u32,
        ..Rules::default()
    }
}

fn settings() -> Settings {
    let class = Class {
        name: "look".into(),
        access: Access::Any,
        latency_objective: 300_000,
        objective_per_cost: 0.0,
        deadline: 1_000_000,
        priority_weight: 1.0,
        late_weight_share: 0.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::Group,
        dedup_window: 0,
        stream: false,
    };
    Settings {
        classes: vec![class],
        ..Settings::default()
    }
}

struct Router {
    gossip: Gossip,
    observer: Observer,
}

fn keys() -> Keys {
    Keys::new("test", b"a key that only tests know of", None).expect("long enough")
}

fn router(n: usize) -> Router {
    let mut observer = Observer::new(&rules(), &settings(), None);
    let node = |name: &str| Endpoint {
        node: name.into(),
        zone: "a".into(),
        group: 1,
        weight: 1.0,
        ..Endpoint::default()
    };
    let nodes = vec![node("good"), node("bad")];
    observer.endpoints_changed(BEGIN, &EndpointUpdate::Full(nodes));
    Router {
        gossip: Gossip::new(rules(), keys(), incarnation(n), BEGIN, 7 + n as u64),
        observer,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.map(byte).collect()
}

/// Returns one line for each datagram that three routers send within ten seconds while one of two nodes fails.
fn record() -> String {
    let mut routers: Vec<Router> = (0..ROUTERS).map(router).collect();
    let mut lines = Vec::new();
    for step in 0..200 {
        let now = BEGIN + step * STEP;
        for n in 0..ROUTERS {
            let observer = &mut routers[n].observer;
            for (node, end) in [("good", AttemptEnd::Success), ("bad", AttemptEnd::TimedOut)] {
                let query = RoutingQuery {
                    request: step,
                    class: 0,
                    is_write: false,
                };
                observer.attempt_sent(now, &query, &node.into());
                observer.attempt_ended(now, &query, &node.into(), end, 20_000);
            }
            let Router { gossip, observer } = &mut routers[n];
            gossip.turn(now, observer);
            for (to, bytes) in gossip.take_outgoing() {
                let to = usize::from(to.port() - 7_000);
                lines.push(format!("{n} {to} {}", hex(&bytes)));
                routers[to].gossip.receive(now, &bytes);
            }
        }
    }
    lines.join("\n") + "\n"
}

#[test]
fn datagrams_equal_those_of_the_previous_version() {
    let recorded = include_str!("fixtures/datagrams.txt");
    let written = record();
    for (line, (written_line, recorded_line)) in written.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(written_line, recorded_line, "line {}", line + 1);
    }
    assert_eq!(written.lines().count(), recorded.lines().count());
}

#[test]
fn datagrams_of_the_previous_version_are_accepted() {
    let recorded = include_str!("fixtures/datagrams.txt");
    let mut listener = router(0);
    for (step, line) in recorded.lines().enumerate() {
        let mut words = line.split(' ');
        let (sender, receiver) = (words.next().unwrap(), words.next().unwrap());
        if receiver == "0" && sender != "0" {
            let now = BEGIN + step as Time * 1_000;
            listener.gossip.receive(now, &unhex(words.next().unwrap()));
        }
    }
    let counts = listener.gossip.counts();
    assert!(counts.received.0 > 10, "{counts:?}");
    assert!(counts.dropped.is_empty(), "{:?}", counts.dropped);
}
