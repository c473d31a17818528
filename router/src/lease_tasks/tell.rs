//! What the log is told of duties and subscriptions: a line each, with `reason` and with `help` for operators.

use super::{Counts, FileFault, WriteCounts};
use plovercove_fanout::{self as fanout, ClientCounts, Fault, GatewayCounts};
use plovercove_fencing::{FenceError, LeaseName, Token};
use plovercove_leases::{Counts as LeaseCounts, LeaseEvent, VoterStage};
use tracing::{info, warn};

/// A fault of the decider's file.
pub fn file(fault: &FileFault) {
    warn!(reason = "decider's file", help = fault.help(), "{fault}");
}

/// A decider without a file.
pub fn no_file() {
    warn!(
        reason = "decider's file",
        help = "set `duties.file` to a path on a disk that outlives the process",
        "this router is listed as a decider and has no file: it does not vote"
    );
}

/// A zone that can have no gateway.
pub fn zone(zone: &str) {
    warn!(
        reason = "zone",
        help = "name the zone with letters, digits and / - _ . : only, in the settings of the platform",
        "zone {zone:?} can have no gateway"
    );
}

/// A fault of subscriptions or news.
pub fn fault(fault: &Fault) {
    warn!(reason = "fanout", help = fault.help(), "{fault}");
}

/// An owner that was replaced, and spoke.
pub fn refused(why: &FenceError) {
    warn!(reason = "refused", help = why.help(), "{why}");
}

/// What became of duties.
pub fn duties(news: &LeaseEvent) {
    let (reason, help) = (news.label(), news.help());
    match news {
        LeaseEvent::Acquired {
            lease: duty,
            token,
            resumes_from: begins,
        } => {
            let begins = begins.map(|t| t.0);
            info!(reason, help, %duty, token = token.0, begins, "{duty} is owned by this router");
        }
        LeaseEvent::Lost {
            lease: duty,
            token,
            reason: why,
        } => {
            let why = why.label();
            info!(reason, help, %duty, token = token.0, why, "{duty} is no longer owned by this router");
        }
        LeaseEvent::HandedOver {
            lease: duty,
            token,
            to,
        } => {
            info!(reason, help, %duty, token = token.0, to = to.name, "{duty} is {}'s now", to.name);
        }
        LeaseEvent::Released { lease: duty, token } => {
            info!(reason, help, %duty, token = token.0, "{duty} was given back, nobody took it");
        }
        LeaseEvent::Suspended {
            lease: duty,
            duration: span,
        } => {
            warn!(reason, help, %duty, ms = span / 1_000, "{duty} lost one owner after the other, and is left alone");
        }
        LeaseEvent::MajorityLost => warn!(
            reason,
            help, "too few deciders answer: each router does all by itself"
        ),
        LeaseEvent::MajorityReached => info!(reason, help, "a majority of the deciders answers"),
        LeaseEvent::Stalled { duration: span } => {
            warn!(
                reason,
                help,
                ms = span / 1_000,
                "this router stood still, and owns nothing"
            )
        }
        LeaseEvent::VoterStageChanged { stage, above } => {
            info!(
                reason,
                help,
                ?stage,
                above = above.0,
                "as a decider this router is {stage:?}"
            );
        }
        LeaseEvent::StaleFile => warn!(reason, help, "the decider's file is an old copy"),
        LeaseEvent::VoterFull { lease: duty } => {
            warn!(reason, help, %duty, "no more duties are taken than there are")
        }
    }
}

/// What became of subscriptions.
pub fn fanout(news: &fanout::SubscriptionEvent) {
    match news {
        fanout::SubscriptionEvent::Item { .. } => {}
        fanout::SubscriptionEvent::Missed {
            topic,
            token,
            through,
        } => info!(
            reason = "missed",
            help = "nothing: nodes are asked by this router itself until the next news",
            %topic,
            token = token.0,
            through,
            "news of {topic} was missed"
        ),
        fanout::SubscriptionEvent::SenderRejected { error } => refused(error),
        fanout::SubscriptionEvent::GatewaySilent { since } => warn!(
            reason = "gateway silent",
            help = "nothing where it comes back within the gap after a kill; else look at the gateway of this zone",
            since,
            "the gateway does not answer: this router asks nodes by itself"
        ),
        fanout::SubscriptionEvent::Replaced { boot } => warn!(
            reason = "replaced",
            help = "give each router its own name; this one is not told any more",
            boot,
            "a later life of this router's name subscribes"
        ),
        fanout::SubscriptionEvent::SubscriptionsFull => warn!(
            reason = "full",
            help = "raise `duties.fanout.subscriptions`",
            "the gateway takes no more subscriptions"
        ),
    }
}

/// What SIGUSR1 tells.
pub struct Dump<'a> {
    /// Owned by this router.
    pub owned: &'a [(LeaseName, Token)],
    /// Believed to be owned, and by whom.
    pub owners: &'a [(LeaseName, String, Token)],
    /// How far it is as a decider.
    pub stage: Option<VoterStage>,
    /// Too few deciders answer.
    pub alone: bool,
    /// Topics that are subscribed to.
    pub topics: usize,
    /// The gateway holds them.
    pub settled: bool,
    /// Counts of duties.
    pub duties: LeaseCounts,
    /// Counts of the subscriber.
    pub client: ClientCounts,
    /// Counts of the gateway.
    pub gateway: GatewayCounts,
    /// Counts of the router's side.
    pub counts: Counts,
    /// Writes of the voter's state file.
    pub writes: WriteCounts,
}

/// Tells it.
pub fn dump(told: &Dump<'_>) {
    let list = |all: Vec<String>| all.join(" ");
    info!(
        reason = "duties",
        owned = list(
            told.owned
                .iter()
                .map(|(duty, token)| format!("{duty}{token}"))
                .collect()
        ),
        owners = list(
            told.owners
                .iter()
                .map(|(duty, who, token)| format!("{duty}={who}{token}"))
                .collect()
        ),
        stage = told.stage.map(|stage| format!("{stage:?}")),
        alone = told.alone,
        topics = told.topics,
        settled = told.settled,
        asked = told.counts.asked,
        unasked = told.counts.unasked,
        told = told.counts.told,
        learned = told.counts.learned,
        other_life = told.counts.other_life,
        unread = told.counts.unread,
        unsent = told.counts.unsent,
        written = told.writes.count,
        longest_write_us = told.writes.longest_us,
        all_writes_us = told.writes.total_us,
        "what this router does for the fleet"
    );
    info!(reason = "counts", duties = ?told.duties, client = ?told.client, gateway = ?told.gateway, "what it counted");
}
