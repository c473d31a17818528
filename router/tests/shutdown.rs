//! Planned restarts: no request is found unanswered by a SIGKILL at the earliest time that the protocol page allows, whatever
//! the deadlines of the deployment are and whether or not nodes answer.

mod shutdown_rig;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::NodeBehavior;
use shutdown_rig::plan::{ClientKind, ClientScript, Plan, SinceSigterm};
use shutdown_rig::{Outcome, earliest_kill, play};
use std::ops::RangeInclusive;
use std::sync::Mutex;
use std::time::Duration;

/// The seeds that CI plays. The variable `SHUTDOWN_SEEDS`, such as `1..60`, names others.
const SEEDS: RangeInclusive<u64> = 1..=24;
/// Number of restarts that are played at the same time.
const PLAYED_AT_ONCE: usize = 4;
/// The deadlines of the deployments of the tests (ms).
const DEPLOYMENTS: [[u64; 2]; 5] = [
    [50, 100],
    [300, 450],
    [750, 1_000],
    [1_000, 5_000],
    [6_000, 3_500],
];

fn client(kind: ClientKind, connect_at: i64, first_request_at: i64, class: usize) -> ClientScript {
    ClientScript {
        kind,
        connect_at: SinceSigterm(connect_at),
        first_request_at: SinceSigterm(first_request_at),
        interval: Duration::from_millis(40),
        class,
        timeout_ms: 0,
        reads_from: None,
    }
}

/// Plays a plan whose clients wait for as long as the deadlines of their classes say.
fn play_clients(mut plan: Plan, clients: Vec<ClientScript>) -> Outcome {
    plan.clients = clients;
    for client in &mut plan.clients {
        client.timeout_ms = plan.deadlines_ms[client.class];
    }
    let outcome = play(&plan);
    assert!(!outcome.records.is_empty(), "no request was sent");
    outcome
}

fn assert_none_lost(case: &str, outcome: &Outcome) {
    assert!(
        outcome.lost.is_empty(),
        "{case}: {} of {} requests: {:#?}\n{}",
        outcome.lost.len(),
        outcome.records.len(),
        outcome.lost,
        outcome.log.join("\n")
    );
}

fn assert_ended_before_the_kill(case: &str, outcome: &Outcome) {
    assert!(
        outcome.ended_after.is_some(),
        "{case}: the router still runs at SIGKILL\n{}",
        outcome.log.join("\n")
    );
}

/// Plays a test for all deployments at the same time.
fn for_each_deployment(test: impl Fn([u64; 2]) + Sync) {
    std::thread::scope(|scope| {
        let test = &test;
        let played = DEPLOYMENTS.map(|deadlines_ms| scope.spawn(move || test(deadlines_ms)));
        for deployment in played {
            deployment.join().expect("it holds for this deployment");
        }
    });
}

#[test]
fn a_first_request_late_in_the_shutdown_is_answered_before_the_kill_while_nodes_hang() {
    for_each_deployment(|deadlines_ms| {
        let case = format!("late-{deadlines_ms:?}");
        let plan = Plan::with_hanging_nodes(&case, deadlines_ms);
        let times = [390, 450, 550, 650, 720, 740, 760, 780, 790];
        let clients = times.into_iter().enumerate();
        let clients = clients
            .map(|(n, at)| client(ClientKind::Sequential, 300, at, n % 2))
            .collect();
        let outcome = play_clients(plan, clients);
        assert_none_lost(&case, &outcome);
        assert_ended_before_the_kill(&case, &outcome);
    });
}

#[test]
fn a_client_with_always_another_request_under_way_is_answered_and_closed_before_the_kill() {
    for_each_deployment(|deadlines_ms| {
        for nodes in [NodeBehavior::HangOnStatement, NodeBehavior::Slow] {
            let case = format!("pipelining-{nodes:?}-{deadlines_ms:?}");
            let mut plan = Plan::with_hanging_nodes(&case, deadlines_ms);
            plan.node_behaviors = [nodes; 3];
            let clients = (0..6)
                .map(|n| client(ClientKind::Pipelining, -300, -300, n % 2))
                .collect();
            let outcome = play_clients(plan, clients);
            assert_none_lost(&case, &outcome);
            assert_ended_before_the_kill(&case, &outcome);
        }
    });
}

#[test]
fn a_flooding_client_does_not_keep_the_router_from_ending_before_the_kill() {
    for_each_deployment(|deadlines_ms| {
        let case = format!("flooding-{deadlines_ms:?}");
        let plan = Plan::with_hanging_nodes(&case, deadlines_ms);
        let clients = vec![
            client(ClientKind::Flooding, -300, -300, 0),
            client(ClientKind::Flooding, 350, 350, 0),
            client(ClientKind::Sequential, -300, -300, 1),
            client(ClientKind::Sequential, 390, 700, 0),
        ];
        let outcome = play_clients(plan, clients);
        assert_none_lost(&case, &outcome);
        assert_ended_before_the_kill(&case, &outcome);
    });
}

/// Returns the seeds to play.
fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("SHUTDOWN_SEEDS") else {
        return SEEDS;
    };
    let bounds = text.split_once("..").expect("SHUTDOWN_SEEDS: A..B");
    let bound = |text: &str| text.parse().expect("SHUTDOWN_SEEDS: A..B");
    bound(bounds.0)..=bound(bounds.1)
}

#[test]
fn no_drawn_restart_loses_a_request() {
    let left = Mutex::new(seeds());
    let faults = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PLAYED_AT_ONCE {
            scope.spawn(|| {
                let next_seed = || left.lock().expect("no panic").next();
                while let Some(seed) = next_seed() {
                    let plan = Plan::draw(seed);
                    let outcome = play(&plan);
                    println!(
                        "seed {seed}: deadlines {:?} ms, nodes {:?}, {} clients, {} signals, {} requests, {} lost, ended after {:?} of {:?}",
                        plan.deadlines_ms,
                        plan.node_behaviors,
                        plan.clients.len(),
                        plan.signals.len(),
                        outcome.records.len(),
                        outcome.lost.len(),
                        outcome.ended_after,
                        earliest_kill(&plan)
                    );
                    if !outcome.lost.is_empty() {
                        println!("log of seed {seed}:\n{}", outcome.log.join("\n"));
                        let mut faults = faults.lock().expect("no panic");
                        faults.push((seed, outcome.lost));
                    }
                }
            });
        }
    });
    let faults = faults.into_inner().expect("no panic");
    assert!(faults.is_empty(), "{faults:#?}");
}
