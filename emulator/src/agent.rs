//! The agent of the node list: HTTP on loopback, the whole list or a watch for a newer one.

use crate::wire;
use plovercove::Time;
use serde_json::{Value, json};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// One that keeps silent looks so often whether it still is to.
const LOOKS: Duration = Duration::from_millis(50);
/// A watch lasts no longer.
const LONGEST: Duration = Duration::from_secs(60);

/// One node of the list.
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its group, as the list counts them.
    pub group: u64,
    /// Whether it is the primary.
    pub head: bool,
    /// Since when it runs, if it is not for long.
    pub started: Option<Time>,
    /// Whether it drains.
    pub draining: bool,
}

#[derive(Default)]
struct Told {
    version: u64,
    entries: Vec<Value>,
    hushed: bool,
}

struct Board {
    told: Mutex<Told>,
    news: Condvar,
}

/// The agent.
pub struct Agent {
    address: SocketAddr,
    board: Arc<Board>,
}

impl Agent {
    /// An agent that knows no node yet.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let board = Arc::new(Board {
            told: Mutex::default(),
            news: Condvar::new(),
        });
        let shared = board.clone();
        std::thread::spawn(move || {
            while let Ok((connection, _)) = listener.accept() {
                let board = shared.clone();
                std::thread::spawn(move || drop(serve(connection, &board)));
            }
        });
        Ok(Agent { address, board })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on it takes calls and does not answer, or answers again.
    pub fn set_silent(&self, on: bool) {
        self.board
            .told
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .hushed = on;
        self.board.news.notify_all();
    }

    /// From now on this is the list.
    pub fn set_list(&self, nodes: impl Iterator<Item = Entry>) {
        let entry = |e: Entry| {
            json!({
                "name": e.name, "address": e.address.to_string(), "zone": e.zone, "type": "std", "group": e.group,
                "status": if e.draining { "leaving" } else { "active" }, "weight": 1.0, "since_ms": e.started.unwrap_or(0) / 1_000,
                "replication": if e.head { "primary" } else { "standby" },
            })
        };
        let mut told = self
            .board
            .told
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        told.version += 1;
        told.entries = nodes.map(entry).collect();
        drop(told);
        self.board.news.notify_all();
    }
}

/// A number in the query of a request's first line.
fn number(line: &str, name: &str) -> Option<u64> {
    let query = line.split_whitespace().nth(1)?.split_once('?')?.1;
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve(connection: TcpStream, board: &Board) -> io::Result<()> {
    let mut reader = BufReader::new(connection.try_clone()?);
    let mut writer = connection;
    loop {
        let Some(first) = wire::request(&mut reader)? else {
            return Ok(());
        };
        let after = number(&first, "after").unwrap_or(0);
        let wait = Duration::from_millis(number(&first, "wait_ms").unwrap_or(0)).min(LONGEST);
        let until = Instant::now() + wait;
        let mut told = board.told.lock().unwrap_or_else(PoisonError::into_inner);
        while told.hushed || (told.version <= after && Instant::now() < until) {
            let left = until.saturating_duration_since(Instant::now()).max(LOOKS);
            told = board
                .news
                .wait_timeout(told, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
        let news = told.version > after;
        let entries = if news {
            told.entries.clone()
        } else {
            Vec::new()
        };
        let body =
            json!({ "index": told.version, "snapshot": news, "endpoints": entries }).to_string();
        drop(told);
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
    }
}

#[cfg(test)]
mod tests;
