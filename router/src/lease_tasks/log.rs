//! Log lines of the lease tasks. Each has a `reason`; warnings and lease events also have a `help` for operators.

use super::{Counts, StateFileFault, WriteCounts};
use plovercove_fanout::{self as fanout, ClientCounts, Fault, GatewayCounts};
use plovercove_fencing::{FenceError, LeaseName, Token};
use plovercove_leases::{Counts as LeaseCounts, LeaseEvent, VoterStage};
use tracing::{info, warn};

/// Logs a fault of the voter's state file.
pub fn state_file_fault(fault: &StateFileFault) {
    warn!(reason = "decider's file", help = fault.help(), "{fault}");
}

/// Logs that this router is a voter without a state file.
pub fn no_state_file() {
    warn!(
        reason = "decider's file",
        help = "set `duties.file` to a path on a disk that outlives the process",
        "this router is listed as a voter and has no state file: it does not vote"
    );
}

/// Logs that a zone has no gateway, because its name is not valid in a lease name.
pub fn zone_without_gateway(zone: &str) {
    warn!(
        reason = "zone",
        help = "name the zone with letters, digits and / - _ . : only, in the settings of the platform",
        "zone {zone:?} cannot have a gateway: its name is not valid in the name of a lease"
    );
}

/// Logs a fault of the subscriptions.
pub fn fanout_fault(fault: &Fault) {
    warn!(reason = "fanout", help = fault.help(), "{fault}");
}

/// Logs a rejected message of a former lease holder.
pub fn rejected(why: &FenceError) {
    warn!(reason = "refused", help = why.help(), "{why}");
}

/// Logs an event of the leases.
pub fn lease_event(event: &LeaseEvent) {
    let (reason, help) = (event.label(), event.help());
    match event {
        LeaseEvent::Acquired {
            lease,
            token,
            resumes_from,
        } => {
            let begins = resumes_from.map(|token| token.0);
            info!(reason, help, duty = %lease, token = token.0, begins, "this router holds the lease {lease}");
        }
        LeaseEvent::Lost {
            lease,
            token,
            reason: cause,
        } => {
            let why = cause.label();
            info!(reason, help, duty = %lease, token = token.0, why, "this router no longer holds the lease {lease}");
        }
        LeaseEvent::HandedOver { lease, token, to } => {
            info!(reason, help, duty = %lease, token = token.0, to = to.name, "the lease {lease} was handed over to {}", to.name);
        }
        LeaseEvent::Released { lease, token } => {
            info!(reason, help, duty = %lease, token = token.0, "the lease {lease} was released: no router accepted it");
        }
        LeaseEvent::Suspended { lease, duration } => {
            warn!(reason, help, duty = %lease, ms = duration / 1_000, "the lease {lease} lost one holder after the other and is suspended");
        }
        LeaseEvent::MajorityLost => warn!(
            reason,
            help, "no majority of the voters answers: each router does the lease tasks itself"
        ),
        LeaseEvent::MajorityReached => info!(reason, help, "a majority of the voters answers"),
        LeaseEvent::Stalled { duration } => {
            warn!(
                reason,
                help,
                ms = duration / 1_000,
                "this process stalled and holds no leases"
            )
        }
        LeaseEvent::VoterStageChanged { stage, above } => {
            info!(
                reason,
                help,
                ?stage,
                above = above.0,
                "stage of this router as a voter: {stage:?}"
            );
        }
        LeaseEvent::StaleFile => warn!(reason, help, "the voter's state file is an old copy"),
        LeaseEvent::VoterFull { lease } => {
            warn!(reason, help, duty = %lease, "this voter does not track the lease {lease}: its table of leases is full")
        }
    }
}

/// Logs an event of the subscriptions.
pub fn fanout_event(event: &fanout::SubscriptionEvent) {
    match event {
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
            "items of {topic} were missed"
        ),
        fanout::SubscriptionEvent::SenderRejected { error } => rejected(error),
        fanout::SubscriptionEvent::GatewaySilent { since } => warn!(
            reason = "gateway silent",
            help = "nothing where it comes back within the gap after a kill; else look at the gateway of this zone",
            since,
            "the gateway does not answer: this router queries nodes itself"
        ),
        fanout::SubscriptionEvent::Replaced { boot } => warn!(
            reason = "replaced",
            help = "give each router its own name; this one is not told any more",
            boot,
            "a later incarnation under this router's name has subscribed"
        ),
        fanout::SubscriptionEvent::SubscriptionsFull => warn!(
            reason = "full",
            help = "raise `duties.fanout.subscriptions`",
            "the gateway accepts no more subscriptions"
        ),
    }
}

/// The state that is logged on SIGUSR1.
pub struct State<'a> {
    /// Leases that this router holds.
    pub held: &'a [(LeaseName, Token)],
    /// Leases with the holders that this router knows of.
    pub holders: &'a [(LeaseName, String, Token)],
    /// The stage of this router as a voter, if it is one.
    pub stage: Option<VoterStage>,
    /// Whether no majority of the voters answers.
    pub alone: bool,
    /// Number of subscribed topics.
    pub topics: usize,
    /// Whether the gateway has confirmed all subscriptions.
    pub settled: bool,
    /// Counts of the leases.
    pub leases: LeaseCounts,
    /// Counts of the subscriber.
    pub client: ClientCounts,
    /// Counts of the gateway.
    pub gateway: GatewayCounts,
    /// Counts of this module.
    pub counts: Counts,
    /// Writes of the voter's state file.
    pub writes: WriteCounts,
}

/// Logs the state.
pub fn log_state(state: &State<'_>) {
    let join = |all: Vec<String>| all.join(" ");
    info!(
        reason = "duties",
        owned = join(
            state
                .held
                .iter()
                .map(|(lease, token)| format!("{lease}{token}"))
                .collect()
        ),
        owners = join(
            state
                .holders
                .iter()
                .map(|(lease, holder, token)| format!("{lease}={holder}{token}"))
                .collect()
        ),
        stage = state.stage.map(|stage| format!("{stage:?}")),
        alone = state.alone,
        topics = state.topics,
        settled = state.settled,
        asked = state.counts.queried,
        unasked = state.counts.unanswered,
        told = state.counts.published,
        learned = state.counts.applied,
        other_life = state.counts.other_incarnation,
        unread = state.counts.undecodable,
        unsent = state.counts.unsent,
        written = state.writes.count,
        longest_write_us = state.writes.longest_us,
        all_writes_us = state.writes.total_us,
        "state of the lease tasks"
    );
    info!(reason = "counts", duties = ?state.leases, client = ?state.client, gateway = ?state.gateway, "counts of leases and subscriptions");
}
