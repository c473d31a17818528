//! Zone failover: the state of one router, and which zones it may use for a request.
//!
//! Zones are ordered in tiers of preference, seen from the home zone of the router. The policy limits the work that
//! spills over to other zones, restricts lost zones to single trial requests, and lets a zone recover along a ramp.

use crate::allowance::Allowance;
use crate::evidence::{self, AttemptSignal, ZoneCondition, ZoneObservations};
use crate::ramp::{FlapPenalty, RecoveryRamp};
use crate::rules::{MAX_ZONES, RuleFault, RuleFaultKind, Rules, Zone, ms_to_us};
use plovercove::*;
use std::collections::{BTreeMap, VecDeque};

/// Minimum time between two reviews of the zones. Allowances and observations stay exact in between.
const REVIEW_INTERVAL_US: Micros = 20_000;
/// Factor on a node's weight for each tier between its zone and home. With it, home is preferred until its nodes hold
/// about three times as much work as the others.
const TIER_WEIGHT_FACTOR: f64 = 0.08;
/// The same factor while the home zone is strained.
const STRAINED_TIER_WEIGHT_FACTOR: f64 = 0.5;
/// Share of the latency objective within which an answer is in time.
const IN_TIME_OBJECTIVE_SHARE: f64 = 0.7;
/// Upper limit for an answer in time of a cold node, as a multiple of the mean cost of the class. The elapsed time is
/// first scaled by the share of capacity that the node has. The limit keeps requests from queueing at a cold node.
const COLD_NODE_LATENCY_FACTOR: f64 = 2.0;
/// Cost that is assumed for a class before any answer, as a share of its latency objective.
const INITIAL_COST_SHARE: f64 = 0.2;
/// Gain of the running mean of a class's cost.
const COST_GAIN: f64 = 0.03;
/// Upper limit of one sample of the cost, as a multiple of the present mean. Without it, time spent in a queue would
/// count as work.
const MAX_COST_SAMPLE_FACTOR: f64 = 3.0;
/// Share of the spill limit that all routers together may use while no zone has a fault, for groups without a fresh
/// replica or without capacity at home.
const CALM_SPILL_SHARE: f64 = 0.45;
/// The same share while some zone has a fault. The rest of the limit is for the routers of the zones at fault.
const CALM_SPILL_SHARE_DURING_FAULT: f64 = 0.45;
/// Multiple of the cheapest class's cost up to which a class is ordinary. Where many routers share a node, their narrow
/// allowances do not admit more expensive requests.
const ORDINARY_COST_FACTOR: f64 = 3.0;
/// Share of the spill limit that is used. The rest is a safety margin, since the costs of single requests vary.
const SPILL_MARGIN: f64 = 0.97;
/// Share of an allowance's depth that is reserved for classes of higher worth; the class of the least worth has to leave
/// all of the reserve.
const MAX_RESERVE_SHARE: f64 = 0.7;
/// Time for which an answer of another zone proves that the routers of that zone need no spill.
const ANSWER_VALID_FOR_US: Micros = 3_000_000;
/// Time for which a node that no longer serves still counts toward the known capacity of its zone.
const NODE_MEMORY_US: Micros = 120_000_000;
/// Load that is assumed for the home zone, whose real load is unknown: all requests can stay at home as long as this
/// share of its capacity is left.
const ASSUMED_HOME_LOAD: f64 = 0.75;
/// Factor by which the share of requests that stay at home falls while home is strained.
const HOME_SHARE_DECREASE_FACTOR: f64 = 0.85;
/// Step by which that share rises while home is not strained.
const HOME_SHARE_INCREASE_STEP: f64 = 0.04;
/// Lower limit of that share.
const MIN_HOME_SHARE: f64 = 0.05;
/// Minimum time between two adjustments of the home share, and of a zone's spill share.
const ADJUSTMENT_INTERVAL_US: Micros = 250_000;
/// Factor by which a zone's spill share falls while the zone is strained.
const SPILL_SHARE_DECREASE_FACTOR: f64 = 0.9;
/// Step by which a zone's spill share rises while the zone is not strained.
const SPILL_SHARE_INCREASE_STEP: f64 = 0.05;
/// Lower limit of a zone's spill share.
const MIN_SPILL_SHARE: f64 = 0.6;
/// Time before the first trial of a zone that is not in use, and the constant part of the mean time between trials.
const TRIAL_INTERVAL_BASE_US: Micros = 400_000;
/// Part of the mean time between trials that each router adds, so that the trials of all routers together are few.
const TRIAL_INTERVAL_PER_ROUTER_US: Micros = 4_000;
/// Share of a cold node's present capacity that all routers of its own zone may use together.
///
/// This share plus [`COLD_WORK_SHARE_OF_OTHER_ROUTERS`], times [`MAX_COLD_PACE`], stays below the multiple of its capacity
/// at which a node breaks down (4 where that multiple is known).
const COLD_WORK_SHARE_OF_HOME_ROUTERS: f64 = 1.0;
/// Share of a cold node's present capacity that the routers of all other zones may use together.
const COLD_WORK_SHARE_OF_OTHER_ROUTERS: f64 = 0.5;
/// Lower limit of the pace at which cold nodes are loaded, relative to the slow start by time.
const MIN_COLD_PACE: f64 = 0.5;
/// Upper limit of that pace, which is reached while answers are in time.
const MAX_COLD_PACE: f64 = 2.0;
/// Factor by which one answer in time raises that pace.
const COLD_PACE_INCREASE_FACTOR: f64 = 1.02;
/// Factor by which one slow or missing answer lowers that pace.
const COLD_PACE_DECREASE_FACTOR: f64 = 0.95;
/// A zone was lost shortly before this router started if at least this share of its capacity is still in slow start.
const RECOVERING_YOUNG_SHARE: f64 = 0.25;

struct Node {
    zone: usize,
    capacity: f64,
    serving: bool,
    started_at: Option<Time>,
    not_serving_since: Option<Time>,
    /// Attempts in a row without an answer. From two on, the node counts for no capacity.
    consecutive_failures: u32,
    cold_allowance: Allowance,
}

/// One zone as this router sees it.
#[derive(Default)]
struct ZoneState {
    name: String,
    routers: u32,
    /// Tier of the zone as seen from home; 0 is home itself.
    tier: u32,
    observations: ZoneObservations,
    condition: ZoneCondition,
    lost_at: Option<Time>,
    flap: FlapPenalty,
    suppressed: bool,
    ramp: RecoveryRamp,
    next_trial_at: Time,
    /// Present capacity of the nodes that are listed as serving and that answer, in seconds of work per second.
    answering_capacity: f64,
    /// Present capacity of the nodes that are listed as serving; cold nodes count in part.
    listed_capacity_now: f64,
    /// Capacity of the nodes that are listed as serving once all of them are warm.
    listed_capacity_warm: f64,
    /// Capacity of all nodes that were listed lately, serving or not.
    known_capacity: f64,
    serving_nodes: usize,
    spill_allowance: Allowance,
    /// Share of its spill limit that the zone has been able to bear.
    spill_share: f64,
    spill_share_adjusted_at: Time,
    /// Pace at which the cold nodes of the zone are loaded, relative to the slow start by time.
    cold_pace: f64,
    /// Least latency of a successful answer (us), which drifts upward with each answer. Tiers by measured latency compare
    /// it with that of home.
    min_latency: Option<f64>,
}

/// Status of one zone, for monitoring.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Name of the zone.
    pub zone: String,
    /// Tier of the zone as seen from the home zone; 0 is home.
    pub tier: u32,
    /// Condition of the zone.
    pub condition: ZoneCondition,
    /// Whether the zone gets only trial requests because it flapped.
    pub suppressed: bool,
    /// Share of its requests that the zone gets while it recovers.
    pub ramp_share: f64,
    /// Present capacity of the nodes that answer, in seconds of work per second.
    pub answering_capacity: f64,
    /// Capacity of all nodes that were listed lately, in seconds of work per second.
    pub known_capacity: f64,
    /// Work that this router may spill to the zone, in seconds of work per second.
    pub spill_rate: f64,
}

/// Locality policy with zone failover, limited spillover and recovery ramps, for one router.
pub struct ZoneFailover {
    rules: Rules,
    home: usize,
    zones: Vec<ZoneState>,
    nodes: BTreeMap<NodeId, Node>,
    /// Mean cost of each class (us).
    class_costs: Vec<f64>,
    /// Rank of each class by worth per cost: 1 for the highest, 0 for the lowest.
    class_ranks: Vec<f64>,
    classes: Vec<Class>,
    /// Share of requests that stays at home.
    home_share: f64,
    home_share_adjusted_at: Time,
    router_count: u32,
    router_index: u32,
    salt: u64,
    slow_start_min_share: f64,
    slow_start_duration: Micros,
    list_updated_at: Time,
    has_list: bool,
    reviewed_at: Time,
    conditions: Vec<ZoneCondition>,
    log_events: VecDeque<LogEvent>,
}

/// Maximum number of log events that wait to be taken.
const MAX_LOG_EVENTS: usize = 64;

/// Returns a uniform pseudo-random number from 0 to 1 for a request. Each query about the same request gets the same
/// number.
fn random_draw(request: RequestId, salt: u64) -> f64 {
    let mut x = request
        .wrapping_add(salt)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the share of its capacity that a node has at least by now: a node warms up no slower than linearly.
fn warm_share(
    started_at: Option<Time>,
    now: Time,
    slow_start_min_share: f64,
    slow_start_duration: Micros,
) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let progress = now.saturating_sub(started_at) as f64 / slow_start_duration as f64;
    (slow_start_min_share + (1.0 - slow_start_min_share) * progress).clamp(0.01, 1.0)
}

impl ZoneFailover {
    /// Creates the policy of a router that has just started.
    ///
    /// # Errors
    /// Returns a fault if the rules are invalid, or if they do not contain the router's own zone.
    pub fn new(rules: Rules, settings: &Settings, seed: u64) -> Result<Self, RuleFault> {
        rules.check()?;
        let Some(home) = rules.home_of(settings) else {
            return Err(RuleFault {
                key: "home".into(),
                kind: RuleFaultKind::Elsewhere(settings.zone.clone()),
            });
        };
        let preferred_tiers = &rules.zones[home].preferred_tiers;
        let tier = |zone: &Zone| match preferred_tiers
            .iter()
            .position(|tier| tier.contains(&zone.name))
        {
            _ if zone.name == rules.zones[home].name => 0,
            Some(position) => position as u32 + 1,
            None => preferred_tiers.len() as u32 + 1,
        };
        let initial_state = |zone: &Zone| ZoneState {
            name: zone.name.clone(),
            routers: zone.routers,
            tier: tier(zone),
            spill_share: 1.0,
            cold_pace: 1.0,
            ..ZoneState::default()
        };
        let costs: Vec<f64> = settings
            .classes
            .iter()
            .map(|class| class.latency_objective as f64 * INITIAL_COST_SHARE)
            .collect();
        let routers_in_rules: u32 = rules.zones.iter().map(|zone| zone.routers).sum();
        let mut zone_failover = ZoneFailover {
            home,
            zones: rules.zones.iter().map(initial_state).collect(),
            nodes: BTreeMap::new(),
            class_ranks: vec![1.0; costs.len()],
            class_costs: costs,
            classes: settings.classes.clone(),
            home_share: 1.0,
            home_share_adjusted_at: 0,
            router_count: routers_in_rules.max(settings.router_count).max(1),
            router_index: settings.router_index,
            salt: seed,
            slow_start_min_share: settings.slow_start_min_share.clamp(0.01, 1.0),
            slow_start_duration: settings.slow_start_duration.max(1),
            list_updated_at: 0,
            has_list: false,
            reviewed_at: 0,
            conditions: Vec::new(),
            log_events: VecDeque::new(),
            rules,
        };
        zone_failover.rank_classes();
        Ok(zone_failover)
    }

    /// Takes over the state of the policy that this one replaces after a reload of the rules.
    ///
    /// The state of zones and nodes, the ramps, the penalties and the levels of the allowances stay; only the rules are
    /// new. Zones that the new rules do not contain are added in the last tier.
    pub fn inherit_state(&mut self, old: &mut ZoneFailover) {
        let mut new_indices = Vec::with_capacity(old.zones.len());
        for state in std::mem::take(&mut old.zones) {
            let zone = self.zone_index(&state.name);
            new_indices.push(zone);
            let ZoneState { tier, routers, .. } = self.zones[zone];
            if self.zones[zone].name == state.name {
                self.zones[zone] = ZoneState {
                    tier,
                    routers,
                    ..state
                };
            }
        }
        self.nodes = std::mem::take(&mut old.nodes);
        for node in self.nodes.values_mut() {
            node.zone = new_indices[node.zone];
        }
        // The home share was learned for the old home zone and does not apply to another one.
        if new_indices.get(old.home) == Some(&self.home) {
            (self.home_share, self.home_share_adjusted_at) =
                (old.home_share, old.home_share_adjusted_at);
        }
        if self.class_costs.len() == old.class_costs.len() {
            self.class_costs.clone_from(&old.class_costs);
            self.rank_classes();
        }
        (self.list_updated_at, self.has_list, self.reviewed_at) =
            (old.list_updated_at, old.has_list, 0);
        self.log_events.extend(old.log_events.drain(..));
    }

    /// Returns the status of each zone.
    pub fn zone_statuses(&self) -> Vec<ZoneStatus> {
        let status = |state: &ZoneState| ZoneStatus {
            zone: state.name.clone(),
            tier: state.tier,
            condition: state.condition,
            suppressed: state.suppressed,
            ramp_share: state.ramp.share(),
            answering_capacity: state.answering_capacity,
            known_capacity: state.known_capacity,
            spill_rate: state.spill_allowance.rate(),
        };
        self.zones.iter().map(status).collect()
    }

    fn push_log_event(&mut self, zone: usize, reason: &'static str, text: &str) {
        if self.log_events.len() < MAX_LOG_EVENTS {
            self.log_events
                .push_back(LogEvent::for_zone(&self.zones[zone].name, reason, text));
        }
    }

    /// Returns the index of the zone with this name. A zone that the rules do not contain is added in the last tier,
    /// without routers. Once there are [`MAX_ZONES`] zones, further ones are counted as part of the last zone.
    fn zone_index(&mut self, name: &str) -> usize {
        if let Some(index) = self.zones.iter().position(|state| state.name == name) {
            return index;
        }
        if self.zones.len() >= MAX_ZONES {
            return self.zones.len() - 1;
        }
        let tier = self.zones.iter().map(|state| state.tier).max().unwrap_or(0) + 1;
        self.zones.push(ZoneState {
            name: name.into(),
            tier,
            spill_share: 1.0,
            cold_pace: 1.0,
            ..ZoneState::default()
        });
        self.push_log_event(
            self.zones.len() - 1,
            "not in the rules",
            "the rules do not contain this zone; it is used last",
        );
        self.zones.len() - 1
    }

    /// Returns the work that this router may send to a cold node, in seconds of work per second.
    fn cold_rate(&self, node: &Node, now: Time) -> f64 {
        let state = &self.zones[node.zone];
        let share = warm_share(
            node.started_at,
            now,
            self.slow_start_min_share,
            self.slow_start_duration,
        ) * state.cold_pace;
        let all_routers = f64::from(self.router_count);
        let zone_routers = f64::from(state.routers).clamp(1.0, all_routers);
        let router_share = if node.zone == self.home {
            COLD_WORK_SHARE_OF_HOME_ROUTERS / zone_routers
        } else {
            COLD_WORK_SHARE_OF_OTHER_ROUTERS / (all_routers - zone_routers).max(1.0)
        };
        node.capacity * share.min(1.0) * router_share
    }

    /// Returns the highest cost of an ordinary request (s). A narrow allowance does not admit much more expensive ones.
    fn ordinary_cost_s(&self) -> f64 {
        self.class_costs
            .iter()
            .copied()
            .fold(f64::INFINITY, f64::min)
            / 1e6
            * ORDINARY_COST_FACTOR
    }

    /// Reviews the conditions of the zones and the work that may spill over, unless the last review is recent.
    fn review(&mut self, now: Time) {
        if now < self.reviewed_at + REVIEW_INTERVAL_US && self.reviewed_at > 0 {
            return;
        }
        self.reviewed_at = now.max(1);
        self.recount_capacity(now);
        let zones: Vec<evidence::ZoneEvidence<'_>> = self
            .zones
            .iter()
            .map(|state| evidence::ZoneEvidence {
                observations: &state.observations,
                serving_nodes: state.serving_nodes,
                listed_share: if state.known_capacity > 0.0 {
                    state.listed_capacity_warm / state.known_capacity
                } else {
                    1.0
                },
            })
            .collect();
        let mut conditions = std::mem::take(&mut self.conditions);
        evidence::classify_zones(now, &zones, self.list_updated_at, &mut conditions);
        for (zone, condition) in conditions.iter().enumerate() {
            self.apply_condition(now, zone, *condition);
        }
        self.conditions = conditions;
        self.adjust_home_share(now);
        self.refill_spill_allowances(now);
    }

    /// Recounts the nodes and the capacity of each zone, and drops nodes that stopped serving long ago.
    fn recount_capacity(&mut self, now: Time) {
        for state in &mut self.zones {
            (
                state.answering_capacity,
                state.listed_capacity_now,
                state.listed_capacity_warm,
                state.known_capacity,
                state.serving_nodes,
            ) = (0.0, 0.0, 0.0, 0.0, 0);
        }
        self.nodes.retain(|_, node| {
            node.not_serving_since
                .is_none_or(|since| now < since + NODE_MEMORY_US)
        });
        let (min_share, duration) = (self.slow_start_min_share, self.slow_start_duration);
        for node in self.nodes.values() {
            let share = warm_share(node.started_at, now, min_share, duration);
            let state = &mut self.zones[node.zone];
            state.known_capacity += node.capacity;
            if node.serving {
                state.serving_nodes += 1;
                state.listed_capacity_warm += node.capacity;
                state.listed_capacity_now += node.capacity * share;
                state.answering_capacity += if node.consecutive_failures >= 2 {
                    0.0
                } else {
                    node.capacity * share
                };
            }
        }
    }

    /// Applies a newly determined condition: records a loss, or starts the recovery ramp of a zone that is back.
    fn apply_condition(&mut self, now: Time, zone: usize, mut condition: ZoneCondition) {
        let state = &mut self.zones[zone];
        // A zone that never had nodes was not lost.
        if condition == ZoneCondition::Gone && state.known_capacity == 0.0 {
            condition = ZoneCondition::Well;
        }
        let is_lost = |condition: ZoneCondition| {
            matches!(
                condition,
                ZoneCondition::Gone | ZoneCondition::Dark | ZoneCondition::Link
            )
        };
        let previous = std::mem::replace(&mut state.condition, condition);
        let was_suppressed = std::mem::replace(
            &mut state.suppressed,
            state.flap.update_suppression(now, &self.rules.flap),
        );
        let suppressed = state.suppressed;
        if is_lost(condition) && !is_lost(previous) {
            state.lost_at = Some(now);
            state.flap.record_loss(now, &self.rules.flap);
            state.next_trial_at = now + TRIAL_INTERVAL_BASE_US;
            let penalty = state.flap.penalty(now, &self.rules.flap) as u64;
            let reason = match condition {
                ZoneCondition::Gone => "gone",
                ZoneCondition::Dark => "dark",
                _ => "link lost",
            };
            self.push_log_event(
                zone,
                reason,
                &format!("lost ({condition:?}), flap penalty {penalty}"),
            );
        } else if !is_lost(condition) && is_lost(previous) {
            state.lost_at = None;
            // If the fault turned out to be common to all zones, this zone itself was never lost.
            if condition != ZoneCondition::Common {
                // Other zones start at the full share: they get so few requests that a ramp would see no answers, and
                // the spill allowance bounds them.
                let start = if zone == self.home {
                    self.rules.ramp.start_share
                } else {
                    1.0
                };
                state.ramp.start(now, start);
                state.cold_pace = 1.0;
            }
            self.push_log_event(zone, "way back", &format!("no longer lost ({condition:?})"));
        }
        if was_suppressed != suppressed {
            match suppressed {
                true => self.push_log_event(zone, "flaps", "flapping, gets trial requests only"),
                false => self.push_log_event(
                    zone,
                    "penalty faded",
                    "the flap penalty has decayed, in use again",
                ),
            }
        }
    }

    /// Adjusts the share of requests that stays at home to the capacity that is left there and to its latency.
    fn adjust_home_share(&mut self, now: Time) {
        let home = &self.zones[self.home];
        let capacity_left = if home.known_capacity > 0.0 {
            home.listed_capacity_now / home.known_capacity
        } else {
            1.0
        };
        if now < self.home_share_adjusted_at + ADJUSTMENT_INTERVAL_US {
            return;
        }
        self.home_share_adjusted_at = now;
        let others = self
            .zones
            .iter()
            .enumerate()
            .filter(|(zone, _)| *zone != self.home);
        let is_common = evidence::is_strain_common(others.map(|(_, state)| &state.observations));
        let strained = home.observations.is_strained();
        self.home_share = match strained {
            // The missing capacity of the home zone explains this strain better than load does.
            Some(true) if !is_common && capacity_left < 0.95 => {
                (self.home_share * HOME_SHARE_DECREASE_FACTOR).max(MIN_HOME_SHARE)
            }
            Some(true) => self.home_share,
            _ => (self.home_share + HOME_SHARE_INCREASE_STEP).min(1.0),
        };
        if capacity_left < ASSUMED_HOME_LOAD * 0.95 && strained != Some(false) {
            self.home_share = self
                .home_share
                .min((capacity_left / ASSUMED_HOME_LOAD).max(MIN_HOME_SHARE));
        }
    }

    /// Divides the spill limit of each zone among the routers that may need it now, and refills the spill allowances.
    fn refill_spill_allowances(&mut self, now: Time) {
        let ordinary_cost = self.ordinary_cost_s();
        let home = &self.zones[self.home];
        // A zone with less than nine tenths of its known capacity counts as short of nodes.
        let needs_spill = home.condition != ZoneCondition::Well
            || !home.ramp.is_complete()
            || self.home_share < 1.0
            || home.suppressed
            || home.answering_capacity < home.known_capacity * 0.9;
        let is_well = |state: &ZoneState| {
            state.condition == ZoneCondition::Well
                && state.ramp.is_complete()
                && state.answering_capacity >= state.known_capacity * 0.9
        };
        let calm_share = if self.zones.iter().all(is_well) {
            CALM_SPILL_SHARE
        } else {
            CALM_SPILL_SHARE_DURING_FAULT
        };
        let all_routers: u32 = self.zones.iter().map(|state| state.routers).sum();
        let may_need_spill = |state: &ZoneState| {
            !state
                .observations
                .has_answered_within(now, ANSWER_VALID_FOR_US)
                || state.condition != ZoneCondition::Well
        };
        let routers_in_need: u32 = (0..self.zones.len())
            .filter(|zone| *zone == self.home || may_need_spill(&self.zones[*zone]))
            .map(|zone| self.zones[zone].routers)
            .sum();
        for zone in 0..self.zones.len() {
            let state = &self.zones[zone];
            let own_routers = if may_need_spill(state) && zone != self.home {
                state.routers
            } else {
                0
            };
            let limit = self.rules.max_spill_share
                * state.answering_capacity
                * state.spill_share
                * SPILL_MARGIN;
            let calm_rate = limit * calm_share / f64::from((all_routers - state.routers).max(1));
            let needed_rate = limit * (1.0 - CALM_SPILL_SHARE_DURING_FAULT)
                / f64::from((routers_in_need - own_routers.min(routers_in_need)).max(1));
            let rate = if needs_spill {
                calm_rate + needed_rate
            } else {
                calm_rate
            };
            self.zones[zone]
                .spill_allowance
                .refill(now, rate, ordinary_cost);
        }
    }

    /// Ranks the classes by priority weight per cost.
    fn rank_classes(&mut self) {
        let value =
            |class: usize| self.classes[class].priority_weight / self.class_costs[class].max(1.0);
        let mut order: Vec<usize> = (0..self.class_costs.len()).collect();
        order.sort_by(|a, b| value(*a).total_cmp(&value(*b)));
        let highest = order.len().saturating_sub(1).max(1) as f64;
        for (rank, class) in order.into_iter().enumerate() {
            self.class_ranks[class] = if self.class_costs.len() > 1 {
                rank as f64 / highest
            } else {
                1.0
            };
        }
    }

    /// Returns whether this request may be the trial of a zone that is not in use.
    fn may_try_unused_zone(&self, now: Time, zone: usize, query: &RoutingQuery) -> bool {
        let is_idempotent = self.classes[query.class].idempotency == Idempotency::Idempotent;
        is_idempotent && now >= self.zones[zone].next_trial_at && self.zones[zone].serving_nodes > 0
    }

    /// Returns whether a request of this cost (s) may use this zone now.
    fn may_use_zone(&self, now: Time, query: &RoutingQuery, zone: usize, cost: f64) -> bool {
        let state = &self.zones[zone];
        let is_lost = matches!(
            state.condition,
            ZoneCondition::Gone | ZoneCondition::Dark | ZoneCondition::Link
        );
        if is_lost || (state.suppressed && zone != self.home) {
            return self.may_try_unused_zone(now, zone, query);
        }
        let draw = random_draw(query.request, self.salt);
        let reserve = MAX_RESERVE_SHARE * (1.0 - self.class_ranks[query.class]);
        if zone == self.home {
            // A request that should leave home because nodes are missing there stays if no other zone admits it.
            let other_zones = || {
                self.zones
                    .iter()
                    .filter(|state| state.tier > 0 && state.condition == ZoneCondition::Well)
            };
            let share = if state.suppressed {
                self.rules.ramp.start_share
            } else {
                1.0
            };
            let share = state.ramp.share().min(share);
            return draw < self.home_share * share
                || ((draw < share || state.suppressed)
                    && !other_zones()
                        .any(|state| state.spill_allowance.covers(now, cost, reserve)));
        }
        state.spill_allowance.covers(now, cost, reserve)
            // The draw has to differ from the one that made the request leave home.
            && (state.ramp.is_complete() || (draw * 7.0).fract() < state.ramp.share())
    }
}

impl LocalityPolicy for ZoneFailover {
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate) {
        let (entries, is_full) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        // A restored list was saved by an earlier run and says nothing about the present.
        if !matches!(update, EndpointUpdate::Restored(_)) {
            self.list_updated_at = now;
        }
        if is_full {
            for node in self.nodes.values_mut() {
                node.serving = false;
                node.not_serving_since.get_or_insert(now);
            }
        }
        let is_first = !std::mem::replace(&mut self.has_list, true);
        let (stagger, ordinary_cost) = (
            random_draw(u64::from(self.router_index), self.salt),
            self.ordinary_cost_s(),
        );
        for entry in entries {
            let zone = self.zone_index(&entry.zone);
            let capacity = entry.weight.max(0.01)
                * self
                    .rules
                    .capacity_by_machine_kind
                    .get(&entry.machine_kind)
                    .copied()
                    .unwrap_or(1.0);
            let node = self
                .nodes
                .entry(entry.node.clone())
                .or_insert_with(|| Node {
                    zone,
                    capacity,
                    serving: false,
                    started_at: None,
                    not_serving_since: None,
                    consecutive_failures: 0,
                    cold_allowance: Allowance::default(),
                });
            if entry.started_at > node.started_at {
                node.consecutive_failures = 0;
                node.cold_allowance = Allowance::staggered(
                    now,
                    random_draw(node.started_at.unwrap_or(0), self.salt) * stagger,
                    ordinary_cost,
                );
            }
            (node.zone, node.capacity, node.started_at) =
                (zone, capacity, entry.started_at.or(node.started_at));
            node.serving = entry.state == EndpointState::Serving;
            node.not_serving_since = if node.serving {
                None
            } else {
                node.not_serving_since.or(Some(now))
            };
        }
        self.reviewed_at = 0;
        self.review(now);
        if is_first {
            self.start_ramps_of_young_zones(now);
        }
    }

    fn weight_share(&mut self, now: Time, query: &RoutingQuery, node: &NodeId) -> Option<f64> {
        self.review(now);
        let Some(known) = self.nodes.get(node) else {
            return Some(1.0);
        };
        let (zone, tier) = (known.zone, self.zones[known.zone].tier);
        // Only the primary takes writes, in whichever zone it is.
        if query.is_write {
            return Some(1.0);
        }
        let cost = self.class_costs[query.class] / 1e6;
        let is_cold = warm_share(
            known.started_at,
            now,
            self.slow_start_min_share,
            self.slow_start_duration,
        ) < 1.0;
        if !self.may_use_zone(now, query, zone, cost) {
            return None;
        }
        if is_cold {
            let (rate, ordinary_cost) = (self.cold_rate(known, now), self.ordinary_cost_s());
            let known = self.nodes.get_mut(node)?;
            known.cold_allowance.refill(now, rate, ordinary_cost);
            if !known.cold_allowance.covers(now, cost, 0.0) {
                return None;
            }
        }
        let pace = if is_cold {
            self.zones[zone].cold_pace
        } else {
            1.0
        };
        let is_strained = self.zones[self.home].observations.is_strained() == Some(true);
        let tier_factor = if is_strained {
            STRAINED_TIER_WEIGHT_FACTOR
        } else {
            TIER_WEIGHT_FACTOR
        };
        Some(pace * tier_factor.powi(tier as i32))
    }

    fn attempt_sent(&mut self, now: Time, query: &RoutingQuery, node: &NodeId) {
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        let (zone, cost) = (known.zone, self.class_costs[query.class] / 1e6);
        if known
            .started_at
            .is_some_and(|started| now < started + self.slow_start_duration)
        {
            known.cold_allowance.take(now, cost);
        }
        let state = &mut self.zones[zone];
        if query.is_write {
            return;
        }
        if zone != self.home {
            state.spill_allowance.take(now, cost);
        }
        if state.suppressed || state.condition != ZoneCondition::Well {
            let jitter = 0.5 + random_draw(query.request ^ now, self.salt);
            let interval = (TRIAL_INTERVAL_BASE_US
                + TRIAL_INTERVAL_PER_ROUTER_US * u64::from(self.router_count))
                as f64
                * jitter;
            state.next_trial_at = now + interval as Micros;
        }
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        query: &RoutingQuery,
        node: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    ) {
        let objective = self.classes[query.class].latency_objective as f64;
        let usual_cost = self.class_costs[query.class] as Micros;
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        // A cold node is slower in proportion to the capacity that it lacks; that says nothing about its zone.
        let share = warm_share(
            known.started_at,
            now,
            self.slow_start_min_share,
            self.slow_start_duration,
        );
        let in_time = if share < 1.0 {
            (objective * IN_TIME_OBJECTIVE_SHARE).min(usual_cost as f64 * COLD_NODE_LATENCY_FACTOR)
        } else {
            objective * IN_TIME_OBJECTIVE_SHARE
        };
        let signal = evidence::classify_attempt(
            ending,
            (elapsed as f64 * share) as Micros,
            in_time as Micros,
            usual_cost,
        );
        let zone = known.zone;
        match signal {
            AttemptSignal::NoAnswer => {
                known.consecutive_failures = known.consecutive_failures.saturating_add(1)
            }
            AttemptSignal::InTime | AttemptSignal::Slow => known.consecutive_failures = 0,
            AttemptSignal::Inconclusive => {}
        }
        let is_cold = known
            .started_at
            .is_some_and(|started| now < started + self.slow_start_duration);
        if ending == AttemptEnd::Success && zone == self.home {
            let mean = &mut self.class_costs[query.class];
            *mean += COST_GAIN * ((elapsed as f64).min(*mean * MAX_COST_SAMPLE_FACTOR) - *mean);
            self.rank_classes();
        }
        let state = &mut self.zones[zone];
        state.observations.record(now, node, signal);
        // A single loss does not count as flapping.
        let flaps =
            state.flap.penalty(now, &self.rules.flap) / self.rules.flap.penalty_per_loss - 1.0;
        let slowdown = 1.0 + flaps.max(0.0);
        match signal {
            AttemptSignal::InTime if ending == AttemptEnd::Success => {
                state.ramp.record_in_time(now, &self.rules.ramp, slowdown);
                if is_cold {
                    state.cold_pace =
                        (state.cold_pace * COLD_PACE_INCREASE_FACTOR).min(MAX_COLD_PACE);
                }
                let min_latency = state.min_latency.get_or_insert(elapsed as f64);
                *min_latency = (*min_latency * 1.002).min(elapsed as f64);
            }
            AttemptSignal::Slow | AttemptSignal::NoAnswer => {
                state.ramp.record_slow(now, &self.rules.ramp);
                if is_cold {
                    state.cold_pace =
                        (state.cold_pace * COLD_PACE_DECREASE_FACTOR).max(MIN_COLD_PACE);
                }
            }
            _ => {}
        }
        if zone != self.home
            && now >= state.spill_share_adjusted_at + ADJUSTMENT_INTERVAL_US
            && let Some(strained) = state.observations.is_strained()
        {
            state.spill_share_adjusted_at = now;
            state.spill_share = if strained {
                (state.spill_share * SPILL_SHARE_DECREASE_FACTOR).max(MIN_SPILL_SHARE)
            } else {
                (state.spill_share + SPILL_SHARE_INCREASE_STEP).min(1.0)
            };
        }
        if self.rules.zones[self.home].preferred_tiers.is_empty() {
            self.order_tiers_by_latency();
        }
        self.review(now);
    }

    fn retry_after(&self, query: &RoutingQuery, max_delay: Micros) -> Micros {
        // The delay is drawn between a third and all of the maximum, so that requests rejected together do not all come
        // back at the same time.
        (max_delay as f64 * (1.0 + 2.0 * random_draw(query.request ^ 0x5bd1, self.salt)) / 3.0)
            as Micros
    }

    fn next_log_event(&mut self) -> Option<LogEvent> {
        self.log_events.pop_front()
    }
}

impl ZoneFailover {
    /// Starts a recovery ramp for each zone of which much is still in slow start when this router starts.
    ///
    /// Such a zone was lost shortly before. Without the ramp, a router that restarts while a zone recovers would send the
    /// zone all its requests at once.
    fn start_ramps_of_young_zones(&mut self, now: Time) {
        for zone in 0..self.zones.len() {
            let serving = || {
                self.nodes
                    .values()
                    .filter(|node| node.zone == zone && node.serving)
            };
            let all: f64 = serving().map(|node| node.capacity).sum();
            let young: f64 = serving()
                .filter(|node| {
                    node.started_at
                        .is_some_and(|started| now < started + self.slow_start_duration)
                })
                .map(|node| node.capacity)
                .sum();
            if all > 0.0 && young / all >= RECOVERING_YOUNG_SHARE {
                let share = (self.rules.ramp.start_share * 2.0).min(1.0);
                self.zones[zone].ramp.start(now, share);
                self.push_log_event(
                    zone,
                    "young",
                    "many of its nodes just started, recovery ramp started",
                );
            }
        }
    }

    /// Orders the zones in tiers by measured latency. Zones with a similar minimum latency share a tier.
    fn order_tiers_by_latency(&mut self) {
        let Some(home_latency) = self.zones[self.home].min_latency else {
            return;
        };
        let mut others: Vec<(f64, usize)> = (0..self.zones.len())
            .filter(|zone| *zone != self.home)
            .map(|zone| {
                (
                    self.zones[zone]
                        .min_latency
                        .map_or(f64::INFINITY, |latency| (latency - home_latency).max(0.0)),
                    zone,
                )
            })
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut tier, mut tier_latency) = (0, f64::NEG_INFINITY);
        for (latency, zone) in others {
            // A zone without a measurement joins the last tier of the measured zones; in a tier behind them it would
            // get no requests and never be measured.
            // A tier ends at one and a half times the additional latency of its first zone, plus 2 ms.
            if latency.is_finite() && latency > tier_latency * 1.5 + ms_to_us(2) as f64 {
                (tier, tier_latency) = (tier + 1, latency);
            }
            self.zones[zone].tier = tier.max(1);
        }
    }
}
