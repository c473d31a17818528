//! Final answers on their way to clients, each in the version that its client speaks.

use super::Front;
use super::client::{Client, Pending};
use crate::clock;
use crate::net::budget::Buffer;
use crate::statement_labels::{Statement, code};
use plovercove::Time;
use plovercove_engine::{FinalAnswer, Key};
use std::rc::Rc;
use tracing::warn;

impl Pending {
    fn is_for(&self, request: Key) -> bool {
        let forwarded = self.request.as_ref();
        forwarded.is_some_and(|forwarded| forwarded.request == request)
    }
}

impl Front {
    /// The statement of a request, for an attempt.
    pub fn statement(&self, origin: Key, request: Key) -> Option<Rc<Statement>> {
        let mut pending = self.clients.get(origin)?.pending.iter();
        let found = pending.find(|pending| pending.is_for(request))?;
        let forwarded = found.request.as_ref()?;
        Some(Rc::clone(&forwarded.statement))
    }

    /// Passes on what a node answered: row description, row and completion.
    pub fn send_reply(&mut self, origin: Key, request: Key, reply: Buffer, now: Time) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let mut pending = client.pending.iter();
        let found = pending.find(|pending| pending.is_for(request));
        let is_write = found
            .and_then(|pending| pending.request.as_ref())
            .is_some_and(|forwarded| forwarded.is_write);
        if is_write {
            client.last_write_at = Some(now);
        }
        let encoder = client.encoder();
        let is_labelled = self.context.listeners[client.listener].wants_labels();
        if is_labelled || encoder.passes_unchanged(&reply) {
            return self.queue_answer(origin, request, reply);
        }
        let mut translated = self.context.budget.buffer();
        let result = translated.write(|out| encoder.put_reply(&reply, out));
        if let Err(why) = result {
            let why = why.0;
            warn!(client = origin.number(), reason = "unsayable", "{why}");
            // What has been done is done; the client must not take this for a rejection.
            let text = format!("the statement ran, but its answer cannot be passed on: {why}");
            translated = self.context.budget.buffer();
            translated.write(|out| {
                encoder.put_error(false, code::UNTRANSLATABLE_CHARACTER, &text, None, out)
            });
        }
        self.queue_answer(origin, request, translated);
    }

    /// Words a final answer that no node made.
    pub fn send_final_answer(&mut self, origin: Key, request: Key, answer: FinalAnswer) {
        let Some(encoder) = self.clients.get(origin).map(Client::encoder) else {
            return;
        };
        let mut worded = self.context.budget.buffer();
        worded.write(|out| match answer {
            FinalAnswer::Rejected(retry_after) => {
                let wait_ms = retry_after.map(clock::to_ms);
                let text = "no db node can take this in time";
                encoder.put_error(false, code::TOO_MANY_CONNECTIONS, text, wait_ms, out);
            }
            FinalAnswer::Failed => {
                let text = "the outcome is unknown: no db node answered in time";
                encoder.put_error(false, code::UNKNOWN_OUTCOME, text, None, out);
            }
        });
        self.queue_answer(origin, request, worded);
    }

    fn queue_answer(&mut self, origin: Key, request: Key, mut answer: Buffer) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let encoder = client.encoder();
        let mut pending = client.pending.iter_mut();
        let Some(found) = pending.find(|pending| pending.is_for(request)) else {
            return;
        };
        answer.write(|out| encoder.put_ready(out));
        found.answer = Some(answer);
        found.request = None;
        self.mark(origin);
    }
}
