//! The event loop: it waits on the poller, passes events to the router's parts, asks the engine for decisions and executes
//! them.
//!
//! `Router::turn` runs the phases of a turn in this order: discovery, signals, gossip, nodes, replies to clients, queries of
//! the lease tasks, clients, new clients, deadlines, queries again, and the decisions.

use crate::Error;
use crate::clock::Clock;
use crate::config::{self, Config};
use crate::discovery::{Discovery, Listing};
use crate::front::{Front, ListenerConfig};
use crate::gossip::{self, GossipConfig, GossipSocket};
use crate::net::budget::Budget;
use crate::net::signals::{Registration, Signal, Signals};
use crate::net::{EventSource, split_poll_key};
use crate::operators;
use crate::shutdown::ShutdownSchedule;
use crate::upstream::Upstream;
use plovercove::{EndpointUpdate, LocalityPolicy, Micros, Settings, Time};
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

/// Maximum number of decision rounds in one turn. A round may cause another, if executing a decision has an immediate
/// result.
const MAX_DECISION_ROUNDS: u32 = 16;

fn bind_listener(address: SocketAddr, client_kind: &'static str) -> Result<TcpListener, Error> {
    TcpListener::bind(address).map_err(|source| Error::Listen {
        address,
        what: client_kind,
        source,
    })
}

/// Returns the longest deadline of any class.
fn longest_deadline(settings: &Settings) -> Micros {
    let deadlines = settings.classes.iter().map(|class| class.deadline);
    deadlines.max().unwrap_or(0)
}

/// Returns how the router learns of changes of the endpoint list.
fn list_source(settings: &Settings) -> ListSource {
    match settings.subscribe {
        true => ListSource::Polled,
        false => ListSource::Pushed {
            drain_grace: settings.drain_grace,
        },
    }
}

/// Returns the policy that decides which zones a request may use: the zone failover, behind the observer of gossip.
fn locality_policy(
    zone_failover: Option<ZoneFailover>,
    gossip_config: Option<&GossipConfig>,
    settings: &Settings,
) -> Option<Box<dyn LocalityPolicy>> {
    let policy = zone_failover.map(|policy| Box::new(policy) as Box<dyn LocalityPolicy>);
    let Some(config) = gossip_config else {
        return policy;
    };
    Some(Box::new(Observer::new(&config.rules, settings, policy)))
}

/// A poller event of one socket.
struct ReadyEvent {
    key: Key,
    /// The peer has closed the connection, or it broke.
    hung_up: bool,
}

/// The poller events of one turn.
struct Ready<'a> {
    events: &'a Events,
}

impl<'a> Ready<'a> {
    fn new(events: &'a Events) -> Self {
        Ready { events }
    }

    /// Returns the events of one kind of socket.
    fn of_source(&self, wanted: EventSource) -> impl Iterator<Item = ReadyEvent> {
        self.events.iter().filter_map(move |event| {
            let (source, key) = split_poll_key(event.key);
            let hung_up = event.is_interrupt() || event.is_err() == Some(true);
            (source == Some(wanted)).then_some(ReadyEvent { key, hung_up })
        })
    }
}

/// The router: its parts and the event loop.
pub struct Router {
    clock: Clock,
    poll: Poll,
    signals: Registration,
    engine: Engine,
    front: Front,
    upstream: Upstream,
    discovery: Discovery,
    operators_file: Option<operators::OperatorsFile>,
    gossip: Option<GossipSocket>,
    longest_deadline: Micros,
    /// The schedule of the shutdown, once SIGTERM has been received.
    shutdown: Option<ShutdownSchedule>,
}

impl Router {
    /// Creates a router that listens and uses the remembered endpoint list.
    ///
    /// `operator_settings` come from `operators_file`, which is read again on SIGHUP.
    pub fn new(
        config: Config,
        operator_settings: operators::OperatorSettings,
        operators_file: Option<operators::OperatorsFile>,
        mut signals: Signals,
    ) -> Result<Self, Error> {
        let operators::OperatorSettings {
            zone_failover,
            listeners,
            connect_options,
            gossip: gossip_config,
        } = operator_settings;
        let poll = Poll::new()?;
        if gossip_config.is_some() {
            signals.catch_dump_state()?;
        }
        let signals = signals.register(&poll)?;
        let listener = bind_listener(config.listen, "clients")?;
        let listen = listener.local_addr()?;
        let (settings, budget) = (config.settings, Budget::new(config.max_buffered_bytes));
        let longest_deadline = longest_deadline(&settings);
        let names = Names::new(&settings);
        // With a remembered list, discovery is asked only for the changes since its version, not for the complete list.
        let index = Some(config.remembered_list.index)
            .filter(|_| !config.remembered_list.entries.is_empty());
        let list_source = list_source(&settings);
        let clock = Clock::default();
        let policy = locality_policy(zone_failover, gossip_config.as_ref(), &settings);
        let open_gossip = |gossip_config| {
            GossipSocket::open(
                &poll,
                gossip_config,
                &config.name,
                &settings,
                clock,
                config.seed,
            )
        };
        let mut router = Router {
            gossip: gossip_config.map(open_gossip).transpose()?,
            clock,
            signals,
            front: Front::new(
                &poll,
                &budget,
                listener,
                config.max_clients,
                names,
                longest_deadline,
            )?,
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
                WatchSchedule::new(list_source, config.seed),
            ),
            engine: match policy {
                Some(policy) => Engine::new(settings, config.seed).with_locality_policy(policy),
                None => Engine::new(settings, config.seed),
            },
            operators_file,
            poll,
            longest_deadline,
            shutdown: None,
        };
        router.add_listeners(listeners)?;
        let now = router.clock.now();
        router.apply_listing(config.remembered_list, true, now);
        info!(name = config.name, %listen, "serving");
        Ok(router)
    }

    fn add_listeners(&mut self, listeners: Vec<(SocketAddr, ListenerConfig)>) -> Result<(), Error> {
        for (address, config) in listeners {
            let listener = bind_listener(address, "clients of a further front")?;
            info!(front = config.name, address = %listener.local_addr()?, "listening on an additional address");
            self.front.add_listener(listener, config)?;
        }
        Ok(())
    }

    /// Runs until the shutdown after SIGTERM is complete.
    pub fn run(mut self) -> Result<(), Error> {
        let mut events = Events::new();
        let now = self.clock.now();
        self.discovery.start(now, &mut self.engine);
        if let Some(gossip) = &mut self.gossip {
            gossip.start(now, &mut self.engine);
        }
        let mut has_work_left = self.decide(now);
        while !self.front.is_drained() {
            let now = self.clock.now();
            let next = self
                .engine
                .deadlines
                .next()
                .map(|at| Duration::from_micros(at.saturating_sub(now)));
            let timeout = if has_work_left {
                Some(Duration::ZERO)
            } else {
                next
            };
            match self.poll.wait(&mut events, timeout) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            has_work_left = self.turn(&events);
        }
        info!("all is answered");
        Ok(())
    }

    /// Runs one turn of the loop. Returns true if the next turn must follow without waiting.
    fn turn(&mut self, events: &Events) -> bool {
        let now = self.clock.now();
        let ready = Ready::new(events);
        // The endpoint list is read first, so that all decisions of this turn use the new list.
        self.read_discovery(&ready, now);
        self.take_signals(&ready, now);
        self.read_gossip(&ready, now);
        self.read_nodes(&ready, now);
        self.pass_on_replies(now);
        self.exchange_lease_task_queries(now);
        self.read_clients(&ready, now);
        self.accept_clients(&ready, now);
        self.run_due_deadlines(now);
        self.exchange_lease_task_queries(now);
        self.front.pump(now, &mut self.engine);
        self.decide(now)
    }

    fn read_discovery(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of_source(EventSource::Discovery) {
            if let Some(listing) = self.discovery.handle_event(now, &mut self.engine) {
                self.apply_listing(listing, false, now);
            }
        }
    }

    fn take_signals(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of_source(EventSource::Signal) {
            for signal in self.signals.take() {
                match signal {
                    Signal::Reload => self.reload(now),
                    Signal::Stop => self.terminate(now),
                    Signal::DumpState => {
                        if let Some(gossip) = &self.gossip {
                            gossip.log_state(now, &mut self.engine);
                        }
                    }
                }
            }
        }
    }

    fn read_gossip(&mut self, ready: &Ready<'_>, now: Time) {
        for _ in ready.of_source(EventSource::Gossip) {
            if let Some(gossip) = &mut self.gossip {
                gossip.read_datagrams(now, &mut self.engine);
            }
        }
    }

    fn read_nodes(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of_source(EventSource::Node) {
            self.upstream.handle_event(event.key, now, &mut self.engine);
        }
    }

    fn read_clients(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of_source(EventSource::Client) {
            self.front
                .handle_event(event.key, event.hung_up, now, &mut self.engine);
        }
    }

    fn accept_clients(&mut self, ready: &Ready<'_>, now: Time) {
        for event in ready.of_source(EventSource::Listener) {
            self.front.accept(event.key, now, &mut self.engine);
        }
    }

    fn run_due_deadlines(&mut self, now: Time) {
        while let Some(deadline) = self.engine.deadlines.pop(now) {
            self.run_deadline(deadline, now);
        }
    }

    fn run_deadline(&mut self, deadline: Deadline, now: Time) {
        match deadline {
            Deadline::Wake => self.engine.wake(),
            Deadline::Attempt(id) => self.engine.attempt_timed_out(id, now),
            Deadline::Backend(key) => self.upstream.connection_expired(key, now, &mut self.engine),
            Deadline::Client(key) => self.front.check_client(key, now, &mut self.engine),
            Deadline::Discovery => self.discovery.deadline_expired(now, &mut self.engine),
            Deadline::Gossip => self
                .gossip
                .iter_mut()
                .for_each(|gossip| gossip.run_due(now, &mut self.engine)),
            Deadline::Accept => self.front.resume_accepting(now, &mut self.engine),
            Deadline::Drain => self.drain(now),
            Deadline::StopReading => self.stop_reading(now),
        }
    }

    /// Takes decisions from the engine and executes them until there are none. Returns true if some may be left.
    fn decide(&mut self, now: Time) -> bool {
        for _ in 0..MAX_DECISION_ROUNDS {
            let commands = self.engine.decide(now);
            if commands.is_empty() {
                break;
            }
            for command in commands {
                self.execute(command, now);
            }
            self.pass_on_replies(now);
            self.front.pump(now, &mut self.engine);
        }
        self.engine.has_pending_work() || self.front.has_marked_clients()
    }

    fn execute(&mut self, command: Command, now: Time) {
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

    /// Passes the outcomes of queries to the lease tasks, and sends their next queries.
    fn exchange_lease_task_queries(&mut self, now: Time) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        let outcomes = self.upstream.take_query_outcomes();
        if !outcomes.is_empty() {
            gossip.queries_ended(now, outcomes, &mut self.engine);
        }
        for query in gossip.take_queries() {
            self.upstream.query(query, now, &mut self.engine);
        }
    }

    fn pass_on_replies(&mut self, now: Time) {
        for served in self.upstream.take_served() {
            self.front
                .send_reply(served.origin, served.request, served.reply, now);
        }
    }

    /// Applies an endpoint list. `is_remembered` marks the list of the configuration, as opposed to one from the agent.
    fn apply_listing(&mut self, listing: Listing, is_remembered: bool, now: Time) {
        for (entry, _) in &listing.entries {
            debug!(node = %entry.node, group = entry.group, state = ?entry.state, primary = entry.listed_as_primary, "listed");
        }
        let entries = listing
            .entries
            .iter()
            .map(|(entry, _)| entry.clone())
            .collect();
        self.engine
            .update_endpoints(match (is_remembered, listing.is_complete) {
                (true, _) => EndpointUpdate::Restored(entries),
                (false, true) => EndpointUpdate::Full(entries),
                (false, false) => EndpointUpdate::Changes(entries),
            });
        self.upstream
            .update_endpoints(&listing, now, &mut self.engine);
        self.gossip
            .iter_mut()
            .for_each(|gossip| gossip.endpoints_changed(now, &self.engine));
    }

    /// Applies what can change while the router runs. If a file is invalid, nothing changes.
    fn reload(&mut self, now: Time) {
        // Both files are read before either is applied.
        let operator_settings = self
            .operators_file
            .as_ref()
            .map(operators::OperatorsFile::read)
            .transpose();
        let (config, operator_settings) = match (config::reread(), operator_settings) {
            (Ok(config), Ok(operator_settings)) => (config, operator_settings),
            (Err(fault), _) | (_, Err(fault)) => {
                return warn!(
                    reason = "reload",
                    help = fault.help(),
                    "SIGHUP: {fault}; all stays as it was"
                );
            }
        };
        info!(discovery = %config.discovery, "SIGHUP: the configuration was reloaded");
        self.discovery
            .change_agent(config.discovery, now, &mut self.engine);
        if let Some(settings) = operator_settings {
            let zones = settings
                .zone_failover
                .as_ref()
                .map_or(0, |failover| failover.zone_statuses().len());
            self.replace_zone_failover(settings.zone_failover, now);
            for (address, listener_config) in settings.listeners {
                // Connected clients stay; the changes apply to new ones.
                if !self.front.change_listener(&listener_config) {
                    warn!(front = listener_config.name, %address, "SIGHUP: this change of an additional listener needs a restart");
                }
            }
            self.upstream.change_options(settings.connect_options);
            match (&mut self.gossip, settings.gossip) {
                (Some(gossip), Some(gossip_config)) => gossip.reload(gossip_config),
                (None, None) => {}
                _ => warn!(
                    reason = "peers",
                    "SIGHUP: enabling or disabling gossip needs a restart"
                ),
            }
            info!(zones, "SIGHUP: the operators' file was taken over");
        }
    }

    /// Replaces the zone failover. The new one inherits the observations of the old one.
    fn replace_zone_failover(&mut self, mut zone_failover: Option<ZoneFailover>, now: Time) {
        let old = match gossip::observer(&mut self.engine) {
            Some(observer) => observer.locality_policy(),
            None => self.engine.locality_policy(),
        };
        let old = old
            .map(|policy| policy as &mut dyn Any)
            .and_then(<dyn Any>::downcast_mut);
        if let (Some(new), Some(old)) = (&mut zone_failover, old) {
            new.inherit_state(old);
        }
        let policy = zone_failover.map(|policy| Box::new(policy) as Box<dyn LocalityPolicy>);
        match gossip::observer(&mut self.engine) {
            Some(observer) => {
                let observer = observer.with_locality_policy(policy);
                self.engine
                    .replace_locality_policy(now, Some(Box::new(observer)));
            }
            None => self.engine.replace_locality_policy(now, policy),
        }
    }

    fn terminate(&mut self, now: Time) {
        if self.shutdown.is_some() {
            return info!("SIGTERM: once more; the router is already shutting down");
        }
        let schedule = ShutdownSchedule::new(now, self.longest_deadline);
        self.shutdown = Some(schedule);
        info!(
            held = self.engine.pending_requests(),
            "SIGTERM: finishing pending requests"
        );
        self.gossip
            .iter_mut()
            .for_each(|gossip| gossip.start_leaving(now, &mut self.engine));
        self.engine.begin_shutdown(schedule.answer_by);
        let deadlines = &mut self.engine.deadlines;
        deadlines.add(schedule.drain_at, Deadline::Drain);
        deadlines.add(schedule.stop_reading_at, Deadline::StopReading);
    }

    /// Closes the connections whose clients never stop sending.
    fn stop_reading(&mut self, now: Time) {
        info!(
            clients = self.front.client_count(),
            held = self.engine.pending_requests(),
            "SIGTERM: nothing more is read from clients"
        );
        self.front.stop_reading(now, &mut self.engine);
    }

    /// Closes the listeners and the connections between requests.
    fn drain(&mut self, now: Time) {
        let Some(schedule) = self.shutdown else {
            return;
        };
        // Clients do not wait until the handover of leases is complete.
        self.gossip
            .iter_mut()
            .for_each(|gossip| gossip.finish_leaving(now));
        self.front.drain(schedule, now, &mut self.engine);
        info!(
            clients = self.front.client_count(),
            held = self.engine.pending_requests(),
            "SIGTERM: the listeners are closed"
        );
    }
}
