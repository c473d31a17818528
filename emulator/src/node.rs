//! One db node: a listener, a thread for each connection, and the model's machine between them.

use crate::shared::Shared;
use crate::wire;
use plovercove::Time;
use plovercove_simulation::node::{NodeModel, Offer};
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// No request waits longer for its turn.
const WAIT: Duration = Duration::from_secs(10);

pub(crate) struct Inside {
    pub(crate) machine: NodeModel<u64>,
    /// Those whose turn has come, and until when they run.
    turns: HashMap<u64, Time>,
    tickets: u64,
    pub(crate) up: bool,
    epoch: u32,
    connections: Vec<TcpStream>,
}

/// One db node.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) zone: usize,
    pub(crate) group: usize,
    pub(crate) member: usize,
    pub(crate) address: SocketAddr,
    inside: Mutex<Inside>,
    turned: Condvar,
}

/// What became of a request that was offered.
enum Worked {
    Done,
    Full,
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
        let inside = Inside {
            machine,
            turns: HashMap::new(),
            tickets: 0,
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
            inside: Mutex::new(inside),
            turned: Condvar::new(),
        }
    }

    pub(crate) fn inside(&self) -> MutexGuard<'_, Inside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process dies: its listener closes and its connections are reset or end.
    pub(crate) fn die(&self) {
        let mut inside = self.inside();
        if !inside.up {
            return;
        }
        (inside.up, inside.epoch) = (false, inside.epoch + 1);
        drop(inside.machine.stop());
        inside.turns.clear();
        for connection in inside.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(inside);
        self.turned.notify_all();
        // The thread that accepts wakes up, sees that it is down and lets its listener go.
        let _ = TcpStream::connect(self.address);
    }

    /// Its process starts again, cold, at the same address.
    pub(crate) fn start_again(self: &Arc<Self>, shared: &Arc<Shared>) -> io::Result<()> {
        let mut inside = self.inside();
        if inside.up || inside.machine.has_crashed() {
            return Ok(());
        }
        let listener = TcpListener::bind(self.address)?;
        (inside.up, inside.epoch) = (true, inside.epoch + 1);
        inside.machine.restart(crate::now());
        drop(inside);
        self.serve(listener, shared);
        Ok(())
    }

    /// Accepts until the node is down.
    pub(crate) fn serve(self: &Arc<Self>, listener: TcpListener, shared: &Arc<Shared>) {
        let (node, shared) = (self.clone(), shared.clone());
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let mut inside = node.inside();
                if !inside.up {
                    return;
                }
                let Ok(kept) = connection.try_clone() else {
                    continue;
                };
                inside.connections.push(kept);
                let epoch = inside.epoch;
                drop(inside);
                let (node, shared) = (node.clone(), shared.clone());
                // A connection that ends, ends: its peer sees it.
                std::thread::spawn(move || drop(node.talk(connection, epoch, &shared)));
            }
        });
    }

    fn talk(&self, mut stream: TcpStream, epoch: u32, shared: &Shared) -> io::Result<()> {
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

    /// Answers a client's statement; false where the node died over it.
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
        shared.sent(self.zone, wire::label(statement, "t"), class);
        match self.work(shared.work(class, id), epoch) {
            Worked::Lost => return false,
            Worked::Full => wire::put_error(out, "53300"),
            Worked::Done => {
                let now = crate::now();
                wire::put_status(out, "replication_role", self.role(shared));
                if write {
                    shared.group(self.group).commit(now);
                    shared.ran(id);
                    wire::put_status(out, "log_position", &now.div_ceil(1_000).to_string());
                }
                wire::put_row(out, id.as_bytes());
            }
        }
        true
    }

    /// Does the work, when its turn comes.
    fn work(&self, work: f64, epoch: u32) -> Worked {
        let mut inside = self.inside();
        if inside.epoch != epoch {
            return Worked::Lost;
        }
        inside.tickets += 1;
        let ticket = inside.tickets;
        let until = match inside.machine.offer(crate::now(), ticket, work) {
            Offer::Runs(until) => until,
            Offer::Rejected => return Worked::Full,
            Offer::Crashes => {
                drop(inside);
                self.die();
                return Worked::Lost;
            }
            Offer::Queued => loop {
                let (woken, late) = self
                    .turned
                    .wait_timeout(inside, WAIT)
                    .unwrap_or_else(PoisonError::into_inner);
                inside = woken;
                if inside.epoch != epoch || late.timed_out() {
                    return Worked::Lost;
                }
                if let Some(until) = inside.turns.remove(&ticket) {
                    break until;
                }
            },
        };
        drop(inside);
        // The work itself: time passes.
        std::thread::sleep(Duration::from_micros(until.saturating_sub(crate::now())));
        let mut inside = self.inside();
        if inside.epoch != epoch {
            return Worked::Lost;
        }
        if let Some((next, until)) = inside.machine.finish_request(crate::now()) {
            inside.turns.insert(next, until);
            self.turned.notify_all();
        }
        Worked::Done
    }
}
