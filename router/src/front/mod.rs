//! The front: clients, which are PostgreSQL sessions with simple queries, answered in the order they came, in the version
//! that each speaks. It turns queries into requests for the engine and final answers into messages.
//!
//! | module | what it does |
//! | --- | --- |
//! | `listener` | listeners and how operators describe them |
//! | `accept` | takes connections in, and pauses where no descriptor is left |
//! | `login` | from the first packet to the greeting |
//! | `exchange` | reads messages and writes answers, within bounds for one turn |
//! | `query` | one query: answered here, or handed to the engine |
//! | `answers` | final answers on their way to clients |
//! | `cancellation` | cancels by a second connection |
//! | `eviction` | who is closed when places run out |
//! | `shutdown` | graceful shutdown and lingering closes |
//! | `client` | one client's connection and its deadlines |
//! | `request_ids` | ids of requests |

mod accept;
mod answers;
mod cancellation;
mod client;
mod eviction;
mod exchange;
mod listener;
mod login;
mod query;
mod request_ids;
mod shutdown;

pub use listener::{DefaultClass, DefaultLabels, ListenerConfig};

use crate::net::budget::Budget;
use crate::net::stream::PeerState;
use cancellation::CancelRequest;
use client::{Client, Phase};
use eviction::{EvictionOrder, IDLE_LINGER_TIMEOUT};
use listener::Listener;
use plovercove::{Micros, Time};
use plovercove_engine::{Engine, Key, Table};
use plovercove_poller::Poll;
use plovercove_settings::Names;
use query::MAX_PATIENCE_DEADLINES;
use request_ids::{IdGenerator, RecentIds};
use std::net::TcpListener;
use tracing::debug;

/// A connection of the platform's without a request is kept for so long.
const PLATFORM_IDLE_TIMEOUT: Micros = 2_000_000;

/// What is needed beside a client to read what it says.
struct Context {
    names: Names,
    recent_ids: RecentIds,
    id_generator: IdGenerator,
    budget: Budget,
    listeners: Vec<Listener>,
    /// The router's own secret, by which logins of unknown users look like others.
    secret: [u8; 32],
    /// Cancels that were asked for and not carried out yet.
    cancel_requests: Vec<CancelRequest>,
}

/// All clients, and the listeners they come by.
pub struct Front {
    poll: Poll,
    clients: Table<Client>,
    max_clients: usize,
    context: Context,
    /// Clients to be pumped.
    marked: Vec<Key>,
    eviction_order: EvictionOrder,
    is_draining: bool,
    /// Until when it takes in those who wait at its listeners though it finishes.
    accept_until: Option<Time>,
}

/// Random bytes that nobody can guess.
fn random_bytes<const N: usize>() -> [u8; N] {
    let mut bytes = [0; N];
    // Without them no key and no login would be safe, and no system that the router runs on lacks them.
    getrandom::fill(&mut bytes).expect("the system gives random bytes");
    bytes
}

impl Front {
    /// A front on the platform's listener, for so many clients, whose requests last no longer than `longest_deadline`.
    ///
    /// # Errors
    ///
    /// Where the system refuses to listen on it or to watch it.
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
                recent_ids: RecentIds::new(longest_deadline * MAX_PATIENCE_DEADLINES),
                budget: budget.clone(),
                listeners: Vec::new(),
                secret: random_bytes(),
                id_generator: IdGenerator::new(u64::from_be_bytes(random_bytes())),
                cancel_requests: Vec::new(),
            },
            marked: Vec::new(),
            eviction_order: EvictionOrder::default(),
            is_draining: false,
            accept_until: None,
        };
        let platform = ListenerConfig::platform(max_clients, PLATFORM_IDLE_TIMEOUT);
        front.add_listener(listener, platform)?;
        Ok(front)
    }

    /// How many clients are connected.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Whether something has happened that has not been pumped.
    pub fn has_marked_clients(&self) -> bool {
        !self.marked.is_empty()
    }

    /// The poller has something to say of a client.
    ///
    /// It tells of a reset whatever the socket waits for, over and over: a client that is not being read must be closed then,
    /// or the loop would spin.
    pub fn handle_event(&mut self, key: Key, hung_up: bool, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let peer = client.receive(&mut self.context, key, now);
        if hung_up || peer != PeerState::Open {
            debug!(client = key.number(), ?peer, hung_up, "closed");
            return self.close(key, engine);
        }
        self.mark(key);
    }

    /// It is time to look a client over.
    pub fn check_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.next_check = None;
        let Some(deadline) = client.deadline() else {
            return;
        };
        if deadline > now || client.lingers_on(now) {
            self.reschedule(key, engine);
        } else if client.is_lingering() || client.stream.unsent() > 0 {
            self.close(key, engine);
        } else if client.message_began_at.is_some() {
            self.end_partial_message(key, now, engine);
        } else {
            self.evict(key, now, engine);
        }
    }

    /// Reads and writes on where something has happened.
    pub fn pump(&mut self, now: Time, engine: &mut Engine) {
        for key in std::mem::take(&mut self.marked) {
            self.pump_client(key, now, engine);
        }
        self.evict_excess_idle(now, engine);
        // The last look at who goes may find a cancel.
        self.carry_out_cancels(now, engine);
    }

    fn pump_client(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        client.is_marked = false;
        let Ok(exchanged) = client.exchange(&mut self.context, key, now, engine) else {
            return self.close(key, engine);
        };
        // Whoever is told the end of its wish before the wish is met may find its next query cancelled.
        self.carry_out_cancels(now, engine);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let is_done = exchanged.is_all_sent && client.pending.is_empty();
        if is_done
            && client.phase == Phase::Closing
            && client.linger_is_over(&mut self.context, now)
        {
            return self.close(key, engine);
        }
        let has_partial_message =
            client.may_begin_message() && !exchanged.has_more && !client.stream.unread().is_empty();
        let began_at = client.message_began_at.unwrap_or(now);
        client.message_began_at = has_partial_message.then_some(began_at);
        client.stream.set_read_interest(client.wants_input());
        let may_end = self.is_draining
            && client.has_requested
            && client.is_idle()
            && client.phase != Phase::Closing;
        self.reschedule(key, engine);
        if exchanged.has_more {
            self.mark(key);
        } else if may_end {
            self.evict(key, now, engine);
        }
    }

    fn mark(&mut self, key: Key) {
        if let Some(client) = self.clients.get_mut(key).filter(|c| !c.is_marked) {
            client.is_marked = true;
            self.marked.push(key);
        }
    }

    /// Ends a client whose message has been under way for too long, unless the rest of it has just come.
    fn end_partial_message(&mut self, key: Key, now: Time, engine: &mut Engine) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let peer = client.receive(&mut self.context, key, now);
        let goes_on =
            peer == PeerState::Open && client.exchange(&mut self.context, key, now, engine).is_ok();
        if !goes_on {
            return self.close(key, engine);
        }
        if client.message_began_at.is_some() {
            client.announce_close();
            client.begin_linger(now, IDLE_LINGER_TIMEOUT);
        }
        self.mark(key);
        self.reschedule(key, engine);
    }
}
