//! Listeners: the platform's, and those that operators name for clients of other versions.

use plovercove::Micros;
use plovercove_engine::Key;
use plovercove_pgwire::cancel::CancelKeys;
use plovercove_pgwire::login_rate_limit::{self, LoginRateLimit};
use plovercove_pgwire::startup::Rules;
use plovercove_pgwire::values::ValueFormats;
use plovercove_pgwire::verifier::Users;
use plovercove_poller::Registered;
use std::net::TcpListener;

/// What the platform's listener tells its clients of the server.
const PLATFORM_PARAMETERS: [(&str, &str); 3] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
];

/// The class of statements that come without labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultClass {
    /// Its name.
    pub name: String,
    /// How long a client waits that says nothing of it (ms).
    pub patience_ms: u64,
}

/// The labels of requests that come without any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultLabels {
    /// The class of what only reads.
    pub reads: DefaultClass,
    /// The class of all else.
    pub writes: DefaultClass,
    /// The tenant's name, where there are tenants.
    pub tenant: Option<String>,
    /// The group.
    pub group: u64,
}

impl DefaultLabels {
    /// A statement with these labels in front. `id` is the request's own; `patience_ms` what the client has set, if it has.
    pub fn label(&self, text: &str, reads: bool, id: &str, patience_ms: Option<u64>) -> String {
        let class = if reads { &self.reads } else { &self.writes };
        let name = &class.name;
        let usual = class.patience_ms;
        let patience = patience_ms.map_or(usual, |ms| ms.min(usual)).max(1);
        let tenant = self.tenant.as_ref();
        let tenant = tenant.map_or(String::new(), |tenant| format!("t={tenant},"));
        let group = self.group;
        format!("/* id={id},c={name},{tenant}d={patience},cluster={group} */ {text}")
    }
}

/// One listener, as operators or the platform describe it.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// Its name in the log.
    pub name: String,
    /// Versions and methods.
    pub rules: Rules,
    /// The users, where they must prove who they are.
    pub users: Users,
    /// The limit on logins that fail.
    pub login_rate_limit: login_rate_limit::Rules,
    /// What clients are told at their start.
    pub parameters: Vec<(String, String)>,
    /// The forms of values, unless a client sets others.
    pub formats: ValueFormats,
    /// The labels of requests without any; none: they are rejected, as on the platform's listener.
    pub default_labels: Option<DefaultLabels>,
    /// The most clients.
    pub max_clients: usize,
    /// A client that asks for nothing is kept for so long.
    pub idle_timeout: Micros,
}

impl ListenerConfig {
    /// The platform's: version 3.0, everyone is welcome, and every statement has labels.
    pub fn platform(max_clients: usize, idle_timeout: Micros) -> Self {
        let owned = |(name, value): (&str, &str)| (name.to_string(), value.to_string());
        ListenerConfig {
            name: "platform".into(),
            rules: Rules::trust_everyone(),
            users: Users::default(),
            login_rate_limit: login_rate_limit::Rules::default(),
            parameters: PLATFORM_PARAMETERS.map(owned).to_vec(),
            formats: ValueFormats::default(),
            default_labels: None,
            max_clients,
            idle_timeout,
        }
    }
}

/// One listener in service.
pub(super) struct Listener {
    pub(super) config: ListenerConfig,
    /// Its socket, while it takes clients in.
    pub(super) socket: Option<Registered<TcpListener>>,
    pub(super) login_rate_limit: LoginRateLimit,
    /// The cancel keys of its clients.
    pub(super) cancel_keys: CancelKeys<Key>,
    /// How many of its clients hold a place.
    pub(super) placed_clients: usize,
}

impl Listener {
    pub(super) fn new(config: ListenerConfig, socket: Registered<TcpListener>) -> Self {
        Listener {
            login_rate_limit: LoginRateLimit::new(config.login_rate_limit.clone()),
            config,
            socket: Some(socket),
            cancel_keys: CancelKeys::new(),
            placed_clients: 0,
        }
    }

    pub(super) fn has_place(&self) -> bool {
        self.placed_clients < self.config.max_clients
    }

    /// Whether its clients label their statements themselves, as the platform's do.
    pub(super) fn wants_labels(&self) -> bool {
        self.config.default_labels.is_none()
    }
}
