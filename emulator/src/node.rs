//! An emulated db node: a listener, a thread for each connection, and the simulated machine that limits their work.

use crate::shared::Shared;
use crate::wire;
use plovercove::Time;
use plovercove_simulation::node::{NodeModel, Offer};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum time that a request waits until its work begins.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(10);

pub(crate) struct State {
    pub(crate) machine: NodeModel<u64>,
    /// Queued requests whose work has begun since, with the time at which it ends.
    begun: HashMap<u64, Time>,
    last_ticket: u64,
    pub(crate) up: bool,
    epoch: u32,
    connections: Vec<TcpStream>,
}

/// An emulated db node.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) group: usize,
    pub(crate) member: usize,
    pub(crate) address: SocketAddr,
    state: Mutex<State>,
    work_begun: Condvar,
}

/// Result of the work of a request.
enum WorkResult {
    /// The work is done.
    Done,
    /// The queue of the node is full.
    Full,
    /// The node failed before the work was done, or the request waited too long.
    Lost,
}

impl Node {
    pub(crate) fn new(
        name: String,
        place: (usize, usize, usize),
        machine: NodeModel<u64>,
        address: SocketAddr,
    ) -> Self {
        let (zone, group, member) = place;
        let state = State {
            machine,
            begun: HashMap::new(),
            last_ticket: 0,
            up: true,
            epoch: 0,
            connections: Vec::new(),
        };
        Node {
            name,
            zone,
            group,
            member,
            address,
            state: Mutex::new(state),
            work_begun: Condvar::new(),
        }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops the node: its listener and its connections are closed.
    pub(crate) fn stop(&self) {
        let mut state = self.state();
        if !state.up {
            return;
        }
        (state.up, state.epoch) = (false, state.epoch + 1);
        drop(state.machine.stop());
        state.begun.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.work_begun.notify_all();
        // A connection wakes the accepting thread, which then closes the listener because the node is down.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts the node again at the same address, with cold caches.
    pub(crate) fn start_again(self: &Arc<Self>, shared: &Arc<Shared>) -> io::Result<()> {
        let mut state = self.state();
        if state.up || state.machine.has_crashed() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address)?;
        (state.up, state.epoch) = (true, state.epoch + 1);
        state.machine.restart(crate::now());
        drop(state);
        self.serve(listener, shared);
        Ok(())
    }

    /// Accepts connections until the node is down.
    pub(crate) fn serve(self: &Arc<Self>, listener: TcpListener, shared: &Arc<Shared>) {
        let (node, shared) = (self.clone(), shared.clone());
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let mut state = node.state();
                if !state.up {
                    return;
                }
                let Ok(clone) = connection.try_clone() else {
                    continue;
                };
                state.connections.push(clone);
                let epoch = state.epoch;
                drop(state);
                let (node, shared) = (node.clone(), shared.clone());
                // An error ends the connection, which its peer notices.
                std::thread::spawn(move || drop(node.serve_connection(connection, epoch, &shared)));
            }
        });
    }

    fn serve_connection(
        &self,
        mut stream: TcpStream,
        epoch: u32,
        shared: &Shared,
    ) -> io::Result<()> {
        stream.set_nodelay(true)?;
        wire::welcome(&mut stream, self.role(shared))?;
        loop {
            let Some(text) = wire::statement(&mut stream)? else {
                return Ok(());
            };
            let statement = text.as_str();
            let mut out = Vec::new();
            match statement {
                "" => wire::put(&mut out, b'I', b""),
                "SELECT 1" => wire::put_row(&mut out, b"1"),
                "SHOW pressure" => wire::put_row(&mut out, self.report(shared).as_bytes()),
                _ if !self.answer(statement, epoch, shared, &mut out) => return Ok(()),
                _ => {}
            }
            wire::put_ready(&mut out);
            stream.write_all(&out)?;
        }
    }

    fn role(&self, shared: &Shared) -> &'static str {
        if shared.group(self.group).primary() == Some(self.member) {
            "primary"
        } else {
            "standby"
        }
    }

    fn report(&self, shared: &Shared) -> String {
        let position = shared.group(self.group).position(self.member, crate::now());
        let head = u8::from(self.role(shared) == "primary");
        format!("x0={:.6},x1={head}", position as f64 / 1e6)
    }

    /// Answers the statement of a client. Returns `false` if the node failed before the work was done.
    fn answer(&self, statement: &str, epoch: u32, shared: &Shared, out: &mut Vec<u8>) -> bool {
        let class = wire::label(statement, "c").and_then(|c| shared.class(c));
        let (Some(class), Some(id)) = (class, wire::label(statement, "id")) else {
            wire::put_error(out, "08P01");
            return true;
        };
        let write = shared.writes(class);
        if write && self.role(shared) != "primary" {
            wire::put_status(out, "replication_role", "standby");
            wire::put_error(out, "25006");
            return true;
        }
        shared.count_received(self.zone, wire::label(statement, "t"), class);
        match self.work(shared.work(class, id), epoch) {
            WorkResult::Lost => return false,
            WorkResult::Full => wire::put_error(out, "53300"),
            WorkResult::Done => {
                let now = crate::now();
                wire::put_status(out, "replication_role", self.role(shared));
                if write {
                    shared.group(self.group).commit(now);
                    shared.count_write(id);
                    wire::put_status(out, "log_position", &now.div_ceil(1_000).to_string());
                }
                wire::put_row(out, id.as_bytes());
            }
        }
        true
    }

    /// Waits until the work can begin, and then for as long as it takes.
    fn work(&self, work: f64, epoch: u32) -> WorkResult {
        let mut state = self.state();
        if state.epoch != epoch {
            return WorkResult::Lost;
        }
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let until = match state.machine.offer(crate::now(), ticket, work) {
            Offer::Runs(until) => until,
            Offer::Rejected => return WorkResult::Full,
            Offer::Crashes => {
                drop(state);
                self.stop();
                return WorkResult::Lost;
            }
            Offer::Queued => loop {
                let (guard, wait) = self
                    .work_begun
                    .wait_timeout(state, MAX_QUEUE_TIME)
                    .unwrap_or_else(PoisonError::into_inner);
                state = guard;
                if state.epoch != epoch || wait.timed_out() {
                    return WorkResult::Lost;
                }
                if let Some(until) = state.begun.remove(&ticket) {
                    break until;
                }
            },
        };
        drop(state);
        // The work itself is only a wait.
        std::thread::sleep(Duration::from_micros(until.saturating_sub(crate::now())));
        let mut state = self.state();
        if state.epoch != epoch {
            return WorkResult::Lost;
        }
        if let Some((next, until)) = state.machine.finish_request(crate::now()) {
            state.begun.insert(next, until);
            self.work_begun.notify_all();
        }
        WorkResult::Done
    }
}
