//! What the log is told of duties.

use crate::place::Member;
use crate::wire::Stage;
use plovercove::Micros;
use plovercove_fencing::{Duty, Token};

/// Why a duty is no longer owned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// No majority renewed the lease in time.
    Lapsed,
    /// A majority refused: another has it, or it is set aside.
    Refused,
    /// The router stood still, or its clock jumped.
    Stood,
    /// It is no longer among what there is to do.
    Unwanted,
}

impl Why {
    /// In a word, for logs.
    pub fn word(self) -> &'static str {
        match self {
            Why::Lapsed => "lapsed",
            Why::Refused => "refused",
            Why::Stood => "stood",
            Why::Unwanted => "unwanted",
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// This router owns a duty now; where its predecessor's work is known, it begins from what was finished under `begins`.
    Won {
        /// The duty.
        duty: Duty,
        /// Its token.
        token: Token,
        /// Under which token the work was done from which it begins.
        begins: Option<Token>,
    },
    /// It owns it no longer.
    Lost {
        /// The duty.
        duty: Duty,
        /// The token that it had.
        token: Token,
        /// Why.
        why: Why,
    },
    /// It was handed to another, who took it.
    HandedOver {
        /// The duty.
        duty: Duty,
        /// The token that this router had.
        token: Token,
        /// Who took it.
        to: Member,
    },
    /// It was given back without a successor: none was ready.
    GivenBack {
        /// The duty.
        duty: Duty,
        /// The token that this router had.
        token: Token,
    },
    /// Its owners were lost one after the other: nobody gets it for this time.
    SetAside {
        /// The duty.
        duty: Duty,
        /// For so long (us).
        span: Micros,
    },
    /// Too few deciders answer: chores are done by each router.
    NoMajority,
    /// A majority of the deciders answers.
    Majority,
    /// The loop stood still for so long (us), or the clock jumped.
    Stood {
        /// How long (us).
        span: Micros,
    },
    /// As a decider, it has come so far.
    Decider {
        /// How far.
        stage: Stage,
        /// It votes for tokens over this only.
        above: Token,
    },
    /// Others know of higher tokens of this decider than its file: the file is an old copy.
    Stale,
    /// A decider holds as many duties as it may.
    Full {
        /// The one that was refused.
        duty: Duty,
    },
}

impl News {
    /// In a word, for logs.
    pub fn word(&self) -> &'static str {
        match self {
            News::Won { .. } => "won",
            News::Lost { .. } => "lost",
            News::HandedOver { .. } => "handed over",
            News::GivenBack { .. } => "given back",
            News::SetAside { .. } => "set aside",
            News::NoMajority => "no majority",
            News::Majority => "majority",
            News::Stood { .. } => "stood still",
            News::Decider { .. } => "decider",
            News::Stale => "stale file",
            News::Full { .. } => "full",
        }
    }

    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            News::Won { .. } | News::HandedOver { .. } | News::Majority => {
                "nothing: this is as it should be"
            }
            News::Lost { .. } => {
                "nothing where it is rare; else look at the links to the deciders and at the machine's load"
            }
            News::GivenBack { .. } => {
                "nothing where this was the last router; else see why no peer was ready"
            }
            News::SetAside { .. } => {
                "look at what the duty's last owners logged before they ended; send that in"
            }
            News::NoMajority => {
                "start the deciders that are down, or mend the links to them; until then each router does all by itself"
            }
            News::Stood { .. } => {
                "look at the machine: it was stopped, starved or its clock was set"
            }
            News::Decider { stage, .. } => match stage {
                Stage::Voting | Stage::Waiting => {
                    "nothing: it votes when the longest lease is over"
                }
                Stage::Blank => {
                    "nothing where a majority of the other deciders runs; else start them: it reads their tokens first"
                }
                Stage::Joining => "give a majority of the former deciders the new settings too",
                Stage::Former => "nothing: keep it running until the new deciders vote",
            },
            News::Stale => {
                "do not restore a decider's file from a copy; it goes on as if the file were lost"
            }
            News::Full { .. } => {
                "lower the number of duties, or look for a router that makes names up"
            }
        }
    }
}
