//! The login of a client, from the first packet to the greeting.

use super::client::{Client, Phase, TOO_MANY_CONNECTIONS_TEXT};
use super::{Context, random_bytes};
use crate::clock;
use plovercove::Time;
use plovercove_engine::Key;
use plovercove_pgwire::SqlError;
use plovercove_pgwire::messages::code;
use plovercove_pgwire::startup::{Method, Startup, Step};
use tracing::warn;

/// Maximum number of bytes that a client may send during the authentication.
const MAX_LOGIN_BYTES: usize = 16 * 1024;

impl Client {
    /// Processes one message of the startup or the authentication. Returns false if no message is complete.
    pub(super) fn advance_login(&mut self, context: &mut Context, key: Key, now: Time) -> bool {
        let Some(mut startup) = self.startup.take() else {
            return false;
        };
        let mut reply = Vec::new();
        let read = self.read_login_message(context, &mut startup, &mut reply);
        self.version = startup.version();
        let step = match read {
            Ok(None) => {
                self.startup = Some(startup);
                return false;
            }
            Ok(Some(Step::UserNamed)) => {
                self.begin_authentication(context, &mut startup, now, &mut reply)
            }
            Ok(Some(step)) => Ok(step),
            Err(error) => Err(error),
        };
        if !reply.is_empty() {
            self.queue_reply(&context.budget, |out| out.append(&mut reply));
        }
        match step {
            Ok(Step::Continue | Step::UserNamed) => self.startup = Some(startup),
            Ok(Step::Cancel(key)) => self.request_cancel(context, key),
            Ok(Step::LoggedIn) => self.begin_session(context, key, &startup, now),
            Err(error) => self.fail_login(context, &startup, &error, now),
        }
        true
    }

    /// Reads one message of the startup or the authentication. Returns `None` if it is not complete yet.
    fn read_login_message(
        &mut self,
        context: &Context,
        startup: &mut Startup,
        reply: &mut Vec<u8>,
    ) -> Result<Option<Step>, SqlError> {
        let bytes = self.stream.unread();
        if startup.has_read_first_packet() && bytes.len() > MAX_LOGIN_BYTES {
            return Err(SqlError::new(
                code::PROTOCOL_VIOLATION,
                "too much came before the login",
            ));
        }
        // Only the authentication needs a nonce, and random bytes are expensive.
        let nonce = if startup.has_read_first_packet() {
            random_nonce()
        } else {
            String::new()
        };
        let rules = &context.listeners[self.listener].config.rules;
        let Some((length, step)) = startup.read_message(rules, bytes, &nonce, reply)? else {
            return Ok(None);
        };
        self.stream.consume(length);
        Ok(Some(step))
    }

    /// Starts the authentication of a client that has named its user, unless no slot is free or too many logins have failed.
    fn begin_authentication(
        &self,
        context: &Context,
        startup: &mut Startup,
        now: Time,
        reply: &mut Vec<u8>,
    ) -> Result<Step, SqlError> {
        if self.phase == Phase::Rejecting {
            return Err(SqlError::new(
                code::TOO_MANY_CONNECTIONS,
                TOO_MANY_CONNECTIONS_TEXT,
            ));
        }
        let listener = &context.listeners[self.listener];
        let limit = &listener.login_rate_limit;
        if let Err(remaining) = limit.check(now, self.address, startup.user()) {
            let wait_ms = clock::to_ms(remaining).max(1);
            let text = format!("too many logins failed; try again after {wait_ms} ms");
            return Err(SqlError::new(code::TOO_MANY_CONNECTIONS, text));
        }
        let rules = &listener.config.rules;
        let verifier = listener.config.users.get(startup.user()).cloned();
        let salt = if rules.methods.contains(&Method::Md5) {
            random_bytes()
        } else {
            [0; 4]
        };
        startup.begin_authentication(rules, verifier.as_ref(), &context.secret, salt, reply)
    }

    /// Starts the session of a client that is logged in: applies the settings of its startup packet and sends the greeting.
    /// The greeting contains a cancel key; without one, the client could stop a query only by closing the connection.
    fn begin_session(&mut self, context: &mut Context, key: Key, startup: &Startup, now: Time) {
        self.phase = Phase::Ready;
        let listener = &mut context.listeners[self.listener];
        let mut parameters = listener.config.parameters.clone();
        let cancel_key = listener
            .cancel_keys
            .issue(key, self.version, random_bytes());
        self.cancel_id = Some(cancel_key.id);
        if !listener.wants_labels() {
            let limit = &mut listener.login_rate_limit;
            limit.record_success(now, self.address, startup.user());
            self.has_requested = true;
            parameters.push(("session_authorization".into(), startup.user().into()));
            for (name, value) in startup.parameters() {
                match self.session.set(name, Some(value)) {
                    Ok(None) => {}
                    Ok(Some((name, value))) => {
                        parameters.retain(|(known, _)| known != name);
                        parameters.push((name.into(), value));
                    }
                    Err(error) => {
                        return self.end_session(&context.budget, error.code, &error.text);
                    }
                }
            }
        }
        let encoder = self.encoder();
        self.queue_reply(&context.budget, |out| {
            encoder.put_greeting(&parameters, Some(&cancel_key), out);
        });
    }

    fn fail_login(
        &mut self,
        context: &mut Context,
        startup: &Startup,
        error: &SqlError,
        now: Time,
    ) {
        if Startup::is_wrong_password(error) {
            let limit = &mut context.listeners[self.listener].login_rate_limit;
            limit.record_failure(now, self.address, startup.user());
            warn!(
                user = startup.user(),
                from = %self.address,
                reason = "login failed",
                "a client's login failed"
            );
        }
        self.end_session(&context.budget, error.code, &error.text);
    }
}

/// Returns a random nonce: 16 random bytes in hex digits.
fn random_nonce() -> String {
    random_bytes::<16>()
        .map(|byte| format!("{byte:02x}"))
        .concat()
}
