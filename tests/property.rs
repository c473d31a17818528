//! Random orders of events, from fixed seeds. Whatever happens, each request gets one final answer in time, no attempt
//! goes to a draining or removed node or repeats what must not run twice (the first three rules of the service), and no
//! request leaves its group. The checks keep a record of their own, built from the actions alone.

mod common;

use common::*;
use plovercove::*;
use std::collections::{BTreeMap, BTreeSet};

struct TestRng(u64);

impl TestRng {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % end
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

struct AttemptRecord {
    node: NodeId,
    sent_at: Time,
    times_out_at: Time,
    is_in_flight: bool,
    not_executed: bool,
}

struct RequestRecord {
    class: usize,
    group: GroupId,
    deadline: Time,
    attempts: Vec<AttemptRecord>,
    is_over: bool,
}

/// The checker, with its own record of lists, requests and attempts.
struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, RequestRecord>,
    nodes: BTreeMap<NodeId, (Endpoint, Option<Time>)>,
    answered: u64,
    sends: u64,
}

impl Checker {
    fn check(&mut self, now: Time, action: &Action, closed_requests: &BTreeSet<RequestId>) {
        match action {
            Action::Send {
                request,
                node,
                timeout,
            } => {
                self.sends += 1;
                let record = self.requests.get_mut(request).expect("a known request");
                assert!(
                    !record.is_over && !closed_requests.contains(request),
                    "sent after the end of its request"
                );
                let class = &self.settings.classes[record.class];
                let (endpoint, closed) = &self.nodes[node];
                assert_eq!(endpoint.group, record.group, "sent outside its group");
                let is_past_grace = closed.is_some_and(|at| now > at + self.settings.drain_grace);
                assert!(!is_past_grace, "sent to a draining or removed node");
                let in_flight_count = record.attempts.iter().filter(|t| t.is_in_flight).count();
                assert!(
                    in_flight_count == 0 || (self.settings.hedging_allowed && in_flight_count == 1),
                    "too many attempts at once"
                );
                assert!(
                    (record.attempts.len() as u32) < self.settings.max_attempts,
                    "too many attempts"
                );
                let maybe_executed: Vec<&AttemptRecord> =
                    record.attempts.iter().filter(|t| !t.not_executed).collect();
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::AtMostOnce => {
                        assert!(
                            maybe_executed.is_empty(),
                            "an at-most-once request sent again"
                        )
                    }
                    Idempotency::Deduplicated => {
                        let in_window = maybe_executed
                            .iter()
                            .all(|t| now <= t.sent_at + class.dedup_window);
                        assert!(
                            in_window,
                            "a deduplicated request sent again past its window"
                        );
                        let zone = |id: &NodeId| &self.nodes[id].0.zone;
                        let in_scope = |t: &&AttemptRecord| {
                            class.dedup_scope != DedupScope::Zone || zone(&t.node) == zone(node)
                        };
                        assert!(
                            maybe_executed.iter().all(in_scope),
                            "a deduplicated request sent to other zones"
                        );
                    }
                }
                let times_out_at = (now + timeout).min(record.deadline);
                record.attempts.push(AttemptRecord {
                    node: node.clone(),
                    sent_at: now,
                    times_out_at,
                    is_in_flight: true,
                    not_executed: false,
                });
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let record = self.requests.get_mut(request).expect("a known request");
                assert!(
                    !record.is_over && !closed_requests.contains(request),
                    "two final answers"
                );
                assert!(
                    now <= record.deadline + self.settings.answer_grace,
                    "answered too late"
                );
                let class = &self.settings.classes[record.class];
                let is_harmless = record.attempts.iter().all(|t| t.not_executed)
                    || class.idempotency == Idempotency::Idempotent
                    || (class.idempotency == Idempotency::Deduplicated
                        && class.dedup_scope == DedupScope::All);
                assert!(
                    matches!(action, Action::Fail { .. }) || is_harmless,
                    "rejected a request that may have been executed"
                );
                record.is_over = true;
                self.answered += 1;
            }
            Action::Cancel { request, attempt } => {
                assert!(
                    self.settings.cancel_allowed,
                    "cancelled where that is not allowed"
                );
                assert!(
                    self.requests[request].attempts.len() > *attempt as usize,
                    "cancelled an attempt that was never sent"
                );
            }
            Action::HealthCheck(node) => {
                assert!(
                    self.settings.health_checks_allowed && self.nodes.contains_key(node),
                    "polled an unknown node"
                );
            }
            Action::CloseIdle(node) => {
                assert!(
                    self.nodes.contains_key(node),
                    "closed connections to an unknown node"
                )
            }
            Action::Wake(duration) => assert!(*duration > 0),
            Action::Subscribe | Action::Log(_) => {}
        }
    }
}

fn random_settings(rng: &mut TestRng) -> Settings {
    let mut settings = settings();
    settings.hedging_allowed = rng.chance(40);
    settings.cancel_allowed = rng.chance(70);
    settings.health_checks_allowed = rng.chance(70);
    settings.retry_after_allowed = rng.chance(50);
    settings.max_retry_after = 1_000 * MS;
    settings.clients_carry_tokens = rng.chance(50);
    settings.subscribe = rng.chance(30);
    settings.removed_nodes_stay_open = rng.chance(30);
    settings.reports = [
        ReportSource::Answers,
        ReportSource::HealthChecks,
        ReportSource::None,
    ][rng.below(3) as usize];
    let checks = [
        ReplicaCheck::None,
        ReplicaCheck::Reject,
        ReplicaCheck::Wait(50 * MS),
    ];
    settings.replica_check = checks[rng.below(3) as usize];
    settings.classes[DEDUPLICATED].dedup_scope =
        [DedupScope::All, DedupScope::Zone, DedupScope::Group][rng.below(3) as usize];
    settings.classes[DEDUPLICATED].dedup_window = [200 * MS, 1_000 * MS][rng.below(2) as usize];
    settings.router_index = rng.below(4) as u32;
    settings.router_count = [0, 1, 4, 25, 500][rng.below(5) as usize];
    settings.connection_idle = [1_000 * MS, 15_000 * MS][rng.below(2) as usize];
    settings
}

fn random_endpoint(rng: &mut TestRng, now: Time) -> Endpoint {
    let number = rng.below(7);
    let mut endpoint = endpoint(&format!("n{number}"), rng.chance(25));
    endpoint.group = 1 + number % 2;
    endpoint.zone = ["here", "there"][(number / 2 % 2) as usize].into();
    endpoint.state = [
        EndpointState::Serving,
        EndpointState::Serving,
        EndpointState::Serving,
        EndpointState::Draining,
        EndpointState::Removed,
    ][rng.below(5) as usize];
    endpoint.started_at = rng
        .chance(30)
        .then(|| now.saturating_sub(rng.below(20_000_000)));
    endpoint
}

fn random_report(rng: &mut TestRng, now: Time) -> NodeReport {
    // Some positions are from the future and must be ignored.
    let position = rng
        .chance(80)
        .then(|| now + 100 * MS - rng.below(3_000) * MS);
    let role = [None, Some(Role::Primary), Some(Role::Replica)][rng.below(3) as usize];
    NodeReport {
        position,
        role,
        in_flight: rng.chance(50).then(|| rng.below(400) as u32),
        utilization_permille: rng.chance(50).then(|| rng.below(2000) as u32),
        age: if rng.chance(30) {
            rng.below(3_000) * MS
        } else {
            0
        },
    }
}

fn record_list(checker: &mut Checker, now: Time, endpoints: &[Endpoint], is_full: bool) {
    let stay_open = checker.settings.removed_nodes_stay_open;
    for endpoint in endpoints {
        let closed_before = checker
            .nodes
            .get(&endpoint.node)
            .and_then(|(_, closed)| *closed);
        let closed = match endpoint.state {
            EndpointState::Serving => None,
            EndpointState::Removed if stay_open => closed_before,
            _ => closed_before.or(Some(now)),
        };
        checker
            .nodes
            .insert(endpoint.node.clone(), (endpoint.clone(), closed));
    }
    if is_full && !stay_open {
        let listed: BTreeSet<&NodeId> = endpoints.iter().map(|endpoint| &endpoint.node).collect();
        for (_, (_, closed)) in checker
            .nodes
            .iter_mut()
            .filter(|(id, _)| !listed.contains(id))
        {
            closed.get_or_insert(now);
        }
    }
}

fn random_end(rng: &mut TestRng) -> AttemptEnd {
    use AttemptEnd::*;
    [
        Success,
        Success,
        Success,
        Failure,
        Overloaded,
        Unreachable,
        Reset,
        NeverSent,
        Misdirected,
        Misdirected,
    ][rng.below(10) as usize]
}

fn run(seed: u64) -> (u64, u64) {
    let mut rng = TestRng(seed);
    let settings = random_settings(&mut rng);
    let mut balancer = Balancer::new(settings.clone(), seed);
    let mut checker = Checker {
        settings,
        requests: BTreeMap::new(),
        nodes: BTreeMap::new(),
        answered: 0,
        sends: 0,
    };
    let (mut now, mut next_id, mut wakes) = (T0, 1u64, BTreeSet::new());
    for step in 0..1_500u64 {
        let (mut events, mut ended) = (Vec::new(), BTreeSet::new());
        let is_final_phase = step > 1_200;
        if wakes.range(..=now).next().is_some() {
            wakes.retain(|t| *t > now);
            events.push(Event::Timer);
        }
        if step == 0 || rng.chance(2) {
            let count = if step == 0 { 12 } else { rng.below(5) };
            let mut endpoints: Vec<Endpoint> =
                (0..count).map(|_| random_endpoint(&mut rng, now)).collect();
            endpoints.sort_by(|a, b| a.node.cmp(&b.node));
            endpoints.dedup_by(|a, b| a.node == b.node);
            let full = rng.chance(20);
            record_list(&mut checker, now, &endpoints, full);
            let update = if full {
                EndpointUpdate::Full(endpoints)
            } else {
                EndpointUpdate::Changes(endpoints)
            };
            events.push(Event::EndpointsChanged(if rng.chance(5) {
                EndpointUpdate::Failed
            } else {
                update.clone()
            }));
            if matches!(
                events.last(),
                Some(Event::EndpointsChanged(EndpointUpdate::Failed))
            ) {
                events.push(Event::EndpointsChanged(update));
            }
        }
        // Attempts that have timed out end; some others end earlier.
        let ids: Vec<RequestId> = checker.requests.keys().copied().collect();
        for id in ids {
            let record = checker.requests.get_mut(&id).expect("listed");
            for number in 0..record.attempts.len() {
                let attempt = &mut record.attempts[number];
                let timed_out = now >= attempt.times_out_at;
                if !attempt.is_in_flight || !(timed_out || rng.chance(6)) {
                    continue;
                }
                let end = if timed_out {
                    AttemptEnd::TimedOut
                } else {
                    random_end(&mut rng)
                };
                attempt.is_in_flight = false;
                let not_executed_ends = [
                    AttemptEnd::Overloaded,
                    AttemptEnd::Unreachable,
                    AttemptEnd::NeverSent,
                    AttemptEnd::Misdirected,
                ];
                attempt.not_executed = not_executed_ends.contains(&end);
                if end == AttemptEnd::Success && !record.is_over {
                    record.is_over = true;
                    checker.answered += 1;
                    ended.insert(id);
                }
                events.push(Event::AttemptEnded {
                    request: id,
                    attempt: number as u32,
                    end,
                    elapsed: now - attempt.sent_at,
                    request_over: record.is_over,
                    answer_report: random_report(&mut rng, now),
                    load_report: random_report(&mut rng, now),
                });
            }
            if !record.is_over && rng.chance(1) && rng.chance(10) {
                record.is_over = true;
                checker.answered += 1;
                ended.insert(id);
                events.push(Event::ClientGone { request: id });
            }
        }
        for _ in 0..if is_final_phase { 0 } else { rng.below(4) } {
            let mut info = request_info(next_id, rng.below(6) as usize);
            (info.group, info.time_left) = (1 + rng.below(2), (20 + rng.below(900)) * MS);
            info.session = rng.chance(70).then(|| format!("s{}", rng.below(9)).into());
            info.is_retry = rng.chance(20);
            info.last_write_age = rng.chance(50).then(|| rng.below(900) * MS);
            let record = RequestRecord {
                class: info.class,
                group: info.group,
                deadline: now + info.time_left,
                attempts: vec![],
                is_over: false,
            };
            checker.requests.insert(next_id, record);
            events.push(Event::RequestArrived(info));
            next_id += 1;
        }
        if rng.chance(10) {
            let node: NodeId = format!("n{}", rng.below(9)).into();
            events.push(Event::HealthChecked {
                node,
                answered: rng.chance(80),
                load_report: random_report(&mut rng, now),
            });
        }
        if rng.chance(5) {
            // Half of the messages have the form of a group's protocol step, with arbitrary values.
            let random_bytes: Vec<u8> = (0..rng.below(40)).map(|_| rng.below(256) as u8).collect();
            let step = [
                &(1 + rng.below(3)).to_le_bytes()[..],
                &[rng.below(3) as u8, rng.below(256) as u8],
            ];
            let payload = if rng.chance(50) {
                step.concat()
            } else {
                random_bytes
            };
            events.push(Event::Peer {
                from: rng.below(9) as u32,
                payload,
            });
        }
        if !events.is_empty() {
            let mut actions = Vec::new();
            balancer.handle(now, events, &mut actions);
            for action in &actions {
                checker.check(now, action, &ended);
                if let Action::Wake(duration) = action {
                    wakes.insert(now + duration);
                }
            }
        }
        let grace = checker.settings.answer_grace;
        for (id, record) in &checker.requests {
            assert!(
                record.is_over || now <= record.deadline + grace,
                "seed {seed}: request {id} was never answered"
            );
        }
        checker
            .requests
            .retain(|_, b| !b.is_over || b.attempts.iter().any(|t| t.is_in_flight));
        now += if is_final_phase {
            5 * MS
        } else {
            5 * MS * (1 + rng.below(2))
        };
    }
    assert!(
        checker.requests.values().all(|b| b.is_over),
        "seed {seed}: requests left without an answer"
    );
    (checker.answered, checker.sends)
}

#[test]
fn any_order_of_events_keeps_the_rules() {
    let (answered, sends) = (0..32).map(run).fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(
        answered > 30_000 && sends > 15_000,
        "the runs contained too little: {answered} answers, {sends} sends"
    );
}
