//! The operators' file: a Starlark script of settings that belong to an installation, as opposed to those that the
//! platform writes. It is evaluated when the router starts and again on SIGHUP.

use crate::error::{Error, KeyFault, KeyFaultCause};
use crate::front::{DefaultClass, DefaultLabels, ListenerConfig};
use crate::gossip;
use crate::lease_tasks::{self, LeaseTasksFault};
use crate::upstream::ConnectOptions;
use plovercove::{Access, Settings};
use plovercove_gossip::{Keys, Rules as PeerRules};
use plovercove_locality::{RuleFault, Rules, ZoneFailover};
use plovercove_pgwire::Version;
use plovercove_pgwire::login::Credentials;
use plovercove_pgwire::login_rate_limit;
use plovercove_pgwire::startup::{self, Method};
use plovercove_pgwire::values::{Bytea, DateFormat, ValueFormats};
use plovercove_pgwire::verifier::Users;
use plovercove_starlark_config::Script;
use serde::Deserialize;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The content of the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Zone failover, spillover and the recovery ramp. Without it, the router does not regard zones.
    pub tiers: Option<Rules>,
    /// Additional listeners, for clients that use other protocol versions or send no statement labels.
    pub fronts: Vec<Front>,
    /// The router's login to its db nodes.
    pub servers: Option<Servers>,
    /// Gossip with the other routers. Without it, routers share nothing.
    pub peers: Option<Peers>,
    /// Tasks done by one router for all, under leases. Without it, each router does everything itself.
    pub duties: Option<lease_tasks::LeaseTasksBlock>,
}

/// The `peers` block: gossip with the other routers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The address at which this router receives datagrams.
    pub listen: SocketAddr,
    /// The address at which the other routers reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddr>,
    /// The file with the installation's key; a path relative to the operators' file.
    pub key_file: PathBuf,
    /// The file with a second key that is accepted as well, during a key rotation.
    pub also_key_file: Option<PathBuf>,
    /// The gossip rules.
    pub rules: PeerRules,
}

/// An additional listener.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// The name in the log.
    pub name: String,
    /// Address and port.
    pub listen: SocketAddr,
    /// The supported protocol versions.
    #[serde(default = "default_versions")]
    pub versions: Vec<Version>,
    /// The authentication methods in order of preference.
    pub methods: Vec<Method>,
    /// The file of users and password verifiers; a path relative to the operators' file.
    pub credentials: Option<PathBuf>,
    /// The server version reported to clients.
    #[serde(default = "default_server_version")]
    pub server_version: String,
    /// The time zone reported to clients; the db nodes must use it.
    #[serde(default = "default_time_zone")]
    pub time_zone: String,
    /// The default output format of bytea.
    #[serde(default)]
    pub bytea: Bytea,
    /// The default output format of dates.
    #[serde(default = "default_date_style")]
    pub date_style: String,
    /// The class of read-only statements.
    pub reads: String,
    /// The class of all other statements.
    pub writes: String,
    /// The tenant of statements without labels.
    pub tenant: Option<String>,
    /// The group of statements without labels.
    pub group: u64,
    /// Maximum number of clients.
    #[serde(default = "default_max_clients")]
    pub clients: usize,
    /// Time in seconds after which an idle client is disconnected.
    #[serde(default = "default_idle_s")]
    pub idle_s: u64,
    /// The rate limit on failed logins.
    #[serde(default)]
    pub logins: login_rate_limit::Rules,
}

/// The `servers` block: the router's login to its db nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// The user.
    pub user: String,
    /// The database.
    pub database: String,
    /// The file that contains only the password.
    pub password_file: Option<PathBuf>,
    /// Whether the password may be sent in clear text.
    #[serde(default)]
    pub clear_text: bool,
    /// The newest protocol version that the router requests: "3.0" or "3.2".
    #[serde(default = "default_node_version")]
    pub version: Version,
    /// Whether the router sends cancel requests for statements whose client no longer waits.
    #[serde(default)]
    pub cancel: bool,
}

fn default_versions() -> Vec<Version> {
    vec![Version::V2, Version::V30]
}

fn default_server_version() -> String {
    "15.0".into()
}

fn default_time_zone() -> String {
    "UTC".into()
}

fn default_date_style() -> String {
    "ISO, MDY".into()
}

fn default_max_clients() -> usize {
    200
}

fn default_idle_s() -> u64 {
    300
}

fn default_node_version() -> Version {
    Version::V30
}

/// The settings that one router takes from the operators' file.
pub struct OperatorSettings {
    /// Decides which zones a request may use.
    pub zone_failover: Option<ZoneFailover>,
    /// Additional listeners.
    pub listeners: Vec<(SocketAddr, ListenerConfig)>,
    /// The router's login to its db nodes.
    pub connect_options: ConnectOptions,
    /// Gossip with the other routers, if configured.
    pub gossip: Option<gossip::GossipConfig>,
}

impl OperatorSettings {
    /// Returns the settings of a router without an operators' file.
    pub fn without_file() -> Self {
        OperatorSettings {
            zone_failover: None,
            listeners: Vec::new(),
            connect_options: ConnectOptions::platform(),
            gossip: None,
        }
    }
}

/// Reads a file of secrets, which only its owner may access.
fn read_secret(path: &Path) -> Result<String, KeyFaultCause> {
    let path_text = || path.display().to_string();
    let unreadable = |source| KeyFaultCause::Unreadable {
        path: path_text(),
        source,
    };
    let metadata = std::fs::metadata(path).map_err(unreadable)?;
    if metadata.mode() & 0o077 != 0 {
        return Err(KeyFaultCause::Open(path_text()));
    }
    if metadata.len() > 64 * 1024 * 1024 {
        return Err(KeyFaultCause::TooLong(path_text()));
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

impl Front {
    fn listener_config(
        &self,
        key: &str,
        folder: &Path,
        settings: Option<&Settings>,
    ) -> Result<ListenerConfig, KeyFault> {
        let fail = |name: &str, cause| Err(KeyFault::new(format!("{key}.{name}"), cause));
        if self.versions.is_empty() || self.methods.is_empty() {
            return fail("methods", KeyFaultCause::NoMethod);
        }
        if self.methods.contains(&Method::Trust) && self.methods.len() > 1 {
            return fail("methods", KeyFaultCause::TrustBeside);
        }
        if self.methods != [Method::Trust] && self.credentials.is_none() {
            return fail("credentials", KeyFaultCause::NoUsers);
        }
        if self.clients == 0 || self.idle_s == 0 || self.idle_s > 86_400 {
            return fail("clients", KeyFaultCause::Clients);
        }
        if self.name.is_empty() {
            return fail("name", KeyFaultCause::NoName);
        }
        let limits = self.logins.check();
        limits.map_err(|e| {
            KeyFault::below(
                &format!("{key}.logins"),
                &e.clone(),
                KeyFaultCause::Logins(e),
            )
        })?;
        let Some(dates) = DateFormat::default().with_setting(&self.date_style) else {
            return fail("date_style", KeyFaultCause::Dates);
        };
        let users = match &self.credentials {
            None => Users::default(),
            Some(path) => {
                let path = folder.join(path);
                let users = read_secret(&path).and_then(|text| {
                    let users = Users::parse(&text);
                    users.map_err(|source| KeyFaultCause::Users {
                        path: path.display().to_string(),
                        source,
                    })
                });
                users.map_err(|e| KeyFault::new(format!("{key}.credentials"), e))?
            }
        };
        let class = |name: &str, wanted: &str, writes: bool| {
            let Some(settings) = settings else {
                return Ok(DefaultClass {
                    name: wanted.to_string(),
                    timeout_ms: 1,
                });
            };
            let found = settings.classes.iter().position(|c| c.name == wanted);
            let Some(index) = found else {
                return Err(KeyFault::new(
                    format!("{key}.{name}"),
                    KeyFaultCause::NoClass(wanted.to_string()),
                ));
            };
            let class = &settings.classes[index];
            if writes != (class.access == Access::Write) {
                let does = if writes { "reads" } else { "writes" };
                let class = wanted.to_string();
                return Err(KeyFault::new(
                    format!("{key}.{name}"),
                    KeyFaultCause::ClassDoes { class, does },
                ));
            }
            Ok(DefaultClass {
                name: wanted.to_string(),
                timeout_ms: crate::clock::to_ms(class.deadline),
            })
        };
        let (reads, writes) = (
            class("reads", &self.reads, false)?,
            class("writes", &self.writes, true)?,
        );
        let parameters = [
            ("server_version", &*self.server_version),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", &dates.setting_value()),
            ("TimeZone", &self.time_zone),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
            ("is_superuser", "off"),
        ];
        Ok(ListenerConfig {
            name: self.name.clone(),
            rules: startup::Rules {
                versions: self.versions.clone(),
                methods: self.methods.clone(),
            },
            users,
            login_rate_limit: self.logins.clone(),
            parameters: parameters
                .map(|(name, value)| (name.into(), value.into()))
                .to_vec(),
            formats: ValueFormats {
                bytea: self.bytea,
                dates,
            },
            default_labels: Some(DefaultLabels {
                reads,
                writes,
                tenant: self.tenant.clone(),
                group: self.group,
            }),
            max_clients: self.clients,
            idle_timeout: self.idle_s * 1_000_000,
        })
    }
}

/// Converts a fault of the `duties` block, whose text begins with the key.
fn lease_tasks_fault(fault: LeaseTasksFault) -> KeyFault {
    let text = fault.to_string();
    KeyFault::new(
        text.split_once(": ").map_or("duties", |(key, _)| key),
        KeyFaultCause::Duties(Box::new(fault)),
    )
}

impl Operators {
    /// Reads a file and checks everything that can be checked without a router's configuration.
    ///
    /// # Errors
    /// Names the file, the line and the key.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Ok(Self::load(path)?.0)
    }

    /// Like `read`, and also returns the script, which knows the lines of the keys.
    fn load(path: &Path) -> Result<(Self, Script), Error> {
        let script = Script::read(path)?;
        let operators: Operators = script.deserialize()?;
        let locate = |fault| with_location(&script, fault);
        if let Some(rules) = &operators.tiers {
            rules.check().map_err(zone_failover_fault).map_err(locate)?;
        }
        operators.listeners(path, None).map_err(locate)?;
        operators.connect_options(path).map_err(locate)?;
        operators.gossip(path, None).map_err(locate)?;
        Ok((operators, script))
    }

    fn listeners(
        &self,
        path: &Path,
        settings: Option<&Settings>,
    ) -> Result<Vec<(SocketAddr, ListenerConfig)>, KeyFault> {
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut all: Vec<(SocketAddr, ListenerConfig)> = Vec::new();
        for (index, front) in self.fronts.iter().enumerate() {
            let key = format!("fronts[{index}]");
            if all.iter().any(|(_, other)| other.name == front.name) {
                return Err(KeyFault::new(
                    format!("{key}.name"),
                    KeyFaultCause::NameTwice,
                ));
            }
            all.push((front.listen, front.listener_config(&key, folder, settings)?));
        }
        Ok(all)
    }

    fn connect_options(&self, path: &Path) -> Result<ConnectOptions, KeyFault> {
        let Some(servers) = &self.servers else {
            return Ok(ConnectOptions::platform());
        };
        if servers.version == Version::V2 {
            return Err(KeyFault::new("servers.version", KeyFaultCause::Version));
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = |file: &PathBuf| {
            read_secret(&folder.join(file)).map_err(|e| KeyFault::new("servers.password_file", e))
        };
        let password = servers.password_file.as_ref().map(read).transpose()?;
        let password = password.map(|text| text.trim_end_matches(['\r', '\n']).to_string());
        let (user, database) = (servers.user.clone(), servers.database.clone());
        let credentials = Credentials {
            user,
            database,
            password,
            may_send_clear_text: servers.clear_text,
            version: servers.version,
            skip_authentication: false,
        };
        Ok(ConnectOptions {
            credentials,
            sends_cancels: servers.cancel,
        })
    }

    fn gossip(
        &self,
        path: &Path,
        settings: Option<&Settings>,
    ) -> Result<Option<gossip::GossipConfig>, KeyFault> {
        let Some(peers) = &self.peers else {
            return match &self.duties {
                Some(_) => Err(lease_tasks_fault(LeaseTasksFault::NoPeers)),
                None => Ok(None),
            };
        };
        let mut rules = peers.rules.clone();
        rules.routers = settings.map_or(1, |s| s.router_count);
        #[cfg(feature = "mutations")]
        if let Ok(guard) = std::env::var("PLOVERCOVE_WITHOUT")
            && !guard.contains('/')
        {
            let known = plovercove_gossip::Guard::from_name(&guard);
            rules.disabled_guard = Some(known.ok_or_else(|| {
                KeyFault::new("PLOVERCOVE_WITHOUT", KeyFaultCause::NoGuard(guard))
            })?);
        }
        let checked = rules.check();
        checked.map_err(|e| KeyFault::below("peers.rules", &e.clone(), KeyFaultCause::Peers(e)))?;
        if peers
            .advertise
            .unwrap_or(peers.listen)
            .ip()
            .is_unspecified()
        {
            return Err(KeyFault::new("peers.advertise", KeyFaultCause::Advertise));
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = |key: &str, file: &PathBuf| {
            read_secret(&folder.join(file)).map_err(|e| KeyFault::new(format!("peers.{key}"), e))
        };
        let key = read("key_file", &peers.key_file)?;
        let second_key = peers
            .also_key_file
            .as_ref()
            .map(|file| read("also_key_file", file))
            .transpose()?;
        let bytes = |text: &str| text.trim_end_matches(['\r', '\n']).as_bytes().to_vec();
        let keys = Keys::new(
            &rules.installation,
            &bytes(&key),
            second_key.as_deref().map(bytes).as_deref(),
        );
        let keys = keys.map_err(|e| KeyFault::new("peers.key_file", KeyFaultCause::Peers(e)))?;
        let address = peers.advertise.unwrap_or(peers.listen);
        let lease_tasks = self
            .duties
            .as_ref()
            .map(|block| block.check(folder, address, &rules))
            .transpose();
        let lease_tasks = lease_tasks.map_err(lease_tasks_fault)?;
        Ok(Some(gossip::GossipConfig {
            listen: peers.listen,
            advertise: peers.advertise,
            keys,
            rules,
            lease_tasks,
        }))
    }

    /// Builds the zone failover of a router with these settings. Returns `None` if the file has no `tiers` block.
    ///
    /// # Errors
    /// Names the key; for instance, the router's own zone may be missing in the file.
    pub fn zone_failover(
        &self,
        settings: &Settings,
        seed: u64,
    ) -> Result<Option<ZoneFailover>, KeyFault> {
        let zone_failover = self
            .tiers
            .clone()
            .map(|rules| ZoneFailover::new(rules, settings, seed))
            .transpose();
        zone_failover.map_err(zone_failover_fault)
    }
}

/// Adds the file and the line of the key.
fn with_location(script: &Script, fault: KeyFault) -> Error {
    Error::Operators {
        location: Box::new(script.location(&fault.key)),
        cause: fault.cause,
    }
}

fn zone_failover_fault(fault: RuleFault) -> KeyFault {
    KeyFault::new(
        format!("tiers.{}", fault.key),
        KeyFaultCause::Locality(fault.kind),
    )
}

/// The operators' file of a running router, with what is needed to build its settings.
pub struct OperatorsFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The settings that the platform gives to the router.
    pub settings: Settings,
    /// The seed of the router's random numbers.
    pub seed: u64,
}

impl OperatorsFile {
    /// Reads the file and builds this router's settings. The zone failover starts without observations.
    ///
    /// # Errors
    /// Names the file, the line and the key.
    pub fn read(&self) -> Result<OperatorSettings, Error> {
        let (operators, script) = Operators::load(&self.path)?;
        let locate = |fault| with_location(&script, fault);
        Ok(OperatorSettings {
            zone_failover: operators
                .zone_failover(&self.settings, self.seed)
                .map_err(locate)?,
            listeners: operators
                .listeners(&self.path, Some(&self.settings))
                .map_err(locate)?,
            connect_options: operators.connect_options(&self.path).map_err(locate)?,
            gossip: operators
                .gossip(&self.path, Some(&self.settings))
                .map_err(locate)?,
        })
    }
}

#[cfg(test)]
mod tests;
