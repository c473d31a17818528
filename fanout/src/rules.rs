//! What operators set of fanout, and the bounds that follow from it.

use crate::Fault;
use plovercove::Micros;
use serde::{Deserialize, Serialize};

/// A guard that tests can switch off, to see that the check against it catches that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// What an older token sends is refused.
    Fence,
    /// Who left is remembered for as long as an old copy can come.
    Tombstone,
    /// The subscriber's own counter decides, not what came last.
    Order,
    /// Who does not renew ends.
    Expiry,
    /// A hole in the numbers is fetched or told.
    Gap,
    /// Positions collapse to the newest.
    Collapse,
    /// What is held for slow subscribers is bounded.
    Queue,
    /// Renewals are spread.
    Jitter,
    /// Lists are compared and differences sent.
    Repair,
    /// A copy that its zone has not confirmed for long is thrown away.
    Away,
    /// A subscriber tells a gateway that it left for another.
    Moved,
}

impl Guard {
    /// All of them, for tests that take each away.
    pub const ALL: [Guard; 11] = [
        Guard::Fence,
        Guard::Tombstone,
        Guard::Order,
        Guard::Expiry,
        Guard::Gap,
        Guard::Collapse,
        Guard::Queue,
        Guard::Jitter,
        Guard::Repair,
        Guard::Away,
        Guard::Moved,
    ];

    /// The guard of this name, as scripts write it.
    pub fn from_name(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// The settings of fanout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// A subscriber renews at least so often (ms). A gateway of many makes it longer, see [`Rules::renewal_interval`].
    pub renew_ms: u64,
    /// An answer that takes longer is asked for again (ms), after twice the time at each further try.
    pub answer_ms: u64,
    /// Between two comparisons of lists with one other gateway (ms).
    pub compare_ms: u64,
    /// A copy of another zone's list is thrown away where its gateway has not confirmed it for so long (ms).
    pub forget_ms: u64,
    /// Between two tellings of a publisher how far its numbers are (ms).
    pub heads_ms: u64,
    /// A hole in the numbers that is not filled for so long is told as missed (ms).
    pub gap_ms: u64,
    /// News held of each topic for those who missed some, and for slow subscribers.
    #[serde(rename = "held")]
    pub retained_items: usize,
    /// Topics of one subscriber at the most.
    pub topics: usize,
    /// Subscriptions of all zones at the most; who left counts while it is remembered.
    pub subscriptions: usize,
    /// Datagrams a second that a gateway, a publisher or a subscriber sends at the most.
    pub datagrams_per_s: u32,
    /// Bytes a second that a gateway, a publisher or a subscriber sends at the most.
    pub bytes_per_s: u32,
    /// Tests only: the guard that is off.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Default for Rules {
    /// Three zones with answers well under 100 ms, within the budget of `peers`.
    fn default() -> Self {
        Rules {
            renew_ms: 10_000,
            answer_ms: 500,
            compare_ms: 1_000,
            forget_ms: 600_000,
            heads_ms: 1_000,
            gap_ms: 3_000,
            retained_items: 64,
            topics: 512,
            subscriptions: 50_000,
            datagrams_per_s: 80,
            bytes_per_s: 40_000,
            #[cfg(feature = "mutations")]
            disabled_guard: None,
        }
    }
}

impl Rules {
    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(feature = "mutations")]
    pub(crate) fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn is_enabled(&self, _: Guard) -> bool {
        true
    }

    /// Between two renewals of one of so many subscribers of a gateway (us): the answers take a third of its datagrams.
    pub fn renewal_interval(&self, subscribers: usize) -> Micros {
        let spread = 3 * subscribers as u64 * 1_000_000 / u64::from(self.datagrams_per_s.max(1));
        crate::ms(self.renew_ms).max(spread)
    }

    /// Who has not renewed for so long is gone (us): three renewals in a row were lost, and the last was tried again.
    pub fn subscriber_lease(&self, subscribers: usize) -> Micros {
        3 * self.renewal_interval(subscribers) + crate::ms(4 * self.answer_ms)
    }

    /// Who left is remembered for so long (us): an old copy is thrown away before, at whichever gateway it lies.
    pub fn tombstone_retention(&self) -> Micros {
        crate::ms(self.forget_ms + 10 * self.compare_ms)
    }

    /// How long after a heal the lists are equal at all gateways (us), where this many subscriptions differ: two
    /// comparisons with each other gateway, of which one may be lost, six ways there and back, and the bytes. Each
    /// difference costs [`MAX_DIFFERENCE_BYTES`] bytes at the most, on each of the links that a gateway has.
    pub fn convergence_bound(&self, differences: usize, gateways: usize) -> Micros {
        let links = gateways.saturating_sub(1).max(1) as u64;
        let bytes = (differences as u64 * MAX_DIFFERENCE_BYTES + 4_000) * links;
        let send = bytes * 1_000_000 / u64::from(self.bytes_per_s.max(1));
        crate::ms(4 * self.compare_ms) + send + WAYS
    }

    /// The greatest age at which a subscriber that can reach its gateway believes the newest of a topic without being told
    /// that it missed (us): the publisher's next telling of its numbers, the subscriber's next renewal, the tries of both.
    pub fn staleness_bound(&self, subscribers: usize) -> Micros {
        crate::ms(2 * self.heads_ms + 2 * self.gap_ms + 4 * self.answer_ms)
            + 2 * self.renewal_interval(subscribers)
    }

    /// For how long after a move two gateways may tell one subscriber (us): until the new one has told the old one, or the
    /// subscriber has; where neither gets through, until it has not renewed there for a lease.
    pub fn duplicate_delivery_bound(&self, subscribers: usize, reached: bool) -> Micros {
        if reached {
            crate::ms(3 * self.answer_ms + self.compare_ms)
        } else {
            self.subscriber_lease(subscribers) + TIDY
        }
    }

    /// Checks what cannot be meant.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self) -> Result<(), Fault> {
        let within = |key: &'static str, value: u64, least: u64, most: u64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(Fault::Setting {
                    key,
                    value,
                    least,
                    most,
                })
            }
        };
        within("renew_ms", self.renew_ms, 100, 600_000)?;
        within("answer_ms", self.answer_ms, 10, self.renew_ms)?;
        within("compare_ms", self.compare_ms, 50, 60_000)?;
        // A copy has to outlive every list that is merely slow to be compared.
        within(
            "forget_ms",
            self.forget_ms,
            60 * self.compare_ms.min(60_000),
            86_400_000,
        )?;
        within("heads_ms", self.heads_ms, 50, 60_000)?;
        within("gap_ms", self.gap_ms, self.answer_ms, 600_000)?;
        within("held", self.retained_items as u64, 1, 10_000)?;
        within("topics", self.topics as u64, 1, 10_000)?;
        within("subscriptions", self.subscriptions as u64, 1, 1_000_000)?;
        within(
            "datagrams_per_s",
            u64::from(self.datagrams_per_s),
            4,
            100_000,
        )?;
        within(
            "bytes_per_s",
            u64::from(self.bytes_per_s),
            2_400,
            100_000_000,
        )
    }
}

/// Between two looks at what has ended by age (us).
pub(crate) const TIDY: Micros = 250_000;
/// The ways there and back of one comparison, from the sums of all to the differing entries (us), 200 ms each.
const WAYS: Micros = 6 * 200_000;
/// What one differing subscription costs at the most (bytes): sums of 16 ranges on three levels, the list of its leaf, and
/// its entry on both sides.
pub const MAX_DIFFERENCE_BYTES: u64 = 600;
