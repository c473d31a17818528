//! The signals that the program handles, delivered to the event loop through a socket.

use super::{EventSource, poll_key};
use plovercove_poller::{Interest, Poll, Registered};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: reload the configuration.
    Reload,
    /// SIGTERM: drain and exit.
    Stop,
    /// SIGUSR1: log the state of gossip and of the leases.
    DumpState,
}

/// The signal handlers, before they are registered with the poller.
pub struct Signals {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
    wake_receiver: UnixStream,
    wake_sender: UnixStream,
}

/// The signal handlers, registered with the poller.
pub struct Registration {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
    wake_receiver: Registered<UnixStream>,
}

impl Signals {
    /// Installs the handlers of SIGHUP and SIGTERM. Until then, either signal ends the process.
    pub fn catch() -> io::Result<Self> {
        let (wake_receiver, wake_sender) = UnixStream::pair()?;
        wake_receiver.set_nonblocking(true)?;
        let mut signals = Signals {
            flags: Vec::new(),
            wake_receiver,
            wake_sender,
        };
        signals.add(SIGHUP, Signal::Reload)?;
        signals.add(SIGTERM, Signal::Stop)?;
        Ok(signals)
    }

    /// Installs the handler of SIGUSR1. Called only if gossip is configured, since there is no state to log without it.
    pub fn catch_dump_state(&mut self) -> io::Result<()> {
        self.add(SIGUSR1, Signal::DumpState)
    }

    fn add(&mut self, number: i32, signal: Signal) -> io::Result<()> {
        let flag = Arc::new(AtomicBool::new(false));
        // The flag is registered first, and handlers run in the order of registration. If the socket were written before the
        // flag is set, the loop could wake, find no flag and sleep again, and the signal would be lost.
        signal_hook::flag::register(number, Arc::clone(&flag))?;
        signal_hook::low_level::pipe::register(number, self.wake_sender.try_clone()?)?;
        self.flags.push((signal, flag));
        Ok(())
    }

    /// Registers the socket with the poller.
    pub fn register(self, poll: &Poll) -> io::Result<Registration> {
        let wake_receiver = poll.register(
            self.wake_receiver,
            poll_key(EventSource::Signal, None),
            Interest::Read,
        )?;
        Ok(Registration {
            flags: self.flags,
            wake_receiver,
        })
    }
}

impl Registration {
    /// Returns the signals that have arrived since the last call.
    pub fn take(&mut self) -> Vec<Signal> {
        let mut bytes = [0; 64];
        // The socket is read until it is empty. If it stayed readable, it would wake the loop again and again.
        while match (&*self.wake_receiver).read(&mut bytes) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::Interrupted,
        } {}
        let raised = self
            .flags
            .iter()
            .filter(|(_, flag)| flag.swap(false, Ordering::AcqRel));
        raised.map(|(signal, _)| *signal).collect()
    }
}
