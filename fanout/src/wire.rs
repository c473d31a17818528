//! What goes between publishers, gateways and subscribers: several messages to a body of one datagram.

use crate::{Subscriber, Topic};
use plovercove_fencing::{LeaseName, Token};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The longest body (bytes): what is left of a datagram of 1,200 beside its envelope.
pub const MAX_BODY_BYTES: usize = 1_000;
/// The longest item of news (bytes): beside its head and the names in it.
pub const MAX_ITEM_BYTES: usize = 700;

/// Whom a body is for. One router may be all three at one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum For {
    /// The gateway that is there.
    Gateway,
    /// The publisher that is there.
    Publisher,
    /// The subscriber of this name.
    Subscriber(Arc<str>),
}

/// Before the messages of a body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub to: For,
    /// The zone whose gateway says it, and the token by which it does; none at subscribers and publishers.
    pub gateway: Option<(Arc<str>, Token)>,
}

/// How far a subscription is, in the order in which they follow each other for one number of the subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It holds.
    Live,
    /// A gateway ended it by age.
    Expired,
    /// The subscriber ended it.
    Left,
}

/// A subscription as gateways tell it to each other. Fields in the order in which they decide between two.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// The life of the subscriber.
    pub boot: u64,
    /// The subscriber's own number, which rises with each change that it makes.
    pub counter: u64,
    /// How far it is.
    pub state: State,
    /// Who; the zone is that of the gateway that tells it.
    pub subscriber: Subscriber,
    /// To what.
    pub topic: Topic,
}

/// One piece of news under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Told {
    pub topic: Topic,
    pub duty: LeaseName,
    pub token: Token,
    pub number: u64,
    /// How old it was when it was sent (us).
    pub age: u64,
    pub body: Arc<[u8]>,
}

/// How far the numbers of a topic are.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Mark {
    pub topic: Topic,
    pub duty: LeaseName,
    pub token: Token,
    pub number: u64,
}

/// What a gateway answers to a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Standing {
    /// It holds what the subscriber says it holds.
    Holds,
    /// It does not: the subscriber has to say all of it anew, under a new number.
    Differs,
    /// A later life of that name has taken its place.
    Replaced(u64),
    /// There are too many subscriptions.
    Full,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    // From a subscriber.
    /// It is there, what it holds (a sum over its topics), and how far it is in them (likewise).
    Renew {
        name: Arc<str>,
        boot: u64,
        holds: u64,
        at: u64,
    },
    /// Between these topics, both counted, it holds these and no other, as of this number.
    Declare {
        name: Arc<str>,
        boot: u64,
        counter: u64,
        from: Option<Topic>,
        through: Option<Topic>,
        topics: Vec<Topic>,
    },
    /// What comes after this number is missing.
    Fetch {
        name: Arc<str>,
        topic: Topic,
        token: Token,
        after: u64,
    },
    /// It has another gateway now: up to this number of its own nothing that was said here holds.
    Moved {
        name: Arc<str>,
        boot: u64,
        counter: u64,
    },
    // To a subscriber.
    /// Answers a renewal; `holds` is what that said, and `pause` (us) the time to the next.
    Stands {
        boot: u64,
        holds: u64,
        standing: Standing,
        pause: u64,
    },
    // News, to subscribers and from publishers to gateways.
    Item(Told),
    Heads(Mark),
    /// Up to this number it cannot be had any more.
    Missed(Mark),
    // Between gateways.
    /// For each zone the sum of its list, and how long ago that zone's gateway confirmed it (us).
    Sums {
        round: u32,
        zones: Vec<(Arc<str>, u64, u64)>,
    },
    /// The same of those where both were equal.
    Same {
        zones: Vec<(Arc<str>, u64, u64)>,
    },
    /// The sums of the 16 parts of a range.
    Ranges {
        zone: Arc<str>,
        round: u32,
        level: u8,
        index: u16,
        sums: [u32; 16],
    },
    /// What a leaf holds: the ends of keys, and of sums.
    Leaf {
        zone: Arc<str>,
        index: u16,
        held: Vec<([u8; 4], [u8; 4])>,
    },
    /// The whole of a range is asked for: nothing is there yet.
    All {
        zone: Arc<str>,
        level: u8,
        index: u16,
    },
    /// Entries of a leaf that are asked for.
    Want {
        index: u16,
        keys: Vec<[u8; 4]>,
    },
    Entry(Entry),
    /// An entry that an old owner took from a subscriber: asked for, not stated.
    Request(Entry),
    /// Another has this duty by a newer token.
    Refused {
        duty: LeaseName,
        token: Token,
    },
}

/// The bytes of one message.
pub(crate) fn bytes(message: &Message) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

pub(crate) fn head(head: &Head) -> Vec<u8> {
    postcard::to_allocvec(head).unwrap_or_default()
}

/// Reads a body: all of it, or nothing.
pub(crate) fn read(body: &[u8]) -> Option<(Head, Vec<Message>)> {
    // Longer ones come from no one who keeps to the datagram.
    if body.len() > 2 * MAX_BODY_BYTES {
        return None;
    }
    let (head, mut rest) = postcard::take_from_bytes::<Head>(body).ok()?;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, more) = postcard::take_from_bytes::<Message>(rest).ok()?;
        messages.push(message);
        rest = more;
    }
    let names =
        |name: &Arc<str>| !name.is_empty() && name.len() <= plovercove_fencing::MAX_NAME_BYTES;
    let fits = messages.iter().all(|m| match m {
        Message::Renew { name, .. }
        | Message::Declare { name, .. }
        | Message::Fetch { name, .. }
        | Message::Moved { name, .. } => names(name),
        Message::Entry(e) | Message::Request(e) => {
            names(&e.subscriber.name) && names(&e.subscriber.zone)
        }
        Message::Item(told) => told.body.len() <= MAX_ITEM_BYTES,
        Message::Sums { zones, .. } | Message::Same { zones } => {
            zones.iter().all(|(zone, ..)| names(zone))
        }
        Message::Ranges { zone, .. } | Message::Leaf { zone, .. } | Message::All { zone, .. } => {
            names(zone)
        }
        _ => true,
    });
    fits.then_some((head, messages))
}

/// A sum of words that all sides make alike.
pub(crate) fn hash(words: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for word in words {
        hasher.update(&(word.len() as u64).to_le_bytes());
        hasher.update(word);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// What a subscriber holds, and the number by which it said so, as one sum in any order.
pub(crate) fn holds<'a>(boot: u64, topics: impl Iterator<Item = (&'a Topic, u64)>) -> u64 {
    topics.fold(0, |sum, (topic, counter)| {
        sum ^ hash(&[
            &boot.to_le_bytes(),
            topic.name().as_bytes(),
            &counter.to_le_bytes(),
        ])
    })
}

/// How far one is in a topic, to be summed likewise.
pub(crate) fn at(topic: &Topic, token: Token, number: u64) -> u64 {
    hash(&[
        topic.name().as_bytes(),
        &token.0.to_le_bytes(),
        &number.to_le_bytes(),
    ])
}
