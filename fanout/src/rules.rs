//! Settings of the subscription lists and of delivery, and the bounds that follow from them.

use crate::Fault;
use plovercove::Micros;
use serde::{Deserialize, Serialize};

/// A safeguard that tests can switch off, to show that a check notices the failure that the safeguard prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// Messages with an older fencing token are rejected.
    Fence,
    /// An ended subscription is remembered for as long as an old copy of it can arrive.
    Tombstone,
    /// The subscriber's own counter decides which of two entries is newer, not the order of arrival.
    Order,
    /// A subscription that is not renewed ends.
    Expiry,
    /// A gap in the numbers is fetched, or reported as missed.
    Gap,
    /// Of positions only the newest is kept.
    Collapse,
    /// The number of items retained for slow subscribers, and of events that wait to be taken, is bounded.
    Queue,
    /// Renewals are spread over time.
    Jitter,
    /// Gateways compare their lists and send the differences.
    Repair,
    /// A copy of a list is discarded if its zone's gateway has not confirmed it for long.
    Away,
    /// A subscriber notifies a gateway that it has moved to another one.
    Moved,
}

impl Guard {
    /// All guards, for tests that switch off each one.
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

    /// Returns the guard of this name, as written in `PLOVERCOVE_WITHOUT`.
    pub fn from_name(name: &str) -> Option<Guard> {
        use serde::de::IntoDeserializer;
        let name: serde::de::value::StrDeserializer<'_, serde::de::value::Error> =
            name.into_deserializer();
        Guard::deserialize(name).ok()
    }
}

/// Settings of the subscription lists and of delivery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Interval between renewals of a subscriber (ms). A gateway with many subscribers makes it longer, see
    /// [`Rules::renewal_interval`].
    pub renew_ms: u64,
    /// Time after which an unanswered request is repeated (ms). A subscriber doubles it at each further attempt of a
    /// renewal.
    pub answer_ms: u64,
    /// Interval between comparisons of the lists with one other gateway (ms).
    pub compare_ms: u64,
    /// Time after which a copy of another zone's list is discarded, if that zone's gateway has not confirmed it (ms).
    pub forget_ms: u64,
    /// Interval at which a publisher announces its newest numbers (ms).
    pub heads_ms: u64,
    /// Time after which a gap in the numbers that was not filled is reported as missed (ms).
    pub gap_ms: u64,
    /// Number of items retained of each topic for retransmission and for slow subscribers.
    #[serde(rename = "held")]
    pub retained_items: usize,
    /// Maximum number of topics of one subscriber.
    pub topics: usize,
    /// Maximum number of subscriptions of all zones. Ended subscriptions count while they are remembered.
    pub subscriptions: usize,
    /// Maximum number of datagrams per second that a gateway, a publisher or a subscriber sends.
    pub datagrams_per_s: u32,
    /// Maximum number of bytes per second that a gateway, a publisher or a subscriber sends.
    pub bytes_per_s: u32,
    /// The guard that is switched off. Only for tests.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Default for Rules {
    /// Defaults for three zones with round trips well under 100 ms. They fit the budget of the `peers` block.
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
    /// Returns whether a guard is on. Only tests switch one off.
    #[cfg(feature = "mutations")]
    pub(crate) fn is_enabled(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Returns whether a guard is on. Only tests switch one off.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn is_enabled(&self, _: Guard) -> bool {
        true
    }

    /// Returns the interval between renewals of one subscriber (us) for a gateway with this many subscribers. At this
    /// interval the answers take at most a third of the gateway's datagrams.
    pub fn renewal_interval(&self, subscribers: usize) -> Micros {
        let interval = 3 * subscribers as u64 * 1_000_000 / u64::from(self.datagrams_per_s.max(1));
        crate::us_from_ms(self.renew_ms).max(interval)
    }

    /// Returns the time after which a subscriber that has not renewed is removed (us). It allows for three lost
    /// renewals in a row, and for repetitions of the last one.
    pub fn subscriber_lease(&self, subscribers: usize) -> Micros {
        3 * self.renewal_interval(subscribers) + crate::us_from_ms(4 * self.answer_ms)
    }

    /// Returns how long an ended subscription is remembered (us). Every gateway discards an unconfirmed copy earlier
    /// than that, so that no old copy can revive the subscription.
    pub fn tombstone_retention(&self) -> Micros {
        crate::us_from_ms(self.forget_ms + 10 * self.compare_ms)
    }

    /// Returns the time after the end of a partition within which the lists of all gateways are equal (us), if this
    /// many subscriptions differ. It consists of two comparisons with each other gateway, one of which may be lost, of
    /// six round trips, and of the transmission of at most [`MAX_DIFFERENCE_BYTES`] per difference on each link of a
    /// gateway.
    pub fn convergence_bound(&self, differences: usize, gateways: usize) -> Micros {
        let links = gateways.saturating_sub(1).max(1) as u64;
        let bytes = (differences as u64 * MAX_DIFFERENCE_BYTES + 4_000) * links;
        let transmission = bytes * 1_000_000 / u64::from(self.bytes_per_s.max(1));
        crate::us_from_ms(4 * self.compare_ms) + transmission + ROUND_TRIPS_US
    }

    /// Returns the maximum time for which a subscriber that reaches its gateway takes an outdated item for the newest
    /// without being notified that it missed one (us): until the publisher's next announcement and the subscriber's
    /// next renewal, with the repetitions of both.
    pub fn staleness_bound(&self, subscribers: usize) -> Micros {
        crate::us_from_ms(2 * self.heads_ms + 2 * self.gap_ms + 4 * self.answer_ms)
            + 2 * self.renewal_interval(subscribers)
    }

    /// Returns the maximum time after a move during which two gateways deliver to one subscriber (us): until the new
    /// gateway or the subscriber has notified the old one. If neither reaches it (`reached` is false), the old gateway
    /// delivers until the subscriber's lease there ends.
    pub fn duplicate_delivery_bound(&self, subscribers: usize, reached: bool) -> Micros {
        if reached {
            crate::us_from_ms(3 * self.answer_ms + self.compare_ms)
        } else {
            self.subscriber_lease(subscribers) + EXPIRY_CHECK_INTERVAL_US
        }
    }

    /// Checks the ranges of the settings.
    ///
    /// # Errors
    /// Returns the key that is out of range.
    pub fn check(&self) -> Result<(), Fault> {
        let check_range = |key: &'static str, value: u64, least: u64, most: u64| {
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
        check_range("renew_ms", self.renew_ms, 100, 600_000)?;
        check_range("answer_ms", self.answer_ms, 10, self.renew_ms)?;
        check_range("compare_ms", self.compare_ms, 50, 60_000)?;
        // A copy has to be kept for longer than any delay of the comparisons, or lists would be discarded while their
        // zones can still be reached.
        check_range(
            "forget_ms",
            self.forget_ms,
            60 * self.compare_ms.min(60_000),
            86_400_000,
        )?;
        check_range("heads_ms", self.heads_ms, 50, 60_000)?;
        check_range("gap_ms", self.gap_ms, self.answer_ms, 600_000)?;
        check_range("held", self.retained_items as u64, 1, 10_000)?;
        check_range("topics", self.topics as u64, 1, 10_000)?;
        check_range("subscriptions", self.subscriptions as u64, 1, 1_000_000)?;
        check_range(
            "datagrams_per_s",
            u64::from(self.datagrams_per_s),
            4,
            100_000,
        )?;
        check_range(
            "bytes_per_s",
            u64::from(self.bytes_per_s),
            2_400,
            100_000_000,
        )
    }
}

/// Interval between checks for expired subscriptions (us).
pub(crate) const EXPIRY_CHECK_INTERVAL_US: Micros = 250_000;
/// Duration of the six round trips of a comparison, from the digests of all lists to the differing entries, at 200 ms
/// each (us).
const ROUND_TRIPS_US: Micros = 6 * 200_000;
/// Maximum cost of one differing subscription (bytes): digests of 16 ranges on three levels, the digests of its leaf,
/// and its entry in both directions.
pub const MAX_DIFFERENCE_BYTES: u64 = 600;
