//! Relays the TCP connections from a router to a db node or an agent. A relay can hold up the data in either direction or
//! delay it, without either side noticing that the connection is cut.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Interval at which waiting threads check for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of bytes that are relayed at once.
const CHUNK_BYTES: usize = 16 * 1024;

#[derive(Default)]
struct State {
    /// Whether the direction from the router is cut, and whether the direction to the router is cut.
    cut: [AtomicBool; 2],
    delay_ms: AtomicU64,
    is_stopped: AtomicBool,
    connections: AtomicU64,
}

/// A relay to one address.
pub struct TcpRelay {
    address: SocketAddr,
    state: Arc<State>,
}

impl TcpRelay {
    /// Starts a relay to this address.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let relay = TcpRelay {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = relay.state.clone();
        std::thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                if state.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                state.connections.fetch_add(1, Ordering::Relaxed);
                let state = state.clone();
                std::thread::spawn(move || drop(relay_connection(near, to, &state)));
            }
        });
        Ok(relay)
    }

    /// Returns the address to which a router connects.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts or restores each direction. `outbound` is the direction from the router, and `inbound` the one to the router. Data
    /// in a cut direction is held up until it is restored.
    pub fn cut(&self, outbound: bool, inbound: bool) {
        self.state.cut[0].store(outbound, Ordering::Relaxed);
        self.state.cut[1].store(inbound, Ordering::Relaxed);
    }

    /// Sets the delay of each chunk of data.
    pub fn delay(&self, delay: Duration) {
        self.state
            .delay_ms
            .store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Returns the number of connections through this relay.
    pub fn connections(&self) -> u64 {
        self.state.connections.load(Ordering::Relaxed)
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.state.is_stopped.store(true, Ordering::Relaxed);
        // One more connection wakes the accepting thread, so that it ends.
        let _ = TcpStream::connect_timeout(&self.address, POLL_INTERVAL);
    }
}

fn relay_connection(near: TcpStream, to: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (back, forth, shared) = (far.try_clone()?, near.try_clone()?, state.clone());
    std::thread::spawn(move || pump(back, forth, &shared, 1));
    pump(near, far, state, 0);
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, direction: usize) {
    let mut chunk = [0; CHUNK_BYTES];
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let is_cut = || {
        state.cut[direction].load(Ordering::Relaxed) && !state.is_stopped.load(Ordering::Relaxed)
    };
    while !state.is_stopped.load(Ordering::Relaxed) {
        let read = match from.read(&mut chunk) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) | Ok(0) => 0,
            Ok(n) => n,
        };
        // The end of a connection is held up too, because a cut network would not deliver it either.
        while is_cut() {
            std::thread::sleep(POLL_INTERVAL);
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
