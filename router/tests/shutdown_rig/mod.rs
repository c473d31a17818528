//! Planned restarts of a router process: clients go on using their connections after SIGTERM, nodes hang, and SIGKILL comes
//! at the earliest time that the protocol page allows. Everything is drawn from a seed or given by a test. The requests
//! that the router lost are found afterwards from the clients' own records.

pub mod client;
pub mod plan;

use crate::standing_fleet::{Start, TEST_TIMEOUT, group, listing, with_status};
use client::{ConnectionEnd, Record};
use plan::{Plan, PlannedSignal};
use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

/// SIGKILL comes this long after SIGTERM and the longest deadline. Requests that come earlier after SIGTERM than this may
/// be found unanswered.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest deadline that counts for SIGKILL.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// A request that was written less than this before the router closed its connection may have crossed the close. A router
/// may be held up for as long between reading its clock and writing.
const CROSSING_TIME: Duration = Duration::from_millis(150);
/// Time from SIGTERM until a router may close connections between requests: new ones keep coming until then.
const FIRST_CLOSE: Duration = Duration::from_millis(400);
/// Time after a request's timeout during which its answer still counts.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time from the start of the clients until SIGTERM.
const TIME_BEFORE_SIGTERM: Duration = Duration::from_millis(1_200);

/// What a planned restart showed.
pub struct Outcome {
    /// All requests of all clients.
    pub records: Vec<Record>,
    /// The requests that were lost, with what became of each.
    pub lost: Vec<String>,
    /// Time from SIGTERM until the router ended by itself; `None` if it was killed.
    pub ended_after: Option<Duration>,
    /// The router's log.
    pub log: Vec<String>,
}

/// The times of the signals.
#[derive(Clone, Copy, Debug)]
struct Signals {
    sigterm_at: Instant,
    sigkill_at: Instant,
}

/// Returns the time from SIGTERM until the earliest SIGKILL, for the classes of a plan.
pub fn earliest_kill(plan: &Plan) -> Duration {
    let longest = plan.deadlines_ms.iter().max().copied().unwrap_or(0);
    MAX_DEADLINE_BEFORE_KILL.min(Duration::from_millis(longest)) + KILL_MARGIN
}

fn config(plan: &Plan, agent: &Agent, entries: &[Value]) -> String {
    let start = Start {
        sockets: plan.sockets,
        ..Start::with_agent("", agent, entries)
    };
    let text = start.config(&agent.address().to_string());
    let mut config: Value = serde_json::from_str(&text).expect("valid JSON");
    let deadlines = plan.deadlines_ms.iter().enumerate();
    let classes: Vec<Value> = deadlines
        .map(|(index, deadline_ms)| {
            let (name, effect) = plan::CLASSES[index];
            json!({"Name": name, "Aim": deadline_ms * 400, "Deadline": deadline_ms * 1_000, "Gain": 1.0, "LateWorth": 0.5, "Effect": effect})
        })
        .collect();
    config["settings"]["Profiles"] = classes.into();
    config["settings"]["Limits"]["Cancel"] = plan.cancel_allowed.into();
    config.to_string()
}

/// Plays a planned restart.
pub fn play(plan: &Plan) -> Outcome {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let folder = Folder::new(&plan.name).expect("a folder");
    let file = folder.write("config.json", &config(plan, &agent, &entries));
    let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
    let mut router = Process::start(program, &file.expect("a file"), |command| {
        command.env("PROXY_LOG", "debug")
    })
    .expect("the router starts");
    assert!(agent.wait_for_calls(2, TEST_TIMEOUT), "the list is applied");
    let sigterm_at = Instant::now() + TIME_BEFORE_SIGTERM;
    let kill_after = earliest_kill(plan);
    let sigkill_at = sigterm_at + kill_after;
    let signals = Signals {
        sigterm_at,
        sigkill_at,
    };
    let clients: Vec<_> = plan
        .clients
        .iter()
        .enumerate()
        .map(|(number, script)| {
            let (script, listen) = (script.clone(), router.listen());
            std::thread::spawn(move || client::run(number, &script, listen, sigterm_at, sigkill_at))
        })
        .collect();
    let ended_at = std::thread::scope(|scope| {
        scope.spawn(|| fail_nodes(plan, &nodes, sigterm_at));
        scope.spawn(|| change_list(plan, &agent, &entries, sigterm_at));
        send_signals(plan, &mut router, sigterm_at);
        let ended_at = wait_until_ended(&mut router, sigkill_at);
        router.send_signal(ProcessSignal::Kill);
        ended_at
    });
    let ended_after = ended_at.map(|at| at - sigterm_at);
    let records: Vec<Record> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("no panic"))
        .collect();
    let lost = records
        .iter()
        .filter_map(|record| fault_of(record, signals))
        .collect();
    Outcome {
        records,
        lost,
        ended_after,
        log: router.lines(),
    }
}

/// Lets the nodes begin to fail as planned.
fn fail_nodes(plan: &Plan, nodes: &[Node], sigterm_at: Instant) {
    sleep_until(sigterm_at - plan.nodes_fail_before);
    for (node, behavior) in nodes.iter().zip(plan.node_behaviors) {
        node.set_behavior(behavior);
    }
}

/// Lets the last replica leave, if that is planned.
fn change_list(plan: &Plan, agent: &Agent, entries: &[Value], sigterm_at: Instant) {
    let Some(at) = plan.replica_leaves_at else {
        return;
    };
    sleep_until(at.from(sigterm_at));
    let leaving = with_status(entries, 2, "leaving");
    agent.push_reply(AgentReply::Body(listing(43, &leaving)));
}

fn send_signals(plan: &Plan, router: &mut Process, sigterm_at: Instant) {
    let mut planned = plan.signals.clone();
    planned.sort_by_key(|signal| signal.at);
    for PlannedSignal { at, signal } in planned {
        sleep_until(at.from(sigterm_at));
        router.send_signal(signal);
    }
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Waits for the end of the process. Returns the time at which it ended, if it ended before `until`.
fn wait_until_ended(router: &mut Process, until: Instant) -> Option<Instant> {
    let status = router.wait_for_exit(until.saturating_duration_since(Instant::now()))?;
    assert!(status.success(), "{status}: {:#?}", router.lines());
    Some(Instant::now())
}

/// Returns what became of a request if that breaks a rule.
fn fault_of(record: &Record, signals: Signals) -> Option<String> {
    let since_sigterm = |at: Instant| match at.checked_duration_since(signals.sigterm_at) {
        Some(after) => format!("+{:.3}", after.as_secs_f64()),
        None => format!("-{:.3}", (signals.sigterm_at - at).as_secs_f64()),
    };
    let sent = format!(
        "client {} ({}), request {} of {} ms, written at {}",
        record.client,
        record.kind,
        record.id,
        record.timeout.as_millis(),
        since_sigterm(record.written_at)
    );
    if let Some(answer) = &record.answer {
        let due = record.written_at.max(record.first_in_line_at) + record.timeout + ANSWER_GRACE;
        let is_late = record.reads_at_once && answer.at > due;
        return is_late.then(|| {
            let at = since_sigterm(answer.at);
            format!("{sent}: answered too late, with {} at {at}", answer.label)
        });
    }
    let (end, ended_at) = record.end;
    let was_killed = ended_at >= signals.sigkill_at;
    let is_exempt = if !record.reads_at_once {
        // It has not seen the close, which may have come at any time from the first one on.
        record.written_at + CROSSING_TIME >= signals.sigterm_at + FIRST_CLOSE
    } else if was_killed {
        record.written_at <= signals.sigterm_at + KILL_MARGIN
    } else {
        record.written_at + CROSSING_TIME >= ended_at
    };
    (!is_exempt).then(|| {
        let how = match (was_killed, end) {
            (true, _) => "found unanswered by SIGKILL",
            (false, ConnectionEnd::Closed) => "its connection was closed without an answer",
            (false, ConnectionEnd::Reset) => "its connection was reset without an answer",
        };
        format!("{sent}: {how} at {}", since_sigterm(ended_at))
    })
}
