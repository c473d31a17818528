//! The load that other routers cause at a node, and the number of requests that a node works on at once.
//!
//! If routers are many, each sees almost nothing of a node's load itself. Nodes report their load; between reports the
//! value decays towards the mean of the group.

use crate::api::{Micros, NodeReport, Time};
use crate::decay;
use crate::latency::SAMPLE_WEIGHT;

/// Time constant with which a node's last load report decays towards the mean of its group.
const REPORT_TIME_CONSTANT_US: f64 = 2e6;
/// Time constant with which the mean of a group decays to nothing. Without this decay, a router that rejects all
/// requests because of an overload would never get a report that the overload has ended, and would reject them for good
/// while every node is idle.
const GROUP_MEAN_TIME_CONSTANT_US: f64 = 5e6;
/// Weight of a report in the mean of its group.
const GROUP_MEAN_WEIGHT: f64 = 0.2;
/// Minimum utilization of a node whose report is used to estimate its cores. Reports of less busy nodes are mostly
/// noise.
const MIN_USABLE_UTILIZATION: f64 = 0.2;
/// Utilization from which a report is not used to estimate the cores, because requests queue.
const MAX_USABLE_UTILIZATION: f64 = 0.9;
/// Number of requests that a node works on at once, until reports show it.
const DEFAULT_CORES: f64 = 4.0;

/// The number of requests of other routers at a node, or the mean of that number over a group.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExternalLoad {
    requests: f64,
    updated_at: Time,
}

impl ExternalLoad {
    /// Returns the number of requests of other routers by the last report.
    pub(crate) fn reported(&self) -> f64 {
        self.requests
    }

    /// Returns whether a report that was requested at this time is at least as recent as the last one.
    pub(crate) fn is_superseded_by(&self, requested_at: Time) -> bool {
        requested_at >= self.updated_at
    }

    /// Records a report of the node itself.
    pub(crate) fn set(&mut self, requests: f64, requested_at: Time) {
        self.requests = requests;
        self.updated_at = requested_at;
    }

    /// Adds the report of one member to the mean of its group.
    pub(crate) fn observe_member(&mut self, now: Time, requests: f64) {
        self.requests *= decay::remaining(now, self.updated_at, GROUP_MEAN_TIME_CONSTANT_US);
        self.requests += GROUP_MEAN_WEIGHT * (requests - self.requests);
        self.updated_at = now;
    }

    /// Returns the mean of a group now.
    pub(crate) fn group_mean(&self, now: Time) -> f64 {
        self.requests * decay::remaining(now, self.updated_at, GROUP_MEAN_TIME_CONSTANT_US)
    }

    /// Returns the expected load of a node, given the mean of its group.
    pub(crate) fn expected(&self, now: Time, group_mean: f64) -> f64 {
        let left = decay::remaining(now, self.updated_at, REPORT_TIME_CONSTANT_US);
        group_mean + (self.requests - group_mean) * left
    }
}

/// The number of requests that a node works on at once: one mean over all nodes, estimated from their reports.
#[derive(Clone, Debug)]
pub(crate) struct CoreEstimate {
    cores: f64,
    reports: f64,
}

impl Default for CoreEstimate {
    fn default() -> Self {
        CoreEstimate {
            cores: DEFAULT_CORES,
            reports: 0.0,
        }
    }
}

impl CoreEstimate {
    /// Returns the number of requests that a warm node works on at once.
    pub(crate) fn cores(&self) -> f64 {
        self.cores
    }

    /// Returns the number to assume for a node that is warming up, which is lower until a report has arrived.
    pub(crate) fn cautious_cores(&self) -> f64 {
        if self.reports > 0.0 {
            self.cores
        } else {
            DEFAULT_CORES / 2.0
        }
    }

    /// Updates the estimate from the report of a node with this many requests in flight.
    pub(crate) fn observe(&mut self, in_flight: u32, report: &NodeReport) {
        let utilization = f64::from(report.utilization_permille.unwrap_or(0)) / 1e3;
        let is_usable = (MIN_USABLE_UTILIZATION..MAX_USABLE_UTILIZATION).contains(&utilization);
        if !is_usable || in_flight == 0 {
            return;
        }
        self.reports += 1.0;
        // The first reports have a higher weight, because a router among hundreds gets few reports.
        let weight = SAMPLE_WEIGHT.max(1.0 / (self.reports + 1.0));
        self.cores += weight * (f64::from(in_flight) / utilization - self.cores);
    }
}

/// Returns the time at which a report was requested, on this router's clock. A report that another router passed on is
/// older than its arrival.
pub(crate) fn requested_at(now: Time, age: Micros) -> Time {
    now.saturating_sub(age)
}
