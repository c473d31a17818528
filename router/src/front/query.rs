//! One query: answered here where no node is needed, and handed to the engine otherwise.

use super::Context;
use super::client::{Client, ForwardedRequest, Pending};
use crate::clock;
use crate::statement_labels::{self, Labels, Statement};
use plovercove::{Access, Class, Micros, RequestInfo, Time};
use plovercove_engine::{Engine, Key};
use plovercove_pgwire::SqlError;
use plovercove_pgwire::messages::{self, code};
use plovercove_pgwire::reply::Shape;
use plovercove_pgwire::statement::{self, Kind};
use std::rc::Rc;

/// A patience of more than so many times the class's deadline is no patience.
pub(super) const MAX_PATIENCE_DEADLINES: u64 = 4;

/// What drivers send on their own has no effect here, as at the nodes.
const COMMANDS_WITHOUT_EFFECT: [&str; 3] = ["SET", "RESET", "DISCARD"];

/// Why a query goes nowhere.
enum Objection {
    /// The client has broken the protocol; many of these in a row end its session.
    OfClient(SqlError),
    /// Nothing is said against the client.
    OfRouter(SqlError),
}

impl Objection {
    fn of_client(code: &'static str, text: impl Into<String>) -> Self {
        Objection::OfClient(SqlError::new(code, text))
    }
}

impl Client {
    pub(super) fn query(
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
                self.forward_or_object(context, key, &text, now, engine);
            }
            return;
        }
        let bare = text.trim().trim_end_matches(';');
        if bare.is_empty() {
            return self.queue_reply(&context.budget, |out| {
                messages::put(out, b'I', |_| {});
                messages::put_ready(out);
            });
        }
        let command = bare.split_whitespace().next().unwrap_or("");
        let command = command.to_ascii_uppercase();
        if COMMANDS_WITHOUT_EFFECT.contains(&command.as_str()) {
            return self.queue_reply(&context.budget, |out| {
                messages::put_complete(out, &command);
                messages::put_ready(out);
            });
        }
        self.forward_or_object(context, key, text, now, engine);
    }

    /// A query of a client without labels: what it needs, and then the text with labels in front. None where it has been
    /// answered here.
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
                Err(fault) => self.reply_error(budget, fault.code, &fault.text),
            },
            Kind::NeedsSession(what) => {
                let text = format!(
                    "{what} needs a session of its own with one server, which this listener does not give"
                );
                self.reply_error(budget, code::FEATURE_NOT_SUPPORTED, &text);
            }
            Kind::Read | Kind::Write => {
                let id = context.id_generator.next();
                let listener = &context.listeners[self.listener];
                let labels = listener.config.default_labels.as_ref()?;
                let reads = kind == Kind::Read;
                return Some(labels.label(text, reads, &id, self.session.timeout_ms));
            }
        }
        None
    }

    fn forward_or_object(
        &mut self,
        context: &mut Context,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) {
        match self.forward(context, key, text, now, engine) {
            Ok(forwarded) => {
                self.has_requested = true;
                self.protocol_errors = 0;
                self.pending.push_back(Pending {
                    request: Some(forwarded),
                    answer: None,
                });
            }
            Err(Objection::OfClient(fault)) => {
                self.reply_protocol_error(&context.budget, fault.code, &fault.text);
            }
            Err(Objection::OfRouter(fault)) => {
                self.reply_error(&context.budget, fault.code, &fault.text);
            }
        }
    }

    /// Hands a query with labels to the engine.
    fn forward(
        &self,
        context: &mut Context,
        key: Key,
        text: &str,
        now: Time,
        engine: &mut Engine,
    ) -> Result<ForwardedRequest, Objection> {
        let labels = statement_labels::read_labels(text)
            .map_err(|fault| Objection::of_client(code::PROTOCOL_VIOLATION, fault.to_string()))?;
        let Some(class) = context.names.class(labels.class) else {
            let text = format!("class {:?} does not exist", labels.class);
            return Err(Objection::of_client(code::UNDEFINED_OBJECT, text));
        };
        if !engine.knows_group(labels.group) {
            let text = format!("no db node of group {} is known", labels.group);
            return Err(Objection::of_client(code::CANNOT_CONNECT_NOW, text));
        }
        let class_rules = &engine.classes()[class];
        let time_left = checked_patience(&labels, class_rules)?;
        let tenant = checked_tenant(context, &labels)?;
        let Some(reservation) = context.budget.reserve(text.len()) else {
            let text = "too many statements are waiting";
            return Err(Objection::OfRouter(SqlError::new(
                code::TOO_MANY_CONNECTIONS,
                text,
            )));
        };
        if !context.recent_ids.take(labels.id, now) {
            let text = format!("id: {} is another request's", labels.id);
            return Err(Objection::of_client(code::PROTOCOL_VIOLATION, text));
        }
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
        Ok(ForwardedRequest {
            statement: Rc::new(Statement::new(text, &labels, shape)),
            is_write: access == Access::Write,
            request: engine.begin_request(key, info),
            _reservation: reservation,
        })
    }

    /// How long ago the session last wrote. A client without labels carries no position: what it must see is what this
    /// router answered it last.
    fn last_write_age(
        &self,
        labels: &Labels<'_>,
        access: Access,
        wants_labels: bool,
        now: Time,
    ) -> Option<Micros> {
        let carried = labels.min_position_ms.filter(|at| *at > 0);
        if let Some(at_ms) = carried {
            return Some(clock::age(now, clock::from_ms(at_ms)));
        }
        let remembers = !wants_labels && access == Access::OwnWrites;
        let last = self.last_write_at.filter(|_| remembers)?;
        Some(now.saturating_sub(last))
    }
}

fn checked_patience(labels: &Labels<'_>, class: &Class) -> Result<Micros, Objection> {
    let patience = clock::from_ms(labels.timeout_ms);
    let most = class.deadline.saturating_mul(MAX_PATIENCE_DEADLINES);
    if patience == 0 || patience > most {
        let text = format!("d: nobody waits for {} ms", labels.timeout_ms);
        return Err(Objection::of_client(code::PROTOCOL_VIOLATION, text));
    }
    Ok(patience)
}

fn checked_tenant(context: &Context, labels: &Labels<'_>) -> Result<Option<usize>, Objection> {
    let Some(name) = labels.tenant else {
        return Ok(None);
    };
    match context.names.tenant(name) {
        Some(number) => Ok(Some(number)),
        None => {
            let text = format!("tenant {name:?} does not exist");
            Err(Objection::of_client(code::UNDEFINED_OBJECT, text))
        }
    }
}
