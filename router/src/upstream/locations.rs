//! Applies the endpoint list to the pools: addresses of nodes, and nodes that drain or are removed.

use super::Upstream;
use super::pool::Pool;
use crate::discovery::Listing;
use plovercove::{AttemptEnd, EndpointState, NodeId, Time};
use plovercove_engine::Engine;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of removed nodes whose pool is retained. A fleet has far fewer nodes.
pub(super) const MAX_REMOVED_POOLS: usize = 4_096;

impl Upstream {
    /// Applies an endpoint list, after the engine has.
    pub fn update_endpoints(&mut self, listing: &Listing, now: Time, engine: &mut Engine) {
        if listing.is_complete {
            let listed = listing.entries.iter();
            let listed = listed.map(|(endpoint, _)| &endpoint.node).collect();
            self.remove_unlisted(&listed, engine);
        }
        for (endpoint, address) in &listing.entries {
            if let Some(address) = address {
                self.set_address(&endpoint.node, *address, engine);
                self.open_missing(&endpoint.node, now, engine);
            }
            if endpoint.state != EndpointState::Serving {
                let is_removed = endpoint.state == EndpointState::Removed;
                self.retire(&endpoint.node, is_removed, engine);
            }
        }
        self.release_reused_addresses(now, engine);
        self.release_waiting_jobs(now, engine);
        self.drop_removed(now, engine);
    }

    /// Sets the address of a node. Connections to its old address must not be used any more, since another node may be there
    /// now: idle ones and those that are connecting are closed, busy ones are closed after their job.
    pub fn set_address(&mut self, node: &NodeId, address: SocketAddr, engine: &mut Engine) {
        let pool = self.pools.entry(node.clone()).or_default();
        pool.is_removed = false;
        let old = pool.address.replace(address);
        if old.is_some_and(|old| old != address) {
            self.disconnect(node, engine);
        }
    }

    /// Closes the idle connections to a node that drains or is removed, and records which of the two.
    fn retire(&mut self, node: &NodeId, is_removed: bool, engine: &mut Engine) {
        self.close_idle(node, engine);
        if let Some(pool) = self.pools.get_mut(node) {
            pool.is_removed = is_removed;
        }
    }

    fn remove_unlisted(&mut self, listed: &BTreeSet<&NodeId>, engine: &mut Engine) {
        let known_nodes = self.pools.keys();
        let unlisted: Vec<NodeId> = known_nodes
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for node in unlisted {
            self.retire(&node, true, engine);
        }
    }

    /// Clears the address of a removed node if another node has the same address now. Removed nodes may stay open, and jobs
    /// for the removed node would go to the other one.
    fn release_reused_addresses(&mut self, now: Time, engine: &mut Engine) {
        let pools = self.pools.values().filter(|pool| !pool.is_removed);
        let in_use: BTreeSet<SocketAddr> = pools.filter_map(|pool| pool.address).collect();
        let has_reused_address = |pool: &Pool| {
            pool.is_removed
                && pool
                    .address
                    .is_some_and(|address| in_use.contains(&address))
        };
        for id in self.pools_where(|_, pool| has_reused_address(pool)) {
            if let Some(pool) = self.pools.get_mut(&id) {
                pool.address = None;
            }
            self.disconnect(&id, engine);
            self.open_missing(&id, now, engine);
        }
    }

    /// Fails the waiting jobs and closes the connecting connections at nodes where no job may start any more. Otherwise the
    /// jobs would wait for connections that they may not use, and their time would run out before another node is tried.
    fn release_waiting_jobs(&mut self, now: Time, engine: &mut Engine) {
        let has_jobs = |pool: &Pool| pool.connecting > 0 || !pool.waiting.is_empty();
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

    /// Drops the pools of removed nodes that have no jobs and may not get any. Otherwise the table would grow without limit
    /// over days of replaced nodes.
    fn drop_removed(&mut self, now: Time, engine: &Engine) {
        let connections = self.connections.iter();
        let connected: BTreeSet<&NodeId> = connections.map(|(_, c)| &c.node).collect();
        let mut retained = 0;
        self.pools.retain(|id, pool| {
            if !pool.is_removed || !pool.waiting.is_empty() || connected.contains(id) {
                return true;
            }
            let is_open = pool.address.is_some() && engine.may_send(None, id, now);
            retained += usize::from(is_open);
            is_open && retained <= MAX_REMOVED_POOLS
        });
    }

    fn pools_where(&self, is_wanted: impl Fn(&NodeId, &Pool) -> bool) -> Vec<NodeId> {
        let found = self.pools.iter().filter(|(id, pool)| is_wanted(id, pool));
        found.map(|(id, _)| id.clone()).collect()
    }
}
