//! Computes the report at the end of a run.

use super::World;
use crate::report::{Report, time_to_recovery};

impl World<'_> {
    pub(super) fn report(mut self) -> Report {
        let share = |(all, good): (f64, f64)| if all > 0.0 { good / all } else { 1.0 };
        let limit = self.spill_limit;
        let mut most = 0.0_f64;
        for s in &self.seconds[..self.spec.seconds as usize] {
            for (spilled, capacity) in s.spilled.iter().zip(&s.capacity) {
                // Requests to a zone without capacity reach no node and do not count as spill.
                if *capacity > 0.0 {
                    most = most.max(spilled / capacity);
                }
            }
        }
        let seconds = std::mem::take(&mut self.seconds);
        let first = self
            .spec
            .faults
            .iter()
            .map(|f| f.at)
            .fold(f64::INFINITY, f64::min);
        let last = self.spec.faults.iter().map(|f| f.until).fold(0.0, f64::max);
        let (mut after_loss, mut after_return) = (None, None);
        if first.is_finite() && first >= 3.0 {
            let calm: (f64, f64) = seconds[2..first as usize]
                .iter()
                .fold((0.0, 0.0), |sum, s| (sum.0 + s.asked, sum.1 + s.in_time));
            let calm_share = share(calm);
            let capacity = |n: usize| seconds[n].capacity.iter().sum::<f64>();
            let full = capacity(first as usize - 1);
            // The share of the offered work that the remaining capacity allows.
            let allows = |n: usize| (capacity(n) / full / self.spec.clients.load).min(1.0);
            after_loss = time_to_recovery(&seconds, first, last, |n| 0.95 * calm_share * allows(n));
            after_return =
                time_to_recovery(&seconds, last, self.spec.seconds, |_| 0.95 * calm_share);
        }
        Report {
            name: self.spec.name.clone(),
            variant: self.spec.variant,
            seed: self.seed,
            requests: self.totals.requests,
            attempts: self.totals.attempts,
            in_time: share((self.totals.asked, self.totals.in_time)),
            window: share(self.totals.window),
            local: share((self.totals.local.1 as f64, self.totals.local.0 as f64)),
            spill_over: most - limit,
            spill_most: most,
            probes: self.totals.probes,
            to_bad: self.totals.to_bad,
            talked: self.spec.peers.is_some().then(|| self.gossip_stats.clone()),
            fallen: self.totals.fallen,
            cold_peak: self
                .nodes
                .iter()
                .map(|n| n.machine.cold_peak())
                .fold(0.0, f64::max),
            cold: self.totals.cold,
            after_loss,
            after_return,
            p50_ms: self.latencies.value_at_quantile(0.5) as f64 / 1e3,
            p99_ms: self.latencies.value_at_quantile(0.99) as f64 / 1e3,
            classes: self.totals.classes,
            tenants: self.totals.tenants,
            breaches: self.breaches.0,
            events: self.totals.events,
            seconds,
        }
    }
}
