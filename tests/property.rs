//! Arbitrary orders of events, from fixed seeds: whatever comes, the first three rules hold and no request leaves its
//! group. The checks keep their own books from the actions alone.

mod common;

use common::*;
use plovercove::*;
use std::collections::{BTreeMap, BTreeSet};

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % sides
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.roll(100) < percent
    }
}

struct Try {
    node: NodeId,
    sent: Time,
    until: Time,
    pending: bool,
    never_ran: bool,
}

struct Book {
    class: usize,
    group: GroupId,
    deadline: Time,
    tries: Vec<Try>,
    over: bool,
}

/// The checker: its own view of lists, requests and attempts.
struct World {
    cfg: Settings,
    books: BTreeMap<RequestId, Book>,
    nodes: BTreeMap<NodeId, (Endpoint, Option<Time>)>,
    answered: u64,
    sends: u64,
}

impl World {
    fn check(&mut self, now: Time, action: &Action, ended_before: &BTreeSet<RequestId>) {
        match action {
            Action::Send {
                request,
                node,
                timeout,
            } => {
                self.sends += 1;
                let book = self.books.get_mut(request).expect("a known request");
                assert!(
                    !book.over && !ended_before.contains(request),
                    "sent after its end"
                );
                let class = &self.cfg.classes[book.class];
                let (entry, closed) = &self.nodes[node];
                assert_eq!(entry.group, book.group, "sent outside its group");
                let drained = closed.is_some_and(|at| now > at + self.cfg.drain_grace);
                assert!(!drained, "sent to a node that drains or is gone");
                let pending = book.tries.iter().filter(|t| t.pending).count();
                assert!(
                    pending == 0 || (self.cfg.hedging_allowed && pending == 1),
                    "too many copies at once"
                );
                assert!(
                    (book.tries.len() as u32) < self.cfg.max_attempts,
                    "too many attempts"
                );
                let risky: Vec<&Try> = book.tries.iter().filter(|t| !t.never_ran).collect();
                match class.idempotency {
                    Idempotency::Idempotent => {}
                    Idempotency::AtMostOnce => {
                        assert!(risky.is_empty(), "an unsafe request sent again")
                    }
                    Idempotency::Deduplicated => {
                        let in_window = risky.iter().all(|t| now <= t.sent + class.dedup_window);
                        assert!(in_window, "a keyed request sent again past its window");
                        let zone = |id: &NodeId| &self.nodes[id].0.zone;
                        let in_scope = |t: &&Try| {
                            class.dedup_scope != DedupScope::Zone || zone(&t.node) == zone(node)
                        };
                        assert!(
                            risky.iter().all(in_scope),
                            "a keyed request sent to other zones"
                        );
                    }
                }
                let until = (now + timeout).min(book.deadline);
                book.tries.push(Try {
                    node: node.clone(),
                    sent: now,
                    until,
                    pending: true,
                    never_ran: false,
                });
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let book = self.books.get_mut(request).expect("a known request");
                assert!(
                    !book.over && !ended_before.contains(request),
                    "two final answers"
                );
                assert!(
                    now <= book.deadline + self.cfg.answer_grace,
                    "answered too late"
                );
                let class = &self.cfg.classes[book.class];
                let harmless = book.tries.iter().all(|t| t.never_ran)
                    || class.idempotency == Idempotency::Idempotent
                    || (class.idempotency == Idempotency::Deduplicated
                        && class.dedup_scope == DedupScope::All);
                assert!(
                    matches!(action, Action::Fail { .. }) || harmless,
                    "refused what may have run"
                );
                book.over = true;
                self.answered += 1;
            }
            Action::Cancel { request, attempt } => {
                assert!(
                    self.cfg.cancel_allowed,
                    "cancelled where that is not allowed"
                );
                assert!(
                    self.books[request].tries.len() > *attempt as usize,
                    "cancelled what was never sent"
                );
            }
            Action::HealthCheck(node) => {
                assert!(
                    self.cfg.health_checks_allowed && self.nodes.contains_key(node),
                    "probed a stranger"
                );
            }
            Action::CloseIdle(node) => {
                assert!(self.nodes.contains_key(node), "closed to a stranger")
            }
            Action::Wake(span) => assert!(*span > 0),
            Action::Subscribe | Action::Log(_) => {}
        }
    }
}

fn random_settings(dice: &mut Dice) -> Settings {
    let mut cfg = settings();
    cfg.hedging_allowed = dice.chance(40);
    cfg.cancel_allowed = dice.chance(70);
    cfg.health_checks_allowed = dice.chance(70);
    cfg.retry_after_allowed = dice.chance(50);
    cfg.max_retry_after = 1_000 * MS;
    cfg.clients_carry_tokens = dice.chance(50);
    cfg.subscribe = dice.chance(30);
    cfg.removed_nodes_stay_open = dice.chance(30);
    cfg.reports = [
        ReportSource::Answers,
        ReportSource::HealthChecks,
        ReportSource::None,
    ][dice.roll(3) as usize];
    let checks = [
        ReplicaCheck::None,
        ReplicaCheck::Reject,
        ReplicaCheck::Wait(50 * MS),
    ];
    cfg.replica_check = checks[dice.roll(3) as usize];
    cfg.classes[KEYED].dedup_scope =
        [DedupScope::All, DedupScope::Zone, DedupScope::Group][dice.roll(3) as usize];
    cfg.classes[KEYED].dedup_window = [200 * MS, 1_000 * MS][dice.roll(2) as usize];
    cfg.router_index = dice.roll(4) as u32;
    cfg.router_count = [0, 1, 4, 25, 500][dice.roll(5) as usize];
    cfg.connection_idle = [1_000 * MS, 15_000 * MS][dice.roll(2) as usize];
    cfg
}

fn random_entry(dice: &mut Dice, now: Time) -> Endpoint {
    let number = dice.roll(7);
    let mut e = entry(&format!("n{number}"), dice.chance(25));
    e.group = 1 + number % 2;
    e.zone = ["here", "there"][(number / 2 % 2) as usize].into();
    e.state = [
        EndpointState::Serving,
        EndpointState::Serving,
        EndpointState::Serving,
        EndpointState::Draining,
        EndpointState::Removed,
    ][dice.roll(5) as usize];
    e.started_at = dice
        .chance(30)
        .then(|| now.saturating_sub(dice.roll(20_000_000)));
    e
}

fn random_standing(dice: &mut Dice, now: Time) -> NodeReport {
    // Now and then a position from the future, which must be worth nothing.
    let position = dice
        .chance(80)
        .then(|| now + 100 * MS - dice.roll(3_000) * MS);
    let role = [None, Some(Role::Primary), Some(Role::Replica)][dice.roll(3) as usize];
    NodeReport {
        position,
        role,
        in_flight: dice.chance(50).then(|| dice.roll(400) as u32),
        utilization_permille: dice.chance(50).then(|| dice.roll(2000) as u32),
        age: if dice.chance(30) {
            dice.roll(3_000) * MS
        } else {
            0
        },
    }
}

fn note_list(world: &mut World, now: Time, entries: &[Endpoint], full: bool) {
    let open = world.cfg.removed_nodes_stay_open;
    for e in entries {
        let was = world.nodes.get(&e.node).and_then(|(_, closed)| *closed);
        let closed = match e.state {
            EndpointState::Serving => None,
            EndpointState::Removed if open => was,
            _ => was.or(Some(now)),
        };
        world.nodes.insert(e.node.clone(), (e.clone(), closed));
    }
    if full && !open {
        let named: BTreeSet<&NodeId> = entries.iter().map(|e| &e.node).collect();
        for (_, (_, closed)) in world.nodes.iter_mut().filter(|(id, _)| !named.contains(id)) {
            closed.get_or_insert(now);
        }
    }
}

fn ending_of(dice: &mut Dice) -> AttemptEnd {
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
    ][dice.roll(10) as usize]
}

fn play(seed: u64) -> (u64, u64) {
    let mut dice = Dice(seed);
    let cfg = random_settings(&mut dice);
    let mut balancer = Balancer::new(cfg.clone(), seed);
    let mut world = World {
        cfg,
        books: BTreeMap::new(),
        nodes: BTreeMap::new(),
        answered: 0,
        sends: 0,
    };
    let (mut now, mut next_id, mut wakes) = (T0, 1u64, BTreeSet::new());
    for step in 0..1_500u64 {
        let (mut events, mut ended) = (Vec::new(), BTreeSet::new());
        let quiet = step > 1_200;
        if wakes.range(..=now).next().is_some() {
            wakes.retain(|t| *t > now);
            events.push(Event::Timer);
        }
        if step == 0 || dice.chance(2) {
            let count = if step == 0 { 12 } else { dice.roll(5) };
            let mut entries: Vec<Endpoint> =
                (0..count).map(|_| random_entry(&mut dice, now)).collect();
            entries.sort_by(|a, b| a.node.cmp(&b.node));
            entries.dedup_by(|a, b| a.node == b.node);
            let full = dice.chance(20);
            note_list(&mut world, now, &entries, full);
            let update = if full {
                EndpointUpdate::Full(entries)
            } else {
                EndpointUpdate::Changes(entries)
            };
            events.push(Event::EndpointsChanged(if dice.chance(5) {
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
        // Attempts that are due end; some others end early.
        let ids: Vec<RequestId> = world.books.keys().copied().collect();
        for id in ids {
            let book = world.books.get_mut(&id).expect("listed");
            for place in 0..book.tries.len() {
                let t = &mut book.tries[place];
                let timed_out = now >= t.until;
                if !t.pending || !(timed_out || dice.chance(6)) {
                    continue;
                }
                let ending = if timed_out {
                    AttemptEnd::TimedOut
                } else {
                    ending_of(&mut dice)
                };
                t.pending = false;
                let never = [
                    AttemptEnd::Overloaded,
                    AttemptEnd::Unreachable,
                    AttemptEnd::NeverSent,
                    AttemptEnd::Misdirected,
                ];
                t.never_ran = never.contains(&ending);
                if ending == AttemptEnd::Success && !book.over {
                    book.over = true;
                    world.answered += 1;
                    ended.insert(id);
                }
                events.push(Event::AttemptEnded {
                    request: id,
                    attempt: place as u32,
                    end: ending,
                    elapsed: now - t.sent,
                    request_over: book.over,
                    answer_report: random_standing(&mut dice, now),
                    load_report: random_standing(&mut dice, now),
                });
            }
            if !book.over && dice.chance(1) && dice.chance(10) {
                book.over = true;
                world.answered += 1;
                ended.insert(id);
                events.push(Event::ClientGone { request: id });
            }
        }
        for _ in 0..if quiet { 0 } else { dice.roll(4) } {
            let mut d = demand(next_id, dice.roll(6) as usize);
            (d.group, d.time_left) = (1 + dice.roll(2), (20 + dice.roll(900)) * MS);
            d.session = dice.chance(70).then(|| format!("s{}", dice.roll(9)).into());
            d.is_retry = dice.chance(20);
            d.last_write_age = dice.chance(50).then(|| dice.roll(900) * MS);
            let book = Book {
                class: d.class,
                group: d.group,
                deadline: now + d.time_left,
                tries: vec![],
                over: false,
            };
            world.books.insert(next_id, book);
            events.push(Event::RequestArrived(d));
            next_id += 1;
        }
        if dice.chance(10) {
            let node: NodeId = format!("n{}", dice.roll(9)).into();
            events.push(Event::HealthChecked {
                node,
                answered: dice.chance(80),
                load_report: random_standing(&mut dice, now),
            });
        }
        if dice.chance(5) {
            // Half of them well formed: a step of a group's gate, true or not.
            let rest: Vec<u8> = (0..dice.roll(40)).map(|_| dice.roll(256) as u8).collect();
            let step = [
                &(1 + dice.roll(3)).to_le_bytes()[..],
                &[dice.roll(3) as u8, dice.roll(256) as u8],
            ];
            let payload = if dice.chance(50) { step.concat() } else { rest };
            events.push(Event::Peer {
                from: dice.roll(9) as u32,
                payload,
            });
        }
        if !events.is_empty() {
            let mut actions = Vec::new();
            balancer.handle(now, events, &mut actions);
            for action in &actions {
                world.check(now, action, &ended);
                if let Action::Wake(span) = action {
                    wakes.insert(now + span);
                }
            }
        }
        let grace = world.cfg.answer_grace;
        for (id, book) in &world.books {
            assert!(
                book.over || now <= book.deadline + grace,
                "seed {seed}: request {id} was never answered"
            );
        }
        world
            .books
            .retain(|_, b| !b.over || b.tries.iter().any(|t| t.pending));
        now += if quiet {
            5 * MS
        } else {
            5 * MS * (1 + dice.roll(2))
        };
    }
    assert!(
        world.books.values().all(|b| b.over),
        "seed {seed}: requests left without an answer"
    );
    (world.answered, world.sends)
}

#[test]
fn any_order_of_events_keeps_the_rules() {
    let (answered, sends) = (0..32)
        .map(play)
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(
        answered > 30_000 && sends > 15_000,
        "the runs were too thin: {answered} answers, {sends} sends"
    );
}
