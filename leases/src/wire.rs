//! Messages between routers about leases: the bodies of the parts that gossip carries.

use crate::ballot::Holder;
use plovercove_fencing::{LeaseName, Token};
use serde::{Deserialize, Serialize};

/// Version of the format. A body of another version is dropped.
const VERSION: u8 = 1;
/// Maximum length of a body, in bytes. It shares a datagram of gossip with other parts.
pub(crate) const MAX_BODY_BYTES: usize = 960;
/// Maximum length of a checkpoint's data, in bytes.
pub(crate) const MAX_CHECKPOINT_BYTES: usize = 64;

/// Stage of a voter between its start and its first vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum VoterStage {
    /// The voter votes.
    Voting,
    /// The voter knows up to which token it may have voted, and waits for the end of the leases that it may have granted.
    Waiting,
    /// The voter has no file of this generation, and reads the states of the other voters.
    Blank,
    /// The voter has the file of the previous generation, has sealed itself, and waits until a majority of that
    /// generation has done so.
    Joining,
    /// The router was a voter of the previous generation and is not one of this generation.
    Former,
}

/// Progress that a lease holder reported, so that the next holder resumes from it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    /// The token under which it was reported.
    pub token: Token,
    /// Number of the checkpoint under this token.
    pub count: u32,
    /// Data of the lease's work, opaque to this crate.
    pub data: Vec<u8>,
}

/// A request for one lease, or a poll of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RequestItem {
    pub lease: LeaseName,
    /// The requested token; [`Token::NONE`] polls the state of the lease.
    pub token: Token,
    pub checkpoint: Option<Checkpoint>,
}

/// State of a lease in a voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LeaseStatus {
    /// The voter granted the requested token.
    Granted,
    /// No lease is running.
    Free,
    /// The lease of this holder is running, and ends after this time at the voter.
    Held { holder: Holder, remaining_ms: u32 },
    /// The lease is suspended for this time.
    Suspended { remaining_ms: u32 },
    /// The voter already keeps the maximum number of leases.
    VoterFull,
}

/// A voter's answer about one lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub lease: LeaseName,
    /// The highest token that the voter may have voted for. It equals the requested token if that was granted.
    pub highest: Token,
    pub status: LeaseStatus,
    /// The previous holder's checkpoint, if the requested token is granted.
    pub checkpoint: Option<Checkpoint>,
}

/// A voter's state, as sent to another voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterState {
    pub generation: u32,
    /// Incarnation of the voter that queried the state.
    pub incarnation: u64,
    pub stage: VoterStage,
    /// The sender has never voted for a token above this one.
    pub token_ceiling: Token,
    /// The longest lease that the sender may have granted (ms).
    pub max_lease_ms: u64,
    /// The sender has promised not to vote in a generation below this one.
    pub sealed_below: u32,
    /// The latest ceiling that the receiver itself reported to the sender.
    pub receiver_ceiling: Token,
}

/// A message about leases, encoded as the body of one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a candidate or holder to the voters. The answers echo `requested_at`, the time on the sender's clock.
    Request {
        generation: u32,
        requested_at: u64,
        lease_ms: u32,
        items: Vec<RequestItem>,
    },
    /// From a voter to the router that sent a request, or to the successor in a transfer.
    Answers {
        generation: u32,
        incarnation: u64,
        requested_at: u64,
        stage: VoterStage,
        items: Vec<Answer>,
    },
    /// From a router to the voters: it will not use these tokens again.
    Release {
        generation: u32,
        items: Vec<(LeaseName, Token)>,
    },
    /// From a holder to a successor, to hand a lease over.
    Offer {
        generation: u32,
        lease: LeaseName,
        token: Token,
        checkpoint: Option<Checkpoint>,
    },
    /// From a successor to the holder: it accepts the offer. `requested_at` is the time on the successor's clock.
    Ready {
        generation: u32,
        lease: LeaseName,
        token: Token,
        requested_at: u64,
        lease_ms: u32,
    },
    /// From a holder to the voters: the successor `to` gets the next token.
    Transfer {
        generation: u32,
        lease: LeaseName,
        token: Token,
        to: Holder,
        requested_at: u64,
        lease_ms: u32,
    },
    /// From a successor to the previous holder: it holds the lease under this token.
    TransferDone {
        generation: u32,
        lease: LeaseName,
        token: Token,
    },
    /// From a voter to another: queries its state, and reports the sender's own ceiling.
    QueryState {
        generation: u32,
        token_ceiling: Token,
    },
    /// From a voter to another: answers [`Message::QueryState`].
    State(VoterState),
}

/// Encodes a message; returns `None` if it is longer than [`MAX_BODY_BYTES`].
pub(crate) fn encode(message: &Message) -> Option<Vec<u8>> {
    let out = postcard::to_extend(message, vec![VERSION]).ok()?;
    (out.len() <= MAX_BODY_BYTES).then_some(out)
}

/// Decodes a message; returns `None` if the bytes are malformed or of another version.
pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION || rest.len() > 4 * MAX_BODY_BYTES {
        return None;
    }
    let (message, rest) = postcard::take_from_bytes(rest).ok()?;
    let fits = |checkpoint: &Option<Checkpoint>| {
        checkpoint
            .as_ref()
            .is_none_or(|c| c.data.len() <= MAX_CHECKPOINT_BYTES)
    };
    let is_valid = match &message {
        Message::Request { items, .. } => items.iter().all(|i| fits(&i.checkpoint)),
        Message::Answers { items, .. } => items.iter().all(|i| fits(&i.checkpoint)),
        Message::Offer { checkpoint, .. } => fits(checkpoint),
        _ => true,
    };
    (rest.is_empty() && is_valid).then_some(message)
}

/// Encodes items as one message or, if they do not fit, halves them until each part does.
pub(crate) fn encode_in_parts<T: Clone>(
    items: &[T],
    make: &impl Fn(Vec<T>) -> Message,
) -> Vec<Vec<u8>> {
    if let Some(bytes) = encode(&make(items.to_vec())) {
        return vec![bytes];
    }
    if items.len() < 2 {
        return Vec::new();
    }
    let (left, right) = items.split_at(items.len() / 2);
    let mut out = encode_in_parts(left, make);
    out.extend(encode_in_parts(right, make));
    out
}
