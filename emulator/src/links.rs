//! Relays the datagrams between routers, and can lose, delay, duplicate or corrupt them. There is one link for each directed
//! pair of routers. The sender is recognized by the address from which it sends.

use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which waiting threads check whether the links are being stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum length of a datagram.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// What a link does to the datagrams that pass through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Weather")]
pub struct LinkConditions {
    /// Whether all datagrams are lost.
    pub cut: bool,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Delay of each datagram (ms).
    pub delay_ms: f64,
    /// Maximum additional random delay (ms). Datagrams may overtake each other.
    pub jitter_ms: f64,
    /// Share of datagrams that are delivered twice.
    pub duplicate: f64,
    /// Share of datagrams in which a bit is flipped.
    pub flip: f64,
}

impl LinkConditions {
    /// Combines the conditions of two faults that are in force at the same time.
    pub fn and(self, other: LinkConditions) -> LinkConditions {
        LinkConditions {
            cut: self.cut || other.cut,
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            duplicate: self.duplicate.max(other.duplicate),
            flip: self.flip.max(other.flip),
        }
    }
}

/// Counters of the relayed datagrams.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Traffic {
    /// Datagrams and bytes that each router sent, by second since the links were started.
    pub sent: Vec<Vec<(u64, u64)>>,
    /// Number of datagrams from addresses that are not those of a router.
    pub strangers: u64,
    /// Length of the longest datagram.
    pub longest: usize,
}

struct Table {
    /// Address on which each router receives datagrams.
    addresses: Vec<Option<SocketAddr>>,
    conditions: HashMap<(usize, usize), LinkConditions>,
    traffic: Traffic,
    dice: plovercove_simulation::SimRng,
}

/// Time of delivery, sequence number, receiving router, its address and the bytes of a datagram.
type QueuedDatagram = (Instant, u64, usize, SocketAddr, Vec<u8>);

struct Shared {
    started: Instant,
    is_stopped: AtomicBool,
    sockets: Vec<UdpSocket>,
    table: Mutex<Table>,
    queue: Mutex<(BinaryHeap<Reverse<QueuedDatagram>>, u64)>,
    queued: Condvar,
}

/// The links between the routers of a fleet.
pub struct Links {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Starts the links between this number of routers.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(routers: usize, seed: u64) -> io::Result<Self> {
        let open = || {
            let socket = UdpSocket::bind(("127.0.0.1", 0))?;
            socket.set_read_timeout(Some(POLL_INTERVAL))?;
            Ok(socket)
        };
        let sockets = (0..routers)
            .map(|_| open())
            .collect::<io::Result<Vec<_>>>()?;
        let shared = Arc::new(Shared {
            started: Instant::now(),
            is_stopped: AtomicBool::new(false),
            sockets,
            table: Mutex::new(Table {
                addresses: vec![None; routers],
                conditions: HashMap::new(),
                traffic: Traffic {
                    sent: vec![Vec::new(); routers],
                    ..Traffic::default()
                },
                dice: plovercove_simulation::SimRng::seed_from_u64(seed),
            }),
            queue: Mutex::default(),
            queued: Condvar::new(),
        });
        let mut threads = Vec::new();
        for n in 0..routers {
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || shared.receive(n)));
        }
        let sender = shared.clone();
        threads.push(std::thread::spawn(move || sender.send()));
        Ok(Links { shared, threads })
    }

    /// Returns the address to which the other routers send datagrams for this router.
    ///
    /// # Errors
    /// The system cannot determine the address.
    pub fn address(&self, router: usize) -> io::Result<SocketAddr> {
        self.shared.sockets[router].local_addr()
    }

    /// Sets the address on which a router receives datagrams.
    pub fn set_router_address(&self, router: usize, address: SocketAddr) {
        lock(&self.shared.table).addresses[router] = Some(address);
    }

    /// Sets the conditions of the link from one router to another.
    pub fn set_conditions(&self, from: usize, to: usize, conditions: LinkConditions) {
        lock(&self.shared.table)
            .conditions
            .insert((from, to), conditions);
    }

    /// Returns the counters.
    pub fn traffic(&self) -> Traffic {
        lock(&self.shared.table).traffic.clone()
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        self.shared.queued.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed)
    }

    fn receive(&self, to: usize) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while !self.is_stopped() {
            if let Ok((length, from)) = self.sockets[to].recv_from(&mut bytes) {
                self.relay(from, to, &bytes[..length]);
            }
        }
    }

    fn relay(&self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let mut table = lock(&self.table);
        let Some(address) = table.addresses[to] else {
            return;
        };
        let sender = table.addresses.iter().position(|at| *at == Some(from));
        let conditions = sender
            .and_then(|n| table.conditions.get(&(n, to)).copied())
            .unwrap_or_default();
        let second = self.started.elapsed().as_secs() as usize;
        table.traffic.longest = table.traffic.longest.max(bytes.len());
        match sender {
            Some(n) => {
                let sent = &mut table.traffic.sent[n];
                if sent.len() <= second {
                    sent.resize(second + 1, (0, 0));
                }
                sent[second].0 += 1;
                sent[second].1 += bytes.len() as u64;
            }
            None => table.traffic.strangers += 1,
        }
        let dice = &mut table.dice;
        if conditions.cut || dice.random::<f64>() < conditions.loss {
            return;
        }
        let copies = 1 + u32::from(dice.random::<f64>() < conditions.duplicate);
        let mut due = Vec::new();
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if dice.random::<f64>() < conditions.flip && !bytes.is_empty() {
                let at = dice.random_range(0..bytes.len());
                bytes[at] ^= 1 << dice.random_range(0..8);
            }
            let wait = conditions.delay_ms + conditions.jitter_ms * dice.random::<f64>();
            due.push((Instant::now() + Duration::from_secs_f64(wait / 1e3), bytes));
        }
        drop(table);
        let mut queue = lock(&self.queue);
        for (at, bytes) in due {
            queue.1 += 1;
            let order = queue.1;
            queue.0.push(Reverse((at, order, to, address, bytes)));
        }
        drop(queue);
        self.queued.notify_one();
    }

    fn send(&self) {
        let mut queue = lock(&self.queue);
        while !self.is_stopped() {
            let now = Instant::now();
            let wait = queue.0.peek().map_or(POLL_INTERVAL, |Reverse(due)| {
                due.0.saturating_duration_since(now)
            });
            if wait.is_zero() {
                if let Some(Reverse((_, _, to, address, bytes))) = queue.0.pop() {
                    // A router that no longer runs does not receive the datagram.
                    let _ = self.sockets[to].send_to(&bytes, address);
                }
                continue;
            }
            queue = self
                .queued
                .wait_timeout(queue, wait.min(POLL_INTERVAL))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

#[cfg(test)]
mod tests;
