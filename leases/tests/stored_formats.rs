//! The encoding of messages and files does not change: routers of two versions exchange messages, and a file outlives the
//! version that wrote it. The fixtures were recorded with the version before types were renamed.

use plovercove::Time;
use plovercove_fencing::{LeaseName, Token};
use plovercove_leases::{
    LeaseManager, Member, PersistedState, Rules, VoterConfig, VoterSet, WantedLease,
};
use std::net::SocketAddr;

const BEGIN: Time = 1_000_000_000;
const STEP: Time = 50_000;
const ROUTERS: usize = 3;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + n as u16))
}

fn member(n: usize) -> Member {
    Member {
        name: format!("n{n}"),
        zone: "a".into(),
        address: address(n),
        incarnation: BEGIN + n as u64,
    }
}

fn rules() -> Rules {
    let voter = |n: usize| VoterConfig {
        name: format!("n{n}"),
        address: address(n),
    };
    Rules {
        installation: "test".into(),
        voters: VoterSet {
            generation: 1,
            members: (0..ROUTERS).map(voter).collect(),
            previous: Vec::new(),
        },
        lease_ms: 3_000,
        retry_ms: 200,
        ..Rules::default()
    }
}

fn wanted() -> Vec<WantedLease> {
    let names = ["positions/1", "positions/2", "gateway/a"];
    let lease = |name: &&str| LeaseName::new(name).expect("a good name");
    let zone = |name: &str| name.starts_with("gateway").then(|| "a".to_string());
    names
        .iter()
        .map(|name| WantedLease {
            lease: lease(name),
            zone: zone(name),
        })
        .collect()
}

fn router(n: usize) -> LeaseManager {
    let mut manager = LeaseManager::new(
        rules(),
        member(n),
        ROUTERS as u32,
        BEGIN,
        7 + n as u64,
        None,
    );
    manager.set_wanted(BEGIN, wanted());
    manager.set_members(BEGIN, (0..ROUTERS).map(member).collect());
    manager
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.map(byte).collect()
}

/// Returns the messages of three routers within eight seconds, one of which hands its leases over at the end. A line
/// `body` has the sender, the receiver and the bytes; a line `file` has the voter and the content of its file.
fn record() -> String {
    let mut routers: Vec<LeaseManager> = (0..ROUTERS).map(router).collect();
    let mut lines = Vec::new();
    for step in 0..160 {
        let now = BEGIN + step * STEP;
        for n in 0..ROUTERS {
            if step == 140 && n == 1 {
                routers[n].hand_over_all(now);
            }
            routers[n].turn(now);
            if let Some(file) = routers[n].take_pending_write() {
                lines.push(format!("file {n} {}", hex(&file)));
                routers[n].complete_write(now);
            }
            for (to, body) in routers[n].take_outbox() {
                let to = usize::from(to.port() - 7_000);
                lines.push(format!("body {n} {to} {}", hex(&body)));
                routers[to].receive(now, &member(n), &body, 0);
            }
        }
    }
    lines.join("\n") + "\n"
}

#[test]
fn messages_and_files_equal_those_of_the_previous_version() {
    let recorded = include_str!("fixtures/exchange.txt");
    let written = record();
    for (line, (actual, expected)) in written.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(actual, expected, "line {}", line + 1);
    }
    assert_eq!(written.lines().count(), recorded.lines().count());
}

#[test]
fn a_file_of_the_previous_version_is_decoded() {
    let recorded = include_str!("fixtures/exchange.txt");
    let file = recorded
        .lines()
        .find_map(|line| line.strip_prefix("file 0 "));
    let state = PersistedState::decode(&unhex(file.expect("a file")), &rules(), "n0")
        .expect("a valid file");
    assert_eq!(
        (state.installation.as_str(), state.name.as_str()),
        ("test", "n0")
    );
    assert_eq!(
        (state.generation, state.max_lease_ms, state.sealed_below),
        (1, 3_000, 1)
    );
    assert_eq!(state.token_ceiling, Token(0));
}

#[test]
fn messages_of_the_previous_version_are_decoded() {
    let recorded = include_str!("fixtures/exchange.txt");
    let mut receiver = router(0);
    let bodies = recorded
        .lines()
        .filter_map(|line| line.strip_prefix("body "));
    let mut count = 0;
    for body in bodies {
        let mut fields = body.split(' ');
        let from: usize = fields.next().unwrap().parse().unwrap();
        let to = fields.next().unwrap();
        if to == "0" {
            receiver.receive(BEGIN, &member(from), &unhex(fields.next().unwrap()), 0);
            count += 1;
        }
    }
    assert!(count > 10, "{count} messages to router 0 were recorded");
    assert_eq!(receiver.counts().malformed, 0);
}
