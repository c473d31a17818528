//! Requests that arrive together while discovery is down at the start of a router.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::path::Path;

/// Requests that the client sends at once.
const AT_ONCE: usize = 12;
/// Discovery is down for so long, from the start of the router.
const DOWN_MS: u64 = 4_000;

const FAMILY: &str = r#""AnswersStamped":false,"BaseTime":0,"ClassRead":["recent","own_writes","loose","loose","update"],"HoldsFor":0,"MaxAge":[3000000,0,0,0,0],"ReportX0":"position in seconds after zero","ReportX1":"1 from a primary","ServerChecks":"silent","SessionMarks":"client","ShowsRole":"delayed","Synchronous":false"#;

fn main() {
    run(case)
}

/// Sends requests at once on one connection, and returns how many of them got no answer.
fn send_at_once(record: &Record, router: &Router, round: &str) -> usize {
    let queries: Vec<String> = (0..AT_ONCE)
        .map(|number| format!("/* id={round}{number:02},c=seat-count,t=xe-chung-sai-gon,d=1200,cluster=2 */ SELECT body FROM objects WHERE oid = 'trip{number}'"))
        .collect();
    let Ok(mut client) = Client::connect(router.address) else {
        unable("no connection to the router");
    };
    if client.send(&queries).is_err() {
        unable("the requests could not be sent");
    }
    for query in &queries {
        record.line(format!("client: sent {query}"));
    }
    let mut unanswered = 0;
    let mut has_ended = false;
    for query in &queries {
        let id = label(query, "id").unwrap();
        let answer = if has_ended {
            Answer::Nothing("the session was ended before".into())
        } else {
            client.answer()
        };
        has_ended |= matches!(answer, Answer::Nothing(_));
        unanswered += usize::from(matches!(answer, Answer::Nothing(_)));
        record.line(format!("client: {id} answered with {answer:?}"));
    }
    unanswered
}

fn case(record: &Record, folder: &Path) -> bool {
    let group = Group::new(record, false, 20_000, true);
    let members = [
        Member::start("p", 2, &group, true, Log::Follows { delay_us: 0 }),
        Member::start("r1", 2, &group, false, Log::Follows { delay_us: 8_000 }),
        Member::start("r2", 2, &group, false, Log::Follows { delay_us: 8_000 }),
    ];
    let agent = Agent::start();
    let started = now_us();
    agent.set_silent(trouble());
    record.line(if trouble() { "discovery is down" } else { "discovery is up" });
    agent.set(
        members
            .iter()
            .map(|m| entry(m, "active", if m.name == "p" { "primary" } else { "standby" }, 0))
            .collect(),
    );
    let listen = free_address();
    let nobody = r#"{"index":0,"snapshot":true,"endpoints":[]}"#;
    let settings = config(listen, agent.address, nobody, FAMILY, PROFILES);
    let mut router = Router::start(folder, &settings, listen, None);
    record.line("the router has answered the empty query");
    sleep_ms(1_000);
    let lost = send_at_once(record, &router, "a");
    sleep_until(started + DOWN_MS * 1000);
    agent.set_silent(false);
    record.line("discovery is up");
    sleep_ms(3_000);
    let lost_later = send_at_once(record, &router, "b");
    if !router.is_running() {
        record.say("the router has ended");
        return true;
    }
    record.say(format!(
        "of {AT_ONCE} requests {lost} got no answer; of {AT_ONCE} sent after discovery was up {lost_later}"
    ));
    lost + lost_later > 0
}
