//! A db node whose conduct is changed while it serves, and that counts what came to it: for trials of many routers.

use crate::wire;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a request takes where nothing is wrong.
const WORK: Duration = Duration::from_millis(2);

/// How a node behaves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conduct {
    /// Its process is down: whoever connects is turned away at once.
    pub down: bool,
    /// It takes statements in and never answers.
    pub silent: bool,
    /// It answers this class with errors; empty for all classes, none for none.
    pub errors: Option<String>,
    /// Each answer takes so much longer.
    pub slow: Duration,
}

/// A statement that came to a node and was not answered well.
#[derive(Clone, Debug)]
pub struct Unserved {
    /// When it came.
    pub at: Instant,
    /// Its id.
    pub id: String,
}

#[derive(Default)]
struct Inside {
    conduct: Conduct,
    primary: bool,
    connections: Vec<TcpStream>,
    /// How often each write ran, by its id.
    wrote: HashMap<String, u32>,
    statements: u64,
    /// Reports that it was asked for.
    probes: u64,
    /// Since when nothing new may come, and how much came all the same.
    closed: Option<Instant>,
    after: u64,
    /// Statements that came and were not answered well.
    unserved: Vec<Unserved>,
}

/// One db node.
pub struct CountingNode {
    address: SocketAddr,
    inside: Arc<Mutex<Inside>>,
}

fn lock(inside: &Mutex<Inside>) -> MutexGuard<'_, Inside> {
    inside.lock().unwrap_or_else(PoisonError::into_inner)
}

impl CountingNode {
    /// A node that serves, as primary or as replica.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(primary: bool) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let inside = Arc::new(Mutex::new(Inside {
            primary,
            ..Inside::default()
        }));
        let node = CountingNode {
            address: listener.local_addr()?,
            inside: inside.clone(),
        };
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                // The last owner but this thread is gone: so is the node.
                if Arc::strong_count(&inside) == 1 {
                    return;
                }
                let mut held = lock(&inside);
                if held.conduct.down {
                    continue;
                }
                held.connections.extend(connection.try_clone().ok());
                drop(held);
                let inside = inside.clone();
                std::thread::spawn(move || drop(talk(connection, &inside)));
            }
        });
        Ok(node)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// It behaves so from now on. One that goes down loses its connections and what ran on them.
    pub fn behave(&self, conduct: Conduct) {
        let mut inside = lock(&self.inside);
        if conduct.down {
            for connection in inside.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        inside.conduct = conduct;
    }

    /// Statements that come from then on come too late: the list said that it drains.
    pub fn close_at(&self, at: Option<Instant>) {
        lock(&self.inside).closed = at;
    }

    /// Statements that came after that.
    pub fn after_close(&self) -> u64 {
        lock(&self.inside).after
    }

    /// How often each write ran, by its id.
    pub fn wrote(&self) -> HashMap<String, u32> {
        lock(&self.inside).wrote.clone()
    }

    /// Statements that came.
    pub fn statements(&self) -> u64 {
        lock(&self.inside).statements
    }

    /// Reports that it was asked for.
    pub fn probes(&self) -> u64 {
        lock(&self.inside).probes
    }

    /// Statements that came and that it did not answer well.
    pub fn unserved(&self) -> Vec<Unserved> {
        lock(&self.inside).unserved.clone()
    }
}

impl Drop for CountingNode {
    fn drop(&mut self) {
        self.behave(Conduct {
            down: true,
            ..Conduct::default()
        });
        self.inside = Arc::default();
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(20));
    }
}

fn talk(mut stream: TcpStream, inside: &Mutex<Inside>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let role = |inside: &Inside| if inside.primary { "primary" } else { "standby" };
    let mine = role(&lock(inside));
    wire::welcome(&mut stream, mine)?;
    loop {
        let Some(text) = wire::statement(&mut stream)? else {
            return Ok(());
        };
        let statement = text.as_str();
        let mut out = Vec::new();
        let conduct = lock(inside).conduct.clone();
        if statement == "SHOW pressure" {
            lock(inside).probes += 1;
            let position = crate::now() as f64 / 1e6;
            let report = format!("x0={position:.6},x1={}", u8::from(mine == "primary"));
            wire::put_row(&mut out, report.as_bytes());
        } else if let Some(id) = wire::label(statement, "id") {
            let class = wire::label(statement, "c").unwrap_or_default();
            let bad = conduct
                .errors
                .as_ref()
                .is_some_and(|c| c.is_empty() || c == class);
            let now = Instant::now();
            let write = statement.contains("INSERT");
            let mut held = lock(inside);
            held.statements += 1;
            held.after += u64::from(held.closed.is_some_and(|at| now > at));
            if conduct.silent || bad || !conduct.slow.is_zero() {
                let id = id.to_string();
                held.unserved.push(Unserved { at: now, id });
            }
            if write && mine == "primary" && !bad {
                *held.wrote.entry(id.into()).or_default() += 1;
            }
            drop(held);
            if conduct.silent {
                continue;
            }
            std::thread::sleep(WORK + conduct.slow);
            if bad {
                wire::put_error(&mut out, "XX000");
            } else if write && mine != "primary" {
                wire::put_status(&mut out, "replication_role", mine);
                wire::put_error(&mut out, "25006");
            } else {
                wire::put_status(&mut out, "replication_role", mine);
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
