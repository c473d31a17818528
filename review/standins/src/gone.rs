//! Case: a client sends many commands at once and closes its connection. Its end lies behind more bytes than the router
//! reads ahead, so the router goes on and begins further commands of it, long after the close.

use crate::agent::{Agent, Entry};
use crate::client::{Answer, Client};
use crate::common::{Case, sleep_ms};
use crate::node::{Node, Shared};
use crate::{settings, wire};
use std::io::{self, Write};
use std::time::Duration;

const CLIENTS: usize = 5;
const BOOKINGS: usize = 60;
/// Bytes of the value that a booking brings.
const VALUE: usize = 8 * 1024;
/// Time after a close within which attempts may still begin (ms).
const ALLOWED_MS: f64 = 100.0;

pub fn play(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    let shared = Shared::new(record);
    let mut entries = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..5u64 {
        let node = Node::start(&format!("s-{number}"), number == 0, 60, None, &shared)?;
        entries.push(Entry {
            name: node.name.clone(),
            address: node.address,
            zone: "thu-duc".into(),
            machine: "std-5c".into(),
            group: 2,
            status: "active",
            since_ms: 0,
            replication: if number == 0 { "primary" } else { "standby" },
            changed_at: 41,
        });
        nodes.push(node);
    }
    let agent = Agent::start(entries)?;
    let mut routers = settings::start_three(case, &agent, 192)?;
    let mut router = routers.remove(0);
    let (mut late, mut unanswered, mut begun_in_time) = (0, 0, 0);
    for number in 0..CLIENTS {
        let mut client = Client::open(router.listen)?;
        let mut bytes = wire::query(&format!(
            "/* id=g{number}report,c=month-report,t=di-cung-ha-noi,d=6000,cluster=2 */ SELECT body FROM objects WHERE oid = 'k{number}'"
        ));
        let value = "9f".repeat(VALUE);
        for booking in 0..BOOKINGS {
            bytes.extend(wire::query(&format!("/* id=g{number}b{booking},c=book-seat,t=di-cung-ha-noi,d=5000,cluster=2 */ INSERT INTO objects (oid, body) VALUES ('k{number}', '\\x{value}') RETURNING body")));
        }
        client.stream.write_all(&bytes)?;
        record.line(format!(
            "client {number}: has sent a report and {BOOKINGS} bookings at once, {} bytes",
            bytes.len()
        ));
        if case.trouble {
            drop(client);
            let closed_at = record.now();
            record.line(format!("client {number}: closes its connection"));
            sleep_ms(3_000);
            for begun in shared
                .begun
                .lock()
                .unwrap()
                .iter()
                .filter(|b| b.id.starts_with(&format!("g{number}")))
            {
                let after = begun.at_ms - closed_at;
                if after > ALLOWED_MS {
                    late += 1;
                    record.line(format!(
                        "BROKEN: {} began at {} {after:.0} ms after its client had closed",
                        begun.id, begun.node
                    ));
                } else {
                    begun_in_time += 1;
                }
            }
        } else {
            for answered in 0..=BOOKINGS {
                let answer = client.read_answer(Duration::from_secs(6));
                record.line(format!(
                    "client {number}: answer {answered}: {}",
                    answer.short()
                ));
                if matches!(answer, Answer::Nothing | Answer::Closed(_) | Answer::Cut(_)) {
                    unanswered += 1;
                }
            }
        }
    }
    record.say(format!(
        "{CLIENTS} clients sent a report and {BOOKINGS} bookings each; {begun_in_time} attempts began before the close or within {ALLOWED_MS} ms of it, {late} later; {unanswered} without an answer"
    ));
    if !router.is_running() {
        return Err(io::Error::other("the router has ended"));
    }
    Ok(late == 0 && unanswered == 0)
}
