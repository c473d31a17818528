//! What routers say to each other about duties: the bodies of parts that peers carry.

use crate::ballot::Holder;
use plovercove_fencing::{Duty, Token};
use serde::{Deserialize, Serialize};

/// The version of bodies; others are dropped.
const VERSION: u8 = 1;
/// No body is longer (bytes): it goes beside others in a datagram of peers.
pub(crate) const MOST: usize = 960;
/// What an owner has finished takes no more bytes.
pub(crate) const MARK: usize = 64;

/// How far a decider has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It votes.
    Voting,
    /// It knows what it may have voted for, and waits for the leases to end that it may have granted.
    Waiting,
    /// It has no file of this generation, and reads the others.
    Blank,
    /// It has the file of the generation before, has sealed itself, and waits for others to do so.
    Joining,
    /// It was a decider of the generation before, and is none now.
    Former,
}

/// What an owner has finished, so that the next begins from there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Mark {
    /// The token under which it was finished.
    pub token: Token,
    /// Counts within the token.
    pub count: u32,
    /// Whatever the duty wrote.
    pub what: Vec<u8>,
}

/// One duty that is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Item {
    pub duty: Duty,
    /// None to look only.
    pub token: Token,
    pub mark: Option<Mark>,
}

/// What is said of one duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    Voted,
    Free,
    Held { by: Holder, left_ms: u32 },
    Aside { left_ms: u32 },
    Full,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answer {
    pub duty: Duty,
    /// The highest token that the decider may have voted for; that which it votes for where it does.
    pub highest: Token,
    pub word: Word,
    /// To whom is granted a new token: what the predecessor has finished.
    pub mark: Option<Mark>,
}

/// What a decider says of itself to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    pub generation: u32,
    /// Whose question this answers: its life.
    pub boot: u64,
    pub stage: Stage,
    /// It has never voted for a token over this.
    pub ceiling: Token,
    /// The longest lease that it may have granted (ms).
    pub longest_ms: u64,
    /// It has promised to vote for no generation under this.
    pub sealed: u32,
    /// The ceiling that the asker itself told at last.
    pub yours: Token,
}

/// One body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// To deciders. `stamp` is the asker's clock, and comes back as it is.
    Ask {
        generation: u32,
        stamp: u64,
        lease_ms: u32,
        items: Vec<Item>,
    },
    /// To whom asked, or to whom something was passed.
    Answers {
        generation: u32,
        boot: u64,
        stamp: u64,
        stage: Stage,
        items: Vec<Answer>,
    },
    /// To deciders: tokens that will not be used again.
    Release {
        generation: u32,
        items: Vec<(Duty, Token)>,
    },
    /// To a successor: be ready for this.
    Offer {
        generation: u32,
        duty: Duty,
        token: Token,
        mark: Option<Mark>,
    },
    /// To who offers: the successor's clock and lease.
    Ready {
        generation: u32,
        duty: Duty,
        token: Token,
        stamp: u64,
        lease_ms: u32,
    },
    /// To deciders: the next token is its.
    Pass {
        generation: u32,
        duty: Duty,
        token: Token,
        to: Holder,
        stamp: u64,
        lease_ms: u32,
    },
    /// To who offered: it is done.
    Took {
        generation: u32,
        duty: Duty,
        token: Token,
    },
    /// Between deciders. With the asker's ceiling.
    Read { generation: u32, ceiling: Token },
    /// Between deciders.
    State(State),
}

/// A body's bytes; none where it is too long to be sent.
pub(crate) fn write(body: &Body) -> Option<Vec<u8>> {
    let out = postcard::to_extend(body, vec![VERSION]).ok()?;
    (out.len() <= MOST).then_some(out)
}

/// The body of these bytes; none where they are none.
pub(crate) fn read(bytes: &[u8]) -> Option<Body> {
    let (version, rest) = bytes.split_first()?;
    if *version != VERSION || rest.len() > 4 * MOST {
        return None;
    }
    let (body, rest) = postcard::take_from_bytes(rest).ok()?;
    let fits = |mark: &Option<Mark>| mark.as_ref().is_none_or(|m| m.what.len() <= MARK);
    let sound = match &body {
        Body::Ask { items, .. } => items.iter().all(|i| fits(&i.mark)),
        Body::Answers { items, .. } => items.iter().all(|i| fits(&i.mark)),
        Body::Offer { mark, .. } => fits(mark),
        _ => true,
    };
    (rest.is_empty() && sound).then_some(body)
}

/// Cuts items into bodies that are short enough.
pub(crate) fn bodies<T: Clone>(items: &[T], make: &impl Fn(Vec<T>) -> Body) -> Vec<Vec<u8>> {
    if let Some(bytes) = write(&make(items.to_vec())) {
        return vec![bytes];
    }
    if items.len() < 2 {
        return Vec::new();
    }
    let (left, right) = items.split_at(items.len() / 2);
    let mut out = bodies(left, make);
    out.extend(bodies(right, make));
    out
}
