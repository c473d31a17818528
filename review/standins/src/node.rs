//! A db node: it serves one statement at a time on each connection, as the protocol page describes.

use crate::common::{Random, Record, sleep_ms, unix_ms};
use crate::wire;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A statement that a node has received whole.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at_ms: f64,
    pub node: String,
    pub id: String,
    pub class: String,
    pub patience_ms: u64,
}

/// Everything that the nodes of a case share.
#[derive(Clone)]
pub struct Shared {
    pub record: Record,
    pub begun: Arc<Mutex<Vec<Begun>>>,
}

impl Shared {
    pub fn new(record: &Record) -> Self {
        Shared {
            record: record.clone(),
            begun: Arc::default(),
        }
    }
}

/// The disruption of second copies: one in `one_in` answers is followed by a copy of itself, a gap later, if no other
/// request waits on the connection then.
#[derive(Clone, Copy, Debug)]
pub struct Copies {
    pub one_in: u64,
    pub gaps_us: [u64; 4],
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub is_primary: AtomicBool,
    /// Time that a statement takes (ms).
    pub work_ms: AtomicU64,
    pub copies: Option<Copies>,
    answers: AtomicU64,
    pub copied: AtomicU64,
    in_work: AtomicU64,
    shared: Shared,
}

/// The value that the node makes for a request. It names the request, so that a client knows whose value it got.
pub fn value_for(id: &str) -> Vec<u8> {
    format!("value made for {id}").into_bytes()
}

impl Node {
    pub fn start(
        name: &str,
        is_primary: bool,
        work_ms: u64,
        copies: Option<Copies>,
        shared: &Shared,
    ) -> io::Result<Arc<Node>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let node = Arc::new(Node {
            name: name.into(),
            address: listener.local_addr()?,
            is_primary: AtomicBool::new(is_primary),
            work_ms: AtomicU64::new(work_ms),
            copies,
            answers: AtomicU64::new(0),
            copied: AtomicU64::new(0),
            in_work: AtomicU64::new(0),
            shared: shared.clone(),
        });
        let served = node.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = served.clone();
                std::thread::spawn(move || {
                    let _ = node.serve(stream);
                });
            }
        });
        Ok(node)
    }

    fn role(&self) -> &'static str {
        if self.is_primary.load(SeqCst) {
            "primary"
        } else {
            "standby"
        }
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        wire::read_startup(&mut stream)?;
        let mut out = Vec::new();
        wire::put(&mut out, b'R', &[0; 4]);
        wire::put_status(&mut out, "replication_role", self.role());
        wire::put_ready(&mut out);
        stream.write_all(&out)?;
        loop {
            let (kind, body) = wire::read_message(&mut stream)?;
            match kind {
                b'Q' => {}
                b'X' => return Ok(()),
                _ => return Err(io::Error::other("not a simple query")),
            }
            let text =
                String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            let answer = self.answer(&text);
            stream.write_all(&answer)?;
            if text.trim_start().starts_with("/*") {
                self.maybe_copy(&mut stream, &answer, &text)?;
            }
        }
    }

    fn answer(&self, text: &str) -> Vec<u8> {
        let mut out = Vec::new();
        if text == "SHOW pressure" {
            let x0 = unix_ms() as f64 / 1e3;
            let x1 = u8::from(self.is_primary.load(SeqCst));
            let held = self.in_work.load(SeqCst);
            let report = format!(
                "x0={x0:.3},x1={x1},outstanding={held},utilization={:.2}",
                (held as f64 / 5.0).min(1.0)
            );
            wire::put_row(&mut out, report.as_bytes(), "SELECT 1");
            wire::put_ready(&mut out);
            return out;
        }
        let label = |name| wire::label(text, name).unwrap_or("").to_string();
        let (id, class) = (label("id"), label("c"));
        if id.is_empty() {
            wire::put_error(&mut out, "08P01");
            wire::put_ready(&mut out);
            return out;
        }
        let begun = Begun {
            at_ms: self.shared.record.now(),
            node: self.name.clone(),
            id: id.clone(),
            class: class.clone(),
            patience_ms: label("d").parse().unwrap_or(0),
        };
        self.shared.record.line(format!(
            "{}: begins {id} ({class}), told {} ms",
            self.name, begun.patience_ms
        ));
        let is_write = text.contains("INSERT");
        if is_write && !self.is_primary.load(SeqCst) {
            wire::put_error(&mut out, "25006");
        } else {
            self.shared.begun.lock().unwrap().push(begun);
            self.in_work.fetch_add(1, SeqCst);
            // A report is ten times the work of anything else.
            let factor = if class == "month-report" { 10 } else { 1 };
            // The work of requests differs: half to one and a half times the mean, drawn from the id.
            let draw = Random(
                id.bytes()
                    .fold(7u64, |a, b| a.wrapping_mul(31).wrapping_add(b.into())),
            )
            .below(1_000);
            sleep_ms(factor * self.work_ms.load(SeqCst) * (500 + draw) / 1_000);
            self.in_work.fetch_sub(1, SeqCst);
            let tag = if is_write { "INSERT 0 1" } else { "SELECT 1" };
            wire::put_row(&mut out, &value_for(&id), tag);
            self.shared
                .record
                .line(format!("{}: has run {id}", self.name));
        }
        wire::put_status(&mut out, "replication_role", self.role());
        if is_write && self.is_primary.load(SeqCst) {
            wire::put_status(&mut out, "log_position", &(unix_ms() + 1).to_string());
        }
        wire::put_ready(&mut out);
        out
    }

    /// Sends a second copy of an answer right after it, if nothing else waits on the connection.
    fn maybe_copy(&self, stream: &mut TcpStream, answer: &[u8], text: &str) -> io::Result<()> {
        let Some(copies) = self.copies else {
            return Ok(());
        };
        let number = self.answers.fetch_add(1, SeqCst);
        if !number.is_multiple_of(copies.one_in) {
            return Ok(());
        }
        let gap = copies.gaps_us[(number / copies.one_in) as usize % copies.gaps_us.len()];
        std::thread::sleep(Duration::from_micros(gap));
        stream.set_nonblocking(true)?;
        let waits =
            !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        stream.set_nonblocking(false)?;
        if waits {
            return Ok(());
        }
        stream.write_all(answer)?;
        self.copied.fetch_add(1, SeqCst);
        let id = wire::label(text, "id").unwrap_or("");
        self.shared.record.line(format!(
            "{}: sends its answer to {id} a second time, nothing else waits on the connection",
            self.name
        ));
        Ok(())
    }
}
