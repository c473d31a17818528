//! Cancels attempts, and sends cancel requests to nodes for statements whose result is no longer needed.

use super::Upstream;
use super::connection::{BackendKey, Connection, Job, State};
use plovercove::{NodeId, Time};
use plovercove_engine::{AttemptId, Engine, Key};
use plovercove_pgwire::login;

/// Maximum number of connections that carry cancel requests at a time.
const MAX_CANCELS_IN_FLIGHT: usize = 64;

impl Upstream {
    /// Cancels an attempt. Its connection is closed, so that late bytes cannot reach another request.
    pub fn cancel_attempt(&mut self, id: AttemptId, node: &NodeId, now: Time, engine: &mut Engine) {
        let Some(&connection) = self.running_attempts.get(&id) else {
            return self.remove_waiting(id, node);
        };
        let backend_key = self.cancel_key(connection);
        self.drop_connection(connection, engine);
        if let Some(backend_key) = backend_key {
            self.send_cancel(node, backend_key, now, engine);
        }
    }

    /// Removes an attempt that waits for a connection.
    fn remove_waiting(&mut self, id: AttemptId, node: &NodeId) {
        let is_attempt = |job: &Job| matches!(job, Job::Attempt { id: other, .. } if *other == id);
        if let Some(pool) = self.pools.get_mut(node) {
            pool.waiting.retain(|job| !is_attempt(job));
        }
    }

    /// Returns the backend key of a connection if a cancel request may be sent for it.
    fn cancel_key(&self, connection: Key) -> Option<BackendKey> {
        let may_send = self.options.sends_cancels && self.cancels_in_flight < MAX_CANCELS_IN_FLIGHT;
        let connection = self.connections.get(connection).filter(|_| may_send)?;
        // If the node has moved, another process at its old address may use the same key.
        let has_cancelable_job =
            connection.has_written_job() && self.is_at_current_address(connection);
        connection
            .backend_key
            .clone()
            .filter(|_| has_cancelable_job)
    }

    /// Sends a cancel request on a new connection. If there is no connection, the node completes the statement.
    fn send_cancel(&mut self, node: &NodeId, key: BackendKey, now: Time, engine: &mut Engine) {
        let mut packet = Vec::new();
        login::put_cancel(&mut packet, &(key.process, key.secret));
        let state = State::Cancelling(packet);
        if self.connect(node, state, now, engine).is_ok() {
            self.cancels_in_flight += 1;
        }
    }

    /// Returns whether a connection leads to the current address of its node.
    pub(super) fn leads_to_current_address(&self, key: Key) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| self.is_at_current_address(connection))
    }

    fn is_at_current_address(&self, connection: &Connection) -> bool {
        let pool = self.pools.get(&connection.node);
        pool.is_some_and(|pool| pool.address == Some(connection.address))
    }
}
