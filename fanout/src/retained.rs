//! The news that a sender holds of each topic: the newest few, by number within a token.

use crate::wire::{Mark, Told};
use crate::{Guard, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use std::collections::VecDeque;
use std::sync::Arc;

/// What is held of one topic.
#[derive(Debug, Clone)]
pub(crate) struct Held {
    pub duty: LeaseName,
    pub token: Token,
    /// The newest number; 0 before the first.
    pub head: u64,
    /// Up to this number nothing can be had.
    pub gone: u64,
    /// The newest, oldest first: the number, when it was made by this side's clock, and what it says.
    items: VecDeque<(u64, Time, Arc<[u8]>)>,
}

/// What a subscriber is to be told next.
pub(crate) enum Next {
    Told(Told),
    Missed(Mark),
}

impl Held {
    pub fn new(duty: LeaseName, token: Token) -> Self {
        Held {
            duty,
            token,
            head: 0,
            gone: 0,
            items: VecDeque::new(),
        }
    }

    /// Takes the next one in order.
    pub fn push(&mut self, rules: &Rules, topic: &Topic, number: u64, made: Time, body: Arc<[u8]>) {
        self.head = self.head.max(number);
        self.items.push_back((number, made, body));
        let most = if topic.collapses() && rules.is_enabled(Guard::Collapse) {
            1
        } else {
            rules.retained_items.max(1)
        };
        while self.items.len() > most && rules.is_enabled(Guard::Queue) {
            if let Some((number, ..)) = self.items.pop_front() {
                self.gone = self.gone.max(number);
            }
        }
    }

    /// Up to this number nothing can be had any more.
    pub fn lose(&mut self, through: u64) {
        self.head = self.head.max(through);
        self.gone = self.gone.max(through);
        self.items.retain(|(number, ..)| *number > through);
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn mark(&self, topic: &Topic, number: u64) -> Mark {
        Mark {
            topic: topic.clone(),
            duty: self.duty.clone(),
            token: self.token,
            number,
        }
    }

    fn told(&self, topic: &Topic, now: Time, item: &(u64, Time, Arc<[u8]>)) -> Told {
        let age: Micros = now.saturating_sub(item.1);
        let (duty, token) = (self.duty.clone(), self.token);
        Told {
            topic: topic.clone(),
            duty,
            token,
            number: item.0,
            age,
            body: item.2.clone(),
        }
    }

    /// What comes after a place, and the place then: one that nobody told anything has none.
    pub fn after(
        &self,
        rules: &Rules,
        topic: &Topic,
        now: Time,
        place: Option<(Token, u64)>,
    ) -> Option<(Next, u64)> {
        let at = place
            .filter(|(token, _)| *token == self.token)
            .map(|(_, number)| number);
        if at.is_some_and(|at| at >= self.head) {
            return None;
        }
        if topic.collapses() && rules.is_enabled(Guard::Collapse) {
            let newest = self.items.back()?;
            return (at.is_none_or(|at| newest.0 > at))
                .then(|| (Next::Told(self.told(topic, now, newest)), self.head));
        }
        // Who is new begins at the newest: what was before it has to be asked for elsewhere. Who knows an older token
        // begins with this one's first.
        let at = match (at, place) {
            (Some(at), _) => at,
            (None, Some(_)) => 0,
            (None, None) => return Some((Next::Missed(self.mark(topic, self.head)), self.head)),
        };
        if at < self.gone {
            return Some((Next::Missed(self.mark(topic, self.gone)), self.gone));
        }
        let item = self.items.iter().find(|(number, ..)| *number > at)?;
        Some((Next::Told(self.told(topic, now, item)), item.0))
    }
}
