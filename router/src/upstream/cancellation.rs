//! Stopping attempts, and asking nodes to stop what nobody waits for any more.

use super::Upstream;
use super::connection::{BackendKey, Connection, Job, State};
use plovercove::{NodeId, Time};
use plovercove_engine::{AttemptId, Engine, Key};
use plovercove_pgwire::login;

/// Connections that ask nodes to stop what they do, at the most.
const MAX_CANCELS_UNDER_WAY: usize = 64;

impl Upstream {
    /// Stops an attempt; its connection is closed, so that late bytes reach no other request.
    pub fn cancel_attempt(&mut self, id: AttemptId, node: &NodeId, now: Time, engine: &mut Engine) {
        let Some(&connection) = self.running_attempts.get(&id) else {
            return self.forget_waiting(id, node);
        };
        let backend_key = self.cancel_key(connection);
        self.drop_connection(connection, engine);
        if let Some(backend_key) = backend_key {
            self.ask_to_stop(node, backend_key, now, engine);
        }
    }

    fn forget_waiting(&mut self, id: AttemptId, node: &NodeId) {
        let is_it = |job: &Job| matches!(job, Job::Attempt { id: other, .. } if *other == id);
        if let Some(pool) = self.pools.get_mut(node) {
            pool.waiting.retain(|job| !is_it(job));
        }
    }

    /// What a cancel of a connection's work must show, where one may be sent.
    fn cancel_key(&self, connection: Key) -> Option<BackendKey> {
        let may_ask = self.options.cancels && self.cancels_under_way < MAX_CANCELS_UNDER_WAY;
        let connection = self.connections.get(connection).filter(|_| may_ask)?;
        // At another address it would name a stranger's work.
        let may_stop = connection.has_written_job() && self.leads_to_its_node(connection);
        connection.backend_key.clone().filter(|_| may_stop)
    }

    /// Where it cannot be asked, the node finishes what it does for nobody.
    fn ask_to_stop(&mut self, node: &NodeId, key: BackendKey, now: Time, engine: &mut Engine) {
        let mut packet = Vec::new();
        login::put_cancel(&mut packet, &(key.process, key.secret));
        let state = State::Cancelling(packet);
        if self.connect(node, state, now, engine).is_ok() {
            self.cancels_under_way += 1;
        }
    }

    /// Whether a connection leads to where its node is now.
    pub(super) fn is_in_place(&self, key: Key) -> bool {
        let connection = self.connections.get(key);
        connection.is_some_and(|connection| self.leads_to_its_node(connection))
    }

    fn leads_to_its_node(&self, connection: &Connection) -> bool {
        let pool = self.pools.get(&connection.node);
        pool.is_some_and(|pool| pool.address == Some(connection.address))
    }
}
