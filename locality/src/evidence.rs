//! Determines the condition of each zone from this router's own traffic and from the endpoint list.
//!
//! A single failed request looks the same whether one node is bad, a whole zone is lost, only this router's link to the
//! zone is lost, half a zone is lost, or all zones are overloaded. The cases differ in what else answers:
//!
//! | Observation | Result |
//! | --- | --- |
//! | one node fails, other nodes of its zone answer | no condition of the zone; outlier detection ejects the node |
//! | the list has less than a quarter of the zone's capacity as serving | [`ZoneCondition::Gone`] |
//! | several failures in a row at two or more nodes, no node of the zone answers | [`ZoneCondition::Dark`] |
//! | the same, and a list update since then still has the zone as serving | [`ZoneCondition::Link`] |
//! | the same in every zone that was tried | [`ZoneCondition::Common`]: no other zone would be better |
//! | slow answers in this and in other zones | common strain, which moves no requests to other zones |

use plovercove::{AttemptEnd, Micros, NodeId, Time};

/// Number of failures in a row, without an answer of the zone in between, after which the zone is dark.
const DARK_MIN_FAILURES: u32 = 4;
/// Minimum time from the first of these failures. Without it, one burst of failures at one reset would be enough.
const DARK_MIN_DURATION_US: Micros = 200_000;
/// A zone is gone if less than this share of its capacity is listed as serving.
const GONE_CAPACITY_SHARE: f64 = 0.25;
/// Maximum delay of the endpoint list. An update that comes later than this after a failure knows of the failure.
const MAX_LIST_DELAY_US: Micros = 6_000_000;
/// Time constant (us) of the exponential decay of the counts of answers, over which strain is determined.
const STRAIN_MEMORY_US: f64 = 1e6;
/// A zone is strained from this share of slow answers on.
const STRAINED_SLOW_SHARE: f64 = 0.3;
/// Number of answers below which nothing is known about the strain of a zone.
const STRAINED_MIN_ANSWERS: f64 = 6.0;

/// Condition of a zone, as far as this router can determine it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ZoneCondition {
    /// No fault is known.
    #[default]
    Well,
    /// The endpoint list has hardly any node of the zone as serving.
    Gone,
    /// No node of the zone answers. The endpoint list may not have caught up yet.
    Dark,
    /// No node of the zone answers this router, but a recent endpoint list still has them as serving: at least this
    /// router's link to the zone is lost.
    Link,
    /// No zone answers: the cause is common to all of them, or lies in this router.
    Common,
}

/// What the end of an attempt says about the zone of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptSignal {
    /// The node answered in time.
    InTime,
    /// The node answered slowly, or rejected the request because it is overloaded.
    Slow,
    /// The node did not answer.
    NoAnswer,
    /// The attempt says nothing about the node.
    Inconclusive,
}

/// Returns what the end of an attempt says about the zone. `in_time` is the longest time that counts as in time,
/// `usual_cost` the mean time that the class takes.
pub fn classify_attempt(
    ending: AttemptEnd,
    elapsed: Micros,
    in_time: Micros,
    usual_cost: Micros,
) -> AttemptSignal {
    match ending {
        AttemptEnd::Success if elapsed <= in_time => AttemptSignal::InTime,
        AttemptEnd::Success | AttemptEnd::Overloaded => AttemptSignal::Slow,
        // The node answers. An error in the answer says nothing about the zone.
        AttemptEnd::Failure | AttemptEnd::Misdirected => AttemptSignal::InTime,
        AttemptEnd::Unreachable | AttemptEnd::Reset | AttemptEnd::TimedOut => {
            AttemptSignal::NoAnswer
        }
        // A cancel after a long wait counts as no answer; an early one is inconclusive.
        AttemptEnd::Cancelled if elapsed > usual_cost.saturating_mul(3) => AttemptSignal::NoAnswer,
        AttemptEnd::Cancelled | AttemptEnd::NeverSent => AttemptSignal::Inconclusive,
    }
}

/// Observations of one zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneObservations {
    /// Number of failures since the last answer.
    consecutive_failures: u32,
    /// Time of the first of these failures.
    failing_since: Time,
    /// The first two different nodes at which they happened.
    failing_nodes: [Option<NodeId>; 2],
    answered_at: Option<Time>,
    tried_at: Option<Time>,
    in_time: f64,
    slow: f64,
    decayed_at: Time,
}

impl ZoneObservations {
    /// Records what an attempt at a node of the zone showed.
    pub fn record(&mut self, now: Time, node: &NodeId, signal: AttemptSignal) {
        self.decay(now);
        match signal {
            AttemptSignal::InTime => self.in_time += 1.0,
            AttemptSignal::Slow => self.slow += 1.0,
            AttemptSignal::NoAnswer => {
                self.tried_at = Some(now);
                if self.consecutive_failures == 0 {
                    (self.failing_since, self.failing_nodes) = (now, [None, None]);
                }
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                let [first, second] = &mut self.failing_nodes;
                match (&first, &second) {
                    (None, _) => *first = Some(node.clone()),
                    (Some(known), None) if known != node => *second = Some(node.clone()),
                    _ => {}
                }
                return;
            }
            AttemptSignal::Inconclusive => return,
        }
        (self.consecutive_failures, self.answered_at, self.tried_at) = (0, Some(now), Some(now));
    }

    fn decay(&mut self, now: Time) {
        let factor = (-(now.saturating_sub(self.decayed_at) as f64) / STRAIN_MEMORY_US).exp();
        (self.in_time, self.slow, self.decayed_at) =
            (self.in_time * factor, self.slow * factor, now);
    }

    /// Returns whether several attempts in a row failed at two nodes, or at the only node of a zone with one, and no node of
    /// the zone answered in between. `nodes` is the number of nodes that serve in the zone.
    pub fn is_dark(&self, now: Time, nodes: usize) -> bool {
        let failing_nodes = self.failing_nodes.iter().flatten().count();
        self.consecutive_failures >= DARK_MIN_FAILURES
            && failing_nodes >= nodes.clamp(1, 2)
            && now >= self.failing_since + DARK_MIN_DURATION_US
    }

    /// Returns when the zone answered last.
    pub fn last_answer_at(&self) -> Option<Time> {
        self.answered_at
    }

    /// Returns whether the zone answered within the last `duration` and has not failed since.
    pub fn has_answered_within(&self, now: Time, duration: Micros) -> bool {
        self.consecutive_failures == 0 && self.answered_at.is_some_and(|at| now < at + duration)
    }

    /// Returns whether many of the zone's answers are slow, or `None` if too few answers came to determine it.
    pub fn is_strained(&self) -> Option<bool> {
        let answers = self.in_time + self.slow;
        (answers >= STRAINED_MIN_ANSWERS).then(|| self.slow / answers >= STRAINED_SLOW_SHARE)
    }
}

/// Evidence about one zone, as [`classify_zones`] uses it.
#[derive(Clone, Copy, Debug)]
pub struct ZoneEvidence<'a> {
    /// This router's observations of the zone.
    pub observations: &'a ZoneObservations,
    /// Number of its nodes that the endpoint list has as serving.
    pub serving_nodes: usize,
    /// Share of the zone's known capacity that these nodes have.
    pub listed_share: f64,
}

/// Determines the condition of each zone. `list_updated_at` is the time of the last update of the endpoint list.
pub fn classify_zones(
    now: Time,
    zones: &[ZoneEvidence<'_>],
    list_updated_at: Time,
    conditions: &mut Vec<ZoneCondition>,
) {
    conditions.clear();
    conditions.extend(zones.iter().map(|zone| {
        if zone.serving_nodes == 0 || zone.listed_share < GONE_CAPACITY_SHARE {
            ZoneCondition::Gone
        } else if !zone.observations.is_dark(now, zone.serving_nodes) {
            ZoneCondition::Well
        } else if list_updated_at > zone.observations.failing_since + MAX_LIST_DELAY_US {
            ZoneCondition::Link
        } else {
            ZoneCondition::Dark
        }
    }));
    // If more than one zone was tried and all of them are dark, the zones are not the cause. A zone that was never tried,
    // or whose last answer came before the others failed, proves nothing.
    let is_dark =
        |condition: &ZoneCondition| matches!(condition, ZoneCondition::Dark | ZoneCondition::Link);
    let dark_zones = conditions.iter().filter(|c| is_dark(c)).count();
    let first_failure = zones
        .iter()
        .zip(&*conditions)
        .filter(|(_, c)| is_dark(c))
        .map(|(z, _)| z.observations.failing_since)
        .min();
    let any_answers = zones.iter().zip(&*conditions).any(|(z, c)| {
        *c == ZoneCondition::Well
            && z.observations
                .answered_at
                .is_some_and(|at| first_failure.is_some_and(|first| at >= first))
    });
    let any_untried = zones
        .iter()
        .zip(&*conditions)
        .any(|(z, c)| *c == ZoneCondition::Well && !z.observations.was_tried_since(first_failure));
    if dark_zones > 1 && !any_answers && !any_untried {
        conditions
            .iter_mut()
            .filter(|c| is_dark(c))
            .for_each(|c| *c = ZoneCondition::Common);
    }
}

impl ZoneObservations {
    fn was_tried_since(&self, since: Option<Time>) -> bool {
        self.tried_at
            .is_some_and(|at| since.is_some_and(|since| at >= since))
    }
}

/// Returns whether most of the other zones, of those about which anything is known, are strained as well.
pub fn is_strain_common<'a>(others: impl Iterator<Item = &'a ZoneObservations>) -> bool {
    let (mut strained, mut known) = (0, 0);
    for is_strained in others.filter_map(ZoneObservations::is_strained) {
        known += 1;
        strained += usize::from(is_strained);
    }
    known > 0 && strained * 2 > known
}

#[cfg(test)]
mod tests;
