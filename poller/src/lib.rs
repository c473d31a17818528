//! Sockets registered with the `polling` crate for exactly as long as they live.
//!
//! Registering a socket is unsafe in `polling`, since the poller would go on using a descriptor that has been closed.
//! Here a registered socket owns both, and takes itself off the poller before it closes: nothing else can go wrong.

pub use polling::Events;
use polling::{AsSource, Event, PollMode, Poller};
use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::ops::Deref;
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::time::Duration;

/// The request for the bytes of a connection that have not been sent, `SIOCOUTQNSD` of Linux' `linux/sockios.h`.
const SIOCOUTQNSD: libc::Ioctl = 0x894B;

mod sealed {
    pub trait Sealed {}
}

/// A socket that keeps one descriptor from its making to its drop: what `Registered` rests on.
pub trait Socket: AsSource + AsRawFd + sealed::Sealed {}

macro_rules! sockets {
    ($($kind:ty),*) => { $(impl sealed::Sealed for $kind {} impl Socket for $kind {})* };
}
sockets!(TcpListener, TcpStream, UdpSocket, UnixStream);

/// What a socket waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Nothing but errors.
    Nothing,
    /// Bytes to read.
    Read,
    /// Room to write.
    Write,
    /// Both.
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

/// The poller that all sockets of the program hang on.
#[derive(Clone)]
pub struct Poll(Arc<Poller>);

impl Poll {
    /// A poller without sockets.
    pub fn new() -> io::Result<Self> {
        Ok(Poll(Arc::new(Poller::new()?)))
    }

    /// Waits for events, for so long at the most.
    pub fn wait(&self, events: &mut Events, timeout: Option<Duration>) -> io::Result<()> {
        events.clear();
        self.0.wait(events, timeout).map(drop)
    }

    /// Takes a socket over. Its events carry the key.
    pub fn register<S: Socket>(
        &self,
        socket: S,
        key: usize,
        interest: Interest,
    ) -> io::Result<Registered<S>> {
        // SAFETY: the socket is owned by the value made next, which deletes it from the poller when it is dropped,
        // before its own fields are. Nothing hands the socket out but by shared reference, and `Socket` is sealed to
        // types that keep their descriptor, so the descriptor stays open for as long as it is registered.
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

/// A socket on the poller. Dropping it takes it off and closes it.
pub struct Registered<S: Socket> {
    socket: S,
    key: usize,
    interest: Interest,
    poller: Arc<Poller>,
}

impl<S: Socket> Registered<S> {
    /// Changes what it waits for; costs nothing where that is the same.
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
    /// Bytes that were written and that the system has not sent yet, since the other side has no room for them; the end of the
    /// stream counts as one.
    ///
    /// # Errors
    ///
    /// Where the system does not tell.
    pub fn unsent_bytes(&self) -> io::Result<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open for as long as `self` lives, and the request writes one integer, which outlives it.
        let result = unsafe { libc::ioctl(self.socket.as_raw_fd(), SIOCOUTQNSD, &mut bytes) };
        if result < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(usize::try_from(bytes).unwrap_or(0))
    }
}

impl<S: Socket> Drop for Registered<S> {
    fn drop(&mut self) {
        // It can only fail for a socket that the poller does not hold any more, which is what is wanted.
        let _ = self.poller.delete(&self.socket);
    }
}

impl<S: Socket> Deref for Registered<S> {
    type Target = S;

    fn deref(&self) -> &S {
        &self.socket
    }
}
