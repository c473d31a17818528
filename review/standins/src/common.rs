//! What all cases share: the record, the temporary folder, router processes, free ports.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    unix_us() / 1_000
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Writes `record.txt`: a line an event, with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        Ok(Record {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// What a case is started with.
pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// A folder of this run, which `play.sh` makes and removes.
    pub scratch: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub record: Record,
}

impl Case {
    pub fn open(folder: &str) -> io::Result<Self> {
        let folder = fs::canonicalize(folder)?;
        let root = folder.join("../..").canonicalize()?;
        let scratch = PathBuf::from(
            std::env::var("SCRATCH").map_err(|_| io::Error::other("SCRATCH is not set"))?,
        );
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let record = Record::create(&folder)?;
        record.line(format!(
            "disruption: {}",
            if trouble { "on" } else { "off" }
        ));
        Ok(Case {
            root,
            scratch,
            trouble,
            record,
        })
    }

    /// Returns the command `run` of the deploy file.
    fn run_command(&self) -> io::Result<String> {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml"))?;
        deploy
            .lines()
            .find_map(|line| {
                line.strip_prefix("run = \"")?
                    .split('"')
                    .next()
                    .map(String::from)
            })
            .ok_or_else(|| io::Error::other("deploy/balancer.toml has no run"))
    }

    /// Starts a router and waits until it answers an empty query with EmptyQueryResponse.
    pub fn start_router(&self, name: &str, config: &str) -> io::Result<Router> {
        let listen = free_address()?;
        let path = self.scratch.join(format!("{name}.json"));
        fs::write(&path, config.replace("{listen}", &listen.to_string()))?;
        let log = File::create(self.scratch.join(format!("{name}.log")))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(self.run_command()?)
            .current_dir(&self.root)
            .env("PROXY_CONFIG", &path)
            .env(
                "PROXY_LOG",
                std::env::var("PROXY_LOG").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        // `play.sh` ends what is named here, should this program not get to it.
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.scratch.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        let router = Router { child, listen };
        for _ in 0..300 {
            if crate::client::is_ready(listen) {
                self.record.line(format!(
                    "router {name}: ready, process {}",
                    router.child.id()
                ));
                return Ok(router);
            }
            sleep_ms(20);
        }
        Err(io::Error::other(format!("router {name} is not ready")))
    }
}

/// A router process. It ends with this value.
pub struct Router {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Router {
    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback address at which nobody listens now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A connection that is made within a second.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// A small generator of random numbers (splitmix64), so that runs are alike.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }
}
