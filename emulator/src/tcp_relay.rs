//! Wires: connections from a router to a db node or an agent that pass through here, and can be cut in either direction or
//! slowed, with nothing told to either side.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// A thread that waits looks so often whether something has changed.
const LOOKS: Duration = Duration::from_millis(20);
const CHUNK: usize = 16 * 1024;

#[derive(Default)]
struct State {
    /// Nothing goes out, nothing comes home.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    over: AtomicBool,
    connections: AtomicU64,
}

/// One wire.
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<State>,
}

impl TcpRelay {
    /// A wire to this address.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let wire = TcpRelay {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = wire.state.clone();
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                if state.over.load(Ordering::Relaxed) {
                    return;
                }
                state.connections.fetch_add(1, Ordering::Relaxed);
                let state = state.clone();
                std::thread::spawn(move || drop(join(near, to, &state)));
            }
        });
        Ok(wire)
    }

    /// Where a router connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What the router sends is held up, what comes back is, or both, until this is said again.
    pub fn cut(&self, out: bool, home: bool) {
        self.state.cut[0].store(out, Ordering::Relaxed);
        self.state.cut[1].store(home, Ordering::Relaxed);
    }

    /// All takes so much longer.
    pub fn delay(&self, span: Duration) {
        self.state
            .delay_ms
            .store(span.as_millis() as u64, Ordering::Relaxed);
    }

    /// Connections that were made through it.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.state.over.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts, so that it ends.
        let _ = TcpStream::connect_timeout(&self.address, LOOKS);
    }
}

fn join(near: TcpStream, to: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (back, forth, shared) = (far.try_clone()?, near.try_clone()?, state.clone());
    std::thread::spawn(move || pump(back, forth, &shared, 1));
    pump(near, far, state, 0);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, way: usize) {
    let mut chunk = [0; CHUNK];
    let _ = from.set_read_timeout(Some(LOOKS));
    let held = || state.cut[way].load(Ordering::Relaxed) && !state.over.load(Ordering::Relaxed);
    while !state.over.load(Ordering::Relaxed) {
        let read = match from.read(&mut chunk) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) | Ok(0) => 0,
            Ok(n) => n,
        };
        // What is cut off is not told that the other side has gone, either.
        while held() {
            std::thread::sleep(LOOKS);
        }
        let delay = state.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            std::thread::sleep(Duration::from_millis(delay));
        }
        if read == 0 || to.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
