//! Exponential decay of old measurements.

use crate::api::Time;

/// Returns the weight, between 0 and 1, that a measurement made at `then` still has at `now`.
pub(crate) fn remaining(now: Time, then: Time, time_constant_us: f64) -> f64 {
    (-(now.saturating_sub(then) as f64) / time_constant_us).exp()
}
