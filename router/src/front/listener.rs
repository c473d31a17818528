//! Listeners: that of the platform, and those that operators configure for clients with other protocol versions.

use plovercove::Micros;
use plovercove_engine::Key;
use plovercove_pgwire::cancel::CancelKeys;
use plovercove_pgwire::login_rate_limit::{self, LoginRateLimit};
use plovercove_pgwire::startup::Rules;
use plovercove_pgwire::values::ValueFormats;
use plovercove_pgwire::verifier::Users;
use plovercove_poller::Registered;
use std::net::TcpListener;

/// Parameters of the server that the platform's listener reports to its clients.
const PLATFORM_PARAMETERS: [(&str, &str); 3] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
];

/// A class for statements without labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultClass {
    /// The name of the class.
    pub name: String,
    /// Timeout in milliseconds for clients that do not set a statement timeout.
    pub timeout_ms: u64,
}

/// The labels for statements without labels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DefaultLabels {
    /// The class of statements that only read.
    pub reads: DefaultClass,
    /// The class of all other statements.
    pub writes: DefaultClass,
    /// The name of the tenant, if tenants are configured.
    pub tenant: Option<String>,
    /// The group of nodes.
    pub group: u64,
}

impl DefaultLabels {
    /// Returns a statement with these labels in front. `id` is the id of the request; `timeout_ms` is the client's statement
    /// timeout, if it has set one.
    pub fn prepend_labels(
        &self,
        text: &str,
        is_read: bool,
        id: &str,
        timeout_ms: Option<u64>,
    ) -> String {
        let class = if is_read { &self.reads } else { &self.writes };
        let name = &class.name;
        let default_timeout_ms = class.timeout_ms;
        let timeout_ms = timeout_ms
            .map_or(default_timeout_ms, |ms| ms.min(default_timeout_ms))
            .max(1);
        let tenant = self.tenant.as_ref();
        let tenant = tenant.map_or(String::new(), |tenant| format!("t={tenant},"));
        let group = self.group;
        format!("/* id={id},c={name},{tenant}d={timeout_ms},cluster={group} */ {text}")
    }
}

/// The configuration of one listener.
#[derive(Clone, Debug)]
pub struct ListenerConfig {
    /// The name in the log.
    pub name: String,
    /// Protocol versions and authentication methods.
    pub rules: Rules,
    /// The users; empty if clients need not authenticate.
    pub users: Users,
    /// The limits on failed logins.
    pub login_rate_limit: login_rate_limit::Rules,
    /// Parameters that are reported to clients after their login.
    pub parameters: Vec<(String, String)>,
    /// The default formats of values.
    pub formats: ValueFormats,
    /// The labels of statements without labels. If it is `None`, such statements are rejected, as on the platform's listener.
    pub default_labels: Option<DefaultLabels>,
    /// Maximum number of clients.
    pub max_clients: usize,
    /// Time after which a client without requests is closed.
    pub idle_timeout: Micros,
}

impl ListenerConfig {
    /// Returns the configuration of the platform's listener: version 3.0, no authentication, and labels on every statement.
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

/// A listener in operation.
pub(super) struct Listener {
    pub(super) config: ListenerConfig,
    /// The socket, as long as the listener accepts connections.
    pub(super) socket: Option<Registered<TcpListener>>,
    pub(super) login_rate_limit: LoginRateLimit,
    /// The cancel keys of its clients.
    pub(super) cancel_keys: CancelKeys<Key>,
    /// Number of its clients that occupy a slot.
    pub(super) slots_in_use: usize,
}

impl Listener {
    pub(super) fn new(config: ListenerConfig, socket: Registered<TcpListener>) -> Self {
        Listener {
            login_rate_limit: LoginRateLimit::new(config.login_rate_limit.clone()),
            config,
            socket: Some(socket),
            cancel_keys: CancelKeys::new(),
            slots_in_use: 0,
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.slots_in_use < self.config.max_clients
    }

    /// Returns true if clients have to label their statements themselves, as the platform's clients do.
    pub(super) fn wants_labels(&self) -> bool {
        self.config.default_labels.is_none()
    }
}
