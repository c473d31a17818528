//! A former primary that has answered as a replica is taken for the primary again, because the list names it so.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::path::Path;
use std::sync::Arc;

/// The primary hangs for so long (6.6 to 21 s are on record).
const HANG_MS: u64 = 12_000;
/// The group gives it up after this time (1.4 to 3 s), and a replica takes over after that (1 to 4 s).
const GIVEN_UP_MS: u64 = 2_000;
const TAKES_OVER_MS: u64 = 2_000;
/// Seconds of the log that a replica applies in a second: its one thread is busy for 58% of the time at full load.
const CATCH_UP_PACE: f64 = 1.72;
/// Time without a request of this router for the group.
const QUIET_MS: u64 = 7_000;
/// Slack of the rule on the age of data, as on sockets.
const SLACK_US: u64 = 50_000;

const FAMILY: &str = r#""AnswersStamped":true,"BaseTime":0,"ClassRead":["recent","own_writes","loose","latest","update"],"HoldsFor":0,"MaxAge":[500000,0,0,0,0],"ReportX0":"position in seconds after zero","ReportX1":"1 from a primary","ServerChecks":"silent","SessionMarks":"client","ShowsRole":"initial","Synchronous":false"#;
const PROFILES_HERE: &str = r#"{"Name":"catalogue-read","Aim":600000,"Deadline":2000000,"Effect":"idempotent","Gain":3.0,"LateWorth":0.2},
{"Name":"own-order-read","Aim":600000,"Deadline":2000000,"Effect":"idempotent","Gain":3.0},
{"Name":"history-read","Aim":500000,"Deadline":1200000,"Effect":"idempotent","Gain":2.0},
{"Name":"stock-read","Aim":600000,"Deadline":1500000,"Effect":"idempotent","Gain":1.0},
{"Name":"order-write","Aim":1000000,"Deadline":5000000,"Effect":"at_most_once","Gain":4.0,"LateWorth":0.5}"#;

fn main() {
    run(case)
}

fn read_current(record: &Record, session: &mut Session, id: &str) -> Answer {
    let query = format!("/* id={id},c=stock-read,t=xe-chung-sai-gon,d=1500,cluster=1 */ SELECT body FROM objects WHERE oid = 'seat'");
    record.line(format!("client: sends {query}"));
    let answer = session.query(&query);
    record.line(format!("client: {id} answered with {answer:?}"));
    answer
}

fn case(record: &Record, folder: &Path) -> bool {
    let group = Group::new(record, true, 100_000, true);
    let other_group = Group::new(record, true, 100_000, true);
    let follows = Log::Follows { delay_us: 8_000 };
    let member = |name: &str, is_primary| Member::start(name, 1, &group, is_primary, follows);
    let other = |name: &str, is_primary| Member::start(name, 2, &other_group, is_primary, follows);
    let members = [member("a", true), member("b", false), member("c", false), member("d", false), member("e", false)];
    let others = [other("k", true), other("l", false), other("m", false), other("n", false), other("o", false)];
    // The list shows the roles as they were at the start.
    let list = |leaving: Option<&str>| -> Vec<String> {
        let all = members.iter().chain(&others);
        all.map(|m: &Arc<Member>| {
            let status = if leaving == Some(m.name.as_str()) { "leaving" } else { "active" };
            let role = if ["a", "k"].contains(&m.name.as_str()) { "primary" } else { "standby" };
            entry(m, status, role, 0)
        })
        .collect()
    };
    let agent = Agent::start();
    agent.set(list(None));
    let listen = free_address();
    let settings = config(listen, agent.address, &agent.known(), FAMILY, PROFILES_HERE)
        .replace(r#""DrainGrace":1000000"#, r#""DrainGrace":500000"#)
        .replace(r#""OverloadFactor":4.0,"OverloadFor":2000000"#, r#""OverloadFactor":2.0,"OverloadFor":3000000"#);
    let _router = Router::start(folder, &settings, listen, None);
    record.line("the router has answered the empty query");
    let mut session = Session::new(listen);
    group.commit_elsewhere("seat", "v0");
    sleep_ms(300);
    read_current(record, &mut session, "q1");
    if trouble() {
        let hangs_since = now_us();
        members[0].change("hangs", |s| s.hangs = true);
        sleep_ms(GIVEN_UP_MS);
        members[0].change("is given up as the primary", |s| {
            (s.is_primary, s.log) = (false, Log::Stands { at_us: hangs_since });
        });
        sleep_ms(TAKES_OVER_MS);
        members[1].change("is the primary", |s| s.is_primary = true);
        sleep_until(hangs_since + HANG_MS * 1000);
        let since = now_us();
        members[0].change("answers again, as a replica, and catches up", |s| {
            s.hangs = false;
            s.log = Log::CatchesUp { from_us: hangs_since, since_us: since, pace: CATCH_UP_PACE };
        });
    } else {
        sleep_ms(HANG_MS);
    }
    sleep_ms(500);
    // This read tells the router that `a` is a replica; up to its answer a send there is excused.
    read_current(record, &mut session, "q2");
    let told = now_us();
    let was_told = group.runs.lock().unwrap().iter().any(|run| run.node == "a" && !run.as_primary);
    if trouble() && !was_told {
        record.say("no answer of the former primary has told the router that it is a replica");
    }
    sleep_ms(QUIET_MS);
    // An ordinary change of the list: a node of another group begins to drain.
    agent.set(list(Some("o")));
    record.line("discovery: o is leaving; the whole list is sent");
    sleep_ms(400);
    let mut stale = 0;
    for number in 3..6 {
        let committed = group.commit_elsewhere("seat", &format!("v{number}"));
        sleep_ms(120);
        let id = format!("q{number}");
        read_current(record, &mut session, &id);
        let runs = group.runs.lock().unwrap();
        for run in runs.iter().filter(|run| run.id == id) {
            // The read must see all that was committed before it arrived; a former primary is excused until an answer has told.
            let is_old = !run.as_primary && run.position + SLACK_US < committed * 1000;
            if is_old && was_told && run.at_us > told {
                stale += 1;
                record.say(format!(
                    "{id} was answered by {}, a replica, from data {} ms older than a commit {} ms before",
                    run.node,
                    (committed * 1000 - run.position) / 1000,
                    (run.at_us - committed * 1000) / 1000
                ));
            }
        }
    }
    record.say(format!("{stale} of 3 reads that must be current were stale"));
    stale > 0
}
