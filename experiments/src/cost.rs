//! What translation costs: the same load through the platform's listener and through further fronts of one router process,
//! before one scripted server, with the router's own CPU time beside it.

use crate::error::Error;
use plovercove_emulator::legacy_client::{LegacyClient, ServerMessage};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::server::{
    Answer, LoginMethod, PASSWORD, Server, USER, columns, complete, ready, row,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// The verifier of `app`, whose password is `old but true`.
const APP: (&str, &str) = ("old but true", "app md5fb55191c9e5b0a66e4856ae386b4139d\n");

/// One way to the server.
struct Way {
    name: &'static str,
    address: SocketAddr,
    two: bool,
    labelled: bool,
}

/// What one way cost.
pub struct Cost {
    /// Its name.
    pub name: &'static str,
    /// Requests a second, of each round.
    pub rates: Vec<f64>,
    /// Microseconds of the router's CPU time a request, of each round.
    pub cpu: Vec<f64>,
}

fn config(server: SocketAddr) -> String {
    let node = |name: &str, role: &str| {
        json!({"name": name, "address": server.to_string(), "zone": "z", "type": "k", "group": 2, "status": "active",
               "weight": 1.0, "since_ms": 0, "replication": role})
    };
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": true, "endpoints": [node("p", "primary"), node("r", "standby")]},
        "settings": {"Balancers": 1, "SlotNo": 0, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
            "FamilyInfo": {"ClassRead": ["loose", "update"], "MaxAge": [0, 0], "ServerChecks": "silent",
                "ShowsRole": "delayed", "SessionMarks": "client"},
            "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": 2_000_000, "MaxAttempts": 6,
                "MaxRetryAfter": 500_000, "Probing": true, "RetryAfter": true, "SecondCopies": false},
            "Profiles": [{"Name": "look", "Aim": 2_000_000, "Deadline": 5_000_000, "Effect": "idempotent"},
                {"Name": "book", "Aim": 2_000_000, "Deadline": 5_000_000, "Effect": "at_most_once"}],
            "Customers": [{"Name": "acme"}], "Report": {"How": "pull", "Names": ["x0", "x1"]},
            "Rules": {"Cold": 1, "ColdShare": 1.0, "DrainGrace": 1_000_000, "OverloadFactor": 4,
                "OverloadFor": 2_000_000, "GraceToAnswer": 20_000}}})
    .to_string()
}

fn start(program: &Path, server: SocketAddr) -> Result<(Process, Folder), Error> {
    let folder = Folder::new("cost")?;
    let write = |name: &str, text: &str| folder.write(name, text);
    write("users", APP.1)?;
    write("password", PASSWORD)?;
    let config = write("config.json", &config(server))?;
    let operators = write(
        "operators.star",
        &format!(
            r#"
_front = {{"listen": "127.0.0.1:0", "credentials": "users", "methods": ["md5"], "reads": "look", "writes": "book", "group": 2}}
fronts = [
    dict(_front, name = "plain"),
    dict(_front, name = "forms", bytea = "escape", date_style = "SQL, DMY"),
]
servers = {{"user": "{USER}", "database": "trips", "password_file": "password"}}
"#
        ),
    )?;
    let process = Process::start(program, &config, |command| {
        command.arg("--operators").arg(operators)
    });
    let process = process.map_err(|e| Error::Router {
        name: "n1".into(),
        why: e.to_string(),
    })?;
    Ok((process, folder))
}

/// CPU time of a process so far, in seconds.
fn cpu(id: u32) -> Result<f64, Error> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name may hold blanks; user and system time are the 12th and 13th after it, in hundredths.
    let mut fields = stat
        .rsplit_once(')')
        .map_or("", |(_, rest)| rest)
        .split_whitespace()
        .skip(11);
    let mut next = || {
        fields
            .next()
            .and_then(|f| f.parse::<f64>().ok())
            .ok_or(Error::Untold("CPU time"))
    };
    Ok((next()? + next()?) / 100.0)
}

/// Clients in turn on one way, for a while: requests answered.
fn load(way: &Way, clients: usize, span: Duration) -> Result<u64, Error> {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let until = Instant::now() + span;
    let each =
        || -> Result<u64, Error> {
            let (mut client, _) = LegacyClient::connect(way.address, way.two, "app", APP.0)
                .map_err(|source| Error::Client {
                    way: way.name,
                    source,
                })?;
            let mut answered = 0;
            while Instant::now() < until {
                let text = "SELECT body FROM trips WHERE id = '7f'";
                let number = NUMBER.fetch_add(1, Ordering::Relaxed);
                let heard = match way.labelled {
                    true => client.query(&format!(
                        "/* id={number},c=look,t=acme,d=4000,cluster=2 */ {text}"
                    )),
                    false => client.query(text),
                };
                let heard = heard.map_err(|source| Error::Client {
                    way: way.name,
                    source,
                })?;
                if !heard.iter().any(|h| matches!(h, ServerMessage::Row(_))) {
                    return Err(Error::Answer {
                        way: way.name,
                        heard: format!("{heard:?}"),
                    });
                }
                answered += 1;
            }
            Ok(answered)
        };
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..clients).map(|_| scope.spawn(each)).collect();
        running
            .into_iter()
            .map(|r| r.join().map_err(|_| Error::Panicked)?)
            .sum()
    })
}

/// Measures all ways, in turn, in so many rounds.
pub fn measure(
    program: &Path,
    clients: usize,
    span: Duration,
    rounds: usize,
) -> Result<Vec<Cost>, Error> {
    let value: Vec<u8> = [b"\\x".to_vec(), b"9f41".repeat(64)].concat();
    let answer = [
        columns(&[("body", 17)]),
        row(&[Some(&value)]),
        complete("SELECT 1"),
        ready(b'I'),
    ]
    .concat();
    let server = Server::start(LoginMethod::Md5, 0, move |_| Answer::of(answer.clone()))?;
    let (router, _folder) = start(program, server.address())?;
    let [plain, forms] = *router.fronts() else {
        return Err(Error::Untold("further front"));
    };
    let platform = router.listen();
    let way = |name, address, two, labelled| Way {
        name,
        address,
        two,
        labelled,
    };
    let ways = [
        way("platform, 3.0, labels", platform, false, true),
        way("front, 3.0, labels", plain, false, true),
        way("front, 3.0, no labels", plain, false, false),
        way("front, 3.0, bytea escaped", forms, false, false),
        way("front, 2.0, no labels", plain, true, false),
        way("front, 2.0, bytea escaped", forms, true, false),
    ];
    let mut costs: Vec<Cost> = ways
        .iter()
        .map(|w| Cost {
            name: w.name,
            rates: Vec::new(),
            cpu: Vec::new(),
        })
        .collect();
    // The first round warms up and does not count.
    for round in 0..=rounds {
        for (way, cost) in ways.iter().zip(&mut costs) {
            let (before, begun) = (cpu(router.id())?, Instant::now());
            let answered = load(way, clients, span)?;
            let (used, took) = (cpu(router.id())? - before, begun.elapsed().as_secs_f64());
            if round > 0 && answered > 0 {
                cost.rates.push(answered as f64 / took);
                cost.cpu.push(used * 1e6 / answered as f64);
            }
        }
    }
    Ok(costs)
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// What people read.
pub fn table(costs: &[Cost]) -> String {
    let mut out = String::from(
        "| way | requests/s, median | router's CPU a request (us): median | least | most | over the first |\n| --- | --- | --- | --- | --- | --- |\n",
    );
    let first = costs.first().map_or(f64::NAN, |c| median(&c.cpu));
    for cost in costs {
        let least = cost.cpu.iter().copied().fold(f64::INFINITY, f64::min);
        let most = cost.cpu.iter().copied().fold(0.0, f64::max);
        let (rate, cpu) = (median(&cost.rates), median(&cost.cpu));
        out.push_str(&format!(
            "| {} | {rate:.0} | {cpu:.1} | {least:.1} | {most:.1} | {:+.1} % |\n",
            cost.name,
            (cpu / first - 1.0) * 100.0
        ));
    }
    out
}
