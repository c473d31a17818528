//! The agent of discovery on the router's machine, with watches as the protocol page describes them.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine: String,
    pub group: u64,
    pub status: &'static str,
    pub since_ms: u64,
    pub replication: &'static str,
    /// The version at which it changed last.
    pub changed_at: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"{}","type":"{}","group":{},"status":"{}","weight":1.0,"since_ms":{},"replication":"{}"}}"#,
            self.name,
            self.address,
            self.zone,
            self.machine,
            self.group,
            self.status,
            self.since_ms,
            self.replication
        )
    }
}

struct State {
    index: u64,
    entries: Vec<Entry>,
}

#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Agent {
    pub fn start(entries: Vec<Entry>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let agent = Agent {
            address: listener.local_addr()?,
            state: Arc::new((Mutex::new(State { index: 41, entries }), Condvar::new())),
        };
        let served = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = served.clone();
                std::thread::spawn(move || {
                    let _ = agent.serve(stream);
                });
            }
        });
        Ok(agent)
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Entry>, u64)) {
        let mut state = self.state.0.lock().unwrap();
        state.index += 1;
        let index = state.index;
        change(&mut state.entries, index);
        self.state.1.notify_all();
    }

    /// Returns the complete list, as it stands in a router's configuration.
    pub fn snapshot(&self) -> String {
        let state = self.state.0.lock().unwrap();
        listing(
            state.index,
            true,
            state.entries.iter().filter(|e| e.status != "left"),
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first)? == 0 {
                return Ok(());
            }
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                if line.trim().is_empty() {
                    break;
                }
            }
            let path = first.split(' ').nth(1).unwrap_or("").to_string();
            let body = self.answer(&path);
            out.write_all(
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
                .as_bytes(),
            )?;
        }
    }

    fn answer(&self, path: &str) -> String {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
                .and_then(|v| v.parse::<u64>().ok())
        };
        let Some(after) = number("after") else {
            return self.snapshot();
        };
        let until =
            Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
        let mut state = self.state.0.lock().unwrap();
        while state.index <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
        listing(
            state.index,
            false,
            state.entries.iter().filter(|e| e.changed_at > after),
        )
    }
}

fn listing<'a>(index: u64, snapshot: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!(
        r#"{{"index":{index},"snapshot":{snapshot},"endpoints":[{}]}}"#,
        entries.join(",")
    )
}
