//! Exponential decay: how what was once measured loses its say.

use crate::api::Time;

/// The part that is left at `now` of what was measured at `then`, between 0 and 1.
pub(crate) fn remaining(now: Time, then: Time, time_constant_us: f64) -> f64 {
    (-(now.saturating_sub(then) as f64) / time_constant_us).exp()
}
