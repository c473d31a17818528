//! Model check of the lists. One subscriber subscribes, moves, leaves, restarts or dies; three gateways compare in any
//! order, restart or are cut off for long; messages are delayed and duplicated. From every state, all lists are what
//! the subscriber wants once the gateways have compared and the subscriber has renewed.

use plovercove::Time;
use plovercove_fanout::{
    Declaration, Guard, MergeOutcome, Rules, Subscriber, SubscriptionTable, Topic,
};
use stateright::{Checker, Model, Property};

const ZONES: [&str; 3] = ["a", "b", "c"];
const START: Time = 1_000_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentDeclaration {
    boot: u64,
    counter: u64,
    to: usize,
    subscribes: bool,
    /// How often the declaration has arrived.
    arrivals: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: Time,
    tables: [SubscriptionTable; 3],
    sent: Vec<SentDeclaration>,
    boot: u64,
    counter: u64,
    /// The gateway that the subscriber wants to use; `None` after it has left or died.
    wanted_gateway: Option<usize>,
    steps: u8,
    long_absences: u8,
    /// Whether a gateway has restarted with an empty list.
    restarted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Subscribe(usize),
    Leave,
    NewIncarnation(usize),
    Die,
    Arrive(usize),
    Compare(usize, usize),
    RestartGateway(usize),
    Expire(usize),
    /// This gateway is cut off for longer than ended subscriptions are remembered.
    LongAbsence(usize),
}

struct ListsModel {
    rules: Rules,
    max_steps: u8,
}

fn topic() -> Topic {
    Topic::new("role/1").expect("a valid name")
}

fn subscriber_in(boot: u64, zone: usize) -> Subscriber {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + boot as u16));
    Subscriber {
        name: "x".into(),
        boot,
        address,
        zone: ZONES[zone].into(),
    }
}

impl ListsModel {
    fn apply_declaration(&self, state: &mut ModelState, sent: &SentDeclaration) {
        let (subscriber, topic) = (subscriber_in(sent.boot, sent.to), topic());
        let topics: &[Topic] = if sent.subscribes {
            std::slice::from_ref(&topic)
        } else {
            &[]
        };
        let declaration = Declaration {
            subscriber: &subscriber,
            counter: sent.counter,
            first: Some(&topic),
            last: Some(&topic),
            topics,
        };
        let now = state.now;
        state.tables[sent.to].apply(now, &declaration);
    }

    /// Exchanges all entries between two gateways and merges them.
    fn compare(&self, state: &mut ModelState, a: usize, b: usize) {
        if self.rules.disabled_guard == Some(Guard::Repair) {
            return;
        }
        let now = state.now;
        for (from, to) in [(a, b), (b, a)] {
            for entry in state.tables[from].entries().cloned().collect::<Vec<_>>() {
                if let MergeOutcome::Stale(newer) = state.tables[to].merge(now, &entry) {
                    state.tables[from].merge(now, &newer);
                }
            }
        }
    }

    fn compare_all(&self, state: &mut ModelState) {
        for (a, b) in [(0, 1), (1, 2), (0, 2), (0, 1)] {
            self.compare(state, a, b);
        }
    }

    /// The subscriber renews. If its gateway does not have its subscription, the subscriber declares it under a new
    /// counter.
    fn renew(&self, state: &mut ModelState) {
        let Some(to) = state.wanted_gateway else {
            return;
        };
        if !state.tables[to]
            .live_entries()
            .any(|e| *e.subscriber.zone == *ZONES[to] && e.boot == state.boot)
        {
            state.counter += 1;
        }
        let sent = SentDeclaration {
            boot: state.boot,
            counter: state.counter,
            to,
            subscribes: true,
            arrivals: 0,
        };
        self.apply_declaration(state, &sent);
    }

    fn expire_all(&self, state: &mut ModelState) {
        let (now, lease) = (state.now, self.rules.subscriber_lease(1));
        for table in &mut state.tables {
            table.expire_and_forget(now, true, lease);
        }
    }

    /// Returns whether the lists become what the subscriber wants.
    fn converges(&self, state: &ModelState) -> bool {
        let mut state = state.clone();
        self.compare_all(&mut state);
        self.renew(&mut state);
        self.compare_all(&mut state);
        let is_correct = |state: &ModelState| {
            state.tables.iter().all(|table| {
                let live: Vec<_> = table
                    .live_entries()
                    .map(|e| (e.boot, e.subscriber.zone.to_string()))
                    .collect();
                live == state
                    .wanted_gateway
                    .map(|z| (state.boot, ZONES[z].to_string()))
                    .into_iter()
                    .collect::<Vec<_>>()
            })
        };
        let last = state.sent.iter().max_by_key(|s| (s.boot, s.counter));
        let has_left = last.is_some_and(|s| !s.subscribes);
        if state.wanted_gateway.is_none() && (!has_left || state.restarted) {
            // The subscriber died without leaving, or the gateway at which it unsubscribed died with it. Its entries
            // end after a lease.
            state.now += self.rules.subscriber_lease(1) + 1;
            self.expire_all(&mut state);
            self.compare_all(&mut state);
        }
        is_correct(&state)
    }
}

impl Model for ListsModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let tables = ZONES.map(|zone| SubscriptionTable::new(self.rules.clone(), zone));
        vec![ModelState {
            now: START,
            tables,
            sent: Vec::new(),
            boot: 1,
            counter: 0,
            wanted_gateway: None,
            steps: 0,
            long_absences: 0,
            restarted: false,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Step>) {
        for (index, sent) in state.sent.iter().enumerate() {
            if sent.arrivals < 2 {
                actions.push(Step::Arrive(index));
            }
        }
        if state.steps < self.max_steps {
            for to in 0..3 {
                if state.wanted_gateway != Some(to) {
                    actions.push(Step::Subscribe(to));
                }
                if state.boot < 2 && state.counter > 0 {
                    actions.push(Step::NewIncarnation(to));
                }
                if !state.restarted {
                    actions.push(Step::RestartGateway(to));
                }
                if state.wanted_gateway != Some(to) && state.tables[to].own_subscriber_count() > 0 {
                    actions.push(Step::Expire(to));
                }
            }
            if state.wanted_gateway.is_some() {
                actions.push(Step::Leave);
                actions.push(Step::Die);
            }
            if state.long_absences < 1 && state.sent.iter().all(|s| s.arrivals > 0) {
                actions.extend((0..3).map(Step::LongAbsence));
            }
            actions.extend([
                Step::Compare(0, 1),
                Step::Compare(1, 2),
                Step::Compare(0, 2),
            ]);
        }
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = before.clone();
        state.steps += u8::from(!matches!(step, Step::Arrive(_)));
        let declare = |state: &mut ModelState, to: usize, subscribes: bool| {
            state.counter += 1;
            state.sent.push(SentDeclaration {
                boot: state.boot,
                counter: state.counter,
                to,
                subscribes,
                arrivals: 0,
            });
        };
        match step {
            Step::Subscribe(to) => {
                state.wanted_gateway = Some(to);
                declare(&mut state, to, true);
            }
            Step::Leave => {
                let to = state.wanted_gateway.take()?;
                declare(&mut state, to, false);
            }
            Step::NewIncarnation(to) => {
                state.boot += 1;
                state.counter = 0;
                state.wanted_gateway = Some(to);
                declare(&mut state, to, true);
            }
            Step::Die => state.wanted_gateway = None,
            Step::Arrive(index) => {
                let sent = state.sent[index].clone();
                state.sent[index].arrivals += 1;
                self.apply_declaration(&mut state, &sent);
            }
            Step::Compare(a, b) => self.compare(&mut state, a, b),
            Step::RestartGateway(gateway) => {
                state.restarted = true;
                state.tables[gateway] = SubscriptionTable::new(self.rules.clone(), ZONES[gateway]);
            }
            Step::Expire(gateway) => {
                state.now += self.rules.subscriber_lease(1) + 1;
                let (now, lease) = (state.now, self.rules.subscriber_lease(1));
                state.tables[gateway].expire_and_forget(now, true, lease);
            }
            Step::LongAbsence(absent) => {
                let present: Vec<usize> = (0..3).filter(|gateway| *gateway != absent).collect();
                self.compare(&mut state, present[0], present[1]);
                self.renew(&mut state);
                self.compare(&mut state, present[0], present[1]);
                // Messages that were under way have arrived or are lost.
                state.sent.iter_mut().for_each(|s| s.arrivals = 2);
                // A subscriber that died expires after its lease and is forgotten later. The gateways that reach each
                // other continue to compare.
                for duration in [
                    self.rules.subscriber_lease(1),
                    self.rules.tombstone_retention(),
                    self.rules.tombstone_retention(),
                ] {
                    state.now += duration + 1;
                    self.renew(&mut state);
                    // Comparisons that find equal lists confirm the copies.
                    self.compare(&mut state, present[0], present[1]);
                    let now = state.now;
                    state.tables[present[0]].confirm_copy(ZONES[present[1]], now);
                    state.tables[present[1]].confirm_copy(ZONES[present[0]], now);
                    self.expire_all(&mut state);
                    self.compare(&mut state, present[0], present[1]);
                }
                state.long_absences += 1;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "lists converge",
                |model: &ListsModel, state: &ModelState| {
                    state.sent.iter().any(|s| s.arrivals == 0) || model.converges(state)
                },
            ),
            Property::sometimes("the subscriber is listed", |_, state: &ModelState| {
                state.tables[0].live_entries().next().is_some()
            }),
        ]
    }
}

fn check(disabled_guard: Option<Guard>, max_steps: u8) -> (usize, Option<Vec<Step>>) {
    let rules = Rules {
        disabled_guard,
        ..Rules::default()
    };
    let checker = ListsModel { rules, max_steps }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    let counterexample = checker
        .discovery("lists converge")
        .map(|path| path.into_actions());
    (checker.unique_state_count(), counterexample)
}

#[test]
fn lists_converge_from_every_state() {
    let (states, counterexample) = check(None, 4);
    println!("{states} states");
    assert_eq!(counterexample, None);
    assert!(
        states > 10_000,
        "{states} states are too few to mean anything"
    );
}

#[test]
fn without_a_guard_the_model_finds_wrong_lists() {
    for guard in [
        Guard::Tombstone,
        Guard::Order,
        Guard::Expiry,
        Guard::Repair,
        Guard::Away,
    ] {
        let (_, counterexample) = check(Some(guard), 4);
        println!("without {guard:?}: {counterexample:?}");
        assert!(
            counterexample.is_some(),
            "{guard:?}: the check does not notice the disabled guard"
        );
    }
}
