//! The description of an experiment. Every section has defaults, so that a script names only what it changes.
//!
//! Fields have the names of the keys in experiment scripts.

use plovercove::{Access, Class, DedupScope, Idempotency, Settings, Tenant};
use plovercove_locality::Rules;
use serde::{Deserialize, Serialize};

/// A zone and the number of its nodes and routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Its name.
    pub name: String,
    /// Number of database nodes.
    pub nodes: usize,
    /// Number of routers.
    pub routers: usize,
}

/// The model of a database node. All nodes of an experiment are of the same kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSpec {
    /// Number of cores, which is also the number of requests that run concurrently.
    pub cores: u32,
    /// Maximum number of queued requests. The node rejects further requests.
    pub queue: u32,
    /// Maximum number of connections that a node accepts.
    pub connections: u32,
    /// Standard deviation of the nodes' speeds, as a share of the mean speed.
    pub speed_spread: f64,
    /// Share of its full capacity that a node has immediately after a start.
    pub cold_from: f64,
    /// Seconds from a start until the node has its full capacity.
    pub cold_s: f64,
    /// A cold node crashes if it receives more than this multiple of its current capacity ...
    pub fall_factor: f64,
    /// ... within a window of this length in seconds. It does not come back during the run.
    pub fall_s: f64,
    /// Requests per core (running and queued) above which the node thrashes: ...
    pub thrash_at: f64,
    /// ... each further request per core slows the node down by this share.
    pub thrash: f64,
    /// Share of requests that end in an error.
    pub errors: f64,
}

impl Default for NodeSpec {
    fn default() -> Self {
        NodeSpec {
            cores: 5,
            queue: 100,
            connections: 800,
            speed_spread: 0.1,
            cold_from: 0.2,
            cold_s: 12.0,
            fall_factor: 4.0,
            fall_s: 2.0,
            thrash_at: 5.0,
            thrash: 0.1,
            errors: 0.0005,
        }
    }
}

/// Replication within the groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicationSpec {
    /// Number of members of a group.
    pub members: usize,
    /// Delay (ms) until a log record reaches a replica.
    pub ship_ms: f64,
    /// Share of the time for which a replica's apply thread is busy at the configured load.
    pub apply_use: f64,
    /// Minimum and maximum time (s) until a primary that does not answer is considered lost.
    pub detect_s: (f64, f64),
    /// Minimum and maximum time (s) from then until another member is primary.
    pub elect_s: (f64, f64),
}

impl Default for ReplicationSpec {
    fn default() -> Self {
        ReplicationSpec {
            members: 6,
            ship_ms: 5.0,
            apply_use: 0.3,
            detect_s: (1.0, 3.0),
            elect_s: (1.2, 3.5),
        }
    }
}

/// The network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NetSpec {
    /// One-way delay within a zone (ms).
    pub same_ms: f64,
    /// One-way delay between zones (ms).
    pub cross_ms: f64,
    /// Pairs of zones with a different one-way delay: both names and the delay (ms).
    pub pairs: Vec<(String, String, f64)>,
    /// Share of messages that are lost and retransmitted after 200 ms.
    pub loss: f64,
    /// Additional time for opening a connection (ms).
    pub handshake_ms: f64,
}

impl Default for NetSpec {
    fn default() -> Self {
        NetSpec {
            same_ms: 0.2,
            cross_ms: 0.8,
            pairs: Vec::new(),
            loss: 0.0,
            handshake_ms: 5.0,
        }
    }
}

/// The service that publishes the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListSpec {
    /// Minimum and maximum time (s) until the list shows that a process has died.
    pub notice_s: (f64, f64),
    /// Minimum and maximum time (s) until the list shows that a process has started.
    pub add_s: (f64, f64),
    /// Minimum and maximum time (s) until the list shows a new primary.
    pub role_s: (f64, f64),
    /// Maximum difference (s) between the times at which two routers receive the same change.
    pub spread_s: f64,
    /// Calls per second that the service answers for all routers together; 0 means no limit. A call that would wait for
    /// longer than `call_wait_s` fails, and the router retries it with an exponential backoff.
    #[serde(skip_serializing_if = "is_zero")]
    pub calls_per_s: f64,
    /// Maximum time (s) for which a call is queued at the service.
    #[serde(skip_serializing_if = "is_zero")]
    pub call_wait_s: f64,
}

fn is_zero(figure: &f64) -> bool {
    *figure == 0.0
}

impl Default for ListSpec {
    fn default() -> Self {
        ListSpec {
            notice_s: (0.7, 4.2),
            add_s: (0.9, 2.2),
            role_s: (2.1, 4.3),
            spread_s: 0.3,
            calls_per_s: 0.0,
            call_wait_s: 0.0,
        }
    }
}

/// A tenant and its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Weight of its requests among the requests of all tenants.
    pub share: f64,
    /// Quota: requests per second, over all routers.
    pub quota_per_s: f64,
    /// Periods with a higher request rate: (start second, end second, multiple of the usual rate).
    #[serde(default)]
    pub flood: Vec<(f64, f64, f64)>,
}

impl TenantSpec {
    /// Returns the weight of its requests at this second, including floods.
    pub(crate) fn weight_at(&self, second: f64) -> f64 {
        let floods = self.flood.iter().filter(|f| (f.0..f.1).contains(&second));
        self.share * floods.map(|f| f.2).product::<f64>()
    }
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// Offered work as a share of the capacity of all nodes.
    pub load: f64,
    /// Periods with a higher load: (start second, end second, multiple of the usual load).
    pub bursts: Vec<(f64, f64, f64)>,
    /// Maximum number of retries by the client.
    pub retries: u32,
    /// Mean backoff between a client's tries (ms).
    pub backoff_ms: f64,
    /// Share of clients that follow the retry-after time of a rejection.
    pub follow: f64,
    /// Minimum share of the class's deadline for which a client waits for one try.
    pub patience: f64,
    /// Share of session reads that follow a write of the same session ...
    pub follows_write: f64,
    /// ... after this mean time (ms).
    pub gap_ms: f64,
    /// Weight of the traffic of every fifth router relative to the other routers; 1 means equal traffic.
    pub skew: f64,
    /// Zipf exponent of the groups' traffic: the n-th group has the weight n^-skew; 0 means equal traffic.
    #[serde(skip_serializing_if = "is_zero")]
    pub group_skew: f64,
    /// The tenants. Without tenants, requests belong to no tenant.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantSpec>,
    /// Priority weight of a request over its tenant's quota, as a share of its usual weight. Routers have this setting.
    #[serde(skip_serializing_if = "is_default_over_share")]
    pub over_share_worth: f64,
}

/// Half the weight of a request within the quota: serving it is worth something, but less than a request within a quota
/// that it would displace.
const DEFAULT_OVER_SHARE_WORTH: f64 = 0.5;

fn is_default_over_share(worth: &f64) -> bool {
    *worth == DEFAULT_OVER_SHARE_WORTH
}

impl ClientSpec {
    /// Returns the request rate of all tenants at this second as a multiple of the usual rate.
    pub(crate) fn tenant_rate_factor(&self, second: f64) -> f64 {
        let usual: f64 = self.tenants.iter().map(|t| t.share).sum();
        if usual > 0.0 {
            self.tenants
                .iter()
                .map(|t| t.weight_at(second))
                .sum::<f64>()
                / usual
        } else {
            1.0
        }
    }
}

impl Default for ClientSpec {
    fn default() -> Self {
        ClientSpec {
            load: 0.7,
            bursts: Vec::new(),
            retries: 2,
            backoff_ms: 50.0,
            follow: 0.6,
            patience: 0.4,
            follows_write: 0.65,
            gap_ms: 400.0,
            skew: 1.0,
            group_skew: 0.0,
            tenants: Vec::new(),
            over_share_worth: DEFAULT_OVER_SHARE_WORTH,
        }
    }
}

/// The data that the reads of a class require.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// Data of any age.
    Any,
    /// Data not older than this number of milliseconds.
    Bounded(u64),
    /// Data that includes all writes of the same session.
    Session,
    /// Requests of this class are writes.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Share of the requests, as a weight.
    pub share: f64,
    /// Mean work of a request (ms on one core).
    pub work_ms: f64,
    /// Coefficient of variation of the work.
    #[serde(default = "one")]
    pub spread: f64,
    /// Latency objective (ms).
    pub aim_ms: u64,
    /// Deadline (ms).
    pub deadline_ms: u64,
    /// Priority weight of a request that is answered within the latency objective.
    pub worth: f64,
    /// Share of this weight that counts if the answer is late.
    #[serde(default)]
    pub late: f64,
    /// The data that its requests require.
    pub reads: Reads,
    /// Whether a replica applies no log records while it runs such a request.
    #[serde(default)]
    pub blocks: bool,
}

fn one() -> f64 {
    1.0
}

/// Returns the default classes, those of a travel booking database: searches, a user's own bookings, seat counts,
/// reports and writes of bookings.
pub fn default_classes() -> Vec<ClassSpec> {
    let class = |name: &str, share, work_ms, aim_ms, deadline_ms, worth, late, reads| ClassSpec {
        name: name.to_string(),
        share,
        work_ms,
        spread: 1.0,
        aim_ms,
        deadline_ms,
        worth,
        late,
        reads,
        blocks: name == "month-report",
    };
    vec![
        class(
            "trip-search",
            0.32,
            58.0,
            300,
            750,
            1.0,
            0.0,
            Reads::Bounded(3_000),
        ),
        class(
            "my-booking",
            0.28,
            85.0,
            400,
            1_000,
            1.0,
            0.0,
            Reads::Session,
        ),
        class("seat-count", 0.198, 58.0, 300, 1_200, 2.0, 0.2, Reads::Any),
        class(
            "month-report",
            0.022,
            580.0,
            3_000,
            6_000,
            6.0,
            0.0,
            Reads::Any,
        ),
        class("book-seat", 0.18, 58.0, 400, 5_000, 3.0, 0.7, Reads::Write),
    ]
}

/// A kind of injected fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The processes of a share of a zone's nodes die. They restart cold at the end of the fault.
    ZoneDown {
        /// The zone.
        zone: String,
        /// Share of the zone's nodes.
        #[serde(default = "one")]
        part: f64,
    },
    /// All messages between a zone's nodes and the routers are lost, and the nodes receive no log records. The processes
    /// keep running and stay listed.
    BlackHole {
        /// The zone.
        zone: String,
        /// Whether the nodes restart cold at the end of the fault.
        #[serde(default)]
        cold: bool,
    },
    /// Messages from one zone to another are lost. The opposite direction works.
    Cut {
        /// The zone of the senders.
        from: String,
        /// The zone of the receivers.
        to: String,
    },
    /// The routers of a zone receive no changes of the endpoint list; an empty name means all zones.
    ListSilent {
        /// The zone.
        #[serde(default)]
        zone: String,
    },
    /// The routers of a zone are down. Their clients use other routers.
    RoutersDown {
        /// The zone.
        zone: String,
    },
    /// All routers restart one after another.
    Rollout {
        /// Seconds for which each router is down.
        down_s: f64,
    },
    /// A share of all nodes accepts requests and does not answer, or answers some of them with errors.
    Bad {
        /// Which share.
        part: f64,
        /// Share of the answers that are errors. Without it, the nodes do not answer.
        #[serde(default)]
        errors: Option<f64>,
    },
    /// A share of all nodes runs slower.
    Slow {
        /// Which share.
        part: f64,
        /// Factor by which their requests take longer.
        times: f64,
    },
    /// A share of a zone's nodes is drained, with a handover of their primaries. At the end other nodes replace them, cold
    /// and with new names.
    Replace {
        /// The zone.
        zone: String,
        /// Which share.
        #[serde(default = "one")]
        part: f64,
    },
    /// A share of a zone's nodes is drained, with a handover of their primaries. At the end the nodes restart cold.
    Drain {
        /// The zone.
        zone: String,
        /// Which share.
        #[serde(default = "one")]
        part: f64,
    },
}

/// An injected fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Second of its start.
    pub at: f64,
    /// Second of its end.
    pub until: f64,
    /// Kind of fault.
    pub what: FaultKind,
}

/// How routers choose between zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// Zone failover by tiers, with spill limits and recovery ramps.
    #[default]
    #[serde(rename = "tiers")]
    ZoneFailover,
    /// No locality policy: the engine only counts a small cost for another zone.
    Flat,
    /// The router's own zone first, other zones if it has no capacity left. No limit and no ramp.
    Strict,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// Seconds for which clients send requests.
    pub seconds: f64,
    /// The zones.
    pub zones: Vec<ZoneSpec>,
    /// The nodes.
    #[serde(default)]
    pub node: NodeSpec,
    /// Replication within the groups.
    #[serde(default)]
    pub replication: ReplicationSpec,
    /// The network.
    #[serde(default)]
    pub net: NetSpec,
    /// The endpoint list.
    #[serde(default)]
    pub list: ListSpec,
    /// The clients.
    #[serde(default)]
    pub clients: ClientSpec,
    /// The classes of requests.
    #[serde(default = "default_classes")]
    pub classes: Vec<ClassSpec>,
    /// The injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// First and last second of a period that is also reported separately, usually from a zone's loss to its recovery.
    #[serde(default)]
    pub window: Option<(f64, f64)>,
    /// How routers choose between zones.
    #[serde(default)]
    pub variant: Variant,
    /// Rules of zone failover. The default is one tier with all other zones, and a spill limit of 0.5.
    #[serde(default)]
    pub tiers: Option<Rules>,
    /// Gossip between routers. Without it, routers exchange nothing.
    #[serde(default)]
    pub peers: Option<PeerSpec>,
}

/// Gossip between routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSpec {
    /// The gossip rules, as in the operators' file.
    pub rules: plovercove_gossip::Rules,
    /// Share of datagrams that are lost.
    pub loss: f64,
}

/// An invalid experiment. The text names the key and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError(pub String);

impl std::fmt::Display for SpecError {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(&self.0)
    }
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Checks the ranges of values and the names of zones.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self) -> Result<(), SpecError> {
        let fault = |text: String| Err(SpecError(text));
        let nodes: usize = self.zones.iter().map(|z| z.nodes).sum();
        let routers: usize = self.zones.iter().map(|z| z.routers).sum();
        if !(self.seconds > 0.0 && self.seconds <= 3_600.0) {
            return fault("seconds: expected more than 0, up to 3600".into());
        }
        if !(1..=20_000).contains(&nodes) || !(1..=5_000).contains(&routers) {
            return fault("zones: expected 1 to 20000 nodes and 1 to 5000 routers in all".into());
        }
        if self.replication.members == 0 || self.replication.members > nodes {
            return fault("replication.members: expected 1 to the number of nodes".into());
        }
        if self.node.cores == 0 || !(self.node.cold_from > 0.0 && self.node.cold_from <= 1.0) {
            return fault("node: expected cores and a cold_from over 0, to 1".into());
        }
        if !(self.node.cold_s > 0.0 && (0.0..0.9).contains(&self.node.speed_spread)) {
            return fault("node: expected cold_s over 0 and speed_spread under 0.9".into());
        }
        if !(self.clients.load > 0.0 && self.clients.load < 10.0) {
            return fault("clients.load: expected more than 0 and less than 10".into());
        }
        let tenant =
            |t: &TenantSpec| t.share > 0.0 && t.flood.iter().all(|f| f.2 > 0.0 && f.2 <= 100.0);
        if !self.clients.tenants.iter().all(tenant) {
            return fault(
                "clients.tenants: expected a share over 0 and floods of over 0 to 100 times".into(),
            );
        }
        if !(0.0..=1.0).contains(&self.clients.over_share_worth) {
            return fault("clients.over_share_worth: expected 0 to 1".into());
        }
        if !(0.0..=4.0).contains(&self.clients.group_skew) {
            return fault("clients.group_skew: expected 0 to 4".into());
        }
        if !(self.list.calls_per_s >= 0.0 && self.list.call_wait_s >= 0.0) {
            return fault("list: expected calls_per_s and call_wait_s of 0 or more".into());
        }
        if self
            .clients
            .bursts
            .iter()
            .any(|b| !(b.2 > 0.0 && b.2 <= 20.0))
        {
            return fault("clients.bursts: expected times over 0, up to 20".into());
        }
        let positive =
            |c: &ClassSpec| c.share > 0.0 && c.work_ms > 0.0 && c.spread > 0.0 && c.aim_ms > 0;
        if let Some(bad) = self
            .classes
            .iter()
            .find(|c| !positive(c) || c.deadline_ms < c.aim_ms)
        {
            return fault(format!(
                "classes: {:?} needs a share, work, spread, an aim and a later deadline",
                bad.name
            ));
        }
        if self.classes.is_empty() {
            return fault("classes: expected one or more".into());
        }
        let known = |name: &String| self.zones.iter().any(|z| &z.name == name);
        for (place, scheduled) in self.faults.iter().enumerate() {
            let zones: Vec<&String> = match &scheduled.what {
                FaultKind::ZoneDown { zone, .. }
                | FaultKind::BlackHole { zone, .. }
                | FaultKind::RoutersDown { zone }
                | FaultKind::Replace { zone, .. }
                | FaultKind::Drain { zone, .. } => vec![zone],
                FaultKind::Cut { from, to } => vec![from, to],
                FaultKind::ListSilent { zone } if !zone.is_empty() => vec![zone],
                _ => Vec::new(),
            };
            if let Some(zone) = zones.into_iter().find(|z| !known(z)) {
                return fault(format!("faults[{place}]: there is no zone {zone:?}"));
            }
            if !(scheduled.at >= 0.0 && scheduled.until >= scheduled.at) {
                return fault(format!("faults[{place}]: expected 0 <= at <= until"));
            }
        }
        if let Some(rules) = &self.tiers {
            rules.check().map_err(|e| SpecError(format!("tiers.{e}")))?;
        }
        Ok(())
    }

    /// Returns the mean work of a request (s on one core).
    pub fn mean_work_s(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes
            .iter()
            .map(|c| c.share / shares * c.work_ms / 1e3)
            .sum()
    }

    /// Returns the rate of new requests per second of all clients.
    pub fn request_rate(&self) -> f64 {
        let nodes: usize = self.zones.iter().map(|z| z.nodes).sum();
        self.clients.load * nodes as f64 * f64::from(self.node.cores) / self.mean_work_s()
    }

    /// Returns the share of requests that are writes.
    pub fn write_share(&self) -> f64 {
        let share = |c: &&ClassSpec| c.reads == Reads::Write;
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes
            .iter()
            .filter(share)
            .map(|c| c.share)
            .sum::<f64>()
            / all
    }

    /// Returns the number of groups. Nodes that are left over belong to the last group.
    pub fn group_count(&self) -> usize {
        let nodes: usize = self.zones.iter().map(|z| z.nodes).sum();
        (nodes / self.replication.members).max(1)
    }

    /// Returns the rules of zone failover: those of the experiment, or the default.
    pub fn locality_rules(&self) -> Rules {
        self.tiers.clone().unwrap_or_else(|| {
            let zone = |z: &ZoneSpec| plovercove_locality::Zone {
                name: z.name.clone(),
                routers: z.routers as u32,
                preferred_tiers: Vec::new(),
            };
            let cores = [("std".to_string(), f64::from(self.node.cores))];
            Rules {
                home: String::new(),
                zones: self.zones.iter().map(zone).collect(),
                max_spill_share: 0.5,
                capacity_by_machine_kind: cores.into(),
                ramp: Default::default(),
                flap: Default::default(),
            }
        })
    }

    /// Returns the settings of a router.
    pub fn router_settings(&self, index: usize, zone: &str) -> Settings {
        let class = |c: &ClassSpec| Class {
            name: c.name.clone(),
            access: match c.reads {
                Reads::Any => Access::Any,
                Reads::Bounded(ms) => Access::Bounded(ms * 1_000),
                Reads::Session => Access::OwnWrites,
                Reads::Write => Access::Write,
            },
            latency_objective: c.aim_ms * 1_000,
            objective_per_cost: 0.0,
            deadline: c.deadline_ms * 1_000,
            priority_weight: c.worth,
            late_weight_share: c.late,
            idempotency: if c.reads == Reads::Write {
                Idempotency::AtMostOnce
            } else {
                Idempotency::Idempotent
            },
            dedup_scope: DedupScope::Group,
            dedup_window: 0,
            stream: false,
        };
        let tenant = |t: &TenantSpec| Tenant {
            name: t.name.clone(),
            quota_per_s: t.quota_per_s,
        };
        Settings {
            router_index: index as u32,
            router_count: self.zones.iter().map(|z| z.routers as u32).sum(),
            zone: zone.to_string(),
            classes: self.classes.iter().map(class).collect(),
            tenants: self.clients.tenants.iter().map(tenant).collect(),
            over_quota_weight: self.clients.over_share_worth,
            replica_check: plovercove::ReplicaCheck::None,
            reports: plovercove::ReportSource::HealthChecks,
            health_checks_allowed: true,
            cancel_allowed: true,
            hedging_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 500_000,
            max_attempts: 6,
            connection_idle: 30_000_000,
            tick: 5_000,
            answer_grace: 50_000,
            // Routers know only conservative bounds of the nodes' warm-up, not its exact figures.
            slow_start_min_share: self.node.cold_from * 0.75,
            slow_start_duration: (self.node.cold_s * 1.4e6) as u64,
            overload_factor: self.node.fall_factor,
            overload_duration: (self.node.fall_s * 1e6) as u64,
            ..Settings::default()
        }
    }
}

/// The assignment of nodes to zones and groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Zone, group and member number of each node, by node number.
    pub placements: Vec<(usize, usize, usize)>,
    /// Node numbers of each group's members.
    pub groups: Vec<Vec<usize>>,
    /// Member number of each group's first primary.
    pub primaries: Vec<usize>,
}

/// Assigns nodes to groups so that the members of each group are spread over the zones.
pub fn layout(spec: &Spec) -> Layout {
    let zones = spec.zones.iter().enumerate();
    let zone_of: Vec<usize> = zones
        .flat_map(|(z, zone)| std::iter::repeat_n(z, zone.nodes))
        .collect();
    let first: Vec<usize> = spec
        .zones
        .iter()
        .scan(0, |sum, zone| {
            *sum += zone.nodes;
            Some(*sum - zone.nodes)
        })
        .collect();
    let mut dealt = vec![0; spec.zones.len()];
    let mut layout = Layout {
        placements: vec![(0, 0, 0); zone_of.len()],
        groups: vec![Vec::new(); spec.group_count()],
        primaries: Vec::new(),
    };
    for turn in 0..zone_of.len() {
        // The next node comes from the zone of whose nodes the smallest share has been assigned.
        let open = (0..dealt.len()).filter(|z| dealt[*z] < spec.zones[*z].nodes);
        let share = |z: &usize| (dealt[*z] as f64 + 0.5) / spec.zones[*z].nodes as f64;
        let Some(zone) = open.min_by(|a, b| share(a).total_cmp(&share(b))) else {
            break;
        };
        let node = first[zone] + dealt[zone];
        dealt[zone] += 1;
        let group = (turn / spec.replication.members).min(layout.groups.len() - 1);
        layout.placements[node] = (zone, group, layout.groups[group].len());
        layout.groups[group].push(node);
    }
    layout.primaries = layout
        .groups
        .iter()
        .enumerate()
        .map(|(g, members)| g % members.len())
        .collect();
    layout
}
