//! Accepting connections, and pausing where no descriptor is left for one more.

use super::Front;
use super::client::{Client, Phase};
use super::eviction::{EvictionKind, MIN_TIME_BEYOND_LIMIT};
use super::exchange::MAX_MESSAGE_BYTES;
use super::listener::{Listener, ListenerConfig};
use super::shutdown::{FIRST_REQUEST_TIMEOUT_DRAINING, MESSAGE_TIMEOUT_DRAINING};
use crate::net::stream::Stream;
use crate::net::{EventSource, poll_key};
use plovercove::{Micros, Time};
use plovercove_engine::{Deadline, Engine, Key};
use plovercove_pgwire::Version;
use plovercove_pgwire::session::Session;
use plovercove_poller::Interest;
use socket2::SockRef;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::{IpAddr, TcpListener, TcpStream};
use tracing::warn;

/// Connections that may wait to be accepted: hundreds may come at once.
pub(super) const LISTEN_BACKLOG: i32 = 1_024;
/// Connections that are accepted from one listener in a turn of the loop.
pub(super) const MAX_ACCEPTS_PER_TURN: u32 = 64;
/// Connections beyond the limit: those that are told so, and those that gave up their place and linger.
const MAX_CLIENTS_BEYOND_LIMIT: usize = 8;
/// From connecting until the first request has come whole. Connections that say nothing, or trickle, would otherwise hold the
/// places of those that have something to ask.
const FIRST_REQUEST_TIMEOUT: Micros = 2_000_000;
/// From the first byte of a message to its last.
const MESSAGE_TIMEOUT: Micros = 2_000_000;

/// What is left of those who wait at a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Backlog {
    /// Nobody.
    Empty,
    /// Some may be, whose turn is the next.
    Waiting,
    /// Nobody is accepted for a moment.
    Paused,
}

impl Front {
    /// Takes connections in on one more listener.
    ///
    /// # Errors
    ///
    /// Where the system refuses to listen on it or to watch it.
    pub fn add_listener(&mut self, socket: TcpListener, config: ListenerConfig) -> io::Result<()> {
        socket.set_nonblocking(true)?;
        SockRef::from(&socket).listen(LISTEN_BACKLOG)?;
        let number = Key::from_number(self.context.listeners.len() as u64);
        let key = poll_key(EventSource::Listener, Some(number));
        let socket = self.poll.register(socket, key, Interest::Read)?;
        self.context.listeners.push(Listener::new(config, socket));
        Ok(())
    }

    /// Changes the configuration of a further listener, by its name, for those who come from now on. False where there is
    /// none of this name.
    pub fn change_listener(&mut self, config: &ListenerConfig) -> bool {
        let mut further = self.context.listeners.iter_mut().skip(1);
        let Some(listener) = further.find(|l| l.config.name == config.name) else {
            return false;
        };
        listener.config = config.clone();
        true
    }

    /// Takes in the connections that wait at a listener.
    pub fn accept(&mut self, listener: Key, now: Time, engine: &mut Engine) {
        self.accept_from(listener.number() as usize, now, engine);
    }

    /// Goes on accepting after a pause.
    pub fn resume_accepting(&mut self, now: Time, engine: &mut Engine) {
        self.set_listeners_interest(Interest::Read);
        if self.is_draining {
            self.close_listeners(now, engine);
        } else {
            self.accept_from_all(now, engine);
        }
    }

    pub(super) fn accept_from_all(&mut self, now: Time, engine: &mut Engine) -> Backlog {
        (0..self.context.listeners.len())
            .map(|listener| self.accept_from(listener, now, engine))
            .max()
            .unwrap_or(Backlog::Empty)
    }

    fn accept_from(&mut self, number: usize, now: Time, engine: &mut Engine) -> Backlog {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let is_full = self.clients.len() >= self.max_clients + MAX_CLIENTS_BEYOND_LIMIT;
            if is_full && !self.may_displace(now) {
                // Who has spoken is told, and may then be displaced.
                self.pump(now, engine);
                if !self.may_displace(now) {
                    return self.pause_accepting(now, engine);
                }
            }
            let listener = self.context.listeners.get(number);
            let Some(socket) = listener.and_then(|listener| listener.socket.as_ref()) else {
                return Backlog::Empty;
            };
            match socket.accept() {
                Ok((socket, address)) => {
                    // Only now is it certain that someone needs a descriptor, or the place of an idle client.
                    if is_full {
                        self.displace(now, engine);
                    }
                    if self.placed_clients() >= self.max_clients {
                        self.evict_one(now, engine);
                    }
                    self.admit(number, address.ip(), socket, now, engine);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Backlog::Empty,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                // With no descriptor left the listener stays readable, and the loop would spin on it.
                Err(e) => {
                    warn!("cannot accept: {e}");
                    return self.pause_accepting(now, engine);
                }
            }
        }
        Backlog::Waiting
    }

    /// Accepts nobody until the first of those beyond the limit has had its time.
    fn pause_accepting(&mut self, now: Time, engine: &mut Engine) -> Backlog {
        self.set_listeners_interest(Interest::Nothing);
        let mut rejecting = self.eviction_order.starting_at(EvictionKind::Rejecting);
        let first = rejecting
            .next()
            .filter(|entry| entry.rank.kind == EvictionKind::Rejecting)
            .map(|entry| entry.rank.since + MIN_TIME_BEYOND_LIMIT)
            .filter(|at| *at > now);
        let resume_at = first.unwrap_or(now + MIN_TIME_BEYOND_LIMIT);
        engine.deadlines.add(resume_at, Deadline::Accept);
        Backlog::Paused
    }

    fn set_listeners_interest(&mut self, interest: Interest) {
        let listeners = self.context.listeners.iter_mut();
        for socket in listeners.filter_map(|listener| listener.socket.as_mut()) {
            if let Err(e) = socket.set_interest(interest) {
                warn!("a listener's interest cannot be changed: {e}");
            }
        }
    }

    /// Takes over a connection: as a client, or to tell it that there is no place.
    fn admit(
        &mut self,
        number: usize,
        address: IpAddr,
        socket: TcpStream,
        now: Time,
        engine: &mut Engine,
    ) {
        let listener = &self.context.listeners[number];
        let has_place = self.placed_clients() < self.max_clients && listener.has_place();
        let phase = if has_place {
            Phase::LoggingIn
        } else {
            Phase::Rejecting
        };
        let first_request_timeout = if has_place && !self.is_draining {
            FIRST_REQUEST_TIMEOUT
        } else {
            FIRST_REQUEST_TIMEOUT_DRAINING
        };
        let message_timeout = if self.is_draining {
            MESSAGE_TIMEOUT_DRAINING
        } else {
            MESSAGE_TIMEOUT
        };
        let session = Session::new(listener.config.formats);
        let idle_timeout = listener.config.idle_timeout;
        let (poll, budget) = (&self.poll, &self.context.budget);
        let made = self.clients.insert_with(|key| {
            let key = poll_key(EventSource::Client, Some(key));
            let most = MAX_MESSAGE_BYTES + 8;
            let stream = Stream::new(poll, budget, socket, key, Interest::Read, most)?;
            Ok::<_, io::Error>(Client {
                stream,
                listener: number,
                address,
                phase,
                startup: Some(Box::default()),
                version: Version::V30,
                session,
                cancel_id: None,
                last_write_at: None,
                idle_timeout,
                pending: VecDeque::new(),
                last_progress_at: now,
                message_began_at: None,
                message_timeout,
                linger: None,
                has_requested: false,
                first_request_deadline: now + first_request_timeout,
                protocol_errors: 0,
                next_check: None,
                eviction_rank: None,
                is_marked: false,
            })
        });
        let key = match made {
            Ok(key) => key,
            Err(e) => return warn!("a client's connection cannot be taken over: {e}"),
        };
        self.context.listeners[number].placed_clients += 1;
        self.reschedule(key, engine);
        if !has_place {
            // What it has said already need not wait for the next turn: others wait for its descriptor.
            self.handle_event(key, false, now, engine);
        }
    }
}
