//! Case: a planned restart. A client that has always another command under way on its connection is never told to go,
//! so the router does not end, and SIGKILL finds requests unanswered that came long after SIGTERM.

use crate::agent::{Agent, Entry};
use crate::client::{Answer, Client};
use crate::common::{Case, sleep_ms};
use crate::node::{Node, Shared};
use crate::settings;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The clients: a tenant, and how many commands it sends at once. The next ones follow after the interval, whether or not
/// all are answered.
const CLIENTS: [(&str, usize); 3] = [
    ("xe-chung-sai-gon", 3),
    ("di-cung-ha-noi", 2),
    ("ghep-xe-mien-trung", 1),
];
const INTERVAL_MS: u64 = 40;
/// Mean work of a command (ms); the site has 65 to 110 for this class.
const WORK_MS: u64 = 90;
/// The longest deadline (6 s) and 0.7 s, with a little on top.
const KILL_AFTER_MS: u64 = 7_000;
/// A request that came later than this after SIGTERM must not be found unanswered.
const COUNTS_AFTER_MS: f64 = 700.0;

pub fn play(case: &Case) -> io::Result<bool> {
    let record = &case.record;
    let shared = Shared::new(record);
    let mut entries = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..5u64 {
        let node = Node::start(&format!("s-{number}"), number == 0, WORK_MS, None, &shared)?;
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
    let listen = router.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::<(String, f64)>::new()));
    let answered = Arc::new(AtomicU64::new(0));
    let killed_at = Arc::new(Mutex::new(f64::INFINITY));
    let clients: Vec<_> = CLIENTS
        .into_iter()
        .enumerate()
        .map(|(c, (tenant, at_once))| {
            let (stop, record) = (stop.clone(), record.clone());
            let (unanswered, answered) = (unanswered.clone(), answered.clone());
            let killed_at = killed_at.clone();
            std::thread::spawn(move || -> io::Result<()> {
                let mut client = Client::open(listen)?;
                let mut writer = client.stream.try_clone()?;
                let under_way = Arc::new(Mutex::new(VecDeque::<(String, f64)>::new()));
                let sent = under_way.clone();
                let is_open = Arc::new(AtomicBool::new(true));
                let may_send = is_open.clone();
                let clock = record.clone();
                let sender = std::thread::spawn(move || {
                    let mut number = 0;
                    while may_send.load(SeqCst) && !stop.load(SeqCst) {
                        let mut commands = Vec::new();
                        for _ in 0..at_once {
                            number += 1;
                            let id = format!("c{c}n{number}");
                            commands.extend(crate::wire::query(&format!("/* id={id},c=my-booking,t={tenant},d=1000,cluster=2 */ SELECT body FROM objects WHERE oid = 'k{c}'")));
                            sent.lock().unwrap().push_back((id, clock.now()));
                        }
                        if writer.write_all(&commands).is_err() {
                            let mut sent = sent.lock().unwrap();
                            let written = sent.len().saturating_sub(at_once);
                            sent.truncate(written);
                            break;
                        }
                        sleep_ms(INTERVAL_MS);
                    }
                    may_send.store(false, SeqCst);
                });
                loop {
                    let Some((id, _)) = under_way.lock().unwrap().front().cloned() else {
                        if !is_open.load(SeqCst) {
                            break;
                        }
                        sleep_ms(1);
                        continue;
                    };
                    let answer = client.read_answer(Duration::from_millis(1_700));
                    record.line(format!("client {c}: {id}: {}", answer.short()));
                    if matches!(answer, Answer::Closed(_) | Answer::Cut(_) | Answer::Nothing) {
                        // A close before SIGKILL may have crossed what is under way: it goes to another router.
                        if record.now() > *killed_at.lock().unwrap() || answer == Answer::Nothing {
                            unanswered.lock().unwrap().extend(under_way.lock().unwrap().drain(..));
                        }
                        is_open.store(false, SeqCst);
                        break;
                    }
                    answered.fetch_add(1, SeqCst);
                    under_way.lock().unwrap().pop_front();
                }
                let _ = sender.join();
                Ok(())
            })
        })
        .collect();
    sleep_ms(3_000);
    let process = router.child.id().to_string();
    let mut killed = false;
    let mut told_at = f64::INFINITY;
    if case.trouble {
        told_at = record.now();
        record.line("SIGTERM to the router");
        Command::new("kill").args(["-TERM", &process]).status()?;
        let mut waited = 0;
        while router.is_running() && waited < KILL_AFTER_MS {
            sleep_ms(10);
            waited += 10;
        }
        record.line(format!(
            "{waited} ms after SIGTERM the router {}",
            if router.is_running() {
                "still runs"
            } else {
                "has ended"
            }
        ));
        if router.is_running() {
            killed = true;
            record.line("SIGKILL to the router");
            *killed_at.lock().unwrap() = record.now();
            router.child.kill()?;
        }
    } else {
        sleep_ms(KILL_AFTER_MS);
    }
    stop.store(true, SeqCst);
    for client in clients {
        client.join().unwrap_or(Ok(()))?;
    }
    let unanswered = unanswered.lock().unwrap();
    let killed_at = *killed_at.lock().unwrap();
    let counts = |at: f64| at > told_at + COUNTS_AFTER_MS && at < killed_at;
    let late = unanswered.iter().filter(|(_, at)| counts(*at));
    let mut lost = 0;
    for (id, at) in late {
        lost += 1;
        record.line(format!(
            "BROKEN: {id} came {:.0} ms after SIGTERM and has no answer",
            at - told_at
        ));
    }
    record.say(format!(
        "{} requests answered, {} not; {lost} of these came more than {COUNTS_AFTER_MS} ms after SIGTERM{}",
        answered.load(SeqCst),
        unanswered.len(),
        if killed { "; the router still ran when SIGKILL came" } else { "" }
    ));
    if answered.load(SeqCst) < 50 {
        return Err(io::Error::other("hardly anything was answered"));
    }
    Ok(lost == 0 && (case.trouble || unanswered.is_empty()))
}
