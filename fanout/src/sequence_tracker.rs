//! Tracks the numbers of one topic at a receiver: detects gaps, requests the missing items, and reports as missed what
//! does not arrive.

use crate::wire::{Item, TopicNumber};
use crate::{Guard, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of items that are buffered while an earlier one is missing.
const MAX_ITEMS_AHEAD: usize = 64;

/// What the tracker delivers, in the order of the numbers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Delivery {
    Item {
        lease: LeaseName,
        token: Token,
        number: u64,
        /// When the item was made, by this router's clock.
        made_at: Time,
        body: Arc<[u8]>,
    },
    /// The items up to this number were missed.
    Missed {
        lease: LeaseName,
        token: Token,
        through: u64,
    },
}

/// A gap in the numbers.
#[derive(Debug, Clone, Copy)]
struct Gap {
    since: Time,
    /// When the missing items are requested next.
    fetch_at: Time,
}

/// The state of one topic's numbers at a receiver.
#[derive(Debug, Clone, Default)]
pub(crate) struct SequenceTracker {
    /// Token and number of the last item delivered or reported as missed.
    pub last: Option<(Token, u64)>,
    /// Last item delivered before the receiver left the topic; nothing up to it is delivered again.
    delivered_before_leaving: Option<(Token, u64)>,
    lease: Option<LeaseName>,
    /// Items that arrived while an earlier one is missing: when each was made, and its content, by number.
    ahead: BTreeMap<u64, (Time, Arc<[u8]>)>,
    /// The newest number that is known to exist.
    latest_known: u64,
    /// Whether the newest item replaces all earlier ones. Then a gap is never skipped: the newest item is requested
    /// until it arrives.
    collapses: bool,
    /// The gap after `last`, if there is one.
    gap: Option<Gap>,
    deliveries: Vec<Delivery>,
}

impl SequenceTracker {
    /// Creates a tracker for a topic that its receiver left after this item and subscribes to again.
    pub fn resume_after(delivered_before_leaving: Option<(Token, u64)>) -> Self {
        SequenceTracker {
            delivered_before_leaving,
            ..SequenceTracker::default()
        }
    }

    /// Returns the last item ever delivered, including those before the receiver left the topic.
    pub fn last_delivered(&self) -> Option<(Token, u64)> {
        self.last.max(self.delivered_before_leaving)
    }

    /// Returns the deliveries since the last call.
    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    fn last_number(&self) -> u64 {
        self.last.map_or(0, |(_, number)| number)
    }

    /// Switches to the numbers of another token, or starts with the first one.
    fn switch_to(
        &mut self,
        rules: &Rules,
        topic: &Topic,
        lease: &LeaseName,
        token: Token,
        start: u64,
    ) {
        let start = match self.delivered_before_leaving {
            Some((delivered_token, number)) if delivered_token == token => start.max(number),
            _ => start,
        };
        self.ahead.clear();
        self.gap = None;
        self.latest_known = start;
        self.lease = Some(lease.clone());
        self.collapses = topic.collapses();
        self.last = Some((token, start));
        // How far the earlier numbering went is unknown, so the receiver has to get the earlier state elsewhere.
        if !topic.collapses() && rules.is_enabled(Guard::Gap) {
            self.deliveries.push(Delivery::Missed {
                lease: lease.clone(),
                token,
                through: start,
            });
        }
    }

    /// Returns whether the numbers of this token count, that is, whether the token is not older than the last one.
    fn is_current(&self, rules: &Rules, token: Token) -> bool {
        self.last_delivered()
            .is_none_or(|(last, _)| token >= last || !rules.is_enabled(Guard::Fence))
    }

    pub fn receive_item(&mut self, rules: &Rules, now: Time, item: &Item, extra_delay: Micros) {
        if !self.is_current(rules, item.token) || item.number == 0 {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != item.token) {
            let start = if item.topic.collapses() {
                0
            } else {
                item.number - 1
            };
            self.switch_to(rules, &item.topic, &item.lease, item.token, start);
        }
        self.latest_known = self.latest_known.max(item.number);
        let made_at = now.saturating_sub(item.age.saturating_add(extra_delay));
        if item.number <= self.last_number() {
            return;
        }
        let deliver_at_once = item.topic.collapses() || !rules.is_enabled(Guard::Gap);
        if deliver_at_once || item.number == self.last_number() + 1 {
            self.deliver(item.number, made_at, item.body.clone());
            self.deliver_ahead();
        } else {
            self.ahead.insert(item.number, (made_at, item.body.clone()));
            if self.ahead.len() > MAX_ITEMS_AHEAD {
                self.give_up_gap();
            }
        }
        self.update_gap(now);
    }

    /// Takes a notice that the items up to this number are no longer available.
    pub fn receive_missed(&mut self, rules: &Rules, now: Time, topic_number: &TopicNumber) {
        if !self.is_current(rules, topic_number.token) {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != topic_number.token) {
            self.switch_to(
                rules,
                &topic_number.topic,
                &topic_number.lease,
                topic_number.token,
                topic_number.number,
            );
        } else if topic_number.number > self.last_number() {
            self.skip_through(topic_number.number);
        }
        self.latest_known = self.latest_known.max(topic_number.number);
        self.deliver_ahead();
        self.update_gap(now);
    }

    /// Takes an announcement of the sender's newest number.
    pub fn receive_latest_number(&mut self, rules: &Rules, now: Time, topic_number: &TopicNumber) {
        if !self.is_current(rules, topic_number.token) || !rules.is_enabled(Guard::Gap) {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != topic_number.token) {
            let start = if topic_number.topic.collapses() {
                0
            } else {
                topic_number.number
            };
            self.switch_to(
                rules,
                &topic_number.topic,
                &topic_number.lease,
                topic_number.token,
                start,
            );
        }
        self.latest_known = self.latest_known.max(topic_number.number);
        self.update_gap(now);
    }

    /// Returns the token and number after which items are to be requested now, if there is a gap. The request is
    /// repeated after `retry_after`.
    pub fn next_fetch(
        &mut self,
        rules: &Rules,
        now: Time,
        retry_after: Micros,
    ) -> Option<(Token, u64)> {
        let Gap { since, fetch_at } = self.gap?;
        if now >= since + crate::us_from_ms(rules.gap_ms) {
            self.give_up_gap();
            self.gap = self.gap.map(|_| Gap {
                since: now,
                fetch_at,
            });
            self.update_gap(now);
        }
        let Gap { fetch_at, .. } = self.gap?;
        if now < fetch_at {
            return None;
        }
        self.gap = self.gap.map(|gap| Gap {
            fetch_at: now + retry_after,
            ..gap
        });
        self.last
    }

    /// Returns when [`SequenceTracker::next_fetch`] has to be called next.
    pub fn next_turn(&self) -> Time {
        self.gap.map_or(Time::MAX, |gap| gap.fetch_at)
    }

    /// Opens or closes the gap, depending on whether items up to the latest known number are missing.
    fn update_gap(&mut self, now: Time) {
        let has_gap = self.latest_known > self.last_number();
        if !has_gap {
            self.gap = None;
        } else if self.gap.is_none() {
            self.gap = Some(Gap {
                since: now,
                fetch_at: now,
            });
        }
    }

    fn deliver(&mut self, number: u64, made_at: Time, body: Arc<[u8]>) {
        let (Some((token, _)), Some(lease)) = (self.last, self.lease.clone()) else {
            return;
        };
        self.last = Some((token, number));
        self.deliveries.push(Delivery::Item {
            lease,
            token,
            number,
            made_at,
            body,
        });
    }

    /// Reports the items up to this number as missed.
    fn skip_through(&mut self, through: u64) {
        let (Some((token, _)), Some(lease)) = (self.last, self.lease.clone()) else {
            return;
        };
        self.last = Some((token, through));
        self.ahead.retain(|number, _| *number > through);
        self.deliveries.push(Delivery::Missed {
            lease,
            token,
            through,
        });
    }

    /// Delivers the buffered items that now follow without a gap.
    fn deliver_ahead(&mut self) {
        let before = self.last_number();
        while let Some((made_at, body)) = self.ahead.remove(&(self.last_number() + 1)) {
            self.deliver(self.last_number() + 1, made_at, body);
        }
        if self.last_number() > before {
            self.gap = None;
        }
    }

    /// Reports a gap that was not filled in time as missed, and continues after it. A gap in positions is reported too, but
    /// stays open, so that the newest position is requested until it arrives.
    fn give_up_gap(&mut self) {
        if self.collapses {
            if let (Some((token, _)), Some(lease)) = (self.last, self.lease.clone()) {
                self.deliveries.push(Delivery::Missed {
                    lease,
                    token,
                    through: self.latest_known,
                });
            }
            return;
        }
        let through = self
            .ahead
            .keys()
            .next()
            .map_or(self.latest_known, |first| first - 1);
        self.skip_through(through);
        self.deliver_ahead();
    }
}
