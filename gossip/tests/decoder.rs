//! Arbitrary datagrams, with and without a valid tag: they cause no panic, and each is counted.

mod common;

use common::{BEGIN, Net, S, address, keys};
use plovercove_gossip::{Envelope, Incarnation, Observation, Part, Record, Rules};
use proptest::prelude::*;
use rand::RngExt;

fn incarnation(port: usize, boot: u64) -> Incarnation {
    Incarnation {
        address: address(port),
        boot: BEGIN + boot,
        renewals: 0,
        name: format!("x{port}"),
        zone: "z".into(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn datagrams_with_a_valid_tag_are_accepted_or_counted_as_dropped(
        datagrams in prop::collection::vec(
            (20usize..26, 0u64..3, any::<u64>(), any::<u64>(),
             prop::collection::vec((0u8..7, prop::collection::vec(any::<u8>(), 0..200)), 0..5)), 1..20)
    ) {
        let valid_keys = keys(common::KEY);
        let mut net = Net::new(1, 1, 1, Rules::default());
        let mut sent = 0;
        for (port, boot, seq, clock_ms, parts) in datagrams {
            let parts = parts.into_iter().map(|(kind, body)| Part { kind, body }).collect();
            let Some(sealed) = valid_keys.seal(&Envelope { from: incarnation(port, boot), seq, clock_ms, parts }) else { continue };
            sent += 1;
            net.inject(0, &sealed);
            net.run(S / 100);
        }
        let counts = net.routers[0].gossip.counts();
        prop_assert_eq!(counts.received.0 + counts.dropped.values().sum::<u64>(), sent);
    }
}

#[test]
fn corrupted_datagrams_are_dropped_and_the_fleet_continues() {
    // The datagrams are those of a running fleet. Each is sent a second time with a changed bit, cut off or repeated.
    let mut net = Net::new(6, 2, 11, Rules::default());
    net.run_until_joined();
    let before: u64 = net
        .routers
        .iter()
        .map(|router| router.gossip.counts().dropped.values().sum::<u64>())
        .sum();
    net.corruption = Some(Box::new(|bytes, rng| {
        let mut corrupted = bytes.to_vec();
        match rng.random_range(0..4) {
            0 => corrupted.truncate(rng.random_range(0..bytes.len())),
            1 => corrupted.extend_from_slice(bytes),
            _ => {
                let position = rng.random_range(0..bytes.len());
                corrupted[position] ^= 1 << rng.random_range(0..8);
            }
        }
        corrupted
    }));
    net.run(20 * S);
    net.corruption = None;
    net.run(S);
    let after: u64 = net
        .routers
        .iter()
        .map(|router| router.gossip.counts().dropped.values().sum::<u64>())
        .sum();
    assert!(
        net.corrupted > 100 && after - before == net.corrupted,
        "{} corrupted, {} dropped",
        net.corrupted,
        after - before
    );
    assert!(
        net.member_counts().iter().all(|n| *n == 6),
        "{:?}",
        net.member_counts()
    );
}

#[test]
fn unknown_kinds_of_a_newer_version_are_skipped() {
    // Otherwise all old routers would drop the datagrams of the first router of a new version during a rolling upgrade.
    let valid_keys = keys(common::KEY);
    let mut net = Net::new(1, 1, 1, Rules::default());
    let observation = Observation {
        no_reply: 30,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    let record = Record::from_observation(&incarnation(20, 1), 1, &"s1".into(), None, &observation)
        .expect("small");
    let newer = Record {
        kind: 99,
        subject: "something else".into(),
        body: vec![7; 40],
        ..record.clone()
    };
    let parts = [newer, record]
        .iter()
        .filter_map(Record::to_part)
        .collect::<Vec<_>>();
    let body = parts.iter().flat_map(|p| p.body.clone()).collect();
    let parts = vec![
        Part {
            kind: 200,
            body: vec![1; 30],
        },
        Part {
            kind: parts[0].kind,
            body,
        },
    ];
    let sealed = valid_keys
        .seal(&Envelope {
            from: incarnation(20, 1),
            seq: 1,
            clock_ms: 1,
            parts,
        })
        .expect("small");
    net.inject(0, &sealed);
    let router = &net.routers[0];
    assert_eq!(
        (
            router.gossip.counts().unknown_records,
            router.gossip.snapshot(&router.observer).records
        ),
        (1, 1)
    );
    assert_eq!(
        router.gossip.counts().received.0,
        1,
        "the datagram is valid"
    );
}
