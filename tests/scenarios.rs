//! One scenario for each failure found in operation or simulation, and for each behaviour that a user expects.

mod common;

use common::*;
use plovercove::*;

#[test]
fn an_unchanged_position_means_a_growing_lag() {
    // A stalled replica that kept reporting the same position looked as fresh as when it first reported it.
    let mut harness =
        Harness::with_endpoints(settings(), vec![endpoint("p", true), endpoint("r1", false)]);
    let stalled_position = harness.now;
    for id in 1..=4 {
        assert_eq!(
            harness.send_request(request_info(id, ANY)).as_deref(),
            Some("r1")
        );
        harness.end_attempt(
            id,
            0,
            AttemptEnd::Success,
            node_report(Role::Replica, stalled_position),
        );
        harness.advance(300 * MS);
    }
    assert_eq!(
        harness.send_request(request_info(9, BOUNDED)).as_deref(),
        Some("p"),
        "1.2 s behind a bound of 0.5 s"
    );
}

#[test]
fn no_last_resort_read_at_a_replica_known_to_lag() {
    // While no primary could be reached, each such read was sent to a lagging replica, which rejected it as
    // misdirected, over and over.
    let mut harness = Harness::with_endpoints(settings(), vec![endpoint("r1", false)]);
    harness.send_request(request_info(1, ANY));
    let lagging_report = node_report(Role::Replica, harness.now - 5_000 * MS);
    harness.end_attempt(1, 0, AttemptEnd::Success, lagging_report);
    assert_eq!(harness.send_request(request_info(2, BOUNDED)), None);
}

#[test]
fn warming_replicas_without_a_report_get_no_bounded_reads() {
    // Reads that a warming, lagging node rejected were sent to it again and again, and overloaded it.
    let warming = Endpoint {
        started_at: Some(T0),
        ..endpoint("r1", false)
    };
    let mut harness = Harness::with_endpoints(settings(), vec![endpoint("p", true), warming]);
    assert_eq!(
        harness.send_request(request_info(1, BOUNDED)).as_deref(),
        Some("p")
    );
}

#[test]
fn a_warming_replica_gets_its_slot_budget_and_the_primary_the_rest() {
    // The node fails at 2.5 x 0.2 of two cores for 1 s, in the fourth slot at 2.5 x 0.24: 1 to 1.2 s of work. A slot of
    // 250 ms allows a fifth of it, at 90 ms for each request: 2.2 to 2.7 requests.
    let warming = Endpoint {
        started_at: Some(T0),
        ..endpoint("r1", false)
    };
    let mut harness = Harness::with_endpoints(settings(), vec![endpoint("p", true), warming]);
    for slot in 0..4 {
        let first = 1 + slot * 5;
        let targets: Vec<_> = (first..first + 5)
            .filter_map(|id| harness.send_request(request_info(id, ANY)))
            .collect();
        let (warming, warm): (Vec<_>, Vec<_>) = targets.iter().partition(|h| *h == "r1");
        assert!(
            (2..=3).contains(&warming.len()) && warming.len() + warm.len() == 5,
            "no request is rejected: {targets:?}"
        );
        let (outcome, no_report, elapsed) = (AttemptEnd::Success, NodeReport::default(), 90 * MS);
        for request in first..first + 5 {
            harness.handle_event(Event::AttemptEnded {
                request,
                attempt: 0,
                end: outcome,
                elapsed,
                request_over: true,
                answer_report: no_report,
                load_report: no_report,
            });
        }
        harness.now += 250 * MS;
    }
}

#[test]
fn at_most_one_of_three_nodes_is_ejected_when_all_are_silent() {
    // An overload made all nodes look silent; ejecting all of them left no node to send to.
    let mut harness = Harness::new(Settings {
        replica_check: ReplicaCheck::Reject,
        ..settings()
    });
    for id in 1..=24 {
        harness.send_request(RequestInfo {
            time_left: 900 * MS,
            ..request_info(id, ANY)
        });
    }
    let mut ejections = 0;
    for _ in 0..40 {
        let count = harness
            .advance(20 * MS)
            .iter()
            .filter(|a| matches!(a, Action::Log(l) if l.reason == LogEvent::EJECTED))
            .count();
        ejections += count;
    }
    assert!(ejections <= 1, "{ejections} of 3 nodes ejected");
}

#[test]
fn a_silent_node_is_ejected_and_gets_one_trial() {
    let mut harness = Harness::with_endpoints(
        settings(),
        (0..6).map(|n| endpoint(&format!("r{n}"), false)).collect(),
    );
    let silent = "r3";
    for step in 0..6 {
        let targets: Vec<_> = (0..12)
            .map(|n| {
                (
                    step * 12 + n,
                    harness.send_request(request_info(step * 12 + n, ANY)),
                )
            })
            .collect();
        harness.advance(60 * MS);
        for (id, target) in targets {
            if target.is_some_and(|target| target != silent) {
                harness.end_attempt(
                    id,
                    0,
                    AttemptEnd::Success,
                    node_report(Role::Replica, harness.now),
                );
            }
        }
    }
    let to_silent = (100..=120)
        .filter(|id| harness.send_request(request_info(*id, ANY)).as_deref() == Some(silent))
        .count();
    assert!(
        to_silent <= 1,
        "an ejected node gets one trial at a time, got {to_silent}"
    );
}

#[test]
fn a_misdirected_write_demotes_the_primary_and_other_writes_wait() {
    let mut harness = Harness::new(settings());
    assert_eq!(
        harness
            .send_request(request_info(1, DEDUPLICATED))
            .as_deref(),
        Some("p")
    );
    harness.end_attempt(
        1,
        0,
        AttemptEnd::Misdirected,
        node_report(Role::Replica, harness.now),
    );
    let next = harness
        .sent_to(1)
        .expect("a misdirected write was not executed, so another member is tried");
    assert_ne!(next, "p");
    assert_eq!(
        harness.send_request(request_info(2, DEDUPLICATED)),
        None,
        "one write at a time searches for the primary"
    );
    let now = harness.now;
    harness.end_attempt(1, 1, AttemptEnd::Success, node_report(Role::Primary, now));
    assert_eq!(
        harness.sent_to(2),
        Some(next),
        "the waiting write follows the answer"
    );
}

#[test]
fn a_wrong_list_does_not_outrank_a_nodes_denial() {
    let mut harness = Harness::new(settings());
    harness.send_request(request_info(1, DEDUPLICATED));
    harness.end_attempt(
        1,
        0,
        AttemptEnd::Misdirected,
        node_report(Role::Replica, harness.now),
    );
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
        endpoint("p", true),
    ])));
    assert_ne!(
        harness
            .send_request(request_info(2, DEDUPLICATED))
            .as_deref(),
        Some("p")
    );
}

#[test]
fn at_most_once_writes_are_sent_once_and_fail_when_they_may_have_run() {
    let mut harness = Harness::new(settings());
    assert_eq!(
        harness
            .send_request(request_info(1, AT_MOST_ONCE))
            .as_deref(),
        Some("p")
    );
    harness.end_attempt(1, 0, AttemptEnd::Reset, NodeReport::default());
    for _ in 0..200 {
        assert_eq!(harness.sent_to(1), None);
        assert!(!harness.is_rejected(1));
        if harness.has_failed(1) {
            return;
        }
        harness.advance(5 * MS);
    }
    panic!("never answered");
}

#[test]
fn a_request_to_a_group_without_members_is_rejected_in_time() {
    let mut harness = Harness::new(settings());
    assert_eq!(
        harness.send_request(RequestInfo {
            group: 9,
            ..request_info(1, ANY)
        }),
        None
    );
    for _ in 0..200 {
        if harness.is_rejected(1) {
            return;
        }
        harness.advance(5 * MS);
    }
    panic!("never answered");
}

#[test]
fn a_draining_node_gets_no_requests_and_may_return() {
    let mut harness = Harness::with_endpoints(settings(), vec![endpoint("r1", false)]);
    let state = |state| {
        Event::EndpointsChanged(EndpointUpdate::Changes(vec![Endpoint {
            state,
            ..endpoint("r1", false)
        }]))
    };
    harness.handle_event(state(EndpointState::Draining));
    assert_eq!(harness.send_request(request_info(1, ANY)), None);
    harness.handle_event(state(EndpointState::Serving));
    assert_eq!(harness.sent_to(1).as_deref(), Some("r1"));
}

#[test]
fn replicas_that_check_nothing_serve_only_reads_they_are_proved_fresh_for() {
    let mut harness = Harness::new(Settings {
        replica_check: ReplicaCheck::None,
        ..settings()
    });
    assert_eq!(
        harness.send_request(request_info(1, BOUNDED)).as_deref(),
        Some("p"),
        "the replicas have not reported a position"
    );
    // A position from the future proves nothing.
    let now = harness.now;
    harness.handle_event(Event::HealthChecked {
        node: "r1".into(),
        answered: true,
        load_report: node_report(Role::Replica, now + 60_000 * MS),
    });
    assert_eq!(
        harness.send_request(request_info(2, BOUNDED)).as_deref(),
        Some("p")
    );
    harness.handle_event(Event::HealthChecked {
        node: "r1".into(),
        answered: true,
        load_report: node_report(Role::Replica, now),
    });
    assert_eq!(
        harness.send_request(request_info(3, BOUNDED)).as_deref(),
        Some("r1")
    );
}

#[test]
fn remembered_writes_keep_a_session_from_older_data() {
    let settings_without_tokens = Settings {
        clients_carry_tokens: false,
        replica_check: ReplicaCheck::None,
        ..settings()
    };
    let mut harness = Harness::new(settings_without_tokens);
    let session_request = |id, class| RequestInfo {
        session: Some("s".into()),
        ..request_info(id, class)
    };
    let now = harness.now;
    for node in ["r1", "r2"] {
        harness.handle_event(Event::HealthChecked {
            node: node.into(),
            answered: true,
            load_report: node_report(Role::Replica, now - 50 * MS),
        });
    }
    assert_ne!(
        harness
            .send_request(session_request(1, OWN_WRITES))
            .as_deref(),
        Some("p"),
        "this session has no known write"
    );
    harness.send_request(session_request(2, DEDUPLICATED));
    harness.end_attempt(2, 0, AttemptEnd::Success, node_report(Role::Primary, now));
    assert_eq!(
        harness
            .send_request(session_request(3, OWN_WRITES))
            .as_deref(),
        Some("p")
    );
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings());
        (1..40)
            .flat_map(|id| {
                harness
                    .handle_event(Event::RequestArrived(request_info(id, (id % 6) as usize)))
                    .clone()
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn lost_answers_do_not_eject_a_node_that_answers_others() {
    // A few writes whose answers were lost kept counting against the primary until it was ejected, although it answered
    // all others.
    let mut harness = Harness::new(settings());
    for id in 1..=100 {
        let target = harness.send_request(RequestInfo {
            time_left: 5_000 * MS,
            ..request_info(id, AT_MOST_ONCE)
        });
        assert_eq!(target.as_deref(), Some("p"), "write {id}");
        if id % 3 != 0 {
            harness.now += 20 * MS;
            let now = harness.now;
            harness.end_attempt(id, 0, AttemptEnd::Success, node_report(Role::Primary, now));
        }
        harness.advance(20 * MS);
    }
}

#[test]
fn a_retry_past_its_objective_is_rejected_under_overload() {
    // Under overload, retries past their latency objective, which earn nothing, took the places of new requests.
    let mut settings = settings();
    settings.classes[ANY].late_weight_share = 0.0;
    let mut harness = Harness::with_endpoints(settings, vec![endpoint("r1", false)]);
    let mut id = 0;
    let mut fill_queue = |harness: &mut Harness| loop {
        id += 1;
        if harness
            .send_request(RequestInfo {
                time_left: 1_000 * MS,
                ..request_info(id, ANY)
            })
            .is_none()
        {
            return id;
        }
    };
    let waiting_id = fill_queue(&mut harness);
    assert!(
        !harness.is_rejected(waiting_id),
        "a first attempt waits for room"
    );
    // 600 ms of its deadline of one second have passed, and its latency objective is 300 ms.
    harness.send_request(RequestInfo {
        time_left: 400 * MS,
        is_retry: true,
        ..request_info(900, ANY)
    });
    assert!(harness.is_rejected(900), "rejected at once");
}

#[test]
fn a_failed_subscription_is_renewed_after_a_pause() {
    let mut harness = Harness::with_endpoints(
        Settings {
            subscribe: true,
            ..settings()
        },
        vec![endpoint("r1", false)],
    );
    assert!(harness.actions.contains(&Action::Subscribe));
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Failed));
    assert!(!harness.actions.contains(&Action::Subscribe), "not at once");
    let again = (0..300).any(|_| harness.advance(5 * MS).contains(&Action::Subscribe));
    assert!(again);
}

#[test]
fn events_of_finished_or_unknown_requests_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.end_attempt(77, 0, AttemptEnd::Success, NodeReport::default());
    harness.handle_event(Event::ClientGone { request: 77 });
    harness.handle_event(Event::StreamStarted { request: 77 });
    assert!(
        harness
            .advance(10 * MS)
            .iter()
            .all(|a| matches!(a, Action::Wake(_)))
    );
    harness.send_request(request_info(1, ANY));
    harness.end_attempt(1, 0, AttemptEnd::Success, NodeReport::default());
    harness.end_attempt(1, 0, AttemptEnd::TimedOut, NodeReport::default());
    assert!(
        !harness.has_failed(1) && !harness.is_rejected(1),
        "it has been served already"
    );
}

#[test]
fn all_requests_are_answered_after_a_clock_jump() {
    let mut harness = Harness::new(settings());
    for id in 1..=30 {
        harness.send_request(request_info(id, DEDUPLICATED));
    }
    harness.advance(60_000 * MS);
    let answered = (1..=30)
        .filter(|id| harness.is_rejected(*id) || harness.has_failed(*id))
        .count();
    assert_eq!(answered, 30);
}

#[test]
fn a_node_listed_twice_or_returning_is_one_node() {
    let returned = Endpoint {
        started_at: Some(T0 + 5_000 * MS),
        ..endpoint("r1", false)
    };
    let removed = Endpoint {
        state: EndpointState::Removed,
        ..endpoint("r1", false)
    };
    let mut harness = Harness::with_endpoints(
        settings(),
        vec![endpoint("r1", false), endpoint("r1", false)],
    );
    assert_eq!(
        harness.send_request(request_info(1, ANY)).as_deref(),
        Some("r1")
    );
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
        removed,
    ])));
    assert_eq!(harness.send_request(request_info(2, ANY)), None);
    harness.now += 5_000 * MS;
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
        returned,
    ])));
    // The node is warm again by then; a warming node would get its share by slots.
    harness.now += 16_000 * MS;
    harness.handle_event(Event::HealthChecked {
        node: "r1".into(),
        answered: true,
        load_report: node_report(Role::Replica, T0 + 20_900 * MS),
    });
    assert_eq!(
        harness.send_request(request_info(3, ANY)).as_deref(),
        Some("r1")
    );
}

/// Returns the settings of a site with few routers, whose nodes report when they are polled, with an additional class
/// of long reads.
fn polling_settings() -> Settings {
    let mut settings = Settings {
        health_checks_allowed: true,
        reports: ReportSource::HealthChecks,
        replica_check: ReplicaCheck::None,
        router_count: 2,
        ..settings()
    };
    settings.classes.push(Class {
        latency_objective: 3_000 * MS,
        ..class("long", Access::Any, Idempotency::Idempotent)
    });
    settings
}

fn health_check_report(node: &str, position: Time) -> Event {
    Event::HealthChecked {
        node: node.into(),
        answered: true,
        load_report: node_report(Role::Replica, position),
    }
}

fn is_polled(actions: &[Action], node: &str) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::HealthCheck(to) if &**to == node))
}

fn logs_ejection(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Log(event) if event.reason == LogEvent::EJECTED))
}

#[test]
fn a_busy_node_that_answers_its_health_check_is_not_ejected() {
    // The requests in one queue are late together. Healthy nodes were ejected some sixty times a day, and the requests
    // that were cancelled there ran on and were also sent elsewhere.
    for is_answered in [true, false] {
        let mut harness = Harness::with_endpoints(
            polling_settings(),
            (0..6).map(|n| endpoint(&format!("r{n}"), false)).collect(),
        );
        for id in 0..24 {
            harness.send_request(request_info(id, ANY));
        }
        let mut ejections = 0;
        let mut was_polled = false;
        for _ in 0..25 {
            let actions = harness.advance(20 * MS).clone();
            ejections += u32::from(logs_ejection(&actions));
            for node in (0..6)
                .map(|n| format!("r{n}"))
                .filter(|node| is_polled(&actions, node))
            {
                was_polled = true;
                if is_answered {
                    let report = health_check_report(&node, harness.now);
                    ejections += u32::from(logs_ejection(harness.handle_event(report)));
                }
            }
        }
        assert!(
            was_polled && (ejections == 0) == is_answered,
            "{ejections} ejections, health checks answered: {is_answered}"
        );
    }
}

#[test]
fn long_reads_go_to_the_replica_that_is_furthest_behind() {
    // A long read delays the application of the log where it runs. Spread over all replicas, long reads kept every
    // replica from staying fresh, and the reads that need fresh data crowded on the primary.
    let mut harness = Harness::with_endpoints(
        polling_settings(),
        (0..4).map(|n| endpoint(&format!("r{n}"), false)).collect(),
    );
    let long = polling_settings().classes.len() - 1;
    let now = harness.now;
    harness.handle_batch(
        (0..4)
            .map(|n| health_check_report(&format!("r{n}"), now - [90, 80, 400, 70][n] * MS))
            .collect(),
    );
    assert_eq!(
        harness.send_request(request_info(1, long)).as_deref(),
        Some("r2")
    );
    harness.handle_batch(
        (0..4)
            .map(|n| health_check_report(&format!("r{n}"), now - [9, 9, 400, 700][n] * MS))
            .collect(),
    );
    harness.advance(150 * MS);
    assert_eq!(
        harness.send_request(request_info(2, ANY)).as_deref(),
        Some("r3"),
        "it is beyond the bound of 500 ms"
    );
}

#[test]
fn a_replica_that_is_no_longer_fresh_is_polled_though_another_is_fresh() {
    // When replicas were polled only if none was fresh, all reads that need fresh data crowded on the one polled last.
    let mut harness = Harness::with_endpoints(
        polling_settings(),
        vec![
            endpoint("p", true),
            endpoint("r1", false),
            endpoint("r2", false),
        ],
    );
    let now = harness.now;
    harness.handle_batch(vec![
        health_check_report("r1", now - 10 * MS),
        health_check_report("r2", now - 450 * MS),
    ]);
    harness.advance(480 * MS);
    assert_eq!(
        harness.send_request(request_info(1, BOUNDED)).as_deref(),
        Some("r1"),
        "sent at once, without a wait for the report"
    );
    assert!(is_polled(&harness.actions, "r2"));
}

#[test]
fn a_write_that_may_have_run_fails_at_once() {
    // The request waited until its client's deadline, although no attempt could be sent any more.
    let mut harness = Harness::new(settings());
    harness.send_request(request_info(1, AT_MOST_ONCE));
    harness.end_attempt(1, 0, AttemptEnd::Failure, NodeReport::default());
    assert!(harness.has_failed(1));
}

#[test]
fn requests_of_clients_that_leave_early_are_rejected_early() {
    // Clients announced 266 ms and left after 140 ms. A fifth of the work was for clients that had left and sent their
    // requests again.
    let mut harness = Harness::with_endpoints(settings(), vec![endpoint("r1", false)]);
    for id in 1..=8 {
        harness.send_request(request_info(id, ANY));
        harness.advance(100 * MS);
        harness.handle_event(Event::ClientGone { request: id });
        harness.end_attempt(id, 0, AttemptEnd::Cancelled, NodeReport::default());
    }
    let draining = Endpoint {
        state: EndpointState::Draining,
        ..endpoint("r1", false)
    };
    harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
        draining,
    ])));
    harness.send_request(request_info(9, ANY));
    harness.advance(80 * MS);
    assert!(
        harness.is_rejected(9),
        "the client is expected to leave before an answer can come"
    );
}

#[test]
fn removed_nodes_are_forgotten_once_nothing_is_in_flight_there() {
    // Over days of node replacements, each under a new name, the tables grew without bound.
    let mut harness =
        Harness::with_endpoints(settings(), vec![endpoint("p", true), endpoint("r1", false)]);
    assert_eq!(
        harness.send_request(request_info(1, ANY)).as_deref(),
        Some("r1")
    );
    for is_full_list in [false, true] {
        let list = if is_full_list {
            EndpointUpdate::Full(vec![endpoint("p", true)])
        } else {
            EndpointUpdate::Changes(vec![Endpoint {
                state: EndpointState::Removed,
                ..endpoint("r1", false)
            }])
        };
        harness.handle_event(Event::EndpointsChanged(list.clone()));
        assert_eq!(
            harness.balancer.known_node_count(),
            2,
            "a read is still in flight there"
        );
        harness.end_attempt(1, 0, AttemptEnd::Success, NodeReport::default());
        harness.handle_event(Event::EndpointsChanged(list));
        assert_eq!(harness.balancer.known_node_count(), 1);
        harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Full(vec![
            endpoint("p", true),
            endpoint("r1", false),
        ])));
        harness.send_request(request_info(1, ANY));
    }
    for round in 0..500 {
        let name = format!("r{}", round + 2);
        harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
            endpoint(&name, false),
        ])));
        let removed = Endpoint {
            state: EndpointState::Removed,
            ..endpoint(&name, false)
        };
        harness.handle_event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
            removed,
        ])));
    }
    assert!(harness.balancer.known_node_count() <= 3);
}

#[test]
fn removed_nodes_that_stay_open_are_used_while_they_answer_and_then_forgotten() {
    // If removed nodes stay open, days of node replacements would fill the table, and each selection would search all
    // of it.
    let settings = Settings {
        removed_nodes_stay_open: true,
        ..settings()
    };
    let mut balancer = Balancer::new(settings, 1);
    let list = |n: u64| {
        Event::EndpointsChanged(EndpointUpdate::Full(vec![
            endpoint("p", true),
            endpoint(&format!("r{n}"), false),
        ]))
    };
    let (step, mut id, mut max_known) = (10_000 * MS, 0, 0);
    let mut to_removed = 0;
    for round in 0..200 {
        let now = T0 + round * step;
        balancer.handle(now, vec![list(round)], &mut Vec::new());
        max_known = max_known.max(balancer.known_node_count());
        for _ in 0..4 {
            id += 1;
            let mut actions = Vec::new();
            balancer.handle(
                now,
                vec![Event::RequestArrived(request_info(id, ANY))],
                &mut actions,
            );
            let node = actions.iter().find_map(|a| {
                if let Action::Send { node, .. } = a {
                    Some(node)
                } else {
                    None
                }
            });
            let node = node.expect("a replica is available");
            // The two nodes that were removed last answer; those removed before them are switched off.
            let number: u64 = node[1..].parse().expect("a replica");
            to_removed += u64::from(number < round);
            let outcome = if number + 2 >= round {
                AttemptEnd::Success
            } else {
                AttemptEnd::Unreachable
            };
            let (no_report, request) = (NodeReport::default(), id);
            let is_over = outcome == AttemptEnd::Success;
            let end = Event::AttemptEnded {
                request,
                attempt: 0,
                end: outcome,
                elapsed: MS,
                request_over: is_over,
                answer_report: no_report,
                load_report: no_report,
            };
            balancer.handle(
                now + MS,
                vec![end, Event::ClientGone { request }],
                &mut Vec::new(),
            );
        }
    }
    assert!(
        to_removed > 100,
        "{to_removed} of 800 reads went to removed nodes"
    );
    // The primary, the listed replica, and the nodes removed within the minute since their last answer. Removed nodes
    // answer for two rounds.
    assert!(max_known <= 2 + 6 + 2 + 1, "{max_known} nodes known");
}
