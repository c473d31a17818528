//! Login of the router at a server.

use crate::Version;
use crate::messages::{
    self, CANCEL_REQUEST, Fields, Malformed, Message, auth, put, put_packet, put_text,
};
use postgres_protocol::authentication::md5_hash;
use postgres_protocol::authentication::sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256};
use std::fmt;

/// The router's credentials at its servers.
#[derive(Clone, PartialEq, Eq)]
pub struct Credentials {
    /// The user.
    pub user: String,
    /// The database.
    pub database: String,
    /// The password, if one is configured.
    pub password: Option<String>,
    /// Whether the password may be sent in clear text.
    pub may_send_clear_text: bool,
    /// The newest protocol version, which the router requests.
    pub version: Version,
    /// Whether the router ignores what a server sends during the login, because every server accepts it, as on the
    /// platform. Then corrupted login messages do no harm to the connection.
    pub skip_authentication: bool,
}

/// Prints the credentials without the password.
impl fmt::Debug for Credentials {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} at {} over {}",
            self.user,
            self.database,
            self.version.name()
        )
    }
}

/// The reason why a login fails.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum LoginError {
    /// The server rejected the login with this SQLSTATE.
    #[error("the server refused the login with {0}")]
    Server(String),
    /// The router and the server have no authentication method in common; the text names the methods of both.
    #[error("{0}")]
    CannotMeet(String),
    /// The server sent a message that the protocol does not allow here.
    #[error("the server does not log in as the protocol says")]
    Malformed,
}

impl LoginError {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            LoginError::Server(_) => {
                "look the code up in the server's own log: user, database, password_file and pg_hba.conf are the usual causes"
            }
            LoginError::CannotMeet(_) => {
                "change servers in the operators' file, or pg_hba.conf of the server, so that both have a method in common"
            }
            LoginError::Malformed => {
                "see whether a PostgreSQL server listens at the node's address; if one does, send in its version and what it sent"
            }
        }
    }
}

impl From<Malformed> for LoginError {
    fn from(_: Malformed) -> Self {
        LoginError::Malformed
    }
}

/// State of the authentication.
enum Authentication {
    /// The server has not requested anything yet.
    NotRequested,
    /// The password has been sent, in clear text or as MD5 hash.
    PasswordSent,
    /// A SCRAM exchange is in progress.
    Scram(Box<ScramSha256>),
    /// The SCRAM exchange has ended, and the server has proved that it knows the verifier.
    ServerVerified,
    /// The server has accepted the login.
    Accepted,
}

/// A login in progress.
pub struct Login {
    state: Authentication,
    /// Process id and secret that a cancel request for this connection has to contain.
    cancel_key: Option<(u32, Vec<u8>)>,
    version: Version,
}

impl Login {
    /// Starts a login: appends the startup packet.
    pub fn start(credentials: &Credentials, out: &mut Vec<u8>) -> Self {
        put_packet(out, |out| {
            out.extend_from_slice(&credentials.version.protocol_number().to_be_bytes());
            for text in [
                "user",
                &credentials.user,
                "database",
                &credentials.database,
                "",
            ] {
                put_text(out, text.as_bytes());
            }
        });
        Login {
            state: Authentication::NotRequested,
            cancel_key: None,
            version: credentials.version,
        }
    }

    /// Returns the negotiated protocol version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the process id and secret for cancel requests, if the server has sent them.
    pub fn cancel_key(&self) -> Option<&(u32, Vec<u8>)> {
        self.cancel_key.as_ref()
    }

    /// Reads one message of the server and appends what has to be sent in reply. Returns true once the server is ready for
    /// a query.
    ///
    /// # Errors
    /// Returns the reason why the login has failed; the connection has to be closed.
    pub fn read_message(
        &mut self,
        credentials: &Credentials,
        message: &Message<'_>,
        out: &mut Vec<u8>,
    ) -> Result<bool, LoginError> {
        let mut fields = Fields(message.body);
        match message.kind {
            b'R' | b'K' | b'v' | b'S' if credentials.skip_authentication => {
                self.state = Authentication::Accepted
            }
            b'R' => self.read_authentication_request(credentials, fields.uint32()?, fields, out)?,
            b'v' => {
                let minor = fields.uint32()? & 0xffff;
                let version = if minor >= 2 {
                    Version::V32
                } else {
                    Version::V30
                };
                if version > self.version {
                    return Err(LoginError::Malformed);
                }
                self.version = version;
            }
            b'K' => {
                let id = fields.uint32()?;
                let max_secret_bytes = if self.version >= Version::V32 { 256 } else { 4 };
                if !(4..=max_secret_bytes).contains(&fields.0.len()) {
                    return Err(LoginError::Malformed);
                }
                self.cancel_key = Some((id, fields.0.to_vec()));
            }
            b'S' => drop(messages::parse_status(message.body)?),
            b'N' => {}
            b'E' => {
                return Err(LoginError::Server(
                    messages::parse_error_code(message.body)
                        .ok_or(Malformed)?
                        .to_string(),
                ));
            }
            b'Z' if (credentials.skip_authentication
                || matches!(self.state, Authentication::Accepted))
                && message.body == b"I" =>
            {
                return Ok(true);
            }
            _ => return Err(LoginError::Malformed),
        }
        Ok(false)
    }

    fn read_authentication_request(
        &mut self,
        credentials: &Credentials,
        method_code: u32,
        mut fields: Fields<'_>,
        out: &mut Vec<u8>,
    ) -> Result<(), LoginError> {
        let password = || {
            let no_password = || {
                LoginError::CannotMeet(
                    "the server asks for a password, and the operators' file names none".into(),
                )
            };
            credentials.password.as_deref().ok_or_else(no_password)
        };
        let put_password_message =
            |out: &mut Vec<u8>, text: &[u8]| put(out, b'p', |out| put_text(out, text));
        match (
            method_code,
            std::mem::replace(&mut self.state, Authentication::NotRequested),
        ) {
            // A server that has started SCRAM must complete it. Otherwise an impostor could skip its own proof by simply
            // accepting the login, and would receive the router's statements.
            (
                auth::OK,
                Authentication::NotRequested
                | Authentication::PasswordSent
                | Authentication::ServerVerified,
            ) => self.state = Authentication::Accepted,
            (auth::CLEARTEXT_PASSWORD, Authentication::NotRequested)
                if !credentials.may_send_clear_text =>
            {
                let text = "the server asks for the password in clear text, and the operators' file does not allow it";
                return Err(LoginError::CannotMeet(text.into()));
            }
            (auth::CLEARTEXT_PASSWORD, Authentication::NotRequested) => {
                put_password_message(out, password()?.as_bytes());
                self.state = Authentication::PasswordSent;
            }
            (auth::MD5_PASSWORD, Authentication::NotRequested) => {
                let salt = fields.take(4)?.try_into().map_err(|_| Malformed)?;
                put_password_message(
                    out,
                    md5_hash(credentials.user.as_bytes(), password()?.as_bytes(), salt).as_bytes(),
                );
                self.state = Authentication::PasswordSent;
            }
            (auth::SASL, Authentication::NotRequested) => {
                let mut methods = Vec::new();
                loop {
                    match fields.utf8()? {
                        "" => break,
                        method => methods.push(method),
                    }
                }
                if !methods.contains(&SCRAM_SHA_256) {
                    let text = format!(
                        "the server takes {}, and the router {SCRAM_SHA_256}",
                        methods.join(" and ")
                    );
                    return Err(LoginError::CannotMeet(text));
                }
                let scram = ScramSha256::new(password()?.as_bytes(), ChannelBinding::unsupported());
                put(out, b'p', |out| {
                    put_text(out, SCRAM_SHA_256.as_bytes());
                    out.extend_from_slice(&(scram.message().len() as u32).to_be_bytes());
                    out.extend_from_slice(scram.message());
                });
                self.state = Authentication::Scram(Box::new(scram));
            }
            (auth::SASL_CONTINUE, Authentication::Scram(mut scram)) => {
                scram.update(fields.0).map_err(|_| Malformed)?;
                put(out, b'p', |out| out.extend_from_slice(scram.message()));
                self.state = Authentication::Scram(scram);
            }
            (auth::SASL_FINAL, Authentication::Scram(mut scram)) => {
                scram.finish(fields.0).map_err(|_| Malformed)?;
                self.state = Authentication::ServerVerified;
            }
            (auth::KERBEROS_V5 | auth::GSS | auth::SSPI, Authentication::NotRequested) => {
                let name = [
                    (auth::KERBEROS_V5, "Kerberos"),
                    (auth::GSS, "GSSAPI"),
                    (auth::SSPI, "SSPI"),
                ]
                .iter()
                .find(|(code, _)| *code == method_code);
                let name = name.map_or("", |(_, name)| name);
                let text = format!(
                    "the server takes {name}, and the router trust, password, md5 and {SCRAM_SHA_256}"
                );
                return Err(LoginError::CannotMeet(text));
            }
            _ => return Err(LoginError::Malformed),
        }
        Ok(())
    }
}

/// Appends a CancelRequest, which asks a server to cancel the running statement of a connection.
pub fn put_cancel(out: &mut Vec<u8>, (id, secret): &(u32, Vec<u8>)) {
    put_packet(out, |out| {
        out.extend_from_slice(&CANCEL_REQUEST.to_be_bytes());
        out.extend_from_slice(&id.to_be_bytes());
        out.extend_from_slice(secret);
    });
}
