//! Tenants' quotas: how much of its weight a request beyond its tenant's agreed share earns.
//!
//! It guards against a tenant that floods: its excess would take the room of all others. Nobody is shut out; what exceeds a
//! quota weighs less, waits behind the rest and is the first to be shed ([`crate::admission`]).

use crate::api::{Settings, Time};
use crate::decay;

/// Requests of a tenant are counted with this time constant.
const USAGE_TIME_CONSTANT_US: f64 = 3e6;
/// A count is beyond its quota only by more than so many standard deviations of chance, ...
const CHANCE_DEVIATIONS: f64 = 2.0;
/// ... and by more than so many requests: a router that has seen little cannot tell.
const CHANCE_REQUESTS: f64 = 2.0;

/// How many requests each tenant has sent of late, as seen by this router.
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

    /// Counts a request, and says which part of its weight it earns: as many of a tenant's requests as exceed its quota
    /// earn less. `random_draw` picks them.
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
        let most_by_chance = quota + CHANCE_DEVIATIONS * quota.sqrt() + CHANCE_REQUESTS;
        if used > most_by_chance && random_draw > quota / used {
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

    /// This router's part of a tenant's quota, in counted requests. Routers see uneven parts of the traffic, so the quota's
    /// part of all that this one has seen holds where that is more.
    fn quota_in_requests(&self, settings: &Settings, tenant: usize) -> f64 {
        let quota_per_s = settings.tenants[tenant].quota_per_s;
        let all_quotas_per_s: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
        let routers = f64::from(settings.router_count.max(1));
        let even_part = quota_per_s * USAGE_TIME_CONSTANT_US / 1e6 / routers;
        let part_of_use = quota_per_s / all_quotas_per_s * self.requests.iter().sum::<f64>();
        even_part.max(part_of_use)
    }
}
