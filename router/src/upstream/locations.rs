//! Where nodes are, by the endpoint list: pools follow when one moves, drains or leaves.

use super::Upstream;
use super::pool::Pool;
use crate::discovery::Listing;
use plovercove::{AttemptEnd, EndpointState, NodeId, Time};
use plovercove_engine::Engine;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Removed nodes whose address is kept, at the most: many times a fleet's.
pub(super) const MAX_REMOVED_POOLS: usize = 4_096;

impl Upstream {
    /// Discovery has told a list, which the engine knows by now.
    pub fn update_endpoints(&mut self, listing: &Listing, now: Time, engine: &mut Engine) {
        if listing.is_complete {
            let listed = listing.entries.iter();
            let listed = listed.map(|(endpoint, _)| &endpoint.node).collect();
            self.remove_unlisted(&listed, engine);
        }
        for (endpoint, address) in &listing.entries {
            if let Some(address) = address {
                self.locate(&endpoint.node, *address, engine);
                self.redial(&endpoint.node, now, engine);
            }
            if endpoint.state != EndpointState::Serving {
                let is_removed = endpoint.state == EndpointState::Removed;
                self.retire(&endpoint.node, is_removed, engine);
            }
        }
        self.release_reused_addresses(now, engine);
        self.release_waiting_jobs(now, engine);
        self.forget_removed(now, engine);
    }

    /// Discovery says where a node is now; connections to where it was are no good, since what is there now may be another
    /// node. Those at work are closed after it; those coming up end, and what waits for them is dialled anew.
    pub fn locate(&mut self, node: &NodeId, address: SocketAddr, engine: &mut Engine) {
        let pool = self.pools.entry(node.clone()).or_default();
        pool.is_removed = false;
        let old = pool.address.replace(address);
        if old.is_some_and(|old| old != address) {
            self.disconnect(node, engine);
        }
    }

    /// A node is to get nothing new; one that is removed is forgotten in time.
    fn retire(&mut self, node: &NodeId, is_removed: bool, engine: &mut Engine) {
        self.close_idle(node, engine);
        if let Some(pool) = self.pools.get_mut(node) {
            pool.is_removed = is_removed;
        }
    }

    fn remove_unlisted(&mut self, listed: &BTreeSet<&NodeId>, engine: &mut Engine) {
        let known = self.pools.keys();
        let unlisted: Vec<NodeId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        for node in unlisted {
            self.retire(&node, true, engine);
        }
    }

    /// An address is no longer that of a removed node once it belongs to another: where removed nodes stay open, what is
    /// meant for the one would go to the other.
    fn release_reused_addresses(&mut self, now: Time, engine: &mut Engine) {
        let pools = self.pools.values().filter(|pool| !pool.is_removed);
        let in_use: BTreeSet<SocketAddr> = pools.filter_map(|pool| pool.address).collect();
        let has_lost_its = |pool: &Pool| {
            pool.is_removed
                && pool
                    .address
                    .is_some_and(|address| in_use.contains(&address))
        };
        for id in self.pools_where(|_, pool| has_lost_its(pool)) {
            if let Some(pool) = self.pools.get_mut(&id) {
                pool.address = None;
            }
            self.disconnect(&id, engine);
            self.redial(&id, now, engine);
        }
    }

    /// Ends what waits or is coming up at nodes where nothing may begin any more: it would wait for a connection that must
    /// carry nothing, and its time be gone before another node is tried.
    fn release_waiting_jobs(&mut self, now: Time, engine: &mut Engine) {
        let has_jobs = |pool: &Pool| pool.coming_up > 0 || !pool.waiting.is_empty();
        let is_closed = |id: &NodeId| !engine.may_send(None, id, now);
        for id in self.pools_where(|id, pool| has_jobs(pool) && is_closed(id)) {
            self.disconnect(&id, engine);
            let pool = self.pools.get_mut(&id);
            let waiting = pool.map(|pool| std::mem::take(&mut pool.waiting));
            for job in waiting.unwrap_or_default() {
                self.fail(job, &id, AttemptEnd::NeverSent, now, engine);
            }
        }
    }

    /// Loses the pools of removed nodes, once nothing is in flight there and nothing may begin there. Over days of
    /// replacements the table would grow without end.
    fn forget_removed(&mut self, now: Time, engine: &Engine) {
        let connections = self.connections.iter();
        let connected: BTreeSet<&NodeId> = connections.map(|(_, c)| &c.node).collect();
        let mut kept = 0;
        self.pools.retain(|id, pool| {
            if !pool.is_removed || !pool.waiting.is_empty() || connected.contains(id) {
                return true;
            }
            let is_open = pool.address.is_some() && engine.may_send(None, id, now);
            kept += usize::from(is_open);
            is_open && kept <= MAX_REMOVED_POOLS
        });
    }

    fn pools_where(&self, wanted: impl Fn(&NodeId, &Pool) -> bool) -> Vec<NodeId> {
        let found = self.pools.iter().filter(|(id, pool)| wanted(id, pool));
        found.map(|(id, _)| id.clone()).collect()
    }
}
