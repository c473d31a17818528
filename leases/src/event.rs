//! Events of leases, for the log.

use crate::placement::Member;
use crate::wire::VoterStage;
use plovercove::Micros;
use plovercove_fencing::{LeaseName, Token};

/// Why a router no longer holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// No majority renewed the lease in time.
    Expired,
    /// A majority rejected the renewal: another router holds the lease, or it is suspended.
    Rejected,
    /// The process stalled, or its clock jumped.
    Stalled,
    /// The lease is no longer among the wanted ones.
    Unwanted,
}

impl LossReason {
    /// Returns the label of the reason in logs.
    pub fn label(self) -> &'static str {
        match self {
            LossReason::Expired => "lapsed",
            LossReason::Rejected => "refused",
            LossReason::Stalled => "stood",
            LossReason::Unwanted => "unwanted",
        }
    }
}

/// Something that happened to this router's leases, or to this router as a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This router acquired a lease.
    Acquired {
        /// The lease.
        lease: LeaseName,
        /// Its token.
        token: Token,
        /// The token under which the previous holder wrote the checkpoint to resume from, if one is known.
        resumes_from: Option<Token>,
    },
    /// This router lost a lease.
    Lost {
        /// The lease.
        lease: LeaseName,
        /// The token under which this router held it.
        token: Token,
        /// Why it was lost.
        reason: LossReason,
    },
    /// This router handed a lease over, and the successor confirmed that it holds it.
    HandedOver {
        /// The lease.
        lease: LeaseName,
        /// The token under which this router held it.
        token: Token,
        /// The successor.
        to: Member,
    },
    /// This router released a lease because no successor was ready.
    Released {
        /// The lease.
        lease: LeaseName,
        /// The token under which this router held it.
        token: Token,
    },
    /// The voters suspended a lease because several holders in a row were lost: nobody gets it for a while.
    Suspended {
        /// The lease.
        lease: LeaseName,
        /// How long it is suspended (us).
        duration: Micros,
    },
    /// No majority of the voters answers any more. Each router then does the work of all leases by itself.
    MajorityLost,
    /// A majority of the voters answers again.
    MajorityReached,
    /// The event loop stalled, or the clock jumped.
    Stalled {
        /// Length of the stall or of the jump (us).
        duration: Micros,
    },
    /// This router reached another stage as a voter.
    VoterStageChanged {
        /// The new stage.
        stage: VoterStage,
        /// It votes only for tokens above this one.
        above: Token,
    },
    /// Other voters have seen higher tokens from this voter than its file allows: the file is an old copy.
    StaleFile,
    /// A voter already keeps the maximum number of leases.
    VoterFull {
        /// The lease that was rejected.
        lease: LeaseName,
    },
}

impl LeaseEvent {
    /// Returns the label of the event in logs.
    pub fn label(&self) -> &'static str {
        match self {
            LeaseEvent::Acquired { .. } => "won",
            LeaseEvent::Lost { .. } => "lost",
            LeaseEvent::HandedOver { .. } => "handed over",
            LeaseEvent::Released { .. } => "given back",
            LeaseEvent::Suspended { .. } => "set aside",
            LeaseEvent::MajorityLost => "no majority",
            LeaseEvent::MajorityReached => "majority",
            LeaseEvent::Stalled { .. } => "stood still",
            LeaseEvent::VoterStageChanged { .. } => "decider",
            LeaseEvent::StaleFile => "stale file",
            LeaseEvent::VoterFull { .. } => "full",
        }
    }

    /// Returns what an operator can do about the event.
    pub fn help(&self) -> &'static str {
        match self {
            LeaseEvent::Acquired { .. }
            | LeaseEvent::HandedOver { .. }
            | LeaseEvent::MajorityReached => "nothing: this is normal operation",
            LeaseEvent::Lost { .. } => {
                "nothing if it is rare; otherwise check the links to the voters and the load of this machine"
            }
            LeaseEvent::Released { .. } => {
                "nothing if this was the last router; otherwise check why no other member was ready"
            }
            LeaseEvent::Suspended { .. } => {
                "read what the last holders of the lease logged before they ended, and report it"
            }
            LeaseEvent::MajorityLost => {
                "start the voters that are down, or repair the links to them; until then each router does the work of all leases by itself"
            }
            LeaseEvent::Stalled { .. } => {
                "check this machine: the process was stopped or starved, or the clock was set"
            }
            LeaseEvent::VoterStageChanged { stage, .. } => match stage {
                VoterStage::Voting | VoterStage::Waiting => {
                    "nothing: it votes after the longest lease has ended"
                }
                VoterStage::Blank => {
                    "nothing if a majority of the other voters is running; otherwise start them, since this voter reads their tokens first"
                }
                VoterStage::Joining => {
                    "give a majority of the previous voters the new settings too"
                }
                VoterStage::Former => "nothing: keep it running until the new voters vote",
            },
            LeaseEvent::StaleFile => {
                "do not restore a voter's file from a copy; the voter continues as if the file were lost"
            }
            LeaseEvent::VoterFull { .. } => {
                "lower the number of leases, or look for a router that invents names"
            }
        }
    }
}
