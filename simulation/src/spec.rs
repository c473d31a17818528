//! What an experiment describes. Every part has a default, so that scripts name only what matters to them.

use plovercove::{Access, Class, DedupScope, Idempotency, Settings, Tenant};
use plovercove_locality::Rules;
use serde::{Deserialize, Serialize};

/// One zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSpec {
    /// Its name.
    pub name: String,
    /// Its db nodes.
    pub nodes: usize,
    /// Its routers.
    pub routers: usize,
}

/// The db nodes, all of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeSpec {
    /// Cores; as many requests are in work at once.
    pub cores: u32,
    /// Requests that may wait, beyond which they are turned away.
    pub queue: u32,
    /// Connections that one takes.
    pub connections: u32,
    /// Spread of speeds, as a share.
    pub speed_spread: f64,
    /// The share of its capacity with which one starts.
    pub cold_from: f64,
    /// Seconds until it is warm.
    pub cold_s: f64,
    /// Sent more than so many times what it can do ...
    pub fall_factor: f64,
    /// ... for so many seconds, a cold one falls over and stays down.
    pub fall_s: f64,
    /// From so many requests held a core on ...
    pub thrash_at: f64,
    /// ... each further one a core costs this share of its speed.
    pub thrash: f64,
    /// The share of requests that end in an error.
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

/// Replication within groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReplicationSpec {
    /// Members of a group.
    pub members: usize,
    /// Milliseconds in which the log comes to a replica.
    pub ship_ms: f64,
    /// The share of the time for which the applying thread is busy at the load given.
    pub apply_use: f64,
    /// Seconds until a primary that does not answer is given up: least and most.
    pub detect_s: (f64, f64),
    /// Seconds until another takes over after that: least and most.
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
    /// One way within a zone (ms).
    pub same_ms: f64,
    /// One way between zones (ms).
    pub cross_ms: f64,
    /// Pairs of zones that are farther apart: their names and one way between them (ms).
    pub pairs: Vec<(String, String, f64)>,
    /// The share of messages that are lost and come again after 200 ms.
    pub loss: f64,
    /// What opening a connection adds (ms).
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

/// The node list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListSpec {
    /// Seconds until it knows that a process has died: least and most.
    pub notice_s: (f64, f64),
    /// Seconds until it knows that one has started.
    pub add_s: (f64, f64),
    /// Seconds until it knows of a new primary.
    pub role_s: (f64, f64),
    /// Seconds by which routers hear it apart from each other, at the most.
    pub spread_s: f64,
    /// Calls that the service answers in a second, of all routers; 0 for any number. A call that would have to wait for
    /// longer than `call_wait_s` fails, and is made again after a pause that grows.
    #[serde(skip_serializing_if = "is_zero")]
    pub calls_per_s: f64,
    /// How long a call waits in turn (s).
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

/// A tenant: whom a part of the requests belongs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its part of the usual requests, by weight.
    pub share: f64,
    /// Requests a second, over all routers, that are inside its share.
    pub quota_per_s: f64,
    /// Times of its usual requests from one second to another: (from, to, times).
    #[serde(default)]
    pub flood: Vec<(f64, f64, f64)>,
}

impl TenantSpec {
    /// Its weight at this second.
    pub(crate) fn weight_at(&self, second: f64) -> f64 {
        let floods = self.flood.iter().filter(|f| (f.0..f.1).contains(&second));
        self.share * floods.map(|f| f.2).product::<f64>()
    }
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClientSpec {
    /// The work that is asked for, as a share of what all nodes can do.
    pub load: f64,
    /// Times of the usual load from one second to another: (from, to, times).
    pub bursts: Vec<(f64, f64, f64)>,
    /// Tries after the first, at the most.
    pub retries: u32,
    /// Milliseconds between tries.
    pub backoff_ms: f64,
    /// The share of clients that follow the time to come back.
    pub follow: f64,
    /// The least share of the class's deadline that a try is waited for.
    pub patience: f64,
    /// The share of session reads that follow a write of theirs ...
    pub follows_write: f64,
    /// ... by so many milliseconds in the mean.
    pub gap_ms: f64,
    /// The spread of the routers' traffic: the ratio of the busiest to the mean, 1 for all alike.
    pub skew: f64,
    /// How uneven the groups' traffic is: the n-th of them is asked for n to the power of minus this; 0 for all alike.
    #[serde(skip_serializing_if = "is_zero")]
    pub group_skew: f64,
    /// The tenants, if requests belong to any.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantSpec>,
    /// What a request beyond its tenant's share is worth, as a fraction: routers are told.
    #[serde(skip_serializing_if = "is_default_over_share")]
    pub over_share_worth: f64,
}

/// Half of the worth of what is inside: it earns something, and never as much as what it would take the place of.
const DEFAULT_OVER_SHARE_WORTH: f64 = 0.5;

fn is_default_over_share(worth: &f64) -> bool {
    *worth == DEFAULT_OVER_SHARE_WORTH
}

impl ClientSpec {
    /// How many times the usual requests of all tenants come at this second.
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

/// What a class may read.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reads {
    /// Whatever any member has.
    Any,
    /// Data no older than so many milliseconds.
    Bounded(u64),
    /// All that its session wrote.
    Session,
    /// It writes.
    Write,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Its share of the requests.
    pub share: f64,
    /// Its mean work (ms on one core).
    pub work_ms: f64,
    /// The spread of its work, as a coefficient of variation.
    #[serde(default = "one")]
    pub spread: f64,
    /// Wanted within so many milliseconds.
    pub aim_ms: u64,
    /// Given up after so many milliseconds.
    pub deadline_ms: u64,
    /// What one is worth in time.
    pub worth: f64,
    /// The share of that which a late one still earns.
    #[serde(default)]
    pub late: f64,
    /// What it may read.
    pub reads: Reads,
    /// Whether nothing is applied where it runs.
    #[serde(default)]
    pub blocks: bool,
}

fn one() -> f64 {
    1.0
}

/// The mix of a trip database: searches, own bookings, counts, reports and bookings.
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

/// What goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The processes of a share of a zone's nodes die; they start again, cold, at the end.
    ZoneDown {
        /// The zone.
        zone: String,
        /// Which share of its nodes.
        #[serde(default = "one")]
        part: f64,
    },
    /// The nodes of a zone are cut off from everyone, silently; their processes and the list's word go on.
    BlackHole {
        /// The zone.
        zone: String,
        /// Its nodes start again at the end, cold.
        #[serde(default)]
        cold: bool,
    },
    /// What goes from one zone to another is lost, silently; the other way stays open.
    Cut {
        /// From here.
        from: String,
        /// To there.
        to: String,
    },
    /// The list says nothing to the routers of a zone, or of all where none is named.
    ListSilent {
        /// The zone.
        #[serde(default)]
        zone: String,
    },
    /// The routers of a zone are down; their clients go to others.
    RoutersDown {
        /// The zone.
        zone: String,
    },
    /// All routers are restarted one after another.
    Rollout {
        /// Seconds that each is down.
        down_s: f64,
    },
    /// A share of all nodes takes requests in and answers none, or answers this share of them with errors.
    Bad {
        /// Which share.
        part: f64,
        /// The share that ends in errors; none: they are silent.
        #[serde(default)]
        errors: Option<f64>,
    },
    /// A share of all nodes runs so many times slower.
    Slow {
        /// Which share.
        part: f64,
        /// How many times.
        times: f64,
    },
    /// A share of a zone's nodes is drained and handed over; other machines take their places, cold and under new names.
    Replace {
        /// The zone.
        zone: String,
        /// Which share.
        #[serde(default = "one")]
        part: f64,
    },
    /// A share of a zone's nodes is drained, handed over, and taken out; they come back cold.
    Drain {
        /// The zone.
        zone: String,
        /// Which share.
        #[serde(default = "one")]
        part: f64,
    },
}

/// One trouble and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// It begins at this second.
    pub at: f64,
    /// It ends at this second.
    pub until: f64,
    /// What it is.
    pub what: FaultKind,
}

/// How routers treat zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Variant {
    /// Tiers with limits and ramps.
    #[default]
    #[serde(rename = "tiers")]
    ZoneFailover,
    /// As without tiers: crossing a zone is a small cost.
    Flat,
    /// Home first, others where home has no room; no limit and no ramp.
    Strict,
}

/// An experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// How many seconds clients ask.
    pub seconds: f64,
    /// The zones.
    pub zones: Vec<ZoneSpec>,
    /// The nodes.
    #[serde(default)]
    pub node: NodeSpec,
    /// The groups.
    #[serde(default)]
    pub replication: ReplicationSpec,
    /// The network.
    #[serde(default)]
    pub net: NetSpec,
    /// The node list.
    #[serde(default)]
    pub list: ListSpec,
    /// The clients.
    #[serde(default)]
    pub clients: ClientSpec,
    /// The classes of requests.
    #[serde(default = "default_classes")]
    pub classes: Vec<ClassSpec>,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What is counted apart, from one second to another: the loss and the return.
    #[serde(default)]
    pub window: Option<(f64, f64)>,
    /// How routers treat zones.
    #[serde(default)]
    pub variant: Variant,
    /// Rules for tiers; where left out, one tier of all other zones and the usual limits.
    #[serde(default)]
    pub tiers: Option<Rules>,
    /// Routers talk with each other; none: they share nothing.
    #[serde(default)]
    pub peers: Option<PeerSpec>,
}

/// Talk between routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PeerSpec {
    /// The rules of the operators' file.
    pub rules: plovercove_gossip::Rules,
    /// The share of datagrams that is lost.
    pub loss: f64,
}

/// What is wrong with an experiment: the key and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpecError(pub String);

impl std::fmt::Display for SpecError {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(&self.0)
    }
}

impl std::error::Error for SpecError {}

impl Spec {
    /// Checks what the types alone do not.
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

    /// Mean work of a request (s on one core).
    pub fn mean_work_s(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        self.classes
            .iter()
            .map(|c| c.share / shares * c.work_ms / 1e3)
            .sum()
    }

    /// First tries a second, of all clients.
    pub fn request_rate(&self) -> f64 {
        let nodes: usize = self.zones.iter().map(|z| z.nodes).sum();
        self.clients.load * nodes as f64 * f64::from(self.node.cores) / self.mean_work_s()
    }

    /// The share of requests that write.
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

    /// How many groups there are; nodes left over belong to the last ones.
    pub fn group_count(&self) -> usize {
        let nodes: usize = self.zones.iter().map(|z| z.nodes).sum();
        (nodes / self.replication.members).max(1)
    }

    /// The rules of tiers that hold for it.
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

    /// What one router is told at its start.
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
            // Routers are told bounds, not what the nodes have.
            slow_start_min_share: self.node.cold_from * 0.75,
            slow_start_duration: (self.node.cold_s * 1.4e6) as u64,
            overload_factor: self.node.fall_factor,
            overload_duration: (self.node.fall_s * 1e6) as u64,
            ..Settings::default()
        }
    }
}

/// Where each node stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Zone, group and member of each node, by number.
    pub placements: Vec<(usize, usize, usize)>,
    /// The nodes of each group.
    pub groups: Vec<Vec<usize>>,
    /// The member of each group that begins as its primary.
    pub primaries: Vec<usize>,
}

/// Deals the nodes out to groups, so that the members of each are spread over the zones.
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
        // The zone that has dealt the least share of its nodes so far goes next.
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
