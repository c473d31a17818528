//! Observer: the locality policy that records every attempt and applies the verdicts on nodes.
//!
//! It wraps the policy that decides which zones a request may use, and queries that one first.

use crate::observations::Observations;
use crate::outlier_vote::{Level, Subject};
use crate::rules::Rules;
use plovercove::{
    Access, AttemptEnd, EndpointState, EndpointUpdate, LocalityPolicy, LogEvent, Micros, NodeId,
    RoutingQuery, Settings, Time,
};
use std::collections::{BTreeMap, VecDeque};

/// Share of its weight that a node has at reduced weight, and for a trial request while it is ejected.
const REDUCED_WEIGHT: f64 = 0.5;

/// Trial requests to an ejected node, which this router makes on behalf of all routers.
#[derive(Clone, Copy, Debug)]
struct Trial {
    next_at: Time,
    interval: Micros,
}

/// Node in the endpoint list.
struct ListedNode {
    subject: Subject,
    started_at: Option<Time>,
    is_serving: bool,
}

/// Observations and verdicts of one router, as a locality policy of its decision module.
pub struct Observer {
    locality_policy: Option<Box<dyn LocalityPolicy>>,
    /// Whether only the primary serves a class. No verdict applies to such a class, since no other node can replace the
    /// primary.
    is_primary_only: Vec<bool>,
    pub(crate) observations: Observations,
    nodes: BTreeMap<NodeId, ListedNode>,
    levels: BTreeMap<NodeId, Level>,
    trials: BTreeMap<NodeId, Trial>,
    log_events: VecDeque<LogEvent>,
}

impl Observer {
    /// Creates an observer that wraps the policy that decides which zones a request may use.
    pub fn new(
        rules: &Rules,
        settings: &Settings,
        locality_policy: Option<Box<dyn LocalityPolicy>>,
    ) -> Self {
        let is_primary_only = |access: Access| matches!(access, Access::Write | Access::Latest);
        Observer {
            locality_policy,
            is_primary_only: settings
                .classes
                .iter()
                .map(|class| is_primary_only(class.access))
                .collect(),
            observations: Observations::new(rules, settings.classes.len()),
            nodes: BTreeMap::new(),
            levels: BTreeMap::new(),
            trials: BTreeMap::new(),
            log_events: VecDeque::new(),
        }
    }

    /// Returns the wrapped policy that decides which zones a request may use.
    pub fn locality_policy(&mut self) -> Option<&mut dyn LocalityPolicy> {
        self.locality_policy.as_deref_mut()
    }

    /// Returns an observer that wraps another policy. It takes over the observations and verdicts of this one.
    pub fn with_locality_policy(
        &mut self,
        locality_policy: Option<Box<dyn LocalityPolicy>>,
    ) -> Observer {
        Observer {
            locality_policy,
            is_primary_only: self.is_primary_only.clone(),
            observations: std::mem::take(&mut self.observations),
            nodes: std::mem::take(&mut self.nodes),
            levels: std::mem::take(&mut self.levels),
            trials: std::mem::take(&mut self.trials),
            log_events: std::mem::take(&mut self.log_events),
        }
    }

    /// Returns the nodes that the endpoint list has as serving, each with its start.
    pub(crate) fn serving(&self) -> impl Iterator<Item = (&Subject, Option<Time>)> {
        self.nodes
            .values()
            .filter(|node| node.is_serving)
            .map(|node| (&node.subject, node.started_at))
    }

    /// Returns the start of a node, if the endpoint list has it.
    pub(crate) fn started_at(&self, node: &NodeId) -> Option<Time> {
        self.nodes.get(node).and_then(|node| node.started_at)
    }

    /// Returns whether a node is in the endpoint list.
    pub(crate) fn is_listed(&self, node: &NodeId) -> bool {
        self.nodes.contains_key(node)
    }

    /// Returns the level of a node.
    pub fn level(&self, node: &NodeId) -> Level {
        self.levels.get(node).copied().unwrap_or_default()
    }

    /// Returns the levels of all nodes that are not fully in service.
    pub fn levels(&self) -> &BTreeMap<NodeId, Level> {
        &self.levels
    }

    /// Sets the level of a node. For an ejected node, `trial_interval` is the interval of this router's trial requests, or
    /// `None` if other routers make them.
    pub(crate) fn set_level(
        &mut self,
        now: Time,
        node: &NodeId,
        level: Level,
        trial_interval: Option<Micros>,
    ) {
        if level == Level::InService {
            self.levels.remove(node);
        } else {
            self.levels.insert(node.clone(), level);
        }
        match trial_interval.filter(|_| level == Level::Ejected) {
            Some(interval) => {
                self.trials.entry(node.clone()).or_insert(Trial {
                    next_at: now,
                    interval,
                });
            }
            None => drop(self.trials.remove(node)),
        }
    }
}

impl LocalityPolicy for Observer {
    fn endpoints_changed(&mut self, now: Time, update: &EndpointUpdate) {
        if let Some(policy) = &mut self.locality_policy {
            policy.endpoints_changed(now, update);
        }
        self.observations.update_endpoints(update);
        let (entries, is_full) = match update {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Full(entries) | EndpointUpdate::Restored(entries) => (entries, true),
            EndpointUpdate::Failed => return,
        };
        if is_full {
            self.nodes.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Removed {
                self.nodes.remove(&entry.node);
                continue;
            }
            let subject = Subject {
                node: entry.node.clone(),
                group: entry.group,
                primary: entry.listed_as_primary,
            };
            let node = ListedNode {
                subject,
                started_at: entry.started_at,
                is_serving: entry.state == EndpointState::Serving,
            };
            self.nodes.insert(entry.node.clone(), node);
        }
        let nodes = &self.nodes;
        self.levels.retain(|id, _| nodes.contains_key(id));
        self.trials.retain(|id, _| nodes.contains_key(id));
    }

    fn weight_share(&mut self, now: Time, query: &RoutingQuery, node: &NodeId) -> Option<f64> {
        let base = self
            .locality_policy
            .as_mut()
            .map_or(Some(1.0), |policy| policy.weight_share(now, query, node))?;
        match self.levels.get(node) {
            None | Some(Level::InService) => Some(base),
            Some(Level::ReducedWeight) => Some(base * REDUCED_WEIGHT),
            Some(Level::Ejected)
                if query.is_write || self.is_primary_only.get(query.class) == Some(&true) =>
            {
                Some(base)
            }
            Some(Level::Ejected) => self
                .trials
                .get(node)
                .filter(|trial| now >= trial.next_at)
                .map(|_| base * REDUCED_WEIGHT),
        }
    }

    fn attempt_sent(&mut self, now: Time, query: &RoutingQuery, node: &NodeId) {
        if let Some(policy) = &mut self.locality_policy {
            policy.attempt_sent(now, query, node);
        }
        if let Some(trial) = self.trials.get_mut(node) {
            trial.next_at = now + trial.interval;
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
        if let Some(policy) = &mut self.locality_policy {
            policy.attempt_ended(now, query, node, ending, elapsed);
        }
        self.observations
            .record_end(now, query.class, query.is_write, node, ending, elapsed);
    }

    fn retry_after(&self, query: &RoutingQuery, max_delay: Micros) -> Micros {
        self.locality_policy
            .as_ref()
            .map_or(max_delay / 2, |policy| policy.retry_after(query, max_delay))
    }

    fn paces_slow_start(&self) -> bool {
        self.locality_policy
            .as_ref()
            .is_some_and(|policy| policy.paces_slow_start())
    }

    fn next_log_event(&mut self) -> Option<LogEvent> {
        self.log_events
            .pop_front()
            .or_else(|| self.locality_policy.as_mut()?.next_log_event())
    }
}
