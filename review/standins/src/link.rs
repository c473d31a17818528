//! A link with a delay between a router and a node: a relay on loopback that passes bytes on later, in order.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Starts a link to this address. `delay` is the time one way. Returns the address of its near end.
pub fn start(to: SocketAddr, delay: Duration) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else {
                continue;
            };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else {
                continue;
            };
            pass_on(near, far, delay);
            pass_on(far2, near2, delay);
        }
    });
    Ok(address)
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        let mut chunk = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            let due = Instant::now() + delay;
            if sender.send((due, chunk[..read].to_vec())).is_err() || read == 0 {
                return;
            }
        }
    });
    std::thread::spawn(move || {
        for (due, bytes) in receiver {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
}
