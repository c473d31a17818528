//! The formulas of replica selection, with expected values calculated by hand and checked by the attempts that are
//! sent.

mod common;

use common::*;
use plovercove::*;

fn session_read(id: RequestId, key: &str) -> RequestInfo {
    RequestInfo {
        session: Some(key.into()),
        ..request_info(id, OWN_WRITES)
    }
}

#[test]
fn ties_go_round_robin_from_the_routers_index() {
    let order = |index| {
        let mut harness = Harness::new(Settings {
            router_index: index,
            ..settings()
        });
        (1..=2)
            .map(|id| harness.send_request(request_info(id, ANY)).unwrap())
            .collect::<Vec<_>>()
    };
    assert_eq!(order(0), ["r2", "r1"]);
    assert_eq!(order(1), ["r1", "r2"]);
}

#[test]
fn load_in_flight_is_the_sum_of_costs() {
    // The first read costs C = 0.3 x 300 ms = 90 ms. At its node E = 90 + 90, at the other 90: the second read goes
    // there, and so on in alternation, never to the primary.
    let mut harness = Harness::new(settings());
    let targets: Vec<String> = (1..=4)
        .map(|id| harness.send_request(request_info(id, ANY)).unwrap())
        .collect();
    assert_ne!(targets[0], targets[1]);
    assert_ne!(targets[2], targets[3]);
    assert!(targets.iter().all(|h| h != "p"));
}

#[test]
fn weight_divides_the_load() {
    // E/W if both are idle: 90/1 and 90/4 = 22.5. With two reads in flight at the heavier one (90+90+90)/4 = 67.5 < 90,
    // with three (4 x 90)/4 = 90, a tie.
    let heavy = Endpoint {
        weight: 4.0,
        ..endpoint("r2", false)
    };
    let mut harness = Harness::with_endpoints(
        settings(),
        vec![endpoint("p", true), endpoint("r1", false), heavy],
    );
    for id in 1..=3 {
        assert_eq!(harness.send_request(request_info(id, ANY)).unwrap(), "r2");
    }
}

#[test]
fn similarity_returns_a_session_to_its_replica() {
    // The session's first read has ended. There SF = (1 + 1) / (1 + 1) = 1, so the read costs (1 - alpha) C against C
    // elsewhere: that replica wins, although round robin alone would choose the other.
    let mut harness = Harness::new(settings());
    let target = harness.send_request(session_read(1, "a")).unwrap();
    let replica = node_report(Role::Replica, harness.now);
    harness.end_attempt(1, 0, AttemptEnd::Success, replica);
    for id in 2..5 {
        assert_eq!(harness.send_request(session_read(id, "a")).unwrap(), target);
        harness.end_attempt(id, 0, AttemptEnd::Success, replica);
    }
}

#[test]
fn a_read_without_a_session_has_no_similarity() {
    let mut harness = Harness::new(settings());
    let first = harness.send_request(request_info(1, ANY)).unwrap();
    // It is answered in exactly the mean latency of the class, so that the nodes do not differ in slowness.
    let (end, no_report) = (AttemptEnd::Success, NodeReport::default());
    let (request, attempt, elapsed, request_over) = (1, 0, 90 * MS, true);
    harness.handle_event(Event::AttemptEnded {
        request,
        attempt,
        end,
        elapsed,
        request_over,
        answer_report: no_report,
        load_report: no_report,
    });
    let second = harness.send_request(request_info(2, ANY)).unwrap();
    assert_ne!(
        first, second,
        "two idle replicas get reads without a session in alternation"
    );
}

#[test]
fn crossing_a_zone_costs_a_share_of_the_read() {
    let far = Endpoint {
        zone: "there".into(),
        ..endpoint("r1", false)
    };
    let mut harness = Harness::with_endpoints(
        settings(),
        vec![endpoint("p", true), far, endpoint("r2", false)],
    );
    // Idle: 90 against 90 + crossing. With one read in flight at r2: 180 against 90 + crossing.
    assert_eq!(harness.send_request(request_info(1, ANY)).unwrap(), "r2");
    assert_eq!(harness.send_request(request_info(2, ANY)).unwrap(), "r1");
}
