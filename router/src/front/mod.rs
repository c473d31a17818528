//! The front: the router's side towards clients. Clients open PostgreSQL sessions and send simple queries; each receives its
//! answers in the order of its queries, in its protocol version. The front turns queries into requests for the engine, and
//! final answers into messages.
//!
//! | module | what it does |
//! | --- | --- |
//! | `listener` | listeners and their configuration |
//! | `accept` | accepts connections, and pauses while no file descriptor is available |
//! | `login` | the login of a client, from the first packet to the greeting |
//! | `exchange` | reads messages and writes answers, within bounds for one turn of the event loop |
//! | `query` | answers a query itself or hands it to the engine |
//! | `answers` | passes final answers to clients |
//! | `cancellation` | cancel requests, which arrive on a second connection |
//! | `eviction` | which clients are closed when the slots for clients run out |
//! | `memory_pressure` | which incomplete messages are dropped when the byte budget has little room |
//! | `shutdown` | graceful shutdown and lingering closes |
//! | `close_reason` | why a connection is closed, for the log |
//! | `client` | one client's connection and its deadlines |
//! | `request_ids` | generation of request ids, and detection of repeated ones |

mod accept;
mod answers;
mod cancellation;
mod client;
mod close_reason;
mod eviction;
mod exchange;
mod listener;
mod login;
mod memory_pressure;
mod query;
mod read_ahead;
mod request_ids;
mod shutdown;

pub use listener::{DefaultClass, DefaultLabels, ListenerConfig};

use crate::net::budget::Budget;
use crate::net::stream::PeerState;
use crate::shutdown::ShutdownSchedule;
use cancellation::CancelRequest;
use client::{Client, Phase};
use close_reason::CloseReason;
use eviction::{EvictionOrder, IDLE_LINGER_TIMEOUT};
use listener::Listener;
use plovercove::{Micros, Time};
use plovercove_engine::{Engine, Key, Table};
use plovercove_poller::Poll;
use plovercove_settings::Names;
use query::MAX_TIMEOUT_DEADLINES;
use request_ids::{IdGenerator, RecentIds};
use std::net::TcpListener;
use tracing::debug;

/// Time after which an idle connection on the platform's listener is closed.
const PLATFORM_IDLE_TIMEOUT: Micros = 2_000_000;

/// State of the front that is needed besides a client to process the client's messages.
struct Context {
    names: Names,
    recent_ids: RecentIds,
    id_generator: IdGenerator,
    budget: Budget,
    listeners: Vec<Listener>,
    /// A secret of the router, from which the verifiers of unknown users are derived. Because of these verifiers, a login
    /// with an unknown user looks to the client like a login with a wrong password.
    secret: [u8; 32],
    /// Cancel requests that have been received and not processed yet.
    cancel_requests: Vec<CancelRequest>,
    /// The schedule of the shutdown, once the listeners close.
    shutdown: Option<ShutdownSchedule>,
}

impl Context {
    fn is_draining(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns the time of an end, or the time by which the shutdown answers all requests if that is earlier.
    fn before_last_answers(&self, end: Time) -> Time {
        self.shutdown
            .map_or(end, |schedule| end.min(schedule.answer_by))
    }

    /// Returns the end of a lingering close that begins now.
    fn linger_end(&self, now: Time, timeout: Micros) -> Time {
        let end = now + timeout;
        self.shutdown
            .map_or(end, |schedule| end.min(schedule.close_by))
    }
}

/// All clients and listeners.
pub struct Front {
    poll: Poll,
    clients: Table<Client>,
    max_clients: usize,
    context: Context,
    /// Clients that are to be pumped.
    marked: Vec<Key>,
    eviction_order: EvictionOrder,
    /// Time until which waiting connections are accepted during the shutdown.
    accept_until: Option<Time>,
}

/// Returns random bytes of cryptographic quality.
fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    // Without random bytes no key and no login would be safe. All systems that the router runs on provide them.
    getrandom::fill(&mut bytes).expect("the system provides random bytes");
    bytes
}

impl Front {
    /// Returns a front with the platform's listener and slots for `max_clients` clients. `longest_deadline` is the longest
    /// deadline of any class.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot listen on the socket or poll it.
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        listener: TcpListener,
        max_clients: usize,
        names: Names,
        longest_deadline: Micros,
    ) -> std::io::Result<Self> {
        let mut front = Front {
            poll: poll.clone(),
            clients: Table::new(),
            max_clients,
            context: Context {
                names,
                recent_ids: RecentIds::new(longest_deadline * MAX_TIMEOUT_DEADLINES),
                budget: budget.clone(),
                listeners: Vec::new(),
                secret: random_bytes(),
                id_generator: IdGenerator::new(u64::from_be_bytes(random_bytes())),
                cancel_requests: Vec::new(),
                shutdown: None,
            },
            marked: Vec::new(),
            eviction_order: EvictionOrder::default(),
            accept_until: None,
        };
        let platform = ListenerConfig::platform(max_clients, PLATFORM_IDLE_TIMEOUT);
        front.add_listener(listener, platform)?;
        Ok(front)
    }

    /// Returns the number of connected clients.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Returns true if clients are marked to be pumped.
    pub fn has_marked_clients(&self) -> bool {
        !self.marked.is_empty()
    }

    /// Handles an event of the poller on a client's socket.
    ///
    /// The poller reports a reset again and again, whatever the poll interest of the socket is. Therefore a client is closed
    /// then even if it is not being read; otherwise the event loop would spin.
    pub fn handle_event(&mut self, key: Key, hung_up: bool, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let peer = client.receive(&mut self.context, key, now);
        if hung_up || peer != PeerState::Open {
            debug!(
                client = key.number(),
                peer = %peer.label(),
                hung_up,
                "client connection closed"
            );
            return self.close(key, CloseReason::Peer(peer), engine);
        }
        self.mark(key);
    }

    /// Checks a client whose deadline may have passed.
    pub fn check_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.next_check = None;
        if client.refusal_time().is_some_and(|at| at <= now) {
            return self.begin_refusing(key, now, engine);
        }
        let Some(deadline) = client.deadline(&self.context) else {
            return;
        };
        if deadline > now || client.extend_linger(now) {
            self.reschedule(key, engine);
        } else if client.stream.unsent() > 0 {
            self.close(key, CloseReason::UnreadAnswers, engine);
        } else if client.is_lingering() {
            self.close(key, CloseReason::LingerEnded, engine);
        } else if client.message_began_at.is_some() {
            self.end_partial_message(key, now, engine);
        } else {
            self.evict(key, CloseReason::IdleTimeout, now, engine);
        }
    }

    /// Refuses the requests of a client whose bytes have waited unread for too long, unless it turns out that it has closed.
    fn begin_refusing(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        if let Err(peer) = client.look_for_close(now) {
            return self.close(key, CloseReason::Peer(peer), engine);
        }
        self.mark(key);
        self.reschedule(key, engine);
    }

    /// Processes messages and writes answers of all marked clients.
    pub fn pump(&mut self, now: Time, engine: &mut Engine) {
        self.relieve_memory();
        for key in std::mem::take(&mut self.marked) {
            self.pump_client(key, now, engine);
        }
        // Once more, because only now it is known which messages without a length are incomplete.
        self.relieve_memory();
        self.evict_excess_idle(now, engine);
        // The check for new bytes before an eviction may have received a cancel request.
        self.process_cancel_requests(now, engine);
    }

    /// Processes messages and writes answers of one client, and closes or evicts it if nothing is left to do.
    fn pump_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_marked = false;
        let exchanged = match client.exchange(&mut self.context, key, now, engine) {
            Ok(exchanged) => exchanged,
            Err(peer) => return self.close(key, CloseReason::Peer(peer), engine),
        };
        // Cancel requests are processed before their connections are closed. Otherwise a client could see the close and send
        // its next query, and that query would be cancelled.
        self.process_cancel_requests(now, engine);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let is_done = exchanged.is_all_sent && client.pending.is_empty();
        if is_done
            && client.phase == Phase::Closing
            && client.advance_linger(&mut self.context, key, now)
        {
            return self.close(key, CloseReason::LingerEnded, engine);
        }
        let has_partial_message =
            client.may_begin_message() && !exchanged.has_more && client.has_partial_input();
        let began_at = client.message_began_at.unwrap_or(now);
        client.message_began_at = has_partial_message.then_some(began_at);
        client.stream.set_read_interest(client.watches_input());
        let may_evict = self.context.is_draining() && client.may_close_for_shutdown();
        self.reschedule(key, engine);
        if exchanged.has_more {
            self.mark(key);
        } else if may_evict {
            self.evict(key, CloseReason::Shutdown, now, engine);
        }
    }

    /// Marks a client to be pumped.
    fn mark(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.is_marked) {
            client.is_marked = true;
            self.marked.push(key);
        }
    }

    /// Ends a client whose message has been incomplete for too long, unless the rest of it has just arrived.
    fn end_partial_message(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let peer = client.receive(&mut self.context, key, now);
        if peer != PeerState::Open {
            return self.close(key, CloseReason::Peer(peer), engine);
        }
        if let Err(peer) = client.exchange(&mut self.context, key, now, engine) {
            return self.close(key, CloseReason::Peer(peer), engine);
        }
        if client.message_began_at.is_some() {
            client.send_close_notice();
            let until = self.context.linger_end(now, IDLE_LINGER_TIMEOUT);
            client.begin_linger(key, CloseReason::IncompleteMessage, now, until);
        }
        self.mark(key);
        self.reschedule(key, engine);
    }
}
