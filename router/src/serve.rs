//! The one loop: it waits on the poller, hands what has come to the parts, lets the decisions be made, and carries them out.
//!
//! The phases of a turn are those of `Router::turn`, in this order: discovery, signals, gossip, nodes, answers on their way to
//! clients, questions of the fleet, clients, new clients, deadlines, and the decisions on all of it.

use crate::Error;
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::discovery::{Discovery, Listing};
use crate::front::Front;
use crate::gossip::{self, GossipSocket};
use crate::net::budget::Budget;
use crate::net::signals::{Registration, Signal, Signals};
use crate::net::{EventSource, split_poll_key};
use crate::operators;
use crate::upstream::Upstream;
use plovercove::{EndpointUpdate, LocalityPolicy, Time};
use plovercove_engine::{Command, Deadline, Engine, Key, ListSource, WatchSchedule};
use plovercove_gossip::Observer;
use plovercove_locality::ZoneFailover;
use plovercove_poller::{Events, Poll};
use plovercove_settings::Names;
use std::any::Any;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tracing::{debug, info, warn};

/// After SIGTERM new connections are taken in for so long.
const STILL_ACCEPTING: Time = 500_000;
/// Rounds of decisions in one turn: what a connection tells at once may bring on the next decision.
const ROUNDS: u32 = 16;

fn bind(address: SocketAddr, what: &'static str) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen {
        address,
        what,
        source,
    })
}

/// What the poller says of one socket.
struct ReadyEvent {
    key: Key,
    /// The other side has gone, or the connection broke.
    hung_up: bool,
}

/// What the poller says in one turn, by whom it is for.
struct Ready<'a> {
    events: &'a Events,
}

impl<'a> Ready<'a> {
    fn new(events: &'a Events) -> Self {
        Ready { events }
    }

    fn of(&self, wanted: EventSource) -> impl Iterator<Item = ReadyEvent> {
        self.events.iter().filter_map(move |event| {
            let (source, key) = split_poll_key(event.key);
            let hung_up = event.is_interrupt() || event.is_err() == Some(true);
            (source == Some(wanted)).then_some(ReadyEvent { key, hung_up })
        })
    }
}

/// The router: its parts and the loop round them.
pub struct Router {
    clock: Clock,
    poll: Poll,
    signals: Registration,
    engine: Engine,
    front: Front,
    upstream: Upstream,
    discovery: Discovery,
    operators: Option<operators::OperatorsFile>,
    peers: Option<GossipSocket>,
    /// SIGTERM has come.
    stopping: bool,
}

impl Router {
    /// A router that listens, and knows the list that it was given.
    ///
    /// `told` is what operators say; `operators` is the file that it comes from, read again on SIGHUP.
    pub fn new(
        config: Config,
        told: operators::OperatorSettings,
        operators: Option<operators::OperatorsFile>,
        mut signals: Signals,
    ) -> Result<Self, Error> {
        let operators::OperatorSettings {
            zone_failover: tiers,
            listeners: fronts,
            connect_options,
            gossip: peers,
        } = told;
        let poll = Poll::new()?;
        if peers.is_some() {
            signals.catch_dump_state()?;
        }
        let signals = signals.register(&poll)?;
        let listener = bind(config.listen, "clients")?;
        let listen = listener.local_addr()?;
        let (settings, budget) = (config.settings, Budget::new(config.max_buffered_bytes));
        let longest = settings
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or(0);
        let names = Names::new(&settings);
        // What is known is of some version: only what came after it is asked for, a few lines instead of all of them.
        let index = Some(config.remembered_list.index)
            .filter(|_| !config.remembered_list.entries.is_empty());
        let lists = match settings.subscribe {
            true => ListSource::Polled,
            false => ListSource::Pushed {
                drain_grace: settings.drain_grace,
            },
        };
        let clock = Clock::default();
        let zoning = tiers.map(|tiers| Box::new(tiers) as Box<dyn LocalityPolicy>);
        let zoning =
            match &peers {
                Some(terms) => Some(Box::new(Observer::new(&terms.rules, &settings, zoning))
                    as Box<dyn LocalityPolicy>),
                None => zoning,
            };
        let talk =
            |terms| GossipSocket::open(&poll, terms, &config.name, &settings, clock, config.seed);
        let mut router = Router {
            peers: peers.map(talk).transpose()?,
            clock,
            signals,
            front: Front::new(&poll, &budget, listener, config.max_clients, names, longest)?,
            upstream: Upstream::new(
                &poll,
                &budget,
                connect_options,
                config.max_node_connections,
                settings.connect_timeout,
                settings.connection_idle,
            ),
            discovery: Discovery::new(
                &poll,
                config.discovery,
                index,
                WatchSchedule::new(lists, config.seed),
            ),
            engine: match zoning {
                Some(zoning) => Engine::new(settings, config.seed).with_locality_policy(zoning),
                None => Engine::new(settings, config.seed),
            },
            operators,
            poll,
            stopping: false,
        };
        for (address, terms) in fronts {
            let listener = bind(address, "clients of a further front")?;
            info!(front = terms.name, address = %listener.local_addr()?, "a further front");
            router.front.add_listener(listener, terms)?;
        }
        let now = router.clock.now();
        router.list(config.remembered_list, true, now);
        info!(name = config.name, %listen, "serving");
        Ok(router)
    }

    /// Runs until the way out after SIGTERM has been gone to its end.
    pub fn run(mut self) -> Result<(), Error> {
        let mut events = Events::new();
        let now = self.clock.now();
        self.discovery.start(now, &mut self.engine);
        if let Some(peers) = &mut self.peers {
            peers.start(now, &mut self.engine);
        }
        let mut at_once = self.decide(now);
        while !self.front.is_drained() {
            let now = self.clock.now();
            let next = self
                .engine
                .deadlines
                .next()
                .map(|at| Duration::from_micros(at.saturating_sub(now)));
            let timeout = if at_once { Some(Duration::ZERO) } else { next };
            match self.poll.wait(&mut events, timeout) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            at_once = self.turn(&events);
        }
        info!("all is answered");
        Ok(())
    }

    /// One turn of the loop, phase by phase; true where something is left to decide at once.
    fn turn(&mut self, events: &Events) -> bool {
        let now = self.clock.now();
        let ready = Ready::new(events);
        // The endpoint list goes first: whatever else is read in this turn is decided by the new one.
        self.read_discovery(&ready, now);
        self.take_signals(&ready, now);
        self.read_gossip(&ready, now);
        self.read_nodes(&ready, now);
        self.pass_on_answers(now);
        self.exchange_fleet_queries(now);
        self.read_clients(&ready, now);
        self.accept_clients(&ready, now);
        self.meet_deadlines(now);
        self.exchange_fleet_queries(now);
        self.front.pump(now, &mut self.engine);
        self.decide(now)
    }

    fn read_discovery(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of(EventSource::Discovery) {
            if let Some(listing) = self.discovery.event(now, &mut self.engine) {
                self.list(listing, false, now);
            }
        }
    }

    fn take_signals(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of(EventSource::Signal) {
            for signal in self.signals.take() {
                match signal {
                    Signal::Reload => self.reload(now),
                    Signal::Stop => self.terminate(now),
                    Signal::DumpState => {
                        if let Some(peers) = &self.peers {
                            peers.log_state(now, &mut self.engine);
                        }
                    }
                }
            }
        }
    }

    fn read_gossip(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of(EventSource::Gossip) {
            if let Some(peers) = &mut self.peers {
                peers.read_datagrams(now, &mut self.engine);
            }
        }
    }

    fn read_nodes(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of(EventSource::Node) {
            self.upstream.event(event.key, now, &mut self.engine);
        }
    }

    fn read_clients(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of(EventSource::Client) {
            self.front
                .handle_event(event.key, event.hung_up, now, &mut self.engine);
        }
    }

    fn accept_clients(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of(EventSource::Listener) {
            self.front.accept(event.key, now, &mut self.engine);
        }
    }

    fn meet_deadlines(&mut self, now: Time) {
        while let Some(deadline) = self.engine.deadlines.pop(now) {
            self.due(deadline, now);
        }
    }

    fn due(&mut self, due: Deadline, now: Time) {
        match due {
            Deadline::Wake => self.engine.wake(),
            Deadline::Attempt(id) => self.engine.attempt_timed_out(id, now),
            Deadline::Backend(key) => self.upstream.connection_expired(key, now, &mut self.engine),
            Deadline::Client(key) => self.front.check_client(key, now, &mut self.engine),
            Deadline::Discovery => self.discovery.due(now, &mut self.engine),
            Deadline::Gossip => self
                .peers
                .iter_mut()
                .for_each(|peers| peers.run_due(now, &mut self.engine)),
            Deadline::Accept => self.front.resume_accepting(now, &mut self.engine),
            Deadline::Shutdown => {
                // Handing over does not keep clients waiting.
                self.peers
                    .iter_mut()
                    .for_each(|peers| peers.finish_leaving(now));
                self.front.drain(now, &mut self.engine);
            }
        }
    }

    /// Decides and carries out, until nothing more comes of it; true where it has not come to an end.
    fn decide(&mut self, now: Time) -> bool {
        for _ in 0..ROUNDS {
            let commands = self.engine.decide(now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.carry_out(command, now);
            }
            self.pass_on_answers(now);
            self.front.pump(now, &mut self.engine);
        }
        self.engine.has_pending_work() || self.front.has_marked_clients()
    }

    fn carry_out(&mut self, command: Command, now: Time) {
        let engine = &mut self.engine;
        match command {
            Command::Send {
                attempt,
                origin,
                node,
            } => match self.front.statement(origin, attempt.request) {
                Some(statement) => self.upstream.send(attempt, statement, &node, now, engine),
                None => engine.attempt_not_sent(attempt, now),
            },
            Command::CancelAttempt { attempt, node } => {
                self.upstream.cancel_attempt(attempt, &node, now, engine)
            }
            Command::HealthCheck(node) => self.upstream.check_health(&node, now, engine),
            Command::CloseIdle(node) => self.upstream.close_idle(&node, engine),
            Command::Answer {
                request,
                origin,
                answer,
            } => self.front.send_final_answer(origin, request, answer),
        }
    }

    /// Asks nodes what the fleet wants to know of them, and takes what they answered.
    fn exchange_fleet_queries(&mut self, now: Time) {
        let Some(peers) = &mut self.peers else { return };
        let heard = self.upstream.take_query_outcomes();
        if !heard.is_empty() {
            peers.queries_ended(now, heard, &mut self.engine);
        }
        for ask in peers.take_queries() {
            self.upstream.query(ask, now, &mut self.engine);
        }
    }

    fn pass_on_answers(&mut self, now: Time) {
        for served in self.upstream.take_served() {
            self.front
                .send_reply(served.origin, served.request, served.reply, now);
        }
    }

    fn list(&mut self, listing: Listing, restored: bool, now: Time) {
        for (entry, _) in &listing.entries {
            debug!(node = %entry.node, group = entry.group, state = ?entry.state, primary = entry.listed_as_primary, "listed");
        }
        let entries = listing
            .entries
            .iter()
            .map(|(entry, _)| entry.clone())
            .collect();
        self.engine
            .update_endpoints(match (restored, listing.is_complete) {
                (true, _) => EndpointUpdate::Restored(entries),
                (false, true) => EndpointUpdate::Full(entries),
                (false, false) => EndpointUpdate::Changes(entries),
            });
        self.upstream
            .update_endpoints(&listing, now, &mut self.engine);
        self.peers
            .iter_mut()
            .for_each(|peers| peers.endpoints_changed(now, &self.engine));
    }

    /// Takes over what a running router can; a file that is no good leaves all as it was.
    fn reload(&mut self, now: Time) {
        // Both are read before either is taken over.
        let told = self
            .operators
            .as_ref()
            .map(operators::OperatorsFile::read)
            .transpose();
        let (config, told) = match (config::reread(), told) {
            (Ok(config), Ok(told)) => (config, told),
            (Err(fault), _) | (_, Err(fault)) => {
                return warn!(
                    reason = "reload",
                    help = fault.help(),
                    "SIGHUP: {fault}; all stays as it was"
                );
            }
        };
        info!(discovery = %config.discovery, "SIGHUP: the configuration was read again");
        self.discovery
            .move_to(config.discovery, now, &mut self.engine);
        if let Some(told) = told {
            let zones = told
                .zone_failover
                .as_ref()
                .map_or(0, |t| t.zone_statuses().len());
            self.rezone(told.zone_failover, now);
            for (address, terms) in told.listeners {
                // Those who are in stay in; what is asked of newcomers changes.
                if !self.front.change_listener(&terms) {
                    warn!(front = terms.name, %address, "SIGHUP: a further front needs a restart");
                }
            }
            self.upstream.change_options(told.connect_options);
            match (&mut self.peers, told.gossip) {
                (Some(peers), Some(terms)) => peers.reload(terms),
                (None, None) => {}
                _ => warn!(
                    reason = "peers",
                    "SIGHUP: whether routers talk needs a restart"
                ),
            }
            info!(zones, "SIGHUP: the operators' file was taken over");
        }
    }

    /// Puts other tiers in the place of those in use; they go on from what these have learned.
    fn rezone(&mut self, mut tiers: Option<ZoneFailover>, now: Time) {
        let old = match gossip::observer(&mut self.engine) {
            Some(observer) => observer.locality_policy(),
            None => self.engine.locality_policy(),
        };
        let old = old
            .map(|zoning| zoning as &mut dyn Any)
            .and_then(<dyn Any>::downcast_mut);
        if let (Some(fresh), Some(old)) = (&mut tiers, old) {
            fresh.inherit_state(old);
        }
        let tiers = tiers.map(|tiers| Box::new(tiers) as Box<dyn LocalityPolicy>);
        match gossip::observer(&mut self.engine) {
            Some(observer) => {
                let observer = observer.with_locality_policy(tiers);
                self.engine
                    .replace_locality_policy(now, Some(Box::new(observer)));
            }
            None => self.engine.replace_locality_policy(now, tiers),
        }
    }

    fn terminate(&mut self, now: Time) {
        if std::mem::replace(&mut self.stopping, true) {
            return info!("SIGTERM: once more; it is finishing already");
        }
        info!(
            held = self.engine.pending_requests(),
            "SIGTERM: finishing what has been taken on"
        );
        self.peers
            .iter_mut()
            .for_each(|peers| peers.start_leaving(now, &mut self.engine));
        self.engine
            .deadlines
            .add(now + STILL_ACCEPTING, Deadline::Shutdown);
    }
}
