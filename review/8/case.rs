//! Sessions' writes that the router has forgotten, when replicas join from a copy that is some seconds old.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Age of the copy from which the new replicas start (2.2 to 7.9 s).
const COPY_AGE_US: u64 = 6_000_000;
/// Seconds of the log that a replica applies in a second: its one thread is busy for 45 to 66% of the time.
const CATCH_UP_PACE: f64 = 1.6;
/// Clients, each with one session after the other.
const CLIENTS: usize = 120;
/// A session reads what it has written after these times (ms).
const READS_AFTER: [u64; 8] = [300, 600, 1_000, 1_400, 1_800, 2_200, 2_600, 3_000];
/// Sessions that have written when the replicas join.
const SESSIONS_BEFORE_JOIN: usize = 1_024;
const SLACK_US: u64 = 50_000;

const FAMILY: &str = r#""AnswersStamped":true,"BaseTime":0,"ClassRead":["recent","own_writes","loose","loose","update"],"HoldsFor":0,"MaxAge":[3000000,0,0,0,0],"ReportX0":"position in seconds after zero","ReportX1":"1 from a primary","ServerChecks":"silent","SessionMarks":"router","ShowsRole":"delayed","Synchronous":false"#;

fn main() {
    run(case)
}

/// What the router was told of a session's writes: the commit of each, and when its answer had come to the client.
struct Written {
    key: String,
    commit_us: u64,
    answered_us: u64,
}

fn case(record: &Record, folder: &Path) -> bool {
    let group = Group::new(record, true, 60_000, true);
    let follows = Log::Follows { delay_us: 8_000 };
    let mut members: Vec<Arc<Member>> = ["p", "r1", "r2", "r3", "r4"]
        .iter()
        .map(|name| Member::start(name, 1, &group, *name == "p", follows))
        .collect();
    let list = |members: &[Arc<Member>], joined_ms: u64| -> Vec<String> {
        members
            .iter()
            .map(|m| {
                let role = if m.name == "p" { "primary" } else { "standby" };
                entry(m, "active", role, if m.name.starts_with("new") { joined_ms } else { 0 })
            })
            .collect()
    };
    let agent = Agent::start();
    agent.set(list(&members, 0));
    let listen = free_address();
    // One router has the traffic of the whole deployment.
    let settings = config(listen, agent.address, &agent.known(), FAMILY, PROFILES).replace(r#""Balancers":3"#, r#""Balancers":1"#);
    let mut router = Router::start(folder, &settings, listen, None);
    record.line("the router has answered the empty query");

    let written: Arc<Mutex<Vec<Written>>> = Arc::default();
    let sessions = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (written, sessions, record, is_over) = (written.clone(), sessions.clone(), record.clone(), is_over.clone());
            thread::spawn(move || {
                let mut connection = Session::new(listen);
                let mut count = 0;
                // The clients don't write in step.
                sleep_ms(number as u64 * 3_000 / CLIENTS as u64);
                // The shares of the members.
                let tenant = match number % 100 {
                    0..56 => "xe-chung-sai-gon",
                    56..83 => "di-cung-ha-noi",
                    _ => "ghep-xe-mien-trung",
                };
                while !is_over.load(Ordering::Relaxed) {
                    let key = format!("s{number}x{count}");
                    let id = |what: &str| format!("{what}{number}x{count}");
                    let begun = now_us();
                    let answer = connection.query(&format!(
                        "/* id={},c=book-seat,t={tenant},d=5000,cluster=1 */ INSERT INTO objects (oid, body) VALUES ('{key}', 'x') RETURNING body",
                        id("w")
                    ));
                    record.line(format!("client: {} answered with {answer:?}", id("w")));
                    if matches!(answer, Answer::Row(_)) {
                        written.lock().unwrap().push(Written { key: key.clone(), commit_us: 0, answered_us: now_us() });
                        sessions.fetch_add(1, Ordering::Relaxed);
                    }
                    for (nth, after) in READS_AFTER.iter().enumerate() {
                        sleep_until(begun + after * 1000);
                        let read = id(&format!("r{nth}x"));
                        let answer = connection.query(&format!(
                            "/* id={read},c=my-booking,t={tenant},d=1000,cluster=1 */ SELECT body FROM objects WHERE oid = '{key}'"
                        ));
                        record.line(format!("client: {read} answered with {answer:?}"));
                    }
                    count += 1;
                }
            })
        })
        .collect();
    // Reads of any data go on beside them, so that the router hears the positions of all replicas.
    let reader = {
        let is_over = is_over.clone();
        thread::spawn(move || {
            let mut connection = Session::new(listen);
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                connection.query(&format!(
                    "/* id=any{count},c=trip-search,t=di-cung-ha-noi,d=750,cluster=1 */ SELECT body FROM objects WHERE oid = 'trip{count}'"
                ));
                count += 1;
                sleep_ms(15);
            }
        })
    };
    while sessions.load(Ordering::Relaxed) < SESSIONS_BEFORE_JOIN {
        sleep_ms(2);
        if record.at(now_us()) > 70_000 {
            unable("too few sessions have written");
        }
    }
    record.line(format!("{} sessions have written", sessions.load(Ordering::Relaxed)));
    if trouble() {
        let since = now_us();
        let copy = since - COPY_AGE_US;
        let log = Log::CatchesUp { from_us: copy, since_us: since, pace: CATCH_UP_PACE };
        members.extend(["new1", "new2"].map(|name| Member::start(name, 1, &group, false, log)));
        record.line(format!("two new replicas start from copies of {} and join", record.at(copy)));
        agent.set(list(&members, since / 1000));
    }
    sleep_ms(10_000);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let _ = reader.join();
    if !router.is_running() {
        record.say("the router has ended");
        return true;
    }

    // The checks: each read that a node answered after the session's write had been answered must have seen that write.
    let runs = group.runs.lock().unwrap();
    let commits: std::collections::HashMap<&str, u64> =
        runs.iter().filter(|run| run.is_write).map(|run| (run.key.as_str(), run.position)).collect();
    let mut written = written.lock().unwrap();
    written.iter_mut().for_each(|w| w.commit_us = commits.get(w.key.as_str()).copied().unwrap_or(0));
    let by_key: std::collections::HashMap<&str, &Written> = written.iter().map(|w| (w.key.as_str(), w)).collect();
    let (mut reads, mut stale, mut at_new) = (0, 0, 0);
    for run in runs.iter().filter(|run| !run.is_write && run.class == "my-booking") {
        let Some(write) = by_key.get(run.key.as_str()) else { continue };
        reads += 1;
        at_new += usize::from(run.node.starts_with("new"));
        if run.as_primary || run.at_us < write.answered_us || run.position + SLACK_US >= write.commit_us {
            continue;
        }
        stale += 1;
        record.line(format!(
            "session {}: write committed at {}, answered by {}; read {} answered by {} at {} from data of {}, saw {}",
            run.key,
            record.at(write.commit_us),
            record.at(write.answered_us),
            run.id,
            run.node,
            record.at(run.at_us),
            record.at(run.position),
            if run.saw.is_some() { "the write" } else { "nothing" }
        ));
    }
    record.say(format!(
        "{} writes; {reads} reads of sessions that had written, {at_new} of them at the new replicas; {stale} were answered from data without the session's write",
        written.len()
    ));
    stale > 0
}
