//! A safe wrapper of the `polling` crate: sockets are registered for exactly as long as they live.
//!
//! Registering a socket is unsafe in `polling`, because the poller would keep using a descriptor that has been closed. Here
//! a registered socket owns the socket and a handle of the poller, and removes itself from the poller before it closes.

pub use polling::Events;
use polling::{AsSource, Event, PollMode, Poller};
use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::ops::Deref;
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

/// The ioctl request for the number of unsent bytes of a connection: `SIOCOUTQNSD` in Linux's `linux/sockios.h`.
const SIOCOUTQNSD: libc::Ioctl = 0x894B;

mod sealed {
    pub trait Sealed {}
}

/// A socket that keeps the same descriptor from its creation to its drop. The safety of `Registered` depends on this.
pub trait Socket: AsSource + AsRawFd + sealed::Sealed {}

macro_rules! sockets {
    ($($kind:ty),*) => { $(impl sealed::Sealed for $kind {} impl Socket for $kind {})* };
}
sockets!(TcpListener, TcpStream, UdpSocket, UnixStream);

/// The kinds of readiness that a socket waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Only errors.
    Nothing,
    /// Readable.
    Read,
    /// Writable.
    Write,
    /// Readable or writable.
    Both,
}

impl Interest {
    fn event(self, key: usize) -> Event {
        match self {
            Interest::Nothing => Event::none(key),
            Interest::Read => Event::readable(key),
            Interest::Write => Event::writable(key),
            Interest::Both => Event::all(key),
        }
    }
}

/// A handle of the poller that all sockets of the program are registered with.
#[derive(Clone)]
pub struct Poll(Arc<Poller>);

impl Poll {
    /// Creates a poller without sockets.
    pub fn new() -> io::Result<Self> {
        Ok(Poll(Arc::new(Poller::new()?)))
    }

    /// Waits for events until the timeout, if there is one.
    pub fn wait(&self, events: &mut Events, timeout: Option<Duration>) -> io::Result<()> {
        events.clear();
        self.0.wait(events, timeout).map(drop)
    }

    /// Registers a socket. Its events carry the key.
    pub fn register<S: Socket>(
        &self,
        socket: S,
        key: usize,
        interest: Interest,
    ) -> io::Result<Registered<S>> {
        // SAFETY: the socket is owned by the `Registered` value created below, which deletes it from the poller when it is
        // dropped, before its own fields are dropped. The socket is only accessible by shared reference, and `Socket` is
        // sealed to types that keep their descriptor, so the descriptor stays open as long as it is registered.
        unsafe {
            self.0
                .add_with_mode(&socket, interest.event(key), PollMode::Level)?
        };
        Ok(Registered {
            socket,
            key,
            interest,
            poller: Arc::clone(&self.0),
        })
    }
}

/// A registered socket. Dropping it removes it from the poller and closes it.
pub struct Registered<S: Socket> {
    socket: S,
    key: usize,
    interest: Interest,
    poller: Arc<Poller>,
}

impl<S: Socket> Registered<S> {
    /// Sets the interest. Makes no system call if it is unchanged.
    pub fn set_interest(&mut self, interest: Interest) -> io::Result<()> {
        if self.interest != interest {
            self.poller.modify_with_mode(
                &self.socket,
                interest.event(self.key),
                PollMode::Level,
            )?;
            self.interest = interest;
        }
        Ok(())
    }
}

impl Registered<TcpStream> {
    /// Returns the number of written bytes that the system has not sent yet, because the receiver has no room for them. The
    /// end of the stream counts as one byte.
    ///
    /// # Errors
    ///
    /// The system does not report the number.
    pub fn unsent_bytes(&self) -> io::Result<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open as long as `self` lives, and the request writes one integer, which outlives the call.
        let result = unsafe { libc::ioctl(self.socket.as_raw_fd(), SIOCOUTQNSD, &mut bytes) };
        if result < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(usize::try_from(bytes).unwrap_or(0))
    }
}

impl<S: Socket> Drop for Registered<S> {
    fn drop(&mut self) {
        // This can only fail if the poller does not have the socket any more, which is the intended state.
        let _ = self.poller.delete(&self.socket);
    }
}

impl<S: Socket> Deref for Registered<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.socket
    }
}
