//! The operators' file: a Starlark script of settings that belong to an installation and not to the platform. It is
//! evaluated when the router starts, and again on SIGHUP.

use crate::error::{Error, KeyFault, KeyFaultCause};
use crate::front::{DefaultClass, DefaultLabels, ListenerConfig};
use crate::gossip;
use crate::lease_tasks::{self, TermsFault};
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

/// What operators may set.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// Zones, the limit on spill and the way back; none: zones matter as little as without the file.
    pub tiers: Option<Rules>,
    /// Further listeners, for clients that speak other versions or send no labels.
    pub fronts: Vec<Front>,
    /// Who the router is to its db nodes.
    pub servers: Option<Servers>,
    /// The other routers; none: routers share nothing.
    pub peers: Option<Peers>,
    /// What routers do for the fleet; none: each does everything by itself.
    pub duties: Option<lease_tasks::Block>,
}

/// How routers talk with each other.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Where this router takes datagrams.
    pub listen: SocketAddr,
    /// Where the others reach it, if that is another address.
    pub advertise: Option<SocketAddr>,
    /// The file that holds the installation's key, seen from the operators' file.
    pub key_file: PathBuf,
    /// A second key that is taken as well, while the key is being changed.
    pub also_key_file: Option<PathBuf>,
    /// All else.
    pub rules: PeerRules,
}

/// A further listener.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Its name in the log.
    pub name: String,
    /// Address and port.
    pub listen: SocketAddr,
    /// Versions that are spoken.
    #[serde(default = "all_versions")]
    pub versions: Vec<Version>,
    /// Methods that clients may be asked for, best first.
    pub methods: Vec<Method>,
    /// The file of users and verifiers, seen from the operators' file.
    pub credentials: Option<PathBuf>,
    /// The version of the server that clients are told.
    #[serde(default = "server_version")]
    pub server_version: String,
    /// The time zone that clients are told; the servers must have it.
    #[serde(default = "utc")]
    pub time_zone: String,
    /// How bytea is written unless a client sets something else.
    #[serde(default)]
    pub bytea: Bytea,
    /// How dates are written unless a client sets something else.
    #[serde(default = "iso")]
    pub date_style: String,
    /// The class of statements that only read.
    pub reads: String,
    /// The class of all others.
    pub writes: String,
    /// The tenant of statements without labels.
    pub tenant: Option<String>,
    /// Their group.
    pub group: u64,
    /// The most clients.
    #[serde(default = "most_clients")]
    pub clients: usize,
    /// A client that asks for nothing is kept for so many seconds.
    #[serde(default = "idle_s")]
    pub idle_s: u64,
    /// The limit on logins that fail.
    #[serde(default)]
    pub logins: login_rate_limit::Rules,
}

/// Who the router is to its db nodes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Servers {
    /// The user.
    pub user: String,
    /// The database.
    pub database: String,
    /// The file that holds the password and nothing else.
    pub password_file: Option<PathBuf>,
    /// Whether the password may go out in clear text.
    #[serde(default)]
    pub clear_text: bool,
    /// The newest version that is asked for: "3.0" or "3.2".
    #[serde(default = "version_30")]
    pub version: Version,
    /// Whether db nodes are asked to stop what nobody waits for any more.
    #[serde(default)]
    pub cancel: bool,
}

fn all_versions() -> Vec<Version> {
    vec![Version::V2, Version::V30]
}

fn server_version() -> String {
    "15.0".into()
}

fn utc() -> String {
    "UTC".into()
}

fn iso() -> String {
    "ISO, MDY".into()
}

fn most_clients() -> usize {
    200
}

fn idle_s() -> u64 {
    300
}

fn version_30() -> Version {
    Version::V30
}

/// What the operators' file comes to, for one router.
pub struct OperatorSettings {
    /// Which zones a request may use.
    pub zone_failover: Option<ZoneFailover>,
    /// Further listeners.
    pub listeners: Vec<(SocketAddr, ListenerConfig)>,
    /// Who the router is to its db nodes.
    pub connect_options: ConnectOptions,
    /// How it talks with other routers, if it does.
    pub gossip: Option<gossip::GossipConfig>,
}

impl OperatorSettings {
    /// What holds without a file.
    pub fn without_file() -> Self {
        OperatorSettings {
            zone_failover: None,
            listeners: Vec::new(),
            connect_options: ConnectOptions::platform(),
            gossip: None,
        }
    }
}

/// A file of secrets: nobody but its owner may read it.
fn secret(path: &Path) -> Result<String, KeyFaultCause> {
    let shown = || path.display().to_string();
    let unreadable = |source| KeyFaultCause::Unreadable {
        path: shown(),
        source,
    };
    let about = std::fs::metadata(path).map_err(unreadable)?;
    if about.mode() & 0o077 != 0 {
        return Err(KeyFaultCause::Open(shown()));
    }
    if about.len() > 64 * 1024 * 1024 {
        return Err(KeyFaultCause::TooLong(shown()));
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

impl Front {
    fn terms(
        &self,
        key: &str,
        folder: &Path,
        settings: Option<&Settings>,
    ) -> Result<ListenerConfig, KeyFault> {
        let wrong = |name: &str, why| Err(KeyFault::new(format!("{key}.{name}"), why));
        if self.versions.is_empty() || self.methods.is_empty() {
            return wrong("methods", KeyFaultCause::NoMethod);
        }
        if self.methods.contains(&Method::Trust) && self.methods.len() > 1 {
            return wrong("methods", KeyFaultCause::TrustBeside);
        }
        if self.methods != [Method::Trust] && self.credentials.is_none() {
            return wrong("credentials", KeyFaultCause::NoUsers);
        }
        if self.clients == 0 || self.idle_s == 0 || self.idle_s > 86_400 {
            return wrong("clients", KeyFaultCause::Clients);
        }
        if self.name.is_empty() {
            return wrong("name", KeyFaultCause::NoName);
        }
        let limits = self.logins.check();
        limits.map_err(|e| {
            KeyFault::under(
                &format!("{key}.logins"),
                &e.clone(),
                KeyFaultCause::Logins(e),
            )
        })?;
        let Some(dates) = DateFormat::default().with_setting(&self.date_style) else {
            return wrong("date_style", KeyFaultCause::Dates);
        };
        let users = match &self.credentials {
            None => Users::default(),
            Some(path) => {
                let path = folder.join(path);
                let users = secret(&path).and_then(|text| {
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
                    patience_ms: 1,
                });
            };
            let found = settings.classes.iter().position(|c| c.name == wanted);
            let Some(place) = found else {
                return Err(KeyFault::new(
                    format!("{key}.{name}"),
                    KeyFaultCause::NoClass(wanted.to_string()),
                ));
            };
            let class = &settings.classes[place];
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
                patience_ms: crate::clock::to_ms(class.deadline),
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

/// What is wrong with the `duties` block: its text begins with the key.
fn duties(fault: TermsFault) -> KeyFault {
    let text = fault.to_string();
    KeyFault::new(
        text.split_once(": ").map_or("duties", |(key, _)| key),
        KeyFaultCause::Duties(Box::new(fault)),
    )
}

impl Operators {
    /// Reads and checks a file, but for what only a router's own settings can tell.
    ///
    /// # Errors
    /// Names the file, the line and the key at fault.
    pub fn read(path: &Path) -> Result<Self, Error> {
        Ok(Self::load(path)?.0)
    }

    /// The same, with the script that knows the lines of keys.
    fn load(path: &Path) -> Result<(Self, Script), Error> {
        let script = Script::read(path)?;
        let told: Operators = script.typed()?;
        let placed = |e| placed(&script, e);
        if let Some(rules) = &told.tiers {
            rules.check().map_err(of_tiers).map_err(placed)?;
        }
        told.fronts(path, None).map_err(placed)?;
        told.connect_options(path).map_err(placed)?;
        told.peers(path, None).map_err(placed)?;
        Ok((told, script))
    }

    fn fronts(
        &self,
        path: &Path,
        settings: Option<&Settings>,
    ) -> Result<Vec<(SocketAddr, ListenerConfig)>, KeyFault> {
        let folder = path.parent().unwrap_or(Path::new(""));
        let mut all: Vec<(SocketAddr, ListenerConfig)> = Vec::new();
        for (place, front) in self.fronts.iter().enumerate() {
            let key = format!("fronts[{place}]");
            if all.iter().any(|(_, known)| known.name == front.name) {
                return Err(KeyFault::new(
                    format!("{key}.name"),
                    KeyFaultCause::NameTwice,
                ));
            }
            all.push((front.listen, front.terms(&key, folder, settings)?));
        }
        Ok(all)
    }

    fn connect_options(&self, path: &Path) -> Result<ConnectOptions, KeyFault> {
        let Some(told) = &self.servers else {
            return Ok(ConnectOptions::platform());
        };
        if told.version == Version::V2 {
            return Err(KeyFault::new("servers.version", KeyFaultCause::Version));
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = |file: &PathBuf| {
            secret(&folder.join(file)).map_err(|e| KeyFault::new("servers.password_file", e))
        };
        let password = told.password_file.as_ref().map(read).transpose()?;
        let password = password.map(|text| text.trim_end_matches(['\r', '\n']).to_string());
        let (user, database) = (told.user.clone(), told.database.clone());
        let credentials = Credentials {
            user,
            database,
            password,
            may_send_clear_text: told.clear_text,
            version: told.version,
            skip_authentication: false,
        };
        Ok(ConnectOptions {
            credentials,
            cancels: told.cancel,
        })
    }

    fn peers(
        &self,
        path: &Path,
        settings: Option<&Settings>,
    ) -> Result<Option<gossip::GossipConfig>, KeyFault> {
        let Some(told) = &self.peers else {
            return match &self.duties {
                Some(_) => Err(duties(TermsFault::NoPeers)),
                None => Ok(None),
            };
        };
        let mut rules = told.rules.clone();
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
        checked.map_err(|e| KeyFault::under("peers.rules", &e.clone(), KeyFaultCause::Peers(e)))?;
        if told.advertise.unwrap_or(told.listen).ip().is_unspecified() {
            return Err(KeyFault::new("peers.advertise", KeyFaultCause::Advertise));
        }
        let folder = path.parent().unwrap_or(Path::new(""));
        let read = |key: &str, file: &PathBuf| {
            secret(&folder.join(file)).map_err(|e| KeyFault::new(format!("peers.{key}"), e))
        };
        let ours = read("key_file", &told.key_file)?;
        let also = told
            .also_key_file
            .as_ref()
            .map(|file| read("also_key_file", file))
            .transpose()?;
        let bytes = |key: &str| key.trim_end_matches(['\r', '\n']).as_bytes().to_vec();
        let keys = Keys::new(
            &rules.installation,
            &bytes(&ours),
            also.as_deref().map(bytes).as_deref(),
        );
        let keys = keys.map_err(|e| KeyFault::new("peers.key_file", KeyFaultCause::Peers(e)))?;
        let address = told.advertise.unwrap_or(told.listen);
        let duties = self
            .duties
            .as_ref()
            .map(|block| block.terms(folder, address, &rules))
            .transpose();
        let duties = duties.map_err(self::duties)?;
        Ok(Some(gossip::GossipConfig {
            listen: told.listen,
            advertise: told.advertise,
            keys,
            rules,
            lease_tasks: duties,
        }))
    }

    /// The tiers of a router that is told these settings; none where the file sets none.
    ///
    /// # Errors
    /// Names the key at fault: the router's own zone may be none of the file's.
    pub fn tiers(&self, settings: &Settings, seed: u64) -> Result<Option<ZoneFailover>, KeyFault> {
        let tiers = self
            .tiers
            .clone()
            .map(|rules| ZoneFailover::new(rules, settings, seed))
            .transpose();
        tiers.map_err(of_tiers)
    }
}

/// A fault with the line that its key stands on.
fn placed(script: &Script, fault: KeyFault) -> Error {
    Error::Operators {
        place: Box::new(script.place(&fault.key)),
        cause: fault.cause,
    }
}

fn of_tiers(fault: RuleFault) -> KeyFault {
    KeyFault::new(
        format!("tiers.{}", fault.key),
        KeyFaultCause::Locality(fault.kind),
    )
}

/// The operators' file of a router that serves, and what its parts are made with.
pub struct OperatorsFile {
    /// Where it lies.
    pub path: PathBuf,
    /// What the platform tells the router.
    pub settings: Settings,
    /// The seed of its random numbers.
    pub seed: u64,
}

impl OperatorsFile {
    /// Reads the file: what it comes to for this router. Tiers know nothing yet.
    ///
    /// # Errors
    /// Names the file, and the line and the key at fault.
    pub fn read(&self) -> Result<OperatorSettings, Error> {
        let (told, script) = Operators::load(&self.path)?;
        let here = |e| placed(&script, e);
        Ok(OperatorSettings {
            zone_failover: told.tiers(&self.settings, self.seed).map_err(here)?,
            listeners: told
                .fronts(&self.path, Some(&self.settings))
                .map_err(here)?,
            connect_options: told.connect_options(&self.path).map_err(here)?,
            gossip: told.peers(&self.path, Some(&self.settings)).map_err(here)?,
        })
    }
}

#[cfg(test)]
mod tests;
