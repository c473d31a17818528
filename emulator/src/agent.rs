//! A discovery agent that serves the node list over HTTP on loopback. It answers with the complete list, or waits until
//! the list is newer than the version that the client has.

use crate::wire;
use plovercove::Time;
use serde_json::{Value, json};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which a silent agent checks whether it may answer again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum duration of a watch.
const MAX_WATCH_TIME: Duration = Duration::from_secs(60);

/// An entry of the node list.
pub struct Entry {
    /// Name of the node.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Number of its group in the list.
    pub group: u64,
    /// Whether the node is the primary of its group.
    pub head: bool,
    /// Time at which the node started, if it started recently.
    pub started: Option<Time>,
    /// Whether the node is draining.
    pub draining: bool,
}

#[derive(Default)]
struct ListState {
    version: u64,
    entries: Vec<Value>,
    is_silent: bool,
}

struct SharedList {
    state: Mutex<ListState>,
    changed: Condvar,
}

/// A running agent.
pub struct Agent {
    address: SocketAddr,
    list: Arc<SharedList>,
}

impl Agent {
    /// Starts an agent with an empty list.
    ///
    /// # Errors
    /// No port is available.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let list = Arc::new(SharedList {
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = list.clone();
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let list = shared.clone();
                std::thread::spawn(move || drop(serve(connection, &list)));
            }
        });
        Ok(Agent { address, list })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the agent silent or lets it answer again. A silent agent reads requests without answering them.
    pub fn set_silent(&self, on: bool) {
        self.list
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_silent = on;
        self.list.changed.notify_all();
    }

    /// Replaces the list.
    pub fn set_list(&self, nodes: impl Iterator<Item = Entry>) {
        let entry = |e: Entry| {
            json!({
                "name": e.name, "address": e.address.to_string(), "zone": e.zone, "type": "std", "group": e.group,
                "status": if e.draining { "leaving" } else { "active" }, "weight": 1.0, "since_ms": e.started.unwrap_or(0) / 1_000,
                "replication": if e.head { "primary" } else { "standby" },
            })
        };
        let mut state = self
            .list
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.version += 1;
        state.entries = nodes.map(entry).collect();
        drop(state);
        self.list.changed.notify_all();
    }
}

/// Returns a number from the query of the first line of a request.
fn query_number(line: &str, name: &str) -> Option<u64> {
    let query = line.split_whitespace().nth(1)?.split_once('?')?.1;
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve(connection: TcpStream, list: &SharedList) -> io::Result<()> {
    let mut reader = BufReader::new(connection.try_clone()?);
    let mut writer = connection;
    loop {
        let Some(first) = wire::request(&mut reader)? else {
            return Ok(());
        };
        let after = query_number(&first, "after").unwrap_or(0);
        let wait =
            Duration::from_millis(query_number(&first, "wait_ms").unwrap_or(0)).min(MAX_WATCH_TIME);
        let until = Instant::now() + wait;
        let mut state = list.state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.is_silent || (state.version <= after && Instant::now() < until) {
            let left = until
                .saturating_duration_since(Instant::now())
                .max(POLL_INTERVAL);
            state = list
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        let is_newer = state.version > after;
        let entries = if is_newer {
            state.entries.clone()
        } else {
            Vec::new()
        };
        let body = json!({ "index": state.version, "snapshot": is_newer, "endpoints": entries })
            .to_string();
        drop(state);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

#[cfg(test)]
mod tests;
