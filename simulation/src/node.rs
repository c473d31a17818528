//! The model of a database node: cores, a queue, warm-up after a start, and a crash by overload while it is cold.
//! Its methods receive the current time; the model reads no clock.

use crate::spec::NodeSpec;
use plovercove::Time;
use std::collections::VecDeque;

/// The outcome of offering a request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The request runs and is finished at this time.
    Runs(Time),
    /// The request is queued.
    Queued,
    /// The queue is full; the node rejects the request.
    Rejected,
    /// The request overloads a cold node: the node crashes and stays down.
    Crashes,
}

/// The state of a node. `J` identifies a request for the caller.
#[derive(Clone, Debug)]
pub struct NodeModel<J> {
    spec: NodeSpec,
    speed: f64,
    /// Factor by which requests take longer, 1 without a fault.
    slowdown: f64,
    started_at: Option<Time>,
    running: u32,
    queue: VecDeque<(J, f64)>,
    /// Mean work of a request (s).
    mean_work_s: f64,
    /// Work offered within the window of `fall_s` while the node is cold, with its sum (s).
    offered: VecDeque<(Time, f64)>,
    offered_s: f64,
    /// This sum as a share of what a cold node certainly withstands, and its maximum so far.
    cold_load_share: f64,
    cold_peak: f64,
    crashed: bool,
}

impl<J> NodeModel<J> {
    /// Creates a warm node of this speed for requests of this mean work (s).
    pub fn new(spec: NodeSpec, speed: f64, mean_work_s: f64) -> Self {
        NodeModel {
            spec,
            speed,
            mean_work_s,
            slowdown: 1.0,
            started_at: None,
            running: 0,
            queue: VecDeque::new(),
            offered: VecDeque::new(),
            offered_s: 0.0,
            cold_load_share: 0.0,
            cold_peak: 0.0,
            crashed: false,
        }
    }

    /// Restarts the process. The node is cold, and its running and queued requests are lost.
    pub fn restart(&mut self, now: Time) {
        self.started_at = Some(now);
        self.running = 0;
        self.queue.clear();
        self.offered.clear();
        self.offered_s = 0.0;
    }

    /// Stops the process and returns the queued requests. Running requests are lost.
    pub fn stop(&mut self) -> impl Iterator<Item = J> + use<J> {
        self.running = 0;
        std::mem::take(&mut self.queue)
            .into_iter()
            .map(|(job, _)| job)
    }

    /// Sets the factor by which requests take longer.
    pub fn set_slowdown(&mut self, times: f64) {
        self.slowdown = times.max(0.01);
    }

    /// Returns the time of the last restart, or `None` if the node has run since before the simulation.
    pub fn started_at(&self) -> Option<Time> {
        self.started_at
    }

    /// Returns whether the node crashed by overload.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// Returns the largest work offered within a window while the node was cold, as a share of N + 2 sqrt(N) + 2 requests
    /// of mean work, where N is the number of requests that `fall_factor` allows.
    pub fn cold_peak(&self) -> f64 {
        self.cold_peak
    }

    /// Returns the same share for the window that ended with the last request while the node was cold.
    pub fn cold_load_share(&self) -> f64 {
        self.cold_load_share
    }

    /// Returns the number of running and queued requests.
    pub fn in_flight(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Returns the share of its cores that are busy.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running) / f64::from(self.spec.cores)
    }

    /// Returns the share of its full capacity that the node has now.
    pub fn warmth(&self, now: Time) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / 1e6 / self.spec.cold_s;
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Returns the work (s) that the node does per second now.
    pub fn capacity(&self, now: Time) -> f64 {
        f64::from(self.spec.cores) * self.speed * self.warmth(now) / self.slowdown
    }

    fn run_time(&self, work: f64, now: Time) -> Time {
        let over = self.in_flight() as f64 / f64::from(self.spec.cores) - self.spec.thrash_at;
        let drag = 1.0 + over.max(0.0) * self.spec.thrash;
        let rate = self.speed * self.warmth(now) / self.slowdown / drag;
        ((work / rate) * 1e6).max(1.0) as Time
    }

    /// Offers a request with this work (s).
    pub fn offer(&mut self, now: Time, job: J, work: f64) -> Offer {
        if self.record_cold_load(now, work) {
            self.crashed = true;
            return Offer::Crashes;
        }
        if self.running < self.spec.cores {
            self.running += 1;
            Offer::Runs(now + self.run_time(work, now))
        } else if self.queue.len() < self.spec.queue as usize {
            self.queue.push_back((job, work));
            Offer::Queued
        } else {
            Offer::Rejected
        }
    }

    /// Records a request at a cold node and returns whether it overloads the node. Requests that the node rejects count as well.
    fn record_cold_load(&mut self, now: Time, work: f64) -> bool {
        let warmth = self.warmth(now);
        if warmth >= 1.0 {
            return false;
        }
        let window = (self.spec.fall_s * 1e6) as Time;
        while self
            .offered
            .front()
            .is_some_and(|(at, _)| at + window < now)
        {
            self.offered_s -= self.offered.pop_front().map_or(0.0, |(_, work)| work);
        }
        self.offered.push_back((now, work));
        self.offered_s += work;
        // The number N of requests of mean work that the settings allow now. Random variation may add 2 sqrt(N) + 2.
        let allowed =
            self.spec.fall_factor * self.capacity(now) * self.spec.fall_s / self.mean_work_s;
        self.cold_load_share =
            self.offered_s / ((allowed + 2.0 * allowed.sqrt() + 2.0) * self.mean_work_s);
        self.cold_peak = self.cold_peak.max(self.cold_load_share);
        self.cold_load_share > 1.0
    }

    /// Finishes a running request. Returns the next queued request, which runs now, and the time at which it is finished.
    pub fn finish_request(&mut self, now: Time) -> Option<(J, Time)> {
        self.running = self.running.saturating_sub(1);
        let (job, work) = self.queue.pop_front()?;
        self.running += 1;
        Some((job, now + self.run_time(work, now)))
    }
}

#[cfg(test)]
mod tests;
