//! The watch of a group: whom its owner asks and when, what it tells of the answers, and what routers take of that.

use crate::upstream::QueryAnswer;
use plovercove::{GroupId, Micros, NodeId, NodeReport, Role, Time};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Answers that come within this of the first (us) are told together: a datagram for each group and not for each node.
const GATHER: Micros = 20_000;
/// A node that has not answered for so long (us) is asked again: its question was lost with its connection. Longer than
/// any connection is waited for.
const LOST: Micros = 5_000_000;
/// The longest item (bytes), one datagram's worth. What does not fit is told first the next time.
const ITEM: usize = plovercove_fanout::ITEM;

/// What one node said of itself, as it is told to others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The node.
    pub node: String,
    /// Which of its lives said it, by the list: when it started.
    pub started: Option<Time>,
    /// Up to when it has applied every commit.
    pub position: Option<Time>,
    /// Whether it is the primary.
    pub primary: Option<bool>,
    /// How many requests it holds.
    pub held: Option<u32>,
    /// How busy it is, in thousandths.
    pub busy: Option<u32>,
    /// How long ago it was asked (us).
    pub age: Micros,
}

impl Word {
    /// What it comes to at a router that has it so much later (us).
    pub fn standing(&self, under_way: Micros) -> NodeReport {
        NodeReport {
            position: self.position,
            role: self.primary.map(|primary| {
                if primary {
                    Role::Primary
                } else {
                    Role::Replica
                }
            }),
            in_flight: self.held,
            utilization_permille: self.busy,
            age: self.age.saturating_add(under_way),
        }
    }
}

/// Reads an item. It came from the network, so there is nothing in it that a datagram cannot hold.
pub fn words(item: &[u8]) -> Option<Vec<Word>> {
    let (words, rest) = postcard::take_from_bytes::<Vec<Word>>(item).ok()?;
    rest.is_empty().then_some(words)
}

/// What a node answered the owner.
struct Answer {
    asked: Time,
    started: Option<Time>,
    said: NodeReport,
    /// When it was told last.
    told: Time,
}

/// A group that this router watches.
struct Watched {
    token: Token,
    /// When its nodes are asked next.
    due: Time,
    /// Nodes that have not answered, and since when.
    out: BTreeMap<NodeId, Time>,
    answers: BTreeMap<NodeId, Answer>,
    /// When what came is told at the latest.
    tell: Option<Time>,
}

/// The groups that this router watches for the fleet.
pub struct Watches {
    every: Micros,
    groups: BTreeMap<GroupId, Watched>,
}

impl Watches {
    /// None yet; nodes are asked so often (us).
    pub fn new(every: Micros) -> Self {
        Watches {
            every,
            groups: BTreeMap::new(),
        }
    }

    /// This router owns these watches and no others. Gives back those that it owns no more.
    ///
    /// A new one begins at once: each node has one group, and each group one owner, so this floods nobody.
    pub fn own(&mut self, now: Time, owned: &BTreeMap<GroupId, Token>) -> Vec<GroupId> {
        let lost: Vec<GroupId> = self
            .groups
            .iter()
            .filter(|(group, w)| owned.get(group) != Some(&w.token))
            .map(|(group, _)| *group)
            .collect();
        lost.iter()
            .for_each(|group| drop(self.groups.remove(group)));
        for (group, token) in owned {
            self.groups.entry(*group).or_insert_with(|| Watched {
                token: *token,
                due: now,
                out: BTreeMap::new(),
                answers: BTreeMap::new(),
                tell: None,
            });
        }
        lost
    }

    /// Groups whose nodes are to be asked now, with the token by which.
    pub fn due(&mut self, now: Time) -> Vec<(GroupId, Token)> {
        let mut due = Vec::new();
        for (group, watched) in self.groups.iter_mut().filter(|(_, w)| w.due <= now) {
            // After a pause it goes on from now, and does not make up for what it missed.
            watched.due = now + self.every;
            due.push((*group, watched.token));
        }
        due
    }

    /// Whether a node is to be asked: one that still owes an answer is not asked twice.
    pub fn ask(&mut self, now: Time, group: GroupId, node: &NodeId) -> bool {
        let Some(watched) = self.groups.get_mut(&group) else {
            return false;
        };
        if watched
            .out
            .get(node)
            .is_some_and(|asked| now < asked + LOST)
        {
            return false;
        }
        watched.out.insert(node.clone(), now);
        true
    }

    /// A node answered, or did not.
    pub fn answered(
        &mut self,
        now: Time,
        group: GroupId,
        node: &NodeId,
        started: Option<Time>,
        answer: Option<QueryAnswer>,
    ) {
        let Some(watched) = self.groups.get_mut(&group) else {
            return;
        };
        watched.out.remove(node);
        let Some(answer) = answer else { return };
        let told = watched.answers.get(node).map_or(0, |a| a.told);
        watched.answers.insert(
            node.clone(),
            Answer {
                asked: answer.asked_at,
                started,
                said: answer.report,
                told,
            },
        );
        watched.tell = Some(watched.tell.unwrap_or(now + GATHER));
        if watched.out.is_empty() {
            watched.tell = Some(now);
        }
    }

    /// What is to be told now, one item for each group at the most.
    pub fn items(&mut self, now: Time) -> Vec<(GroupId, Token, Vec<u8>)> {
        let mut items = Vec::new();
        for (group, watched) in &mut self.groups {
            if watched.tell.take_if(|at| *at <= now).is_none() {
                continue;
            }
            // A node that is not asked any more has nothing to say: it left, or is silent.
            let oldest = now.saturating_sub(4 * self.every + LOST);
            watched.answers.retain(|_, a| a.asked >= oldest);
            if let Some(item) = item(now, &mut watched.answers) {
                items.push((*group, watched.token, item));
            }
        }
        items
    }

    /// When something is due.
    pub fn next(&self) -> Time {
        let each = self
            .groups
            .values()
            .map(|w| w.due.min(w.tell.unwrap_or(Time::MAX)));
        each.min().unwrap_or(Time::MAX)
    }
}

/// Those that were not told for longest first, as many as fit.
fn item(now: Time, answers: &mut BTreeMap<NodeId, Answer>) -> Option<Vec<u8>> {
    let mut order: Vec<(Time, NodeId)> = answers
        .iter()
        .map(|(node, a)| (a.told, node.clone()))
        .collect();
    order.sort();
    let mut told: Vec<Word> = Vec::new();
    let mut bytes = 2;
    for (_, node) in order {
        let Some(answer) = answers.get_mut(&node) else {
            continue;
        };
        let word = Word {
            node: node.to_string(),
            started: answer.started,
            position: answer.said.position,
            primary: answer.said.role.map(|role| role == Role::Primary),
            held: answer.said.in_flight,
            busy: answer.said.utilization_permille,
            age: now.saturating_sub(answer.asked),
        };
        let length = postcard::to_allocvec(&word).map_or(usize::MAX, |b| b.len());
        if bytes + length > ITEM {
            break;
        }
        bytes += length;
        answer.told = now;
        told.push(word);
    }
    (!told.is_empty())
        .then(|| postcard::to_allocvec(&told).ok())
        .flatten()
}

#[cfg(test)]
mod tests;
