//! The agreement tried in every order: three deciders, three owners, asks and answers lost, twice and late, crashes, stops,
//! and a change of deciders. Ballots and tallies are those of the crate.
#![allow(missing_docs, reason = "a test")]

use plovercove_fencing::Token;
use plovercove_leases::{Ballot, Guard, Holder, Rules, Tally, VoteOutcome};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// One tick of true time (us).
const TICK: u64 = 1_000;
/// How far a clock may be off.
const DRIFT: f64 = 0.5;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask {
        owner: usize,
        voter: usize,
        token: Token,
        asked: u64,
    },
    Pass {
        owner: usize,
        to: usize,
        voter: usize,
        token: Token,
        asked: u64,
    },
    Yes {
        owner: usize,
        voter: usize,
        token: Token,
        asked: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    ballot: Ballot,
    /// On disk: no vote for a token over this.
    token_ceiling: Token,
    from: u64,
    generation: u8,
    /// It lost its disk, and has not read the others since.
    blank: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Owner {
    token: Token,
    tally: Tally,
    won: bool,
    asks: u8,
    generation: u8,
    /// It was stopped for so long, and its clock with it.
    slept: u64,
    /// It hands over, and acts no more.
    passing: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    voters: Vec<Voter>,
    owners: Vec<Owner>,
    /// What was sent may come at any time, any number of times, or never.
    sent: BTreeSet<Message>,
    crashes: u8,
    newest: Token,
    doubled: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    /// With the token after the lowest or the highest that deciders tell.
    Claim(usize, bool),
    Renew(usize),
    Come(Message),
    Crash(usize),
    /// A decider loses its disk, and with it what it promised.
    Lose(usize),
    /// It reads the others, when it has waited.
    Read(usize),
    /// A tick passes while this owner is stopped with its clock; it is told so.
    Sleep(usize),
    /// One hands over to another that says that it is ready.
    Pass(usize, usize),
    /// A decider is given the settings of the second generation.
    Change(usize),
}

/// What may happen beside.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Also {
    Nothing,
    /// Stops of owners and their clocks, and hand-overs.
    Handing,
    /// Lost disks rather than crashes.
    Losing,
}

struct Fleet {
    rules: Rules,
    owners: usize,
    ticks: u64,
    asks: u8,
    crashes: u8,
    change: bool,
    also: Also,
}

impl Fleet {
    fn is_enabled(&self, guard: Guard) -> bool {
        self.rules.disabled_guard != Some(guard)
    }

    /// The lease at a decider whose clock is as fast as it may be, in true time.
    fn hold(&self) -> u64 {
        (self.rules.lease_at_voter(self.rules.lease_ms) as f64 / (1.0 + DRIFT)) as u64
    }

    /// The lease at an owner whose clock is as slow as it may be, in true time.
    fn own(&self) -> u64 {
        (self.rules.lease_at_holder() as f64 / (1.0 - DRIFT)) as u64
    }

    fn quorum(&self) -> usize {
        if self.is_enabled(Guard::Majority) {
            2
        } else {
            1
        }
    }

    /// The third is the first, started anew while its former life goes on.
    fn who(n: usize) -> Holder {
        let (port, incarnation) = if n == 2 {
            (7_000, 2)
        } else {
            (7_000 + n as u16, 1)
        };
        Holder {
            address: ([127_u8, 0, 0, 1], port).into(),
            incarnation,
        }
    }

    fn acts(&self, state: &State, n: usize) -> bool {
        let owner = &state.owners[n];
        let until = owner
            .tally
            .lease_start(self.quorum())
            .map(|since| since + self.own());
        let passing = owner.passing && self.is_enabled(Guard::Transfer);
        owner.won
            && !passing
            && (!self.is_enabled(Guard::Clock)
                || until.is_some_and(|until| Self::clock(state, n) < until))
    }

    fn clock(state: &State, n: usize) -> u64 {
        state.now - state.owners[n].slept
    }

    /// Which deciders an owner asks: 0 to 2, or 1 to 3 after the change.
    fn set(generation: u8) -> std::ops::Range<usize> {
        if generation == 1 { 0..3 } else { 1..4 }
    }

    fn send(state: &mut State, n: usize) {
        let (token, now) = (state.owners[n].token, Self::clock(state, n));
        state.owners[n].asks += 1;
        for voter in Self::set(state.owners[n].generation) {
            state.sent.insert(Message::Ask {
                owner: n,
                voter,
                token,
                asked: now,
            });
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let voter = Voter {
            ballot: Ballot::new(Token(0)),
            token_ceiling: Token(0),
            from: 0,
            generation: 1,
            blank: false,
        };
        let owner = Owner {
            token: Token(0),
            tally: Tally::new(4),
            won: false,
            asks: 0,
            generation: 1,
            slept: 0,
            passing: false,
        };
        let mut first = State {
            now: TICK,
            voters: vec![voter; 4],
            owners: vec![owner; self.owners],
            sent: BTreeSet::new(),
            crashes: 0,
            newest: Token(0),
            doubled: false,
        };
        if self.change {
            first.owners[1].generation = 2;
        }
        vec![first]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.ticks * TICK {
            actions.push(Action::Tick);
        }
        for n in 0..self.owners {
            if state.owners[n].asks < self.asks {
                if !self.acts(state, n) {
                    actions.extend([Action::Claim(n, false), Action::Claim(n, true)]);
                } else {
                    actions.push(Action::Renew(n));
                }
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Come));
        if state.crashes < self.crashes {
            let crash = if self.also == Also::Losing {
                Action::Lose
            } else {
                Action::Crash
            };
            actions.extend((0..3).map(crash));
        }
        actions.extend((0..3).filter(|n| state.voters[*n].blank).map(Action::Read));
        if self.also == Also::Handing {
            for n in 0..self.owners {
                if state.now < self.ticks * TICK && state.owners[n].slept < 2 * TICK {
                    actions.push(Action::Sleep(n));
                }
                if self.acts(state, n) && !state.owners[n].passing {
                    let others = (0..self.owners).filter(|m| {
                        *m != n && !self.acts(state, *m) && state.owners[*m].asks < self.asks
                    });
                    actions.extend(others.map(|m| Action::Pass(n, m)));
                }
            }
        }
        if self.change {
            let changes = (0..4)
                .filter(|n| state.voters[*n].generation == 1)
                .map(Action::Change);
            actions.extend(changes);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Tick => state.now += TICK,
            Action::Claim(n, high) => {
                let told =
                    Self::set(state.owners[n].generation).map(|d| state.voters[d].ballot.highest);
                let highest = if high { told.max() } else { told.min() }.unwrap_or_default();
                state.owners[n].token = highest.next().max(state.owners[n].token.next());
                (state.owners[n].won, state.owners[n].tally) = (false, Tally::new(4));
                state.owners[n].passing = false;
                Self::send(&mut state, n);
            }
            Action::Renew(n) => Self::send(&mut state, n),
            Action::Come(Message::Ask {
                owner,
                voter,
                token,
                asked,
            }) => {
                let (now, hold, on) = (state.now, self.hold(), self.is_enabled(Guard::Ceiling));
                let generation = state.owners[owner].generation;
                let one = &mut state.voters[voter];
                if now < one.from
                    || one.blank
                    || one.generation != generation
                    || (voter == 3 && generation == 1)
                {
                    return None;
                }
                if one
                    .ballot
                    .request_vote(&self.rules, now, &Self::who(owner), token, hold)
                    != VoteOutcome::Granted
                {
                    return None;
                }
                if on {
                    one.token_ceiling = one.token_ceiling.max(token);
                }
                state.sent.insert(Message::Yes {
                    owner,
                    voter,
                    token,
                    asked,
                });
            }
            Action::Come(Message::Pass {
                owner,
                to,
                voter,
                token,
                asked,
            }) => {
                let (now, hold, on) = (state.now, self.hold(), self.is_enabled(Guard::Ceiling));
                let one = &mut state.voters[voter];
                if now < one.from || one.blank || one.generation != state.owners[owner].generation {
                    return None;
                }
                if !one
                    .ballot
                    .transfer(now, &Self::who(owner), token, &Self::who(to), hold)
                {
                    return None;
                }
                if on {
                    one.token_ceiling = one.token_ceiling.max(token.next());
                }
                state.sent.insert(Message::Yes {
                    owner: to,
                    voter,
                    token: token.next(),
                    asked,
                });
            }
            Action::Sleep(n) => {
                state.now += TICK;
                let one = &mut state.owners[n];
                one.slept += TICK;
                if self.is_enabled(Guard::Stalled) {
                    // It would have to ask anew for the token that it has; here it asks for a newer one.
                    (one.won, one.tally, one.token) = (false, Tally::new(4), one.token.next());
                }
            }
            Action::Lose(n) => {
                let wait = if self.is_enabled(Guard::WaitAfterStart) {
                    self.hold()
                } else {
                    0
                };
                let one = &mut state.voters[n];
                (one.ballot, one.token_ceiling) = (Ballot::new(Token(0)), Token(0));
                (one.from, one.blank) = (state.now + wait, self.is_enabled(Guard::CatchUp));
                state.crashes += 1;
            }
            Action::Read(n) => {
                if state.now < state.voters[n].from {
                    return None;
                }
                let told = (0..3)
                    .filter(|d| *d != n)
                    .map(|d| state.voters[d].token_ceiling)
                    .max();
                let highest = told.unwrap_or_default();
                let one = &mut state.voters[n];
                (one.ballot, one.token_ceiling, one.blank) = (Ballot::new(highest), highest, false);
            }
            Action::Pass(n, m) => {
                let (token, asked) = (state.owners[n].token, Self::clock(&state, m));
                if state.owners[m].token >= token.next() {
                    return None;
                }
                state.owners[n].passing = true;
                let to = &mut state.owners[m];
                to.asks += 1;
                (to.token, to.tally, to.won, to.passing) =
                    (token.next(), Tally::new(4), false, false);
                for voter in Self::set(state.owners[n].generation) {
                    state.sent.insert(Message::Pass {
                        owner: n,
                        to: m,
                        voter,
                        token,
                        asked,
                    });
                }
            }
            Action::Come(Message::Yes {
                owner,
                voter,
                token,
                asked,
            }) => {
                let (quorum, now) = (self.quorum(), Self::clock(&state, owner));
                let one = &mut state.owners[owner];
                if one.token != token {
                    return None;
                }
                one.tally.record_vote(
                    voter,
                    if self.is_enabled(Guard::CountFromRequest) {
                        asked
                    } else {
                        now
                    },
                );
                let since = one.tally.lease_start(quorum);
                if !one.won && since.is_some_and(|since| now < since + self.own()) {
                    one.won = true;
                }
            }
            Action::Crash(n) => {
                let wait = if self.is_enabled(Guard::WaitAfterStart) {
                    self.hold()
                } else {
                    0
                };
                let token_ceiling = state.voters[n].token_ceiling;
                state.voters[n].ballot = Ballot::new(token_ceiling);
                state.voters[n].from = state.now + wait;
                state.crashes += 1;
            }
            Action::Change(n) => {
                state.voters[n].generation = 2;
                // A member of the new set votes when a majority of the old has sealed itself: it is asked at any time, so
                // that the last possible moment of its entry is when it is asked.
                let sealed_below: Vec<usize> = (0..3)
                    .filter(|d| state.voters[*d].generation == 2)
                    .collect();
                if self.is_enabled(Guard::Seal) && sealed_below.len() < 2 {
                    state.voters[n].from = u64::MAX;
                } else {
                    let now = state.now;
                    let highest = sealed_below
                        .iter()
                        .map(|d| state.voters[*d].ballot.highest)
                        .max()
                        .unwrap_or_default();
                    let changed: Vec<usize> = Self::set(2)
                        .filter(|d| state.voters[*d].generation == 2)
                        .collect();
                    for d in changed {
                        let one = &mut state.voters[d];
                        if d == n || one.from == u64::MAX {
                            one.ballot = Ballot::new(one.ballot.highest.max(highest));
                            one.from = now + self.hold();
                        }
                    }
                }
            }
        }
        // Who acts now, and whether that can be.
        let acting: Vec<Token> = (0..self.owners)
            .filter(|n| self.acts(&state, *n))
            .map(|n| state.owners[n].token)
            .collect();
        state.doubled |= acting.len() > 1 || acting.iter().any(|t| *t < state.newest);
        let won_again = (0..self.owners).any(|n| {
            state.owners[n].won && !before.owners[n].won && state.owners[n].token <= state.newest
        });
        state.doubled |= won_again && !acting.is_empty();
        state.newest = acting
            .into_iter()
            .max()
            .unwrap_or_default()
            .max(state.newest);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "one owner at a time, and tokens rise",
            |_, state: &State| !state.doubled,
        )]
    }
}

fn fleet(guard: Option<Guard>, change: bool, ticks: u64) -> Fleet {
    let rules = Rules {
        lease_ms: 2,
        drift: DRIFT,
        disabled_guard: guard,
        ..Rules::default()
    };
    let (owners, crashes) = if change { (2, 0) } else { (3, 1) };
    Fleet {
        rules,
        owners,
        ticks,
        asks: 1,
        crashes,
        change,
        also: Also::Nothing,
    }
}

struct Explored {
    found: bool,
    states: usize,
    /// There are no other states.
    all: bool,
}

/// Looks for a violation until so many states were made.
fn explore(fleet: Fleet, most: usize, deep: bool) -> Explored {
    let builder = fleet.checker().threads(4).target_state_count(most);
    if deep {
        let checker = builder.spawn_dfs().join();
        let (found, states) = (
            !checker.discoveries().is_empty(),
            checker.unique_state_count(),
        );
        return Explored {
            found,
            states,
            all: !found && checker.state_count() < most,
        };
    }
    let checker = builder.spawn_bfs().join();
    let (found, states) = (
        !checker.discoveries().is_empty(),
        checker.unique_state_count(),
    );
    Explored {
        found,
        states,
        all: !found && checker.state_count() < most,
    }
}

/// The longer the time, the more states: the shortest first, each as deep as it goes and then as wide.
fn search(guard: Option<Guard>, change: bool, also: Also, owners: usize) -> Explored {
    let mut states = 0;
    let mut all = true;
    for ticks in 1..=4 {
        for deep in [true, false] {
            let of = explore(
                Fleet {
                    owners,
                    also,
                    ..fleet(guard, change, ticks)
                },
                MOST,
                deep,
            );
            states += of.states;
            if of.found {
                return Explored {
                    found: true,
                    states,
                    all: false,
                };
            }
            if guard.is_none() {
                let (n, all) = (of.states, if of.all { ", all there are" } else { "" });
                println!(
                    "all guards, change {change}, also {also:?}, {owners} owners, {ticks} ticks, deep {deep}: {n} states{all}"
                );
            }
            all &= of.all;
            if of.all {
                break;
            }
        }
    }
    Explored {
        found: false,
        states,
        all,
    }
}

/// States that are made in one search at the most.
const MOST: usize = 300_000;

#[test]
fn all_guards_hold() {
    for (change, also, owners) in [
        (false, Also::Nothing, 2),
        (false, Also::Nothing, 3),
        (true, Also::Nothing, 2),
        (false, Also::Handing, 2),
        (false, Also::Losing, 2),
    ] {
        assert!(
            !search(None, change, also, owners).found,
            "violated: change {change}, {owners} owners"
        );
    }
}

#[test]
fn each_guard_removed_is_found() {
    let guards = [
        (Guard::Clock, false, Also::Nothing, 2),
        (Guard::Drift, false, Also::Nothing, 2),
        (Guard::CountFromRequest, false, Also::Nothing, 2),
        (Guard::RunningLease, false, Also::Nothing, 2),
        (Guard::VoteOnce, false, Also::Nothing, 2),
        (Guard::WaitAfterStart, false, Also::Nothing, 2),
        (Guard::Ceiling, false, Also::Nothing, 2),
        (Guard::Majority, false, Also::Nothing, 2),
        (Guard::Incarnation, false, Also::Nothing, 3),
        (Guard::Seal, true, Also::Nothing, 2),
        (Guard::Stalled, false, Also::Handing, 2),
        (Guard::CatchUp, false, Also::Losing, 2),
        (Guard::Transfer, false, Also::Handing, 2),
    ];
    let mut missed = Vec::new();
    for (guard, change, also, owners) in guards {
        let of = search(Some(guard), change, also, owners);
        println!(
            "{guard:?} off: found {} after {} states",
            of.found, of.states
        );
        if !of.found {
            missed.push(guard);
        }
    }
    assert!(missed.is_empty(), "missed: {missed:?}");
}
