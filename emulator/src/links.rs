//! Links between routers, for datagrams: what one sends to another passes through here, and what the weather between the
//! two does to it. One link for each directed pair; the sender is known by the address it sends from.

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

/// A thread that waits looks so often whether all is over.
const LOOKS: Duration = Duration::from_millis(50);
/// No datagram is longer.
const LONGEST: usize = 2_048;

/// What a link does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weather {
    /// Nothing passes.
    pub cut: bool,
    /// The share that is lost.
    pub loss: f64,
    /// How long everything takes (ms).
    pub delay_ms: f64,
    /// How much longer some take, at the most (ms); they overtake each other.
    pub jitter_ms: f64,
    /// The share that comes twice.
    pub duplicate: f64,
    /// The share of which a bit is changed.
    pub flip: f64,
}

impl Weather {
    /// Both at once.
    pub fn and(self, other: Weather) -> Weather {
        Weather {
            cut: self.cut || other.cut,
            loss: 1.0 - (1.0 - self.loss) * (1.0 - other.loss),
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            duplicate: self.duplicate.max(other.duplicate),
            flip: self.flip.max(other.flip),
        }
    }
}

/// What passed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Passed {
    /// Datagrams and bytes that each router sent, by second since the links began.
    pub sent: Vec<Vec<(u64, u64)>>,
    /// Datagrams of no router.
    pub strangers: u64,
    /// The longest datagram.
    pub longest: usize,
}

struct Table {
    /// Where each router takes datagrams now.
    real: Vec<Option<SocketAddr>>,
    weather: HashMap<(usize, usize), Weather>,
    passed: Passed,
    dice: plovercove_simulation::SimRng,
}

type Due = (Instant, u64, usize, SocketAddr, Vec<u8>);

struct Inside {
    begun: Instant,
    over: AtomicBool,
    sockets: Vec<UdpSocket>,
    table: Mutex<Table>,
    queue: Mutex<(BinaryHeap<Reverse<Due>>, u64)>,
    news: Condvar,
}

/// The links of a fleet of routers.
pub struct Links {
    inside: Arc<Inside>,
    threads: Vec<JoinHandle<()>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Links {
    /// Links between so many routers.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(routers: usize, seed: u64) -> io::Result<Self> {
        let open = || {
            let socket = UdpSocket::bind(("127.0.0.1", 0))?;
            socket.set_read_timeout(Some(LOOKS))?;
            Ok(socket)
        };
        let sockets = (0..routers)
            .map(|_| open())
            .collect::<io::Result<Vec<_>>>()?;
        let inside = Arc::new(Inside {
            begun: Instant::now(),
            over: AtomicBool::new(false),
            sockets,
            table: Mutex::new(Table {
                real: vec![None; routers],
                weather: HashMap::new(),
                passed: Passed {
                    sent: vec![Vec::new(); routers],
                    ..Passed::default()
                },
                dice: plovercove_simulation::SimRng::seed_from_u64(seed),
            }),
            queue: Mutex::default(),
            news: Condvar::new(),
        });
        let mut threads = Vec::new();
        for n in 0..routers {
            let inside = inside.clone();
            threads.push(std::thread::spawn(move || inside.receive(n)));
        }
        let sender = inside.clone();
        threads.push(std::thread::spawn(move || sender.send()));
        Ok(Links { inside, threads })
    }

    /// The address at which the others reach a router.
    ///
    /// # Errors
    /// The socket has none.
    pub fn address(&self, router: usize) -> io::Result<SocketAddr> {
        self.inside.sockets[router].local_addr()
    }

    /// The router takes its datagrams there now.
    pub fn locate(&self, router: usize, at: SocketAddr) {
        lock(&self.inside.table).real[router] = Some(at);
    }

    /// The weather from one router to another is this from now on.
    pub fn set(&self, from: usize, to: usize, weather: Weather) {
        lock(&self.inside.table).weather.insert((from, to), weather);
    }

    /// What passed so far.
    pub fn passed(&self) -> Passed {
        lock(&self.inside.table).passed.clone()
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.inside.over.store(true, Ordering::Relaxed);
        self.inside.news.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Inside {
    fn over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    fn receive(&self, to: usize) {
        let mut bytes = [0; LONGEST];
        while !self.over() {
            if let Ok((length, from)) = self.sockets[to].recv_from(&mut bytes) {
                self.pass(from, to, &bytes[..length]);
            }
        }
    }

    fn pass(&self, from: SocketAddr, to: usize, bytes: &[u8]) {
        let mut table = lock(&self.table);
        let Some(real) = table.real[to] else { return };
        let sender = table.real.iter().position(|at| *at == Some(from));
        let weather = sender
            .and_then(|n| table.weather.get(&(n, to)).copied())
            .unwrap_or_default();
        let second = self.begun.elapsed().as_secs() as usize;
        table.passed.longest = table.passed.longest.max(bytes.len());
        match sender {
            Some(n) => {
                let sent = &mut table.passed.sent[n];
                if sent.len() <= second {
                    sent.resize(second + 1, (0, 0));
                }
                sent[second].0 += 1;
                sent[second].1 += bytes.len() as u64;
            }
            None => table.passed.strangers += 1,
        }
        let dice = &mut table.dice;
        if weather.cut || dice.random::<f64>() < weather.loss {
            return;
        }
        let copies = 1 + u32::from(dice.random::<f64>() < weather.duplicate);
        let mut due = Vec::new();
        for _ in 0..copies {
            let mut bytes = bytes.to_vec();
            if dice.random::<f64>() < weather.flip && !bytes.is_empty() {
                let at = dice.random_range(0..bytes.len());
                bytes[at] ^= 1 << dice.random_range(0..8);
            }
            let wait = weather.delay_ms + weather.jitter_ms * dice.random::<f64>();
            due.push((Instant::now() + Duration::from_secs_f64(wait / 1e3), bytes));
        }
        drop(table);
        let mut queue = lock(&self.queue);
        for (at, bytes) in due {
            queue.1 += 1;
            let order = queue.1;
            queue.0.push(Reverse((at, order, to, real, bytes)));
        }
        drop(queue);
        self.news.notify_one();
    }

    fn send(&self) {
        let mut queue = lock(&self.queue);
        while !self.over() {
            let now = Instant::now();
            let wait = queue
                .0
                .peek()
                .map_or(LOOKS, |Reverse(due)| due.0.saturating_duration_since(now));
            if wait.is_zero() {
                if let Some(Reverse((_, _, to, real, bytes))) = queue.0.pop() {
                    // Whoever is not there any more gets nothing.
                    let _ = self.sockets[to].send_to(&bytes, real);
                }
                continue;
            }
            queue = self
                .news
                .wait_timeout(queue, wait.min(LOOKS))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

#[cfg(test)]
mod tests;
