//! The placement formulas with figures worked out by hand, seen through the sends they cause.

mod common;

use common::*;
use plovercove::*;

fn session_read(id: RequestId, key: &str) -> RequestInfo {
    RequestInfo {
        session: Some(key.into()),
        ..demand(id, SESSION)
    }
}

#[test]
fn ties_go_round_robin_from_the_routers_number() {
    let order = |index| {
        let mut rig = Rig::new(Settings {
            router_index: index,
            ..settings()
        });
        (1..=2)
            .map(|id| rig.request(demand(id, ANY)).unwrap())
            .collect::<Vec<_>>()
    };
    assert_eq!(order(0), ["r2", "r1"]);
    assert_eq!(order(1), ["r1", "r2"]);
}

#[test]
fn load_in_flight_is_the_sum_of_costs() {
    // The first read is charged C = 0.3 x 300 ms = 90 ms. At its node E = 90 + 90, at the other 90: the second goes
    // there, and so on by turns, never to the primary.
    let mut rig = Rig::new(settings());
    let homes: Vec<String> = (1..=4)
        .map(|id| rig.request(demand(id, ANY)).unwrap())
        .collect();
    assert_ne!(homes[0], homes[1]);
    assert_ne!(homes[2], homes[3]);
    assert!(homes.iter().all(|h| h != "p"));
}

#[test]
fn weight_divides_the_load() {
    // E/W when both are idle: 90/1 and 90/4 = 22.5. With two reads out at the heavy one (90+90+90)/4 = 67.5 < 90,
    // with three (4 x 90)/4 = 90, a tie.
    let heavy = Endpoint {
        weight: 4.0,
        ..entry("r2", false)
    };
    let mut rig = Rig::with(
        settings(),
        vec![entry("p", true), entry("r1", false), heavy],
    );
    for id in 1..=3 {
        assert_eq!(rig.request(demand(id, ANY)).unwrap(), "r2");
    }
}

#[test]
fn similarity_draws_a_session_back_to_its_replica() {
    // The session's first read is over. SF there = (1 + 1) / (1 + 1) = 1, so its cost is (1 - alpha) C against C
    // elsewhere: it wins, though round-robin alone would go to the other.
    let mut rig = Rig::new(settings());
    let home = rig.request(session_read(1, "a")).unwrap();
    let replica = says(Role::Replica, rig.now);
    rig.ends(1, 0, AttemptEnd::Success, replica);
    for id in 2..5 {
        assert_eq!(rig.request(session_read(id, "a")).unwrap(), home);
        rig.ends(id, 0, AttemptEnd::Success, replica);
    }
}

#[test]
fn a_read_without_a_key_resembles_nothing() {
    let mut rig = Rig::new(settings());
    let first = rig.request(demand(1, ANY)).unwrap();
    // Answered just as fast as the class's mean, so that speed tells nothing apart.
    let (ending, said) = (AttemptEnd::Success, NodeReport::default());
    let (request, attempt, elapsed, over) = (1, 0, 90 * MS, true);
    rig.event(Event::AttemptEnded {
        request,
        attempt,
        end: ending,
        elapsed,
        request_over: over,
        answer_report: said,
        load_report: said,
    });
    let second = rig.request(demand(2, ANY)).unwrap();
    assert_ne!(first, second, "an idle pair shares keyless reads by turns");
}

#[test]
fn crossing_a_zone_costs_a_share_of_the_read() {
    let far = Endpoint {
        zone: "there".into(),
        ..entry("r1", false)
    };
    let mut rig = Rig::with(settings(), vec![entry("p", true), far, entry("r2", false)]);
    // Idle: 90 against 90 + crossing. One out at r2: 180 against 90 + crossing.
    assert_eq!(rig.request(demand(1, ANY)).unwrap(), "r2");
    assert_eq!(rig.request(demand(2, ANY)).unwrap(), "r1");
}
