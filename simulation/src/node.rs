//! A db node: cores, a queue, warmth, and what pushes it over. It is told the time and keeps none of its own.

use crate::spec::NodeSpec;
use plovercove::Time;
use std::collections::VecDeque;

/// What became of a request that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It runs and will be done then.
    Runs(Time),
    /// It waits.
    Queued,
    /// It was turned away unseen.
    Rejected,
    /// It was one too many: the node falls over and stays down.
    Crashes,
}

/// A db node's machine.
#[derive(Clone, Debug)]
pub struct NodeModel<J> {
    spec: NodeSpec,
    speed: f64,
    /// So many times slower than usual, 1 for not.
    slowdown: f64,
    started_at: Option<Time>,
    running: u32,
    queue: VecDeque<(J, f64)>,
    /// Mean work of a request (s).
    mean_work_s: f64,
    /// Work offered of late while cold, with its sum (s).
    offered: VecDeque<(Time, f64)>,
    offered_s: f64,
    /// That as a share of what a cold node surely bears, and the most of it so far.
    cold_load_share: f64,
    cold_peak: f64,
    crashed: bool,
}

impl<J> NodeModel<J> {
    /// A warm node of this speed, before requests of this mean work (s).
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

    /// Its process starts anew, cold. What it held is lost.
    pub fn restart(&mut self, now: Time) {
        self.started_at = Some(now);
        self.running = 0;
        self.queue.clear();
        self.offered.clear();
        self.offered_s = 0.0;
    }

    /// Its process is gone. Returns what waited; what ran is lost with it.
    pub fn stop(&mut self) -> impl Iterator<Item = J> + use<J> {
        self.running = 0;
        std::mem::take(&mut self.queue)
            .into_iter()
            .map(|(job, _)| job)
    }

    /// It runs so many times slower from now on.
    pub fn set_slowdown(&mut self, times: f64) {
        self.slowdown = times.max(0.01);
    }

    /// When it started, if it is not warm for long.
    pub fn started_at(&self) -> Option<Time> {
        self.started_at
    }

    /// Whether it fell over.
    pub fn has_crashed(&self) -> bool {
        self.crashed
    }

    /// The most work that came within a window while it was cold, over N + 2 roots of N + 2 requests of mean work.
    pub fn cold_peak(&self) -> f64 {
        self.cold_peak
    }

    /// What had come within the window with the last request while it was cold, by the same measure.
    pub fn cold_load_share(&self) -> f64 {
        self.cold_load_share
    }

    /// Requests that it holds.
    pub fn in_flight(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// The share of its cores that work.
    pub fn utilization(&self) -> f64 {
        f64::from(self.running) / f64::from(self.spec.cores)
    }

    /// The share of its capacity that it has now.
    pub fn warmth(&self, now: Time) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at) as f64 / 1e6 / self.spec.cold_s;
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Seconds of work that it does in a second now.
    pub fn capacity(&self, now: Time) -> f64 {
        f64::from(self.spec.cores) * self.speed * self.warmth(now) / self.slowdown
    }

    fn run_time(&self, work: f64, now: Time) -> Time {
        let over = self.in_flight() as f64 / f64::from(self.spec.cores) - self.spec.thrash_at;
        let drag = 1.0 + over.max(0.0) * self.spec.thrash;
        let rate = self.speed * self.warmth(now) / self.slowdown / drag;
        ((work / rate) * 1e6).max(1.0) as Time
    }

    /// Offers a request of so many seconds of work.
    pub fn offer(&mut self, now: Time, job: J, work: f64) -> Offer {
        if self.is_overloaded_while_cold(now, work) {
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

    /// Whether this is more than a cold node bears. All that reaches it counts, also what it turns away.
    fn is_overloaded_while_cold(&mut self, now: Time, work: f64) -> bool {
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
        // Requests of mean work that the settings allow it now; two roots of them and two more are put down to chance.
        let allowed =
            self.spec.fall_factor * self.capacity(now) * self.spec.fall_s / self.mean_work_s;
        self.cold_load_share =
            self.offered_s / ((allowed + 2.0 * allowed.sqrt() + 2.0) * self.mean_work_s);
        self.cold_peak = self.cold_peak.max(self.cold_load_share);
        self.cold_load_share > 1.0
    }

    /// A request is done. Returns the next and when that will be done, which the caller may turn away in turn.
    pub fn finish_request(&mut self, now: Time) -> Option<(J, Time)> {
        self.running = self.running.saturating_sub(1);
        let (job, work) = self.queue.pop_front()?;
        self.running += 1;
        Some((job, now + self.run_time(work, now)))
    }
}

#[cfg(test)]
mod tests;
