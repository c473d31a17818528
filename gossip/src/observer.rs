//! What stands beside the decision module: it sees every attempt and its end, and says how much a node counts by the
//! verdicts of all. What says which zones a request may use stands behind it and is asked first.

use crate::observations::Observations;
use crate::outlier_vote::{Level, Subject};
use crate::rules::Rules;
use plovercove::{
    Access, AttemptEnd, EndpointState, EndpointUpdate, LocalityPolicy, LogEvent, Micros, NodeId,
    RoutingQuery, Settings, Time,
};
use std::collections::{BTreeMap, VecDeque};

/// How much of its weight a node counts for that is doubted, or that is out and on trial.
const DOUBTED: f64 = 0.5;

/// Trials of a node that is out: this router makes some on behalf of all.
#[derive(Clone, Copy, Debug)]
struct Trial {
    next: Time,
    every: Micros,
}

/// What a router sees and how it judges, beside its decision module.
pub struct Observer {
    inner: Option<Box<dyn LocalityPolicy>>,
    /// Classes that only the primary serves: no verdict keeps them from it, for nobody else can take its place.
    only_primary: Vec<bool>,
    pub(crate) observations: Observations,
    members: BTreeMap<NodeId, (Subject, Option<Time>, bool)>,
    levels: BTreeMap<NodeId, Level>,
    trials: BTreeMap<NodeId, Trial>,
    news: VecDeque<LogEvent>,
}

impl Observer {
    /// A witness before whatever says which zones a request may use.
    pub fn new(rules: &Rules, settings: &Settings, inner: Option<Box<dyn LocalityPolicy>>) -> Self {
        let only = |access: Access| matches!(access, Access::Write | Access::Latest);
        Observer {
            inner,
            only_primary: settings.classes.iter().map(|c| only(c.access)).collect(),
            observations: Observations::new(rules, settings.classes.len()),
            members: BTreeMap::new(),
            levels: BTreeMap::new(),
            trials: BTreeMap::new(),
            news: VecDeque::new(),
        }
    }

    /// What says which zones a request may use.
    pub fn locality_policy(&mut self) -> Option<&mut dyn LocalityPolicy> {
        self.inner.as_deref_mut()
    }

    /// A witness that goes on from what this one saw and judged, before something else that says which zones a request
    /// may use.
    pub fn with_locality_policy(&mut self, inner: Option<Box<dyn LocalityPolicy>>) -> Observer {
        Observer {
            inner,
            only_primary: self.only_primary.clone(),
            observations: std::mem::take(&mut self.observations),
            members: std::mem::take(&mut self.members),
            levels: std::mem::take(&mut self.levels),
            trials: std::mem::take(&mut self.trials),
            news: std::mem::take(&mut self.news),
        }
    }

    /// The members that the list names as serving, with the starts it tells.
    pub(crate) fn serving(&self) -> impl Iterator<Item = (&Subject, Option<Time>)> {
        self.members
            .values()
            .filter(|(_, _, serving)| *serving)
            .map(|(s, started, _)| (s, *started))
    }

    /// The start of a node that the list tells.
    pub(crate) fn started_at(&self, node: &NodeId) -> Option<Time> {
        self.members.get(node).and_then(|(_, started, _)| *started)
    }

    /// Whether the list names a node.
    pub(crate) fn is_listed(&self, node: &NodeId) -> bool {
        self.members.contains_key(node)
    }

    /// The level of a node.
    pub fn level(&self, node: &NodeId) -> Level {
        self.levels.get(node).copied().unwrap_or_default()
    }

    /// All levels but those that are in.
    pub fn levels(&self) -> &BTreeMap<NodeId, Level> {
        &self.levels
    }

    /// From now on this is the level of a node; where it is out, `tries` says how often this router tries it for all.
    pub(crate) fn set(&mut self, now: Time, node: &NodeId, level: Level, tries: Option<Micros>) {
        if level == Level::InService {
            self.levels.remove(node);
        } else {
            self.levels.insert(node.clone(), level);
        }
        match tries.filter(|_| level == Level::Ejected) {
            Some(every) => {
                self.trials
                    .entry(node.clone())
                    .or_insert(Trial { next: now, every });
            }
            None => drop(self.trials.remove(node)),
        }
    }
}

impl LocalityPolicy for Observer {
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate) {
        if let Some(inner) = &mut self.inner {
            inner.endpoints_changed(now, update);
        }
        self.observations.listed(update);
        let (entries, whole) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        if whole {
            self.members.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.members.remove(&entry.node);
                continue;
            }
            let subject = Subject {
                node: entry.node.clone(),
                group: entry.group,
                primary: entry.listed_as_primary,
            };
            let serving = entry.state == EndpointState::Serving;
            self.members
                .insert(entry.node.clone(), (subject, entry.started_at, serving));
        }
        let members = &self.members;
        self.levels.retain(|id, _| members.contains_key(id));
        self.trials.retain(|id, _| members.contains_key(id));
    }

    fn weight_share(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) -> Option<f64> {
        let base = self
            .inner
            .as_mut()
            .map_or(Some(1.0), |inner| inner.weight_share(now, ask, node))?;
        match self.levels.get(node) {
            None | Some(Level::InService) => Some(base),
            Some(Level::ReducedWeight) => Some(base * DOUBTED),
            Some(Level::Ejected)
                if ask.is_write || self.only_primary.get(ask.class) == Some(&true) =>
            {
                Some(base)
            }
            Some(Level::Ejected) => self
                .trials
                .get(node)
                .filter(|trial| now >= trial.next)
                .map(|_| base * DOUBTED),
        }
    }

    fn attempt_sent(&mut self, now: Time, ask: &RoutingQuery, node: &NodeId) {
        if let Some(inner) = &mut self.inner {
            inner.attempt_sent(now, ask, node);
        }
        if let Some(trial) = self.trials.get_mut(node) {
            trial.next = now + trial.every;
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
        if let Some(inner) = &mut self.inner {
            inner.attempt_ended(now, ask, node, ending, elapsed);
        }
        self.observations
            .ended(now, ask.class, ask.is_write, node, ending, elapsed);
    }

    fn retry_after(&self, ask: &RoutingQuery, most: Micros) -> Micros {
        self.inner
            .as_ref()
            .map_or(most / 2, |inner| inner.retry_after(ask, most))
    }

    fn paces_slow_start(&self) -> bool {
        self.inner
            .as_ref()
            .is_some_and(|inner| inner.paces_slow_start())
    }

    fn next_log_event(&mut self) -> Option<LogEvent> {
        self.news
            .pop_front()
            .or_else(|| self.inner.as_mut()?.next_log_event())
    }
}
