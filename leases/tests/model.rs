//! Model check of the agreement: three voters and up to three candidates, whose messages are lost, duplicated and delayed in
//! every order, with crashes, stops and a change of voters. It uses the ballots and tallies of the crate.
#![allow(missing_docs, reason = "a test")]

use plovercove_fencing::Token;
use plovercove_leases::{Ballot, Guard, Holder, Rules, Tally, VoteOutcome};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// One tick of true time (us).
const TICK: u64 = 1_000;
/// Maximum share by which a clock runs faster or slower than true time.
const DRIFT: f64 = 0.5;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request {
        candidate: usize,
        voter: usize,
        token: Token,
        requested_at: u64,
    },
    Transfer {
        candidate: usize,
        to: usize,
        voter: usize,
        token: Token,
        requested_at: u64,
    },
    Vote {
        candidate: usize,
        voter: usize,
        token: Token,
        requested_at: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Voter {
    ballot: Ballot,
    /// The highest token that it may have voted for, as persisted on its disk.
    token_ceiling: Token,
    /// Time from which it votes.
    votes_from: u64,
    generation: u8,
    /// It has lost its disk, and has not read the states of the other voters since.
    is_blank: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Candidate {
    token: Token,
    tally: Tally,
    is_held: bool,
    /// Number of requests sent.
    requests: u8,
    generation: u8,
    /// Total time for which it was stopped together with its clock.
    clock_stopped_for: u64,
    /// It is handing the lease over, and no longer acts.
    is_handing_over: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    voters: Vec<Voter>,
    candidates: Vec<Candidate>,
    /// All messages sent so far. Each may arrive at any time, any number of times, or never.
    sent: BTreeSet<Message>,
    crashes: u8,
    /// The newest token under which a candidate has acted.
    newest_token: Token,
    /// The property does not hold in this state or in one before it.
    is_violated: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    /// A candidate requests the token after the highest token that its voters report or, if the flag is false, after the
    /// lowest one.
    Claim(usize, bool),
    Renew(usize),
    Deliver(Message),
    Crash(usize),
    /// A voter loses its disk, and with it its promises.
    LoseDisk(usize),
    /// A voter that lost its disk reads the states of the others, after its wait.
    CatchUp(usize),
    /// A candidate is stopped for a tick together with its clock, and detects that afterwards.
    StopWithClock(usize),
    /// A candidate hands the lease over to another one that is ready.
    HandOver(usize, usize),
    /// A voter gets the settings of the second generation.
    ChangeGeneration(usize),
}

/// Additional actions of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variation {
    None,
    /// Candidates are stopped together with their clocks, and hand the lease over.
    HandOvers,
    /// Voters lose their disks instead of merely crashing.
    LostDisks,
}

/// The model and the bounds of its actions.
struct LeaseModel {
    rules: Rules,
    candidates: usize,
    ticks: u64,
    max_requests: u8,
    max_crashes: u8,
    change: bool,
    variation: Variation,
}

impl LeaseModel {
    fn is_enabled(&self, guard: Guard) -> bool {
        self.rules.disabled_guard != Some(guard)
    }

    /// Returns the length of a lease in true time at a voter whose clock is as fast as allowed.
    fn lease_at_voter(&self) -> u64 {
        (self.rules.lease_at_voter(self.rules.lease_ms) as f64 / (1.0 + DRIFT)) as u64
    }

    /// Returns the length of a lease in true time at a holder whose clock is as slow as allowed.
    fn lease_at_holder(&self) -> u64 {
        (self.rules.lease_at_holder() as f64 / (1.0 - DRIFT)) as u64
    }

    fn quorum(&self) -> usize {
        if self.is_enabled(Guard::Majority) {
            2
        } else {
            1
        }
    }

    /// Returns the identity of a candidate. The third one is a restart of the first, whose previous process still runs.
    fn holder(n: usize) -> Holder {
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

    /// Returns whether a candidate may act under its token.
    fn may_act(&self, state: &State, n: usize) -> bool {
        let candidate = &state.candidates[n];
        let until = candidate
            .tally
            .lease_start(self.quorum())
            .map(|start| start + self.lease_at_holder());
        let is_handing_over = candidate.is_handing_over && self.is_enabled(Guard::Transfer);
        candidate.is_held
            && !is_handing_over
            && (!self.is_enabled(Guard::Clock)
                || until.is_some_and(|until| Self::clock(state, n) < until))
    }

    /// Returns the time on a candidate's clock.
    fn clock(state: &State, n: usize) -> u64 {
        state.now - state.candidates[n].clock_stopped_for
    }

    /// Returns the voters of a generation: 0 to 2, or 1 to 3 after the change.
    fn voters_of(generation: u8) -> std::ops::Range<usize> {
        if generation == 1 { 0..3 } else { 1..4 }
    }

    /// Sends a candidate's request to all voters of its generation.
    fn send_requests(state: &mut State, n: usize) {
        let (token, now) = (state.candidates[n].token, Self::clock(state, n));
        state.candidates[n].requests += 1;
        for voter in Self::voters_of(state.candidates[n].generation) {
            state.sent.insert(Message::Request {
                candidate: n,
                voter,
                token,
                requested_at: now,
            });
        }
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let voter = Voter {
            ballot: Ballot::new(Token(0)),
            token_ceiling: Token(0),
            votes_from: 0,
            generation: 1,
            is_blank: false,
        };
        let candidate = Candidate {
            token: Token(0),
            tally: Tally::new(4),
            is_held: false,
            requests: 0,
            generation: 1,
            clock_stopped_for: 0,
            is_handing_over: false,
        };
        let mut first = State {
            now: TICK,
            voters: vec![voter; 4],
            candidates: vec![candidate; self.candidates],
            sent: BTreeSet::new(),
            crashes: 0,
            newest_token: Token(0),
            is_violated: false,
        };
        if self.change {
            first.candidates[1].generation = 2;
        }
        vec![first]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.now < self.ticks * TICK {
            actions.push(Action::Tick);
        }
        for n in 0..self.candidates {
            if state.candidates[n].requests < self.max_requests {
                if !self.may_act(state, n) {
                    actions.extend([Action::Claim(n, false), Action::Claim(n, true)]);
                } else {
                    actions.push(Action::Renew(n));
                }
            }
        }
        actions.extend(state.sent.iter().cloned().map(Action::Deliver));
        if state.crashes < self.max_crashes {
            let crash = if self.variation == Variation::LostDisks {
                Action::LoseDisk
            } else {
                Action::Crash
            };
            actions.extend((0..3).map(crash));
        }
        actions.extend(
            (0..3)
                .filter(|n| state.voters[*n].is_blank)
                .map(Action::CatchUp),
        );
        if self.variation == Variation::HandOvers {
            for n in 0..self.candidates {
                if state.now < self.ticks * TICK && state.candidates[n].clock_stopped_for < 2 * TICK
                {
                    actions.push(Action::StopWithClock(n));
                }
                if self.may_act(state, n) && !state.candidates[n].is_handing_over {
                    let others = (0..self.candidates).filter(|m| {
                        *m != n
                            && !self.may_act(state, *m)
                            && state.candidates[*m].requests < self.max_requests
                    });
                    actions.extend(others.map(|m| Action::HandOver(n, m)));
                }
            }
        }
        if self.change {
            let changes = (0..4)
                .filter(|n| state.voters[*n].generation == 1)
                .map(Action::ChangeGeneration);
            actions.extend(changes);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Tick => state.now += TICK,
            Action::Claim(n, after_highest) => {
                let reported = Self::voters_of(state.candidates[n].generation)
                    .map(|voter| state.voters[voter].ballot.highest);
                let highest = if after_highest {
                    reported.max()
                } else {
                    reported.min()
                }
                .unwrap_or_default();
                state.candidates[n].token = highest.next().max(state.candidates[n].token.next());
                (state.candidates[n].is_held, state.candidates[n].tally) = (false, Tally::new(4));
                state.candidates[n].is_handing_over = false;
                Self::send_requests(&mut state, n);
            }
            Action::Renew(n) => Self::send_requests(&mut state, n),
            Action::Deliver(Message::Request {
                candidate,
                voter,
                token,
                requested_at,
            }) => {
                let (now, lease_at_voter) = (state.now, self.lease_at_voter());
                let persists_ceiling = self.is_enabled(Guard::Ceiling);
                let generation = state.candidates[candidate].generation;
                let receiver = &mut state.voters[voter];
                if now < receiver.votes_from
                    || receiver.is_blank
                    || receiver.generation != generation
                    || (voter == 3 && generation == 1)
                {
                    return None;
                }
                if receiver.ballot.request_vote(
                    &self.rules,
                    now,
                    &Self::holder(candidate),
                    token,
                    lease_at_voter,
                ) != VoteOutcome::Granted
                {
                    return None;
                }
                if persists_ceiling {
                    receiver.token_ceiling = receiver.token_ceiling.max(token);
                }
                state.sent.insert(Message::Vote {
                    candidate,
                    voter,
                    token,
                    requested_at,
                });
            }
            Action::Deliver(Message::Transfer {
                candidate,
                to,
                voter,
                token,
                requested_at,
            }) => {
                let (now, lease_at_voter) = (state.now, self.lease_at_voter());
                let persists_ceiling = self.is_enabled(Guard::Ceiling);
                let receiver = &mut state.voters[voter];
                if now < receiver.votes_from
                    || receiver.is_blank
                    || receiver.generation != state.candidates[candidate].generation
                {
                    return None;
                }
                if !receiver.ballot.transfer(
                    now,
                    &Self::holder(candidate),
                    token,
                    &Self::holder(to),
                    lease_at_voter,
                ) {
                    return None;
                }
                if persists_ceiling {
                    receiver.token_ceiling = receiver.token_ceiling.max(token.next());
                }
                state.sent.insert(Message::Vote {
                    candidate: to,
                    voter,
                    token: token.next(),
                    requested_at,
                });
            }
            Action::StopWithClock(n) => {
                state.now += TICK;
                let candidate = &mut state.candidates[n];
                candidate.clock_stopped_for += TICK;
                if self.is_enabled(Guard::Stalled) {
                    // A router requests its token again after a stall. In the model it requests a newer one instead.
                    (candidate.is_held, candidate.tally, candidate.token) =
                        (false, Tally::new(4), candidate.token.next());
                }
            }
            Action::LoseDisk(n) => {
                let wait = if self.is_enabled(Guard::WaitAfterStart) {
                    self.lease_at_voter()
                } else {
                    0
                };
                let voter = &mut state.voters[n];
                (voter.ballot, voter.token_ceiling) = (Ballot::new(Token(0)), Token(0));
                (voter.votes_from, voter.is_blank) =
                    (state.now + wait, self.is_enabled(Guard::CatchUp));
                state.crashes += 1;
            }
            Action::CatchUp(n) => {
                if state.now < state.voters[n].votes_from {
                    return None;
                }
                let reported = (0..3)
                    .filter(|voter| *voter != n)
                    .map(|voter| state.voters[voter].token_ceiling)
                    .max();
                let highest = reported.unwrap_or_default();
                let voter = &mut state.voters[n];
                (voter.ballot, voter.token_ceiling, voter.is_blank) =
                    (Ballot::new(highest), highest, false);
            }
            Action::HandOver(n, m) => {
                let (token, requested_at) = (state.candidates[n].token, Self::clock(&state, m));
                if state.candidates[m].token >= token.next() {
                    return None;
                }
                state.candidates[n].is_handing_over = true;
                let to = &mut state.candidates[m];
                to.requests += 1;
                (to.token, to.tally, to.is_held, to.is_handing_over) =
                    (token.next(), Tally::new(4), false, false);
                for voter in Self::voters_of(state.candidates[n].generation) {
                    state.sent.insert(Message::Transfer {
                        candidate: n,
                        to: m,
                        voter,
                        token,
                        requested_at,
                    });
                }
            }
            Action::Deliver(Message::Vote {
                candidate,
                voter,
                token,
                requested_at,
            }) => {
                let (quorum, now) = (self.quorum(), Self::clock(&state, candidate));
                let receiver = &mut state.candidates[candidate];
                if receiver.token != token {
                    return None;
                }
                receiver.tally.record_vote(
                    voter,
                    if self.is_enabled(Guard::CountFromRequest) {
                        requested_at
                    } else {
                        now
                    },
                );
                let start = receiver.tally.lease_start(quorum);
                if !receiver.is_held
                    && start.is_some_and(|start| now < start + self.lease_at_holder())
                {
                    receiver.is_held = true;
                }
            }
            Action::Crash(n) => {
                let wait = if self.is_enabled(Guard::WaitAfterStart) {
                    self.lease_at_voter()
                } else {
                    0
                };
                let token_ceiling = state.voters[n].token_ceiling;
                state.voters[n].ballot = Ballot::new(token_ceiling);
                state.voters[n].votes_from = state.now + wait;
                state.crashes += 1;
            }
            Action::ChangeGeneration(n) => {
                state.voters[n].generation = 2;
                // A voter of the new set enters once a majority of the previous set has sealed itself, and then waits for the
                // longest lease. Settings may change at any time, so the model lets the voters enter at the moment of a change.
                let sealed: Vec<usize> = (0..3)
                    .filter(|voter| state.voters[*voter].generation == 2)
                    .collect();
                if self.is_enabled(Guard::Seal) && sealed.len() < 2 {
                    state.voters[n].votes_from = u64::MAX;
                } else {
                    let now = state.now;
                    let highest = sealed
                        .iter()
                        .map(|voter| state.voters[*voter].ballot.highest)
                        .max()
                        .unwrap_or_default();
                    let changed: Vec<usize> = Self::voters_of(2)
                        .filter(|voter| state.voters[*voter].generation == 2)
                        .collect();
                    for number in changed {
                        let voter = &mut state.voters[number];
                        if number == n || voter.votes_from == u64::MAX {
                            voter.ballot = Ballot::new(voter.ballot.highest.max(highest));
                            voter.votes_from = now + self.lease_at_voter();
                        }
                    }
                }
            }
        }
        // No two candidates may act at once, none under a token older than the newest, and none may win such a token.
        let acting: Vec<Token> = (0..self.candidates)
            .filter(|n| self.may_act(&state, *n))
            .map(|n| state.candidates[n].token)
            .collect();
        state.is_violated |=
            acting.len() > 1 || acting.iter().any(|token| *token < state.newest_token);
        let won_stale_token = (0..self.candidates).any(|n| {
            state.candidates[n].is_held
                && !before.candidates[n].is_held
                && state.candidates[n].token <= state.newest_token
        });
        state.is_violated |= won_stale_token && !acting.is_empty();
        state.newest_token = acting
            .into_iter()
            .max()
            .unwrap_or_default()
            .max(state.newest_token);
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            "a lease has one acting holder, and its tokens rise",
            |_, state: &State| !state.is_violated,
        )]
    }
}

/// Returns the model without a guard, with or without a change of voters.
fn model(guard: Option<Guard>, change: bool, ticks: u64) -> LeaseModel {
    let rules = Rules {
        lease_ms: 2,
        drift: DRIFT,
        disabled_guard: guard,
        ..Rules::default()
    };
    let (candidates, max_crashes) = if change { (2, 0) } else { (3, 1) };
    LeaseModel {
        rules,
        candidates,
        ticks,
        max_requests: 1,
        max_crashes,
        change,
        variation: Variation::None,
    }
}

/// Result of a search.
struct Explored {
    /// A violation was found.
    found: bool,
    /// Number of distinct states.
    states: usize,
    /// All reachable states were explored.
    is_exhaustive: bool,
}

/// Searches for a violation until `max_states` states have been generated.
fn explore(model: LeaseModel, max_states: usize, depth_first: bool) -> Explored {
    let builder = model.checker().threads(4).target_state_count(max_states);
    if depth_first {
        let checker = builder.spawn_dfs().join();
        let (found, states) = (
            !checker.discoveries().is_empty(),
            checker.unique_state_count(),
        );
        return Explored {
            found,
            states,
            is_exhaustive: !found && checker.state_count() < max_states,
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
        is_exhaustive: !found && checker.state_count() < max_states,
    }
}

/// Searches for a violation within one to four ticks, since the number of states grows with the time. Each search runs depth
/// first and then breadth first.
fn search(guard: Option<Guard>, change: bool, variation: Variation, candidates: usize) -> Explored {
    let mut states = 0;
    let mut is_exhaustive = true;
    for ticks in 1..=4 {
        for depth_first in [true, false] {
            let explored = explore(
                LeaseModel {
                    candidates,
                    variation,
                    ..model(guard, change, ticks)
                },
                MAX_STATES,
                depth_first,
            );
            states += explored.states;
            if explored.found {
                return Explored {
                    found: true,
                    states,
                    is_exhaustive: false,
                };
            }
            if guard.is_none() {
                let count = explored.states;
                let note = if explored.is_exhaustive {
                    ", exhaustive"
                } else {
                    ""
                };
                println!(
                    "all guards, change of voters {change}, variation {variation:?}, {candidates} candidates, {ticks} ticks, depth first {depth_first}: {count} states{note}"
                );
            }
            is_exhaustive &= explored.is_exhaustive;
            if explored.is_exhaustive {
                break;
            }
        }
    }
    Explored {
        found: false,
        states,
        is_exhaustive,
    }
}

/// Maximum number of states generated in one search.
const MAX_STATES: usize = 300_000;

#[test]
fn no_violation_is_found_with_all_guards() {
    for (change, variation, candidates) in [
        (false, Variation::None, 2),
        (false, Variation::None, 3),
        (true, Variation::None, 2),
        (false, Variation::HandOvers, 2),
        (false, Variation::LostDisks, 2),
    ] {
        assert!(
            !search(None, change, variation, candidates).found,
            "violated: change of voters {change}, {candidates} candidates"
        );
    }
}

#[test]
fn a_violation_is_found_without_each_guard() {
    let guards = [
        (Guard::Clock, false, Variation::None, 2),
        (Guard::Drift, false, Variation::None, 2),
        (Guard::CountFromRequest, false, Variation::None, 2),
        (Guard::RunningLease, false, Variation::None, 2),
        (Guard::VoteOnce, false, Variation::None, 2),
        (Guard::WaitAfterStart, false, Variation::None, 2),
        (Guard::Ceiling, false, Variation::None, 2),
        (Guard::Majority, false, Variation::None, 2),
        (Guard::Incarnation, false, Variation::None, 3),
        (Guard::Seal, true, Variation::None, 2),
        (Guard::Stalled, false, Variation::HandOvers, 2),
        (Guard::CatchUp, false, Variation::LostDisks, 2),
        (Guard::Transfer, false, Variation::HandOvers, 2),
    ];
    let mut missed = Vec::new();
    for (guard, change, variation, candidates) in guards {
        let explored = search(Some(guard), change, variation, candidates);
        println!(
            "without {guard:?}: found {} after {} states",
            explored.found, explored.states
        );
        if !explored.found {
            missed.push(guard);
        }
    }
    assert!(missed.is_empty(), "missed: {missed:?}");
}
