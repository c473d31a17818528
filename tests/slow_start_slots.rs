//! Slow start by time slots, for fleets with few routers. What all routers together send to a warming node stays below
//! what the settings allow, however unevenly the routers send, whatever they send and whenever they restart; and it is
//! most of that if there is enough demand. Fleets with more than 24 routers, or more than 96 divided by the overload
//! factor of the nodes, use random draws and the nodes' reports instead: see `large_fleets.rs` and
//! `simulation/tests/slow_start.rs`.

mod common;

use common::*;
use plovercove::*;
use std::collections::{BTreeMap, VecDeque};

/// The cores that the decisions assume for a warming node without reports.
const ASSUMED_CORES: f64 = 2.0;
/// The work that the decisions assume for a request of an unknown class, as a share of its latency objective.
const ASSUMED_WORK_SHARE: f64 = 0.3;
/// Number of slots in the duration after which an overload makes a node fail.
const SLOTS: u64 = 4;
const STEP: Micros = 10 * MS;
const END: Time = T0 + 6_000 * MS;
const LONG: usize = 6;

fn fleet_settings(index: u32, routers: u32) -> Settings {
    // More than 24 routers use slots if the overload factor is low: up to 96 divided by it.
    let overload_factor = if routers > 24 { 2.0 } else { 4.0 };
    let mut settings = Settings {
        router_index: index,
        router_count: routers,
        overload_factor,
        overload_duration: 2_000 * MS,
        ..settings()
    };
    settings.classes.push(Class {
        latency_objective: 1_200 * MS,
        ..class("long", Access::Any, Idempotency::Idempotent)
    });
    settings
}

fn work(class: usize) -> f64 {
    fleet_settings(0, 1).classes[class].latency_objective as f64 * ASSUMED_WORK_SHARE
}

/// Returns the budget of a time window that ends at `end` (us of work).
fn budget(end: Time, routers: u32) -> f64 {
    let settings = fleet_settings(0, routers);
    let warm = settings.slow_start_min_share
        + (1.0 - settings.slow_start_min_share) * (end - T0) as f64
            / settings.slow_start_duration as f64;
    settings.overload_factor * warm * ASSUMED_CORES * settings.overload_duration as f64
}

/// A generator of random numbers from 0 to 1 (splitmix64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// The load and the restarts of a simulated fleet.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    routers: u32,
    /// Requests of all routers in a step. Every fifth router gets `heavy_router_factor` times as many as each other
    /// one.
    requests_per_step: f64,
    heavy_router_factor: f64,
    /// Probability that a router restarts in a step.
    restart_probability: f64,
    classes: &'static [usize],
    seed: u64,
}

/// The attempts that each warming node received: their times, and their work.
type SentWork = BTreeMap<NodeId, Vec<(Time, f64)>>;

/// Runs a fleet in which all nodes start to warm up at the same time. Each attempt is answered one step later, after
/// the time that its class is assumed to need, so that no estimate changes.
fn run_fleet(scenario: Scenario) -> SentWork {
    let warming = |name: &str, primary| Endpoint {
        started_at: Some(T0),
        ..endpoint(name, primary)
    };
    let list = || {
        Event::EndpointsChanged(EndpointUpdate::Full(vec![
            warming("p", true),
            warming("r1", false),
            warming("r2", false),
        ]))
    };
    let mut draws = Draws(scenario.seed);
    let start = |index, at, seed| {
        let mut balancer = Balancer::new(fleet_settings(index, scenario.routers), seed);
        balancer.handle(at, vec![list()], &mut Vec::new());
        balancer
    };
    let mut fleet: Vec<Balancer> = (0..scenario.routers)
        .map(|i| start(i, T0, u64::from(i) + 1))
        .collect();
    let mut answers: Vec<VecDeque<(RequestId, usize)>> = vec![VecDeque::new(); fleet.len()];
    let heavy = |i: u32| {
        if i.is_multiple_of(5) {
            scenario.heavy_router_factor
        } else {
            1.0
        }
    };
    let weights: f64 = (0..scenario.routers).map(heavy).sum();
    let mut classes = BTreeMap::new();
    let (mut sent, mut id) = (SentWork::new(), 0);
    for now in (T0..END).step_by(STEP as usize) {
        for (router, balancer) in fleet.iter_mut().enumerate() {
            if draws.next() < scenario.restart_probability {
                *balancer = start(router as u32, now, now ^ router as u64);
                answers[router].clear();
            }
            let no_report = NodeReport::default();
            let end = |(request, class)| Event::AttemptEnded {
                request,
                attempt: 0,
                end: AttemptEnd::Success,
                elapsed: work(class) as Micros,
                request_over: true,
                answer_report: no_report,
                load_report: no_report,
            };
            let mut events: Vec<Event> = answers[router].drain(..).map(end).collect();
            let mut expected_requests = scenario.requests_per_step * heavy(router as u32) / weights;
            while draws.next() < expected_requests {
                expected_requests -= 1.0;
                id += 1;
                let class =
                    scenario.classes[(draws.next() * scenario.classes.len() as f64) as usize];
                classes.insert(id, class);
                events.push(Event::RequestArrived(request_info(id, class)));
            }
            let mut actions = Vec::new();
            balancer.handle(now, events, &mut actions);
            for action in actions {
                if let Action::Send { request, node, .. } = action {
                    sent.entry(node)
                        .or_default()
                        .push((now, work(classes[&request])));
                    answers[router].push_back((request, classes[&request]));
                }
            }
        }
    }
    sent
}

/// Returns the largest ratio, over all windows, of the work sent in a window to its limit. The limit is the budget of
/// the settings, plus one request of the most expensive class in each slot that the window touches.
fn max_budget_use(sent: &[(Time, f64)], max_work: f64, routers: u32) -> f64 {
    let window = fleet_settings(0, 1).overload_duration;
    let ends = sent.iter().enumerate().map(|(last, (at, _))| {
        let inside = sent[..=last]
            .iter()
            .filter(|(then, _)| then + window >= *at);
        inside.map(|(_, work)| work).sum::<f64>()
            / (budget(*at, routers) + (SLOTS + 1) as f64 * max_work)
    });
    ends.fold(0.0, f64::max)
}

#[test]
fn the_sends_of_all_routers_stay_within_the_budget_of_any_window() {
    let mut checked_nodes = 0;
    for routers in [1, 2, 3, 5, 12, 20, 24, 30, 48] {
        for (n, (heavy_router_factor, restart_probability)) in
            [(1.0, 0.0), (6.0, 0.0), (3.0, 0.02), (1.0, 0.2)]
                .into_iter()
                .enumerate()
        {
            for classes in [&[ANY][..], &[DEDUPLICATED], &[ANY, LONG, DEDUPLICATED, ANY]] {
                let seed = u64::from(routers) * 31 + n as u64;
                // About five times what all three nodes can take.
                let scenario = Scenario {
                    routers,
                    requests_per_step: 5.0,
                    heavy_router_factor,
                    restart_probability,
                    classes,
                    seed,
                };
                let max_work = classes.iter().map(|c| work(*c)).fold(0.0, f64::max);
                for (node, sent) in run_fleet(scenario) {
                    let max_use = max_budget_use(&sent, max_work, routers);
                    assert!(max_use <= 1.0, "{max_use:.2} at {node}: {scenario:?}");
                    checked_nodes += 1;
                }
            }
        }
    }
    assert!(checked_nodes >= 100, "{checked_nodes} nodes got attempts");
}

#[test]
fn the_budget_is_used_under_enough_demand() {
    // The protection against overload must not keep a node idle. Four of the five slots that a window touches are given
    // out, and each is a fifth of the window's budget; the parts of routers with little demand are unused.
    for routers in [1, 2, 5, 12, 20, 24, 30, 48] {
        let scenario = Scenario {
            routers,
            requests_per_step: 40.0,
            heavy_router_factor: 1.0,
            restart_probability: 0.0,
            classes: &[ANY],
            seed: 3,
        };
        for (node, sent) in run_fleet(scenario)
            .iter()
            .filter(|(node, _)| ***node != *"p")
        {
            let total_work: f64 = sent.iter().map(|(_, work)| work).sum();
            // The budget rises linearly, so its mean over the run is that of the middle.
            let windows = (END - T0) as f64 / fleet_settings(0, 1).overload_duration as f64;
            let used_share = total_work / (budget((T0 + END) / 2, routers) * windows);
            assert!(
                (0.6..=0.95).contains(&used_share),
                "{used_share:.2} of the budget at {node}: {scenario:?}"
            );
        }
    }
}

#[test]
fn a_process_that_starts_within_a_slot_waits_for_the_next() {
    // A new process does not know what the previous one sent in this slot, and would spend its part twice.
    let warming = Endpoint {
        started_at: Some(T0),
        ..endpoint("r1", false)
    };
    let slot_length = fleet_settings(0, 1).overload_duration / SLOTS;
    for start_offset in [0, MS, slot_length - MS] {
        let mut balancer = Balancer::new(fleet_settings(0, 1), 7);
        let mut sent = Vec::new();
        for now in (T0 + start_offset..T0 + 2 * slot_length).step_by(STEP as usize) {
            let mut events = vec![Event::RequestArrived(request_info(now, ANY))];
            if now == T0 + start_offset {
                events.insert(
                    0,
                    Event::EndpointsChanged(EndpointUpdate::Full(vec![warming.clone()])),
                );
            }
            let mut actions = Vec::new();
            balancer.handle(now, events, &mut actions);
            sent.extend(
                actions
                    .iter()
                    .any(|a| matches!(a, Action::Send { .. }))
                    .then_some(now),
            );
        }
        let first = sent.first().expect("it has slots");
        assert_eq!(
            *first < T0 + slot_length,
            start_offset == 0,
            "started {start_offset} us into a slot, sent {} us into it",
            first - T0
        );
    }
}
