//! Bookings that are begun for clients that have closed their connection.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::path::Path;

/// Bookings that a client sends behind one report, in one write.
const BOOKINGS: usize = 40;
/// Bytes of the value of a booking (64 KiB at most).
const VALUE_BYTES: usize = 12 * 1024;
const CLIENTS: usize = 5;
/// An attempt may begin for so long after the close; every limit is 50 ms longer on sockets.
const GRACE_US: u64 = 150_000;

const FAMILY: &str = r#""AnswersStamped":false,"BaseTime":0,"ClassRead":["recent","own_writes","loose","loose","update"],"HoldsFor":0,"MaxAge":[3000000,0,0,0,0],"ReportX0":"position in seconds after zero","ReportX1":"1 from a primary","ServerChecks":"silent","SessionMarks":"client","ShowsRole":"delayed","Synchronous":false"#;

fn main() {
    run(case)
}

fn case(record: &Record, folder: &Path) -> bool {
    let group = Group::new(record, false, 60_000, true);
    let follows = Log::Follows { delay_us: 8_000 };
    let members: Vec<_> = ["p", "r1", "r2", "r3", "r4"]
        .iter()
        .map(|name| Member::start(name, 2, &group, *name == "p", follows))
        .collect();
    let agent = Agent::start();
    agent.set(
        members
            .iter()
            .map(|m| entry(m, "active", if m.name == "p" { "primary" } else { "standby" }, 0))
            .collect(),
    );
    let listen = free_address();
    let settings = config(listen, agent.address, &agent.known(), FAMILY, PROFILES);
    let mut router = Router::start(folder, &settings, listen, None);
    record.line("the router has answered the empty query");
    let value = "9f".repeat(VALUE_BYTES);
    let (mut late, mut latest_ms, mut unanswered) = (0, 0, 0);
    for number in 0..CLIENTS {
        let Ok(mut client) = Client::connect(listen) else {
            unable("no connection to the router");
        };
        let mut queries = vec![format!(
            "/* id=m{number},c=month-report,t=xe-chung-sai-gon,d=6000,cluster=2 */ SELECT body FROM objects WHERE oid = 'month'"
        )];
        queries.extend((0..BOOKINGS).map(|booking| {
            format!("/* id=b{number}x{booking},c=book-seat,t=xe-chung-sai-gon,d=5000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('seat{number}x{booking}', '\\x{value}') RETURNING body")
        }));
        if client.send(&queries).is_err() {
            unable("the requests could not be sent");
        }
        record.line(format!("client {number}: sent a report and {BOOKINGS} bookings"));
        if !trouble() {
            for query in &queries {
                let answer = client.answer();
                record.line(format!("client {number}: {} answered with {answer:?}", label(query, "id").unwrap()));
                unanswered += usize::from(matches!(answer, Answer::Nothing(_)));
            }
            record.line(format!("client {number}: has read its answers, and closes"));
            continue;
        }
        drop(client);
        let closed = now_us();
        record.line(format!("client {number}: closes"));
        sleep_ms(3_000);
        let arrivals = group.arrivals.lock().unwrap();
        for (id, at) in arrivals.iter().filter(|(id, _)| id.starts_with(&format!("b{number}x"))) {
            if *at > closed + GRACE_US {
                late += 1;
                latest_ms = latest_ms.max((at - closed) / 1000);
                record.line(format!("booking {id} came to a node {} ms after its client's close", (at - closed) / 1000));
            }
        }
    }
    if !router.is_running() {
        record.say("the router has ended");
        return true;
    }
    record.say(format!(
        "{late} bookings of {CLIENTS} clients came to a node too long after the close, up to {latest_ms} ms; {unanswered} requests without an answer"
    ));
    late + unanswered > 0
}
