//! The signals that the program answers to, as a socket of the loop.

use super::{EventSource, poll_key};
use plovercove_poller::{Interest, Poll, Registered};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use std::io::{self, ErrorKind, Read};
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGHUP: read the configuration again.
    Reload,
    /// SIGTERM: finish.
    Stop,
    /// SIGUSR1: tell the log what is believed.
    DumpState,
}

/// The signals that came and have not been taken.
pub struct Signals {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
    woken: UnixStream,
    wakes: UnixStream,
}

/// The same, on the poller.
pub struct Registration {
    flags: Vec<(Signal, Arc<AtomicBool>)>,
    woken: Registered<UnixStream>,
}

impl Signals {
    /// Catches the signals from now on. Until then any of them ends the process.
    pub fn catch() -> io::Result<Self> {
        let (woken, wakes) = UnixStream::pair()?;
        woken.set_nonblocking(true)?;
        let mut signals = Signals {
            flags: Vec::new(),
            woken,
            wakes,
        };
        signals.add(SIGHUP, Signal::Reload)?;
        signals.add(SIGTERM, Signal::Stop)?;
        Ok(signals)
    }

    /// Catches the one that asks what is believed, too: only where there is something to tell.
    pub fn catch_dump_state(&mut self) -> io::Result<()> {
        self.add(SIGUSR1, Signal::DumpState)
    }

    fn add(&mut self, number: i32, signal: Signal) -> io::Result<()> {
        let flag = Arc::new(AtomicBool::new(false));
        // Danger: woken before the flag is up, the loop would find nothing and sleep on. Actions run in this order.
        signal_hook::flag::register(number, Arc::clone(&flag))?;
        signal_hook::low_level::pipe::register(number, self.wakes.try_clone()?)?;
        self.flags.push((signal, flag));
        Ok(())
    }

    /// Lets the poller tell of them.
    pub fn register(self, poll: &Poll) -> io::Result<Registration> {
        let woken = poll.register(
            self.woken,
            poll_key(EventSource::Signal, None),
            Interest::Read,
        )?;
        Ok(Registration {
            flags: self.flags,
            woken,
        })
    }
}

impl Registration {
    /// What has come since the last call.
    pub fn take(&mut self) -> Vec<Signal> {
        let mut bytes = [0; 64];
        // Left readable, it would wake the loop over and over.
        while match (&*self.woken).read(&mut bytes) {
            Ok(count) => count > 0,
            Err(e) => e.kind() == ErrorKind::Interrupted,
        } {}
        let came = self
            .flags
            .iter()
            .filter(|(_, flag)| flag.swap(false, Ordering::AcqRel));
        came.map(|(signal, _)| *signal).collect()
    }
}
