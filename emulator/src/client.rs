//! Clients: open arrivals for each router, each request on a connection of its own or one that is kept.

use crate::wire;
use plovercove_simulation::{Reads, Spec};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With its value.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// Not at all, by its patience and a little more.
    Unanswered,
    /// With a value that is another request's.
    Foreign,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was due, since the clients began.
    pub at: Duration,
    /// How long it took from then.
    pub took: Duration,
    /// Its class, by place in the spec.
    pub class: usize,
    /// Its zone, by place in the spec.
    pub zone: usize,
    /// How it ended.
    pub fate: RequestOutcome,
}

/// Clients that ask until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

/// Threads for each router; each asks one thing at a time.
const THREADS: usize = 24;
/// Beyond its patience a request is waited for so long.
const GRACE: Duration = Duration::from_millis(500);

impl Clients {
    /// Begins to ask these routers, each told with the place of its zone, the load of the spec.
    pub fn start(spec: &Spec, routers: &[(usize, SocketAddr)], seed: u64) -> Self {
        let (stop, samples) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let each = spec.rate() / routers.len() as f64 / THREADS as f64;
        let begun = Instant::now();
        let mut threads = Vec::new();
        for (n, (zone, address)) in routers.iter().enumerate() {
            for thread in 0..THREADS {
                let (stop, samples, spec) = (stop.clone(), samples.clone(), spec.clone());
                let (zone, address) = (*zone, *address);
                let name = (n * THREADS + thread) as u64;
                let client = move || {
                    let dice = plovercove_simulation::Dice::seed_from_u64(seed ^ (name << 32));
                    let mut client = Client {
                        spec,
                        zone,
                        caller: RequestClient::new(address),
                        name,
                        dice,
                        asked: 0,
                    };
                    let found = client.run(each, begun, &stop);
                    samples
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(found);
                };
                threads.push(std::thread::spawn(client));
            }
        }
        Clients {
            stop,
            threads,
            samples,
        }
    }

    /// Ends them, and tells what came of their requests in the order in which they were due.
    pub fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A client that panicked would leave a gap in the counts: let it be seen.
            thread.join().expect("a client panicked");
        }
        let mut samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        samples.sort_by_key(|s| s.at);
        samples
    }
}

/// One client's connection to a router: a request at a time, on a connection that is kept where it can be.
pub struct RequestClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl RequestClient {
    /// A client of this router, not yet connected.
    pub fn new(address: SocketAddr) -> Self {
        RequestClient {
            address,
            stream: None,
        }
    }

    /// Asks one thing and waits for its final answer; its value must end with the id.
    pub fn ask(&mut self, statement: &str, id: &str, patience: Duration) -> RequestOutcome {
        self.exchange(&format!("{statement}\0"), id.as_bytes(), patience + GRACE)
            .unwrap_or_else(|e| {
                self.stream = None;
                match e.kind() {
                    ErrorKind::WouldBlock | ErrorKind::TimedOut => RequestOutcome::Unanswered,
                    _ => RequestOutcome::Failed,
                }
            })
    }

    fn exchange(
        &mut self,
        statement: &str,
        id: &[u8],
        patience: Duration,
    ) -> io::Result<RequestOutcome> {
        // Between requests the router may have closed; then a new connection is opened.
        let fresh = self.stream.as_ref().is_none_or(|s| {
            s.set_nonblocking(true).is_err()
                || !matches!(s.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
                || s.set_nonblocking(false).is_err()
        });
        if fresh {
            let mut stream = TcpStream::connect_timeout(&self.address, patience)?;
            stream.set_nodelay(true)?;
            wire::greet(&mut stream)?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().ok_or(ErrorKind::NotConnected)?;
        stream.set_read_timeout(Some(patience))?;
        if fresh {
            while wire::message(stream)?.0 != b'Z' {}
        }
        let mut out = Vec::new();
        wire::put(&mut out, b'Q', statement.as_bytes());
        stream.write_all(&out)?;
        let mut fate = RequestOutcome::Failed;
        loop {
            let (kind, body) = wire::message(stream)?;
            match kind {
                b'D' => {
                    fate = if body.ends_with(id) {
                        RequestOutcome::Served
                    } else {
                        RequestOutcome::Foreign
                    }
                }
                b'E' => {
                    let text = String::from_utf8_lossy(&body);
                    let refused = text.contains("C53300\0") || text.contains("C57P03\0");
                    fate = if refused {
                        RequestOutcome::Refused
                    } else {
                        RequestOutcome::Failed
                    };
                }
                b'Z' => return Ok(fate),
                _ => {}
            }
        }
    }
}

struct Client {
    spec: Spec,
    zone: usize,
    caller: RequestClient,
    name: u64,
    dice: plovercove_simulation::Dice,
    asked: u64,
}

impl Client {
    fn run(&mut self, rate: f64, begun: Instant, stop: &AtomicBool) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut due = Duration::ZERO;
        loop {
            let gap = Exp::new(rate).map_or(1.0, |d| d.sample(&mut self.dice));
            due += Duration::from_secs_f64(gap);
            std::thread::sleep(due.saturating_sub(begun.elapsed()));
            if stop.load(Ordering::Relaxed) {
                return samples;
            }
            // One that is behind asks when it can: it is a client, not a clock.
            due = due.max(begun.elapsed());
            let class = self.class();
            let fate = self.ask(class);
            let took = begun.elapsed().saturating_sub(due);
            samples.push(Sample {
                at: due,
                took,
                class,
                zone: self.zone,
                fate,
            });
        }
    }

    fn class(&mut self) -> usize {
        let all: f64 = self.spec.classes.iter().map(|c| c.share).sum();
        let mut draw = self.dice.random::<f64>() * all;
        let found = self.spec.classes.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        found.unwrap_or(0)
    }

    fn ask(&mut self, class: usize) -> RequestOutcome {
        self.asked += 1;
        let id = format!("{:x}{:08x}", self.name + 16, self.asked);
        let group = self.dice.random_range(0..self.spec.groups()) + 1;
        let told = &self.spec.classes[class];
        let (name, d, t) = (
            &told.name,
            told.deadline_ms,
            &self.spec.zones[self.zone].name,
        );
        let what = if told.reads == Reads::Write {
            "INSERT"
        } else {
            "SELECT"
        };
        let statement = format!(
            "/* id={id},c={name},t={t},d={d},cluster={group} */ {what} 'k{}'",
            self.name
        );
        self.caller.ask(&statement, &id, Duration::from_millis(d))
    }
}
