//! Slow start: how many requests a node gets while it warms up.
//!
//! A node that has just started can take a small part of the load that it takes once warm, and fails when it gets more
//! than a multiple of that part. All routers see the idle new node at the same time and each sends it a little;
//! together they would overload it. Without slow start such a node restarts again and again under load.
//!
//! One of two policies limits the load. If each router's part of the budget covers a request now and then, time is
//! divided into slots, and each router spends its own part of each slot, so that the sum over all routers stays within
//! the budget ([`fits_slot`]). If there are too many routers for that, a random draw admits a share of the requests
//! ([`passes_random_draw`]); this does not limit bursts.

use crate::api::{Settings, Time};
use crate::concurrency_limit::INITIAL_FLEET_LIMIT;
use crate::random::salted_hash;

/// Lower bound of a warming node's share of its capacity.
const MIN_WARM_SHARE: f64 = 0.01;
/// Share of the requests of a warm node that random admission lets through to a warming one, before its warm share is
/// applied.
const RANDOM_ADMISSION_SHARE: f64 = 0.6;
/// Number of candidate nodes that random admission assumes for a write. Only the primary takes writes, so a warming
/// primary gets a larger share.
pub(crate) const RANDOM_WRITE_CANDIDATES: f64 = 3.0;
/// Number of slots in the duration after which an overload makes a node fail. Any interval of that duration touches one
/// more.
const SLOTS_PER_OVERLOAD: u64 = 4;
/// Maximum number of routers that use time slots, multiplied by the overload factor of the nodes.
const SLOT_ROUTERS_TIMES_OVERLOAD: f64 = 96.0;
/// The golden ratio; the fractional parts of its multiples spread evenly over the unit interval.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Returns whether this fleet has too many routers to divide a warming node's capacity by time slots.
pub(crate) fn uses_random_draw(settings: &Settings) -> bool {
    let max_routers_by_slots =
        INITIAL_FLEET_LIMIT.max(SLOT_ROUTERS_TIMES_OVERLOAD / settings.overload_factor);
    max_routers_by_slots < f64::from(settings.router_count)
}

/// Returns the share of its full capacity that a node has reached by now: 1 once it is warm.
pub(crate) fn warm_share(settings: &Settings, started_at: Option<Time>, now: Time) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let duration = settings.slow_start_duration.max(1) as f64;
    let age = now.saturating_sub(started_at) as f64 / duration;
    let first = settings.slow_start_min_share;
    (first + (1.0 - first) * age).clamp(MIN_WARM_SHARE, 1.0)
}

/// Returns the start of the current time slot of a node. All routers divide time in the same way, from the node's start
/// on.
pub(crate) fn slot_start(settings: &Settings, started_at: Option<Time>, now: Time) -> Time {
    let started_at = started_at.unwrap_or(0);
    let slot_length = (settings.overload_duration / SLOTS_PER_OVERLOAD).max(1);
    started_at + now.saturating_sub(started_at) / slot_length * slot_length
}

/// The work that this router sent to one node in the slot of its last send.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotSpending {
    slot: Time,
    work_us: f64,
}

impl SlotSpending {
    /// Returns the work sent in the slot that began at this time (us).
    pub(crate) fn in_slot(&self, slot: Time) -> f64 {
        if self.slot == slot { self.work_us } else { 0.0 }
    }

    /// Records work sent in the slot that began at this time.
    pub(crate) fn spend(&mut self, slot: Time, work_us: f64) {
        self.work_us = work_us + self.in_slot(slot);
        self.slot = slot;
    }
}

/// The inputs of a decision about a slot, in addition to the settings.
pub(crate) struct SlotInputs<'a> {
    /// The node's name.
    pub node: &'a str,
    /// Start of the current slot.
    pub slot: Time,
    /// The share of its capacity that the node has reached by now.
    pub warm_share: f64,
    /// Number of requests that the node works on at once when warm.
    pub cores: f64,
    /// Work that this router has sent to it in this slot (us).
    pub spent_us: f64,
    /// Work of the request (us).
    pub work_us: f64,
    /// Time at which this router process started, if it has.
    pub router_started_at: Option<Time>,
}

/// Returns whether this router's part of a node's budget for a slot covers one more request.
///
/// A part of less than one request allows one request in several slots, at a point that differs from router to router.
/// It is unknown what an earlier process of this router sent in the slot, so a slot that began before this process
/// allows nothing.
pub(crate) fn fits_slot(settings: &Settings, inputs: &SlotInputs<'_>) -> bool {
    let routers = f64::from(settings.router_count.max(1));
    let overload_us = settings.overload_duration.max(1) as f64;
    let budget_us = settings.overload_factor * inputs.warm_share * inputs.cores * overload_us
        / (SLOTS_PER_OVERLOAD + 1) as f64
        / routers;
    let router_offset = f64::from(settings.router_index) / routers;
    let node_offset = salted_hash(inputs.node, 0) as f64 / u64::MAX as f64;
    let slots = inputs.slot as f64 / overload_us * SLOTS_PER_OVERLOAD as f64;
    let point = (router_offset + node_offset + slots * GOLDEN_RATIO).fract();
    inputs.router_started_at <= Some(inputs.slot)
        && inputs.spent_us + point * inputs.work_us <= budget_us
}

/// Returns whether a random draw admits a request to a warming node. `candidates` is the number of nodes that it could
/// go to.
pub(crate) fn passes_random_draw(random_draw: f64, warm_share: f64, candidates: f64) -> bool {
    random_draw <= warm_share * RANDOM_ADMISSION_SHARE * candidates
}
