//! Replay protection: each datagram counts once, and datagrams of an earlier incarnation of a sender do not count.

use crate::datagram::{DatagramFault, Envelope};
use crate::incarnation::Incarnation;
use plovercove::{Micros, Time};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of senders that are remembered. Beyond it, the sender whose last datagram is the oldest is removed.
const MAX_SENDERS: usize = 2_048;
/// Number of the latest datagrams of a sender among which the order may vary.
const WINDOW: u64 = 128;
/// Rate (us per second) at which the least offset of a sender's clock rises with time. Clocks drift by less than this.
const MAX_DRIFT_US_PER_S: f64 = 200.0;

struct Sender {
    /// Start of the sender's process, and its number of renewals.
    incarnation: (u64, u32),
    /// Highest sequence number received.
    highest_seq: u64,
    /// Bit set of the latest datagrams that were received; the lowest bit stands for `highest_seq`.
    received: u128,
    received_at: Time,
    /// Least difference so far between the receiver's clock and the sender's clock (us).
    least_offset: i64,
    /// Time at which the least difference was measured.
    least_offset_at: Time,
}

/// Replay state of all senders from which this router received datagrams.
#[derive(Default)]
pub struct ReplayGuard(HashMap<SocketAddr, Sender>);

impl ReplayGuard {
    /// Checks a datagram, and returns its delay compared with the fastest one of its sender.
    ///
    /// The clocks of two machines are never compared, only the change of the difference between them.
    ///
    /// # Errors
    /// Returns a fault if the datagram was received before, or if it is from an earlier incarnation of its sender.
    pub fn check(
        &mut self,
        now: Time,
        envelope: &Envelope,
        is_enabled: bool,
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
        // The value comes from another router and may be anything, so the arithmetic must not overflow.
        let sender_clock_us = i64::try_from(*clock_ms)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        let offset = (now as i64).saturating_sub(sender_clock_us);
        if let Some(known) = self
            .0
            .get_mut(address)
            .filter(|k| k.incarnation == incarnation)
        {
            if is_enabled {
                if *seq > known.highest_seq {
                    known.received = known
                        .received
                        .checked_shl((seq - known.highest_seq).min(128) as u32)
                        .unwrap_or(0);
                    known.highest_seq = *seq;
                } else if known.highest_seq - seq >= WINDOW
                    || known.received & (1 << (known.highest_seq - seq)) != 0
                {
                    return Err(DatagramFault::Replayed);
                }
                known.received |= 1 << (known.highest_seq - seq);
            }
            known.received_at = now;
            let drift = (now.saturating_sub(known.least_offset_at) as f64 / 1e6
                * MAX_DRIFT_US_PER_S) as i64;
            let risen_offset = known.least_offset.saturating_add(drift);
            if offset <= risen_offset {
                (known.least_offset, known.least_offset_at) = (offset, now);
                return Ok(0);
            }
            return Ok(offset.saturating_sub(risen_offset) as Micros);
        }
        if is_enabled
            && self
                .0
                .get(address)
                .is_some_and(|known| known.incarnation > incarnation)
        {
            return Err(DatagramFault::OldLife);
        }
        if self.0.len() >= MAX_SENDERS && !self.0.contains_key(address) {
            let oldest = self
                .0
                .iter()
                .min_by_key(|(address, sender)| (sender.received_at, **address))
                .map(|(address, _)| *address);
            oldest.map(|address| self.0.remove(&address));
        }
        self.0.insert(
            *address,
            Sender {
                incarnation,
                highest_seq: *seq,
                received: 1,
                received_at: now,
                least_offset: offset,
                least_offset_at: now,
            },
        );
        Ok(0)
    }
}

#[cfg(test)]
mod tests;
