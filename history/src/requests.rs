//! Checks of requests: a write runs at most once, a session sees its own writes, no read is staler than its class
//! allows, and each request has one final answer.

use crate::report::{ReportBuilder, RunContext};
use crate::{Event, LineRef, Outcome, ProcessKind, RequestEnded, RequestSent, StatementRan, Time};
use std::collections::{BTreeMap, HashMap};

/// A write that ran. After [`raise_positions`], position and line are those of the highest position up to this time.
struct Write<'a> {
    time: Time,
    position: u64,
    line_ref: LineRef<'a>,
}

/// The writes of each session and group, with the times at which the client received the answers.
type Sessions<'a> = HashMap<(&'a str, u64), Vec<Write<'a>>>;

/// All lines about one request.
#[derive(Default)]
struct Request<'a> {
    sent: Vec<(LineRef<'a>, &'a RequestSent)>,
    ended: Vec<(LineRef<'a>, &'a RequestEnded)>,
    ran: Vec<(LineRef<'a>, &'a StatementRan)>,
}

/// The writes of each group, with the times at which they ran.
type Writes<'a> = HashMap<u64, Vec<Write<'a>>>;

pub(crate) fn check(run: &RunContext<'_>, report: &mut ReportBuilder) {
    let mut requests: BTreeMap<&str, Request<'_>> = BTreeMap::new();
    for line_ref in run.history.lines().filter(|line_ref| !line_ref.line.claim) {
        match &line_ref.line.event {
            Event::RequestSent(sent) => requests
                .entry(&sent.id)
                .or_default()
                .sent
                .push((line_ref, sent)),
            Event::RequestEnded(ended) => requests
                .entry(&ended.id)
                .or_default()
                .ended
                .push((line_ref, ended)),
            Event::StatementRan(ran) => requests
                .entry(&ran.id)
                .or_default()
                .ran
                .push((line_ref, ran)),
            _ => {}
        }
    }
    report.counts.requests = requests.values().map(|request| request.sent.len()).sum();
    report.counts.statements = requests.values().map(|request| request.ran.len()).sum();
    for (id, request) in &requests {
        check_answers(run, report, id, request);
        check_write(run, report, id, request);
    }
    let writes = writes_by_group(&requests);
    let mut sessions: Sessions<'_> = HashMap::new();
    for request in requests.values() {
        let ([(_, sent)], [(ended_line, ended)], [(write_line, write), ..]) =
            (&request.sent[..], &request.ended[..], &request.ran[..])
        else {
            continue;
        };
        if sent.write && ended.outcome == Outcome::Served {
            let session_writes = sessions.entry((&sent.session, sent.group)).or_default();
            session_writes.push(Write {
                time: ended_line.line.time,
                position: write.position,
                line_ref: *write_line,
            });
        }
    }
    for session_writes in sessions.values_mut() {
        raise_positions(session_writes);
    }
    for (id, request) in &requests {
        let [(request_line, sent)] = request.sent[..] else {
            continue;
        };
        let served = request
            .ended
            .iter()
            .any(|(_, ended)| ended.outcome == Outcome::Served);
        // If several attempts ran, any of them may be the one that was answered, so the one with the highest position
        // counts.
        let latest_read = request
            .ran
            .iter()
            .filter(|(_, ran)| !ran.write)
            .max_by_key(|(_, ran)| ran.position);
        let Some((read_line, read)) = latest_read.filter(|_| served && !sent.write) else {
            continue;
        };
        let sent_time = request_line.line.time;
        let own_write = sessions
            .get(&(&*sent.session, sent.group))
            .and_then(|session_writes| newest_write(session_writes, sent_time));
        if let Some((position, write)) = own_write.filter(|(position, _)| *position > read.position)
        {
            let description = format!(
                "{id} saw the log of {} up to {}, but not the session's own write at {position}",
                read.node, read.position
            );
            report.add(
                "own-writes",
                &sent.session,
                description,
                &[write, request_line, *read_line],
            );
        }
        let freshness_bound = sent
            .max_staleness
            .and_then(|max_staleness| sent_time.checked_sub(max_staleness));
        let required =
            freshness_bound.and_then(|time| newest_write(writes.get(&sent.group)?, time));
        if let Some((position, write)) = required.filter(|(position, _)| *position > read.position)
        {
            let max_staleness = sent.max_staleness.unwrap_or(0);
            let description = format!(
                "{id} saw the log of {} up to {}, which is staler than {max_staleness} us",
                read.node, read.position
            );
            let description = format!("{description}: {position} had been written before");
            report.add("stale", id, description, &[write, request_line, *read_line]);
        }
    }
}

/// Sorts writes by time and replaces the position of each by the highest position so far.
fn raise_positions(writes: &mut [Write<'_>]) {
    writes.sort_by_key(|write| write.time);
    for i in 1..writes.len() {
        if writes[i].position < writes[i - 1].position {
            (writes[i].position, writes[i].line_ref) =
                (writes[i - 1].position, writes[i - 1].line_ref);
        }
    }
}

/// Returns the highest position that was written at this time.
fn newest_write<'a>(writes: &[Write<'a>], time: Time) -> Option<(u64, LineRef<'a>)> {
    let count = writes.partition_point(|write| write.time <= time);
    count
        .checked_sub(1)
        .map(|i| (writes[i].position, writes[i].line_ref))
}

/// Returns the writes of each group.
fn writes_by_group<'a>(requests: &BTreeMap<&str, Request<'a>>) -> Writes<'a> {
    let mut writes: Writes<'a> = HashMap::new();
    for (line_ref, ran) in requests
        .values()
        .flat_map(|request| &request.ran)
        .filter(|(_, ran)| ran.write)
    {
        writes.entry(ran.group).or_default().push(Write {
            time: line_ref.line.time,
            position: ran.position,
            line_ref: *line_ref,
        });
    }
    writes.values_mut().for_each(|group| raise_positions(group));
    writes
}

/// Checks that a request has exactly one final answer, and not that of another request.
fn check_answers(
    run: &RunContext<'_>,
    report: &mut ReportBuilder,
    id: &str,
    request: &Request<'_>,
) {
    if let [(first, _), (second, _), ..] = request.sent[..] {
        report.add(
            "answers",
            id,
            "two requests with one id".into(),
            &[first, second],
        );
    }
    if let [(first, _), (second, _), ..] = request.ended[..] {
        report.add("answers", id, "two final answers".into(), &[first, second]);
    }
    let Some((request_line, sent)) = request.sent.first() else {
        // The line of the request may be missing in a torn file of a client.
        if let Some((ended_line, _)) = request
            .ended
            .first()
            .filter(|_| !run.may_miss_events(ProcessKind::Client))
        {
            report.add(
                "answers",
                id,
                "an answer without a request".into(),
                &[*ended_line],
            );
        }
        return;
    };
    match request.ended.first() {
        None if run.may_miss_events(ProcessKind::Client) => {}
        None => report.add(
            "answers",
            id,
            "no final answer and no timeout".into(),
            &[*request_line],
        ),
        Some((ended_line, ended)) => match ended.outcome {
            Outcome::WrongValue => report.add(
                "answers",
                id,
                "the value of another request".into(),
                &[*request_line, *ended_line],
            ),
            Outcome::Unanswered
                if !may_lack_answer(
                    run,
                    &sent.router,
                    request_line.line.time,
                    ended_line.line.time,
                ) =>
            {
                let duration = (ended_line.line.time
                    - request_line.line.time.min(ended_line.line.time))
                    as f64
                    / 1e6;
                report.add(
                    "answers",
                    id,
                    format!("no answer in {duration:.2} s"),
                    &[*request_line, *ended_line],
                );
            }
            _ => {}
        },
    }
}

/// Returns whether a fault affected a process while a client waited for it, so that the client may receive no answer.
fn may_lack_answer(run: &RunContext<'_>, process: &str, from: Time, until: Time) -> bool {
    let during = |fault: &&crate::Fault| {
        fault.begin <= until && fault.end + run.bounds.max_recovery_time >= from
    };
    run.faults.iter().any(|fault| {
        fault.hits_processes && during(fault) && fault.processes.iter().any(|name| name == process)
    })
}

/// Checks that no write ran twice, that a served write ran, and that a rejected one did not.
fn check_write(run: &RunContext<'_>, report: &mut ReportBuilder, id: &str, request: &Request<'_>) {
    let writes: Vec<LineRef<'_>> = request
        .ran
        .iter()
        .filter(|(_, ran)| ran.write)
        .map(|(line_ref, _)| *line_ref)
        .collect();
    if writes.len() > 1 {
        report.add(
            "once",
            id,
            format!("a write ran {} times", writes.len()),
            &writes[..2],
        );
        return;
    }
    let [(request_line, sent), ..] = request.sent[..] else {
        return;
    };
    let Some((ended_line, ended)) = request.ended.first().filter(|_| sent.write) else {
        return;
    };
    if ended.outcome == Outcome::Served
        && writes.is_empty()
        && !run.may_miss_events(ProcessKind::Emulator)
    {
        report.add(
            "once",
            id,
            "a write was served and did not run".into(),
            &[request_line, *ended_line],
        );
    }
    if let (Outcome::Rejected, [write]) = (ended.outcome, &writes[..]) {
        report.add(
            "once",
            id,
            "a write was rejected and ran".into(),
            &[request_line, *write, *ended_line],
        );
    }
}
