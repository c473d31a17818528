//! Model check of the lists: one subscriber that subscribes, moves, leaves, begins a new life or dies, three gateways that
//! compare in any order, die and are away for long, and messages that come late and twice. Whatever happened: once the
//! gateways have compared and the subscriber has renewed, all lists are what the subscriber wants.

use plovercove::Time;
use plovercove_fanout::{
    Declaration, Guard, MergeOutcome, Rules, Subscriber, SubscriptionTable, Topic,
};
use stateright::{Checker, Model, Property};

const ZONES: [&str; 3] = ["a", "b", "c"];
const BEGIN: Time = 1_000_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Said {
    boot: u64,
    counter: u64,
    to: usize,
    holds: bool,
    /// How often it has come.
    came: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Time,
    tables: [SubscriptionTable; 3],
    said: Vec<Said>,
    boot: u64,
    counter: u64,
    /// Which gateway it wants to be told by; none where it left or died.
    wants: Option<usize>,
    steps: u8,
    long: u8,
    /// A gateway began anew with nothing.
    restarted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Subscribe(usize),
    Leave,
    Again(usize),
    Die,
    Come(usize),
    Compare(usize, usize),
    Restart(usize),
    Expire(usize),
    /// This gateway is away for longer than those who left are remembered.
    Long(usize),
}

struct Lists {
    rules: Rules,
    most: u8,
}

fn topic() -> Topic {
    Topic::new("role/1").expect("a name")
}

fn who(boot: u64, zone: usize) -> Subscriber {
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000 + boot as u16));
    Subscriber {
        name: "x".into(),
        boot,
        address,
        zone: ZONES[zone].into(),
    }
}

impl Lists {
    fn says(&self, world: &mut World, said: &Said) {
        let (subscriber, topic) = (who(said.boot, said.to), topic());
        let topics: &[Topic] = if said.holds {
            std::slice::from_ref(&topic)
        } else {
            &[]
        };
        let declaration = Declaration {
            subscriber: &subscriber,
            counter: said.counter,
            first: Some(&topic),
            last: Some(&topic),
            topics,
        };
        let now = world.now;
        world.tables[said.to].apply(now, &declaration);
    }

    /// Two gateways tell each other all; the table decides.
    fn compare(&self, world: &mut World, a: usize, b: usize) {
        if self.rules.disabled_guard == Some(Guard::Repair) {
            return;
        }
        let now = world.now;
        for (from, to) in [(a, b), (b, a)] {
            for entry in world.tables[from].entries().cloned().collect::<Vec<_>>() {
                if let MergeOutcome::Stale(newer) = world.tables[to].merge(now, &entry) {
                    world.tables[from].merge(now, &newer);
                }
            }
        }
    }

    fn compare_all(&self, world: &mut World) {
        for (a, b) in [(0, 1), (1, 2), (0, 2), (0, 1)] {
            self.compare(world, a, b);
        }
    }

    /// The subscriber renews: where its gateway does not hold what it holds, it says so under a new number.
    fn renew(&self, world: &mut World) {
        let Some(to) = world.wants else { return };
        if !world.tables[to]
            .live_entries()
            .any(|e| *e.subscriber.zone == *ZONES[to] && e.boot == world.boot)
        {
            world.counter += 1;
        }
        let said = Said {
            boot: world.boot,
            counter: world.counter,
            to,
            holds: true,
            came: 0,
        };
        self.says(world, &said);
    }

    fn tidy(&self, world: &mut World) {
        let (now, lease) = (world.now, self.rules.subscriber_lease(1));
        for table in &mut world.tables {
            table.expire_and_forget(now, true, lease);
        }
    }

    /// Whether the lists come to what is wanted.
    fn heals(&self, world: &World) -> bool {
        let mut world = world.clone();
        self.compare_all(&mut world);
        self.renew(&mut world);
        self.compare_all(&mut world);
        let right = |world: &World| {
            world.tables.iter().all(|table| {
                let lives: Vec<_> = table
                    .live_entries()
                    .map(|e| (e.boot, e.subscriber.zone.to_string()))
                    .collect();
                lives
                    == world
                        .wants
                        .map(|z| (world.boot, ZONES[z].to_string()))
                        .into_iter()
                        .collect::<Vec<_>>()
            })
        };
        let last = world.said.iter().max_by_key(|s| (s.boot, s.counter));
        let left = last.is_some_and(|s| !s.holds);
        if world.wants.is_none() && (!left || world.restarted) {
            // It died without a word, or the gateway that it told died with it: a lease later it is gone.
            world.now += self.rules.subscriber_lease(1) + 1;
            self.tidy(&mut world);
            self.compare_all(&mut world);
        }
        right(&world)
    }
}

impl Model for Lists {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let tables = ZONES.map(|zone| SubscriptionTable::new(self.rules.clone(), zone));
        vec![World {
            now: BEGIN,
            tables,
            said: Vec::new(),
            boot: 1,
            counter: 0,
            wants: None,
            steps: 0,
            long: 0,
            restarted: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Step>) {
        for (n, said) in world.said.iter().enumerate() {
            if said.came < 2 {
                actions.push(Step::Come(n));
            }
        }
        if world.steps < self.most {
            for to in 0..3 {
                if world.wants != Some(to) {
                    actions.push(Step::Subscribe(to));
                }
                if world.boot < 2 && world.counter > 0 {
                    actions.push(Step::Again(to));
                }
                if !world.restarted {
                    actions.push(Step::Restart(to));
                }
                if world.wants != Some(to) && world.tables[to].own_subscriber_count() > 0 {
                    actions.push(Step::Expire(to));
                }
            }
            if world.wants.is_some() {
                actions.push(Step::Leave);
                actions.push(Step::Die);
            }
            if world.long < 1 && world.said.iter().all(|s| s.came > 0) {
                actions.extend((0..3).map(Step::Long));
            }
            actions.extend([
                Step::Compare(0, 1),
                Step::Compare(1, 2),
                Step::Compare(0, 2),
            ]);
        }
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        world.steps += u8::from(!matches!(step, Step::Come(_)));
        let say = |world: &mut World, to: usize, holds: bool| {
            world.counter += 1;
            world.said.push(Said {
                boot: world.boot,
                counter: world.counter,
                to,
                holds,
                came: 0,
            });
        };
        match step {
            Step::Subscribe(to) => {
                world.wants = Some(to);
                say(&mut world, to, true);
            }
            Step::Leave => {
                let to = world.wants.take()?;
                say(&mut world, to, false);
            }
            Step::Again(to) => {
                world.boot += 1;
                world.counter = 0;
                world.wants = Some(to);
                say(&mut world, to, true);
            }
            Step::Die => world.wants = None,
            Step::Come(n) => {
                let said = world.said[n].clone();
                world.said[n].came += 1;
                self.says(&mut world, &said);
            }
            Step::Compare(a, b) => self.compare(&mut world, a, b),
            Step::Restart(g) => {
                world.restarted = true;
                world.tables[g] = SubscriptionTable::new(self.rules.clone(), ZONES[g]);
            }
            Step::Expire(g) => {
                world.now += self.rules.subscriber_lease(1) + 1;
                let (now, lease) = (world.now, self.rules.subscriber_lease(1));
                world.tables[g].expire_and_forget(now, true, lease);
            }
            Step::Long(away) => {
                let near: Vec<usize> = (0..3).filter(|g| *g != away).collect();
                self.compare(&mut world, near[0], near[1]);
                self.renew(&mut world);
                self.compare(&mut world, near[0], near[1]);
                // What was under way has come or is lost.
                world.said.iter_mut().for_each(|s| s.came = 2);
                // Who died ends by its lease, and is then forgotten; those who hear each other go on comparing.
                for span in [
                    self.rules.subscriber_lease(1),
                    self.rules.tombstone_retention(),
                    self.rules.tombstone_retention(),
                ] {
                    world.now += span + 1;
                    self.renew(&mut world);
                    // A copy is confirmed where it was found to be the same.
                    self.compare(&mut world, near[0], near[1]);
                    let now = world.now;
                    world.tables[near[0]].confirm_copy(ZONES[near[1]], now);
                    world.tables[near[1]].confirm_copy(ZONES[near[0]], now);
                    self.tidy(&mut world);
                    self.compare(&mut world, near[0], near[1]);
                }
                world.long += 1;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("lists heal", |lists: &Lists, world: &World| {
                world.said.iter().any(|s| s.came == 0) || lists.heals(world)
            }),
            Property::sometimes("it is told", |_, world: &World| {
                world.tables[0].live_entries().next().is_some()
            }),
        ]
    }
}

fn check(disabled_guard: Option<Guard>, most: u8) -> (usize, Option<Vec<Step>>) {
    let rules = Rules {
        disabled_guard,
        ..Rules::default()
    };
    let checker = Lists { rules, most }
        .checker()
        .threads(4)
        .spawn_dfs()
        .join();
    let wrong = checker
        .discovery("lists heal")
        .map(|path| path.into_actions());
    (checker.unique_state_count(), wrong)
}

#[test]
fn lists_heal_whatever_happens() {
    let (states, wrong) = check(None, 4);
    println!("{states} states");
    assert_eq!(wrong, None);
    assert!(
        states > 10_000,
        "{states} states are too few to mean anything"
    );
}

#[test]
fn without_a_guard_the_model_finds_a_way_to_wrong_lists() {
    for guard in [
        Guard::Tombstone,
        Guard::Order,
        Guard::Expiry,
        Guard::Repair,
        Guard::Away,
    ] {
        let (_, wrong) = check(Some(guard), 4);
        println!("without {guard:?}: {wrong:?}");
        assert!(wrong.is_some(), "{guard:?}: the check catches nothing");
    }
}
