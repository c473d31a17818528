//! Who sent what already: a datagram counts once, and none of an ended life counts.

use crate::datagram::{DatagramFault, Envelope};
use crate::incarnation::Incarnation;
use plovercove::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Senders that are remembered. The one heard least lately goes first.
const SENDERS: usize = 2_048;
/// Datagrams that may come out of order.
const WINDOW: u64 = 128;
/// What was a datagram's usual way is forgotten by so much a second (us): clocks drift by less than this.
const DRIFT: f64 = 200.0;

struct Sender {
    /// Start of its process, and its turn.
    incarnation: (u64, u32),
    top: u64,
    /// Which of the last datagrams came, the newest at the lowest bit.
    seen: u128,
    heard: Time,
    /// The least of the receiver's clock less the sender's clock_ms so far, and when that was (us).
    least: (i64, Time),
}

/// The senders that this router heard.
#[derive(Default)]
pub struct ReplayGuard(HashMap<SocketAddr, Sender>);

impl ReplayGuard {
    /// Takes a datagram; tells how much longer it was under way than the fastest from its sender.
    ///
    /// Two clocks are never compared: only how the difference between them changes.
    ///
    /// # Errors
    /// It was here before, or its sender's life has ended.
    pub fn take(
        &mut self,
        now: Time,
        envelope: &Envelope,
        check: bool,
    ) -> Result<Micros, DatagramFault> {
        let Envelope {
            from:
                Incarnation {
                    address,
                    boot,
                    renewals,
                    ..
                },
            seq,
            clock_ms,
            ..
        } = envelope;
        let incarnation = (*boot, *renewals);
        // Danger: a clock_ms is whatever a peer sends.
        let clock_ms = i64::try_from(*clock_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        let offset = (now as i64).saturating_sub(clock_ms);
        if let Some(known) = self
            .0
            .get_mut(address)
            .filter(|k| k.incarnation == incarnation)
        {
            if check {
                if *seq > known.top {
                    known.seen = known
                        .seen
                        .checked_shl((seq - known.top).min(128) as u32)
                        .unwrap_or(0);
                    known.top = *seq;
                } else if known.top - seq >= WINDOW || known.seen & (1 << (known.top - seq)) != 0 {
                    return Err(DatagramFault::Replayed);
                }
                known.seen |= 1 << (known.top - seq);
            }
            known.heard = now;
            let drift = (now.saturating_sub(known.least.1) as f64 / 1e6 * DRIFT) as i64;
            let faded = known.least.0.saturating_add(drift);
            if offset <= faded {
                known.least = (offset, now);
                return Ok(0);
            }
            return Ok(offset.saturating_sub(faded) as Micros);
        }
        if check
            && self
                .0
                .get(address)
                .is_some_and(|known| known.incarnation > incarnation)
        {
            return Err(DatagramFault::OldLife);
        }
        if self.0.len() >= SENDERS && !self.0.contains_key(address) {
            let least = self
                .0
                .iter()
                .min_by_key(|(at, s)| (s.heard, **at))
                .map(|(at, _)| *at);
            least.map(|at| self.0.remove(&at));
        }
        self.0.insert(
            *address,
            Sender {
                incarnation,
                top: *seq,
                seen: 1,
                heard: now,
                least: (offset, now),
            },
        );
        Ok(0)
    }
}

#[cfg(test)]
mod tests;
