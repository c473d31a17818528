//! The state of one router's tiers.

use crate::allowance::Allowance;
use crate::evidence::{self, Cause, Seen, Sign};
use crate::ramp::{Flap, Ramp};
use crate::rules::{MAX_ZONES, RuleFault, RuleFaultKind, Rules, Zone, ms};
use plovercove::*;
use std::collections::{BTreeMap, VecDeque};

/// The state is brought up to date no more often than this; allowances and signs are exact in between.
const REVIEW: Micros = 20_000;
/// So much of its weight counts for a node, for each tier that it is away: home goes first until its nodes hold some
/// three times as much work as others.
const FAR: (f64, f64) = (0.08, 0.5);
/// An answer is in time within this share of its aim.
const IN_TIME: f64 = 0.7;
/// ... and one of a cold node, less what it lacks, within so many times what its class takes: it must not queue there.
const COLD_TIME: f64 = 2.0;
/// A class costs this share of its aim at first, and its running mean moves so far with each answer.
const COST: (f64, f64) = (0.2, 0.03);
/// One answer counts for no more than so many times the present cost: else a jam would pass for work.
const COST_EACH: f64 = 3.0;
/// Of the limit on spill, what routers whose own zone is well may use together, for groups without a fresh replica or
/// room at home: while all zones are well, and while one is not and the rest is for those who lost theirs.
const CALM_SPILL: (f64, f64) = (0.45, 0.45);
/// A class that costs more than so many times the cheapest is not ordinary: many routers' narrow allowances leave it out.
const ORDINARY: f64 = 3.0;
/// What is kept under the limit for the spread of what requests cost.
const SPILL_MARGIN: f64 = 0.97;
/// An allowance keeps up to this share of its depth for requests that are worth more.
const RESERVE: f64 = 0.7;
/// How long an answer of another zone proves that its routers need no spill.
const PROVED: Micros = 3_000_000;
/// A zone's capacity is remembered for so long after the list lost it.
const REMEMBERED: Micros = 120_000_000;
/// The home zone's load is unknown; what is left of it is taken to bear its requests down to this share.
const USUAL_LOAD: f64 = 0.75;
/// The share that stays at home falls by this factor when home is strained, and rises by this much when it is not.
const KEEP: (f64, f64, f64) = (0.85, 0.04, 0.05);
/// ... and no more often than this.
const KEEP_GAP: Micros = 250_000;
/// What a zone bears of spill falls and rises so, between these bounds.
const BEARS: (f64, f64, f64) = (0.9, 0.05, 0.6);
/// Trials of a zone that is not used: first gap, and what each router adds so that all together are few.
const TRIAL: (Micros, Micros) = (400_000, 4_000);
/// Of what a cold node can do, what the routers of its own zone may use together, and those of all others. The sum,
/// times the most of `AHEAD`, stays under the multiple at which nodes fall (4 where it was told).
const COLD: (f64, f64) = (1.0, 0.5);
/// Cold nodes may be driven ahead of the clock by up to this factor while answers are in time.
const AHEAD: (f64, f64) = (0.5, 2.0);
/// One answer's effect on that factor.
const AHEAD_STEP: (f64, f64) = (1.02, 0.95);
/// A zone of which this share is younger than the warm-up when the router starts was in trouble shortly before.
const TROUBLED: f64 = 0.25;

struct Node {
    zone: usize,
    capacity: f64,
    serving: bool,
    started: Option<Time>,
    left: Option<Time>,
    /// Failures in a row; from two on it counts for no capacity.
    fails: u32,
    cold: Allowance,
}

/// One zone as this router sees it.
#[derive(Default)]
struct Place {
    name: String,
    routers: u32,
    /// Its tier, seen from home: 0 is home itself.
    tier: u32,
    seen: Seen,
    cause: Cause,
    lost_at: Option<Time>,
    flap: Flap,
    suppressed: bool,
    ramp: Ramp,
    trial_at: Time,
    /// Capacity in seconds of work a second: what nodes that answer have now, what those listed as serving have now
    /// and once warm, and what all that were named of late had.
    capacity: f64,
    warm: f64,
    listed: f64,
    full: f64,
    serving: usize,
    spill: Allowance,
    /// What it has shown to bear of the spill that it may get.
    bears: f64,
    bears_at: Time,
    /// How much faster or slower than the clock its cold nodes are driven.
    ahead: f64,
    /// The least time in which it answers, over the mean of home: tiers by measured latency.
    trip: Option<f64>,
}

/// One zone, for people and programs that watch.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// Its name.
    pub zone: String,
    /// Its tier from here, 0 for home.
    pub tier: u32,
    /// What is the matter with it.
    pub cause: Cause,
    /// Whether it gets trials only for having flapped.
    pub suppressed: bool,
    /// The share of its requests that it gets on its way back.
    pub ramp: f64,
    /// Its capacity now and with all nodes that were named of late, in seconds of work a second.
    pub capacity: (f64, f64),
    /// What this router may spill there, in seconds of work a second.
    pub spill: f64,
}

/// Which zones a request of one router may use now.
pub struct ZoneFailover {
    rules: Rules,
    home: usize,
    places: Vec<Place>,
    nodes: BTreeMap<NodeId, Node>,
    /// Mean cost of each class (us), and its rank by worth for the cost: 1 for the best, 0 for the least.
    costs: Vec<f64>,
    ranks: Vec<f64>,
    classes: Vec<Class>,
    /// The share of requests that stays at home.
    keep: f64,
    keep_at: Time,
    routers: u32,
    index: u32,
    salt: u64,
    cold_share: f64,
    cold_span: Micros,
    told: Time,
    listed: bool,
    reviewed: Time,
    causes: Vec<Cause>,
    news: VecDeque<LogEvent>,
}

/// Lines of news that wait for the log, at the most.
const MOST_NEWS: usize = 64;

/// An even draw from 0 to 1 for a request: the same for each question about it.
fn luck(request: RequestId, salt: u64) -> f64 {
    let mut x = request
        .wrapping_add(salt)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The share of its capacity that a node has at least by now: it warms no slower than evenly.
fn warm(started: Option<Time>, now: Time, cold_share: f64, cold_span: Micros) -> f64 {
    let Some(started) = started else { return 1.0 };
    let age = now.saturating_sub(started) as f64 / cold_span as f64;
    (cold_share + (1.0 - cold_share) * age).clamp(0.01, 1.0)
}

impl ZoneFailover {
    /// The tiers of a router that has just started.
    ///
    /// # Errors
    /// Names the key at fault, or that the router's own zone is none of the rules'.
    pub fn new(rules: Rules, settings: &Settings, seed: u64) -> Result<Self, RuleFault> {
        rules.check()?;
        let Some(home) = rules.home_of(settings) else {
            return Err(RuleFault {
                key: "home".into(),
                kind: RuleFaultKind::Elsewhere(settings.zone.clone()),
            });
        };
        let prefer = &rules.zones[home].prefer;
        let tier = |zone: &Zone| match prefer.iter().position(|tier| tier.contains(&zone.name)) {
            _ if zone.name == rules.zones[home].name => 0,
            Some(place) => place as u32 + 1,
            None => prefer.len() as u32 + 1,
        };
        let place = |zone: &Zone| Place {
            name: zone.name.clone(),
            routers: zone.routers,
            tier: tier(zone),
            bears: 1.0,
            ahead: 1.0,
            ..Place::default()
        };
        let costs: Vec<f64> = settings
            .classes
            .iter()
            .map(|c| c.latency_objective as f64 * COST.0)
            .collect();
        let told: u32 = rules.zones.iter().map(|z| z.routers).sum();
        let mut tiers = ZoneFailover {
            home,
            places: rules.zones.iter().map(place).collect(),
            nodes: BTreeMap::new(),
            ranks: vec![1.0; costs.len()],
            costs,
            classes: settings.classes.clone(),
            keep: 1.0,
            keep_at: 0,
            routers: told.max(settings.router_count).max(1),
            index: settings.router_index,
            salt: seed,
            cold_share: settings.slow_start_min_share.clamp(0.01, 1.0),
            cold_span: settings.slow_start_duration.max(1),
            told: 0,
            listed: false,
            reviewed: 0,
            causes: Vec::new(),
            news: VecDeque::new(),
            rules,
        };
        tiers.rank();
        Ok(tiers)
    }

    /// Goes on from where another left off, in service: what it has learned of zones and nodes, ramps under way,
    /// penalties and what its allowances held stay, and only the rules are new. Zones that they no longer name come last.
    pub fn inherit_state(&mut self, old: &mut ZoneFailover) {
        let mut moved = Vec::with_capacity(old.places.len());
        for place in std::mem::take(&mut old.places) {
            let zone = self.zone(&place.name);
            moved.push(zone);
            let Place { tier, routers, .. } = self.places[zone];
            if self.places[zone].name == place.name {
                self.places[zone] = Place {
                    tier,
                    routers,
                    ..place
                };
            }
        }
        self.nodes = std::mem::take(&mut old.nodes);
        for node in self.nodes.values_mut() {
            node.zone = moved[node.zone];
        }
        // What is kept back belongs to the home that it was learned of.
        if moved.get(old.home) == Some(&self.home) {
            (self.keep, self.keep_at) = (old.keep, old.keep_at);
        }
        if self.costs.len() == old.costs.len() {
            self.costs.clone_from(&old.costs);
            self.rank();
        }
        (self.told, self.listed, self.reviewed) = (old.told, old.listed, 0);
        self.news.extend(old.news.drain(..));
    }

    /// How things stand.
    pub fn zone_statuses(&self) -> Vec<ZoneStatus> {
        let view = |p: &Place| ZoneStatus {
            zone: p.name.clone(),
            tier: p.tier,
            cause: p.cause,
            suppressed: p.suppressed,
            ramp: p.ramp.share(),
            capacity: (p.capacity, p.full),
            spill: p.spill.rate(),
        };
        self.places.iter().map(view).collect()
    }

    fn log(&mut self, zone: usize, reason: &'static str, what: &str) {
        if self.news.len() < MOST_NEWS {
            self.news
                .push_back(LogEvent::for_zone(&self.places[zone].name, reason, what));
        }
    }

    /// The zone of that name. One that the rules do not know is taken in, in the last tier and without routers.
    fn zone(&mut self, name: &str) -> usize {
        if let Some(place) = self.places.iter().position(|p| p.name == name) {
            return place;
        }
        if self.places.len() >= MAX_ZONES {
            return self.places.len() - 1;
        }
        let tier = self.places.iter().map(|p| p.tier).max().unwrap_or(0) + 1;
        self.places.push(Place {
            name: name.into(),
            tier,
            bears: 1.0,
            ahead: 1.0,
            ..Place::default()
        });
        self.log(
            self.places.len() - 1,
            "not in the rules",
            "the rules do not name it; it is used last",
        );
        self.places.len() - 1
    }

    // ---- capacity

    /// Seconds of work a second that this router may send to a cold node.
    fn cold_rate(&self, node: &Node, now: Time) -> f64 {
        let place = &self.places[node.zone];
        let share = warm(node.started, now, self.cold_share, self.cold_span) * place.ahead;
        let all = f64::from(self.routers);
        let near = f64::from(place.routers).clamp(1.0, all);
        let part = if node.zone == self.home {
            COLD.0 / near
        } else {
            COLD.1 / (all - near).max(1.0)
        };
        node.capacity * share.min(1.0) * part
    }

    /// What an ordinary request costs at the most (s): what takes much more is not for a narrow allowance.
    fn least(&self) -> f64 {
        self.costs.iter().copied().fold(f64::INFINITY, f64::min) / 1e6 * ORDINARY
    }

    // ---- the review: what is the matter with whom, and what may be spilled

    fn review(&mut self, now: Time) {
        if now < self.reviewed + REVIEW && self.reviewed > 0 {
            return;
        }
        self.reviewed = now.max(1);
        self.count(now);
        let zones: Vec<evidence::Zone<'_>> = self
            .places
            .iter()
            .map(|p| evidence::Zone {
                seen: &p.seen,
                serving: p.serving,
                alive: if p.full > 0.0 { p.listed / p.full } else { 1.0 },
            })
            .collect();
        let mut causes = std::mem::take(&mut self.causes);
        evidence::judge(now, &zones, self.told, &mut causes);
        for (zone, cause) in causes.iter().enumerate() {
            self.judged(now, zone, *cause);
        }
        self.causes = causes;
        self.balance_home(now);
        self.divide(now);
    }

    /// Counts what the zones have.
    fn count(&mut self, now: Time) {
        for place in &mut self.places {
            (
                place.capacity,
                place.warm,
                place.listed,
                place.full,
                place.serving,
            ) = (0.0, 0.0, 0.0, 0.0, 0);
        }
        self.nodes
            .retain(|_, n| n.left.is_none_or(|at| now < at + REMEMBERED));
        let (cold_share, cold_span) = (self.cold_share, self.cold_span);
        for node in self.nodes.values() {
            let share = warm(node.started, now, cold_share, cold_span);
            let place = &mut self.places[node.zone];
            place.full += node.capacity;
            if node.serving {
                place.serving += 1;
                place.listed += node.capacity;
                place.warm += node.capacity * share;
                place.capacity += if node.fails >= 2 {
                    0.0
                } else {
                    node.capacity * share
                };
            }
        }
    }

    /// Takes note of what is the matter with a zone now.
    fn judged(&mut self, now: Time, zone: usize, mut cause: Cause) {
        let place = &mut self.places[zone];
        // A zone without nodes from the start was never lost.
        if cause == Cause::Gone && place.full == 0.0 {
            cause = Cause::Well;
        }
        let lost = |c: Cause| matches!(c, Cause::Gone | Cause::Dark | Cause::Link);
        let before = std::mem::replace(&mut place.cause, cause);
        let was = std::mem::replace(
            &mut place.suppressed,
            place.flap.suppressed(now, &self.rules.flap),
        );
        let suppressed = place.suppressed;
        if lost(cause) && !lost(before) {
            place.lost_at = Some(now);
            place.flap.lost(now, &self.rules.flap);
            place.trial_at = now + TRIAL.0;
            let penalty = place.flap.penalty(now, &self.rules.flap) as u64;
            let reason = match cause {
                Cause::Gone => "gone",
                Cause::Dark => "dark",
                _ => "link lost",
            };
            self.log(
                zone,
                reason,
                &format!("lost ({cause:?}), penalty {penalty}"),
            );
        } else if !lost(cause) && lost(before) {
            place.lost_at = None;
            // Where the cause turned out to be common, the zone itself was never lost.
            if cause != Cause::Common {
                // Little goes to other zones, so their ramps would see no answers; their share of spill bounds them.
                let start = if zone == self.home {
                    self.rules.ramp.start
                } else {
                    1.0
                };
                place.ramp.begin(now, start);
                place.ahead = 1.0;
            }
            self.log(
                zone,
                "way back",
                &format!("answers again ({cause:?}), on its way back"),
            );
        }
        if was != suppressed {
            match suppressed {
                true => self.log(zone, "flaps", "flaps, trials only"),
                false => self.log(zone, "penalty faded", "the penalty has faded"),
            }
        }
    }

    /// How much of the home zone's requests stays at home: what is left of it, corrected by how its answers go.
    fn balance_home(&mut self, now: Time) {
        let home = &self.places[self.home];
        let left = if home.full > 0.0 {
            home.warm / home.full
        } else {
            1.0
        };
        if now < self.keep_at + KEEP_GAP {
            return;
        }
        self.keep_at = now;
        let others = self
            .places
            .iter()
            .enumerate()
            .filter(|(n, _)| *n != self.home);
        let common = evidence::strain_in_common(others.map(|(_, p)| &p.seen));
        let strained = home.seen.strained();
        self.keep = match strained {
            // Only part of the zone being there explains the strain better than load does.
            Some(true) if !common && left < 0.95 => (self.keep * KEEP.0).max(KEEP.2),
            Some(true) => self.keep,
            _ => (self.keep + KEEP.1).min(1.0),
        };
        if left < USUAL_LOAD * 0.95 && strained != Some(false) {
            self.keep = self.keep.min((left / USUAL_LOAD).max(KEEP.2));
        }
    }

    /// Divides the limits on spill among the routers that may need them now, and refills all allowances.
    fn divide(&mut self, now: Time) {
        let least = self.least();
        let home = &self.places[self.home];
        let needy = home.cause != Cause::Well
            || !home.ramp.done()
            || self.keep < 1.0
            || home.suppressed
            || home.capacity < home.full * 0.9;
        let well =
            |p: &Place| p.cause == Cause::Well && p.ramp.done() && p.capacity >= p.full * 0.9;
        let calm_share = if self.places.iter().all(well) {
            CALM_SPILL.0
        } else {
            CALM_SPILL.1
        };
        let all: u32 = self.places.iter().map(|p| p.routers).sum();
        let in_need =
            |place: &Place| !place.seen.heard_within(now, PROVED) || place.cause != Cause::Well;
        let wanting: u32 = (0..self.places.len())
            .filter(|n| *n == self.home || in_need(&self.places[*n]))
            .map(|n| self.places[n].routers)
            .sum();
        for zone in 0..self.places.len() {
            let place = &self.places[zone];
            let own = if in_need(place) && zone != self.home {
                place.routers
            } else {
                0
            };
            let limit = self.rules.spill * place.capacity * place.bears * SPILL_MARGIN;
            let calm = limit * calm_share / f64::from((all - place.routers).max(1));
            let mine =
                limit * (1.0 - CALM_SPILL.1) / f64::from((wanting - own.min(wanting)).max(1));
            let rate = if needy { calm + mine } else { calm };
            self.places[zone].spill.refill(now, rate, least);
        }
    }

    /// Ranks classes by worth for their cost.
    fn rank(&mut self) {
        let value = |n: usize| self.classes[n].priority_weight / self.costs[n].max(1.0);
        let mut order: Vec<usize> = (0..self.costs.len()).collect();
        order.sort_by(|a, b| value(*a).total_cmp(&value(*b)));
        let last = order.len().saturating_sub(1).max(1) as f64;
        for (place, class) in order.into_iter().enumerate() {
            self.ranks[class] = if self.costs.len() > 1 {
                place as f64 / last
            } else {
                1.0
            };
        }
    }

    // ---- questions

    /// Whether a zone that is not in use may be tried with this request.
    fn trial(&self, now: Time, zone: usize, ask: &RoutingQuery) -> bool {
        let safe = self.classes[ask.class].idempotency == Idempotency::Idempotent;
        safe && now >= self.places[zone].trial_at && self.places[zone].serving > 0
    }

    fn open(&self, now: Time, ask: &RoutingQuery, zone: usize, cost: f64) -> bool {
        let place = &self.places[zone];
        let lost = matches!(place.cause, Cause::Gone | Cause::Dark | Cause::Link);
        if lost || (place.suppressed && zone != self.home) {
            return self.trial(now, zone, ask);
        }
        let luck = luck(ask.request, self.salt);
        let reserve = RESERVE * (1.0 - self.ranks[ask.class]);
        if zone == self.home {
            // What does not stay for want of nodes stays all the same where no other zone takes it.
            let others = || {
                self.places
                    .iter()
                    .filter(|p| p.tier > 0 && p.cause == Cause::Well)
            };
            let share = if place.suppressed {
                self.rules.ramp.start
            } else {
                1.0
            };
            let share = place.ramp.share().min(share);
            return luck < self.keep * share
                || ((luck < share || place.suppressed)
                    && !others().any(|p| p.spill.covers(now, cost, reserve)));
        }
        place.spill.covers(now, cost, reserve)
            // Another draw than the one that sent it away from home.
            && (place.ramp.done() || (luck * 7.0).fract() < place.ramp.share())
    }
}

impl LocalityPolicy for ZoneFailover {
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate) {
        let (entries, whole) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        // The saved list says nothing of the present.
        if !matches!(update, EndpointUpdate::Restored(_)) {
            self.told = now;
        }
        if whole {
            for node in self.nodes.values_mut() {
                node.serving = false;
                node.left.get_or_insert(now);
            }
        }
        let first = !std::mem::replace(&mut self.listed, true);
        let (stagger, least) = (luck(u64::from(self.index), self.salt), self.least());
        for entry in entries {
            let zone = self.zone(&entry.zone);
            let capacity = entry.weight.max(0.01)
                * self
                    .rules
                    .cores
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
                    started: None,
                    left: None,
                    fails: 0,
                    cold: Allowance::default(),
                });
            if entry.started_at > node.started {
                node.fails = 0;
                node.cold = Allowance::staggered(
                    now,
                    luck(node.started.unwrap_or(0), self.salt) * stagger,
                    least,
                );
            }
            (node.zone, node.capacity, node.started) =
                (zone, capacity, entry.started_at.or(node.started));
            node.serving = entry.state == EndpointState::Serving;
            node.left = if node.serving {
                None
            } else {
                node.left.or(Some(now))
            };
        }
        self.reviewed = 0;
        self.review(now);
        if first {
            self.begin(now);
        }
    }

    fn weight_share(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) -> Option<f64> {
        self.review(now);
        let Some(known) = self.nodes.get(node) else {
            return Some(1.0);
        };
        let (zone, tier) = (known.zone, self.places[known.zone].tier);
        // The primary alone takes writes, wherever it is.
        if ask.is_write {
            return Some(1.0);
        }
        let cost = self.costs[ask.class] / 1e6;
        let cold = warm(known.started, now, self.cold_share, self.cold_span) < 1.0;
        if !self.open(now, ask, zone, cost) {
            return None;
        }
        if cold {
            let (rate, least) = (self.cold_rate(known, now), self.least());
            let known = self.nodes.get_mut(node)?;
            known.cold.refill(now, rate, least);
            if !known.cold.covers(now, cost, 0.0) {
                return None;
            }
        }
        let pace = if cold { self.places[zone].ahead } else { 1.0 };
        let strained = self.places[self.home].seen.strained() == Some(true);
        Some(pace * if strained { FAR.1 } else { FAR.0 }.powi(tier as i32))
    }

    fn attempt_sent(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) {
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        let (zone, cost) = (known.zone, self.costs[ask.class] / 1e6);
        if known.started.is_some_and(|at| now < at + self.cold_span) {
            known.cold.take(now, cost);
        }
        let place = &mut self.places[zone];
        if ask.is_write {
            return;
        }
        if zone != self.home {
            place.spill.take(now, cost);
        }
        if place.suppressed || place.cause != Cause::Well {
            let spread = 0.5 + luck(ask.request ^ now, self.salt);
            let gap = (TRIAL.0 + TRIAL.1 * u64::from(self.routers)) as f64 * spread;
            place.trial_at = now + gap as Micros;
        }
    }

    fn attempt_ended(
        &mut self,
        now: Time,
        ask: &RoutingQuery,
        node: &NodeId,
        ending: AttemptEnd,
        elapsed: Micros,
    ) {
        let aim = self.classes[ask.class].latency_objective as f64;
        let usual = self.costs[ask.class] as Micros;
        let Some(known) = self.nodes.get_mut(node) else {
            return;
        };
        // A cold node takes longer by what it lacks; that is no news of its zone.
        let share = warm(known.started, now, self.cold_share, self.cold_span);
        let in_time = if share < 1.0 {
            (aim * IN_TIME).min(usual as f64 * COLD_TIME)
        } else {
            aim * IN_TIME
        };
        let sign = evidence::sign(
            ending,
            (elapsed as f64 * share) as Micros,
            in_time as Micros,
            usual,
        );
        let zone = known.zone;
        match sign {
            Sign::Silent => known.fails = known.fails.saturating_add(1),
            Sign::Good | Sign::Slow => known.fails = 0,
            Sign::Nothing => {}
        }
        let cold = known.started.is_some_and(|at| now < at + self.cold_span);
        if ending == AttemptEnd::Success && zone == self.home {
            let mean = &mut self.costs[ask.class];
            *mean += COST.1 * ((elapsed as f64).min(*mean * COST_EACH) - *mean);
            self.rank();
        }
        let place = &mut self.places[zone];
        place.seen.take(now, node, sign);
        // A single loss is no flapping.
        let flaps = place.flap.penalty(now, &self.rules.flap) / self.rules.flap.each - 1.0;
        let slowed = 1.0 + flaps.max(0.0);
        match sign {
            Sign::Good if ending == AttemptEnd::Success => {
                place.ramp.good(now, &self.rules.ramp, slowed);
                if cold {
                    place.ahead = (place.ahead * AHEAD_STEP.0).min(AHEAD.1);
                }
                let trip = place.trip.get_or_insert(elapsed as f64);
                *trip = (*trip * 1.002).min(elapsed as f64);
            }
            Sign::Slow | Sign::Silent => {
                place.ramp.slow(now, &self.rules.ramp);
                if cold {
                    place.ahead = (place.ahead * AHEAD_STEP.1).max(AHEAD.0);
                }
            }
            _ => {}
        }
        if zone != self.home
            && now >= place.bears_at + KEEP_GAP
            && let Some(strained) = place.seen.strained()
        {
            place.bears_at = now;
            place.bears = if strained {
                (place.bears * BEARS.0).max(BEARS.2)
            } else {
                (place.bears + BEARS.1).min(1.0)
            };
        }
        if self.rules.zones[self.home].prefer.is_empty() {
            self.order_by_trip();
        }
        self.review(now);
    }

    fn retry_after(&self, ask: &RoutingQuery, most: Micros) -> Micros {
        // Between a third and all of it: a herd that was refused together must not return together.
        (most as f64 * (1.0 + 2.0 * luck(ask.request ^ 0x5bd1, self.salt)) / 3.0) as Micros
    }

    fn next_log_event(&mut self) -> Option<LogEvent> {
        self.news.pop_front()
    }
}

impl ZoneFailover {
    /// A router that starts while a zone is on its way back does not begin at full: much of the zone is younger than
    /// the warm-up.
    fn begin(&mut self, now: Time) {
        for zone in 0..self.places.len() {
            let mine = || self.nodes.values().filter(|n| n.zone == zone && n.serving);
            let all: f64 = mine().map(|n| n.capacity).sum();
            let young: f64 = mine()
                .filter(|n| n.started.is_some_and(|at| now < at + self.cold_span))
                .map(|n| n.capacity)
                .sum();
            if all > 0.0 && young / all >= TROUBLED {
                let share = (self.rules.ramp.start * 2.0).min(1.0);
                self.places[zone].ramp.begin(now, share);
                self.log(
                    zone,
                    "young",
                    "young at this router's start, on its way back",
                );
            }
        }
    }

    /// Tiers by measured latency: zones whose best answers take about as long share one.
    fn order_by_trip(&mut self) {
        let Some(home) = self.places[self.home].trip else {
            return;
        };
        let mut others: Vec<(f64, usize)> = (0..self.places.len())
            .filter(|n| *n != self.home)
            .map(|n| {
                (
                    self.places[n]
                        .trip
                        .map_or(f64::INFINITY, |trip| (trip - home).max(0.0)),
                    n,
                )
            })
            .collect();
        others.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut tier, mut first) = (0, f64::NEG_INFINITY);
        for (trip, zone) in others {
            // What has not been measured yet shares the tier of what has, or it never would be.
            if trip.is_finite() && trip > first * 1.5 + ms(2) as f64 {
                (tier, first) = (tier + 1, trip);
            }
            self.places[zone].tier = tier.max(1);
        }
    }
}
