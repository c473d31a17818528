//! Cancel requests, which arrive on a second connection and contain the cancel key of the first one.

use super::client::{Client, Phase};
use super::close_reason::CloseReason;
use super::{Context, Front};
use crate::net::stream::PeerState;
use crate::statement_labels::code;
use plovercove::Time;
use plovercove_engine::Engine;
use plovercove_pgwire::cancel::CancelKey;
use plovercove_pgwire::startup::Step;

/// A cancel request that has been received.
pub(super) struct CancelRequest {
    /// Number of the listener that accepted the connection. Each listener has its own keys.
    pub(super) listener: usize,
    pub(super) key: CancelKey,
}

impl Front {
    /// Cancels the requests for which cancel requests with a valid key have been received.
    pub(super) fn process_cancel_requests(&mut self, now: Time, engine: &mut Engine) {
        for cancel in std::mem::take(&mut self.context.cancel_requests) {
            self.process_cancel_request(&cancel, now, engine);
        }
    }

    fn process_cancel_request(&mut self, cancel: &CancelRequest, now: Time, engine: &mut Engine) {
        let keys = &self.context.listeners[cancel.listener].cancel_keys;
        let Some(key) = keys.find(&cancel.key) else {
            return;
        };
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // The client may have sent its query before the cancel request, while the router has not read it yet. Therefore the
        // client's bytes are read first; otherwise the query would run although it was cancelled.
        if client.pending.is_empty() {
            let peer = client.receive(&mut self.context, key, now);
            if peer != PeerState::Open {
                return self.close(key, CloseReason::Peer(peer), engine);
            }
            if let Err(peer) = client.exchange(&mut self.context, key, now, engine) {
                return self.close(key, CloseReason::Peer(peer), engine);
            }
        }
        self.mark(key);
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        // Only the request in progress is cancelled; those behind it in the pipeline continue.
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
    /// Records a cancel request; the connection closes.
    pub(super) fn request_cancel(&mut self, context: &mut Context, key: CancelKey) {
        self.phase = Phase::Closing;
        context.cancel_requests.push(CancelRequest {
            listener: self.listener,
            key,
        });
    }

    /// Reads a cancel request that crossed the end of its connection: the router decided to close the connection before it
    /// received the first packet. If the cancel request were ignored, the request that it cancels would be sent on to nodes
    /// although its client no longer wants it. Returns the state of the peer as long as its first packet is incomplete.
    pub(super) fn read_late_cancel(&mut self, context: &mut Context) -> Option<PeerState> {
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
            // Any other first packet arrives too late to be served.
            Ok(Some(_)) | Err(_) => None,
        }
    }
}
