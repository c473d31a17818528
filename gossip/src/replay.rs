//! Who sent what already: a datagram counts once, and none of an ended life counts.

use crate::life::Life;
use crate::wire::{Envelope, Fault};
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
    life: (u64, u32),
    top: u64,
    /// Which of the last datagrams came, the newest at the lowest bit.
    seen: u128,
    heard: Time,
    /// The least of the receiver's clock less the sender's stamp so far, and when that was (us).
    least: (i64, Time),
}

/// The senders that this router heard.
#[derive(Default)]
pub struct Replays(HashMap<SocketAddr, Sender>);

impl Replays {
    /// Takes a datagram; tells how much longer it was under way than the fastest from its sender.
    ///
    /// Two clocks are never compared: only how the difference between them changes.
    ///
    /// # Errors
    /// It was here before, or its sender's life has ended.
    pub fn take(&mut self, now: Time, envelope: &Envelope, check: bool) -> Result<Micros, Fault> {
        let Envelope {
            from:
                Life {
                    address,
                    boot,
                    turn,
                    ..
                },
            seq,
            stamp,
            ..
        } = envelope;
        let life = (*boot, *turn);
        // Danger: a stamp is whatever a peer sends.
        let stamp = i64::try_from(*stamp)
            .unwrap_or(i64::MAX)
            .saturating_mul(1_000);
        let offset = (now as i64).saturating_sub(stamp);
        if let Some(known) = self.0.get_mut(address).filter(|k| k.life == life) {
            if check {
                if *seq > known.top {
                    known.seen = known
                        .seen
                        .checked_shl((seq - known.top).min(128) as u32)
                        .unwrap_or(0);
                    known.top = *seq;
                } else if known.top - seq >= WINDOW || known.seen & (1 << (known.top - seq)) != 0 {
                    return Err(Fault::Replayed);
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
        if check && self.0.get(address).is_some_and(|known| known.life > life) {
            return Err(Fault::OldLife);
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
                life,
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
mod tests {
    use super::*;

    fn told(port: u16, boot: u64, seq: u64, stamp: u64) -> Envelope {
        let from = Life {
            boot,
            ..Life::unknown(SocketAddr::from(([127, 0, 0, 1], port)))
        };
        Envelope {
            from,
            seq,
            stamp,
            parts: Vec::new(),
        }
    }

    #[test]
    fn each_datagram_counts_once_in_whatever_order_it_comes() {
        let mut replays = Replays::default();
        for seq in [5, 3, 9, 4, 200, 130] {
            assert_eq!(
                replays.take(1_000_000, &told(1, 7, seq, 0), true).map(drop),
                Ok(()),
                "{seq}"
            );
        }
        for seq in [5, 3, 9, 4, 200, 130, 72, 0] {
            assert_eq!(
                replays.take(1_000_000, &told(1, 7, seq, 0), true),
                Err(Fault::Replayed),
                "{seq}"
            );
        }
    }

    #[test]
    fn a_restart_begins_anew_and_its_old_life_is_over() {
        let mut replays = Replays::default();
        assert!(replays.take(0, &told(1, 7, 90, 0), true).is_ok());
        assert!(replays.take(0, &told(1, 8, 1, 0), true).is_ok());
        assert_eq!(
            replays.take(0, &told(1, 7, 91, 0), true),
            Err(Fault::OldLife)
        );
    }

    #[test]
    fn what_was_long_under_way_is_told_apart_from_a_clock_that_differs() {
        let mut replays = Replays::default();
        // The sender's clock is 1,000 s behind; its datagrams take 1 to 3 ms.
        let at = |ms: u64| 1_000_000_000 + ms * 1_000;
        assert_eq!(replays.take(at(3), &told(1, 7, 1, 0), true), Ok(0));
        assert_eq!(replays.take(at(101), &told(1, 7, 2, 100), true), Ok(0));
        let late = replays
            .take(at(5_203), &told(1, 7, 3, 200), true)
            .expect("new");
        assert!((5_000_000..=5_002_000).contains(&late), "{late}");
    }

    #[test]
    fn senders_are_bounded() {
        let mut replays = Replays::default();
        for port in 1..=SENDERS as u16 + 100 {
            assert!(
                replays
                    .take(u64::from(port), &told(port, 1, 1, 0), true)
                    .is_ok()
            );
        }
        assert_eq!(replays.0.len(), SENDERS);
    }
}
