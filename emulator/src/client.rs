//! Clients of routers. Their requests arrive at random times, independent of earlier answers as far as the number of
//! client threads allows. A client reuses its connection as long as the router keeps it open.

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
    /// The answer had the value of the request.
    Served,
    /// The router rejected the request without an attempt, so a retry is safe.
    Refused,
    /// The request failed, and may have run.
    Failed,
    /// No answer came within the timeout and a short grace time.
    Unanswered,
    /// The answer had the value of another request.
    Foreign,
}

/// A request and its outcome.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Time at which it was due, since the clients started.
    pub at: Duration,
    /// Time from then until the outcome.
    pub took: Duration,
    /// Index of its class in the specification.
    pub class: usize,
    /// Index of its zone in the specification.
    pub zone: usize,
    /// Outcome.
    pub outcome: RequestOutcome,
}

/// Clients that send requests until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    samples: Arc<Mutex<Vec<Sample>>>,
}

/// Number of client threads for each router. Each has one request in flight at a time.
const THREADS_PER_ROUTER: usize = 24;
/// Additional time to wait for an answer after the timeout.
const TIMEOUT_GRACE: Duration = Duration::from_millis(500);

impl Clients {
    /// Starts clients that send the load of the specification to these routers. `routers` has the index of the zone and the
    /// address of each.
    pub fn start(spec: &Spec, routers: &[(usize, SocketAddr)], seed: u64) -> Self {
        let (stop, samples) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(Mutex::new(Vec::new())),
        );
        let rate = spec.request_rate() / routers.len() as f64 / THREADS_PER_ROUTER as f64;
        let started = Instant::now();
        let mut threads = Vec::new();
        for (n, (zone, address)) in routers.iter().enumerate() {
            for thread in 0..THREADS_PER_ROUTER {
                let (stop, samples, spec) = (stop.clone(), samples.clone(), spec.clone());
                let (zone, address) = (*zone, *address);
                let name = (n * THREADS_PER_ROUTER + thread) as u64;
                let client = move || {
                    let dice = plovercove_simulation::SimRng::seed_from_u64(seed ^ (name << 32));
                    let mut client = ClientThread {
                        spec,
                        zone,
                        connection: RequestClient::new(address),
                        name,
                        dice,
                        sent: 0,
                    };
                    let requests = client.run(rate, started, &stop);
                    samples
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(requests);
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

    /// Stops the clients. Returns all requests in the order in which they were due.
    pub fn stop(self) -> Vec<Sample> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            // A client that panicked would be missing in the counts, so the panic is passed on.
            thread.join().expect("a client panicked");
        }
        let mut samples =
            std::mem::take(&mut *self.samples.lock().unwrap_or_else(PoisonError::into_inner));
        samples.sort_by_key(|s| s.at);
        samples
    }
}

/// A client of one router. It sends one request at a time, and reuses its connection where possible.
pub struct RequestClient {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl RequestClient {
    /// Creates a client of this router. It connects with its first request.
    pub fn new(address: SocketAddr) -> Self {
        RequestClient {
            address,
            stream: None,
        }
    }

    /// Sends a statement and waits for the final answer. The value of the answer has to end with the id.
    pub fn ask(&mut self, statement: &str, id: &str, timeout: Duration) -> RequestOutcome {
        self.exchange(
            &format!("{statement}\0"),
            id.as_bytes(),
            timeout + TIMEOUT_GRACE,
        )
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
        timeout: Duration,
    ) -> io::Result<RequestOutcome> {
        // The router may have closed the connection since the last request. In this case a new one is opened.
        let needs_connection = self.stream.as_ref().is_none_or(|s| {
            s.set_nonblocking(true).is_err()
                || !matches!(s.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
                || s.set_nonblocking(false).is_err()
        });
        if needs_connection {
            let mut stream = TcpStream::connect_timeout(&self.address, timeout)?;
            stream.set_nodelay(true)?;
            wire::greet(&mut stream)?;
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().ok_or(ErrorKind::NotConnected)?;
        stream.set_read_timeout(Some(timeout))?;
        if needs_connection {
            while wire::message(stream)?.0 != b'Z' {}
        }
        let mut out = Vec::new();
        wire::put(&mut out, b'Q', statement.as_bytes());
        stream.write_all(&out)?;
        let mut outcome = RequestOutcome::Failed;
        loop {
            let (kind, body) = wire::message(stream)?;
            match kind {
                b'D' => {
                    outcome = if body.ends_with(id) {
                        RequestOutcome::Served
                    } else {
                        RequestOutcome::Foreign
                    }
                }
                b'E' => {
                    let text = String::from_utf8_lossy(&body);
                    let is_rejected = text.contains("C53300\0") || text.contains("C57P03\0");
                    outcome = if is_rejected {
                        RequestOutcome::Refused
                    } else {
                        RequestOutcome::Failed
                    };
                }
                b'Z' => return Ok(outcome),
                _ => {}
            }
        }
    }
}

struct ClientThread {
    spec: Spec,
    zone: usize,
    connection: RequestClient,
    name: u64,
    dice: plovercove_simulation::SimRng,
    sent: u64,
}

impl ClientThread {
    fn run(&mut self, rate: f64, started: Instant, stop: &AtomicBool) -> Vec<Sample> {
        let mut samples = Vec::new();
        let mut due = Duration::ZERO;
        loop {
            let gap = Exp::new(rate).map_or(1.0, |d| d.sample(&mut self.dice));
            due += Duration::from_secs_f64(gap);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            if stop.load(Ordering::Relaxed) {
                return samples;
            }
            // A client that is late counts from when it sends the request: its own delay is no delay of the router.
            due = due.max(started.elapsed());
            let class = self.draw_class();
            let outcome = self.send_request(class);
            let took = started.elapsed().saturating_sub(due);
            samples.push(Sample {
                at: due,
                took,
                class,
                zone: self.zone,
                outcome,
            });
        }
    }

    fn draw_class(&mut self) -> usize {
        let all: f64 = self.spec.classes.iter().map(|c| c.share).sum();
        let mut draw = self.dice.random::<f64>() * all;
        let found = self.spec.classes.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        found.unwrap_or(0)
    }

    fn send_request(&mut self, class: usize) -> RequestOutcome {
        self.sent += 1;
        let id = format!("{:x}{:08x}", self.name + 16, self.sent);
        let group = self.dice.random_range(0..self.spec.group_count()) + 1;
        let class = &self.spec.classes[class];
        let (name, d, t) = (
            &class.name,
            class.deadline_ms,
            &self.spec.zones[self.zone].name,
        );
        let what = if class.reads == Reads::Write {
            "INSERT"
        } else {
            "SELECT"
        };
        let statement = format!(
            "/* id={id},c={name},t={t},d={d},cluster={group} */ {what} 'k{}'",
            self.name
        );
        self.connection
            .ask(&statement, &id, Duration::from_millis(d))
    }
}
