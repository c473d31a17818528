//! Messages between publishers, gateways and subscribers. One datagram carries one body of several messages.

use crate::{Subscriber, Topic};
use plovercove_fencing::{LeaseName, Token};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Maximum length of a body (bytes): a datagram of 1,200 bytes less its envelope.
pub const MAX_BODY_BYTES: usize = 1_000;
/// Maximum length of an item (bytes): a body less its header and the names in the message.
pub const MAX_ITEM_BYTES: usize = 700;

/// Recipient of a body. One router may be gateway, publisher and subscriber at one address.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Recipient {
    /// The gateway at the address.
    Gateway,
    /// The publisher at the address.
    Publisher,
    /// The subscriber of this name.
    Subscriber(Arc<str>),
}

/// Header of a body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub to: Recipient,
    /// Zone and fencing token of the gateway that sends the body; `None` if a subscriber or a publisher sends it.
    pub gateway: Option<(Arc<str>, Token)>,
}

/// State of a subscription, in the order in which the states follow each other under one counter of the subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The subscription is active.
    Live,
    /// A gateway ended the subscription because the subscriber did not renew it in time.
    Expired,
    /// The subscriber ended the subscription.
    Left,
}

/// A subscription as gateways send it to each other. The derived order decides which of two entries is newer, so the
/// fields stay in this order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Entry {
    /// The incarnation of the subscriber.
    pub boot: u64,
    /// The subscriber's own counter, which rises with each change that the subscriber makes.
    pub counter: u64,
    /// State of the subscription.
    pub state: State,
    /// The subscriber; its zone is the zone of the gateway that delivers to it.
    pub subscriber: Subscriber,
    /// The topic subscribed to.
    pub topic: Topic,
}

/// An item of a topic as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Item {
    pub topic: Topic,
    pub lease: LeaseName,
    pub token: Token,
    pub number: u64,
    /// Age of the item when it was sent (us).
    pub age: u64,
    pub body: Arc<[u8]>,
}

/// A number within the numbering of a topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct TopicNumber {
    pub topic: Topic,
    pub lease: LeaseName,
    pub token: Token,
    pub number: u64,
}

/// Status that a gateway returns for a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RenewalStatus {
    /// The gateway's list has the subscriptions that the subscriber reported.
    Confirmed,
    /// The gateway's list differs: the subscriber has to declare all its subscriptions again, under a new counter.
    Differs,
    /// A later incarnation of the same name, with this `boot`, has subscribed.
    Replaced(u64),
    /// The list has no room for more subscriptions.
    Full,
}

/// Digest of one zone's list at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ZoneDigest {
    pub zone: Arc<str>,
    pub digest: u64,
    /// Time since the zone's own gateway last confirmed this copy of the list (us).
    pub age: u64,
}

/// Digest of one entry: the low four bytes of its key and of the hash of its content.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EntryDigest {
    pub key: [u8; 4],
    pub content: [u8; 4],
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    // From a subscriber.
    /// Renews the subscriptions. Carries digests of the subscriptions and of the last item received of each topic.
    Renew {
        name: Arc<str>,
        boot: u64,
        subscriptions_digest: u64,
        progress_digest: u64,
    },
    /// Declares that within `first..=last`, as of this counter, the subscriber has exactly these topics.
    Declare {
        name: Arc<str>,
        boot: u64,
        counter: u64,
        first: Option<Topic>,
        last: Option<Topic>,
        topics: Vec<Topic>,
    },
    /// Requests the items after this number.
    Fetch {
        name: Arc<str>,
        topic: Topic,
        token: Token,
        after: u64,
    },
    /// The subscriber uses another gateway now: its declarations here up to this counter no longer hold.
    Moved {
        name: Arc<str>,
        boot: u64,
        counter: u64,
    },
    // To a subscriber.
    /// Answers a renewal: repeats its `subscriptions_digest` and gives the time until the next renewal (us).
    RenewalReply {
        boot: u64,
        subscriptions_digest: u64,
        status: RenewalStatus,
        renewal_interval: u64,
    },
    // Items, from publishers to gateways and from gateways to subscribers.
    Item(Item),
    /// The sender's newest number of a topic.
    LatestNumber(TopicNumber),
    /// The items up to this number are no longer available.
    Missed(TopicNumber),
    // Between gateways.
    /// Starts a comparison: the digest of each zone's list.
    Digests {
        round: u32,
        zones: Vec<ZoneDigest>,
    },
    /// Answers with the sender's own digests and ages of the same lists.
    DigestReply {
        zones: Vec<ZoneDigest>,
    },
    /// Digests of the 16 subranges of a range.
    RangeDigests {
        zone: Arc<str>,
        round: u32,
        level: u8,
        index: u16,
        digests: [u32; 16],
    },
    /// Digests of the entries of a leaf.
    LeafContents {
        zone: Arc<str>,
        index: u16,
        entries: Vec<EntryDigest>,
    },
    /// Requests all entries of a range, because the sender has none of them.
    FetchRange {
        zone: Arc<str>,
        level: u8,
        index: u16,
    },
    /// Requests these entries of a leaf, by their keys.
    FetchEntries {
        index: u16,
        keys: Vec<[u8; 4]>,
    },
    /// An entry of the sender's list.
    Entry(Entry),
    /// An entry that a subscriber declared at a gateway which then lost its lease. The successor takes it only if it
    /// knows nothing newer.
    ProposedEntry(Entry),
    /// The lease has a newer token than the one that the receiver used.
    Rejected {
        lease: LeaseName,
        token: Token,
    },
}

pub(crate) fn encode_message(message: &Message) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

pub(crate) fn encode_header(header: &Header) -> Vec<u8> {
    postcard::to_allocvec(header).unwrap_or_default()
}

/// Decodes a body. Returns `None` if any part of it is invalid.
pub(crate) fn decode_body(body: &[u8]) -> Option<(Header, Vec<Message>)> {
    // No sender that respects the limit sends a body of this length.
    if body.len() > 2 * MAX_BODY_BYTES {
        return None;
    }
    let (header, mut rest) = postcard::take_from_bytes::<Header>(body).ok()?;
    let mut messages = Vec::new();
    while !rest.is_empty() {
        let (message, more) = postcard::take_from_bytes::<Message>(rest).ok()?;
        messages.push(message);
        rest = more;
    }
    let is_valid_name =
        |name: &Arc<str>| !name.is_empty() && name.len() <= plovercove_fencing::MAX_NAME_BYTES;
    let are_valid = messages.iter().all(|m| match m {
        Message::Renew { name, .. }
        | Message::Declare { name, .. }
        | Message::Fetch { name, .. }
        | Message::Moved { name, .. } => is_valid_name(name),
        Message::Entry(e) | Message::ProposedEntry(e) => {
            is_valid_name(&e.subscriber.name) && is_valid_name(&e.subscriber.zone)
        }
        Message::Item(item) => item.body.len() <= MAX_ITEM_BYTES,
        Message::Digests { zones, .. } | Message::DigestReply { zones } => {
            zones.iter().all(|zone| is_valid_name(&zone.zone))
        }
        Message::RangeDigests { zone, .. }
        | Message::LeafContents { zone, .. }
        | Message::FetchRange { zone, .. } => is_valid_name(zone),
        _ => true,
    });
    are_valid.then_some((header, messages))
}

/// Returns a hash of the parts that is equal on all routers. Each part is preceded by its length.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns a digest of a subscriber's topics, each with the counter under which it was declared. The order does not
/// matter.
pub(crate) fn subscriptions_digest<'a>(
    boot: u64,
    topics: impl Iterator<Item = (&'a Topic, u64)>,
) -> u64 {
    topics.fold(0, |sum, (topic, counter)| {
        sum ^ hash_parts(&[
            &boot.to_le_bytes(),
            topic.name().as_bytes(),
            &counter.to_le_bytes(),
        ])
    })
}

/// Returns the digest of the last item received of one topic. The digests of all topics are combined by XOR.
pub(crate) fn progress_digest(topic: &Topic, token: Token, number: u64) -> u64 {
    hash_parts(&[
        topic.name().as_bytes(),
        &token.0.to_le_bytes(),
        &number.to_le_bytes(),
    ])
}
