//! A db node whose faults can change while it serves, and that counts the statements that it receives.

use crate::wire;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time that a request takes without faults.
const WORK_TIME: Duration = Duration::from_millis(2);

/// Faults of a node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InjectedFaults {
    /// Whether the node is down. It closes new connections at once.
    pub down: bool,
    /// Whether the node reads statements without answering them.
    pub silent: bool,
    /// Class whose statements the node answers with errors. An empty text stands for all classes, and `None` for no class.
    pub errors: Option<String>,
    /// Additional time for each answer.
    pub slow: Duration,
}

/// A statement that a node received and did not answer in time and without error.
#[derive(Clone, Debug)]
pub struct Unserved {
    /// Time at which it arrived.
    pub at: Instant,
    /// Id of the statement.
    pub id: String,
}

#[derive(Default)]
struct State {
    faults: InjectedFaults,
    primary: bool,
    connections: Vec<TcpStream>,
    /// Number of times that each write ran, by id.
    write_counts: HashMap<String, u32>,
    statements: u64,
    /// Number of load reports that routers requested.
    probes: u64,
    /// Time after which a draining node must not get statements, and the number of statements that it got after it.
    drain_deadline: Option<Instant>,
    statements_after_drain: u64,
    /// Statements that were received and not answered in time and without error.
    unserved: Vec<Unserved>,
}

/// A running db node.
pub struct CountingNode {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CountingNode {
    /// Starts a node as primary or as replica.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(primary: bool) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let state = Arc::new(Mutex::new(State {
            primary,
            ..State::default()
        }));
        let node = CountingNode {
            address: listener.local_addr()?,
            state: state.clone(),
        };
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                // This thread is the last owner, because the node was dropped.
                if Arc::strong_count(&state) == 1 {
                    return;
                }
                let mut locked = lock(&state);
                if locked.faults.down {
                    continue;
                }
                locked.connections.extend(connection.try_clone().ok());
                drop(locked);
                let state = state.clone();
                std::thread::spawn(move || drop(serve_connection(connection, &state)));
            }
        });
        Ok(node)
    }

    /// Returns the address on which the node listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults of the node. A node that goes down loses its connections and the statements on them.
    pub fn set_faults(&self, faults: InjectedFaults) {
        let mut state = lock(&self.state);
        if faults.down {
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        state.faults = faults;
    }

    /// Sets the time from which statements count as late, because the list says that the node is draining.
    pub fn set_drain_deadline(&self, at: Option<Instant>) {
        lock(&self.state).drain_deadline = at;
    }

    /// Returns the number of statements after the drain deadline.
    pub fn statements_after_drain(&self) -> u64 {
        lock(&self.state).statements_after_drain
    }

    /// Number of times that each write ran, by id.
    pub fn write_counts(&self) -> HashMap<String, u32> {
        lock(&self.state).write_counts.clone()
    }

    /// Returns the number of statements.
    pub fn statements(&self) -> u64 {
        lock(&self.state).statements
    }

    /// Number of load reports that routers requested.
    pub fn probes(&self) -> u64 {
        lock(&self.state).probes
    }

    /// Returns the statements that were not answered in time and without error.
    pub fn unserved(&self) -> Vec<Unserved> {
        lock(&self.state).unserved.clone()
    }
}

impl Drop for CountingNode {
    fn drop(&mut self) {
        self.set_faults(InjectedFaults {
            down: true,
            ..InjectedFaults::default()
        });
        self.state = Arc::default();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(20));
    }
}

fn serve_connection(mut stream: TcpStream, state: &Mutex<State>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let role = |state: &State| if state.primary { "primary" } else { "standby" };
    let own_role = role(&lock(state));
    wire::welcome(&mut stream, own_role)?;
    loop {
        let Some(text) = wire::statement(&mut stream)? else {
            return Ok(());
        };
        let statement = text.as_str();
        let mut out = Vec::new();
        let faults = lock(state).faults.clone();
        if statement.is_empty() {
            wire::put(&mut out, b'I', b"");
        } else if statement == "SHOW pressure" {
            lock(state).probes += 1;
            let position = crate::now() as f64 / 1e6;
            let report = format!("x0={position:.6},x1={}", u8::from(own_role == "primary"));
            wire::put_row(&mut out, report.as_bytes());
        } else if let Some(id) = wire::label(statement, "id") {
            let class = wire::label(statement, "c").unwrap_or_default();
            let fails = faults
                .errors
                .as_ref()
                .is_some_and(|c| c.is_empty() || c == class);
            let now = Instant::now();
            let write = statement.contains("INSERT");
            let mut locked = lock(state);
            locked.statements += 1;
            locked.statements_after_drain +=
                u64::from(locked.drain_deadline.is_some_and(|at| now > at));
            if faults.silent || fails || !faults.slow.is_zero() {
                let id = id.to_string();
                locked.unserved.push(Unserved { at: now, id });
            }
            if write && own_role == "primary" && !fails {
                *locked.write_counts.entry(id.into()).or_default() += 1;
            }
            drop(locked);
            if faults.silent {
                continue;
            }
            std::thread::sleep(WORK_TIME + faults.slow);
            if fails {
                wire::put_error(&mut out, "XX000");
            } else if write && own_role != "primary" {
                wire::put_status(&mut out, "replication_role", own_role);
                wire::put_error(&mut out, "25006");
            } else {
                wire::put_status(&mut out, "replication_role", own_role);
                if write {
                    wire::put_status(
                        &mut out,
                        "log_position",
                        &crate::now().div_ceil(1_000).to_string(),
                    );
                }
                wire::put_row(&mut out, id.as_bytes());
            }
        } else {
            wire::put_row(&mut out, b"1");
        }
        wire::put_ready(&mut out);
        stream.write_all(&out)?;
    }
}
