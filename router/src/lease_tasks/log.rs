//! Log lines of the lease tasks. Each has a `reason`; warnings and lease events also have a `help` for operators.

use super::{Counts, FileFault, WriteCounts};
use plovercove_fanout::{self as fanout, ClientCounts, Fault, GatewayCounts};
use plovercove_fencing::{Duty, Refused, Token};
use plovercove_leases::{Counts as LeaseCounts, News, Stage};
use tracing::{info, warn};

/// Logs a fault of the voter's state file.
pub fn state_file_fault(fault: &FileFault) {
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
pub fn rejected(why: &Refused) {
    warn!(reason = "refused", help = why.help(), "{why}");
}

/// Logs an event of the leases.
pub fn lease_event(news: &News) {
    let (reason, help) = (news.word(), news.help());
    match news {
        News::Won {
            duty,
            token,
            begins,
        } => {
            let begins = begins.map(|t| t.0);
            info!(reason, help, %duty, token = token.0, begins, "this router holds the lease {duty}");
        }
        News::Lost { duty, token, why } => {
            let why = why.word();
            info!(reason, help, %duty, token = token.0, why, "this router no longer holds the lease {duty}");
        }
        News::HandedOver { duty, token, to } => {
            info!(reason, help, %duty, token = token.0, to = to.name, "the lease {duty} was handed over to {}", to.name);
        }
        News::GivenBack { duty, token } => {
            info!(reason, help, %duty, token = token.0, "the lease {duty} was released: no router accepted it");
        }
        News::SetAside { duty, span } => {
            warn!(reason, help, %duty, ms = span / 1_000, "the lease {duty} lost one holder after the other and is suspended");
        }
        News::NoMajority => warn!(
            reason,
            help, "no majority of the voters answers: each router does the lease tasks itself"
        ),
        News::Majority => info!(reason, help, "a majority of the voters answers"),
        News::Stood { span } => {
            warn!(
                reason,
                help,
                ms = span / 1_000,
                "this process stalled and holds no leases"
            )
        }
        News::Decider { stage, above } => {
            info!(
                reason,
                help,
                ?stage,
                above = above.0,
                "stage of this router as a voter: {stage:?}"
            );
        }
        News::Stale => warn!(reason, help, "the voter's state file is an old copy"),
        News::Full { duty } => {
            warn!(reason, help, %duty, "the lease {duty} is ignored: the table of leases is full")
        }
    }
}

/// Logs an event of the subscriptions.
pub fn fanout_event(news: &fanout::News) {
    match news {
        fanout::News::Item { .. } => {}
        fanout::News::Missed {
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
        fanout::News::Refused { why } => rejected(why),
        fanout::News::Silent { since } => warn!(
            reason = "gateway silent",
            help = "nothing where it comes back within the gap after a kill; else look at the gateway of this zone",
            since,
            "the gateway does not answer: this router queries nodes itself"
        ),
        fanout::News::Replaced { boot } => warn!(
            reason = "replaced",
            help = "give each router its own name; this one is not told any more",
            boot,
            "a later incarnation under this router's name has subscribed"
        ),
        fanout::News::Full => warn!(
            reason = "full",
            help = "raise `duties.fanout.subscriptions`",
            "the gateway accepts no more subscriptions"
        ),
    }
}

/// The state that is logged on SIGUSR1.
pub struct State<'a> {
    /// Leases that this router holds.
    pub held: &'a [(Duty, Token)],
    /// Leases with the holders that this router knows of.
    pub holders: &'a [(Duty, String, Token)],
    /// The stage of this router as a voter, if it is one.
    pub stage: Option<Stage>,
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
                .map(|(duty, token)| format!("{duty}{token}"))
                .collect()
        ),
        owners = join(
            state
                .holders
                .iter()
                .map(|(duty, holder, token)| format!("{duty}={holder}{token}"))
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
        unread = state.counts.unread,
        unsent = state.counts.unsent,
        written = state.writes.count,
        longest_write_us = state.writes.longest_us,
        all_writes_us = state.writes.total_us,
        "state of the lease tasks"
    );
    info!(reason = "counts", duties = ?state.leases, client = ?state.client, gateway = ?state.gateway, "counts of leases and subscriptions");
}
