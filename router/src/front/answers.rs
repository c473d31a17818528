//! Passes final answers to clients, each encoded in the client's protocol version.

use super::Front;
use super::client::{Client, Pending};
use crate::clock;
use crate::net::budget::Buffer;
use crate::statement_labels::{Statement, code};
use plovercove::Time;
use plovercove_engine::{FinalAnswer, Key};
use plovercove_pgwire::encoder::Untranslatable;
use std::rc::Rc;
use tracing::warn;

impl Pending {
    fn is_for(&self, request: Key) -> bool {
        let forwarded = self.request.as_ref();
        forwarded.is_some_and(|forwarded| forwarded.request == request)
    }
}

impl Front {
    /// Returns the statement of a request, so that an attempt can send it. Returns `None` if the client or the request is
    /// gone.
    pub fn statement(&self, origin: Key, request: Key) -> Option<Rc<Statement>> {
        let mut pending = self.clients.get(origin)?.pending.iter();
        let answered = pending.find(|pending| pending.is_for(request))?;
        let forwarded = answered.request.as_ref()?;
        Some(Rc::clone(&forwarded.statement))
    }

    /// Passes a node's reply to the client that sent the request.
    pub fn send_reply(&mut self, origin: Key, request: Key, reply: Buffer, now: Time) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let mut pending = client.pending.iter();
        let answered = pending.find(|pending| pending.is_for(request));
        let is_write = answered
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
        if let Err(Untranslatable(cause)) = result {
            warn!(client = origin.number(), reason = "unsayable", "{cause}");
            // The statement has run, so the error must not look like a rejection, after which the client would retry.
            let text = format!("the statement ran, but its answer cannot be passed on: {cause}");
            translated = self.context.budget.buffer();
            translated.write(|out| {
                encoder.put_error(false, code::UNTRANSLATABLE_CHARACTER, &text, None, out)
            });
        }
        self.queue_answer(origin, request, translated);
    }

    /// Sends the client a final answer that does not come from a node: a rejection or a failure.
    pub fn send_final_answer(&mut self, origin: Key, request: Key, answer: FinalAnswer) {
        let Some(encoder) = self.clients.get(origin).map(Client::encoder) else {
            return;
        };
        if matches!(answer, FinalAnswer::Rejected(_)) {
            self.forget_id(origin, request);
        }
        let mut encoded = self.context.budget.buffer();
        encoded.write(|out| match answer {
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
        self.queue_answer(origin, request, encoded);
    }

    /// Forgets the id of a rejected request: it may come again.
    fn forget_id(&mut self, origin: Key, request: Key) {
        let pending = self.clients.get(origin).map(|client| &client.pending);
        let mut rejected = pending.into_iter().flatten().filter(|p| p.is_for(request));
        let forwarded = rejected.next().and_then(|pending| pending.request.as_ref());
        if let Some(forwarded) = forwarded {
            self.context.recent_ids.forget(forwarded.id);
        }
    }

    fn queue_answer(&mut self, origin: Key, request: Key, mut answer: Buffer) {
        let Some(client) = self.clients.get_mut(origin) else {
            return;
        };
        let encoder = client.encoder();
        let mut pending = client.pending.iter_mut();
        let Some(answered) = pending.find(|pending| pending.is_for(request)) else {
            return;
        };
        answer.write(|out| encoder.put_ready(out));
        answered.answer = Some(answer);
        answered.request = None;
        self.mark(origin);
    }
}
