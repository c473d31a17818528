//! Retries: which further attempt of a request the rules allow, and what may be promised to its client.
//!
//! The rules prevent double execution. An attempt whose last byte has been sent may have been executed, however it
//! ended. A request that must not run twice is then neither sent again nor rejected, since a rejection promises that a
//! retry is harmless.

use crate::api::{Access, Class, DedupScope, Idempotency, Micros, Settings, Time};
use crate::node::Node;
use crate::request::{Attempt, Request};

/// Base of the pause before the third attempt of a write and each further one. The pause is the base doubled once for
/// each attempt made so far, so it is four times the base before the third attempt. A dead primary refuses connections
/// at once: without a pause all attempts would be used up long before there is a new primary.
const WRITE_BACKOFF: Micros = 50_000;
/// Maximum number of doublings of [`WRITE_BACKOFF`].
const MAX_WRITE_BACKOFF_DOUBLINGS: usize = 6;
/// Number of ticks before the end of a deduplication window at which retries stop, since the window must not close
/// between the decision and the send.
const WINDOW_MARGIN_TICKS: u64 = 2;

/// Returns whether the rules allow a request another attempt at any node. It has at most one attempt in flight unless
/// hedging is allowed.
pub(crate) fn allows_attempt(settings: &Settings, request: &Request) -> bool {
    let overlaps = request.is_in_flight() && !settings.hedging_allowed;
    request.awaits_answer() && !overlaps && has_attempts_left(settings, request)
}

/// Returns whether the rules allow another attempt at one node, provided that [`allows_attempt`] returned true.
/// `zone_of_attempt` returns the zone of an earlier attempt's node.
pub(crate) fn allows_attempt_at<'a>(
    settings: &Settings,
    request: &Request,
    node: &Node,
    now: Time,
    zone_of_attempt: impl Fn(&Attempt) -> &'a str,
) -> bool {
    let class = &settings.classes[request.info.class];
    let mut may_take_effect = request.attempts.iter().filter(|a| a.may_take_effect());
    let Some(first) = may_take_effect.next() else {
        return true;
    };
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::AtMostOnce => false,
        Idempotency::Deduplicated => {
            let margin = WINDOW_MARGIN_TICKS * settings.tick;
            let in_window = now + margin < first.sent_at + class.dedup_window;
            let in_zone = |attempt: &Attempt| zone_of_attempt(attempt) == node.endpoint.zone;
            let in_scope = class.dedup_scope != DedupScope::Zone
                || (in_zone(first) && may_take_effect.all(in_zone));
            in_window && in_scope
        }
    }
}

/// Returns whether a request may be rejected, which promises that a retry is harmless.
pub(crate) fn may_reject(class: &Class, request: &Request) -> bool {
    !request.may_take_effect()
        || class.idempotency == Idempotency::Idempotent
        || (class.idempotency == Idempotency::Deduplicated && class.dedup_scope == DedupScope::All)
}

/// Returns whether no node may get a waiting request any more, so that waiting longer would only delay its client.
pub(crate) fn is_exhausted(settings: &Settings, request: &Request) -> bool {
    let class = &settings.classes[request.info.class];
    let must_not_repeat = class.idempotency == Idempotency::AtMostOnce && request.may_take_effect();
    !has_attempts_left(settings, request) || must_not_repeat
}

/// Returns whether a write has waited long enough since its last attempt to be sent again. The first two attempts need
/// no pause.
pub(crate) fn write_backoff_is_over(request: &Request, now: Time) -> bool {
    let attempts = request.attempts.len();
    let backoff = if attempts < 2 {
        0
    } else {
        WRITE_BACKOFF << attempts.min(MAX_WRITE_BACKOFF_DOUBLINGS)
    };
    let last = request.attempts.last();
    last.is_none_or(|attempt| now >= attempt.sent_at + backoff)
}

/// Returns whether a request changes data.
pub(crate) fn is_write(settings: &Settings, request: &Request) -> bool {
    settings.classes[request.info.class].access == Access::Write
}

fn has_attempts_left(settings: &Settings, request: &Request) -> bool {
    (request.attempts.len() as u32) < settings.max_attempts
}
