//! Tenants' quotas: the share of its weight that a request beyond its tenant's quota earns.
//!
//! They guard against a tenant that floods the fleet: its excess would take the capacity of all others. No tenant is
//! shut out. Requests beyond a quota have less weight, wait behind the others and are shed first
//! ([`crate::admission`]).

use crate::api::{Settings, Time};
use crate::decay;

/// Time constant of the decaying count of a tenant's requests.
const USAGE_TIME_CONSTANT_US: f64 = 3e6;
/// Number of standard deviations by which a count must exceed the quota, so that random variation alone does not count.
const NOISE_DEVIATIONS: f64 = 2.0;
/// Number of requests by which a count must exceed the quota in addition, since small counts show little.
const NOISE_REQUESTS: f64 = 2.0;

/// The number of recent requests of each tenant, as seen by this router.
#[derive(Debug, Default)]
pub(crate) struct TenantUsage {
    requests: Vec<f64>,
    updated_at: Time,
}

impl TenantUsage {
    pub(crate) fn new(tenants: usize) -> Self {
        TenantUsage {
            requests: vec![0.0; tenants],
            updated_at: 0,
        }
    }

    /// Counts a request and returns the share of its weight that it earns. The share of a tenant's requests that
    /// exceeds its quota earns less; `random_draw` selects these requests.
    pub(crate) fn weight_of_request(
        &mut self,
        settings: &Settings,
        now: Time,
        tenant: Option<usize>,
        random_draw: f64,
    ) -> f64 {
        let Some(tenant) = tenant.filter(|tenant| *tenant < self.requests.len()) else {
            return 1.0;
        };
        self.count(now, tenant);
        let quota = self.quota_in_requests(settings, tenant);
        let used = self.requests[tenant];
        let max_within_noise = quota + NOISE_DEVIATIONS * quota.sqrt() + NOISE_REQUESTS;
        if used > max_within_noise && random_draw > quota / used {
            settings.over_quota_weight
        } else {
            1.0
        }
    }

    fn count(&mut self, now: Time, tenant: usize) {
        let left = decay::remaining(now, self.updated_at, USAGE_TIME_CONSTANT_US);
        self.updated_at = now;
        for requests in &mut self.requests {
            *requests *= left;
        }
        self.requests[tenant] += 1.0;
    }

    /// Returns this router's part of a tenant's quota, in counted requests. Routers see uneven parts of the traffic, so
    /// the part is the larger of an even share and the quota's share of all requests that this router has counted.
    fn quota_in_requests(&self, settings: &Settings, tenant: usize) -> f64 {
        let quota_per_s = settings.tenants[tenant].quota_per_s;
        let all_quotas_per_s: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let routers = f64::from(settings.router_count.max(1));
        let even_part = quota_per_s * USAGE_TIME_CONSTANT_US / 1e6 / routers;
        let part_of_use = quota_per_s / all_quotas_per_s * self.requests.iter().sum::<f64>();
        even_part.max(part_of_use)
    }
}
