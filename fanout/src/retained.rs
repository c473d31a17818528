//! Items that a sender retains of each topic for retransmission: the newest few, by number within a token.

use crate::wire::{Item, TopicNumber};
use crate::{Guard, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use std::collections::VecDeque;
use std::sync::Arc;

/// A retained item.
#[derive(Debug, Clone)]
struct RetainedItem {
    number: u64,
    /// When the item was made, by this router's clock.
    made_at: Time,
    body: Arc<[u8]>,
}

/// The retained items of one topic.
#[derive(Debug, Clone)]
pub(crate) struct RetainedItems {
    pub lease: LeaseName,
    pub token: Token,
    /// The newest number; 0 before the first item.
    pub latest: u64,
    /// Items up to this number are no longer available.
    pub lost_through: u64,
    /// The newest items, oldest first.
    items: VecDeque<RetainedItem>,
}

/// What a receiver is sent next.
pub(crate) enum NextDelivery {
    Item(Item),
    /// The items up to this number are no longer available.
    Missed(TopicNumber),
}

impl RetainedItems {
    pub fn new(lease: LeaseName, token: Token) -> Self {
        RetainedItems {
            lease,
            token,
            latest: 0,
            lost_through: 0,
            items: VecDeque::new(),
        }
    }

    /// Adds the next item in order.
    pub fn push(
        &mut self,
        rules: &Rules,
        topic: &Topic,
        number: u64,
        made_at: Time,
        body: Arc<[u8]>,
    ) {
        self.latest = self.latest.max(number);
        self.items.push_back(RetainedItem {
            number,
            made_at,
            body,
        });
        let capacity = if topic.collapses() && rules.is_enabled(Guard::Collapse) {
            1
        } else {
            rules.retained_items.max(1)
        };
        while self.items.len() > capacity && rules.is_enabled(Guard::Queue) {
            if let Some(oldest) = self.items.pop_front() {
                self.lost_through = self.lost_through.max(oldest.number);
            }
        }
    }

    /// Marks all items up to this number as unavailable.
    pub fn discard_through(&mut self, through: u64) {
        self.latest = self.latest.max(through);
        self.lost_through = self.lost_through.max(through);
        self.items.retain(|item| item.number > through);
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns a number of this topic with its lease and token.
    pub fn topic_number(&self, topic: &Topic, number: u64) -> TopicNumber {
        TopicNumber {
            topic: topic.clone(),
            lease: self.lease.clone(),
            token: self.token,
            number,
        }
    }

    fn make_item(&self, topic: &Topic, now: Time, item: &RetainedItem) -> Item {
        let age: Micros = now.saturating_sub(item.made_at);
        let (lease, token) = (self.lease.clone(), self.token);
        Item {
            topic: topic.clone(),
            lease,
            token,
            number: item.number,
            age,
            body: item.body.clone(),
        }
    }

    /// Returns what follows the last item that the receiver has, and the number that the receiver is at afterwards.
    /// `received` is `None` for a receiver that was never sent anything.
    pub fn next_after(
        &self,
        rules: &Rules,
        topic: &Topic,
        now: Time,
        received: Option<(Token, u64)>,
    ) -> Option<(NextDelivery, u64)> {
        let after = received
            .filter(|(token, _)| *token == self.token)
            .map(|(_, number)| number);
        if after.is_some_and(|after| after >= self.latest) {
            return None;
        }
        if topic.collapses() && rules.is_enabled(Guard::Collapse) {
            let newest = self.items.back()?;
            return (after.is_none_or(|after| newest.number > after)).then(|| {
                (
                    NextDelivery::Item(self.make_item(topic, now, newest)),
                    self.latest,
                )
            });
        }
        // A new receiver starts at the newest number and has to get the earlier state elsewhere. A receiver that knows
        // an older token starts at the first number of this token.
        let after = match (after, received) {
            (Some(after), _) => after,
            (None, Some(_)) => 0,
            (None, None) => {
                return Some((
                    NextDelivery::Missed(self.topic_number(topic, self.latest)),
                    self.latest,
                ));
            }
        };
        if after < self.lost_through {
            return Some((
                NextDelivery::Missed(self.topic_number(topic, self.lost_through)),
                self.lost_through,
            ));
        }
        let item = self.items.iter().find(|item| item.number > after)?;
        Some((
            NextDelivery::Item(self.make_item(topic, now, item)),
            item.number,
        ))
    }
}
