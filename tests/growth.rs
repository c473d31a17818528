//! Failures found where hundreds of routers share a fleet, one scenario each.

mod common;

use common::*;
use plovercove::*;

fn crowd() -> Settings {
    // One attempt a request keeps the scenarios' books short.
    Settings {
        router_count: 500,
        connection_idle: 30_000 * MS,
        max_attempts: 1,
        ..settings()
    }
}

fn ends_after(rig: &mut Rig, request: RequestId, ending: AttemptEnd, elapsed: Micros) {
    let (said, over) = (NodeReport::default(), ending == AttemptEnd::Success);
    rig.event(Event::AttemptEnded {
        request,
        attempt: 0,
        end: ending,
        elapsed,
        request_over: over,
        answer_report: said,
        load_report: said,
    });
}

/// How many of so many requests, one in 200 ms, are refused on arrival; what is sent ends as told.
fn kept_out(
    rig: &mut Rig,
    first: RequestId,
    count: u64,
    class: usize,
    ending: AttemptEnd,
    took: Micros,
) -> u64 {
    let mut refused = 0;
    for id in first..first + count {
        let sent = rig.request(demand(id, class)).is_some();
        refused += u64::from(rig.refused(id));
        if sent {
            ends_after(rig, id, ending, took);
        }
        rig.later(200 * MS);
    }
    refused
}

#[test]
fn a_jam_keeps_requests_out_where_routers_are_many_and_passes() {
    // Danger: with a floor of one attempt a router, 500 routers kept full queues full and nothing came in time.
    let mut rig = Rig::with(crowd(), vec![entry("p", true)]);
    let jam = kept_out(&mut rig, 1, 200, KEYED, AttemptEnd::Overloaded, 2 * MS);
    assert!(
        jam > 100 && jam < 200,
        "{jam} of 200 kept from a node that turns all away"
    );
    kept_out(&mut rig, 1_000, 300, KEYED, AttemptEnd::Success, 20 * MS);
    let calm = kept_out(&mut rig, 2_000, 100, KEYED, AttemptEnd::Success, 20 * MS);
    assert_eq!(calm, 0, "what stays shut after the jam refuses for nothing");
}

#[test]
fn time_outs_alone_show_a_jam() {
    // Danger: only answers counted as slowness. A router with a request every other second to a node learned of its jam
    // from the few that came through, and 100 routers kept a queue full of which nothing came in time.
    let mut rig = Rig::with(crowd(), vec![entry("p", true)]);
    let kept = kept_out(&mut rig, 1, 40, KEYED, AttemptEnd::TimedOut, 700 * MS);
    assert!(kept > 5, "{kept} of 40");
}

#[test]
fn a_few_routers_queue_and_limit_instead() {
    let mut rig = Rig::with(
        Settings {
            router_count: 4,
            ..crowd()
        },
        vec![entry("p", true)],
    );
    let jam = kept_out(&mut rig, 1, 100, KEYED, AttemptEnd::Overloaded, 2 * MS);
    assert_eq!(
        jam, 0,
        "the limit works where a router's share is at least one request"
    );
}

#[test]
fn the_spread_of_well_answers_refuses_nothing() {
    // Danger: gates without credit walked below nought on the spread alone and refused several in 100.
    let mut rig = Rig::with(crowd(), vec![entry("p", true)]);
    let mut refused = 0;
    for round in 0..100 {
        for (place, took) in [20, 150, 40, 60].into_iter().enumerate() {
            let first = 1 + round * 4 + place as u64;
            refused += kept_out(&mut rig, first, 1, KEYED, AttemptEnd::Success, took * MS);
        }
    }
    assert_eq!(refused, 0);
}

/// A crowd whose nodes tell their load when they are probed, and whose replicas must be proved fresh.
fn reporting() -> Settings {
    Settings {
        health_checks_allowed: true,
        reports: ReportSource::HealthChecks,
        replica_check: ReplicaCheck::None,
        ..crowd()
    }
}

fn loaded(rig: &mut Rig, node: &str, held: u32, busy: u32) {
    let said = says(Role::Replica, rig.now - 20 * MS);
    let report = NodeReport {
        in_flight: Some(held),
        utilization_permille: Some(busy),
        ..said
    };
    rig.event(Event::HealthChecked {
        node: node.into(),
        answered: true,
        load_report: report,
    });
}

#[test]
fn what_other_routers_have_out_at_a_node_counts() {
    // Danger: a router among 100 has nothing out anywhere, so a node jammed by all the others looked idle.
    let mut rig = Rig::new(reporting());
    loaded(&mut rig, "r1", 9, 1_000);
    loaded(&mut rig, "r2", 3, 600);
    for id in 1..=6 {
        assert_eq!(rig.request(demand(id, BOUNDED)).as_deref(), Some("r2"));
        ends_after(&mut rig, id, AttemptEnd::Success, 60 * MS);
    }
    // Few routers see what is out for themselves.
    let mut few = Rig::new(Settings {
        router_count: 3,
        ..reporting()
    });
    loaded(&mut few, "r1", 9, 1_000);
    loaded(&mut few, "r2", 3, 600);
    let both = [1, 2].map(|id| few.request(demand(id, BOUNDED)));
    assert!(
        both.contains(&Some("r1".into())) && both.contains(&Some("r2".into())),
        "{both:?}"
    );
}

#[test]
fn a_queue_that_would_make_a_request_late_is_left_alone_until_it_is_shorter() {
    // Danger: 50 requests a second went to queues of half a second; none was served in time, all ran, all came back.
    let mut rig = Rig::new(reporting());
    for node in ["r1", "r2"] {
        loaded(&mut rig, node, 5, 800);
        loaded(&mut rig, node, 60, 1_000);
    }
    assert_eq!(rig.request(demand(1, ANY)), None);
    assert!(rig.refused(1), "at once, so that the client may come back");
    rig.later(150 * MS);
    loaded(&mut rig, "r1", 4, 700);
    assert_eq!(rig.request(demand(2, ANY)).as_deref(), Some("r1"));
    // What is old tells little: the node is tried again, though no report has come.
    let mut old = Rig::with(reporting(), vec![entry("r1", false)]);
    loaded(&mut old, "r1", 60, 1_000);
    old.later(30_000 * MS);
    loaded(&mut old, "r1", 3, 500);
    assert!(old.request(demand(1, ANY)).is_some());
}

#[test]
fn reads_give_way_to_writes_at_a_primary_that_slows_down() {
    // Danger: reads without a proved replica crowded on primaries, where writes waited a second behind them.
    let mut rig = Rig::with(reporting(), vec![entry("p", true)]);
    for id in 1..=3 {
        assert!(rig.request(demand(id, KEYED)).is_some());
        ends_after(&mut rig, id, AttemptEnd::Success, 200 * MS);
    }
    assert_eq!(rig.request(demand(4, BOUNDED)), None);
    assert_eq!(rig.request(demand(5, KEYED)).as_deref(), Some("p"));
}

#[test]
fn another_replica_is_asked_when_the_fresh_one_is_crowded() {
    // Danger: the one replica that was proved fresh got all reads for seconds, however full it was.
    let mut rig = Rig::new(reporting());
    loaded(&mut rig, "r2", 0, 10);
    rig.later(600 * MS);
    loaded(&mut rig, "r1", 14, 1_000);
    rig.request(demand(1, BOUNDED));
    assert_eq!(probes(&rig), 1, "r2 was proved too long ago");
}

#[test]
fn a_cold_node_gets_its_share_from_all_routers_together() {
    // Danger: one send a window and router was let through; 450 routers pushed the node over (rule 4).
    let cold = Endpoint {
        started_at: Some(T0),
        ..entry("r1", false)
    };
    let sent = sent_by_all(&[cold], ANY);
    // It starts at 0.2 of its capacity: 0.2 x 0.6 of 500 requests, give or take chance.
    assert!(
        (30..=95).contains(&sent),
        "{sent} of 500 sent to a node that has just started"
    );
}

/// How many of 500 routers send a request of this class to the fleet that they have just heard of.
fn sent_by_all(entries: &[Endpoint], class: usize) -> usize {
    sent_where_each_holds(entries, class, 0)
}

/// The same, where each node has told that it holds so many requests.
fn sent_where_each_holds(entries: &[Endpoint], class: usize, held: u32) -> usize {
    let sends = |index: u32| {
        let mut balancer = Balancer::new(
            Settings {
                router_index: index,
                ..crowd()
            },
            u64::from(index) * 7_919 + 3,
        );
        let mut events = vec![Event::EndpointsChanged(EndpointUpdate::Full(
            entries.to_vec(),
        ))];
        for entry in entries.iter().filter(|_| held > 0) {
            let report = NodeReport {
                in_flight: Some(held),
                utilization_permille: Some(1_000),
                ..says(Role::Replica, T0 - MS)
            };
            events.push(Event::HealthChecked {
                node: entry.node.clone(),
                answered: true,
                load_report: report,
            });
        }
        events.push(Event::RequestArrived(demand(1, class)));
        let mut actions = Vec::new();
        balancer.handle(T0, events, &mut actions);
        actions.iter().any(|a| matches!(a, Action::Send { .. }))
    };
    (0..500).filter(|index| sends(*index)).count()
}

#[test]
fn the_queue_of_a_cold_node_is_worked_off_at_the_speed_that_it_has() {
    // Danger: where all warm replicas of a group were full, what they turned away went to the cold ones, whose queues were
    // held against them as if they were warm: 190 requests in 2 s, more than half of them turned away elsewhere first, and
    // one fell over (rule 4).
    let five = |started| {
        (0..5).map(move |n| Endpoint {
            started_at: started,
            ..entry(&format!("r{n}"), false)
        })
    };
    let (warm, cold): (Vec<_>, Vec<_>) = (five(None).collect(), five(Some(T0)).collect());
    assert_eq!(
        sent_where_each_holds(&warm, ANY, 8),
        500,
        "two rounds of work are no queue for a warm node"
    );
    let sent = sent_where_each_holds(&cold, ANY, 8);
    assert!(
        sent < 50,
        "{sent} of 500 to nodes that need five times as long for it"
    );
}

#[test]
fn a_fleet_of_cold_nodes_takes_its_share_all_together() {
    // Danger: each request asked chance once, as if one cold node had to take it. When six in ten nodes had been
    // replaced, half of all requests were refused while the new nodes idled at a tenth of what they could do.
    let cold = |name: &str, primary| Endpoint {
        started_at: Some(T0),
        ..entry(name, primary)
    };
    let five: Vec<Endpoint> = (0..5).map(|n| cold(&format!("r{n}"), false)).collect();
    let sent = sent_by_all(&five, ANY);
    // 0.2 x 0.6 for each of five; one alone gets a fifth of that, as the test above says.
    assert!(
        (250..=350).contains(&sent),
        "{sent} of 500 for five cold replicas"
    );
    // Nobody else takes writes, and they are but a part of what a warm primary does: 0.2 x 0.6 x 3.
    let sent = sent_by_all(&[cold("p", true)], KEYED);
    assert!(
        (140..=220).contains(&sent),
        "{sent} of 500 writes for a cold primary"
    );
}

#[test]
fn what_another_was_told_makes_a_node_look_no_fresher_than_asking_would() {
    // Danger: news that was long under way would pass for the node's word of now, and its load for that of now.
    let said = |position, age| {
        let report = NodeReport {
            position: Some(position),
            role: Some(Role::Replica),
            age,
            ..NodeReport::default()
        };
        Event::HealthChecked {
            node: "r1".into(),
            answered: true,
            load_report: report,
        }
    };
    let asks_after = |event: fn(Time) -> (Time, Micros)| {
        let mut rig = Rig::with(reporting(), vec![entry("p", true), entry("r1", false)]);
        rig.later(10_000 * MS);
        let (position, age) = event(rig.now);
        rig.event(said(position, age));
        // A read that needs newer data than that asks at once where the word is old.
        rig.later(90 * MS);
        rig.request(RequestInfo {
            last_write_age: Some(MS),
            ..demand(1, SESSION)
        });
        probes(&rig)
    };
    let own = asks_after(|now| (now - 10 * MS, 0));
    let old = asks_after(|now| (now - 60 * MS, 50 * MS));
    assert_eq!(
        (own, old),
        (0, 1),
        "what another asked 140 ms ago is asked anew, one's own word of 90 ms is not"
    );
}

fn probes(rig: &Rig) -> usize {
    rig.actions
        .iter()
        .filter(|a| matches!(a, Action::HealthCheck(_)))
        .count()
}

#[test]
fn nothing_is_probed_while_replicas_serve() {
    // Danger: each router probed every replica of every group that it had used; probes cost a tenth of all worth.
    let cfg = Settings {
        health_checks_allowed: true,
        reports: ReportSource::HealthChecks,
        ..crowd()
    };
    let mut rig = Rig::new(cfg);
    let mut asked = 0;
    for id in 1..=50 {
        rig.request(demand(id, BOUNDED));
        asked += probes(&rig);
        let fresh = says(Role::Replica, rig.now - 20 * MS);
        rig.ends(id, 0, AttemptEnd::Success, fresh);
        rig.later(5_000 * MS);
        asked += probes(&rig);
    }
    assert_eq!(asked, 0);
}

#[test]
fn routers_do_not_all_ask_the_same_replica_first() {
    // Danger: none had been asked yet, so all tied and each of 100 routers asked the first by name. All of them then
    // knew that one to be fresh, and no other: the reads of the whole fleet went there, until it answered none in time.
    let cfg = |index| Settings {
        router_index: index,
        ..reporting()
    };
    let replicas: Vec<Endpoint> = (0..5).map(|n| entry(&format!("r{n}"), false)).collect();
    let mut asked = [0; 5];
    for index in 0..500 {
        let mut rig = Rig::with(cfg(index), replicas.clone());
        rig.request(demand(1, BOUNDED));
        for (place, node) in replicas.iter().enumerate() {
            asked[place] += rig
                .actions
                .iter()
                .filter(|a| **a == Action::HealthCheck(node.node.clone()))
                .count();
        }
    }
    assert!(
        asked.iter().all(|n| (60..=140).contains(n)),
        "100 each, give or take chance: {asked:?}"
    );
}

#[test]
fn a_read_that_needs_proof_waits_for_the_one_it_asked() {
    let cfg = Settings {
        health_checks_allowed: true,
        reports: ReportSource::Answers,
        replica_check: ReplicaCheck::None,
        ..crowd()
    };
    let mut rig = Rig::new(cfg);
    assert_eq!(
        rig.request(demand(1, BOUNDED)),
        None,
        "it waits a moment instead of loading the primary"
    );
    let asked = rig.actions.iter().find_map(|a| match a {
        Action::HealthCheck(node) => Some(node.clone()),
        _ => None,
    });
    let asked = asked.expect("one replica is asked");
    assert_eq!(probes(&rig), 1);
    let report = says(Role::Replica, rig.now - 200 * MS);
    rig.now += 5 * MS;
    rig.event(Event::HealthChecked {
        node: asked.clone(),
        answered: true,
        load_report: report,
    });
    assert_eq!(rig.sent(1).as_deref(), Some(&*asked));
    // A lost probe costs a moment, no more.
    rig.now += 5_000 * MS;
    assert_eq!(rig.request(demand(2, BOUNDED)), None);
    rig.later(20 * MS);
    assert_eq!(rig.sent(2).as_deref(), Some("p"));
}

#[test]
fn a_light_router_sets_aside_more_than_one_dead_node() {
    // Danger: only half of the nodes in use might be set aside; a light router uses one or two at a time.
    let place = |n: u64| Endpoint {
        group: 1 + n / 2,
        ..entry(&format!("r{n}"), false)
    };
    let mut rig = Rig::with(crowd(), (0..6).map(place).collect());
    let mut aside = 0;
    for id in 1..=60 {
        if rig.request(demand(id, ANY)).is_some() {
            ends_after(&mut rig, id, AttemptEnd::Reset, 60 * MS);
        }
        aside += rig
            .actions
            .iter()
            .filter(|a| matches!(a, Action::Log(l) if l.reason == LogEvent::EJECTED))
            .count();
        rig.later(100 * MS);
    }
    assert!(aside >= 2, "{aside} set aside");
}

fn closes(rig: &Rig) -> bool {
    rig.actions
        .iter()
        .any(|a| matches!(a, Action::CloseIdle(_)))
}

#[test]
fn full_connection_tables_are_relieved_and_slow_handshakes_are_not_made_more() {
    // Danger: idle connections of 490 routers filled well nodes' tables; 1,400 connects in 5 s were in vain. And a
    // handshake that timed out was read as the same sign, so that each request made another slow handshake.
    let mut rig = Rig::new(crowd());
    let mut id = 0;
    let mut play = |rig: &mut Rig, ending, took| {
        id += 1;
        rig.request(demand(id, ANY)).expect("a replica is free");
        ends_after(rig, id, ending, took);
        let closed = closes(rig);
        rig.later(500 * MS);
        closed
    };
    assert!(
        !play(&mut rig, AttemptEnd::Success, 60 * MS),
        "connections are kept in calm"
    );
    play(&mut rig, AttemptEnd::Unreachable, 2 * MS);
    assert!(
        play(&mut rig, AttemptEnd::Success, 60 * MS),
        "closed after use while a table was full lately"
    );
    play(&mut rig, AttemptEnd::Unreachable, 250 * MS);
    assert!(
        !play(&mut rig, AttemptEnd::Success, 60 * MS),
        "kept where handshakes are slow"
    );
}

#[test]
fn a_router_among_many_stays_with_the_node_it_talks_to() {
    let mut rig = Rig::new(crowd());
    let homes: Vec<String> = (1..=6)
        .map(|id| {
            let home = rig.request(demand(id, ANY)).unwrap();
            ends_after(&mut rig, id, AttemptEnd::Success, 90 * MS);
            rig.later(2_000 * MS);
            home
        })
        .collect();
    assert!(
        homes.iter().all(|h| *h == homes[0]),
        "each new connection takes a place in a table: {homes:?}"
    );
}

#[test]
fn what_peers_say_changes_nothing() {
    // Danger: routers share nothing; a message that says otherwise may be false, foreign or broken.
    let refused = |told: bool| {
        let mut rig = Rig::new(crowd());
        for round in 0..400u64 {
            let payload = vec![1; (round % 40) as usize];
            rig.batch(if told {
                vec![Event::Peer { from: 9, payload }]
            } else {
                Vec::new()
            });
            rig.now += 150 * MS;
        }
        kept_out(&mut rig, 1, 100, KEYED, AttemptEnd::Success, 60 * MS)
    };
    assert_eq!(refused(true), refused(false));
}

#[test]
fn odd_router_counts_and_an_empty_list_do_no_harm() {
    for (routers, index) in [(0, 0), (1, 0), (1, 77), (500, 4_000_000)] {
        let mut rig = Rig::new(Settings {
            router_count: routers,
            router_index: index,
            ..crowd()
        });
        assert!(rig.request(demand(1, ANY)).is_some());
        ends_after(&mut rig, 1, AttemptEnd::Success, 60 * MS);
        rig.event(Event::EndpointsChanged(EndpointUpdate::Full(Vec::new())));
        assert_eq!(rig.request(demand(2, ANY)), None);
        let answered = (0..200).any(|_| {
            rig.later(5 * MS);
            rig.refused(2)
        });
        assert!(answered);
    }
}

#[test]
fn a_node_that_refuses_connections_costs_no_connection_elsewhere() {
    // Danger: dead nodes refuse at once as full ones do. 300 routers closed every connection to every node after each use
    // for 30 s after a zone was lost: 110,000 handshakes in 20 s where 38,000 connections would have done.
    let mut rig = Rig::with(crowd(), vec![entry("r1", false), entry("r2", false)]);
    let closes = |rig: &Rig, node: &str| rig.actions.contains(&Action::CloseIdle(node.into()));
    let refuser = rig.request(demand(1, ANY)).expect("a replica is there");
    ends_after(&mut rig, 1, AttemptEnd::Unreachable, MS);
    rig.later(100 * MS);
    for id in (2..20).step_by(2) {
        // Two at once go to both.
        let homes =
            [id, id + 1].map(|id| (id, rig.request(demand(id, ANY)).expect("both serve again")));
        assert_ne!(homes[0].1, homes[1].1);
        for (id, node) in homes {
            ends_after(&mut rig, id, AttemptEnd::Success, 60 * MS);
            assert_eq!(
                closes(&rig, &node),
                node == refuser,
                "request {id} at {node}"
            );
        }
    }
    // A new process has a table of its own.
    let again = Endpoint {
        started_at: Some(rig.now - 20_000 * MS),
        ..entry(&refuser, false)
    };
    rig.event(Event::EndpointsChanged(EndpointUpdate::Changes(vec![
        again,
    ])));
    for id in 20..22 {
        rig.request(demand(id, ANY)).expect("both serve");
    }
    for id in 20..22 {
        ends_after(&mut rig, id, AttemptEnd::Success, 60 * MS);
        assert!(!closes(&rig, &refuser));
    }
}

#[test]
fn a_cold_replica_refuses_no_read_that_warm_ones_may_serve() {
    // Danger: a read that waits for the word of a warm replica was refused at once, as chance kept it from a cold one
    // beside it: a third of all refusals in the 15 s after a zone's return.
    let cold = Endpoint {
        started_at: Some(T0),
        ..entry("r3", false)
    };
    let mut rig = Rig::with(
        reporting(),
        vec![
            entry("p", true),
            entry("r1", false),
            entry("r2", false),
            cold,
        ],
    );
    for id in 1..=40 {
        rig.later(2_000 * MS);
        let sent = rig.request(demand(id, BOUNDED));
        assert!(
            !rig.refused(id),
            "request {id}: two warm replicas have not been heard yet"
        );
        let asked = rig.actions.iter().find_map(|a| match a {
            Action::HealthCheck(node) => Some(node.clone()),
            _ => None,
        });
        let node = sent.or_else(|| {
            let report = says(Role::Replica, rig.now);
            rig.event(Event::HealthChecked {
                node: asked.expect("one is asked"),
                answered: true,
                load_report: report,
            });
            rig.sent(id)
        });
        assert!(node.is_some(), "request {id} goes where the word came from");
        ends_after(&mut rig, id, AttemptEnd::Success, 60 * MS);
    }
}

#[test]
fn a_write_keeps_attempts_for_the_next_primary() {
    // Danger: a dead primary refuses at once. A write spent its six attempts in 0.2 s and was refused, two seconds before
    // its group had a new primary and four before its time was over.
    let mut patient = Settings {
        max_attempts: 6,
        ..crowd()
    };
    patient.classes[UNSAFE].latency_objective = 5_000 * MS;
    let mut rig = Rig::with(patient, vec![entry("p", true)]);
    let mut sent = vec![rig.now];
    let mut at = rig.request(RequestInfo {
        time_left: 5_000 * MS,
        ..demand(1, UNSAFE)
    });
    while rig.now < T0 + 4_000 * MS {
        if at.take().is_some() {
            let attempt = sent.len() as u32 - 1;
            rig.ends(1, attempt, AttemptEnd::Unreachable, NodeReport::default());
            assert_eq!(rig.sent(1), None, "the same one rests");
        }
        assert!(
            !rig.refused(1) && !rig.failed(1),
            "after {} attempts",
            sent.len()
        );
        rig.later(10 * MS);
        at = rig.sent(1);
        if at.is_some() {
            sent.push(rig.now);
        }
        if sent.len() == 5 {
            break;
        }
    }
    let gaps: Vec<Micros> = sent.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(
        gaps.windows(2).all(|w| w[1] >= w[0]) && sent[sent.len() - 1] >= T0 + 1_500 * MS,
        "{gaps:?}"
    );
    // Another primary that it has not asked gets it at once.
    let mut rig = Rig::new(Settings {
        max_attempts: 6,
        ..crowd()
    });
    assert_eq!(rig.request(demand(1, UNSAFE)).as_deref(), Some("p"));
    let answer = says(Role::Primary, rig.now);
    rig.event(Event::HealthChecked {
        node: "r1".into(),
        answered: true,
        load_report: answer,
    });
    rig.ends(1, 0, AttemptEnd::Misdirected, says(Role::Replica, rig.now));
    assert_eq!(rig.sent(1).as_deref(), Some("r1"));
}

#[test]
fn a_jam_that_nobody_hears_of_any_more_keeps_nobody_out() {
    // Danger: what is refused is not sent, and what is not sent brings no report: the mean of the jam stood for good.
    let mut rig = Rig::new(reporting());
    for _ in 0..20 {
        loaded(&mut rig, "r1", 80, 1_000);
    }
    assert_eq!(rig.request(demand(1, UNSAFE)), None);
    assert!(
        rig.refused(1),
        "the group is jammed, as far as anyone knows"
    );
    rig.later(12_000 * MS);
    assert_eq!(
        rig.request(demand(2, UNSAFE)).as_deref(),
        Some("p"),
        "no word for 12 s"
    );
}

#[test]
fn hundreds_of_routers_probe_nobody_for_a_lost_primary() {
    // Danger: for as long as a group has none, each router with a write asked its members over and over: a fifth of all
    // probes of a day, of which few found one sooner than the writes themselves.
    let probes = |settings: Settings| {
        let settings = Settings {
            max_attempts: 6,
            ..settings
        };
        let mut rig = Rig::with(settings, vec![entry("r1", false), entry("r2", false)]);
        let (mut found, mut attempts) = (0, 0);
        let mut at = rig.request(RequestInfo {
            time_left: 3_000 * MS,
            ..demand(1, UNSAFE)
        });
        for _ in 0..40 {
            while at.take().is_some() {
                rig.ends(
                    1,
                    attempts,
                    AttemptEnd::Misdirected,
                    says(Role::Replica, rig.now),
                );
                attempts += 1;
                at = rig.sent(1);
            }
            found += rig
                .actions
                .iter()
                .filter(|a| matches!(a, Action::HealthCheck(_)))
                .count();
            rig.later(20 * MS);
            at = rig.sent(1);
        }
        assert!(attempts > 1, "the write asks members itself");
        found
    };
    assert_eq!(probes(reporting()), 0);
    assert!(
        probes(Settings {
            router_count: 3,
            ..reporting()
        }) > 0,
        "a few routers ask"
    );
}
