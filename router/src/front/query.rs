//! Answers a query itself if no node is needed, and hands it to the engine otherwise.

use super::Context;
use super::client::{Client, ForwardedRequest, Pending};
use super::memory_pressure::MEMORY_SPENT_TEXT;
use super::request_ids::{IdFault, RememberedId};
use crate::clock;
use crate::net::budget::Reservation;
use crate::statement_labels::{self, Labels, Statement};
use plovercove::{Access, Class, Idempotency, Micros, RequestInfo, Time};
use plovercove_engine::{Engine, Key};
use plovercove_pgwire::messages::{self, code};
use plovercove_pgwire::reply::Shape;
use plovercove_pgwire::statement::{self, Kind};
use plovercove_pgwire::{SqlError, excerpt};
use std::rc::Rc;
use tracing::debug;

/// Maximum timeout that a client may set, as a multiple of the deadline of its class; a higher one is rejected.
pub(super) const MAX_TIMEOUT_DEADLINES: u64 = 4;

/// Error text for a request whose id cannot be remembered.
const IDS_SPENT_TEXT: &str = "too many requests came that must not run twice";

/// Commands that drivers send without the application's request. On a listener without default labels the router answers
/// them itself, without any effect; they would have none at the nodes either.
const COMMANDS_WITHOUT_EFFECT: [&str; 3] = ["SET", "RESET", "DISCARD"];

/// Why a query is not handed to the engine.
enum QueryError {
    /// The client violated the protocol; too many such errors in a row end its session.
    ByClient(SqlError),
    /// The router cannot accept the request, which is sound as far as it was checked; this does not count against the client.
    ByRouter(SqlError),
}

impl QueryError {
    fn by_client(code: &'static str, text: impl Into<String>) -> Self {
        QueryError::ByClient(SqlError::new(code, text))
    }

    fn by_router(code: &'static str, text: impl Into<String>) -> Self {
        QueryError::ByRouter(SqlError::new(code, text))
    }
}

impl Client {
    /// Processes a query: answers it, or hands it to the engine.
    pub(super) fn handle_query(
        &mut self,
        context: &mut Context,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) {
        let wants_labels = context.listeners[self.listener].wants_labels();
        let has_labels =
            || text.trim_start().starts_with("/*") && statement_labels::read_labels(text).is_ok();
        if !wants_labels && !has_labels() {
            if let Some(text) = self.answer_or_label(context, text) {
                self.forward_or_reply_error(context, key, &text, now, engine);
            }
            return;
        }
        let statement = text.trim().trim_end_matches(';');
        if statement.is_empty() {
            return self.queue_reply(&context.budget, |out| {
                messages::put(out, b'I', |_| {});
                messages::put_ready(out);
            });
        }
        let command = statement.split_whitespace().next().unwrap_or("");
        let command = command.to_ascii_uppercase();
        if COMMANDS_WITHOUT_EFFECT.contains(&command.as_str()) {
            return self.queue_reply(&context.budget, |out| {
                messages::put_complete(out, &command);
                messages::put_ready(out);
            });
        }
        self.forward_or_reply_error(context, key, text, now, engine);
    }

    /// Handles a query without labels. Returns the query with the listener's default labels in front, or `None` if the query
    /// has been answered here.
    fn answer_or_label(&mut self, context: &mut Context, text: &str) -> Option<String> {
        let kind = statement::classify(text);
        let encoder = self.encoder();
        let budget = &context.budget;
        match kind {
            Kind::Empty => self.queue_reply(budget, |out| {
                encoder.put_empty_query_response(out);
                encoder.put_ready(out);
            }),
            Kind::Setting(name, value) => match self.session.set(&name, value.as_deref()) {
                Ok(changed) => self.queue_reply(budget, |out| {
                    encoder.put_complete(if value.is_some() { "SET" } else { "RESET" }, out);
                    if let Some((name, value)) = changed {
                        encoder.put_status(name, &value, out);
                    }
                    encoder.put_ready(out);
                }),
                Err(error) => self.reply_error(budget, error.code, &error.text),
            },
            Kind::NeedsSession(what) => {
                let text = format!(
                    "{what} needs a session of its own with one server, which this listener does not give"
                );
                self.reply_error(budget, code::FEATURE_NOT_SUPPORTED, &text);
            }
            Kind::TooManyWords => {
                let text = "the statement has too many words";
                self.reply_error(&context.budget, code::STATEMENT_TOO_COMPLEX, text);
            }
            Kind::Read | Kind::Write => {
                let id = context.id_generator.next();
                let listener = &context.listeners[self.listener];
                let labels = listener.config.default_labels.as_ref()?;
                let is_read = kind == Kind::Read;
                return Some(labels.prepend_labels(text, is_read, &id, self.session.timeout_ms));
            }
        }
        None
    }

    /// Hands a query with labels to the engine, or replies with an error.
    fn forward_or_reply_error(
        &mut self,
        context: &mut Context,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) {
        match self.forward(context, key, text, now, engine) {
            Ok(forwarded) => {
                self.note_sound_request();
                self.pending.push_back(Pending {
                    request: Some(forwarded),
                    answer: None,
                });
            }
            Err(QueryError::ByClient(error)) => {
                log_rejection(key, &error);
                self.reply_protocol_error(&context.budget, error.code, &error.text);
            }
            Err(QueryError::ByRouter(error)) => {
                log_rejection(key, &error);
                self.note_sound_request();
                self.reply_error(&context.budget, error.code, &error.text);
            }
        }
    }

    fn note_sound_request(&mut self) {
        self.has_requested = true;
        self.protocol_errors = 0;
    }

    /// Hands a query with labels to the engine.
    fn forward(
        &self,
        context: &mut Context,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) -> Result<ForwardedRequest, QueryError> {
        let labels = statement_labels::read_labels(text)
            .map_err(|error| QueryError::by_client(code::PROTOCOL_VIOLATION, error.to_string()))?;
        let Some(class) = context.names.class(labels.class) else {
            let text = format!("class {:?} does not exist", excerpt(labels.class));
            return Err(QueryError::by_client(code::UNDEFINED_OBJECT, text));
        };
        let class_rules = &engine.classes()[class];
        let time_left = check_timeout(&labels, class_rules)?;
        let tenant = check_tenant(context, &labels)?;
        // The list may not have arrived yet, or not name the group for a while.
        if !engine.knows_group(labels.group) {
            let text = format!("no db node of group {} is known", labels.group);
            return Err(QueryError::by_router(code::CANNOT_CONNECT_NOW, text));
        }
        let reservation = self.reserve_statement(context, text)?;
        let id = remember_id(context, labels.id, class_rules.idempotency, now)?;
        let access = class_rules.access;
        let wants_labels = context.listeners[self.listener].wants_labels();
        let has_session = matches!(access, Access::Write | Access::OwnWrites);
        let info = RequestInfo {
            class,
            tenant,
            session: labels.quoted_key.filter(|_| has_session).map(Into::into),
            time_left,
            group: labels.group,
            last_write_age: self.last_write_age(&labels, access, wants_labels, now),
            is_retry: labels.is_retry,
            ..RequestInfo::default()
        };
        let shape = if wants_labels {
            Shape::OneValue
        } else {
            Shape::Any
        };
        let statement = Statement::new(text, &labels, shape);
        let request = engine.begin_request(key, info);
        debug!(
            client = key.number(),
            request = request.number(),
            id = labels.id,
            "request accepted"
        );
        Ok(ForwardedRequest {
            statement: Rc::new(statement.with_reservation(reservation)),
            is_write: access == Access::Write,
            id,
            request,
        })
    }

    /// Reserves the memory of a statement, unless requests of the client are refused.
    fn reserve_statement(&self, context: &Context, text: &str) -> Result<Reservation, QueryError> {
        let may_reserve = !self.refuses_requests();
        let reservation = may_reserve.then(|| context.budget.reserve(text.len()));
        reservation
            .flatten()
            .ok_or_else(|| QueryError::by_router(code::TOO_MANY_CONNECTIONS, MEMORY_SPENT_TEXT))
    }

    /// Returns the time since the session's last write, as the position in the labels states it. A client without labels sends
    /// no position; for its reads of its own writes, it is the time since this router answered the client's last write.
    fn last_write_age(
        &self,
        labels: &Labels<'_>,
        access: Access,
        wants_labels: bool,
        now: Time,
    ) -> Option<Micros> {
        let label_position = labels.min_position_ms.filter(|at| *at > 0);
        if let Some(at_ms) = label_position {
            return Some(clock::age(now, clock::from_ms(at_ms)));
        }
        let reads_own_writes = !wants_labels && access == Access::OwnWrites;
        let last_write_at = self.last_write_at.filter(|_| reads_own_writes)?;
        Some(now.saturating_sub(last_write_at))
    }
}

fn log_rejection(key: Key, error: &SqlError) {
    debug!(
        client = key.number(),
        code = error.code,
        reason = error.text,
        "query rejected before it became a request"
    );
}

/// Remembers the id of a request, or returns an error if it has been used of late or cannot be remembered.
fn remember_id(
    context: &mut Context,
    id: &str,
    idempotency: Idempotency,
    now: Time,
) -> Result<RememberedId, QueryError> {
    let inserted = context.recent_ids.insert(id, idempotency, now);
    inserted.map_err(|fault| match fault {
        IdFault::Repeated => {
            let text = format!("id: {id} is another request's");
            QueryError::by_client(code::PROTOCOL_VIOLATION, text)
        }
        IdFault::Full => QueryError::by_router(code::TOO_MANY_CONNECTIONS, IDS_SPENT_TEXT),
    })
}

/// Returns the timeout that the client has set, or an error if it is zero or too long.
fn check_timeout(labels: &Labels<'_>, class: &Class) -> Result<Micros, QueryError> {
    let timeout = clock::from_ms(labels.timeout_ms);
    let max_timeout = class.deadline.saturating_mul(MAX_TIMEOUT_DEADLINES);
    if timeout == 0 || timeout > max_timeout {
        let text = format!("d: nobody waits for {} ms", labels.timeout_ms);
        return Err(QueryError::by_client(code::PROTOCOL_VIOLATION, text));
    }
    Ok(timeout)
}

/// Returns the number of the tenant that the labels name, or an error if it does not exist.
fn check_tenant(context: &Context, labels: &Labels<'_>) -> Result<Option<usize>, QueryError> {
    let Some(name) = labels.tenant else {
        return Ok(None);
    };
    match context.names.tenant(name) {
        Some(number) => Ok(Some(number)),
        None => {
            let text = format!("tenant {:?} does not exist", excerpt(name));
            Err(QueryError::by_client(code::UNDEFINED_OBJECT, text))
        }
    }
}
