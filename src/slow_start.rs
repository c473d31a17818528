//! Slow start: how much a node gets while it warms up.
//!
//! A node that has just started bears a small part of what it will bear once warm, and falls over when pushed beyond a
//! multiple of that. It guards against exactly this: all routers see the idle newcomer at once, each sends a little, and
//! together they push it over. It shows as a node that restarts again and again under load.
//!
//! Two policies bound it. Where each router's part of the budget covers a request now and then, the node's time is cut
//! into turns and each router spends its own part of a turn, so that the sum over all routers holds by itself
//! ([`fits_turn`]). Where routers are too many for that, chance lets a share of requests in
//! ([`passes_by_chance`]); this bounds no burst.

use crate::api::{Settings, Time};
use crate::concurrency_limit::INITIAL_FLEET_LIMIT;
use crate::random::salted_hash;

/// A warming node's share of capacity never counts as less.
const MIN_WARM_SHARE: f64 = 0.01;
/// By chance a warming node gets so much of what a warm one would get, times its warm share.
const SHARE_BY_CHANCE: f64 = 0.6;
/// Writes have no other node to go to than a warming primary, so there so many members' worth is let in.
pub(crate) const WRITE_CANDIDATES_BY_CHANCE: f64 = 3.0;
/// Turns in the time that pushes a node over. Any span of that length touches one more.
const TURNS: u64 = 4;
/// Turns are used up to so many routers, divided by the multiple of capacity that nodes fall over at.
const ROUTERS_BY_TURNS: f64 = 96.0;
/// Multiples of the golden ratio spread evenly over the unit interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Whether this fleet has too many routers to share a warming node by turns.
pub(crate) fn is_by_chance(settings: &Settings) -> bool {
    let most_by_turns = INITIAL_FLEET_LIMIT.max(ROUTERS_BY_TURNS / settings.overload_factor);
    most_by_turns < f64::from(settings.router_count)
}

/// The share of its full capacity that a node has by now: 1 once it is warm.
pub(crate) fn warm_share(settings: &Settings, started_at: Option<Time>, now: Time) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let duration = settings.slow_start_duration.max(1) as f64;
    let age = now.saturating_sub(started_at) as f64 / duration;
    let first = settings.slow_start_min_share;
    (first + (1.0 - first) * age).clamp(MIN_WARM_SHARE, 1.0)
}

/// When the present turn at a node began. All routers cut its time alike, from its start on.
pub(crate) fn turn_start(settings: &Settings, started_at: Option<Time>, now: Time) -> Time {
    let started_at = started_at.unwrap_or(0);
    let turn_length = (settings.overload_duration / TURNS).max(1);
    started_at + now.saturating_sub(started_at) / turn_length * turn_length
}

/// The work that this router sent to one node in the turn of its last send.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TurnSpending {
    turn: Time,
    work_us: f64,
}

impl TurnSpending {
    /// The work sent in the turn that began then (us).
    pub(crate) fn in_turn(&self, turn: Time) -> f64 {
        if self.turn == turn { self.work_us } else { 0.0 }
    }

    /// Work is sent in the turn that began then.
    pub(crate) fn spend(&mut self, turn: Time, work_us: f64) {
        self.work_us = work_us + self.in_turn(turn);
        self.turn = turn;
    }
}

/// What a decision about a turn looks at, beside the settings.
pub(crate) struct TurnInputs<'a> {
    /// The node's name.
    pub node: &'a str,
    /// When the present turn began.
    pub turn: Time,
    /// The share of its capacity that the node has by now.
    pub warm_share: f64,
    /// Requests that the node works on at once, once warm.
    pub cores: f64,
    /// Work that this router has sent to it in this turn (us).
    pub spent_us: f64,
    /// Work of the request (us).
    pub work_us: f64,
    /// When this process began, if it has.
    pub router_started_at: Option<Time>,
}

/// Whether this router's part of what a node bears in a turn covers one more request.
///
/// A part that is under one request is worth one in so many turns, at a point of each router's own. What an earlier
/// process of this router sent in the turn is not known, so a turn that began before this process gives nothing.
pub(crate) fn fits_turn(settings: &Settings, inputs: &TurnInputs<'_>) -> bool {
    let routers = f64::from(settings.router_count.max(1));
    let overload_us = settings.overload_duration.max(1) as f64;
    let budget_us = settings.overload_factor * inputs.warm_share * inputs.cores * overload_us
        / (TURNS + 1) as f64
        / routers;
    let router_offset = f64::from(settings.router_index) / routers;
    let node_offset = salted_hash(inputs.node, 0) as f64 / u64::MAX as f64;
    let turns = inputs.turn as f64 / overload_us * TURNS as f64;
    let point = (router_offset + node_offset + turns * GOLDEN_RATIO).fract();
    inputs.router_started_at <= Some(inputs.turn)
        && inputs.spent_us + point * inputs.work_us <= budget_us
}

/// Whether chance lets a request through to a warming node. `candidates` is how many nodes it could go to.
pub(crate) fn passes_by_chance(random_draw: f64, warm_share: f64, candidates: f64) -> bool {
    random_draw <= warm_share * SHARE_BY_CHANCE * candidates
}
