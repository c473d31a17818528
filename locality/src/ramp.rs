//! Recovery ramp of a zone that was lost, and the penalty on a zone that flaps.
//!
//! A zone that was lost gets a small share of its requests at first. The share grows with answers in time and never by the
//! clock alone. It doubles no faster than a fixed interval allows, and falls when answers are slow. Each loss raises the
//! flap penalty, which decays with a fixed half-life (as the figure of merit in RFC 2439). The penalty slows the doubling.
//! Above the suppress threshold the zone gets only trial requests, until the penalty has decayed below the reuse threshold.

use crate::rules::{FlapRules, RampRules, ms_to_us};
use plovercove::{Micros, Time};

/// Flap penalty of one zone.
#[derive(Clone, Debug, Default)]
pub struct FlapPenalty {
    penalty: f64,
    updated_at: Time,
    suppressed: bool,
}

impl FlapPenalty {
    /// Returns the penalty that is left after its decay.
    pub fn penalty(&self, now: Time, rules: &FlapRules) -> f64 {
        let half_lives =
            now.saturating_sub(self.updated_at) as f64 / ms_to_us(rules.half_life_ms) as f64;
        self.penalty * (-half_lives).exp2()
    }

    /// Records that the zone was lost once more.
    pub fn record_loss(&mut self, now: Time, rules: &FlapRules) {
        self.penalty = (self.penalty(now, rules) + rules.penalty_per_loss).min(rules.max_penalty);
        self.updated_at = now;
        self.suppressed |= self.penalty >= rules.suppress;
    }

    /// Ends the suppression if the penalty has decayed enough, and returns whether the zone gets only trial requests.
    pub fn update_suppression(&mut self, now: Time, rules: &FlapRules) -> bool {
        self.suppressed &= self.penalty(now, rules) >= rules.reuse;
        self.suppressed
    }
}

/// Recovery ramp: the share of its requests that a zone gets.
#[derive(Clone, Debug)]
pub struct RecoveryRamp {
    share: f64,
    /// Time of the last change or start, from which the next doubling is delayed.
    changed_at: Time,
    /// Time of the last fall or start, from which the next fall is delayed.
    fell_at: Time,
    /// Answers in time since the last change.
    in_time: u32,
    /// Slow or missing answers since the last change.
    slow: u32,
}

/// Number of slow answers below which the share does not fall.
const FALL_MIN_SLOW_ANSWERS: u32 = 3;
/// The share falls only if the slow answers, times this factor, outnumber the answers in time. The distribution of work
/// has a heavy tail: a few answers in a hundred are slow in a healthy zone.
const FALL_SLOW_WEIGHT: u32 = 2;
/// Minimum time between two falls. Answers that are slow at the same time show one incident and count once.
const FALL_INTERVAL_US: Micros = 300_000;

impl Default for RecoveryRamp {
    fn default() -> Self {
        RecoveryRamp {
            share: 1.0,
            changed_at: 0,
            fell_at: 0,
            in_time: 0,
            slow: 0,
        }
    }
}

impl RecoveryRamp {
    /// Returns the share, which is above 0 and at most 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns whether the zone gets all of its requests again.
    pub fn is_complete(&self) -> bool {
        self.share >= 1.0
    }

    /// Starts the ramp at this share, or restarts it. The share of a ramp in progress stays if it is lower.
    pub fn start(&mut self, now: Time, share: f64) {
        self.share = self.share.min(share);
        (self.in_time, self.slow, self.changed_at, self.fell_at) = (0, 0, now, now);
    }

    /// Records an answer in time. `slowdown` multiplies the minimum time to a doubling.
    pub fn record_in_time(&mut self, now: Time, rules: &RampRules, slowdown: f64) {
        if self.is_complete() {
            return;
        }
        self.in_time += 1;
        let min_interval = (ms_to_us(rules.double_ms) as f64 * slowdown) as Micros;
        if self.in_time >= rules.answers_to_double && now >= self.changed_at + min_interval {
            self.share = (self.share * 2.0).min(1.0);
            (self.in_time, self.slow, self.changed_at) = (0, 0, now);
        }
    }

    /// Records an answer that was slow or did not come. The share never falls below a quarter of the start share:
    /// without requests the zone could not show that it answers again.
    pub fn record_slow(&mut self, now: Time, rules: &RampRules) {
        self.slow += 1;
        let many_are_slow =
            self.slow >= FALL_MIN_SLOW_ANSWERS && self.slow * FALL_SLOW_WEIGHT > self.in_time;
        if self.is_complete() || !many_are_slow || now < self.fell_at + FALL_INTERVAL_US {
            return;
        }
        self.share = (self.share * rules.fall_factor).max(rules.start_share / 4.0);
        (self.in_time, self.slow, self.changed_at, self.fell_at) = (0, 0, now, now);
    }
}

#[cfg(test)]
mod tests;
