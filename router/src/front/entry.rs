//! The ways in: the platform's listener, and those that operators name for clients of other versions.

use crate::clock;
use plovercove::Time;
use plovercove_engine::Key;
use plovercove_pgwire::cancel::Keys;
use plovercove_pgwire::login_rate_limit::{self, LoginRateLimit};
use plovercove_pgwire::startup::Rules;
use plovercove_pgwire::values::Forms;
use plovercove_pgwire::verifier::Users;
use plovercove_poller::Registered;
use std::net::TcpListener;

/// What requests without labels are taken for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defaults {
    /// The class of what only reads, by place in the settings, and its name.
    pub reads: (usize, String),
    /// The class of all else.
    pub writes: (usize, String),
    /// The tenant's name, where there are tenants.
    pub tenant: Option<String>,
    /// The group.
    pub group: u64,
    /// How long a client waits that says nothing of it (ms), for reads and for writes.
    pub patience_ms: (u64, u64),
}

/// One way in, as operators or the platform describe it.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Its name in the log.
    pub name: String,
    /// Versions and methods.
    pub rules: Rules,
    /// The users, where they must prove who they are.
    pub users: Users,
    /// The limit on logins that fail.
    pub throttle: login_rate_limit::Rules,
    /// What clients are told at their start.
    pub parameters: Vec<(String, String)>,
    /// The forms of values, unless a client sets others.
    pub forms: Forms,
    /// What requests without labels are taken for; none: they are refused, and so is all that is not the platform's.
    pub defaults: Option<Defaults>,
    /// The most clients.
    pub most: usize,
    /// A client that asks for nothing is kept for so long.
    pub idle: Time,
}

impl Terms {
    /// The platform's: version 3.0, everyone is welcome, and every statement has labels.
    pub fn platform(most: usize, idle: Time) -> Self {
        let told = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
        ];
        Terms {
            name: "platform".into(),
            rules: Rules::open(),
            users: Users::default(),
            throttle: login_rate_limit::Rules::default(),
            parameters: told
                .map(|(name, value)| (name.into(), value.into()))
                .to_vec(),
            forms: Forms::default(),
            defaults: None,
            most,
            idle,
        }
    }
}

/// One way in, in service.
pub struct Entry {
    /// Its terms.
    pub terms: Terms,
    /// Its listener, while it takes clients in.
    pub listener: Option<Registered<TcpListener>>,
    /// The limit on logins.
    pub throttle: LoginRateLimit,
    /// The cancel keys of its clients.
    pub keys: Keys<Key>,
    /// How many of its clients hold a place.
    pub clients: usize,
}

impl Entry {
    /// A way in on this listener.
    pub fn new(terms: Terms, listener: Registered<TcpListener>) -> Self {
        let throttle = LoginRateLimit::new(terms.throttle.clone());
        Entry {
            terms,
            listener: Some(listener),
            throttle,
            keys: Keys::new(),
            clients: 0,
        }
    }
}

/// A statement without labels gets them: its id is the router's own, and the rest is what the way in says.
pub fn labelled(
    text: &str,
    defaults: &Defaults,
    reads: bool,
    id: &str,
    patience_ms: Option<u64>,
) -> String {
    let ((_, class), usual) = match reads {
        true => (&defaults.reads, defaults.patience_ms.0),
        false => (&defaults.writes, defaults.patience_ms.1),
    };
    let tenant = defaults
        .tenant
        .as_ref()
        .map_or(String::new(), |t| format!("t={t},"));
    let patience = patience_ms.map_or(usual, |ms| ms.min(usual)).max(1);
    format!(
        "/* id={id},c={class},{tenant}d={patience},cluster={} */ {text}",
        defaults.group
    )
}

/// Milliseconds of a span, at least one.
pub fn ms(span: Time) -> u64 {
    clock::to_ms(span).max(1)
}
