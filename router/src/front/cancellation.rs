//! Cancels: a second connection that names the first one's key.

use super::client::{Client, Phase};
use super::{Context, Front};
use crate::net::stream::PeerState;
use crate::statement_labels::code;
use plovercove::Time;
use plovercove_engine::Engine;
use plovercove_pgwire::cancel::CancelKey;
use plovercove_pgwire::startup::Step;

/// A cancel that was asked for.
pub(super) struct CancelRequest {
    /// The listener that it came by, by number. Keys are those of one listener.
    pub(super) listener: usize,
    pub(super) key: CancelKey,
}

impl Front {
    /// Ends the requests whose cancelling was asked for with the right key.
    pub(super) fn carry_out_cancels(&mut self, now: Time, engine: &mut Engine) {
        for cancel in std::mem::take(&mut self.context.cancel_requests) {
            self.carry_out_cancel(&cancel, now, engine);
        }
    }

    fn carry_out_cancel(&mut self, cancel: &CancelRequest, now: Time, engine: &mut Engine) {
        let keys = &self.context.listeners[cancel.listener].cancel_keys;
        let Some(key) = keys.find(&cancel.key) else {
            return;
        };
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // The query may have come before the wish and be read after it: unread, it would run for nobody.
        if client.pending.is_empty() {
            let peer = client.receive(&mut self.context, key, now);
            let exchanged = peer == PeerState::Open
                && client.exchange(&mut self.context, key, now, engine).is_ok();
            if !exchanged {
                return self.close(key, engine);
            }
        }
        self.mark(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Only what is under way; what waits behind it in the pipeline goes on.
        let encoder = client.encoder();
        let Some(pending) = client.pending.front_mut() else {
            return;
        };
        let Some(forwarded) = pending.request.take() else {
            return;
        };
        let mut answer = self.context.budget.buffer();
        answer.write(|out| {
            let text = "cancelled on request; a write may have run all the same";
            encoder.put_error(false, code::QUERY_CANCELED, text, None, out);
            encoder.put_ready(out);
        });
        pending.answer = Some(answer);
        engine.cancel_request(forwarded.request, now);
    }
}

impl Client {
    /// Asks for a cancel, and closes.
    pub(super) fn request_cancel(&mut self, context: &mut Context, key: CancelKey) {
        self.phase = Phase::Closing;
        context.cancel_requests.push(CancelRequest {
            listener: self.listener,
            key,
        });
    }

    /// One that was told its end before it had said anything may want a cancel all the same: the two have crossed. Unheard,
    /// its request would be sent on for nobody. Returns whether the other side is there, while it is not known what it wants.
    pub(super) fn hear_late_cancel(&mut self, context: &mut Context) -> Option<PeerState> {
        let mut startup = self
            .startup
            .take_if(|startup| !startup.has_read_first_packet())?;
        let peer = self.stream.fill();
        let rules = &context.listeners[self.listener].config.rules;
        match startup.read_message(rules, self.stream.unread(), "", &mut Vec::new()) {
            Ok(None) => {
                self.startup = Some(startup);
                Some(peer)
            }
            Ok(Some((_, Step::Cancel(key)))) => {
                context.cancel_requests.push(CancelRequest {
                    listener: self.listener,
                    key,
                });
                None
            }
            // It wants something else, for which it comes too late.
            Ok(Some(_)) | Err(_) => None,
        }
    }
}
