//! A former primary that has told the router that it is a replica must not serve reads as the primary again before it claims
//! to be one, whatever the endpoint list says: the list is seconds late, or shows the roles of the start.

mod common;

use common::*;
use plovercove::*;

/// A time after which no rule may have forgotten that a node is a replica.
const LONG: Micros = 60_000 * MS;

fn settings_without_checks(role_source: RoleSource) -> Settings {
    Settings {
        replica_check: ReplicaCheck::None,
        role_source,
        health_checks_allowed: true,
        reports: ReportSource::HealthChecks,
        ..settings()
    }
}

fn list() -> Vec<Endpoint> {
    vec![
        endpoint("p", true),
        endpoint("r1", false),
        endpoint("r2", false),
    ]
}

fn update_list(harness: &mut Harness, endpoints: Vec<Endpoint>) {
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Full(endpoints)));
}

/// Returns a router that has been told by an answer of `p`, the listed primary, that `p` is a replica.
fn router_after_denial(role_source: RoleSource) -> Harness {
    let mut harness = Harness::with_endpoints(settings_without_checks(role_source), list());
    assert_eq!(
        harness.send_request(request_info(1, LATEST)).as_deref(),
        Some("p"),
        "at the start the list is all there is"
    );
    let report = node_report(Role::Replica, harness.now - 9_000 * MS);
    harness.end_attempt(1, 0, AttemptEnd::Success, report);
    harness
}

fn report(harness: &mut Harness, node: &str, role: Role, position: Time) {
    harness.handle_event(Event::HealthChecked {
        node: node.into(),
        answered: true,
        load_report: node_report(role, position),
    });
}

fn polled_nodes(actions: &[Action]) -> Vec<String> {
    let polled = actions.iter().filter_map(|action| match action {
        Action::HealthCheck(node) => Some(node.to_string()),
        _ => None,
    });
    polled.collect()
}

/// Guards against stale reads at a former primary that the list still names long after it was told to be a replica.
#[test]
fn the_list_does_not_make_a_node_primary_that_has_denied_it_long_ago() {
    for role_source in [RoleSource::Initial, RoleSource::Late] {
        let mut harness = router_after_denial(role_source);
        for (round, wait) in [100 * MS, 7_000 * MS, LONG].into_iter().enumerate() {
            harness.advance(wait);
            update_list(&mut harness, list());
            let id = 10 + round as RequestId;
            assert_eq!(harness.send_request(request_info(id, LATEST)), None);
            assert_eq!(
                harness.send_request(request_info(id + 100, BOUNDED)),
                None,
                "{role_source:?}: its position is not known to be fresh"
            );
        }
    }
}

/// Guards against the denial being forgotten together with a node or a group that leaves the list for a while.
#[test]
fn a_former_primary_that_leaves_the_list_and_returns_is_not_read_as_the_primary() {
    let without_p = || vec![endpoint("r1", false), endpoint("r2", false)];
    let other_group = || {
        vec![Endpoint {
            group: 2,
            ..endpoint("other", true)
        }]
    };
    for role_source in [RoleSource::Initial, RoleSource::Late] {
        for absent in [without_p(), other_group()] {
            let mut harness = router_after_denial(role_source);
            harness.advance(LONG);
            update_list(&mut harness, absent);
            harness.advance(1_000 * MS);
            update_list(&mut harness, list());
            assert_eq!(harness.send_request(request_info(2, LATEST)), None);
            assert_eq!(harness.send_request(request_info(3, BOUNDED)), None);
        }
    }
}

/// Guards against stale reads after a report that a node made before its answer said that it is a replica.
#[test]
fn a_report_from_before_a_denial_does_not_make_the_node_primary() {
    let mut harness = router_after_denial(RoleSource::Initial);
    let before_denial = harness.now - 200 * MS;
    harness.advance(10 * MS);
    report(&mut harness, "p", Role::Primary, before_denial);
    assert_eq!(harness.send_request(request_info(2, LATEST)), None);
    harness.advance(300 * MS);
    let after_denial = harness.now - 50 * MS;
    report(&mut harness, "p", Role::Primary, after_denial);
    assert_eq!(
        harness.send_request(request_info(3, LATEST)).as_deref(),
        Some("p"),
        "a later report is newer evidence"
    );
}

/// Guards against stale reads after a slow answer that a primary had begun before it denied to be one.
#[test]
fn an_answer_that_was_begun_before_a_denial_does_not_make_the_node_primary() {
    let settings = settings_without_checks(RoleSource::Late);
    let mut harness = Harness::with_endpoints(settings, list());
    harness.send_request(request_info(1, LATEST));
    harness.send_request(request_info(2, LATEST));
    harness.advance(60 * MS);
    let now = harness.now;
    harness.end_attempt(1, 0, AttemptEnd::Success, node_report(Role::Replica, now));
    harness.advance(20 * MS);
    let slow_answer = |harness: &mut Harness, id, elapsed| {
        let now = harness.now;
        harness.handle_event(Event::AttemptEnded {
            request: id,
            attempt: 0,
            end: AttemptEnd::Success,
            elapsed,
            request_over: true,
            answer_report: node_report(Role::Primary, now),
            load_report: NodeReport::default(),
        });
    };
    slow_answer(&mut harness, 2, 80 * MS);
    assert_eq!(harness.send_request(request_info(3, LATEST)), None);
    harness.advance(1_000 * MS);
    let write = harness.send_request(request_info(4, AT_MOST_ONCE));
    assert_eq!(write.as_deref(), Some("p"), "it is the most advanced");
    harness.advance(40 * MS);
    slow_answer(&mut harness, 4, 40 * MS);
    assert_eq!(
        harness.send_request(request_info(5, LATEST)).as_deref(),
        Some("p"),
        "an answer to a later attempt is newer evidence"
    );
}

/// Guards against reads that are refused for good because nobody asks the members which of them is the primary.
#[test]
fn a_read_that_needs_the_primary_polls_the_members_if_none_is_known() {
    for router_count in [1, 300] {
        let settings = Settings {
            router_count,
            ..settings_without_checks(RoleSource::Initial)
        };
        let mut harness = Harness::with_endpoints(settings, list());
        harness.send_request(request_info(1, LATEST));
        let denial = node_report(Role::Replica, harness.now - 9_000 * MS);
        harness.end_attempt(1, 0, AttemptEnd::Success, denial);
        harness.advance(LONG);
        assert_eq!(harness.send_request(request_info(2, LATEST)), None);
        let polled = polled_nodes(&harness.actions);
        assert_eq!(polled.len(), 1, "{router_count} routers: {polled:?}");
        let now = harness.now;
        report(&mut harness, &polled[0], Role::Primary, now);
        assert_eq!(harness.sent_to(2).as_ref(), Some(&polled[0]));
    }
}
