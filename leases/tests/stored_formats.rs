//! Datagrams and files keep their bytes: routers of two versions talk to each other, and a file outlives the version that
//! wrote it. The fixtures were recorded with the version before the renaming of types.

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

/// What three routers say to each other in eight seconds, one of which hands over at the end: a line for each body, from, to
/// and bytes; and a line for each file that is to be kept.
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
fn bodies_and_files_are_those_that_the_version_before_wrote() {
    let recorded = include_str!("fixtures/exchange.txt");
    let written = record();
    for (line, (now, then)) in written.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(now, then, "line {}", line + 1);
    }
    assert_eq!(written.lines().count(), recorded.lines().count());
}

#[test]
fn a_file_of_the_version_before_is_read() {
    let recorded = include_str!("fixtures/exchange.txt");
    let file = recorded
        .lines()
        .find_map(|line| line.strip_prefix("file 0 "));
    let kept =
        PersistedState::decode(&unhex(file.expect("a file")), &rules(), "n0").expect("it is read");
    assert_eq!(
        (kept.installation.as_str(), kept.name.as_str()),
        ("test", "n0")
    );
    assert_eq!(
        (kept.generation, kept.max_lease_ms, kept.sealed_below),
        (1, 3_000, 1)
    );
    assert_eq!(kept.token_ceiling, Token(0));
}

#[test]
fn bodies_of_the_version_before_are_understood() {
    let recorded = include_str!("fixtures/exchange.txt");
    let mut listener = router(0);
    let bodies = recorded
        .lines()
        .filter_map(|line| line.strip_prefix("body "));
    let mut count = 0;
    for body in bodies {
        let mut words = body.split(' ');
        let from: usize = words.next().unwrap().parse().unwrap();
        let to = words.next().unwrap();
        if to == "0" {
            listener.receive(BEGIN, &member(from), &unhex(words.next().unwrap()), 0);
            count += 1;
        }
    }
    assert!(count > 10, "{count} bodies were recorded for it");
    assert_eq!(listener.counts().malformed, 0);
}
