//! Accepts connections, and pauses accepting while no file descriptor is available.

use super::Front;
use super::client::{Client, Phase};
use super::eviction::{EvictionKind, MIN_TIME_BEYOND_LIMIT};
use super::exchange::MAX_MESSAGE_BYTES;
use super::listener::{Listener, ListenerConfig};
use super::read_ahead::max_read_ahead_bytes;
use super::shutdown::{FIRST_REQUEST_TIMEOUT_DRAINING, MESSAGE_TIMEOUT_DRAINING};
use crate::net::stream::Stream;
use crate::net::{EventSource, poll_key};
use plovercove::{Micros, Time};
use plovercove_engine::{Deadline, Engine, Key};
use plovercove_poller::Interest;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, TcpListener, TcpStream};
use tracing::{debug, warn};

/// Maximum number of connections that wait to be accepted. Hundreds may arrive at once.
pub(super) const LISTEN_BACKLOG: i32 = 1_024;
/// Maximum number of connections that are accepted from one listener in a turn of the event loop.
pub(super) const MAX_ACCEPTS_PER_TURN: u32 = 64;
/// Maximum number of connections beyond the limit on clients: those that are being rejected, and those that were evicted
/// and linger.
const MAX_CLIENTS_BEYOND_LIMIT: usize = 8;
/// Time from accepting a connection until its first request has been received completely. Without it, connections that
/// send nothing or trickle bytes would occupy the slots that other clients need.
const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// Time from the first byte of a message to its last.
const MESSAGE_TIMEOUT: Micros = 2_000_000;

/// Whether connections still wait at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Backlog {
    /// No connection waits.
    Empty,
    /// More connections may wait; they are accepted in the next turn.
    Waiting,
    /// Accepting is paused for a moment.
    Paused,
}

impl Front {
    /// Adds a listener and starts to accept connections on it.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot listen on the socket or poll it.
    pub fn add_listener(&mut self, socket: TcpListener, config: ListenerConfig) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        SockRef::from(&socket).listen(LISTEN_BACKLOG)?;
        let number = Key::from_number(self.context.listeners.len() as u64);
        let key = poll_key(EventSource::Listener, Some(number));
        let socket = self.poll.register(socket, key, Interest::Read)?;
        self.context.listeners.push(Listener::new(config, socket));
        Ok(())
    }

    /// Changes the configuration of the listener with this name, for clients that connect from now on. The platform's
    /// listener cannot be changed. Returns false if there is no such listener.
    pub fn change_listener(&mut self, config: &ListenerConfig) -> bool {
        let mut further_listeners = self.context.listeners.iter_mut().skip(1);
        let Some(listener) = further_listeners.find(|l| l.config.name == config.name) else {
            return false;
        };
        listener.config = config.clone();
        true
    }

    /// Accepts the connections that wait at a listener.
    pub fn accept(&mut self, listener: Key, now: Time, engine: &mut Engine) {
        self.accept_from(listener.number() as usize, now, engine);
    }

    /// Resumes accepting after a pause.
    pub fn resume_accepting(&mut self, now: Time, engine: &mut Engine) {
        self.set_listeners_interest(Interest::Read);
        if self.context.is_draining() {
            self.close_listeners(now, engine);
        } else {
            self.accept_from_all(now, engine);
        }
    }

    /// Accepts connections from all listeners. Returns the backlog of the listener with the most work left.
    pub(super) fn accept_from_all(&mut self, now: Time, engine: &mut Engine) -> Backlog {
        (0..self.context.listeners.len())
            .map(|listener| self.accept_from(listener, now, engine))
            .max()
            .unwrap_or(Backlog::Empty)
    }

    /// Accepts connections from one listener, up to the limit for one turn.
    fn accept_from(&mut self, number: usize, now: Time, engine: &mut Engine) -> Backlog {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let is_full = self.clients.len() >= self.max_clients + MAX_CLIENTS_BEYOND_LIMIT;
            if is_full && !self.may_close_beyond_limit(now) {
                // Rejected clients that have sent their first packet receive their error now, and may then be closed.
                self.pump(now, engine);
                if !self.may_close_beyond_limit(now) {
                    return self.pause_accepting(now, engine);
                }
            }
            let listener = self.context.listeners.get(number);
            let Some(socket) = listener.and_then(|listener| listener.socket.as_ref()) else {
                return Backlog::Empty;
            };
            match socket.accept() {
                Ok((socket, address)) => {
                    // Only now is it certain that a connection needs the descriptor, or the slot of an idle client.
                    if is_full {
                        self.close_beyond_limit(now, engine);
                    }
                    if self.slots_in_use() >= self.max_clients {
                        self.evict_one(now, engine);
                    }
                    self.add_client(number, address.ip(), socket, now, engine);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Backlog::Empty,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                // Without a free descriptor the listener stays readable, and the loop would spin on it.
                Err(e) => {
                    warn!("cannot accept a connection: {e}");
                    return self.pause_accepting(now, engine);
                }
            }
        }
        Backlog::Waiting
    }

    /// Pauses accepting until the first client beyond the limit has had its minimum time.
    fn pause_accepting(&mut self, now: Time, engine: &mut Engine) -> Backlog {
        self.set_listeners_interest(Interest::Nothing);
        let mut rejecting = self.eviction_order.starting_at(EvictionKind::Rejecting);
        let first_min_time_end = rejecting
            .next()
            .filter(|entry| entry.rank.kind == EvictionKind::Rejecting)
            .map(|entry| entry.rank.since + MIN_TIME_BEYOND_LIMIT)
            .filter(|min_time_end| *min_time_end > now);
        let resume_at = first_min_time_end.unwrap_or(now + MIN_TIME_BEYOND_LIMIT);
        engine.deadlines.add(resume_at, Deadline::Accept);
        Backlog::Paused
    }

    fn set_listeners_interest(&mut self, interest: Interest) {
        let listeners = self.context.listeners.iter_mut();
        for socket in listeners.filter_map(|listener| listener.socket.as_mut()) {
            if let Err(e) = socket.set_interest(interest) {
                warn!("cannot change the poll interest of a listener: {e}");
            }
        }
    }

    /// Adds a client for an accepted connection. If no slot is free, the client is rejected once its first packet arrives.
    fn add_client(
        &mut self,
        number: usize,
        address: IpAddr,
        socket: TcpStream,
        now: Time,
        engine: &mut Engine,
    ) {
        let listener = &self.context.listeners[number];
        let has_free_slot = self.slots_in_use() < self.max_clients && listener.has_free_slot();
        let phase = if has_free_slot {
            Phase::LoggingIn
        } else {
            Phase::Rejecting
        };
        let (first_request_timeout, message_timeout) = (
            self.first_request_timeout(has_free_slot),
            self.message_timeout(),
        );
        let config = &listener.config;
        let (poll, budget) = (&self.poll, &self.context.budget);
        let accepted = self.clients.insert_with(|key| {
            let key = poll_key(EventSource::Client, Some(key));
            let max_read_ahead = max_read_ahead_bytes(budget);
            let max_unread = max_read_ahead.max(MAX_MESSAGE_BYTES + 8);
            let stream = Stream::new(poll, budget, socket, key, Interest::Read, max_unread)?;
            let mut client = Client::new(stream, number, address, config, now);
            client.phase = phase;
            client.first_request_deadline = now + first_request_timeout;
            client.message_timeout = message_timeout;
            client.max_read_ahead_bytes = max_read_ahead;
            Ok::<_, io::Error>(client)
        });
        let key = match accepted {
            Ok(key) => key,
            Err(e) => return warn!("cannot set up the connection of a client: {e}"),
        };
        debug!(
            client = key.number(),
            from = %address,
            has_free_slot,
            "connection of a client accepted"
        );
        self.context.listeners[number].slots_in_use += 1;
        self.reschedule(key, engine);
        if !has_free_slot {
            // Its first packet may have arrived already. It is handled at once, since other connections wait for the
            // descriptor.
            self.handle_event(key, false, now, engine);
        }
    }

    /// Returns the time in which a new connection has to send its first request.
    fn first_request_timeout(&self, has_free_slot: bool) -> Micros {
        if has_free_slot && !self.context.is_draining() {
            FIRST_REQUEST_TIMEOUT
        } else {
            FIRST_REQUEST_TIMEOUT_DRAINING
        }
    }

    fn message_timeout(&self) -> Micros {
        if self.context.is_draining() {
            MESSAGE_TIMEOUT_DRAINING
        } else {
            MESSAGE_TIMEOUT
        }
    }
}
